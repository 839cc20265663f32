"""One HTTP/1.1 connection to a relay: parse its requests, one at a time, and write the responses.

Invariants:
- at most one request is open on a connection. The size of a request is limited, and so is the time that the client
  may take for its next step (`deadline_s`, which RelayServer checks);
- the bytes of large responses that the client has not read yet are counted (`unsent_bytes`).
"""

from __future__ import annotations

import asyncio
import json
from typing import Any, Final, Protocol, cast

import httptools

from cloverkeel.control_plane.config import Limits
from cloverkeel.control_plane.counters import ServerCounters
from cloverkeel.control_plane.encoding import (
    ACCEPT_ENCODING,
    CONTENT_ENCODING_HEADER,
    MIN_GZIP_BYTES,
    IncrementalBody,
    accepts_gzip,
    gzip_body,
)
from cloverkeel.control_plane.endpoint_table import SubscriptionKey
from cloverkeel.control_plane.errors import PipelinedRequestError, UnsupportedRequestError
from cloverkeel.control_plane.fleet_roster import FleetRoster
from cloverkeel.control_plane.messages import Subscriber
from cloverkeel.control_plane.requests import PollRequest

MAX_REQUEST_BYTES: Final = 64 << 10  # a gateway may name 256 services of 128 characters
# A larger response is encoded incrementally, and counted in `unsent_bytes` while it is unread.
MAX_SINGLE_STEP_BYTES: Final = 256 << 10
MAX_REASON_CHARS: Final = 200
RETRY_AFTER_S: Final = 1  # sent with status 503
HEAD: Final = b"HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s\r\n"
CLOSE_HEADER: Final = b"Connection: close\r\n"
RETRY_AFTER_HEADER: Final = b"Retry-After: %d\r\n" % RETRY_AFTER_S
STATUS_OK: Final = b"200 OK"
STATUS_BAD_REQUEST: Final = b"400 Bad Request"
STATUS_NOT_FOUND: Final = b"404 Not Found"
STATUS_TOO_LARGE: Final = b"431 Too Large"
STATUS_UNAVAILABLE: Final = b"503 Service Unavailable"


class ConnectionHandler(Protocol):
    """Handles the events of connections."""

    loop: asyncio.AbstractEventLoop
    limits: Limits
    counters: ServerCounters

    def on_connected(self, connection: ClientConnection) -> None:
        """Handle a new connection."""

    def on_disconnected(self, connection: ClientConnection) -> None:
        """Handle the end of a connection."""

    def on_request(self, connection: ClientConnection, target: bytes) -> None:
        """Handle a request; the handler has to respond to it, at once or later."""

    def on_response_unread(self, size_bytes: int) -> None:
        """Handle a large response that the client did not read immediately."""

    def on_response_read(self, connection: ClientConnection) -> None:
        """Handle a client that has read everything that was written."""


