"""Limits on clients: silent clients, unfinished requests, too many connections, malformed requests."""

from __future__ import annotations

import asyncio
import resource
from pathlib import Path
from types import ModuleType

import pytest

from cloverkeel.frontends.http1 import timeouts
from tests.sockets import (
    configuration,
    never_respond,
    on_loop,
    reply,
    request,
    running_gateway,
    scripted_server,
    wait_for_reuse_delay,
    wait_until,
)
from tests.cli.process import READY, connect, program

TRANSFER = b"POST /transfer/1 HTTP/1.1\r\nHost: b\r\nX-Call-Id: i\r\n"
SMUGGLED = b"0\r\n\r\n" + request("transfer")


def shorten_timeouts(monkeypatch: pytest.MonkeyPatch, module: ModuleType, *names: str) -> None:
    """Set these time limits to 0.05 s in the module that reads them."""
    for name in names:
        monkeypatch.setattr(module, name, 0.05)


@on_loop
async def test_silent_and_idle_connections_time_out_and_a_busy_one_does_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with scripted_server(never_respond) as host, running_gateway(configuration(host)) as run:
        busy, silent_client, idle_client = [await run.connect() for _ in range(3)]
        busy.send(request("transfer"))
        assert (await idle_client.send_request(READY)).status == 200
        await wait_until(lambda: host.exchanges)
        shorten_timeouts(
            monkeypatch, timeouts, "FIRST_BYTE_TIMEOUT_S", "KEEP_ALIVE_TIMEOUT_S", "CROWDED_KEEP_ALIVE_TIMEOUT_S"
        )
        assert await silent_client.reader.read() == b"" and await idle_client.reader.read() == b""
        await wait_until(lambda: len(run.server.connections) == 1)
        host.exchanges[0].respond(reply(200, b"late"))
        assert (await busy.read_response()).body == b"late"
        limits = run.server.timeouts
        for phase in (limits.accepted, limits.reading, limits.keep_alive, limits.delivering, limits.lingering):
            await wait_until(lambda phase=phase: not phase)  # type: ignore[misc]
        for client in (busy, silent_client, idle_client):
            client.close()


