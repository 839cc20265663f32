"""Response heads and chunks as bytes (RFC 9112). No I/O."""

from __future__ import annotations

from typing import Final

from cloverkeel.core.messages import Header

REASON_BY_STATUS: Final = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    413: b"Content Too Large", 417: b"Expectation Failed", 431: b"Request Header Fields Too Large",
    501: b"Not Implemented", 502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}  # fmt: skip
STATUS_LINES: Final = {status: b"HTTP/1.1 %d %s" % (status, reason) for status, reason in REASON_BY_STATUS.items()}
HEADERS_NOT_RETURNED: Final = frozenset({b"x-load-report", b"x-rejected"})  # sent by hosts for the gateway only
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK: Final = b"0\r\n\r\n"


def build_head(
    status: int, headers: list[Header], content_length: int | None, is_chunked: bool, is_last: bool
) -> list[bytes]:
    """Return the parts of a head, which the caller joins with the body.

    `content_length`: of the body, None if unknown. `is_last`: the connection ends with this response.
    """
    parts = [STATUS_LINES[status]]
    for name, value in headers:
        parts += (b"\r\n", name, b": ", value)
    if content_length is not None:
        parts += (b"\r\nContent-Length: ", str(content_length).encode())
    elif is_chunked:
        parts.append(b"\r\nTransfer-Encoding: chunked")
    if is_last:
        parts.append(b"\r\nConnection: close")
    parts.append(b"\r\n\r\n")
    return parts


def frame_chunk(data: bytes) -> bytes:
    """Return bytes of a body framed as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)
