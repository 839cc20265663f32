"""Responses that are on their way when the process is told to end, with real processes."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from cloverkeel.assembly import assemble
from cloverkeel.cli import serving
from cloverkeel.core import draining
from cloverkeel.core.config import parse
from tests.admin.test_operations import gateway
from tests.cli.process import READY, ask, program
from tests.frontends.test_client_output import frame
from tests.frontends.test_large_bodies import read_response
from tests.sockets import (
    Client,
    Exchange,
    configuration,
    on_loop,
    on_loop_for,
    reply,
    request,
    respond_with,
    scripted_server,
    wait_until,
)

MB = 1024 * 1024
BODY = random.Random(3).randbytes(12 * MB)
SMALL_BUFFER_BYTES = 64 * 1024
KILL_S = 3.7  # the earliest SIGKILL after SIGTERM: the longest client timeout of 3 s and 0.7 s
PAUSE_S = 9.0  # README, "Limits": the client may read nothing for 10 s
GIVEN_UP_S = KILL_S + 10.0 + 1.0


async def connect(port: int) -> Client:
    """Connect a client for which the kernel buffers little, so that its pace is the gateway's."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    return Client(*await asyncio.open_connection(sock=sock, limit=SMALL_BUFFER_BYTES))


@asynccontextmanager
async def begun_response(folder: Path, data: bytes) -> AsyncIterator[tuple[asyncio.subprocess.Process, Client]]:
    """Run a gateway and a client that has sent `data` and got the head of a large response."""
    async with (
        scripted_server(respond_with(reply(200, BODY))) as host,
        program(folder, configuration(host)) as (process, port),
    ):
        client = await connect(port)
        client.send(data)
        await client.reader.readuntil(b"\r\n\r\n")
        yield process, client


@pytest.mark.processes
@pytest.mark.parametrize("signals", [("SIGTERM",), ("SIGTERM", "SIGTERM", "SIGINT"), ("SIGHUP", "SIGTERM", "SIGHUP")])
@pytest.mark.parametrize("framing", ["length", "chunked"])
@on_loop_for(2.0)
async def test_response_that_is_being_read_is_complete_after_the_end_of_the_drain(
    tmp_path: Path, framing: str, signals: tuple[str, ...]
) -> None:
    """Guards against cutting off a response that its host gives and its client reads, 3.4 s after SIGTERM."""
    async with (
        scripted_server(respond_with(frame(BODY, framing))) as host,
        program(tmp_path, configuration(host)) as (process, port),
    ):
        client = await connect(port)
        client.send(request())
        head = await client.reader.readuntil(b"\r\n\r\n")
        began_s = time.monotonic()
        for name in signals:
            process.send_signal(getattr(signal, name))
        await asyncio.sleep(KILL_S)  # the client reads nothing meanwhile: most of the body is still to come
        assert process.returncode is None
        reader = asyncio.StreamReader()
        reader.feed_data(head)
        reading = asyncio.create_task(read_response(Client(reader, client.writer)))
        while data := await client.reader.read(SMALL_BUFFER_BYTES):
            reader.feed_data(data)
        reader.feed_eof()
        message, is_complete = await reading
        assert is_complete and message.body == BODY
        assert await process.wait() == 0
        assert time.monotonic() - began_s > KILL_S


@pytest.mark.processes
@on_loop_for(2.0)
async def test_response_whose_client_pauses_during_the_shutdown_is_complete(tmp_path: Path) -> None:
    """Guards against an end of the process within the 10 s for which a client may read nothing."""
    async with begun_response(tmp_path, request() + request()) as (process, client):
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(PAUSE_S)
        assert await client.reader.readexactly(len(BODY)) == BODY
        assert (await client.read_response()).status in (502, 503, 504)  # the second one is refused, and told so
        assert await process.wait() == 0


@pytest.mark.processes
@on_loop_for(2.0)
async def test_process_ends_although_a_client_reads_nothing(tmp_path: Path) -> None:
    """Guards against a process that never ends: what is stalled is given up by its own limit."""
    async with begun_response(tmp_path, request()) as (process, client):
        process.send_signal(signal.SIGTERM)
        began_s = time.monotonic()
        _, errors = await process.communicate()
        assert process.returncode == 0 and time.monotonic() - began_s < GIVEN_UP_S
        assert b"delivering responses, connections=1" in errors and b"deadline exceeded" not in errors


@pytest.mark.processes
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"], ids=["length", "until-close"])
@on_loop_for(2.0)
async def test_old_process_of_an_upgrade_completes_a_response_whose_client_pauses(
    tmp_path: Path, version: bytes
) -> None:
    """Guards against an upgrade that cuts off what the old process is still delivering."""
    response = reply(200, BODY) if version == b"HTTP/1.1" else frame(BODY, "chunked")
    async with (
        scripted_server(respond_with(response)) as host,
        gateway(tmp_path, configuration(host)) as processes,
    ):
        old = await processes.start()
        client = await connect(processes.port)
        client.send(request().replace(b"HTTP/1.1", version))
        await client.reader.readuntil(b"\r\n\r\n")
        await processes.start()
        old.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(PAUSE_S)
        assert await ask(processes.port, READY) == 200
        body = await (client.reader.readexactly(len(BODY)) if version == b"HTTP/1.1" else client.reader.read())
        assert body == BODY
        assert await old.process.wait() == 0


