"""The breaker's cycle and the weight controller, by example."""

import random

import pytest

from tests.helpers import Driver, sends, trip
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


def tripped() -> CircuitBreaker:
    breaker = CircuitBreaker()
    trip(breaker, 0)
    return breaker


def half_open() -> CircuitBreaker:
    breaker = tripped()
    assert breaker.can_admit(INITIAL_COOLDOWN_US)
    return breaker


def test_no_verdict_below_the_minimum() -> None:
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


def test_an_open_server_gets_nothing_until_the_cooldown_ends() -> None:
    breaker = tripped()
    assert not breaker.can_admit(INITIAL_COOLDOWN_US - 1)
    assert breaker.can_admit(INITIAL_COOLDOWN_US)
    assert breaker.state is BreakerState.HALF_OPEN


def test_half_open_admits_no_more_than_its_probes() -> None:
    breaker = half_open()
    for _ in range(HALF_OPEN_PROBES):
        assert breaker.can_admit(INITIAL_COOLDOWN_US)
        assert breaker.start_probe() == 1
    assert not breaker.can_admit(INITIAL_COOLDOWN_US)


def test_good_probes_close_the_breaker_and_drop_its_outcomes() -> None:
    breaker = half_open()
    for _ in range(HALF_OPEN_PROBES):
        breaker.start_probe()
    results = [breaker.record_outcome(INITIAL_COOLDOWN_US, False, 1, 0.0) for _ in range(HALF_OPEN_PROBES)]
    assert results[-1] is BreakerState.CLOSED
    assert not breaker.outcomes and breaker.failures == 0


def test_bad_probes_reopen_for_longer() -> None:
    breaker = half_open()
    for _ in range(HALF_OPEN_PROBES):
        breaker.start_probe()
    breaker.record_outcome(INITIAL_COOLDOWN_US, True, 1, 0.0)
    assert breaker.record_outcome(INITIAL_COOLDOWN_US, True, 1, 0.0) is BreakerState.OPEN
    assert breaker.open_until_us == 3 * INITIAL_COOLDOWN_US


def test_in_half_open_only_probes_count() -> None:
    breaker = half_open()
    breaker.start_probe()
    for _ in range(MAX_OUTCOMES):
        assert breaker.record_outcome(INITIAL_COOLDOWN_US, True, 0, 0.0) is None
    assert breaker.state is BreakerState.HALF_OPEN and breaker.probes_in_flight == 1


