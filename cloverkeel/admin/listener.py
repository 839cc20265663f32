"""The second address: one line to a connection, one line back.

Bounds: CALLERS at once, the one that has been silent longest gives its place to the next; SILENT_S to say a line.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final, cast

from cloverkeel.core.config import Address
from cloverkeel.admin.commands import LINE_LIMIT, answer

CALLERS: Final = 16  # descriptors that are kept for staff
SILENT_S: Final = 4.0


class Caller:
    """One connection of staff. A protocol in asyncio's sense, by its methods."""

    def __init__(self, listener: OpsListener) -> None:
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.said = b""
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.timer = asyncio.get_running_loop().call_later(SILENT_S, transport.close)
        self.listener.on_caller(self)

    def data_received(self, data: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.said += data
        line, end, _ = self.said.partition(b"\n")
        if end:
            self.finish(self.listener.on_line(line))
        elif len(self.said) > LINE_LIMIT:
            self.finish(answer(False, f"the line is longer than {LINE_LIMIT} bytes"))

    def eof_received(self) -> None:
        """A line whose end is the end of what the caller says."""
        if self.transport is not None and not self.transport.is_closing():
            self.finish(self.listener.on_line(self.said) if self.said else b"")

    def finish(self, line: bytes) -> None:
        assert self.transport is not None
        self.transport.write(line)
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.listener.callers.pop(self, None)


class OpsListener:
    def __init__(self, on_line: Callable[[bytes], bytes]) -> None:
        self.on_line = on_line
        self.callers: dict[Caller, None] = {}  # the one that came first, first
        self.server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: cast(asyncio.Protocol, Caller(self)), *address)

    def on_caller(self, caller: Caller) -> None:
        self.callers[caller] = None
        if len(self.callers) > CALLERS:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            if oldest.transport is not None:
                oldest.transport.abort()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for caller in list(self.callers):
            if caller.transport is not None:
                caller.transport.abort()
