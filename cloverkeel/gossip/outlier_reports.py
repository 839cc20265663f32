"""What was seen of hosts, here and by others, how old it is, and what it comes to. Pure: time comes in.

Invariants:
- of one teller and host the newest piece counts, whatever the order in which they come, and however often (a
  semilattice by incarnation and stamp);
- a piece counts for OBSERVATION_LIFETIME_US from the moment that its teller saw it, by this clock;
- at most MAX_REPORTERS_PER_HOST reporters for each of MAX_HOSTS hosts are kept, and one clock for each gateway;
- what one teller says alone is no doubt.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from cloverkeel.gossip.messages import MAX_COUNT, MASK32, ObservationItem

OBSERVATION_LIFETIME_US: Final = 2_000_000  # a piece counts for so long
WINDOW_SLOT_US: Final = 250_000
WINDOW_SLOTS: Final = OBSERVATION_LIFETIME_US // WINDOW_SLOT_US
MAX_HOSTS: Final = 256
MAX_REPORTERS_PER_HOST: Final = 16  # for one host
MAX_LATE_MS: Final = 120_000  # what is older than this is of another time, or a clock that leapt
FASTEST_DELAY_PERIOD_US: Final = 60_000_000  # the quickest way is that of this and the last such time
MIN_REPORTERS: Final = 2
RECOVERY_STREAK: Final = 3  # good answers in a row after which a host is well again here: as many as close a breaker
MIN_CREDIBILITY: Final = 0.25  # of a teller that counts as one: half of the rest fails for it
SMOOTHING_OUTCOMES: Final = 2  # outcomes that are added to what is known of the rest

Host = tuple[int, int]  # number, and the start of its process (ms, 32 bits)


def timestamp_ms_of(now_us: int) -> int:
    return (now_us // 1000) & MASK32


def timestamp_difference_ms(later: int, earlier: int) -> int:
    """`later` - `earlier` of two stamps that go round at 32 bits."""
    return ((later - earlier + 0x80000000) & MASK32) - 0x80000000


@dataclass(slots=True)
class OutcomeWindow:
    """Outcomes at one host over the last OBSERVATION_LIFETIME_US."""

    good: list[int] = field(default_factory=lambda: [0] * WINDOW_SLOTS)
    bad: list[int] = field(default_factory=lambda: [0] * WINDOW_SLOTS)
    slot: int = 0  # the newest one, counted from the clock's beginning
    good_us: int = 0  # the last good one
    bad_us: int = -OBSERVATION_LIFETIME_US  # the last bad one
    streak: int = 0  # good ones in a row

    def turn(self, now_us: int) -> None:
        slot = now_us // WINDOW_SLOT_US
        for passed in range(max(self.slot + 1, slot - WINDOW_SLOTS + 1), slot + 1):
            self.good[passed % WINDOW_SLOTS] = self.bad[passed % WINDOW_SLOTS] = 0
        self.slot = max(slot, self.slot)

    def sums(self, now_us: int) -> tuple[int, int]:
        self.turn(now_us)
        return sum(self.good), sum(self.bad)

    def note(self, now_us: int, good: bool) -> None:
        self.turn(now_us)
        if good:
            self.good[self.slot % WINDOW_SLOTS] += 1
            self.good_us = now_us
            self.streak += 1
        else:
            self.bad[self.slot % WINDOW_SLOTS] += 1
            self.bad_us, self.streak = now_us, 0


class LocalOutcomes:
    """What this gateway saw itself. Of a host, good answers count from the trouble on.

    Guards against a doubt that waits until what was good before the trouble has aged: the first failure begins the
    count anew, and so does the word of others; RECOVERY_STREAK good ones in a row end it.
    """

    def __init__(self) -> None:
        self.hosts: dict[Host, OutcomeWindow] = {}
        self.all = OutcomeWindow()

    def note(self, now_us: int, host: Host, good: bool) -> None:
        slots = self.hosts.get(host)
        if slots is None:
            if len(self.hosts) >= MAX_HOSTS:
                self.forget(now_us)
                if len(self.hosts) >= MAX_HOSTS:
                    return
            slots = self.hosts[host] = OutcomeWindow()
        self.all.note(now_us, good)
        if not good and not slots.sums(now_us)[1]:
            slots.good = [0] * WINDOW_SLOTS
        slots.note(now_us, good)
        if slots.streak >= RECOVERY_STREAK:
            slots.bad = [0] * WINDOW_SLOTS

    def begin_anew(self, host: Host) -> None:
        """Others have seen it fail: what was good here was so before that."""
        slots = self.hosts.get(host)
        if slots is not None:
            slots.good = [0] * WINDOW_SLOTS

    def recovered(self, host: Host) -> bool:
        """Whether its last good answer was the one that ends a trouble here."""
        slots = self.hosts.get(host)
        return slots is not None and slots.streak == RECOVERY_STREAK and slots.bad_us > 0

    def answered_since(self, host: Host, since_us: int) -> bool:
        """Whether it has answered here since: then a time-out there is a crowd's, and no sign against the host."""
        slots = self.hosts.get(host)
        return slots is not None and slots.good_us >= since_us

    def bad_us(self, host: Host) -> int:
        """When it failed here last."""
        slots = self.hosts.get(host)
        return slots.bad_us if slots is not None else -OBSERVATION_LIFETIME_US

    def sums(self, now_us: int, host: Host) -> tuple[int, int]:
        slots = self.hosts.get(host)
        return slots.sums(now_us) if slots is not None else (0, 0)

    def common(self, now_us: int, host: Host) -> float:
        """Share of what failed at all other hosts, of late; a few outcomes say little."""
        good, bad = self.all.sums(now_us)
        own_good, own_bad = self.sums(now_us, host)
        rest = good + bad - own_good - own_bad
        return max(0, bad - own_bad) / (rest + SMOOTHING_OUTCOMES) if rest > 0 else 0.0

    def forget(self, now_us: int) -> None:
        self.hosts = {host: slots for host, slots in self.hosts.items() if any(slots.sums(now_us))}


