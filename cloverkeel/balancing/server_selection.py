"""Selection of the server for an attempt: a weighted random draw among the servers that may take it now."""

from __future__ import annotations

import random
from typing import Final

from cloverkeel.balancing.affinity import HOME_WEIGHT_FACTOR, rendezvous_rank
from cloverkeel.balancing.attempts import Attempt, Request
from cloverkeel.balancing.concurrency_limit import LOW_PRIORITY_LIMIT_RATIO
from cloverkeel.balancing.endpoints import Endpoint, Endpoints
from cloverkeel.balancing.settings import Effect, Scope, Settings
from cloverkeel.balancing.slow_start_budget import SlowStartBudget
from cloverkeel.balancing.subset import Subset

SUSPECT_WEIGHT_FACTOR: Final = 0.1  # lowers the weight of a server that fails for other proxies


class ServerSelection:
    """Draw servers for attempts."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        endpoints: Endpoints,
        subset: Subset,
        slow_start: SlowStartBudget,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.endpoints = endpoints
        self.subset = subset
        self.slow_start = slow_start

    def select(self, now_us: int, request: Request, is_low_priority: bool) -> Endpoint | None:
        """Draw a server for the next attempt of a request; None if no server may take it now."""
        if request.attempts:
            endpoints = self.retry_candidates(now_us, request)
        else:
            endpoints = self.subset.candidates(now_us, request.class_index)
        limit_ratio = LOW_PRIORITY_LIMIT_RATIO if is_low_priority else 1.0
        drawable: list[Endpoint] = []
        weights: list[float] = []
        total = 0.0
        for endpoint in endpoints:
            if len(endpoint.in_flight) >= endpoint.concurrency.limit * limit_ratio:
                continue
            weight = self.draw_weight(now_us, endpoint, request)
            if weight > 0.0:
                drawable.append(endpoint)
                weights.append(weight)
                total += weight
        if not drawable:
            return None
        if self.settings.servers_know_keys and request.key is not None:
            total += self.prefer_home(request.key, drawable, weights)
        point = self.rng.random() * total
        for index, weight in enumerate(weights):
            point -= weight
            if point <= 0.0:
                return drawable[index]
        return drawable[-1]

    def prefer_home(self, key: int, endpoints: list[Endpoint], weights: list[float]) -> float:
        """Raise the weight of the candidate that is the key's home; return the increase."""
        ranks = [rendezvous_rank(key, endpoint.entry.server, endpoint.zone_preference) for endpoint in endpoints]
        home = ranks.index(min(ranks))
        raised = weights[home] * (HOME_WEIGHT_FACTOR - 1.0)
        weights[home] += raised
        return raised

    def draw_weight(self, now_us: int, endpoint: Endpoint, request: Request) -> float:
        """Return a server's weight in the draw; 0.0 if its slow start has no headroom."""
        capacity_ratio = 1.0
        if now_us < endpoint.slow_start.settled_at_us:
            if not self.slow_start.has_headroom(now_us, endpoint, request):
                return 0.0
            capacity_ratio = self.slow_start.capacity_ratio(now_us, endpoint)
        weight = endpoint.entry.weight * endpoint.weight * endpoint.class_health(request.class_index).weight
        if now_us < endpoint.suspected_until_us:
            weight *= SUSPECT_WEIGHT_FACTOR
        load_factor = (1 + len(endpoint.in_flight)) ** 2
        # If servers cache keys, a key's home server with attempts in flight must still outweigh idle servers.
        divisor = load_factor if self.settings.servers_know_keys else load_factor * load_factor
        return weight * endpoint.zone_preference * capacity_ratio / divisor

    def retry_candidates(self, now_us: int, request: Request) -> list[Endpoint]:
        """Return the servers that another attempt of a request may be sent to."""
        class_index = request.class_index
        class_ = self.settings.classes[class_index]
        may_have_run = [attempt for attempt in request.attempts if attempt.may_have_run]
        tried = [attempt.server for attempt in request.attempts]
        # Evaluated in any case, because it also makes each breaker whose cooldown is over half-open.
        untried = [s for s in self.subset.candidates(now_us, class_index) if s not in tried]
        if may_have_run and class_.effect is Effect.UNSAFE:
            return []
        if not may_have_run or class_.effect is not Effect.KEYED:
            return untried
        if now_us - may_have_run[0].sent_us >= class_.window_us:
            return []
        return self._keyed_candidates(now_us, class_index, class_.scope, may_have_run, tried)

    def _keyed_candidates(
        self, now_us: int, class_index: int, scope: Scope, may_have_run: list[Attempt], tried: list[Endpoint]
    ) -> list[Endpoint]:
        """Return the untried servers that drop repeats of a keyed request, according to its scope."""
        ranked = self.endpoints.ranked
        servers = [s for s in ranked if s not in tried and self.subset.is_eligible(now_us, s, class_index)]
        reachable = self.subset.reachable()
        servers = [s for s in servers if self.slow_start.capacity_ratio(now_us, s) >= 1.0 or s in reachable]
        if scope is Scope.ZONE:
            return [s for s in servers if all(s.entry.zone == a.server.entry.zone for a in may_have_run)]
        if scope is Scope.GROUP:
            return [s for s in servers if all(s.entry.group == a.server.entry.group for a in may_have_run)]
        return servers
