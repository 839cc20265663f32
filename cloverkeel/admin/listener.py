"""The listener of the admin address: one command line and one answer line per connection.

Limits: at most MAX_CONNECTIONS are open, a further one replaces the oldest; a line must arrive within LINE_TIMEOUT_S.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final, cast

from cloverkeel.admin.commands import LINE_TOO_LONG, MAX_LINE_BYTES, AdminAnswer, encode_answer
from cloverkeel.core.config import Address
from cloverkeel.core.memory_account import ADMIN_CONNECTION_BYTES, ChargeOwner, MemoryAccount, MemoryCharge

MAX_CONNECTIONS: Final = 16  # bounds the file descriptors used for operators
LINE_TIMEOUT_S: Final = 4.0  # from accepting a connection to its complete line


class AdminConnection:
    """One operator's connection. Implements the methods of asyncio.Protocol without inheriting from it."""

    def __init__(self, listener: AdminListener) -> None:
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.received = b""
        self.timer: asyncio.TimerHandle | None = None
        self.charge = MemoryCharge(listener.account, ChargeOwner.ADMIN)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the timeout for its line."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        self.timer = asyncio.get_running_loop().call_later(LINE_TIMEOUT_S, transport.close)
        self.charge.update(ADMIN_CONNECTION_BYTES)
        self.listener.on_connection(self)

    def data_received(self, data: bytes) -> None:
        """Answer once the line is complete or exceeds the maximum length."""
        if self.transport is None or self.transport.is_closing():
            return
        self.received += data
        line, end, _ = self.received.partition(b"\n")
        if end:
            self.send_and_close(self.listener.handle_line(line))
        elif len(self.received) > MAX_LINE_BYTES:
            self.send_and_close(encode_answer(AdminAnswer(False, LINE_TOO_LONG)))

    def eof_received(self) -> None:
        """Answer a line that ends with the end of the stream instead of a line ending."""
        if self.transport is None or self.transport.is_closing():
            return
        self.send_and_close(self.listener.handle_line(self.received) if self.received else b"")

    def send_and_close(self, line: bytes) -> None:
        """Send the answer and close the connection after it is flushed."""
        assert self.transport is not None
        self.charge.update(ADMIN_CONNECTION_BYTES + len(line))
        self.transport.write(line)
        self.transport.close()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Cancel the timeout and unregister the connection."""
        if self.timer is not None:
            self.timer.cancel()
        self.charge.update(0)
        self.listener.connections.pop(self, None)


class AdminListener:
    """The listening socket of the admin address. `handle_line` maps a command line to its answer line."""

    def __init__(self, handle_line: Callable[[bytes], bytes], account: MemoryAccount) -> None:
        self.handle_line = handle_line
        self.account = account
        self.connections: dict[AdminConnection, None] = {}  # in order of arrival, oldest first
        self.server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Start listening; raise OSError on failure."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: cast(asyncio.Protocol, AdminConnection(self)), *address)

    def on_connection(self, connection: AdminConnection) -> None:
        """Register a new connection; abort the oldest if there are more than MAX_CONNECTIONS."""
        self.connections[connection] = None
        if len(self.connections) <= MAX_CONNECTIONS:
            return
        oldest = next(iter(self.connections))
        del self.connections[oldest]
        if oldest.transport is not None:
            oldest.transport.abort()

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
