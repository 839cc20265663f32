"""Seeded streams of events for the decisions, and what they made of each: the same from the same seed.

A stream follows the actions that it gets, as a gateway would, and puts in what a gateway never should: ids that are
not there, attempts that have ended, classes beyond the settings, clocks that step back, numbers past 64 bits.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from cloverkeel.balancing.balancer import Balancer
from cloverkeel.balancing.actions import Action, Cancel, Fail, Refuse, Send, SetTimer
from cloverkeel.balancing.events import (
    AnswerAll,
    AttemptEnded,
    Event,
    ListKind,
    ListedServer,
    LoadReport,
    Outcome,
    PeerHealthReport,
    PeerMessage,
    Probed,
    ProbesSuspended,
    ProcessesChanged,
    RequestArrived,
    RequestGone,
    RetryTokenGrant,
    ServerList,
    ServerStatus,
    SlowStartQuota,
    StreamStarted,
    TimerFired,
)
from cloverkeel.balancing.settings import Effect, Goal, Prices, Reports, RequestClass, Scope, Settings, Tenant

HUGE = 2**70 + 3  # past any machine word
KEPT = 400  # requests that a stream still speaks of


def draw_settings(rng: random.Random) -> Settings:
    """Settings as a deployment might have them; every field that decides something is drawn."""

    def draw_class() -> RequestClass:
        objective_us = rng.choice((20_000, 200_000, 300_000, 600_000))
        return RequestClass(
            objective_us=objective_us, client_timeout_us=objective_us * rng.choice((1, 2, 5)),
            priority_weight=rng.choice((0.0, 1.0, 3.0, 8.0)),
            late_weight=rng.choice((0.0, 0.0, 0.2, 1.0)), effect=rng.choice(list(Effect)),
            scope=rng.choice(list(Scope)), window_us=rng.choice((0, 150_000, 1_500_000)),
            in_order=rng.random() < 0.2,
        )  # fmt: skip

    tenants = tuple(Tenant(share=rng.random()) for _ in range(rng.choice((0, 0, 2))))
    return Settings(
        classes=tuple(draw_class() for _ in range(rng.randint(1, 3))),
        goal=Goal(0.7, rng.random(), rng.random(), rng.random()), weight_by_work=rng.random() < 0.5,
        proxies=(proxies := rng.choice((1, 3, 45, 420))), proxy=rng.randrange(proxies), zone=rng.randrange(3),
        prices=Prices(cross_zone=rng.choice((0.0, 0.02, 0.08))), tenants=tenants, overuse_weight=rng.random(),
        marks_retry=rng.random() < 0.5, max_attempts=rng.randint(1, 6), may_cancel=rng.random() < 0.8,
        may_hedge=rng.random() < 0.5, may_probe=rng.random() < 0.5, reports=rng.choice(list(Reports)),
        servers_know_keys=rng.random() < 0.5, list_is_pushed=rng.random() < 0.5,
        start_capacity=rng.uniform(0.1, 1.0),
        slow_start_us=rng.choice((0, 5_000_000, 20_000_000)), collapse_multiple=rng.uniform(1.0, 3.0),
        collapse_window_us=rng.choice((1_000_000, 2_000_000)), full_unproven=rng.random() < 0.2,
        key_rest_us=rng.choice((0, 50_000)), max_retry_after_us=rng.choice((0, 2_000_000)),
    )  # fmt: skip


@dataclass
class Stream:
    """One gateway's life: events drawn from a seed, in answer to what the module does."""

    seed: int
    events: int = 2_000
    now_us: int = 50_000_000
    count: int = 0
    out: list[tuple[str, int, int, int]] = field(default_factory=list)  # request, attempt, server, sent
    attempts: dict[str, int] = field(default_factory=dict)
    open: set[str] = field(default_factory=set)
    timers: list[tuple[int, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.settings = draw_settings(self.rng)
        self.balancer = Balancer(self.settings, self.seed)
        # Every third has few faults: what decides among servers that are well shows there, and refusals hide nothing.
        self.is_calm = self.seed % 3 == 2
        self.servers = self.rng.choice((3, 12, 24) if self.is_calm else (1, 3, 12, 64, 300))
        self.slow = 1.0

    def listed(self, number: int) -> ListedServer:
        rng = self.rng
        started_us = rng.choice((0, 0, self.now_us, self.now_us - rng.randrange(20_000_000)))
        status = rng.choice((ServerStatus.READY,) * 8 + (ServerStatus.DRAINING, ServerStatus.GONE))
        users = rng.choice((0, 1, 7, 40)) if self.seed % 2 else 0
        return ListedServer(
            number, status, rng.choice((0.5, 1.0, 1.0, 2.0)), rng.randrange(3), rng.randrange(3), 0, started_us,
            users,
        )  # fmt: skip

    def list_event(self, kind: ListKind) -> ServerList:
        numbers: Sequence[int] = range(self.servers)
        if kind is ListKind.DELTA:
            count = self.rng.choice((1, 1, 1, 5, self.servers // 4 + 1))
            numbers = self.rng.sample(range(self.servers + 2), min(count, self.servers))
        return ServerList(kind, tuple(self.listed(n * 7919 + 5) for n in numbers if self.rng.random() < 0.95))

    def arrival(self) -> RequestArrived:
        rng = self.rng
        self.count += 1
        name = f"r{self.count}" if rng.random() < 0.98 else f"r{rng.randint(1, self.count)}"
        class_index = rng.randrange(len(self.settings.classes)) if rng.random() < 0.98 else rng.choice((-1, 7, HUGE))
        known = self.settings.classes[class_index if 0 <= class_index < len(self.settings.classes) else 0]
        client_timeout_us = rng.choice(
            (known.client_timeout_us, known.client_timeout_us // 2, rng.randint(1, known.client_timeout_us))
        )
        key = rng.choice((None, rng.randrange(40), rng.getrandbits(64), HUGE))
        work_us = rng.choice((None, rng.randint(1, 200_000), 0))
        return RequestArrived(
            name, class_index, client_timeout_us, key, work_us, rng.random() < 0.2, rng.choice((0, 1, 5))
        )

    def ended(self) -> AttemptEnded:
        rng = self.rng
        if not self.out or rng.random() < 0.03:
            name = f"r{rng.randint(1, self.count + 1)}"
            number, outcome = rng.choice((0, 1, -1, 99)), rng.choice(list(Outcome))
            return AttemptEnded(name, number, 5, outcome, rng.randrange(10**6))
        request, attempt, server, sent_us = self.out.pop(rng.randrange(len(self.out)))
        outcome = rng.choice((Outcome.OK,) * (200 if self.is_calm else 12) + tuple(Outcome))
        latency_us = max(1, int(self.slow * rng.expovariate(1 / 40_000)))
        if outcome is Outcome.TIMEOUT:
            latency_us = self.now_us - sent_us
        load = LoadReport(queue=rng.random()) if rng.random() < 0.1 else None
        return AttemptEnded(request, attempt, server, outcome, latency_us, outcome is Outcome.OK, load)

    def draw(self) -> Event:
        rng = self.rng
        self.now_us += rng.choice((0, 200, 2_000, 5_000, 40_000)) if rng.random() < 0.98 else 3_000_000
        if rng.random() < 0.01:
            self.slow = rng.choice((0.2, 0.5, 1.0, 2.0) if self.is_calm else (1.0, 1.0, 5.0, 30.0))
        self.timers.sort()
        if self.timers and self.timers[0][0] <= self.now_us:
            return TimerFired(self.timers.pop(0)[1])
        roll = rng.random()
        if roll < 0.43:
            return self.arrival()
        if roll < 0.86:
            return self.ended()
        if roll < 0.89:
            return self.list_event(rng.choice(list(ListKind)))
        if roll < 0.91 and self.open:
            return RequestGone(rng.choice(sorted(self.open)))
        if roll < 0.92:
            return StreamStarted(f"r{rng.randint(1, self.count + 1)}", rng.choice((0, 0, 1, -1, HUGE)))
        if roll < 0.93:
            return TimerFired(rng.choice((0, 1, 2, rng.randrange(10_000), HUGE)))
        if roll < 0.94:
            return Probed(5, rng.choice(list(Outcome)), rng.randrange(10**6))
        if roll < 0.95:
            server, started_us = self.some_process()
            lent_us, granted_us = (self.now_us + rng.choice((-1, 800_000, 2_000_000)) for _ in range(2))
            return SlowStartQuota(server, started_us, lent_us, rng.choice((0.0, 0.5, 3.0)), granted_us)
        if roll < 0.96:
            return ProbesSuspended(
                rng.choice((*self.balancer.endpoints.by_server, 99)), rng.choice((0, 1, self.now_us + 1_200_000))
            )
        return self.fleet_event()

    def some_process(self) -> tuple[int, int]:
        """A server, known or not, and when its process started."""
        known = self.balancer.endpoints.by_server
        server = self.rng.choice((*(sorted(known) or [5]), -1, 99))
        return server, known[server].entry.started_us if server in known else 0

    def fleet_event(self) -> Event:
        """What other gateways, or this one's own processes, make known."""
        rng = self.rng
        roll = rng.random()
        if roll < 0.8:
            server, started_us = self.some_process()
            good, bad = rng.choice((0.0, 3.0, 40.0)), rng.choice((0.0, 2.0, 25.0, 200.0))
            until_us = self.now_us + rng.choice((-1, 500_000, 3_000_000, 10_000_000))
            return PeerHealthReport(server, started_us, good, bad, rng.randrange(5), rng.randrange(5), until_us)
        if roll < 0.92:
            moved = rng.choice((0.0, 1.5, -1.0))
            return RetryTokenGrant(rng.choice((0.0, 3.0, 30.0)), moved, self.now_us + rng.choice((0, 2_000_000)))
        if roll < 0.95:
            return ProcessesChanged(rng.choice((1, 1, 2, 4)))
        return PeerMessage(rng.randrange(9), b"word")

    def take(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                number = self.attempts.get(action.request, 0)
                self.attempts[action.request] = number + 1
                self.out.append((action.request, number, action.server, self.now_us))
                self.open.add(action.request)
            elif isinstance(action, SetTimer):
                self.timers.append((action.due_us, action.token))
            elif isinstance(action, Refuse | Fail):
                self.open.discard(action.request)
            elif isinstance(action, Cancel):
                pass  # its end comes in its turn, whatever it is
        if len(self.attempts) > KEPT:
            del self.attempts[next(iter(self.attempts))]

    def steps(self) -> Iterator[tuple[int, Event, list[Action] | Exception]]:
        """When each event came, the event, and what came of it: the actions, or the exception that was raised."""
        for number in range(self.events):
            if number == 0:
                event: Event = self.list_event(ListKind.DISK)
            else:
                event = self.draw() if number < self.events - 1 else AnswerAll()
            at_us = self.now_us if self.rng.random() < 0.99 else self.now_us - 1_000_000
            try:
                actions = self.balancer.handle(at_us, event)
            except Exception as error:
                yield at_us, event, error
                continue
            self.take(actions)
            if isinstance(event, AttemptEnded) and event.finished:
                self.open.discard(event.request)
            yield at_us, event, actions

    def play(self) -> Iterator[tuple[Event, str]]:
        """Each event, and what came of it in words: the actions, or the exception's type."""
        for _, event, came in self.steps():
            yield event, f"raised {type(came).__name__}" if isinstance(came, Exception) else repr(came)


def digest(stream: Stream) -> str:
    made = hashlib.blake2b(digest_size=16)
    for event, came in stream.play():
        made.update(f"{event!r} -> {came}\n".encode())
    return made.hexdigest()
