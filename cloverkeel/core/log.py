"""Logging to standard error, which never blocks."""

from __future__ import annotations

import contextlib
import select
import sys
from typing import Final

PREFIX: Final = "cloverkeel: "


def log(line: str) -> None:
    """Write one line to the log, or drop it if it cannot be written without blocking.

    If no process reads the log, its pipe fills up, and a blocking write would stop the program. No line is logged per
    request.
    """
    try_log(line)


def try_log(line: str) -> bool:
    """Write a line; return False and write nothing if the log's reader is too slow or has exited.

    A line of up to PIPE_BUF bytes (4 KiB) is either written completely or not at all.
    """
    with contextlib.suppress(OSError):
        if is_writable():
            print(f"{PREFIX}{line}", file=sys.stderr, flush=True)
            return True
    return False


def is_writable() -> bool:
    """Return whether a line can be written without blocking; always True if standard error is not a file."""
    try:
        fd = sys.stderr.fileno()
    except (OSError, ValueError):
        return True
    poller = select.poll()
    poller.register(fd, select.POLLOUT)
    return any(event == select.POLLOUT for _, event in poller.poll(0))
