"""The barest relay that the gateway's libraries allow: uvloop, httptools, one pool, no checks.

    LB_CONFIG=config.json python -m benchmarks.bare

It finds where a message ends and passes its bytes on, to the first host of the known list. What the gateway costs
beyond this is its own doing.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
from pathlib import Path
from typing import cast

import httptools
import uvloop


class Back(asyncio.Protocol):
    """A connection to the host."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.front: Front | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.data: list[bytes] = []
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.data.append(data)
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        front, self.front = self.front, None
        data, self.data = b"".join(self.data), []
        self.relay.idle.append(self)
        if front is not None and front.transport is not None:
            front.transport.write(data)


class Front(asyncio.Protocol):
    """A client's connection."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.parser = httptools.HttpRequestParser(self)
        self.data: list[bytes] = []
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def data_received(self, data: bytes) -> None:
        self.data.append(data)
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        data, self.data = b"".join(self.data), []
        if data.startswith(b"GET /health/ready"):
            if self.transport is not None:
                self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        elif self.relay.idle:
            self.send(self.relay.idle.pop(), data)
        else:
            asyncio.get_running_loop().create_task(self.open(data))

    async def open(self, data: bytes) -> None:
        relay = self.relay
        _, back = await asyncio.get_running_loop().create_connection(lambda: Back(relay), *relay.host)
        self.send(back, data)

    def send(self, back: Back, data: bytes) -> None:
        assert back.transport is not None
        back.front = self
        back.transport.write(data)


class Relay:
    def __init__(self, host: tuple[str, int]) -> None:
        self.host = host
        self.idle: list[Back] = []


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


async def main() -> None:
    config = json.loads(Path(os.environ["LB_CONFIG"]).read_text())
    relay = Relay(address(config["known"]["endpoints"][0]["address"]))
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Front(relay), *address(config["listen"]))
    gc.collect()
    gc.freeze()
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())
