"""The concurrency limit of a server: how many attempts of this proxy may be in flight to it.

Guards against overloading a server before its slow answers have arrived: the limit follows the server's own relative
latency within a few answers. It uses additive increase and multiplicative decrease (AIMD) driven by the latency
gradient, like Netflix's concurrency-limits.
"""

from __future__ import annotations

from typing import Final

INITIAL_LIMIT: Final = 64.0  # attempts in flight allowed until the server is first overloaded
MIN_LIMIT: Final = 2.0
RELATIVE_LATENCY_GAIN: Final = 0.1  # weight of the newest answer in the moving average
MAX_RELATIVE_LATENCY: Final = 4.0  # cap for a single answer
OVERLOAD_RELATIVE_LATENCY: Final = 1.5  # above it the server is overloaded, and its limit shrinks
MIN_SLACK_RATIO: Final = 0.1  # of the slack before the objective: delays are divided by at least this
LIMIT_CUT: Final = 0.85  # factor of the multiplicative decrease
LOW_PRIORITY_LIMIT_RATIO: Final = 0.6  # part of the limit that requests of low priority may use


class ConcurrencyLimit:
    """One server's limit and the relative latency of its recent answers."""

    __slots__ = ("cut_at_us", "limit", "relative_latency")

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self.relative_latency = 1.0  # moving average of the latency, as a multiple of the unloaded one
        self.cut_at_us = 0  # time of the last decrease

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

        `in_flight` counts the attempts still unanswered. `unloaded_us` is the latency of such an answer without
        queueing, and `slack_us` the latency objective minus the unloaded latency. A delay that is only a small part
        of the slack, such as a short pause of the proxy or the server, does not count as overload. The limit is cut
        at most once in `cut_interval_us`.
        """
        scale_us = max(1.0, unloaded_us, MIN_SLACK_RATIO * slack_us)
        newest = min(MAX_RELATIVE_LATENCY, 1.0 + (latency_us - unloaded_us) / scale_us)
        self.relative_latency += RELATIVE_LATENCY_GAIN * (newest - self.relative_latency)
        if self.relative_latency > OVERLOAD_RELATIVE_LATENCY:
            if now_us - self.cut_at_us > cut_interval_us:
                self.cut_at_us = now_us
                self.limit = max(MIN_LIMIT, min(self.limit, in_flight + 1.0) * LIMIT_CUT)
        elif is_good and in_flight + 1 >= self.limit * LOW_PRIORITY_LIMIT_RATIO:
            self.limit += 1.0 / self.limit
