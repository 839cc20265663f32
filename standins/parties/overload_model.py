"""How a box slows down by what it holds, and what it remembers of having held too much.

Pure: told the time and how many requests the box holds, gives how many times longer work takes. What holds:

- a box that holds no more than `easy`, and is not choked, works at its usual pace;
- more held never makes work quicker;
- it chokes once it has held more than `many` for `long_us` on end, never before;
- choked, it is so until it has held no more than `many` for `slow_us` on end, and no longer;
- work takes at the most `most` times `choked` times as long.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class OverloadModel:
    """The law: work takes min(most, 1 + steep * max(0, held - easy)) times as long, choked `choked` times that.

    Held is all that has come and is not over: on a core, in the queue, waiting for others, and what nobody waits for.
    """

    easy: int = 8  # with two cores: what a box at nine tenths of its load seldom holds more than
    steep: float = 0.04  # for each request held beyond
    most: float = 3.0
    many: int = 16
    long_us: int = 2_000_000  # docs/fleet.md: hosts that hold too many requests for two seconds stay slow
    choked: float = 1.5
    slow_us: int = 4_000_000
    stale: bool = True  # work is done to its end though whoever asked has gone; False: it stops at once
    heeds: bool = False  # what waits past the time that the gateway told is dropped at its turn


class OverloadState:
    """One box under the law."""

    def __init__(self, model: OverloadModel) -> None:
        self.model = model
        self.held_count = 0
        self.over_limit_since_us: int | None = None  # it has held more than `many` since
        self.choked_until_us: int | None = None  # None: it is not choked; while it holds too many, moved on

    def set_held_count(self, now_us: int, held_count: int) -> None:
        """It holds so many from now on."""
        self._advance(now_us)
        self.held_count = held_count
        if held_count <= self.model.many:
            self.over_limit_since_us = None
        elif self.over_limit_since_us is None:
            self.over_limit_since_us = now_us

    def _advance(self, now_us: int) -> None:
        """What the time up to now has done."""
        since_us = self.over_limit_since_us
        if self.choked_until_us is not None and since_us is None and now_us >= self.choked_until_us:
            self.choked_until_us = None
        if since_us is None:
            return
        was_choked = self.choked_until_us is not None and since_us < self.choked_until_us
        if was_choked or now_us - since_us >= self.model.long_us:
            self.choked_until_us = now_us + self.model.slow_us
        else:
            self.choked_until_us = None

    def is_choked(self, now_us: int) -> bool:
        self._advance(now_us)
        return self.choked_until_us is not None

    def work_factor(self, now_us: int) -> float:
        """Work that begins now takes so many times as long."""
        model = self.model
        factor = min(model.most, 1.0 + model.steep * max(0, self.held_count - model.easy))
        return factor * (model.choked if self.is_choked(now_us) else 1.0)
