"""Outlier detection: attempt outcomes update breakers, weights, limits, the latency model and load shedding.

A failure counts against a server only as far as that server alone causes it: failures common to all servers are
discounted, and so are timeouts caused by overload.
"""

from __future__ import annotations

from typing import Final

from cloverkeel.balancing.action_buffer import ActionBuffer
from cloverkeel.balancing.attempts import Attempt, Request
from cloverkeel.balancing.circuit_breaker import INITIAL_COOLDOWN_US, BreakerState, CircuitBreaker
from cloverkeel.balancing.client_timeouts import ClientTimeouts
from cloverkeel.balancing.endpoints import ClassHealth, Endpoint, Endpoints
from cloverkeel.balancing.events import AttemptEnded, Outcome
from cloverkeel.balancing.fleet_outcomes import FleetOutcomes
from cloverkeel.balancing.latency_model import LatencyModel
from cloverkeel.balancing.load_shedding import LoadShedder
from cloverkeel.balancing.settings import Settings
from cloverkeel.balancing.weight_controller import SLOW_FACTOR

# Outcomes that concern the request class as well as the server; the others concern the server alone.
CLASS_OUTCOMES: Final = frozenset({Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT})


class OutlierDetector:
    """Apply attempt outcomes to the state of servers, classes and the balancer."""

    def __init__(
        self,
        settings: Settings,
        endpoints: Endpoints,
        latency: LatencyModel,
        client_timeouts: ClientTimeouts,
        fleet_outcomes: FleetOutcomes,
        load_shedder: LoadShedder,
        buffer: ActionBuffer,
    ) -> None:
        self.settings = settings
        self.endpoints = endpoints
        self.latency = latency
        self.client_timeouts = client_timeouts
        self.fleet_outcomes = fleet_outcomes
        self.load_shedder = load_shedder
        self.buffer = buffer

    def record_outcome(self, now_us: int, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """Update all models with the outcome of an attempt."""
        server, outcome = attempt.server, event.outcome
        health = server.class_health(request.class_index)
        if outcome not in CLASS_OUTCOMES:
            health.breaker.abandon_probe(attempt.class_probe_episode)
        expected_us = self.latency.expected_us(request.class_index, request.size)
        if self._is_inconclusive(request, attempt, event, expected_us):
            server.breaker.abandon_probe(attempt.probe_episode)
            return
        is_failure = outcome is not Outcome.OK
        # A timeout at a server that answered other attempts meanwhile is due to overload: it opens a breaker only if
        # all counted outcomes failed. Guards against overload that opens the breaker of one server after the
        # other, each time overloading the rest.
        is_overload = outcome is Outcome.TIMEOUT and server.answered_at_us >= attempt.sent_us
        self.fleet_outcomes.record(server.entry.server, request.class_index, is_failure)
        is_slow = not is_failure and event.latency_us / max(1.0, expected_us) > SLOW_FACTOR
        if not is_failure:
            self.latency.record(request.class_index, request.size, event.latency_us)
        if outcome in CLASS_OUTCOMES:
            self._record_for_class(now_us, request, attempt, health, is_failure, is_overload)
            if is_failure and outcome is not Outcome.TIMEOUT and self._serves_other_classes(server, health):
                server.breaker.abandon_probe(attempt.probe_episode)
                return  # the failure concerns this class only
        if outcome in (Outcome.OK, Outcome.TIMEOUT):
            self._adjust_limit(now_us, request, server, event.latency_us, not is_failure)
        self.load_shedder.record_outcome(now_us, request, attempt, event)
        self.endpoints.adjust_weight(server, is_failure or is_slow)
        self._record_for_server(now_us, attempt, outcome, is_failure, is_overload)

    def _is_inconclusive(self, request: Request, attempt: Attempt, event: AttemptEnded, expected_us: float) -> bool:
        """Return whether an attempt was never sent, cancelled before it was overdue, or given too short a timeout."""
        if event.outcome is Outcome.MOOT:
            return True
        if event.outcome is Outcome.CANCELLED:
            return not attempt.is_overdue
        if event.outcome is not Outcome.TIMEOUT or event.latency_us >= SLOW_FACTOR * expected_us:
            return False
        return not self.client_timeouts.is_regular(request.class_index)

    def _record_for_class(
        self,
        now_us: int,
        request: Request,
        attempt: Attempt,
        health: ClassHealth,
        is_failure: bool,
        is_overload: bool,
    ) -> None:
        """Record an outcome for its class at its server."""
        health.is_last_outcome_good = not is_failure
        health.adjust_weight(is_failure)
        ratio = self._common_failure_ratio(attempt.server, request.class_index, is_failure, is_overload)
        new_state = health.breaker.record_outcome(now_us, is_failure, attempt.class_probe_episode, ratio)
        if new_state is not None:
            self._log_change(now_us, attempt.server, health.breaker, f" class={request.class_index}")

    def _serves_other_classes(self, server: Endpoint, health: ClassHealth) -> bool:
        """Return whether a server has outcomes of other classes, and the last one of each of them was good."""
        others = [other.is_last_outcome_good for other in server.health_by_class.values() if other is not health]
        return bool(others) and all(others)

    def _record_for_server(
        self, now_us: int, attempt: Attempt, outcome: Outcome, is_failure: bool, is_overload: bool
    ) -> None:
        """Record an outcome for its server."""
        server = attempt.server
        breaker = server.breaker
        ratio = self._common_failure_ratio(server, None, is_failure, is_overload)
        new_state = breaker.record_outcome(now_us, is_failure, attempt.probe_episode, ratio)
        was_recently_good = now_us - server.good_at_us <= INITIAL_COOLDOWN_US
        if outcome is Outcome.CONNECT_FAILED and breaker.state is not BreakerState.OPEN and not was_recently_good:
            # Guards against repeated connects to a dead process or a full connection table: a single failed connect
            # opens the breaker, even if it is a probe's, unless the server's last outcome was good and is recent.
            new_state = breaker.reopen(now_us)
        elif is_failure and not is_overload and now_us < server.suspected_until_us and not new_state:
            new_state = breaker.reopen(now_us)  # reported by other proxies, and now failed here too
        if is_failure:
            server.good_at_us = 0
        else:
            server.good_at_us = server.answered_at_us = now_us
        if new_state is not None:
            self._log_change(now_us, server, breaker, "")

    def _common_failure_ratio(
        self, server: Endpoint, class_index: int | None, is_failure: bool, is_overload: bool
    ) -> float:
        """Return the ratio of failures common to all servers; 1.0 for a timeout caused by overload."""
        if is_overload:
            return 1.0
        return self.fleet_outcomes.failure_ratio(server.entry.server, class_index) if is_failure else 0.0

    def _adjust_limit(self, now_us: int, request: Request, server: Endpoint, latency_us: int, is_good: bool) -> None:
        """Adjust a server's concurrency limit by an answer."""
        class_index = request.class_index
        server.concurrency.record(
            now_us,
            len(server.in_flight),
            latency_us,
            self.latency.expected_unloaded_us(class_index, request.size),
            self.settings.classes[class_index].objective_us - self.latency.unloaded_us[class_index],
            self.latency.smoothed_us[class_index],
            is_good,
        )

    def _log_change(self, now_us: int, server: Endpoint, breaker: CircuitBreaker, scope: str) -> None:
        """Log that a breaker has opened or closed."""
        number = server.entry.server
        if breaker.state is BreakerState.OPEN:
            cooldown_s = breaker.cooldown_us / 1e6
            self.buffer.log(now_us, f"circuit breaker: opened, server={number}{scope} cooldown_s={cooldown_s:g}")
        else:
            self.buffer.log(now_us, f"circuit breaker: closed, server={number}{scope}")
