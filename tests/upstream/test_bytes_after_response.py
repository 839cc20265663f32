"""Bytes that a host sends after its response: they never reach the client, and the response stays complete."""

from __future__ import annotations

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.core.messages import MAX_BUFFERED_BODY_BYTES, Reply
from cloverkeel.protocols.http1 import ReplyReader
from tests.sockets import (
    Client,
    Exchange,
    Message,
    RunningGateway,
    ScriptedServer,
    configuration,
    host_id,
    never_respond,
    on_loop,
    reply,
    request,
    respond_with,
    running_gateway,
    scripted_server,
    wait_until,
)

BUFFERED = random.Random(2).randbytes(1_000)
STREAMED = random.Random(3).randbytes(3 * MAX_BUFFERED_BODY_BYTES)
OTHER = random.Random(4).randbytes(2 * MAX_BUFFERED_BODY_BYTES)
CHUNK_BYTES = 50_000


def chunked_reply(body: bytes) -> bytes:
    pieces = [body[begin : begin + CHUNK_BYTES] for begin in range(0, len(body), CHUNK_BYTES)]
    framed = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
    return b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + framed + b"0\r\n\r\n"


RESPONSES = {
    "buffered-length": (reply(200, BUFFERED), BUFFERED),
    "buffered-chunked": (chunked_reply(BUFFERED), BUFFERED),
    "streamed-length": (reply(200, STREAMED), STREAMED),
    "streamed-chunked": (chunked_reply(STREAMED), STREAMED),
}
BYTES_AFTER = {
    "streamed-length": reply(200, OTHER),
    "streamed-chunked": chunked_reply(OTHER),
    "until-close": b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n" + OTHER,
    "buffered": reply(200, b"another's"),
    "error": reply(500, OTHER),
    "no-content": b"HTTP/1.1 204 X\r\n\r\n",
    "not-modified": b"HTTP/1.1 304 X\r\nContent-Length: 7\r\n\r\n",
    "interim": b"HTTP/1.1 103 X\r\nLink: </a>\r\n\r\n",
    "head-begun": b"HTTP/1.1 200 X\r\nContent-Le",
    "body-begun": reply(200, OTHER)[:90_000],
    "noise": b"\x00\xff~~~~",
}


