"""How latency follows the size of a request; and a cold server in front of more than it can do."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.balancing.balancer import Balancer
from cloverkeel.balancing.concurrency_limit import INITIAL_LIMIT
from cloverkeel.balancing.latency_model import LatencyBySize, MIN_SIZE_FACTOR
from cloverkeel.balancing.actions import Send
from cloverkeel.balancing.events import AttemptEnded, ListKind, ListedServer, Outcome, RequestArrived, ServerList
from cloverkeel.balancing.settings import RequestClass, Settings

from tests.helpers import Driver, sends

WAITS_US, WORK_US = 40_000, 50_000  # of an answer: what is the same for all, and what follows the size
CLASS = RequestClass(objective_us=600_000, client_timeout_us=1_500_000)


def sizes(rng: random.Random) -> float:
    """Most are small, a few are large; the mean is 1."""
    return rng.lognormvariate(-0.5, 1.0)


def test_the_line_is_found_in_spite_of_waits_and_of_rough_hints() -> None:
    rng, span = random.Random(1), LatencyBySize()
    for _ in range(1500):
        size = sizes(rng)
        waited = rng.expovariate(1 / 10_000)
        span.record(size * rng.uniform(0.9, 1.1), int(WAITS_US + WORK_US * size + waited))
    mean_us = WAITS_US + WORK_US + 10_000
    for size in (0.1, 0.5, 1.0, 2.0, 4.0):
        expected = (WAITS_US + 10_000 + WORK_US * size) / mean_us
        assert span.factor(size) == pytest.approx(expected, rel=0.25), size


@pytest.mark.parametrize(("waits_us", "work_us", "least", "most"), [(0, 50_000, 0.9, 1.0), (50_000, 0, 0.0, 0.1)])
def test_latency_that_is_all_work_or_none_of_it(waits_us: int, work_us: int, least: float, most: float) -> None:
    rng, span = random.Random(2), LatencyBySize()
    for _ in range(1000):
        size = sizes(rng)
        span.record(size, int(waits_us + work_us * size))
    assert least <= span.slope <= most


@given(st.lists(st.tuples(st.floats(0, 1e6), st.integers(0, 10**9)), max_size=60), st.floats(0, 1e6))
def test_whatever_is_learnt_a_factor_is_a_positive_number(seen: list[tuple[float, int]], size: float) -> None:
    span = LatencyBySize()
    for told, latency_us in seen:
        span.record(told, latency_us)
    assert MIN_SIZE_FACTOR <= span.factor(size) <= max(1.0, size) + 1e-6
    assert span.factor(size) <= span.factor(size + 1.0)


def served(driver: Driver, work_us: int, latency_us: int) -> None:
    driver.balancer.load_shedder.low_priority_ratio = driver.balancer.load_shedder.high_priority_ratio = 0.0
    name, actions = driver.arrive(work_us=work_us, client_timeout_us=1_500_000)
    driver.now_us += 5_000
    for send in sends(actions):
        driver.end(name, send.server, latency_us=latency_us)


def test_requests_of_next_to_no_work_do_not_make_the_usual_latency() -> None:
    """Each was held for fifty times as long as it took: the usual latency of one class came to 2.8 s."""
    driver, rng = Driver(Settings(classes=(CLASS,))), random.Random(3)
    for _ in range(600):
        size = 0.02 if rng.random() < 0.3 else 1.4
        served(driver, int(size * WORK_US), int(WAITS_US + size * WORK_US))
    assert driver.balancer.latency.smoothed_us[0] < 1.5 * (WAITS_US + WORK_US)


def test_a_server_that_is_sent_small_requests_keeps_its_concurrency_limit() -> None:
    """A cold server gets no long ones: its answers of 25 ms passed for slow, and it had two at once at the most."""
    driver, rng = Driver(Settings(classes=(CLASS,)), servers=1), random.Random(4)
    for _ in range(400):
        size = sizes(rng)
        served(driver, int(size * WORK_US), int(WAITS_US + size * WORK_US))
    for _ in range(100):
        served(driver, WORK_US // 4, WAITS_US + WORK_US // 4)
    assert driver.balancer.endpoints.by_server[0].concurrency.limit == INITIAL_LIMIT


# What a cold server may be sent


class Box:
    """A server of some cores that begins with part of them: first come, first served."""

    def __init__(self, cores: float, begin_us: int, warm_us: int) -> None:
        self.cores, self.begin_us, self.warm_us = cores, begin_us, warm_us
        self.free_us = float(begin_us)

    def can(self, at_us: float) -> float:
        return self.cores * min(1.0, 0.3 + 0.7 * (at_us - self.begin_us) / self.warm_us)

    def takes(self, at_us: int, work_us: int) -> int:
        self.free_us = max(self.free_us, at_us) + work_us / self.can(at_us)
        return max(work_us, int(self.free_us - at_us))


def sent_to_the_cold(gateways: int, cores: float, seed: int, work_us: int = 20_000) -> tuple[list[float], Box]:
    """Work sent to a cold server in each tenth of a second, by gateways that have far more than it can do."""
    begin_us, warm_us = 100_000_000, 8_000_000
    settings = Settings(
        classes=(CLASS,), proxies=gateways, start_capacity=0.3, slow_start_us=warm_us, collapse_multiple=3.0,
        collapse_window_us=1_000_000,
    )  # fmt: skip
    rng, box = random.Random(seed), Box(cores, begin_us, warm_us)
    fleet = [Balancer(replace(settings, proxy=n), seed * 100 + n) for n in range(gateways)]
    for balancer in fleet:
        balancer.handle(begin_us, ServerList(ListKind.FULL, (ListedServer(9, started_us=begin_us),)))
    every_us = int(work_us / (4 * cores))  # four times what it can do when warm
    sent = [0.0] * 60
    out: deque[tuple[int, int, AttemptEnded]] = deque()
    for number in range(6_000_000 // every_us):
        at_us, gateway = begin_us + number * every_us, rng.randrange(gateways)
        while out and out[0][0] <= at_us:
            over_us, whose, ended = out.popleft()
            fleet[whose].handle(over_us, ended)
        event = RequestArrived(str(number), 0, 1_500_000, work_us=work_us)
        for action in fleet[gateway].handle(at_us, event):
            if isinstance(action, Send):
                sent[(at_us - begin_us) // 100_000] += work_us
                took_us = box.takes(at_us, work_us)
                ended = AttemptEnded(str(number), 0, 9, Outcome.OK, took_us, finished=True)
                out.append((at_us + took_us, gateway, ended))
    return sent, box


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("cores", [1.0, 2.0, 4.0])
@pytest.mark.parametrize("gateways", [1, 2, 8])
def test_in_no_second_is_it_sent_three_times_what_it_can_do(gateways: int, cores: float, seed: int) -> None:
    sent, box = sent_to_the_cold(gateways, cores, seed)
    for tenth in range(len(sent) - 9):
        can_us = 1e6 * box.can(box.begin_us + tenth * 100_000)
        assert sum(sent[tenth : tenth + 10]) < 3.0 * can_us, tenth
