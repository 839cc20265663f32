"""Tracks how much of the streamed responses a client has received, according to the kernel's send queue."""

from __future__ import annotations

import asyncio
import fcntl
import sys
import termios
from typing import Final

UNSENT_COUNT_BYTES: Final = 4  # size of the integer that TIOCOUTQ returns


class StreamProgress:
    """Counts the bytes of one connection's streamed responses."""

    __slots__ = ("delivered_bytes", "written_bytes")

    def __init__(self) -> None:
        self.written_bytes = 0
        self.delivered_bytes = 0  # received by the client as of the last check

    def has_advanced(self, transport: asyncio.Transport) -> bool:
        """Return whether the client has received more bytes since the last call."""
        sock = transport.get_extra_info("socket")
        if sock is None:
            return False
        pending_bytes = transport.get_write_buffer_size() + count_unsent(sock.fileno())
        previous_bytes = self.delivered_bytes
        self.delivered_bytes = max(previous_bytes, self.written_bytes - pending_bytes)
        return self.delivered_bytes > previous_bytes


def count_unsent(fd: int) -> int:
    """Return the number of bytes in the kernel's send queue; 0 if the socket is closed."""
    try:
        return int.from_bytes(fcntl.ioctl(fd, termios.TIOCOUTQ, bytes(UNSENT_COUNT_BYTES)), sys.byteorder)
    except OSError:
        return 0
