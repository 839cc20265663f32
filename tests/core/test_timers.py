"""Timers behind one timer of the loop: when they are due, in which order, and what is kept of those called off."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.core.clock import now_us
from cloverkeel.core.loop_timers import LoopTimers
from cloverkeel.core.timers import MAX_SPARE_CANCELLED, Timer, Timers
from tests.sockets import on_loop

# What is done to the timers: one is set for a time, one is called off, or time goes on.
SET, CANCEL, GO_ON = "set", "cancel", "go on"
steps = st.tuples(st.sampled_from([SET, SET, CANCEL, GO_ON]), st.integers(0, 50))


@given(st.lists(steps, max_size=200))
def test_each_is_due_once_in_order_and_not_before_its_time(script: list[tuple[str, int]]) -> None:
    timers, now, made = Timers(), 0, list[int]()
    waiting: dict[int, tuple[int, Timer]] = {}  # by the order in which they were set
    for number, (step, value) in enumerate(script):
        if step == SET:
            due_us = now + value - 5  # in the past, too
            waiting[number] = (due_us, timers.schedule(due_us, lambda number=number: made.append(number)))  # type: ignore[misc]
        elif step == CANCEL and waiting:
            key = sorted(waiting)[value % len(waiting)]
            waiting.pop(key)[1].cancel()
        elif step == GO_ON:
            now += value
            expected = sorted((due, key) for key, (due, _) in waiting.items() if due <= now)
            before = len(made)
            while (call := timers.pop_due(now)) is not None:
                call()
            assert made[before:] == [key for _, key in expected]
            for _, key in expected:
                waiting.pop(key)[1].cancel()  # too late: nothing
        assert timers.next_due_us() == min((due for due, _ in waiting.values()), default=None)
        assert len(timers.heap) <= 2 * len(waiting) + MAX_SPARE_CANCELLED + 1


def test_what_is_called_off_is_not_kept() -> None:
    timers = Timers()
    kept = [timers.schedule(10**12 + n, lambda: None) for n in range(100)]
    for n in range(100_000):
        timers.schedule(10**12 + n, lambda: None).cancel()
        assert len(timers.heap) <= 2 * len(kept) + MAX_SPARE_CANCELLED + 1


@on_loop
async def test_the_loop_makes_each_in_its_time_and_one_that_fails_takes_no_other_along() -> None:
    timers, made, over = LoopTimers(asyncio.get_running_loop()), list[str](), asyncio.Event()
    begun = now_us()

    def fail() -> None:
        raise RuntimeError("planted")

    def make(name: str, due_us: int) -> None:
        assert now_us() >= due_us
        made.append(name)
        if name == "last":
            over.set()

    for name, after_us in (("last", 30_000), ("second", 10_000), ("first", 0)):
        timers.schedule(begun + after_us, lambda name=name, due=begun + after_us: make(name, due))  # type: ignore[misc]
    timers.schedule(begun + 5_000, fail)
    timers.schedule(begun + 6_000, lambda: make("called off", 0)).cancel()
    await over.wait()
    assert made == ["first", "second", "last"]
    # One that is set by another's call, and sooner than what is left.
    over.clear()
    timers.schedule(now_us() + 60_000_000, lambda: make("never", 0))

    def go_on() -> None:
        timers.schedule(now_us() + 1_000, lambda: make("last", 0))

    timers.schedule(now_us(), go_on)
    await over.wait()
    timers.close()
    assert timers.timers.next_due_us() is None and timers.handle is None
