"""A file for each process of one gateway, in a folder that they share: who is alive, and at which stage.

START.PID.begins    held locked by a process while it lives, by its start in ns; the kernel frees the lock at its
START.PID.serves    end, however that comes. The second name once it accepts clients, the third when it was told
START.PID.ends      to end
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

MAX_FILES_READ: Final = 64  # files of processes, the latest first


class ProcessStage(Enum):
    """Name the stage of a process; the values are the endings of its file."""

    STARTING = "begins"
    SERVING = "serves"
    DRAINING = "ends"


@dataclass(slots=True, frozen=True)
class OtherProcesses:
    """Further processes of this gateway that are alive."""

    count: int = 0
    serving_count: int = 0
    has_successor: bool = False  # one that started later and accepts clients


class ProcessFiles:
    """The file of this process, and what the files of the others say."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.fd = -1
        self._path: Path | None = None
        self._key = ""  # START.PID

    def register(self) -> None:
        """Show that this process is alive; raise OSError where that cannot be."""
        self._key = f"{time.time_ns():020d}.{os.getpid()}"
        temporary = self.folder / f"{self._key}.new"
        self.fd = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        fcntl.flock(self.fd, fcntl.LOCK_EX)
        self._path = temporary.rename(self._path_at(ProcessStage.STARTING))  # locked before anyone can find it

    def announce(self, stage: ProcessStage) -> None:
        """Show the others that this process has come to a stage."""
        if self._path is None:
            return
        with contextlib.suppress(OSError):
            self._path = self._path.rename(self._path_at(stage))

    def _path_at(self, stage: ProcessStage) -> Path:
        return self.folder / f"{self._key}.{stage.value}"

    def close(self) -> None:
        """Show that this process is no more."""
        if self._path is not None:
            with contextlib.suppress(OSError):
                self._path.unlink()
            self._path = None
        if self.fd >= 0:
            os.close(self.fd)
        self.fd = -1

    def find_others(self) -> OtherProcesses:
        """Return how many other processes are alive; files of those that have ended are removed."""
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
        """Yield key and stage of each process that has a file, the latest first."""
        try:
            names = sorted(os.listdir(self.folder), reverse=True)[:MAX_FILES_READ]
        except OSError:
            return
        for name in names:
            key, _, ending = name.rpartition(".")
            try:
                stage = ProcessStage(ending)
            except ValueError:
                continue
            yield key, stage


def _is_alive(path: Path) -> bool:
    """Tell whether a process holds its file; the file of one that has ended is removed."""
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
