"""Request life, subset, shedding, cold servers and membership by example: a test for each failure found."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest

from tests.helpers import KEYED, SAFE, SETTINGS, UNSAFE, Driver, finals, sends, timers, trip
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


def test_an_unsafe_request_that_may_have_run_fails_at_once() -> None:
    driver = Driver()
    name, actions = driver.arrive(class_index=2)
    answer = driver.end(name, sends(actions)[0].server, Outcome.RESET)
    assert finals(answer) == [Fail(name)] and not sends(answer)


def test_an_unsafe_request_that_never_ran_goes_elsewhere() -> None:
    driver = Driver()
    name, actions = driver.arrive(class_index=2)
    first = sends(actions)[0].server
    again = sends(driver.end(name, first, Outcome.CONNECT_FAILED))
    assert len(again) == 1 and again[0].server != first


def test_a_keyed_request_stays_in_its_group_and_window() -> None:
    driver = Driver(servers=6)
    name, actions = driver.arrive(class_index=1)
    first = sends(actions)[0].server
    again = sends(driver.end(name, first, Outcome.RESET))
    assert again[0].server % 2 == first % 2
    name, actions = driver.arrive(class_index=1)
    driver.now_us += KEYED.window_us
    assert finals(driver.end(name, sends(actions)[0].server, Outcome.RESET)) == [Fail(name)]


def test_a_keyed_request_dropped_everywhere_may_be_refused() -> None:
    anywhere = replace(KEYED, scope=Scope.ALL)
    driver = Driver(replace(SETTINGS, classes=(anywhere,), max_attempts=1))
    name, actions = driver.arrive()
    assert finals(driver.end(name, sends(actions)[0].server, Outcome.ERROR)) == [Refuse(name)]


def test_attempts_end_with_the_limit() -> None:
    driver = Driver(replace(SETTINGS, max_attempts=2), servers=5)
    name, actions = driver.arrive()
    again = sends(driver.end(name, sends(actions)[0].server, Outcome.ERROR))
    assert finals(driver.end(name, again[0].server, Outcome.ERROR, attempt=1)) == [Refuse(name)]


def test_a_hedged_request_is_sent_when_the_first_is_overdue_and_the_loser_is_cancelled() -> None:
    driver = Driver()
    driver.balancer.latency.smoothed_us[0] = 20_000.0
    name, actions = driver.arrive()
    first = sends(actions)[0].server
    (timer,) = timers(actions)
    assert timer.due_us == driver.now_us + int(OVERDUE_FACTOR * 20_000)
    driver.now_us = timer.due_us
    copy = sends(driver.handle(TimerFired(timer.token)))[0]
    assert copy.server != first
    assert driver.end(name, copy.server, attempt=1) == [Cancel(name, 0)]
    driver.end(name, first, Outcome.CANCELLED)
    assert driver.balancer.endpoints.by_server[first].breaker.failures == 1  # overdue, so the silence counts
    assert not driver.balancer.lifecycle.requests


def test_no_hedged_request_where_none_is_allowed() -> None:
    driver = Driver(replace(SETTINGS, may_hedge=False))
    driver.balancer.latency.smoothed_us[0] = 20_000.0
    _, actions = driver.arrive()
    (timer,) = timers(actions)
    driver.now_us = timer.due_us
    assert not sends(driver.handle(TimerFired(timer.token)))


def test_an_unsafe_request_is_no_probe() -> None:
    driver = Driver(servers=2)
    breaker = driver.balancer.endpoints.by_server[0].breaker
    trip(breaker, driver.now_us)
    driver.now_us = breaker.open_until_us
    for _ in range(2):
        assert sends(driver.arrive(class_index=2)[1])[0].server == 1


def test_a_silent_server_gets_nothing_more() -> None:
    driver = Driver(servers=1)
    driver.arrive(class_index=2)
    driver.now_us += int(OVERDUE_FACTOR * max(driver.balancer.latency.smoothed_us)) + 1
    assert not sends(driver.arrive(class_index=2)[1])


def test_refusal_names_the_shortest_cooldown_when_all_are_open() -> None:
    driver = Driver(servers=2)
    for number, server in driver.balancer.endpoints.by_server.items():
        trip(server.breaker, driver.now_us + number * 100_000)
    driver.now_us += 400_000
    name, actions = driver.arrive()
    assert finals(actions) == [Refuse(name, 600_000)]


ORDERED = replace(SETTINGS, classes=(replace(UNSAFE, in_order=True),), key_rest_us=50_000)


def test_requests_of_a_key_take_turns() -> None:
    driver = Driver(ORDERED)
    first, actions = driver.arrive(key=7, client_timeout_us=900_000)
    server = sends(actions)[0].server
    second, actions = driver.arrive(key=7, client_timeout_us=900_000)
    assert not sends(actions) and not finals(actions)
    assert sends(driver.arrive(key=8)[1])
    (send,) = sends(driver.end(first, server))
    assert send.request == second
    third = driver.arrive(key=7, client_timeout_us=900_000)[0]
    driver.now_us += 10_000
    assert finals(driver.end(second, send.server, Outcome.RESET)) == [Fail(second)]
    rest = driver.timers[-1]
    assert rest.due_us == driver.now_us + 50_000
    driver.now_us = rest.due_us
    (send,) = sends(driver.handle(TimerFired(rest.token)))
    assert send.request == third
    driver.end(third, send.server)
    assert not driver.balancer.lifecycle.key_queues.queue_by_key.get(7)


def test_a_popular_key_is_refused_before_a_queue_that_cannot_be_served() -> None:
    """The hopeless one was refused its place in line, then sent out of turn all the same."""
    driver = Driver(ORDERED)
    told = [driver.arrive(key=7, client_timeout_us=400_000)[1] for _ in range(30)]
    refused = [actions for actions in told if finals(actions)]
    assert len(refused) > 20 and sum(len(sends(actions)) for actions in told) == 1
    waiting = driver.timers[-1]
    driver.now_us = waiting.due_us
    assert finals(driver.handle(TimerFired(waiting.token)))


def test_full_is_no_proof_where_the_settings_say_so() -> None:
    for unproven in (True, False):
        driver = Driver(replace(SETTINGS, full_unproven=unproven))
        name, actions = driver.arrive(class_index=2)
        answer = driver.end(name, sends(actions)[0].server, Outcome.FULL)
        assert (finals(answer) == [Fail(name)]) == unproven
        assert bool(sends(answer)) != unproven


def test_a_server_bad_for_one_class_keeps_the_others() -> None:
    """Half the servers turned one class away; verdicts on whole servers wasted half the fleet."""
    driver = Driver(servers=2)
    name, actions = driver.arrive(class_index=2)
    bad = sends(actions)[0].server
    driver.end(name, bad)
    server = driver.balancer.endpoints.by_server[bad]
    while server.breaker.state is BreakerState.CLOSED and server.class_health(0).breaker.state is BreakerState.CLOSED:
        name, actions = driver.arrive(class_index=0)
        first = sends(actions)[0].server
        outcome = Outcome.FULL if first == bad else Outcome.OK
        for again in sends(driver.end(name, first, outcome)):
            driver.end(name, again.server, attempt=1)
    assert server.breaker.state is BreakerState.CLOSED and server.breaker.failures == 0
    assert server not in driver.balancer.subset.candidates(
        driver.balancer.now_us, 0
    ) and server in driver.balancer.subset.candidates(driver.balancer.now_us, 2)
    assert driver.balancer.load_shedder.high_priority_ratio == 0.0


def test_failures_of_every_class_are_the_servers_own() -> None:
    driver = Driver(servers=1)
    for class_index in (2, 1, 0, 2, 1):
        name, actions = driver.arrive(class_index=class_index)
        if sends(actions):
            driver.end(name, 0, Outcome.ERROR)
    assert driver.balancer.endpoints.by_server[0].breaker.failures >= 3


def test_silence_sheds_as_a_slow_answer_does_but_less_where_it_was_cut_at_the_objective() -> None:
    """Dropped connections were shed for, and the idler connections that followed were dropped too."""
    moved = []
    cut = replace(SAFE, late_weight=0.0)
    for class_index, outcome, latency_us in (
        (SAFE, Outcome.TIMEOUT, 390_000),
        (SAFE, Outcome.OK, 390_000),
        (cut, Outcome.TIMEOUT, 190_000),
        (cut, Outcome.OK, 10_000),
    ):
        driver = Driver(replace(SETTINGS, classes=(class_index,)))
        name, actions = driver.arrive()
        driver.balancer.latency.smoothed_us[0] = driver.balancer.latency.unloaded_us[0] = 50_000.0
        driver.balancer.load_shedder.adjusted_at_us = driver.now_us
        driver.end(name, sends(actions)[0].server, outcome, latency_us=latency_us)
        moved.append(driver.balancer.load_shedder.high_priority_ratio)
    assert moved[0] == moved[1] > moved[2] > moved[3] == 0.0


@pytest.mark.parametrize("client_timeout_us", [0, 1, 40])
@pytest.mark.parametrize("class_index", [0, 1, 2])
def test_a_request_with_hardly_any_time_gets_one_answer(class_index: int, client_timeout_us: int) -> None:
    driver = Driver()
    name, actions = driver.arrive(class_index=class_index, client_timeout_us=client_timeout_us)
    answers = finals(actions)
    for send in sends(actions):
        assert 0 < send.timeout_us <= max(1, client_timeout_us)
        driver.now_us += send.timeout_us
        answers += finals(driver.end(name, send.server, Outcome.TIMEOUT))
    assert len(answers) == 1 and not driver.balancer.lifecycle.requests


@pytest.mark.parametrize("scope", list(Scope))
def test_a_keyed_retry_keeps_to_its_scope_and_ends_with_the_window(scope: Scope) -> None:
    """The window counts from the first attempt that may have run, to the microsecond."""
    for late in (0, 1):
        class_index = replace(KEYED, scope=scope)
        driver = Driver(replace(SETTINGS, classes=(class_index,)), servers=0)
        driver.list_servers(*(ListedServer(n, zone=n % 2, group=n % 3) for n in range(12)))
        name, actions = driver.arrive(client_timeout_us=700_000)
        first = sends(actions)[0].server
        driver.now_us += KEYED.window_us - 1 + late
        again = sends(driver.end(name, first, Outcome.RESET))
        assert len(again) == 1 - late
        if again and scope is Scope.ZONE:
            assert again[0].server % 2 == first % 2
        if again and scope is Scope.GROUP:
            assert again[0].server % 3 == first % 3


def test_a_tenant_beyond_its_share_yields_first_while_anything_is_shed() -> None:
    """One tenant's clients repeated without limit, and all tenants were refused alike."""
    tenants = (Tenant(0.5, 10.0), Tenant(0.5, 10.0))
    driver = Driver(replace(SETTINGS, tenants=tenants, overuse_weight=0.1), servers=9)
    refused = [0, 0]
    for n in range(600):
        driver.balancer.load_shedder.low_priority_ratio = driver.balancer.load_shedder.high_priority_ratio = 0.1 * (
            n > 200
        )
        tenant = int(n % 10 == 0)
        name, actions = driver.arrive(class_index=0, tenant=tenant)
        refused[tenant] += bool(finals(actions))
        for send in sends(actions):
            driver.end(name, send.server)
    assert refused[0] > 60 and refused[1] <= 20
    assert (
        driver.balancer.lifecycle.tenant_fairness.record(1)
        <= 0.0
        < driver.balancer.lifecycle.tenant_fairness.record(0)
    )
    assert driver.balancer.lifecycle.tenant_fairness.record(7) == 0.0


