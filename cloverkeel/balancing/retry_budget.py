"""The retry budget: a token bucket that first tries fill and retries drain.

As Finagle's RetryBudget: it bounds the load that retries add, whatever fails. Tokens also move between proxies
(docs/peers-design.md): they are gone at the one before they come to the other.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from cloverkeel.balancing.events import RetryTokenGrant

RETRY_RATIO: Final = 0.2  # retries that a first try pays for
MAX_RETRY_TOKENS: Final = 2.0  # saved up: by hundreds of proxies together
FULL_RETRY_COST: Final = 1.0  # of a retry after a time-out, and of a hedged request
ERROR_RETRY_COST: Final = 0.5  # of a retry after an error or a reset: no sign of a crowd
DEMAND_MEMORY_US: Final = 1_000_000  # a retry for which there was no token is a demand for so long


class RetryTokenState(NamedTuple):
    """Tokens at hand, and whether one was wanting of late."""

    tokens: float
    is_wanted: bool


class RetryBudget:
    """Hold the retry tokens of this proxy."""

    def __init__(self) -> None:
        self.tokens = MAX_RETRY_TOKENS
        self.cap = MAX_RETRY_TOKENS
        self.expires_at_us = 0  # tokens beyond the cap came from other proxies and expire then
        self.wanted_at_us = -DEMAND_MEMORY_US  # the last retry for which there was none

    def available(self, now_us: int) -> float:
        """Return the tokens at hand; those of other proxies that were not used in time are gone."""
        if self.tokens > self.cap and now_us >= self.expires_at_us:
            self.tokens = self.cap
        return self.tokens

    def deposit(self, now_us: int) -> None:
        """Add what a first try pays for, up to the cap."""
        if self.available(now_us) < self.cap:
            self.tokens = min(self.tokens + RETRY_RATIO, self.cap)

    def can_withdraw(self, now_us: int, cost: float) -> bool:
        """Tell whether there are tokens for a retry of this cost; if not, note that one was wanting."""
        if self.available(now_us) >= cost:
            return True
        self.wanted_at_us = now_us
        return False

    def withdraw(self, cost: float) -> None:
        """Take the tokens of a retry that was sent."""
        self.tokens -= cost

    def apply_grant(self, now_us: int, grant: RetryTokenGrant) -> None:
        """Set the cap and move tokens from or to other proxies."""
        self.cap = grant.cap
        self.tokens = max(0.0, self.available(now_us) + grant.moved)
        if grant.moved > 0.0:
            self.expires_at_us = grant.until_us

    def is_wanted(self, now_us: int) -> bool:
        """Tell whether a token was wanting of late."""
        return now_us - self.wanted_at_us < DEMAND_MEMORY_US
