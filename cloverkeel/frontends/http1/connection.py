"""One connection of a client: its requests are answered one after the other.

Invariants:
- one request at a time is processed; those that were read ahead wait for its response;
- a response is written only for the call that the connection awaits it for;
- a connection is closed as idle only where nothing is due, nothing has begun, and nothing waits to be read.
"""

from __future__ import annotations

import asyncio
from typing import Final

from cloverkeel.core.calls import Call, FlowControl, ResponseStream
from cloverkeel.core.messages import STATUS_OK, Header, Reply, end_to_end_headers
from cloverkeel.frontends.http1.call_reader import read_call
from cloverkeel.frontends.http1.client_transport import ClientTransport
from cloverkeel.frontends.http1.context import ConnectionContext
from cloverkeel.frontends.http1.requests import Request, RequestError, RequestReader
from cloverkeel.frontends.http1.responses import CONTINUE, HEADERS_NOT_RETURNED, LAST_CHUNK, build_head, frame_chunk
from cloverkeel.frontends.http1.timeouts import MAX_READ_GAP_S, MIN_BODY_BYTES_A_S, WRITE_TIMEOUT_S

READY_PATH: Final = b"/health/ready"
MAX_PIPELINED_REQUESTS: Final = 16  # read ahead on one connection
HIGH_WATER_MARK_BYTES: Final = 256 * 1024  # of a streamed response wait here for the client, and what one read brings


