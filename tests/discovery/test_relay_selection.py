"""Which relay a gateway behind relays asks, and how often."""

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

TWELVE = [(f"10.0.0.{n}", 7100) for n in range(12)]


def test_gateways_spread_over_relays_and_removing_one_keeps_the_order() -> None:
    firsts = Counter(rank_relays(f"g{n}", TWELVE)[0] for n in range(4_600))
    assert len(firsts) == 12 and max(firsts.values()) < 1.25 * 4_600 / 12 and min(firsts.values()) > 0.75 * 4_600 / 12
    for n in range(50):
        order = rank_relays(f"g{n}", TWELVE)
        assert order == rank_relays(f"g{n}", TWELVE[::-1])
        assert rank_relays(f"g{n}", [a for a in TWELVE if a != order[0]]) == order[1:]
    seconds = Counter(
        rank_relays(f"g{n}", TWELVE)[1] for n in range(4_600) if rank_relays(f"g{n}", TWELVE)[0] == TWELVE[0]
    )
    assert len(seconds) == 11  # who loses one spreads over all others


def test_failover_times_fit_within_their_limits() -> None:
    assert (
        RELAY_HOLD_S + RELAY_GRACE_S + MAX_FIRST_FAILOVER_DELAY_S < 1.0
    )  # what a silent relay costs, but for an answer
    assert (
        MAX_STALENESS_S + 1.0 + MIN_MOVE_INTERVAL_S + 1.0 < MAX_NOTIFICATION_DELAY_S
    )  # a relay cut off is left for another before a drain is late


STEPS = st.tuples(
    st.sampled_from(["fresh", "fresh", "stale", "fails", "silent"]), st.floats(0, 20), st.floats(0, 1)
)  # fmt: skip


@settings(max_examples=300)
@given(st.integers(1, 5), st.floats(0.01, 500), st.lists(STEPS, max_size=80))
def test_rates_of_moves_and_direct_polls_are_bounded_for_any_sequence(
    count: int, every_s: float, steps: list[tuple[str, float, float]]
) -> None:
    relays, now_s = RelaySelector("g", TWELVE[:count], every_s), 100.0
    chosen = [now_s]
    at, direct_s, left_s, fails = relays.choose(now_s), [-1e9], -1e9, 0
    last = dict.fromkeys(relays.ranked, "")
    for what, wait_s, chance in steps:
        asked_s, now_s = now_s, now_s + wait_s * (0.01 if what == "fails" else 0.1)
        if what in ("fails", "silent"):
            fails += 1
            after_s: float | None = relays.on_failure(now_s, what == "silent", chance)
            assert after_s is not None and 0 <= after_s <= MAX_FAILOVER_DELAY_S
        else:
            age_s = 1.0 if what == "fresh" else MAX_STALENESS_S + wait_s + 0.1
            fails = 0 if at else fails
            after_s = relays.on_answer(now_s, asked_s, age_s, True, chance)
            looked = relays.next_freshness_check(age_s) if after_s is None else None
            assert looked is None or (looked is not at and age_s > FRESHNESS_CHECK_AGE_S)
            if looked is not None:
                relays.on_freshness(looked, asked_s, None if chance < 0.3 else chance * 5)
                last[looked] = "fails" if chance < 0.3 else "looked at"
        if at is not None:
            last[at] = what
        if after_s is None:
            continue
        now_s += after_s
        voluntary = at is not None and what in ("fresh", "stale")
        assert not (voluntary and what == "fresh" and at is relays.ranked[0])  # never from its first choice
        assert not voluntary or now_s - left_s >= MIN_VOLUNTARY_MOVE_INTERVAL_S
        left_s = now_s if voluntary else left_s
        assert now_s - chosen[-1] >= (MAX_FAILOVER_DELAY_S / 2 if fails >= 4 else MIN_MOVE_INTERVAL_S) - 1e-6
        chosen.append(now_s)
        at = relays.choose(now_s)
        if at is None:
            assert all(word in ("fails", "silent") for word in last.values())
            assert now_s - direct_s[-1] >= every_s - 1e-6
            direct_s.append(now_s)


