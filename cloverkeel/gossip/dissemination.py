"""Queue of broadcasts to be piggybacked on datagrams: their order, number of transmissions and targets. Pure.

SWIM's infection-style dissemination (Das, Gupta, Motivala 2002, section 4.1), implemented like memberlist's broadcast
queue: each gateway sends an item a bounded number of times, which grows with the logarithm of the fleet size.

Invariants:
- this gateway sends each broadcast at most a fixed number of times, and the most urgent broadcasts first;
- at most MAX_QUEUED_BROADCASTS are queued; when the queue is full, the least urgent broadcast is dropped;
- member status is not sent while the token bucket holds less than OBSERVATION_RESERVE_BYTES.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum
from typing import Final, NamedTuple

from cloverkeel.gossip.messages import (
    MAX_ITEMS_BYTES,
    HostProcess,
    Item,
    MemberItem,
    MemberStatus,
    ObservationItem,
    item_size,
)
from cloverkeel.gossip.outlier_reports import Observation
from cloverkeel.gossip.sampling import UniformRandom, shuffled
from cloverkeel.gossip.token_bucket import ByteTokenBucket

UNCONFIRMED_FANOUT: Final = 3  # gateways that receive a report that no second gateway has confirmed
SMALL_FLEET_SIZE: Final = 8  # up to this many gateways, all of them receive unconfirmed reports
FANOUT: Final = 2  # target gateways of a round of broadcasts
EXTRA_TRANSMISSIONS: Final = 2  # added to the logarithm to compensate for lost datagrams
OBSERVATION_RESERVE_BYTES: Final = 8_000.0  # part of the token bucket reserved for observations of hosts
MAX_QUEUED_BROADCASTS: Final = 256
NO_ACCUSER: Final = -1  # in place of the accuser in the key of a status other than SUSPECT


def max_transmissions(fleet_size: int) -> int:
    """Return how many times a gateway may send an item, so that it reaches all gateways despite lost datagrams."""
    return math.ceil(math.log(max(2, fleet_size))) + EXTRA_TRANSMISSIONS


def unconfirmed_fanout(fleet_size: int) -> int:
    """Return how many gateways are sent an unconfirmed report."""
    return fleet_size - 1 if fleet_size <= SMALL_FLEET_SIZE else UNCONFIRMED_FANOUT


Broadcast = ObservationItem | MemberItem  # items for the whole fleet; the other items are for one gateway


class BroadcastPriority(IntEnum):
    """Priority of a broadcast; lower values are sent first. Failures are sent before recoveries."""

    HOST_FAILURE = 0
    MEMBER_DOWN = 1
    HOST_SUCCESS = 2
    MEMBER_ALIVE = 3


class MemberKey(NamedTuple):
    """Key of a member's status. Suspicions are queued separately for each accuser."""

    gateway: int
    accuser: int


class ObservationKey(NamedTuple):
    """Key of one reporter's observation of one host process."""

    reporter: int
    process: HostProcess


BroadcastKey = MemberKey | ObservationKey


@dataclass(slots=True)
class QueuedBroadcast:
    """A queued item with its priority and remaining transmissions."""

    item: Broadcast
    transmissions_left: int
    priority: BroadcastPriority


def priority_of(item: Broadcast) -> BroadcastPriority:
    """Return the priority of an item."""
    if isinstance(item, ObservationItem):
        return BroadcastPriority.HOST_FAILURE if item.failures else BroadcastPriority.HOST_SUCCESS
    if item.status != MemberStatus.ALIVE:
        return BroadcastPriority.MEMBER_DOWN
    return BroadcastPriority.MEMBER_ALIVE


def key_of(item: Broadcast) -> BroadcastKey:
    """Return the key of an item: an item that is added replaces a queued one with the same key."""
    if isinstance(item, MemberItem):
        is_suspicion = item.status == MemberStatus.SUSPECT
        return MemberKey(item.gateway, item.reporter if is_suspicion else NO_ACCUSER)
    return ObservationKey(item.reporter, item.process)


