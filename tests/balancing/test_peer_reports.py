"""What the balancer makes of its peers' health reports, and of retry tokens that move."""

from __future__ import annotations

from typing import Any

from cloverkeel.balancing.circuit_breaker import INITIAL_COOLDOWN_US, MIN_OUTCOMES, BreakerState
from cloverkeel.balancing.events import ListedServer, Outcome, PeerHealthReport, RetryTokenGrant
from cloverkeel.balancing.peer_reports import MAX_PROBE_DELAY_US
from cloverkeel.gossip.outcome_window import OBSERVATION_LIFETIME_US
from cloverkeel.gossip.retry_tokens import GRANT_LIFETIME_US, MAX_SAVED_TOKENS
from tests.helpers import Driver, sends, trip


# Tokens for further attempts


def test_what_came_from_others_and_was_not_used_is_gone() -> None:
    driver = Driver()
    module = driver.balancer
    driver.handle(RetryTokenGrant(MAX_SAVED_TOKENS, -module.retry_token_state(driver.now_us)[0]))
    assert module.retry_token_state(driver.now_us) == (0.0, False)  # a process that begins has none
    until_us = driver.now_us + GRANT_LIFETIME_US
    driver.handle(RetryTokenGrant(MAX_SAVED_TOKENS, 1.0, until_us))
    driver.handle(RetryTokenGrant(MAX_SAVED_TOKENS, 1.0, until_us))
    driver.arrive()
    assert module.retry_token_state(until_us - 1)[0] == 2.0  # earning adds nothing above the cap
    assert module.retry_token_state(until_us)[0] == MAX_SAVED_TOKENS


def test_a_further_attempt_that_had_no_token_is_a_need() -> None:
    driver = Driver()
    driver.handle(RetryTokenGrant(MAX_SAVED_TOKENS, -10.0))
    for _ in range(2):
        name, actions = driver.arrive()
        actions = driver.end(name, sends(actions)[0].server, Outcome.ERROR)
        assert not sends(actions)
    assert driver.balancer.retry_token_state(driver.now_us)[1]
    driver.handle(RetryTokenGrant(MAX_SAVED_TOKENS, 1.0, driver.now_us + GRANT_LIFETIME_US))
    name, actions = driver.arrive()
    actions = driver.end(name, sends(actions)[0].server, Outcome.ERROR)
    assert len(sends(actions)) == 1


# The module's part


def heard(driver: Driver, server: int, good: float, bad: float, reporters: int = 2, well: int = 0) -> None:
    driver.handle(PeerHealthReport(server, 0, good, bad, reporters, well, driver.now_us + OBSERVATION_LIFETIME_US))


def shares(driver: Driver, requests: int = 300) -> list[float]:
    """Of requests that are answered at once, by server."""
    counts = [0] * len(driver.balancer.endpoints.by_server)
    for _ in range(requests):
        name, actions = driver.arrive()
        (sent,) = sends(actions)
        counts[sent.server] += 1
        driver.end(name, sent.server)
    return [count / requests for count in counts]


def test_a_server_that_fails_for_others_is_drawn_seldom_and_in_time_as_ever() -> None:
    driver = Driver(servers=6)
    before = shares(driver)
    worst = max(range(6), key=lambda n: before[n])
    heard(driver, worst, 0.0, 3.0)
    assert shares(driver)[worst] < before[worst] / 4
    assert driver.balancer.endpoints.by_server[worst].breaker.state is BreakerState.CLOSED  # hearsay is no verdict
    driver.now_us += OBSERVATION_LIFETIME_US
    assert shares(driver)[worst] > before[worst] / 2


