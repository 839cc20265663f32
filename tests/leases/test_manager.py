"""Lease managers of several gateways that exchange messages."""

from __future__ import annotations

from cloverkeel.leases.lease import NEVER_US, LeasePhase, SendMessage
from cloverkeel.leases.manager import MAX_REQUESTS
from cloverkeel.leases.messages import Header, LeaderReply, Prepare, StaleTokenNotice
from cloverkeel.leases.placement import lease_id_of, rendezvous_score
from cloverkeel.leases.reports import REPORTER_TIMEOUT_US
from tests.leases.helpers import NOW_US, StubTask, ballot, make_manager


class Fleet:
    """Managers whose messages are delivered without delay."""

    def __init__(self, count: int) -> None:
        self.managers = [make_manager(number, count) for number in range(count)]
        self.unreachable: set[int] = set()

    def deliver(self, now_us: int) -> None:
        while any(manager.outbox.messages for manager in self.managers):
            for manager in self.managers:
                for sent in manager.outbox.take_messages():
                    is_lost = bool({manager.process.gateway, sent.to} & self.unreachable)
                    if sent.to < len(self.managers) and not is_lost:
                        self.managers[sent.to].receive(now_us, manager.header(), sent.message)

    def run(self, now_us: int, until_us: int) -> None:
        while now_us < until_us:
            now_us += 20_000
            for manager in self.managers:
                manager.tick(now_us)
            self.deliver(now_us)


def holders(fleet: Fleet, lease_id: int, now_us: int) -> list[int]:
    return [manager.process.gateway for manager in fleet.managers if manager.can_act(now_us, lease_id)]


def test_leases_are_spread_and_only_those_of_a_lost_gateway_move() -> None:
    fleet = Fleet(8)
    names = [f"warden/{n}/0" for n in range(40)]
    for manager in fleet.managers:
        for name in names:
            manager.request_lease(NOW_US, name, StubTask())
    fleet.run(NOW_US, NOW_US + 10_000_000)
    before = {name: holders(fleet, lease_id_of(name), NOW_US + 10_000_000) for name in names}
    assert all(len(found) == 1 for found in before.values())
    assert len({found[0] for found in before.values()}) >= 6
    fleet.unreachable = {7}
    fleet.run(NOW_US + 10_000_000, NOW_US + 20_000_000)
    for name, (holder,) in before.items():
        found = [number for number in holders(fleet, lease_id_of(name), NOW_US + 20_000_000) if number != 7]
        assert found == [holder] if holder != 7 else len(found) == 1


def test_a_gateway_that_stalls_repeatedly_hands_over() -> None:
    fleet = Fleet(4)
    (lease_id,) = {manager.request_lease(NOW_US, "warden/1/0", StubTask()) for manager in fleet.managers}
    at_us = NOW_US + 6_000_000
    fleet.run(NOW_US, at_us)
    (first,) = holders(fleet, lease_id, at_us)
    assert len(fleet.managers[first].request_by_lease[lease_id].reported_us_by_gateway) == 3
    fleet.managers[first].on_stall(at_us)
    assert holders(fleet, lease_id, at_us) == [first]
    fleet.managers[first].on_stall(at_us + 1)
    fleet.deliver(at_us + 1)
    (second,) = holders(fleet, lease_id, at_us + 1)
    alive = [number for number in sorted(range(4), key=lambda n: rendezvous_score(lease_id, n)) if number != first]
    assert second == alive[0]


def test_a_holder_whose_reply_was_rejected_continues_above_the_newest_token() -> None:
    fleet = Fleet(3)
    (lease_id,) = {manager.request_lease(NOW_US, "warden/1/0", StubTask()) for manager in fleet.managers}
    at_us = NOW_US + 6_000_000
    fleet.run(NOW_US, at_us)
    (first,) = holders(fleet, lease_id, at_us)
    seen = ballot(100_000, 2)
    other = fleet.managers[(first + 1) % 3]
    other.fencing.admit(lease_id, seen, 99)  # a newer token of an unknown process
    fleet.run(at_us, at_us + 1_000_000)
    assert other.counters.stale_replies >= 1
    assert holders(fleet, lease_id, at_us + 1_000_000) == [first]
    assert fleet.managers[first].request_by_lease[lease_id].lease.token > seen


def test_an_excluded_gateway_holds_no_lease_and_requests_are_limited() -> None:
    fleet = Fleet(3)
    for manager in fleet.managers:
        manager.set_excluded(NOW_US, True)
        manager.request_lease(NOW_US, "warden/1/0", StubTask())
    fleet.run(NOW_US, NOW_US + 8_000_000)
    lease_id = lease_id_of("warden/1/0")
    assert not holders(fleet, lease_id, NOW_US + 8_000_000)
    for manager in fleet.managers:
        manager.set_excluded(NOW_US + 8_000_000, False)
    fleet.run(NOW_US + 8_000_000, NOW_US + 16_000_000)
    assert len(holders(fleet, lease_id, NOW_US + 16_000_000)) == 1
    for manager in fleet.managers:
        manager.set_excluded(NOW_US + 16_000_000, True)
    fleet.deliver(NOW_US + 16_000_000)
    # A gateway that is excluded while it acquires a lease must not get it.
    proposer = fleet.managers[1]
    proposer.set_excluded(NOW_US + 40_000_000, False)
    proposer.tick(NOW_US + 50_000_000)
    assert proposer.request_by_lease[lease_id].lease.phase is LeasePhase.ACQUIRING
    proposer.set_excluded(NOW_US + 50_000_000, True)
    fleet.deliver(NOW_US + 50_000_000)
    assert not holders(fleet, lease_id, NOW_US + 50_000_000)
    for number in range(2 * MAX_REQUESTS):
        fleet.managers[0].request_lease(NOW_US, f"warden/{number + 2}/0", StubTask())
    assert (
        len(fleet.managers[0].request_by_lease) == MAX_REQUESTS and fleet.managers[0].counters.rejected_requests > 0
    )


def test_a_different_number_of_voters_gets_no_answer_and_an_older_token_is_rejected() -> None:
    manager = make_manager(0)
    lease_id = manager.request_lease(NOW_US, "warden/1/0", StubTask())
    manager.receive(NOW_US, Header(5, 1, 1, 0), Prepare(lease_id, ballot(1), 1))
    assert not manager.outbox.messages and manager.counters.rejected_headers == 1
    manager.outbox.take_messages()
    manager.receive(NOW_US, Header(3, 1, 1, 0), LeaderReply(lease_id, 10, 1, 1))
    manager.receive(NOW_US, Header(3, 2, 1, 0), LeaderReply(lease_id, 9, 1, 1))
    assert (
        manager.counters.stale_replies == 1
        and SendMessage(2, StaleTokenNotice(lease_id, 10)) in manager.outbox.messages
    )
    assert REPORTER_TIMEOUT_US < NEVER_US
