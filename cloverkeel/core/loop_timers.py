"""Runs the timers of one owner with a single asyncio timer. The heap of timers is in timers.py."""

from __future__ import annotations

import asyncio
import traceback
from typing import Final

from cloverkeel.core.clock import now_us
from cloverkeel.core.log import log
from cloverkeel.core.timers import Timer, TimerCallback, Timers

LOOP_MARGIN_S: Final = 0.001  # asyncio rounds timer deadlines, and no timer may run early
NOT_ARMED: Final = 0


class LoopTimers:
    """Runs timers on an event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.timers = Timers()
        self.armed_us = NOT_ARMED  # when the asyncio timer is due
        self.handle: asyncio.TimerHandle | None = None

    def schedule(self, due_us: int, callback: TimerCallback) -> Timer:
        """Run a callback once the program's clock has reached `due_us`, never earlier."""
        timer = self.timers.schedule(due_us, callback)
        if not self.armed_us or due_us < self.armed_us:
            self.arm(due_us)
        return timer

    def arm(self, due_us: int) -> None:
        """Set the asyncio timer, replacing the previous one."""
        if self.handle is not None:
            self.handle.cancel()
        self.armed_us = due_us
        self.handle = self.loop.call_later(max(0, due_us - now_us()) / 1e6 + LOOP_MARGIN_S, self.run_due)

    def run_due(self) -> None:
        """Run all callbacks that are due; an exception in one does not affect the others."""
        self.handle = None
        self.armed_us = NOT_ARMED
        at_us = now_us()
        while (callback := self.timers.pop_due(at_us)) is not None:
            try:
                callback()
            except Exception:
                log(f"timers: callback failed\n{traceback.format_exc()}")
        next_us = self.timers.next_due_us()
        if next_us is not None and (not self.armed_us or next_us < self.armed_us):
            self.arm(next_us)

    def close(self) -> None:
        """Drop all timers."""
        if self.handle is not None:
            self.handle.cancel()
        self.handle = None
        self.armed_us = NOT_ARMED
        self.timers = Timers()
