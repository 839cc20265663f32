"""What the gateways know together, on simulated clocks: presence, evidence, rumours, and all of them in a fleet."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.sharing import BEGIN_US, Fleet
from cloverkeel.balancing.peer_reports import MAX_PROBE_DELAY_US
from cloverkeel.balancing.circuit_breaker import BreakerState, INITIAL_COOLDOWN_US, MIN_OUTCOMES
from cloverkeel.balancing.events import ListedServer, Outcome, PeerHealthReport, RetryTokenGrant
from cloverkeel.gossip.outlier_reports import (
    EVIDENCE_US,
    HOSTS_MOST,
    STREAK,
    TELLERS_MOST,
    Clock,
    Piece,
    Told,
    Watch,
    Weighed,
    apart,
    is_newer,
    stamp_of,
    weigh,
)
from cloverkeel.gossip.node import AGAIN_US, Exchange
from cloverkeel.gossip.messages import (
    EVIDENCE_BYTES,
    LIMIT,
    MASK32,
    ROOM,
    Datagram,
    EvidenceItem,
    GiveItem,
    Head,
    Item,
    Kind,
    Life,
    MemberItem,
    WantItem,
    decode,
    encode,
)
from cloverkeel.gossip.retry_tokens import CAP, LEAST, LIFE_US, UNIT, Rights
from cloverkeel.gossip.failure_detector import HEALTH_MOST, PERIOD_US, REFUTE_US, Presence, Say
from cloverkeel.gossip.dissemination import LEAST_BYTES_S, RUMOURS_MOST, SAVED_BYTES, Bucket, Rumours, hops
from tests.helpers import Driver, sends, trip

NOW_US = 1_000_000_000_000
HOST = (5, 1)

u8, u16, u32 = st.integers(0, 255), st.integers(0, 65_535), st.integers(0, MASK32)
members = st.builds(MemberItem, u16, u32, st.sampled_from(list(Life)).map(int), u16)
pieces = st.builds(EvidenceItem, u16, u32, u32, u32, u32, u8, u8, u8, u8)
gifts = st.builds(GiveItem, u16, u32, u32, u32, u16, u32, u16)
heads = st.builds(Head, st.sampled_from(list(Kind)).map(int), u16, u32, u32, u32, u16)


def piece(
    teller: int, bad: int = 1, good: int = 0, at_us: int = NOW_US, host: tuple[int, int] = HOST, common: int = 0,
    zone: int = 0, incarnation: int = 1,
) -> EvidenceItem:  # fmt: skip
    return EvidenceItem(teller, incarnation, stamp_of(at_us), host[0], host[1], good, bad, common, zone)


# The form


@given(heads, st.lists(st.one_of(members, pieces, gifts, st.builds(WantItem, u16)), max_size=8))
def test_what_is_written_is_read_back_and_fits(head: Head, items: list[Item]) -> None:
    data = encode(head, tuple(items))
    assert len(data) <= LIMIT
    found = decode(data)
    assert found == Datagram(head, tuple(items))


@given(st.binary(max_size=300))
def test_whatever_the_bytes_are_there_is_a_message_or_none(data: bytes) -> None:
    decode(data)


@given(heads, st.lists(pieces, max_size=4), st.data())
def test_what_is_cut_short_or_spoilt_is_none(head: Head, items: list[Item], data: st.DataObject) -> None:
    said = encode(head, tuple(items))
    assert decode(said[: data.draw(st.integers(0, len(said) - 1))]) is None
    at = data.draw(st.integers(0, len(said) - 1))
    spoilt = bytearray(said)
    spoilt[at] ^= data.draw(st.integers(1, 255))
    assert decode(bytes(spoilt)) is None


def test_what_the_next_release_adds_is_passed_over() -> None:
    import struct
    import zlib

    known = encode(Head(Kind.NEWS, 1, 2, 3), (piece(1),))[:-4]
    longer = bytearray(known)
    longer[-EVIDENCE_BYTES + 1] += 2  # the item says that it has two bytes more
    said = bytes(longer) + b"xx" + struct.pack(">BB", 77, 3) + b"new"
    found = decode(said + struct.pack(">I", zlib.crc32(said)))
    assert found is not None and found.items == (piece(1),) and found.unknown == 1


def test_what_does_not_fit_is_an_error() -> None:
    with pytest.raises(ValueError, match="256 at most"):
        encode(Head(Kind.NEWS, 1, 1, 1), tuple(piece(n) for n in range(ROOM // EVIDENCE_BYTES + 1)))
    with pytest.raises(ValueError, match="Head"):
        encode(Head(Kind.NEWS, 70_000, 1, 1))


# Evidence


said = st.tuples(st.integers(1, 3), st.integers(1, 2), st.integers(0, 1500), u8, u8)


@given(st.lists(said, max_size=12), st.randoms())
def test_evidence_is_the_same_in_whatever_order_and_however_often_it_comes(
    made: list[tuple[int, int, int, int, int]], dice: random.Random
) -> None:
    """Of one teller the newest counts: of its newest incarnation, by its stamp."""
    items = [
        piece(teller, bad, good, NOW_US - age_ms * 1000, incarnation=incarnation)
        for teller, incarnation, age_ms, good, bad in made
    ]
    found = []
    for order in range(2):
        told = Told()
        for teller in range(1, 4):  # every clock is known, as its newest incarnation has spoken
            newest = max((i.incarnation for i in items if i.teller == teller), default=1)
            told.clocks.take(NOW_US, teller, newest, stamp_of(NOW_US))
        mixed = items * (1 + order)
        dice.shuffle(mixed)
        for item in mixed:
            told.merge(NOW_US, item)
        found.append({teller: kept.item for teller, kept in told.hosts.get(HOST, {}).items()})
    assert found[0] == found[1]
    for teller, item in found[0].items():
        assert not any(is_newer(other, item) for other in items if other.teller == teller)


@given(st.integers(0, 2**40), st.integers(0, 2**40), st.integers(0, 90_000), st.floats(-1e-3, 1e-3))
def test_age_is_told_by_the_quickest_way_whatever_the_clocks_say(
    ours_us: int, theirs_us: int, late_ms: int, rate: float
) -> None:
    clock = Clock(1, (stamp_of(ours_us) - stamp_of(theirs_us)) & MASK32, since_us=ours_us)
    for second in range(0, 100, 10):  # some were quick
        clock.take(ours_us + second * 1_000_000, stamp_of(theirs_us + int(second * 1e6 * (1 + rate))))
    now_us = ours_us + 100_000_000
    stamp = stamp_of(theirs_us + int((100_000_000 - late_ms * 1000) * (1 + rate)))
    assert abs(clock.age_ms(now_us, stamp) - late_ms) <= 202  # a thousandth of the time since the quickest


def test_stamps_go_round() -> None:
    assert apart(5, MASK32 - 4) == 10 and apart(MASK32 - 4, 5) == -10


def test_what_is_late_by_a_minute_does_not_count() -> None:
    told = Told()
    told.clocks.take(NOW_US, 1, 1, stamp_of(NOW_US))
    assert told.merge(NOW_US + 60_000_000, piece(1, at_us=NOW_US)) is None and told.late == 1


def test_a_restarted_teller_ends_what_it_had_said_and_its_old_pieces_are_no_news() -> None:
    told = Told()
    assert told.merge(NOW_US, piece(1, bad=3)) is not None
    assert told.merge(NOW_US + 1000, piece(1, 0, 2, NOW_US + 1000, incarnation=2)) is not None
    assert told.merge(NOW_US + 2000, piece(1, bad=9, at_us=NOW_US + 2000)) is None
    assert [kept.item.bad for kept in told.of(NOW_US + 2000, HOST)] == [0]


def test_what_is_kept_is_bounded() -> None:
    told, watch = Told(), Watch()
    for host in range(2 * HOSTS_MOST):
        told.merge(NOW_US, piece(1, host=(host, 0)))
        watch.note(NOW_US, (host, 0), False)
    assert len(told.hosts) == HOSTS_MOST and len(watch.hosts) == HOSTS_MOST
    for teller in range(100):
        told.merge(NOW_US, piece(teller, host=(0, 0)))
    assert len(told.hosts[0, 0]) == TELLERS_MOST
    assert told.forget(NOW_US + EVIDENCE_US) and not told.hosts


def test_good_answers_count_from_the_trouble_on_and_three_in_a_row_end_it() -> None:
    watch = Watch()
    for _ in range(9):
        watch.note(NOW_US, HOST, True)
    watch.note(NOW_US, HOST, False)
    assert watch.sums(NOW_US, HOST) == (0, 1)  # what was good before says nothing of now
    watch.note(NOW_US, HOST, True)
    assert watch.sums(NOW_US, HOST) == (1, 1)
    for _ in range(STREAK - 1):
        watch.note(NOW_US, HOST, True)
    assert watch.sums(NOW_US, HOST) == (STREAK, 0) and watch.recovered(HOST)
    assert watch.sums(NOW_US + EVIDENCE_US, HOST) == (0, 0)


def lived(*items: EvidenceItem, at_us: int = NOW_US) -> list[Piece]:
    return [Piece(item, at_us) for item in items]


def test_one_teller_is_no_doubt_and_two_are() -> None:
    assert not weigh(NOW_US, lived(piece(1, bad=200)), 0).doubted
    assert weigh(NOW_US, lived(piece(1), piece(2)), 0).doubted


def test_who_fails_everywhere_counts_for_little() -> None:
    found = weigh(NOW_US, lived(piece(1, bad=9, common=230), piece(2, bad=9, common=230), piece(3)), 0)
    assert found.reporters == 1 and not found.doubted


def test_what_is_well_from_the_own_zone_stays_in_use_there() -> None:
    far = lived(piece(1, bad=5, zone=1), piece(2, bad=5, zone=1))
    near = lived(piece(3, 0, 2, zone=0))
    assert weigh(NOW_US, far, 0).doubted  # nobody here knows better
    assert not weigh(NOW_US, far + near, 0).doubted
    assert not weigh(NOW_US, far, 0, own=(1, 0)).doubted
    assert weigh(NOW_US, far + near, 2).doubted  # a third zone has nobody


def test_older_evidence_counts_for_less_and_ends() -> None:
    old = lived(piece(1, bad=2), piece(2, bad=2), at_us=NOW_US - EVIDENCE_US * 9 // 10)
    assert not weigh(NOW_US, old + lived(piece(3, 0, 2)), 0).doubted
    assert weigh(NOW_US, old, 0).until_us == NOW_US + EVIDENCE_US // 10
    assert weigh(NOW_US + EVIDENCE_US, old, 0) == Weighed(0.0, 0.0, 0, 0, NOW_US + EVIDENCE_US)


# Rumours


def test_restrictions_go_first_and_each_is_said_so_often() -> None:
    rumours = Rumours(40, lambda: 0.5)
    rumours.add(MemberItem(1, 1, Life.ALIVE, 1), 2)
    rumours.add(piece(2, 0, 3), 2)
    rumours.add(MemberItem(3, 1, Life.GONE, 1), 2)
    rumours.add(piece(4), 2)
    first = rumours.choose()
    assert [type(item) for item in first] == [EvidenceItem, MemberItem, EvidenceItem, MemberItem]
    assert first[0] == piece(4) and rumours.urgent
    assert rumours.choose() and not rumours.waiting and rumours.choose() == ()


def test_who_hears_that_others_say_it_too_says_it_less() -> None:
    rumours = Rumours(40, lambda: 0.5)
    rumours.add(piece(1), 2)
    rumours.heard_again(piece(1, bad=9))  # another piece
    rumours.heard_again(piece(1))
    assert len(rumours.waiting) == 1
    rumours.heard_again(piece(1))
    assert not rumours.waiting


def test_rumours_are_bounded_and_the_least_goes() -> None:
    rumours = Rumours(200, lambda: 0.5)
    for number in range(RUMOURS_MOST):
        rumours.add(MemberItem(number, 1, Life.ALIVE, 1), 3)
    rumours.add(piece(1), 3)
    rumours.add(MemberItem(60_000, 1, Life.ALIVE, 1), 3)
    assert len(rumours.waiting) == RUMOURS_MOST and rumours.dropped == 2 and rumours.urgent


def test_who_is_suspected_does_not_use_up_what_hosts_need() -> None:
    rumours = Rumours(200, lambda: 0.5)
    rumours.bucket.left = 100.0
    rumours.add(MemberItem(1, 1, Life.GONE, 1), 3)
    assert not rumours.worth_saying and rumours.choose() == ()
    rumours.add(piece(1), 3)
    assert rumours.worth_saying and rumours.choose() == (piece(1),)


def test_bytes_follow_the_requests_and_are_saved_up_to_a_bound() -> None:
    bucket = Bucket(left=0.0, at_us=NOW_US, since_us=NOW_US)
    bucket.refill(NOW_US + 1_000_000, 100)
    assert bucket.left == pytest.approx(LEAST_BYTES_S) and bucket.rate == pytest.approx(0.1 * 256 * 100)
    bucket.refill(NOW_US + 3_600_000_000, 100)
    assert bucket.left == SAVED_BYTES and bucket.rate == LEAST_BYTES_S
    assert hops(2) < hops(200) < 12


# Who is there


class Town:
    """Presences that speak at once, with what is cut between them."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.dice = random.Random(seed)
        self.all = [Presence(n, count, 1, self.dice.random) for n in range(count)]
        self.cut: set[tuple[int, int]] = set()
        self.dead: set[int] = set()
        self.at_us = NOW_US

    def deliver(self) -> None:
        while any(one.out or one.news for one in self.all):
            for one in self.all:
                if one.number in self.dead:
                    one.out, one.news = [], []
                    continue
                news, one.news = one.news, []
                for item in news:
                    for to in range(len(self.all)):
                        if to != one.number and (one.number, to) not in self.cut and to not in self.dead:
                            self.all[to].learn(self.at_us, item)
                said, one.out = one.out, []
                for say in said:
                    if (one.number, say.to) in self.cut or say.to in self.dead:
                        continue
                    to_one = self.all[say.to]
                    to_one.heard(self.at_us, one.number, one.incarnation)
                    if say.item is not None:
                        to_one.learn(self.at_us, say.item)
                    if say.kind is Kind.PING:
                        to_one.on_ping(one.number, say.sequence)
                    elif say.kind is Kind.PING_FOR:
                        to_one.on_ping_for(self.at_us, one.number, say.sequence, say.other)
                    elif say.kind is Kind.ACK:
                        to_one.on_ack(say.sequence, say.other)
                    elif say.kind is Kind.NACK:
                        to_one.on_nack(say.sequence)

    def run(self, seconds: float) -> None:
        end_us = self.at_us + int(seconds * 1e6)
        while self.at_us < end_us:
            self.at_us += 20_000
            for one in self.all:
                if one.number not in self.dead:
                    one.tick(self.at_us)
            self.deliver()

    def states(self, number: int) -> set[str]:
        """What those that live say of it."""
        return {one.others[number].state for one in self.all if one.number not in self.dead | {number}}


