"""Examples of the balancer's decisions on requests, subsets, load shedding, slow start and server lists.

Docstrings that describe a fault state what happened before the behaviour under test was introduced.
"""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest

from tests.helpers import (
    KEYED,
    SAFE,
    SETTINGS,
    UNSAFE,
    Driver,
    final_actions,
    request_timers,
    send_actions,
    trip_breaker,
)
from cloverkeel.balancing.actions import Cancel, Fail, Log, Refuse, WatchList
from cloverkeel.balancing.events import (
    AnswerAll,
    ListKind,
    ListedServer,
    Outcome,
    ProcessesChanged,
    RequestGone,
    ServerList,
    ServerStatus,
    StreamStarted,
    TimerFired,
)
from cloverkeel.balancing.settings import Prices, RequestClass, Scope, Settings, Tenant
from cloverkeel.balancing.action_buffer import MIN_LOG_INTERVAL_US
from cloverkeel.balancing.affinity import rendezvous_rank
from cloverkeel.balancing.load_shedding import SHED_STEP
from cloverkeel.balancing.subset import MIN_SUBSET_SIZE
from cloverkeel.balancing.latency_model import OVERDUE_FACTOR
from cloverkeel.balancing.circuit_breaker import BreakerState, INITIAL_COOLDOWN_US, MIN_OUTCOMES


def test_unsafe_request_that_may_have_run_fails_without_retry() -> None:
    driver = Driver()
    name, actions = driver.start_request(class_index=2)
    answer = driver.end_attempt(name, send_actions(actions)[0].server, Outcome.RESET)
    assert final_actions(answer) == [Fail(name)] and not send_actions(answer)


def test_unsafe_request_that_did_not_run_is_retried_at_another_server() -> None:
    driver = Driver()
    name, actions = driver.start_request(class_index=2)
    first = send_actions(actions)[0].server
    retries = send_actions(driver.end_attempt(name, first, Outcome.CONNECT_FAILED))
    assert len(retries) == 1 and retries[0].server != first


def test_keyed_request_is_retried_in_its_group_and_window() -> None:
    driver = Driver(servers=6)
    name, actions = driver.start_request(class_index=1)
    first = send_actions(actions)[0].server
    retries = send_actions(driver.end_attempt(name, first, Outcome.RESET))
    assert retries[0].server % 2 == first % 2
    name, actions = driver.start_request(class_index=1)
    driver.now_us += KEYED.window_us
    assert final_actions(driver.end_attempt(name, send_actions(actions)[0].server, Outcome.RESET)) == [Fail(name)]


def test_keyed_request_with_scope_all_is_refused_instead_of_failed() -> None:
    keyed_everywhere = replace(KEYED, scope=Scope.ALL)
    driver = Driver(replace(SETTINGS, classes=(keyed_everywhere,), max_attempts=1))
    name, actions = driver.start_request()
    assert final_actions(driver.end_attempt(name, send_actions(actions)[0].server, Outcome.ERROR)) == [Refuse(name)]


def test_attempts_are_limited_by_max_attempts() -> None:
    driver = Driver(replace(SETTINGS, max_attempts=2), servers=5)
    name, actions = driver.start_request()
    retries = send_actions(driver.end_attempt(name, send_actions(actions)[0].server, Outcome.ERROR))
    assert final_actions(driver.end_attempt(name, retries[0].server, Outcome.ERROR, attempt=1)) == [Refuse(name)]


def test_overdue_attempt_is_hedged_and_cancelled_when_the_hedge_is_answered() -> None:
    driver = Driver()
    driver.balancer.latency.smoothed_us[0] = 20_000.0
    name, actions = driver.start_request()
    first = send_actions(actions)[0].server
    (timer,) = request_timers(actions)
    assert timer.due_us == driver.now_us + int(OVERDUE_FACTOR * 20_000)
    driver.now_us = timer.due_us
    hedge = send_actions(driver.handle(TimerFired(timer.token)))[0]
    assert hedge.server != first
    assert driver.end_attempt(name, hedge.server, attempt=1) == [Cancel(name, 0)]
    driver.end_attempt(name, first, Outcome.CANCELLED)
    assert driver.balancer.endpoints.by_server[first].breaker.failures == 1  # cancelled after it was overdue
    assert not driver.balancer.lifecycle.requests


def test_no_hedged_request_if_hedging_is_disabled() -> None:
    driver = Driver(replace(SETTINGS, may_hedge=False))
    driver.balancer.latency.smoothed_us[0] = 20_000.0
    _, actions = driver.start_request()
    (timer,) = request_timers(actions)
    driver.now_us = timer.due_us
    assert not send_actions(driver.handle(TimerFired(timer.token)))


def test_unsafe_request_is_not_sent_as_a_half_open_probe() -> None:
    driver = Driver(servers=2)
    breaker = driver.balancer.endpoints.by_server[0].breaker
    trip_breaker(breaker, driver.now_us)
    driver.now_us = breaker.open_until_us
    for _ in range(2):
        assert send_actions(driver.start_request(class_index=2)[1])[0].server == 1


