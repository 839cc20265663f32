"""Errors of the datagram codec."""

from __future__ import annotations


class DatagramEncodeError(ValueError):
    """A datagram cannot be encoded."""


class FieldOutOfRangeError(DatagramEncodeError):
    """A number does not fit its field. `reason` names the valid range; the message includes the header."""

    def __init__(self, header: object, reason: object) -> None:
        super().__init__(f"{header!r}: {reason}")
        self.header = header


class DatagramTooLargeError(DatagramEncodeError):
    """A datagram exceeds the size limit."""

    def __init__(self, size_bytes: int, max_bytes: int) -> None:
        super().__init__(f"{size_bytes} bytes, {max_bytes} at most")
        self.size_bytes, self.max_bytes = size_bytes, max_bytes