def test_without_servers_requests_are_refused() -> None:
    driver = Driver(servers=0)
    name, actions = driver.arrive(class_index=2)
    assert finals(actions) == [Refuse(name)]


def test_the_client_leaving_ends_the_request() -> None:
    driver = Driver()
    name, actions = driver.arrive()
    assert driver.handle(RequestGone(name)) == [Cancel(name, 0)]
    assert not finals(driver.end(name, sends(actions)[0].server, Outcome.CANCELLED))
    assert not driver.balancer.lifecycle.requests


def test_a_stream_is_left_alone() -> None:
    driver = Driver()
    name, actions = driver.arrive()
    driver.handle(StreamStarted(name, 0))
    for timer in timers(actions):
        driver.now_us = timer.due_us
        assert not driver.handle(TimerFired(timer.token))
    driver.end(name, sends(actions)[0].server)
    assert not driver.balancer.lifecycle.requests


def test_an_id_in_use_is_not_taken_twice() -> None:
    driver = Driver()
    driver.arrive()
    driver.count = 0
    _, actions = driver.arrive()
    assert not sends(actions) and not finals(actions)


def test_log_lines_are_rate_limited() -> None:
    driver = Driver()
    first, second = driver.arrive(class_index=7)[1], driver.arrive(class_index=7)[1]
    driver.now_us += MIN_LOG_INTERVAL_US
    third = driver.arrive(class_index=7)[1]
    assert [sum(isinstance(a, Log) for a in actions) for actions in (first, second, third)] == [1, 0, 1]


