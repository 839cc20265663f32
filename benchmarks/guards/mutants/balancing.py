"""Mutants of the decisions: each takes out one guard."""

from __future__ import annotations

from benchmarks.guards.patching import cut, entry, swap


@entry("answers-failed")
def _() -> None:
    """A request whose attempts have all failed is given no answer."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "answer_unserved", ("self.actions.append(Fail(request.id))", "pass"))


@entry("answers-refused")
def _() -> None:
    """A request that is turned away is given no answer."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "answer_unserved", ("self.actions.append(Refuse(request.id, self.retry_after_us(), why))", "pass"))


@entry("deadline-module")
def _() -> None:
    """The module waits for an attempt as long as it likes."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "try_send", ("max(1, self.end_us(request) - self.now_us)", "10_000_000"))


@entry("free-by-identity")
def _() -> None:
    """The module forgets whatever has the id of a request that is over."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "free", ("if self.requests.get(request.id) is request:", "if request.id in self.requests:"))


@entry("sweep")
def _() -> None:
    """Attempts that nobody ended count as out for ever."""
    from cloverkeel.balancing.balancer import Balancer

    swap(Balancer, "sweep", lambda self: self.set_sweep())


@entry("unsafe-again")
def _() -> None:
    """After a failure, what runs at most once is tried again though it may have run."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "try_again", ("klass.effect is not Effect.UNSAFE and not shed", "not shed"))


@entry("unsafe-servers")
def _() -> None:
    """There are servers for what runs at most once though it may have run."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "allowed_servers", ("if ran and klass.effect is Effect.UNSAFE:", "if False:"))


@entry("keyed-group")
def _() -> None:
    """What carries a key is repeated anywhere."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "allowed_servers", ("elif klass.scope is Scope.GROUP:", "elif False:"))


@entry("keyed-window")
def _() -> None:
    """What carries a key is repeated at any time."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "allowed_servers", ("if self.now_us - ran[0].sent_us >= klass.window_us:", "if False:"))


@entry("refuses-what-ran")
def _() -> None:
    """What may have run is refused, as if it could be repeated."""
    from cloverkeel.balancing.balancer import Balancer

    cut(
        Balancer, "answer_unserved",
        ("if not ran or klass.effect is Effect.SAFE or dropped_anywhere:", "if True:"),
    )  # fmt: skip


@entry("attempts-module")
def _() -> None:
    """The module counts no attempts."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "try_again", ("len(request.attempts) < self.settings.max_attempts", "True"))
    cut(Balancer, "on_overdue", ("len(request.attempts) < self.settings.max_attempts", "True"))


@entry("second-copies")
def _() -> None:
    """A second copy is sent where none may be."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "on_overdue", ("or not self.settings.second_copies", ""))


@entry("drain-module")
def _() -> None:
    """The module picks servers that drain."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "is_eligible", ("if server.entry.status is not ServerStatus.READY:", "if False:"))


@entry("gone-module")
def _() -> None:
    """The module keeps servers that left the list."""
    from cloverkeel.balancing.balancer import Balancer

    swap(Balancer, "take_leave", lambda self, number: None)


@entry("list-retry-soon")
def _() -> None:
    """A call that failed is made again after a long while."""
    from cloverkeel.balancing import balancer as balance

    swap(balance, "LIST_RETRY_US", 5_000_000)


@entry("repeat-by")
def _() -> None:
    """A repeat may wait for its connection beyond the window."""
    from cloverkeel.balancing.balancer import Balancer

    swap(Balancer, "repeat_by_us", lambda self, request: 0)


@entry("list-again")
def _() -> None:
    """A call to discovery that failed is not made again."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "on_list", ("self.actions.append(SetTimer(self.now_us + int(wait_us), LIST_TOKEN))\n        return",
                              "return"))  # fmt: skip


@entry("cold-budget")
def _() -> None:
    """A cold server is sent whatever comes."""
    from cloverkeel.balancing.balancer import Balancer

    swap(Balancer, "cold_room", lambda self, server, request: True)


@entry("cold-share")
def _() -> None:
    """A cold server is held for warm."""
    from cloverkeel.balancing.balancer import Balancer

    swap(Balancer, "cold_share", lambda self, server: 1.0)


@entry("cold-firsts")
def _() -> None:
    """Each gateway may send its first request to a cold server at once."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "list_server", ("self.random.random() * most_us", "0.0"))


@entry("cold-late")
def _() -> None:
    """A server counts as warm from the moment at which it should be."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "list_server", ("warm_at_us, warm_at_us + warm_us)", "warm_at_us, warm_at_us)"))


@entry("cold-work")
def _() -> None:
    """What a request costs a cold server is told by how long others wait."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "cold_cost_us", ("if mean_us < least_us:", "if True:"))
    cut(Balancer, "list_server", ("[work if work >= UNDERSTATED * least else waited for", "[waited for"))


@entry("cold-understated")
def _() -> None:
    """What clients say of their requests' work is believed, however little it is."""
    from cloverkeel.balancing.balancer import Balancer

    cut(
        Balancer, "cold_cost_us", ("return max(least_us, ", "return max(0.0, "),
        ("if mean_us < least_us:", "if not mean_us:"),
    )  # fmt: skip
    cut(Balancer, "list_server", ("work if work >= UNDERSTATED * least else", "work or"))


