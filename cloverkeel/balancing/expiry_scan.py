"""Expiry scan: finds attempts for which `AttemptEnded` never arrived.

Without it, the server of such an attempt would count as silent for ever, and its request would never be answered. An
expired attempt is a defect in the caller, which lost track of it.
"""

from __future__ import annotations

from typing import Final

from cloverkeel.balancing.action_buffer import ActionBuffer
from cloverkeel.balancing.actions import SetTimer
from cloverkeel.balancing.attempts import Attempt, Request
from cloverkeel.balancing.request_timers import EXPIRY_TOKEN

SCAN_INTERVAL_US: Final = 1_000_000  # scans are scheduled only while an attempt is in flight
EXPIRED_AFTER_US: Final = 2_000_000  # after an attempt's timeout; without an outcome by then it counts as lost


class ExpiryScan:
    """Schedule expiry scans and find the attempts that have expired."""

    def __init__(self, buffer: ActionBuffer) -> None:
        self.buffer = buffer
        self.due_at_us = 0  # 0 if no timer is set

    def schedule(self, now_us: int) -> None:
        """Set the timer of the next scan."""
        self.due_at_us = now_us + SCAN_INTERVAL_US
        self.buffer.actions.append(SetTimer(self.due_at_us, EXPIRY_TOKEN))

    def begin(self, now_us: int) -> bool:
        """Begin the scan that was due; return whether it may expire attempts.

        A scan that is late by more than the interval must not: the process has stalled, and the caller may be about
        to report the ends of attempts.
        """
        is_late = now_us - self.due_at_us > SCAN_INTERVAL_US
        self.due_at_us = 0
        return not is_late

    def expired_attempts(self, now_us: int, request: Request) -> list[Attempt]:
        """Return a request's attempts that have not ended `EXPIRED_AFTER_US` after their timeout."""
        if request.is_streaming:
            return []
        return [a for a in request.attempts if not a.has_ended and now_us > a.deadline_us + EXPIRED_AFTER_US]