def test_a_gateway_that_dies_is_suspected_first_and_then_gone_for_all() -> None:
    town = Town(8)
    town.run(10)
    assert all(town.states(n) == {"alive"} for n in range(8))
    town.dead.add(3)
    town.run(3)
    assert "gone" not in town.states(3)
    town.run(30)
    assert town.states(3) == {"gone"}


def test_one_that_is_cut_from_some_is_heard_by_way_of_others() -> None:
    """A bridge hears both sides: nobody is gone."""
    town = Town(5)
    town.run(6)
    town.cut = {(a, b) for a in (0, 1) for b in (3, 4)} | {(b, a) for a in (0, 1) for b in (3, 4)}
    town.run(40)
    assert all("gone" not in town.states(n) for n in range(5))


def test_a_restart_with_a_clock_an_hour_back_is_heard_all_the_same() -> None:
    town = Town(4)
    for one in town.all:
        one.incarnation = 50_000
    town.run(5)
    town.all[2] = Presence(2, 4, 50_000 - 8 * 3600, town.dice.random)
    town.run(5)
    assert town.all[2].incarnation > 50_000 and town.states(2) == {"alive"}


def test_who_is_held_for_gone_comes_back_by_going_above_it() -> None:
    town = Town(4)
    town.run(5)
    town.cut = {(n, 1) for n in range(4)} | {(1, n) for n in range(4)}
    town.run(40)
    assert town.states(1) == {"gone"} and town.all[1].health == HEALTH_MOST  # it doubts itself first
    town.cut = set()
    town.run(130)
    assert town.states(1) == {"alive"} and town.all[1].incarnation > 1


