"""Acceptors, ballots and managers for tests of leases."""

from __future__ import annotations

from cloverkeel.leases.acceptor import Acceptor
from cloverkeel.leases.ballots import COUNTER_SHIFT, GATEWAY_BITS, REFERENCE_TIME_US, BallotClock, counter_of
from cloverkeel.leases.lease_config import LeaseConfig
from cloverkeel.leases.manager import LeaseManager
from cloverkeel.leases.process import ProcessId

NOW_US = REFERENCE_TIME_US + 300 * 86_400_000_000
CONFIG = LeaseConfig(3, 3_000_000)


def make_acceptor(now_us: int = NOW_US, max_leases: int = 1024) -> Acceptor:
    """Make an acceptor that may vote from `now_us` on."""
    return Acceptor(now_us - CONFIG.quarantine_us, CONFIG, BallotClock(0, 0), max_leases)


def ballot(steps: int, gateway: int = 1) -> int:
    """Make a ballot of a gateway whose counter is `steps` above the wall clock's counter."""
    counter = counter_of(BallotClock(gateway, 0).next_ballot(NOW_US)) + steps
    return (counter << COUNTER_SHIFT) | gateway << GATEWAY_BITS


class StubTask:
    """A leased task with constant reports and replies."""

    def build_report(self, now_us: int, lease_id: int, holder_process: int) -> bytes | None:
        return b"x"

    def on_report(self, now_us: int, lease_id: int, reporter: int, echoed_us: int, payload: bytes) -> bytes:
        return b"y"

    def on_reply(self, now_us: int, lease_id: int, reported_us: int, payload: bytes) -> None: ...

    def on_acquired(self, lease_id: int, state: bytes) -> None: ...

    def on_ended(self, lease_id: int) -> None: ...

    def handover_state(self, lease_id: int) -> bytes:
        return b""


def make_manager(gateway: int, gateway_count: int = 5) -> LeaseManager:
    """Make the manager of one gateway, which is a voter if its number is below the number of voters."""
    logged: list[str] = []
    clock = BallotClock(gateway, gateway)
    manager = LeaseManager(ProcessId(gateway, gateway + 1), gateway_count, CONFIG, logged.append, lambda: 0.5, clock)
    if gateway < CONFIG.voters:
        manager.acceptor = make_acceptor()
    return manager
