"""One connection to a host: a protocol of asyncio that carries one attempt at a time."""

from __future__ import annotations

import asyncio
import select
from typing import cast

from cloverkeel.core.clock import now_us
from cloverkeel.core.messages import Reply
from cloverkeel.protocols.http1 import ReplyError, ReplyReader
from cloverkeel.upstream.attempt import Attempt
from cloverkeel.upstream.host import Host


class ConnectionHandler:
    """What a connection reports to. A base class and not a protocol: its calls stay direct when compiled."""

    def on_connected(self, connection: HostConnection) -> None:
        """Handle a connection that is established."""
        raise NotImplementedError

    def on_response_start(self, connection: HostConnection, reply: Reply, length: int | None) -> None:
        """Handle the head of a large answer; `length` is that of its body in bytes, if it is known."""
        raise NotImplementedError

    def on_reply(self, connection: HostConnection, reply: Reply) -> None:
        """Handle the end of an answer."""
        raise NotImplementedError

    def on_malformed(self, connection: HostConnection) -> None:
        """Handle bytes that are no answer."""
        raise NotImplementedError

    def on_lost(self, connection: HostConnection) -> None:
        """Handle the end of a connection."""
        raise NotImplementedError


class HostConnection:
    """One connection to a host; it carries one attempt at a time. A protocol in asyncio's sense, by its methods."""

    __slots__ = (
        "address", "attempt", "handler", "host", "idle_since_us", "is_counted", "is_flushed", "poll", "replies",
        "transport",
    )  # fmt: skip

    def __init__(self, handler: ConnectionHandler, host: Host, attempt: Attempt | None) -> None:
        self.handler = handler
        self.host = host
        self.attempt = attempt
        self.address = host.address
        self.transport: asyncio.Transport | None = None
        self.replies = ReplyReader(on_stream_start=self.on_stream_start, on_chunk=self.on_chunk)
        self.is_flushed = True  # the last byte of what was written is with the kernel
        self.idle_since_us = 0
        self.is_counted = False  # among the open connections of its host and of the pool
        self.poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle asyncio's event: the connection is established."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        # With no room in the buffer, pause_writing tells at once that the last byte is not yet written.
        self.transport.set_write_buffer_limits(high=0)
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        self.handler.on_connected(self)

    def is_reusable(self) -> bool:
        """Tell whether the host has neither closed it nor sent anything unasked, seen by the loop or not yet.

        Guards against writing a request to a connection that the host has closed: it would end as a reset,
        and nobody could tell whether it has run.
        """
        transport = self.transport
        return transport is not None and not transport.is_closing() and not self.poll.poll(0)

    def has_unread(self) -> bool:
        """Tell whether bytes from the host, or its end, wait to be read."""
        transport = self.transport
        return transport is not None and not transport.is_closing() and bool(self.poll.poll(0))

    def is_written(self) -> bool:
        """Tell whether all that was written is with the kernel."""
        return self.transport is not None and self.is_flushed

    def write(self, payload: list[bytes]) -> bool:
        """Write a request; False if the connection turned out broken before its last byte was written."""
        assert self.transport is not None
        if self.transport.is_closing():
            return False
        if len(payload) == 1:
            self.transport.write(payload[0])
        else:
            self.transport.writelines(payload)
        return not self.transport.is_closing()

    def close(self) -> None:
        """Close it at once, whatever is on its way."""
        if self.transport is not None:
            self.transport.abort()

    def pause_writing(self) -> None:
        """Handle asyncio's event: the kernel takes no more."""
        self.is_flushed = False

    def resume_writing(self) -> None:
        """Handle asyncio's event: the kernel has taken all."""
        self.is_flushed = True

    def data_received(self, data: bytes) -> None:
        """Handle asyncio's event: read what the host has sent."""
        try:
            reply = self.replies.feed(data)
        except ReplyError:
            self.handler.on_malformed(self)
            return
        if reply is not None:
            self.handler.on_reply(self, reply)
        elif self.attempt is None:
            self.close()

    def on_stream_start(self, reply: Reply, length: int | None) -> None:
        """Handle the head of a large answer."""
        self.handler.on_response_start(self, reply, length)

    def on_chunk(self, data: bytes) -> None:
        """Pass a chunk of a large answer on."""
        attempt = self.attempt
        if attempt is not None and attempt.stream is not None:
            attempt.last_progress_us = now_us()
            attempt.stream.on_chunk(data)

    def eof_received(self) -> None:
        """Handle asyncio's event: the host has ended its sending. Nothing stays half open; some answers end so."""
        reply = self.replies.finish()
        if reply is not None:
            self.handler.on_reply(self, reply)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Handle asyncio's event: the connection is closed."""
        self.handler.on_lost(self)
        self.replies.close()
