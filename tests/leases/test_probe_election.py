"""Half-open probes by one elected gateway: the suspension in the balancer, and the election."""

from __future__ import annotations

from cloverkeel.balancing.circuit_breaker import INITIAL_COOLDOWN_US, BreakerState
from cloverkeel.balancing.events import ProbesSuspended
from cloverkeel.leases.probe_election import (
    IDLE,
    PROBE_REPORT,
    PROBING,
    RECOVERED,
    RECOVERED_NOTICE_US,
    SUSPEND_US,
    ProbeElection,
    lease_name,
)
from tests.helpers import Driver, trip_breaker
from tests.leases.helpers import NOW_US, make_manager


def make_tripped(servers: int = 4) -> Driver:
    driver = Driver(servers=servers)
    trip_breaker(driver.balancer.endpoints.by_server[0].breaker, driver.now_us)
    return driver


def is_probed(driver: Driver) -> bool:
    return driver.balancer.subset.is_eligible(driver.balancer.now_us, driver.balancer.endpoints.by_server[0], 0)


def test_a_server_probed_by_another_gateway_is_not_probed_until_the_suspension_ends() -> None:
    driver = make_tripped()
    driver.now_us += INITIAL_COOLDOWN_US
    driver.handle(ProbesSuspended(0, driver.now_us + SUSPEND_US))
    assert not is_probed(driver)
    driver.now_us += SUSPEND_US
    driver.balancer.handle(driver.now_us, ProbesSuspended(99, 0))  # advances the balancer's clock
    assert is_probed(driver)


def test_a_reported_recovery_triggers_a_probe_and_does_not_close_the_circuit() -> None:
    driver = make_tripped()
    driver.handle(ProbesSuspended(0, driver.now_us + SUSPEND_US))
    driver.now_us += 1_000
    driver.handle(ProbesSuspended(0, 0))
    assert is_probed(driver) and driver.balancer.endpoints.by_server[0].breaker.state is BreakerState.HALF_OPEN


def test_probes_are_not_suspended_when_most_servers_are_ejected() -> None:
    driver = make_tripped(servers=3)
    trip_breaker(driver.balancer.endpoints.by_server[1].breaker, driver.now_us)
    driver.now_us += INITIAL_COOLDOWN_US
    driver.handle(ProbesSuspended(0, driver.now_us + SUSPEND_US))
    assert is_probed(driver)


def test_open_circuits_are_listed_with_whether_they_are_probed() -> None:
    driver = make_tripped()
    assert driver.balancer.ejected_servers(driver.now_us) == [(0, True)]
    late_us = driver.now_us + 2 * INITIAL_COOLDOWN_US + 1
    assert driver.balancer.ejected_servers(late_us) == [(0, False)]  # no request was available as a probe
    driver.balancer.endpoints.by_server[0].breaker.close()
    assert driver.balancer.ejected_servers(late_us) == []


class SuspendProbes:
    def __init__(self) -> None:
        self.calls: list[tuple[int, int]] = []

    def __call__(self, server: int, until_us: int) -> None:
        self.calls.append((server, until_us))


def test_a_holder_replies_whether_it_probes_and_later_that_the_host_has_recovered() -> None:
    election, manager = ProbeElection(1, SuspendProbes()), make_manager(0)
    election.update(NOW_US, [(5, True)], manager)
    ((lease_id, request),) = manager.request_by_lease.items()
    assert request.name == lease_name(1, 5)
    election.on_acquired(lease_id, b"")
    assert election.on_report(NOW_US, lease_id, 1, 0, PROBE_REPORT) == PROBING
    election.update(NOW_US, [(5, False)], manager)
    assert election.on_report(NOW_US, lease_id, 1, 0, PROBE_REPORT) == IDLE
    election.update(NOW_US, [], manager)
    assert (
        election.on_report(NOW_US, lease_id, 1, 0, PROBE_REPORT) == RECOVERED
        and election.build_report(NOW_US, lease_id, 1) is None
    )
    election.update(NOW_US + RECOVERED_NOTICE_US + 1, [], manager)
    assert (
        lease_id not in manager.request_by_lease and election.on_report(NOW_US, lease_id, 1, 0, PROBE_REPORT) == IDLE
    )


def test_replies_suspend_probes_by_the_reporters_clock_and_late_replies_do_not() -> None:
    suspend_probes = SuspendProbes()
    election, manager = ProbeElection(1, suspend_probes), make_manager(0)
    election.update(NOW_US, [(5, True)], manager)
    (lease_id,) = manager.request_by_lease
    election.on_reply(NOW_US + 100, lease_id, NOW_US, PROBING)
    assert suspend_probes.calls == [(5, NOW_US + SUSPEND_US)]
    election.on_reply(NOW_US + SUSPEND_US, lease_id, NOW_US, PROBING)  # late
    assert len(suspend_probes.calls) == 1
    election.on_reply(NOW_US + 200, lease_id, NOW_US, IDLE)
    assert suspend_probes.calls[-1] == (5, 1)  # a time in the past: ends the suspension, but not the cooldown
    for _ in range(3):
        election.on_reply(NOW_US + RECOVERED_NOTICE_US, lease_id, NOW_US, RECOVERED)
    assert suspend_probes.calls[2:] == [(5, 0)]  # one probe per recovery
    election.on_acquired(lease_id, b"")
    assert suspend_probes.calls[-1] == (5, 1)