@given(st.lists(st.tuples(st.sets(st.integers(0, 11), min_size=1), st.booleans(), st.floats(0, 1)), max_size=20))
def test_the_current_relay_is_left_unless_it_is_among_the_replacements(
    turns: list[tuple[set[int], bool, float]],
) -> None:
    relays, now_s, chosen_s = RelaySelector("g", TWELVE, 10.0), 100.0, 100.0
    relays.choose(now_s)
    for numbers, fails, chance in turns:
        seen, at = {relay.address: relay for relay in relays.ranked}, relays.current
        named_now = [TWELVE[number] for number in numbers]
        after_s = relays.replace(now_s, "g", named_now, 10.0, chance)
        assert [relay.address for relay in relays.ranked] == rank_relays("g", named_now)
        assert all(seen.get(relay.address, relay) is relay for relay in relays.ranked)  # what was seen is kept
        assert (after_s is None) == (at is None or at.address in named_now)
        if after_s is None and fails:
            after_s = relays.on_failure(now_s, False, chance)
        if after_s is not None:
            now_s += after_s
            assert now_s - chosen_s >= MIN_MOVE_INTERVAL_S - 1e-9 and after_s <= MAX_FAILOVER_DELAY_S
            chosen_s = now_s
            relays.choose(now_s)
        assert relays.current is None or relays.current in relays.ranked


def test_new_relays_are_polled_before_discovery() -> None:
    relays = RelaySelector("g", TWELVE[:1], 10.0)
    relays.choose(0.0)
    now_s = relays.on_failure(0.0, False, 0.5)
    assert relays.direct_due_s is not None
    relays.replace(now_s, "g", TWELVE[1:3], 10.0, 0.5)
    assert relays.direct_due_s is None and relays.choose(1_000.0) is relays.ranked[0]


def test_first_direct_polls_of_a_fleet_are_spread_over_time() -> None:
    """10 a second of 1,000 gateways: all have asked after 100 s, and no ten seconds saw half as many again."""
    first = []
    for n in range(1_000):
        relays = RelaySelector("g", TWELVE[:1], 100.0)
        relays.choose(0.0)
        relays.on_failure(0.0, False, n / 1_000)
        assert relays.direct_due_s is not None
        first.append(relays.direct_due_s)
    assert max(Counter(int(due_s / 10) for due_s in first).values()) <= 150


def test_a_gateway_returns_to_its_first_choice_and_stays_there() -> None:
    relays = RelaySelector("g", TWELVE[:3], 100.0)
    first = relays.choose(0.0)
    now_s = relays.on_failure(0.0, False, 0.5)
    assert relays.choose(now_s) is relays.ranked[1]
    while relays.on_answer(now_s, now_s, 0.5, True, 0.5) is None:
        now_s += RELAY_HOLD_S
    assert 5.0 < now_s < 25.0 and relays.choose(now_s) is first
    assert relays.on_answer(now_s, now_s, 0.5, True, 0.5) is None


def test_discovery_is_not_polled_once_a_relay_answers() -> None:
    relays = RelaySelector("g", TWELVE[:1], 1.0)
    relays.choose(0.0)
    relays.on_failure(0.0, False, 0.5)
    assert relays.choose(0.4) is not None and relays.on_answer(0.4, 0.4, 0.5, True, 0.5) is None
    assert relays.choose(9.0) is relays.ranked[0]


