"""Circuit breakers: one for each server, and one for each request class at a server.

A breaker counts the most recent outcomes. It opens when too many of them failed, allowing for failures that all
servers have in common. After a cooldown it is half-open: a few requests probe the server, and their outcomes close
the breaker or reopen it for twice as long. The states are those of Nygard, Release It! (2007), and of Envoy's
outlier detection.

Invariants: a closed breaker admits every request, an open one none until its cooldown ends, and a half-open one at
most `HALF_OPEN_PROBES` probes in an episode; outcomes of attempts sent before an episode don't affect it.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import Final

MAX_OUTCOMES: Final = 10  # only the most recent ones count: a second or less of one proxy's traffic to a server
MIN_OUTCOMES: Final = 5  # counted before a breaker may open; with fewer, chance failures would open it
MIN_CLASS_OUTCOMES: Final = 2  # for one class at one server: a proxy sees only a few such outcomes a minute
FAILURE_THRESHOLD: Final = 0.5  # failure ratio that opens a breaker while no other server fails
HALF_OPEN_PROBES: Final = 3  # per half-open episode
INITIAL_COOLDOWN_US: Final = 1_000_000  # doubles with each reopening from half-open
MAX_COOLDOWN_US: Final = 8_000_000


class BreakerState(Enum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


def failure_limit(fleet_failure_ratio: float) -> float:
    """Return the failure ratio that opens a breaker, given the ratio of failures among other servers' outcomes.

    The fleet's success ratio is squared to raise the limit further, as the ratio of a few outcomes varies by chance.
    """
    return 1.0 - (1.0 - FAILURE_THRESHOLD) * (1.0 - fleet_failure_ratio) ** 2


class CircuitBreaker:
    """The most recent outcomes of one server, or of one class at it, and the resulting state."""

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
        self.outcomes: deque[bool] = deque(maxlen=MAX_OUTCOMES)  # True for a failure; oldest first
        self.failures = 0
        self.state = BreakerState.CLOSED
        self.open_until_us = 0
        self.cooldown_us = INITIAL_COOLDOWN_US
        self.episode = 0  # half-open episode, counted from 1; only attempts sent in the current one are its probes
        self.probes_in_flight = 0
        self.probes_ended = 0  # in the current episode
        self.probes_failed = 0

    def can_admit(self, now_us: int) -> bool:
        """Return whether a request may pass. An open breaker whose cooldown is over becomes half-open."""
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
        """Count an attempt sent now; return the half-open episode that it probes, or 0 if it is not a probe."""
        if self.state is not BreakerState.HALF_OPEN:
            return 0
        self.probes_in_flight += 1
        return self.episode

    def abandon_probe(self, episode: int) -> None:
        """Free the slot of a probe that ended without a conclusive outcome."""
        if self.state is BreakerState.HALF_OPEN and episode == self.episode:
            self.probes_in_flight -= 1

    def record_outcome(
        self, now_us: int, is_failure: bool, probe_episode: int, fleet_failure_ratio: float
    ) -> BreakerState | None:
        """Count an outcome; return the new state if the breaker opened or closed, else None."""
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
        """Count an outcome while half-open; only outcomes of this episode's probes count."""
        if probe_episode != self.episode:
            return None
        self.probes_in_flight -= 1
        self.probes_ended += 1
        self.probes_failed += is_failure
        if self.probes_failed >= HALF_OPEN_PROBES * failure_limit(fleet_failure_ratio):
            return self.reopen(now_us)  # the remaining probes can't change the result
        return self.close() if self.probes_ended == HALF_OPEN_PROBES else None

    def reopen(self, now_us: int) -> BreakerState:
        """Open at once; double the cooldown if half-open."""
        if self.state is BreakerState.HALF_OPEN:
            self.cooldown_us = min(2 * self.cooldown_us, MAX_COOLDOWN_US)
        return self.open(now_us)

    def open(self, now_us: int) -> BreakerState:
        """Open for the current cooldown."""
        self.state = BreakerState.OPEN
        self.open_until_us = now_us + self.cooldown_us
        return self.state

    def close(self) -> BreakerState:
        """Close, discard the counted outcomes and reset the cooldown."""
        self.state = BreakerState.CLOSED
        self.outcomes.clear()
        self.failures = 0
        self.cooldown_us = INITIAL_COOLDOWN_US
        return self.state

    def end_cooldown(self, now_us: int) -> None:
        """End the cooldown of an open breaker, so that the next request makes it half-open."""
        self.open_until_us = min(self.open_until_us, now_us)
