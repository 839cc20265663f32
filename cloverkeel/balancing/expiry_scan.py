"""The expiry scan: a second line of defence against attempts that nobody ends.

Guards against a server that counts as silent for ever, and a request that waits for its response for ever. When it
acts, whoever carries out attempts has lost one.
"""

from __future__ import annotations

from typing import Final

from cloverkeel.balancing.action_buffer import ActionBuffer
from cloverkeel.balancing.actions import SetTimer
from cloverkeel.balancing.attempts import Attempt, Request
from cloverkeel.balancing.request_timers import EXPIRY_TOKEN

SCAN_INTERVAL_US: Final = 1_000_000  # while any attempt is in flight
EXPIRED_AFTER_US: Final = 2_000_000  # past its time an attempt is held to be lost: a defect somewhere


class ExpiryScan:
    """Hold when the next scan is due."""

    def __init__(self, buffer: ActionBuffer) -> None:
        self.buffer = buffer
        self.due_at_us = 0  # 0: no timer is set

    def schedule(self, now_us: int) -> None:
        """Set the timer of the next scan."""
        self.due_at_us = now_us + SCAN_INTERVAL_US
        self.buffer.actions.append(SetTimer(self.due_at_us, EXPIRY_TOKEN))

    def begin(self, now_us: int) -> bool:
        """Begin the scan that was due; tell whether it may judge.

        A late one judges nothing: whoever carries out attempts stood still too, and may be about to end them.
        """
        is_late = now_us - self.due_at_us > SCAN_INTERVAL_US
        self.due_at_us = 0
        return not is_late

    def expired_attempts(self, now_us: int, request: Request) -> list[Attempt]:
        """Return the attempts of a request whose time is long over and that nobody ended."""
        if request.is_streaming:
            return []
        return [a for a in request.attempts if not a.has_ended and now_us > a.end_us + EXPIRED_AFTER_US]
