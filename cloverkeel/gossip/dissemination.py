"""Broadcasts that wait to be piggybacked on datagrams: in which order, how often, to how many. Pure.

The infection-style dissemination of SWIM (Das, Gupta, Motivala 2002, section 4.1), as memberlist's broadcast queue:
each item leaves this gateway a bounded number of times, some multiple of the logarithm of the fleet's size.

Invariants:
- each broadcast leaves this gateway a fixed number of times at the most, and the most urgent first;
- at most MAX_QUEUED_BROADCASTS wait; the least urgent gives way;
- status of members is not sent from the last OBSERVATION_RESERVE_BYTES of the token bucket.
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

UNCONFIRMED_FANOUT: Final = 3  # gateways that hear of a failure that nobody has confirmed
SMALL_FLEET_SIZE: Final = 8  # gateways: all of so few do
FANOUT: Final = 2  # gateways that a round of broadcasts goes to
EXTRA_TRANSMISSIONS: Final = 2  # over the logarithm: some are lost
OBSERVATION_RESERVE_BYTES: Final = 8_000.0  # of the bucket, kept for observations of hosts
MAX_QUEUED_BROADCASTS: Final = 256
NO_REPORTER: Final = -1


def max_transmissions(fleet_size: int) -> int:
    """Return how often each gateway forwards an item at the most, so that all get it though some are lost."""
    return math.ceil(math.log(max(2, fleet_size))) + EXTRA_TRANSMISSIONS


def unconfirmed_fanout(fleet_size: int) -> int:
    """Return how many gateways are sent what nobody has confirmed."""
    return fleet_size - 1 if fleet_size <= SMALL_FLEET_SIZE else UNCONFIRMED_FANOUT


Broadcast = ObservationItem | MemberItem  # what goes to all; other items are between two gateways


class BroadcastPriority(IntEnum):
    """Urgency of a broadcast: the lowest first. Restrictions come before what lifts them."""

    HOST_FAILURE = 0
    MEMBER_DOWN = 1
    HOST_SUCCESS = 2
    MEMBER_ALIVE = 3


class MemberKey(NamedTuple):
    """What a status of a gateway replaces: each accuser's suspicion is kept apart."""

    gateway: int
    accuser: int


class ObservationKey(NamedTuple):
    """What an observation replaces."""

    reporter: int
    process: HostProcess


BroadcastKey = MemberKey | ObservationKey


@dataclass(slots=True)
class QueuedBroadcast:
    """An item and how often it is still to be sent."""

    item: Broadcast
    transmissions_left: int
    priority: BroadcastPriority


def priority_of(item: Broadcast) -> BroadcastPriority:
    """Return an item's urgency."""
    if isinstance(item, ObservationItem):
        return BroadcastPriority.HOST_FAILURE if item.failures else BroadcastPriority.HOST_SUCCESS
    if item.status != MemberStatus.ALIVE:
        return BroadcastPriority.MEMBER_DOWN
    return BroadcastPriority.MEMBER_ALIVE


def key_of(item: Broadcast) -> BroadcastKey:
    """Return what an item is about: a newer one with the same key replaces it."""
    if isinstance(item, MemberItem):
        is_suspicion = item.status == MemberStatus.SUSPECT
        return MemberKey(item.gateway, item.reporter if is_suspicion else NO_REPORTER)
    return ObservationKey(item.reporter, item.process)


class BroadcastQueue:
    """Broadcasts that wait, and the token bucket that pays for datagrams."""

    def __init__(self, fleet_size: int, rng: UniformRandom) -> None:
        self.fleet_size, self.rng = fleet_size, rng
        self.queued: dict[BroadcastKey, QueuedBroadcast] = {}
        self.bucket = ByteTokenBucket()
        self.dropped_count = 0  # for want of room

    @property
    def is_urgent(self) -> bool:
        """Whether a failure of a host waits."""
        return any(broadcast.priority == BroadcastPriority.HOST_FAILURE for broadcast in self.queued.values())

    @property
    def has_affordable(self) -> bool:
        """Whether something waits that the bucket pays for."""
        if not self.queued:
            return False
        if self.bucket.available_bytes >= OBSERVATION_RESERVE_BYTES:
            return True
        return any(isinstance(broadcast.item, ObservationItem) for broadcast in self.queued.values())

    def add(self, item: Broadcast, transmissions: int) -> None:
        """Queue an item to be sent so often; it replaces one with the same key."""
        key = key_of(item)
        if key not in self.queued and len(self.queued) >= MAX_QUEUED_BROADCASTS and not self._make_room(item):
            return
        self.queued[key] = QueuedBroadcast(item, transmissions, priority_of(item))

    def _make_room(self, item: Broadcast) -> bool:
        """Drop the least urgent broadcast; False where that is the item itself."""
        self.dropped_count += 1
        least_urgent = max(
            self.queued, key=lambda key: (self.queued[key].priority, -self.queued[key].transmissions_left)
        )
        if self.queued[least_urgent].priority < priority_of(item):
            return False
        del self.queued[least_urgent]
        return True

    def forward(self, observation: Observation) -> None:
        """Queue a peer's observation, once."""
        if observation.transmissions_left > 0:
            self.add(observation.item, observation.transmissions_left)
            observation.transmissions_left = 0

    def on_duplicate(self, item: Broadcast) -> None:
        """Count an item that came from another gateway too as one transmission."""
        key = key_of(item)
        broadcast = self.queued.get(key)
        if broadcast is not None and broadcast.item == item:
            self._count_transmission(key, broadcast)

    def _count_transmission(self, key: BroadcastKey, broadcast: QueuedBroadcast) -> None:
        broadcast.transmissions_left -= 1
        if broadcast.transmissions_left <= 0:
            del self.queued[key]

    def take_items(self, items: tuple[Item, ...] = ()) -> tuple[Item, ...]:
        """Return what fits into one datagram beside its own items; each counts as one transmission."""
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
        """Draw whom a round of broadcasts goes to: more gateways where a failure waits."""
        fanout = unconfirmed_fanout(self.fleet_size) if self.is_urgent else FANOUT
        return shuffled(gateways, self.rng)[:fanout]


def _send_order(entry: tuple[BroadcastKey, QueuedBroadcast]) -> tuple[int, int]:
    broadcast = entry[1]
    return broadcast.priority, -broadcast.transmissions_left
