"""What is worth saying, how often, to whom, and within how many bytes. Pure: time comes in.

Invariants:
- a piece is passed on only where a second teller confirms it, or where it contradicts a doubt;
- each piece leaves this gateway a fixed number of times at the most, and the worst news first;
- bytes are paid for, by receiver, from one bucket; nothing is said on credit but the answer to a probe, and a gift,
  whose tokens are gone already.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from cloverkeel.gossip.outlier_reports import Host, Observation
from cloverkeel.gossip.messages import MAX_ITEMS_BYTES, ObservationItem, Item, MemberStatus, MemberItem, item_size

UNCONFIRMED_FANOUT: Final = 3  # gateways that hear of a failure that nobody has confirmed
SMALL_FLEET_SIZE: Final = 8  # gateways: all of so few do
FANOUT: Final = 2  # gateways told at a time
FULL_MESSAGE_BYTES: Final = 256  # of a message, as the platform prices it
BYTES_PER_REQUEST_RATIO: Final = 0.1  # of such a message that may be said for each request
MIN_BYTES_PER_S: Final = 600.0  # whatever the requests: a probe and its answer, and some news
MAX_SAVED_BYTES: Final = 16_000.0
OBSERVATION_RESERVE_BYTES: Final = 8_000.0  # of these, for what hosts do: who is suspected must not use it up
MAX_QUEUED_BROADCASTS: Final = 256
REQUEST_RATE_INTERVAL_US: Final = 1_000_000  # between two looks at how many requests there are


def max_transmissions(count: int) -> int:
    """How often each who hears of a thing passes it on at the most, so that all hear it though some of it is lost."""
    return math.ceil(math.log(max(2, count))) + 2


def unconfirmed_fanout(count: int) -> int:
    """How many are told what nobody has confirmed."""
    return count - 1 if count <= SMALL_FLEET_SIZE else UNCONFIRMED_FANOUT


@dataclass(slots=True)
class ByteTokenBucket:
    """Bytes that may be said."""

    left: float = MAX_SAVED_BYTES
    rate: float = MIN_BYTES_PER_S
    at_us: int = 0
    requests: int = 0
    since_us: int = 0

    def refill(self, now_us: int, requests: int) -> None:
        """`requests`: how many this gateway has taken since its start."""
        elapsed_us = now_us - self.at_us
        if elapsed_us > 0:
            self.left = min(MAX_SAVED_BYTES, self.left + self.rate * elapsed_us / 1e6)
            self.at_us = now_us
        if now_us - self.since_us >= REQUEST_RATE_INTERVAL_US:
            seen = (requests - self.requests) / max(1e-6, (now_us - self.since_us) / 1e6)
            if self.since_us:
                self.rate = max(MIN_BYTES_PER_S, BYTES_PER_REQUEST_RATIO * FULL_MESSAGE_BYTES * seen)
            self.requests, self.since_us = requests, now_us


Broadcast = ObservationItem | MemberItem  # what goes round; the rest is between two


@dataclass(slots=True)
class QueuedBroadcast:
    item: Broadcast
    sends: int
    rank: int  # the lowest first


def rank_of(item: Broadcast) -> int:
    """Restrictions first: what fails, who is gone; then what contradicts; then who came back."""
    if isinstance(item, ObservationItem):
        return 0 if item.bad else 2
    return 1 if item.life != MemberStatus.ALIVE else 3


BroadcastKey = tuple[int, int, int, int]


def key_of(item: Broadcast) -> BroadcastKey:
    if isinstance(item, MemberItem):
        return (1, item.number, 0, item.by if item.life == MemberStatus.SUSPECT else -1)
    return (2, item.teller, item.host, item.started)


class BroadcastQueue:
    """What is waiting to be said."""

    def __init__(self, count: int, draw: Callable[[], float]) -> None:
        self.count, self.draw = count, draw
        self.waiting: dict[BroadcastKey, QueuedBroadcast] = {}
        self.bucket = ByteTokenBucket()
        self.dropped = 0  # for want of room

    @property
    def urgent(self) -> bool:
        return any(rumour.rank == 0 for rumour in self.waiting.values())

    @property
    def worth_saying(self) -> bool:
        """Something waits that may be paid for."""
        return bool(self.waiting) and (
            self.bucket.left >= OBSERVATION_RESERVE_BYTES or any(key[0] == 2 for key in self.waiting)
        )  # fmt: skip

    def add(self, item: Broadcast, sends: int) -> None:
        """OutgoingMessage it so often; it replaces what was waiting of the same teller on the same thing."""
        key = key_of(item)
        if key not in self.waiting and len(self.waiting) >= MAX_QUEUED_BROADCASTS:
            worst = max(self.waiting, key=lambda k: (self.waiting[k].rank, -self.waiting[k].sends))
            self.dropped += 1
            if self.waiting[worst].rank < rank_of(item):
                return
            del self.waiting[worst]
        self.waiting[key] = QueuedBroadcast(item, sends, rank_of(item))

    def pass_on(self, piece: Observation) -> None:
        if piece.sends > 0:
            self.add(piece.item, piece.sends)
            piece.sends = 0

    def heard_again(self, item: Broadcast) -> None:
        """Another has said the same: less is left to say."""
        rumour = self.waiting.get(key_of(item))
        if rumour is not None and rumour.item == item:
            rumour.sends -= 1
            if rumour.sends <= 0:
                del self.waiting[key_of(item)]

    def drop_host(self, host: Host) -> None:
        """Nothing more is to be said of it: its process is another by now."""
        gone = [key for key in self.waiting if key[0] == 2 and key[2:] == host]
        for key in gone:
            del self.waiting[key]

    def choose(self, but: tuple[Item, ...] = ()) -> tuple[Item, ...]:
        """What fits one datagram beside what it has already; each is counted as said once."""
        room = MAX_ITEMS_BYTES - sum(item_size(item) for item in but)
        poor = self.bucket.left < OBSERVATION_RESERVE_BYTES
        chosen: list[Item] = []
        said = {key_of(item) for item in but if isinstance(item, ObservationItem | MemberItem)}
        for key, rumour in sorted(self.waiting.items(), key=lambda kv: (kv[1].rank, -kv[1].sends)):
            size = item_size(rumour.item)
            if size > room or key in said or (poor and key[0] == 1):
                continue
            room -= size
            chosen.append(rumour.item)
            rumour.sends -= 1
            if rumour.sends <= 0:
                del self.waiting[key]
        return tuple(chosen)

    def targets(self, able: list[int]) -> list[int]:
        """Some of them, drawn: more where something new is to be said that nobody has confirmed."""
        fan = unconfirmed_fanout(self.count) if any(rumour.rank == 0 for rumour in self.waiting.values()) else FANOUT
        return sorted(able, key=lambda _: self.draw())[:fan]
