"""The judge of relays finds each kind of breach in a made-up record; schedules are drawn as they should be."""

from __future__ import annotations

import argparse
from collections import defaultdict

import pytest

from benchmarks.relay_schedules import draw, parse
from standins.checker.relays import (
    BackendArrival,
    ClientRequest,
    EndpointChange,
    Outage,
    Component,
    RunRecord,
    check_relays,
)

S = 1_000_000


def record(until_s: float = 20.0, feeds: tuple[int, ...] = (0, 0)) -> RunRecord:
    return RunRecord(0, int(until_s * S), 1, 2, feeds, 3 * S)


def uses(made: RunRecord, host: int, begin_s: float, end_s: float) -> None:
    """Twenty requests a second."""
    made.arrivals += [BackendArrival(at, 0, host) for at in range(int(begin_s * S), int(end_s * S), S // 20)]
    made.arrivals.sort(key=lambda arrival: arrival.at_us)


def change(made: RunRecord, at_s: float, status: str, discovery: int = 0) -> None:
    made.changes.append(EndpointChange(int(at_s * S), discovery, 1, status))


def down(made: RunRecord, begin_s: float, end_s: float, *parts: Component) -> None:
    made.outages += [Outage(int(begin_s * S), int(end_s * S), part) for part in parts]


def found(made: RunRecord) -> list[str]:
    return [wrong.what for wrong in check_relays(made)]


@pytest.mark.parametrize("status", ["DRAINING", "DELETED"])
def test_a_host_that_is_to_be_left_is_left_in_time(status: str) -> None:
    made = record()
    change(made, 2.0, status)
    uses(made, 1, 0.5, 8.2)
    assert not found(made)
    uses(made, 1, 8.2, 8.5)
    assert found(made) == ["sent to until 6.500 s after it was to be left"]


def test_time_in_which_no_chain_is_whole_extends_the_bound() -> None:
    cut: tuple[Component, ...] = (("link", 0, 0), ("feed", 1))
    made = record()
    change(made, 2.0, "DRAINING")
    uses(made, 1, 0.5, 11.2)
    down(made, 3.0, 5.0, *cut)  # 2 s and what an interruption costs
    assert not found(made)
    uses(made, 1, 11.2, 11.5)
    assert found(made) == ["sent to until 9.450 s after it was to be left"]
    for parts in ((("gateway", 0),), (("discovery", 0),), (("relay", 0), ("relay", 1))):
        made.outages.clear()
        down(made, 3.0, 6.0, *parts)
        assert not found(made)
    made.outages.clear()
    down(made, 3.0, 6.0, ("relay", 0), ("feed", 0), ("link", 0, 0))  # by the other relay it could be told
    assert found(made) == ["sent to until 9.450 s after it was to be left"]


def test_a_host_that_was_left_is_not_used_again_however_soon() -> None:
    made = record()
    change(made, 2.0, "DRAINING")
    uses(made, 1, 0.0, 2.5)
    uses(made, 0, 0.0, 10.0)
    uses(made, 1, 5.0, 5.1)
    assert not found(made)  # 50 requests elsewhere may be chance, 100 are not
    uses(made, 0, 0.0, 10.0)
    assert found(made) == ["left, and used again after 2.550 s"]
    change(made, 4.9, "SERVING")
    change(made, 5.2, "DRAINING")
    assert not found(made)


def test_a_host_that_was_left_at_once_or_not_in_use_as_it_drained() -> None:
    made = record()
    change(made, 2.0, "DRAINING")
    uses(made, 1, 0.0, 2.0)
    for _ in range(2):
        uses(made, 0, 0.0, 10.0)
    uses(made, 1, 5.0, 5.1)
    assert found(made) == ["left, and used again after 3.050 s"]
    made.arrivals = [arrival for arrival in made.arrivals if arrival.host == 0 or arrival.at_us >= 2 * S]
    assert not found(made)  # it did not know that this one was there
    uses(made, 1, 0.0, 0.5)
    assert found(made) == ["left, and used again after 4.550 s"]


def test_a_host_that_is_back_is_used_in_time() -> None:
    made = record()
    change(made, 2.0, "DELETED")
    change(made, 4.0, "SERVING")
    uses(made, 1, 11.5, 20.0)
    assert not found(made)
    made.arrivals.clear()
    uses(made, 1, 12.5, 20.0)
    assert found(made) == ["not used for 8.500 s after it was back"]
    down(made, 5.0, 6.0, ("gateway", 0))
    assert not found(made)
    made.arrivals.clear()
    assert found(made) == ["not used for 16.000 s after it was back"]
    change(made, 11.0, "DELETED")  # it had not come to that
    assert not found(made)


def test_what_discoveries_disagree_on_is_not_judged_before_they_agree() -> None:
    made = record(feeds=(0, 1))
    change(made, 2.0, "DRAINING", 0)
    uses(made, 1, 0.5, 19.0)
    assert not found(made)
    change(made, 10.0, "DELETED", 1)
    assert found(made) == ["sent to until 8.950 s after it was to be left"]


def asked(made: RunRecord, at_s: float, took_s: float | None = 0.1, status: int = 200, is_own: bool = True) -> None:
    answered_us = 0 if took_s is None else int((at_s + took_s) * S)
    made.requests.append(ClientRequest(int(at_s * S), 0, answered_us, status if answered_us else 0, is_own))


def test_each_request_gets_its_own_answer_in_time() -> None:
    made = record()
    asked(made, 1.0, 1.9)
    asked(made, 19.0, None)
    assert not found(made)
    asked(made, 3.0, 4.5)
    assert found(made) == ["answered late, 4.500 s"]
    down(made, 4.0, 7.0, ("gateway", 0))
    assert not found(made)
    asked(made, 10.0, None)
    assert found(made) == ["not answered, 10.000 s"]
    made.requests.pop()
    asked(made, 12.0, status=502)
    asked(made, 13.0, is_own=False)
    assert found(made) == ["answered 502", "the answer is another request's"]


def test_no_gateway_is_without_hosts() -> None:
    made = record()
    for at_s in (1.0, 1.5, 2.0, 2.4):
        asked(made, at_s, status=503)
    asked(made, 2.45)
    asked(made, 2.6, status=503)
    assert not found(made)
    asked(made, 4.2, status=503)
    assert found(made) == ["all was refused for 1.600 s"]
    down(made, 3.0, 4.0, ("gateway", 0))
    assert not found(made)


def test_discovery_itself_is_asked_now_and_then_alone() -> None:
    made = record()
    made.direct_polls = [(1 * S, 0), (4 * S, 0), (7 * S - 200_000, 0)]
    assert not found(made)
    made.direct_polls = [(1 * S, 0), (7 * S, 0), (8 * S, 0)]
    assert found(made) == ["asked discovery itself 2 times in 1.000 s"]
    down(made, 4.0, 6.9, ("gateway", 0))  # the second was decided before the stop, and came after it
    assert not found(made)


def test_no_process_ends_by_itself() -> None:
    made = record()
    made.exits.append((5 * S, "relay-0"))
    assert found(made) == ["a process ended by itself"]


def test_a_schedule_is_its_seed_and_its_line() -> None:
    for seed in range(100):
        drawn = draw(seed)
        parsed = parse(str(drawn))
        assert draw(seed) == drawn
        assert (parsed.feeds, parsed.events) == (drawn.feeds, drawn.events)
    for odd in ("", "0,2", "1", "0,0 x", "0,0 5:kill-relay:2:0", "0,1 5:cut-link:0:9:both,reset", "0 5:anew:1:0"):
        with pytest.raises(argparse.ArgumentTypeError, match="expected"):
            parse(odd)


def test_what_is_drawn_for_one_part_of_the_fleet_is_over_before_the_next_begins() -> None:
    for seed in range(300):
        until_ms: dict[tuple[str, tuple[int, ...]], int] = defaultdict(int)
        for event in draw(seed).events:
            if event.what != "host":
                place = event.what.rpartition("-")[2].replace("anew", "discovery"), event.who
                assert event.at_ms >= until_ms[place], f"seed {seed}: {event}"
                until_ms[place] = event.at_ms + event.for_ms
