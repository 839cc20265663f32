"""The latency of a host leaves out the time for which this process postponed its response, and nothing else."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest

from cloverkeel.core.clock import now_us
from cloverkeel.upstream.attempt import Attempt
from tests.sockets import Exchange, RunningGateway, configuration, on_loop, request, running_gateway, scripted_server
from tests.sockets import wait_until

POSTPONED_S = 0.05


async def postpone(run: RunningGateway, has_begun: bool) -> Attempt:
    """Postpone the input of the only attempt in flight for POSTPONED_S; return the attempt."""
    (in_flight,) = run.gateway.requests.by_key.values()
    attempt = cast(Attempt, in_flight.attempts[0])
    connection = attempt.connection
    assert connection is not None
    await wait_until(lambda: connection.replies.has_begun is has_begun)
    connection.is_input_postponed = True
    connection.pause_input()
    await asyncio.sleep(POSTPONED_S)
    connection.is_input_postponed = False
    connection.resume_input()
    return attempt


@pytest.mark.parametrize("has_begun", [False, True])
@on_loop
async def test_only_time_within_a_response_is_left_out_of_the_latency(has_begun: bool) -> None:
    """Guards against latencies of nearly 0, which would make usual ones look like an overload."""

    def respond(exchange: Exchange) -> None:
        if has_begun:
            exchange.respond(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfi")

    async with scripted_server(respond) as host, running_gateway(configuration(host)) as run:
        client = await run.connect()
        started_us = now_us()
        client.send(request())
        await wait_until(lambda: host.exchanges)
        attempt = await postpone(run, has_begun)
        if has_begun:
            assert POSTPONED_S * 0.9e6 < attempt.held_back_us < now_us() - started_us
        else:
            assert attempt.held_back_us == 0
        client.close()
