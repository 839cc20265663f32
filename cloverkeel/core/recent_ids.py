"""Ids of requests that may have run, so that an id that comes again does not run twice. Reads no clock, does no I/O.

The table is a fixed number of slots in a buffer, which two processes of one gateway may share. A slot is the hash of
an id and the time until which it is kept. Slots form small sets: an id may be in any slot of the set that its hash
selects.

Invariants:
- a claimed id is rejected until it is released, its time is over, or its set is full and MIN_KEPT_MS have passed;
- the memory of the table does not depend on the number of ids.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from enum import Enum
from typing import Final

KEPT_MS: Final = 60_000  # far beyond any client timeout
MIN_KEPT_MS: Final = 4_000  # beyond the longest client timeout: an id is not displaced by others sooner
SLOTS_PER_SET: Final = 16
WORDS_PER_SLOT: Final = 2  # hash, end in ms
BYTES_PER_WORD: Final = 8
SET_BYTES: Final = SLOTS_PER_SET * WORDS_PER_SLOT * BYTES_PER_WORD
MIN_TABLE_BYTES: Final = 512 * 1024
MAX_TABLE_BYTES: Final = 2 * 1024 * 1024
TABLES_PER_ACCOUNT: Final = 32  # part of the memory account that the table may use


class ClaimResult(Enum):
    """What became of a claim."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"  # the id may have run
    FULL = "full"  # no slot is free: the request must be refused


class TableBusyError(Exception):
    """Another process uses the table now."""


def table_bytes(account_limit_bytes: int) -> int:
    """Return the size of a table under a memory account: a power of two."""
    size = MIN_TABLE_BYTES
    while size < MAX_TABLE_BYTES and size * 2 <= account_limit_bytes // TABLES_PER_ACCOUNT:
        size *= 2
    return size


def new_table(account_limit_bytes: int) -> RecentIds:
    """Return a table of this process alone, under a memory account."""
    return RecentIds(memoryview(bytearray(table_bytes(account_limit_bytes))))


class RecentIds:
    """Claims and releases ids.

    `buffer` is zeroed at first. `lock` excludes other processes, or raises TableBusyError.
    """

    def __init__(self, buffer: memoryview, lock: Callable[[], AbstractContextManager[None]] = nullcontext) -> None:
        self.words = buffer.cast("Q")
        self.set_count = len(buffer) // SET_BYTES
        self.lock = lock

    def claim(self, id_: str, now_ms: int) -> ClaimResult:
        """Claim an id for a request that is about to be sent."""
        digest = _digest(id_)
        try:
            with self.lock():
                return self._claim(digest, now_ms)
        except TableBusyError:
            return ClaimResult.FULL

    def release(self, id_: str) -> None:
        """Release an id whose request was never sent."""
        digest = _digest(id_)
        try:
            with self.lock():
                for position in self._positions(digest):
                    if self.words[position] == digest:
                        self.words[position] = 0
        except TableBusyError:
            return  # it is rejected until its time is over

    def _claim(self, digest: int, now_ms: int) -> ClaimResult:
        words = self.words
        free_position = -1
        oldest_position = -1
        for position in self._positions(digest):
            ends_ms = words[position + 1]
            if words[position] == 0 or ends_ms <= now_ms:
                free_position = position
            elif words[position] == digest:
                return ClaimResult.REPEATED
            elif oldest_position < 0 or ends_ms < words[oldest_position + 1]:
                oldest_position = position
        if free_position < 0:
            if words[oldest_position + 1] - now_ms > KEPT_MS - MIN_KEPT_MS:
                return ClaimResult.FULL
            free_position = oldest_position
        words[free_position] = digest
        words[free_position + 1] = now_ms + KEPT_MS
        return ClaimResult.ACCEPTED

    def _positions(self, digest: int) -> range:
        """Return the positions of the slots of the set that a hash selects."""
        words_per_set = SLOTS_PER_SET * WORDS_PER_SLOT
        begin = digest % self.set_count * words_per_set
        return range(begin, begin + words_per_set, WORDS_PER_SLOT)


def _digest(id_: str) -> int:
    """Return a hash of an id that no process draws anew; never 0, which marks a free slot."""
    data = hashlib.blake2b(id_.encode("utf-8", "surrogateescape"), digest_size=BYTES_PER_WORD).digest()
    return int.from_bytes(data) or 1
