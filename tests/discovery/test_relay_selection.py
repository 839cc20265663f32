"""Selection of the relay that a gateway polls, and the rate of its moves."""

from __future__ import annotations

import itertools
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.discovery.relay_requests import RELAY_HOLD_S, RELAY_GRACE_S
from cloverkeel.discovery.relay_selection import (
    FRESHNESS_CHECK_AGE_S,
    MAX_FAILOVER_DELAY_S,
    MIN_MOVE_INTERVAL_S,
    MAX_FIRST_FAILOVER_DELAY_S,
    MIN_VOLUNTARY_MOVE_INTERVAL_S,
    RelayStatus,
    RelaySelector,
    rank_relays,
)
from cloverkeel.discovery.known_state import (
    MAX_STALENESS_S,
)
from cloverkeel.discovery.poll_schedule import (
    MAX_NOTIFICATION_DELAY_S,
)

RELAYS = [(f"10.0.0.{n}", 7100) for n in range(12)]


def test_gateways_spread_over_relays_and_removing_one_keeps_the_order() -> None:
    first_choices = Counter(rank_relays(f"g{n}", RELAYS)[0] for n in range(4_600))
    assert (
        len(first_choices) == 12
        and max(first_choices.values()) < 1.25 * 4_600 / 12
        and min(first_choices.values()) > 0.75 * 4_600 / 12
    )
    for n in range(50):
        ranked = rank_relays(f"g{n}", RELAYS)
        assert ranked == rank_relays(f"g{n}", RELAYS[::-1])
        assert rank_relays(f"g{n}", [a for a in RELAYS if a != ranked[0]]) == ranked[1:]
    second_choices = Counter(
        rank_relays(f"g{n}", RELAYS)[1] for n in range(4_600) if rank_relays(f"g{n}", RELAYS)[0] == RELAYS[0]
    )
    assert len(second_choices) == 11  # the gateways of a failed relay spread over all others


def test_failover_times_fit_within_their_limits() -> None:
    # Failover time after a silent relay, without the next reply
    assert RELAY_HOLD_S + RELAY_GRACE_S + MAX_FIRST_FAILOVER_DELAY_S < 1.0
    # A partitioned relay is left before a drain is late
    assert MAX_STALENESS_S + 1.0 + MIN_MOVE_INTERVAL_S + 1.0 < MAX_NOTIFICATION_DELAY_S


STEPS = st.tuples(
    st.sampled_from(["fresh", "fresh", "stale", "fails", "silent"]), st.floats(0, 20), st.floats(0, 1)
)  # fmt: skip


@settings(max_examples=300)
@given(st.integers(1, 5), st.floats(0.01, 500), st.lists(STEPS, max_size=80))
def test_rates_of_moves_and_direct_polls_are_bounded_for_any_sequence(
    count: int, direct_interval_s: float, steps: list[tuple[str, float, float]]
) -> None:
    relays, now_s = RelaySelector("g", RELAYS[:count], direct_interval_s), 100.0
    chosen_times_s = [now_s]
    current, direct_polls_s, left_s, failures = relays.choose(now_s), [-1e9], -1e9, 0
    last_result = dict.fromkeys(relays.ranked, "")
    for event, wait_s, jitter in steps:
        requested_s, now_s = now_s, now_s + wait_s * (0.01 if event == "fails" else 0.1)
        if event in ("fails", "silent"):
            failures += 1
            after_s: float | None = relays.on_failure(now_s, event == "silent", jitter)
            assert after_s is not None and 0 <= after_s <= MAX_FAILOVER_DELAY_S
        else:
            age_s = 1.0 if event == "fresh" else MAX_STALENESS_S + wait_s + 0.1
            failures = 0 if current else failures
            after_s = relays.on_answer(now_s, requested_s, age_s, True, jitter)
            checked = relays.next_freshness_check(age_s) if after_s is None else None
            assert checked is None or (checked is not current and age_s > FRESHNESS_CHECK_AGE_S)
            if checked is not None:
                relays.on_freshness(checked, requested_s, None if jitter < 0.3 else jitter * 5)
                last_result[checked] = "fails" if jitter < 0.3 else "checked"
        if current is not None:
            last_result[current] = event
        if after_s is None:
            continue
        now_s += after_s
        is_voluntary = current is not None and event in ("fresh", "stale")
        # The first choice is never left while it is fresh
        assert not (is_voluntary and event == "fresh" and current is relays.ranked[0])
        assert not is_voluntary or now_s - left_s >= MIN_VOLUNTARY_MOVE_INTERVAL_S
        left_s = now_s if is_voluntary else left_s
        assert (
            now_s - chosen_times_s[-1] >= (MAX_FAILOVER_DELAY_S / 2 if failures >= 4 else MIN_MOVE_INTERVAL_S) - 1e-6
        )
        chosen_times_s.append(now_s)
        current = relays.choose(now_s)
        if current is None:
            assert all(result in ("fails", "silent") for result in last_result.values())
            assert now_s - direct_polls_s[-1] >= direct_interval_s - 1e-6
            direct_polls_s.append(now_s)


