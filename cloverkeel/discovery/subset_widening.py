"""How often this gateway's subset of hosts is doubled, as too many of them fail. Pure: times come from outside."""

from __future__ import annotations

from math import inf
from typing import Final

MAX_DOUBLINGS: Final = 3
WIDENING_FAILING_RATIO: Final = 0.5  # of the hosts that serve: failing, they make the subset wider
MIN_WIDENING_INTERVAL_S: Final = 3.0  # from one doubling to the next: new hosts must be known and tried
NARROWING_AFTER_S: Final = 60.0  # without need, to a subset half as large


class SubsetWidening:
    """Count the doublings of the subset."""

    def __init__(self) -> None:
        self.doublings = 0
        self.needed_s = -inf  # when there was need last
        self.changed_s = -inf

    def update(self, now_s: float, failing_hosts: int, serving_hosts: int) -> int:
        """Return the doublings from now on, as `failing_hosts` of `serving_hosts` do not answer this gateway."""
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
