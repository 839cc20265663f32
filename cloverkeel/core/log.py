"""The program's log: lines on standard error."""

from __future__ import annotations

import contextlib
import select
import sys


def log(line: str) -> None:
    """One line of the program's log; nothing is logged for each request. Lost where the log has no reader left."""
    with contextlib.suppress(OSError):
        print(f"cloverkeel: {line}", file=sys.stderr, flush=True)


def log_if_read(line: str) -> bool:
    """A line that can wait: not written, and False, where whoever reads the log is behind or gone.

    Guards against a log that nobody reads: the pipe fills, and the next line stops the program.
    A line of up to PIPE_BUF bytes (4 KiB) is written whole where there is room.
    """
    try:
        room = select.poll()
        room.register(sys.stderr.fileno(), select.POLLOUT)
        if not any(event == select.POLLOUT for _, event in room.poll(0)):
            return False
        log(line)
    except (OSError, ValueError):
        return False
    return True