@dataclass(slots=True)
class ClockOffset:
    """How another gateway's stamps relate to this clock: the quickest way that any of its datagrams took."""

    incarnation: int
    base: int  # the first reading less stamp
    least: int = 0  # over `base`, in ms: the least of this time
    least_before: int = 0  # and of the one before
    since_us: int = 0

    def take(self, now_us: int, stamp: int) -> None:
        """A stamp has come, by whatever way."""
        way = timestamp_difference_ms((timestamp_ms_of(now_us) - stamp) & MASK32, self.base)
        if now_us - self.since_us > FASTEST_DELAY_PERIOD_US:
            fresh = now_us - self.since_us > 2 * FASTEST_DELAY_PERIOD_US
            self.least_before = way if fresh else self.least
            self.least, self.since_us = way, now_us
        self.least = min(self.least, way)

    def age_ms(self, now_us: int, stamp: int) -> int:
        way = timestamp_difference_ms((timestamp_ms_of(now_us) - stamp) & MASK32, self.base)
        return max(0, way - min(self.least, self.least_before))


class ClockOffsets:
    def __init__(self) -> None:
        self.clocks: dict[int, ClockOffset] = {}

    def take(self, now_us: int, number: int, incarnation: int, stamp: int) -> None:
        clock = self.clocks.get(number)
        if clock is None or incarnation > clock.incarnation:
            # A new process, or one that answered for itself: nothing of before says how late this is.
            base = (timestamp_ms_of(now_us) - stamp) & MASK32
            kept = (
                clock is not None
                and abs(timestamp_difference_ms(base, clock.base)) < 2 * OBSERVATION_LIFETIME_US // 1000
            )
            if clock is not None and kept:
                clock.incarnation = incarnation
                clock.take(now_us, stamp)
            else:
                self.clocks[number] = ClockOffset(incarnation, base, since_us=now_us)
        elif incarnation == clock.incarnation:
            clock.take(now_us, stamp)

    def age_ms(self, now_us: int, number: int, incarnation: int, stamp: int) -> int | None:
        """None for an incarnation that is not the newest known."""
        clock = self.clocks.get(number)
        if clock is None or incarnation != clock.incarnation:
            return None
        return clock.age_ms(now_us, stamp)


@dataclass(slots=True)
class Observation:
    """What one gateway told of one host."""

    item: ObservationItem
    at_us: int  # when it was so, by this clock
    sends: int = 0  # how often it is still to be passed on

    def lives(self, now_us: int) -> bool:
        return now_us - self.at_us < OBSERVATION_LIFETIME_US


