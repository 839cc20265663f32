"""The common memory budget of large bodies. No I/O, and not compiled: BodyReservation relies on `__del__`.

Invariant: `used_bytes` is the sum of the reservations that live.
"""

from __future__ import annotations

from typing import Final

BYTES_A_MB: Final = 1024 * 1024
BASELINE_MB: Final = 24  # of the memory limit: the program itself, connections, small bodies
BODY_FRACTION: Final = 0.5  # of the rest; the other half is for buffers, and for what is freed late
MIN_BUDGET_BYTES: Final = 2 * BYTES_A_MB


def budget_for_memory(memory_mb: int) -> int:
    """Return the bytes of large bodies under a limit on memory."""
    return max(MIN_BUDGET_BYTES, int((memory_mb - BASELINE_MB) * BODY_FRACTION * BYTES_A_MB))


class BodyBudget:
    """Bytes that all large bodies may hold together."""

    __slots__ = ("limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0


class BodyReservation:
    """What one body holds of the budget; released when the last who knows the body forgets it.

    By `__del__`, as several may hold one body (attempts that write it, a request that may be retried), and each lets
    go in its own time: without a cycle, it is freed in that very moment.
    """

    __slots__ = ("budget", "reserved_bytes")

    def __init__(self, budget: BodyBudget) -> None:
        self.budget = budget
        self.reserved_bytes = 0

    def try_grow(self, size: int) -> bool:
        """Reserve so many bytes more; False, and nothing changes, where the budget does not have them."""
        if self.budget.used_bytes + size > self.budget.limit_bytes:
            return False
        self.budget.used_bytes += size
        self.reserved_bytes += size
        return True

    def __del__(self) -> None:
        self.budget.used_bytes -= self.reserved_bytes
