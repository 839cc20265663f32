"""Transfer of retry tokens by escrow: they are never more than were earned, whatever the datagrams do."""

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


class Wallet:
    """The balancer's tokens, without the balancer."""

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
class Mail:
    """An item under way."""

    sender: GatewayProcess
    recipient: int
    item: TokenRequestItem | TokenGrantItem
    sent_us: int


@given(st.integers(0, 2**32))
def test_tokens_are_never_more_than_were_earned_whatever_the_datagrams_do(seed: int) -> None:
    """Lost, doubled, reordered, late by up to a minute; processes that are killed and begin with nothing."""
    rng = random.Random(seed)
    count = rng.randint(2, 5)
    now_us, earned, spent, lost = NOW_US, 0.0, 0.0, 0.0
    incarnations = [1 + gateway for gateway in range(count)]
    wallets = [Wallet() for _ in range(count)]
    retry_tokens = [RetryTokens(gateway, wallets[gateway]) for gateway in range(count)]
    mails: list[Mail] = []
    for _ in range(300):
        now_us += rng.choice((0, 1_000, 50_000, 300_000))
        now_us += rng.randrange(60_000_000) if rng.random() < 0.01 else 0
        gateway, event = rng.randrange(count), rng.random()
        wallet = wallets[gateway]
        if event < 0.3:
            more = min(0.2, max(0.0, MAX_SAVED_TOKENS - wallet.tokens))
            wallet.tokens, earned = wallet.tokens + more, earned + more
        elif event < 0.45:
            wallet.is_short = wallet.tokens < MIN_TRANSFER_TOKENS
            if not wallet.is_short:
                wallet.tokens, spent = wallet.tokens - MIN_TRANSFER_TOKENS, spent + MIN_TRANSFER_TOKENS
        elif event < 0.6 and wallet.is_short:
            request = retry_tokens[gateway].request(now_us)
            if request is not None:
                sender = GatewayProcess(gateway, incarnations[gateway])
                mails.append(Mail(sender, rng.randrange(count), request, now_us))
        elif event < 0.98 and mails:
            place = rng.randrange(len(mails))
            mail = mails[place]
            to = mail.recipient
            if rng.random() < 0.7:
                del mails[place]
            if rng.random() < 0.1:
                continue
            if isinstance(mail.item, TokenGrantItem):
                retry_tokens[to].accept(now_us, mail.item, incarnations[to], now_us - mail.sent_us)
            elif mail.sender.gateway != to:
                grant = retry_tokens[to].grant(mail.item, mail.sender, incarnations[to], timestamp_ms_of(now_us))
                if grant is not None:
                    mails.append(Mail(GatewayProcess(to, incarnations[to]), mail.sender.gateway, grant, now_us))
        elif event > 0.99:
            lost += wallet.tokens
            incarnations[gateway] += count  # another process, which knows nothing of what came to the one before
            wallets[gateway] = Wallet()
            retry_tokens[gateway] = RetryTokens(gateway, wallets[gateway])
        total = sum(one.tokens for one in wallets)
        assert total + spent + lost <= earned + 1e-6, (total, spent, lost, earned)


def grant_item(
    sequence: int = 1, incarnation: int = 1, recipient: int = 0, recipient_incarnation: int = 5
) -> TokenGrantItem:
    timestamp_ms = timestamp_ms_of(NOW_US)
    return TokenGrantItem(1, incarnation, sequence, timestamp_ms, recipient, recipient_incarnation, 100)


def test_a_grant_is_accepted_once_in_time_and_by_the_process_it_names() -> None:
    wallet = Wallet()
    retry_tokens = RetryTokens(0, wallet)
    retry_tokens.accept(NOW_US, grant_item(2), 5, 1_000)
    assert wallet.deposits == [(1.0, NOW_US + GRANT_LIFETIME_US - 1_000)]
    retry_tokens.accept(NOW_US, grant_item(2), 5, 1_000)  # twice
    retry_tokens.accept(NOW_US, grant_item(1), 5, 1_000)  # overtaken
    retry_tokens.accept(NOW_US, grant_item(9, incarnation=0), 5, 1_000)  # of a process before the last
    retry_tokens.accept(NOW_US, grant_item(3), 5, GRANT_LIFETIME_US)  # late
    retry_tokens.accept(NOW_US, grant_item(4), 5, None)  # of unknown age
    retry_tokens.accept(NOW_US, grant_item(5), 6, 1_000)  # for the process before
    retry_tokens.accept(NOW_US, grant_item(6, recipient=3), 5, 1_000)  # for another gateway
    too_much = replace(grant_item(6), sequence=8, hundredths=60_000)  # more than anybody may have
    retry_tokens.accept(NOW_US, too_much, 5, 1_000)
    assert len(wallet.deposits) == 1
    assert retry_tokens.counts.refused == 8
    retry_tokens.accept(NOW_US, grant_item(9), 5, 1_000)
    assert wallet.tokens == 2.0


def test_nobody_grants_what_it_wants_itself_nor_what_is_not_worth_a_datagram() -> None:
    wallet = Wallet(MAX_SAVED_TOKENS)
    retry_tokens = RetryTokens(1, wallet)
    wallet.is_short = True
    assert retry_tokens.grant(TokenRequestItem(HUNDREDTHS_PER_TOKEN), PROCESS, 1, 0) is None
    wallet.is_short = False
    assert retry_tokens.grant(TokenRequestItem(10), PROCESS, 1, 0) is None
    assert wallet.tokens == MAX_SAVED_TOKENS
    grant = retry_tokens.grant(TokenRequestItem(60_000), PROCESS, 1, 0)
    assert grant is not None
    assert grant.hundredths == int(MAX_SAVED_TOKENS * HUNDREDTHS_PER_TOKEN)
    assert wallet.tokens == 0.0
    assert retry_tokens.grant(TokenRequestItem(HUNDREDTHS_PER_TOKEN), PROCESS, 1, 0) is None
    assert retry_tokens.request(NOW_US) is not None
    assert retry_tokens.request(NOW_US) is None  # not again at once
