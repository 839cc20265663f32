"""Mutants of the balancer: each removes one guard."""

from __future__ import annotations

from benchmarks.guards.patching import cut, entry, swap


@entry("answers-failed")
def _() -> None:
    """A request whose attempts have all failed gets no final answer."""
    from cloverkeel.balancing.final_answers import FinalAnswers

    cut(FinalAnswers, "give", ("self.buffer.actions.append(Fail(request.id_))", "pass"))


@entry("answers-refused")
def _() -> None:
    """A request that is refused gets no final answer."""
    from cloverkeel.balancing.final_answers import FinalAnswers

    refuse = "self.buffer.actions.append(Refuse(request.id_, self.retry_after_us(now_us), reason))"
    cut(FinalAnswers, "give", (refuse, "pass"))


@entry("deadline-module")
def _() -> None:
    """The timeout of an attempt ignores the request's deadline."""
    from cloverkeel.balancing.attempt_sender import AttemptSender

    cut(AttemptSender, "send", ("max(1, self.attempt_deadline_us(now_us, request) - now_us)", "10_000_000"))


@entry("free-by-identity")
def _() -> None:
    """Forgetting a finished request also forgets a newer request with the same id."""
    from cloverkeel.balancing.request_lifecycle import RequestLifecycle

    same = "if self.requests.get(request.id_) is request:"
    cut(RequestLifecycle, "remove", (same, "if request.id_ in self.requests:"))


@entry("sweep")
def _() -> None:
    """Attempts whose end is never reported stay in flight forever."""
    from cloverkeel.balancing.request_lifecycle import RequestLifecycle

    swap(RequestLifecycle, "on_expiry_scan", lambda self, now_us: self.expiry_scan.schedule(now_us))


@entry("unsafe-again")
def _() -> None:
    """After a failure, an unsafe request is retried though it may have run."""
    from cloverkeel.balancing.request_lifecycle import RequestLifecycle

    unsafe = "if is_shed or self.settings.classes[request.class_index].effect is Effect.UNSAFE:"
    cut(RequestLifecycle, "can_retry", (unsafe, "if is_shed:"))


@entry("unsafe-servers")
def _() -> None:
    """Server selection offers servers for the retry of an unsafe request that may have run."""
    from cloverkeel.balancing.server_selection import ServerSelection

    cut(ServerSelection, "retry_candidates", ("if ran and class_.effect is Effect.UNSAFE:", "if False:"))


@entry("keyed-group")
def _() -> None:
    """A keyed request is retried at any server, also outside its group."""
    from cloverkeel.balancing.server_selection import ServerSelection

    cut(ServerSelection, "_keyed_candidates", ("if scope is Scope.GROUP:", "if False:"))


@entry("keyed-window")
def _() -> None:
    """A keyed request is retried after its window too."""
    from cloverkeel.balancing.server_selection import ServerSelection

    cut(ServerSelection, "retry_candidates", ("if now_us - ran[0].sent_us >= class_.window_us:", "if False:"))


@entry("refuses-what-ran")
def _() -> None:
    """A request that may have run is refused, as if a retry were harmless."""
    from cloverkeel.balancing.final_answers import FinalAnswers

    refusable = "if not request.may_have_run() or class_.effect is Effect.SAFE or is_dropped_anywhere:"
    cut(FinalAnswers, "give", (refusable, "if True:"))


@entry("attempts-module")
def _() -> None:
    """The balancer doesn't limit the number of attempts."""
    from cloverkeel.balancing.request_lifecycle import RequestLifecycle

    cut(RequestLifecycle, "can_retry", ("len(request.attempts) >= self.settings.max_attempts", "False"))
    cut(RequestLifecycle, "on_attempt_overdue", ("len(request.attempts) < self.settings.max_attempts", "True"))


@entry("second-copies")
def _() -> None:
    """Requests are hedged where the settings don't allow it."""
    from cloverkeel.balancing.request_lifecycle import RequestLifecycle

    cut(RequestLifecycle, "on_attempt_overdue", ("or not self.settings.may_hedge", ""))


@entry("drain-module")
def _() -> None:
    """Draining servers are eligible."""
    from cloverkeel.balancing.subset import Subset

    cut(Subset, "is_eligible", ("if endpoint.entry.status is not ServerStatus.READY:", "if False:"))


@entry("gone-module")
def _() -> None:
    """Servers that left the list are kept."""
    from cloverkeel.balancing.endpoints import Endpoints

    swap(Endpoints, "remove", lambda self, server: None)


