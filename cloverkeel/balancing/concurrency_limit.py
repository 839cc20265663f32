"""The concurrency limit of a server: how many attempts of this proxy it may have in flight.

Guards against servers that are sent more than they work off, and choke, while their answers are still on their way:
the limit follows each server's own relative latency, within some of its answers. Additive increase, multiplicative
decrease, by the gradient of the latency, as Netflix's concurrency-limits.
"""

from __future__ import annotations

from typing import Final

INITIAL_LIMIT: Final = 64.0  # before the server was ever crowded
MIN_LIMIT: Final = 2.0
RELATIVE_LATENCY_GAIN: Final = 0.1  # share of the newest answer in a server's relative latency
MAX_RELATIVE_LATENCY: Final = 4.0  # of one answer
CROWDED_RELATIVE_LATENCY: Final = 1.5  # beyond it the server is crowded, and its limit shrinks
MIN_SLACK_RATIO: Final = 0.1  # of the slack under the objective: waits are compared with no less
LIMIT_CUT: Final = 0.85
LOW_PRIORITY_RATIO: Final = 0.6  # part of the limit that is open to what is of low priority


class ConcurrencyLimit:
    """Hold one server's limit and the relative latency of its recent answers."""

    __slots__ = ("cut_at_us", "limit", "relative_latency")

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self.relative_latency = 1.0  # over the unloaded latency
        self.cut_at_us = 0

    def record(
        self,
        now_us: int,
        in_flight: int,
        latency_us: int,
        unloaded_us: float,
        slack_us: float,
        cut_interval_us: float,
        is_good: bool,
    ) -> None:
        """Adjust the limit by one answer.

        `in_flight` counts the attempts still out. `unloaded_us` is what such an answer takes where nothing queues.
        `slack_us` is the time from there to the latency objective: where answers take next to none of it, a hiccup
        of either side is no crowd. The limit is cut no more than once in `cut_interval_us`.
        """
        scale_us = max(1.0, unloaded_us, MIN_SLACK_RATIO * slack_us)
        newest = min(MAX_RELATIVE_LATENCY, 1.0 + (latency_us - unloaded_us) / scale_us)
        self.relative_latency += RELATIVE_LATENCY_GAIN * (newest - self.relative_latency)
        if self.relative_latency > CROWDED_RELATIVE_LATENCY:
            if now_us - self.cut_at_us > cut_interval_us:
                self.cut_at_us = now_us
                self.limit = max(MIN_LIMIT, min(self.limit, in_flight + 1.0) * LIMIT_CUT)
        elif is_good and in_flight + 1 >= self.limit * LOW_PRIORITY_RATIO:
            self.limit += 1.0 / self.limit