def test_two_processes_under_one_name_go_above_one_another_once_a_second_at_the_most() -> None:
    one, twin = Presence(1, 3, 7, lambda: 0.5), Presence(1, 3, 7, lambda: 0.5)
    for second in range(10):
        at_us = NOW_US + second * 100_000
        one.learn(at_us, MemberItem(1, twin.incarnation + 1, Life.ALIVE, 1))
        twin.learn(at_us, MemberItem(1, one.incarnation + 1, Life.ALIVE, 1))
    assert one.refutations <= 1 + 1_000_000 // REFUTE_US and one.incarnation < 20
    one.learn(NOW_US + 10**8, MemberItem(1, MASK32, Life.GONE, 2))  # nothing is above that
    assert one.incarnation < 20


def test_two_that_suspect_one_another_do_not_answer_each_others_answers() -> None:
    """Neither may go above it yet: each datagram would bring another one at once."""
    town = Town(2)
    for one, other in (town.all, town.all[::-1]):
        one.others[other.number].life, one.others[other.number].incarnation = Life.SUSPECT, 1
        one.refuted_us = town.at_us
    town.all[0].out.append(Say(1, Kind.NEWS))
    said = 0
    while any(one.out for one in town.all) and said < 100:
        for one in town.all:
            waiting, one.out = one.out, []
            for say in waiting:
                said += 1
                town.all[say.to].heard(town.at_us, one.number, one.incarnation)
    assert said <= 3


