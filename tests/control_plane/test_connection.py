"""Connections: gzip, bad requests, bounds."""

from __future__ import annotations

import asyncio
import gzip
import json

import pytest

from cloverkeel.control_plane.config import Limits
from cloverkeel.control_plane.connection import MAX_REQUEST_BYTES
from cloverkeel.control_plane.encoding import MIN_GZIP_BYTES
from cloverkeel.control_plane.messages import ListResponse, Subscriber
from tests.control_plane.relay_harness import (
    HOLD,
    desk,
)
from tests.sockets import on_loop, until


@pytest.mark.parametrize(
    ("headers", "is_zipped"),
    [
        ((), False),
        (("Accept-Encoding: gzip",), True),
        (("accept-encoding: br;q=1.0, GZIP ; q=0.5",), True),
        (("Accept-Encoding: br, gzip;q=0",), False),
        (("Accept-Encoding: gzip; q=0.000",), False),
        (("Accept-Encoding: gzip;q=much",), False),
        (("Accept-Encoding: xgzip, *",), False),
        (("X-Accept-Encoding: gzip",), False),
    ],
)
@on_loop
async def test_who_takes_gzip_gets_it_where_it_is_worth_it(headers: tuple[str, ...], is_zipped: bool) -> None:
    async with desk() as one:
        client = await one.client()
        plain = (await one.get("/registry/instances?gateway=g2", client)).body
        assert len(plain) > MIN_GZIP_BYTES
        answer = await one.get("/registry/instances?gateway=g2", client, *headers)
        assert (answer.headers.get("content-encoding") == "gzip") == is_zipped
        assert (len(answer.body) < len(plain) / 2) == is_zipped
        told = [json.loads(each) for each in (plain, gzip.decompress(answer.body) if is_zipped else answer.body)]
        assert told[0]["endpoints"] == told[1]["endpoints"] and "age_ms" in told[1]
        short = await one.get("/registry/instances?gateway=g0&services=none", client, *headers)
        assert len(short.body) < MIN_GZIP_BYTES and "content-encoding" not in short.headers and json.loads(short.body)
        again = await one.get("/registry/instances?gateway=g2", client)
        assert "content-encoding" not in again.headers, "what an earlier call took is not asked of this one"


@on_loop
async def test_connections_are_bounded_and_idle_ones_end() -> None:
    async with desk(Limits(max_connections=2, idle_timeout_s=2)) as one:
        first, second, third = [await one.client() for _ in range(3)]
        assert await third.reader.read() == b"", "beyond the bound"
        assert (await one.get("/health/ready", first)).status == 200
        assert await second.reader.read() == b"" and await first.reader.read() == b""
        assert one.server.counters.closed_idle == 2


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"GET /registry/instances?wide=9 HTTP/1.1\r\nHost: r\r\n\r\n", 400),
        (b"GET /registry/instances?from=x HTTP/1.1\r\nHost: r\r\n\r\n", 400),
        (b"POST /registry/instances HTTP/1.1\r\nHost: r\r\nContent-Length: 1\r\n\r\nx", 400),
        (b"GET /registry/instances?services=" + b"x" * MAX_REQUEST_BYTES, 431),
        (b"no call\r\n\r\n", 400),
        (b"GET /health/ready HTTP/1.1\r\nHost: r\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", 400),
    ],
    ids=["wide", "from", "body", "long", "garbage", "upgrade"],
)
@on_loop
async def test_what_is_no_call_is_refused_and_the_connection_ends(sent: bytes, status: int) -> None:
    async with desk() as one:
        client = await one.client()
        client.send(sent)
        assert (await client.answer()).status == status
        assert await client.reader.read() == b""


@on_loop
async def test_a_second_call_beside_one_that_waits_is_refused() -> None:
    async with desk() as one:
        client = await one.client()
        held = await one.listed("gateway=g0", client)
        call = f"GET /registry/instances?gateway=g0&from={held['index']}{HOLD} HTTP/1.1\r\nHost: r\r\n\r\n".encode()
        client.send(call + call)
        assert (await client.answer()).status == 400
        await until(lambda: not one.server.long_polls.connections_by_key and not one.server.connections)


@on_loop
async def test_an_answer_that_cannot_be_made_ends_its_caller_and_no_other(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    async with desk() as one:
        clients = [await one.client() for _ in range(2)]
        held = [await one.listed(f"gateway=g{n}&services=s", client) for n, client in enumerate(clients)]
        calls = [f"/registry/instances?gateway=g{n}&services=s&from={held[n]['index']}{HOLD}" for n in range(2)]
        clients[0].send(f"GET {calls[0]} HTTP/1.1\r\nHost: r\r\n\r\n".encode())
        await until(lambda: any(connection.pending_request for connection in one.server.connections))
        wait = asyncio.create_task(one.get(calls[1], clients[1]))
        await until(lambda: sum(connection.pending_request is not None for connection in one.server.connections) == 2)
        sound = one.server.cache.respond

        def spoilt(asker: Subscriber, since: int | None) -> ListResponse | None:
            if asker.gateway == "g0":
                raise RuntimeError("spoilt")
            return sound(asker, since)

        monkeypatch.setattr(one.server.cache, "respond", spoilt)
        one.change(("s-0", "DRAINING"))
        assert (await wait).status == 200
        assert await clients[0].reader.read() == b"" and "DEFECT" in capsys.readouterr().err