@entry("list-retry-soon")
def _() -> None:
    """A failed poll of the server list is retried only after seconds."""
    from cloverkeel.balancing import endpoint_updates

    swap(endpoint_updates, "MAX_RETRY_POLL_US", 5_000_000)


@entry("repeat-by")
def _() -> None:
    """A retry of a keyed request may wait for its connection beyond the window."""
    from cloverkeel.balancing.attempt_sender import AttemptSender

    swap(AttemptSender, "write_deadline_us", lambda self, request: 0)


@entry("list-again")
def _() -> None:
    """A failed poll of the server list is not retried."""
    from cloverkeel.balancing.endpoint_updates import EndpointUpdates

    poll = "self.buffer.actions.append(SetTimer(now_us + int(wait_us), LIST_TOKEN))"
    cut(EndpointUpdates, "on_error", (poll, "pass"))


@entry("cold-budget")
def _() -> None:
    """A warming server is sent all requests, whatever its collapse budget."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    swap(SlowStartBudget, "has_headroom", lambda self, now_us, endpoint, request: True)


@entry("cold-share")
def _() -> None:
    """A warming server counts as having its full capacity."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    swap(SlowStartBudget, "capacity_ratio", lambda self, now_us, endpoint: 1.0)


@entry("cold-firsts")
def _() -> None:
    """Every gateway may send its first request to a warming server at once."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    cut(SlowStartBudget, "start", ("self.rng.random() * max_us", "0.0"))


@entry("cold-late")
def _() -> None:
    """A server counts as settled at the time when it should be warm."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    cut(SlowStartBudget, "start", ("ends_at_us, ends_at_us + duration_us,", "ends_at_us, ends_at_us,"))


@entry("cold-work")
def _() -> None:
    """Requests to a warming server are charged at the current latency of other servers, not at the stated work."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    cut(SlowStartBudget, "cost_us", ("if mean_us < min_us:", "if True:"))
    stated = "work_us >= MIN_WORK_RATIO * self.latency.unloaded_us[class_index]"
    cut(SlowStartBudget, "start", (stated, "False"))


@entry("cold-understated")
def _() -> None:
    """Stated work is used however small it is."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    cut(
        SlowStartBudget, "cost_us", ("return max(min_us, ", "return max(0.0, "),
        ("if mean_us < min_us:", "if not mean_us:"),
    )  # fmt: skip
    stated = "work_us >= MIN_WORK_RATIO * self.latency.unloaded_us[class_index]"
    cut(SlowStartBudget, "start", (stated, "bool(work_us)"))


