"""The one clock: Unix time at the start, carried on by the monotonic clock, in whole microseconds."""

from __future__ import annotations

import time

_OFFSET_NS = time.time_ns() - time.monotonic_ns()


def now_us() -> int:
    """Unix time that only moves forward, so that it compares with the starts that discovery tells."""
    return (_OFFSET_NS + time.monotonic_ns()) // 1000
