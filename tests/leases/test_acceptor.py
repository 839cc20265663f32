"""The acceptor's side of quorum leases."""

from __future__ import annotations

from cloverkeel.leases.acceptor import Acceptor
from cloverkeel.leases.ballots import MAX_COUNTER_LEAP, BallotClock
from cloverkeel.leases.messages import Accepted, Prepare, Promised, Propose, RefusalReason, Refused
from tests.leases.helpers import CONFIG, NOW_US, ballot, make_acceptor


def test_a_restarted_voter_does_not_vote_during_its_quarantine() -> None:
    acceptor = Acceptor(NOW_US, CONFIG, BallotClock(0, 0))
    proposal = Propose(7, ballot(1), 1, CONFIG.lease_us)
    assert acceptor.on_propose(NOW_US + CONFIG.lease_us, proposal, 1, 1) is None
    assert acceptor.on_prepare(NOW_US + CONFIG.quarantine_us - 1, Prepare(7, ballot(1), 1), 1, 1) is None
    assert isinstance(acceptor.on_propose(NOW_US + CONFIG.quarantine_us, proposal, 1, 1), Accepted)


def test_an_unexpired_lease_is_refused_to_other_processes_at_any_ballot() -> None:
    acceptor = make_acceptor()
    assert isinstance(acceptor.on_propose(NOW_US, Propose(7, ballot(1), 1, CONFIG.lease_us), 1, 1), Accepted)
    for prepare in (Prepare(7, ballot(9, 2), 1), Prepare(7, ballot(9, 2), 1, consent_ballot=ballot(2))):
        refused = acceptor.on_prepare(NOW_US + 1, prepare, 2, 2)
        assert isinstance(refused, Refused) and refused.reason == RefusalReason.HELD and refused.holder == 1
        assert refused.remaining_us == CONFIG.lease_us - 1
    assert isinstance(acceptor.on_propose(NOW_US + 1, Propose(7, ballot(9, 2), 1, CONFIG.lease_us), 2, 2), Refused)
    # Another process of the same gateway is not the holder.
    assert isinstance(acceptor.on_prepare(NOW_US + 1, Prepare(7, ballot(9), 1), 1, 99), Refused)
    assert isinstance(acceptor.on_prepare(NOW_US + CONFIG.lease_us, Prepare(7, ballot(9, 2), 1), 2, 2), Promised)


def test_a_successor_with_the_holders_consent_gets_a_promise() -> None:
    acceptor = make_acceptor()
    acceptor.on_propose(NOW_US, Propose(7, ballot(1), 1, CONFIG.lease_us), 1, 1)
    assert isinstance(
        acceptor.on_prepare(NOW_US + 1, Prepare(7, ballot(2, 2), 1, consent_ballot=ballot(1)), 2, 2), Promised
    )


def test_promised_ballots_never_decrease_even_after_an_eviction() -> None:
    acceptor = make_acceptor(max_leases=1)
    assert isinstance(acceptor.on_prepare(NOW_US, Prepare(7, ballot(5), 1), 1, 1), Promised)
    low = acceptor.on_prepare(NOW_US, Prepare(7, ballot(4, 2), 1), 2, 2)
    assert isinstance(low, Refused) and low.reason == RefusalReason.BALLOT and low.promised_ballot == ballot(5)
    full = acceptor.on_prepare(NOW_US, Prepare(8, ballot(9), 1), 1, 1)
    assert isinstance(full, Refused) and full.reason == RefusalReason.FULL
    later_us = NOW_US + 61_000_000
    assert isinstance(
        acceptor.on_prepare(later_us, Prepare(8, ballot(6), 1), 1, 1), Promised
    )  # the first lease was evicted
    acceptor.state_by_lease.clear()
    assert isinstance(acceptor.on_prepare(later_us, Prepare(7, ballot(4, 2), 1), 2, 2), Refused)


def test_an_overlong_lease_and_a_ballot_from_the_future_are_refused() -> None:
    acceptor = make_acceptor()
    assert acceptor.can_vote(NOW_US)
    overlong = acceptor.on_propose(NOW_US, Propose(7, ballot(1), 1, CONFIG.lease_us + 1), 1, 1)
    assert isinstance(overlong, Refused) and overlong.reason == RefusalReason.LENGTH
    leap = acceptor.on_prepare(NOW_US, Prepare(7, ballot(2 * MAX_COUNTER_LEAP), 1), 1, 1)
    assert isinstance(leap, Refused) and leap.reason == RefusalReason.LEAP
