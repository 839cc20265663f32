"""The one clock of all parties of a run."""

from __future__ import annotations

import time

_OFFSET_NS = time.time_ns() - time.monotonic_ns()


def now_us() -> int:
    """Return the Unix time in microseconds; it never moves backward."""
    return (_OFFSET_NS + time.monotonic_ns()) // 1000
