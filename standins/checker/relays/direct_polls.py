"""Check how often gateways poll discovery directly, without a relay."""

from __future__ import annotations

from collections.abc import Iterator

from standins.checker.relays.limits import SLACK_US
from standins.checker.relays.outages import OutageHistory
from standins.checker.relays.record import RelayViolation, RunRecord


def check_direct_polls(record: RunRecord, outages: OutageHistory) -> Iterator[RelayViolation]:
    """Yield the first violation of the first gateway that polls more often than once in the interval."""
    for gateway in range(record.gateways):
        polls_us = [poll.at_us for poll in record.direct_polls if poll.gateway == gateway]
        violation = find_excess(record, outages, gateway, polls_us)
        if violation is not None:
            yield violation
            return


def find_excess(
    record: RunRecord, outages: OutageHistory, gateway: int, polls_us: list[int]
) -> RelayViolation | None:
    """Return the first poll that comes too soon after an earlier one."""
    for first, at_us in enumerate(polls_us):
        # A poll that was decided before a stop is observed after it.
        stops = outages.stops_ending_between(gateway, at_us - SLACK_US, at_us)
        slack_us = SLACK_US + sum(stop.length_us for stop in stops)
        for count, last_us in enumerate(polls_us[first + 1 :], 1):
            passed_us = last_us - at_us
            if passed_us + slack_us < count * record.direct_poll_interval_us:
                description = f"polled discovery directly {count + 1} times in {passed_us / 1e6:.3f} s"
                return RelayViolation(description, last_us, f"n{gateway}")
    return None
