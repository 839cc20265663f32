"""Timers of one owner. Pure: times in microseconds in, callbacks that are due out; loop_timers.py runs them.

Nearly every request schedules two, and nearly none of them is ever due: to schedule one and to cancel it must cost
next to nothing.

Invariants:
- a timer is due once at the most, never before its time, and never after it was cancelled;
- those due at one check come in the order of their times; of equal ones, in the order in which they were scheduled;
- a cancelled timer is forgotten when its time has come, or sooner: cancelled ones never make up more than half of the
  heap, beyond `MAX_SPARE_CANCELLED` (so memory is bounded by what is scheduled and not cancelled).
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Final

MAX_SPARE_CANCELLED: Final = 64  # cancelled timers that may stay in the heap whatever else there is

TimerCallback = Callable[[], None]


class Timer:
    """One callback to come."""

    __slots__ = ("callback", "due_us", "owner")

    def __init__(self, owner: Timers, due_us: int, callback: TimerCallback) -> None:
        self.owner: Timers = owner
        self.due_us = due_us
        self.callback: TimerCallback | None = callback  # None: it was run, or cancelled

    def cancel(self) -> None:
        """Cancel it; nothing if it was run already."""
        if self.callback is not None:
            self.callback = None
            self.owner.on_cancelled()


class Timers:
    """A heap by time, with cancelled timers left in it for a while."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Timer]] = []
        self.scheduled_count = 0  # so far: the order of equal ones
        self.cancelled_count = 0  # of those in the heap

    def schedule(self, due_us: int, callback: TimerCallback) -> Timer:
        """Schedule a callback."""
        timer = Timer(self, due_us, callback)
        self.scheduled_count += 1
        heapq.heappush(self.heap, (due_us, self.scheduled_count, timer))
        return timer

    def on_cancelled(self) -> None:
        """Count a timer that was cancelled, and forget all such if they are too many."""
        self.cancelled_count += 1
        if self.cancelled_count > MAX_SPARE_CANCELLED and 2 * self.cancelled_count > len(self.heap):
            self.heap = [entry for entry in self.heap if entry[2].callback is not None]
            heapq.heapify(self.heap)
            self.cancelled_count = 0

    def next_due_us(self) -> int | None:
        """Return when the next one is due; None if there is none."""
        while self.heap:
            due_us, _, timer = self.heap[0]
            if timer.callback is not None:
                return due_us
            heapq.heappop(self.heap)
            self.cancelled_count -= 1
        return None

    def pop_due(self, at_us: int) -> TimerCallback | None:
        """Take the next callback that is due by now, or None. One by one: what one does may cancel the others."""
        due_us = self.next_due_us()
        if due_us is None or due_us > at_us:
            return None
        timer = heapq.heappop(self.heap)[2]
        callback, timer.callback = timer.callback, None
        return callback
