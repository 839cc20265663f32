"""Observations from peers: merging, age, and the assessment of a host."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.gossip.messages import MASK32, HostProcess, ObservationItem
from cloverkeel.gossip.outcome_window import (
    MAX_HOSTS,
    OBSERVATION_LIFETIME_US,
    RECOVERY_STREAK,
    LocalOutcomes,
    OutcomeTotals,
)
from cloverkeel.gossip.outlier_reports import (
    MAX_REPORTERS_PER_HOST,
    Assessment,
    Observation,
    PeerObservations,
    assess,
    is_newer,
)
from cloverkeel.gossip.peer_clock import PeerClock, timestamp_difference_ms, timestamp_ms_of
from tests.gossip.helpers import HOST, NOW_US, observe

u8 = st.integers(0, 255)
# Tuples of (reporter, incarnation, age in ms, successes, failures).
reports = st.tuples(st.integers(1, 3), st.integers(1, 2), st.integers(0, 1500), u8, u8)


@given(st.lists(reports, max_size=12), st.randoms())
def test_merging_observations_is_independent_of_order_and_repetition(
    drawn: list[tuple[int, int, int, int, int]], rng: random.Random
) -> None:
    """The newest observation of each reporter counts, ordered by incarnation, then timestamp."""
    items = [
        observe(reporter, failures, successes, NOW_US - age_ms * 1000, incarnation=incarnation)
        for reporter, incarnation, age_ms, successes, failures in drawn
    ]
    merged = []
    for repeats in range(2):
        observations = PeerObservations()
        for reporter in range(1, 4):  # the newest incarnation of each reporter has sent a datagram
            newest = max((item.incarnation for item in items if item.reporter == reporter), default=1)
            observations.clocks.observe(NOW_US, reporter, newest, timestamp_ms_of(NOW_US))
        received = items * (1 + repeats)
        rng.shuffle(received)
        for item in received:
            observations.merge(NOW_US, item)
        by_reporter = observations.observations_by_host.get(HOST, {})
        merged.append({reporter: observation.item for reporter, observation in by_reporter.items()})
    assert merged[0] == merged[1]
    for reporter, item in merged[0].items():
        assert not any(is_newer(other, item) for other in items if other.reporter == reporter)


@given(st.integers(0, 2**40), st.integers(0, 2**40), st.integers(0, 90_000), st.floats(-1e-3, 1e-3))
def test_age_is_measured_against_the_fastest_path_despite_clock_offset_and_drift(
    own_clock_us: int, peer_clock_us: int, age_ms: int, drift: float
) -> None:
    base_offset_ms = (timestamp_ms_of(own_clock_us) - timestamp_ms_of(peer_clock_us)) & MASK32
    clock = PeerClock(1, base_offset_ms, period_started_us=own_clock_us)
    for second in range(0, 100, 10):  # timestamps that are received without delay
        clock.observe(
            own_clock_us + second * 1_000_000, timestamp_ms_of(peer_clock_us + int(second * 1e6 * (1 + drift)))
        )
    now_us = own_clock_us + 100_000_000
    timestamp_ms = timestamp_ms_of(peer_clock_us + int((100_000_000 - age_ms * 1000) * (1 + drift)))
    assert abs(clock.age_ms(now_us, timestamp_ms) - age_ms) <= 202  # up to 0.1% of the time since the minimum delay


def test_timestamps_wrap_around() -> None:
    assert timestamp_difference_ms(5, MASK32 - 4) == 10
    assert timestamp_difference_ms(MASK32 - 4, 5) == -10


def test_observation_received_a_minute_late_is_ignored() -> None:
    observations = PeerObservations()
    observations.clocks.observe(NOW_US, 1, 1, timestamp_ms_of(NOW_US))
    assert observations.merge(NOW_US + 60_000_000, observe(1, at_us=NOW_US)) is None
    assert observations.late_count == 1


def test_restarted_reporter_replaces_its_observations_and_older_ones_are_stale() -> None:
    observations = PeerObservations()
    assert observations.merge(NOW_US, observe(1, failures=3)) is not None
    assert observations.merge(NOW_US + 1000, observe(1, 0, 2, NOW_US + 1000, incarnation=2)) is not None
    assert observations.merge(NOW_US + 2000, observe(1, failures=9, at_us=NOW_US + 2000)) is None
    live = observations.live_observations(NOW_US + 2000, HOST)
    assert [observation.item.failures for observation in live] == [0]


def test_numbers_of_hosts_and_reporters_are_bounded() -> None:
    observations, local = PeerObservations(), LocalOutcomes()
    for host in range(2 * MAX_HOSTS):
        observations.merge(NOW_US, observe(1, host=HostProcess(host, 0)))
        local.record(NOW_US, HostProcess(host, 0), False)
    assert len(observations.observations_by_host) == MAX_HOSTS
    assert len(local.window_by_host) == MAX_HOSTS
    for reporter in range(100):
        observations.merge(NOW_US, observe(reporter, host=HostProcess(0, 0)))
    assert len(observations.observations_by_host[HostProcess(0, 0)]) == MAX_REPORTERS_PER_HOST
    assert observations.expire(NOW_US + OBSERVATION_LIFETIME_US)
    assert not observations.observations_by_host


def test_first_failure_clears_successes_and_three_successes_clear_failures() -> None:
    local = LocalOutcomes()
    for _ in range(9):
        local.record(NOW_US, HOST, True)
    local.record(NOW_US, HOST, False)
    assert local.totals(NOW_US, HOST) == (0, 1)  # earlier successes do not count
    local.record(NOW_US, HOST, True)
    assert local.totals(NOW_US, HOST) == (1, 1)
    for _ in range(RECOVERY_STREAK - 1):
        local.record(NOW_US, HOST, True)
    assert local.totals(NOW_US, HOST) == (RECOVERY_STREAK, 0)
    assert local.has_just_recovered(HOST)
    assert local.totals(NOW_US + OBSERVATION_LIFETIME_US, HOST) == (0, 0)


def observations_of(*items: ObservationItem, at_us: int = NOW_US) -> list[Observation]:
    return [Observation(item, at_us) for item in items]


def test_suspected_outlier_needs_two_reporters() -> None:
    assert not assess(NOW_US, observations_of(observe(1, failures=200)), 0).is_suspected_outlier
    assert assess(NOW_US, observations_of(observe(1), observe(2)), 0).is_suspected_outlier


def test_reporter_for_which_all_hosts_fail_has_low_credibility() -> None:
    not_credible = [observe(reporter, failures=9, failure_ratio=230) for reporter in (1, 2)]
    assessment = assess(NOW_US, observations_of(*not_credible, observe(3)), 0)
    assert assessment.failure_reporters == 1
    assert not assessment.is_suspected_outlier


def test_host_that_is_healthy_from_a_zone_is_not_suspected_there() -> None:
    other_zone = observations_of(observe(1, failures=5, zone=1), observe(2, failures=5, zone=1))
    own_zone = observations_of(observe(3, 0, 2, zone=0))
    assert assess(NOW_US, other_zone, 0).is_suspected_outlier  # no observation from zone 0
    assert not assess(NOW_US, other_zone + own_zone, 0).is_suspected_outlier
    assert not assess(NOW_US, other_zone, 0, local=OutcomeTotals(1, 0)).is_suspected_outlier
    assert assess(NOW_US, other_zone + own_zone, 2).is_suspected_outlier  # no observation from zone 2


def test_older_observations_have_less_weight_and_expire() -> None:
    old_us = NOW_US - OBSERVATION_LIFETIME_US * 9 // 10
    old = observations_of(observe(1, failures=2), observe(2, failures=2), at_us=old_us)
    assert not assess(NOW_US, old + observations_of(observe(3, 0, 2)), 0).is_suspected_outlier
    assert assess(NOW_US, old, 0).expires_us == NOW_US + OBSERVATION_LIFETIME_US // 10
    end_us = NOW_US + OBSERVATION_LIFETIME_US
    assert assess(end_us, old, 0) == Assessment(0.0, 0.0, 0, 0, end_us)
