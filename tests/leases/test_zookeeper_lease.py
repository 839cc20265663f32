"""Leases by the coordination service: an ephemeral node."""

from __future__ import annotations

from dataclasses import replace

from cloverkeel.leases.lease import Action, LeaseAcquired, LeaseEnded, LeasePhase, NodeOperation, NodeRequest
from cloverkeel.leases.zookeeper_lease import NodeOutcome, NodeResponse, ZookeeperLease
from tests.leases.helpers import NOW_US

LEASE_US = 4_000_000


def make_lease() -> ZookeeperLease:
    made = ZookeeperLease(7, LEASE_US, 0.0, lambda: 0.5)
    made.set_wanted(NOW_US, True)
    return made


def requests_in(actions: list[Action]) -> list[tuple[NodeOperation, int]]:
    return [(a.operation, a.round) for a in actions if isinstance(a, NodeRequest)]


def test_a_lease_counts_from_before_its_write_was_sent() -> None:
    lease = make_lease()
    ((operation, round_),) = requests_in(lease.tick(NOW_US))
    assert operation == NodeOperation.CREATE
    began = lease.on_response(NOW_US + 300_000, NodeResponse(round_, NodeOutcome.OWNED, 50))
    assert began == [LeaseAcquired(7, 50)]
    end_us = NOW_US + lease.validity_us
    assert lease.validity_us <= LEASE_US * 3 // 4 and lease.can_act(end_us - 1) and not lease.can_act(end_us)
    ((operation, again),) = requests_in(lease.tick(lease.next_timer_us()))
    assert (
        operation is NodeOperation.RENEW
        and lease.on_response(lease.next_timer_us(), NodeResponse(round_, NodeOutcome.OWNED, 50)) == []
    )  # an old answer
    assert lease.valid_until_us == end_us
    lease.on_response(NOW_US + 1_000_000, NodeResponse(again, NodeOutcome.OWNED, 50))
    assert lease.valid_until_us > end_us and lease.token == 50


def test_a_create_without_response_is_repeated_and_a_late_node_is_deleted() -> None:
    lease = make_lease()
    ((_, first),) = requests_in(lease.tick(NOW_US))
    lease.on_response(NOW_US + 1, NodeResponse(first, NodeOutcome.FAILED))
    ((operation, second),) = requests_in(lease.tick(lease.next_timer_us()))
    assert operation == NodeOperation.CREATE and second != first
    assert lease.on_response(lease.request_sent_us + 1, NodeResponse(second, NodeOutcome.OWNED, 60)) == [
        LeaseAcquired(7, 60)
    ]
    lease.set_wanted(NOW_US, False)
    late = lease.on_response(lease.request_sent_us + 2, NodeResponse(second, NodeOutcome.OWNED, 60))
    assert requests_in(late) == [(NodeOperation.DELETE, 0)]


def test_a_lease_that_cannot_be_renewed_ends_in_time_and_a_lost_session_at_once() -> None:
    for how in ("time", "session", "gone", "others"):
        lease = make_lease()
        ((_, round_),) = requests_in(lease.tick(NOW_US))
        lease.on_response(NOW_US + 1, NodeResponse(round_, NodeOutcome.OWNED, 50))
        now_us = lease.next_timer_us()
        ((_, renewal),) = requests_in(lease.tick(now_us))
        if how == "time":
            lease.on_response(now_us, NodeResponse(renewal, NodeOutcome.FAILED))  # SUSPENDED
            assert lease.can_act(lease.valid_until_us - 1)
            ended = lease.tick(lease.valid_until_us)
        elif how == "session":
            ended = lease.on_session_lost(now_us)
        else:
            ended = lease.on_response(
                now_us, NodeResponse(renewal, NodeOutcome.MISSING if how == "gone" else NodeOutcome.TAKEN, 51, 3)
            )
        assert isinstance(ended[0], LeaseEnded) and not lease.can_act(now_us)


def after_stale_token(lease: ZookeeperLease, response: NodeResponse) -> list[Action]:
    """An act was refused for epoch 90: it acts no more, and asks the service; operation its answer brings."""
    (ended,) = lease.on_stale_token(NOW_US + 2, 90)
    assert isinstance(ended, LeaseEnded) and not lease.can_act(NOW_US + 2)
    lease.tick(lease.next_timer_us())
    ((_, round_),) = requests_in(lease.tick(lease.next_timer_us()))
    return lease.on_response(NOW_US + 3, replace(response, round=round_))


def test_a_service_restored_from_an_older_state_gives_no_older_token() -> None:
    lease = make_lease()
    ((_, round_),) = requests_in(lease.tick(NOW_US))
    lease.on_response(NOW_US + 1, NodeResponse(round_, NodeOutcome.OWNED, 50))
    assert (
        after_stale_token(lease, NodeResponse(0, NodeOutcome.OWNED, 50)) == [LeaseAcquired(7, 91)]
        and lease.token == 91
    )
    ((_, renewal),) = requests_in(lease.tick(lease.next_timer_us()))
    assert lease.on_response(NOW_US + 3, NodeResponse(renewal, NodeOutcome.OWNED, 50)) == [] and lease.token == 91


def test_two_that_hold_by_the_service_do_not_outbid_one_another() -> None:
    """Its session was ended before its time, and another made the node: a refusal brings nothing above that one's."""
    lease = make_lease()
    ((_, round_),) = requests_in(lease.tick(NOW_US))
    lease.on_response(NOW_US + 1, NodeResponse(round_, NodeOutcome.OWNED, 50))
    assert after_stale_token(lease, NodeResponse(0, NodeOutcome.TAKEN, 90, 3)) == [] and lease.token == 50
    assert lease.phase is LeasePhase.FREE and not lease.can_act(NOW_US + 3)
