"""Trials of hosts that are out, held back for one gateway's: the module's part and the pure part."""

from __future__ import annotations

from cloverkeel.balancing.circuit_breaker import BreakerState, INITIAL_COOLDOWN_US
from cloverkeel.balancing.events import ProbesSuspended
from cloverkeel.leases.probe_election import ASKS, HOLD_US, IDLE, TRIED, WELL, WELL_US, Outs, duty_name
from tests.helpers import Driver, trip
from tests.test_duties_pure import NOW_US, office


def tripped(servers: int = 4) -> Driver:
    driver = Driver(servers=servers)
    trip(driver.balancer.endpoints.by_server[0].breaker, driver.now_us)
    return driver


def is_tried(driver: Driver) -> bool:
    return driver.balancer.subset.is_eligible(driver.balancer.now_us, driver.balancer.endpoints.by_server[0], 0)


def test_a_server_that_another_tries_is_not_tried_until_that_ends() -> None:
    driver = tripped()
    driver.now_us += INITIAL_COOLDOWN_US
    driver.handle(ProbesSuspended(0, driver.now_us + HOLD_US))
    assert not is_tried(driver)
    driver.now_us += HOLD_US
    driver.balancer.handle(driver.now_us, ProbesSuspended(99, 0))  # the time goes on
    assert is_tried(driver)


def test_word_that_it_is_well_brings_a_trial_at_once_and_no_verdict() -> None:
    driver = tripped()
    driver.handle(ProbesSuspended(0, driver.now_us + HOLD_US))
    driver.now_us += 1_000
    driver.handle(ProbesSuspended(0, 0))
    assert is_tried(driver) and driver.balancer.endpoints.by_server[0].breaker.state is BreakerState.HALF_OPEN


def test_nobody_waits_where_next_to_nothing_is_left() -> None:
    driver = tripped(servers=3)
    trip(driver.balancer.endpoints.by_server[1].breaker, driver.now_us)
    driver.now_us += INITIAL_COOLDOWN_US
    driver.handle(ProbesSuspended(0, driver.now_us + HOLD_US))
    assert is_tried(driver)


def test_what_is_out_and_whether_it_is_tried() -> None:
    driver = tripped()
    assert driver.balancer.ejected_servers(driver.now_us) == [(0, True)]
    late_us = driver.now_us + 2 * INITIAL_COOLDOWN_US + 1
    assert driver.balancer.ejected_servers(late_us) == [(0, False)]  # no request has come that could be risked
    driver.balancer.endpoints.by_server[0].breaker.close()
    assert driver.balancer.ejected_servers(late_us) == []


class Heard:
    def __init__(self) -> None:
        self.said: list[tuple[int, int]] = []

    def __call__(self, server: int, until_us: int) -> None:
        self.said.append((server, until_us))


def test_a_holder_tells_what_it_does_and_for_a_while_that_the_host_is_well() -> None:
    here, desk = Outs(1, Heard()), office(0)
    here.look(NOW_US, [(5, True)], desk)
    ((duty, need),) = desk.needs.items()
    assert need.name == duty_name(1, 5)
    here.began(duty, b"")
    assert here.on_report(NOW_US, duty, 1, 0, ASKS) == TRIED
    here.look(NOW_US, [(5, False)], desk)
    assert here.on_report(NOW_US, duty, 1, 0, ASKS) == IDLE
    here.look(NOW_US, [], desk)
    assert here.on_report(NOW_US, duty, 1, 0, ASKS) == WELL and here.report(NOW_US, duty, 1) is None
    here.look(NOW_US + WELL_US + 1, [], desk)
    assert duty not in desk.needs and here.on_report(NOW_US, duty, 1, 0, ASKS) == IDLE


def test_answers_hold_back_for_a_time_of_ones_own_and_old_ones_do_not() -> None:
    heard = Heard()
    here, desk = Outs(1, heard), office(0)
    here.look(NOW_US, [(5, True)], desk)
    (duty,) = desk.needs
    here.on_act(NOW_US + 100, duty, NOW_US, TRIED)
    assert heard.said == [(5, NOW_US + HOLD_US)]
    here.on_act(NOW_US + HOLD_US, duty, NOW_US, TRIED)  # late
    assert len(heard.said) == 1
    here.on_act(NOW_US + 200, duty, NOW_US, IDLE)
    assert heard.said[-1] == (5, 1)  # past: it holds nothing back, and ends no cooldown
    for _ in range(3):
        here.on_act(NOW_US + WELL_US, duty, NOW_US, WELL)
    assert heard.said[2:] == [(5, 0)]  # once: a trial that fails here stays a verdict of one's own
    here.began(duty, b"")
    assert heard.said[-1] == (5, 1)
