"""The table of recent request ids as a file in the shared folder, mapped by all processes of one gateway.

    recent-ids          the table of core/recent_ids.py; its lock is an advisory lock on the file

Each process locks it for one look-up, without waiting for longer than LOCK_ATTEMPTS attempts: a process that was
stopped while it held the lock must not stop the others.
"""

from __future__ import annotations

import fcntl
import mmap
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Final

from cloverkeel.core.log import log
from cloverkeel.core.recent_ids import SET_BYTES, RecentIds, TableBusyError

FILE_NAME: Final = "recent-ids"
LOCK_ATTEMPTS: Final = 200  # a look-up takes microseconds


class SharedIdTable:
    """The mapped file of one process."""

    def __init__(self, folder: Path, size: int) -> None:
        """Map the file, which is created with `size` bytes; raise OSError on failure.

        A file of another size comes from a process with other limits and is used as it is.
        """
        self.fd = os.open(folder / FILE_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        present_bytes = os.fstat(self.fd).st_size
        if present_bytes < SET_BYTES or present_bytes % SET_BYTES:
            os.ftruncate(self.fd, size)
            present_bytes = size
        self.mapping = mmap.mmap(self.fd, present_bytes)

    @contextmanager
    def lock(self) -> Iterator[None]:
        """Hold the lock; raise TableBusyError if another process does not release it."""
        for _ in range(LOCK_ATTEMPTS):
            try:
                fcntl.flock(self.fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
            except BlockingIOError:
                os.sched_yield()
        else:
            raise TableBusyError
        try:
            yield
        finally:
            fcntl.flock(self.fd, fcntl.LOCK_UN)


def open_shared_ids(folder: Path, size: int) -> RecentIds | None:
    """Return the shared table; log one line and return None if the file cannot be used."""
    try:
        table = SharedIdTable(folder, size)
    except (OSError, ValueError) as error:
        log(f"admin: ids of requests are not shared with a successor, folder={folder} error={error}")
        return None
    return RecentIds(memoryview(table.mapping), table.lock)
