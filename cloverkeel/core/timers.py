"""Timer heap of one owner. Pure: times in microseconds; loop_timers.py runs the callbacks.

Nearly every request schedules two timers, and nearly all of them are cancelled, so scheduling and cancelling must be
cheap.

Invariants:
- a timer is due at most once, never before its time, and never after it was cancelled;
- timers due at the same check are returned by time, and those of the same time in the order they were scheduled;
- a cancelled timer is removed when its time has come, or earlier: if there are more than `MAX_SPARE_CANCELLED`, they
  never make up more than half of the heap, so memory is bounded by the timers that are scheduled and not cancelled.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Final

MAX_SPARE_CANCELLED: Final = 64  # cancelled timers that may stay in the heap regardless of its size

TimerCallback = Callable[[], None]


class Timer:
    """A scheduled callback."""

    __slots__ = ("callback", "due_us", "owner")

    def __init__(self, owner: Timers, due_us: int, callback: TimerCallback) -> None:
        self.owner: Timers = owner
        self.due_us = due_us
        self.callback: TimerCallback | None = callback  # None: already run or cancelled

    def cancel(self) -> None:
        """Cancel the timer; no effect if its callback was already run."""
        if self.callback is not None:
            self.callback = None
            self.owner.on_cancelled()


class Timers:
    """A heap of timers by due time; cancelled ones are removed lazily."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Timer]] = []
        self.scheduled_count = 0  # timers scheduled so far; orders those with the same time
        self.cancelled_count = 0  # cancelled timers in the heap

    def schedule(self, due_us: int, callback: TimerCallback) -> Timer:
        """Schedule a callback at `due_us`."""
        timer = Timer(self, due_us, callback)
        self.scheduled_count += 1
        heapq.heappush(self.heap, (due_us, self.scheduled_count, timer))
        return timer

    def on_cancelled(self) -> None:
        """Count a cancelled timer, and remove all cancelled ones if there are too many."""
        self.cancelled_count += 1
        if self.cancelled_count > MAX_SPARE_CANCELLED and 2 * self.cancelled_count > len(self.heap):
            self.heap = [entry for entry in self.heap if entry[2].callback is not None]
            heapq.heapify(self.heap)
            self.cancelled_count = 0

    def next_due_us(self) -> int | None:
        """Return when the next timer is due; None if there is none."""
        while self.heap:
            due_us, _, timer = self.heap[0]
            if timer.callback is not None:
                return due_us
            heapq.heappop(self.heap)
            self.cancelled_count -= 1
        return None

    def pop_due(self, at_us: int) -> TimerCallback | None:
        """Remove and return the next callback that is due at `at_us`; None if there is none.

        Callbacks are returned one at a time, because running one may cancel others.
        """
        due_us = self.next_due_us()
        if due_us is None or due_us > at_us:
            return None
        timer = heapq.heappop(self.heap)[2]
        callback, timer.callback = timer.callback, None
        return callback
