"""Transfer of retry tokens from gateways with spare tokens to gateways short of them. Pure: time is passed in.

These are the tokens of the balancer's retry budget: each first attempt earns a fraction of a token, and a gateway
saves at most MAX_SAVED_TOKENS. They are transferred by escrow (O'Neil 1986): the grantor removes them before it sends
the grant, and the recipient must use them within GRANT_LIFETIME_US.

Invariants (docs/peers-design.md):
- a grant is accepted once, by the process that requested it; the grantor's incarnation and an increasing sequence
  number identify repeated grants;
- tokens in a grant that is lost, late or sent to a process that has exited are lost and never restored;
- no grant exceeds MAX_SAVED_TOKENS;
- a gateway grants no tokens while it is short of them, and never more than it has.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, Protocol

from cloverkeel.gossip.messages import GatewayProcess, TokenGrantItem, TokenRequestItem

MAX_SAVED_TOKENS: Final = 1.0
MIN_TRANSFER_TOKENS: Final = 0.5  # cost of a retry after an error; fewer tokens are not worth a datagram
TOKEN_REQUEST_INTERVAL_US: Final = 200_000
TOKEN_REQUEST_FANOUT: Final = 2  # gateways that each request is sent to
GRANT_LIFETIME_US: Final = 1_000_000
HUNDREDTHS_PER_TOKEN: Final = 100  # datagrams carry hundredths of a token
MAX_GRANT_HUNDREDTHS: Final = int(MAX_SAVED_TOKENS * HUNDREDTHS_PER_TOKEN)


class RetryTokenBucket(Protocol):
    """The balancer's retry tokens."""

    def withdraw(self, max_tokens: float) -> float:
        """Remove at most `max_tokens`; return the number removed, 0 if this gateway is short of tokens."""

    def deposit(self, tokens: float, expires_us: int) -> None:
        """Add tokens that expire at `expires_us`."""


@dataclass(slots=True)
class RetryTokenCounts:
    """Counters of transfers since the start."""

    requests: int = 0  # rounds of requests
    granted: float = 0.0  # tokens
    accepted: float = 0.0  # tokens
    refused: int = 0  # grants that were repeated, late, too large or for another process


class RetryTokens:
    """One gateway's transfers of retry tokens."""

    def __init__(self, gateway: int, bucket: RetryTokenBucket) -> None:
        self.gateway, self.bucket = gateway, bucket
        self.sequence = 0  # number of the last grant by this gateway
        self.requested_us = -TOKEN_REQUEST_INTERVAL_US
        self.last_grant_by_grantor: dict[int, tuple[int, int]] = {}  # incarnation and sequence
        self.counts = RetryTokenCounts()

    def request(self, now_us: int) -> TokenRequestItem | None:
        """Return a request to send to peers; None within TOKEN_REQUEST_INTERVAL_US of the last one."""
        if now_us - self.requested_us < TOKEN_REQUEST_INTERVAL_US:
            return None
        self.requested_us = now_us
        self.counts.requests += 1
        return TokenRequestItem(MAX_GRANT_HUNDREDTHS)

    def grant(
        self, request: TokenRequestItem, recipient: GatewayProcess, own_incarnation: int, timestamp_ms: int
    ) -> TokenGrantItem | None:
        """Withdraw tokens and return a grant of them to the requesting process; None if there are too few."""
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
        """Deposit the tokens of a grant, or refuse it; `age_us`: None if its age is unknown."""
        is_new = self._record_sequence(grant)
        is_recipient = grant.recipient == self.gateway and grant.recipient_incarnation == own_incarnation
        if age_us is None or age_us >= GRANT_LIFETIME_US:
            self.counts.refused += 1
            return
        if not is_new or not is_recipient or grant.hundredths > MAX_GRANT_HUNDREDTHS:
            self.counts.refused += 1
            return
        tokens = grant.hundredths / HUNDREDTHS_PER_TOKEN
        self.counts.accepted += tokens
        self.bucket.deposit(tokens, now_us + GRANT_LIFETIME_US - age_us)

    def _record_sequence(self, grant: TokenGrantItem) -> bool:
        """Record the sequence number of a grant; return whether it is newer than all others of its grantor."""
        is_new = (grant.incarnation, grant.sequence) > self.last_grant_by_grantor.get(grant.grantor, (0, 0))
        if is_new:
            self.last_grant_by_grantor[grant.grantor] = (grant.incarnation, grant.sequence)
        return is_new