@entry("cold-long")
def _() -> None:
    """Requests far larger than the mean may be sent to a warming server."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    cut(SlowStartBudget, "has_headroom", ("request.size > MAX_REQUEST_SIZE", "False"))


@entry("cold-users")
def _() -> None:
    """Each gateway uses the whole collapse budget of a warming server."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    cut(SlowStartBudget, "budget_us", ("expected_users = max(", "expected_users = 1.0 or max("))


@entry("cold-processes")
def _() -> None:
    """Each process of a gateway uses the gateway's whole quota of a warming server's budget."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    cut(SlowStartBudget, "budget_us", (" / sharers / self.processes", " / sharers"))


@entry("breaker")
def _() -> None:
    """Servers are selected regardless of their circuit breakers."""
    from cloverkeel.balancing.circuit_breaker import CircuitBreaker

    swap(CircuitBreaker, "can_admit", lambda self, now_us: True)


@entry("silent-server")
def _() -> None:
    """A silent server is sent further attempts."""
    from cloverkeel.balancing.subset import Subset

    silent = "return not in_flight or now_us - next(iter(in_flight.values())) <= self.latency.silence_timeout_us"
    cut(Subset, "is_eligible", (silent, "return True"))


@entry("connect-verdict")
def _() -> None:
    """A failed connection counts like any other failure."""
    from cloverkeel.balancing.outlier_detection import OutlierDetector

    cut(OutlierDetector, "_record_for_server", ("if outcome is Outcome.CONNECT_FAILED and", "if False and"))


@entry("common-failures")
def _() -> None:
    """Failures common to all servers count against each of them."""
    from cloverkeel.balancing.fleet_outcomes import FleetOutcomes

    swap(FleetOutcomes, "failure_ratio", lambda self, server, class_index: 0.0)


@entry("shedding")
def _() -> None:
    """No request is shed, however long answers wait."""
    from cloverkeel.balancing.load_shedding import LoadShedder

    swap(LoadShedder, "record_outcome", lambda self, now_us, request, attempt, event: None)


@entry("retry-tokens")
def _() -> None:
    """Retries and hedged requests cost no tokens."""
    from cloverkeel.balancing.request_lifecycle import RequestLifecycle

    cut(
        RequestLifecycle, "can_retry", ("if is_shed or self", "if self"),
        ("return self.retry_budget.can_withdraw(now_us, cost)", "return True"),
    )  # fmt: skip
    cut(
        RequestLifecycle, "on_attempt_overdue", (" or self.load_shedder.low_priority_ratio > 0.0", ""),
        ("if not self.retry_budget.can_withdraw(now_us, FULL_RETRY_COST):", "if False:"),
    )  # fmt: skip


@entry("room-at-one")
def _() -> None:
    """A server has no concurrency limit."""
    from cloverkeel.balancing.server_selection import ServerSelection

    full = "if len(endpoint.in_flight) >= endpoint.concurrency.limit * limit_ratio:"
    cut(ServerSelection, "select", (full, "if False:"))


@entry("room-shrinks")
def _() -> None:
    """The concurrency limit doesn't follow the latency of answers."""
    from cloverkeel.balancing.concurrency_limit import ConcurrencyLimit

    swap(ConcurrencyLimit, "record", lambda *args: None)


@entry("begun-module")
def _() -> None:
    """A request whose response broke off while streaming to the client is retried."""
    from cloverkeel.balancing.request_lifecycle import RequestLifecycle

    cut(RequestLifecycle, "on_attempt_ended", ("or request.is_streaming:", "or False:"))


@entry("share-empty")
def _() -> None:
    """Added quotas allow a full burst at once."""
    from cloverkeel.balancing.slow_start import SlowStart

    swap(SlowStart, "add_quotas", lambda self, had, burst_us: None)


@entry("share-lent")
def _() -> None:
    """A proxy that has lent its quota still sends one request at a time."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    cut(SlowStartBudget, "has_headroom", ("burst_us > 0.0 and ", ""))


@entry("share-start")
def _() -> None:
    """A new process uses its quota at once, though an earlier process may have lent it."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    cut(SlowStartBudget, "apply_quota", ("self.suspended_until_us = event.lent_us", "pass"))


@entry("trials-left")
def _() -> None:
    """Half-open probes are suspended though most breakers are open."""
    from cloverkeel.balancing.peer_reports import PeerReports

    cut(PeerReports, "suspend_probes", (" and not self.has_closed_majority()", " and False"))


@entry("hearsay-used")
def _() -> None:
    """Health reports of other proxies are ignored."""
    from cloverkeel.balancing.peer_reports import PeerReports

    swap(PeerReports, "apply_report", lambda self, now_us, event: None)


@entry("hearsay-two")
def _() -> None:
    """A single reporter suffices for a suspicion."""
    from cloverkeel.balancing import peer_reports
    from cloverkeel.gossip import outlier_gossip, outlier_reports

    for module in (peer_reports, outlier_gossip, outlier_reports):
        vars(module)["MIN_REPORTERS"] = 1


@entry("hearsay-verdict")
def _() -> None:
    """A health report of other proxies opens a breaker."""
    from cloverkeel.balancing.peer_reports import PeerReports

    opened = "breaker = endpoint.breaker; is_suspected and breaker.open(now_us)"
    cut(PeerReports, "apply_report", ("breaker = endpoint.breaker", opened))


@entry("hearsay-common")
def _() -> None:
    """Failures common to all servers here are not allowed for in other proxies' reports."""
    from cloverkeel.balancing.peer_reports import PeerReports

    cut(PeerReports, "apply_report", ("ratio = self.fleet_outcomes.failure_ratio(event.server, None)", "ratio = 0.0"))


@entry("hearsay-hold")
def _() -> None:
    """Probes wait for other proxies' probes as long as those fail."""
    from cloverkeel.balancing.peer_reports import PeerReports

    cut(PeerReports, "apply_report", ("min(event.until_us, max_us)", "event.until_us"))


@entry("rights-end")
def _() -> None:
    """Retry tokens granted by other proxies never expire."""
    from cloverkeel.balancing.retry_budget import RetryBudget

    cut(RetryBudget, "available", ("now_us >= self.expires_at_us", "False"))


@entry("cold-told-users")
def _() -> None:
    """The number of proxies that know a warming server is estimated, even if the list states it."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    cut(SlowStartBudget, "budget_us", ("float(users or expected_users)", "float(expected_users)"))
