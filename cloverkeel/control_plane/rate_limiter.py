"""A token bucket for snapshots: how many of them a relay sends a second. Pure: its caller has the clock.

Invariant: the snapshots that were sent by any moment are at most `burst` and `rate_per_s` for each second since the
start; a large one counts as several.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

TOKEN_BYTES: Final = 256 << 10  # a snapshot costs one token, and one more for each so many bytes


@dataclass(slots=True)
class SnapshotRateLimiter:
    """A token bucket. Times are in seconds, of a monotonic clock."""

    rate_per_s: float
    burst: float  # at once, after a quiet time
    tokens: float = field(init=False)
    refilled_at_s: float = 0.0

    def __post_init__(self) -> None:
        self.tokens = self.burst

    def delay_s(self, now_s: float) -> float:
        """Return the time until a snapshot may be sent; 0.0: now."""
        self.tokens = min(self.burst, self.tokens + (now_s - self.refilled_at_s) * self.rate_per_s)
        self.refilled_at_s = now_s
        return max(0.0, (1.0 - self.tokens) / self.rate_per_s)

    def consume(self, size_bytes: int) -> None:
        """Take the tokens of a snapshot of this size, which was sent. A large one is paid for by those after it."""
        self.tokens -= 1.0 + size_bytes // TOKEN_BYTES