async def use_connections(port: int, ending: asyncio.Event, answered: set[str], batch: int) -> None:
    """Send requests in batches on one connection after another; add the ids of those that are answered."""
    while not ending.is_set():
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            client = await connect(port)
            is_open = True
            while is_open:
                requests = [request("search", budget_ms=750) for _ in range(batch)]
                client.send(b"".join(requests))
                for data in requests:
                    message = await client.read_response()
                    answered.add(data.partition(b"x-call-id: ")[2].split()[0].decode())
                    is_open = message.headers.get("connection") != "close"
        await asyncio.sleep(0.01)


@pytest.mark.processes
@pytest.mark.parametrize("batch", [1, 8])
@on_loop
async def test_requests_that_hosts_run_at_the_end_of_the_drain_are_answered(tmp_path: Path, batch: int) -> None:
    """Guards against an end of the process on requests in flight, with clients that use connections until then."""

    def respond_late(exchange: Exchange) -> None:
        asyncio.get_running_loop().call_later(0.03, exchange.respond, reply())

    async with scripted_server(respond_late) as host, program(tmp_path, configuration(host)) as (process, port):
        ending, answered = asyncio.Event(), set[str]()
        clients = [asyncio.create_task(use_connections(port, ending, answered, batch)) for _ in range(16)]
        await wait_until(lambda: len(host.exchanges) > 50)
        process.send_signal(signal.SIGTERM)
        began_s = time.monotonic()
        _, errors = await process.communicate()
        ending.set()
        await asyncio.gather(*clients)
        assert process.returncode == 0 and time.monotonic() - began_s < KILL_S
        assert {exchange.message.headers["x-call-id"] for exchange in host.exchanges} <= answered
        assert b"unanswered" not in errors


@pytest.mark.processes
@on_loop
async def test_client_that_never_stops_sending_does_not_keep_the_process(tmp_path: Path) -> None:
    """Guards against a connection that always has one more request, and so never gets its last response."""

    async def send_on(client: Client) -> None:
        with contextlib.suppress(ConnectionError, OSError):
            while not client.writer.is_closing():
                client.send(request("search", budget_ms=750) * 20)
                await client.writer.drain()

    async def read_on(client: Client) -> None:
        with contextlib.suppress(ConnectionError, OSError):
            while await client.reader.read(SMALL_BUFFER_BYTES):
                pass

    async with scripted_server() as host, program(tmp_path, configuration(host)) as (process, port):
        client = await connect(port)
        tasks = [asyncio.create_task(act(client)) for act in (send_on, read_on)]
        await wait_until(lambda: host.exchanges)
        process.send_signal(signal.SIGTERM)
        began_s = time.monotonic()
        _, errors = await process.communicate()
        assert process.returncode == 0 and time.monotonic() - began_s < KILL_S
        assert b"unanswered" not in errors
        for task in tasks:
            task.cancel()


@pytest.mark.processes
@on_loop
async def test_upload_that_lasts_until_the_end_of_the_drain_gets_an_answer(tmp_path: Path) -> None:
    """Guards against closing a connection on a request that is still arriving, with no answer."""
    async with scripted_server() as host, program(tmp_path, configuration(host)) as (process, port):
        client = await connect(port)
        client.send(request("transfer", content_length=str(4 * MB)))
        answer = asyncio.create_task(client.read_response())
        process.send_signal(signal.SIGTERM)
        began_s = time.monotonic()
        with contextlib.suppress(ConnectionError):
            while not answer.done():
                client.send(bytes(8 * 1024))
                await asyncio.sleep(0.05)
        assert (await answer).status == 408 and time.monotonic() - began_s < KILL_S
        assert await process.wait() == 0


@on_loop
async def test_process_ends_although_a_response_moves_for_ever(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a process that never ends: a host that sends a byte now and then is never given up."""

    async def send_for_ever(exchange: Exchange) -> None:
        exchange.writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(BODY))
        while not exchange.writer.is_closing():
            exchange.writer.write(b"x")
            await asyncio.sleep(0.01)

    monkeypatch.setattr(draining, "MAX_DRAIN_S", 0.1)
    monkeypatch.setattr(draining, "MAX_DELIVERY_S", 0.5)
    async with scripted_server(send_for_ever) as host:
        program_parts = assemble(parse(configuration(host)))
        await program_parts.server.start()
        assert program_parts.server.listener.socket is not None
        client = await connect(program_parts.server.listener.socket.getsockname()[1])
        client.send(request())
        await client.reader.readuntil(b"\r\n\r\n")
        await serving._shut_down(program_parts, None)
        program_parts.server.close()
