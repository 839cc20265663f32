"""Endpoints: this proxy's state for each listed server, and the collection of them.

Invariants: `ranked` holds exactly the endpoints of `by_server`, sorted by rank; `weight_sum` is the sum of their
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

MAX_DEPARTED: Final = 64  # unlisted servers whose state is kept in case they are listed again
BY_RANK: Final = attrgetter("rank")


class ClassHealth:
    """Health of one request class at one server: a breaker and a weight for failures of that class alone.

    Guards against taking a server out of use for all classes when it fails for one only.
    """

    __slots__ = ("breaker", "is_last_outcome_good", "weight")

    def __init__(self) -> None:
        self.breaker = CircuitBreaker(MIN_CLASS_OUTCOMES)
        self.weight = MAX_WEIGHT
        self.is_last_outcome_good = False  # also False before the first outcome

    def adjust_weight(self, is_bad: bool) -> None:
        """Adjust the weight by an outcome."""
        self.weight = adjust_weight(self.weight, self.breaker, is_bad)


class Endpoint:
    """This proxy's state for one server process, from its start until it restarts."""

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
        self.weight = weight  # maintained by the weight controller
        self.rank = rank  # rendezvous hash of this proxy and the server; the lowest ranks form the subset
        self.zone_preference = zone_preference
        self.slow_start = slow_start
        self.breaker = CircuitBreaker()
        self.health_by_class: dict[int, ClassHealth] = {}
        self.in_flight: dict[Attempt, int] = {}  # send times by attempt, oldest first
        self.concurrency = ConcurrencyLimit()
        self.good_at_us = 0  # time of the last outcome if it was good; 0 if it was a failure
        self.answered_at_us = 0  # time of the last good answer, even if failures followed it
        self.probes_suspended_until_us = 0  # another proxy probes it until then; used while the breaker is not closed
        self.suspected_until_us = 0  # suspected outlier until then, as it fails for other proxies

    def class_health(self, class_index: int) -> ClassHealth:
        """Return the health of one class; create it on first use."""
        if class_index not in self.health_by_class:
            self.health_by_class[class_index] = ClassHealth()
        return self.health_by_class[class_index]


class Endpoints:
    """The endpoints of the listed servers, and of those that left the list last."""

    def __init__(self) -> None:
        self.by_server: dict[int, Endpoint] = {}
        self.departed: dict[int, Endpoint] = {}  # endpoints of unlisted servers, in the order of their removal
        self.ranked: list[Endpoint] = []  # by ascending rank; the subset is taken from the front
        self.weight_sum = 0.0

    def adjust_weight(self, endpoint: Endpoint, is_bad: bool) -> None:
        """Adjust an endpoint's weight by an outcome."""
        before = endpoint.weight
        endpoint.weight = adjust_weight(before, endpoint.breaker, is_bad)
        if endpoint.weight != before and self.by_server.get(endpoint.entry.server) is endpoint:
            self.weight_sum += endpoint.weight - before

    def mean_weight(self, restarted: list[Endpoint]) -> float:
        """Return the mean weight of all endpoints except the restarted ones; the maximum weight if there are none."""
        others = len(self.by_server) - len(restarted)
        if others <= 0:
            return MAX_WEIGHT
        return (self.weight_sum - sum([endpoint.weight for endpoint in restarted])) / others

    def add(self, endpoint: Endpoint, replaced: Endpoint | None) -> None:
        """Add an endpoint, or replace a listed one by it."""
        before = replaced.weight if replaced is not None else 0.0
        self.weight_sum += endpoint.weight - before
        self.by_server[endpoint.entry.server] = endpoint

    def remove(self, server: int) -> None:
        """Remove a server that has left the list; keep its state while it is among the last MAX_DEPARTED removed."""
        endpoint = self.by_server.pop(server, None)
        if endpoint is None:
            return
        self.weight_sum -= endpoint.weight
        self.departed.pop(server, None)
        self.departed[server] = endpoint
        if len(self.departed) > MAX_DEPARTED:
            del self.departed[next(iter(self.departed))]

    def restore(self, entry: ListedServer) -> Endpoint | None:
        """Return the departed endpoint of this server, if any; relist it if the process has not restarted.

        A relisted endpoint keeps its state, including its breakers.
        """
        endpoint = self.departed.pop(entry.server, None)
        if endpoint is not None and endpoint.entry.started_us == entry.started_us:
            self.by_server[entry.server] = endpoint
            self.weight_sum += endpoint.weight
        return endpoint

    def rank_all(self) -> None:
        """Sort all endpoints by rank."""
        self.ranked = sorted(self.by_server.values(), key=BY_RANK)

    def rerank(self, server: int, previous: Endpoint | None) -> None:
        """Update the ranking after a server's endpoint changed; `previous` is the endpoint before the change."""
        current = self.by_server.get(server)
        if previous is current:
            return
        if previous is not None:
            del self.ranked[self.ranked.index(previous, bisect_left(self.ranked, previous.rank, key=BY_RANK))]
        if current is not None:
            insort(self.ranked, current, key=BY_RANK)