@entry("cold-long")
def _() -> None:
    """A long request may go to a cold server as any other."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "cold_room", ("request.size > COLD_LARGEST", "False"))


@entry("cold-users")
def _() -> None:
    """Each gateway takes the whole budget of a cold server for its own."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "fall_budget_us", ("users = max(", "users = 1.0 or max("))


@entry("cold-processes")
def _() -> None:
    """Each of a gateway's processes takes its whole part of a cold server's budget for its own."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "fall_budget_us", (" / users / self.processes", " / users"))


@entry("breaker")
def _() -> None:
    """A server is picked whatever its breaker says."""
    from cloverkeel.balancing.circuit_breaker import CircuitBreaker

    swap(CircuitBreaker, "can_admit", lambda self, now_us: True)


@entry("silent-server")
def _() -> None:
    """A server that owes an answer for long is sent more."""
    from cloverkeel.balancing.balancer import Balancer

    cut(
        Balancer, "is_eligible",
        (
            "return not server.out or self.now_us - next(iter(server.out.values())) <= self.latency.silence_timeout_us",
            "return True",
        ),
    )  # fmt: skip


@entry("connect-verdict")
def _() -> None:
    """A connection that fails is a failure like any other."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "judge", ("if outcome is Outcome.CONNECT_FAILED and", "if False and"))


@entry("common-failures")
def _() -> None:
    """Each server is blamed for what fails everywhere."""
    from cloverkeel.balancing.fleet_outcomes import FleetOutcomes

    swap(FleetOutcomes, "failure_ratio", lambda self, server, class_index: 0.0)


@entry("shedding")
def _() -> None:
    """Whatever comes is sent on, however long answers wait."""
    from cloverkeel.balancing.balancer import Balancer

    swap(Balancer, "adjust_shed", lambda self, request, attempt, event: None)


@entry("retry-tokens")
def _() -> None:
    """Repeats cost nothing."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "try_again", ("not shed and self.retry_budget.can_withdraw(self.now_us, cost)", "True"))
    limit = "if self.shed > 0.0 or not self.retry_budget.can_withdraw(self.now_us, FULL_RETRY_COST):"
    cut(Balancer, "on_overdue", (limit, "if False:"))


@entry("room-at-one")
def _() -> None:
    """A server is sent whatever comes."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "pick", ("if len(server.out) >= server.room * open_share:", "if False:"))


@entry("room-shrinks")
def _() -> None:
    """A server's room does not follow its answers."""
    from cloverkeel.balancing.balancer import Balancer

    swap(Balancer, "adjust_room", lambda *args: None)


@entry("begun-module")
def _() -> None:
    """The module tries what broke off on its way to the client again."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "on_attempt_ended", ("or request.streaming:", "or False:"))


@entry("share-empty")
def _() -> None:
    """Parts that come bring a full bucket along."""
    from cloverkeel.balancing.balancer import Balancer

    swap(Balancer, "gain", lambda self, server, had, more: None)


@entry("share-lent")
def _() -> None:
    """A part that is lent is used for one request at a time all the same."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "cold_room", ("burst_us > 0.0 and ", ""))


@entry("share-start")
def _() -> None:
    """A process that begins uses its part at once."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "on_slow_start_quota", ("self.cold_from_us = event.lent_us", "pass"))


@entry("trials-left")
def _() -> None:
    """Trials are held back though most servers are out."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "on_probes_suspended", (" and 2 * closed < len(self.servers)", " and False"))


@entry("hearsay-used")
def _() -> None:
    """The module makes nothing of what others saw."""
    from cloverkeel.balancing.balancer import Balancer

    swap(Balancer, "on_peer_health_report", lambda self, event: None)


@entry("hearsay-two")
def _() -> None:
    """One teller is enough for a doubt."""
    from cloverkeel.balancing import balancer as balance
    from cloverkeel.gossip import outlier_reports as evidence, node as exchange

    for module in (balance, evidence, exchange):
        vars(module)["DOUBT_TELLERS"] = 1


@entry("hearsay-verdict")
def _() -> None:
    """What others saw opens a breaker."""
    from cloverkeel.balancing.balancer import Balancer

    opened = "breaker = server.breaker; bad and breaker.open(self.now_us)"
    cut(Balancer, "on_peer_health_report", ("breaker = server.breaker", opened))


@entry("hearsay-common")
def _() -> None:
    """What fails here everywhere does not speak for a server that fails for others."""
    from cloverkeel.balancing.balancer import Balancer

    common = "common = self.fleet_outcomes.failure_ratio(server.entry.server, None)"
    cut(Balancer, "on_peer_health_report", (common, "common = 0.0"))


@entry("hearsay-hold")
def _() -> None:
    """Trials wait for others' for as long as others fail."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "on_peer_health_report", ("min(event.until_us, most_us)", "event.until_us"))


@entry("rights-end")
def _() -> None:
    """What came from others is kept."""
    from cloverkeel.balancing.retry_budget import RetryBudget

    cut(RetryBudget, "available", ("now_us >= self.expires_at_us", "False"))


@entry("cold-told-users")
def _() -> None:
    """How many know a cold server is taken from the list's length alone, whatever is told."""
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "fall_budget_us", ("float(told or users)", "float(users)"))
