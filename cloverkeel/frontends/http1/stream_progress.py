"""How much of streamed responses a client has taken: the kernel knows what it still keeps."""

from __future__ import annotations

import asyncio
import fcntl
import sys
import termios
from typing import Final

UNSENT_COUNT_BYTES: Final = 4  # of the integer that TIOCOUTQ fills


class StreamProgress:
    """Counts the bytes of one connection's streamed responses."""

    __slots__ = ("delivered_bytes", "written_bytes")

    def __init__(self) -> None:
        self.written_bytes = 0
        self.delivered_bytes = 0  # with the client, when that was checked last

    def has_advanced(self, transport: asyncio.Transport) -> bool:
        """Tell whether the client has taken more since this was last asked."""
        sock = transport.get_extra_info("socket")
        if sock is None:
            return False
        waiting = transport.get_write_buffer_size() + count_unsent(sock.fileno())
        before = self.delivered_bytes
        self.delivered_bytes = max(before, self.written_bytes - waiting)
        return self.delivered_bytes > before


def count_unsent(fd: int) -> int:
    """Return how many bytes the kernel keeps for the other side."""
    try:
        return int.from_bytes(fcntl.ioctl(fd, termios.TIOCOUTQ, bytes(UNSENT_COUNT_BYTES)), sys.byteorder)
    except OSError:
        return 0