def test_silent_server_gets_no_further_attempts() -> None:
    driver = Driver(servers=1)
    driver.start_request(class_index=2)
    driver.now_us += int(OVERDUE_FACTOR * max(driver.balancer.latency.smoothed_us)) + 1
    assert not send_actions(driver.start_request(class_index=2)[1])


def test_refusal_has_the_shortest_cooldown_as_retry_after_if_all_breakers_are_open() -> None:
    driver = Driver(servers=2)
    for number, server in driver.balancer.endpoints.by_server.items():
        trip_breaker(server.breaker, driver.now_us + number * 100_000)
    driver.now_us += 400_000
    name, actions = driver.start_request()
    assert final_actions(actions) == [Refuse(name, 600_000)]


IN_ORDER = replace(SETTINGS, classes=(replace(UNSAFE, in_order=True),), key_rest_us=50_000)


def test_in_order_requests_of_a_key_run_one_at_a_time() -> None:
    driver = Driver(IN_ORDER)
    first, actions = driver.start_request(key=7, client_timeout_us=900_000)
    server = send_actions(actions)[0].server
    second, actions = driver.start_request(key=7, client_timeout_us=900_000)
    assert not send_actions(actions) and not final_actions(actions)
    assert send_actions(driver.start_request(key=8)[1])
    (send,) = send_actions(driver.end_attempt(first, server))
    assert send.request == second
    third = driver.start_request(key=7, client_timeout_us=900_000)[0]
    driver.now_us += 10_000
    assert final_actions(driver.end_attempt(second, send.server, Outcome.RESET)) == [Fail(second)]
    rest_timer = driver.timers[-1]
    assert rest_timer.due_us == driver.now_us + 50_000
    driver.now_us = rest_timer.due_us
    (send,) = send_actions(driver.handle(TimerFired(rest_timer.token)))
    assert send.request == third
    driver.end_attempt(third, send.server)
    assert not driver.balancer.lifecycle.key_queues.queue_by_key.get(7)


def test_requests_are_refused_if_the_queue_of_their_key_is_too_long_to_be_served_in_time() -> None:
    """A request that could not be served in time was not queued, but sent at once and so out of order."""
    driver = Driver(IN_ORDER)
    arrivals = [driver.start_request(key=7, client_timeout_us=400_000)[1] for _ in range(30)]
    refused = [actions for actions in arrivals if final_actions(actions)]
    assert len(refused) > 20 and sum(len(send_actions(actions)) for actions in arrivals) == 1
    wait_timer = driver.timers[-1]
    driver.now_us = wait_timer.due_us
    assert final_actions(driver.handle(TimerFired(wait_timer.token)))


def test_full_counts_as_may_have_run_if_full_unproven_is_set() -> None:
    for unproven in (True, False):
        driver = Driver(replace(SETTINGS, full_unproven=unproven))
        name, actions = driver.start_request(class_index=2)
        answer = driver.end_attempt(name, send_actions(actions)[0].server, Outcome.FULL)
        assert (final_actions(answer) == [Fail(name)]) == unproven
        assert bool(send_actions(answer)) != unproven


def test_server_failing_for_one_class_keeps_serving_other_classes() -> None:
    """Half of the servers rejected one class; opening their breakers for all classes lost half of the fleet."""
    driver = Driver(servers=2)
    name, actions = driver.start_request(class_index=2)
    bad = send_actions(actions)[0].server
    driver.end_attempt(name, bad)
    server = driver.balancer.endpoints.by_server[bad]
    while server.breaker.state is BreakerState.CLOSED and server.class_health(0).breaker.state is BreakerState.CLOSED:
        name, actions = driver.start_request(class_index=0)
        first = send_actions(actions)[0].server
        outcome = Outcome.FULL if first == bad else Outcome.OK
        for retry in send_actions(driver.end_attempt(name, first, outcome)):
            driver.end_attempt(name, retry.server, attempt=1)
    assert server.breaker.state is BreakerState.CLOSED and server.breaker.failures == 0
    assert server not in driver.balancer.subset.candidates(
        driver.balancer.now_us, 0
    ) and server in driver.balancer.subset.candidates(driver.balancer.now_us, 2)
    assert driver.balancer.load_shedder.high_priority_ratio == 0.0


def test_failures_of_all_classes_count_for_the_servers_breaker() -> None:
    driver = Driver(servers=1)
    for class_index in (2, 1, 0, 2, 1):
        name, actions = driver.start_request(class_index=class_index)
        if send_actions(actions):
            driver.end_attempt(name, 0, Outcome.ERROR)
    assert driver.balancer.endpoints.by_server[0].breaker.failures >= 3


