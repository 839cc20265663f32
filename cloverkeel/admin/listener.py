"""The admin address: one line to a connection, one line back.

Bounds: MAX_CONNECTIONS at once, of which the oldest gives its place to the next; SILENCE_TIMEOUT_S to send a line.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final, cast

from cloverkeel.admin.commands import LINE_TOO_LONG, MAX_LINE_BYTES, AdminAnswer, encode_answer
from cloverkeel.core.config import Address

MAX_CONNECTIONS: Final = 16  # descriptors that are kept for operators
SILENCE_TIMEOUT_S: Final = 4.0


class AdminConnection:
    """One connection of an operator. A protocol in asyncio's sense, by its methods."""

    def __init__(self, listener: AdminListener) -> None:
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.received = b""
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for a line, for so long."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.timer = asyncio.get_running_loop().call_later(SILENCE_TIMEOUT_S, transport.close)
        self.listener.on_connection(self)

    def data_received(self, data: bytes) -> None:
        """Answer once the line is complete, or too long."""
        if self.transport is None or self.transport.is_closing():
            return
        self.received += data
        line, end, _ = self.received.partition(b"\n")
        if end:
            self.send_and_close(self.listener.handle_line(line))
        elif len(self.received) > MAX_LINE_BYTES:
            self.send_and_close(encode_answer(AdminAnswer(False, LINE_TOO_LONG)))

    def eof_received(self) -> None:
        """Answer a line whose end is the end of what the operator sends."""
        if self.transport is None or self.transport.is_closing():
            return
        self.send_and_close(self.listener.handle_line(self.received) if self.received else b"")

    def send_and_close(self, line: bytes) -> None:
        """Send the answer, and end the connection once it is sent."""
        assert self.transport is not None
        self.transport.write(line)
        self.transport.close()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Forget the connection."""
        if self.timer is not None:
            self.timer.cancel()
        self.listener.connections.pop(self, None)


class AdminListener:
    """The socket of the admin address. `handle_line` returns the line of the answer."""

    def __init__(self, handle_line: Callable[[bytes], bytes]) -> None:
        self.handle_line = handle_line
        self.connections: dict[AdminConnection, None] = {}  # the oldest first
        self.server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Listen; raise OSError where that cannot be."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: cast(asyncio.Protocol, AdminConnection(self)), *address)

    def on_connection(self, connection: AdminConnection) -> None:
        """Keep a new connection; drop the oldest where there are too many."""
        self.connections[connection] = None
        if len(self.connections) <= MAX_CONNECTIONS:
            return
        oldest = next(iter(self.connections))
        del self.connections[oldest]
        if oldest.transport is not None:
            oldest.transport.abort()

    def close(self) -> None:
        """Listen no more, and drop all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