def test_after_a_stall_nobody_is_accused_for_what_went_unanswered() -> None:
    one = Presence(0, 3, 1, lambda: 0.5)
    one.tick(NOW_US)
    assert one.probe is not None
    one.learn(NOW_US, MemberItem(2, 1, Life.SUSPECT, 1))
    one.stood_still(NOW_US + 60_000_000, 60_000_000)
    one.tick(NOW_US + 60_000_000)
    assert one.probe is None or one.probe.over_us > NOW_US + 60_000_000
    assert one.suspicions == 0 and one.others[2].state == "suspect" and one.health == 1


def test_what_is_believed_only_grows() -> None:
    one = Presence(0, 3, 1, lambda: 0.5)
    order = [(1, Life.ALIVE), (1, Life.SUSPECT), (1, Life.GONE), (2, Life.ALIVE), (2, Life.SUSPECT), (3, Life.ALIVE)]
    for last, (incarnation, life) in enumerate(order):
        one.learn(NOW_US, MemberItem(1, incarnation, life, 2))
        for before in order[:last]:
            one.learn(NOW_US, MemberItem(1, before[0], before[1], 2))
        assert (one.others[1].incarnation, one.others[1].life) == (incarnation, life)


# Rights to further attempts


class Wallet:
    """The module's tokens, without the module."""

    def __init__(self, tokens: float = 0.0) -> None:
        self.tokens, self.wanting = tokens, False
        self.came: list[tuple[float, int]] = []

    def take(self, most: float) -> float:
        gone = 0.0 if self.wanting or self.tokens < LEAST else min(most, self.tokens)
        self.tokens -= gone
        return gone

    def put(self, amount: float, until_us: int) -> None:
        self.tokens += amount
        self.came.append((amount, until_us))


