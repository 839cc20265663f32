"""The input scheduler bounds the time that input takes of the event loop, and reads postponed connections in turn."""

from __future__ import annotations

import asyncio
import time

from cloverkeel.core.clock import now_us
from cloverkeel.core.input_scheduler import (
    MAX_ITERATION_INPUT_US,
    MAX_SOURCE_INPUT_US,
    InputScheduler,
    TransportInput,
)
from tests.sockets import on_loop, wait_until


class RecordingTransport(asyncio.Transport):
    """A transport that records when it is read again."""

    def __init__(self) -> None:
        super().__init__()
        self.resumed_s: list[float] = []

    def is_closing(self) -> bool:
        """Return that it is open."""
        return False

    def pause_reading(self) -> None:
        """Do nothing: the tests drive the input themselves."""

    def resume_reading(self) -> None:
        """Record the time."""
        self.resumed_s.append(time.monotonic())


def create_source() -> tuple[TransportInput, list[float]]:
    """Return an input, and the times at which it is read again."""
    source, transport = TransportInput(), RecordingTransport()
    source.transport = transport
    return source, transport.resumed_s


@on_loop
async def test_connection_with_little_input_is_not_postponed() -> None:
    scheduler = InputScheduler(asyncio.get_running_loop())
    source, _ = create_source()
    for _ in range(10):
        scheduler.record_input(source, now_us())
    assert not source.is_input_postponed and not scheduler.waiting


@on_loop
async def test_costly_connection_is_postponed_and_read_again() -> None:
    scheduler = InputScheduler(asyncio.get_running_loop())
    source, resumed_s = create_source()
    scheduler.record_input(source, now_us() - MAX_SOURCE_INPUT_US)
    assert source.is_input_postponed
    scheduler.record_input(source, now_us() - MAX_SOURCE_INPUT_US)
    assert list(scheduler.waiting) == [source]  # once
    await wait_until(lambda: resumed_s)
    assert not source.is_input_postponed and not scheduler.waiting
    assert scheduler.take_figures()[1] == 1


@on_loop
async def test_input_after_a_long_iteration_is_postponed_and_read_in_turn() -> None:
    scheduler = InputScheduler(asyncio.get_running_loop())
    pairs = [create_source() for _ in range(5)]
    sources = [source for source, _ in pairs]
    resumed_s = [times for _, times in pairs]
    for source in sources:
        scheduler.record_input(source, now_us() - MAX_ITERATION_INPUT_US)
    assert scheduler.is_late()
    assert list(scheduler.waiting) == sources
    await wait_until(lambda: resumed_s[-1])
    assert resumed_s == sorted(resumed_s)
    assert not scheduler.is_late()


@on_loop
async def test_as_much_time_as_input_takes_is_left_to_all_else() -> None:
    scheduler = InputScheduler(asyncio.get_running_loop())
    source, resumed_s = create_source()
    started_s = time.monotonic()
    scheduler.record_input(source, now_us() - 50_000)
    await wait_until(lambda: resumed_s)
    assert resumed_s[0] - started_s >= 0.049


@on_loop
async def test_stall_of_the_process_during_a_read_is_not_taken_for_input() -> None:
    """Guards against connections that are not read for as long as the process was stopped."""
    scheduler = InputScheduler(asyncio.get_running_loop())
    source, resumed_s = create_source()
    started_s = time.monotonic()
    scheduler.record_input(source, now_us() - 3_500_000)
    await wait_until(lambda: resumed_s)
    assert resumed_s[0] - started_s < 0.5