def test_servers_in_other_zones_weigh_less_by_the_price_of_crossing() -> None:
    driver = Driver(replace(SETTINGS, prices=Prices(cross_zone=0.05)), servers=0)
    driver.list_servers(ListedServer(1, zone=0), ListedServer(2, zone=1))
    to_home = 0
    for _ in range(200):
        name, actions = driver.arrive()
        to_home += sends(actions)[0].server == 1
        driver.end(name, sends(actions)[0].server)
    assert 130 < to_home < 190


def test_a_keys_requests_go_home_while_it_is_below_its_limit() -> None:
    driver = Driver(replace(SETTINGS, servers_know_keys=True), servers=8)
    met: dict[int, int] = {}
    for _ in range(100):
        name, actions = driver.arrive(key=77)
        server = sends(actions)[0].server
        met[server] = met.get(server, 0) + 1
        driver.end(name, server)
    assert max(met.values()) > 50 and len(met) > 1


def test_an_unknown_class_is_failed() -> None:
    driver = Driver()
    name, actions = driver.arrive(class_index=7)
    assert finals(actions) == [Fail(name)]


def test_a_draining_or_gone_server_gets_nothing_new() -> None:
    driver = Driver(servers=3)
    driver.list_servers(
        ListedServer(0, ServerStatus.DRAINING), ListedServer(1, ServerStatus.GONE), kind=ListKind.DELTA
    )
    for _ in range(4):
        assert sends(driver.arrive()[1])[0].server == 2


