"""Circuit breakers: one for each server, and one for each class of requests at a server.

A breaker counts the last outcomes. It opens when too many of them failed, beyond what fails at all servers alike;
after a cooldown it is half-open and a few requests probe the server; their outcomes close it or open it again for
twice as long. The states are those of Nygard, Release It! (2007), and of Envoy's outlier detection.

Invariants: a closed breaker admits everything, an open one nothing until its cooldown ends, a half-open one no more
than `HALF_OPEN_PROBES` probes in an episode; outcomes of attempts that were sent before an episode don't decide it.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import Final

MAX_OUTCOMES: Final = 10  # that are counted: a second or less of one proxy's traffic to one server
MIN_OUTCOMES: Final = 5  # before it may open: fewer convict on chance
MIN_CLASS_OUTCOMES: Final = 2  # the same for one class at one server: a proxy sees a few of these a minute
FAILURE_THRESHOLD: Final = 0.5  # failure ratio that opens, beyond what all servers fail in common
HALF_OPEN_PROBES: Final = 3  # outcomes that decide in half-open
INITIAL_COOLDOWN_US: Final = 1_000_000  # doubles with each reopening from half-open
MAX_COOLDOWN_US: Final = 8_000_000


class BreakerState(Enum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


def failure_limit(fleet_failure_ratio: float) -> float:
    """Return the failure ratio that opens a breaker while this part of all servers' outcomes fails.

    The part that does not fail in common is squared, as a few outcomes vary by chance.
    """
    return 1.0 - (1.0 - FAILURE_THRESHOLD) * (1.0 - fleet_failure_ratio) ** 2


class CircuitBreaker:
    """Hold the last outcomes of one server, or of one class at it, and the state that follows from them."""

    __slots__ = (
        "cooldown_us",
        "episode",
        "failures",
        "min_outcomes",
        "open_until_us",
        "outcomes",
        "probes_ended",
        "probes_failed",
        "probes_in_flight",
        "state",
    )

    def __init__(self, min_outcomes: int = MIN_OUTCOMES) -> None:
        self.min_outcomes = min_outcomes
        self.outcomes: deque[bool] = deque(maxlen=MAX_OUTCOMES)  # whether each failed
        self.failures = 0
        self.state = BreakerState.CLOSED
        self.open_until_us = 0
        self.cooldown_us = INITIAL_COOLDOWN_US
        self.episode = 0  # of being half-open, from 1: an outcome is a probe's if it was sent in the present one
        self.probes_in_flight = 0
        self.probes_ended = 0  # of the episode
        self.probes_failed = 0

    def can_admit(self, now_us: int) -> bool:
        """Tell whether a request may pass: closed, or half-open with probes left. End a cooldown that is over."""
        if self.state is BreakerState.CLOSED:
            return True
        if self.state is BreakerState.OPEN:
            if now_us < self.open_until_us:
                return False
            self.state = BreakerState.HALF_OPEN
            self.episode += 1
            self.probes_in_flight = 0
            self.probes_ended = 0
            self.probes_failed = 0
        return self.probes_in_flight + self.probes_ended < HALF_OPEN_PROBES

    def start_probe(self) -> int:
        """Return the half-open episode that an attempt sent now probes, or 0 for an ordinary attempt."""
        if self.state is not BreakerState.HALF_OPEN:
            return 0
        self.probes_in_flight += 1
        return self.episode

    def abandon_probe(self, episode: int) -> None:
        """Return the place of a probe that proved nothing."""
        if self.state is BreakerState.HALF_OPEN and episode == self.episode:
            self.probes_in_flight -= 1

    def record_outcome(
        self, now_us: int, is_failure: bool, probe_episode: int, fleet_failure_ratio: float
    ) -> BreakerState | None:
        """Count an outcome; return the new state if it opened or closed the breaker."""
        if self.state is BreakerState.HALF_OPEN:
            return self._record_probe(now_us, is_failure, probe_episode, fleet_failure_ratio)
        if len(self.outcomes) == MAX_OUTCOMES:
            self.failures -= self.outcomes[0]
        self.outcomes.append(is_failure)
        self.failures += is_failure
        if not is_failure or len(self.outcomes) < self.min_outcomes:
            return None
        if self.failures < len(self.outcomes) * failure_limit(fleet_failure_ratio):
            return None
        return self.open(now_us)

    def _record_probe(
        self, now_us: int, is_failure: bool, probe_episode: int, fleet_failure_ratio: float
    ) -> BreakerState | None:
        """Count an outcome while half-open, where only those of probes count."""
        if probe_episode != self.episode:
            return None
        self.probes_in_flight -= 1
        self.probes_ended += 1
        self.probes_failed += is_failure
        if self.probes_failed >= HALF_OPEN_PROBES * failure_limit(fleet_failure_ratio):
            return self.reopen(now_us)  # the outcomes still to come can't save it
        return self.close() if self.probes_ended == HALF_OPEN_PROBES else None

    def reopen(self, now_us: int) -> BreakerState:
        """Open at once; from half-open for twice as long."""
        if self.state is BreakerState.HALF_OPEN:
            self.cooldown_us = min(2 * self.cooldown_us, MAX_COOLDOWN_US)
        return self.open(now_us)

    def open(self, now_us: int) -> BreakerState:
        """Open for the present cooldown."""
        self.state = BreakerState.OPEN
        self.open_until_us = now_us + self.cooldown_us
        return self.state

    def close(self) -> BreakerState:
        """Close, with no outcome counted and the initial cooldown."""
        self.state = BreakerState.CLOSED
        self.outcomes.clear()
        self.failures = 0
        self.cooldown_us = INITIAL_COOLDOWN_US
        return self.state

    def end_cooldown(self, now_us: int) -> None:
        """Let an open breaker become half-open now."""
        self.open_until_us = min(self.open_until_us, now_us)
