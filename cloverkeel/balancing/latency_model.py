"""Latency of answers by class of requests, and how it follows the size of a request.

Two latencies are kept of each class, both for a request of the mean size: the smoothed latency of recent good
answers, and the unloaded latency, a slow minimum of the smoothed one: the latency where nothing queues.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from cloverkeel.balancing.settings import RequestClass

SMOOTHING: Final = 0.05  # weight of the newest sample in an exponentially weighted moving average
INITIAL_LATENCY_RATIO: Final = 0.25  # of the latency objective: the latency before the first answer
OVERDUE_FACTOR: Final = 4.0  # times the smoothed latency: an attempt that should have been answered
UNLOADED_RISE: Final = 0.0005  # relative rise with each longer answer: a jam must not be the usual in seconds
MIN_SIZE_FACTOR: Final = 0.2  # of the usual latency: an answer to a request of nearly no work
MAX_SIZE: Final = 4.0  # times the mean: of larger requests nothing is learnt
MIN_SIZE_VARIANCE: Final = 0.01  # of the sizes over their mean: clients do state them
SIZE_MEMORY: Final = 0.98  # of what is known of sizes, left after each answer


@dataclass(slots=True, eq=False)
class LatencyBySize:
    """Follow how one class's latency depends on the size of a request: a line by least squares.

    Guards against taking small requests for slow ones, and large for quick: part of an answer's time (the
    network, what the server itself waits for) is the same for all; latency over size is no measure of a server.
    """

    mean_size: float = 1.0
    mean_latency_us: float = 0.0
    covariance: float = 0.0  # of size and latency
    variance: float = 0.0  # of the size
    slope: float = 1.0  # share of the mean latency that follows the size: all of it until more is known

    def record(self, size: float, latency_us: int) -> None:
        """Learn from one answer; a few very large requests would draw the whole line to themselves."""
        if size > MAX_SIZE:
            return
        if self.mean_latency_us == 0.0:
            self.mean_latency_us = float(latency_us)
        step = 1.0 - SIZE_MEMORY
        size_error = size - self.mean_size
        latency_error = latency_us - self.mean_latency_us
        self.mean_size += step * size_error
        self.mean_latency_us += step * latency_error
        self.covariance += step * (size_error * latency_error - self.covariance)
        self.variance += step * (size_error * size_error - self.variance)
        if self.variance <= 0.0:
            return
        rise = self.covariance / self.variance
        usual = self.mean_latency_us + rise * (1.0 - self.mean_size)
        if usual > 0.0:
            self.slope += step * (min(1.0, max(0.0, rise / usual)) - self.slope)

    def factor(self, size: float) -> float:
        """Return the latency of a request of this size over that of one of the mean size."""
        return max(MIN_SIZE_FACTOR, 1.0 + self.slope * (size - 1.0))

    def has_sizes(self) -> bool:
        """Tell whether clients state sizes that differ."""
        return self.variance > MIN_SIZE_VARIANCE


class LatencyModel:
    """Hold the latencies of all classes of requests, in microseconds."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.smoothed_us = [class_.objective_us * INITIAL_LATENCY_RATIO for class_ in classes]
        self.unloaded_us = [class_.objective_us * INITIAL_LATENCY_RATIO for class_ in classes]
        self.by_size = [LatencyBySize() for _ in classes]
        self.silence_timeout_us = OVERDUE_FACTOR * max(self.smoothed_us)  # without an answer: its server is silent

    def expected_us(self, class_index: int, size: float) -> float:
        """Return how long an answer to a request of this size takes at present."""
        return self.smoothed_us[class_index] * self.by_size[class_index].factor(size)

    def expected_unloaded_us(self, class_index: int, size: float) -> float:
        """Return how long an answer to a request of this size takes where nothing queues."""
        return self.unloaded_us[class_index] * self.by_size[class_index].factor(size)

    def record(self, class_index: int, size: float, latency_us: int) -> None:
        """Learn from one good answer."""
        by_size = self.by_size[class_index]
        by_size.record(size, latency_us)
        latency = latency_us / by_size.factor(size)
        self.smoothed_us[class_index] += SMOOTHING * (latency - self.smoothed_us[class_index])
        self.silence_timeout_us = OVERDUE_FACTOR * max(self.smoothed_us)
        unloaded_us = self.unloaded_us[class_index]
        collapse_window_us = min(0.0, self.smoothed_us[class_index] - unloaded_us)
        self.unloaded_us[class_index] += collapse_window_us + UNLOADED_RISE * unloaded_us


class WorkModel:
    """Hold the mean work of each class's requests, as clients state it; 0.0 where none has."""

    def __init__(self, class_count: int) -> None:
        self.mean_us = [0.0] * class_count

    def record(self, class_index: int, work_us: int | None) -> float:
        """Learn from a request's stated work; return its size: the work over the mean, 1.0 where none is stated."""
        if not work_us:
            return 1.0
        mean_us = self.mean_us[class_index] or float(work_us)
        self.mean_us[class_index] = mean_us + SMOOTHING * (work_us - mean_us)
        return work_us / mean_us
