"""The broadcast queue and the token bucket: order, number of transmissions and bytes sent."""

from __future__ import annotations

import pytest

from cloverkeel.gossip.dissemination import MAX_QUEUED_BROADCASTS, BroadcastQueue, max_transmissions
from cloverkeel.gossip.messages import MemberItem, MemberStatus, ObservationItem
from cloverkeel.gossip.token_bucket import MAX_SAVED_BYTES, MIN_BYTES_PER_S, ByteTokenBucket
from tests.gossip.helpers import NOW_US, constant_rng, observe


def test_failures_are_sent_before_recoveries_and_each_as_often_as_requested() -> None:
    queue = BroadcastQueue(40, constant_rng)
    queue.add(MemberItem(1, 1, MemberStatus.ALIVE, 1), 2)
    queue.add(observe(2, 0, 3), 2)
    queue.add(MemberItem(3, 1, MemberStatus.DEAD, 1), 2)
    queue.add(observe(4), 2)
    items = queue.take_items()
    assert [type(item) for item in items] == [ObservationItem, MemberItem, ObservationItem, MemberItem]
    assert items[0] == observe(4)
    assert queue.is_urgent
    assert queue.take_items()
    assert not queue.queued
    assert queue.take_items() == ()


def test_duplicates_from_other_gateways_reduce_transmissions() -> None:
    queue = BroadcastQueue(40, constant_rng)
    queue.add(observe(1), 2)
    queue.on_duplicate(observe(1, failures=9))  # same key, but not the same observation
    queue.on_duplicate(observe(1))
    assert len(queue.queued) == 1
    queue.on_duplicate(observe(1))
    assert not queue.queued


def test_full_queue_drops_the_least_urgent_broadcast() -> None:
    queue = BroadcastQueue(200, constant_rng)
    for gateway in range(MAX_QUEUED_BROADCASTS):
        queue.add(MemberItem(gateway, 1, MemberStatus.ALIVE, 1), 3)
    queue.add(observe(1), 3)
    queue.add(MemberItem(60_000, 1, MemberStatus.ALIVE, 1), 3)
    assert len(queue.queued) == MAX_QUEUED_BROADCASTS
    assert queue.dropped_count == 2
    assert queue.is_urgent


def test_member_status_is_not_sent_from_the_reserve_for_observations() -> None:
    queue = BroadcastQueue(200, constant_rng)
    queue.bucket.available_bytes = 100.0
    queue.add(MemberItem(1, 1, MemberStatus.DEAD, 1), 3)
    assert not queue.has_affordable
    assert queue.take_items() == ()
    queue.add(observe(1), 3)
    assert queue.has_affordable
    assert queue.take_items() == (observe(1),)


def test_byte_rate_follows_the_request_rate_and_saved_bytes_are_bounded() -> None:
    bucket = ByteTokenBucket(available_bytes=0.0, refilled_us=NOW_US, rate_measured_us=NOW_US)
    bucket.refill(NOW_US + 1_000_000, 100)
    assert bucket.available_bytes == pytest.approx(MIN_BYTES_PER_S)
    assert bucket.bytes_per_s == pytest.approx(0.1 * 256 * 100)
    bucket.refill(NOW_US + 3_600_000_000, 100)
    assert bucket.available_bytes == MAX_SAVED_BYTES
    assert bucket.bytes_per_s == MIN_BYTES_PER_S
    assert max_transmissions(2) < max_transmissions(200) < 12
