"""Process files in the shared folder of one gateway: which processes are running, and at which stage.

Each process keeps one file, renamed at each stage:

    START.PID.begins    starting
    START.PID.serves    accepts clients
    START.PID.ends      was told to terminate, draining

START is the start time in ns of Unix time. A process holds a lock on its file while it runs; the kernel releases the
lock when the process ends, also after a crash or SIGKILL.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import time
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Final

MAX_FILES_READ: Final = 64  # files of the processes that started last


class ProcessStage(Enum):
    """Stages of a process; the values are the suffixes of its file name."""

    STARTING = "begins"
    SERVING = "serves"
    DRAINING = "ends"


@dataclass(slots=True, frozen=True)
class OtherProcesses:
    """Summary of the other running processes of this gateway."""

    count: int = 0
    serving_count: int = 0
    has_successor: bool = False  # a process that started later accepts clients


class ProcessFiles:
    """Registry of running processes: writes the file of this process and reads those of others."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.fd = -1
        self._path: Path | None = None
        self._key = ""  # START.PID, "" until registered; keys sort by start time

    def register(self) -> None:
        """Create and lock the file of this process; raise OSError on failure."""
        self._key = f"{time.time_ns():020d}.{os.getpid()}"
        temporary = self.folder / f"{self._key}.new"
        self.fd = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        fcntl.flock(self.fd, fcntl.LOCK_EX)
        self._path = temporary.rename(self._path_at(ProcessStage.STARTING))  # visible to others only once locked

    def announce(self, stage: ProcessStage) -> None:
        """Rename the file of this process to announce its stage. Errors are ignored."""
        if self._path is None:
            return
        with contextlib.suppress(OSError):
            self._path = self._path.rename(self._path_at(stage))

    def _path_at(self, stage: ProcessStage) -> Path:
        return self.folder / f"{self._key}.{stage.value}"

    def close(self) -> None:
        """Remove the file of this process and release its lock."""
        if self._path is not None:
            with contextlib.suppress(OSError):
                self._path.unlink()
            self._path = None
        if self.fd >= 0:
            os.close(self.fd)
        self.fd = -1

    def find_others(self) -> OtherProcesses:
        """Return a summary of the other running processes; remove the files of processes that have ended."""
        count = 0
        serving_count = 0
        has_successor = False
        for key, stage in self._read_names():
            if key == self._key or not _is_alive(self.folder / f"{key}.{stage.value}"):
                continue
            count += 1
            if stage is ProcessStage.SERVING:
                serving_count += 1
                has_successor = has_successor or key > self._key
        return OtherProcesses(count, serving_count, has_successor)

    def _read_names(self) -> Iterator[tuple[str, ProcessStage]]:
        """Yield key and stage of each process file, the latest started first."""
        try:
            names = sorted(os.listdir(self.folder), reverse=True)[:MAX_FILES_READ]
        except OSError:
            return
        for name in names:
            key, _, suffix = name.rpartition(".")
            try:
                stage = ProcessStage(suffix)
            except ValueError:
                continue
            yield key, stage


def _is_alive(path: Path) -> bool:
    """Return whether a running process holds the lock of this file; remove the file if none does."""
    try:
        fd = os.open(path, os.O_RDWR | os.O_CLOEXEC)
    except OSError:
        return False
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        path.unlink(missing_ok=True)
    except BlockingIOError:
        return True
    except OSError:
        return False
    else:
        return False
    finally:
        os.close(fd)
