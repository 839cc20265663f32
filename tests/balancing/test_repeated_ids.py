"""An id that a client gives again reaches nothing that belongs to the request that had it before."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cloverkeel.balancing.balancer import Balancer
from cloverkeel.balancing.expiry_scan import EXPIRED_AFTER_US, SCAN_INTERVAL_US
from cloverkeel.balancing.load_shedding import MAX_COUNTED_FIRST_TRIES
from cloverkeel.balancing.actions import Action, Cancel, Fail, Log, Refuse, Send, SetTimer
from cloverkeel.balancing.events import (
    AttemptEnded,
    ListKind,
    ListedServer,
    Outcome,
    RequestArrived,
    RequestGone,
    ServerList,
    ServerStatus,
    StreamStarted,
    TimerFired,
)

from tests.helpers import KEYED, SAFE, SETTINGS, START_US, UNSAFE, Driver, finals, sends
from tests.sockets import configuration, on_loop, peer, request, running, until


def test_a_late_timer_of_an_answered_request_spares_its_namesake() -> None:
    driver = Driver()
    (first,) = sends(driver.handle(RequestArrived("r", 0, 400_000)))
    due = [timer for timer in driver.timers if timer.token != 1]
    driver.now_us += 20_000
    driver.end("r", first.server)
    (second,) = sends(driver.handle(RequestArrived("r", 0, 400_000)))
    for timer in due:
        driver.now_us = max(driver.now_us, timer.due_us)
        driver.handle(TimerFired(timer.token))
    assert "r" in driver.balancer.lifecycle.requests
    driver.end("r", second.server)
    assert not driver.balancer.lifecycle.requests and not driver.balancer.sender.in_flight
    assert not any(server.in_flight for server in driver.balancer.endpoints.by_server.values())


def test_an_attempt_that_nobody_ends_expires_and_is_logged_as_a_defect() -> None:
    driver = Driver()
    name, actions = driver.arrive(2, 400_000)
    (sent,) = sends(actions)
    said: list[Action] = []
    while not finals(said) and driver.now_us < START_US + 10 * (EXPIRED_AFTER_US + SCAN_INTERVAL_US):
        driver.now_us += SCAN_INTERVAL_US
        said += driver.handle(TimerFired(1))
    assert START_US + sent.timeout_us + EXPIRED_AFTER_US < driver.now_us
    assert finals(said) == [Fail(name)]  # unsafe, and it may have run
    assert any(isinstance(action, Log) and "DEFECT" in action.line for action in said)
    assert not driver.balancer.sender.in_flight and not driver.balancer.endpoints.by_server[sent.server].in_flight
    assert not driver.balancer.expiry_scan.due_at_us  # nothing is out: the sweep rests
    driver.end(name, sent.server)  # and its end, when it comes after all, changes nothing
    assert not driver.balancer.sender.in_flight


def test_the_expiry_scan_spares_what_is_within_its_time_and_what_streams() -> None:
    driver = Driver()
    name, actions = driver.arrive(0, 400_000)
    (sent,) = sends(actions)
    driver.now_us += sent.timeout_us + EXPIRED_AFTER_US  # the last moment
    assert not finals(driver.handle(TimerFired(1))) and driver.balancer.sender.in_flight == 1
    driver.handle(StreamStarted(name, 0))
    driver.now_us += 10 * EXPIRED_AFTER_US
    assert not finals(driver.handle(TimerFired(1))) and driver.balancer.sender.in_flight == 1


def test_an_expiry_scan_that_comes_late_expires_nothing_until_the_next() -> None:
    driver = Driver()
    name, actions = driver.arrive(2, 400_000)
    (sent,) = sends(actions)
    driver.now_us += sent.timeout_us + 2 * EXPIRED_AFTER_US  # whoever carries it out stood still as well
    said = driver.handle(TimerFired(1))
    assert not finals(said) and driver.balancer.sender.in_flight == 1
    (again,) = [action for action in said if isinstance(action, SetTimer)]
    driver.now_us = again.due_us
    assert finals(driver.handle(TimerFired(1))) == [Fail(name)]


ORDERED = replace(UNSAFE, in_order=True)
IDS = st.sampled_from(["a", "b", "c", "d"])


class RepeatedIds(RuleBasedStateMachine):
    """Any order of events, with ids that repeat, come late, come twice or are unknown."""

    def __init__(self) -> None:
        super().__init__()
        settings = replace(SETTINGS, classes=(SAFE, KEYED, UNSAFE, ORDERED), key_rest_us=50_000)
        self.balancer = Balancer(settings, seed=3)
        self.now_us = START_US
        self.timers: list[SetTimer] = []
        self.out: list[tuple[str, int, int]] = []  # request, attempt, server: what somebody must still end
        self.over: list[tuple[str, int, int]] = []  # ended: its end may be told again
        self.sent: dict[str, int] = {}  # attempts of the id's present request
        self.owed: set[str] = set()
        self.give(ServerList(ListKind.FULL, tuple(ListedServer(n, group=n % 2) for n in range(3))))

    def give(self, event: Any) -> list[Action]:
        if isinstance(event, RequestArrived) and event.request not in self.balancer.lifecycle.requests:
            self.sent[event.request] = 0
            self.owed.add(event.request)
        actions = self.balancer.handle(self.now_us, event)
        for action in actions:
            match action:
                case Send(request=id_, server=server):
                    assert id_ in self.owed, "sent for a request that was answered"
                    self.out.append((id_, self.sent[id_], server))
                    self.sent[id_] += 1
                case SetTimer():
                    self.timers.append(action)
                case Refuse(request=id_) | Fail(request=id_):
                    assert id_ in self.owed, "a second final answer"
                    self.owed.discard(id_)
                case Cancel(request=id_, attempt=number):
                    assert number < self.sent[id_]
                case _:
                    pass
        return actions

    @rule(id_=IDS, class_index=st.integers(0, 3), key=st.sampled_from([None, 1, 2]), retry=st.booleans())
    def arrive(self, id_: str, class_index: int, key: int | None, retry: bool) -> None:
        self.give(RequestArrived(id_, class_index, 400_000, key=key, is_retry=retry))

    @precondition(lambda self: self.out)
    @rule(data=st.data(), outcome=st.sampled_from(Outcome), latency=st.integers(1_000, 300_000))
    def end(self, data: st.DataObject, outcome: Outcome, latency: int) -> None:
        ended = data.draw(st.sampled_from(self.out))
        self.out.remove(ended)
        self.over.append(ended)
        id_, number, server = ended
        if outcome is Outcome.OK:
            self.owed.discard(id_)
        finished = id_ not in self.owed
        self.give(AttemptEnded(id_, number, server, outcome, latency, finished))

    @precondition(lambda self: self.over)
    @rule(data=st.data(), outcome=st.sampled_from([Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED]))
    def end_twice(self, data: st.DataObject, outcome: Outcome) -> None:
        id_, number, server = data.draw(st.sampled_from(self.over))
        if (id_, number, server) not in self.out:  # its namesake's attempt would be another one
            still_out = [n for i, n, _ in self.out if i == id_]
            if number not in still_out:
                self.give(AttemptEnded(id_, number, server, outcome, 10_000, id_ not in self.owed))

    @rule(id_=IDS)
    def leave(self, id_: str) -> None:
        self.owed.discard(id_)
        self.give(RequestGone(id_))

    @rule(id_=st.sampled_from(["nobody", ""]), number=st.integers(-1, 3))
    def unknown(self, id_: str, number: int) -> None:
        self.give(AttemptEnded(id_, number, 1, Outcome.OK, 1_000, True))
        self.give(RequestGone(id_))
        self.give(StreamStarted(id_, number))
        self.give(TimerFired(10**9))

    @rule(server=st.integers(0, 2), status=st.sampled_from(ServerStatus), age=st.sampled_from([0, 1_000_000]))
    def relist(self, server: int, status: ServerStatus, age: int) -> None:
        started_us = self.now_us - age if age else 0
        entry = ListedServer(server, status, group=server % 2, started_us=started_us)
        self.give(ServerList(ListKind.DELTA, (entry,)))

    @rule(wait_us=st.integers(1, 600_000))
    def wait(self, wait_us: int) -> None:
        self.now_us += wait_us

    @precondition(lambda self: self.timers)
    @rule(data=st.data())
    def fire(self, data: st.DataObject) -> None:
        due = data.draw(st.sampled_from(self.timers))
        self.timers.remove(due)
        self.now_us = max(self.now_us, due.due_us)
        self.give(TimerFired(due.token))

    @invariant()
    def counts_agree(self) -> None:
        balancer = self.balancer
        assert balancer.sender.in_flight == sum(request.in_flight for request in balancer.lifecycle.requests.values())
        for known in balancer.lifecycle.requests.values():
            assert known.in_flight == sum(not attempt.has_ended for attempt in known.attempts)
        assert (
            sum(len(server.in_flight) for server in balancer.endpoints.by_server.values())
            <= balancer.sender.in_flight
        )
        assert self.owed <= balancer.lifecycle.requests.keys()

    def teardown(self) -> None:
        """Quiet: what the drawn events left out ends or is lost, each timer fires; then all is as new."""
        for lost, (id_, number, server) in enumerate(list(self.out)):
            if lost % 2:  # every other one is never heard of again
                self.give(AttemptEnded(id_, number, server, Outcome.RESET, 1_000, id_ not in self.owed))
        self.out.clear()
        for _ in range(MAX_COUNTED_FIRST_TRIES):
            if not self.timers:
                break
            due = min(self.timers, key=lambda timer: timer.due_us)
            self.timers.remove(due)
            self.now_us = max(self.now_us, due.due_us)
            self.give(TimerFired(due.token))
            for id_, number, server in self.out:
                self.give(AttemptEnded(id_, number, server, Outcome.FULL, 1_000, id_ not in self.owed))
            self.out.clear()
        balancer = self.balancer
        assert not self.timers and not balancer.timers.request_by_token and not balancer.expiry_scan.due_at_us
        assert not balancer.lifecycle.requests and not balancer.lifecycle.key_queues.queue_by_key and not self.owed
        assert not balancer.sender.in_flight and not any(
            server.in_flight for server in balancer.endpoints.by_server.values()
        )
        self.now_us += 60_000_000
        fresh = tuple(ListedServer(n) for n in range(10, 13))
        self.give(ServerList(ListKind.FULL, fresh))
        balancer.load_shedder.low_priority_ratio = balancer.load_shedder.high_priority_ratio = (
            0.0  # drawn outcomes may have it refuse by chance
        )
        assert sends(self.give(RequestArrived("fresh", 0, 400_000)))


RepeatedIds.TestCase.settings = hypothesis_settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
test_any_order_of_events_leaves_nothing_behind = RepeatedIds.TestCase


@on_loop
async def test_a_client_that_uses_its_ids_again_silences_nobody() -> None:
    """Of 30,000 requests 29,950 were refused, for good, once a client had done so."""
    async with peer() as one, peer() as two, peer() as three:
        config = configuration(one, two, three)
        for lane in config["settings"]["lanes"]:
            lane["aimUs"], lane["giveUpUs"] = 100_000, 2_000_000
        async with running(config) as run:

            async def ask_on(worker: int) -> None:
                client = await run.connect()
                for n in range(120):
                    await client.ask(request(x_call_id=f"{worker}-{n % 3}", budget_ms=2_000))
                    if n % 10 == 9:
                        await asyncio.sleep(0.03)  # the timers of what was answered come in between
                client.close()

            await asyncio.gather(*map(ask_on, range(8)))
            for host in (one, two, three):
                seen = len(host.seen)
                while len(host.seen) == seen:  # each of them serves again: none counts as silent
                    await run.ask(request(budget_ms=2_000))
            await until(lambda: not run.gateway.requests.by_key)
            assert not run.gateway.requests.by_client_id
            assert not run.module.lifecycle.requests and not run.module.sender.in_flight