class BroadcastQueue:
    """Queued broadcasts, and the token bucket that limits the bytes sent."""

    def __init__(self, fleet_size: int, rng: UniformRandom) -> None:
        self.fleet_size, self.rng = fleet_size, rng
        self.queued: dict[BroadcastKey, QueuedBroadcast] = {}
        self.bucket = ByteTokenBucket()
        self.dropped_count = 0  # broadcasts dropped because the queue was full

    @property
    def is_urgent(self) -> bool:
        """Whether a failure of a host is queued."""
        return any(broadcast.priority == BroadcastPriority.HOST_FAILURE for broadcast in self.queued.values())

    @property
    def has_affordable(self) -> bool:
        """Whether a broadcast is queued that the token bucket allows to be sent."""
        if not self.queued:
            return False
        if self.bucket.available_bytes >= OBSERVATION_RESERVE_BYTES:
            return True
        return any(isinstance(broadcast.item, ObservationItem) for broadcast in self.queued.values())

    def add(self, item: Broadcast, transmissions: int) -> None:
        """Queue an item for a number of transmissions, replacing a queued item with the same key."""
        key = key_of(item)
        if key not in self.queued and len(self.queued) >= MAX_QUEUED_BROADCASTS and not self._evict_for(item):
            return
        self.queued[key] = QueuedBroadcast(item, transmissions, priority_of(item))

    def _evict_for(self, item: Broadcast) -> bool:
        """Drop the least urgent queued broadcast; return False, dropping none, if the new item is less urgent."""
        self.dropped_count += 1
        least_urgent = max(
            self.queued, key=lambda key: (self.queued[key].priority, -self.queued[key].transmissions_left)
        )
        if self.queued[least_urgent].priority < priority_of(item):
            return False
        del self.queued[least_urgent]
        return True

    def forward(self, observation: Observation) -> None:
        """Queue a peer's observation with its remaining transmissions; further calls have no effect."""
        if observation.transmissions_left > 0:
            self.add(observation.item, observation.transmissions_left)
            observation.transmissions_left = 0

    def on_duplicate(self, item: Broadcast) -> None:
        """Count the receipt of a queued item from another gateway as one transmission."""
        key = key_of(item)
        broadcast = self.queued.get(key)
        if broadcast is not None and broadcast.item == item:
            self._count_transmission(key, broadcast)

    def _count_transmission(self, key: BroadcastKey, broadcast: QueuedBroadcast) -> None:
        broadcast.transmissions_left -= 1
        if broadcast.transmissions_left <= 0:
            del self.queued[key]

    def take_items(self, items: tuple[Item, ...] = ()) -> tuple[Item, ...]:
        """Return broadcasts that fit into a datagram beside its own `items`; each counts as one transmission."""
        room_bytes = MAX_ITEMS_BYTES - sum(item_size(item) for item in items)
        is_below_reserve = self.bucket.available_bytes < OBSERVATION_RESERVE_BYTES
        own_keys = {key_of(item) for item in items if isinstance(item, ObservationItem | MemberItem)}
        chosen: list[Item] = []
        for key, broadcast in sorted(self.queued.items(), key=_send_order):
            size_bytes = item_size(broadcast.item)
            if size_bytes > room_bytes or key in own_keys:
                continue
            if is_below_reserve and isinstance(broadcast.item, MemberItem):
                continue
            room_bytes -= size_bytes
            chosen.append(broadcast.item)
            self._count_transmission(key, broadcast)
        return tuple(chosen)

    def choose_targets(self, gateways: list[int]) -> list[int]:
        """Draw the targets of a round of broadcasts: more of them while a failure of a host is queued."""
        fanout = unconfirmed_fanout(self.fleet_size) if self.is_urgent else FANOUT
        return shuffled(gateways, self.rng)[:fanout]


def _send_order(entry: tuple[BroadcastKey, QueuedBroadcast]) -> tuple[int, int]:
    broadcast = entry[1]
    return broadcast.priority, -broadcast.transmissions_left
