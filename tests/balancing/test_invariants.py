"""Properties of the balancer over generated event sequences: rules on retries, order and answers for each effect."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.helpers import SAFE, START_US, UNSAFE, Driver
from tests.helpers import SETTINGS as BASE_SETTINGS
from cloverkeel.balancing.actions import Action, Cancel, Fail, Refuse, Send, SetTimer
from cloverkeel.balancing.events import (
    AttemptEnded,
    Event,
    ListKind,
    ListedServer,
    NEVER_RAN,
    Outcome,
    RequestArrived,
    RequestGone,
    ServerList,
    ServerStatus,
    TimerFired,
)
from cloverkeel.balancing.settings import Effect, Scope, Settings
from cloverkeel.balancing.balancer import Balancer
from cloverkeel.balancing.endpoints import MAX_DEPARTED
from cloverkeel.balancing.circuit_breaker import BreakerState

GROUP_BY_SERVER = {n: n // 3 for n in range(6)}
IN_ORDER = replace(UNSAFE, in_order=True)
SETTINGS = replace(BASE_SETTINGS, classes=(*BASE_SETTINGS.classes, IN_ORDER, replace(SAFE, in_order=True)))
VARIANTS = (
    SETTINGS,
    replace(SETTINGS, full_unproven=True),
    replace(SETTINGS, full_unproven=True, key_rest_us=30_000, may_hedge=False),
)
MAY_STILL_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


@dataclass
class TrackedAttempt:
    server: int
    sent_us: int
    timeout_us: int
    outcome: Outcome | None = None
    ended_us: int = 0


@dataclass
class TrackedRequest:
    class_index: int
    key: int | None
    deadline_us: int
    attempts: list[TrackedAttempt] = field(default_factory=list)
    answers: list[Action] = field(default_factory=list)
    is_done: bool = False  # answered, served, or abandoned by its client


class RuleChecker:
    """Pass events to a balancer, carry out its actions, and check each against the rules."""

    def __init__(self, seed: int, balancer_settings: Settings = SETTINGS) -> None:
        self.settings = balancer_settings
        self.balancer = Balancer(balancer_settings, seed)
        self.now_us = START_US
        self.requests: dict[str, TrackedRequest] = {}
        self.timers: list[tuple[int, int]] = []
        self.status = dict.fromkeys(GROUP_BY_SERVER, ServerStatus.READY)
        self.handle(ServerList(ListKind.FULL, tuple(ListedServer(n, group=g) for n, g in GROUP_BY_SERVER.items())))

    def handle(self, event: Event) -> None:
        for action in self.balancer.handle(self.now_us, event):
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        if isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, Refuse | Fail):
            request = self.requests[action.request]
            assert not request.is_done, "a second final answer"
            assert self.now_us <= request.deadline_us + 8_000
            request.is_done = True
            request.answers.append(action)
            if isinstance(action, Refuse):
                self.check_refusal(request)
        elif isinstance(action, SetTimer):
            self.timers.append((action.due_us, action.token))
        elif isinstance(action, Cancel):
            assert action.attempt < len(self.requests[action.request].attempts)

    def check_send(self, action: Send) -> None:
        request = self.requests[action.request]
        assert not request.is_done, "attempt sent after the final answer"
        assert self.status[action.server] is ServerStatus.READY
        assert len(request.attempts) < self.settings.max_attempts
        assert self.settings.may_hedge or all(a.outcome is not None for a in request.attempts)
        self.check_in_order(action.request, request)
        assert action.timeout_us > 0
        class_ = self.settings.classes[request.class_index]
        may_have_run = [a for a in request.attempts if self.may_have_run(a)]
        if class_.effect is Effect.UNSAFE:
            assert not may_have_run, "an unsafe request that may have run was sent again"
        if class_.effect is Effect.KEYED and may_have_run:
            assert all(GROUP_BY_SERVER[a.server] == GROUP_BY_SERVER[action.server] for a in may_have_run)
            assert self.now_us - may_have_run[0].sent_us < class_.window_us
        request.attempts.append(TrackedAttempt(action.server, self.now_us, action.timeout_us))

    def may_have_run(self, attempt: TrackedAttempt) -> bool:
        return attempt.outcome not in NEVER_RAN or (attempt.outcome is Outcome.FULL and self.settings.full_unproven)

    def check_in_order(self, name: str, request: TrackedRequest) -> None:
        """Check that earlier in-order requests of the same key have finished, and `key_rest_us` has passed.

        The wait applies only after an attempt that may still be running. Requests of other classes are not checked.
        """
        if request.key is None or not self.settings.classes[request.class_index].in_order:
            return
        for other_name, other in self.requests.items():
            if other_name == name:
                break
            if other.key != request.key or not self.settings.classes[other.class_index].in_order:
                continue
            assert other.is_done, "sent before an earlier request of its key had finished"
            assert all(a.outcome is not None for a in other.attempts), "an earlier request has an attempt in flight"
            ended_us = [a.ended_us for a in other.attempts if a.outcome in MAY_STILL_RUN]
            assert (
                self.now_us >= max(ended_us, default=0) + self.settings.key_rest_us
            ), "sent before key_rest_us had passed"

    def check_refusal(self, request: TrackedRequest) -> None:
        class_ = self.settings.classes[request.class_index]
        may_have_run = [a for a in request.attempts if self.may_have_run(a)]
        if may_have_run:
            is_repeat_dropped = class_.effect is Effect.KEYED and class_.scope is Scope.ALL
            assert class_.effect is Effect.SAFE or is_repeat_dropped

    def arrive(self, class_index: int, client_timeout_us: int) -> None:
        name = f"r{len(self.requests)}"
        key = client_timeout_us % 3 or None
        self.requests[name] = TrackedRequest(class_index, key, self.now_us + client_timeout_us)
        self.handle(RequestArrived(name, class_index, client_timeout_us, key))

    def end_any(self, pick: int, outcome: Outcome) -> None:
        in_flight = [(n, i) for n, r in self.requests.items() for i, a in enumerate(r.attempts) if a.outcome is None]
        if in_flight:
            self.end(*in_flight[pick % len(in_flight)], outcome)

    def end(self, name: str, number: int, outcome: Outcome) -> None:
        request = self.requests[name]
        attempt = request.attempts[number]
        attempt.outcome, attempt.ended_us = outcome, self.now_us
        request.is_done = request.is_done or outcome is Outcome.OK
        event = AttemptEnded(
            name, number, attempt.server, outcome, self.now_us - attempt.sent_us, finished=request.is_done
        )
        self.handle(event)

    def disconnect(self, pick: int) -> None:
        open_requests = [n for n, r in self.requests.items() if not r.is_done]
        if open_requests:
            name = open_requests[pick % len(open_requests)]
            self.requests[name].is_done = True
            self.handle(RequestGone(name))

    def set_status(self, server: int, status: ServerStatus) -> None:
        self.status[server] = status
        self.handle(ServerList(ListKind.DELTA, (ListedServer(server, status, group=GROUP_BY_SERVER[server]),)))

    def advance(self, by_us: int) -> None:
        """Advance the clock, stopping at each timer and each attempt's timeout."""
        target_us = self.now_us + by_us
        while True:
            due_times_us = [due for due, _ in self.timers] + [
                a.sent_us + a.timeout_us for r in self.requests.values() for a in r.attempts if a.outcome is None
            ]
            due = min(due_times_us, default=target_us + 1)
            if due > target_us:
                break
            self.now_us = max(self.now_us, due)
            for name, request in self.requests.items():
                for number, attempt in enumerate(request.attempts):
                    if attempt.outcome is None and attempt.sent_us + attempt.timeout_us <= self.now_us:
                        self.end(name, number, Outcome.TIMEOUT)
            fired = [token for when, token in self.timers if when <= self.now_us]
            self.timers = [(when, token) for when, token in self.timers if when > self.now_us]
            for token in fired:
                self.handle(TimerFired(token))
        self.now_us = target_us


