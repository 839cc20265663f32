"""Hosts are kept out of the collector's way: a full pass looks at every object that is not frozen.

Where 38,000 hosts are known such a pass took 69 ms, and the program freezes what its start has made before it knows
any. So it does again whenever lists have brought FREEZE_AFTER entries: a pass first, over what came since the last
time only (a millisecond or so), so that nothing that is garbage is frozen; then what is left is frozen.

It is told of a list when all parts of it are told: each pass in between would go over what still waits.

Invariants:
- no object that a list has brought is looked at by more than one full pass that this one begins;
- what is frozen is freed all the same when nobody refers to it: hosts that leave are no cycles. What would leak is a
  cycle that is in use at a freeze and garbage later; requests, connections and hosts make none that stay.
"""

from __future__ import annotations

import gc
from collections.abc import Callable
from typing import Final

FREEZE_AFTER: Final = 500  # entries: some 12 objects of each stay


class Freezer:
    """Told of each list how many entries it brought; `later` calls a function in a turn of the loop of its own."""

    def __init__(self, later: Callable[[Callable[[], None]], object]) -> None:
        self.later = later
        self.brought = 0  # entries since the last freeze
        self.due = False
        self.freezes = 0

    def took(self, entries: int) -> None:
        self.brought += entries
        if self.brought >= FREEZE_AFTER and not self.due:
            self.due = True
            self.later(self.freeze)

    def freeze(self) -> None:
        gc.collect()
        gc.freeze()
        self.brought, self.due = 0, False
        self.freezes += 1
