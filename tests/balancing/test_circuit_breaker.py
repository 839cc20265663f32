"""State transitions of the circuit breaker, and the weight controller."""

import random

import pytest

from tests.helpers import Driver, send_actions, trip_breaker
from cloverkeel.balancing.events import ListKind, ListedServer, Outcome, RequestGone
from cloverkeel.balancing.load_shedding import SHED_STEP
from cloverkeel.balancing.subset import MIN_SUBSET_SIZE
from cloverkeel.balancing.weight_controller import MAX_WEIGHT, MIN_WEIGHT, WEIGHT_CUT, WEIGHT_STEP
from cloverkeel.balancing.retry_budget import ERROR_RETRY_COST, RETRY_RATIO
from cloverkeel.balancing.circuit_breaker import (
    BreakerState,
    CircuitBreaker,
    HALF_OPEN_PROBES,
    INITIAL_COOLDOWN_US,
    MAX_OUTCOMES,
    MIN_OUTCOMES,
)


def open_breaker() -> CircuitBreaker:
    breaker = CircuitBreaker()
    trip_breaker(breaker, 0)
    return breaker


def half_open_breaker() -> CircuitBreaker:
    breaker = open_breaker()
    assert breaker.can_admit(INITIAL_COOLDOWN_US)
    return breaker


def test_breaker_stays_closed_below_the_minimum_number_of_outcomes() -> None:
    breaker = CircuitBreaker()
    for _ in range(MIN_OUTCOMES - 1):
        assert breaker.record_outcome(0, True, 0, 0.0) is None
    assert breaker.state is BreakerState.CLOSED
    assert breaker.record_outcome(0, True, 0, 0.0) is BreakerState.OPEN


def test_the_oldest_outcome_is_dropped() -> None:
    breaker = CircuitBreaker()
    breaker.record_outcome(0, True, 0, 0.0)
    for _ in range(MAX_OUTCOMES):
        breaker.record_outcome(0, False, 0, 0.0)
    assert breaker.failures == 0 and len(breaker.outcomes) == MAX_OUTCOMES


def test_an_open_breaker_admits_nothing_until_the_cooldown_ends() -> None:
    breaker = open_breaker()
    assert not breaker.can_admit(INITIAL_COOLDOWN_US - 1)
    assert breaker.can_admit(INITIAL_COOLDOWN_US)
    assert breaker.state is BreakerState.HALF_OPEN


def test_a_half_open_breaker_admits_a_limited_number_of_probes() -> None:
    breaker = half_open_breaker()
    for _ in range(HALF_OPEN_PROBES):
        assert breaker.can_admit(INITIAL_COOLDOWN_US)
        assert breaker.start_probe() == 1
    assert not breaker.can_admit(INITIAL_COOLDOWN_US)


def test_good_probes_close_the_breaker_and_clear_its_outcomes() -> None:
    breaker = half_open_breaker()
    for _ in range(HALF_OPEN_PROBES):
        breaker.start_probe()
    results = [breaker.record_outcome(INITIAL_COOLDOWN_US, False, 1, 0.0) for _ in range(HALF_OPEN_PROBES)]
    assert results[-1] is BreakerState.CLOSED
    assert not breaker.outcomes and breaker.failures == 0


def test_failed_probes_reopen_the_breaker_for_longer() -> None:
    breaker = half_open_breaker()
    for _ in range(HALF_OPEN_PROBES):
        breaker.start_probe()
    breaker.record_outcome(INITIAL_COOLDOWN_US, True, 1, 0.0)
    assert breaker.record_outcome(INITIAL_COOLDOWN_US, True, 1, 0.0) is BreakerState.OPEN
    assert breaker.open_until_us == 3 * INITIAL_COOLDOWN_US


def test_only_probes_count_while_half_open() -> None:
    breaker = half_open_breaker()
    breaker.start_probe()
    for _ in range(MAX_OUTCOMES):
        assert breaker.record_outcome(INITIAL_COOLDOWN_US, True, 0, 0.0) is None
    assert breaker.state is BreakerState.HALF_OPEN and breaker.probes_in_flight == 1


