"""A subset whose hosts fail is doubled."""

from __future__ import annotations


from cloverkeel.discovery.subset_widening import (
    NARROWING_AFTER_S,
    MIN_WIDENING_INTERVAL_S,
    MAX_DOUBLINGS,
    SubsetWidening,
)


def test_a_failing_subset_is_widened_and_later_narrowed() -> None:
    width, now_s, reached = SubsetWidening(), 100.0, []
    for _ in range(40):
        now_s += MIN_WIDENING_INTERVAL_S / 4
        reached.append(width.update(now_s, 4, 8))
    assert reached == sorted(reached) and reached[0] == 1 and reached[-1] == MAX_DOUBLINGS
    assert reached.count(1) >= 4 and reached.count(2) >= 4  # one doubling at a time
    assert width.update(now_s + NARROWING_AFTER_S - 1, 3, 8) == MAX_DOUBLINGS
    assert [width.update(now_s + n * (NARROWING_AFTER_S + 1), 0, 8) for n in range(1, 6)] == [2, 1, 0, 0, 0]
