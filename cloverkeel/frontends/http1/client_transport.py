"""Transport of one client connection: its phase, its closing, and detection of a disconnected client."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from typing import TYPE_CHECKING, Final, cast

from cloverkeel.core.clock import now_us
from cloverkeel.core.input_scheduler import InputSource
from cloverkeel.core.memory_account import ChargeOwner, MemoryCharge
from cloverkeel.frontends.http1.client_output import ClientOutput
from cloverkeel.frontends.http1.timeouts import Phase

if TYPE_CHECKING:
    from cloverkeel.frontends.http1.context import ConnectionContext

RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)  # struct linger: enabled, for 0 s
MAX_DISCARDED_BYTES: Final = 1024 * 1024
MAX_UNCONFIRMED_S: Final = 0.08  # attempts that begin up to 0.1 s after a close are in time
DISCONNECTED_EVENTS: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class ClientTransport(InputSource):
    """Connection state for timeouts, admission and drain; ClientConnection adds the requests."""

    def __init__(self, context: ConnectionContext) -> None:
        super().__init__()
        self.context = context
        self.transport: asyncio.Transport | None = None
        self.phase: Phase | None = None
        self.accepted_s = 0.0
        self.confirmed_s = 0.0  # when the client was last known to be there
        self.last_read_s = 0.0  # when bytes of a request last arrived
        self.has_responded = False
        self.ignores_input = False  # received bytes are no longer parsed as requests
        self.is_reading_paused = False  # the loop reads neither bytes nor the end of the connection
        self.discarded_bytes = 0  # received after the last response
        self.is_delimited_by_close = False  # the end of the connection ends the present response
        self.output = ClientOutput()
        self.charge = MemoryCharge(context.account, ChargeOwner.CLIENTS)
        self.poll = select.poll()

    def is_idle(self) -> bool:
        """Return whether the connection may be closed as idle."""
        raise NotImplementedError

    def data_received(self, data: bytes | memoryview) -> None:
        """Handle bytes from the client; `data` is valid during this call only."""
        raise NotImplementedError

    def expects_large_body(self) -> bool:
        """Return whether much of a body is to come."""
        raise NotImplementedError

    def is_request_slow(self, now_s: float, overtime_s: float) -> bool:
        """Return whether a request arrives too slowly, `overtime_s` after REQUEST_TIMEOUT_S has passed."""
        raise NotImplementedError

    def time_out_request(self) -> None:
        """Respond to a request that did not arrive completely in time."""
        raise NotImplementedError

    def update_charge(self) -> None:
        """Charge what this connection holds now to the memory account."""
        raise NotImplementedError

    def set_transport(self, transport: asyncio.BaseTransport) -> None:
        """Set the transport of an accepted connection."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        self.output.attach(self.transport)
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        self.accepted_s = self.context.loop.time()
        self.enter_phase(self.context.timeouts.accepted, self.accepted_s)

    def has_disconnected(self) -> bool:
        """Return whether the client has closed its sending side or its connection, even if that is not read yet.

        Guards against forwarding requests of disconnected clients: the loop reads no more of a connection while many
        pipelined requests wait, and after a stall it runs timers before it reads sockets.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return True
        return any(event & DISCONNECTED_EVENTS for _, event in self.poll.poll(0))

    def has_left_unread(self) -> bool:
        """Return whether the client has left while nothing is read of it, so that the loop does not see the end.

        A connection that the gateway closes itself is left out: its last response may still be on its way.
        """
        return self.is_reading_paused and not self.ignores_input and self.has_disconnected()

    def confirm_presence(self) -> None:
        """Record that the client is there: it has just sent its request, or been sent the response before it."""
        self.confirmed_s = self.context.loop.time()

    def may_have_left(self) -> bool:
        """Return whether a close of the client may wait behind input that is not being read.

        Guards against attempts for a client that has left: the kernel shows its close only once all input before it
        fits into the receive buffer.
        """
        is_reading = not self.is_reading_paused and not self.is_input_postponed
        if is_reading or self.context.loop.time() - self.confirmed_s <= MAX_UNCONFIRMED_S:
            return False
        return any(event & select.POLLIN for _, event in self.poll.poll(0))

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Handle asyncio's request for a buffer: one that all connections share, as each read is parsed at once."""
        context = self.context
        if context.input_scheduler.is_late():
            return context.late_read_buffer
        return context.read_buffer if self.expects_large_body() else context.small_read_buffer

    def buffer_updated(self, size: int) -> None:
        """Handle asyncio's event: the client has sent `size` bytes, which are in the shared buffer."""
        started_us = now_us()
        self.data_received(self.context.read_buffer[:size])
        self.context.input_scheduler.record_input(self, started_us)

    def pause_reading(self) -> None:
        """Read nothing more from the client for now."""
        if self.transport is not None:
            self.is_reading_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read from the client again."""
        if self.transport is not None and self.is_reading_paused:
            self.is_reading_paused = False
            self.resume_input()

    def pause_input(self) -> None:
        """Read nothing until this connection's turn comes again."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_input(self) -> None:
        """Read again, unless reading is paused or the input waits for its turn."""
        transport = self.transport
        if transport is None or transport.is_closing() or self.is_reading_paused or self.is_input_postponed:
            return
        transport.resume_reading()

    def enter_phase(self, phase: Phase | None, since_s: float | None = None) -> None:
        """Enter a phase at `since_s`, by default now.

        `phase`: None if the connection does not wait for its client.
        """
        if phase is self.phase:
            return
        if self.phase is not None:
            self.phase.pop(self, None)
        self.phase = phase
        if phase is not None:
            phase[self] = self.context.loop.time() if since_s is None else since_s

    def write(self, data: bytes) -> None:
        """Write all or part of a response."""
        self.output.write(data)
        if self.output.is_paused:
            self.update_charge()  # asyncio reports only the first byte that waits

    def close(self) -> None:
        """Close once the kernel has taken the bytes written, unless the client reads none of them for too long."""
        self.ignores_input = True
        if self.transport is not None:
            self.enter_phase(self.context.timeouts.delivering)
            self.transport.close()

    def abort(self) -> None:
        """Close at once and discard unsent bytes.

        If the end of the connection would end a response's body, it is a TCP reset. Guards against a client that
        takes a truncated body for a complete one.
        """
        if self.is_delimited_by_close:
            self.set_reset_on_close()
        self.ignores_input = True
        self.enter_phase(None)
        if self.transport is not None:
            self.transport.abort()

    def discard(self, size: int) -> None:
        """Count bytes that arrive after the last response; read no more of them beyond a limit."""
        self.discarded_bytes += size
        if self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.pause_reading()

    def set_reset_on_close(self) -> None:
        """Make the end of the connection a TCP reset, which no client takes for the end of a body."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def end(self, linger: bool) -> None:
        """Close once the response is written; with `linger`, give the client time to read it first.

        Guards against a TCP reset that overtakes the response if the client is still sending (RFC 9112, 9.6). Some
        bytes that arrive meanwhile are discarded, so that the end of the client's connection is seen at once.
        """
        if not linger:
            self.close()
            return
        self.ignores_input = True
        assert self.transport is not None
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.resume_reading()
        self.enter_phase(self.context.timeouts.lingering)
