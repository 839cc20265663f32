"""Token bucket that limits the snapshots per second of a relay. Pure: the caller passes the time.

Invariant: the number of snapshots sent is at most `burst` plus `rate_per_s` times the seconds since the start, where
a large snapshot counts as several.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

TOKEN_BYTES: Final = 256 << 10  # a snapshot costs one token plus one per TOKEN_BYTES


@dataclass(slots=True)
class SnapshotRateLimiter:
    """A token bucket. Times are in seconds of a monotonic clock."""

    rate_per_s: float
    burst: float  # tokens available after an idle period
    tokens: float = field(init=False)
    refilled_at_s: float = 0.0

    def __post_init__(self) -> None:
        self.tokens = self.burst

    def delay_s(self, now_s: float) -> float:
        """Return the time in seconds until a snapshot may be sent; 0.0 if it may be sent now."""
        self.tokens = min(self.burst, self.tokens + (now_s - self.refilled_at_s) * self.rate_per_s)
        self.refilled_at_s = now_s
        return max(0.0, (1.0 - self.tokens) / self.rate_per_s)

    def consume(self, size_bytes: int) -> None:
        """Take the tokens for a sent snapshot.

        After a large snapshot the number of tokens is negative, which delays the next snapshots.
        """
        self.tokens -= 1.0 + size_bytes // TOKEN_BYTES
