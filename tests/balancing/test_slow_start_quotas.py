"""Quotas of a warming server's budget that move between proxies: no quota is spent twice within a window."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from cloverkeel.balancing.events import ListedServer, SlowStartQuota
from cloverkeel.balancing.settings import Settings
from tests.helpers import SAFE, Driver, send_actions

SERVER, PROXIES = 1, 20
SETTINGS = Settings(
    classes=(SAFE,), start_capacity=0.6, slow_start_us=100_000_000, collapse_multiple=3.0,
    collapse_window_us=1_000_000, proxies=PROXIES,
)  # fmt: skip
BUDGET_US = 3.0 * 0.6 * 1_000_000  # budget of a server of one core in a collapse window
WORK_US = 8_000


def proxy(number: int) -> Driver:
    driver = Driver(replace(SETTINGS, proxy=number), servers=0, seed=number)
    driver.list_servers(ListedServer(SERVER, started_us=driver.now_us))
    return driver


def send_requests(driver: Driver, requests: int) -> int:
    """Submit requests all at once; return how many are sent."""
    sent = 0
    for _ in range(requests):
        name, actions = driver.start_request(work_us=WORK_US)
        if send_actions(actions):
            sent += 1
            driver.end_attempt(name, SERVER, latency_us=30_000)
    return sent


def set_quota(driver: Driver, lent_us: int = 0, granted: float = 0.0, granted_us: int = 0) -> None:
    started_us = driver.balancer.endpoints.by_server[SERVER].entry.started_us
    driver.handle(SlowStartQuota(SERVER, started_us, lent_us, granted, granted_us))


def sent_in_three_seconds(is_lent: bool, granted: float) -> int:
    """Return the number of requests sent in three seconds by one proxy that receives far more."""
    driver, sent = proxy(0), 0
    driver.now_us += 5_000_000
    send_requests(driver, 20)
    end_us = driver.now_us + 10_000_000
    set_quota(driver, end_us if is_lent else 0, granted, end_us)
    for _ in range(300):
        driver.now_us += 10_000
        sent += send_requests(driver, 2)
    return sent


def test_requests_sent_follow_the_number_of_quotas_held() -> None:
    own_quota_sent = sent_in_three_seconds(False, 0.0)
    assert own_quota_sent > 8 and abs(sent_in_three_seconds(True, 1.0) - own_quota_sent) <= 1
    assert sent_in_three_seconds(True, 0.0) == 0
    assert 2.4 * own_quota_sent < sent_in_three_seconds(False, 2.0) < 3.2 * own_quota_sent


def test_a_lent_quota_stays_lent_when_a_grant_ends() -> None:
    """Regression: the end of a grant also returned the proxy's own quota while it was still lent."""
    driver = proxy(0)
    driver.now_us += 5_000_000
    set_quota(driver, driver.now_us + 2_000_000, 2.0, driver.now_us + 800_000)
    driver.now_us += 700_000
    assert send_requests(driver, 5) > 0
    driver.now_us += 100_000
    for _ in range(11):
        assert send_requests(driver, 5) == 0
        driver.now_us += 100_000
    driver.now_us += 400_000
    assert send_requests(driver, 5) > 0


def test_returned_and_granted_quotas_allow_no_burst() -> None:
    driver = proxy(0)
    driver.now_us += 5_000_000
    set_quota(driver, driver.now_us + 2_000_000)
    assert send_requests(driver, 5) == 0
    driver.now_us += 2_000_000
    assert send_requests(driver, 5) <= 1  # the bucket is full when the quota returns
    borrower_proxy = proxy(1)
    borrower_proxy.now_us += 5_000_000
    send_requests(borrower_proxy, 50)
    set_quota(borrower_proxy, 0, 3.0, borrower_proxy.now_us + 1_000_000)
    assert send_requests(borrower_proxy, 50) == 0


def test_a_quota_for_another_process_or_an_unknown_server_is_ignored() -> None:
    driver = proxy(0)
    driver.handle(SlowStartQuota(SERVER, 7, driver.now_us + 1_000_000))
    driver.handle(SlowStartQuota(99, 7, driver.now_us + 1_000_000))
    set_quota(driver, driver.now_us, 9.0, driver.now_us)  # already expired
    assert driver.balancer.endpoints.by_server[SERVER].slow_start.quotas_at(driver.now_us) == 1.0


def test_no_warming_server_is_used_while_an_earlier_process_may_have_lent_its_quota() -> None:
    driver = proxy(0)
    driver.now_us += 5_000_000
    driver.handle(SlowStartQuota(-1, 0, driver.now_us + 2_000_000))
    assert send_requests(driver, 5) == 0
    driver.now_us += 2_000_000
    assert send_requests(driver, 5) > 0


def test_slow_start_demands_are_returned() -> None:
    driver = proxy(0)
    started_us = driver.now_us
    driver.now_us += 5_000_000
    assert driver.balancer.slow_start_demands(driver.now_us) == [(SERVER, started_us, False, True)]
    send_requests(driver, 50)
    assert driver.balancer.slow_start_demands(driver.now_us) == [(SERVER, started_us, True, False)]
    driver.now_us += 3_000_000
    assert driver.balancer.slow_start_demands(driver.now_us) == [(SERVER, started_us, False, True)]


@pytest.mark.parametrize("seed", range(6))
def test_no_window_exceeds_the_budget_while_quotas_move_between_proxies(seed: int) -> None:
    """Twenty proxies lend and grant quotas at random; each proxy spends all that its quotas allow."""
    rng = random.Random(seed)
    drivers = [proxy(number) for number in range(PROXIES)]
    step_us, window = 20_000, 50
    sent_us = [0] * 500
    lent_us, granted_us, granted = [0] * PROXIES, [0] * PROXIES, [0.0] * PROXIES
    for step in range(len(sent_us)):
        now_us = drivers[0].now_us + step_us
        for driver in drivers:
            driver.now_us = now_us
        if step % 10 == 0:
            lendable = [n for n in range(PROXIES) if now_us >= max(lent_us[n], granted_us[n])]
            lenders = rng.sample(lendable, min(len(lendable), rng.randint(0, 12)))
            # Proxies that have lent their own quota may borrow too.
            borrowers = [n for n in range(PROXIES) if now_us >= granted_us[n]]
            if lenders and borrowers:
                borrower = rng.choice(borrowers)
                for number in lenders:
                    lent_us[number] = now_us + 2_000_000
                granted[borrower], granted_us[borrower] = float(len(lenders)), now_us + 800_000
                for number in {*lenders, borrower}:
                    set_quota(drivers[number], lent_us[number], granted[number], granted_us[number])
        for number in rng.sample(range(PROXIES), 10):
            sent_us[step] += send_requests(drivers[number], 4) * WORK_US
    max_window_us = max(sum(sent_us[n : n + window]) for n in range(len(sent_us) - window))
    assert 0.2 * BUDGET_US < max_window_us <= 0.9 * BUDGET_US + 2 * WORK_US
