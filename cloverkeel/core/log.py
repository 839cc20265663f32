"""The program's log: lines on standard error."""

from __future__ import annotations

import sys


def log(line: str) -> None:
    """One line of the program's log; nothing is logged for each request."""
    print(f"cloverkeel: {line}", file=sys.stderr, flush=True)
