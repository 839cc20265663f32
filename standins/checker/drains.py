"""Check drains: a gateway sends no first byte to a draining backend after the grace period."""

from __future__ import annotations

from collections.abc import Iterator

from standins.checker.observations import Observations
from standins.checker.timeline import request_violation
from standins.checker.violations import Rule, Violation
from standins.event_log import BackendAttempt


class DrainCheck:
    """Check each attempt against what its gateway's process knew of the backend."""

    def __init__(self, observations: Observations) -> None:
        self._observations = observations

    def check_attempt(self, attempt: BackendAttempt) -> Iterator[Violation]:
        """Yield a violation if the attempt was sent after the grace period of the backend's drain."""
        rules = self._observations.rules
        gateway = self._observations.sender_of(attempt)
        process = self._observations.process_of(attempt)
        process_start_us = process.start_us if process is not None else 0
        since_us = self._observations.notifications.unavailable_since(
            gateway, attempt.backend, process_start_us, attempt.at_us
        )
        if since_us is None:
            return
        deadline_us = since_us + rules.grace_us
        late_us = attempt.at_us - deadline_us - rules.slack_us
        if late_us <= 0:
            return
        if late_us > self._observations.delays.stalled_us(deadline_us, attempt.at_us):
            after_s = (attempt.at_us - since_us) / 1e6
            description = f"sent to {attempt.backend} {after_s:.3f} s after {gateway} was notified"
            yield request_violation(self._observations, attempt.id, Rule.DRAIN, attempt.at_us, description)
