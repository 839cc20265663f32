"""The program's only clock: Unix time at startup plus CLOCK_BOOTTIME since then, in microseconds.

CLOCK_MONOTONIC does not advance while the system is suspended, CLOCK_BOOTTIME does: a grace period that expired
during a suspend must count as expired.
"""

from __future__ import annotations

import time

_CLOCK = time.CLOCK_BOOTTIME
_read = time.clock_gettime_ns
_OFFSET_NS = time.time_ns() - _read(_CLOCK)


def now_us() -> int:
    """Return monotonic Unix time, which can be compared with the start times that discovery reports."""
    return (_OFFSET_NS + _read(_CLOCK)) // 1000


def boottime_ms() -> int:
    """Return the milliseconds since the machine started, which are equal in all of its processes."""
    return _read(_CLOCK) // 1_000_000