def test_a_small_fleet_alternates_between_direct_polls_and_relays() -> None:
    """Where discovery may be asked again at once, each second turn is a relay's all the same."""
    relays, now_s = RelaySelector("g", TWELVE[:2], 0.01), 0.0
    asked: list[bool] = []
    for _ in range(20):
        asked.append(relays.choose(now_s) is None)
        if asked[-1]:
            after_s = relays.on_answer(now_s + 0.01, now_s, 0.0, False, 0.5)
            assert after_s is not None
        else:
            after_s = relays.on_failure(now_s + 0.01, False, 0.5)
        now_s += 0.01 + after_s
    assert any(asked) and not any(one and other for one, other in itertools.pairwise(asked))


def answered(
    relays: RelaySelector, now_s: float, ages: dict[RelayStatus, float | None], chance: float
) -> float | None:
    """The present one answers; so does who is looked at by that (None: it does not)."""
    assert relays.current is not None
    age_s = ages[relays.current]
    assert age_s is not None
    after_s = relays.on_answer(now_s, now_s, age_s, True, chance)
    if after_s is None and (looked := relays.next_freshness_check(age_s)) is not None:
        relays.on_freshness(looked, now_s, ages[looked])
    return after_s


def test_with_all_relays_stale_a_gateway_stays_at_the_freshest() -> None:
    relays, now_s, moves, there = RelaySelector("g", TWELVE[:4], 100.0), 0.0, 0, 0
    relays.choose(0.0)
    while now_s < 300.0:
        ages: dict[RelayStatus, float | None] = {
            relay: now_s + 30.0 - 10 * place for place, relay in enumerate(relays.ranked)
        }  # fmt: skip
        if answered(relays, now_s, ages, 0.1) is not None:
            moves += 1
            relays.choose(now_s)
        there += relays.current is relays.ranked[-1]
        now_s += RELAY_HOLD_S
    assert moves <= 2 and there * RELAY_HOLD_S > 290.0


@pytest.mark.parametrize("dead", [0, 1, 2, 3, 6])
def test_a_stale_relay_is_left_in_time_for_a_fresh_one_that_cools_down(dead: int) -> None:
    """All failed a moment ago, and the last is back when the first is cut off. A drain counts as told after 6 s."""
    relays = RelaySelector("g", TWELVE[: dead + 2], 100.0)
    first, *others = relays.ranked
    relays.choose(0.0)
    now_s = 0.0
    for each in (*others, first):  # each is asked in vain once
        relays.successor = each
        relays.choose(now_s)
        now_s += relays.on_failure(now_s, False, 1.0)
    relays.successor = first
    relays.choose(now_s)
    cut_s = now_s
    assert all(other.cools_down_until_s > now_s + MAX_NOTIFICATION_DELAY_S for other in others)
    while relays.current is first and now_s - cut_s < MAX_NOTIFICATION_DELAY_S:
        ages: dict[RelayStatus, float | None] = dict.fromkeys(others, None)
        ages |= {first: now_s - cut_s, others[-1]: 0.3}
        after_s = answered(relays, now_s, ages, 1.0)
        now_s += RELAY_HOLD_S if after_s is None else after_s
        if after_s is not None:
            relays.choose(now_s)
    assert relays.current is others[-1] and now_s - cut_s < MAX_NOTIFICATION_DELAY_S


def test_a_recovered_relay_is_found_after_a_long_time_with_all_stale() -> None:
    relays, now_s = RelaySelector("g", TWELVE[:3], 100.0), 0.0
    relays.choose(0.0)
    while now_s < 600.0:
        ages: dict[RelayStatus, float | None] = dict.fromkeys(relays.ranked, now_s)
        answered(relays, now_s, ages, 1.0)
        now_s += RELAY_HOLD_S
    assert relays.current is relays.ranked[0]
    while relays.current is relays.ranked[0] and now_s < 610.0:
        ages = dict.fromkeys(relays.ranked, now_s)
        ages[relays.ranked[2]] = 0.3
        after_s = answered(relays, now_s, ages, 1.0)
        now_s += RELAY_HOLD_S if after_s is None else after_s
        if after_s is not None:
            relays.choose(now_s)
    assert relays.current is relays.ranked[2] and now_s < 600.0 + 3.0
