"""HTTP/1.1 as both sides need it: limits, headers that end at a hop, and whole answers from bytes."""

from __future__ import annotations

import sys
from collections.abc import Iterable

import httptools

Header = tuple[bytes, bytes]

BODY_LIMIT = 64 * 1024
HEAD_LIMIT = 64 * 1024
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer"
    b" transfer-encoding upgrade expect content-length".split()
)


def end_to_end(headers: Iterable[Header], without: frozenset[bytes] = frozenset()) -> list[Header]:
    """Headers that may pass on: none that is meant for this connection only, here or by `Connection`."""
    kept = [(name, value) for name, value in headers if name.lower() not in HOP_BY_HOP]
    named = {
        part.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for part in value.split(b",")
    } | without
    return [(name, value) for name, value in kept if name.lower() not in named]


def header(headers: Iterable[Header], wanted: bytes) -> bytes | None:
    """The first header of that name (lower case)."""
    return next((value for name, value in headers if name.lower() == wanted), None)


def log(line: str) -> None:
    """One line of the program's log; nothing is logged for each request."""
    print(f"cloverkeel: {line}", file=sys.stderr, flush=True)


class ReplyError(ValueError):
    """What came back is no answer that can be used."""


class Reply:
    """One whole answer."""

    __slots__ = ("body", "headers", "keep_alive", "status")

    def __init__(self, status: int, headers: list[Header], body: bytes, keep_alive: bool) -> None:
        self.status, self.headers, self.body, self.keep_alive = status, headers, body, keep_alive


class ReplyReader:
    """Turns the bytes of one connection into whole answers, one at a time."""

    __slots__ = ("_body", "_headers", "_limit", "_parser", "_replies", "_size")

    def __init__(self, limit: int = BODY_LIMIT) -> None:
        self._limit = limit
        self._parser = httptools.HttpResponseParser(self)
        self._replies: list[Reply] = []
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> Reply | None:
        """The answer that these bytes complete, if they do; bytes beyond it are an error."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._replies:
                raise ReplyError(str(error)) from None
            self._replies[0].keep_alive = False  # a whole answer and something after it
        if not self._replies:
            return None
        reply = self._replies[0]
        if len(self._replies) > 1 or self._headers or self._body:
            reply.keep_alive = False
        self._replies = []
        return reply

    # httptools' callbacks

    def on_message_begin(self) -> None:
        self._headers, self._body, self._size = [], [], 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self._size += len(name) + len(value)
        if self._size > HEAD_LIMIT:
            raise ReplyError("the head is too long")
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        self._size = 0

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > self._limit:
            raise ReplyError("the body is too long")
        self._body.append(data)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= 200:  # what comes before the answer proper is not passed on
            keep_alive = self._parser.should_keep_alive()
            self._replies.append(Reply(status, self._headers, b"".join(self._body), keep_alive))
        self._headers, self._body = [], []