def test_timeout_sheds_like_a_slow_answer_but_less_if_cut_short_at_the_objective() -> None:
    """Timeouts on dropped connections caused shedding; connections that became idle through it were dropped too."""
    shed_ratios = []
    cut_short = replace(SAFE, late_weight=0.0)
    for class_, outcome, latency_us in (
        (SAFE, Outcome.TIMEOUT, 390_000),
        (SAFE, Outcome.OK, 390_000),
        (cut_short, Outcome.TIMEOUT, 190_000),
        (cut_short, Outcome.OK, 10_000),
    ):
        driver = Driver(replace(SETTINGS, classes=(class_,)))
        name, actions = driver.start_request()
        driver.balancer.latency.smoothed_us[0] = driver.balancer.latency.unloaded_us[0] = 50_000.0
        driver.balancer.load_shedder.adjusted_at_us = driver.now_us
        driver.end_attempt(name, send_actions(actions)[0].server, outcome, latency_us=latency_us)
        shed_ratios.append(driver.balancer.load_shedder.high_priority_ratio)
    assert shed_ratios[0] == shed_ratios[1] > shed_ratios[2] > shed_ratios[3] == 0.0


@pytest.mark.parametrize("client_timeout_us", [0, 1, 40])
@pytest.mark.parametrize("class_index", [0, 1, 2])
def test_request_with_a_tiny_timeout_gets_one_answer(class_index: int, client_timeout_us: int) -> None:
    driver = Driver()
    name, actions = driver.start_request(class_index=class_index, client_timeout_us=client_timeout_us)
    answers = final_actions(actions)
    for send in send_actions(actions):
        assert 0 < send.timeout_us <= max(1, client_timeout_us)
        driver.now_us += send.timeout_us
        answers += final_actions(driver.end_attempt(name, send.server, Outcome.TIMEOUT))
    assert len(answers) == 1 and not driver.balancer.lifecycle.requests


@pytest.mark.parametrize("scope", list(Scope))
def test_keyed_retry_stays_within_its_scope_and_window(scope: Scope) -> None:
    """The window begins when the first attempt that may have run is sent, and is exact to the microsecond."""
    for late in (0, 1):
        class_ = replace(KEYED, scope=scope)
        driver = Driver(replace(SETTINGS, classes=(class_,)), servers=0)
        driver.list_servers(*(ListedServer(n, zone=n % 2, group=n % 3) for n in range(12)))
        name, actions = driver.start_request(client_timeout_us=700_000)
        first = send_actions(actions)[0].server
        driver.now_us += KEYED.window_us - 1 + late
        retries = send_actions(driver.end_attempt(name, first, Outcome.RESET))
        assert len(retries) == 1 - late
        if retries and scope is Scope.ZONE:
            assert retries[0].server % 2 == first % 2
        if retries and scope is Scope.GROUP:
            assert retries[0].server % 3 == first % 3


def test_tenant_beyond_its_share_is_shed_first() -> None:
    """When one tenant's clients retried without limit, requests of all tenants were refused alike."""
    tenants = (Tenant(0.5, 10.0), Tenant(0.5, 10.0))
    driver = Driver(replace(SETTINGS, tenants=tenants, overuse_weight=0.1), servers=9)
    refused = [0, 0]
    for n in range(600):
        driver.balancer.load_shedder.low_priority_ratio = driver.balancer.load_shedder.high_priority_ratio = 0.1 * (
            n > 200
        )
        tenant = int(n % 10 == 0)
        name, actions = driver.start_request(class_index=0, tenant=tenant)
        refused[tenant] += bool(final_actions(actions))
        for send in send_actions(actions):
            driver.end_attempt(name, send.server)
    assert refused[0] > 60 and refused[1] <= 20
    assert (
        driver.balancer.lifecycle.tenant_fairness.record(1)
        <= 0.0
        < driver.balancer.lifecycle.tenant_fairness.record(0)
    )
    assert driver.balancer.lifecycle.tenant_fairness.record(7) == 0.0


def test_requests_are_refused_without_servers() -> None:
    driver = Driver(servers=0)
    name, actions = driver.start_request(class_index=2)
    assert final_actions(actions) == [Refuse(name)]


def test_client_disconnect_cancels_the_request() -> None:
    driver = Driver()
    name, actions = driver.start_request()
    assert driver.handle(RequestGone(name)) == [Cancel(name, 0)]
    assert not final_actions(driver.end_attempt(name, send_actions(actions)[0].server, Outcome.CANCELLED))
    assert not driver.balancer.lifecycle.requests


def test_streaming_request_ignores_its_timers() -> None:
    driver = Driver()
    name, actions = driver.start_request()
    driver.handle(StreamStarted(name, 0))
    for timer in request_timers(actions):
        driver.now_us = timer.due_us
        assert not driver.handle(TimerFired(timer.token))
    driver.end_attempt(name, send_actions(actions)[0].server)
    assert not driver.balancer.lifecycle.requests


def test_request_with_an_id_in_use_is_ignored() -> None:
    driver = Driver()
    driver.start_request()
    driver.request_count = 0
    _, actions = driver.start_request()
    assert not send_actions(actions) and not final_actions(actions)


