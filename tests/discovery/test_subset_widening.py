"""Widening of a subset whose hosts fail."""

from __future__ import annotations


from cloverkeel.discovery.subset_widening import (
    NARROWING_AFTER_S,
    MIN_WIDENING_INTERVAL_S,
    MAX_DOUBLINGS,
    SubsetWidening,
)


def test_a_failing_subset_is_widened_and_later_narrowed() -> None:
    widening, now_s, doublings = SubsetWidening(), 100.0, []
    for _ in range(40):
        now_s += MIN_WIDENING_INTERVAL_S / 4
        doublings.append(widening.update(now_s, 4, 8))
    assert doublings == sorted(doublings) and doublings[0] == 1 and doublings[-1] == MAX_DOUBLINGS
    assert doublings.count(1) >= 4 and doublings.count(2) >= 4  # one doubling at a time
    assert widening.update(now_s + NARROWING_AFTER_S - 1, 3, 8) == MAX_DOUBLINGS
    assert [widening.update(now_s + n * (NARROWING_AFTER_S + 1), 0, 8) for n in range(1, 6)] == [2, 1, 0, 0, 0]
