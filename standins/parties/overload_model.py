"""Slowdown of a backend under load: from the number of requests in progress, and after an overload.

A pure function of the recorded times and numbers of requests in progress. Its properties:

- with at most `easy` requests in progress, and not choked, a backend works at its normal speed;
- more requests in progress never make work faster;
- a backend becomes choked when more than `many` requests have been in progress for `long_us` without a break;
- it recovers when at most `many` requests have been in progress for `slow_us` without a break;
- the factor on the work never exceeds `most` times `choked`.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class OverloadModel:
    """Parameters. Work takes min(most, 1 + steep * max(0, held - easy)) times as long, `choked` times more if choked.

    Held requests are all received ones that have not ended: on a core, in the queue, waiting for other services, and
    those whose sender has gone. The flag `--law` of `benchmarks.overload` sets the fields by name.
    """

    easy: int = 8  # a backend with two cores at 90 % load seldom holds more
    steep: float = 0.04  # slowdown per held request beyond `easy`
    most: float = 3.0  # limit of the factor while not choked
    many: int = 16  # held requests above which the backend is overloaded
    long_us: int = 2_000_000  # docs/fleet.md: hosts that hold too many requests for two seconds stay slow
    choked: float = 1.5  # additional factor while choked
    slow_us: int = 4_000_000  # time without overload until a choked backend recovers
    stale: bool = True  # work is completed after its sender has gone; False: it is cancelled
    heeds: bool = False  # a queued request past its deadline is rejected when a core is free


class OverloadState:
    """Overload state of one backend."""

    def __init__(self, model: OverloadModel) -> None:
        self.model = model
        self.held_count = 0
        self.over_limit_since_us: int | None = None  # start of the current overload
        self.choked_until_us: int | None = None  # None: not choked; extended while overloaded

    def set_held_count(self, now_us: int, held_count: int) -> None:
        """Set the number of held requests from `now_us` on."""
        self._advance(now_us)
        self.held_count = held_count
        if held_count <= self.model.many:
            self.over_limit_since_us = None
        elif self.over_limit_since_us is None:
            self.over_limit_since_us = now_us

    def _advance(self, now_us: int) -> None:
        """Apply the time that has passed: become choked, stay so, or recover."""
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
        """Whether a recent overload still slows the backend down."""
        self._advance(now_us)
        return self.choked_until_us is not None

    def work_factor(self, now_us: int) -> float:
        """Factor on the time of work that starts now."""
        model = self.model
        factor = min(model.most, 1.0 + model.steep * max(0, self.held_count - model.easy))
        return factor * (model.choked if self.is_choked(now_us) else 1.0)
