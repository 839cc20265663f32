"""Double this gateway's subset of hosts while too many of them fail. Pure: the caller passes the time."""

from __future__ import annotations

from math import inf
from typing import Final

MAX_DOUBLINGS: Final = 3
WIDENING_FAILING_RATIO: Final = 0.5  # of the serving hosts; the subset is widened if this share fails
MIN_WIDENING_INTERVAL_S: Final = 3.0  # new hosts must be listed and tried before the next doubling
NARROWING_AFTER_S: Final = 60.0  # time without too many failures before the subset is halved


class SubsetWidening:
    """The number of times that the subset is doubled."""

    def __init__(self) -> None:
        self.doublings = 0
        self.needed_s = -inf  # when the failing ratio was last reached
        self.changed_s = -inf

    def update(self, now_s: float, failing_hosts: int, serving_hosts: int) -> int:
        """Return the number of doublings to use, given how many of the serving hosts do not answer this gateway."""
        is_needed = failing_hosts > 0 and failing_hosts >= WIDENING_FAILING_RATIO * serving_hosts
        if is_needed:
            self.needed_s = now_s
            if self.doublings < MAX_DOUBLINGS and now_s - self.changed_s >= MIN_WIDENING_INTERVAL_S:
                self._change(now_s, self.doublings + 1)
        elif self.doublings and now_s - max(self.needed_s, self.changed_s) >= NARROWING_AFTER_S:
            self._change(now_s, self.doublings - 1)
        return self.doublings

    def _change(self, now_s: float, doublings: int) -> None:
        self.doublings = doublings
        self.changed_s = now_s