STEPS = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 4), st.integers(1_000, 400_000)),
    st.tuples(st.just("arrive"), st.integers(0, 4), st.integers(100_000, 400_000)),
    st.tuples(st.just("end_any"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("end_any"), st.integers(0, 50), st.just(Outcome.OK)),
    st.tuples(st.just("repeat"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("disconnect"), st.integers(0, 50), st.just(0)),
    st.tuples(st.just("status"), st.integers(0, 5), st.sampled_from(list(ServerStatus))),
    st.tuples(st.just("advance"), st.integers(100, 200_000), st.just(0)),
)


@settings(max_examples=150, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(st.integers(0, 3), st.sampled_from(VARIANTS), st.lists(STEPS, min_size=10, max_size=150))
def test_rules_hold_for_generated_event_sequences(
    seed: int, balancer_settings: Settings, steps: list[tuple[str, int, int]]
) -> None:
    checker = RuleChecker(seed, balancer_settings)
    for step, first, second in steps:
        if step == "arrive":
            checker.arrive(first, second)
        elif step == "end_any":
            checker.end_any(first, second)  # type: ignore[arg-type]
        elif step == "repeat":  # the end of an attempt that was never sent
            checker.handle(AttemptEnded(f"r{first}", 9, 0, second, 1))  # type: ignore[arg-type]
        elif step == "disconnect":
            checker.disconnect(first)
        elif step == "status":
            checker.set_status(first, second)  # type: ignore[arg-type]
        else:
            checker.advance(first)
    checker.advance(2_000_000)
    for request in checker.requests.values():
        assert request.is_done, "a request got no final answer"
    balancer = checker.balancer
    assert (
        not balancer.lifecycle.requests
        and not balancer.timers.request_by_token
        and not balancer.lifecycle.key_queues.queue_by_key
    )
    assert all(not s.in_flight for s in balancer.endpoints.by_server.values())


@pytest.mark.parametrize("seed", [1, 7])
def test_same_seed_and_events_give_the_same_actions(seed: int) -> None:
    runs = []
    for _ in range(2):
        balancer = Balancer(SETTINGS, seed)
        actions = list(balancer.handle(START_US, ServerList(ListKind.FULL, tuple(ListedServer(n) for n in range(8)))))
        for n in range(200):
            actions += balancer.handle(START_US + n * 1_000, RequestArrived(f"r{n}", n % 3, 300_000))
        runs.append(actions)
    assert runs[0] == runs[1]
    assert sum(isinstance(a, Send) for a in runs[0]) > 8


def test_relisted_server_keeps_its_breaker_if_its_process_is_the_same() -> None:
    driver = Driver(servers=2)
    for kind in (ListKind.DELTA, ListKind.FULL):
        server = driver.balancer.endpoints.by_server[1]
        server.breaker.reopen(driver.now_us)
        if kind is ListKind.DELTA:
            driver.list_servers(ListedServer(1, ServerStatus.GONE), kind=kind)
        else:
            driver.list_servers(ListedServer(0))
        assert 1 not in driver.balancer.endpoints.by_server
        driver.list_servers(ListedServer(1, group=1), kind=ListKind.DELTA)
        assert driver.balancer.endpoints.by_server[1] is server and server.breaker.state is BreakerState.OPEN
        server.breaker.close()
    driver.list_servers(ListedServer(1, ServerStatus.GONE), kind=ListKind.DELTA)
    driver.list_servers(ListedServer(1, started_us=driver.now_us), kind=ListKind.DELTA)
    assert driver.balancer.endpoints.by_server[1] is not server  # a new process
    driver.list_servers(ListedServer(0), *(ListedServer(n) for n in range(100, 300)))
    driver.list_servers(ListedServer(0))
    assert len(driver.balancer.endpoints.departed) == MAX_DEPARTED
