"""Periods in which the emulator was stalled. The checker extends its limits by them."""

from __future__ import annotations

from bisect import bisect_left

from standins.event_log import SchedulingDelay


class SchedulingDelays:
    """The stalls of the emulator, in order of their ends. They do not overlap."""

    def __init__(self) -> None:
        self._delays: list[SchedulingDelay] = []
        self._ends_us: list[int] = []

    def record(self, delay: SchedulingDelay) -> None:
        """Record a stall that ends after all earlier ones."""
        self._delays.append(delay)
        self._ends_us.append(delay.at_us)

    def stalled_us(self, from_us: int, to_us: int) -> int:
        """Return for how long the emulator was stalled in this period."""
        total_us = 0
        for delay in self._delays[bisect_left(self._ends_us, from_us) :]:
            start_us = (
                delay.at_us - delay.delay_us
            )  # stalls do not overlap, so their beginnings are ordered like their ends
            if start_us >= to_us:
                break
            total_us += min(delay.at_us, to_us) - max(start_us, from_us)
        return total_us
