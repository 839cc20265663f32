"""One client connection, whose requests are answered in order.

Invariants:
- one request at a time is processed; pipelined requests wait for its response;
- a response is written only for the call that the connection currently awaits;
- a connection is closed as idle only if no response is due, no request has begun, and no bytes wait to be read.
"""

from __future__ import annotations

import asyncio
from typing import Final

from cloverkeel.core.calls import Call, FlowControl, ResponseStream
from cloverkeel.core.memory_account import CLIENT_CONNECTION_BYTES, SMALL_REQUEST_BYTES
from cloverkeel.core.messages import Header, Reply, end_to_end_headers
from cloverkeel.frontends.http1.client_transport import ClientTransport
from cloverkeel.frontends.http1.context import ConnectionContext
from cloverkeel.frontends.http1.request_admission import NO_MEMORY, admit_request
from cloverkeel.frontends.http1.errors import RequestError
from cloverkeel.frontends.http1.requests import Request, RequestReader
from cloverkeel.frontends.http1.responses import CONTINUE, HEADERS_NOT_RETURNED, build_head
from cloverkeel.frontends.http1.streamed_response import StreamedResponse
from cloverkeel.frontends.http1.timeouts import MIN_BODY_BYTES_PER_S, READ_IDLE_TIMEOUT_S

MAX_PIPELINED_REQUESTS: Final = 16  # parsed ahead on one connection


