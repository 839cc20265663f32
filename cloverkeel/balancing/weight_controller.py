"""Weight controller: additive increase after good answers, multiplicative decrease after failures and slow ones."""

from __future__ import annotations

from typing import Final

from cloverkeel.balancing.circuit_breaker import BreakerState, CircuitBreaker

MIN_WEIGHT: Final = 0.05
MAX_WEIGHT: Final = 1.0
WEIGHT_STEP: Final = 0.02  # increase after a good answer
WEIGHT_CUT: Final = 0.7  # factor after a failure or a slow answer
SLOW_FACTOR: Final = 2.0  # times the expected latency, above which an answer is slow


def adjust_weight(weight: float, breaker: CircuitBreaker, is_bad: bool) -> float:
    """Return the weight after an outcome; it doesn't change while the breaker is not closed."""
    if breaker.state is not BreakerState.CLOSED:
        return weight
    return max(MIN_WEIGHT, weight * WEIGHT_CUT) if is_bad else min(MAX_WEIGHT, weight + WEIGHT_STEP)
