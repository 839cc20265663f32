"""The common room for large bodies: how many bytes of them are held at once. No I/O, and not compiled: see Share."""

from __future__ import annotations

from typing import Final

BASE_MB: Final = 24  # of the memory limit: the program itself, connections, small bodies
SHARE_OF_REST: Final = 0.5  # the other half is for what is on its way through buffers, and for what is freed late
LEAST: Final = 2 * 1024 * 1024


def size_for(memory_mb: int) -> int:
    """Bytes of room under a limit on memory."""
    return max(LEAST, int((memory_mb - BASE_MB) * SHARE_OF_REST * 1024 * 1024))


class Room:
    """Bytes that may be held, by all together. Invariant: `used` is the sum of the shares that live."""

    __slots__ = ("size", "used")

    def __init__(self, size: int) -> None:
        self.size = size
        self.used = 0


class Share:
    """What one body holds of it; given back when the last who knows the body forgets it.

    By `__del__`, as several may hold one body (attempts that write it, a request that may be repeated), and each lets
    go in its own time: without a cycle, it is freed in that very moment.
    """

    __slots__ = ("held", "room")

    def __init__(self, room: Room) -> None:
        self.room = room
        self.held = 0

    def grow(self, size: int) -> bool:
        """Hold so much more; False, and nothing changes, where there is no room for it."""
        if self.room.used + size > self.room.size:
            return False
        self.room.used += size
        self.held += size
        return True

    def __del__(self) -> None:
        self.room.used -= self.held
