"""Check a run against the rules by its event log: pure, no clock, no I/O.

Invariants of the package: it reads what backends, clients, the registry and the network observed, and nothing that a
gateway reports about itself; each violation contains the whole timeline of its subject; a time limit is extended by
the time for which the emulator was stalled (SchedulingDelay), and by no more.

Each of these modules checks one rule: responses, duplicates, drains, slow_start. gateway_processes and
misbehaving_clients check the rest.
"""

from __future__ import annotations

from collections.abc import Iterator

from standins.checker.drains import DrainCheck
from standins.checker.duplicates import DuplicateCheck
from standins.checker.gateway_processes import check_exits, check_resources
from standins.checker.misbehaving_clients import check_misbehaving_clients
from standins.checker.observations import BackendIncarnation, Observations
from standins.checker.process_history import ProcessLifetime
from standins.checker.responses import ResponseCheck
from standins.checker.slow_start import SlowStartCheck
from standins.checker.violations import Rule, Violation
from standins.event_log import EventLog
from standins.site import Rules


class Checker:
    """Checks an event log.

    The log contains the rules that the run is checked by; `rules`, if given, take their place.
    """

    def __init__(self, event_log: EventLog, rules: Rules | None = None) -> None:
        self.event_log = event_log
        self.violations: list[Violation] = []
        self._observations = Observations(event_log, rules)
        self._slow_start = SlowStartCheck(self._observations)

    @property
    def slow_start_peaks(self) -> dict[BackendIncarnation, float]:
        """Return the maximum load of each backend in slow start, as a share of what makes it collapse."""
        return self._slow_start.peaks

    def process_at(self, gateway: str, at_us: int) -> ProcessLifetime | None:
        """Return the gateway's process that was the latest to start by `at_us`, or None if none had started."""
        return self._observations.processes.process_at(gateway, at_us)

    def find_violations(self) -> list[Violation]:
        """Run all checks and return their violations, by time."""
        violations = [
            *check_exits(self._observations),
            *self._check_completeness(),
            *self._check_requests(),
            *self._check_attempts(),
            *ResponseCheck(self._observations).check_unexpected_bytes(),
            *check_misbehaving_clients(self._observations),
            *check_resources(self._observations),
            *self._slow_start.check(),
        ]
        violations.sort(key=lambda violation: violation.at_us)
        self.violations = violations
        return violations

    def _check_completeness(self) -> Iterator[Violation]:
        dropped = self.event_log.dropped
        if dropped:
            description = f"{dropped} events were dropped: the event log is incomplete"
            yield Violation(Rule.MISSING, self._observations.end_us, "event log", description)

    def _check_requests(self) -> Iterator[Violation]:
        responses = ResponseCheck(self._observations)
        duplicates = DuplicateCheck(self._observations)
        for id_ in self._observations.requests_by_id:
            yield from responses.check_request(id_)
            yield from duplicates.check_request(id_)

    def _check_attempts(self) -> Iterator[Violation]:
        responses = ResponseCheck(self._observations)
        drains = DrainCheck(self._observations)
        for id_, attempts in self._observations.attempts_by_id.items():
            yield from responses.check_was_sent(id_)
            for attempt in attempts:
                yield from drains.check_attempt(attempt)


def find_violations(event_log: EventLog, rules: Rules | None = None) -> list[Violation]:
    """Return all violations of a run, by time.

    The log contains the rules that the run is checked by; `rules`, if given, take their place.
    """
    return Checker(event_log, rules).find_violations()
