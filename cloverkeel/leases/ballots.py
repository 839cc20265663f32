"""Ballots and epochs: numbers that only grow over the whole fleet, without a disk. Pure.

A ballot is 60 bits: a counter, the gateway's number, and what was drawn at its start. Compiled code leaks integers
beyond 62 bits. The counter is a Lamport clock that also follows the wall clock, so that it grows when everybody
began anew.

Invariants:
- a ballot that is made is above all that were heard and made before;
- two processes never make the same one, but by chance of 1 in 4,096 where they pass for one gateway, in one step;
- what is heard from far in the future changes nothing.
"""

from __future__ import annotations

from typing import Final

STEP_US: Final = 16_000  # of the wall clock, for each step of the counter: 34 years in 36 bits
BEGIN_US: Final = 1_767_225_600_000_000  # 2026-01-01
NUMBER_BITS: Final = 12
DRAWN_BITS: Final = 12
SHIFT: Final = NUMBER_BITS + DRAWN_BITS
COUNTER_MOST: Final = (1 << 36) - 1
# One year: clocks are hours off, not years. Guards against one bad clock or one spoilt datagram that uses up all
# counters there are.
LEAP: Final = 365 * 86_400_000_000 // STEP_US
NUMBERS: Final = 1 << NUMBER_BITS


def counter_of(ballot: int) -> int:
    return ballot >> SHIFT


def number_of(ballot: int) -> int:
    """The gateway that made it."""
    return (ballot >> DRAWN_BITS) & (NUMBERS - 1)


class Counter:
    """One for each process."""

    __slots__ = ("drawn", "highest", "leaps", "number")

    def __init__(self, number: int, drawn: int) -> None:
        self.number = number
        self.drawn = drawn & ((1 << DRAWN_BITS) - 1)
        self.highest = 0
        self.leaps = 0  # heard from too far in the future

    def wall(self, now_us: int) -> int:
        return min(COUNTER_MOST, max(0, (now_us - BEGIN_US) // STEP_US))

    def is_leap(self, now_us: int, counter: int) -> bool:
        return counter > max(self.highest, self.wall(now_us)) + LEAP

    def hear(self, now_us: int, counter: int) -> bool:
        """Take in what another has seen; False, and nothing changes, where it is from too far in the future."""
        if self.is_leap(now_us, counter):
            self.leaps += 1
            return False
        self.highest = max(self.highest, counter)
        return True

    def next(self, now_us: int) -> int:
        """A new ballot."""
        self.highest = min(COUNTER_MOST, max(self.highest + 1, self.wall(now_us)))
        return (self.highest << SHIFT) | (self.number << DRAWN_BITS) | self.drawn


class Fence:
    """The highest epoch that was seen of each duty: what carries an older one is refused.

    Bounded: beyond `most` duties the one that was heard of longest ago is forgotten, which only a duty that nobody
    acts on can be.
    """

    __slots__ = ("most", "refused", "seen")

    def __init__(self, most: int = 1024) -> None:
        self.most = most
        self.seen: dict[int, tuple[int, int]] = {}  # epoch and holder by duty, the one heard of longest ago first
        self.refused = 0

    def admit(self, duty: int, epoch: int, holder: int) -> bool:
        """Whether an act of this holder's with this epoch counts; it is the highest seen from now on.

        One epoch is one holder's: a service that came back from an older state gives an epoch twice.
        """
        before = self.seen.pop(duty, (0, holder))
        counts = epoch > before[0] or (epoch, holder) == before
        self.seen[duty] = (epoch, holder) if counts else before
        if len(self.seen) > self.most:
            del self.seen[next(iter(self.seen))]
        self.refused += not counts
        return counts

    def epoch(self, duty: int) -> int:
        return self.seen.get(duty, (0, 0))[0]