@given(st.integers(0, 2**32))
def test_tokens_are_never_more_than_were_earned_whatever_the_datagrams_do(seed: int) -> None:
    """Lost, doubled, reordered, late by up to a minute; processes that are killed and begin with nothing."""
    dice = random.Random(seed)
    count = dice.randint(2, 5)
    now_us, earned, spent, gone = NOW_US, 0.0, 0.0, 0.0
    started = [1 + n for n in range(count)]
    wallets = [Wallet() for _ in range(count)]
    rights = [Rights(n, wallets[n]) for n in range(count)]
    mail: list[tuple[int, int, WantItem | GiveItem, int, int]] = []  # from, to, what, incarnation of who sent, when
    for _ in range(300):
        now_us += dice.choice((0, 1_000, 50_000, 300_000))
        now_us += dice.randrange(60_000_000) if dice.random() < 0.01 else 0
        number, what = dice.randrange(count), dice.random()
        wallet = wallets[number]
        if what < 0.3:
            more = min(0.2, max(0.0, CAP - wallet.tokens))
            wallet.tokens, earned = wallet.tokens + more, earned + more
        elif what < 0.45:
            if wallet.tokens >= LEAST:
                wallet.tokens, spent, wallet.wanting = wallet.tokens - LEAST, spent + LEAST, False
            else:
                wallet.wanting = True
        elif what < 0.6 and wallet.wanting:
            want = rights[number].want(now_us)
            if want is not None:
                mail.append((number, dice.randrange(count), want, started[number], now_us))
        elif what < 0.98 and mail:
            at = dice.randrange(len(mail))
            by, to, item, incarnation, sent_us = mail[at]
            if dice.random() < 0.7:
                del mail[at]
            if dice.random() < 0.1:
                continue
            if isinstance(item, WantItem):
                gift = rights[to].give(item, by, incarnation, started[to], stamp_of(now_us)) if by != to else None
                if gift is not None:
                    mail.append((to, by, gift, started[to], now_us))
            else:
                rights[to].take(now_us, item, started[to], now_us - sent_us)
        elif what > 0.99:
            gone += wallet.tokens
            started[number] += count  # another process, which knows nothing of what came to the one before
            wallets[number] = Wallet()
            rights[number] = Rights(number, wallets[number])
        total = sum(one.tokens for one in wallets)
        assert total + spent + gone <= earned + 1e-6, (total, spent, gone, earned)


def gift(sequence: int = 1, incarnation: int = 1, to: int = 0, to_incarnation: int = 5) -> GiveItem:
    return GiveItem(1, incarnation, sequence, stamp_of(NOW_US), to, to_incarnation, 100)


def test_a_gift_is_taken_once_in_time_and_by_whom_it_was_meant_for() -> None:
    wallet = Wallet()
    one = Rights(0, wallet)
    one.take(NOW_US, gift(2), 5, 1_000)
    assert wallet.came == [(1.0, NOW_US + LIFE_US - 1_000)]
    one.take(NOW_US, gift(2), 5, 1_000)  # twice
    one.take(NOW_US, gift(1), 5, 1_000)  # overtaken
    one.take(NOW_US, gift(9, incarnation=0), 5, 1_000)  # of a giver before the last
    one.take(NOW_US, gift(3), 5, LIFE_US)  # late
    one.take(NOW_US, gift(4), 5, None)  # of an age that can't be told
    one.take(NOW_US, gift(5), 6, 1_000)  # for the process before
    one.take(NOW_US, gift(6, to=3), 5, 1_000)  # for another
    one.take(NOW_US, replace(gift(6), sequence=8, amount=60_000), 5, 1_000)  # more than anybody may have
    assert len(wallet.came) == 1 and one.counts.refused == 8
    one.take(NOW_US, gift(9), 5, 1_000)
    assert wallet.tokens == 2.0


