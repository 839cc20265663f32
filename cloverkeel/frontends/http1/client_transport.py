"""The transport of one client's connection: its phase, how it is closed, whether the client has gone."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING, Final, cast

from cloverkeel.frontends.http1.stream_progress import StreamProgress
from cloverkeel.frontends.http1.timeouts import LINGER_TIMEOUT_S, WRITE_TIMEOUT_S, Phase

if TYPE_CHECKING:
    from cloverkeel.frontends.http1.context import ConnectionContext

DISCONNECTED_EVENTS: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class ClientTransport:
    """What timeouts, admission and drain know of a connection; ClientConnection adds the requests."""

    def __init__(self, context: ConnectionContext) -> None:
        self.context = context
        self.transport: asyncio.Transport | None = None
        self.phase: Phase | None = None
        self.accepted_s = 0.0
        self.last_read_s = 0.0  # when a part of a request came last
        self.has_responded = False
        self.ignores_input = False  # nothing more is read as a request
        self.is_lingering = False  # it has been answered, and has time to read that
        self.stream_progress = StreamProgress()
        self.poll = select.poll()

    def is_idle(self) -> bool:
        """Tell whether it may be closed."""
        raise NotImplementedError

    def is_request_slow(self, now_s: float, beyond_s: float) -> bool:
        """Tell whether a request does not come as fast as it must, so long beyond the time that any may take."""
        raise NotImplementedError

    def time_out_request(self) -> None:
        """Answer a request whose rest has not come in time."""
        raise NotImplementedError

    def set_transport(self, transport: asyncio.BaseTransport) -> None:
        """Begin with a connection that is set up."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        self.accepted_s = self.context.loop.time()
        self.enter_phase(self.context.timeouts.accepted, self.accepted_s)

    def has_disconnected(self) -> bool:
        """Tell whether the client has ended its sending or its connection, also where that waits to be read.

        Guards against requests forwarded for nobody: where a crowd of them is read ahead nothing is read any more,
        and after a stall timers run before sockets.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return True
        return any(event & DISCONNECTED_EVENTS for _, event in self.poll.poll(0))

    def enter_phase(self, phase: Phase | None, since_s: float | None = None) -> None:
        """Note what this connection waits for, and since when; None: for no client."""
        if phase is self.phase:
            return
        if self.phase is not None:
            self.phase.pop(self, None)
        self.phase = phase
        if phase is not None:
            phase[self] = self.context.loop.time() if since_s is None else since_s

    def has_client_read_more(self) -> bool:
        """Tell whether the client has taken more of streamed responses since this was last asked."""
        return self.transport is not None and self.stream_progress.has_advanced(self.transport)

    def write_stream(self, data: bytes) -> None:
        """Write a part of a streamed response."""
        if self.transport is not None:
            self.stream_progress.written_bytes += len(data)
            self.transport.write(data)

    def close(self) -> None:
        """Close once what was written is with the client, and within bounds."""
        self.ignores_input = True
        if self.transport is not None:
            self.enter_phase(self.context.timeouts.closing, self.context.loop.time() + WRITE_TIMEOUT_S)
            self.transport.close()

    def abort(self) -> None:
        """Close at once."""
        self.ignores_input = True
        self.enter_phase(None)
        if self.transport is not None:
            self.transport.abort()

    def end(self, linger: bool) -> None:
        """Close once the response is written.

        Guards against a reset that overtakes the response where the client has still more to send: then it is
        left to read first. What it sends meanwhile is left with the kernel, which holds little of it.
        """
        if not linger:
            self.close()
            return
        self.ignores_input = True
        self.is_lingering = True
        assert self.transport is not None
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.enter_phase(self.context.timeouts.closing, self.context.loop.time() + LINGER_TIMEOUT_S)
