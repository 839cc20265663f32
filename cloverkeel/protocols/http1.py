"""HTTP/1.1 answers from bytes (RFC 9112). No I/O: the answers of hosts and of discovery are read by it alike.

Answers come whole, up to a limit. Where the caller takes larger ones, it gets their head and then their bodies in
chunks as they come (`on_stream_start`, `on_chunk`); the reply that `feed` returns at their end has no body.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

import httptools

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

MAX_INTERIM_REPLIES: Final = 8  # answers of status 1xx that may come ahead of the final one
MIN_FINAL_STATUS: Final = 200
STATUSES_WITHOUT_BODY: Final = (204, 304)
SUPPORTED_VERSIONS: Final = ("1.1", "1.0")

HEAD_TOO_LONG: Final = "the head is too long"
BODY_TOO_LONG: Final = "the body is too long"
OTHER_VERSION: Final = "another version of the protocol"
UNKNOWN_END: Final = "nobody can tell where it ends"
TOO_MANY_INTERIM_REPLIES: Final = "too many interim answers"


class ReplyError(ValueError):
    """What came back is no answer that can be used."""


class ReplyReader:
    """Turns the bytes of one connection into answers, one at a time."""

    __slots__ = (
        "_body", "_headers", "_interim_count", "_is_in_body", "_is_until_close", "_length", "_max_body_bytes",
        "_on_chunk", "_on_stream_start", "_parser", "_replies", "_size", "_unparsed", "has_begun", "is_streaming",
    )  # fmt: skip

    def __init__(
        self, max_body_bytes: int = MAX_BUFFERED_BODY_BYTES,
        on_stream_start: Callable[[Reply, int | None], None] | None = None,
        on_chunk: Callable[[bytes], None] | None = None,
    ) -> None:  # fmt: skip
        self._max_body_bytes = max_body_bytes  # of an answer that is kept whole
        self._on_stream_start = on_stream_start
        self._on_chunk = on_chunk
        self._parser: Any = httptools.HttpResponseParser(self)
        self._replies: list[Reply] = []
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._size = 0  # bytes of the head, then of the body
        self._length: int | None = None  # of the body, where the head says it
        self._is_until_close = False  # the body ends with the connection
        self._is_in_body = False
        self._interim_count = 0
        self._unparsed = 0  # bytes since the parser last handed anything over
        self.has_begun = False  # an answer has begun and is not yet whole
        self.is_streaming = False  # it is passed on in chunks

    def feed(self, data: bytes) -> Reply | None:
        """Read bytes; returns the answer that they complete. Bytes beyond it end the use of the connection.

        Raises ReplyError where they are no answer, or none within the limits.
        """
        self._unparsed += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._replies:
                raise ReplyError(str(error.__context__ or error)) from None
            self._replies[0].keep_alive = False  # a whole answer and something after it
        if not self._replies:
            # Guards against a status line or a header without end: the parser keeps it and says nothing.
            if self._unparsed > MAX_HEAD_BYTES:
                raise ReplyError(HEAD_TOO_LONG)
            return None
        reply = self._replies[0]
        if len(self._replies) > 1 or self.has_begun:
            reply.keep_alive = False
        self._replies = []
        self._interim_count = 0
        return reply

    def finish(self) -> Reply | None:
        """Take the end of the other side's sending; returns the answer that this completes, if it does."""
        if not self.has_begun or not self._is_until_close:
            return None
        reply = Reply(self._parser.get_status_code(), self._headers, b"".join(self._body), False)
        self._headers = []
        self._body = []
        self.has_begun = False
        return reply

    def close(self) -> None:
        """Let go of the parser: it knows this reader, and both would wait for the collector."""
        self._parser = None
        self._on_stream_start = None
        self._on_chunk = None

    # Callbacks of httptools, which finds them by name

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self.has_begun = True
        self._is_in_body = False
        self._headers = []
        self._body = []
        self._size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header, within the limit of the head."""
        if self._is_in_body:
            return  # a trailer: bounded as what the parser hands nothing over of
        self._size += len(name) + len(value)
        if self._size > MAX_HEAD_BYTES:
            raise ReplyError(HEAD_TOO_LONG)
        # White space round a value is not part of it; the parser leaves what trails.
        self._headers.append((name, value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Find out how the body is framed, and whether it is within the limits."""
        self._size = 0
        self._unparsed = 0
        self._is_in_body = True
        version = self._parser.get_http_version()
        status = self._parser.get_status_code()
        if version not in SUPPORTED_VERSIONS:
            raise ReplyError(OTHER_VERSION)
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
        """Return how long a body may be that the head announces."""
        can_stream = self._on_stream_start is not None and status == STATUS_OK
        return max(MAX_BODY_BYTES, self._max_body_bytes) if can_stream else self._max_body_bytes

    def _expect_body_until_close(self, version: str) -> None:
        """Take that the body ends with the connection.

        Only where the answer says so itself: an end of the connection is also what a crash looks like.
        """
        connection_tokens = parse_token_list(find_header(self._headers, b"connection") or b"")
        ends_connection = version == "1.0" or b"close" in connection_tokens
        if self._on_stream_start is None or not ends_connection:
            raise ReplyError(UNKNOWN_END)
        self._is_until_close = True

    def on_body(self, data: bytes) -> None:
        """Take bytes of a body: keep them, or pass them on where it is too long to be kept."""
        self._size += len(data)
        self._unparsed = 0
        if not self.is_streaming and max(self._size, self._length or 0) > self._max_body_bytes:
            self._start_stream()
        if self._size > MAX_BODY_BYTES and self.is_streaming:
            raise ReplyError(BODY_TOO_LONG)
        if self.is_streaming:
            self._pass_on(data)
        else:
            self._body.append(data)

    def _start_stream(self) -> None:
        """Pass the head on, and what came of the body so far."""
        if self._on_stream_start is None or self._parser.get_status_code() != STATUS_OK:
            raise ReplyError(BODY_TOO_LONG)
        self.is_streaming = True
        self._on_stream_start(Reply(STATUS_OK, self._headers, b"", False), self._length)
        chunks, self._body = self._body, []
        for chunk in chunks:
            self._pass_on(chunk)

    def _pass_on(self, data: bytes) -> None:
        if self._on_chunk is not None:  # else the connection was closed meanwhile
            self._on_chunk(data)

    def on_message_complete(self) -> None:
        """End an answer; what comes before the final one is not handed over."""
        status = self._parser.get_status_code()
        if status >= MIN_FINAL_STATUS:
            keep_alive = self._parser.should_keep_alive()
            self._replies.append(Reply(status, self._headers, b"".join(self._body), keep_alive))
        else:
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_REPLIES:
                raise ReplyError(TOO_MANY_INTERIM_REPLIES)
        self._headers = []
        self._body = []
        self._unparsed = 0
        self.has_begun = False
