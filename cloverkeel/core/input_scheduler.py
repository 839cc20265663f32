"""Shares the event loop's time among the connections whose input is costly to handle.

A connection that has used its part of one iteration of the loop, or that has input after the iteration has lasted
too long, is postponed: nothing is read of it until its turn comes. Postponed connections are read again in the order
in which they were postponed, and at most half of the time is theirs.

Guards against iterations that last as long as there is input: all else that the loop does would wait, such as the
requests of other clients, the responses of hosts and the timers of attempts.

Invariants:
- a connection is in `waiting` at most once, and exactly while `is_input_postponed` is set;
- how long a connection waits depends on the input of the iteration that postponed it and on the connections that
  wait before it, not on any earlier input.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final

from cloverkeel.core.clock import now_us

MAX_ITERATION_INPUT_US: Final = 10_000  # of all connections in one iteration of the loop
MAX_SOURCE_INPUT_US: Final = 2_000  # of one connection in one iteration
LATE_READ_BYTES: Final = 1024  # of one read in an iteration whose time is used up
MAX_RECORDED_INPUT_US: Final = 50_000  # of one read; a longer time is a stall of the process, not its input
MIN_RESUME_DELAY_S: Final = 0.001
MAX_RESUME_DELAY_S: Final = 0.05  # however many connections had input in one iteration
MS_PER_S: Final = 1_000


class InputSource:
    """A connection whose input is scheduled. A base class, so that compiled calls are direct."""

    def __init__(self) -> None:
        self.is_input_postponed = False
        self.input_us = 0  # time spent on its input in `input_iteration`
        self.input_iteration = 0
        self.postponed_s = 0.0  # when it was last postponed, in seconds of the loop's clock

    def pause_input(self) -> None:
        """Stop reading, until `resume_input`."""
        raise NotImplementedError

    def resume_input(self) -> None:
        """Read again, unless there is another reason not to or the connection has ended."""
        raise NotImplementedError


class TransportInput(InputSource):
    """The input of a transport that is read unless it is postponed."""

    def __init__(self) -> None:
        super().__init__()
        self.transport: asyncio.ReadTransport | None = None  # None before the connection is made and after its end

    def pause_input(self) -> None:
        """Stop reading, until `resume_input`."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_input(self) -> None:
        """Read again."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()


class InputScheduler:
    """Measures the time spent on input, and postpones connections."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.waiting: deque[InputSource] = deque()
        self.iteration = 1  # number of the present iteration in which there was input
        self.iteration_us = 0  # spent on input in the present iteration
        self.is_iteration_begun = False
        self.resume_timer: asyncio.TimerHandle | None = None
        self.total_us = 0  # spent on input since the last call of `take_figures`
        self.postponed_count = 0  # since the last call of `take_figures`
        self.max_wait_s = 0.0  # of a connection that was read again since the last call of `take_figures`

    def is_late(self) -> bool:
        """Return whether the time for input in this iteration is used up."""
        return self.iteration_us >= MAX_ITERATION_INPUT_US

    def record_input(self, source: InputSource, started_us: int) -> None:
        """Record that input of a connection was handled since `started_us`; postpone the connection if need be."""
        spent_us = min(MAX_RECORDED_INPUT_US, max(0, now_us() - started_us))
        if not self.is_iteration_begun:
            self.is_iteration_begun = True
            self.loop.call_soon(self._end_iteration)
        if source.input_iteration != self.iteration:
            source.input_iteration = self.iteration
            source.input_us = 0
        source.input_us += spent_us
        self.iteration_us += spent_us
        if source.input_us >= MAX_SOURCE_INPUT_US or self.iteration_us >= MAX_ITERATION_INPUT_US:
            self._postpone(source)

    def take_figures(self) -> list[int]:
        """Return the time spent on input in µs, the number of postponed reads and the longest wait of one in ms.

        Each is counted since the last call.
        """
        figures = [self.total_us, self.postponed_count, round(self.max_wait_s * MS_PER_S)]
        self.total_us = self.postponed_count = 0
        self.max_wait_s = 0.0
        return figures

    def _postpone(self, source: InputSource) -> None:
        if source.is_input_postponed:
            return
        source.is_input_postponed = True
        source.postponed_s = self.loop.time()
        source.pause_input()
        self.postponed_count += 1
        self.waiting.append(source)

    def _end_iteration(self) -> None:
        """Begin a new iteration; connections that were postponed are read again later."""
        spent_us, self.iteration_us = self.iteration_us, 0
        self.is_iteration_begun = False
        self.iteration += 1
        self.total_us += spent_us
        if self.waiting and self.resume_timer is None:
            self._resume_after(spent_us)

    def _resume_after(self, spent_us: int) -> None:
        """Leave as much time to all else as the input takes, `spent_us`, then read postponed connections again."""
        delay_s = min(MAX_RESUME_DELAY_S, max(MIN_RESUME_DELAY_S, spent_us / 1e6))
        self.resume_timer = self.loop.call_later(delay_s, self._resume)

    def _resume(self) -> None:
        """Read of as many connections as one iteration has time for, the longest postponed first."""
        self.resume_timer = None
        resumed_s = self.loop.time()
        expected_us = 0
        while self.waiting and expected_us < MAX_ITERATION_INPUT_US:
            source = self.waiting.popleft()
            expected_us += max(1, source.input_us)
            source.is_input_postponed = False
            self.max_wait_s = max(self.max_wait_s, resumed_s - source.postponed_s)
            source.resume_input()
        if self.waiting:
            # Not left to `_end_iteration`, in case that none of those that are read again has any input.
            self._resume_after(expected_us)
