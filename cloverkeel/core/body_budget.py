"""Memory budget shared by all large bodies. No I/O, and not compiled: BodyReservation relies on `__del__`.

Invariant: `used_bytes` is the sum of all reservations that still exist.
"""

from __future__ import annotations

from typing import Final

from cloverkeel.core.memory_account import ChargeOwner, MemoryAccount

BYTES_PER_MIB: Final = 1024 * 1024
BASELINE_MB: Final = 24  # part of the memory limit for the program itself, connections and small bodies
BODY_FRACTION: Final = 0.5  # fraction of the remaining memory; the rest covers buffers and memory that is freed late
MIN_BUDGET_BYTES: Final = 2 * BYTES_PER_MIB


def budget_for_memory(memory_mb: int) -> int:
    """Return the budget for large bodies, in bytes, under a memory limit in MiB."""
    return max(MIN_BUDGET_BYTES, int((memory_mb - BASELINE_MB) * BODY_FRACTION * BYTES_PER_MIB))


class BodyBudget:
    """Limit on the total size of all large bodies in memory, which are charged to the memory account as well."""

    __slots__ = ("account", "limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: int, account: MemoryAccount) -> None:
        self.limit_bytes = limit_bytes
        self.account = account
        self.used_bytes = 0


class BodyReservation:
    """The bytes of the budget that one body uses; released when the last reference to the body is dropped.

    `__del__` releases them, because a body may have several owners (attempts that write it, a request that may be
    retried) that drop it at different times. Without a reference cycle CPython runs `__del__` immediately.
    """

    __slots__ = ("budget", "reserved_bytes")

    def __init__(self, budget: BodyBudget) -> None:
        self.budget = budget
        self.reserved_bytes = 0

    def try_grow(self, size: int) -> bool:
        """Reserve `size` more bytes; return False and reserve nothing if the budget or the account has no room."""
        if self.budget.used_bytes + size > self.budget.limit_bytes:
            return False
        if not self.budget.account.has_room(size):
            return False
        self.budget.used_bytes += size
        self.budget.account.add(ChargeOwner.CLIENTS, size)
        self.reserved_bytes += size
        return True

    def __del__(self) -> None:
        self.budget.used_bytes -= self.reserved_bytes
        self.budget.account.add(ChargeOwner.CLIENTS, -self.reserved_bytes)
