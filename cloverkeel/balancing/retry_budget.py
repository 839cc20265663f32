"""Retry budget: a token bucket that first tries fill and retries drain.

It bounds the load that retries add, whatever fails, as Finagle's RetryBudget does. Tokens also move between proxies
(docs/peers-design.md): the giving proxy removes them before the receiving proxy adds them.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from cloverkeel.balancing.events import RetryTokenGrant

RETRY_RATIO: Final = 0.2  # tokens added for each first try
MAX_RETRY_TOKENS: Final = 2.0  # low, as hundreds of proxies may spend their saved tokens at the same time
FULL_RETRY_COST: Final = 1.0  # tokens for a retry after a timeout, or for a hedged request
ERROR_RETRY_COST: Final = 0.5  # tokens for a retry after an error or a reset, which do not indicate overload
SHORTAGE_LIFETIME_US: Final = 1_000_000  # how long a retry denied for lack of tokens counts as a shortage


class RetryTokenState(NamedTuple):
    """Available retry tokens, and whether a retry was recently denied for lack of them."""

    tokens: float
    is_short: bool


class RetryBudget:
    """Token bucket for the retries of this proxy."""

    def __init__(self) -> None:
        self.tokens = MAX_RETRY_TOKENS
        self.cap = MAX_RETRY_TOKENS
        self.expires_at_us = 0  # when tokens above the cap, which other proxies granted, expire
        self.denied_at_us = -SHORTAGE_LIFETIME_US  # when a retry was last denied for lack of tokens

    def available(self, now_us: int) -> float:
        """Return the available tokens, after removing those granted by other proxies that have expired."""
        if self.tokens > self.cap and now_us >= self.expires_at_us:
            self.tokens = self.cap
        return self.tokens

    def deposit(self, now_us: int) -> None:
        """Add the tokens of a first try, up to the cap."""
        if self.available(now_us) < self.cap:
            self.tokens = min(self.tokens + RETRY_RATIO, self.cap)

    def can_withdraw(self, now_us: int, cost: float) -> bool:
        """Return whether there are tokens for a retry of this cost; if not, record the shortage."""
        if self.available(now_us) >= cost:
            return True
        self.denied_at_us = now_us
        return False

    def withdraw(self, cost: float) -> None:
        """Remove the tokens of a retry that was sent."""
        self.tokens -= cost

    def apply_grant(self, now_us: int, grant: RetryTokenGrant) -> None:
        """Set the cap and move tokens from or to other proxies."""
        self.cap = grant.cap
        self.tokens = max(0.0, self.available(now_us) + grant.moved)
        if grant.moved > 0.0:
            self.expires_at_us = grant.until_us

    def is_short(self, now_us: int) -> bool:
        """Return whether a retry was recently denied for lack of tokens."""
        return now_us - self.denied_at_us < SHORTAGE_LIFETIME_US
