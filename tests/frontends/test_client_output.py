"""Responses that wait for their client: what the gateway holds of them, and for how long."""

from __future__ import annotations

import asyncio
import random

import pytest

from cloverkeel.core.memory_account import MAX_STREAM_BYTES
from cloverkeel.core.messages import MAX_BUFFERED_BODY_BYTES
from cloverkeel.frontends.http1.connection import ClientConnection
from tests.frontends.test_large_bodies import chunked, connect_with_small_buffers, read_response
from tests.sockets import (
    Exchange,
    RunningGateway,
    configuration,
    on_loop,
    reply,
    request,
    running_gateway,
    scripted_server,
    wait_until,
)

MB = 1024 * 1024
BODY = random.Random(2).randbytes(8 * MB)
SMALL_BODY = BODY[: 60 * 1024]  # returned whole
# Earlier responses may wait up to the size of a stream's buffer and one whole response; one read may be added.
MAX_HELD_BYTES = 2 * MAX_STREAM_BYTES + 2 * MAX_BUFFERED_BODY_BYTES
FRAMINGS = ("length", "chunked", "close")


def frame(body: bytes, framing: str) -> bytes:
    """Return a response of a host in one of the framings of HTTP/1.1."""
    if framing == "chunked":
        return chunked(body)
    if framing == "close":
        return b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n" + body
    return reply(200, body)


def unsent_bytes(connection: ClientConnection) -> int:
    """Return how many bytes the kernel has not taken from the gateway."""
    return connection.transport.get_write_buffer_size() if connection.transport is not None else 0


async def hold_until_paused(run: RunningGateway, connection: ClientConnection) -> int:
    """Wait until the host's response is not read any more; return the most that waited for the client."""
    most_bytes = 0

    def is_paused() -> bool:
        nonlocal most_bytes
        most_bytes = max(most_bytes, unsent_bytes(connection))
        attempts = [attempt for held in run.gateway.requests.by_key.values() for attempt in held.attempts]
        return most_bytes > MAX_HELD_BYTES or any(getattr(attempt, "is_paused", False) for attempt in attempts)

    await wait_until(is_paused)
    for _ in range(20):
        await asyncio.sleep(0)
        is_paused()
    return most_bytes


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("earlier_body", [SMALL_BODY, BODY[: 70 * 1024]], ids=["whole", "streamed"])
@on_loop
async def test_stream_that_begins_while_its_client_is_behind_is_held_back(framing: str, earlier_body: bytes) -> None:
    """Guards against reading a whole large response into memory behind responses that a client does not read."""

    def script(exchange: Exchange) -> None:
        is_last = len(host.exchanges) == 2
        exchange.respond(frame(BODY, framing) if is_last else reply(200, earlier_body))
        if is_last and framing == "close":
            exchange.writer.close()

    async with scripted_server(script) as host, running_gateway(configuration(host)) as run:
        client = await connect_with_small_buffers(run)
        (connection,) = run.server.connections
        client.send(b"".join(request("transfer") for _ in range(2)))
        await wait_until(lambda: len(host.exchanges) == 2 and connection.stream is not None)
        most_bytes = await hold_until_paused(run, connection)
        assert most_bytes <= MAX_HELD_BYTES
        assert connection.charge.charged_bytes >= unsent_bytes(connection)
        responses = [await read_response(client) for _ in range(2)]
        assert [is_complete for _, is_complete in responses] == [True] * 2
        assert [message.body for message, _ in responses] == [earlier_body, BODY]
        await wait_until(lambda: not run.gateway.requests.by_key)
        client.close()
        await wait_until(lambda: not run.server.connections)
        assert run.gateway.account.bytes_by_owner[0] == 0