def test_a_failure_while_open_restarts_the_cooldown() -> None:
    breaker = open_breaker()
    assert breaker.record_outcome(INITIAL_COOLDOWN_US // 2, True, 0, 0.0) is BreakerState.OPEN
    assert breaker.open_until_us == INITIAL_COOLDOWN_US // 2 + INITIAL_COOLDOWN_US


def test_failures_common_to_all_servers_open_no_breaker() -> None:
    breaker = CircuitBreaker()
    for n in range(MAX_OUTCOMES):
        breaker.record_outcome(0, n % 2 == 0, 0, 0.5)
    assert breaker.state is BreakerState.CLOSED


def test_the_breaker_of_a_failing_server_opens_and_it_gets_no_requests() -> None:
    driver = Driver(servers=3)
    for _ in range(200):
        name, actions = driver.start_request()
        server = send_actions(actions)[0].server
        actions = driver.end_attempt(name, server, Outcome.RESET if server == 0 else Outcome.OK)
        for retry in send_actions(actions):
            driver.end_attempt(name, retry.server, attempt=1)
    assert driver.balancer.endpoints.by_server[0].breaker.state is BreakerState.OPEN
    for _ in range(50):
        name, actions = driver.start_request()
        assert send_actions(actions)[0].server != 0
        driver.end_attempt(name, send_actions(actions)[0].server)


def test_weight_rises_after_good_answers_and_is_cut_after_failures() -> None:
    driver = Driver(servers=1)
    server = driver.balancer.endpoints.by_server[0]
    server.weight = 0.5
    name, _ = driver.start_request()
    driver.end_attempt(name, 0)
    assert server.weight == 0.5 + WEIGHT_STEP
    name, _ = driver.start_request(class_index=2)
    driver.end_attempt(name, 0, Outcome.RESET)
    assert server.weight == (0.5 + WEIGHT_STEP) * WEIGHT_CUT
    name, _ = driver.start_request(class_index=2)
    driver.end_attempt(name, 0, Outcome.ERROR)  # counts for this class only: the other class's last answer was good
    assert (
        server.weight == (0.5 + WEIGHT_STEP) * WEIGHT_CUT and server.class_health(2).weight == MAX_WEIGHT * WEIGHT_CUT
    )


def test_an_answer_slower_than_twice_the_smoothed_latency_cuts_the_weight() -> None:
    driver = Driver(servers=1)
    server = driver.balancer.endpoints.by_server[0]
    name, _ = driver.start_request()
    driver.end_attempt(name, 0, latency_us=int(driver.balancer.latency.smoothed_us[0] * 2.2))
    assert server.weight == MAX_WEIGHT * WEIGHT_CUT


def test_weight_stays_between_its_bounds() -> None:
    driver = Driver(servers=1)
    server = driver.balancer.endpoints.by_server[0]
    for _ in range(40):
        driver.balancer.endpoints.adjust_weight(server, True)
    assert server.weight == MIN_WEIGHT
    for _ in range(400):
        driver.balancer.endpoints.adjust_weight(server, False)
    assert server.weight == MAX_WEIGHT


def test_a_new_server_starts_at_the_mean_weight() -> None:
    driver = Driver(servers=2)
    for server, cuts in ((0, 3), (1, 1)):  # through the endpoints, which maintain the sum of weights
        for _ in range(cuts):
            driver.balancer.endpoints.adjust_weight(driver.balancer.endpoints.by_server[server], is_bad=True)
    driver.list_servers(ListedServer(9), kind=ListKind.DELTA)
    assert driver.balancer.endpoints.by_server[9].weight == pytest.approx((WEIGHT_CUT**3 + WEIGHT_CUT) / 2, rel=1e-12)


def test_a_server_has_its_old_weight_after_its_breaker_has_closed() -> None:
    driver = Driver(servers=1)
    server = driver.balancer.endpoints.by_server[0]
    for _ in range(MIN_OUTCOMES):
        name, actions = driver.start_request(class_index=2)
        assert send_actions(actions)
        driver.end_attempt(name, 0, Outcome.RESET)
    assert server.breaker.state is BreakerState.OPEN
    weight = server.weight
    driver.now_us += INITIAL_COOLDOWN_US
    for _ in range(HALF_OPEN_PROBES):
        name, actions = driver.start_request()
        assert send_actions(actions)
        driver.end_attempt(name, 0)
    assert server.breaker.state.value == "closed"
    assert server.weight == max(MIN_WEIGHT, weight)


def test_a_failed_connect_of_a_probe_reopens_the_breaker_at_once_for_longer() -> None:
    """Guards against two more requests to a full connection table after each cooldown."""
    driver = Driver(servers=1)
    name, _ = driver.start_request()
    driver.end_attempt(name, 0, Outcome.CONNECT_FAILED)
    breaker = driver.balancer.endpoints.by_server[0].breaker
    driver.now_us = breaker.open_until_us
    name, actions = driver.start_request()
    assert send_actions(actions) and breaker.state is BreakerState.HALF_OPEN
    driver.end_attempt(name, 0, Outcome.CONNECT_FAILED)
    assert breaker.state.value == "open"
    assert breaker.open_until_us == driver.now_us + 2 * INITIAL_COOLDOWN_US


def simulate_common_failures(failure_ratio: float, seed: int, dead_server: int | None = None) -> tuple[float, Driver]:
    """Simulate ten servers that fail attempts at random with the same ratio, and optionally a dead one.

    Return the mean ratio of open breakers, and the driver.
    """
    driver, rng, open_breakers, count = Driver(servers=10, seed=seed), random.Random(seed), 0, 3000
    for number in range(count):
        driver.now_us += 3_000
        name, actions = driver.start_request(class_index=number % 3, client_timeout_us=1_000_000)
        attempt = 0
        while sent := send_actions(actions):
            driver.now_us += 1_000
            failed = rng.random() < failure_ratio or sent[0].server == dead_server
            outcome = Outcome.RESET if failed else Outcome.OK
            actions = driver.end_attempt(name, sent[0].server, outcome, attempt=attempt)
            attempt += 1
        open_breakers += sum(
            s.breaker.state is BreakerState.OPEN for s in driver.balancer.endpoints.by_server.values()
        )
    return open_breakers / count / 10, driver


def test_common_failures_open_few_breakers_and_a_dead_server_is_still_detected() -> None:
    """Guards against resets that hit all servers alike: they opened breakers in turn, which overloaded the rest."""
    assert sum(simulate_common_failures(0.35, seed)[0] for seed in range(4)) / 4 < 0.12
    _, driver = simulate_common_failures(0.25, seed=1, dead_server=3)
    states = {number: server.breaker.state for number, server in driver.balancer.endpoints.by_server.items()}
    assert states[3] is not BreakerState.CLOSED
    assert sum(state is not BreakerState.CLOSED for state in states.values()) <= 2


def test_an_unsafe_request_is_sent_to_a_closed_server_beyond_the_subset() -> None:
    """Half-open servers, which an unsafe request must not probe, took the places of usable ones in the subset."""
    driver = Driver(servers=10)
    for server in driver.balancer.endpoints.ranked[:MIN_SUBSET_SIZE]:
        server.breaker.open(driver.now_us)
    driver.now_us += INITIAL_COOLDOWN_US
    _, actions = driver.start_request(class_index=2, client_timeout_us=1_000_000)
    assert send_actions(actions)


def test_a_retry_after_a_reset_costs_less_and_is_sent_while_little_is_shed() -> None:
    driver = Driver(servers=10)
    driver.balancer.retry_budget.tokens, driver.balancer.load_shedder.low_priority_ratio = (
        ERROR_RETRY_COST - RETRY_RATIO,
        SHED_STEP,
    )
    driver.balancer.rng.seed(1)
    name, actions = driver.start_request(class_index=1, client_timeout_us=800_000)
    retries = send_actions(driver.end_attempt(name, send_actions(actions)[0].server, Outcome.RESET))
    assert retries and driver.balancer.retry_budget.tokens == 0
    assert not send_actions(driver.end_attempt(name, retries[0].server, Outcome.RESET, attempt=1))


def test_a_server_that_never_answers_one_class_is_avoided_for_that_class_only() -> None:
    """Good answers to other classes kept the breaker closed; requests of this class waited past their objective."""
    driver = Driver(servers=3)
    timed_out = 0
    for number in range(2000):
        driver.now_us += 3_000
        class_index = int(number % 4 == 1)
        driver.balancer.load_shedder.low_priority_ratio = driver.balancer.load_shedder.high_priority_ratio = 0.0
        name, actions = driver.start_request(class_index=class_index, client_timeout_us=400_000)
        (sent,) = send_actions(actions)
        if sent.server == 2 and class_index == 1:
            timed_out += 1
            driver.now_us += 150_000
            driver.end_attempt(name, 2, Outcome.TIMEOUT, latency_us=150_000)
            driver.handle(RequestGone(name))
        else:
            driver.end_attempt(name, sent.server)
    assert timed_out <= 12
