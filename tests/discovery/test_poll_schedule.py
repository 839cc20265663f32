"""Poll schedule: total detection times, and versions for any sequence of replies and failures."""

from __future__ import annotations

import heapq
import random

from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.balancing.endpoint_updates import MAX_RETRY_POLL_US
from cloverkeel.balancing.events import ListKind, ServerList
from cloverkeel.balancing.settings import Settings
from cloverkeel.discovery.poll_schedule import (
    FIRST_REPLY_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    SILENT_CONNECTION_DETECTION_S,
    LONG_POLL_HOLD_S,
    LONG_POLL_GRACE_S,
    LONG_POLL_RENEWAL_S,
    MAX_RETRY_DELAY_S,
    FIRST_REPLY_TIMEOUT_AFTER_FAILURE_S,
    MAX_NOTIFICATION_DELAY_S,
    UNREACHABLE_DETECTION_S,
    SILENT_WATCH_DETECTION_S,
    PollSchedule,
)
from tests.helpers import SAFE, Driver, request_timers


def test_detection_times_fit_within_the_notification_delay() -> None:
    assert (
        max(SILENT_WATCH_DETECTION_S, SILENT_CONNECTION_DETECTION_S, UNREACHABLE_DETECTION_S)
        < MAX_NOTIFICATION_DELAY_S
    )
    assert (
        MAX_RETRY_POLL_US / 1e6 <= MAX_RETRY_DELAY_S and FIRST_REPLY_TIMEOUT_AFTER_FAILURE_S > FIRST_REPLY_TIMEOUT_S
    )


@given(failures=st.integers(1, 60), max_poll_interval_us=st.integers(1_000, 60_000_000), seed=st.integers(0, 99))
def test_the_balancers_retry_delay_is_bounded_after_any_number_of_failures(
    failures: int, max_poll_interval_us: int, seed: int
) -> None:
    settings = Settings((SAFE,), list_is_pushed=False, max_poll_interval_us=max_poll_interval_us)
    driver = Driver(settings, servers=0, seed=seed)
    for _ in range(failures):
        (timer,) = request_timers(driver.handle(ServerList(ListKind.ERROR)))
        assert 0 <= timer.due_us - driver.now_us <= min(MAX_RETRY_POLL_US, max_poll_interval_us / 20)
        driver.now_us += 1_000


@given(max_poll_interval_us=st.integers(1_000, 10**9), seed=st.integers(0, 99))
def test_the_first_poll_after_a_start_is_in_time_for_any_poll_interval(max_poll_interval_us: int, seed: int) -> None:
    driver = Driver(
        Settings((SAFE,), list_is_pushed=False, max_poll_interval_us=max_poll_interval_us), servers=0, seed=seed
    )
    (timer,) = request_timers(driver.handle(ServerList(ListKind.DISK)))
    waited_s = (timer.due_us - driver.now_us) / 1e6
    assert waited_s >= 0 and waited_s + CONNECT_TIMEOUT_S + FIRST_REPLY_TIMEOUT_S < MAX_NOTIFICATION_DELAY_S


@given(failures=st.integers(1, 2_000), jitter=st.floats(0, 1))
def test_the_retry_delay_of_pushed_lists_is_bounded_and_has_jitter(failures: int, jitter: float) -> None:
    schedule = PollSchedule()
    for _ in range(failures):
        schedule.on_failure()
    assert 0.0 < schedule.retry_delay_s(jitter) <= MAX_RETRY_DELAY_S
    assert schedule.retry_delay_s(0.0) < schedule.retry_delay_s(1.0)


STEPS = st.one_of(
    st.tuples(st.just("answer"), st.integers(0, 9), st.booleans()),
    st.tuples(st.sampled_from(["fails", "moves", "connects", "waits"]), st.just(0), st.just(False)),
)


