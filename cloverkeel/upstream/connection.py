"""One connection to a host: an asyncio protocol that carries one attempt at a time."""

from __future__ import annotations

import asyncio
import select
from typing import cast

from cloverkeel.core.clock import now_us
from cloverkeel.core.input_scheduler import LATE_READ_BYTES, InputScheduler, InputSource
from cloverkeel.core.memory_account import (
    HOST_CONNECTION_BYTES,
    MAX_BUFFERED_RESPONSE_BYTES,
    ChargeOwner,
    MemoryAccount,
    MemoryCharge,
)
from cloverkeel.core.messages import Reply
from cloverkeel.protocols.http1 import ReplyError, ReplyReader
from cloverkeel.upstream.attempt import Attempt
from cloverkeel.upstream.host import Host


class ReadBuffers:
    """The buffer that all connections to hosts share, as each read is parsed at once, and the parts that are used."""

    def __init__(self, usual_bytes: int) -> None:
        """`usual_bytes`: size of a read unless a response is streamed."""
        self.whole = memoryview(bytearray(MAX_BUFFERED_RESPONSE_BYTES))
        self.usual = self.whole[:usual_bytes]
        self.late = self.whole[:LATE_READ_BYTES]  # once the time for input is used up


class ConnectionHandler:
    """Receives a connection's events. A base class, not a typing.Protocol, so that compiled calls are direct."""

    account: MemoryAccount  # to which connections charge what they hold
    input_scheduler: InputScheduler
    buffers: ReadBuffers
    buffered_response_bytes: int  # up to this size, a response is buffered whole

    def on_connected(self, connection: HostConnection) -> None:
        """Handle an established connection."""
        raise NotImplementedError

    def on_response_start(self, connection: HostConnection, reply: Reply, length: int | None) -> None:
        """Handle the head of a streamed response; `length` is its body length in bytes, None if unknown."""
        raise NotImplementedError

    def on_reply(self, connection: HostConnection, reply: Reply) -> None:
        """Handle the end of a response."""
        raise NotImplementedError

    def on_malformed(self, connection: HostConnection) -> None:
        """Handle bytes that are not a valid response."""
        raise NotImplementedError

    def on_lost(self, connection: HostConnection) -> None:
        """Handle the end of a connection."""
        raise NotImplementedError


