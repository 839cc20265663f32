"""The indexes of a relay process's responses. Pure."""

from __future__ import annotations


class ResponseIndexes:
    """Counts up from an index greater than any of an earlier process at the same address."""

    __slots__ = ("last",)

    def __init__(self, first: int) -> None:
        self.last = first - 1

    def next(self) -> int:
        """Return the index of one more response."""
        self.last += 1
        return self.last
