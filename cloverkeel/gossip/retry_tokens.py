"""Tokens for further attempts, which move from gateways that have them to spare to those that want them. Pure.

A right is a token of the module: each first try earns a part of one, and what is saved up is bounded
(MAX_SAVED_TOKENS). Tokens move by escrow: who gives has them no more before it says so, who takes uses them within
GRANT_LIFETIME_US.

Invariants (docs/peers-design.md):
- a gift is taken once, by the process that asked for it: by giver, its incarnation and a number that only grows;
- what is lost, late or sent to a process that is gone is lost; nothing makes it come back;
- no gift is more than one gateway may save up;
- a gateway gives nothing while it wants some itself, and never more than it has.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, Protocol

from cloverkeel.gossip.messages import TokenGrantItem, TokenRequestItem

MAX_SAVED_TOKENS: Final = 1.0  # tokens that one gateway saves up
MIN_TRANSFER_TOKENS: Final = 0.5  # that are worth a datagram: a retry after an error
TOKEN_REQUEST_INTERVAL_US: Final = 200_000  # between two times that it asks
TOKEN_REQUEST_FANOUT: Final = 2  # others, drawn
GRANT_LIFETIME_US: Final = 1_000_000  # a gift is used within this, or lost
HUNDREDTHS_PER_TOKEN: Final = 100  # amounts are told in hundredths


class RetryTokenBucket(Protocol):
    """The module's tokens."""

    def take(self, most: float) -> float:
        """Take away so many at the most, and say how many are gone; 0 where they are wanted here."""

    def put(self, amount: float, until_us: int) -> None: ...


@dataclass(slots=True)
class RetryTokenCounts:
    asked: int = 0
    given: float = 0.0
    taken: float = 0.0
    refused: int = 0  # gifts that came twice, late, for another process, or are more than anybody may have


class RetryTokens:
    def __init__(self, number: int, purse: RetryTokenBucket) -> None:
        self.number, self.purse = number, purse
        self.sequence = 0
        self.asked_us = -TOKEN_REQUEST_INTERVAL_US
        self.seen: dict[int, tuple[int, int]] = {}  # by giver: incarnation and sequence of its last gift
        self.counts = RetryTokenCounts()

    def want(self, now_us: int) -> TokenRequestItem | None:
        """Called while tokens are wanted here."""
        if now_us - self.asked_us < TOKEN_REQUEST_INTERVAL_US:
            return None
        self.asked_us = now_us
        self.counts.asked += 1
        return TokenRequestItem(int(MAX_SAVED_TOKENS * HUNDREDTHS_PER_TOKEN))

    def give(self, want: TokenRequestItem, to: int, incarnation: int, own: int, stamp: int) -> TokenGrantItem | None:
        """To the process that asked; `own`: this gateway's incarnation. The tokens are gone from here by now."""
        most = min(MAX_SAVED_TOKENS, want.amount / HUNDREDTHS_PER_TOKEN)
        amount = int(self.purse.take(most) * HUNDREDTHS_PER_TOKEN) if most >= MIN_TRANSFER_TOKENS else 0
        if amount <= 0:
            return None
        self.sequence += 1
        self.counts.given += amount / HUNDREDTHS_PER_TOKEN
        return TokenGrantItem(self.number, own, self.sequence, stamp, to, incarnation, amount)

    def take(self, now_us: int, gift: TokenGrantItem, own: int, age_us: int | None) -> None:
        """`own`: this gateway's incarnation; `age_us`: of the gift, None where that can't be told."""
        last = self.seen.get(gift.giver, (0, 0))
        fresh = (gift.incarnation, gift.sequence) > last
        if fresh:
            self.seen[gift.giver] = (gift.incarnation, gift.sequence)
        meant = gift.to == self.number and gift.to_incarnation == own
        if age_us is None or age_us >= GRANT_LIFETIME_US:
            self.counts.refused += 1
            return
        if not fresh or not meant or gift.amount > MAX_SAVED_TOKENS * HUNDREDTHS_PER_TOKEN:
            self.counts.refused += 1
            return
        self.counts.taken += gift.amount / HUNDREDTHS_PER_TOKEN
        self.purse.put(gift.amount / HUNDREDTHS_PER_TOKEN, now_us + GRANT_LIFETIME_US - age_us)
