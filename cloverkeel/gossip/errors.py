"""Errors of the datagram codec."""

from __future__ import annotations


class DatagramEncodeError(ValueError):
    """Report a datagram that can not be encoded."""


class FieldOutOfRangeError(DatagramEncodeError):
    """Report a number that does not fit its field; `reason` names the range, the text shows the header, too."""

    def __init__(self, header: object, reason: object) -> None:
        super().__init__(f"{header!r}: {reason}")
        self.header = header


class DatagramTooLargeError(DatagramEncodeError):
    """Report a datagram that is longer than the limit."""

    def __init__(self, size_bytes: int, max_bytes: int) -> None:
        super().__init__(f"{size_bytes} bytes, {max_bytes} at most")
        self.size_bytes, self.max_bytes = size_bytes, max_bytes
