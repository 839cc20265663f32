"""The state file and the signs of life, in a folder that the processes of one gateway share.

    state.json          what outlives a process; changed under `lock`, written whole and renamed
    lock
    START.PID.begins    held locked by a process while it lives, by the start in ns; the kernel frees it at its end,
    START.PID.serves    however that comes. The second name once it takes clients, the third when it was told to end
    START.PID.ends

What cannot be read is one line on the log and the state of a fresh start; what cannot be written is one line too.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from cloverkeel.core.log import log
from cloverkeel.admin.state import TEXT_LIMIT, State, StateError, parse, render

LOCK_TRIES: Final = 100  # for the other process to be done with the file, 2 ms each
LIVES_KEPT: Final = 64  # files of processes that are looked at


@dataclass(slots=True, frozen=True)
class Others:
    """Further processes of this gateway that live."""

    count: int = 0
    serving: int = 0  # of them, those that take clients
    successor: bool = False  # one that began later and takes clients


class SharedFiles:
    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.path = folder / "state.json"
        self.life: Path | None = None
        self.life_fd = -1
        self.lock_fd = -1
        self.start = ""
        self.seen: tuple[int, int] = (0, 0)  # of the state file: its inode and time of change

    def open(self) -> State:
        """Show that this process lives; returns what the one before it has left."""
        try:
            self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            if self.folder.stat().st_uid != os.geteuid():
                raise PermissionError(1, "belongs to another user")
            self.lock_fd = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            self.start = f"{time.time_ns():020d}.{os.getpid()}"
            made = self.folder / f"{self.start}.new"
            self.life_fd = os.open(made, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
            fcntl.flock(self.life_fd, fcntl.LOCK_EX)
            self.life = made.rename(self.folder / f"{self.start}.begins")  # locked before anyone can find it
        except OSError as error:
            log(f"{self.folder}: {error.strerror}: bans and pauses are not kept for a successor")
            return State()
        return self.read() or State()

    def serves(self) -> None:
        """This process takes clients now."""
        if self.life is not None:
            with contextlib.suppress(OSError):
                self.life = self.life.rename(self.folder / f"{self.start}.serves")

    def ends(self) -> None:
        """This process takes no new clients any more."""
        if self.life is not None:
            with contextlib.suppress(OSError):
                self.life = self.life.rename(self.folder / f"{self.start}.ends")

    def close(self) -> None:
        if self.life is not None:
            with contextlib.suppress(OSError):
                self.life.unlink()
            self.life = None
        for fd in (self.life_fd, self.lock_fd):
            if fd >= 0:
                os.close(fd)
        self.life_fd = self.lock_fd = -1

    # The state

    def read(self) -> State | None:
        try:
            with self.path.open(encoding="utf-8") as file:
                found = os.fstat(file.fileno())
                text = file.read(TEXT_LIMIT + 1)
            self.seen = (found.st_ino, found.st_mtime_ns)
            return parse(text)
        except FileNotFoundError:
            return None
        except (OSError, UnicodeDecodeError, StateError) as error:
            log(f"{self.path}: {error}: as if nothing had been left")
            return None

    def changed(self) -> State | None:
        """The state, where another process has written it since it was read or written here."""
        try:
            found = os.stat(self.path)
        except OSError:
            return None
        if (found.st_ino, found.st_mtime_ns) == self.seen:
            return None
        return self.read()

    def change(self, how: Callable[[State], State], otherwise: State) -> State:
        """Change what is there, alone with it; where it cannot be kept, what follows from `otherwise`."""
        try:
            with self.locked():
                state = how(self.read() or otherwise)
                self.write(state)
                return state
        except OSError as error:
            log(f"{self.path}: {error.strerror}: not kept for a successor")
            return how(otherwise)

    def write(self, state: State) -> None:
        fresh = self.folder / "state.json.new"
        with fresh.open("w", encoding="utf-8") as file:
            file.write(render(state))
            file.flush()
            found = os.fstat(file.fileno())
        fresh.rename(self.path)
        self.seen = (found.st_ino, os.stat(self.path).st_mtime_ns)

    @contextlib.contextmanager
    def locked(self) -> Iterator[None]:
        if self.lock_fd < 0:
            raise OSError(2, "no lock")
        for tries in range(LOCK_TRIES + 1):
            try:
                fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
            except BlockingIOError:
                if tries == LOCK_TRIES:
                    raise
                time.sleep(0.002)  # held for one write of a few KiB
        try:
            yield
        finally:
            fcntl.flock(self.lock_fd, fcntl.LOCK_UN)

    # Who lives

    def others(self) -> Others:
        count, serving, successor = 0, 0, False
        try:
            names = sorted(os.listdir(self.folder), reverse=True)[:LIVES_KEPT]
        except OSError:
            return Others()
        for name in names:
            start, _, stage = name.rpartition(".")
            if stage not in ("begins", "serves", "ends") or start == self.start:
                continue
            if self.is_alive(self.folder / name):
                count += 1
                serving += stage == "serves"
                successor = successor or (stage == "serves" and start > self.start)
        return Others(count, serving, successor)

    def is_alive(self, life: Path) -> bool:
        """Whether its process holds it; the file of one that has ended is taken away."""
        try:
            fd = os.open(life, os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            life.unlink(missing_ok=True)
            return False
        except BlockingIOError:
            return True
        except OSError:
            return False
        finally:
            os.close(fd)
