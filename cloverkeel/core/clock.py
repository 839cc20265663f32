"""The one clock: Unix time at the start, carried on by a monotonic clock that counts suspends too, in microseconds.

CLOCK_MONOTONIC stands still in some suspends, CLOCK_BOOTTIME does not: a grace that is over must be seen to be.
"""

from __future__ import annotations

import time

_CLOCK = time.CLOCK_BOOTTIME
_read = time.clock_gettime_ns
_OFFSET_NS = time.time_ns() - _read(_CLOCK)


def now_us() -> int:
    """Return Unix time that only moves forward, so that it compares with the start times that discovery reports."""
    return (_OFFSET_NS + _read(_CLOCK)) // 1000