def test_a_complete_list_drops_what_it_lacks_and_a_restart_empties_the_record() -> None:
    driver = Driver(servers=3)
    driver.balancer.endpoints.by_server[1].breaker.record_outcome(0, True, 0, 0.0)
    driver.list_servers(ListedServer(1, started_us=driver.now_us))
    assert list(driver.balancer.endpoints.by_server) == [1]
    assert driver.balancer.endpoints.by_server[1].breaker.failures == 0


def test_the_list_is_asked_for_and_asked_again_after_an_error() -> None:
    driver = Driver(replace(SETTINGS, list_is_pushed=False), servers=0)
    (timer,) = timers(driver.list_servers(ListedServer(1), kind=ListKind.DISK))
    assert 0 <= timer.due_us - driver.now_us < SETTINGS.max_poll_interval_us / 5  # not all proxies at once
    driver.now_us = timer.due_us
    assert driver.handle(TimerFired(timer.token)) == [WatchList()]
    for _ in range(8):
        (timer,) = timers(driver.handle(ServerList(ListKind.ERROR)))
        assert 0 < timer.due_us - driver.now_us < SETTINGS.max_poll_interval_us
        driver.now_us = timer.due_us
        assert driver.handle(TimerFired(timer.token)) == [WatchList()]
    assert list(driver.balancer.endpoints.by_server) == [1]


def test_nothing_is_kept_of_what_is_finished() -> None:
    driver = Driver(servers=4)
    for n in range(3_000):
        name, actions = driver.arrive(class_index=n % 3)
        for send in sends(actions):
            driver.end(name, send.server, Outcome.OK if n % 7 else Outcome.CONNECT_FAILED)
        if n % 100 == 0:
            driver.list_servers(*(ListedServer(n + i) for i in range(4)))
        for request in list(driver.balancer.lifecycle.requests):
            driver.handle(RequestGone(request))
            for i in range(3):
                driver.end(request, 0, Outcome.CANCELLED, attempt=i)
        driver.now_us += 10_000
    for timer in driver.timers:
        driver.handle(TimerFired(timer.token))
    balancer = driver.balancer
    assert not balancer.lifecycle.requests and len(balancer.endpoints.by_server) == 4
    assert not balancer.timers.request_by_token
    assert len(balancer.endpoints.ranked) == 4 and balancer.sender.in_flight == 0


def test_a_clock_that_steps_back_stands_still() -> None:
    driver = Driver()
    driver.balancer.handle(driver.now_us, RequestGone("none"))
    driver.balancer.handle(driver.now_us - 5_000_000, RequestGone("none"))
    assert driver.balancer.now_us == driver.now_us


NAN = float("nan")


@pytest.mark.parametrize(
    ("bad", "named"),
    [
        ({"objective_us": 0}, "aim_us"),
        ({"client_timeout_us": -1}, "give_up_us"),
        ({"window_us": -1}, "window_us"),
        ({"priority_weight": NAN}, "worth"),
        ({"late_weight": 1.5}, "late_worth"),
    ],
)
def test_classes_that_cannot_be_used_are_rejected(bad: dict[str, float], named: str) -> None:
    with pytest.raises(ValueError, match=named):
        RequestClass(**{"objective_us": 1, "client_timeout_us": 1, **bad})  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("bad", "named"),
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
def test_settings_that_cannot_be_used_are_rejected(bad: dict[str, object], named: str) -> None:
    with pytest.raises(ValueError, match=named):
        replace(SETTINGS, **bad)  # type: ignore[arg-type]


