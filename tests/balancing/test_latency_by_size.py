"""The model of latency over request size, and the work sent to a warming server under overload."""

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

from tests.helpers import Driver, send_actions

WAIT_US, WORK_US = 40_000, 50_000  # parts of a latency: independent of the size, and proportional to it
CLASS = RequestClass(objective_us=600_000, client_timeout_us=1_500_000)


def draw_size(rng: random.Random) -> float:
    """Draw a size from a distribution with many small and a few large ones; the mean is 1."""
    return rng.lognormvariate(-0.5, 1.0)


def test_the_line_is_fitted_despite_waits_and_inexact_sizes() -> None:
    rng, model = random.Random(1), LatencyBySize()
    for _ in range(1500):
        size = draw_size(rng)
        wait_us = rng.expovariate(1 / 10_000)
        model.record(size * rng.uniform(0.9, 1.1), int(WAIT_US + WORK_US * size + wait_us))
    mean_us = WAIT_US + WORK_US + 10_000
    for size in (0.1, 0.5, 1.0, 2.0, 4.0):
        expected = (WAIT_US + 10_000 + WORK_US * size) / mean_us
        assert model.factor(size) == pytest.approx(expected, rel=0.25), size


@pytest.mark.parametrize(
    ("waits_us", "work_us", "min_slope", "max_slope"), [(0, 50_000, 0.9, 1.0), (50_000, 0, 0.0, 0.1)]
)
def test_slope_if_latency_is_proportional_to_size_or_independent_of_it(
    waits_us: int, work_us: int, min_slope: float, max_slope: float
) -> None:
    rng, model = random.Random(2), LatencyBySize()
    for _ in range(1000):
        size = draw_size(rng)
        model.record(size, int(waits_us + work_us * size))
    assert min_slope <= model.slope <= max_slope


@given(st.lists(st.tuples(st.floats(0, 1e6), st.integers(0, 10**9)), max_size=60), st.floats(0, 1e6))
def test_the_factor_is_positive_and_bounded_for_any_recorded_answers(
    answers: list[tuple[float, int]], size: float
) -> None:
    model = LatencyBySize()
    for recorded_size, latency_us in answers:
        model.record(recorded_size, latency_us)
    assert MIN_SIZE_FACTOR <= model.factor(size) <= max(1.0, size) + 1e-6
    assert model.factor(size) <= model.factor(size + 1.0)


def serve_request(driver: Driver, work_us: int, latency_us: int) -> None:
    driver.balancer.load_shedder.low_priority_ratio = driver.balancer.load_shedder.high_priority_ratio = 0.0
    name, actions = driver.start_request(work_us=work_us, client_timeout_us=1_500_000)
    driver.now_us += 5_000
    for send in send_actions(actions):
        driver.end_attempt(name, send.server, latency_us=latency_us)


def test_requests_of_almost_no_work_do_not_distort_the_smoothed_latency() -> None:
    """Latency divided by size rated these answers as fifty times slower; a class's smoothed latency reached 2.8 s."""
    driver, rng = Driver(Settings(classes=(CLASS,))), random.Random(3)
    for _ in range(600):
        size = 0.02 if rng.random() < 0.3 else 1.4
        serve_request(driver, int(size * WORK_US), int(WAIT_US + size * WORK_US))
    assert driver.balancer.latency.smoothed_us[0] < 1.5 * (WAIT_US + WORK_US)


def test_a_server_that_gets_only_small_requests_keeps_its_concurrency_limit() -> None:
    """A warming server gets no long requests: its answers of 25 ms were rated as slow, and its limit fell to two."""
    driver, rng = Driver(Settings(classes=(CLASS,)), servers=1), random.Random(4)
    for _ in range(400):
        size = draw_size(rng)
        serve_request(driver, int(size * WORK_US), int(WAIT_US + size * WORK_US))
    for _ in range(100):
        serve_request(driver, WORK_US // 4, WAIT_US + WORK_US // 4)
    assert driver.balancer.endpoints.by_server[0].concurrency.limit == INITIAL_LIMIT


# Work sent to a warming server


class WarmingServer:
    """A first-come, first-served server that starts at 0.3 of the capacity of its cores."""

    def __init__(self, cores: float, started_us: int, warm_up_us: int) -> None:
        self.cores, self.started_us, self.warm_up_us = cores, started_us, warm_up_us
        self.free_us = float(started_us)

    def capacity_at(self, at_us: float) -> float:
        return self.cores * min(1.0, 0.3 + 0.7 * (at_us - self.started_us) / self.warm_up_us)

    def serve_us(self, at_us: int, work_us: int) -> int:
        self.free_us = max(self.free_us, at_us) + work_us / self.capacity_at(at_us)
        return max(work_us, int(self.free_us - at_us))


def work_sent_to_warming_server(
    gateways: int, cores: float, seed: int, work_us: int = 20_000
) -> tuple[list[float], WarmingServer]:
    """Return the work sent to a warming server in each 100 ms, by gateways with far more load than its capacity."""
    started_us, warm_up_us = 100_000_000, 8_000_000
    settings = Settings(
        classes=(CLASS,), proxies=gateways, start_capacity=0.3, slow_start_us=warm_up_us, collapse_multiple=3.0,
        collapse_window_us=1_000_000,
    )  # fmt: skip
    rng, server = random.Random(seed), WarmingServer(cores, started_us, warm_up_us)
    fleet = [Balancer(replace(settings, proxy=n), seed * 100 + n) for n in range(gateways)]
    for balancer in fleet:
        balancer.handle(started_us, ServerList(ListKind.FULL, (ListedServer(9, started_us=started_us),)))
    interval_us = int(work_us / (4 * cores))  # four times the capacity of the warm server
    sent = [0.0] * 60
    in_flight: deque[tuple[int, int, AttemptEnded]] = deque()
    for number in range(6_000_000 // interval_us):
        at_us, gateway = started_us + number * interval_us, rng.randrange(gateways)
        while in_flight and in_flight[0][0] <= at_us:
            ends_at_us, owner, ended = in_flight.popleft()
            fleet[owner].handle(ends_at_us, ended)
        event = RequestArrived(str(number), 0, 1_500_000, work_us=work_us)
        for action in fleet[gateway].handle(at_us, event):
            if isinstance(action, Send):
                sent[(at_us - started_us) // 100_000] += work_us
                answer_us = server.serve_us(at_us, work_us)
                ended = AttemptEnded(str(number), 0, 9, Outcome.OK, answer_us, finished=True)
                in_flight.append((at_us + answer_us, gateway, ended))
    return sent, server


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("cores", [1.0, 2.0, 4.0])
@pytest.mark.parametrize("gateways", [1, 2, 8])
def test_a_warming_server_is_never_sent_its_collapse_multiple_within_one_second(
    gateways: int, cores: float, seed: int
) -> None:
    sent, server = work_sent_to_warming_server(gateways, cores, seed)
    for slot in range(len(sent) - 9):
        capacity_us = 1e6 * server.capacity_at(server.started_us + slot * 100_000)
        assert sum(sent[slot : slot + 10]) < 3.0 * capacity_us, slot
