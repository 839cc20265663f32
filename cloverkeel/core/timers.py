"""Timers of one owner. Pure: times in microseconds in, calls that are due out; loop_timers.py carries them out.

Nearly every request sets two, and nearly none of them is ever due: to set one and to call it off must cost next to
nothing.

Invariants:
- a timer is due once at the most, never before its time, and never after it was called off;
- those due at one look come in the order of their times; of equal ones, in the order in which they were set;
- what was called off is forgotten when its time has come, or sooner: it never makes up more than half of what is
  kept, beyond `SPARE` (so memory is bounded by what is set and not called off).
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Final

SPARE: Final = 64  # timers that were called off and may be kept whatever else there is

Due = Callable[[], None]


class Timer:
    """One call to come."""

    __slots__ = ("call", "due_us", "owner")

    def __init__(self, owner: Timers, due_us: int, call: Due) -> None:
        self.owner: Timers = owner
        self.due_us = due_us
        self.call: Due | None = call  # None: it was made, or called off

    def cancel(self) -> None:
        """Call it off; nothing if it was made already."""
        if self.call is not None:
            self.call = None
            self.owner.on_cancelled()


class Timers:
    """The pure part: a heap by time, with what was called off left in it for a while."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Timer]] = []
        self.count = 0  # set so far: the order of equal ones
        self.cancelled = 0  # of those in the heap

    def set(self, due_us: int, call: Due) -> Timer:
        timer = Timer(self, due_us, call)
        self.count += 1
        heapq.heappush(self.heap, (due_us, self.count, timer))
        return timer

    def on_cancelled(self) -> None:
        self.cancelled += 1
        if self.cancelled > SPARE and 2 * self.cancelled > len(self.heap):
            self.heap = [entry for entry in self.heap if entry[2].call is not None]
            heapq.heapify(self.heap)
            self.cancelled = 0

    def next_due(self) -> int | None:
        """When the next one is due; None if there is none."""
        while self.heap:
            due_us, _, timer = self.heap[0]
            if timer.call is not None:
                return due_us
            heapq.heappop(self.heap)
            self.cancelled -= 1
        return None

    def take(self, at_us: int) -> Due | None:
        """The next call that is due by now, or None. Taken one by one: what one does may call off the others."""
        due_us = self.next_due()
        if due_us is None or due_us > at_us:
            return None
        timer = heapq.heappop(self.heap)[2]
        call, timer.call = timer.call, None
        return call