def test_nobody_gives_what_it_wants_itself_nor_what_is_not_worth_a_datagram() -> None:
    wallet = Wallet(CAP)
    one = Rights(1, wallet)
    wallet.wanting = True
    assert one.give(WantItem(UNIT), 0, 5, 1, 0) is None
    wallet.wanting = False
    assert one.give(WantItem(10), 0, 5, 1, 0) is None and wallet.tokens == CAP
    made = one.give(WantItem(60_000), 0, 5, 1, 0)
    assert made is not None and made.amount == int(CAP * UNIT) and wallet.tokens == 0.0
    assert one.give(WantItem(UNIT), 0, 5, 1, 0) is None
    assert one.want(NOW_US) is not None and one.want(NOW_US) is None  # not again at once


def test_what_came_from_others_and_was_not_used_is_gone() -> None:
    driver = Driver()
    module = driver.balancer
    driver.handle(RetryTokenGrant(CAP, -module.retry_token_state(driver.now_us)[0]))
    assert module.retry_token_state(driver.now_us) == (0.0, False)  # a process that begins has none
    until_us = driver.now_us + LIFE_US
    driver.handle(RetryTokenGrant(CAP, 1.0, until_us))
    driver.handle(RetryTokenGrant(CAP, 1.0, until_us))
    driver.arrive()
    assert module.retry_token_state(until_us - 1)[0] == 2.0  # earning adds nothing above the cap
    assert module.retry_token_state(until_us)[0] == CAP


def test_a_further_attempt_that_had_no_token_is_a_need() -> None:
    driver = Driver()
    driver.handle(RetryTokenGrant(CAP, -10.0))
    for _ in range(2):
        name, actions = driver.arrive()
        actions = driver.end(name, sends(actions)[0].server, Outcome.ERROR)
        assert not sends(actions)
    assert driver.balancer.retry_token_state(driver.now_us)[1]
    driver.handle(RetryTokenGrant(CAP, 1.0, driver.now_us + LIFE_US))
    name, actions = driver.arrive()
    actions = driver.end(name, sends(actions)[0].server, Outcome.ERROR)
    assert len(sends(actions)) == 1


# A fleet


def fleet(count: int, **named: Any) -> Fleet:
    return Fleet(count, 1, **named)


def test_all_hear_of_a_host_that_fails_within_a_second_and_it_ends_after() -> None:
    town = fleet(40)
    town.run(BEGIN_US + 1_000_000)
    town.failing[0] = 0.9
    town.run(town.at_us + 1_000_000)
    assert town.doubting(0) >= 38
    town.failing.clear()
    town.run(town.at_us + EVIDENCE_US + 500_000)
    assert town.doubting(0) == 0


def test_a_gateway_for_which_every_host_fails_doubts_itself_and_nobody_believes_it() -> None:
    town = fleet(12)
    town.run(BEGIN_US + 500_000)
    for _ in range(200):
        town.run(town.at_us + 10_000)
        for host in range(town.hosts):
            town.outcome(5, host, False)
    heard = {key for key, (_, known) in town.heard.items() if known.doubted}
    assert not heard and town.exchanges[5].counts.ill > 100


@pytest.mark.parametrize("trouble", ["lossy", "late", "restarts", "stalls"])
def test_a_well_host_is_not_doubted_for_long_whatever_the_network_does(trouble: str) -> None:
    """It failed, and is well again: no datagram of then may turn it off for longer than evidence counts."""
    town = fleet(12, loss=0.3, doubled=0.3, late=0.3) if trouble == "late" else fleet(12, loss=0.3, doubled=0.3)
    town.run(BEGIN_US + 3_000_000)  # clocks are known
    town.failing[0] = 0.9
    town.run(town.at_us + 2_000_000)
    if trouble == "stalls":
        town.stopped = set(range(1, 12))
        town.run(town.at_us + 5_000_000)
        town.failing.clear()
        town.run(town.at_us + 100_000)
        town.stopped = set()
        town.run(town.at_us + 100_000)  # sockets are read: nothing in them is younger than it is
        assert town.doubting(0) <= 1
    else:
        town.failing.clear()
        if trouble == "restarts":
            for number in range(11):
                town.restart(number)
        town.run(town.at_us + EVIDENCE_US + 500_000)
        for _ in range(30):
            town.run(town.at_us + 1_000_000)
            assert town.doubting(0) == 0


