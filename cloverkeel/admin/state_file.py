"""The state file, which all processes of one gateway read and update.

    state.json          updated under the lock: written to a temporary file, then renamed
    lock                lock file, empty

An unreadable state file is logged in one line and treated as missing; a failed write is logged in one line.
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

LOCK_RETRIES: Final = 100  # non-blocking attempts while another process holds the lock
LOCK_RETRY_INTERVAL_S: Final = 0.002  # a holder needs the lock for one write of a few KiB


@dataclass(slots=True, frozen=True)
class FileVersion:
    """Identity of one version of a file."""

    inode: int = 0
    modified_ns: int = 0

    @classmethod
    def of(cls, status: os.stat_result) -> FileVersion:
        """Return the version of a file with this status."""
        return cls(status.st_ino, status.st_mtime_ns)


class StateFile:
    """The state file, its lock, and the version that this process last read or wrote."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.path = folder / "state.json"
        self.lock_fd = -1
        self._last_version = FileVersion()

    def open_lock(self) -> None:
        """Create and open the lock file; raise OSError on failure."""
        self.lock_fd = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)

    def close(self) -> None:
        """Close the lock file."""
        if self.lock_fd >= 0:
            os.close(self.lock_fd)
        self.lock_fd = -1

    def read(self) -> GatewayState | None:
        """Return the stored state, or None if it is missing or unusable."""
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
        log(f"admin: state file unreadable, treated as missing, file={self.path} error={error}")

    def read_if_changed(self) -> GatewayState | None:
        """Return the state if another process has written it since this process last read or wrote it, else None."""
        try:
            version = FileVersion.of(os.stat(self.path))
        except OSError:
            return None
        if version == self._last_version:
            return None
        return self.read()

    def update(self, change: Callable[[GatewayState], GatewayState], fallback: GatewayState) -> GatewayState:
        """Apply `change` to the stored state under the lock; return the new state.

        `fallback`: state to change if none is stored, or if the change cannot be stored.
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
        """Hold the lock; raise OSError if there is no lock file or another process does not release the lock."""
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
