"""Outcomes of this gateway's own attempts, in a sliding window for each host. Pure: time is passed in.

Invariants:
- an outcome counts for OBSERVATION_LIFETIME_US, in steps of WINDOW_SLOT_US;
- the first failure in a host's window clears its successes, which say nothing about the host's present state;
- RECOVERY_STREAK consecutive successes clear a host's failures;
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
RECOVERY_STREAK: Final = 3  # consecutive successes; equal to the number that closes a circuit breaker
SMOOTHING_OUTCOMES: Final = 2  # added to the outcomes at other hosts, as a ratio of a few is unreliable

assert OBSERVATION_LIFETIME_US % WINDOW_SLOT_US == 0


class OutcomeTotals(NamedTuple):
    """Numbers of outcomes within the window."""

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
    newest_slot: int = 0  # slots since time 0 of the clock
    last_success_us: int = 0
    last_failure_us: int = -OBSERVATION_LIFETIME_US
    success_streak: int = 0

    def advance(self, now_us: int) -> None:
        """Clear the slots that have expired since the last call."""
        slot = now_us // WINDOW_SLOT_US
        for expired in range(max(self.newest_slot + 1, slot - WINDOW_SLOTS + 1), slot + 1):
            self.successes[expired % WINDOW_SLOTS] = 0
            self.failures[expired % WINDOW_SLOTS] = 0
        self.newest_slot = max(slot, self.newest_slot)

    def totals(self, now_us: int) -> OutcomeTotals:
        """Return the outcomes within the window."""
        self.advance(now_us)
        return OutcomeTotals(sum(self.successes), sum(self.failures))

    def record(self, now_us: int, is_success: bool) -> None:
        """Record one outcome."""
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
        """Set all slots of successes to zero."""
        self.successes = _empty_slots()

    def clear_failures(self) -> None:
        """Set all slots of failures to zero."""
        self.failures = _empty_slots()


class LocalOutcomes:
    """Outcome windows of all hosts that this gateway sent attempts to.

    Successes from before a fault must not delay a suspicion until they expire. Therefore the first failure clears
    them, and so does a confirmation by peers (`clear_successes`).
    """

    def __init__(self) -> None:
        self.window_by_host: dict[HostProcess, OutcomeWindow] = {}
        self.all_hosts = OutcomeWindow()

    def record(self, now_us: int, host: HostProcess, is_success: bool) -> None:
        """Record one outcome; it is ignored if MAX_HOSTS other hosts have outcomes in their windows."""
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
        """Clear a host's successes, which precede the failures that peers reported."""
        window = self.window_by_host.get(host)
        if window is not None:
            window.clear_successes()

    def has_just_recovered(self, host: HostProcess) -> bool:
        """Return whether the last success completed the streak that cleared a host's failures."""
        window = self.window_by_host.get(host)
        return window is not None and window.success_streak == RECOVERY_STREAK and window.last_failure_us > 0

    def has_succeeded_since(self, host: HostProcess, since_us: int) -> bool:
        """Return whether a host has answered since a time: a timeout of an attempt sent then indicates overload."""
        window = self.window_by_host.get(host)
        return window is not None and window.last_success_us >= since_us

    def last_failure_us(self, host: HostProcess) -> int:
        """Return the time of a host's last failure; -OBSERVATION_LIFETIME_US if it has none."""
        window = self.window_by_host.get(host)
        return window.last_failure_us if window is not None else -OBSERVATION_LIFETIME_US

    def totals(self, now_us: int, host: HostProcess) -> OutcomeTotals:
        """Return a host's outcomes within its window."""
        window = self.window_by_host.get(host)
        return window.totals(now_us) if window is not None else NO_OUTCOMES

    def failure_ratio_elsewhere(self, now_us: int, host: HostProcess) -> float:
        """Return the ratio of failures to outcomes at all other hosts, smoothed by SMOOTHING_OUTCOMES."""
        all_hosts = self.all_hosts.totals(now_us)
        this_host = self.totals(now_us, host)
        outcomes = all_hosts.successes + all_hosts.failures - this_host.successes - this_host.failures
        if outcomes <= 0:
            return 0.0
        return max(0, all_hosts.failures - this_host.failures) / (outcomes + SMOOTHING_OUTCOMES)

    def drop_empty_windows(self, now_us: int) -> None:
        """Remove the hosts without outcomes in their windows."""
        self.window_by_host = {
            host: window for host, window in self.window_by_host.items() if any(window.totals(now_us))
        }
