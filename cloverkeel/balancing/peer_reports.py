"""What other proxies report: suspected outliers, and half-open probes that one proxy makes for all.

A report opens and closes no breaker. A suspected server is drawn seldom and gives its place in the subset to the
next, and one failure here is enough.
"""

from __future__ import annotations

from typing import Final

from cloverkeel.balancing.circuit_breaker import BreakerState, failure_limit
from cloverkeel.balancing.endpoints import Endpoints
from cloverkeel.balancing.events import PeerHealthReport, ProbesSuspended
from cloverkeel.balancing.fleet_outcomes import FleetOutcomes

MIN_REPORTERS: Final = 2  # other proxies that saw a server fail: one may have a bad network
MAX_PROBE_DELAY_US: Final = 2_000_000  # probes wait for others' no longer than this past the cooldown


class PeerReports:
    """Apply reports of other proxies to the endpoints."""

    def __init__(self, endpoints: Endpoints, fleet_outcomes: FleetOutcomes) -> None:
        self.endpoints = endpoints
        self.fleet_outcomes = fleet_outcomes

    def has_closed_majority(self) -> bool:
        """Tell whether at least half of the servers' breakers are closed here."""
        by_server = self.endpoints.by_server
        closed = sum(endpoint.breaker.state is BreakerState.CLOSED for endpoint in by_server.values())
        return 2 * closed >= len(by_server)

    def suspend_probes(self, now_us: int, event: ProbesSuspended) -> None:
        """Suspend half-open probes while another proxy makes them; at its word, end the cooldown here.

        Guards against waiting for others while next to nothing is left here.
        """
        endpoint = self.endpoints.by_server.get(event.server)
        if endpoint is None or (event.until_us > now_us and not self.has_closed_majority()):
            return
        endpoint.probes_suspended_until_us = event.until_us
        if event.until_us == 0 and endpoint.breaker.state is BreakerState.OPEN:
            endpoint.breaker.end_cooldown(now_us)

    def apply_report(self, now_us: int, event: PeerHealthReport) -> None:
        """Assess what other proxies saw of a server, less what fails here everywhere.

        Where its breaker is open here too, it is probed after others' probes have ended well, or a while later.
        """
        endpoint = self.endpoints.by_server.get(event.server)
        if endpoint is None or endpoint.entry.started_us != event.started_us:
            return
        ratio = self.fleet_outcomes.failure_ratio(event.server, None)
        is_failing = event.bad >= failure_limit(ratio) * (event.good + event.bad)
        is_suspected = event.reporters >= MIN_REPORTERS and is_failing
        endpoint.suspected_until_us = event.until_us if is_suspected else 0
        breaker = endpoint.breaker
        if breaker.state is not BreakerState.OPEN:
            return
        if is_suspected and self.has_closed_majority():
            max_us = breaker.open_until_us + min(breaker.cooldown_us, MAX_PROBE_DELAY_US)
            until_us = min(event.until_us, max_us)
            endpoint.probes_suspended_until_us = max(endpoint.probes_suspended_until_us, until_us)
        elif not event.reporters and event.success_reporters >= MIN_REPORTERS:
            endpoint.probes_suspended_until_us = 0
            breaker.end_cooldown(now_us)