class HostConnection(InputSource):
    """One connection to a host, for one attempt at a time. Implements asyncio.Protocol by its method names."""

    __slots__ = (
        "address", "attempt", "charge", "copied_bytes", "handler", "host", "idle_since_us", "is_counted",
        "is_flushed", "poll", "postponed_us", "replies", "started_us", "transport",
    )  # fmt: skip

    def __init__(self, handler: ConnectionHandler, host: Host, attempt: Attempt | None) -> None:
        super().__init__()
        self.handler = handler
        self.host = host
        self.attempt = attempt
        self.address = host.address
        self.started_us = host.started_us  # of the process that the connection is opened to
        self.transport: asyncio.Transport | None = None
        self.replies = ReplyReader(
            handler.buffered_response_bytes, on_stream_start=self.on_stream_start, on_chunk=self.on_chunk
        )
        self.charge = MemoryCharge(handler.account, ChargeOwner.HOSTS)
        self.copied_bytes = 0  # of the request as it was written, without a large body
        self.is_flushed = True  # the kernel has taken the last byte written
        self.idle_since_us = 0
        self.postponed_us = 0  # when reading was postponed within a response; 0 if it was not
        self.is_counted = False  # in `open_connections` of its host and of the pool
        self.poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle asyncio's event: the connection is established."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        # With a limit of 0, asyncio calls pause_writing as soon as a byte waits in its buffer.
        self.transport.set_write_buffer_limits(high=0)
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        self.handler.on_connected(self)

    def is_reusable(self) -> bool:
        """Return whether the host has neither closed the connection nor sent unsolicited bytes.

        Polls the socket, as the loop may not have seen the close or the bytes yet. Guards against writing a request
        to a connection that the host has closed: it would end as a reset, which leaves unknown whether the request
        has run.
        """
        transport = self.transport
        return transport is not None and not transport.is_closing() and not self.poll.poll(0)

    def has_unread(self) -> bool:
        """Return whether bytes from the host, or its end of stream, wait to be read."""
        transport = self.transport
        return transport is not None and not transport.is_closing() and bool(self.poll.poll(0))

    def is_written(self) -> bool:
        """Return whether the kernel has taken everything that was written."""
        return self.transport is not None and self.is_flushed

    def write(self, payload: list[bytes]) -> bool:
        """Write a request; return False if the connection broke before the last byte was written."""
        assert self.transport is not None
        if self.transport.is_closing():
            return False
        self.copied_bytes = len(payload[0])
        if len(payload) == 1:
            self.transport.write(payload[0])
        else:
            self.transport.writelines(payload)
        return not self.transport.is_closing()

    def close(self) -> None:
        """Close the connection at once and discard unsent bytes."""
        if self.transport is not None:
            self.transport.abort()

    def pause_writing(self) -> None:
        """Handle asyncio's event: the kernel's send buffer is full."""
        self.is_flushed = False
        self.update_charge()

    def resume_writing(self) -> None:
        """Handle asyncio's event: the kernel has taken all bytes written."""
        self.is_flushed = True
        self.update_charge()

    def update_charge(self) -> None:
        """Charge what this connection holds now to the memory account."""
        if self.is_counted:
            unsent_bytes = 0 if self.is_flushed else self.copied_bytes
            self.charge.update(HOST_CONNECTION_BYTES + self.replies.held_bytes + unsent_bytes)

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Handle asyncio's request for a buffer, which limits how much is read before the client's pace is asked."""
        attempt = self.attempt
        if self.handler.input_scheduler.is_late():
            return self.handler.buffers.late
        if attempt is not None and attempt.read_bytes:
            return self.handler.buffers.whole[: attempt.read_bytes]
        return self.handler.buffers.usual

    def buffer_updated(self, size: int) -> None:
        """Handle asyncio's event: the host has sent `size` bytes, which are in the shared buffer."""
        started_us = now_us()
        self.data_received(self.handler.buffers.whole[:size])
        self.handler.input_scheduler.record_input(self, started_us)

    def pause_input(self) -> None:
        """Read nothing until this connection's turn comes again."""
        # Before a response has begun, the host may be the one that takes the time.
        self.postponed_us = now_us() if self.replies.has_begun else 0
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_input(self) -> None:
        """Read again, unless the client is behind or the input waits for its turn."""
        transport = self.transport
        if transport is None or transport.is_closing() or self.is_input_postponed:
            return
        if self.attempt is not None and self.postponed_us:
            self.attempt.held_back_us += now_us() - self.postponed_us
        self.postponed_us = 0
        if self.attempt is None or not self.attempt.is_paused:
            transport.resume_reading()

    def data_received(self, data: bytes | memoryview) -> None:
        """Handle bytes from the host; `data` is valid during this call only."""
        try:
            reply = self.replies.feed(data)
            self.update_charge()
        except ReplyError:
            self.handler.on_malformed(self)
            return
        if reply is not None:
            self.handler.on_reply(self, reply)
        elif self.attempt is None:
            self.close()

    def on_stream_start(self, reply: Reply, length: int | None) -> None:
        """Handle the head of a streamed response."""
        self.handler.on_response_start(self, reply, length)

    def on_chunk(self, data: bytes) -> None:
        """Pass on a chunk of a streamed response."""
        attempt = self.attempt
        if attempt is not None and attempt.stream is not None:
            attempt.last_progress_us = now_us()
            attempt.stream.on_chunk(data)

    def eof_received(self) -> None:
        """Handle asyncio's event: the host has closed its sending side.

        This completes a response whose body lasts until the connection ends. Returns None, so that asyncio closes
        the connection: it never stays half open.
        """
        reply = self.replies.finish()
        if reply is not None:
            self.handler.on_reply(self, reply)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Handle asyncio's event: the connection is closed."""
        self.handler.on_lost(self)
        self.replies.close()
