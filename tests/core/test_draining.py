"""Drain schedules: their figures, and how the frontend carries them out."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.core.draining import (
    KILL_GRACE_S,
    MAX_DRAIN_S,
    READ_STALL_TIMEOUT_S,
    DrainSchedule,
    handover_schedule,
    pause_schedule,
    shutdown_schedule,
)
from cloverkeel.frontends.http1.connection import MAX_PIPELINED_REQUESTS
from cloverkeel.frontends.http1.context import READ_BUFFER_BYTES
from tests.sockets import (
    configuration,
    never_respond,
    on_loop,
    reply,
    request,
    respond_with,
    running_gateway,
    scripted_server,
    wait_until,
)

MAX_CLIENT_TIMEOUTS_S = (0.4, 1.0, 3.0)
SCHEDULES = [
    pause_schedule(),
    *map(shutdown_schedule, MAX_CLIENT_TIMEOUTS_S),
    *map(handover_schedule, MAX_CLIENT_TIMEOUTS_S),
]


@pytest.mark.parametrize("schedule", SCHEDULES)
@given(now_s=st.floats(0, 10), read_gap_s=st.floats(0, 10))
def test_a_request_that_keeps_arriving_is_not_aborted(
    schedule: DrainSchedule, now_s: float, read_gap_s: float
) -> None:
    if schedule.can_abort_read(now_s, read_gap_s):
        assert now_s >= schedule.abort_incomplete_from_s or read_gap_s >= READ_STALL_TIMEOUT_S


@pytest.mark.parametrize("schedule", SCHEDULES)
@given(now_s=st.floats(0, 10), served=st.booleans(), age_s=st.floats(0, 10))
def test_a_new_connection_has_time_for_its_first_request(
    schedule: DrainSchedule, now_s: float, served: bool, age_s: float
) -> None:
    if schedule.can_close_idle(now_s, served, age_s) and now_s < schedule.abort_incomplete_from_s:
        assert now_s >= schedule.close_idle_from_s if served else age_s >= min(schedule.first_request_timeout_s, 0.5)


@pytest.mark.parametrize("max_client_timeout_s", MAX_CLIENT_TIMEOUTS_S)
def test_shutdown_ends_before_sigkill(max_client_timeout_s: float) -> None:
    for schedule in (shutdown_schedule(max_client_timeout_s), handover_schedule(max_client_timeout_s)):
        assert schedule.respond_by_s < max_client_timeout_s + KILL_GRACE_S
        assert schedule.respond_by_s <= MAX_DRAIN_S


@pytest.mark.parametrize("max_client_timeout_s", MAX_CLIENT_TIMEOUTS_S)
def test_with_a_successor_the_gateway_is_ready_and_accepts_no_connections(max_client_timeout_s: float) -> None:
    schedule = handover_schedule(max_client_timeout_s)
    assert schedule.is_reported_ready and schedule.accept_until_s == 0.0
    assert (
        schedule.close_idle_from_s < schedule.reject_from_s < schedule.abort_incomplete_from_s < schedule.respond_by_s
    )


def test_four_seconds_after_a_pause_no_connection_is_idle_or_has_a_recent_request() -> None:
    schedule = pause_schedule()
    for served in (True, False):
        assert schedule.can_close_idle(schedule.abort_incomplete_from_s, served, 0.0)
    assert schedule.abort_incomplete_from_s < 4.0 and schedule.reject_from_s < 2.0
    assert schedule.can_abort_read(schedule.abort_incomplete_from_s, 0.0)


@on_loop
async def test_during_shutdown_an_open_connection_is_served_for_a_while() -> None:
    """Another gateway may be down at the same time: a client that is rejected might find no gateway."""
    schedule = shutdown_schedule(3.0)
    async with scripted_server() as host, running_gateway(configuration(host)) as run:
        client = await run.connect()
        run.server.start_drain(schedule)
        for _ in range(3):
            assert "connection" not in (await client.send_request(request())).headers
        run.server.drain_state.started_s -= schedule.keep_alive_until_s + 0.1
        assert (await client.send_request(request())).headers["connection"] == "close"
        assert await client.reader.read() == b""
        client.close()


@on_loop
async def test_a_stalled_request_does_not_delay_shutdown() -> None:
    schedule = shutdown_schedule(3.0)
    async with scripted_server(never_respond) as host, running_gateway(configuration(host)) as run:
        data = request("transfer", b"slow")
        stalled_client = await run.connect()
        stalled_client.send(data[:20])
        await wait_until(lambda: run.server.timeouts.reading)
        (stalled_connection,) = run.server.timeouts.reading
        slow_client = await run.connect()
        slow_client.send(data[:-4])
        await wait_until(lambda: len(run.server.timeouts.reading) == 2)
        (slow_connection,) = set(run.server.timeouts.reading) - {stalled_connection}
        # One request has received no data for a minute, the other has just received some.
        stalled_connection.last_read_s -= 60
        slow_connection.last_read_s += 60
        run.server.start_drain(schedule)
        run.server.drain_state.started_s -= schedule.abort_stalled_from_s + 0.1
        assert (await stalled_client.read_response()).status == 408
        slow_client.send(data[-4:])
        await wait_until(lambda: host.exchanges)
        host.exchanges[0].respond(reply(200, b"slow"))
        assert (await slow_client.read_response()).body == b"slow"
        stalled_client.close()
        slow_client.close()


@on_loop
async def test_connection_is_read_once_more_at_most_after_the_end_of_a_drain() -> None:
    """Guards against a client that never stops sending: its connection always has one more request to answer."""
    schedule = shutdown_schedule(3.0)
    requests = [request() for _ in range(4_000)]
    async with scripted_server(never_respond) as host, running_gateway(configuration(host)) as run:
        client = await run.connect()
        client.send(b"".join(requests))
        await wait_until(lambda: host.exchanges and all(c.is_reading_paused for c in run.server.connections))
        run.server.start_drain(schedule)
        run.server.drain_state.started_s -= schedule.respond_by_s
        host.script = respond_with(reply())
        host.exchanges[0].respond(reply())
        received = bytearray()
        with contextlib.suppress(ConnectionError):  # the system may reset it over what is not read
            while data := await client.reader.read(READ_BUFFER_BYTES):
                received += data
        read_ahead = MAX_PIPELINED_REQUESTS + 2 * READ_BUFFER_BYTES // len(requests[0])
        assert 1 <= received.count(b"HTTP/1.1 ") <= read_ahead
        await wait_until(lambda: not run.server.connections)
        client.close()
