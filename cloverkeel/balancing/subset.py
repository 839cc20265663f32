"""The subset: the servers that this proxy spreads requests over, by rendezvous rank.

Guards against full connection tables, a handshake for each request, and thin evidence: many proxies that each used
all of a large fleet would meet each server seldom.
"""

from __future__ import annotations

import math
from typing import Final

from cloverkeel.balancing.circuit_breaker import BreakerState
from cloverkeel.balancing.endpoints import Endpoint, Endpoints
from cloverkeel.balancing.events import ServerStatus
from cloverkeel.balancing.latency_model import LatencyModel
from cloverkeel.balancing.settings import Effect, Settings

MIN_SUBSET_SIZE: Final = 3  # few fill the breakers' counts, enough outlive a bad third
SIZE_MEMORY: Final = 0.98  # of the largest subset needed of late, left after each request


class Subset:
    """Hold the size of the subset, and choose its servers."""

    def __init__(self, settings: Settings, endpoints: Endpoints, latency: LatencyModel) -> None:
        self.settings = settings
        self.endpoints = endpoints
        self.latency = latency
        self.size = float(MIN_SUBSET_SIZE)

    def record_sent(self, in_flight: int) -> None:
        """Grow with the attempts in flight, and shrink slowly."""
        decayed = MIN_SUBSET_SIZE + (self.size - MIN_SUBSET_SIZE) * SIZE_MEMORY
        self.size = max(MIN_SUBSET_SIZE + in_flight, decayed)

    def reachable(self) -> list[Endpoint]:
        """Return the first servers by rank, whatever their state."""
        return self.endpoints.ranked[: math.ceil(self.size)]

    def candidates(self, now_us: int, class_index: int) -> list[Endpoint]:
        """Return the first servers by rank that a request of a class may be sent to.

        An open, silent or suspected server gives its place to the next. A warming one is used only by those who
        rank it high without that, so that many who step aside never meet on it.
        """
        size = self.size
        chosen: list[Endpoint] = []
        suspected = 0
        for place, endpoint in enumerate(self.endpoints.ranked):
            if len(chosen) - suspected >= size:
                break
            is_in_place = place < size or now_us >= endpoint.slow_start.ends_at_us
            if is_in_place and self.is_eligible(now_us, endpoint, class_index):
                chosen.append(endpoint)
                suspected += now_us < endpoint.suspected_until_us
        if not chosen and self.settings.classes[class_index].effect is Effect.UNSAFE:
            # No server is closed: a half-open probe risks the request, and is its only chance.
            return [s for s in self.reachable() if self.is_eligible(now_us, s, class_index, may_risk=True)]
        return chosen

    def is_eligible(self, now_us: int, endpoint: Endpoint, class_index: int, may_risk: bool = False) -> bool:
        """Tell whether a request of a class may be sent to a server now; `may_risk`: also as a half-open probe."""
        if endpoint.entry.status is not ServerStatus.READY:
            return False
        if endpoint.breaker.state is not BreakerState.CLOSED:
            if now_us < endpoint.probes_suspended_until_us:
                return False
            # Probes risk their request: one that could not be repeated takes no such place.
            if self.settings.classes[class_index].effect is Effect.UNSAFE and not may_risk:
                return False
            if not endpoint.breaker.can_admit(now_us):
                return False
        health = endpoint.health_by_class.get(class_index)
        if health is not None and not health.breaker.can_admit(now_us):
            return False
        # Silent while the oldest attempt in flight is overdue: nothing more until it is answered or times out.
        in_flight = endpoint.in_flight
        return not in_flight or now_us - next(iter(in_flight.values())) <= self.latency.silence_timeout_us

    def silent_servers(self, now_us: int) -> list[int]:
        """Return the servers that are sent nothing more as their oldest attempt in flight is overdue."""
        return [
            server
            for server, endpoint in self.endpoints.by_server.items()
            if endpoint.in_flight
            and now_us - next(iter(endpoint.in_flight.values())) > self.latency.silence_timeout_us
        ]
