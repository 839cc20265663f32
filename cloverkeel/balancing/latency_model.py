"""Latency of answers by request class, and its dependence on the size of a request.

Two latencies are kept for each class, both for a request of the mean size: the smoothed latency of recent good
answers, and the unloaded latency (without queueing), a slowly rising minimum of the smoothed one. The size of a
request is its work over the mean work of its class.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from cloverkeel.balancing.settings import RequestClass

SMOOTHING: Final = 0.05  # weight of the newest sample in an exponentially weighted moving average (EWMA)
INITIAL_LATENCY_RATIO: Final = 0.25  # of the latency objective: assumed latency before the first answer
OVERDUE_FACTOR: Final = 4.0  # times the smoothed latency, after which an attempt is overdue
UNLOADED_RISE: Final = 0.0005  # relative rise per answer, slow enough that an overload of seconds doesn't raise it
MIN_SIZE_FACTOR: Final = 0.2  # lower bound of `factor`, reached by a request of almost no work
MAX_SIZE: Final = 4.0  # times the mean; larger requests are not recorded
MIN_SIZE_VARIANCE: Final = 0.01  # above it, clients are taken to state sizes
SIZE_DECAY: Final = 0.98  # weight of earlier answers in the moving averages over size, per answer


@dataclass(slots=True, eq=False)
class LatencyBySize:
    """Least-squares line of one class's latency over the size of a request.

    Guards against rating small requests as slow and large ones as fast, as latency divided by size would: part of
    the latency (the network, the server's own waits) doesn't depend on the size.
    """

    mean_size: float = 1.0
    mean_latency_us: float = 0.0
    covariance: float = 0.0  # of size and latency, decayed
    variance: float = 0.0  # of the size, decayed
    slope: float = 1.0  # share of the latency that is proportional to the size; all of it at first

    def record(self, size: float, latency_us: int) -> None:
        """Update the line with one answer; very large requests are left out, as a few of them would dominate it."""
        if size > MAX_SIZE:
            return
        if self.mean_latency_us == 0.0:
            self.mean_latency_us = float(latency_us)
        step = 1.0 - SIZE_DECAY
        size_error = size - self.mean_size
        latency_error = latency_us - self.mean_latency_us
        self.mean_size += step * size_error
        self.mean_latency_us += step * latency_error
        self.covariance += step * (size_error * latency_error - self.covariance)
        self.variance += step * (size_error * size_error - self.variance)
        if self.variance <= 0.0:
            return
        rise = self.covariance / self.variance
        latency_at_mean_us = self.mean_latency_us + rise * (1.0 - self.mean_size)
        if latency_at_mean_us > 0.0:
            self.slope += step * (min(1.0, max(0.0, rise / latency_at_mean_us)) - self.slope)

    def factor(self, size: float) -> float:
        """Return the latency of a request of this size relative to one of the mean size."""
        return max(MIN_SIZE_FACTOR, 1.0 + self.slope * (size - 1.0))

    def sizes_vary(self) -> bool:
        """Return whether clients state sizes that differ."""
        return self.variance > MIN_SIZE_VARIANCE


class LatencyModel:
    """Latencies of all request classes, in microseconds."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.smoothed_us = [class_.objective_us * INITIAL_LATENCY_RATIO for class_ in classes]
        self.unloaded_us = [class_.objective_us * INITIAL_LATENCY_RATIO for class_ in classes]
        self.by_size = [LatencyBySize() for _ in classes]
        # A server is silent if an attempt has been in flight for longer than this.
        self.silence_timeout_us = OVERDUE_FACTOR * max(self.smoothed_us)

    def expected_us(self, class_index: int, size: float) -> float:
        """Return the expected latency of a request of this size under the current load."""
        return self.smoothed_us[class_index] * self.by_size[class_index].factor(size)

    def expected_unloaded_us(self, class_index: int, size: float) -> float:
        """Return the expected latency of a request of this size without queueing."""
        return self.unloaded_us[class_index] * self.by_size[class_index].factor(size)

    def record(self, class_index: int, size: float, latency_us: int) -> None:
        """Update the latencies with one good answer."""
        by_size = self.by_size[class_index]
        by_size.record(size, latency_us)
        latency = latency_us / by_size.factor(size)
        self.smoothed_us[class_index] += SMOOTHING * (latency - self.smoothed_us[class_index])
        self.silence_timeout_us = OVERDUE_FACTOR * max(self.smoothed_us)
        unloaded_us = self.unloaded_us[class_index]
        decrease_us = min(0.0, self.smoothed_us[class_index] - unloaded_us)
        self.unloaded_us[class_index] += decrease_us + UNLOADED_RISE * unloaded_us


class WorkModel:
    """Mean work of each class's requests as stated by clients, in microseconds; 0.0 if none was stated."""

    def __init__(self, class_count: int) -> None:
        self.mean_us = [0.0] * class_count

    def record(self, class_index: int, work_us: int | None) -> float:
        """Update the mean with a request's stated work; return its size, 1.0 if no work is stated."""
        if not work_us:
            return 1.0
        mean_us = self.mean_us[class_index] or float(work_us)
        self.mean_us[class_index] = mean_us + SMOOTHING * (work_us - mean_us)
        return work_us / mean_us
