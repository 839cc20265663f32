"""Slow start: how much work a server that started of late may be sent, by all proxies together.

A warming server that is sent more than its collapse budget in a window falls over. Each proxy has a quota of that
budget and keeps it with a leaky bucket for each such server; quotas move between proxies (docs/duties-design.md).

Invariant: what all proxies send a warming server in any collapse window is within its budget, whatever each one's
list and subset.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final, NamedTuple

from cloverkeel.balancing.events import ListedServer, ServerStatus, SlowStartQuota
from cloverkeel.balancing.latency_model import LatencyModel, WorkModel
from cloverkeel.balancing.settings import Settings
from cloverkeel.balancing.slow_start import SlowStart

if TYPE_CHECKING:
    from cloverkeel.balancing.attempts import Request
    from cloverkeel.balancing.endpoints import Endpoint
    from cloverkeel.balancing.subset import Subset

BUDGET_MARGIN: Final = 0.9  # part of the budget planned with; the rest is for misjudged work and chance
MAX_REQUEST_SIZE: Final = 2.0  # times its class's usual work: a few long ones together pass any budget
MIN_WORK_RATIO: Final = 0.1  # of the unloaded latency: who states less work is not believed
DEMAND_MEMORY_US: Final = 1_000_000  # a request for which there was no headroom is a demand for so long
SETTLING_BURST: Final = 1 / 6  # of the budget at once where a server should be warm; the rest spread evenly


class SlowStartDemand(NamedTuple):
    """What this proxy wants of one warming server's collapse budget."""

    server: int
    started_us: int
    is_wanted: bool  # its quota had no headroom for a request of late
    is_idle: bool  # its quota may be lent


