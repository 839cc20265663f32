"""Whether this process stalled, and when it may send again. Pure: readings of the clock come from outside.

A process that was paused, swapped out or starved may be notified meanwhile that a host drains; the notification waits
in the kernel, or with a thread that stalled too. Its first act on waking must not be to send by its old list.

Invariants:
- nothing may be sent during a hold, while the endpoint source catches up;
- a hold begins before the first send after a stall, whoever checks first: the heartbeat, an event, or a write;
- it ends when the endpoint source has read what was due, or after `max_hold_us`, and not before a further stall was
  checked for;
- what came to this machine `threshold_us` and a heartbeat before a send has been read by then, unless the hold
  expired.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

HEARTBEAT_INTERVAL_US: Final = 100_000  # between two readings of the clock, at the most, while the loop turns
STALL_THRESHOLD_US: Final = 300_000  # more between readings is a stall. Well under any grace: the rest is for reading
MAX_HOLD_US: Final = 300_000  # nothing is sent for longer than this, whether or not the endpoint source has answered


@dataclass(slots=True)
class StallDetector:
    """Detects stalls from readings of a clock that also counts suspends. Times in microseconds."""

    last_check_us: int
    threshold_us: int = STALL_THRESHOLD_US
    max_hold_us: int = MAX_HOLD_US
    is_holding: bool = False  # nothing may be sent
    hold_started_us: int = 0
    stall_us: int = 0  # the length of the stall that began the hold
    stall_count: int = 0
    longest_stall_us: int = 0
    expired_holds: int = 0  # holds that ended by their time
    next_check_due_us: int = 0  # up to then nothing is amiss: what is asked for each send is this one comparison

    def __post_init__(self) -> None:
        self.next_check_due_us = self.last_check_us + self.threshold_us

    def check(self, now_us: int) -> bool:
        """Take a reading; True if a stall ended with it, and a hold begins, or begins anew."""
        elapsed_us = now_us - self.last_check_us
        self.last_check_us = max(now_us, self.last_check_us)
        if elapsed_us <= self.threshold_us:
            if not self.is_holding:
                self.next_check_due_us = self.last_check_us + self.threshold_us
            return False
        self.is_holding = True
        self.next_check_due_us = -1
        self.hold_started_us = now_us
        self.stall_us = elapsed_us
        self.stall_count += 1
        self.longest_stall_us = max(self.longest_stall_us, elapsed_us)
        return True

    def end_hold(self, now_us: int, caught_up: bool) -> bool:
        """End the hold if the endpoint source has caught up, or its time is over; True if it ended."""
        if not self.is_holding:
            return False
        if not caught_up and now_us - self.hold_started_us < self.max_hold_us:
            return False
        self.is_holding = False
        self.next_check_due_us = self.last_check_us + self.threshold_us
        if not caught_up:
            self.expired_holds += 1
        return True
