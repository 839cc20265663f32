"""Settings with one request class of each effect, and a driver that feeds events to a balancer."""

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
    """A balancer with its clock, and the timers that it has set."""

    def __init__(self, settings: Settings = SETTINGS, servers: int = 3, seed: int = 1) -> None:
        self.balancer = Balancer(settings, seed)
        self.now_us = START_US
        self.request_count = 0
        self.timers: list[SetTimer] = []
        if servers:
            self.list_servers(*(ListedServer(n, group=n % 2) for n in range(servers)))

    def handle(self, event: Event) -> list[Action]:
        """Handle an event now."""
        actions = self.balancer.handle(self.now_us, event)
        self.timers += [action for action in actions if isinstance(action, SetTimer)]
        return actions

    def list_servers(self, *entries: ListedServer, kind: ListKind = ListKind.FULL) -> list[Action]:
        """Give the balancer a server list."""
        return self.handle(ServerList(kind, entries))

    def start_request(
        self, class_index: int = 0, client_timeout_us: int = 400_000, **extra: int | bool
    ) -> tuple[str, list[Action]]:
        """Let a request with a new id arrive; return the id and the actions."""
        self.request_count += 1
        id_ = f"r{self.request_count}"
        event = RequestArrived(id_, class_index, client_timeout_us)
        return id_, self.handle(replace(event, **extra))  # type: ignore[arg-type]

    def end_attempt(
        self,
        request: str,
        server: int,
        outcome: Outcome = Outcome.OK,
        attempt: int = 0,
        latency_us: int = 20_000,
    ) -> list[Action]:
        """Let an attempt end."""
        finished = outcome is Outcome.OK
        return self.handle(AttemptEnded(request, attempt, server, outcome, latency_us, finished))


def send_actions(actions: list[Action]) -> list[Send]:
    """Return the actions that start an attempt."""
    return [action for action in actions if isinstance(action, Send)]


def final_actions(actions: list[Action]) -> list[Refuse | Fail]:
    """Return the actions that end a request without a host's response."""
    return [action for action in actions if isinstance(action, Refuse | Fail)]


def request_timers(actions: list[Action]) -> list[SetTimer]:
    """Return the timers of requests and of the server list, without the expiry scan's."""
    return [action for action in actions if isinstance(action, SetTimer) and action.token != EXPIRY_TOKEN]


def trip_breaker(breaker: CircuitBreaker, now_us: int) -> None:
    """Open a new breaker with the smallest number of failures."""
    for _ in range(MIN_OUTCOMES):
        breaker.record_outcome(now_us, True, 0, 0.0)
    assert breaker.state is BreakerState.OPEN