def test_log_lines_are_rate_limited() -> None:
    driver = Driver()
    first, second = driver.start_request(class_index=7)[1], driver.start_request(class_index=7)[1]
    driver.now_us += MIN_LOG_INTERVAL_US
    third = driver.start_request(class_index=7)[1]
    assert [sum(isinstance(a, Log) for a in actions) for actions in (first, second, third)] == [1, 0, 1]


def test_servers_in_other_zones_are_drawn_less_according_to_the_cross_zone_price() -> None:
    driver = Driver(replace(SETTINGS, prices=Prices(cross_zone=0.05)), servers=0)
    driver.list_servers(ListedServer(1, zone=0), ListedServer(2, zone=1))
    own_zone = 0
    for _ in range(200):
        name, actions = driver.start_request()
        own_zone += send_actions(actions)[0].server == 1
        driver.end_attempt(name, send_actions(actions)[0].server)
    assert 130 < own_zone < 190


def test_most_requests_of_a_key_go_to_its_home_server() -> None:
    driver = Driver(replace(SETTINGS, servers_know_keys=True), servers=8)
    count_by_server: dict[int, int] = {}
    for _ in range(100):
        name, actions = driver.start_request(key=77)
        server = send_actions(actions)[0].server
        count_by_server[server] = count_by_server.get(server, 0) + 1
        driver.end_attempt(name, server)
    assert max(count_by_server.values()) > 50 and len(count_by_server) > 1


def test_request_of_an_unknown_class_fails() -> None:
    driver = Driver()
    name, actions = driver.start_request(class_index=7)
    assert final_actions(actions) == [Fail(name)]


def test_draining_or_removed_server_gets_no_requests() -> None:
    driver = Driver(servers=3)
    driver.list_servers(
        ListedServer(0, ServerStatus.DRAINING), ListedServer(1, ServerStatus.GONE), kind=ListKind.DELTA
    )
    for _ in range(4):
        assert send_actions(driver.start_request()[1])[0].server == 2


def test_full_list_removes_missing_servers_and_a_restart_resets_the_breaker() -> None:
    driver = Driver(servers=3)
    driver.balancer.endpoints.by_server[1].breaker.record_outcome(0, True, 0, 0.0)
    driver.list_servers(ListedServer(1, started_us=driver.now_us))
    assert list(driver.balancer.endpoints.by_server) == [1]
    assert driver.balancer.endpoints.by_server[1].breaker.failures == 0


def test_server_list_is_polled_and_polled_again_after_an_error() -> None:
    driver = Driver(replace(SETTINGS, list_is_pushed=False), servers=0)
    (timer,) = request_timers(driver.list_servers(ListedServer(1), kind=ListKind.DISK))
    # The first poll has a random delay, so that proxies which start together do not poll at the same time.
    assert 0 <= timer.due_us - driver.now_us < SETTINGS.max_poll_interval_us / 5
    driver.now_us = timer.due_us
    assert driver.handle(TimerFired(timer.token)) == [WatchList()]
    for _ in range(8):
        (timer,) = request_timers(driver.handle(ServerList(ListKind.ERROR)))
        assert 0 < timer.due_us - driver.now_us < SETTINGS.max_poll_interval_us
        driver.now_us = timer.due_us
        assert driver.handle(TimerFired(timer.token)) == [WatchList()]
    assert list(driver.balancer.endpoints.by_server) == [1]


def test_finished_requests_leave_no_state() -> None:
    driver = Driver(servers=4)
    for n in range(3_000):
        name, actions = driver.start_request(class_index=n % 3)
        for send in send_actions(actions):
            driver.end_attempt(name, send.server, Outcome.OK if n % 7 else Outcome.CONNECT_FAILED)
        if n % 100 == 0:
            driver.list_servers(*(ListedServer(n + i) for i in range(4)))
        for request in list(driver.balancer.lifecycle.requests):
            driver.handle(RequestGone(request))
            for i in range(3):
                driver.end_attempt(request, 0, Outcome.CANCELLED, attempt=i)
        driver.now_us += 10_000
    for timer in driver.timers:
        driver.handle(TimerFired(timer.token))
    balancer = driver.balancer
    assert not balancer.lifecycle.requests and len(balancer.endpoints.by_server) == 4
    assert not balancer.timers.request_by_token
    assert len(balancer.endpoints.ranked) == 4 and balancer.sender.in_flight == 0


def test_clock_that_steps_back_is_ignored() -> None:
    driver = Driver()
    driver.balancer.handle(driver.now_us, RequestGone("none"))
    driver.balancer.handle(driver.now_us - 5_000_000, RequestGone("none"))
    assert driver.balancer.now_us == driver.now_us


NAN = float("nan")