def test_one_teller_and_good_outcomes_are_no_doubt_and_another_process_is_not_meant() -> None:
    driver = Driver(servers=4)
    server = driver.balancer.endpoints.by_server[0]
    heard(driver, 0, 0.0, 30.0, reporters=1)
    assert server.suspected_until_us == 0
    heard(driver, 0, 5.0, 3.0)
    assert server.suspected_until_us == 0
    driver.handle(PeerHealthReport(0, 77, 0.0, 9.0, 3, 0, driver.now_us + OBSERVATION_LIFETIME_US))
    assert server.suspected_until_us == 0
    heard(driver, 0, 0.0, 3.0)
    heard(driver, 0, 3.0, 1.0)
    assert server.suspected_until_us == 0  # it is answered well by now


def test_one_failure_here_opens_what_is_in_doubt_and_five_what_is_not() -> None:
    for doubted in (False, True):
        driver = Driver(servers=1)
        if doubted:
            heard(driver, 0, 0.0, 3.0)
        name, actions = driver.arrive()
        driver.end(name, sends(actions)[0].server, Outcome.ERROR)
        assert (driver.balancer.endpoints.by_server[0].breaker.state is BreakerState.OPEN) is doubted
    assert MIN_OUTCOMES > 1


def test_where_most_fails_here_too_others_say_nothing_new() -> None:
    """A jam: each server fails for everybody, and none of them is to blame."""
    driver = Driver(servers=5)
    for _ in range(60):
        name, actions = driver.arrive(class_index=2)
        sent = sends(actions)
        if not sent:
            break
        driver.end(name, sent[0].server, Outcome.TIMEOUT, latency_us=300_000)
        driver.now_us += 10_000
    heard(driver, 0, 1.0, 3.0)
    assert driver.balancer.endpoints.by_server[0].suspected_until_us == 0


def out(driver: Driver) -> Any:
    breaker = driver.balancer.endpoints.by_server[0].breaker
    trip(breaker, driver.now_us)
    return breaker


def test_trials_wait_for_others_and_not_for_long() -> None:
    driver = Driver(servers=4)
    breaker = out(driver)
    driver.now_us = breaker.open_until_us
    heard(driver, 0, 0.0, 3.0)
    assert not driver.balancer.subset.is_eligible(driver.balancer.now_us, driver.balancer.endpoints.by_server[0], 0)
    driver.now_us = breaker.open_until_us + min(INITIAL_COOLDOWN_US, MAX_PROBE_DELAY_US)
    heard(driver, 0, 0.0, 3.0)  # again and again: it is not held for longer
    assert driver.balancer.subset.is_eligible(driver.balancer.now_us, driver.balancer.endpoints.by_server[0], 0)


def test_nobody_waits_for_others_trials_where_next_to_nothing_is_left() -> None:
    driver = Driver(servers=3)
    breaker = out(driver)
    trip(driver.balancer.endpoints.by_server[1].breaker, driver.now_us)
    driver.now_us = breaker.open_until_us
    heard(driver, 0, 0.0, 3.0)
    assert driver.balancer.subset.is_eligible(driver.balancer.now_us, driver.balancer.endpoints.by_server[0], 0)


def test_word_of_two_that_it_is_well_brings_a_trial_and_no_verdict() -> None:
    driver = Driver(servers=4)
    breaker = out(driver)
    heard(driver, 0, 3.0, 0.0, reporters=0, well=1)
    assert not driver.balancer.subset.is_eligible(driver.balancer.now_us, driver.balancer.endpoints.by_server[0], 0)
    heard(driver, 0, 3.0, 0.0, reporters=0, well=2)
    assert (
        driver.balancer.subset.is_eligible(driver.balancer.now_us, driver.balancer.endpoints.by_server[0], 0)
        and breaker.state is BreakerState.HALF_OPEN
    )


def test_what_the_room_asks_of_the_module() -> None:
    driver = Driver(servers=0)
    driver.list_servers(ListedServer(3, started_us=9))
    assert driver.balancer.started_at_us(3) == 9 and driver.balancer.started_at_us(4) == -1
    driver.arrive()
    assert driver.balancer.silent_servers(driver.now_us) == []
    assert driver.balancer.silent_servers(driver.now_us + 10_000_000) == [3]