class ClientConnection(ClientTransport):
    """One client connection and its requests."""

    def __init__(self, context: ConnectionContext) -> None:
        super().__init__(context)
        self.reader = RequestReader(self.write_continue, context.body_budget)
        self.request: Request | None = None  # being processed, not yet answered
        self.call: Call | None = None  # the same request, as the core handles it
        self.stream: StreamedResponse | None = None  # the response that is being passed on

    # Connection lifecycle

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle asyncio's event: the connection is set up."""
        self.set_transport(transport)
        self.context.connections.add(self)
        self.update_charge()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Handle asyncio's event: the connection is closed."""
        self.context.connections.discard(self)
        self.enter_phase(None)
        self.ignores_input = True
        self.reader.close()
        self.transport = None
        self.output.detach()
        self.charge.update(0)
        call, self.call = self.call, None
        self.request = self.stream = None
        if call is not None:
            self.context.gateway.on_client_disconnected(call)

    def eof_received(self) -> None:
        """Handle asyncio's event: the client has closed its sending side.

        Returns None, so that asyncio closes the connection: it never stays half open.
        """

    def is_idle(self) -> bool:
        """Return whether it may be closed: no response is due, no request has begun, no bytes wait to be read.

        Guards against losing a request that the kernel has received and the loop has not read. It may be the only
        retry of a client whose first try was on its way when the gateway closed the previous connection.
        """
        if self.ignores_input or self.request is not None or self.reader.completed or self.reader.has_begun:
            return False
        return not self.poll.poll(0)

    # Phases

    def update_phase(self) -> None:
        """Enter the phase that follows from the bytes received and the responses due."""
        timeouts = self.context.timeouts
        if self.ignores_input:
            return
        if self.output.is_paused:
            self.enter_phase(timeouts.delivering)
        elif self.request is not None or self.reader.completed:
            self.enter_phase(None)
        elif self.reader.has_begun:
            self.enter_phase(timeouts.reading, None if self.has_responded else self.accepted_s)
        elif self.has_responded or self.phase is not timeouts.accepted:
            self.enter_phase(timeouts.keep_alive)

    def pause_writing(self) -> None:
        """Handle asyncio's event: the client reads more slowly than responses are written."""
        self.output.pause()
        self.update_phase()
        self.update_charge()

    def resume_writing(self) -> None:
        """Handle asyncio's event: the client has read the bytes written."""
        self.output.resume()
        self.update_phase()
        self.update_charge()
        self.schedule_next_request()

    def is_request_slow(self, now_s: float, overtime_s: float) -> bool:
        """Return whether a request arrives too slowly, `overtime_s` after REQUEST_TIMEOUT_S has passed."""
        if self.is_input_postponed:
            return False  # the request waits for this process
        if now_s - self.last_read_s > READ_IDLE_TIMEOUT_S:
            return True
        return self.reader.body_size < overtime_s * MIN_BODY_BYTES_PER_S

    # Requests

    def data_received(self, data: bytes | memoryview) -> None:
        """Handle bytes from the client."""
        if self.ignores_input:
            self.discard(len(data))
            return
        self.last_read_s = self.context.loop.time()
        self.read(data)
        self.update_charge()
        if self.context.account.is_exhausted:
            self.limit_memory()
        if self.context.drain.is_over():
            self.pause_reading()  # what has been read is answered; guards against a client that never stops sending
        self.process_next_request()
        self.update_phase()

    def read(self, data: bytes | memoryview) -> None:
        """Parse bytes after those left unparsed; pause reading while enough requests wait."""
        self.reader.feed(data, MAX_PIPELINED_REQUESTS, self.context.account.read_ahead_bytes())
        if self.reader.is_broken or self.reader.unparsed:
            self.pause_reading()

    def expects_large_body(self) -> bool:
        """Return whether much of a body is to come."""
        return self.reader.expects_large_body

    def update_charge(self) -> None:
        """Charge what this connection holds now to the memory account."""
        if self.transport is None:
            return  # `connection_lost` has released the charge
        held_bytes = CLIENT_CONNECTION_BYTES + self.reader.held_bytes + self.output.held_bytes
        if self.request is not None:
            held_bytes += self.request.held_bytes
        self.charge.update(held_bytes)

    def limit_memory(self) -> None:
        """Read no further requests while one waits; refuse one of which much has arrived and more is to come."""
        if self.request is not None or self.reader.completed:
            self.pause_reading()
        elif self.reader.current_bytes > SMALL_REQUEST_BYTES:
            self.context.gateway.metrics.record_event("memory")
            self.reader.fail(RequestError(503, NO_MEMORY))
            self.pause_reading()

    def write_continue(self) -> None:
        """Write `100 Continue` if it is due and all earlier responses are written."""
        reader = self.reader
        if not reader.is_continue_due or self.request is not None or reader.completed:
            return
        reader.is_continue_due = False
        self.write(CONTINUE)

    def time_out_request(self) -> None:
        """Respond to a request that did not arrive completely in time."""
        self.reader.fail(RequestError(408, "the request did not come in time"))
        self.process_next_request()

    def process_next_request(self) -> None:
        """Process the next parsed request if the previous one is answered."""
        if self.request is not None or self.transport is None or self.ignores_input:
            return
        if self.output.is_beyond(self.context.account.stream_bytes()):
            return  # so much waits for the client that no further response may be added
        if not self.reader.completed and self.is_reading_paused:
            self.read(b"")
            if not self.reader.is_broken and not self.reader.unparsed and not self.context.drain.is_over():
                self.resume_reading()
        if not self.reader.completed:
            return
        request = self.request = self.reader.take_next()
        if request.error is not None:  # not raised: its traceback would refer to the request, and the request to it
            self.respond_with_error(request.error)
            return
        try:
            admit_request(self, request)
        except RequestError as error:
            self.respond_with_error(error)

    # Responses

    def on_response(self, call: Call, reply: Reply) -> None:
        """Write a host's response."""
        if self.call is call:
            self.respond(200, end_to_end_headers(reply.headers, HEADERS_NOT_RETURNED), reply.body)

    def on_rejected(self, call: Call, retry_after_us: int) -> None:
        """Write that the call was rejected; `retry_after_us` is 0 if no time to retry is known."""
        if self.call is call:
            after = [(b"Retry-After", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us > 0 else []
            self.respond(503, after, b"")

    def on_failed(self, call: Call, timed_out: bool) -> None:
        """Write that the call has failed."""
        if self.call is call:
            self.respond(504 if timed_out else 502, [], b"")

    def on_stream_start(self, call: Call, reply: Reply, size: int | None, flow: FlowControl) -> ResponseStream | None:
        """Write the head of a streamed response; return None if the client no longer awaits it."""
        request = self.request
        if self.call is not call or request is None or self.transport is None:
            return None
        stream = StreamedResponse(self, request, size, self.context.account.stream_bytes())
        self.is_delimited_by_close = stream.is_delimited_by_close
        if self.is_delimited_by_close:
            request.keep_alive = False
        is_last = self.is_last(request)
        if is_last:
            request.keep_alive = False
        self.stream = stream
        flow.limit_read_size(stream.part_bytes)
        self.output.begin_stream(flow, stream.part_bytes, stream.buffer_bytes)
        self.update_charge()
        stream.write_head(reply, size, is_last)
        return stream

    def on_stream_end(self, stream: StreamedResponse) -> None:
        """Go on with the next request after a streamed response."""
        if self.stream is not stream:
            return
        request, self.request = self.request, None
        self.call = self.stream = None
        self.has_responded = True
        if request is not None and self.transport is not None:
            self.output.end_stream()
            self.update_charge()
            self.finish_response(request, not request.keep_alive)

    def on_stream_aborted(self, stream: StreamedResponse) -> None:
        """End the connection after a truncated response."""
        self.call = None
        if self.stream is stream:
            self.stream = None
            self.output.end_stream()
        if self.is_delimited_by_close:
            self.abort()
        else:
            self.close()

    def is_last(self, request: Request) -> bool:
        """Return whether the connection ends with this response; a drain answers pipelined requests first."""
        drain, reader = self.context.drain, self.reader
        if not request.keep_alive:
            return True
        if drain.is_over():
            return not reader.completed and not reader.unparsed
        return drain.closes_connections() and not reader.completed and not reader.has_begun

    def respond(self, status: int, headers: list[Header], body: bytes) -> None:
        """Write a complete response, and go on with the next request."""
        request = self.request
        assert request is not None
        self.request = None
        self.call = None
        self.has_responded = True
        is_last = self.is_last(request)
        parts = build_head(status, headers, len(body), False, is_last)
        if request.method != b"HEAD":
            parts.append(body)
        self.write(b"".join(parts))
        self.update_charge()
        self.finish_response(request, is_last)

    def respond_with_error(self, error: RequestError) -> None:
        """Write the response to a request that is not served."""
        self.context.gateway.metrics.record_unserved(f"{error.status} {error}")
        self.respond(error.status, error.headers, f"{error}\n".encode())

    def finish_response(self, request: Request, is_last: bool) -> None:
        """Go on with the next request, or close the connection after its last response."""
        if is_last:
            self.reader.drop_completed()
            self.end(linger=request.error is not None)
        else:
            self.write_continue()
            self.schedule_next_request()
            self.update_phase()

    def schedule_next_request(self) -> None:
        """Process the next request in the next iteration of the loop."""
        if self.reader.completed or self.is_reading_paused:
            self.context.loop.call_soon(self.process_next_request)
