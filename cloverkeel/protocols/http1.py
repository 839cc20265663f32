"""Whole HTTP/1.1 answers from bytes. No I/O: hosts' and the registry's answers are read by it alike."""

from __future__ import annotations

from typing import Any, Final

import httptools

from cloverkeel.core.messages import BODY_LIMIT, HEAD_LIMIT, Header, Reply, header

INTERIM_LIMIT: Final = 8  # answers that may come ahead of the answer proper


class ReplyError(ValueError):
    """What came back is no answer that can be used."""


class ReplyReader:
    """Turns the bytes of one connection into whole answers, one at a time."""

    __slots__ = (
        "_body", "_headers", "_interim", "_limit", "_parser", "_replies", "_size", "_unparsed", "has_begun",
    )  # fmt: skip

    def __init__(self, limit: int = BODY_LIMIT) -> None:
        self._limit = limit
        self._parser: Any = httptools.HttpResponseParser(self)
        self._replies: list[Reply] = []
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._size = 0
        self._interim = 0
        self._unparsed = 0  # bytes since the parser last gave something away
        self.has_begun = False  # an answer has begun and is not yet whole

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

    def close(self) -> None:
        """Let go of the parser: it knows this reader, and both would wait for the collector."""
        self._parser = None

    # httptools' callbacks

    def on_message_begin(self) -> None:
        self.has_begun = True
        self._headers, self._body, self._size = [], [], 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self._size += len(name) + len(value)
        if self._size > HEAD_LIMIT:
            raise ReplyError("the head is too long")
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        self._size = 0
        self._unparsed = 0
        if self._parser.get_http_version() not in ("1.1", "1.0"):
            raise ReplyError("another version of the protocol")
        length = header(self._headers, b"content-length")
        if length is not None and int(length) > self._limit:
            raise ReplyError("the body is too long")
        status = self._parser.get_status_code()
        if status < 200 or status in (204, 304):
            return
        if length is None and header(self._headers, b"transfer-encoding") is None:
            raise ReplyError("nobody can tell where it ends")

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        self._unparsed = 0
        if self._size > self._limit:
            raise ReplyError("the body is too long")
        self._body.append(data)

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
