"""Whether this process stood still, and when it may send again. Pure: readings of the clock come from outside.

A process that was paused, swapped out or starved may be told meanwhile that a host drains; the word waits in the
kernel, or with a thread that stood still too. Its first act on waking must not be to send by its old list.

Invariants:
- nothing may be sent while it catches up;
- it begins to catch up before the first send after a gap, whoever looks first: the beat, an event, or a write;
- it ends when membership has read what was due, or after `hold_us`, and not before a further gap was looked for;
- what came to this machine `gap_us` and a beat before a send has been read by then, unless the hold ran out.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

BEAT_US: Final = 100_000  # between two looks at the clock, at the most, while the loop turns
GAP_US: Final = 300_000  # between looks: more, and it stood still. Well under any grace: the rest is for the reading
HOLD_US: Final = 300_000  # nothing is sent for longer than this, whether or not membership has answered


@dataclass(slots=True)
class Stillness:
    """Feed it readings of a clock that also counts suspends. Times in microseconds."""

    seen_us: int
    gap_us: int = GAP_US
    hold_us: int = HOLD_US
    holds: bool = False  # nothing may be sent
    since_us: int = 0  # when the present hold began
    stall_us: int = 0  # the gap that began it
    gaps: int = 0
    longest_us: int = 0
    ran_out: int = 0  # holds that ended by their time
    due_us: int = 0  # up to then nothing is amiss: what is asked for each send is this one comparison

    def __post_init__(self) -> None:
        self.due_us = self.seen_us + self.gap_us

    def look(self, now_us: int) -> bool:
        """Take a reading; True if a gap ended with it, and a hold begins, or begins anew."""
        gap_us, self.seen_us = now_us - self.seen_us, max(now_us, self.seen_us)
        if gap_us <= self.gap_us:
            if not self.holds:
                self.due_us = self.seen_us + self.gap_us
            return False
        self.holds, self.due_us = True, -1
        self.since_us, self.stall_us = now_us, gap_us
        self.gaps += 1
        self.longest_us = max(self.longest_us, gap_us)
        return True

    def end(self, now_us: int, caught_up: bool) -> bool:
        """EndpointSource has caught up, or the hold's time may be over; True if what waited may go on now."""
        if not self.holds or not (caught_up or now_us - self.since_us >= self.hold_us):
            return False
        self.holds, self.due_us = False, self.seen_us + self.gap_us
        self.ran_out += not caught_up
        return True
