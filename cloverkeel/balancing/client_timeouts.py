"""Usual client timeout of each class, and detection of retries that clients do not mark.

Clients give all first tries of a class the same timeout, which is found by majority vote (Boyer and Moore, 1981). A
request with a different timeout is taken for a retry, whose timeout is what earlier tries left of the client's time.
Learning the timeout guards against taking first tries for late retries where clients give their last try more time
than the others. Where the timeouts of first tries vary, no request is taken for a retry; otherwise most first tries
would be refused.
"""

from __future__ import annotations

from typing import Final

from cloverkeel.balancing.events import RequestArrived
from cloverkeel.balancing.latency_model import SMOOTHING
from cloverkeel.balancing.settings import Settings

SAME_TIMEOUT_TOLERANCE: Final = 0.02  # relative difference up to which two timeouts count as equal
MIN_REGULAR_RATIO: Final = 0.5  # of tries with the usual timeout; below it, another timeout indicates no retry


class ClientTimeouts:
    """Usual client timeout of each class, and the ratio of recent tries that have it."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.usual_us = [class_.client_timeout_us for class_ in settings.classes]
        self.votes = [0] * len(settings.classes)
        self.regular_ratio = [1.0] * len(settings.classes)

    def is_regular(self, class_index: int) -> bool:
        """Return whether most recent tries of a class have its usual timeout."""
        return self.regular_ratio[class_index] >= MIN_REGULAR_RATIO

    def record(self, event: RequestArrived) -> int:
        """Record a request's timeout; return how much of the client timeout its earlier tries have used.

        In microseconds; 0 for a first try.
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
        """Vote for or against the usual timeout; return whether `timeout_us` replaces it."""
        self.votes[class_index] += 1 if is_usual else -1
        if self.votes[class_index] >= 0:
            return False
        self.usual_us[class_index] = timeout_us
        self.votes[class_index] = 1
        return True
