"""Short ways to build settings and events, and a driver that keeps what the balancer has done."""

from __future__ import annotations

from dataclasses import replace

from cloverkeel.balancing.actions import Action, Fail, Refuse, Send, SetTimer
from cloverkeel.balancing.events import (
    AttemptEnded,
    Event,
    ListKind,
    ListedServer,
    Outcome,
    RequestArrived,
    ServerList,
)
from cloverkeel.balancing.settings import Effect, RequestClass, Scope, Settings
from cloverkeel.balancing.balancer import Balancer
from cloverkeel.balancing.request_timers import EXPIRY_TOKEN
from cloverkeel.balancing.circuit_breaker import BreakerState, CircuitBreaker, MIN_OUTCOMES

SAFE = RequestClass(
    objective_us=200_000, client_timeout_us=400_000, priority_weight=3.0, late_weight=0.2, effect=Effect.SAFE
)
KEYED = RequestClass(
    objective_us=200_000,
    client_timeout_us=800_000,
    priority_weight=5.0,
    late_weight=0.2,
    effect=Effect.KEYED,
    scope=Scope.GROUP,
    window_us=150_000,
)
UNSAFE = RequestClass(
    objective_us=300_000, client_timeout_us=1_000_000, priority_weight=8.0, late_weight=0.2, effect=Effect.UNSAFE
)
SETTINGS = Settings(classes=(SAFE, KEYED, UNSAFE), may_hedge=True)
START_US = 50_000_000


class Driver:
    """One balancer and its clock."""

    def __init__(self, settings: Settings = SETTINGS, servers: int = 3, seed: int = 1) -> None:
        self.balancer = Balancer(settings, seed)
        self.now_us = START_US
        self.count = 0
        self.timers: list[SetTimer] = []
        if servers:
            self.list_servers(*(ListedServer(n, group=n % 2) for n in range(servers)))

    def handle(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now_us, event)
        self.timers += [action for action in actions if isinstance(action, SetTimer)]
        return actions

    def list_servers(self, *entries: ListedServer, kind: ListKind = ListKind.FULL) -> list[Action]:
        return self.handle(ServerList(kind, entries))

    def arrive(
        self, class_index: int = 0, client_timeout_us: int = 400_000, **extra: int | bool
    ) -> tuple[str, list[Action]]:
        self.count += 1
        name = f"r{self.count}"
        event = RequestArrived(name, class_index, client_timeout_us)
        return name, self.handle(replace(event, **extra))  # type: ignore[arg-type]

    def end(
        self,
        request: str,
        server: int,
        outcome: Outcome = Outcome.OK,
        attempt: int = 0,
        latency_us: int = 20_000,
    ) -> list[Action]:
        finished = outcome is Outcome.OK
        return self.handle(AttemptEnded(request, attempt, server, outcome, latency_us, finished))


def sends(actions: list[Action]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


def finals(actions: list[Action]) -> list[Refuse | Fail]:
    return [action for action in actions if isinstance(action, Refuse | Fail)]


def timers(actions: list[Action]) -> list[SetTimer]:
    """Those of requests and of the list: the sweep's says nothing of either."""
    return [action for action in actions if isinstance(action, SetTimer) and action.token != EXPIRY_TOKEN]


def trip(breaker: CircuitBreaker, now_us: int) -> None:
    """Open a fresh breaker with the fewest failures that can."""
    for _ in range(MIN_OUTCOMES):
        breaker.record_outcome(now_us, True, 0, 0.0)
    assert breaker.state is BreakerState.OPEN
