"""The proposer's side of quorum leases."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.leases.acceptor import Acceptor
from cloverkeel.leases.ballots import BallotClock
from cloverkeel.leases.lease import Action, LeaseAcquired, LeaseEnded, LeasePhase, NodeRequest, SendMessage
from cloverkeel.leases.messages import Handover, HandoverAck, Message, Prepare, Propose, Release
from cloverkeel.leases.quorum_lease import QuorumLease
from tests.leases.helpers import CONFIG, NOW_US, ballot, make_acceptor


def sent_messages(actions: list[Action], kind: type[Message]) -> list[tuple[int, Message]]:
    return [(a.to, a.message) for a in actions if isinstance(a, SendMessage) and isinstance(a.message, kind)]


@dataclass
class Fleet:
    """Three voters and a few proposers; messages arrive without delay, except at unreachable voters."""

    proposers: list[QuorumLease]
    voters: list[Acceptor] = field(default_factory=lambda: [make_acceptor() for _ in range(3)])
    unreachable: set[int] = field(default_factory=set)  # voters that receive no messages
    events: list[LeaseAcquired | LeaseEnded | NodeRequest] = field(default_factory=list)

    def apply_actions(self, number: int, now_us: int, actions: list[Action]) -> None:
        for action in actions:
            if not isinstance(action, SendMessage):
                self.events.append(action)
                continue
            message = action.message
            if isinstance(message, Handover | HandoverAck):
                other = action.to - 10
                lease = self.proposers[other]
                following = (
                    lease.on_handover(now_us, message)
                    if isinstance(message, Handover) else lease.receive(now_us, message, number + 10)
                )  # fmt: skip
                self.apply_actions(other, now_us, following)
                continue
            if action.to in self.unreachable:
                continue
            acceptor = self.voters[action.to]
            response: Message | None = None
            if isinstance(message, Prepare):
                response = acceptor.on_prepare(now_us, message, number + 10, number)
            elif isinstance(message, Propose):
                response = acceptor.on_propose(now_us, message, number + 10, number)
            elif isinstance(message, Release):
                acceptor.on_release(message)
            if response is not None:
                self.apply_actions(number, now_us, self.proposers[number].receive(now_us, response, action.to))

    def tick(self, number: int, now_us: int) -> None:
        self.apply_actions(number, now_us, self.proposers[number].tick(now_us))


def make_fleet(count: int = 2) -> Fleet:
    fleet = Fleet([QuorumLease(7, CONFIG, BallotClock(n + 10, n), 0.0, lambda: 0.5) for n in range(count)])
    for lease in fleet.proposers:
        lease.set_wanted(NOW_US, True)
    return fleet


def test_a_lease_is_valid_from_the_start_of_its_round() -> None:
    fleet = make_fleet(1)
    (lease,) = fleet.proposers
    prepares = [m for _, m in sent_messages(lease.tick(NOW_US), Prepare)]
    assert isinstance(prepares[0], Prepare)
    proposed: list[Action] = []
    for number in (0, 1):
        promised = fleet.voters[number].on_prepare(NOW_US, prepares[0], 10, 0)
        assert promised is not None
        proposed = lease.receive(NOW_US + 50_000, promised, number)
    (_, proposal), *_ = sent_messages(proposed, Propose)
    assert isinstance(proposal, Propose)
    for number in (0, 1):
        accepted = fleet.voters[number].on_propose(NOW_US + 60_000, proposal, 10, 0)
        assert accepted is not None
        lease.receive(NOW_US + 200_000, accepted, number)  # late
    assert lease.phase is LeasePhase.HELD
    end_us = NOW_US + 50_000 + CONFIG.validity_us
    assert lease.can_act(end_us - 1) and not lease.can_act(end_us)
    assert end_us < NOW_US + 60_000 + CONFIG.lease_us  # the lease ends before it expires at any voter


def test_a_holder_renews_under_the_same_token_and_stops_in_time_if_it_cannot() -> None:
    fleet = make_fleet()
    fleet.tick(0, NOW_US)
    lease, token = fleet.proposers[0], fleet.proposers[0].token
    fleet.tick(0, lease.next_timer_us())
    assert lease.valid_until_us == NOW_US + CONFIG.lease_us // 3 + CONFIG.validity_us and lease.token == token
    fleet.unreachable = {0, 1}
    end_us = lease.valid_until_us
    while lease.next_timer_us() < end_us:
        fleet.tick(0, lease.next_timer_us())
    assert lease.can_act(end_us - 1) and not lease.can_act(end_us)
    fleet.tick(0, end_us)
    assert lease.phase is LeasePhase.LOST and isinstance(fleet.events[-1], LeaseEnded)
    fleet.unreachable = set()
    fleet.tick(1, end_us + CONFIG.lease_us)
    assert fleet.proposers[1].token > token


def test_restarted_voters_with_higher_promises_do_not_end_a_lease() -> None:
    fleet = make_fleet(1)
    fleet.tick(0, NOW_US)
    lease, token = fleet.proposers[0], fleet.proposers[0].token
    later_us = lease.next_timer_us()
    for number in (0, 1):  # the voters restart, having observed higher ballots of other leases
        fleet.voters[number] = make_acceptor(later_us)
        fleet.voters[number].min_promised_ballot = ballot(500, 3)
    fleet.tick(0, later_us)
    assert lease.phase is LeasePhase.HELD and lease.token > token and lease.valid_until_us > later_us


def test_a_handover_takes_effect_at_once_and_the_former_holder_has_stopped() -> None:
    fleet = make_fleet()
    fleet.tick(0, NOW_US)
    old, new = fleet.proposers
    fleet.apply_actions(0, NOW_US + 1, old.hand_over(NOW_US + 1, 11, b"state"))
    assert not old.can_act(NOW_US + 1) and new.can_act(NOW_US + 1) and new.token > old.token
    assert [type(event) for event in fleet.events] == [LeaseAcquired, LeaseAcquired, LeaseEnded] or [
        type(event) for event in fleet.events
    ] == [LeaseAcquired, LeaseEnded, LeaseAcquired]
    acquired = [event for event in fleet.events if isinstance(event, LeaseAcquired)]
    assert acquired[1].state == b"state"


def test_an_unacknowledged_handover_frees_the_lease() -> None:
    fleet = make_fleet()
    fleet.tick(0, NOW_US)
    old, other = fleet.proposers
    now_us = NOW_US + 1
    old.hand_over(now_us, 99, b"")
    while old.phase is LeasePhase.HANDING_OVER:
        now_us = max(now_us + 1, old.next_timer_us())
        actions = old.tick(now_us)
        fleet.apply_actions(0, now_us, [a for a in actions if not (isinstance(a, SendMessage) and a.to == 99)])
        assert not old.can_act(now_us)
    fleet.tick(1, now_us + 1)
    assert other.can_act(now_us + 1)


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32), st.integers(2, 6))
def test_one_of_several_rival_proposers_acquires_the_lease_within_four_leases(seed: int, count: int) -> None:
    """There is no livelock: one proposer holds the lease within four lease durations at 20 % message loss."""
    rng = random.Random(seed)
    fleet = Fleet([QuorumLease(7, CONFIG, BallotClock(n + 10, n), n / count, rng.random) for n in range(count)])
    for lease in fleet.proposers:
        lease.set_wanted(NOW_US, True)
    now_us = NOW_US
    while not any(lease.can_act(now_us) for lease in fleet.proposers):
        now_us = min(lease.next_timer_us() for lease in fleet.proposers)
        assert now_us < NOW_US + 4 * CONFIG.lease_us
        for number, lease in enumerate(fleet.proposers):
            fleet.unreachable = {voter for voter in range(3) if rng.random() < 0.2}
            if lease.next_timer_us() <= now_us:
                fleet.tick(number, now_us)
    assert sum(lease.can_act(now_us) for lease in fleet.proposers) == 1
