"""HTTP messages independent of the protocol version: limits, hop-by-hop headers, responses. No parsing, no I/O.

Hop-by-hop headers are those of RFC 9110, section 7.6.1, and the framing headers, which each hop creates anew.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

Header = tuple[bytes, bytes]

MAX_BUFFERED_BODY_BYTES: Final = 64 * 1024  # a larger body is streamed, or buffered within the body budget
MAX_BODY_BYTES: Final = 32 * 1024 * 1024
MAX_HEAD_BYTES: Final = 16 * 1024
STATUS_OK: Final = 200
HOP_BY_HOP_HEADERS: Final = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer"
    b" transfer-encoding upgrade expect content-length".split()
)


def end_to_end_headers(headers: Iterable[Header], excluded: frozenset[bytes] = frozenset()) -> list[Header]:
    """Return the headers to forward, without hop-by-hop headers and those that a Connection header lists.

    `excluded`: further names to leave out, in lower case.
    """
    kept: list[tuple[bytes, Header]] = []
    connection_options: set[bytes] = set()
    for pair in headers:
        name = pair[0].lower()
        if name == b"connection":
            connection_options.update(parse_token_list(pair[1]))
        elif name not in HOP_BY_HOP_HEADERS and name not in excluded:
            kept.append((name, pair))
    return [pair for name, pair in kept if name not in connection_options]


def parse_token_list(value: bytes) -> list[bytes]:
    """Return the items of a comma-separated list, in lower case."""
    return [token.strip().lower() for token in value.split(b",")]


def find_header(headers: Iterable[Header], wanted: bytes) -> bytes | None:
    """Return the value of the first header with the name `wanted` (in lower case); None if there is none."""
    for name, value in headers:
        if name.lower() == wanted:
            return value
    return None


class Reply:
    """A complete response, or the head of a streamed one."""

    __slots__ = ("body", "headers", "keep_alive", "status")

    def __init__(self, status: int, headers: list[Header], body: bytes, keep_alive: bool) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.keep_alive = keep_alive  # the connection may carry another request