@given(st.lists(st.tuples(st.sets(st.integers(0, 11), min_size=1), st.booleans(), st.floats(0, 1)), max_size=20))
def test_the_current_relay_is_left_unless_it_is_among_the_replacements(
    turns: list[tuple[set[int], bool, float]],
) -> None:
    relays, now_s, chosen_s = RelaySelector("g", RELAYS, 10.0), 100.0, 100.0
    relays.choose(now_s)
    for numbers, fails, jitter in turns:
        status_by_address, current = {relay.address: relay for relay in relays.ranked}, relays.current
        addresses = [RELAYS[number] for number in numbers]
        after_s = relays.replace(now_s, "g", addresses, 10.0, jitter)
        assert [relay.address for relay in relays.ranked] == rank_relays("g", addresses)
        # The status of remaining relays is kept
        assert all(status_by_address.get(relay.address, relay) is relay for relay in relays.ranked)
        assert (after_s is None) == (current is None or current.address in addresses)
        if after_s is None and fails:
            after_s = relays.on_failure(now_s, False, jitter)
        if after_s is not None:
            now_s += after_s
            assert now_s - chosen_s >= MIN_MOVE_INTERVAL_S - 1e-9 and after_s <= MAX_FAILOVER_DELAY_S
            chosen_s = now_s
            relays.choose(now_s)
        assert relays.current is None or relays.current in relays.ranked


def test_new_relays_are_polled_before_discovery() -> None:
    relays = RelaySelector("g", RELAYS[:1], 10.0)
    relays.choose(0.0)
    now_s = relays.on_failure(0.0, False, 0.5)
    assert relays.direct_due_s is not None
    relays.replace(now_s, "g", RELAYS[1:3], 10.0, 0.5)
    assert relays.direct_due_s is None and relays.choose(1_000.0) is relays.ranked[0]


def test_first_direct_polls_of_a_fleet_are_spread_over_time() -> None:
    """With 10 polls/s and 1,000 gateways, all poll within 100 s, and at most 1.5 times the average in any 10 s."""
    first = []
    for n in range(1_000):
        relays = RelaySelector("g", RELAYS[:1], 100.0)
        relays.choose(0.0)
        relays.on_failure(0.0, False, n / 1_000)
        assert relays.direct_due_s is not None
        first.append(relays.direct_due_s)
    assert max(Counter(int(due_s / 10) for due_s in first).values()) <= 150


def test_a_gateway_returns_to_its_first_choice_and_stays_there() -> None:
    relays = RelaySelector("g", RELAYS[:3], 100.0)
    first = relays.choose(0.0)
    now_s = relays.on_failure(0.0, False, 0.5)
    assert relays.choose(now_s) is relays.ranked[1]
    while relays.on_answer(now_s, now_s, 0.5, True, 0.5) is None:
        now_s += RELAY_HOLD_S
    assert 5.0 < now_s < 25.0 and relays.choose(now_s) is first
    assert relays.on_answer(now_s, now_s, 0.5, True, 0.5) is None


def test_discovery_is_not_polled_once_a_relay_answers() -> None:
    relays = RelaySelector("g", RELAYS[:1], 1.0)
    relays.choose(0.0)
    relays.on_failure(0.0, False, 0.5)
    assert relays.choose(0.4) is not None and relays.on_answer(0.4, 0.4, 0.5, True, 0.5) is None
    assert relays.choose(9.0) is relays.ranked[0]


