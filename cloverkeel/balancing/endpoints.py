"""Endpoints: what this proxy knows of each listed server, and the collection of them.

Invariants: `ranked` holds exactly the endpoints of `by_server`, by their ranks; `weight_sum` is the sum of their
weights, up to rounding.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from operator import attrgetter
from typing import TYPE_CHECKING, Final

from cloverkeel.balancing.circuit_breaker import MIN_CLASS_OUTCOMES, CircuitBreaker
from cloverkeel.balancing.concurrency_limit import ConcurrencyLimit
from cloverkeel.balancing.events import ListedServer
from cloverkeel.balancing.slow_start import SlowStart
from cloverkeel.balancing.weight_controller import MAX_WEIGHT, adjust_weight

if TYPE_CHECKING:
    from cloverkeel.balancing.attempts import Attempt

MAX_DEPARTED: Final = 64  # servers that left the list and may be listed again
BY_RANK: Final = attrgetter("rank")


class ClassHealth:
    """Health of one class's requests at one server: a breaker and a weight for failures of that class alone.

    Guards against a server bad for one class only: a verdict on all of it would waste what it does well.
    """

    __slots__ = ("breaker", "is_good", "weight")

    def __init__(self) -> None:
        self.breaker = CircuitBreaker(MIN_CLASS_OUTCOMES)
        self.weight = MAX_WEIGHT
        self.is_good = False  # the last answer was

    def adjust_weight(self, is_bad: bool) -> None:
        """Adjust the weight by an outcome."""
        self.weight = adjust_weight(self.weight, self.breaker, is_bad)


class Endpoint:
    """What this proxy knows of one server's process since it last started."""

    __slots__ = (
        "answered_at_us",
        "breaker",
        "concurrency",
        "entry",
        "good_at_us",
        "health_by_class",
        "in_flight",
        "probes_suspended_until_us",
        "rank",
        "slow_start",
        "suspected_until_us",
        "weight",
        "zone_preference",
    )

    def __init__(
        self, entry: ListedServer, weight: float, rank: float, zone_preference: float, slow_start: SlowStart
    ) -> None:
        self.entry = entry
        self.weight = weight  # of the weight controller
        self.rank = rank  # rendezvous hash of this proxy and the server: its place in the subset, lowest first
        self.zone_preference = zone_preference
        self.slow_start = slow_start
        self.breaker = CircuitBreaker()
        self.health_by_class: dict[int, ClassHealth] = {}
        self.in_flight: dict[Attempt, int] = {}  # attempts and when they were sent, oldest first
        self.concurrency = ConcurrencyLimit()
        self.good_at_us = 0  # the last answer, if it was good
        self.answered_at_us = 0  # the last good answer, whatever came after it
        self.probes_suspended_until_us = 0  # while its breaker is not closed: until then another proxy probes it
        self.suspected_until_us = 0  # a suspected outlier: it fails for other proxies

    def class_health(self, class_index: int) -> ClassHealth:
        """Return the health of one class, new where there was none."""
        if class_index not in self.health_by_class:
            self.health_by_class[class_index] = ClassHealth()
        return self.health_by_class[class_index]


class Endpoints:
    """Hold the listed servers, and the last few that have left the list."""

    def __init__(self) -> None:
        self.by_server: dict[int, Endpoint] = {}
        self.departed: dict[int, Endpoint] = {}  # those that left last, the oldest first
        self.ranked: list[Endpoint] = []  # the subset is the first of them that may be used
        self.weight_sum = 0.0

    def adjust_weight(self, endpoint: Endpoint, is_bad: bool) -> None:
        """Adjust an endpoint's weight by an outcome."""
        before = endpoint.weight
        endpoint.weight = adjust_weight(before, endpoint.breaker, is_bad)
        if endpoint.weight != before and self.by_server.get(endpoint.entry.server) is endpoint:
            self.weight_sum += endpoint.weight - before

    def mean_weight(self, restarted: list[Endpoint]) -> float:
        """Return the mean weight of all but those whose processes are new; the maximum where there is no other."""
        others = len(self.by_server) - len(restarted)
        if others <= 0:
            return MAX_WEIGHT
        return (self.weight_sum - sum([endpoint.weight for endpoint in restarted])) / others

    def add(self, endpoint: Endpoint, replaced: Endpoint | None) -> None:
        """Add an endpoint, or put it in the place of a listed one."""
        before = replaced.weight if replaced is not None else 0.0
        self.weight_sum += endpoint.weight - before
        self.by_server[endpoint.entry.server] = endpoint

    def remove(self, server: int) -> None:
        """Remove a server that has left the list; of the last few that did, what was known is kept."""
        endpoint = self.by_server.pop(server, None)
        if endpoint is None:
            return
        self.weight_sum -= endpoint.weight
        self.departed.pop(server, None)
        self.departed[server] = endpoint
        if len(self.departed) > MAX_DEPARTED:
            del self.departed[next(iter(self.departed))]

    def restore(self, entry: ListedServer) -> Endpoint | None:
        """Return the endpoint that departed under this number, if any; relist it if its process is the same.

        What was known of it holds then, its breakers too.
        """
        endpoint = self.departed.pop(entry.server, None)
        if endpoint is not None and endpoint.entry.started_us == entry.started_us:
            self.by_server[entry.server] = endpoint
            self.weight_sum += endpoint.weight
        return endpoint

    def rank_all(self) -> None:
        """Rank all endpoints anew."""
        self.ranked = sorted(self.by_server.values(), key=BY_RANK)

    def rerank(self, server: int, before: Endpoint | None) -> None:
        """Keep the ranking of one server, which was this endpoint before the change."""
        now = self.by_server.get(server)
        if before is now:
            return
        if before is not None:
            del self.ranked[self.ranked.index(before, bisect_left(self.ranked, before.rank, key=BY_RANK))]
        if now is not None:
            insort(self.ranked, now, key=BY_RANK)
