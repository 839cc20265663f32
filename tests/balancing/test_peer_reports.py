"""The balancer's use of peers' health reports, and of retry tokens moved between proxies."""

from __future__ import annotations

from typing import Any

from cloverkeel.balancing.circuit_breaker import INITIAL_COOLDOWN_US, MIN_OUTCOMES, BreakerState
from cloverkeel.balancing.events import ListedServer, Outcome, PeerHealthReport, RetryTokenGrant
from cloverkeel.balancing.peer_reports import MAX_PROBE_DELAY_US
from cloverkeel.gossip.outcome_window import OBSERVATION_LIFETIME_US
from cloverkeel.gossip.retry_tokens import GRANT_LIFETIME_US, MAX_SAVED_TOKENS
from tests.helpers import Driver, send_actions, trip_breaker


# Retry tokens


def test_unused_retry_tokens_of_other_proxies_expire() -> None:
    driver = Driver()
    balancer = driver.balancer
    driver.handle(RetryTokenGrant(MAX_SAVED_TOKENS, -balancer.retry_token_state(driver.now_us)[0]))
    assert balancer.retry_token_state(driver.now_us) == (0.0, False)  # a new process has none
    until_us = driver.now_us + GRANT_LIFETIME_US
    driver.handle(RetryTokenGrant(MAX_SAVED_TOKENS, 1.0, until_us))
    driver.handle(RetryTokenGrant(MAX_SAVED_TOKENS, 1.0, until_us))
    driver.start_request()
    assert balancer.retry_token_state(until_us - 1)[0] == 2.0  # deposits add nothing above the cap
    assert balancer.retry_token_state(until_us)[0] == MAX_SAVED_TOKENS


def test_a_retry_denied_for_lack_of_tokens_is_reported_as_a_shortage() -> None:
    driver = Driver()
    driver.handle(RetryTokenGrant(MAX_SAVED_TOKENS, -10.0))
    for _ in range(2):
        name, actions = driver.start_request()
        actions = driver.end_attempt(name, send_actions(actions)[0].server, Outcome.ERROR)
        assert not send_actions(actions)
    assert driver.balancer.retry_token_state(driver.now_us)[1]
    driver.handle(RetryTokenGrant(MAX_SAVED_TOKENS, 1.0, driver.now_us + GRANT_LIFETIME_US))
    name, actions = driver.start_request()
    actions = driver.end_attempt(name, send_actions(actions)[0].server, Outcome.ERROR)
    assert len(send_actions(actions)) == 1


# Health reports


def report(
    driver: Driver, server: int, good: float, bad: float, reporters: int = 2, success_reporters: int = 0
) -> None:
    driver.handle(
        PeerHealthReport(server, 0, good, bad, reporters, success_reporters, driver.now_us + OBSERVATION_LIFETIME_US)
    )


def request_shares(driver: Driver, requests: int = 300) -> list[float]:
    """Return the share of requests sent to each server; all are answered at once."""
    counts = [0] * len(driver.balancer.endpoints.by_server)
    for _ in range(requests):
        name, actions = driver.start_request()
        (sent,) = send_actions(actions)
        counts[sent.server] += 1
        driver.end_attempt(name, sent.server)
    return [count / requests for count in counts]


def test_a_server_that_fails_for_other_proxies_is_selected_rarely_until_the_report_expires() -> None:
    driver = Driver(servers=6)
    before = request_shares(driver)
    reported = max(range(6), key=lambda n: before[n])
    report(driver, reported, 0.0, 3.0)
    assert request_shares(driver)[reported] < before[reported] / 4
    # A report alone opens no breaker.
    assert driver.balancer.endpoints.by_server[reported].breaker.state is BreakerState.CLOSED
    driver.now_us += OBSERVATION_LIFETIME_US
    assert request_shares(driver)[reported] > before[reported] / 2


