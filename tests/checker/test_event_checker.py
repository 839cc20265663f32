"""Tests that the checker finds each planted violation and reports none in a compliant run."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.checker import Checker, Violation, find_violations
from standins.event_log import (
    BackendAttempt,
    BackendStarted,
    ClientDisconnected,
    DiscoveryPoll,
    Event,
    EventLog,
    ProcessEvent,
    RequestSent,
    ResponseMissing,
    ResponseReceived,
    SchedulingDelay,
    UnexpectedBytes,
)
from tests.checker.events import (
    BEGIN_US,
    BUDGET_US,
    COMPLIANT,
    MS_US,
    SECOND_US,
    attempt,
    gateway_started,
    request_sent,
    response,
    slow_starting_backend,
)
from tests.checker.violation_cases import CASES, ViolationCase


def check_shuffled(events: list[Event]) -> list[Violation]:
    """Return the violations of events that are recorded in random order among those of the same time."""
    shuffled = events[:]
    random.Random(7).shuffle(shuffled)
    shuffled.sort(key=lambda event: event.at_us)
    event_log = EventLog()
    for event in shuffled:
        event_log.add(replace(event))
    event_log.add(SchedulingDelay(BEGIN_US + 20 * SECOND_US, 0))  # the run continues, so that deadlines pass
    return find_violations(event_log)


@pytest.mark.parametrize("case", CASES, ids=[case.name for case in CASES])
def test_a_violation_is_found_and_the_nearest_compliant_run_passes(case: ViolationCase) -> None:
    assert {violation.rule for violation in check_shuffled(case.violating)} == {case.rule}
    assert check_shuffled(case.compliant) == []


def test_each_main_rule_has_at_least_four_cases() -> None:
    rules = [case.rule for case in CASES]
    assert all(rules.count(rule) >= 4 for rule in ("missing", "twice", "drain", "cold"))


def test_a_violation_has_the_whole_timeline() -> None:
    (violation,) = check_shuffled(
        next(case.violating for case in CASES if case.name.startswith("hold repeated after"))
    )
    text = str(violation)
    for part in ("client: hold to n0", "byte to s-0#1", "s-0#1: cancelled", "byte to s-2#1", "response 200"):
        assert part in text
    moments = [float(line.split(" ms")[0]) for line in violation.timeline]
    assert moments == sorted(moments) and len(moments) >= 8


def test_a_scheduling_delay_extends_a_deadline_by_its_length_and_no_more() -> None:
    late = [
        *gateway_started(),
        request_sent(),
        attempt(took_us=340 * MS_US),
        response(at_us=BEGIN_US + BUDGET_US + 80 * MS_US),
    ]
    assert check_shuffled(late)
    assert not check_shuffled([*late, SchedulingDelay(BEGIN_US + BUDGET_US + 79 * MS_US, 40 * MS_US)])
    assert check_shuffled([*late, SchedulingDelay(BEGIN_US + BUDGET_US + 79 * MS_US, 20 * MS_US)])  # 30 ms late
    assert check_shuffled([*late, SchedulingDelay(BEGIN_US + 50 * MS_US, 40 * MS_US)])  # long before the deadline


def test_an_incomplete_event_log_is_a_violation() -> None:
    event_log = EventLog(list(COMPLIANT), dropped=1)
    assert find_violations(event_log)


def compliant_events(rng: random.Random) -> list[Event]:
    """Return requests of all classes with every outcome that the rules allow."""
    events: list[Event] = [*gateway_started(), slow_starting_backend(BEGIN_US)]
    for n in range(rng.randint(1, 40)):
        request_class = rng.choice(["search", "hold", "transfer"])
        id_, at_us = f"r{n}", BEGIN_US + rng.randrange(0, 8 * SECOND_US)
        events.append(request_sent(id_, request_class, at_us, 400 * MS_US))
        sent_us, rejected_count = at_us + rng.randint(300, 3_000), rng.randint(0, 2)
        for k in range(rejected_count):
            took_us = rng.randint(500, 5_000)
            events.append(attempt(id_, request_class, sent_us, f"s-{k + 1}", "rejected", took_us, work_us=0))
            sent_us += took_us + rng.randint(0, 2_000)
        match rng.randint(0, 4):
            case 0:  # served
                events.append(
                    attempt(id_, request_class, sent_us, "s-9", took_us=rng.randint(10 * MS_US, 300 * MS_US))
                )
                events.append(response(id_, events[-1].at_us + 301 * MS_US))
            case 1:  # failed, as an attempt may have run
                events.append(attempt(id_, request_class, sent_us, "s-9", "cancelled"))
                events.append(response(id_, at_us + 400 * MS_US + rng.randint(0, 49 * MS_US), 504))
            case 2:  # refused, as no attempt ran
                events.append(response(id_, sent_us + rng.randint(0, 20 * MS_US), 503))
            case 3:  # repeated where the class allows it
                how = "rejected" if request_class == "transfer" else "error"
                events.append(attempt(id_, request_class, sent_us, "s-8", how, 5 * MS_US))
                events.append(attempt(id_, request_class, sent_us + 6 * MS_US, "s-9", took_us=50 * MS_US))
                events.append(response(id_, sent_us + 80 * MS_US))
            case _:
                events.append(ClientDisconnected(sent_us, id_))
    return events


@given(st.integers(0, 2**32))
@settings(max_examples=150, deadline=None, derandomize=True)
def test_a_compliant_run_passes_and_any_violation_added_to_it_is_found(seed: int) -> None:
    rng = random.Random(seed)
    events = compliant_events(rng)
    assert check_shuffled(events) == []
    case = rng.choice(CASES[:-1])
    planted = [
        replace(e, id="planted-" + e.id)
        if isinstance(
            e,
            RequestSent | BackendAttempt | ResponseReceived | ResponseMissing | UnexpectedBytes | ClientDisconnected,
        )
        else e
        for e in case.violating
    ]
    planted = [
        replace(e, echoed_id="planted-" + e.echoed_id if e.echoed_id else "")
        if isinstance(e, ResponseReceived)
        else e
        for e in planted
    ]
    moved = [e for e in planted if not isinstance(e, ProcessEvent | DiscoveryPoll)]
    processes = [e for e in case.violating if isinstance(e, ProcessEvent | DiscoveryPoll)]
    others = [e for e in events if not isinstance(e, ProcessEvent | DiscoveryPoll | BackendStarted)]
    assert case.rule in {violation.rule for violation in check_shuffled([*processes, *others, *moved])}


def test_process_at_returns_the_process_that_ran_at_a_time() -> None:
    signals = [(0, "start"), (SECOND_US, "KILL"), (SECOND_US, "exit"), (2 * SECOND_US, "start")]
    event_log = EventLog([ProcessEvent(BEGIN_US + after_us, "n0", what, -9) for after_us, what in signals])
    checker = Checker(event_log)
    first, second = checker.process_at("n0", BEGIN_US + SECOND_US), checker.process_at("n0", BEGIN_US + 3 * SECOND_US)
    assert (
        first is not None
        and second is not None
        and first.kill_us == BEGIN_US + SECOND_US
        and second.start_us == BEGIN_US + 2 * SECOND_US
    )
    assert checker.process_at("n0", BEGIN_US - 1) is None and checker.process_at("n1", BEGIN_US) is None
