"""Messages as every protocol has them: limits, headers that end at a hop, whole answers. No bytes, no I/O.

Hop-by-hop headers are those of RFC 9110, section 7.6.1, and the framing that each hop makes anew.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

Header = tuple[bytes, bytes]

MAX_BUFFERED_BODY_BYTES: Final = 64 * 1024  # kept whole; a larger body is streamed, or kept while the budget has room
MAX_BODY_BYTES: Final = 32 * 1024 * 1024
MAX_HEAD_BYTES: Final = 16 * 1024
STATUS_OK: Final = 200
HOP_BY_HOP_HEADERS: Final = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection te trailer"
    b" transfer-encoding upgrade expect content-length".split()
)


def end_to_end_headers(headers: Iterable[Header], without: frozenset[bytes] = frozenset()) -> list[Header]:
    """Return the headers that may be forwarded: none that is meant for this connection only, here or by `Connection`.

    `without`: further names, in lower case, that are left out.
    """
    kept: list[tuple[bytes, Header]] = []
    named_by_connection: set[bytes] = set()
    for pair in headers:
        name = pair[0].lower()
        if name == b"connection":
            named_by_connection.update(parse_token_list(pair[1]))
        elif name not in HOP_BY_HOP_HEADERS and name not in without:
            kept.append((name, pair))
    return [pair for name, pair in kept if name not in named_by_connection]


def parse_token_list(value: bytes) -> list[bytes]:
    """Return the names of a comma-separated list, in lower case."""
    return [token.strip().lower() for token in value.split(b",")]


def find_header(headers: Iterable[Header], wanted: bytes) -> bytes | None:
    """Return the value of the first header of that name (lower case)."""
    for name, value in headers:
        if name.lower() == wanted:
            return value
    return None


class Reply:
    """One whole answer, or the head of a streamed one."""

    __slots__ = ("body", "headers", "keep_alive", "status")

    def __init__(self, status: int, headers: list[Header], body: bytes, keep_alive: bool) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.keep_alive = keep_alive  # the connection may carry another request
