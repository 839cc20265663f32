"""Outcomes of attempts that this gateway observed itself, in a sliding window for each host. Pure: time is passed in.

Invariants:
- an outcome counts for OBSERVATION_LIFETIME_US, in steps of WINDOW_SLOT_US;
- of a host, successes count from its last first failure on: what was well before says nothing of now;
- RECOVERY_STREAK successes in a row end a host's failures here;
- at most MAX_HOSTS hosts are kept.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final, NamedTuple

from cloverkeel.gossip.messages import HostProcess

OBSERVATION_LIFETIME_US: Final = 2_000_000
WINDOW_SLOT_US: Final = 250_000
WINDOW_SLOTS: Final = OBSERVATION_LIFETIME_US // WINDOW_SLOT_US
MAX_HOSTS: Final = 256
RECOVERY_STREAK: Final = 3  # as many successes as close a breaker
SMOOTHING_OUTCOMES: Final = 2  # added to those at the other hosts: a few outcomes say little

assert OBSERVATION_LIFETIME_US % WINDOW_SLOT_US == 0


class OutcomeTotals(NamedTuple):
    """Outcomes within the window."""

    successes: int
    failures: int


NO_OUTCOMES: Final = OutcomeTotals(0, 0)


def _empty_slots() -> list[int]:
    return [0] * WINDOW_SLOTS


@dataclass(slots=True)
class OutcomeWindow:
    """Outcomes over the last OBSERVATION_LIFETIME_US, as a ring of slots."""

    successes: list[int] = field(default_factory=_empty_slots)
    failures: list[int] = field(default_factory=_empty_slots)
    newest_slot: int = 0  # counted from the clock's beginning
    last_success_us: int = 0
    last_failure_us: int = -OBSERVATION_LIFETIME_US
    success_streak: int = 0

    def advance(self, now_us: int) -> None:
        """Empty the slots that the time since the last call has left behind."""
        slot = now_us // WINDOW_SLOT_US
        for expired in range(max(self.newest_slot + 1, slot - WINDOW_SLOTS + 1), slot + 1):
            self.successes[expired % WINDOW_SLOTS] = 0
            self.failures[expired % WINDOW_SLOTS] = 0
        self.newest_slot = max(slot, self.newest_slot)

    def totals(self, now_us: int) -> OutcomeTotals:
        """Return the outcomes that count now."""
        self.advance(now_us)
        return OutcomeTotals(sum(self.successes), sum(self.failures))

    def record(self, now_us: int, is_success: bool) -> None:
        """Count one outcome."""
        self.advance(now_us)
        if is_success:
            self.successes[self.newest_slot % WINDOW_SLOTS] += 1
            self.last_success_us = now_us
            self.success_streak += 1
        else:
            self.failures[self.newest_slot % WINDOW_SLOTS] += 1
            self.last_failure_us = now_us
            self.success_streak = 0

    def clear_successes(self) -> None:
        """Drop all successes."""
        self.successes = _empty_slots()

    def clear_failures(self) -> None:
        """Drop all failures."""
        self.failures = _empty_slots()


class LocalOutcomes:
    """Windows of all hosts that this gateway sent attempts to.

    A suspicion must not wait until the successes from before the fault have aged. Therefore the first failure starts
    the count anew, and so does a confirmation by others (`clear_successes`).
    """

    def __init__(self) -> None:
        self.window_by_host: dict[HostProcess, OutcomeWindow] = {}
        self.all_hosts = OutcomeWindow()

    def record(self, now_us: int, host: HostProcess, is_success: bool) -> None:
        """Count one outcome; it is ignored where there is no room for another host."""
        window = self._window_for(now_us, host)
        if window is None:
            return
        self.all_hosts.record(now_us, is_success)
        is_first_failure = not is_success and not window.totals(now_us).failures
        if is_first_failure:
            window.clear_successes()
        window.record(now_us, is_success)
        if window.success_streak >= RECOVERY_STREAK:
            window.clear_failures()

    def _window_for(self, now_us: int, host: HostProcess) -> OutcomeWindow | None:
        window = self.window_by_host.get(host)
        if window is None:
            if len(self.window_by_host) >= MAX_HOSTS:
                self.drop_empty_windows(now_us)
                if len(self.window_by_host) >= MAX_HOSTS:
                    return None
            window = self.window_by_host[host] = OutcomeWindow()
        return window

    def clear_successes(self, host: HostProcess) -> None:
        """Drop a host's successes: others have seen it fail, and these are from before that."""
        window = self.window_by_host.get(host)
        if window is not None:
            window.clear_successes()

    def has_just_recovered(self, host: HostProcess) -> bool:
        """Return whether the last success is the one that ended a host's failures here."""
        window = self.window_by_host.get(host)
        return window is not None and window.success_streak == RECOVERY_STREAK and window.last_failure_us > 0

    def has_succeeded_since(self, host: HostProcess, since_us: int) -> bool:
        """Return whether a host has answered here since: then a timeout there is overload, not the host's fault."""
        window = self.window_by_host.get(host)
        return window is not None and window.last_success_us >= since_us

    def last_failure_us(self, host: HostProcess) -> int:
        """Return when a host last failed here; a time out of the window for one that never did."""
        window = self.window_by_host.get(host)
        return window.last_failure_us if window is not None else -OBSERVATION_LIFETIME_US

    def totals(self, now_us: int, host: HostProcess) -> OutcomeTotals:
        """Return a host's outcomes that count now."""
        window = self.window_by_host.get(host)
        return window.totals(now_us) if window is not None else NO_OUTCOMES

    def failure_ratio_elsewhere(self, now_us: int, host: HostProcess) -> float:
        """Return which part of the outcomes at all other hosts are failures."""
        everywhere = self.all_hosts.totals(now_us)
        here = self.totals(now_us, host)
        outcomes = everywhere.successes + everywhere.failures - here.successes - here.failures
        if outcomes <= 0:
            return 0.0
        return max(0, everywhere.failures - here.failures) / (outcomes + SMOOTHING_OUTCOMES)

    def drop_empty_windows(self, now_us: int) -> None:
        """Forget the hosts of which nothing counts any more."""
        self.window_by_host = {
            host: window for host, window in self.window_by_host.items() if any(window.totals(now_us))
        }
