"""Timers: when and in which order they are due, and how many cancelled ones are kept."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.core.clock import now_us
from cloverkeel.core.loop_timers import LoopTimers
from cloverkeel.core.timers import MAX_SPARE_CANCELLED, Timer, Timers
from tests.sockets import on_loop

# Steps: schedule a timer, cancel one, or advance the time.
SCHEDULE, CANCEL, ADVANCE = "schedule", "cancel", "advance"
steps = st.tuples(st.sampled_from([SCHEDULE, SCHEDULE, CANCEL, ADVANCE]), st.integers(0, 50))


@given(st.lists(steps, max_size=200))
def test_timers_are_due_once_in_order_and_never_early(script: list[tuple[str, int]]) -> None:
    timers, now, run_order = Timers(), 0, list[int]()
    waiting: dict[int, tuple[int, Timer]] = {}  # by position in the script
    for number, (step, value) in enumerate(script):
        if step == SCHEDULE:
            due_us = now + value - 5  # may be in the past
            waiting[number] = (due_us, timers.schedule(due_us, lambda number=number: run_order.append(number)))  # type: ignore[misc]
        elif step == CANCEL and waiting:
            key = sorted(waiting)[value % len(waiting)]
            waiting.pop(key)[1].cancel()
        elif step == ADVANCE:
            now += value
            expected = sorted((due, key) for key, (due, _) in waiting.items() if due <= now)
            before = len(run_order)
            while (call := timers.pop_due(now)) is not None:
                call()
            assert run_order[before:] == [key for _, key in expected]
            for _, key in expected:
                waiting.pop(key)[1].cancel()  # no effect, as the callback has been run
        assert timers.next_due_us() == min((due for due, _ in waiting.values()), default=None)
        assert len(timers.heap) <= 2 * len(waiting) + MAX_SPARE_CANCELLED + 1


def test_cancelled_timers_do_not_accumulate() -> None:
    timers = Timers()
    kept = [timers.schedule(10**12 + n, lambda: None) for n in range(100)]
    for n in range(100_000):
        timers.schedule(10**12 + n, lambda: None).cancel()
        assert len(timers.heap) <= 2 * len(kept) + MAX_SPARE_CANCELLED + 1


@on_loop
async def test_the_loop_runs_timers_on_time_despite_a_failing_callback() -> None:
    timers, run_order, all_run = LoopTimers(asyncio.get_running_loop()), list[str](), asyncio.Event()
    started_us = now_us()

    def fail() -> None:
        raise RuntimeError("expected by the test")

    def record(name: str, due_us: int) -> None:
        assert now_us() >= due_us
        run_order.append(name)
        if name == "last":
            all_run.set()

    for name, after_us in (("last", 30_000), ("second", 10_000), ("first", 0)):
        timers.schedule(started_us + after_us, lambda name=name, due=started_us + after_us: record(name, due))  # type: ignore[misc]
    timers.schedule(started_us + 5_000, fail)
    timers.schedule(started_us + 6_000, lambda: record("cancelled", 0)).cancel()
    await all_run.wait()
    assert run_order == ["first", "second", "last"]
    # A timer scheduled by a callback, due earlier than the remaining one.
    all_run.clear()
    timers.schedule(now_us() + 60_000_000, lambda: record("never", 0))

    def schedule_last() -> None:
        timers.schedule(now_us() + 1_000, lambda: record("last", 0))

    timers.schedule(now_us(), schedule_last)
    await all_run.wait()
    timers.close()
    assert timers.timers.next_due_us() is None and timers.handle is None
