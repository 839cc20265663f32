"""Transfer of retry tokens by escrow: gateways never have more than were earned, despite datagram faults."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.gossip.messages import GatewayProcess, TokenGrantItem, TokenRequestItem
from cloverkeel.gossip.peer_clock import timestamp_ms_of
from cloverkeel.gossip.retry_tokens import (
    GRANT_LIFETIME_US,
    HUNDREDTHS_PER_TOKEN,
    MAX_SAVED_TOKENS,
    MIN_TRANSFER_TOKENS,
    RetryTokens,
)
from tests.gossip.helpers import NOW_US

PROCESS = GatewayProcess(0, 5)


class StubTokenBucket:
    """Stand-in for the balancer's retry tokens."""

    def __init__(self, tokens: float = 0.0) -> None:
        self.tokens, self.is_short = tokens, False
        self.deposits: list[tuple[float, int]] = []

    def withdraw(self, max_tokens: float) -> float:
        is_refused = self.is_short or self.tokens < MIN_TRANSFER_TOKENS
        withdrawn = 0.0 if is_refused else min(max_tokens, self.tokens)
        self.tokens -= withdrawn
        return withdrawn

    def deposit(self, tokens: float, expires_us: int) -> None:
        self.tokens += tokens
        self.deposits.append((tokens, expires_us))


@dataclass
class Message:
    """A message in transit."""

    sender: GatewayProcess
    recipient: int
    item: TokenRequestItem | TokenGrantItem
    sent_us: int


@given(st.integers(0, 2**32))
def test_tokens_never_exceed_those_earned_despite_datagram_faults(seed: int) -> None:
    """Datagrams are lost, repeated, reordered and up to a minute late; processes are killed and restart empty."""
    rng = random.Random(seed)
    count = rng.randint(2, 5)
    now_us, earned, spent, lost = NOW_US, 0.0, 0.0, 0.0
    incarnations = [1 + gateway for gateway in range(count)]
    buckets = [StubTokenBucket() for _ in range(count)]
    retry_tokens = [RetryTokens(gateway, buckets[gateway]) for gateway in range(count)]
    messages: list[Message] = []
    for _ in range(300):
        now_us += rng.choice((0, 1_000, 50_000, 300_000))
        now_us += rng.randrange(60_000_000) if rng.random() < 0.01 else 0
        gateway, event = rng.randrange(count), rng.random()
        bucket = buckets[gateway]
        if event < 0.3:
            deposit = min(0.2, max(0.0, MAX_SAVED_TOKENS - bucket.tokens))
            bucket.tokens, earned = bucket.tokens + deposit, earned + deposit
        elif event < 0.45:
            bucket.is_short = bucket.tokens < MIN_TRANSFER_TOKENS
            if not bucket.is_short:
                bucket.tokens, spent = bucket.tokens - MIN_TRANSFER_TOKENS, spent + MIN_TRANSFER_TOKENS
        elif event < 0.6 and bucket.is_short:
            request = retry_tokens[gateway].request(now_us)
            if request is not None:
                sender = GatewayProcess(gateway, incarnations[gateway])
                messages.append(Message(sender, rng.randrange(count), request, now_us))
        elif event < 0.98 and messages:
            index = rng.randrange(len(messages))
            message = messages[index]
            to = message.recipient
            if rng.random() < 0.7:
                del messages[index]
            if rng.random() < 0.1:
                continue
            if isinstance(message.item, TokenGrantItem):
                retry_tokens[to].accept(now_us, message.item, incarnations[to], now_us - message.sent_us)
            elif message.sender.gateway != to:
                grant = retry_tokens[to].grant(
                    message.item, message.sender, incarnations[to], timestamp_ms_of(now_us)
                )
                if grant is not None:
                    messages.append(
                        Message(GatewayProcess(to, incarnations[to]), message.sender.gateway, grant, now_us)
                    )
        elif event > 0.99:
            lost += bucket.tokens
            incarnations[gateway] += count  # a new process does not know the grants that the previous one received
            buckets[gateway] = StubTokenBucket()
            retry_tokens[gateway] = RetryTokens(gateway, buckets[gateway])
        total = sum(bucket.tokens for bucket in buckets)
        assert total + spent + lost <= earned + 1e-6, (total, spent, lost, earned)


def grant_item(
    sequence: int = 1, incarnation: int = 1, recipient: int = 0, recipient_incarnation: int = 5
) -> TokenGrantItem:
    timestamp_ms = timestamp_ms_of(NOW_US)
    return TokenGrantItem(1, incarnation, sequence, timestamp_ms, recipient, recipient_incarnation, 100)


def test_grant_is_accepted_once_in_time_and_by_the_named_process() -> None:
    bucket = StubTokenBucket()
    retry_tokens = RetryTokens(0, bucket)
    retry_tokens.accept(NOW_US, grant_item(2), 5, 1_000)
    assert bucket.deposits == [(1.0, NOW_US + GRANT_LIFETIME_US - 1_000)]
    retry_tokens.accept(NOW_US, grant_item(2), 5, 1_000)  # repeated
    retry_tokens.accept(NOW_US, grant_item(1), 5, 1_000)  # received after a later grant
    retry_tokens.accept(NOW_US, grant_item(9, incarnation=0), 5, 1_000)  # from an earlier process of the grantor
    retry_tokens.accept(NOW_US, grant_item(3), 5, GRANT_LIFETIME_US)  # late
    retry_tokens.accept(NOW_US, grant_item(4), 5, None)  # unknown age
    retry_tokens.accept(NOW_US, grant_item(5), 6, 1_000)  # for the previous process of this gateway
    retry_tokens.accept(NOW_US, grant_item(6, recipient=3), 5, 1_000)  # for another gateway
    too_much = replace(grant_item(6), sequence=8, hundredths=60_000)  # above MAX_SAVED_TOKENS
    retry_tokens.accept(NOW_US, too_much, 5, 1_000)
    assert len(bucket.deposits) == 1
    assert retry_tokens.counts.refused == 8
    retry_tokens.accept(NOW_US, grant_item(9), 5, 1_000)
    assert bucket.tokens == 2.0


def test_no_grant_while_short_of_tokens_or_below_the_minimum() -> None:
    bucket = StubTokenBucket(MAX_SAVED_TOKENS)
    retry_tokens = RetryTokens(1, bucket)
    bucket.is_short = True
    assert retry_tokens.grant(TokenRequestItem(HUNDREDTHS_PER_TOKEN), PROCESS, 1, 0) is None
    bucket.is_short = False
    assert retry_tokens.grant(TokenRequestItem(10), PROCESS, 1, 0) is None
    assert bucket.tokens == MAX_SAVED_TOKENS
    grant = retry_tokens.grant(TokenRequestItem(60_000), PROCESS, 1, 0)
    assert grant is not None
    assert grant.hundredths == int(MAX_SAVED_TOKENS * HUNDREDTHS_PER_TOKEN)
    assert bucket.tokens == 0.0
    assert retry_tokens.grant(TokenRequestItem(HUNDREDTHS_PER_TOKEN), PROCESS, 1, 0) is None
    assert retry_tokens.request(NOW_US) is not None
    assert retry_tokens.request(NOW_US) is None  # within TOKEN_REQUEST_INTERVAL_US of the last request