@pytest.mark.parametrize(
    ("invalid", "name_in_error"),
    [
        ({"objective_us": 0}, "aim_us"),
        ({"client_timeout_us": -1}, "give_up_us"),
        ({"window_us": -1}, "window_us"),
        ({"priority_weight": NAN}, "worth"),
        ({"late_weight": 1.5}, "late_worth"),
    ],
)
def test_invalid_class_settings_are_rejected(invalid: dict[str, float], name_in_error: str) -> None:
    with pytest.raises(ValueError, match=name_in_error):
        RequestClass(**{"objective_us": 1, "client_timeout_us": 1, **invalid})  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("invalid", "name_in_error"),
    [
        ({"classes": ()}, "classes"),
        ({"proxies": 0}, "proxies"),
        ({"proxy": 1}, "proxy"),
        ({"slow_start_us": -1}, "warm_after_us"),
        ({"max_attempts": 0}, "max_attempts"),
        ({"collapse_window_us": 0}, "fall_us"),
        ({"collapse_multiple": NAN}, "fall_multiple"),
        ({"start_capacity": 1.2}, "start_capacity"),
        ({"key_rest_us": -1}, "key_rest_us"),
    ],
)
def test_invalid_settings_are_rejected(invalid: dict[str, object], name_in_error: str) -> None:
    with pytest.raises(ValueError, match=name_in_error):
        replace(SETTINGS, **invalid)  # type: ignore[arg-type]


def test_proxy_with_few_answers_sheds_as_soon_as_a_busy_one() -> None:
    """In a fleet of 850 proxies that became overloaded within 5 s, each proxy saw only 3 answers in that time."""
    shed_ratios = []
    for gap_us in (100_000, 1_500_000):
        driver = Driver()
        name, actions = driver.start_request(class_index=2)
        driver.balancer.load_shedder.adjusted_at_us = driver.now_us
        driver.now_us += gap_us
        driver.end_attempt(name, send_actions(actions)[0].server, latency_us=290_000)
        shed_ratios.append(driver.balancer.load_shedder.low_priority_ratio)
    assert shed_ratios[1] >= 2 * shed_ratios[0] > 0


def test_unsafe_is_the_default_effect() -> None:
    assert RequestClass(objective_us=1, client_timeout_us=1).effect is UNSAFE.effect


def test_proxy_sends_only_to_its_subset() -> None:
    """When hundreds of proxies used all servers, connection tables were full: 90% of attempts got no connection."""
    used: set[int] = set()
    driver = Driver(replace(SETTINGS, proxies=300, proxy=5), servers=60)
    for _ in range(300):
        name, actions = driver.start_request()
        used.add(send_actions(actions)[0].server)
        driver.end_attempt(name, send_actions(actions)[0].server)
    assert len(used) <= MIN_SUBSET_SIZE + 1


def test_subsets_are_balanced_and_change_little_when_a_server_leaves() -> None:
    proxies_by_server = [0] * 40
    for proxy in range(400):
        ranks = sorted(range(40), key=lambda server: rendezvous_rank(proxy, server, 1.0))
        without = [server for server in ranks if server != 3]
        assert [r for r in ranks[:4] if r != 3] == without[: 4 - (3 in ranks[:4])]
        for server in ranks[:4]:
            proxies_by_server[server] += 1
    assert min(proxies_by_server) > 20 and max(proxies_by_server) < 65


def test_proxy_with_more_in_flight_has_a_larger_subset() -> None:
    """A proxy with a fifth of all traffic would overload the few servers of a subset of fixed size."""
    driver = Driver(replace(SETTINGS, proxies=300), servers=60)
    used = {send_actions(driver.start_request(class_index=2)[1])[0].server for _ in range(40)}
    assert len(used) > 3 * MIN_SUBSET_SIZE


def test_server_with_an_open_breaker_is_replaced_in_the_subset_by_the_next_in_rank() -> None:
    driver = Driver(replace(SETTINGS, proxies=300), servers=60)
    subset = driver.balancer.subset.candidates(driver.balancer.now_us, 0)
    trip_breaker(subset[0].breaker, driver.now_us)
    after = driver.balancer.subset.candidates(driver.balancer.now_us, 0)
    assert subset[0] not in after and after[: len(subset) - 1] == subset[1:] and len(after) == len(subset)


def test_one_failed_connect_opens_the_breaker() -> None:
    """Every proxy kept connecting to a server with a full connection table until five attempts had failed."""
    driver = Driver()
    name, actions = driver.start_request()
    first = send_actions(actions)[0].server
    driver.end_attempt(name, first, Outcome.CONNECT_FAILED)
    assert not driver.balancer.endpoints.by_server[first].breaker.can_admit(driver.now_us)


SLOW_START = replace(
    SETTINGS,
    start_capacity=0.2,
    slow_start_us=20_000_000,
    collapse_multiple=3.0,
    collapse_window_us=1_000_000,
    proxies=40,
)


