"""Mutants of the balancer: each removes one guard."""

from __future__ import annotations

from benchmarks.guards.patching import mutant, patch_attribute, patch_source


@mutant("answers-failed")
def _() -> None:
    """A request whose attempts have all failed gets no final answer."""
    from cloverkeel.balancing.final_answers import FinalAnswers

    patch_source(FinalAnswers, "give", ("self.buffer.actions.append(Fail(request.id_))", "pass"))


@mutant("answers-refused")
def _() -> None:
    """A request that is refused gets no final answer."""
    from cloverkeel.balancing.final_answers import FinalAnswers

    refuse = "self.buffer.actions.append(Refuse(request.id_, self.retry_after_us(now_us), reason))"
    patch_source(FinalAnswers, "give", (refuse, "pass"))


@mutant("deadline-module")
def _() -> None:
    """The timeout of an attempt ignores the request's deadline."""
    from cloverkeel.balancing.attempt_sender import AttemptSender

    patch_source(AttemptSender, "send", ("max(1, self.attempt_deadline_us(now_us, request) - now_us)", "10_000_000"))


@mutant("free-by-identity")
def _() -> None:
    """Removing a finished request also removes a newer request with the same id."""
    from cloverkeel.balancing.request_lifecycle import RequestLifecycle

    same = "if self.requests.get(request.id_) is request:"
    patch_source(RequestLifecycle, "remove", (same, "if request.id_ in self.requests:"))


@mutant("sweep")
def _() -> None:
    """Attempts whose end is never reported stay in flight forever."""
    from cloverkeel.balancing.request_lifecycle import RequestLifecycle

    patch_attribute(RequestLifecycle, "on_expiry_scan", lambda self, now_us: self.expiry_scan.schedule(now_us))


@mutant("unsafe-again")
def _() -> None:
    """After a failure, an unsafe request is retried though it may have run."""
    from cloverkeel.balancing.request_lifecycle import RequestLifecycle

    unsafe = "if is_shed or self.settings.classes[request.class_index].effect is Effect.UNSAFE:"
    patch_source(RequestLifecycle, "can_retry", (unsafe, "if is_shed:"))


@mutant("unsafe-servers")
def _() -> None:
    """Server selection offers servers for the retry of an unsafe request that may have run."""
    from cloverkeel.balancing.server_selection import ServerSelection

    patch_source(
        ServerSelection, "retry_candidates", ("if may_have_run and class_.effect is Effect.UNSAFE:", "if False:")
    )


@mutant("keyed-group")
def _() -> None:
    """A keyed request is retried at any server, also outside its group."""
    from cloverkeel.balancing.server_selection import ServerSelection

    patch_source(ServerSelection, "_keyed_candidates", ("if scope is Scope.GROUP:", "if False:"))


@mutant("keyed-window")
def _() -> None:
    """A keyed request is retried after its window too."""
    from cloverkeel.balancing.server_selection import ServerSelection

    patch_source(
        ServerSelection, "retry_candidates", ("if now_us - may_have_run[0].sent_us >= class_.window_us:", "if False:")
    )


@mutant("refuses-what-ran")
def _() -> None:
    """A request that may have run is refused, as if a retry were harmless."""
    from cloverkeel.balancing.final_answers import FinalAnswers

    refusable = "if not request.may_have_run() or class_.effect is Effect.SAFE or all_servers_drop_repeats:"
    patch_source(FinalAnswers, "give", (refusable, "if True:"))


@mutant("attempts-module")
def _() -> None:
    """The balancer doesn't limit the number of attempts."""
    from cloverkeel.balancing.request_lifecycle import RequestLifecycle

    patch_source(RequestLifecycle, "can_retry", ("len(request.attempts) >= self.settings.max_attempts", "False"))
    patch_source(
        RequestLifecycle, "on_attempt_overdue", ("len(request.attempts) < self.settings.max_attempts", "True")
    )


@mutant("second-copies")
def _() -> None:
    """Requests are hedged where the settings don't allow it."""
    from cloverkeel.balancing.request_lifecycle import RequestLifecycle

    patch_source(RequestLifecycle, "on_attempt_overdue", ("or not self.settings.may_hedge", ""))


@mutant("drain-module")
def _() -> None:
    """Draining servers are eligible."""
    from cloverkeel.balancing.subset import Subset

    patch_source(Subset, "is_eligible", ("if endpoint.entry.status is not ServerStatus.READY:", "if False:"))


@mutant("gone-module")
def _() -> None:
    """Servers that left the list are kept."""
    from cloverkeel.balancing.endpoints import Endpoints

    patch_attribute(Endpoints, "remove", lambda self, server: None)


