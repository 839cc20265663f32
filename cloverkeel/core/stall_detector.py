"""Detects stalls of this process, and decides when it may send again. Pure: the caller reads the clock.

While a process is paused, swapped out or starved of CPU, a notification that a host drains may arrive. It waits in
the kernel, or in a thread that stalled too. After the stall the process must not send according to its outdated list.

Invariants:
- nothing may be sent during a hold, while the endpoint source catches up;
- a hold begins before the first send after a stall, whether the heartbeat, an event or a write checks first;
- a hold ends when the endpoint source has caught up, or after `max_hold_us`, and only after a check for a further
  stall;
- before a send, all notifications have been read that reached this machine at least `threshold_us` plus one heartbeat
  interval earlier, unless the hold expired.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

HEARTBEAT_INTERVAL_US: Final = 100_000  # maximum time between readings of the clock while the loop runs
# A longer time between readings is a stall. Well below any grace period, whose rest is needed for catching up.
STALL_THRESHOLD_US: Final = 300_000
MAX_HOLD_US: Final = 300_000  # limit of a hold, even if the endpoint source has not caught up


@dataclass(slots=True)
class StallDetector:
    """Detects stalls from readings of a clock that advances during suspends. Times in microseconds."""

    last_check_us: int
    threshold_us: int = STALL_THRESHOLD_US
    max_hold_us: int = MAX_HOLD_US
    is_holding: bool = False  # nothing may be sent
    hold_started_us: int = 0
    stall_us: int = 0  # duration of the stall that began the latest hold
    stall_count: int = 0
    longest_stall_us: int = 0
    expired_holds: int = 0  # holds that ended because of `max_hold_us`
    # Up to this time sending is safe without a check, so each send costs one comparison; -1 during a hold.
    next_check_due_us: int = 0

    def __post_init__(self) -> None:
        self.next_check_due_us = self.last_check_us + self.threshold_us

    def check(self, now_us: int) -> bool:
        """Process a reading of the clock; if it ends a stall, begin or restart a hold and return True."""
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
        """End the hold if the endpoint source has caught up or the hold expired; return True if it ended."""
        if not self.is_holding:
            return False
        if not caught_up and now_us - self.hold_started_us < self.max_hold_us:
            return False
        self.is_holding = False
        self.next_check_due_us = self.last_check_us + self.threshold_us
        if not caught_up:
            self.expired_holds += 1
        return True