@pytest.mark.parametrize(
    "begun",
    [
        b"G",
        b"\r\n",
        TRANSFER,
        TRANSFER + b"Content-Length: 9\r\n\r\nhalf",
        TRANSFER + b"Content-Length: 1\r\n\r\n",
    ],
)
@on_loop
async def test_request_that_does_not_arrive_in_time_gets_408(begun: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    shorten_timeouts(monkeypatch, timeouts, "REQUEST_TIMEOUT_S", "LINGER_TIMEOUT_S")
    async with scripted_server() as host, running_gateway(configuration(host)) as run:
        client = await run.connect()
        answer = await client.send_request(begun)
        assert answer.status == 408 and answer.headers["connection"] == "close"
        assert await client.reader.read() == b""
        await wait_until(lambda: not run.server.connections)
        assert not host.exchanges
        client.close()


@on_loop
async def test_silent_clients_leave_descriptors_to_hosts_and_other_clients(tmp_path: Path) -> None:
    """Runs the real program with 80 descriptors and 300 connections that send nothing."""
    config = configuration("127.0.0.1:1") | {"limits": {"sockets": 80}}
    async with scripted_server() as host:
        config["known"]["endpoints"][0]["address"] = host.address
        async with program(tmp_path, config) as (process, port):
            client = await connect(port)
            assert (await client.send_request(request("transfer"))).status == 200
            silent_clients = await asyncio.gather(*(connect(port) for _ in range(300)))
            other = await connect(port)
            for sender in (client, other):
                await wait_for_reuse_delay()
                sender.send(request("transfer"))
                try:
                    assert (await sender.read_response()).status == 200
                except (ConnectionError, asyncio.IncompleteReadError):  # closed before the request arrived
                    retry_client = await connect(port)
                    assert (await retry_client.send_request(request("transfer"))).status == 200
                    retry_client.close()
            assert host.connection_count == 1  # the connection to the host is reused
            count = len(list(Path(f"/proc/{process.pid}/fd").iterdir()))
            assert count <= 80
            for connected_client in (*silent_clients, client, other):
                connected_client.close()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (TRANSFER + b"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n" % len(SMUGGLED) + SMUGGLED, 400),
        (TRANSFER + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n" + SMUGGLED, 400),
        (TRANSFER + b"Content-Length: 0\r\nContent-Length: 9\r\n\r\n" + SMUGGLED, 400),
        (TRANSFER + b"Content-Length: 0, 0\r\n\r\n" + SMUGGLED, 400),
        (TRANSFER + b"Content-Length: +0\r\n\r\n" + SMUGGLED, 400),
        (TRANSFER + b"Content-Length: \r\n\r\n" + SMUGGLED, 400),
        (TRANSFER + b"Transfer-Encoding: gzip\r\n\r\n" + SMUGGLED, 501),
        (TRANSFER + b"Transfer-Encoding: gzip, chunked\r\n\r\n" + SMUGGLED, 501),
        (TRANSFER + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + SMUGGLED, 400),
        (TRANSFER + b"Transfer-Encoding: \x0bchunked\r\n\r\n" + SMUGGLED, 400),
        (TRANSFER + b"Transfer-Encoding: chunked\r\n\r\n-1\r\n" + SMUGGLED, 400),
        (TRANSFER + b"Transfer-Encoding: chunked\r\n\r\n" + b"f" * 17 + b"\r\n" + SMUGGLED, 400),
        (TRANSFER + b"Transfer-Encoding: chunked\r\n\r\n1;" + b"x" * 40_000, 431),
        (TRANSFER + b"Content-Length: 60000000\r\n\r\n" + b"x" * 500_000, 413),
        (TRANSFER + b"Expect: miracles\r\nContent-Length: 1\r\n\r\n", 417),
        (TRANSFER + b"X-Call-Id: j\r\nContent-Length: 0\r\n\r\n", 400),
        (TRANSFER + b"X-A: b\x00c\r\nContent-Length: 0\r\n\r\n", 400),
        (TRANSFER + b"X-A: b\r\n folded\r\nContent-Length: 0\r\n\r\n", 400),
        (TRANSFER + b"X: y\r\n" * 4000, 431),
        (TRANSFER + b"X: y\r\n" * 200 + b"Content-Length: 0\r\n\r\n", 431),
        (b"\r\n" * 10_000, 431),
        (b"GET /" + b"s" * 20_000, 431),
        (b"GET /search/1\r\n\r\n", 505),
        (b"GET /search/1#2 HTTP/1.1\r\nX-Call-Id: i\r\n\r\n", 400),
        (b"GET http://b/search/1 HTTP/1.1\r\nX-Call-Id: i\r\n\r\n", 404),
        (b"GET /search/1 HTTP/1.1\r\nX-Call-Id: " + b"i" * 200 + b"\r\n\r\n", 400),
        (b"CONNECT b:1 HTTP/1.1\r\n\r\n", 404),
        (b"OPTIONS * HTTP/1.1\r\n\r\n", 404),
        (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400),
    ],
)
@on_loop
async def test_invalid_request_is_rejected_and_does_not_reach_a_host(data: bytes, status: int) -> None:
    async with scripted_server() as host, running_gateway(configuration(host)) as run:
        client = await run.connect()
        client.send(data)
        answer = await client.read_response()
        assert answer.status == status
        assert (await run.send_request(request())).status == 200
        assert len(host.exchanges) == 1 and "search" in host.exchanges[0].message.start_line
        client.close()


@on_loop
async def test_pipelined_requests_beyond_the_limit_wait_unparsed_and_are_answered() -> None:
    async with scripted_server() as host, running_gateway(configuration(host)) as run:
        client = await run.connect()
        client.send(b"GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n" * 1000)
        max_completed = 0
        for _ in range(1000):
            assert (await client.read_response()).status == 200
            max_completed = max(
                max_completed, *(len(connection.reader.completed) for connection in run.server.connections)
            )
        assert 0 < max_completed < 200
        client.close()


@on_loop
async def test_budget_is_limited_to_the_class_timeout_and_zero_fails_at_once() -> None:
    async with scripted_server(never_respond) as host, running_gateway(configuration(host)) as run:
        clients = [await run.connect() for _ in range(2)]
        for client, request_class in zip(clients, ("transfer", "search"), strict=True):
            client.send(request(request_class, budget_ms=10**14))
        await wait_until(lambda: len(host.exchanges) == 2)
        assert all(int(exchange.message.headers["x-budget-ms"]) <= 20_000 for exchange in host.exchanges)
        assert (await run.send_request(request("transfer", budget_ms=0))).status in (502, 503, 504)
        for client in clients:
            client.close()


@on_loop
async def test_accept_without_a_free_descriptor_closes_an_idle_client(tmp_path: Path) -> None:
    """Runs the real program with fewer descriptors than its configuration says."""
    async with scripted_server() as host, program(tmp_path, configuration(host)) as (process, port):
        descriptors = [int(entry.name) for entry in Path(f"/proc/{process.pid}/fd").iterdir()]
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (max(descriptors) + 1, max(descriptors) + 1))
        free = max(descriptors) + 1 - len(descriptors)
        clients = []
        for _ in range(free + 3):
            client = await connect(port)
            clients.append(client)
            assert (await client.send_request(READY)).status == 200
        assert await clients[0].reader.read() == b""  # it was idle for the longest time
        for client in clients:
            client.close()
