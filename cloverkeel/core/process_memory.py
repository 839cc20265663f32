"""Resident memory of this process, from the kernel."""

from __future__ import annotations

import os
from typing import Final

STATM_RESIDENT_FIELD: Final = 1  # of /proc/self/statm, in pages


def resident_bytes() -> int:
    """Return the resident memory of this process; 0 if it cannot be read."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            pages = int(file.read().split()[STATM_RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")
