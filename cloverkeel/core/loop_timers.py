"""Timers of one owner behind a single timer of the loop. Which is due, and when, is in timers.py."""

from __future__ import annotations

import asyncio
import traceback

from cloverkeel.core.clock import now_us
from cloverkeel.core.log import log
from cloverkeel.core.timers import Due, Timer, Timers


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
