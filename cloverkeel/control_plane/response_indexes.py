"""Response indexes of a relay process. Pure."""

from __future__ import annotations


class ResponseIndexes:
    """A counter that starts above all indexes of earlier processes at the same address."""

    __slots__ = ("last",)

    def __init__(self, first: int) -> None:
        self.last = first - 1

    def next(self) -> int:
        """Return a new index."""
        self.last += 1
        return self.last
