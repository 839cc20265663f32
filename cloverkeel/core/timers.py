"""Timers of one owner, behind a single timer of the loop.

Nearly every request sets two, and nearly none of them is ever due: to set one and to call it off must cost next to
nothing. `Timers` is the pure part, times in microseconds in and calls that are due out; `LoopTimers` carries it out.

Invariants:
- a timer is due once at the most, never before its time, and never after it was called off;
- those due at one look come in the order of their times; of equal ones, in the order in which they were set;
- what was called off is forgotten when its time has come, or sooner: it never makes up more than half of what is
  kept, beyond `SPARE` (so memory is bounded by what is set and not called off).
"""

from __future__ import annotations

import asyncio
import heapq
import traceback
from collections.abc import Callable

from cloverkeel.core.clock import now_us
from cloverkeel.core.log import log

SPARE = 64  # timers that were called off and may be kept whatever else there is

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


class LoopTimers:
    """Carries them out on a loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.timers = Timers()
        self.armed_us = 0  # when the loop's timer is due; 0: it is not set
        self.handle: asyncio.TimerHandle | None = None

    def set(self, due_us: int, call: Due) -> Timer:
        """Call this once that time of the program's clock has come, and not before."""
        timer = self.timers.set(due_us, call)
        if not self.armed_us or due_us < self.armed_us:
            self.arm(due_us)
        return timer

    def arm(self, due_us: int) -> None:
        if self.handle is not None:
            self.handle.cancel()
        self.armed_us = due_us
        # A millisecond more: the loop rounds, and nothing must be early.
        self.handle = self.loop.call_later(max(0, due_us - now_us()) / 1e6 + 0.001, self.fire)

    def fire(self) -> None:
        """Make all calls that are due; one that fails takes no other along."""
        self.handle, self.armed_us = None, 0
        at_us = now_us()
        while (call := self.timers.take(at_us)) is not None:
            try:
                call()
            except Exception:
                log(f"a timer's call failed\n{traceback.format_exc()}")
        next_us = self.timers.next_due()
        if next_us is not None and (not self.armed_us or next_us < self.armed_us):
            self.arm(next_us)

    def close(self) -> None:
        """Nothing is called any more."""
        if self.handle is not None:
            self.handle.cancel()
        self.handle, self.armed_us = None, 0
        self.timers = Timers()
