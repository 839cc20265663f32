"""Leases in ZooKeeper: an ephemeral node."""

from __future__ import annotations

from dataclasses import replace

from cloverkeel.leases.lease import Action, LeaseAcquired, LeaseEnded, LeasePhase, NodeOperation, NodeRequest
from cloverkeel.leases.zookeeper_lease import NodeOutcome, NodeResponse, ZookeeperLease
from tests.leases.helpers import NOW_US

LEASE_US = 4_000_000


def make_lease() -> ZookeeperLease:
    lease = ZookeeperLease(7, LEASE_US, 0.0, lambda: 0.5)
    lease.set_wanted(NOW_US, True)
    return lease


def requests_in(actions: list[Action]) -> list[tuple[NodeOperation, int]]:
    return [(a.operation, a.round) for a in actions if isinstance(a, NodeRequest)]


def test_a_lease_is_valid_from_before_its_write_was_sent() -> None:
    lease = make_lease()
    ((operation, round_),) = requests_in(lease.tick(NOW_US))
    assert operation == NodeOperation.CREATE
    actions = lease.on_response(NOW_US + 300_000, NodeResponse(round_, NodeOutcome.OWNED, 50))
    assert actions == [LeaseAcquired(7, 50)]
    end_us = NOW_US + lease.validity_us
    assert lease.validity_us <= LEASE_US * 3 // 4 and lease.can_act(end_us - 1) and not lease.can_act(end_us)
    ((operation, renewal),) = requests_in(lease.tick(lease.next_timer_us()))
    assert (
        operation is NodeOperation.RENEW
        and lease.on_response(lease.next_timer_us(), NodeResponse(round_, NodeOutcome.OWNED, 50)) == []
    )  # a response to an older request
    assert lease.valid_until_us == end_us
    lease.on_response(NOW_US + 1_000_000, NodeResponse(renewal, NodeOutcome.OWNED, 50))
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


def test_a_lease_that_cannot_be_renewed_ends_in_time_and_a_lost_session_ends_it_at_once() -> None:
    for cause in ("time", "session", "missing", "taken"):
        lease = make_lease()
        ((_, round_),) = requests_in(lease.tick(NOW_US))
        lease.on_response(NOW_US + 1, NodeResponse(round_, NodeOutcome.OWNED, 50))
        now_us = lease.next_timer_us()
        ((_, renewal),) = requests_in(lease.tick(now_us))
        if cause == "time":
            lease.on_response(now_us, NodeResponse(renewal, NodeOutcome.FAILED))  # the session is suspended
            assert lease.can_act(lease.valid_until_us - 1)
            ended = lease.tick(lease.valid_until_us)
        elif cause == "session":
            ended = lease.on_session_lost(now_us)
        else:
            ended = lease.on_response(
                now_us,
                NodeResponse(renewal, NodeOutcome.MISSING if cause == "missing" else NodeOutcome.TAKEN, 51, 3),
            )
        assert isinstance(ended[0], LeaseEnded) and not lease.can_act(now_us)


def after_stale_token(lease: ZookeeperLease, response: NodeResponse) -> list[Action]:
    """Let token 90 cause a reply to be rejected, so that the holder stops and asks the service.

    Return the actions that the service's response causes.
    """
    (ended,) = lease.on_stale_token(NOW_US + 2, 90)
    assert isinstance(ended, LeaseEnded) and not lease.can_act(NOW_US + 2)
    lease.tick(lease.next_timer_us())
    ((_, round_),) = requests_in(lease.tick(lease.next_timer_us()))
    return lease.on_response(NOW_US + 3, replace(response, round=round_))


def test_a_service_restored_from_an_older_state_leads_to_no_older_token() -> None:
    lease = make_lease()
    ((_, round_),) = requests_in(lease.tick(NOW_US))
    lease.on_response(NOW_US + 1, NodeResponse(round_, NodeOutcome.OWNED, 50))
    assert (
        after_stale_token(lease, NodeResponse(0, NodeOutcome.OWNED, 50)) == [LeaseAcquired(7, 91)]
        and lease.token == 91
    )
    ((_, renewal),) = requests_in(lease.tick(lease.next_timer_us()))
    assert lease.on_response(NOW_US + 3, NodeResponse(renewal, NodeOutcome.OWNED, 50)) == [] and lease.token == 91


def test_two_zookeeper_holders_do_not_outbid_each_other() -> None:
    """The holder's session was ended early, and another gateway created the node.

    After a rejected reply the former holder must not raise its token above the new holder's.
    """
    lease = make_lease()
    ((_, round_),) = requests_in(lease.tick(NOW_US))
    lease.on_response(NOW_US + 1, NodeResponse(round_, NodeOutcome.OWNED, 50))
    assert after_stale_token(lease, NodeResponse(0, NodeOutcome.TAKEN, 90, 3)) == [] and lease.token == 50
    assert lease.phase is LeasePhase.FREE and not lease.can_act(NOW_US + 3)