def test_a_small_fleet_alternates_between_direct_polls_and_relays() -> None:
    """Every second choice is a relay even if discovery may be polled again at once."""
    relays, now_s = RelaySelector("g", RELAYS[:2], 0.01), 0.0
    was_direct: list[bool] = []
    for _ in range(20):
        was_direct.append(relays.choose(now_s) is None)
        if was_direct[-1]:
            after_s = relays.on_answer(now_s + 0.01, now_s, 0.0, False, 0.5)
            assert after_s is not None
        else:
            after_s = relays.on_failure(now_s + 0.01, False, 0.5)
        now_s += 0.01 + after_s
    assert any(was_direct) and not any(first and second for first, second in itertools.pairwise(was_direct))


def reply_once(
    relays: RelaySelector, now_s: float, ages: dict[RelayStatus, float | None], jitter: float
) -> float | None:
    """Let the current relay reply, and make a freshness check if one is due.

    `ages`: the age of each relay's list in seconds; None if the relay does not answer.
    """
    assert relays.current is not None
    age_s = ages[relays.current]
    assert age_s is not None
    after_s = relays.on_answer(now_s, now_s, age_s, True, jitter)
    if after_s is None and (checked := relays.next_freshness_check(age_s)) is not None:
        relays.on_freshness(checked, now_s, ages[checked])
    return after_s


def test_with_all_relays_stale_a_gateway_stays_at_the_freshest() -> None:
    relays, now_s, moves, polls_at_freshest = RelaySelector("g", RELAYS[:4], 100.0), 0.0, 0, 0
    relays.choose(0.0)
    while now_s < 300.0:
        ages: dict[RelayStatus, float | None] = {
            relay: now_s + 30.0 - 10 * place for place, relay in enumerate(relays.ranked)
        }  # fmt: skip
        if reply_once(relays, now_s, ages, 0.1) is not None:
            moves += 1
            relays.choose(now_s)
        polls_at_freshest += relays.current is relays.ranked[-1]
        now_s += RELAY_HOLD_S
    assert moves <= 2 and polls_at_freshest * RELAY_HOLD_S > 290.0


@pytest.mark.parametrize("failed_relays", [0, 1, 2, 3, 6])
def test_a_stale_relay_is_left_in_time_for_a_fresh_one_that_cools_down(failed_relays: int) -> None:
    """All relays just failed; the last recovers when the first is partitioned. A drain must apply within 6 s."""
    relays = RelaySelector("g", RELAYS[: failed_relays + 2], 100.0)
    first, *others = relays.ranked
    relays.choose(0.0)
    now_s = 0.0
    for relay in (*others, first):  # one failed call to each relay
        relays.successor = relay
        relays.choose(now_s)
        now_s += relays.on_failure(now_s, False, 1.0)
    relays.successor = first
    relays.choose(now_s)
    partitioned_s = now_s
    assert all(other.cools_down_until_s > now_s + MAX_NOTIFICATION_DELAY_S for other in others)
    while relays.current is first and now_s - partitioned_s < MAX_NOTIFICATION_DELAY_S:
        ages: dict[RelayStatus, float | None] = dict.fromkeys(others, None)
        ages |= {first: now_s - partitioned_s, others[-1]: 0.3}
        after_s = reply_once(relays, now_s, ages, 1.0)
        now_s += RELAY_HOLD_S if after_s is None else after_s
        if after_s is not None:
            relays.choose(now_s)
    assert relays.current is others[-1] and now_s - partitioned_s < MAX_NOTIFICATION_DELAY_S


def test_a_recovered_relay_is_found_after_a_long_time_with_all_stale() -> None:
    relays, now_s = RelaySelector("g", RELAYS[:3], 100.0), 0.0
    relays.choose(0.0)
    while now_s < 600.0:
        ages: dict[RelayStatus, float | None] = dict.fromkeys(relays.ranked, now_s)
        reply_once(relays, now_s, ages, 1.0)
        now_s += RELAY_HOLD_S
    assert relays.current is relays.ranked[0]
    while relays.current is relays.ranked[0] and now_s < 610.0:
        ages = dict.fromkeys(relays.ranked, now_s)
        ages[relays.ranked[2]] = 0.3
        after_s = reply_once(relays, now_s, ages, 1.0)
        now_s += RELAY_HOLD_S if after_s is None else after_s
        if after_s is not None:
            relays.choose(now_s)
    assert relays.current is relays.ranked[2] and now_s < 600.0 + 3.0
