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

COUNTER_STEP_US: Final = 16_000  # of the wall clock, for each step of the counter: 34 years in 36 bits
REFERENCE_TIME_US: Final = 1_767_225_600_000_000  # 2026-01-01
GATEWAY_BITS: Final = 12
RANDOM_BITS: Final = 12
COUNTER_SHIFT: Final = GATEWAY_BITS + RANDOM_BITS
MAX_COUNTER: Final = (1 << 36) - 1
# One year: clocks are hours off, not years. Guards against one bad clock or one spoilt datagram that uses up all
# counters there are.
MAX_COUNTER_LEAP: Final = 365 * 86_400_000_000 // COUNTER_STEP_US
MAX_GATEWAYS: Final = 1 << GATEWAY_BITS


def counter_of(ballot: int) -> int:
    return ballot >> COUNTER_SHIFT


def gateway_of(ballot: int) -> int:
    """The gateway that made it."""
    return (ballot >> RANDOM_BITS) & (MAX_GATEWAYS - 1)


class BallotClock:
    """One for each process."""

    __slots__ = ("drawn", "highest", "leaps", "number")

    def __init__(self, number: int, drawn: int) -> None:
        self.number = number
        self.drawn = drawn & ((1 << RANDOM_BITS) - 1)
        self.highest = 0
        self.leaps = 0  # heard from too far in the future

    def wall(self, now_us: int) -> int:
        return min(MAX_COUNTER, max(0, (now_us - REFERENCE_TIME_US) // COUNTER_STEP_US))

    def is_leap(self, now_us: int, counter: int) -> bool:
        return counter > max(self.highest, self.wall(now_us)) + MAX_COUNTER_LEAP

    def hear(self, now_us: int, counter: int) -> bool:
        """Take in what another has seen; False, and nothing changes, where it is from too far in the future."""
        if self.is_leap(now_us, counter):
            self.leaps += 1
            return False
        self.highest = max(self.highest, counter)
        return True

    def next(self, now_us: int) -> int:
        """A new ballot."""
        self.highest = min(MAX_COUNTER, max(self.highest + 1, self.wall(now_us)))
        return (self.highest << COUNTER_SHIFT) | (self.number << RANDOM_BITS) | self.drawn


class FencingTokenCheck:
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