def test_all_proxies_together_keep_to_the_collapse_budget_of_a_warming_server() -> None:
    """Each of 40 proxies sent the one request it may always send as soon as the server was listed: 40 at once."""
    work_us = [0.0] * 20  # sent in each half second
    for proxy in range(40):
        driver = Driver(replace(SLOW_START, proxy=proxy), servers=0, seed=proxy)
        driver.list_servers(ListedServer(1, started_us=driver.now_us))
        for step in range(1_000):
            name, actions = driver.start_request()
            if send_actions(actions):
                work_us[step // 50] += driver.balancer.latency.unloaded_us[0]
                driver.end_attempt(name, 1, latency_us=30_000)
            driver.now_us += 10_000
    for first, second in pairwise(work_us):
        assert first + second <= 3.0 * 0.6 * 1_000_000
    assert sum(work_us) > 0


def work_sent_to_warming_server(processes: int) -> float:
    """Return the work, in microseconds, that 20 proxies with too many requests send in 10 s."""
    work_us = 0.0
    for number in range(20 * processes):
        driver = Driver(replace(SLOW_START, proxies=20, proxy=number // processes), servers=0, seed=number)
        driver.handle(ProcessesChanged(processes))
        driver.list_servers(ListedServer(1, started_us=driver.now_us))
        for _ in range(1_000):
            name, actions = driver.start_request()
            if send_actions(actions):
                work_us += driver.balancer.latency.unloaded_us[0]
                driver.end_attempt(name, 1, latency_us=30_000)
            driver.now_us += 10_000
    return work_us


def test_two_processes_of_one_proxy_share_its_quota_of_the_collapse_budget() -> None:
    """During the replacement of a process a proxy has two, and each used the proxy's whole quota."""
    assert 0 < work_sent_to_warming_server(2) < 1.25 * work_sent_to_warming_server(1)


def test_last_remaining_process_has_the_whole_quota() -> None:
    driver = Driver(SLOW_START)
    whole_us = driver.balancer.slow_start.budget_us()
    driver.handle(ProcessesChanged(2))
    assert driver.balancer.slow_start.budget_us() == whole_us / 2
    for count in (1, 0, -3):
        driver.handle(ProcessesChanged(count))
        assert driver.balancer.slow_start.budget_us() == whole_us


def test_warming_server_is_drawn_in_proportion_to_its_capacity() -> None:
    """At a low request rate, the collapse budget alone would let a warming server get as many requests as others."""
    driver = Driver(replace(SLOW_START, proxies=1), servers=0)
    driver.list_servers(ListedServer(1), ListedServer(2, started_us=driver.now_us))
    driver.balancer.endpoints.by_server[2].weight = driver.balancer.endpoints.by_server[1].weight
    count = dict.fromkeys((1, 2), 0)
    for _ in range(2_000):  # the clock stands still, and no two requests are in flight at the same time
        name, actions = driver.start_request()
        (send,) = send_actions(actions)
        count[send.server] += 1
        driver.balancer.endpoints.by_server[2].slow_start.bucket_us = 0.0
        driver.end_attempt(name, send.server, latency_us=30_000)
    share = SLOW_START.start_capacity
    assert count[2] / count[1] == pytest.approx(share, rel=0.2)


def test_server_past_its_slow_start_gets_only_small_bursts_until_it_is_settled() -> None:
    """A server may warm up more slowly than configured, and under overload all proxies prefer the emptiest server."""
    driver = Driver(replace(SLOW_START, proxies=1), servers=0)
    entry = ListedServer(1, started_us=driver.now_us)
    driver.list_servers(entry)
    server, budget_us = driver.balancer.endpoints.by_server[1], driver.balancer.slow_start.budget_us()

    def burst_us() -> float:
        """Return the work, in microseconds, that the server is sent while the clock stands still."""
        driver.balancer.endpoints.by_server[1].concurrency.limit = 10_000.0  # disables the concurrency limit
        cost_us, count = driver.balancer.latency.unloaded_us[0], 0
        while count < 1_000 and send_actions(driver.start_request()[1]):
            count += 1
        return count * cost_us

    driver.now_us = server.slow_start.ends_at_us
    assert 0 < burst_us() <= budget_us / 6
    driver = Driver(replace(SLOW_START, proxies=1), servers=0)
    driver.list_servers(entry)
    driver.now_us = driver.balancer.endpoints.by_server[1].slow_start.settled_at_us
    assert burst_us() > budget_us


def test_warming_server_outside_the_subset_is_not_used() -> None:
    """If many proxies avoided failing servers, all of them would use the same warming server."""
    driver = Driver(replace(SLOW_START, proxies=300), servers=60)
    last = driver.balancer.endpoints.ranked[-1].entry.server
    for server in driver.balancer.endpoints.ranked[:-1]:
        trip_breaker(server.breaker, driver.now_us)
    driver.list_servers(ListedServer(last, started_us=driver.now_us - 1), kind=ListKind.DELTA)
    assert driver.balancer.subset.candidates(driver.balancer.now_us, 0) == []


def test_attempt_without_late_weight_times_out_at_the_objective() -> None:
    """Attempts that waited until the client's timeout filled all queues with work whose answers were worthless."""
    driver = Driver(replace(SETTINGS, classes=(replace(SAFE, late_weight=0.0), SAFE)))
    assert send_actions(driver.start_request(class_index=0)[1])[0].timeout_us < SAFE.objective_us
    assert send_actions(driver.start_request(class_index=1)[1])[0].timeout_us > SAFE.objective_us


def test_slow_answers_shed_low_priority_first_and_prompt_answers_end_the_shedding() -> None:
    low_priority = replace(SAFE, priority_weight=1.0)
    high_priority = replace(SAFE, priority_weight=10.0)
    driver = Driver(Settings(classes=(low_priority, high_priority)))
    for number in range(100):
        driver.balancer.load_shedder.requested[number % 2] += 1
        driver.balancer.load_shedder.served[number % 2] += 1
    for latency_us, shed in ((390_000, [True, False]), (5_000, [False, False])):
        for _ in range(round(0.3 / SHED_STEP)):
            name, actions = driver.start_request(class_index=1)
            driver.balancer.load_shedder.adjusted_at_us = driver.now_us - 200_000
            driver.end_attempt(name, send_actions(actions)[0].server, latency_us=latency_us)
            driver.now_us += 400_000
        refused = []
        for class_index in (0, 1):
            name, actions = driver.start_request(class_index=class_index)
            refused.append(bool(final_actions(actions)))
            if send_actions(actions):
                driver.handle(RequestGone(name))
                driver.end_attempt(name, send_actions(actions)[0].server, Outcome.CANCELLED)
        assert refused == shed


def test_no_retry_after_a_timeout_while_load_is_shed() -> None:
    """Retries and hedged requests of 300 proxies doubled the load at the first overload, which then never ended."""
    driver = Driver()
    driver.balancer.load_shedder.low_priority_ratio = SHED_STEP
    driver.balancer.rng.seed(1)
    name, actions = driver.start_request(class_index=0)
    while not send_actions(actions):
        name, actions = driver.start_request(class_index=0)
    driver.balancer.load_shedder.low_priority_ratio = SHED_STEP * 3
    assert not send_actions(driver.end_attempt(name, send_actions(actions)[0].server, Outcome.TIMEOUT))


def test_last_try_with_a_longer_timeout_does_not_make_first_tries_late() -> None:
    """Clients give their last try all the time left; first tries, which have less, were refused as late retries."""
    worthless_late = replace(SAFE, late_weight=0.0)
    for marks_retry in (True, False):
        driver = Driver(replace(SETTINGS, classes=(worthless_late,), marks_retry=marks_retry))
        for n in range(30):
            client_timeout_us = 330_000 if n % 5 == 4 else 220_000
            name, actions = driver.start_request(
                client_timeout_us=client_timeout_us, is_retry=marks_retry and n % 5 == 4
            )
            (send,) = send_actions(actions)
            if n > 4:
                assert (send.timeout_us < 150_000) == (n % 5 == 4)
            driver.end_attempt(name, send.server)


def test_server_keeps_its_weight_while_its_breaker_is_open() -> None:
    """Late outcomes and failed probes reduced the weight with which a recovering server resumed."""
    driver = Driver(servers=1)
    server = driver.balancer.endpoints.by_server[0]
    names = [driver.start_request(class_index=2)[0] for _ in range(2)]
    trip_breaker(server.breaker, driver.now_us)
    weight = server.weight
    driver.end_attempt(names[0], 0, Outcome.ERROR)  # sent before the breaker opened
    assert server.weight == weight
    driver.now_us = server.breaker.open_until_us
    driver.end_attempt(names[1], 0, Outcome.ERROR)
    assert server.weight == weight


def test_at_a_high_answer_rate_a_few_slow_answers_shed_little_and_a_second_of_them_nearly_all() -> None:
    """A restarted gateway refused 90% of requests because its first answers had waited for new connections."""
    driver = Driver(Settings(classes=(replace(SAFE, priority_weight=10.0),)))
    name, actions = driver.start_request()
    driver.end_attempt(name, send_actions(actions)[0].server, latency_us=5_000)
    shed_ratios = []
    for _ in range(300):
        driver.now_us += 3_300
        driver.balancer.load_shedder.high_priority_ratio = 0.0  # admits the request whatever the present ratios are
        ratio, driver.balancer.load_shedder.low_priority_ratio = driver.balancer.load_shedder.low_priority_ratio, 0.0
        name, actions = driver.start_request()
        driver.balancer.load_shedder.low_priority_ratio = ratio
        driver.end_attempt(name, send_actions(actions)[0].server, latency_us=390_000)
        shed_ratios.append(driver.balancer.load_shedder.low_priority_ratio)
    assert shed_ratios[9] <= 0.3 and shed_ratios[-1] >= 0.9


def test_home_server_of_a_key_is_mostly_in_the_proxys_zone() -> None:
    """Half of the keys had their home server in another zone, and a third of the attempts crossed zones."""
    prices = Prices(cross_zone=0.08)
    driver = Driver(replace(SETTINGS, servers_know_keys=True, prices=prices), servers=0)
    driver.list_servers(*(ListedServer(n, zone=n % 2) for n in range(10)))
    driver.balancer.subset.size = 10.0
    crossed = 0
    for key in range(400):
        name, actions = driver.start_request(key=key * 7919)
        (sent,) = send_actions(actions)
        crossed += sent.server % 2
        driver.end_attempt(name, sent.server)
        driver.now_us += 10_000
        driver.balancer.subset.size = 10.0
    assert crossed < 50


def test_short_timeout_indicates_no_retry_if_timeouts_vary() -> None:
    """First tries with unusually short timeouts were taken for retries past their objective, and refused."""
    driver = Driver(replace(SETTINGS, classes=(replace(SAFE, late_weight=0.0),)), servers=5)
    driver.balancer.latency.unloaded_us[0] = driver.balancer.latency.smoothed_us[0] = 10_000.0
    sent = 0
    for number in range(200):
        name, actions = driver.start_request(client_timeout_us=20_000 + number * 7919 % 60_000)
        sent += len(send_actions(actions))
        if send_actions(actions):
            driver.end_attempt(name, send_actions(actions)[0].server, latency_us=10_000)
        driver.now_us += 20_000
    assert sent > 150
    # A request whose timeout is too short for any answer is still refused.
    assert not send_actions(driver.start_request(client_timeout_us=2_000)[1])


def test_timeout_shorter_than_the_usual_latency_is_no_failure_of_the_server() -> None:
    driver = Driver(servers=1)
    for _ in range(MIN_OUTCOMES * 3):
        driver.balancer.client_timeouts.regular_ratio[0] = 0.0  # clients give each try a timeout of its own
        name, actions = driver.start_request()
        driver.end_attempt(name, send_actions(actions)[0].server, Outcome.TIMEOUT, latency_us=30_000)
    assert (
        driver.balancer.endpoints.by_server[0].breaker.state is BreakerState.CLOSED
        and driver.balancer.load_shedder.low_priority_ratio == 0
    )


def test_one_failed_connect_does_not_open_the_breaker_of_a_server_that_just_answered() -> None:
    """Occasional connection failures opened the breakers of most of the fleet, each for a second or more."""
    for quiet_us, state in (
        (INITIAL_COOLDOWN_US // 2, BreakerState.CLOSED),
        (INITIAL_COOLDOWN_US * 2, BreakerState.OPEN),
    ):
        driver = Driver(servers=1)
        name, actions = driver.start_request()
        driver.end_attempt(name, send_actions(actions)[0].server)
        driver.now_us += quiet_us
        name, actions = driver.start_request()
        driver.end_attempt(name, send_actions(actions)[0].server, Outcome.CONNECT_FAILED)
        assert driver.balancer.endpoints.by_server[0].breaker.state is state
    driver = Driver(servers=1)
    for outcome in (Outcome.OK, Outcome.CONNECT_FAILED, Outcome.CONNECT_FAILED):
        name, actions = driver.start_request()
        driver.end_attempt(name, send_actions(actions)[0].server, outcome)
    # The second consecutive connection failure opens the breaker.
    assert driver.balancer.endpoints.by_server[0].breaker.state is BreakerState.OPEN


def test_keyed_retry_must_be_written_within_the_window() -> None:
    """A retry decided within the window may wait for its connection, so `Send` carries the end of the window.

    The window begins when the first attempt that may have run is sent.
    """
    driver = Driver(servers=8)
    name, actions = driver.start_request(1, 800_000)
    (first,) = send_actions(actions)
    first_sent_us = driver.now_us
    assert first.write_deadline_us == 0
    driver.now_us += 10_000
    (second,) = send_actions(driver.end_attempt(name, first.server, Outcome.CONNECT_FAILED, 0))
    assert second.write_deadline_us == 0  # the first attempt did not run
    driver.now_us += 20_000
    (third,) = send_actions(driver.end_attempt(name, second.server, Outcome.RESET, 1))
    assert third.write_deadline_us == first_sent_us + 10_000 + KEYED.window_us
    name, actions = driver.start_request(0)
    (first,) = send_actions(actions)
    (second,) = send_actions(driver.end_attempt(name, first.server, Outcome.RESET))
    assert second.write_deadline_us == 0  # a safe request may run any number of times


def test_shutdown_answers_every_request_according_to_its_effect() -> None:
    driver = Driver()
    safe, keyed, unsafe = (driver.start_request(class_index, 10_000_000)[0] for class_index in range(3))
    done, actions = driver.start_request(0, 10_000_000)
    driver.end_attempt(done, send_actions(actions)[0].server)
    answered = final_actions(driver.handle(AnswerAll()))
    assert [(type(a), a.request) for a in answered] == [(Refuse, safe), (Fail, keyed), (Fail, unsafe)]
    assert not final_actions(driver.handle(AnswerAll()))  # each request is answered only once
