"""Check slow starts: a backend that warms up is not overloaded.

During slow start the capacity of a backend grows linearly from its initial share. The backend collapses if the work
that it is sent within the window exceeds a multiple of its capacity.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from standins.checker.observations import BackendIncarnation, Observations
from standins.checker.timeline import backend_timeline
from standins.checker.violations import Rule, Violation
from standins.event_log import BackendAttempt, BackendStarted


@dataclass(slots=True, frozen=True)
class Overload:
    """The first moment at which a backend was overloaded, and by how much."""

    at_us: int
    description: str


class SlowStartCheck:
    """Checks the work that each backend was sent in slow start."""

    def __init__(self, observations: Observations) -> None:
        self._observations = observations
        self._rules = observations.rules
        self.peaks: dict[BackendIncarnation, float] = {}  # maximum work in a window, as a share of its limit

    def check(self) -> Iterator[Violation]:
        """Yield a violation for each backend process that was overloaded, or collapsed."""
        attempts_by_process = self._attempts_by_process()
        for start in self._observations.backend_starts:
            attempts = sorted(attempts_by_process[incarnation_of(start)], key=lambda attempt: attempt.received_us)
            overload = self._find_overload(start, attempts) if start.initial_capacity < 1.0 else None
            collapsed_us = self._collapsed_us(incarnation_of(start))
            if overload is not None:
                yield self._violation(start, attempts, overload.at_us, overload.description)
            elif collapsed_us is not None:
                yield self._violation(start, attempts, collapsed_us, "the backend collapsed")

    def _attempts_by_process(self) -> dict[BackendIncarnation, list[BackendAttempt]]:
        attempts_by_process: dict[BackendIncarnation, list[BackendAttempt]] = defaultdict(list)
        for attempts in self._observations.attempts_by_id.values():
            for attempt in attempts:
                if attempt.received_us:
                    key = BackendIncarnation(attempt.backend, attempt.incarnation)
                    attempts_by_process[key].append(attempt)
        return attempts_by_process

    def _collapsed_us(self, process: BackendIncarnation) -> int | None:
        for collapse in self._observations.backend_collapses:
            if BackendIncarnation(collapse.backend, collapse.incarnation) == process:
                return collapse.at_us
        return None

    def _find_overload(self, start: BackendStarted, attempts: Sequence[BackendAttempt]) -> Overload | None:
        window_us = self._rules.fall_us
        window: deque[BackendAttempt] = deque()
        work_us = 0
        overload: Overload | None = None
        for attempt in attempts:
            age_us = attempt.received_us - start.at_us
            if age_us >= start.slow_start_us:
                break
            window.append(attempt)
            work_us += attempt.work_us
            while window[0].received_us <= attempt.received_us - window_us:
                work_us -= window.popleft().work_us
            limit_us = self._limit_us(start, age_us)
            self._record_peak(incarnation_of(start), work_us / limit_us)
            if work_us > limit_us and overload is None:
                description = (
                    f"sent {work_us / 1e3:.1f} ms of work in {window_us / 1e6:g} s, {limit_us / 1e3:.1f} at most"
                )
                overload = Overload(attempt.received_us, f"{description}, {age_us / 1e6:.2f} s after its start")
        return overload

    def _limit_us(self, start: BackendStarted, age_us: int) -> float:
        """Return how much work within the window a backend of this age can be sent before it collapses."""
        capacity = start.initial_capacity + (1 - start.initial_capacity) * age_us / start.slow_start_us
        return self._rules.multiple * capacity * start.cores * self._rules.fall_us

    def _record_peak(self, process: BackendIncarnation, share: float) -> None:
        self.peaks[process] = max(self.peaks.get(process, 0.0), share)

    def _violation(
        self, start: BackendStarted, attempts: Sequence[BackendAttempt], at_us: int, description: str
    ) -> Violation:
        timeline = backend_timeline(start, attempts, at_us, self._rules.fall_us)
        return Violation(Rule.SLOW_START, at_us, start.backend, description, tuple(timeline))


def incarnation_of(start: BackendStarted) -> BackendIncarnation:
    """Return the identity of the process that started."""
    return BackendIncarnation(start.backend, start.incarnation)
