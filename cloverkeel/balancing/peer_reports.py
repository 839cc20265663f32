"""Reports of other proxies: suspected outliers, and half-open probes that one proxy sends for all.

A report alone never opens or closes a breaker. A suspected server is selected rarely, the subset includes one more
server in its place, and a single failure at this proxy opens its breaker.
"""

from __future__ import annotations

from typing import Final

from cloverkeel.balancing.circuit_breaker import BreakerState, failure_limit
from cloverkeel.balancing.endpoints import Endpoints
from cloverkeel.balancing.events import PeerHealthReport, ProbesSuspended
from cloverkeel.balancing.fleet_outcomes import FleetOutcomes

MIN_REPORTERS: Final = 2  # a single other proxy may have a faulty network
MAX_PROBE_DELAY_US: Final = 2_000_000  # longest wait after the cooldown while other proxies probe


class PeerReports:
    """Apply other proxies' reports to the endpoints."""

    def __init__(self, endpoints: Endpoints, fleet_outcomes: FleetOutcomes) -> None:
        self.endpoints = endpoints
        self.fleet_outcomes = fleet_outcomes

    def has_closed_majority(self) -> bool:
        """Return whether at least half of this proxy's server breakers are closed."""
        by_server = self.endpoints.by_server
        closed = sum(endpoint.breaker.state is BreakerState.CLOSED for endpoint in by_server.values())
        return 2 * closed >= len(by_server)

    def suspend_probes(self, now_us: int, event: ProbesSuspended) -> None:
        """Suspend half-open probes while another proxy sends them; when it reports success, end the cooldown here.

        Probes are not suspended while most breakers here are open. Guards against waiting for other proxies with
        hardly any server left.
        """
        endpoint = self.endpoints.by_server.get(event.server)
        if endpoint is None or (event.until_us > now_us and not self.has_closed_majority()):
            return
        endpoint.probes_suspended_until_us = event.until_us
        if event.until_us == 0 and endpoint.breaker.state is BreakerState.OPEN:
            endpoint.breaker.end_cooldown(now_us)

    def apply_report(self, now_us: int, event: PeerHealthReport) -> None:
        """Suspect a server, or end its suspicion, according to the outcomes at other proxies.

        Failures common to all servers are allowed for. If the server's breaker is open here too, probes wait until
        other proxies' probes succeed, for a limited time.
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
