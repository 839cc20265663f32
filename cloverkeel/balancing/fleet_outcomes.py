"""Recent outcomes of all servers, to tell common failures from those of a single server."""

from __future__ import annotations

from collections import deque
from typing import Final

MAX_RECENT_OUTCOMES: Final = 100


class FleetOutcomes:
    """The recent outcomes of all servers.

    Outcomes are kept here rather than summed from the breakers' counts, which would miss the servers whose breakers
    common failures have opened.
    """

    def __init__(self) -> None:
        # (server, class index, whether the attempt failed), oldest first
        self.recent: deque[tuple[int, int, bool]] = deque(maxlen=MAX_RECENT_OUTCOMES)

    def record(self, server: int, class_index: int, is_failure: bool) -> None:
        """Append an outcome; drop the oldest one if full."""
        self.recent.append((server, class_index, is_failure))

    def failure_ratio(self, server: int, class_index: int | None) -> float:
        """Return the failure ratio of all other servers, for one class or for all (None); 0.0 without outcomes."""
        outcomes = [
            is_failure
            for other, other_class, is_failure in self.recent
            if other != server and class_index in (None, other_class)
        ]
        return sum(outcomes) / len(outcomes) if outcomes else 0.0