class ClientConnection(ClientTransport):
    """One connection of a client, and the requests on it."""

    def __init__(self, context: ConnectionContext) -> None:
        super().__init__(context)
        self.reader = RequestReader(self.on_expect, context.body_budget)
        self.request: Request | None = None  # is processed and not yet answered
        self.call: Call | None = None  # the same for the core
        self.is_write_paused = False  # the client does not read its responses
        self.is_continue_due = False  # a request waits for its turn before its body is asked for
        self.flow_control: FlowControl | None = None  # of a response that is streamed
        self.is_chunked = False  # so that is framed

    # Life of the connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle asyncio's event: the connection is set up."""
        self.set_transport(transport)
        self.context.connections.add(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Handle asyncio's event: the connection is closed."""
        self.context.connections.discard(self)
        self.enter_phase(None)
        self.ignores_input = True
        self.reader.close()
        self.transport = None
        call, self.call = self.call, None
        self.flow_control = None
        if call is not None:
            self.context.gateway.on_client_disconnected(call)

    def eof_received(self) -> None:
        """Handle asyncio's event: the client has ended its sending. Nothing stays half open."""

    def is_idle(self) -> bool:
        """Tell whether it may be closed: nothing is due, nothing has begun, nothing waits to be read.

        Guards against losing a request that has reached this machine and not yet this program, and one that a
        client sends for the second time, on a new connection, since the first crossed the end of its old one.
        """
        if self.ignores_input or self.request is not None or self.reader.completed or self.reader.has_begun:
            return False
        return not self.poll.poll(0)

    # Phases

    def update_phase(self) -> None:
        """Enter the phase that follows from what has come and what is due."""
        timeouts = self.context.timeouts
        if self.ignores_input:
            return
        if self.is_write_paused:
            if self.flow_control is not None:
                self.enter_phase(timeouts.streaming)
            else:
                self.enter_phase(timeouts.closing, self.context.loop.time() + WRITE_TIMEOUT_S)
        elif self.request is not None or self.reader.completed:
            self.enter_phase(None)
        elif self.reader.has_begun:
            self.enter_phase(timeouts.reading, None if self.has_responded else self.accepted_s)
        elif self.has_responded or self.phase is not timeouts.accepted:
            self.enter_phase(timeouts.keep_alive)

    def pause_writing(self) -> None:
        """Handle asyncio's event: the client does not read as fast as is written."""
        self.is_write_paused = True
        if self.flow_control is not None:
            self.flow_control.pause_reading()
        self.update_phase()

    def resume_writing(self) -> None:
        """Handle asyncio's event: the client has read what was written."""
        self.is_write_paused = False
        if self.flow_control is not None:
            self.flow_control.resume_reading()
        self.update_phase()
        self.schedule_next_request()

    def is_request_slow(self, now_s: float, beyond_s: float) -> bool:
        """Tell whether a request does not come as fast as it must, so long beyond the time that any may take."""
        if now_s - self.last_read_s > MAX_READ_GAP_S:
            return True
        return self.reader.body_size < beyond_s * MIN_BODY_BYTES_A_S

    # Requests

    def data_received(self, data: bytes) -> None:
        """Handle asyncio's event: bytes have come."""
        if self.ignores_input:
            return  # what follows a request that can't be read, until the connection ends
        self.last_read_s = self.context.loop.time()
        self.read(data)
        self.process_next_request()
        self.update_phase()

    def read(self, data: bytes) -> None:
        """Parse bytes, and those that were left; read no more of the socket where requests enough wait."""
        assert self.transport is not None
        self.reader.feed(data, MAX_PIPELINED_REQUESTS)
        if self.reader.is_broken or self.reader.unparsed:
            self.transport.pause_reading()

    def on_expect(self) -> None:
        """Handle a head that expects `100 Continue`."""
        self.is_continue_due = True
        self.write_continue()

    def write_continue(self) -> None:
        """Write `100 Continue`, which comes after the responses that are due before."""
        if not self.is_continue_due or self.request is not None or self.reader.completed:
            return
        if self.transport is not None:
            self.is_continue_due = False
            self.transport.write(CONTINUE)

    def time_out_request(self) -> None:
        """Answer a request whose rest has not come in time."""
        self.reader.fail(RequestError(408, "the request did not come in time"))
        self.process_next_request()

    def process_next_request(self) -> None:
        """Process the next request that was read, once the one before is answered."""
        if self.request is not None or self.is_write_paused or self.transport is None or self.ignores_input:
            return
        if not self.reader.completed and self.reader.unparsed:
            self.read(b"")
            if not self.reader.is_broken and not self.reader.unparsed:
                self.transport.resume_reading()
        if not self.reader.completed:
            return
        request = self.request = self.reader.completed.popleft()
        try:
            self.process_request(request)
        except RequestError as error:
            self.context.gateway.metrics.record_unserved(f"{error.status} {error}")
            self.respond(error.status, error.headers, f"{error}\n".encode())

    def process_request(self, request: Request) -> None:
        """Answer a request here, or hand it to the core. Raises RequestError where it is answered with an error."""
        if request.error is not None:
            raise request.error
        path = request.target.partition(b"?")[0]
        if path == READY_PATH:
            self.answer_readiness_check(request)
            return
        call = read_call(request, path, self.context.config, self)
        self.context.drain.limit_call(call)
        self.call = call
        if not self.context.gateway.admit_request(call):
            self.call = None
            raise RequestError(400, "this X-Call-Id is in use")

    def answer_readiness_check(self, request: Request) -> None:
        """Answer whether clients are served."""
        if request.method not in (b"GET", b"HEAD"):
            raise RequestError(405, "GET it", (b"Allow", b"GET, HEAD"))
        self.respond(200 if self.context.is_ready() else 503, [], b"")

    # Responses

    def on_response(self, call: Call, reply: Reply) -> None:
        """Return a host's answer."""
        if self.call is call:
            self.respond(200, end_to_end_headers(reply.headers, HEADERS_NOT_RETURNED), reply.body)

    def on_rejected(self, call: Call, retry_after_us: int) -> None:
        """Respond that the call was rejected."""
        if self.call is call:
            after = [(b"Retry-After", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us > 0 else []
            self.respond(503, after, b"")

    def on_failed(self, call: Call, timed_out: bool) -> None:
        """Respond that the call has failed."""
        if self.call is call:
            self.respond(504 if timed_out else 502, [], b"")

    def on_stream_start(self, call: Call, reply: Reply, size: int | None, flow: FlowControl) -> ResponseStream | None:
        """Write the head of a large answer, whose body follows as it comes."""
        request, transport = self.request, self.transport
        if self.call is not call or request is None or transport is None:
            return None
        self.flow_control = flow
        self.is_chunked = size is None and not request.is_http10
        if size is None and request.is_http10:
            request.keep_alive = False  # its end is that of the connection
        is_last = self.is_last(request)
        if is_last:
            request.keep_alive = False
        headers = end_to_end_headers(reply.headers, HEADERS_NOT_RETURNED)
        transport.set_write_buffer_limits(high=HIGH_WATER_MARK_BYTES)
        self.write_stream(b"".join(build_head(STATUS_OK, headers, size, self.is_chunked, is_last)))
        return self

    def on_chunk(self, data: bytes) -> None:
        """Write the next bytes of a streamed body."""
        self.write_stream(frame_chunk(data) if self.is_chunked else data)

    def on_complete(self) -> None:
        """End a streamed response."""
        if self.is_chunked:
            self.write_stream(LAST_CHUNK)
        request, self.request = self.request, None
        self.call = None
        self.flow_control = None
        self.has_responded = True
        if request is not None and self.transport is not None:
            self.finish_response(request, not request.keep_alive)

    def on_aborted(self) -> None:
        """Abort a streamed response: its length is not reached, or its last chunk is missing: the client can tell."""
        self.call = None
        self.flow_control = None
        self.abort()

    def is_last(self, request: Request) -> bool:
        """Tell whether the connection ends with this response; what was read is answered, during a drain too."""
        has_more = bool(self.reader.completed) or self.reader.has_begun
        return not request.keep_alive or (self.context.drain.closes_connections() and not has_more)

    def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Write a whole response at once, and go on with the next request."""
        request, transport = self.request, self.transport
        assert request is not None
        assert transport is not None
        self.request = None
        self.call = None
        self.has_responded = True
        is_last = self.is_last(request)
        parts = build_head(status, headers, len(body), False, is_last)
        if request.method != b"HEAD":
            parts.append(body)
        transport.write(b"".join(parts))
        self.finish_response(request, is_last)

    def finish_response(self, request: Request, is_last: bool) -> None:
        """Go on with the next request, or end the connection."""
        if is_last:
            self.reader.completed.clear()
            self.end(linger=request.error is not None)
        else:
            self.write_continue()
            self.schedule_next_request()
            self.update_phase()

    def schedule_next_request(self) -> None:
        """Process the next request in the next turn of the loop."""
        if self.reader.completed or self.reader.unparsed:
            self.context.loop.call_soon(self.process_next_request)