def test_a_proxy_with_few_answers_sheds_as_soon_as_a_busy_one() -> None:
    """Of 850 proxies each saw three answers in the five seconds in which the fleet jammed."""
    shed = []
    for gap_us in (100_000, 1_500_000):
        driver = Driver()
        name, actions = driver.arrive(class_index=2)
        driver.balancer.load_shedder.adjusted_at_us = driver.now_us
        driver.now_us += gap_us
        driver.end(name, sends(actions)[0].server, latency_us=290_000)
        shed.append(driver.balancer.load_shedder.low_priority_ratio)
    assert shed[1] >= 2 * shed[0] > 0


def test_unsafe_is_the_default_effect() -> None:
    assert RequestClass(objective_us=1, client_timeout_us=1).effect is UNSAFE.effect


def test_a_proxy_keeps_to_its_subset() -> None:
    """With a server each, hundreds of proxies filled every connection table: 90% of attempts got none."""
    met: set[int] = set()
    driver = Driver(replace(SETTINGS, proxies=300, proxy=5), servers=60)
    for _ in range(300):
        name, actions = driver.arrive()
        met.add(sends(actions)[0].server)
        driver.end(name, sends(actions)[0].server)
    assert len(met) <= MIN_SUBSET_SIZE + 1


def test_subsets_are_even_and_move_little() -> None:
    used = [0] * 40
    for proxy in range(400):
        ranks = sorted(range(40), key=lambda server: rendezvous_rank(proxy, server, 1.0))
        without = [server for server in ranks if server != 3]
        assert [r for r in ranks[:4] if r != 3] == without[: 4 - (3 in ranks[:4])]
        for server in ranks[:4]:
            used[server] += 1
    assert min(used) > 20 and max(used) < 65


def test_a_proxy_with_more_in_flight_has_a_larger_subset() -> None:
    """One proxy with a fifth of all traffic would crush the few servers of a fixed subset."""
    driver = Driver(replace(SETTINGS, proxies=300), servers=60)
    met = {sends(driver.arrive(class_index=2)[1])[0].server for _ in range(40)}
    assert len(met) > 3 * MIN_SUBSET_SIZE


def test_an_open_server_gives_its_place_to_the_next_in_rank() -> None:
    driver = Driver(replace(SETTINGS, proxies=300), servers=60)
    subset = driver.balancer.subset.candidates(driver.balancer.now_us, 0)
    trip(subset[0].breaker, driver.now_us)
    after = driver.balancer.subset.candidates(driver.balancer.now_us, 0)
    assert subset[0] not in after and after[: len(subset) - 1] == subset[1:] and len(after) == len(subset)


def test_one_failed_connect_opens() -> None:
    """A full connection table was asked again by every proxy until five outcomes had come."""
    driver = Driver()
    name, actions = driver.arrive()
    first = sends(actions)[0].server
    driver.end(name, first, Outcome.CONNECT_FAILED)
    assert not driver.balancer.endpoints.by_server[first].breaker.can_admit(driver.now_us)


COLD = replace(
    SETTINGS,
    start_capacity=0.2,
    slow_start_us=20_000_000,
    collapse_multiple=3.0,
    collapse_window_us=1_000_000,
    proxies=40,
)