class ClientConnection(asyncio.Protocol):
    """A client's connection and the state of its open request."""

    __slots__ = (
        "_has_body", "_is_gzip_offered", "_parser", "_target", "_transport",
        "accepts_gzip", "deadline_s", "handler", "hold_timer", "is_closed", "is_kept_alive", "is_request_open",
        "is_write_paused", "keys_roster", "pending_request", "request_bytes", "subscriber", "subscription_keys",
        "unsent_bytes",
    )  # fmt: skip

    def __init__(self, handler: ConnectionHandler) -> None:
        self.handler = handler
        self._transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpRequestParser(self)
        self._target = b""
        self._has_body = False
        self._is_gzip_offered = False  # by the request that is being received
        self.request_bytes = 0  # received bytes of the next request
        self.accepts_gzip = False  # according to the open request
        self.is_request_open = False
        self.is_kept_alive = True  # the connection stays open after the response
        self.pending_request: PollRequest | None = None  # waits for a change, or in a queue
        self.hold_timer: asyncio.TimerHandle | None = None  # ends the hold of the pending request
        self.subscriber: Subscriber | None = None  # LongPolls indexes this connection by this subscriber's keys
        self.keys_roster: FleetRoster | None = None  # the roster that subscription_keys were computed with
        self.subscription_keys: tuple[SubscriptionKey, ...] = ()
        self.deadline_s = 0.0  # for the client's next step; 0.0 while it waits for the relay
        self.is_write_paused = False  # the client has not read all that was written
        self.unsent_bytes = 0  # of large responses that the client has not read
        self.is_closed = False

    # asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to read requests."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        self._transport.set_write_buffer_limits(0)  # pause_writing is called if anything is unsent
        self.handler.on_connected(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Report the end of the connection to the handler."""
        self.is_closed = True
        self._parser = None
        self.handler.on_disconnected(self)

    def pause_writing(self) -> None:
        """Set a deadline for the client to read what was written."""
        self.is_write_paused = True
        self.deadline_s = self.handler.loop.time() + self.handler.limits.write_timeout_s

    def resume_writing(self) -> None:
        """Wait for the next request: the client has read everything."""
        self.is_write_paused = False
        idle_timeout_s = self.handler.limits.idle_timeout_s
        self.deadline_s = 0.0 if self.is_request_open else self.handler.loop.time() + idle_timeout_s
        self.handler.on_response_read(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of a request."""
        if self._has_ended or self._parser is None:
            return
        self.request_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.reject(STATUS_BAD_REQUEST, str(error.__context__ or error))
        else:
            if self.request_bytes > MAX_REQUEST_BYTES:
                self.reject(STATUS_TOO_LARGE, f"expected a call of at most {MAX_REQUEST_BYTES} bytes")

    @property
    def _has_ended(self) -> bool:
        """Whether the connection is closed, or closes once its last response is sent."""
        return self.is_closed or self._transport is None or self._transport.is_closing()

    # httptools' callbacks

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record whether the request accepts gzip."""
        if name.lower() == ACCEPT_ENCODING:
            self._is_gzip_offered = accepts_gzip(value)

    def on_body(self, _data: bytes) -> None:
        """Record that the request has a body."""
        self._has_body = True

    def on_message_complete(self) -> None:
        """Pass the request to the handler.

        A ValueError raised here rejects the request; its text is sent to the client. A request that follows the last
        response of the connection in the same read is dropped.
        """
        if self._has_ended:
            return
        if self.is_request_open or self.is_write_paused:
            raise PipelinedRequestError
        target, self._target, self.request_bytes = self._target, b"", 0
        self.accepts_gzip, self._is_gzip_offered = self._is_gzip_offered, False
        self.is_request_open, self.is_kept_alive = True, self._parser.should_keep_alive()
        self.deadline_s = 0.0
        if self._has_body or self._parser.get_method() != b"GET" or self._parser.should_upgrade():
            raise UnsupportedRequestError
        self.handler.on_request(self, target)

    # Responses

    def reject(self, status: bytes, reason: str) -> None:
        """Respond with an error status and its reason, and close the connection."""
        self.is_kept_alive = False
        self.handler.counters.bad_requests += 1
        self.respond(status, json.dumps({"error": reason[:MAX_REASON_CHARS]}).encode())

    def respond(self, status: bytes, body: bytes = b"{}", headers: bytes = b"") -> None:
        """Write the response to the open request, with gzip if accepted and at least MIN_GZIP_BYTES long."""
        headers = headers if self.is_kept_alive else headers + CLOSE_HEADER
        if self.accepts_gzip and len(body) >= MIN_GZIP_BYTES:
            body, headers = gzip_body(body), headers + CONTENT_ENCODING_HEADER
        self._write(HEAD % (status, len(body), headers) + body)

    def respond_with_body(self, body: IncrementalBody, age_ms: int) -> None:
        """Write the response to the open request from a body that is encoded except for its tail."""
        headers = b"" if self.is_kept_alive else CLOSE_HEADER
        tail = body.tail(age_ms)
        if body.compressor is not None:
            headers += CONTENT_ENCODING_HEADER
        self._write(HEAD % (STATUS_OK, body.size_bytes + len(tail), headers), *body.chunks, tail)

    def _write(self, *data: bytes) -> None:
        if self._has_ended or self._transport is None:
            return
        self.end_wait()
        self.is_request_open = False
        loop, limits = self.handler.loop, self.handler.limits
        self.deadline_s = loop.time() + limits.idle_timeout_s
        size_bytes = sum(map(len, data))
        self.handler.counters.sent_bytes += size_bytes
        self._transport.writelines(data)
        if self.is_write_paused and size_bytes > MAX_SINGLE_STEP_BYTES:
            self.unsent_bytes = size_bytes
            self.handler.on_response_unread(size_bytes)
        if not self.is_kept_alive:
            self.deadline_s = loop.time() + limits.write_timeout_s
            self._transport.close()

    def end_wait(self) -> None:
        """End the wait of the pending request, if there is one."""
        if self.hold_timer is not None:
            self.hold_timer.cancel()
            self.hold_timer = None
        self.pending_request = None

    def close(self) -> None:
        """Close the connection once everything is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection without sending what is left."""
        if self._transport is not None:
            self._transport.abort()
