"""Check which hosts gateways send to: they leave hosts that drain, and use hosts that have returned."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto
from typing import Final

from standins.checker.relays.limits import DELIVERY_TIMEOUT_US, SLACK_US
from standins.checker.relays.outages import OutageHistory
from standins.checker.relays.record import RelayViolation, RunRecord

FIRST_USE_TIMEOUT_US: Final = 2_000_000  # from the notification of a host to the first request to it
# A gateway that has sent more requests to other hosts since its last request to a host has left that host.
MAX_REQUESTS_ELSEWHERE: Final = 80


class HostState(Enum):
    """The status of a host according to all discoveries that relays poll."""

    SERVING = auto()
    REMOVED = auto()  # it drains or is gone
    DISPUTED = auto()  # the discoveries disagree


@dataclass(slots=True, frozen=True)
class HostPeriod:
    """A period in which a host's state did not change."""

    begin_us: int
    end_us: int
    state: HostState


class EndpointCheck:
    """Check each gateway's use of each host."""

    def __init__(self, record: RunRecord, outages: OutageHistory) -> None:
        self._record = record
        self._outages = outages
        self._arrivals_us = {
            (gateway, host): [
                arrival.at_us for arrival in record.arrivals if (arrival.gateway, arrival.host) == (gateway, host)
            ]
            for gateway in range(record.gateways)
            for host in range(record.hosts)
        }
        self._arrivals_anywhere_us = [
            [arrival.at_us for arrival in record.arrivals if arrival.gateway == gateway]
            for gateway in range(record.gateways)
        ]

    def check(self) -> Iterator[RelayViolation]:
        """Yield violations by host, period and gateway."""
        for host in range(self._record.hosts):
            for period in self._host_periods(host):
                for gateway in range(self._record.gateways):
                    yield from self._check_period(gateway, host, period)

    def _check_period(self, gateway: int, host: int, period: HostPeriod) -> Iterator[RelayViolation]:
        if period.state is HostState.REMOVED:
            yield from self._check_removed(gateway, host, period)
        elif period.state is HostState.SERVING and period.begin_us > self._record.begin_us:
            yield from self._check_returned(gateway, host, period)

    def _host_periods(self, host: int) -> Iterator[HostPeriod]:
        status_by_discovery = dict.fromkeys(set(self._record.discovery_by_relay), "SERVING")
        begin_us = self._record.begin_us
        state = HostState.SERVING
        for change in self._record.changes:
            if change.host != host:
                continue
            if change.discovery not in status_by_discovery:
                continue
            status_by_discovery[change.discovery] = change.status
            new_state = agreed_state(list(status_by_discovery.values()))
            if new_state is not state:
                yield HostPeriod(begin_us, change.at_us, state)
                begin_us = change.at_us
                state = new_state
        yield HostPeriod(begin_us, self._record.end_us, state)

    def _check_removed(self, gateway: int, host: int, period: HostPeriod) -> Iterator[RelayViolation]:
        subject = f"n{gateway} s-{host}"
        has_one_source = len(set(self._record.discovery_by_relay)) == 1
        arrivals_us = self._arrivals_us[gateway, host]
        first = bisect_right(arrivals_us, period.begin_us)
        previous_us = arrivals_us[first - 1] if first else 0
        late_us = 0
        if self._has_left(gateway, previous_us, period.begin_us):
            previous_us = 0  # not in use before, for example as the gateway was not notified of the host's return
        for at_us in arrivals_us[first : bisect_right(arrivals_us, period.end_us)]:
            if self._outages.could_have_received_change(
                gateway, period.begin_us, at_us, DELIVERY_TIMEOUT_US + SLACK_US
            ):
                late_us = at_us
            if has_one_source and previous_us and self._has_left(gateway, previous_us, at_us):
                unused_s = (at_us - previous_us) / 1e6
                yield RelayViolation(f"left, and used again after {unused_s:.3f} s", at_us, subject)
                return
            previous_us = at_us
        if late_us:
            late_s = (late_us - period.begin_us) / 1e6
            yield RelayViolation(f"used until {late_s:.3f} s after its removal", late_us, subject)

    def _has_left(self, gateway: int, last_used_us: int, at_us: int) -> bool:
        """Tell whether the gateway has left a host: it sent many requests elsewhere since its last use of it."""
        anywhere_us = self._arrivals_anywhere_us[gateway]
        elsewhere = bisect_right(anywhere_us, at_us) - bisect_right(anywhere_us, last_used_us)
        return elsewhere > MAX_REQUESTS_ELSEWHERE

    def _check_returned(self, gateway: int, host: int, period: HostPeriod) -> Iterator[RelayViolation]:
        arrivals_us = self._arrivals_us[gateway, host]
        first = bisect_right(arrivals_us, period.begin_us)
        used_us = min(arrivals_us[first] if first < len(arrivals_us) else period.end_us, period.end_us)
        # Checked also when each outage begins, as an outage extends the bound: it may be exceeded then, and no longer
        # when the outage ends.
        outages_us = [
            outage.begin_us for outage in self._record.outages if period.begin_us < outage.begin_us < used_us
        ]
        for at_us in sorted([*outages_us, used_us]):
            timeout_us = DELIVERY_TIMEOUT_US + FIRST_USE_TIMEOUT_US
            if self._outages.could_have_received_change(gateway, period.begin_us, at_us, timeout_us):
                unused_s = (used_us - period.begin_us) / 1e6
                description = f"not used for {unused_s:.3f} s after its return"
                yield RelayViolation(description, at_us, f"n{gateway} s-{host}")
                return


def agreed_state(statuses: list[str]) -> HostState:
    """Return the state of a host of which each discovery reports one of these statuses."""
    serving = statuses.count("SERVING")
    if serving == len(statuses):
        return HostState.SERVING
    return HostState.DISPUTED if serving else HostState.REMOVED
