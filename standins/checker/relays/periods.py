"""Arithmetic of time periods."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True, order=True)
class Period:
    """A period, in microseconds."""

    begin_us: int
    end_us: int

    @property
    def length_us(self) -> int:
        """Return the length of the period."""
        return self.end_us - self.begin_us


def merge_periods(periods: Iterable[Period]) -> list[Period]:
    """Return the same time without overlaps, in order."""
    merged: list[Period] = []
    for period in sorted(periods):
        if merged and period.begin_us <= merged[-1].end_us:
            last = merged[-1]
            merged[-1] = Period(last.begin_us, max(last.end_us, period.end_us))
        else:
            merged.append(period)
    return merged


def clip_periods(periods: Sequence[Period], begin_us: int, end_us: int) -> list[Period]:
    """Return the parts of the periods that lie between two moments."""
    return [
        Period(max(period.begin_us, begin_us), min(period.end_us, end_us))
        for period in periods
        if period.begin_us < end_us and period.end_us > begin_us
    ]


def total_us(periods: Sequence[Period]) -> int:
    """Return the total length of the periods."""
    return sum(period.length_us for period in periods)
