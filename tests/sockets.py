"""Scripted peers on loopback ports, and the real gateway between them."""

from __future__ import annotations

import asyncio
import functools
import json
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, cast

import uvloop

from cloverkeel.balancing.balancer import Balancer
from cloverkeel.core.clock import now_us
from cloverkeel.core.config import parse, stable_id
from cloverkeel.assembly import assemble
from cloverkeel.core.gateway import Gateway
from cloverkeel.frontends.http1.server import Server
from cloverkeel.discovery.http_client import HttpEndpointSource
from cloverkeel.upstream.attempt_sender import AttemptSender
from cloverkeel.upstream.connection_pool import REUSE_DELAY_US, ConnectionPool

PROGRAM: tuple[str, ...] = (sys.executable, "-m", "cloverkeel")  # what is started as a process
PATIENCE_S = 30.0  # for anything that should happen: how long a broken test takes, never how long a good one


def on_loop(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Run a test on the loop that the program runs on."""

    @functools.wraps(test)
    def run(*args: Any, **named: Any) -> None:
        async def bounded() -> None:
            async with asyncio.timeout(PATIENCE_S):
                await test(*args, **named)

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(bounded())

    return run


async def until(condition: Callable[[], object]) -> None:
    """Wait until something holds that no event tells of."""
    while not condition():
        await asyncio.sleep(0.002)


@dataclass
class Message:
    """A request or an answer, as it was read."""

    first: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """One message with a Content-Length; IncompleteReadError if it is not whole."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first, headers, body)


def reply(status: int = 200, body: bytes = b"fine", *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@dataclass
class Exchange:
    """One request at a scripted peer, and the connection that it came on."""

    message: Message
    writer: asyncio.StreamWriter
    connection: int

    def answer(self, data: bytes) -> None:
        self.writer.write(data)

    def reset(self) -> None:
        self.writer.transport.abort()


Script = Callable[[Exchange], Awaitable[None] | None]


def answers(data: bytes) -> Script:
    return lambda exchange: exchange.answer(data)


def silent(exchange: Exchange) -> None:
    """Take the request and say nothing."""


@dataclass
class Peer:
    """A server that does with each request what its script says."""

    script: Script
    seen: list[Exchange] = field(default_factory=list)
    opened: int = 0
    ended: int = 0  # connections that the other side has closed
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    server: asyncio.Server | None = None
    address: str = ""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        connection = self.opened
        self.writers.append(writer)
        try:
            while True:
                exchange = Exchange(await read_message(reader), writer, connection)
                self.seen.append(exchange)
                done = self.script(exchange)
                if done is not None:
                    await done
        except (asyncio.IncompleteReadError, ConnectionError):
            self.ended += 1
            writer.close()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()


@asynccontextmanager
async def peer(script: Script = answers(reply())) -> AsyncIterator[Peer]:  # noqa: B008
    made = Peer(script)
    made.server = await asyncio.start_server(made.serve, "127.0.0.1", 0)
    host, port = made.server.sockets[0].getsockname()
    made.address = f"{host}:{port}"
    try:
        yield made
    finally:
        made.close()


def endpoint(name: str, address: str, **extra: object) -> dict[str, object]:
    entry: dict[str, object] = {
        "name": name, "address": address, "zone": "a", "type": "m", "group": 0,
        "status": "SERVING", "weight": 1.0, "since_ms": 0,
    }  # fmt: skip
    return entry | extra


def hosts_list(index: int, *endpoints: dict[str, object], snapshot: bool = True) -> dict[str, object]:
    return {"index": index, "snapshot": snapshot, "endpoints": list(endpoints)}


def list_reply(index: int, *endpoints: dict[str, object], snapshot: bool = True) -> bytes:
    return reply(200, json.dumps(hosts_list(index, *endpoints, snapshot=snapshot)).encode())


def configuration(*hosts: Peer | str, discovery: str = "127.0.0.1:9", **caps: object) -> dict[str, Any]:
    """A configuration for these hosts; no list is asked for unless `membershipMode` is changed."""
    addresses = [host if isinstance(host, str) else host.address for host in hosts]
    lane = {"aimUs": 20_000_000, "giveUpUs": 20_000_000, "lateValue": 0.5}
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "5eed",
        "limits": {"sockets": 1024},
        "known": hosts_list(7, *(endpoint(f"s-{n}", a) for n, a in enumerate(addresses))),
        "settings": {
            "zones": ["a", "b"],
            "shapes": ["m"],
            "tenants": [{"name": "acme"}, {"name": "zeta"}],
            "membershipMode": "pushed",
            "report": {"how": "piggyback", "fields": ["queue"]},
            "caps": {
                "maxAttempts": 4, "mayCancel": True, "connectTimeoutUs": 5_000_000,
                "keepaliveUs": 60_000_000, "secondCopies": False,
            } | caps,
            "contract": {"stopSendingWithinUs": 1_000_000, "mustAskInUs": 400_000},
            "lanes": [
                lane | {"name": "search", "effect": "free", "value": 1.0},
                lane | {"name": "hold", "effect": "guarded", "group": "all", "windowUs": 15_000_000},
                lane | {"name": "transfer", "effect": "single_shot"},
            ],
        },
    }  # fmt: skip


def host_id(number: int) -> int:
    return stable_id(f"s-{number}", 4)


@dataclass
class Running:
    """The gateway in this process, listening on a port of its own."""

    gateway: Gateway
    server: Server
    pool: ConnectionPool
    discovery: HttpEndpointSource
    port: int

    @property
    def attempt_sender(self) -> AttemptSender:
        """What carries attempts to hosts, to look into."""
        upstream = self.gateway.upstream
        assert isinstance(upstream, AttemptSender)
        return upstream

    @property
    def module(self) -> Balancer:
        """The decision module itself, to look into."""
        balancer = self.gateway.balancer
        return balancer if isinstance(balancer, Balancer) else cast(Balancer, cast(Any, balancer).module)

    async def connect(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def ask(self, data: bytes) -> Message:
        client = await self.connect()
        try:
            return await client.ask(data)
        finally:
            client.close()


class Overheard:
    """The decision module behind a listener. Compiled, it takes no replacement of a method."""

    def __init__(self, module: Any, hear: Callable[[object], None]) -> None:
        self.module, self.hear = module, hear

    def handle(self, now_us: int, event: object) -> Any:
        self.hear(event)
        return self.module.handle(now_us, event)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.module, name)


def overhear(run: Running, hear: Callable[[object], None]) -> None:
    """Call this with each event, before the module is told it; what it raises is the module's error."""
    run.gateway.balancer = Overheard(run.gateway.balancer, hear)


@dataclass
class Client:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def answer(self) -> Message:
        return await read_message(self.reader)

    async def ask(self, data: bytes) -> Message:
        self.send(data)
        return await self.answer()

    def close(self) -> None:
        self.writer.transport.abort()


@asynccontextmanager
async def running(config: dict[str, Any]) -> AsyncIterator[Running]:
    parsed = parse(config)
    program = assemble(parsed)
    gateway, server = program.gateway, program.server
    await server.start()
    assert server.listener.socket is not None
    try:
        assert isinstance(program.discovery, HttpEndpointSource)
        yield Running(gateway, server, program.pool, program.discovery, server.listener.socket.getsockname()[1])
    finally:
        server.close()
        gateway.close()


async def rested() -> None:
    """Connections to hosts that are free now may be used again."""
    since_us = now_us()
    await until(lambda: now_us() - since_us > REUSE_DELAY_US)


_count = 0


def request(klass: str = "search", body: bytes = b"", budget_ms: int = 20_000, **headers: str) -> bytes:
    """A client's request in full; a header's name is given with _ for -, and None for its value drops it."""
    global _count
    _count += 1
    fields: dict[str, str] = {
        "host": "backend.local", "x_call_id": f"{_count:016x}", "x_call_class": klass,
        "x_caller": "acme", "x_budget_ms": str(budget_ms),
    }  # fmt: skip
    if klass == "hold":
        fields["idempotency_key"] = f"key{_count}"
    if klass != "search":
        fields["content_length"] = str(len(body))
    fields |= headers
    method = "GET" if klass == "search" else "POST"
    lines = [f"{method} /{klass}/7f3a9c21e0b4d655 HTTP/1.1"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items() if value]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