class SlowStartBudget:
    """Decide which requests a server may be sent while it warms up, and until it is settled after that."""

    def __init__(
        self, settings: Settings, rng: random.Random, subset: Subset, latency: LatencyModel, work: WorkModel
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.subset = subset
        self.latency = latency
        self.work = work
        self.processes = 1  # of this proxy, each with a balancer of its own
        self.suspended_until_us = 0  # no warming server is used: a process before may have lent its quota

    def start(self, now_us: int, entry: ListedServer) -> SlowStart:
        """Return the slow start of a server's process that is new here.

        Hundreds of proxies hear of a warming server at once and each may send one request at the least: each begins
        with a random part of that in its bucket, so that these firsts do not come together.
        """
        duration_us = self.settings.slow_start_us if entry.started_us else 0
        ends_at_us = entry.started_us + duration_us
        max_us = BUDGET_MARGIN * self.budget_us(entry.users) / 2
        for class_index, work_us in enumerate(self.work.mean_us):
            is_stated = work_us >= MIN_WORK_RATIO * self.latency.unloaded_us[class_index]
            usual_us = work_us if is_stated else self.latency.smoothed_us[class_index]
            max_us = max(usual_us, max_us)
        bucket_us = self.rng.random() * max_us
        return SlowStart(ends_at_us, ends_at_us + duration_us, bucket_us, now_us)

    def has_headroom(self, now_us: int, endpoint: Endpoint, request: Request) -> bool:
        """Tell whether this proxy's quota of a server's budget has headroom for one more request.

        Where the server should be warm by now the quota is of the whole budget, little of it at once: in a crowd
        every proxy would turn to the emptiest server at that moment, and it may be slower than the settings say.
        """
        slow_start = endpoint.slow_start
        burst_us = self.drain(now_us, endpoint) if now_us >= self.suspended_until_us else 0.0
        if request.size > MAX_REQUEST_SIZE and now_us < slow_start.ends_at_us:
            return False
        cost_us = self.cost_us(now_us, endpoint, request)
        if burst_us > 0.0 and slow_start.bucket_us + cost_us <= max(burst_us, cost_us):
            return True
        slow_start.rejected_at_us = now_us
        return False

    def record_sent(self, now_us: int, endpoint: Endpoint, request: Request) -> None:
        """Add a request that was sent to the server's bucket."""
        endpoint.slow_start.bucket_us += self.cost_us(now_us, endpoint, request)
        endpoint.slow_start.sent_at_us = now_us

    def drain(self, now_us: int, endpoint: Endpoint) -> float:
        """Drain a server's bucket up to now; return what may be sent at once: 0.0 where the quota is lent.

        What was lent or granted ends at its own moment: the rate counts up to there, and the own quota that comes
        back begins empty.
        """
        slow_start = endpoint.slow_start
        for end_us in sorted((slow_start.granted_until_us, slow_start.lent_until_us)):
            if slow_start.drained_at_us < end_us <= now_us:
                self._drain_until(now_us, endpoint, end_us)
                if end_us == slow_start.lent_until_us:
                    slow_start.add_quotas(slow_start.quotas_at(end_us - 1), self.burst_us(now_us, endpoint))
        self._drain_until(now_us, endpoint, now_us)
        return slow_start.quotas_at(now_us) * self.burst_us(now_us, endpoint)

    def _drain_until(self, now_us: int, endpoint: Endpoint, until_us: int) -> None:
        """Drain up to a moment, at the rate of the quotas that are held just before it."""
        slow_start = endpoint.slow_start
        elapsed_us = max(0, until_us - slow_start.drained_at_us)
        rate_us = slow_start.quotas_at(until_us - 1) * self.window_us(now_us, endpoint)
        slow_start.drain(until_us, rate_us * elapsed_us / self.settings.collapse_window_us)

    def burst_us(self, now_us: int, endpoint: Endpoint) -> float:
        """Return the work that one quota may send at once: the size of its leaky bucket."""
        budget_us = self.budget_us(endpoint.entry.users)
        if now_us < endpoint.slow_start.ends_at_us:
            return BUDGET_MARGIN * budget_us * self.capacity_ratio(now_us, endpoint) / 2
        return budget_us * SETTLING_BURST

    def window_us(self, now_us: int, endpoint: Endpoint) -> float:
        """Return the work that one quota may send evenly over each collapse window: the drain of its bucket."""
        budget_us = self.budget_us(endpoint.entry.users)
        if now_us < endpoint.slow_start.ends_at_us:
            return BUDGET_MARGIN * budget_us * self.capacity_ratio(now_us, endpoint) / 2
        return budget_us * (1 - SETTLING_BURST)

    def apply_quota(self, now_us: int, event: SlowStartQuota, endpoint: Endpoint | None) -> None:
        """Move quotas between proxies. What comes begins empty: no burst comes along.

        Guards against a window in which one quota is spent here and there.
        """
        if event.server < 0:
            self.suspended_until_us = event.lent_us
            return
        if endpoint is None or endpoint.entry.started_us != event.started_us:
            return
        self.drain(now_us, endpoint)
        slow_start = endpoint.slow_start
        had = slow_start.quotas_at(now_us)
        slow_start.lent_until_us = max(slow_start.lent_until_us, event.lent_us)
        slow_start.granted = event.granted
        slow_start.granted_until_us = event.granted_us
        more = slow_start.quotas_at(now_us) - had
        if more > 0.0:
            slow_start.add_quotas(had, more * self.burst_us(now_us, endpoint))

    def update_entry(self, now_us: int, endpoint: Endpoint, entry: ListedServer) -> None:
        """Take over a listed server's entry; how many proxies know it may change the size of a quota.

        A larger quota begins empty: those that know the server no longer may just have spent theirs.
        """
        if endpoint.entry.users == entry.users or now_us >= endpoint.slow_start.settled_at_us:
            endpoint.entry = entry
            return
        burst_us = self.drain(now_us, endpoint)  # up to now by the entry before
        endpoint.entry = entry
        endpoint.slow_start.bucket_us += max(0.0, self.drain(now_us, endpoint) - burst_us)

    def demands(self, now_us: int, called_at_us: int) -> list[SlowStartDemand]:
        """Return what is wanted of the servers of the subset that are not settled yet."""
        found = []
        for endpoint in self.subset.reachable():
            slow_start = endpoint.slow_start
            if called_at_us >= slow_start.settled_at_us or endpoint.entry.status is not ServerStatus.READY:
                continue
            self.drain(now_us, endpoint)  # one that is never drawn has drained too
            is_wanted = called_at_us - slow_start.rejected_at_us < DEMAND_MEMORY_US
            is_unused = called_at_us - slow_start.sent_at_us >= self.settings.collapse_window_us
            is_idle = is_unused and slow_start.bucket_us <= self.burst_us(now_us, endpoint)
            entry = endpoint.entry
            found.append(SlowStartDemand(entry.server, entry.started_us, is_wanted, is_idle and not is_wanted))
        return found

    def budget_us(self, users: int = 0) -> float:
        """Return this process's quota of the work that a warm server of one core may be sent in a collapse window.

        The quotas of all add up to the budget; a burst, and the rest drained in each window, never passes it. Where
        the list says how many proxies know the server at the most (`users`), each takes one part in so many: others
        never send to it, so the quotas sum up to no more than the budget, whatever each one's list and subset. How
        many of a few have it in their subset is chance; the share by subset holds for the mean of many.
        """
        ratio = min(1.0, self.subset.size / max(1, len(self.subset.endpoints.ranked)))
        expected_users = max(1.0, self.settings.proxies * ratio)
        sharers = float(users or expected_users)
        return self.settings.collapse_multiple * self.settings.collapse_window_us / sharers / self.processes

    def cost_us(self, now_us: int, endpoint: Endpoint, request: Request) -> float:
        """Return the work of a request: as stated; else that of the fastest answers, and more in slow start.

        Guards against leaving warming servers idle in a jam: by how long others take, each request cost them far
        more than it is, and a proxy that is one of many sent its next one after half a minute. What is said to be
        far less than any answer takes is not believed, of a class or of one request.
        """
        class_index = request.class_index
        mean_us = self.work.mean_us[class_index]
        min_us = MIN_WORK_RATIO * self.latency.unloaded_us[class_index]
        if mean_us < min_us:
            mean_us = self.latency.unloaded_us[class_index]
            if now_us < endpoint.slow_start.ends_at_us:
                mean_us = (mean_us + self.latency.smoothed_us[class_index]) / 2  # the usual ones have waited too
        return max(min_us, mean_us * request.size)

    def capacity_ratio(self, now_us: int, endpoint: Endpoint) -> float:
        """Return the share of its capacity that a server surely has by now."""
        if now_us >= endpoint.slow_start.ends_at_us:
            return 1.0
        age_us = max(0, now_us - endpoint.entry.started_us)
        start = self.settings.start_capacity
        return start + (1.0 - start) * age_us / self.settings.slow_start_us
