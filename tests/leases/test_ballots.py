"""Ballots: a Lamport clock that also follows the wall clock."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.leases.ballots import (
    COUNTER_STEP_US,
    MAX_COUNTER,
    MAX_COUNTER_LEAP,
    MAX_GATEWAYS,
    BallotClock,
    counter_of,
    gateway_of,
)
from tests.leases.helpers import NOW_US


@given(
    st.lists(st.integers(-(10**15), 10**15), min_size=1, max_size=30),
    st.integers(0, MAX_GATEWAYS - 1),
    st.integers(0, 2**32 - 1),
)
def test_ballots_increase_even_if_the_wall_clock_jumps(steps: list[int], number: int, random_bits: int) -> None:
    clock, now_us, before = BallotClock(number, random_bits), NOW_US, 0
    for step in steps:
        now_us = max(0, now_us + step)
        ballot = clock.next_ballot(now_us)
        assert before < ballot < 2**60 or counter_of(ballot) == MAX_COUNTER
        assert gateway_of(ballot) == number
        before = ballot


def test_a_clock_follows_observed_counters_except_for_leaps() -> None:
    clock = BallotClock(1, 2)
    first = counter_of(clock.next_ballot(NOW_US))
    assert clock.observe(NOW_US, first + 3_600_000_000 // COUNTER_STEP_US)  # the counter of a clock an hour ahead
    assert counter_of(clock.next_ballot(NOW_US)) == first + 3_600_000_000 // COUNTER_STEP_US + 1
    assert not clock.observe(NOW_US, clock.highest + MAX_COUNTER_LEAP + 1) and clock.rejected_leaps == 1
