"""The usual client timeout of each class of requests, and what another one says of a request.

First tries of a class are all given the same timeout, found by majority vote (Boyer and Moore, 1981); another one
marks a retry that is left the rest of it. Guards against taking first tries that are given less than the last one
for late retries and, where clients give each try a timeout of its own, against refusing most of them.
"""

from __future__ import annotations

from typing import Final

from cloverkeel.balancing.events import RequestArrived
from cloverkeel.balancing.latency_model import SMOOTHING
from cloverkeel.balancing.settings import Settings

SAME_TIMEOUT_TOLERANCE: Final = 0.02  # timeouts of two tries that differ by less are the same
MIN_REGULAR_RATIO: Final = 0.5  # of the tries with the usual timeout: with fewer, another timeout marks no retry


class ClientTimeouts:
    """Hold the usual client timeout of each class, and the ratio of recent tries that are given it."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.usual_us = [class_.client_timeout_us for class_ in settings.classes]
        self.votes = [0] * len(settings.classes)
        self.regular_ratio = [1.0] * len(settings.classes)

    def is_regular(self, class_index: int) -> bool:
        """Tell whether most recent tries of a class are given its usual timeout."""
        return self.regular_ratio[class_index] >= MIN_REGULAR_RATIO

    def record(self, event: RequestArrived) -> int:
        """Learn from a request; return how much of its time, in microseconds, its earlier tries have used.

        A first try has used none.
        """
        class_index = event.class_index
        usual_us = self.usual_us[class_index]
        is_usual = abs(event.client_timeout_us - usual_us) <= SAME_TIMEOUT_TOLERANCE * usual_us
        is_first_try = is_usual
        if not event.is_retry:
            was_regular = self.is_regular(class_index)
            self.regular_ratio[class_index] += SMOOTHING * (is_usual - self.regular_ratio[class_index])
            is_replaced = self._vote(class_index, event.client_timeout_us, is_usual)
            is_first_try = is_usual or is_replaced or self.settings.marks_retry or not was_regular
        if is_first_try:
            return 0
        return max(0, self.settings.classes[class_index].client_timeout_us - event.client_timeout_us)

    def _vote(self, class_index: int, timeout_us: int, is_usual: bool) -> bool:
        """Vote for or against the usual timeout; tell whether this one takes its place."""
        self.votes[class_index] += 1 if is_usual else -1
        if self.votes[class_index] >= 0:
            return False
        self.usual_us[class_index] = timeout_us
        self.votes[class_index] = 1
        return True
