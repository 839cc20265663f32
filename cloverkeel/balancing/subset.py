"""The subset: the servers that this proxy spreads requests over, by rendezvous rank.

Guards against full connection tables, a handshake for each request, and too few outcomes per server: many proxies
that each used all of a large fleet would send to each server only rarely.
"""

from __future__ import annotations

import math
from typing import Final

from cloverkeel.balancing.circuit_breaker import BreakerState
from cloverkeel.balancing.endpoints import Endpoint, Endpoints
from cloverkeel.balancing.events import ServerStatus
from cloverkeel.balancing.latency_model import LatencyModel
from cloverkeel.balancing.settings import Effect, Settings

MIN_SUBSET_SIZE: Final = 3  # small, so that each server gets many outcomes; enough to go on if one in three fails
SIZE_DECAY: Final = 0.98  # factor per request on the size above MIN_SUBSET_SIZE


class Subset:
    """Track the size of the subset, and choose its servers."""

    def __init__(self, settings: Settings, endpoints: Endpoints, latency: LatencyModel) -> None:
        self.settings = settings
        self.endpoints = endpoints
        self.latency = latency
        self.size = float(MIN_SUBSET_SIZE)

    def record_sent(self, in_flight: int) -> None:
        """Grow the subset with the attempts in flight, and shrink it slowly."""
        decayed = MIN_SUBSET_SIZE + (self.size - MIN_SUBSET_SIZE) * SIZE_DECAY
        self.size = max(MIN_SUBSET_SIZE + in_flight, decayed)

    def reachable(self) -> list[Endpoint]:
        """Return the first servers by rank, regardless of their state."""
        return self.endpoints.ranked[: math.ceil(self.size)]

    def candidates(self, now_us: int, class_index: int) -> list[Endpoint]:
        """Return the first servers by rank that a request of a class may be sent to.

        Open, silent and suspected servers are replaced by the next ones in rank. A warming server never serves as a
        replacement, so that many proxies that avoid other servers don't all send to it.
        """
        size = self.size
        chosen: list[Endpoint] = []
        suspected = 0
        for position, endpoint in enumerate(self.endpoints.ranked):
            if len(chosen) - suspected >= size:
                break
            is_rank_allowed = position < size or now_us >= endpoint.slow_start.ends_at_us
            if is_rank_allowed and self.is_eligible(now_us, endpoint, class_index):
                chosen.append(endpoint)
                suspected += now_us < endpoint.suspected_until_us
        if not chosen and self.settings.classes[class_index].effect is Effect.UNSAFE:
            # No closed server is left: sending the request as a half-open probe is the only option.
            return [s for s in self.reachable() if self.is_eligible(now_us, s, class_index, allow_unsafe_probe=True)]
        return chosen

    def is_eligible(
        self, now_us: int, endpoint: Endpoint, class_index: int, allow_unsafe_probe: bool = False
    ) -> bool:
        """Return whether a request of a class may be sent to a server now.

        With `allow_unsafe_probe`, a request of an unsafe class may be a half-open probe.
        """
        if endpoint.entry.status is not ServerStatus.READY:
            return False
        if endpoint.breaker.state is not BreakerState.CLOSED:
            if now_us < endpoint.probes_suspended_until_us:
                return False
            # A probe may well fail, and an unsafe request could not be retried then.
            if self.settings.classes[class_index].effect is Effect.UNSAFE and not allow_unsafe_probe:
                return False
            if not endpoint.breaker.can_admit(now_us):
                return False
        health = endpoint.health_by_class.get(class_index)
        if health is not None and not health.breaker.can_admit(now_us):
            return False
        # A server is silent while its oldest attempt in flight is overdue; it gets no more attempts until that
        # attempt ends.
        in_flight = endpoint.in_flight
        return not in_flight or now_us - next(iter(in_flight.values())) <= self.latency.silence_timeout_us

    def silent_servers(self, now_us: int) -> list[int]:
        """Return the servers that get no more attempts because the oldest one in flight is overdue."""
        return [
            server
            for server, endpoint in self.endpoints.by_server.items()
            if endpoint.in_flight
            and now_us - next(iter(endpoint.in_flight.values())) > self.latency.silence_timeout_us
        ]