@mutant("list-retry-soon")
def _() -> None:
    """A failed poll of the server list is retried only after seconds."""
    from cloverkeel.balancing import endpoint_updates

    patch_attribute(endpoint_updates, "MAX_RETRY_POLL_US", 5_000_000)


@mutant("repeat-by")
def _() -> None:
    """A retry of a keyed request may wait for its connection beyond the window."""
    from cloverkeel.balancing.attempt_sender import AttemptSender

    patch_attribute(AttemptSender, "write_deadline_us", lambda self, request: 0)


@mutant("list-again")
def _() -> None:
    """A failed poll of the server list is not retried."""
    from cloverkeel.balancing.endpoint_updates import EndpointUpdates

    poll = "self.buffer.actions.append(SetTimer(now_us + int(wait_us), LIST_TOKEN))"
    patch_source(EndpointUpdates, "on_error", (poll, "pass"))


@mutant("cold-budget")
def _() -> None:
    """A warming server is sent all requests, whatever its collapse budget."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    patch_attribute(SlowStartBudget, "has_headroom", lambda self, now_us, endpoint, request: True)


@mutant("cold-share")
def _() -> None:
    """A warming server counts as having its full capacity."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    patch_attribute(SlowStartBudget, "capacity_ratio", lambda self, now_us, endpoint: 1.0)


@mutant("cold-firsts")
def _() -> None:
    """Every gateway may send its first request to a warming server at once."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    patch_source(SlowStartBudget, "start", ("self.rng.random() * max_us", "0.0"))


@mutant("cold-late")
def _() -> None:
    """A server counts as settled at the time when it should be warm."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    patch_source(SlowStartBudget, "start", ("ends_at_us, ends_at_us + duration_us,", "ends_at_us, ends_at_us,"))


@mutant("cold-work")
def _() -> None:
    """Requests to a warming server are charged at the current latency of other servers, not at the stated work."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    patch_source(SlowStartBudget, "cost_us", ("if mean_us < min_us:", "if True:"))
    stated = "work_us >= MIN_WORK_RATIO * self.latency.unloaded_us[class_index]"
    patch_source(SlowStartBudget, "start", (stated, "False"))


@mutant("cold-understated")
def _() -> None:
    """Stated work is used however small it is."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    patch_source(
        SlowStartBudget, "cost_us", ("return max(min_us, ", "return max(0.0, "),
        ("if mean_us < min_us:", "if not mean_us:"),
    )  # fmt: skip
    stated = "work_us >= MIN_WORK_RATIO * self.latency.unloaded_us[class_index]"
    patch_source(SlowStartBudget, "start", (stated, "bool(work_us)"))


