"""Responses that wait for their client: what the gateway holds of them, and for how long."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest

from cloverkeel.core.draining import shutdown_schedule
from cloverkeel.core.memory_account import MAX_STREAM_BYTES
from cloverkeel.core.messages import MAX_BUFFERED_BODY_BYTES
from cloverkeel.frontends.http1.connection import ClientConnection
from cloverkeel.frontends.http1.server import EXPIRY_SCAN_INTERVAL_S
from tests.frontends.test_large_bodies import (
    chunked,
    connect_with_small_buffers,
    count_pending,
    read_response,
)
from tests.sockets import (
    Client,
    Exchange,
    Message,
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


# The end of a response, while its client reads nothing

TAIL_BODY = BODY[: 70 * 1024]  # streamed, and given by its host before the client reads
JUST_UNDER_S = 9.9  # README, "Limits": the client may read nothing for 10 s
JUST_OVER_S = 10.3  # with one interval between two checks


class Scanner:
    """Checks the time limits of a gateway's clients at times that the test sets."""

    def __init__(self, run: RunningGateway) -> None:
        self.server = run.server
        assert self.server.expiry_timer is not None
        self.server.expiry_timer.cancel()
        self.now_s = asyncio.get_running_loop().time()

    def advance(self, duration_s: float) -> None:
        """Check the limits as often as the server does, until `duration_s` have passed."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.check()
            self.now_s = min(end_s, self.now_s + EXPIRY_SCAN_INTERVAL_S)
        self.check()

    def check(self) -> None:
        """Check the limits at the present time."""
        self.server.timeouts.end_expired(self.server.connections, self.now_s, is_crowded=False)


@dataclass
class Tail:
    """A response whose end waits in the gateway."""

    body: bytes = TAIL_BODY
    framing: str = "length"
    version: bytes = b"HTTP/1.1"
    connection_header: str = ""
    input_behind: bytes = b""
    is_draining: bool = False
    is_reading_paused: bool = False  # as for want of memory


TAILS = {
    "whole": Tail(SMALL_BODY),
    "length": Tail(),
    "chunked": Tail(framing="chunked"),
    "until-close": Tail(framing="close"),
    "http-1.0": Tail(framing="chunked", version=b"HTTP/1.0"),
    "connection-close": Tail(connection_header="close"),
    "whole-connection-close": Tail(SMALL_BODY, connection_header="close"),
    "reading-paused": Tail(connection_header="close", is_reading_paused=True),
    "error-behind": Tail(input_behind=b"malformed\r\n\r\n"),
    "whole-error-behind": Tail(SMALL_BODY, input_behind=b"malformed\r\n\r\n"),
    "drain": Tail(is_draining=True),
}


@asynccontextmanager
async def waiting_tail(tail: Tail) -> AsyncIterator[tuple[RunningGateway, Client, ClientConnection]]:
    """Run a gateway with a response that its host has given, and whose client has read nothing."""

    async def script(exchange: Exchange) -> None:
        await may_respond.wait()
        exchange.respond(frame(tail.body, tail.framing))
        if tail.framing == "close":
            exchange.writer.close()

    may_respond = asyncio.Event()
    async with scripted_server(script) as host, running_gateway(configuration(host)) as run:
        client = await connect_with_small_buffers(run)
        (connection,) = run.server.connections
        if tail.is_draining:
            run.server.start_drain(shutdown_schedule(3.0))
            run.server.drain_state.started_s -= shutdown_schedule(3.0).keep_alive_until_s
        data = request("transfer", connection=tail.connection_header).replace(b"HTTP/1.1", tail.version)
        client.send(data + tail.input_behind)
        await wait_until(lambda: host.exchanges)
        if tail.is_reading_paused:
            connection.limit_memory()
        may_respond.set()
        await wait_until(lambda: connection.has_responded and not run.gateway.requests.by_key)
        assert unsent_bytes(connection) > 0
        yield run, client, connection
        client.close()


async def read_rest(client: Client, received: bytes) -> tuple[Message, bool]:
    """Read a response of which `received` was read before; return it and whether it is complete."""

    async def read_on() -> None:
        try:
            while data := await client.reader.read(64 * 1024):
                reader.feed_data(data)
        except ConnectionError:
            pass
        reader.feed_eof()

    reader = asyncio.StreamReader()
    reader.feed_data(received)
    reading = asyncio.create_task(read_on())
    try:
        return await read_response(Client(reader, client.writer))
    finally:
        reading.cancel()


@pytest.mark.parametrize("tail", TAILS.values(), ids=TAILS)
@on_loop
async def test_end_of_a_response_waits_for_a_client_that_pauses_twice(tail: Tail) -> None:
    """Guards against cutting off the end of a response that its host has given, earlier than the README says."""
    async with waiting_tail(tail) as (run, client, connection):
        scanner = Scanner(run)
        scanner.advance(JUST_UNDER_S)
        pending_bytes = count_pending(connection)
        received = b""
        while count_pending(connection) >= pending_bytes:
            received += await client.reader.read(1024)
        scanner.advance(JUST_UNDER_S)
        message, is_complete = await read_rest(client, received)
        assert is_complete and message.status == 200 and message.body == tail.body


@pytest.mark.parametrize("tail", TAILS.values(), ids=TAILS)
@on_loop
async def test_end_of_a_response_is_given_up_if_its_client_reads_nothing(tail: Tail) -> None:
    """Guards against connections that are never given up."""
    async with waiting_tail(tail) as (run, _, _connection):
        Scanner(run).advance(JUST_OVER_S)
        await wait_until(lambda: not run.server.connections)
        assert sum(run.gateway.account.bytes_by_owner[:1]) == 0
