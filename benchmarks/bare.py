"""A minimal relay with the gateway's libraries: uvloop, httptools, one connection pool, no checks.

    LB_CONFIG=config.json python -m benchmarks.bare

Finds the end of each message and forwards its bytes to the first host of the known endpoints. It is the baseline for
the gateway's cost: what the gateway costs beyond this comes from its own code, not from the libraries.
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


class HostConnection(asyncio.Protocol):
    """Connection to the host."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.client: ClientConnection | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.received_chunks: list[bytes] = []
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.received_chunks.append(data)
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        client, self.client = self.client, None
        data, self.received_chunks = b"".join(self.received_chunks), []
        self.relay.idle_connections.append(self)
        if client is not None and client.transport is not None:
            client.transport.write(data)


class ClientConnection(asyncio.Protocol):
    """Connection of a client."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.parser = httptools.HttpRequestParser(self)
        self.received_chunks: list[bytes] = []
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def data_received(self, data: bytes) -> None:
        self.received_chunks.append(data)
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        data, self.received_chunks = b"".join(self.received_chunks), []
        if data.startswith(b"GET /health/ready"):
            if self.transport is not None:
                self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        elif self.relay.idle_connections:
            self.send(self.relay.idle_connections.pop(), data)
        else:
            asyncio.get_running_loop().create_task(self.connect_and_send(data))

    async def connect_and_send(self, data: bytes) -> None:
        """Opens a connection to the host and sends a request on it."""
        relay = self.relay
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: HostConnection(relay), *relay.host_address
        )
        self.send(connection, data)

    def send(self, connection: HostConnection, data: bytes) -> None:
        """Sends a request on a connection to the host."""
        assert connection.transport is not None
        connection.client = self
        connection.transport.write(data)


class Relay:
    """Address of the host, and the idle connections to it."""

    def __init__(self, host: tuple[str, int]) -> None:
        self.host_address = host
        self.idle_connections: list[HostConnection] = []


def parse_address(text: str) -> tuple[str, int]:
    """Splits host:port."""
    host, _, port = text.rpartition(":")
    return host, int(port)


async def main() -> None:
    """Serves until the process is ended."""
    config = json.loads(Path(os.environ["LB_CONFIG"]).read_text())
    relay = Relay(parse_address(config["known"]["endpoints"][0]["address"]))
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: ClientConnection(relay), *parse_address(config["listen"]))
    gc.collect()
    gc.freeze()
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())
