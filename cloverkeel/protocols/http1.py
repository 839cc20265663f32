"""HTTP/1.1 response parser (RFC 9112) for the responses of hosts and of discovery. No I/O.

Responses are returned whole, up to a limit. If the caller passes `on_stream_start` and `on_chunk`, larger ones are
streamed: first the head, then the body in chunks as it arrives; the reply that `feed` returns at the end has no body.

Invariant: one call of `feed` reports events of one response at most. Parsing stops at the first byte of the next one,
as the caller does not know yet that the first has ended.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

import httptools

from cloverkeel.core.chunk_buffer import ChunkBuffer
from cloverkeel.core.messages import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
    STATUS_OK,
    Header,
    Reply,
    find_header,
    parse_token_list,
)

MAX_HEADER_FIELDS: Final = 256  # in one head: a field costs far more as objects than as bytes
HEADER_FIELD_BYTES: Final = 200  # objects of one field, beside its bytes
SLICE_BYTES: Final = 16 * 1024  # parsed before the pieces of a body, which may be single bytes, are merged
MAX_INTERIM_REPLIES: Final = 8  # 1xx responses before the final one
MIN_FINAL_STATUS: Final = 200
STATUSES_WITHOUT_BODY: Final = (204, 304)
SUPPORTED_VERSIONS: Final = ("1.1", "1.0")

HEAD_TOO_LONG: Final = "the head is too long"
BODY_TOO_LONG: Final = "the body is too long"
UNSUPPORTED_VERSION: Final = "unsupported HTTP version"
UNKNOWN_BODY_END: Final = "the end of the body is unknown"
TOO_MANY_INTERIM_REPLIES: Final = "too many interim responses"
BYTES_AFTER_REPLY: Final = "bytes after a complete response"


class ReplyError(ValueError):
    """The received bytes are not a usable response."""


class ReplyReader:
    """Parses the bytes of one connection into responses, one at a time."""

    __slots__ = (
        "_body", "_bytes_since_callback", "_headers", "_interim_count", "_is_in_body", "_is_until_close", "_length",
        "_max_body_bytes", "_on_chunk", "_on_stream_start", "_parser", "_pieces", "_reply", "_size", "_streamed",
        "has_begun", "is_streaming", "on_body",
    )  # fmt: skip

    def __init__(
        self, max_body_bytes: int = MAX_BUFFERED_BODY_BYTES,
        on_stream_start: Callable[[Reply, int | None], None] | None = None,
        on_chunk: Callable[[bytes], None] | None = None,
    ) -> None:  # fmt: skip
        self._max_body_bytes = max_body_bytes  # limit of a body that is returned whole
        self._on_stream_start = on_stream_start
        self._on_chunk = on_chunk
        # The parser appends pieces of a body to a list without a call of Python code: a chunk may be one byte long.
        self._pieces: list[bytes] = []
        self.on_body: Any = self._pieces.append
        self._parser: Any = httptools.HttpResponseParser(self)
        self._reply: Reply | None = None  # complete, and not yet returned by `feed`
        self._headers: list[Header] = []
        self._body = ChunkBuffer()
        self._streamed: list[bytes] = []  # of a streamed response, to be passed on at the end of `feed`
        self._size = 0  # bytes so far of the head, then of the body
        self._length: int | None = None  # body length from Content-Length; None if not given
        self._is_until_close = False  # the body ends when the connection closes
        self._is_in_body = False
        self._interim_count = 0
        self._bytes_since_callback = 0  # bytes parsed since the parser last delivered a head, body bytes or an end
        self.has_begun = False  # part of a response has arrived, and not all of it
        self.is_streaming = False  # the response is passed on in chunks

    @property
    def held_bytes(self) -> int:
        """Memory of the response that has begun, without what was passed on."""
        if not self.has_begun:
            return 0
        return self._bytes_since_callback + HEADER_FIELD_BYTES * len(self._headers) + self._body.held_bytes

    def feed(self, data: bytes | memoryview) -> Reply | None:
        """Parse bytes; return the response that they complete, if any.

        Bytes after the response are not parsed and clear its `keep_alive`; no further bytes may be fed then. Raises
        ReplyError if bytes are malformed or exceed a limit.
        """
        try:
            for begin in range(0, len(data), SLICE_BYTES):
                end = begin + SLICE_BYTES
                reply = self._feed_slice(data[begin:end])
                if reply is not None:
                    reply.keep_alive = reply.keep_alive and end >= len(data)
                    return reply
            return None
        finally:
            self._pass_on_streamed()

    def _feed_slice(self, data: bytes | memoryview) -> Reply | None:
        """Parse a part of the bytes, after which pieces of a body are merged."""
        self._bytes_since_callback += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._reply is None:
                self._take_pieces()
                raise ReplyError(str(error.__context__ or error)) from None
            self._reply.keep_alive = False  # bytes after a complete response
        self._take_pieces()
        reply, self._reply = self._reply, None
        if reply is not None:
            self._interim_count = 0
        elif self._bytes_since_callback > MAX_HEAD_BYTES:
            # Guards against an endless status line or header: the parser buffers it without a callback.
            raise ReplyError(HEAD_TOO_LONG)
        return reply

    def finish(self) -> Reply | None:
        """Handle the sender's end of stream; return the response whose body it ends, if any."""
        if not self.has_begun or not self._is_until_close:
            return None
        reply = Reply(self._parser.get_status_code(), self._headers, self._body.take_bytes(), False)
        self._headers = []
        self.has_begun = False
        return reply

    def begin_stream(self) -> bool:
        """Stream the response that has begun, though no more of its body has come; return whether it is streamed.

        A response whose announced length is within the limit of bodies that are returned whole is not streamed: only
        all of it is of use.
        """
        may_be_large = self._length is None or self._length > self._max_body_bytes
        if not (self.has_begun and self._is_in_body and may_be_large) or self._on_stream_start is None:
            return False
        if not self.is_streaming and self._parser.get_status_code() == STATUS_OK:
            self._start_stream()
            self._pass_on_streamed()
        return self.is_streaming

    def close(self) -> None:
        """Break the reference cycle with the parser, so that both are freed without garbage collection."""
        self._parser = None
        self._on_stream_start = None
        self._on_chunk = None
        self._pieces.clear()

    # Callbacks that httptools looks up by name

    def on_message_begin(self) -> None:
        """Begin a response, or stop parsing if it follows a response that `feed` has not returned yet."""
        if self._reply is not None:
            raise ReplyError(BYTES_AFTER_REPLY)
        self.has_begun = True
        self._is_in_body = False
        self._headers = []
        self._body = ChunkBuffer()
        self._size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, within the limit of the head."""
        if self._is_in_body:
            return  # a trailer, limited by _bytes_since_callback
        self._size += len(name) + len(value)
        if self._size > MAX_HEAD_BYTES:
            raise ReplyError(HEAD_TOO_LONG)
        if len(self._headers) >= MAX_HEADER_FIELDS:
            raise ReplyError(HEAD_TOO_LONG)
        # White space around a value is not part of it; the parser strips only the leading part.
        self._headers.append((name, value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Determine the framing of the body, and check the version and the announced body length."""
        self._size = 0
        self._bytes_since_callback = 0
        self._is_in_body = True
        version = self._parser.get_http_version()
        status = self._parser.get_status_code()
        if version not in SUPPORTED_VERSIONS:
            raise ReplyError(UNSUPPORTED_VERSION)
        self.is_streaming = False
        self._is_until_close = False
        length = find_header(self._headers, b"content-length")
        self._length = int(length) if length is not None else None
        if self._length is not None and self._length > self._max_length(status):
            raise ReplyError(BODY_TOO_LONG)
        if status < MIN_FINAL_STATUS or status in STATUSES_WITHOUT_BODY:
            return
        if length is None and find_header(self._headers, b"transfer-encoding") is None:
            self._expect_body_until_close(version)

    def _max_length(self, status: int) -> int:
        """Return the maximum body length that the head of a response with this status may announce."""
        can_stream = self._on_stream_start is not None and status == STATUS_OK
        return max(MAX_BODY_BYTES, self._max_body_bytes) if can_stream else self._max_body_bytes

    def _expect_body_until_close(self, version: str) -> None:
        """Expect the body to end with the connection.

        Raises ReplyError unless the response announces the close itself, as a crash closes the connection too.
        """
        connection_tokens = parse_token_list(find_header(self._headers, b"connection") or b"")
        ends_connection = version == "1.0" or b"close" in connection_tokens
        if self._on_stream_start is None or not ends_connection:
            raise ReplyError(UNKNOWN_BODY_END)
        self._is_until_close = True

    def _take_pieces(self) -> None:
        """Store the pieces of the body that the parser has delivered."""
        pieces = self._pieces
        if pieces:
            data = pieces[0] if len(pieces) == 1 else b"".join(pieces)
            pieces.clear()
            self._add_body(data)

    def _add_body(self, data: bytes) -> None:
        """Store bytes of the body, or stream them if the body is too long to be stored."""
        self._size += len(data)
        self._bytes_since_callback = 0
        if not self.is_streaming and max(self._size, self._length or 0) > self._max_body_bytes:
            self._start_stream()
        if self._size > MAX_BODY_BYTES and self.is_streaming:
            raise ReplyError(BODY_TOO_LONG)
        if self.is_streaming:
            self._streamed.append(data)
        else:
            self._body.append(data)

    def _start_stream(self) -> None:
        """Pass on the head and the part of the body received so far."""
        if self._on_stream_start is None or self._parser.get_status_code() != STATUS_OK:
            raise ReplyError(BODY_TOO_LONG)
        self.is_streaming = True
        self._on_stream_start(Reply(STATUS_OK, self._headers, b"", False), self._length)
        self._streamed = self._body.take_chunks()

    def _pass_on_streamed(self) -> None:
        """Pass on the bytes of a streamed response that have been parsed, in one piece."""
        if not self._streamed:
            return
        streamed, self._streamed = self._streamed, []
        if self._on_chunk is not None:  # None after close()
            self._on_chunk(streamed[0] if len(streamed) == 1 else b"".join(streamed))

    def on_message_complete(self) -> None:
        """Complete a response; interim (1xx) responses are dropped."""
        self._take_pieces()
        status = self._parser.get_status_code()
        if status >= MIN_FINAL_STATUS:
            keep_alive = self._parser.should_keep_alive()
            self._reply = Reply(status, self._headers, self._body.take_bytes(), keep_alive)
        else:
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_REPLIES:
                raise ReplyError(TOO_MANY_INTERIM_REPLIES)
        self._headers = []
        self._bytes_since_callback = 0
        self.has_begun = False