def test_a_gateway_that_is_cut_off_forgets_what_it_heard() -> None:
    town = fleet(8)
    town.run(BEGIN_US + 1_000_000)
    town.failing[0] = 0.9
    town.run(town.at_us + 1_000_000)
    town.cut = {(n, 7) for n in range(8)} | {(7, n) for n in range(8)}
    town.run(town.at_us + EVIDENCE_US + 300_000, load=False)
    assert not town.doubts(7, 0)


def test_who_begins_hears_from_peers_what_matters() -> None:
    town = fleet(12)
    town.run(BEGIN_US + 1_000_000)
    town.failing[0] = 0.9
    town.run(town.at_us + 1_500_000)
    town.restart(3)
    town.run(town.at_us + 500_000)
    assert town.doubts(3, 0) and town.exchanges[3].watch.sums(town.clock(3), (0, 1)) <= (1, 1)


def test_nothing_is_said_beyond_what_the_bucket_pays_for() -> None:
    town = fleet(40, rate=30.0)
    town.failing = dict.fromkeys(range(town.hosts), 0.45)
    seconds = 12
    town.run(BEGIN_US + seconds * 1_000_000)
    rate = max(LEAST_BYTES_S, 0.1 * 256 * 30 * 1.5)
    for one in town.exchanges:
        assert one.counts.sent_bytes <= SAVED_BYTES + seconds * rate + LIMIT
        assert len(one.rumours.waiting) <= RUMOURS_MOST


def test_a_time_out_at_a_host_that_has_answered_since_is_no_failure() -> None:
    """It is a crowd's: in a jam each host would be in doubt for all."""
    one = Exchange(0, 9, 0, 1, lambda: 0.5, lambda host, started, known: None)
    one.note(NOW_US, HOST, True)
    one.note(NOW_US + 1_000, HOST, False, NOW_US - 500_000)
    assert one.watch.sums(NOW_US + 1_000, HOST) == (1, 0) and not one.rumours.waiting
    one.note(NOW_US + 2_000, HOST, False, NOW_US + 500)  # it was silent to this one
    assert one.watch.sums(NOW_US + 2_000, HOST) == (0, 1) and one.rumours.waiting


def test_two_processes_of_one_host_are_two_hosts() -> None:
    heard: list[tuple[int, int]] = []
    one = Exchange(0, 4, 0, 1, lambda: 0.5, lambda host, started, known: heard.append((host, started)))
    for teller in (1, 2):
        one.on_evidence(NOW_US, piece(teller, host=(5, 1)))
    assert heard == [(5, 1)] and not one.told.of(NOW_US, (5, 2))


def test_the_module_hears_again_only_of_what_has_changed() -> None:
    heard: list[Weighed] = []
    one = Exchange(0, 9, 0, 1, lambda: 0.5, lambda host, started, known: heard.append(known))
    for teller in (1, 2):
        one.on_evidence(NOW_US, piece(teller))
        one.on_evidence(NOW_US, piece(teller))
    assert len(heard) == 1 and heard[0].doubted
    one.slot_us = 0
    one.tick(NOW_US + EVIDENCE_US)
    assert heard[-1].reporters == 0 and len(heard) == 2 and not one.passed
    assert AGAIN_US < EVIDENCE_US < PERIOD_US * 3


# The module's part


def heard(driver: Driver, server: int, good: float, bad: float, reporters: int = 2, well: int = 0) -> None:
    driver.handle(PeerHealthReport(server, 0, good, bad, reporters, well, driver.now_us + EVIDENCE_US))


def shares(driver: Driver, requests: int = 300) -> list[float]:
    """Of requests that are answered at once, by server."""
    counts = [0] * len(driver.balancer.endpoints.by_server)
    for _ in range(requests):
        name, actions = driver.arrive()
        (sent,) = sends(actions)
        counts[sent.server] += 1
        driver.end(name, sent.server)
    return [count / requests for count in counts]


def test_a_server_that_fails_for_others_is_drawn_seldom_and_in_time_as_ever() -> None:
    driver = Driver(servers=6)
    before = shares(driver)
    worst = max(range(6), key=lambda n: before[n])
    heard(driver, worst, 0.0, 3.0)
    assert shares(driver)[worst] < before[worst] / 4
    assert driver.balancer.endpoints.by_server[worst].breaker.state is BreakerState.CLOSED  # hearsay is no verdict
    driver.now_us += EVIDENCE_US
    assert shares(driver)[worst] > before[worst] / 2


