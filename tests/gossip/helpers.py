"""Helpers to build items of gossip datagrams."""

from __future__ import annotations

from typing import Final

from cloverkeel.gossip.messages import HostProcess, ObservationItem
from cloverkeel.gossip.peer_clock import timestamp_ms_of

NOW_US: Final = 1_000_000_000_000
HOST: Final = HostProcess(5, 1)


def constant_rng() -> float:
    """Return the same number each time, in place of a random one."""
    return 0.5


def observe(
    reporter: int, failures: int = 1, successes: int = 0, at_us: int = NOW_US, host: HostProcess = HOST,
    failure_ratio: int = 0, zone: int = 0, incarnation: int = 1,
) -> ObservationItem:  # fmt: skip
    """Return one gateway's observation of a host."""
    return ObservationItem(
        reporter, incarnation, timestamp_ms_of(at_us), host.host, host.started_ms, successes, failures, failure_ratio,
        zone,
    )  # fmt: skip
