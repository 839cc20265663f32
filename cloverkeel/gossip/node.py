"""All that one gateway shares: datagrams, outcomes and time in; datagrams and word for the module out. Pure.

Invariants:
- nothing is said of a host while most fails here: then it is this gateway that is ill;
- a piece of evidence is passed on where a second teller is known, and never more than ENOUGH of them for one host;
- the module hears of a host again only when what is known of it has changed, or ends;
- a datagram is sent only if the bucket pays for it, but for answers to probes and gifts.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Final

from cloverkeel.gossip.outlier_reports import (
    DOUBT_TELLERS,
    EVIDENCE_US,
    HOSTS_MOST,
    SLOT_US,
    Host,
    Piece,
    Told,
    Watch,
    Weighed,
    stamp_of,
    weigh,
)
from cloverkeel.gossip.messages import (
    COUNT_MOST,
    HEAD,
    SUM,
    Datagram,
    EvidenceItem,
    GiveItem,
    Head,
    Item,
    Kind,
    Life,
    MemberItem,
    WantItem,
    encode,
)
from cloverkeel.gossip.failure_detector import Presence
from cloverkeel.gossip.retry_tokens import ASKED, Purse, Rights
from cloverkeel.gossip.dissemination import Rumours, first, hops

AGAIN_US: Final = 800_000  # between two times that this gateway says of one host what it saw
CONFIRM_US: Final = 600_000  # two reporters that saw it fail within this confirm one another
ENOUGH: Final = 3  # reporters of failures of one host that are passed on, and are enough to say no more
ENOUGH_WELL: Final = 4  # and of those that contradict
ILL: Final = 0.5  # share of what fails here, elsewhere, at which nothing is said
ACCUSERS_LEAST: Final = 2  # of a gateway, before all hear that it is suspected
FLUSH_US: Final = 100_000  # between datagrams of news that is not urgent
URGENT_US: Final = 10_000  # and of news that is: some of it comes together
DOUBT_US: Final = 10_000_000  # after a doubt, good answers of that host are worth telling
ASKED_MOST: Final = 8  # datagrams that answer who begins
ASK_PEERS: Final = 3  # whom who begins asks
ASK_SPREAD_US: Final = 300_000  # at a random moment within this
ANSWERS_S: Final = 20.0  # such answers a second, at the most

Hear = Callable[[int, int, Weighed], None]  # host, start (ms, 32 bits), and what is known


@dataclass(slots=True)
class Counts:
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


class Exchange:
    def __init__(
        self, number: int, count: int, zone: int, incarnation: int, draw: Callable[[], float], hear: Hear,
        purse: Purse | None = None,
    ) -> None:  # fmt: skip
        """`draw` gives a number from 0 to 1; `hear` takes what is known of a host when it has changed; `purse`: the
        module's tokens for further attempts, where they may move."""
        self.number, self.count, self.zone = number, count, zone
        self.draw, self.hear = draw, hear
        self.presence = Presence(number, count, incarnation, draw)
        self.watch, self.told = Watch(), Told()
        self.rights = Rights(number, purse) if purse is not None else None
        self.rumours = Rumours(count, draw)
        self.hops, self.first = hops(count), first(count)
        self.said_us: dict[Host, int] = {}  # when this gateway last told what it saw
        self.doubt_us: dict[Host, int] = {}  # when a host was last in doubt
        self.passed: dict[Host, Weighed] = {}  # what the module knows
        self.counts = Counts()
        self.requests = 0  # since the start; the room counts
        self.flushed_us = 0
        self.slot_us = 0
        self.ask_us = 0  # when to ask peers what they know; 0: done
        self.answers, self.answers_us = ANSWERS_S, 0
        self.out: list[tuple[int, bytes]] = []

    def begin(self, now_us: int) -> None:
        """The socket is there."""
        self.presence.next_us = now_us + int(self.draw() * 1_000_000)
        self.ask_us = now_us + 1 + int(self.draw() * ASK_SPREAD_US)
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
        return now_us - self.doubt_us.get(host, -DOUBT_US) < DOUBT_US

    def reporters(self, now_us: int, host: Host, within_us: int = EVIDENCE_US) -> list[Piece]:
        """Pieces of others that saw it fail, not longer ago than this."""
        live = self.told.of(now_us, host)
        return [piece for piece in live if piece.item.bad > 0 and now_us - piece.at_us < within_us]

    def own_item(self, now_us: int, host: Host) -> EvidenceItem:
        good, bad = self.watch.sums(now_us, host)
        common = int(COUNT_MOST * self.watch.common(now_us, host))
        return EvidenceItem(
            self.number, self.presence.incarnation, stamp_of(now_us), host[0], host[1],
            min(good, COUNT_MOST), min(bad, COUNT_MOST), common, min(self.zone, COUNT_MOST),
        )  # fmt: skip

    def tell_bad(self, now_us: int, host: Host) -> None:
        others = len(self.reporters(now_us, host, CONFIRM_US))
        again = now_us - self.said_us.get(host, -AGAIN_US) >= AGAIN_US
        if self.watch.common(now_us, host) > ILL:
            self.counts.ill += 1
            return
        if others + 1 >= DOUBT_TELLERS:
            self.confirm(now_us, host)
            if again and others < ENOUGH:
                self.say(now_us, host, self.hops)
        elif again:
            self.counts.first += 1
            self.say(now_us, host, self.first)
        self.judge(now_us, host)

    def tell_good(self, now_us: int, host: Host) -> None:
        well = sum(piece.item.bad == 0 for piece in self.told.of(now_us, host))
        again = now_us - self.said_us.get(host, -AGAIN_US) >= AGAIN_US
        if again and self.watch.sums(now_us, host)[1] == 0 and well < ENOUGH_WELL:
            self.counts.contradicted += 1
            self.say(now_us, host, self.hops)
        self.judge(now_us, host)

    def say(self, now_us: int, host: Host, sends: int) -> None:
        if len(self.said_us) >= HOSTS_MOST:
            self.said_us = {h: at_us for h, at_us in self.said_us.items() if now_us - at_us < AGAIN_US}
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
            elif isinstance(item, EvidenceItem):
                self.on_evidence(now_us, item)
            elif self.rights is not None:
                self.on_rights(now_us, self.rights, item, head)
        if head.kind == Kind.PING:
            presence.on_ping(head.number, head.sequence)
        elif head.kind == Kind.PING_FOR:
            presence.on_ping_for(now_us, head.number, head.sequence, head.other)
        elif head.kind == Kind.ACK:
            presence.on_ack(head.sequence, head.other)
        elif head.kind == Kind.NACK:
            presence.on_nack(head.sequence)
        elif head.kind == Kind.ASK:
            self.answer(now_us, head.number)

    def on_rights(self, now_us: int, rights: Rights, item: WantItem | GiveItem, head: Head) -> None:
        own = self.presence.incarnation
        if isinstance(item, WantItem):
            gift = rights.give(item, head.number, head.incarnation, own, stamp_of(now_us))
            if gift is not None:
                self.post(now_us, head.number, Kind.NEWS, items=(gift,), owed=True)
        elif item.giver == head.number:
            age_ms = self.told.clocks.age_ms(now_us, item.giver, item.incarnation, item.stamp)
            rights.take(now_us, item, own, age_ms * 1000 if age_ms is not None else None)

    def want_rights(self, now_us: int) -> None:
        """Tokens for further attempts are wanting here: ask some others."""
        want = self.rights.want(now_us) if self.rights is not None else None
        if want is not None:
            for number in sorted(self.presence.alive(), key=lambda _: self.draw())[:ASKED]:
                self.post(now_us, number, Kind.NEWS, items=(want,))

    def on_evidence(self, now_us: int, item: EvidenceItem) -> None:
        if item.teller == self.number or item.teller >= self.count:
            return
        host = (item.host, item.started)
        piece = self.told.merge(now_us, item)
        if piece is None:
            self.rumours.heard_again(item)
            return
        own = now_us - self.watch.bad_us(host) < CONFIRM_US
        reporters = len(self.reporters(now_us, host, CONFIRM_US)) + own
        if item.bad > 0:
            piece.sends = self.hops
            if reporters >= DOUBT_TELLERS:
                self.confirm(now_us, host)
        elif self.in_doubt(now_us, host):
            well = sum(p.item.bad == 0 for p in self.told.of(now_us, host))
            if well <= ENOUGH_WELL:
                piece.sends = self.hops
                self.rumours.pass_on(piece)
        self.judge(now_us, host)

    def confirm(self, now_us: int, host: Host) -> None:
        """A second teller is known: all are to hear of it, and of both."""
        if now_us - self.doubt_us.get(host, -EVIDENCE_US) >= EVIDENCE_US:
            self.counts.confirmed += 1
            self.watch.begin_anew(host)
        if len(self.doubt_us) >= HOSTS_MOST:
            self.doubt_us = {h: at_us for h, at_us in self.doubt_us.items() if now_us - at_us < DOUBT_US}
        self.doubt_us[host] = now_us
        worst = sorted(self.reporters(now_us, host, CONFIRM_US), key=lambda piece: -piece.at_us)
        for place, piece in enumerate(worst):
            if place < ENOUGH:
                self.rumours.pass_on(piece)
            piece.sends = 0
        own = now_us - self.watch.bad_us(host) < CONFIRM_US
        if own and len(worst) < ENOUGH and now_us - self.said_us.get(host, -AGAIN_US) >= AGAIN_US:
            self.say(now_us, host, self.hops)

    # What the module hears

    def judge(self, now_us: int, host: Host) -> None:
        found = weigh(now_us, self.told.of(now_us, host), self.zone, self.watch.sums(now_us, host))
        before = self.passed.get(host)
        if before is None:
            if found.reporters < DOUBT_TELLERS and found.well < DOUBT_TELLERS:
                return  # nothing that the module would act on
            if len(self.passed) >= HOSTS_MOST:
                return
        elif (found.doubted, found.reporters, found.well) == (before.doubted, before.reporters, before.well) and (
            found.until_us - before.until_us < SLOT_US
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
                self.hear(host[0], host[1], Weighed(0.0, 0.0, 0, 0, now_us))
            else:
                self.judge(now_us, host)
        self.told.forget(now_us)

    # Who begins

    def answer(self, now_us: int, number: int) -> None:
        """All that matters now, to one that knows nothing; spread, as seven in ten may begin at once."""
        self.answers = min(ANSWERS_S, self.answers + (now_us - self.answers_us) / 1e6 * ANSWERS_S)
        self.answers_us = now_us
        items: list[Item] = [
            self.presence.item(n) for n, other in self.presence.others.items() if other.life and n != number
        ]
        for host in self.told.hosts:
            pieces = self.reporters(now_us, host)
            if self.in_doubt(now_us, host):
                items += [piece.item for piece in sorted(pieces, key=lambda p: -p.at_us)[:DOUBT_TELLERS]]
        said = 0
        while items and said < ASKED_MOST and self.answers >= 1.0:
            packed, items = items[:8], items[8:]
            self.answers -= 1.0
            said += 1
            self.post(now_us, number, Kind.NEWS, items=tuple(packed))

    # Time

    def stood_still(self, now_us: int, stall_us: int) -> None:
        self.presence.stood_still(now_us, stall_us)

    def next_due(self) -> int:
        due_us = min(self.presence.next_due(), self.slot_us + SLOT_US)
        if self.rumours.worth_saying:
            due_us = min(due_us, self.flush_due())
        if self.ask_us:
            due_us = min(due_us, self.ask_us)
        return due_us

    def tick(self, now_us: int) -> None:
        self.rumours.bucket.refill(now_us, self.requests)
        if now_us >= self.slot_us + SLOT_US:
            self.slot_us = now_us
            self.look_again(now_us)
        if self.ask_us and now_us >= self.ask_us:
            self.ask_us = 0
            for number in sorted(self.presence.alive(), key=lambda _: self.draw())[:ASK_PEERS]:
                self.post(now_us, number, Kind.ASK)
        self.presence.tick(now_us)
        self.say_presence(now_us)
        if self.rumours.worth_saying and now_us >= self.flush_due():
            self.flush(now_us)

    def flush_due(self) -> int:
        return self.flushed_us + (URGENT_US if self.rumours.urgent else FLUSH_US)

    def say_presence(self, now_us: int) -> None:
        presence = self.presence
        news, presence.news = presence.news, []
        for item in news:
            # One accuser may hear badly itself: it tells a few, and whom it accuses.
            few = item.life == Life.SUSPECT and len(presence.others[item.number].accusers) < ACCUSERS_LEAST
            self.rumours.add(item, self.first if few or item.number == self.number else self.hops)
        said, presence.out = presence.out, []
        for say in said:
            items: tuple[Item, ...] = (say.item,) if say.item is not None else ()
            self.post(now_us, say.to, say.kind, say.sequence, say.other, items, owed=say.kind is Kind.ACK)

    def flush(self, now_us: int) -> None:
        """Urgent news leaves at once, the rest with what is sent anyway or after a while."""
        self.flushed_us = now_us
        for number in self.rumours.targets(self.presence.alive()):
            if not self.rumours.waiting:
                break
            if self.rumours.bucket.left < HEAD.size + SUM.size:
                self.counts.poor += 1
                break
            self.post(now_us, number, Kind.NEWS)

    def post(
        self, now_us: int, number: int, kind: Kind, sequence: int = 0, other: int = 0, items: tuple[Item, ...] = (),
        owed: bool = False,
    ) -> None:  # fmt: skip
        """One datagram, filled up with news."""
        bucket = self.rumours.bucket
        if bucket.left <= 0 and not owed:
            self.counts.poor += 1
            return
        items += self.rumours.choose(items)
        head = Head(kind, self.number, self.presence.incarnation, stamp_of(now_us), sequence, other)
        data = encode(head, items)
        bucket.left -= len(data)
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self.out.append((number, data))

    def take_out(self) -> list[tuple[int, bytes]]:
        said, self.out = self.out, []
        return said

    # For staff

    def shown(self, now_us: int) -> dict[str, object]:
        """JSON-able: who is there, hosts in doubt and why, and what it costs."""
        counts, presence = self.counts, self.presence
        return {
            "gateway": self.number, "zone": self.zone, "incarnation": presence.incarnation, "health": presence.health,
            "peers": {
                str(n): {"state": other.state, "incarnation": other.incarnation,
                         "heard_ms": (now_us - other.heard_us) // 1000 if other.heard_us else -1}
                for n, other in presence.others.items()
            },
            "hosts": [
                {"host": f"{host[0]:x}", "good": round(known.good, 1), "bad": round(known.bad, 1),
                 "tellers": known.reporters, "well": known.well, "doubted": known.doubted,
                 "left_ms": max(0, known.until_us - now_us) // 1000,
                 "own": list(self.watch.sums(now_us, host))}
                for host, known in self.passed.items()
            ],
            "suspicions": presence.suspicions, "refutations": presence.refutations, "returns": presence.returns,
            "sent": counts.sent, "sent_bytes": counts.sent_bytes, "came": counts.came, "first": counts.first,
            "confirmed": counts.confirmed, "contradicted": counts.contradicted, "ill": counts.ill,
            "poor": counts.poor, "unknown": counts.unknown, "heard": counts.heard, "old": self.told.old,
            "late": self.told.late, "rights": asdict(self.rights.counts) if self.rights is not None else {},
            "budget": round(self.rumours.bucket.left), "waiting": len(self.rumours.waiting),
        }  # fmt: skip


assert EVIDENCE_US % SLOT_US == 0