@mutant("cold-long")
def _() -> None:
    """Requests far larger than the mean may be sent to a warming server."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    patch_source(SlowStartBudget, "has_headroom", ("request.size > MAX_REQUEST_SIZE", "False"))


@mutant("cold-users")
def _() -> None:
    """Each gateway uses the whole collapse budget of a warming server."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    patch_source(SlowStartBudget, "budget_us", ("expected_users = max(", "expected_users = 1.0 or max("))


@mutant("cold-processes")
def _() -> None:
    """Each process of a gateway uses the gateway's whole quota of a warming server's budget."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    patch_source(SlowStartBudget, "budget_us", (" / quota_count / self.processes", " / quota_count"))


@mutant("breaker")
def _() -> None:
    """Servers are selected regardless of their circuit breakers."""
    from cloverkeel.balancing.circuit_breaker import CircuitBreaker

    patch_attribute(CircuitBreaker, "can_admit", lambda self, now_us: True)


@mutant("silent-server")
def _() -> None:
    """A silent server is sent further attempts."""
    from cloverkeel.balancing.subset import Subset

    silent = "return not in_flight or now_us - next(iter(in_flight.values())) <= self.latency.silence_timeout_us"
    patch_source(Subset, "is_eligible", (silent, "return True"))


@mutant("connect-verdict")
def _() -> None:
    """A failed connection counts like any other failure."""
    from cloverkeel.balancing.outlier_detection import OutlierDetector

    patch_source(OutlierDetector, "_record_for_server", ("if outcome is Outcome.CONNECT_FAILED and", "if False and"))


@mutant("common-failures")
def _() -> None:
    """Failures common to all servers count against each of them."""
    from cloverkeel.balancing.fleet_outcomes import FleetOutcomes

    patch_attribute(FleetOutcomes, "failure_ratio", lambda self, server, class_index: 0.0)


@mutant("shedding")
def _() -> None:
    """No request is shed, however long answers wait."""
    from cloverkeel.balancing.load_shedding import LoadShedder

    patch_attribute(LoadShedder, "record_outcome", lambda self, now_us, request, attempt, event: None)


@mutant("retry-tokens")
def _() -> None:
    """Retries and hedged requests cost no tokens."""
    from cloverkeel.balancing.request_lifecycle import RequestLifecycle

    patch_source(
        RequestLifecycle, "can_retry", ("if is_shed or self", "if self"),
        ("return self.retry_budget.can_withdraw(now_us, cost)", "return True"),
    )  # fmt: skip
    patch_source(
        RequestLifecycle, "on_attempt_overdue", (" or self.load_shedder.low_priority_ratio > 0.0", ""),
        ("if not self.retry_budget.can_withdraw(now_us, FULL_RETRY_COST):", "if False:"),
    )  # fmt: skip


@mutant("room-at-one")
def _() -> None:
    """A server has no concurrency limit."""
    from cloverkeel.balancing.server_selection import ServerSelection

    full = "if len(endpoint.in_flight) >= endpoint.concurrency.limit * limit_ratio:"
    patch_source(ServerSelection, "select", (full, "if False:"))


@mutant("room-shrinks")
def _() -> None:
    """The concurrency limit doesn't follow the latency of answers."""
    from cloverkeel.balancing.concurrency_limit import ConcurrencyLimit

    patch_attribute(ConcurrencyLimit, "record", lambda *args: None)


@mutant("begun-module")
def _() -> None:
    """A request whose response broke off while streaming to the client is retried."""
    from cloverkeel.balancing.request_lifecycle import RequestLifecycle

    patch_source(RequestLifecycle, "on_attempt_ended", ("or request.is_streaming:", "or False:"))


@mutant("share-empty")
def _() -> None:
    """Added quotas allow a full burst at once."""
    from cloverkeel.balancing.slow_start import SlowStart

    patch_attribute(SlowStart, "add_quotas", lambda self, held_before, burst_us: None)


@mutant("share-lent")
def _() -> None:
    """A proxy that has lent its quota still sends one request at a time."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    patch_source(SlowStartBudget, "has_headroom", ("burst_us > 0.0 and ", ""))


@mutant("share-start")
def _() -> None:
    """A new process uses its quota at once, though an earlier process may have lent it."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    patch_source(SlowStartBudget, "apply_quota", ("self.suspended_until_us = event.lent_us", "pass"))


@mutant("trials-left")
def _() -> None:
    """Half-open probes are suspended though most breakers are open."""
    from cloverkeel.balancing.peer_reports import PeerReports

    patch_source(PeerReports, "suspend_probes", (" and not self.has_closed_majority()", " and False"))


@mutant("hearsay-used")
def _() -> None:
    """Health reports of other proxies are ignored."""
    from cloverkeel.balancing.peer_reports import PeerReports

    patch_attribute(PeerReports, "apply_report", lambda self, now_us, event: None)


@mutant("hearsay-two")
def _() -> None:
    """A single reporter suffices for a suspicion."""
    from cloverkeel.balancing import peer_reports
    from cloverkeel.gossip import outlier_gossip, outlier_reports

    for module in (peer_reports, outlier_gossip, outlier_reports):
        vars(module)["MIN_REPORTERS"] = 1


@mutant("hearsay-verdict")
def _() -> None:
    """A health report of other proxies opens a breaker."""
    from cloverkeel.balancing.peer_reports import PeerReports

    opened = "breaker = endpoint.breaker; is_suspected and breaker.open(now_us)"
    patch_source(PeerReports, "apply_report", ("breaker = endpoint.breaker", opened))


@mutant("hearsay-common")
def _() -> None:
    """Other proxies' reports are applied without allowing for failures that all servers have in common."""
    from cloverkeel.balancing.peer_reports import PeerReports

    patch_source(
        PeerReports, "apply_report", ("ratio = self.fleet_outcomes.failure_ratio(event.server, None)", "ratio = 0.0")
    )


@mutant("hearsay-hold")
def _() -> None:
    """Probes wait for other proxies' probes as long as those fail."""
    from cloverkeel.balancing.peer_reports import PeerReports

    patch_source(PeerReports, "apply_report", ("min(event.until_us, max_us)", "event.until_us"))


@mutant("rights-end")
def _() -> None:
    """Retry tokens granted by other proxies never expire."""
    from cloverkeel.balancing.retry_budget import RetryBudget

    patch_source(RetryBudget, "available", ("now_us >= self.expires_at_us", "False"))


@mutant("cold-told-users")
def _() -> None:
    """The number of proxies that know a warming server is estimated, even if the list states it."""
    from cloverkeel.balancing.slow_start_budget import SlowStartBudget

    patch_source(SlowStartBudget, "budget_us", ("float(users or expected_users)", "float(expected_users)"))
