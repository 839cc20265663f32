"""HTTP/1.1 answers from bytes. No I/O: hosts' and the registry's answers are read by it alike.

Whole ones, up to a limit. Who can take larger ones gets their head, and their bodies in pieces as they come
(`on_stream_start`, `on_chunk`); the reply that `feed` returns at their end has no body.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

import httptools

from cloverkeel.core.messages import BODY_LIMIT, HEAD_LIMIT, LARGE_LIMIT, Header, Reply, header, tokens

INTERIM_LIMIT: Final = 8  # answers that may come ahead of the answer proper


class ReplyError(ValueError):
    """What came back is no answer that can be used."""


class ReplyReader:
    """Turns the bytes of one connection into whole answers, one at a time."""

    __slots__ = (
        "_body", "_headers", "_in_body", "_interim", "_length", "_limit", "_on_chunk", "_on_stream_start", "_parser",
        "_replies", "_size", "_unparsed", "_until_close", "has_begun", "is_large",
    )  # fmt: skip

    def __init__(
        self, limit: int = BODY_LIMIT, on_stream_start: Callable[[Reply, int | None], None] | None = None,
        on_chunk: Callable[[bytes], None] | None = None,
    ) -> None:  # fmt: skip
        self._limit = limit
        self._on_stream_start, self._on_chunk = on_stream_start, on_chunk
        self._parser: Any = httptools.HttpResponseParser(self)
        self._replies: list[Reply] = []
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._size = 0
        self._length: int | None = None  # of the body, where the head says it
        self._until_close = False
        self._in_body = False
        self._interim = 0
        self._unparsed = 0  # bytes since the parser last gave something away
        self.has_begun = False  # an answer has begun and is not yet whole
        self.is_large = False  # it is passed on in pieces

    def feed(self, data: bytes) -> Reply | None:
        """The answer that these bytes complete, if they do; bytes beyond it are an error."""
        self._unparsed += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._replies:
                raise ReplyError(str(error.__context__ or error)) from None
            self._replies[0].keep_alive = False  # a whole answer and something after it
        if not self._replies:
            # Guards against a status line or a header without end: the parser keeps it and says nothing.
            if self._unparsed > HEAD_LIMIT:
                raise ReplyError("the head is too long")
            return None
        reply = self._replies[0]
        if len(self._replies) > 1 or self.has_begun:
            reply.keep_alive = False
        self._replies = []
        self._interim = 0
        return reply

    def finish(self) -> Reply | None:
        """The other side has ended its sending: the answer that this completes, if it does."""
        if not self.has_begun or not self._until_close:
            return None
        self._replies.append(Reply(self._parser.get_status_code(), self._headers, b"".join(self._body), False))
        self._headers, self._body, self.has_begun = [], [], False
        return self._replies.pop()

    def close(self) -> None:
        """Let go of the parser: it knows this reader, and both would wait for the collector."""
        self._parser = self._on_stream_start = self._on_chunk = None

    # httptools' callbacks

    def on_message_begin(self) -> None:
        self.has_begun = True
        self._in_body = False
        self._headers, self._body, self._size = [], [], 0

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_body:
            return  # a trailer: bounded as what the parser gives nothing away of
        self._size += len(name) + len(value)
        if self._size > HEAD_LIMIT:
            raise ReplyError("the head is too long")
        # White space round a value is not part of it; the parser leaves what trails.
        self._headers.append((name, value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        self._size = 0
        self._unparsed = 0
        self._in_body = True
        version, status = self._parser.get_http_version(), self._parser.get_status_code()
        if version not in ("1.1", "1.0"):
            raise ReplyError("another version of the protocol")
        self.is_large = self._until_close = False
        length = header(self._headers, b"content-length")
        self._length = int(length) if length is not None else None
        most = LARGE_LIMIT if self._on_stream_start is not None and status == 200 else self._limit
        if self._length is not None and self._length > max(most, self._limit):
            raise ReplyError("the body is too long")
        if status < 200 or status in (204, 304):
            return
        if length is None and header(self._headers, b"transfer-encoding") is None:
            # Only where it says so itself: an end of the connection is also what a crash looks like.
            named = tokens(header(self._headers, b"connection") or b"")
            if self._on_stream_start is None or not (version == "1.0" or b"close" in named):
                raise ReplyError("nobody can tell where it ends")
            self._until_close = True

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        self._unparsed = 0
        if not self.is_large and max(self._size, self._length or 0) > self._limit:
            if self._on_stream_start is None or self._parser.get_status_code() != 200:
                raise ReplyError("the body is too long")
            self.is_large = True
            self._on_stream_start(Reply(200, self._headers, b"", False), self._length)
            pieces, self._body = self._body, []
            for piece in pieces:
                self._pass_on(piece)
        if self._size > LARGE_LIMIT and self.is_large:
            raise ReplyError("the body is too long")
        if self.is_large:
            self._pass_on(data)
        else:
            self._body.append(data)

    def _pass_on(self, data: bytes) -> None:
        if self._on_chunk is not None:  # else the connection was closed meanwhile
            self._on_chunk(data)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= 200:  # what comes before the answer proper is not passed on
            keep_alive = self._parser.should_keep_alive()
            self._replies.append(Reply(status, self._headers, b"".join(self._body), keep_alive))
        else:
            self._interim += 1
            if self._interim > INTERIM_LIMIT:
                raise ReplyError("too many interim answers")
        self._headers, self._body = [], []
        self._unparsed = 0
        self.has_begun = False