@given(st.lists(STEPS, max_size=60))
def test_each_call_requests_changes_since_the_held_version_within_a_bounded_time(
    steps: list[tuple[str, int, bool]],
) -> None:
    """Snapshots are always applied; deltas only up to a version that is not below the one held."""
    schedule, now_s, held_version = PollSchedule(), 100.0, None
    for step, index, is_snapshot in steps:
        request = schedule.next_request(now_s)
        if held_version is None:
            assert request.target.endswith(b"/instances") and not request.is_long_poll
        else:
            assert b"from=%d&" % held_version in request.target
        assert request.timeout_s <= (
            LONG_POLL_HOLD_S + LONG_POLL_GRACE_S if request.is_long_poll else FIRST_REPLY_TIMEOUT_AFTER_FAILURE_S
        )
        match step:
            case "answer":
                is_usable = schedule.on_reply(now_s, index, is_snapshot)
                assert is_usable == (is_snapshot or held_version is None or index >= held_version)
                held_version = index if is_usable else None
            case "fails":
                schedule.on_failure()
                schedule.on_connected()
                request = schedule.next_request(now_s)
                assert not request.is_long_poll and request.timeout_s == FIRST_REPLY_TIMEOUT_AFTER_FAILURE_S
            case "moves":
                schedule.reset()
                held_version = None
            case "connects":
                schedule.on_connected()
            case _:
                now_s += LONG_POLL_RENEWAL_S + 0.01  # the gap ends the watch
                assert not schedule.next_request(now_s).is_long_poll


def test_the_first_reply_timeout_is_longer_from_a_failure_until_a_reply() -> None:
    schedule = PollSchedule()
    schedule.version = 4
    assert schedule.next_request(0.0).timeout_s == FIRST_REPLY_TIMEOUT_S
    for _ in range(3):  # repeated failures do not shorten the timeout
        schedule.on_failure()
        assert schedule.next_request(0.0).timeout_s == FIRST_REPLY_TIMEOUT_AFTER_FAILURE_S
    schedule.on_reply(1.0, 4, False)
    schedule.on_connected()
    assert schedule.next_request(1.0).timeout_s == FIRST_REPLY_TIMEOUT_S and CONNECT_TIMEOUT_S < FIRST_REPLY_TIMEOUT_S


CALL_S, QUEUE_S = 0.3, 3.0  # simulated registry: processing time of a call, longest time from call to reply


def simulate_first_replies(gateways: int, seed: int, until_s: float) -> list[float]:
    """Return when each gateway gets its first reply from a simulated registry.

    The registry processes calls one after another and immediately rejects a call that it could not answer within
    QUEUE_S. It does not detect that a caller gave up. All gateways start within 1 s.
    """
    rng = random.Random(seed)
    schedules = [PollSchedule() for _ in range(gateways)]
    free_s = 0.0  # when all accepted calls are processed
    reply_times_s: list[float] = []
    queue = [(rng.random(), number) for number in range(gateways)]
    heapq.heapify(queue)
    while queue and queue[0][0] < until_s:
        now_s, number = heapq.heappop(queue)
        schedule, timeout_s, waited_s = schedules[number], schedules[number].next_request(now_s).timeout_s, 0.0
        if max(0.0, free_s - now_s) + CALL_S <= QUEUE_S:
            free_s = max(free_s, now_s) + CALL_S
            if free_s - now_s <= timeout_s:
                reply_times_s.append(free_s)
                continue
            waited_s = timeout_s
        schedule.on_failure()
        heapq.heappush(queue, (now_s + waited_s + MAX_RETRY_DELAY_S * rng.uniform(0.5, 1.0), number))
    return reply_times_s


@given(gateways=st.integers(1, 60), seed=st.integers(0, 999))
def test_an_overloaded_registry_eventually_answers_every_caller(gateways: int, seed: int) -> None:
    """After the first few calls, the registry wastes no time on callers that gave up, so it can answer everyone."""
    limit_s = 1.0 + QUEUE_S + 2.0 * CALL_S * gateways + 1.0
    assert len(simulate_first_replies(gateways, seed, limit_s)) == gateways
