"""All that one gateway shares: datagrams, outcomes and time in; datagrams and word for the module out. Pure.

Invariants:
- nothing is said of a host while most fails here: then it is this gateway that is ill;
- a piece of evidence is passed on where a second teller is known, and never more than MAX_FAILURE_REPORTERS of
  them for one host;
- the module hears of a host again only when what is known of it has changed, or ends;
- a datagram is sent only if the bucket pays for it, but for answers to probes and gifts.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from cloverkeel.gossip.outlier_reports import (
    MIN_REPORTERS,
    OBSERVATION_LIFETIME_US,
    MAX_HOSTS,
    WINDOW_SLOT_US,
    Host,
    Observation,
    PeerObservations,
    LocalOutcomes,
    Assessment,
    timestamp_ms_of,
    assess,
)
from cloverkeel.gossip.messages import (
    MAX_COUNT,
    HEADER_STRUCT,
    CHECKSUM_STRUCT,
    Datagram,
    ObservationItem,
    TokenGrantItem,
    Header,
    Item,
    MessageKind,
    MemberStatus,
    MemberItem,
    TokenRequestItem,
    encode,
)
from cloverkeel.gossip.failure_detector import FailureDetector
from cloverkeel.gossip.retry_tokens import TOKEN_REQUEST_FANOUT, RetryTokenBucket, RetryTokens
from cloverkeel.gossip.dissemination import BroadcastQueue, max_transmissions, unconfirmed_fanout

REPORT_INTERVAL_US: Final = 800_000  # between two times that this gateway says of one host what it saw
CONFIRMATION_WINDOW_US: Final = 600_000  # two reporters that saw it fail within this confirm one another
MAX_FAILURE_REPORTERS: Final = (
    3  # reporters of failures of one host that are passed on, and are enough to say no more
)
MAX_SUCCESS_REPORTERS: Final = 4  # and of those that contradict
MAX_COMMON_FAILURE_RATIO: Final = 0.5  # share of what fails here, elsewhere, at which nothing is said
MIN_ACCUSERS: Final = 2  # of a gateway, before all hear that it is suspected
BROADCAST_INTERVAL_US: Final = 100_000  # between datagrams of news that is not urgent
URGENT_BROADCAST_INTERVAL_US: Final = 10_000  # and of news that is: some of it comes together
SUSPICION_MEMORY_US: Final = 10_000_000  # after a doubt, good answers of that host are worth telling
MAX_STATE_RESPONSE_DATAGRAMS: Final = 8  # datagrams that answer who begins
STATE_REQUEST_FANOUT: Final = 3  # whom who begins asks
STATE_REQUEST_JITTER_US: Final = 300_000  # at a random moment within this
MAX_STATE_RESPONSES_PER_S: Final = 20.0  # such answers a second, at the most

Hear = Callable[[int, int, Assessment], None]  # host, start (ms, 32 bits), and what is known


@dataclass(slots=True)
class GossipCounts:
    sent: int = 0
    sent_bytes: int = 0
    came: int = 0
    confirmed: int = 0  # hosts that a second teller made worth passing on
    first: int = 0  # failures that were told to a few
    contradicted: int = 0
    ill: int = 0  # failures that were not told, as most fails here
    poor: int = 0  # datagrams that the bucket did not pay for
    unknown: int = 0  # items of a later version
    heard: int = 0  # words to the module


class GossipNode:
    def __init__(
        self, number: int, count: int, zone: int, incarnation: int, draw: Callable[[], float], hear: Hear,
        purse: RetryTokenBucket | None = None,
    ) -> None:  # fmt: skip
        """`draw` gives a number from 0 to 1; `hear` takes what is known of a host when it has changed; `purse`: the
        module's tokens for further attempts, where they may move."""
        self.number, self.count, self.zone = number, count, zone
        self.draw, self.hear = draw, hear
        self.presence = FailureDetector(number, count, incarnation, draw)
        self.watch, self.told = LocalOutcomes(), PeerObservations()
        self.rights = RetryTokens(number, purse) if purse is not None else None
        self.rumours = BroadcastQueue(count, draw)
        self.max_transmissions, self.unconfirmed_fanout = max_transmissions(count), unconfirmed_fanout(count)
        self.said_us: dict[Host, int] = {}  # when this gateway last told what it saw
        self.doubt_us: dict[Host, int] = {}  # when a host was last in doubt
        self.passed: dict[Host, Assessment] = {}  # what the module knows
        self.counts = GossipCounts()
        self.requests = 0  # since the start; the room counts
        self.flushed_us = 0
        self.slot_us = 0
        self.ask_us = 0  # when to ask peers what they know; 0: done
        self.answers, self.answers_us = MAX_STATE_RESPONSES_PER_S, 0
        self.out: list[tuple[int, bytes]] = []

    def begin(self, now_us: int) -> None:
        """The socket is there."""
        self.presence.next_us = now_us + int(self.draw() * 1_000_000)
        self.ask_us = now_us + 1 + int(self.draw() * STATE_REQUEST_JITTER_US)
        self.rumours.bucket.at_us = now_us

    # Own outcomes

    def note(self, now_us: int, host: Host, good: bool, sent_us: int = 0) -> None:
        """An attempt here has ended; `sent_us`: for a time-out, when it was sent: it tells nothing where the host has
        answered since."""
        if not good and sent_us and self.watch.answered_since(host, sent_us):
            return
        self.watch.note(now_us, host, good)
        if not good:
            self.tell_bad(now_us, host)
        elif self.in_doubt(now_us, host) and (self.watch.recovered(host) or self.reporters(now_us, host)):
            self.tell_good(now_us, host)

    def in_doubt(self, now_us: int, host: Host) -> bool:
        return now_us - self.doubt_us.get(host, -SUSPICION_MEMORY_US) < SUSPICION_MEMORY_US

    def reporters(self, now_us: int, host: Host, within_us: int = OBSERVATION_LIFETIME_US) -> list[Observation]:
        """Pieces of others that saw it fail, not longer ago than this."""
        live = self.told.of(now_us, host)
        return [piece for piece in live if piece.item.bad > 0 and now_us - piece.at_us < within_us]

    def own_item(self, now_us: int, host: Host) -> ObservationItem:
        good, bad = self.watch.sums(now_us, host)
        common = int(MAX_COUNT * self.watch.common(now_us, host))
        return ObservationItem(
            self.number, self.presence.incarnation, timestamp_ms_of(now_us), host[0], host[1],
            min(good, MAX_COUNT), min(bad, MAX_COUNT), common, min(self.zone, MAX_COUNT),
        )  # fmt: skip

    def tell_bad(self, now_us: int, host: Host) -> None:
        others = len(self.reporters(now_us, host, CONFIRMATION_WINDOW_US))
        again = now_us - self.said_us.get(host, -REPORT_INTERVAL_US) >= REPORT_INTERVAL_US
        if self.watch.common(now_us, host) > MAX_COMMON_FAILURE_RATIO:
            self.counts.ill += 1
            return
        if others + 1 >= MIN_REPORTERS:
            self.confirm(now_us, host)
            if again and others < MAX_FAILURE_REPORTERS:
                self.say(now_us, host, self.max_transmissions)
        elif again:
            self.counts.first += 1
            self.say(now_us, host, self.unconfirmed_fanout)
        self.judge(now_us, host)

    def tell_good(self, now_us: int, host: Host) -> None:
        well = sum(piece.item.bad == 0 for piece in self.told.of(now_us, host))
        again = now_us - self.said_us.get(host, -REPORT_INTERVAL_US) >= REPORT_INTERVAL_US
        if again and self.watch.sums(now_us, host)[1] == 0 and well < MAX_SUCCESS_REPORTERS:
            self.counts.contradicted += 1
            self.say(now_us, host, self.max_transmissions)
        self.judge(now_us, host)

    def say(self, now_us: int, host: Host, sends: int) -> None:
        if len(self.said_us) >= MAX_HOSTS:
            self.said_us = {h: at_us for h, at_us in self.said_us.items() if now_us - at_us < REPORT_INTERVAL_US}
        self.said_us[host] = now_us
        self.rumours.add(self.own_item(now_us, host), sends)

    # What comes

    def receive(self, now_us: int, said: Datagram) -> None:
        """From a gateway whose address is its own in the list (the room sees to that)."""
        head = said.head
        if head.number == self.number or head.number >= self.count:
            return
        self.counts.came += 1
        self.counts.unknown += said.unknown
        self.told.clocks.take(now_us, head.number, head.incarnation, head.stamp)
        presence = self.presence
        presence.heard(now_us, head.number, head.incarnation)
        for item in said.items:
            if isinstance(item, MemberItem):
                presence.learn(now_us, item)
            elif isinstance(item, ObservationItem):
                self.on_evidence(now_us, item)
            elif self.rights is not None:
                self.on_rights(now_us, self.rights, item, head)
        if head.kind == MessageKind.PING:
            presence.on_ping(head.number, head.sequence)
        elif head.kind == MessageKind.PING_REQ:
            presence.on_ping_for(now_us, head.number, head.sequence, head.other)
        elif head.kind == MessageKind.ACK:
            presence.on_ack(head.sequence, head.other)
        elif head.kind == MessageKind.NACK:
            presence.on_nack(head.sequence)
        elif head.kind == MessageKind.STATE_REQUEST:
            self.answer(now_us, head.number)

    def on_rights(
        self, now_us: int, rights: RetryTokens, item: TokenRequestItem | TokenGrantItem, head: Header
    ) -> None:
        own = self.presence.incarnation
        if isinstance(item, TokenRequestItem):
            gift = rights.give(item, head.number, head.incarnation, own, timestamp_ms_of(now_us))
            if gift is not None:
                self.post(now_us, head.number, MessageKind.GOSSIP, items=(gift,), owed=True)
        elif item.giver == head.number:
            age_ms = self.told.clocks.age_ms(now_us, item.giver, item.incarnation, item.stamp)
            rights.take(now_us, item, own, age_ms * 1000 if age_ms is not None else None)

    def want_rights(self, now_us: int) -> None:
        """Tokens for further attempts are wanting here: ask some others."""
        want = self.rights.want(now_us) if self.rights is not None else None
        if want is not None:
            for number in sorted(self.presence.alive(), key=lambda _: self.draw())[:TOKEN_REQUEST_FANOUT]:
                self.post(now_us, number, MessageKind.GOSSIP, items=(want,))

    def on_evidence(self, now_us: int, item: ObservationItem) -> None:
        if item.teller == self.number or item.teller >= self.count:
            return
        host = (item.host, item.started)
        piece = self.told.merge(now_us, item)
        if piece is None:
            self.rumours.heard_again(item)
            return
        own = now_us - self.watch.bad_us(host) < CONFIRMATION_WINDOW_US
        reporters = len(self.reporters(now_us, host, CONFIRMATION_WINDOW_US)) + own
        if item.bad > 0:
            piece.sends = self.max_transmissions
            if reporters >= MIN_REPORTERS:
                self.confirm(now_us, host)
        elif self.in_doubt(now_us, host):
            well = sum(p.item.bad == 0 for p in self.told.of(now_us, host))
            if well <= MAX_SUCCESS_REPORTERS:
                piece.sends = self.max_transmissions
                self.rumours.pass_on(piece)
        self.judge(now_us, host)

    def confirm(self, now_us: int, host: Host) -> None:
        """A second teller is known: all are to hear of it, and of both."""
        if now_us - self.doubt_us.get(host, -OBSERVATION_LIFETIME_US) >= OBSERVATION_LIFETIME_US:
            self.counts.confirmed += 1
            self.watch.begin_anew(host)
        if len(self.doubt_us) >= MAX_HOSTS:
            self.doubt_us = {h: at_us for h, at_us in self.doubt_us.items() if now_us - at_us < SUSPICION_MEMORY_US}
        self.doubt_us[host] = now_us
        worst = sorted(self.reporters(now_us, host, CONFIRMATION_WINDOW_US), key=lambda piece: -piece.at_us)
        for place, piece in enumerate(worst):
            if place < MAX_FAILURE_REPORTERS:
                self.rumours.pass_on(piece)
            piece.sends = 0
        own = now_us - self.watch.bad_us(host) < CONFIRMATION_WINDOW_US
        if (
            own
            and len(worst) < MAX_FAILURE_REPORTERS
            and now_us - self.said_us.get(host, -REPORT_INTERVAL_US) >= REPORT_INTERVAL_US
        ):
            self.say(now_us, host, self.max_transmissions)

    # What the module hears

    def judge(self, now_us: int, host: Host) -> None:
        found = assess(now_us, self.told.of(now_us, host), self.zone, self.watch.sums(now_us, host))
        before = self.passed.get(host)
        if before is None:
            if found.reporters < MIN_REPORTERS and found.well < MIN_REPORTERS:
                return  # nothing that the module would act on
            if len(self.passed) >= MAX_HOSTS:
                return
        elif (found.doubted, found.reporters, found.well) == (before.doubted, before.reporters, before.well) and (
            found.until_us - before.until_us < WINDOW_SLOT_US
        ):
            return
        self.passed[host] = found
        self.counts.heard += 1
        self.hear(host[0], host[1], found)

    def look_again(self, now_us: int) -> None:
        """What was passed on changes by age alone, too."""
        for host in list(self.passed):
            if now_us >= self.passed[host].until_us:
                del self.passed[host]
                self.counts.heard += 1
                self.hear(host[0], host[1], Assessment(0.0, 0.0, 0, 0, now_us))
            else:
                self.judge(now_us, host)
        self.told.forget(now_us)

    # Who begins

    def answer(self, now_us: int, number: int) -> None:
        """All that matters now, to one that knows nothing; spread, as seven in ten may begin at once."""
        self.answers = min(
            MAX_STATE_RESPONSES_PER_S, self.answers + (now_us - self.answers_us) / 1e6 * MAX_STATE_RESPONSES_PER_S
        )
        self.answers_us = now_us
        items: list[Item] = [
            self.presence.item(n) for n, other in self.presence.others.items() if other.life and n != number
        ]
        for host in self.told.hosts:
            pieces = self.reporters(now_us, host)
            if self.in_doubt(now_us, host):
                items += [piece.item for piece in sorted(pieces, key=lambda p: -p.at_us)[:MIN_REPORTERS]]
        said = 0
        while items and said < MAX_STATE_RESPONSE_DATAGRAMS and self.answers >= 1.0:
            packed, items = items[:8], items[8:]
            self.answers -= 1.0
            said += 1
            self.post(now_us, number, MessageKind.GOSSIP, items=tuple(packed))

    # Time

    def stood_still(self, now_us: int, stall_us: int) -> None:
        self.presence.stood_still(now_us, stall_us)

    def next_due(self) -> int:
        due_us = min(self.presence.next_due(), self.slot_us + WINDOW_SLOT_US)
        if self.rumours.worth_saying:
            due_us = min(due_us, self.flush_due())
        if self.ask_us:
            due_us = min(due_us, self.ask_us)
        return due_us

    def tick(self, now_us: int) -> None:
        self.rumours.bucket.refill(now_us, self.requests)
        if now_us >= self.slot_us + WINDOW_SLOT_US:
            self.slot_us = now_us
            self.look_again(now_us)
        if self.ask_us and now_us >= self.ask_us:
            self.ask_us = 0
            for number in sorted(self.presence.alive(), key=lambda _: self.draw())[:STATE_REQUEST_FANOUT]:
                self.post(now_us, number, MessageKind.STATE_REQUEST)
        self.presence.tick(now_us)
        self.say_presence(now_us)
        if self.rumours.worth_saying and now_us >= self.flush_due():
            self.flush(now_us)

    def flush_due(self) -> int:
        return self.flushed_us + (URGENT_BROADCAST_INTERVAL_US if self.rumours.urgent else BROADCAST_INTERVAL_US)

    def say_presence(self, now_us: int) -> None:
        presence = self.presence
        news, presence.news = presence.news, []
        for item in news:
            # One accuser may hear badly itself: it tells a few, and whom it accuses.
            few = item.life == MemberStatus.SUSPECT and len(presence.others[item.number].accusers) < MIN_ACCUSERS
            self.rumours.add(
                item, self.unconfirmed_fanout if few or item.number == self.number else self.max_transmissions
            )
        said, presence.out = presence.out, []
        for say in said:
            items: tuple[Item, ...] = (say.item,) if say.item is not None else ()
            self.post(now_us, say.to, say.kind, say.sequence, say.other, items, owed=say.kind is MessageKind.ACK)

    def flush(self, now_us: int) -> None:
        """Urgent news leaves at once, the rest with what is sent anyway or after a while."""
        self.flushed_us = now_us
        for number in self.rumours.targets(self.presence.alive()):
            if not self.rumours.waiting:
                break
            if self.rumours.bucket.left < HEADER_STRUCT.size + CHECKSUM_STRUCT.size:
                self.counts.poor += 1
                break
            self.post(now_us, number, MessageKind.GOSSIP)

    def post(
        self, now_us: int, number: int, kind: MessageKind, sequence: int = 0, other: int = 0,
        items: tuple[Item, ...] = (), owed: bool = False,
    ) -> None:  # fmt: skip
        """One datagram, filled up with news."""
        bucket = self.rumours.bucket
        if bucket.left <= 0 and not owed:
            self.counts.poor += 1
            return
        items += self.rumours.choose(items)
        head = Header(kind, self.number, self.presence.incarnation, timestamp_ms_of(now_us), sequence, other)
        data = encode(head, items)
        bucket.left -= len(data)
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self.out.append((number, data))

    def take_out(self) -> list[tuple[int, bytes]]:
        said, self.out = self.out, []
        return said


assert OBSERVATION_LIFETIME_US % WINDOW_SLOT_US == 0