def test_late_outcomes_are_counted_and_restart_the_cooldown() -> None:
    breaker = tripped()
    assert breaker.record_outcome(INITIAL_COOLDOWN_US // 2, True, 0, 0.0) is BreakerState.OPEN
    assert breaker.open_until_us == INITIAL_COOLDOWN_US // 2 + INITIAL_COOLDOWN_US


def test_failures_that_all_servers_share_convict_none() -> None:
    breaker = CircuitBreaker()
    for n in range(MAX_OUTCOMES):
        breaker.record_outcome(0, n % 2 == 0, 0, 0.5)
    assert breaker.state is BreakerState.CLOSED


def test_a_server_that_fails_is_opened_and_gets_nothing() -> None:
    driver = Driver(servers=3)
    for _ in range(200):
        name, actions = driver.arrive()
        server = sends(actions)[0].server
        actions = driver.end(name, server, Outcome.RESET if server == 0 else Outcome.OK)
        for again in sends(actions):
            driver.end(name, again.server, attempt=1)
    assert driver.balancer.endpoints.by_server[0].breaker.state is BreakerState.OPEN
    for _ in range(50):
        name, actions = driver.arrive()
        assert sends(actions)[0].server != 0
        driver.end(name, sends(actions)[0].server)


def test_weight_steps_up_and_is_cut() -> None:
    driver = Driver(servers=1)
    server = driver.balancer.endpoints.by_server[0]
    server.weight = 0.5
    name, _ = driver.arrive()
    driver.end(name, 0)
    assert server.weight == 0.5 + WEIGHT_STEP
    name, _ = driver.arrive(class_index=2)
    driver.end(name, 0, Outcome.RESET)
    assert server.weight == (0.5 + WEIGHT_STEP) * WEIGHT_CUT
    name, _ = driver.arrive(class_index=2)
    driver.end(name, 0, Outcome.ERROR)  # the other class's last answer was good: this class's own
    assert (
        server.weight == (0.5 + WEIGHT_STEP) * WEIGHT_CUT and server.class_health(2).weight == MAX_WEIGHT * WEIGHT_CUT
    )


def test_a_reply_over_twice_the_smoothed_latency_is_cut() -> None:
    driver = Driver(servers=1)
    server = driver.balancer.endpoints.by_server[0]
    name, _ = driver.arrive()
    driver.end(name, 0, latency_us=int(driver.balancer.latency.smoothed_us[0] * 2.2))
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


def test_a_newcomer_starts_at_the_mean_weight() -> None:
    driver = Driver(servers=2)
    for server, cuts in ((0, 3), (1, 1)):  # by the controller: it keeps the sum that the mean is made of
        for _ in range(cuts):
            driver.balancer.endpoints.adjust_weight(driver.balancer.endpoints.by_server[server], is_bad=True)
    driver.list_servers(ListedServer(9), kind=ListKind.DELTA)
    assert driver.balancer.endpoints.by_server[9].weight == pytest.approx((WEIGHT_CUT**3 + WEIGHT_CUT) / 2, rel=1e-12)


def test_a_closed_again_server_regains_its_weight() -> None:
    driver = Driver(servers=1)
    server = driver.balancer.endpoints.by_server[0]
    for _ in range(MIN_OUTCOMES):
        name, actions = driver.arrive(class_index=2)
        assert sends(actions)
        driver.end(name, 0, Outcome.RESET)
    assert server.breaker.state is BreakerState.OPEN
    weight = server.weight
    driver.now_us += INITIAL_COOLDOWN_US
    for _ in range(HALF_OPEN_PROBES):
        name, actions = driver.arrive()
        assert sends(actions)
        driver.end(name, 0)
    assert server.breaker.state.value == "closed"
    assert server.weight == max(MIN_WEIGHT, weight)


def test_a_failed_connect_of_a_probe_reopens_at_once_for_longer() -> None:
    """Every cooldown's end sent two more requests to a full connection table."""
    driver = Driver(servers=1)
    name, _ = driver.arrive()
    driver.end(name, 0, Outcome.CONNECT_FAILED)
    breaker = driver.balancer.endpoints.by_server[0].breaker
    driver.now_us = breaker.open_until_us
    name, actions = driver.arrive()
    assert sends(actions) and breaker.state is BreakerState.HALF_OPEN
    driver.end(name, 0, Outcome.CONNECT_FAILED)
    assert breaker.state.value == "open"
    assert breaker.open_until_us == driver.now_us + 2 * INITIAL_COOLDOWN_US


def play_failures(share: float, seed: int, dead: int | None = None) -> tuple[float, Driver]:
    """Ten servers that all fail the same share of attempts at random; the mean share of open ones."""
    driver, chance, opened, count = Driver(servers=10, seed=seed), random.Random(seed), 0, 3000
    for number in range(count):
        driver.now_us += 3_000
        name, actions = driver.arrive(class_index=number % 3, client_timeout_us=1_000_000)
        attempt = 0
        while sent := sends(actions):
            driver.now_us += 1_000
            failed = chance.random() < share or sent[0].server == dead
            outcome = Outcome.RESET if failed else Outcome.OK
            actions = driver.end(name, sent[0].server, outcome, attempt=attempt)
            attempt += 1
        opened += sum(s.breaker.state is BreakerState.OPEN for s in driver.balancer.endpoints.by_server.values())
    return opened / count / 10, driver


def test_failures_in_common_open_next_to_nothing_and_a_dead_server_is_found_among_them() -> None:
    """Breakers tripped one after the other on resets that hit every server alike, and crowded the rest."""
    assert sum(play_failures(0.35, seed)[0] for seed in range(4)) / 4 < 0.12
    _, driver = play_failures(0.25, seed=1, dead=3)
    states = {number: server.breaker.state for number, server in driver.balancer.endpoints.by_server.items()}
    assert states[3] is not BreakerState.CLOSED
    assert sum(state is not BreakerState.CLOSED for state in states.values()) <= 2


def test_an_unsafe_request_is_not_refused_while_closed_servers_lie_beyond_the_subset() -> None:
    """Half-open servers, which it must not be a trial of, took up the places of those that may serve it."""
    driver = Driver(servers=10)
    for server in driver.balancer.endpoints.ranked[:MIN_SUBSET_SIZE]:
        server.breaker.open(driver.now_us)
    driver.now_us += INITIAL_COOLDOWN_US
    _, actions = driver.arrive(class_index=2, client_timeout_us=1_000_000)
    assert sends(actions)


def test_after_a_reset_a_retry_costs_less_and_goes_on_while_little_is_shed() -> None:
    driver = Driver(servers=10)
    driver.balancer.retry_budget.tokens, driver.balancer.load_shedder.low_priority_ratio = (
        ERROR_RETRY_COST - RETRY_RATIO,
        SHED_STEP,
    )
    driver.balancer.rng.seed(1)
    name, actions = driver.arrive(class_index=1, client_timeout_us=800_000)
    again = sends(driver.end(name, sends(actions)[0].server, Outcome.RESET))
    assert again and driver.balancer.retry_budget.tokens == 0
    assert not sends(driver.end(name, again[0].server, Outcome.RESET, attempt=1))


def test_a_server_that_never_answers_one_class_is_passed_over_for_that_class_alone() -> None:
    """Its other answers kept its breaker closed, and such requests waited there until their aim was over."""
    driver = Driver(servers=3)
    late = 0
    for number in range(2000):
        driver.now_us += 3_000
        class_index = int(number % 4 == 1)
        driver.balancer.load_shedder.low_priority_ratio = driver.balancer.load_shedder.high_priority_ratio = 0.0
        name, actions = driver.arrive(class_index=class_index, client_timeout_us=400_000)
        (sent,) = sends(actions)
        if sent.server == 2 and class_index == 1:
            late += 1
            driver.now_us += 150_000
            driver.end(name, 2, Outcome.TIMEOUT, latency_us=150_000)
            driver.handle(RequestGone(name))
        else:
            driver.end(name, sent.server)
    assert late <= 12
