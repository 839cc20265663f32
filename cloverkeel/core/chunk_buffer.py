"""Collects the bytes of a body in few objects, however small the pieces are in which they arrive. Pure.

Invariant: of two chunks in a row, at least one has MIN_CHUNK_BYTES.
"""

from __future__ import annotations

from typing import Final

MIN_CHUNK_BYTES: Final = 4 * 1024  # smaller pieces are merged with their neighbours
MERGED_CHUNK_BYTES: Final = 32 * 1024  # size up to which pieces are merged
CHUNK_OBJECT_BYTES: Final = 64  # of one object and its place in the list
OVERALLOCATION_DIVISOR: Final = 8  # a bytearray that grows reserves up to this part of its size


class ChunkBuffer:
    """The bytes of one body."""

    __slots__ = ("_chunks", "_merged", "size")

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self._merged: bytearray | None = None  # the last pieces, which are being merged
        self.size = 0  # bytes of the body

    @property
    def held_bytes(self) -> int:
        """Memory that the buffer occupies."""
        merged_bytes = len(self._merged) if self._merged is not None else 0
        return self.size + CHUNK_OBJECT_BYTES * (len(self._chunks) + 1) + merged_bytes // OVERALLOCATION_DIVISOR

    def append(self, piece: bytes) -> None:
        """Add the next bytes."""
        self.size += len(piece)
        if self._merged is not None:
            self._merged += piece
        elif len(piece) >= MIN_CHUNK_BYTES or not self._chunks or len(self._chunks[-1]) >= MIN_CHUNK_BYTES:
            self._chunks.append(piece)
        else:
            self._merged = bytearray(self._chunks.pop())
            self._merged += piece
        if self._merged is not None and len(self._merged) >= MERGED_CHUNK_BYTES:
            self._seal()

    def take_chunks(self) -> list[bytes]:
        """Return the bytes as a list of chunks, and empty the buffer."""
        self._seal()
        chunks, self._chunks = self._chunks, []
        self.size = 0
        return chunks

    def take_bytes(self) -> bytes:
        """Return all bytes in one object, and empty the buffer."""
        return b"".join(self.take_chunks())

    def _seal(self) -> None:
        """End the merging of the last pieces."""
        if self._merged is not None:
            self._chunks.append(bytes(self._merged))
            self._merged = None
