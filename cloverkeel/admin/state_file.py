"""The state file, which the processes of one gateway read and change together.

    state.json          changed under the lock, written as a whole and renamed
    lock

What cannot be read is one line on the log and the state of a fresh start; what cannot be written is one line too.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from cloverkeel.admin.errors import StateError
from cloverkeel.admin.state import MAX_STATE_CHARACTERS, GatewayState, decode_state, encode_state
from cloverkeel.core.log import log

LOCK_RETRIES: Final = 100  # while another process changes the file
LOCK_RETRY_INTERVAL_S: Final = 0.002  # the lock is held for one write of a few KiB


@dataclass(slots=True, frozen=True)
class FileVersion:
    """What tells one version of a file from another."""

    inode: int = 0
    modified_ns: int = 0

    @classmethod
    def of(cls, status: os.stat_result) -> FileVersion:
        """Return the version that a file's status shows."""
        return cls(status.st_ino, status.st_mtime_ns)


class StateFile:
    """The file, its lock, and the version of it that this process has read or written last."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.path = folder / "state.json"
        self.lock_fd = -1
        self._last_version = FileVersion()

    def open_lock(self) -> None:
        """Make the file of the lock; raise OSError where that cannot be."""
        self.lock_fd = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)

    def close(self) -> None:
        """Release the file of the lock."""
        if self.lock_fd >= 0:
            os.close(self.lock_fd)
        self.lock_fd = -1

    def read(self) -> GatewayState | None:
        """Return the state; None where there is none that can be used."""
        try:
            with self.path.open(encoding="utf-8") as file:
                version = FileVersion.of(os.fstat(file.fileno()))
                text = file.read(MAX_STATE_CHARACTERS + 1)
            self._last_version = version
            return decode_state(text)
        except FileNotFoundError:
            return None
        except StateError as error:
            error.file = str(self.path)
            self._log_unreadable(error)
        except (OSError, UnicodeDecodeError) as error:
            self._log_unreadable(error)
        return None

    def _log_unreadable(self, error: Exception) -> None:
        log(f"admin: state unreadable, as if there were none, file={self.path} error={error}")

    def read_if_changed(self) -> GatewayState | None:
        """Return the state where another process has written it since it was read or written here."""
        try:
            version = FileVersion.of(os.stat(self.path))
        except OSError:
            return None
        if version == self._last_version:
            return None
        return self.read()

    def update(self, change: Callable[[GatewayState], GatewayState], fallback: GatewayState) -> GatewayState:
        """Change the state that is there, under the lock; return what it is now.

        `fallback`: the state that is changed where there is none, or where the change cannot be kept.
        """
        try:
            with self._locked():
                state = change(self.read() or fallback)
                self._write(state)
                return state
        except OSError as error:
            log(f"admin: state not kept for a successor, file={self.path} error={error.strerror}")
            return change(fallback)

    def _write(self, state: GatewayState) -> None:
        temporary = self.folder / "state.json.new"
        with temporary.open("w", encoding="utf-8") as file:
            file.write(encode_state(state))
            file.flush()
            inode = os.fstat(file.fileno()).st_ino
        temporary.rename(self.path)
        self._last_version = FileVersion(inode, os.stat(self.path).st_mtime_ns)

    @contextlib.contextmanager
    def _locked(self) -> Iterator[None]:
        """Hold the lock; raise OSError where there is none, or another process does not release it."""
        if self.lock_fd < 0:
            raise OSError(errno.ENOENT, "no lock")
        self._acquire_lock()
        try:
            yield
        finally:
            fcntl.flock(self.lock_fd, fcntl.LOCK_UN)

    def _acquire_lock(self) -> None:
        for _ in range(LOCK_RETRIES):
            try:
                fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                time.sleep(LOCK_RETRY_INTERVAL_S)
            else:
                return
        fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
