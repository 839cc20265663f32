"""The timetables of emptying: as figures, and carried out by the front."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.core.draining import (
    KILL_MARGIN_S,
    LAST_S,
    PAUSE_S,
    Timetable,
    on_the_way_out,
    paused,
    succeeded,
)
from tests.sockets import configuration, on_loop, peer, reply, request, running, silent, until

LONGEST_S = (0.4, 1.0, 3.0)  # that a client waits
TIMETABLES = [paused(), *map(on_the_way_out, LONGEST_S), *map(succeeded, LONGEST_S)]


@pytest.mark.parametrize("timetable", TIMETABLES)
@given(now_s=st.floats(0, 10), quiet_s=st.floats(0, 10))
def test_what_goes_on_coming_is_waited_for(timetable: Timetable, now_s: float, quiet_s: float) -> None:
    if timetable.may_give_up(now_s, quiet_s):
        assert now_s >= timetable.reading_s or quiet_s >= PAUSE_S


@pytest.mark.parametrize("timetable", TIMETABLES)
@given(now_s=st.floats(0, 10), served=st.booleans(), age_s=st.floats(0, 10))
def test_a_new_connection_has_time_for_its_first_request(
    timetable: Timetable, now_s: float, served: bool, age_s: float
) -> None:
    if timetable.may_close(now_s, served, age_s) and now_s < timetable.reading_s:
        assert now_s >= timetable.idle_s if served else age_s >= min(timetable.first_s, 0.5)


@pytest.mark.parametrize("longest_s", LONGEST_S)
def test_all_is_over_before_the_kill(longest_s: float) -> None:
    for timetable in (on_the_way_out(longest_s), succeeded(longest_s)):
        assert timetable.end_s < longest_s + KILL_MARGIN_S
        assert timetable.end_s <= LAST_S


@pytest.mark.parametrize("longest_s", LONGEST_S)
def test_a_successor_is_told_of_by_neither_a_no_nor_a_wait(longest_s: float) -> None:
    timetable = succeeded(longest_s)
    assert timetable.ready and timetable.accept_s == 0.0
    assert timetable.idle_s < timetable.refuse_s < timetable.reading_s < timetable.end_s


def test_four_seconds_after_a_pause_nothing_is_held_idle_or_of_the_last_two_seconds() -> None:
    timetable = paused()
    for served in (True, False):
        assert timetable.may_close(timetable.reading_s, served, 0.0)
    assert timetable.reading_s < 4.0 and timetable.refuse_s < 2.0
    assert timetable.may_give_up(timetable.reading_s, 0.0)


@on_loop
async def test_on_the_way_out_an_open_connection_is_served_for_a_while() -> None:
    """Another gateway may be out at the same time: who is sent away at once finds none."""
    timetable = on_the_way_out(3.0)
    async with peer() as host, running(configuration(host)) as run:
        client = await run.connect()
        run.server.start_drain(timetable)
        for _ in range(3):
            assert "connection" not in (await client.ask(request())).headers
        run.server.drain_state.started_s -= timetable.keep_s + 0.1
        assert (await client.ask(request())).headers["connection"] == "close"
        assert await client.reader.read() == b""
        client.close()


@on_loop
async def test_half_a_request_that_does_not_go_on_keeps_nobody_from_the_end() -> None:
    timetable = on_the_way_out(3.0)
    async with peer(silent) as host, running(configuration(host)) as run:
        data = request("transfer", b"slow")
        half = await run.connect()
        half.send(data[:20])
        await until(lambda: run.server.timeouts.reading)
        (stuck,) = run.server.timeouts.reading
        slow = await run.connect()
        slow.send(data[:-4])
        await until(lambda: len(run.server.timeouts.reading) == 2)
        (moving,) = set(run.server.timeouts.reading) - {stuck}
        stuck.last_read_s -= 60  # nothing of it has come for long, and the other's last piece is as new as can be
        moving.last_read_s += 60
        run.server.start_drain(timetable)
        run.server.drain_state.started_s -= timetable.hurry_s + 0.1
        assert (await half.answer()).status == 408
        slow.send(data[-4:])
        await until(lambda: host.seen)
        host.seen[0].answer(reply(200, b"slow"))
        assert (await slow.answer()).body == b"slow"
        half.close()
        slow.close()