def test_no_suspicion_from_one_reporter_or_good_outcomes_or_for_another_process() -> None:
    driver = Driver(servers=4)
    server = driver.balancer.endpoints.by_server[0]
    report(driver, 0, 0.0, 30.0, reporters=1)
    assert server.suspected_until_us == 0
    report(driver, 0, 5.0, 3.0)
    assert server.suspected_until_us == 0
    driver.handle(PeerHealthReport(0, 77, 0.0, 9.0, 3, 0, driver.now_us + OBSERVATION_LIFETIME_US))
    assert server.suspected_until_us == 0
    report(driver, 0, 0.0, 3.0)
    report(driver, 0, 3.0, 1.0)
    assert server.suspected_until_us == 0  # good outcomes outweigh the bad ones by now


def test_one_failure_opens_the_breaker_of_a_suspected_server_only() -> None:
    for is_suspected in (False, True):
        driver = Driver(servers=1)
        if is_suspected:
            report(driver, 0, 0.0, 3.0)
        name, actions = driver.start_request()
        driver.end_attempt(name, send_actions(actions)[0].server, Outcome.ERROR)
        assert (driver.balancer.endpoints.by_server[0].breaker.state is BreakerState.OPEN) is is_suspected
    assert MIN_OUTCOMES > 1


def test_reports_raise_no_suspicion_while_most_servers_fail_here_too() -> None:
    """Under overload each server fails for every proxy, and no single server is the cause."""
    driver = Driver(servers=5)
    for _ in range(60):
        name, actions = driver.start_request(class_index=2)
        sent = send_actions(actions)
        if not sent:
            break
        driver.end_attempt(name, sent[0].server, Outcome.TIMEOUT, latency_us=300_000)
        driver.now_us += 10_000
    report(driver, 0, 1.0, 3.0)
    assert driver.balancer.endpoints.by_server[0].suspected_until_us == 0


def open_first_breaker(driver: Driver) -> Any:
    breaker = driver.balancer.endpoints.by_server[0].breaker
    trip_breaker(breaker, driver.now_us)
    return breaker


def test_probes_wait_for_other_proxies_for_a_bounded_time() -> None:
    driver = Driver(servers=4)
    breaker = open_first_breaker(driver)
    driver.now_us = breaker.open_until_us
    report(driver, 0, 0.0, 3.0)
    assert not driver.balancer.subset.is_eligible(driver.balancer.now_us, driver.balancer.endpoints.by_server[0], 0)
    driver.now_us = breaker.open_until_us + min(INITIAL_COOLDOWN_US, MAX_PROBE_DELAY_US)
    report(driver, 0, 0.0, 3.0)  # a repeated report doesn't extend the wait
    assert driver.balancer.subset.is_eligible(driver.balancer.now_us, driver.balancer.endpoints.by_server[0], 0)


def test_probes_do_not_wait_for_other_proxies_while_most_breakers_are_open() -> None:
    driver = Driver(servers=3)
    breaker = open_first_breaker(driver)
    trip_breaker(driver.balancer.endpoints.by_server[1].breaker, driver.now_us)
    driver.now_us = breaker.open_until_us
    report(driver, 0, 0.0, 3.0)
    assert driver.balancer.subset.is_eligible(driver.balancer.now_us, driver.balancer.endpoints.by_server[0], 0)


def test_good_answers_at_two_other_proxies_make_a_breaker_half_open() -> None:
    driver = Driver(servers=4)
    breaker = open_first_breaker(driver)
    report(driver, 0, 3.0, 0.0, reporters=0, success_reporters=1)
    assert not driver.balancer.subset.is_eligible(driver.balancer.now_us, driver.balancer.endpoints.by_server[0], 0)
    report(driver, 0, 3.0, 0.0, reporters=0, success_reporters=2)
    assert (
        driver.balancer.subset.is_eligible(driver.balancer.now_us, driver.balancer.endpoints.by_server[0], 0)
        and breaker.state is BreakerState.HALF_OPEN
    )


def test_the_balancer_returns_start_times_and_silent_servers() -> None:
    driver = Driver(servers=0)
    driver.list_servers(ListedServer(3, started_us=9))
    assert driver.balancer.started_at_us(3) == 9 and driver.balancer.started_at_us(4) == -1
    driver.start_request()
    assert driver.balancer.silent_servers(driver.now_us) == []
    assert driver.balancer.silent_servers(driver.now_us + 10_000_000) == [3]
