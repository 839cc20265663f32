"""The program's log: lines on standard error."""

from __future__ import annotations

import contextlib
import select
import sys
from typing import Final

PREFIX: Final = "cloverkeel: "


def log(line: str) -> None:
    """Write one line of the program's log, or lose it where nobody reads the log any more.

    Guards against a log that nobody reads: the pipe fills, and the next line would stop the program. Nothing is
    logged for each request.
    """
    log_if_read(line)


def log_if_read(line: str) -> bool:
    """Write a line that can wait; return False, with nothing written, where whoever reads the log is behind or gone.

    A line of up to PIPE_BUF bytes (4 KiB) is written whole where it can be written at all.
    """
    with contextlib.suppress(OSError):
        if is_writable():
            print(f"{PREFIX}{line}", file=sys.stderr, flush=True)
            return True
    return False


def is_writable() -> bool:
    """Tell whether a line can be written without waiting; what is no file takes any."""
    try:
        fd = sys.stderr.fileno()
    except (OSError, ValueError):
        return True
    poller = select.poll()
    poller.register(fd, select.POLLOUT)
    return any(event == select.POLLOUT for _, event in poller.poll(0))
