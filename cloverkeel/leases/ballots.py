"""Ballot numbers that increase monotonically over the whole fleet, without persistent storage. Pure.

A ballot has 60 bits: a counter, the gateway's number, and random bits of its process. Integers of more than 62 bits
leak memory in compiled code. The counter is a Lamport clock (Lamport, "Time, Clocks, and the Ordering of Events",
1978) that also follows the wall clock, so that it increases even if all processes are restarted at once. The ballot
under which a lease was won is its fencing token.

Invariants:
- a new ballot is higher than all ballots that the process has observed or made;
- two processes never make the same ballot, except with probability 1/4,096 if both have the same gateway number and
  make a ballot in the same counter step;
- a counter far in the future is ignored.
"""

from __future__ import annotations

from typing import Final

COUNTER_STEP_US: Final = 16_000  # wall-clock time per counter step; 36 bits last 34 years
REFERENCE_TIME_US: Final = 1_767_225_600_000_000  # 2026-01-01
GATEWAY_BITS: Final = 12
RANDOM_BITS: Final = 12
COUNTER_SHIFT: Final = GATEWAY_BITS + RANDOM_BITS
MAX_COUNTER: Final = (1 << 36) - 1
# One year: wall clocks are off by hours, not years. Without this limit one wrong clock or one corrupted datagram
# could exhaust the counter's range.
MAX_COUNTER_LEAP: Final = 365 * 86_400_000_000 // COUNTER_STEP_US
MAX_GATEWAYS: Final = 1 << GATEWAY_BITS


def counter_of(ballot: int) -> int:
    """Return the counter of a ballot."""
    return ballot >> COUNTER_SHIFT


def gateway_of(ballot: int) -> int:
    """Return the number of the gateway that made a ballot."""
    return (ballot >> RANDOM_BITS) & (MAX_GATEWAYS - 1)


class BallotClock:
    """The Lamport clock of one process, from which its ballots are made."""

    __slots__ = ("gateway", "highest", "random_bits", "rejected_leaps")

    def __init__(self, gateway: int, random_bits: int) -> None:
        self.gateway = gateway
        self.random_bits = random_bits & ((1 << RANDOM_BITS) - 1)
        self.highest = 0
        self.rejected_leaps = 0  # observed counters too far in the future

    def wall_counter(self, now_us: int) -> int:
        """Return the counter that corresponds to the wall clock."""
        return min(MAX_COUNTER, max(0, (now_us - REFERENCE_TIME_US) // COUNTER_STEP_US))

    def is_leap(self, now_us: int, counter: int) -> bool:
        """Return whether a counter is too far in the future to be accepted."""
        return counter > max(self.highest, self.wall_counter(now_us)) + MAX_COUNTER_LEAP

    def observe(self, now_us: int, counter: int) -> bool:
        """Advance the clock to another process's counter; return False and ignore it if too far in the future."""
        if self.is_leap(now_us, counter):
            self.rejected_leaps += 1
            return False
        self.highest = max(self.highest, counter)
        return True

    def next_ballot(self, now_us: int) -> int:
        """Return a new ballot, higher than all observed ones."""
        self.highest = min(MAX_COUNTER, max(self.highest + 1, self.wall_counter(now_us)))
        return (self.highest << COUNTER_SHIFT) | (self.gateway << RANDOM_BITS) | self.random_bits
