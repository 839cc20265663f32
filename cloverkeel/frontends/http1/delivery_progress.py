"""Tracks how much of its responses a client has received, according to the kernel's send queue."""

from __future__ import annotations

import asyncio
import fcntl
import sys
import termios
from typing import Final

UNSENT_COUNT_BYTES: Final = 4  # size of the integer that TIOCOUTQ returns


class DeliveryProgress:
    """Counts the bytes of one connection's responses."""

    __slots__ = ("delivered_bytes", "written_bytes")

    def __init__(self) -> None:
        self.written_bytes = 0
        self.delivered_bytes = 0  # received by the client as of the last check

    def has_advanced(self, transport: asyncio.Transport) -> bool:
        """Return whether the client has received more bytes since the last call."""
        pending_bytes = self.count_pending(transport)
        previous_bytes = self.delivered_bytes
        self.delivered_bytes = max(previous_bytes, self.written_bytes - pending_bytes)
        return self.delivered_bytes > previous_bytes

    def count_pending(self, transport: asyncio.Transport) -> int:
        """Return how many bytes the client has not received, in the gateway or in the kernel."""
        sock = transport.get_extra_info("socket")
        return transport.get_write_buffer_size() + (count_unsent(sock.fileno()) if sock is not None else 0)


def count_unsent(fd: int) -> int:
    """Return the number of bytes in the kernel's send queue; 0 if the socket is closed."""
    try:
        return int.from_bytes(fcntl.ioctl(fd, termios.TIOCOUTQ, bytes(UNSENT_COUNT_BYTES)), sys.byteorder)
    except OSError:
        return 0