async def read_whole_response(client: Client) -> Message:
    """Read a response with a length or in chunks; raise IncompleteReadError if the connection ends within it."""
    head = (await client.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *lines = head[:-4].split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    if headers.get("transfer-encoding") != "chunked":
        return Message(start_line, headers, await client.reader.readexactly(int(headers["content-length"])))
    body = b""
    while size := int(await client.reader.readuntil(b"\r\n"), 16):
        body += (await client.reader.readexactly(size + 2))[:-2]
    await client.reader.readexactly(2)
    return Message(start_line, headers, body)


def is_same(received: bytes, expected: bytes) -> bool:
    """Compare outside of an assertion: with CI set, pytest takes minutes to print how long byte strings differ."""
    return received == expected


async def expect_body(client: Client, body: bytes) -> None:
    response = await read_whole_response(client)
    assert response.status == 200 and is_same(response.body, body)


async def expect_next_request_on_new_connection(run: RunningGateway, client: Client, host: ScriptedServer) -> None:
    """The client's connection stays usable, and no request is written behind the unexpected bytes."""
    host.script = respond_with(reply(200, b"next"))
    assert (await client.send_request(request())).body == b"next"
    assert [exchange.connection for exchange in host.exchanges] == [1, 2]
    assert run.pool.open_connections == 1


@pytest.mark.parametrize("after", BYTES_AFTER)
@pytest.mark.parametrize("kind", RESPONSES)
@on_loop
async def test_response_is_complete_if_more_bytes_follow_in_the_same_write(kind: str, after: str) -> None:
    """Guards against a response cut off, or replaced by the next one, because one read holds parts of both."""
    response, body = RESPONSES[kind]
    async with (
        scripted_server(respond_with(response + BYTES_AFTER[after])) as host,
        running_gateway(configuration(host)) as run,
    ):
        client = await run.connect()
        client.send(request())
        await expect_body(client, body)
        await wait_until(lambda: not run.gateway.requests.by_key)
        await wait_until(lambda: not run.pool.open_connections)
        await expect_next_request_on_new_connection(run, client, host)
        client.close()


@pytest.mark.parametrize("after", BYTES_AFTER)
@pytest.mark.parametrize("kind", ["buffered-length", "streamed-chunked"])
@pytest.mark.parametrize("split_bytes", [0, 20, 70_000])
@on_loop
async def test_bytes_that_follow_a_delivered_response_close_the_connection(
    kind: str, after: str, split_bytes: int
) -> None:
    """Guards against a late or divided second response that is given to a request already answered."""
    response, body = RESPONSES[kind]
    data = BYTES_AFTER[after]
    async with (
        scripted_server(respond_with(response + data[:split_bytes])) as host,
        running_gateway(configuration(host)) as run,
    ):
        client = await run.connect()
        client.send(request())
        await expect_body(client, body)
        host.exchanges[0].respond(data[split_bytes:])
        await wait_until(lambda: not run.pool.open_connections)
        await expect_next_request_on_new_connection(run, client, host)
        client.close()


@pytest.mark.parametrize("kind", ["streamed-length", "streamed-chunked"])
@on_loop
async def test_slow_client_gets_a_complete_response_that_a_copy_follows(kind: str) -> None:
    """The copy arrives while reading from the host is paused, or in the read that completes the response."""
    body = STREAMED * 40
    framed = reply(200, body) if kind == "streamed-length" else chunked_reply(body)
    async with (
        scripted_server(respond_with(framed + framed)) as host,
        running_gateway(configuration(host)) as run,
    ):
        client = await run.connect()
        client.send(request())
        await wait_until(lambda: any(c.output.is_paused for c in run.server.connections))
        await expect_body(client, body)
        await wait_until(lambda: not run.pool.open_connections)
        await expect_next_request_on_new_connection(run, client, host)
        client.close()


@pytest.mark.parametrize("kind", ["streamed-length", "streamed-chunked"])
@on_loop
async def test_second_attempt_is_complete_if_a_copy_follows_its_response(kind: str) -> None:
    response, body = RESPONSES[kind]

    def reject_first(exchange: Exchange) -> None:
        is_first = len(a.exchanges) + len(b.exchanges) == 1
        exchange.respond(reply(503, b"", "X-Rejected: 1") * 2 if is_first else response * 2)

    async with (
        scripted_server(reject_first) as a,
        scripted_server(reject_first) as b,
        running_gateway(configuration(a, b)) as run,
    ):
        client = await run.connect()
        client.send(request("transfer"))
        await expect_body(client, body)
        assert len(a.exchanges) == len(b.exchanges) == 1
        client.close()


@on_loop
async def test_client_that_leaves_during_a_response_followed_by_a_copy_ends_the_attempt() -> None:
    framed = chunked_reply(STREAMED * 40)
    async with scripted_server(never_respond) as host, running_gateway(configuration(host)) as run:
        client = await run.connect()
        client.send(request())
        await wait_until(lambda: host.exchanges)
        host.exchanges[0].respond(framed + framed)
        await client.reader.readuntil(b"\r\n\r\n")
        client.close()
        await wait_until(lambda: not run.gateway.requests.by_key and not run.pool.open_connections)
        host.script = respond_with(reply())
        assert (await run.send_request(request())).body == b"fine"


@on_loop
async def test_shutdown_completes_a_response_that_a_copy_follows() -> None:
    response, body = RESPONSES["streamed-chunked"]
    async with scripted_server(never_respond) as host, running_gateway(configuration(host)) as run:
        client = await run.connect()
        client.send(request())
        await wait_until(lambda: host.exchanges)
        shutdown = asyncio.create_task(run.server.shut_down())
        await wait_until(lambda: run.server.drain_state.schedule is not None)
        host.exchanges[0].respond(response * 2)
        await expect_body(client, body)
        client.close()
        await shutdown


@on_loop
async def test_host_that_drains_completes_a_response_that_a_copy_follows() -> None:
    response, body = RESPONSES["streamed-chunked"]
    async with scripted_server(never_respond) as host, running_gateway(configuration(host)) as run:
        client = await run.connect()
        client.send(request())
        await wait_until(lambda: host.exchanges)
        run.pool.start_drain(run.pool.hosts[host_id(0)])
        host.exchanges[0].respond(response * 2)
        await expect_body(client, body)
        await wait_until(lambda: not run.pool.open_connections)
        client.close()


# Without sockets


@settings(max_examples=300)
@given(
    st.sampled_from(sorted(RESPONSES)),
    st.lists(st.sampled_from(sorted(BYTES_AFTER)), min_size=1, max_size=3),
    st.lists(st.integers(1, 250_000), max_size=6),
)  # fmt: skip
def test_reader_reports_nothing_after_the_end_of_a_response(kind: str, after: list[str], splits: list[int]) -> None:
    """Guards against events of a second response that `feed` reports before it returns the first one."""
    response, body = RESPONSES[kind]
    data = response + b"".join(BYTES_AFTER[name] for name in after)
    starts: list[Reply] = []
    pieces: list[bytes] = []
    reader = ReplyReader(on_stream_start=lambda head, length: starts.append(head), on_chunk=pieces.append)
    reads = []
    for split in splits:
        reads.append(data[:split])
        data = data[split:]
    reads.append(data)
    fed_bytes = 0
    for read in reads:
        fed_bytes += len(read)
        ended = reader.feed(read)
        if ended is not None:
            break
    assert ended is not None and ended.status == 200
    assert is_same(b"".join(pieces) or ended.body, body)
    assert len(starts) == (1 if kind.startswith("streamed") else 0)
    assert ended.keep_alive == (fed_bytes == len(response))
