"""Reproducible random streams of events for the decision module (`Balancer`), with the actions it returns.

A stream reacts to the returned actions as a gateway does. It also contains events that a gateway must never send:
unknown request ids, attempts that have already ended, class indexes beyond the settings, clocks that step back, and
integers above 64 bits.
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

HUGE_INTEGER = 2**70 + 3  # does not fit into a machine word
MAX_REMEMBERED_REQUESTS = 400  # requests whose number of attempts a stream keeps


def draw_settings(rng: random.Random) -> Settings:
    """Draw plausible settings of a deployment; every field that affects decisions is random."""

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
class EventStream:
    """The events of one simulated gateway, drawn from a seed and from the actions of its balancer."""

    seed: int
    event_count: int = 2_000
    now_us: int = 50_000_000
    request_count: int = 0
    open_attempts: list[tuple[str, int, int, int]] = field(default_factory=list)  # request, attempt, server, sent_us
    attempt_counts: dict[str, int] = field(default_factory=dict)  # by request
    open_requests: set[str] = field(default_factory=set)
    timers: list[tuple[int, int]] = field(default_factory=list)  # due time in microseconds, token

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.settings = draw_settings(self.rng)
        self.balancer = Balancer(self.settings, self.seed)
        # Every third stream has few faults: it covers choices among healthy servers, which rejections would hide.
        self.is_calm = self.seed % 3 == 2
        self.server_count = self.rng.choice((3, 12, 24) if self.is_calm else (1, 3, 12, 64, 300))
        self.latency_factor = 1.0

    def draw_listed_server(self, number: int) -> ListedServer:
        """Draw the list entry of a server."""
        rng = self.rng
        started_us = rng.choice((0, 0, self.now_us, self.now_us - rng.randrange(20_000_000)))
        status = rng.choice((ServerStatus.READY,) * 8 + (ServerStatus.DRAINING, ServerStatus.GONE))
        users = rng.choice((0, 1, 7, 40)) if self.seed % 2 else 0
        return ListedServer(
            number, status, rng.choice((0.5, 1.0, 1.0, 2.0)), rng.randrange(3), rng.randrange(3), 0, started_us,
            users,
        )  # fmt: skip

    def draw_server_list(self, kind: ListKind) -> ServerList:
        """Draw a server list; a delta names some servers, any other list almost all of them."""
        numbers: Sequence[int] = range(self.server_count)
        if kind is ListKind.DELTA:
            entry_count = self.rng.choice((1, 1, 1, 5, self.server_count // 4 + 1))
            numbers = self.rng.sample(range(self.server_count + 2), min(entry_count, self.server_count))
        return ServerList(
            kind, tuple(self.draw_listed_server(n * 7919 + 5) for n in numbers if self.rng.random() < 0.95)
        )

    def draw_arrival(self) -> RequestArrived:
        """Draw a request, now and then with a repeated id, an unknown class or an oversized key."""
        rng = self.rng
        self.request_count += 1
        name = f"r{self.request_count}" if rng.random() < 0.98 else f"r{rng.randint(1, self.request_count)}"
        class_index = (
            rng.randrange(len(self.settings.classes)) if rng.random() < 0.98 else rng.choice((-1, 7, HUGE_INTEGER))
        )
        known_class = self.settings.classes[class_index if 0 <= class_index < len(self.settings.classes) else 0]
        client_timeout_us = rng.choice(
            (
                known_class.client_timeout_us,
                known_class.client_timeout_us // 2,
                rng.randint(1, known_class.client_timeout_us),
            )
        )
        key = rng.choice((None, rng.randrange(40), rng.getrandbits(64), HUGE_INTEGER))
        work_us = rng.choice((None, rng.randint(1, 200_000), 0))
        return RequestArrived(
            name, class_index, client_timeout_us, key, work_us, rng.random() < 0.2, rng.choice((0, 1, 5))
        )

    def draw_attempt_end(self) -> AttemptEnded:
        """Draw the end of an open attempt, or now and then of an attempt that may not exist."""
        rng = self.rng
        if not self.open_attempts or rng.random() < 0.03:
            name = f"r{rng.randint(1, self.request_count + 1)}"
            number, outcome = rng.choice((0, 1, -1, 99)), rng.choice(list(Outcome))
            return AttemptEnded(name, number, 5, outcome, rng.randrange(10**6))
        request, attempt, server, sent_us = self.open_attempts.pop(rng.randrange(len(self.open_attempts)))
        outcome = rng.choice((Outcome.OK,) * (200 if self.is_calm else 12) + tuple(Outcome))
        latency_us = max(1, int(self.latency_factor * rng.expovariate(1 / 40_000)))
        if outcome is Outcome.TIMEOUT:
            latency_us = self.now_us - sent_us
        load = LoadReport(queue=rng.random()) if rng.random() < 0.1 else None
        return AttemptEnded(request, attempt, server, outcome, latency_us, outcome is Outcome.OK, load)

    def draw_event(self) -> Event:
        """Advance the clock and draw the next event; a due timer fires first."""
        rng = self.rng
        self.now_us += rng.choice((0, 200, 2_000, 5_000, 40_000)) if rng.random() < 0.98 else 3_000_000
        if rng.random() < 0.01:
            self.latency_factor = rng.choice((0.2, 0.5, 1.0, 2.0) if self.is_calm else (1.0, 1.0, 5.0, 30.0))
        self.timers.sort()
        if self.timers and self.timers[0][0] <= self.now_us:
            return TimerFired(self.timers.pop(0)[1])
        random_value = rng.random()
        if random_value < 0.43:
            return self.draw_arrival()
        if random_value < 0.86:
            return self.draw_attempt_end()
        if random_value < 0.89:
            return self.draw_server_list(rng.choice(list(ListKind)))
        if random_value < 0.91 and self.open_requests:
            return RequestGone(rng.choice(sorted(self.open_requests)))
        if random_value < 0.92:
            return StreamStarted(
                f"r{rng.randint(1, self.request_count + 1)}", rng.choice((0, 0, 1, -1, HUGE_INTEGER))
            )
        if random_value < 0.93:
            return TimerFired(rng.choice((0, 1, 2, rng.randrange(10_000), HUGE_INTEGER)))
        if random_value < 0.94:
            return Probed(5, rng.choice(list(Outcome)), rng.randrange(10**6))
        if random_value < 0.95:
            server, started_us = self.draw_process()
            lent_us, granted_us = (self.now_us + rng.choice((-1, 800_000, 2_000_000)) for _ in range(2))
            return SlowStartQuota(server, started_us, lent_us, rng.choice((0.0, 0.5, 3.0)), granted_us)
        if random_value < 0.96:
            return ProbesSuspended(
                rng.choice((*self.balancer.endpoints.by_server, 99)), rng.choice((0, 1, self.now_us + 1_200_000))
            )
        return self.draw_fleet_event()

    def draw_process(self) -> tuple[int, int]:
        """Return a server, known or unknown, and the start time of its process."""
        known_servers = self.balancer.endpoints.by_server
        server = self.rng.choice((*(sorted(known_servers) or [5]), -1, 99))
        return server, known_servers[server].entry.started_us if server in known_servers else 0

    def draw_fleet_event(self) -> Event:
        """Draw an event that reports the state of other gateways, or of other processes of this gateway."""
        rng = self.rng
        random_value = rng.random()
        if random_value < 0.8:
            server, started_us = self.draw_process()
            good, bad = rng.choice((0.0, 3.0, 40.0)), rng.choice((0.0, 2.0, 25.0, 200.0))
            until_us = self.now_us + rng.choice((-1, 500_000, 3_000_000, 10_000_000))
            return PeerHealthReport(server, started_us, good, bad, rng.randrange(5), rng.randrange(5), until_us)
        if random_value < 0.92:
            moved = rng.choice((0.0, 1.5, -1.0))
            return RetryTokenGrant(rng.choice((0.0, 3.0, 30.0)), moved, self.now_us + rng.choice((0, 2_000_000)))
        if random_value < 0.95:
            return ProcessesChanged(rng.choice((1, 1, 2, 4)))
        return PeerMessage(rng.randrange(9), b"word")

    def apply_actions(self, actions: list[Action]) -> None:
        """Record attempts, timers and final answers, on which later events depend."""
        for action in actions:
            if isinstance(action, Send):
                number = self.attempt_counts.get(action.request, 0)
                self.attempt_counts[action.request] = number + 1
                self.open_attempts.append((action.request, number, action.server, self.now_us))
                self.open_requests.add(action.request)
            elif isinstance(action, SetTimer):
                self.timers.append((action.due_us, action.token))
            elif isinstance(action, Refuse | Fail):
                self.open_requests.discard(action.request)
            elif isinstance(action, Cancel):
                pass  # the attempt stays open: its end is drawn later, with any outcome
        if len(self.attempt_counts) > MAX_REMEMBERED_REQUESTS:
            del self.attempt_counts[next(iter(self.attempt_counts))]

    def handle_events(self) -> Iterator[tuple[int, Event, list[Action] | Exception]]:
        """Yield the time of each event, the event, and its result: the actions, or the exception that was raised."""
        for number in range(self.event_count):
            if number == 0:
                event: Event = self.draw_server_list(ListKind.DISK)
            else:
                event = self.draw_event() if number < self.event_count - 1 else AnswerAll()
            at_us = self.now_us if self.rng.random() < 0.99 else self.now_us - 1_000_000
            try:
                actions = self.balancer.handle(at_us, event)
            except Exception as error:
                yield at_us, event, error
                continue
            self.apply_actions(actions)
            if isinstance(event, AttemptEnded) and event.finished:
                self.open_requests.discard(event.request)
            yield at_us, event, actions

    def describe_results(self) -> Iterator[tuple[Event, str]]:
        """Yield each event and its result as text: the actions, or the type of the exception."""
        for _, event, result in self.handle_events():
            yield event, f"raised {type(result).__name__}" if isinstance(result, Exception) else repr(result)


def digest(stream: EventStream) -> str:
    """Return a hash of all events of a stream and their results."""
    result_hash = hashlib.blake2b(digest_size=16)
    for event, result in stream.describe_results():
        result_hash.update(f"{event!r} -> {result}\n".encode())
    return result_hash.hexdigest()