def test_one_teller_and_good_outcomes_are_no_doubt_and_another_process_is_not_meant() -> None:
    driver = Driver(servers=4)
    server = driver.balancer.endpoints.by_server[0]
    heard(driver, 0, 0.0, 30.0, reporters=1)
    assert server.suspected_until_us == 0
    heard(driver, 0, 5.0, 3.0)
    assert server.suspected_until_us == 0
    driver.handle(PeerHealthReport(0, 77, 0.0, 9.0, 3, 0, driver.now_us + EVIDENCE_US))
    assert server.suspected_until_us == 0
    heard(driver, 0, 0.0, 3.0)
    heard(driver, 0, 3.0, 1.0)
    assert server.suspected_until_us == 0  # it is answered well by now


def test_one_failure_here_opens_what_is_in_doubt_and_five_what_is_not() -> None:
    for doubted in (False, True):
        driver = Driver(servers=1)
        if doubted:
            heard(driver, 0, 0.0, 3.0)
        name, actions = driver.arrive()
        driver.end(name, sends(actions)[0].server, Outcome.ERROR)
        assert (driver.balancer.endpoints.by_server[0].breaker.state is BreakerState.OPEN) is doubted
    assert MIN_OUTCOMES > 1


def test_where_most_fails_here_too_others_say_nothing_new() -> None:
    """A jam: each server fails for everybody, and none of them is to blame."""
    driver = Driver(servers=5)
    for _ in range(60):
        name, actions = driver.arrive(class_index=2)
        sent = sends(actions)
        if not sent:
            break
        driver.end(name, sent[0].server, Outcome.TIMEOUT, latency_us=300_000)
        driver.now_us += 10_000
    heard(driver, 0, 1.0, 3.0)
    assert driver.balancer.endpoints.by_server[0].suspected_until_us == 0


def out(driver: Driver) -> Any:
    breaker = driver.balancer.endpoints.by_server[0].breaker
    trip(breaker, driver.now_us)
    return breaker


def test_trials_wait_for_others_and_not_for_long() -> None:
    driver = Driver(servers=4)
    breaker = out(driver)
    driver.now_us = breaker.open_until_us
    heard(driver, 0, 0.0, 3.0)
    assert not driver.balancer.subset.is_eligible(driver.balancer.now_us, driver.balancer.endpoints.by_server[0], 0)
    driver.now_us = breaker.open_until_us + min(INITIAL_COOLDOWN_US, MAX_PROBE_DELAY_US)
    heard(driver, 0, 0.0, 3.0)  # again and again: it is not held for longer
    assert driver.balancer.subset.is_eligible(driver.balancer.now_us, driver.balancer.endpoints.by_server[0], 0)


def test_nobody_waits_for_others_trials_where_next_to_nothing_is_left() -> None:
    driver = Driver(servers=3)
    breaker = out(driver)
    trip(driver.balancer.endpoints.by_server[1].breaker, driver.now_us)
    driver.now_us = breaker.open_until_us
    heard(driver, 0, 0.0, 3.0)
    assert driver.balancer.subset.is_eligible(driver.balancer.now_us, driver.balancer.endpoints.by_server[0], 0)


def test_word_of_two_that_it_is_well_brings_a_trial_and_no_verdict() -> None:
    driver = Driver(servers=4)
    breaker = out(driver)
    heard(driver, 0, 3.0, 0.0, reporters=0, well=1)
    assert not driver.balancer.subset.is_eligible(driver.balancer.now_us, driver.balancer.endpoints.by_server[0], 0)
    heard(driver, 0, 3.0, 0.0, reporters=0, well=2)
    assert (
        driver.balancer.subset.is_eligible(driver.balancer.now_us, driver.balancer.endpoints.by_server[0], 0)
        and breaker.state is BreakerState.HALF_OPEN
    )


def test_what_the_room_asks_of_the_module() -> None:
    driver = Driver(servers=0)
    driver.list_servers(ListedServer(3, started_us=9))
    assert driver.balancer.started_at_us(3) == 9 and driver.balancer.started_at_us(4) == -1
    driver.arrive()
    assert driver.balancer.silent_servers(driver.now_us) == []
    assert driver.balancer.silent_servers(driver.now_us + 10_000_000) == [3]


def told_by(items: Sequence[EvidenceItem]) -> set[int]:
    return {item.teller for item in items}


def test_a_chance_failure_goes_no_further_and_two_that_meet_go_to_all() -> None:
    one = Exchange(0, 40, 0, 1, random.Random(1).random, lambda host, started, known: None)
    one.on_evidence(NOW_US, piece(1))
    assert not one.rumours.waiting
    one.on_evidence(NOW_US + 1000, piece(2, at_us=NOW_US + 1000))
    waiting = [r.item for r in one.rumours.waiting.values() if isinstance(r.item, EvidenceItem)]
    assert told_by(waiting) == {1, 2}
