"""What discovery is asked next: the times together; versions that go back, in any order of answers and failures."""

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
from tests.helpers import SAFE, Driver, timers


def test_detection_times_fit_within_the_notification_delay() -> None:
    assert (
        max(SILENT_WATCH_DETECTION_S, SILENT_CONNECTION_DETECTION_S, UNREACHABLE_DETECTION_S)
        < MAX_NOTIFICATION_DELAY_S
    )
    assert (
        MAX_RETRY_POLL_US / 1e6 <= MAX_RETRY_DELAY_S and FIRST_REPLY_TIMEOUT_AFTER_FAILURE_S > FIRST_REPLY_TIMEOUT_S
    )


@given(failures=st.integers(1, 60), must_ask_us=st.integers(1_000, 60_000_000), seed=st.integers(0, 99))
def test_the_balancers_retry_delay_is_bounded_after_any_number_of_failures(
    failures: int, must_ask_us: int, seed: int
) -> None:
    settings = Settings((SAFE,), list_is_pushed=False, max_poll_interval_us=must_ask_us)
    driver = Driver(settings, servers=0, seed=seed)
    for _ in range(failures):
        (timer,) = timers(driver.handle(ServerList(ListKind.ERROR)))
        assert 0 <= timer.due_us - driver.now_us <= min(MAX_RETRY_POLL_US, must_ask_us / 20)
        driver.now_us += 1_000


@given(must_ask_us=st.integers(1_000, 10**9), seed=st.integers(0, 99))
def test_the_first_poll_after_a_start_is_in_time_for_any_poll_interval(must_ask_us: int, seed: int) -> None:
    driver = Driver(Settings((SAFE,), list_is_pushed=False, max_poll_interval_us=must_ask_us), servers=0, seed=seed)
    (timer,) = timers(driver.handle(ServerList(ListKind.DISK)))
    waited_s = (timer.due_us - driver.now_us) / 1e6
    assert waited_s >= 0 and waited_s + CONNECT_TIMEOUT_S + FIRST_REPLY_TIMEOUT_S < MAX_NOTIFICATION_DELAY_S


@given(failures=st.integers(1, 2_000), chance=st.floats(0, 1))
def test_the_retry_delay_of_pushed_lists_is_bounded_and_has_jitter(failures: int, chance: float) -> None:
    schedule = PollSchedule()
    for _ in range(failures):
        schedule.on_failure()
    assert 0.0 < schedule.retry_delay_s(chance) <= MAX_RETRY_DELAY_S
    assert schedule.retry_delay_s(0.0) < schedule.retry_delay_s(1.0)


STEPS = st.one_of(
    st.tuples(st.just("answer"), st.integers(0, 9), st.booleans()),
    st.tuples(st.sampled_from(["fails", "moves", "connects", "waits"]), st.just(0), st.just(False)),
)


@given(st.lists(STEPS, max_size=60))
def test_each_call_requests_changes_since_the_held_version_within_a_bounded_time(
    steps: list[tuple[str, int, bool]],
) -> None:
    """A whole list is always taken, and changes only up to a version that is not below the one held."""
    schedule, now_s, held = PollSchedule(), 100.0, None
    for what, index, whole in steps:
        poll = schedule.next_request(now_s)
        if held is None:
            assert poll.target.endswith(b"/instances") and not poll.is_long_poll
        else:
            assert b"from=%d&" % held in poll.target
        assert poll.timeout_s <= (
            LONG_POLL_HOLD_S + LONG_POLL_GRACE_S if poll.is_long_poll else FIRST_REPLY_TIMEOUT_AFTER_FAILURE_S
        )
        match what:
            case "answer":
                used = schedule.on_reply(now_s, index, whole)
                assert used == (whole or held is None or index >= held)
                held = index if used else None
            case "fails":
                schedule.on_failure()
                schedule.on_connected()
                poll = schedule.next_request(now_s)
                assert not poll.is_long_poll and poll.timeout_s == FIRST_REPLY_TIMEOUT_AFTER_FAILURE_S
            case "moves":
                schedule.reset()
                held = None
            case "connects":
                schedule.on_connected()
            case _:
                now_s += LONG_POLL_RENEWAL_S + 0.01  # the service holds the watch for over
                assert not schedule.next_request(now_s).is_long_poll


def test_the_first_reply_timeout_is_longer_from_a_failure_until_a_reply() -> None:
    schedule = PollSchedule()
    schedule.version = 4
    assert schedule.next_request(0.0).timeout_s == FIRST_REPLY_TIMEOUT_S
    for _ in range(3):  # given up, then refused: one does not undo the other
        schedule.on_failure()
        assert schedule.next_request(0.0).timeout_s == FIRST_REPLY_TIMEOUT_AFTER_FAILURE_S
    schedule.on_reply(1.0, 4, False)
    schedule.on_connected()
    assert schedule.next_request(1.0).timeout_s == FIRST_REPLY_TIMEOUT_S and CONNECT_TIMEOUT_S < FIRST_REPLY_TIMEOUT_S


CALL_S, QUEUE_S = 0.3, 3.0  # the service below: what a first call costs it, and how long one may be under way


def first_answers(gateways: int, seed: int, until_s: float) -> list[float]:
    """When each gateway is first answered by a service that works through calls in turn and refuses, at once, whom it
    could not answer within QUEUE_S. It does not notice who has given up. All start within 1 s."""
    rng = random.Random(seed)
    schedules = [PollSchedule() for _ in range(gateways)]
    free_s = 0.0  # when the calls that it has taken are worked off
    answered: list[float] = []
    due = [(rng.random(), number) for number in range(gateways)]
    heapq.heapify(due)
    while due and due[0][0] < until_s:
        now_s, number = heapq.heappop(due)
        schedule, limit_s, wait_s = schedules[number], schedules[number].next_request(now_s).timeout_s, 0.0
        if max(0.0, free_s - now_s) + CALL_S <= QUEUE_S:
            free_s = max(free_s, now_s) + CALL_S
            if free_s - now_s <= limit_s:
                answered.append(free_s)
                continue
            wait_s = limit_s
        schedule.on_failure()
        heapq.heappush(due, (now_s + wait_s + MAX_RETRY_DELAY_S * rng.uniform(0.5, 1.0), number))
    return answered


@given(gateways=st.integers(1, 60), seed=st.integers(0, 999))
def test_an_overloaded_registry_eventually_answers_every_caller(gateways: int, seed: int) -> None:
    """It works for nobody who has gone, but for the few first calls: then its time is enough for all."""
    within_s = 1.0 + QUEUE_S + 2.0 * CALL_S * gateways + 1.0
    assert len(first_answers(gateways, seed, within_s)) == gateways
