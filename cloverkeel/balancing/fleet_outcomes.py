"""Recent outcomes of all servers: what fails at all alike is no single server's fault."""

from __future__ import annotations

from collections import deque
from typing import Final

MAX_RECENT_OUTCOMES: Final = 100


class FleetOutcomes:
    """Hold the recent outcomes of all servers.

    Of the outcomes themselves, not of the breakers' counts: those of the breakers that common failures have opened
    would be missing.
    """

    def __init__(self) -> None:
        # server, class index, whether it failed
        self.recent: deque[tuple[int, int, bool]] = deque(maxlen=MAX_RECENT_OUTCOMES)

    def record(self, server: int, class_index: int, is_failure: bool) -> None:
        """Append an outcome; the oldest one is dropped."""
        self.recent.append((server, class_index, is_failure))

    def failure_ratio(self, server: int, class_index: int | None) -> float:
        """Return the failure ratio of all servers but this one, of one class or (None) of all; 0.0 without any."""
        outcomes = [
            is_failure
            for other, other_class, is_failure in self.recent
            if other != server and class_index in (None, other_class)
        ]
        return sum(outcomes) / len(outcomes) if outcomes else 0.0