@dataclass(slots=True, frozen=True)
class Assessment:
    """What others, and this gateway of late, saw of one host: for the module."""

    good: float
    bad: float
    reporters: int  # others that saw it fail
    well: int  # others that were only answered well
    until_us: int  # nothing of it counts after that

    @property
    def doubted(self) -> bool:
        return self.reporters >= MIN_REPORTERS and self.bad >= self.good


class PeerObservations:
    """All that others told of hosts."""

    def __init__(self) -> None:
        self.clocks = ClockOffsets()
        self.hosts: dict[Host, dict[int, Observation]] = {}
        self.old = 0  # pieces that were no news
        self.late = 0  # that had ended on the way

    def merge(self, now_us: int, item: ObservationItem) -> Observation | None:
        """The piece, where it is news that counts."""
        self.clocks.take(now_us, item.teller, item.incarnation, item.stamp)
        age_ms = self.clocks.age_ms(now_us, item.teller, item.incarnation, item.stamp)
        if age_ms is None:
            self.old += 1
            return None
        if age_ms * 1000 >= OBSERVATION_LIFETIME_US:
            self.late += 1
            return None
        host = (item.host, item.started)
        pieces = self.hosts.get(host)
        if pieces is None:
            if len(self.hosts) >= MAX_HOSTS and not self.forget(now_us):
                return None
            pieces = self.hosts[host] = {}
        before = pieces.get(item.teller)
        if before is not None and not is_newer(item, before.item):
            self.old += 1
            return None
        if before is None and len(pieces) >= MAX_REPORTERS_PER_HOST:
            del pieces[min(pieces, key=lambda teller: pieces[teller].at_us)]
        piece = pieces[item.teller] = Observation(item, now_us - age_ms * 1000)
        return piece

    def of(self, now_us: int, host: Host) -> list[Observation]:
        """What counts now."""
        return [piece for piece in self.hosts.get(host, {}).values() if piece.lives(now_us)]

    def forget(self, now_us: int) -> bool:
        """Drop what has ended; False if there is no room all the same."""
        for host, pieces in list(self.hosts.items()):
            for teller, piece in list(pieces.items()):
                if not piece.lives(now_us):
                    del pieces[teller]
            if not pieces:
                del self.hosts[host]
        return len(self.hosts) < MAX_HOSTS


def is_newer(item: ObservationItem, before: ObservationItem) -> bool:
    if item.incarnation != before.incarnation:
        return item.incarnation > before.incarnation
    if item.stamp != before.stamp:
        return timestamp_difference_ms(item.stamp, before.stamp) > 0
    # One teller says one thing at one moment; should it say two, all keep the same one.
    return (item.bad, item.good, item.common, item.zone) > (before.bad, before.good, before.common, before.zone)


def reporter_credibility(item: ObservationItem) -> float:
    """How much a teller's failures speak against the host: little where most fails for it."""
    return (1.0 - item.common / MAX_COUNT) ** 2


def assess(now_us: int, pieces: Iterable[Observation], zone: int, own: tuple[int, int] = (0, 0)) -> Assessment:
    """What it comes to: newer before older; where the own zone is answered well, its evidence alone counts."""
    live = [piece for piece in pieces if piece.lives(now_us)]
    near = [piece for piece in live if piece.item.zone == zone]
    near_good = own[0] + sum(piece.item.good for piece in near)
    near_bad = own[1] + sum(piece.item.bad for piece in near)
    if near_good > 0 and near_good >= 2 * near_bad:
        live = near
    good, bad = float(own[0]), float(own[1])
    reporters = well = 0
    for piece in live:
        item, weight = piece.item, 1.0 - (now_us - piece.at_us) / OBSERVATION_LIFETIME_US
        believed = reporter_credibility(item)
        good += weight * item.good
        bad += weight * item.bad * believed
        reporters += item.bad > 0 and believed >= MIN_CREDIBILITY
        well += item.bad == 0 and item.good > 0
    until_us = max((piece.at_us + OBSERVATION_LIFETIME_US for piece in live), default=now_us)
    return Assessment(good, bad, reporters, well, until_us)
