"""Parts of a cold server's budget that move between proxies: no window sees one part spent twice."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from cloverkeel.balancing.events import ListedServer, SlowStartQuota
from cloverkeel.balancing.settings import Settings
from tests.helpers import SAFE, Driver, sends

SERVER, PROXIES = 1, 20
COLD = Settings(
    classes=(SAFE,), start_capacity=0.6, slow_start_us=100_000_000, collapse_multiple=3.0,
    collapse_window_us=1_000_000, proxies=PROXIES,
)  # fmt: skip
LIMIT_US = 3.0 * 0.6 * 1_000_000  # of a server of one core, in a fall window
WORK_US = 8_000


def proxy(number: int) -> Driver:
    driver = Driver(replace(COLD, proxy=number), servers=0, seed=number)
    driver.list_servers(ListedServer(SERVER, started_us=driver.now_us))
    return driver


def spend(driver: Driver, requests: int) -> int:
    """How many of so many requests at once are sent."""
    sent = 0
    for _ in range(requests):
        name, actions = driver.arrive(work_us=WORK_US)
        if sends(actions):
            sent += 1
            driver.end(name, SERVER, latency_us=30_000)
    return sent


def share(driver: Driver, lent_us: int = 0, granted: float = 0.0, granted_us: int = 0) -> None:
    started_us = driver.balancer.endpoints.by_server[SERVER].entry.started_us
    driver.handle(SlowStartQuota(SERVER, started_us, lent_us, granted, granted_us))


def per_second(lent: bool, granted: float) -> int:
    """Requests sent in three seconds by one proxy that has far more."""
    driver, sent = proxy(0), 0
    driver.now_us += 5_000_000
    spend(driver, 20)
    end_us = driver.now_us + 10_000_000
    share(driver, end_us if lent else 0, granted, end_us)
    for _ in range(300):
        driver.now_us += 10_000
        sent += spend(driver, 2)
    return sent


def test_quotas_are_used_as_they_are_held() -> None:
    own = per_second(False, 0.0)
    assert own > 8 and abs(per_second(True, 1.0) - own) <= 1
    assert per_second(True, 0.0) == 0
    assert 2.4 * own < per_second(False, 2.0) < 3.2 * own


def test_a_grant_that_ends_leaves_what_was_lent_lent() -> None:
    """The end of one told the own part back for as long as nobody said otherwise."""
    driver = proxy(0)
    driver.now_us += 5_000_000
    share(driver, driver.now_us + 2_000_000, 2.0, driver.now_us + 800_000)
    driver.now_us += 700_000
    assert spend(driver, 5) > 0
    driver.now_us += 100_000
    for _ in range(11):
        assert spend(driver, 5) == 0
        driver.now_us += 100_000
    driver.now_us += 400_000
    assert spend(driver, 5) > 0


def test_what_was_lent_comes_back_empty_and_what_is_granted_brings_no_burst() -> None:
    driver = proxy(0)
    driver.now_us += 5_000_000
    share(driver, driver.now_us + 2_000_000)
    assert spend(driver, 5) == 0
    driver.now_us += 2_000_000
    assert spend(driver, 5) <= 1  # its bucket was full when it was lent
    other = proxy(1)
    other.now_us += 5_000_000
    spend(other, 50)
    share(other, 0, 3.0, other.now_us + 1_000_000)
    assert spend(other, 50) == 0


def test_a_quota_of_another_start_or_of_a_server_that_is_not_there_changes_nothing() -> None:
    driver = proxy(0)
    driver.handle(SlowStartQuota(SERVER, 7, driver.now_us + 1_000_000))
    driver.handle(SlowStartQuota(99, 7, driver.now_us + 1_000_000))
    share(driver, driver.now_us, 9.0, driver.now_us)  # over already
    assert driver.balancer.endpoints.by_server[SERVER].slow_start.quotas_at(driver.now_us) == 1.0


def test_no_warming_server_is_used_while_a_process_before_may_have_lent_its_quota() -> None:
    driver = proxy(0)
    driver.now_us += 5_000_000
    driver.handle(SlowStartQuota(-1, 0, driver.now_us + 2_000_000))
    assert spend(driver, 5) == 0
    driver.now_us += 2_000_000
    assert spend(driver, 5) > 0


def test_slow_start_demands_are_told() -> None:
    driver = proxy(0)
    started_us = driver.now_us
    driver.now_us += 5_000_000
    assert driver.balancer.slow_start_demands(driver.now_us) == [(SERVER, started_us, False, True)]
    spend(driver, 50)
    assert driver.balancer.slow_start_demands(driver.now_us) == [(SERVER, started_us, True, False)]
    driver.now_us += 3_000_000
    assert driver.balancer.slow_start_demands(driver.now_us) == [(SERVER, started_us, False, True)]


@pytest.mark.parametrize("seed", range(6))
def test_however_quotas_move_no_window_sees_more_than_all_of_them(seed: int) -> None:
    """Twenty proxies, all of whose parts go round and round: those that have them spend all they can."""
    dice = random.Random(seed)
    drivers = [proxy(number) for number in range(PROXIES)]
    step_us, window = 20_000, 50
    sent_us = [0] * 500
    lent_us, granted_us, granted = [0] * PROXIES, [0] * PROXIES, [0.0] * PROXIES
    for step in range(len(sent_us)):
        now_us = drivers[0].now_us + step_us
        for driver in drivers:
            driver.now_us = now_us
        if step % 10 == 0:
            free = [n for n in range(PROXIES) if now_us >= max(lent_us[n], granted_us[n])]
            lenders = dice.sample(free, min(len(free), dice.randint(0, 12)))
            takers = [n for n in range(PROXIES) if now_us >= granted_us[n]]  # of those that have lent theirs too
            if lenders and takers:
                taker = dice.choice(takers)
                for number in lenders:
                    lent_us[number] = now_us + 2_000_000
                granted[taker], granted_us[taker] = float(len(lenders)), now_us + 800_000
                for number in {*lenders, taker}:
                    share(drivers[number], lent_us[number], granted[number], granted_us[number])
        for number in dice.sample(range(PROXIES), 10):
            sent_us[step] += spend(drivers[number], 4) * WORK_US
    most_us = max(sum(sent_us[n : n + window]) for n in range(len(sent_us) - window))
    assert 0.2 * LIMIT_US < most_us <= 0.9 * LIMIT_US + 2 * WORK_US
