"""Retry tokens that move from gateways with some to spare to those that want them. Pure: time is passed in.

A token is one of the balancer's retry budget: each first attempt earns a part of one, and what is saved up is bounded
(MAX_SAVED_TOKENS). Tokens move by escrow (O'Neil 1986): the grantor gives them up before it sends the grant, the
recipient uses them within GRANT_LIFETIME_US.

Invariants (docs/peers-design.md):
- a grant is accepted once, by the process that asked for it: by grantor, its incarnation and a growing number;
- tokens that are lost, late or sent to a process that has ended are lost; nothing restores them;
- no grant is more than one gateway may save up;
- a gateway grants nothing while it wants some itself, and never more than it has.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, Protocol

from cloverkeel.gossip.messages import GatewayProcess, TokenGrantItem, TokenRequestItem

MAX_SAVED_TOKENS: Final = 1.0
MIN_TRANSFER_TOKENS: Final = 0.5  # that are worth a datagram: a retry after an error
TOKEN_REQUEST_INTERVAL_US: Final = 200_000
TOKEN_REQUEST_FANOUT: Final = 2  # gateways that are asked at a time
GRANT_LIFETIME_US: Final = 1_000_000
HUNDREDTHS_PER_TOKEN: Final = 100  # the unit of datagrams
MAX_GRANT_HUNDREDTHS: Final = int(MAX_SAVED_TOKENS * HUNDREDTHS_PER_TOKEN)


class RetryTokenBucket(Protocol):
    """The balancer's retry tokens."""

    def withdraw(self, max_tokens: float) -> float:
        """Take away so many at the most; return how many are gone, 0 where they are wanted here."""

    def deposit(self, tokens: float, expires_us: int) -> None:
        """Add tokens that are lost at `expires_us`."""


@dataclass(slots=True)
class RetryTokenCounts:
    """What was transferred since the start, in tokens where not said otherwise."""

    requests: int = 0  # datagrams
    granted: float = 0.0
    accepted: float = 0.0
    refused: int = 0  # grants that came twice, late, for another process, or for more than anybody may have


class RetryTokens:
    """Transfer of retry tokens, seen by one gateway."""

    def __init__(self, gateway: int, bucket: RetryTokenBucket) -> None:
        self.gateway, self.bucket = gateway, bucket
        self.sequence = 0  # of the last grant made here
        self.requested_us = -TOKEN_REQUEST_INTERVAL_US
        self.last_grant_by_grantor: dict[int, tuple[int, int]] = {}  # incarnation and sequence
        self.counts = RetryTokenCounts()

    def request(self, now_us: int) -> TokenRequestItem | None:
        """Return what to ask others for while tokens are wanted here; None if that was done a moment ago."""
        if now_us - self.requested_us < TOKEN_REQUEST_INTERVAL_US:
            return None
        self.requested_us = now_us
        self.counts.requests += 1
        return TokenRequestItem(MAX_GRANT_HUNDREDTHS)

    def grant(
        self, request: TokenRequestItem, recipient: GatewayProcess, own_incarnation: int, timestamp_ms: int
    ) -> TokenGrantItem | None:
        """Return a grant for the process that asked; its tokens are gone from here by then."""
        max_tokens = min(MAX_SAVED_TOKENS, request.hundredths / HUNDREDTHS_PER_TOKEN)
        if max_tokens < MIN_TRANSFER_TOKENS:
            return None
        hundredths = int(self.bucket.withdraw(max_tokens) * HUNDREDTHS_PER_TOKEN)
        if hundredths <= 0:
            return None
        self.sequence += 1
        self.counts.granted += hundredths / HUNDREDTHS_PER_TOKEN
        return TokenGrantItem(self.gateway, own_incarnation, self.sequence, timestamp_ms, *recipient, hundredths)

    def accept(self, now_us: int, grant: TokenGrantItem, own_incarnation: int, age_us: int | None) -> None:
        """Deposit a grant, or refuse it; `age_us`: None where its age is not known."""
        is_new = self._record_sequence(grant)
        is_addressee = grant.recipient == self.gateway and grant.recipient_incarnation == own_incarnation
        if age_us is None or age_us >= GRANT_LIFETIME_US:
            self.counts.refused += 1
            return
        if not is_new or not is_addressee or grant.hundredths > MAX_GRANT_HUNDREDTHS:
            self.counts.refused += 1
            return
        tokens = grant.hundredths / HUNDREDTHS_PER_TOKEN
        self.counts.accepted += tokens
        self.bucket.deposit(tokens, now_us + GRANT_LIFETIME_US - age_us)

    def _record_sequence(self, grant: TokenGrantItem) -> bool:
        """Return whether a grant is newer than all that came of its grantor."""
        is_new = (grant.incarnation, grant.sequence) > self.last_grant_by_grantor.get(grant.grantor, (0, 0))
        if is_new:
            self.last_grant_by_grantor[grant.grantor] = (grant.incarnation, grant.sequence)
        return is_new
