"""Errors raised by the leases package."""

from __future__ import annotations


class LeaseMessageError(ValueError):
    """A message that cannot be encoded."""


class PayloadTooLargeError(LeaseMessageError):
    """A payload that exceeds the limit of one datagram."""

    def __init__(self, size_bytes: int, max_bytes: int) -> None:
        super().__init__(f"a payload of {size_bytes} bytes, {max_bytes} at most")
        self.size_bytes = size_bytes
        self.max_bytes = max_bytes


class FieldRangeError(LeaseMessageError):
    """A field value outside the range of its encoding."""

    def __init__(self, message: object, cause: Exception) -> None:
        super().__init__(f"{message!r}: {cause}")
        self.message = message
