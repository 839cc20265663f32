"""A response that is passed on to its client while the host sends it, with a buffer of a fixed size."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cloverkeel.core.messages import STATUS_OK, Reply, end_to_end_headers
from cloverkeel.frontends.http1.requests import Request
from cloverkeel.frontends.http1.responses import HEADERS_NOT_RETURNED, LAST_CHUNK, build_head, frame_chunk

if TYPE_CHECKING:
    from cloverkeel.frontends.http1.connection import ClientConnection

BUFFER_PARTS: Final = 2  # one part waits for the client, up to one part is read from the host beyond that


class StreamedResponse:
    """Implements the core's `ResponseStream` on a client's connection.

    `size`: length of the body in bytes; None if unknown. `buffer_bytes`: what the connection may hold of it.
    """

    __slots__ = ("buffer_bytes", "connection", "is_chunked", "is_delimited_by_close", "request")

    def __init__(self, connection: ClientConnection, request: Request, size: int | None, buffer_bytes: int) -> None:
        self.connection = connection
        self.request = request
        self.buffer_bytes = buffer_bytes
        self.is_chunked = size is None and not request.is_http10
        self.is_delimited_by_close = size is None and request.is_http10

    @property
    def part_bytes(self) -> int:
        """Bytes that wait for the client before reading from the host pauses, and bytes of one read."""
        return self.buffer_bytes // BUFFER_PARTS

    def write_head(self, reply: Reply, size: int | None, is_last: bool) -> None:
        """Write the head, with its framing; `is_last`: the connection ends with this response."""
        headers = end_to_end_headers(reply.headers, HEADERS_NOT_RETURNED)
        self.connection.write(b"".join(build_head(STATUS_OK, headers, size, self.is_chunked, is_last)))

    def on_chunk(self, data: bytes) -> None:
        """Write the next bytes of the body."""
        self.connection.write(frame_chunk(data) if self.is_chunked else data)

    def on_complete(self) -> None:
        """End the response."""
        if self.is_chunked:
            self.connection.write(LAST_CHUNK)
        self.connection.on_stream_end(self)

    def on_aborted(self) -> None:
        """End the connection within the body; the client notices the short body or the missing last chunk.

        What was written is sent first, as it may include the end of an earlier response. A body that lasts until the
        connection closes is an exception: its truncation needs a reset.
        """
        self.connection.on_stream_aborted(self)
