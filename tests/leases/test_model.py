"""Model check of a small fleet: no explored order of events lets two gateways act as the lease holder at once."""

from __future__ import annotations

import pytest

from benchmarks.duties_model import STARTS, parse_trace, replay, run_walks, search, shorten_trace

STEPS = 60


@pytest.mark.parametrize("start", sorted(STARTS))
def test_no_order_of_events_lets_two_holders_act(start: str) -> None:
    found = search(STARTS[start], depth=9, max_states=4_000)
    assert not found.violation, found.trace
    assert found.state_count == 4_000 and found.depth >= 4


@pytest.mark.parametrize("start", sorted(STARTS))
def test_no_order_of_vote_requests_and_late_messages_lets_two_holders_act(start: str) -> None:
    found = search(STARTS[start], depth=9, max_states=8_000, coarse=True)
    assert not found.violation, found.trace
    assert found.state_count == 8_000 and found.depth >= 5


@pytest.mark.parametrize("start", sorted(STARTS))
def test_no_random_walk_lets_two_holders_act(start: str) -> None:
    found = run_walks(STARTS[start], walks=400, steps=STEPS, seed=1)
    assert not found.violation, found.trace
    assert found.state_count == 400 * STEPS


def test_a_trace_replays() -> None:
    trace = parse_trace("restart:1 tick:1 ask:4 ask:5 time:0")
    first, second = replay(STARTS["held"], trace), replay(STARTS["held"], trace)
    assert first.key() == second.key() and not first.violation
    assert first.restart_count == 1 and first.now_us > STARTS["held"]().now_us
    assert shorten_trace(STARTS["held"], trace) == trace  # no violation, so no event is removed
    with pytest.raises(ValueError, match="expected words such as tick:0"):
        parse_trace("moon:1")