def test_warming_servers_are_kept_within_the_budget_by_all_proxies_together() -> None:
    """Each proxy sent its one allowed request at the moment a server was listed, forty at once."""
    work_us = [0.0] * 20  # by windows of half a second
    for proxy in range(40):
        driver = Driver(replace(COLD, proxy=proxy), servers=0, seed=proxy)
        driver.list_servers(ListedServer(1, started_us=driver.now_us))
        for step in range(1_000):
            name, actions = driver.arrive()
            if sends(actions):
                work_us[step // 50] += driver.balancer.latency.unloaded_us[0]
                driver.end(name, 1, latency_us=30_000)
            driver.now_us += 10_000
    for first, second in pairwise(work_us):
        assert first + second <= 3.0 * 0.6 * 1_000_000
    assert sum(work_us) > 0


def sent_to_a_cold_server(processes: int) -> float:
    """Work of ten seconds that 20 proxies send, each of so many processes, all of which have far more."""
    work_us = 0.0
    for number in range(20 * processes):
        driver = Driver(replace(COLD, proxies=20, proxy=number // processes), servers=0, seed=number)
        driver.handle(ProcessesChanged(processes))
        driver.list_servers(ListedServer(1, started_us=driver.now_us))
        for _ in range(1_000):
            name, actions = driver.arrive()
            if sends(actions):
                work_us += driver.balancer.latency.unloaded_us[0]
                driver.end(name, 1, latency_us=30_000)
            driver.now_us += 10_000
    return work_us


def test_two_processes_of_one_proxy_keep_to_its_quota_of_the_collapse_budget() -> None:
    """While a process is replaced the rules see one proxy, and each of the two took the whole part for its own."""
    assert 0 < sent_to_a_cold_server(2) < 1.25 * sent_to_a_cold_server(1)


def test_alone_again_a_process_has_the_whole_quota() -> None:
    driver = Driver(COLD)
    whole_us = driver.balancer.slow_start.budget_us()
    driver.handle(ProcessesChanged(2))
    assert driver.balancer.slow_start.budget_us() == whole_us / 2
    for count in (1, 0, -3):
        driver.handle(ProcessesChanged(count))
        assert driver.balancer.slow_start.budget_us() == whole_us


def test_a_warming_server_is_drawn_by_the_share_of_its_capacity_that_it_has() -> None:
    """Its budget alone would give it as much as a warm one where few requests come."""
    driver = Driver(replace(COLD, proxies=1), servers=0)
    driver.list_servers(ListedServer(1), ListedServer(2, started_us=driver.now_us))
    driver.balancer.endpoints.by_server[2].weight = driver.balancer.endpoints.by_server[1].weight
    count = dict.fromkeys((1, 2), 0)
    for _ in range(2_000):  # all at one age of the server, and none waits for another
        name, actions = driver.arrive()
        (send,) = sends(actions)
        count[send.server] += 1
        driver.balancer.endpoints.by_server[2].slow_start.bucket_us = 0.0
        driver.end(name, send.server, latency_us=30_000)
    share = COLD.start_capacity
    assert count[2] / count[1] == pytest.approx(share, rel=0.2)


def test_a_server_that_should_be_warm_gets_little_at_once_until_it_must_be() -> None:
    """It may be slower to warm up than told, and in a crowd every proxy turns to the emptiest server."""
    driver = Driver(replace(COLD, proxies=1), servers=0)
    entry = ListedServer(1, started_us=driver.now_us)
    driver.list_servers(entry)
    server, budget_us = driver.balancer.endpoints.by_server[1], driver.balancer.slow_start.budget_us()

    def taken_at_once() -> float:
        """Work, in microseconds, that it is sent in one moment."""
        driver.balancer.endpoints.by_server[1].concurrency.limit = 10_000.0  # that is another guard
        cost_us, count = driver.balancer.latency.unloaded_us[0], 0
        while count < 1_000 and sends(driver.arrive()[1]):
            count += 1
        return count * cost_us

    driver.now_us = server.slow_start.ends_at_us
    assert 0 < taken_at_once() <= budget_us / 6
    driver = Driver(replace(COLD, proxies=1), servers=0)
    driver.list_servers(entry)
    driver.now_us = driver.balancer.endpoints.by_server[1].slow_start.settled_at_us
    assert taken_at_once() > budget_us


def test_a_warming_server_beyond_the_subset_is_not_used() -> None:
    """When many step aside from failing servers, all would meet on the same cold one."""
    driver = Driver(replace(COLD, proxies=300), servers=60)
    last = driver.balancer.endpoints.ranked[-1].entry.server
    for server in driver.balancer.endpoints.ranked[:-1]:
        trip(server.breaker, driver.now_us)
    driver.list_servers(ListedServer(last, started_us=driver.now_us - 1), kind=ListKind.DELTA)
    assert driver.balancer.subset.candidates(driver.balancer.now_us, 0) == []


def test_what_is_worthless_late_is_timed_out_at_the_objective() -> None:
    """Attempts left until the client gave up filled every queue with work that no one wanted any more."""
    driver = Driver(replace(SETTINGS, classes=(replace(SAFE, late_weight=0.0), SAFE)))
    assert sends(driver.arrive(class_index=0)[1])[0].timeout_us < SAFE.objective_us
    assert sends(driver.arrive(class_index=1)[1])[0].timeout_us > SAFE.objective_us


def test_long_waits_shed_low_priority_first_and_prompt_answers_end_it() -> None:
    cheap = replace(SAFE, priority_weight=1.0)
    dear = replace(SAFE, priority_weight=10.0)
    driver = Driver(Settings(classes=(cheap, dear)))
    for number in range(100):
        driver.balancer.load_shedder.requested[number % 2] += 1
        driver.balancer.load_shedder.served[number % 2] += 1
    for latency_us, shed in ((390_000, [True, False]), (5_000, [False, False])):
        for _ in range(round(0.3 / SHED_STEP)):
            name, actions = driver.arrive(class_index=1)
            driver.balancer.load_shedder.adjusted_at_us = driver.now_us - 200_000
            driver.end(name, sends(actions)[0].server, latency_us=latency_us)
            driver.now_us += 4_000_000
        refused = []
        for class_index in (0, 1):
            name, actions = driver.arrive(class_index=class_index)
            refused.append(bool(finals(actions)))
            if sends(actions):
                driver.handle(RequestGone(name))
                driver.end(name, sends(actions)[0].server, Outcome.CANCELLED)
        assert refused == shed


def test_no_hedge_and_no_retry_of_what_may_have_run_while_anything_is_shed() -> None:
    """Three hundred proxies doubled their work at the first jam, and the fleet never left it."""
    driver = Driver()
    driver.balancer.load_shedder.low_priority_ratio = SHED_STEP
    driver.balancer.rng.seed(1)
    name, actions = driver.arrive(class_index=0)
    while not sends(actions):
        name, actions = driver.arrive(class_index=0)
    driver.balancer.load_shedder.low_priority_ratio = SHED_STEP * 3
    assert not sends(driver.end(name, sends(actions)[0].server, Outcome.TIMEOUT))


def test_a_last_try_that_is_given_more_does_not_make_first_tries_late() -> None:
    """Clients leave their last try all the time left: first tries, given less, were refused as late."""
    late = replace(SAFE, late_weight=0.0)
    for marks in (True, False):
        driver = Driver(replace(SETTINGS, classes=(late,), marks_retry=marks))
        for n in range(30):
            client_timeout_us = 330_000 if n % 5 == 4 else 220_000
            name, actions = driver.arrive(client_timeout_us=client_timeout_us, is_retry=marks and n % 5 == 4)
            (send,) = sends(actions)
            if n > 4:
                assert (send.timeout_us < 150_000) == (n % 5 == 4)
            driver.end(name, send.server)


def test_a_server_keeps_its_weight_from_before_its_breaker_opened() -> None:
    """Late outcomes and failed trials cut the weight that a recovering server was to come back with."""
    driver = Driver(servers=1)
    server = driver.balancer.endpoints.by_server[0]
    names = [driver.arrive(class_index=2)[0] for _ in range(2)]
    trip(server.breaker, driver.now_us)
    weight = server.weight
    driver.end(names[0], 0, Outcome.ERROR)  # sent before the trip
    assert server.weight == weight
    driver.now_us = server.breaker.open_until_us
    driver.end(names[1], 0, Outcome.ERROR)
    assert server.weight == weight


def test_where_many_answers_come_a_few_that_waited_shed_little_and_a_second_of_them_nearly_all() -> None:
    """A restarted gateway refused nine in ten: its first answers had waited for new connections."""
    driver = Driver(Settings(classes=(replace(SAFE, priority_weight=10.0),)))
    name, actions = driver.arrive()
    driver.end(name, sends(actions)[0].server, latency_us=5_000)
    sheds = []
    for _ in range(300):
        driver.now_us += 3_300
        driver.balancer.load_shedder.high_priority_ratio = 0.0  # each is let through, whatever is shed by now
        shed, driver.balancer.load_shedder.low_priority_ratio = driver.balancer.load_shedder.low_priority_ratio, 0.0
        name, actions = driver.arrive()
        driver.balancer.load_shedder.low_priority_ratio = shed
        driver.end(name, sends(actions)[0].server, latency_us=390_000)
        sheds.append(driver.balancer.load_shedder.low_priority_ratio)
    assert sheds[9] <= 0.3 and sheds[-1] >= 0.9


def test_the_home_of_a_key_mostly_lies_in_the_own_zone() -> None:
    """Half of the keys had theirs in another zone, and a third of the attempts crossed."""
    prices = Prices(cross_zone=0.08)
    driver = Driver(replace(SETTINGS, servers_know_keys=True, prices=prices), servers=0)
    driver.list_servers(*(ListedServer(n, zone=n % 2) for n in range(10)))
    driver.balancer.subset.size = 10.0
    crossed = 0
    for key in range(400):
        name, actions = driver.arrive(key=key * 7919)
        (sent,) = sends(actions)
        crossed += sent.server % 2
        driver.end(name, sent.server)
        driver.now_us += 10_000
        driver.balancer.subset.size = 10.0
    assert crossed < 50


def test_where_every_try_has_a_timeout_of_its_own_a_short_one_marks_no_retry() -> None:
    """First tries with odd short times were refused unsent: they passed for repeats whose aim was over."""
    driver = Driver(replace(SETTINGS, classes=(replace(SAFE, late_weight=0.0),)), servers=5)
    driver.balancer.latency.unloaded_us[0] = driver.balancer.latency.smoothed_us[0] = 10_000.0
    sent = 0
    for number in range(200):
        name, actions = driver.arrive(client_timeout_us=20_000 + number * 7919 % 60_000)
        sent += len(sends(actions))
        if sends(actions):
            driver.end(name, sends(actions)[0].server, latency_us=10_000)
        driver.now_us += 20_000
    assert sent > 150
    # What is too short for any answer is not sent all the same.
    assert not sends(driver.arrive(client_timeout_us=2_000)[1])


def test_a_time_out_sooner_than_an_answer_takes_is_no_verdict() -> None:
    driver = Driver(servers=1)
    for _ in range(MIN_OUTCOMES * 3):
        driver.balancer.client_timeouts.regular_ratio[0] = 0.0  # clients give each try a time of its own
        name, actions = driver.arrive()
        driver.end(name, sends(actions)[0].server, Outcome.TIMEOUT, latency_us=30_000)
    assert (
        driver.balancer.endpoints.by_server[0].breaker.state is BreakerState.CLOSED
        and driver.balancer.load_shedder.low_priority_ratio == 0
    )


def test_one_failed_connection_opens_no_server_that_answered_well_a_moment_ago() -> None:
    """Connections that break now and then opened most of the fleet, each for a second or more."""
    for quiet_us, state in (
        (INITIAL_COOLDOWN_US // 2, BreakerState.CLOSED),
        (INITIAL_COOLDOWN_US * 2, BreakerState.OPEN),
    ):
        driver = Driver(servers=1)
        name, actions = driver.arrive()
        driver.end(name, sends(actions)[0].server)
        driver.now_us += quiet_us
        name, actions = driver.arrive()
        driver.end(name, sends(actions)[0].server, Outcome.CONNECT_FAILED)
        assert driver.balancer.endpoints.by_server[0].breaker.state is state
    driver = Driver(servers=1)
    for outcome in (Outcome.OK, Outcome.CONNECT_FAILED, Outcome.CONNECT_FAILED):
        name, actions = driver.arrive()
        driver.end(name, sends(actions)[0].server, outcome)
    assert driver.balancer.endpoints.by_server[0].breaker.state is BreakerState.OPEN  # the second in a row


def test_a_retry_of_a_keyed_request_has_to_begin_while_repeats_are_dropped() -> None:
    """Chosen in time it may wait for its connection: the time goes with it, from the first that may have run."""
    driver = Driver(servers=8)
    name, actions = driver.arrive(1, 800_000)
    (first,) = sends(actions)
    begun_us = driver.now_us
    assert first.write_deadline_us == 0
    driver.now_us += 10_000
    (second,) = sends(driver.end(name, first.server, Outcome.CONNECT_FAILED, 0))
    assert second.write_deadline_us == 0  # nothing has run
    driver.now_us += 20_000
    (third,) = sends(driver.end(name, second.server, Outcome.RESET, 1))
    assert third.write_deadline_us == begun_us + 10_000 + KEYED.window_us
    free, actions = driver.arrive(0)
    (one,) = sends(actions)
    (again,) = sends(driver.end(free, one.server, Outcome.RESET))
    assert again.write_deadline_us == 0  # it may run as often as it likes


def test_at_the_end_of_the_process_every_request_is_answered_as_its_effect_allows() -> None:
    driver = Driver()
    safe, keyed, unsafe = (driver.arrive(class_index, 10_000_000)[0] for class_index in range(3))
    done, actions = driver.arrive(0, 10_000_000)
    driver.end(done, sends(actions)[0].server)
    answered = finals(driver.handle(AnswerAll()))
    assert [(type(a), a.request) for a in answered] == [(Refuse, safe), (Fail, keyed), (Fail, unsafe)]
    assert not finals(driver.handle(AnswerAll()))  # once each
