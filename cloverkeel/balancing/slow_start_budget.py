"""Slow start: how much work all proxies together may send to a server that has just started.

A warming server collapses if it is sent more than its collapse budget in a window. Each proxy has a quota of that
budget and enforces it with a leaky bucket per warming server; quotas move between proxies (docs/duties-design.md).

Invariant: the work that all proxies send to a warming server in any collapse window is within its budget, whatever
each proxy's list and subset.
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

BUDGET_MARGIN: Final = 0.9  # usable part of the budget; the rest covers misjudged work and chance
MAX_REQUEST_SIZE: Final = 2.0  # times its class's mean work: a few longer requests together would exceed any budget
MIN_WORK_RATIO: Final = 0.1  # of the unloaded latency: stated work below it is taken as understated
DEMAND_LIFETIME_US: Final = 1_000_000  # how long a request rejected for lack of headroom counts as demand
SETTLING_BURST_RATIO: Final = 1 / 6  # of the budget, at once while settling; the rest is spread evenly


class SlowStartDemand(NamedTuple):
    """This proxy's demand for one warming server's collapse budget."""

    server: int
    started_us: int
    is_wanted: bool  # the quota recently had no headroom for a request
    is_idle: bool  # the quota was not used lately, and may be lent


class SlowStartBudget:
    """Decide which requests may be sent to a server during its configured warm-up and for the same time afterwards.

    The server counts as settled only after that second period, in case warming takes longer than configured.
    """

    def __init__(
        self, settings: Settings, rng: random.Random, subset: Subset, latency: LatencyModel, work: WorkModel
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.subset = subset
        self.latency = latency
        self.work = work
        self.processes = 1  # of this proxy; each has a balancer of its own
        # No warming server is used until then: an earlier process may have lent its quota.
        self.suspended_until_us = 0

    def start(self, now_us: int, entry: ListedServer) -> SlowStart:
        """Return the initial slow start of a server process that is new to this proxy.

        Hundreds of proxies learn of a warming server at once, and each may send at least one request: each starts
        with a random part of a request in its bucket, so that these first requests don't arrive together.
        """
        duration_us = self.settings.slow_start_us if entry.started_us else 0
        ends_at_us = entry.started_us + duration_us
        max_us = BUDGET_MARGIN * self.budget_us(entry.users) / 2
        for class_index, work_us in enumerate(self.work.mean_us):
            is_stated = work_us >= MIN_WORK_RATIO * self.latency.unloaded_us[class_index]
            request_us = work_us if is_stated else self.latency.smoothed_us[class_index]
            max_us = max(request_us, max_us)
        bucket_us = self.rng.random() * max_us
        return SlowStart(ends_at_us, ends_at_us + duration_us, bucket_us, now_us)

    def has_headroom(self, now_us: int, endpoint: Endpoint, request: Request) -> bool:
        """Return whether this proxy's quota of a server's budget has headroom for one more request.

        From the time a server should be warm until it is settled, the quota is a part of the whole budget, with only
        a small burst: under overload all proxies would turn to the idlest server at that moment, and it may warm up
        more slowly than configured.
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
        """Add the work of a sent request to the server's bucket."""
        endpoint.slow_start.bucket_us += self.cost_us(now_us, endpoint, request)
        endpoint.slow_start.sent_at_us = now_us

    def drain(self, now_us: int, endpoint: Endpoint) -> float:
        """Drain a server's bucket up to now; return the work that may be sent at once, 0.0 without any quota.

        Lent and granted quotas end at their own times: each drains at its rate until then, and the own quota allows
        no burst when it returns.
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
        """Drain until `until_us`, at the rate of the quotas held just before it."""
        slow_start = endpoint.slow_start
        elapsed_us = max(0, until_us - slow_start.drained_at_us)
        rate_us = slow_start.quotas_at(until_us - 1) * self.window_us(now_us, endpoint)
        slow_start.drain(until_us, rate_us * elapsed_us / self.settings.collapse_window_us)

    def burst_us(self, now_us: int, endpoint: Endpoint) -> float:
        """Return the work that one quota allows at once: the size of its leaky bucket."""
        budget_us = self.budget_us(endpoint.entry.users)
        if now_us < endpoint.slow_start.ends_at_us:
            return BUDGET_MARGIN * budget_us * self.capacity_ratio(now_us, endpoint) / 2
        return budget_us * SETTLING_BURST_RATIO

    def window_us(self, now_us: int, endpoint: Endpoint) -> float:
        """Return the work that one quota drains from its bucket evenly over each collapse window."""
        budget_us = self.budget_us(endpoint.entry.users)
        if now_us < endpoint.slow_start.ends_at_us:
            return BUDGET_MARGIN * budget_us * self.capacity_ratio(now_us, endpoint) / 2
        return budget_us * (1 - SETTLING_BURST_RATIO)

    def apply_quota(self, now_us: int, event: SlowStartQuota, endpoint: Endpoint | None) -> None:
        """Apply a move of quotas between proxies. Added quotas allow no burst at first.

        Guards against spending one quota at two proxies within one window.
        """
        if event.server < 0:
            self.suspended_until_us = event.lent_us
            return
        if endpoint is None or endpoint.entry.started_us != event.started_us:
            return
        self.drain(now_us, endpoint)
        slow_start = endpoint.slow_start
        held_before = slow_start.quotas_at(now_us)
        slow_start.lent_until_us = max(slow_start.lent_until_us, event.lent_us)
        slow_start.granted = event.granted
        slow_start.granted_until_us = event.granted_us
        added = slow_start.quotas_at(now_us) - held_before
        if added > 0.0:
            slow_start.add_quotas(held_before, added * self.burst_us(now_us, endpoint))

    def update_entry(self, now_us: int, endpoint: Endpoint, entry: ListedServer) -> None:
        """Replace a listed server's entry. Its number of `users` determines the size of a quota.

        The added part of a larger quota allows no burst at first: proxies that no longer know the server may just
        have spent theirs.
        """
        if endpoint.entry.users == entry.users or now_us >= endpoint.slow_start.settled_at_us:
            endpoint.entry = entry
            return
        burst_us = self.drain(now_us, endpoint)  # at the rate of the previous entry
        endpoint.entry = entry
        endpoint.slow_start.bucket_us += max(0.0, self.drain(now_us, endpoint) - burst_us)

    def demands(self, now_us: int, called_at_us: int) -> list[SlowStartDemand]:
        """Return the demands for the servers of the subset that were not settled at `called_at_us`."""
        found = []
        for endpoint in self.subset.reachable():
            slow_start = endpoint.slow_start
            if called_at_us >= slow_start.settled_at_us or endpoint.entry.status is not ServerStatus.READY:
                continue
            self.drain(now_us, endpoint)  # the bucket of a server that is never selected drains only here
            is_wanted = called_at_us - slow_start.rejected_at_us < DEMAND_LIFETIME_US
            is_unused = called_at_us - slow_start.sent_at_us >= self.settings.collapse_window_us
            is_idle = is_unused and slow_start.bucket_us <= self.burst_us(now_us, endpoint)
            entry = endpoint.entry
            found.append(SlowStartDemand(entry.server, entry.started_us, is_wanted, is_idle and not is_wanted))
        return found

    def budget_us(self, users: int = 0) -> float:
        """Return this process's quota of the work that a warm server of one core may be sent in a collapse window.

        All quotas add up to the budget; a burst plus the work drained in a window stays within it. `users` is the
        maximum number of proxies that know the server, 0 if the list doesn't state it. With it, each proxy takes one
        part of `users`: no other proxy sends to the server, so the quotas stay within the budget whatever each
        proxy's list and subset. Without it, the number is estimated from the size of the subset, which is
        right on average over many proxies but may be far off with few.
        """
        ratio = min(1.0, self.subset.size / max(1, len(self.subset.endpoints.ranked)))
        expected_users = max(1.0, self.settings.proxies * ratio)
        quota_count = float(users or expected_users)
        return self.settings.collapse_multiple * self.settings.collapse_window_us / quota_count / self.processes

    def cost_us(self, now_us: int, endpoint: Endpoint, request: Request) -> float:
        """Return the work of a request: as stated by clients, else estimated from latencies.

        The estimate is the unloaded latency; in slow start, the mean of the unloaded and the smoothed latency.

        Guards against leaving warming servers idle under overload: charged at the current latency of other servers,
        requests cost far more than their work, and one of many proxies sent its next request half a minute later.
        Stated work far below the latency of any answer is not used, for a class or for a single request.
        """
        class_index = request.class_index
        mean_us = self.work.mean_us[class_index]
        min_us = MIN_WORK_RATIO * self.latency.unloaded_us[class_index]
        if mean_us < min_us:
            mean_us = self.latency.unloaded_us[class_index]
            if now_us < endpoint.slow_start.ends_at_us:
                # Only half of the difference, as the smoothed latency includes queueing.
                mean_us = (mean_us + self.latency.smoothed_us[class_index]) / 2
        return max(min_us, mean_us * request.size)

    def capacity_ratio(self, now_us: int, endpoint: Endpoint) -> float:
        """Return the minimum share of its full capacity that a server has reached by now."""
        if now_us >= endpoint.slow_start.ends_at_us:
            return 1.0
        age_us = max(0, now_us - endpoint.entry.started_us)
        start = self.settings.start_capacity
        return start + (1.0 - start) * age_us / self.settings.slow_start_us
