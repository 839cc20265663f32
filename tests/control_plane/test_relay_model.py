"""Model checking of relays: exhaustive orders of events in a small fleet, and random walks."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.relay_model import (
    SETUPS,
    FleetSetup,
    FleetState,
    draw_event,
    find_violation,
    make_entry,
    parse_trace,
    replay_trace,
    run_random_walks,
    search_states,
    shorten_trace,
)
from cloverkeel.control_plane.messages import Subscriber
from cloverkeel.control_plane.subsetting import SubsetSizes


@pytest.mark.parametrize("start", sorted(SETUPS))
def test_every_order_of_events_leaves_each_gateway_with_its_subset(start: str) -> None:
    result = search_states(SETUPS[start](), max_depth=9, max_states=800)
    assert not result.violation, result.trace
    assert result.states == 800 and result.depth >= 3


@pytest.mark.parametrize("start", sorted(SETUPS))
def test_every_order_of_changes_and_lost_responses_leaves_each_gateway_with_its_subset(start: str) -> None:
    result = search_states(SETUPS[start](), max_depth=9, max_states=1_200, kinds=("change", "hear", "ask", "lose"))
    assert not result.violation, result.trace
    assert result.states == 1_200 and result.depth >= 5


@pytest.mark.parametrize("start", sorted(SETUPS))
def test_random_walks_leave_each_gateway_with_its_subset(start: str) -> None:
    result = run_random_walks(SETUPS[start](), walks=100, steps=60, seed=1)
    assert not result.violation, result.trace
    assert result.states == 100 * 60


@settings(max_examples=50)
@given(
    st.integers(1, 40), st.integers(1, 12), st.integers(1, 3), st.integers(1, 3), st.randoms(use_true_random=False)
)
def test_random_walks_of_a_larger_fleet_leave_each_gateway_with_its_subset(
    hosts: int, gateways: int, min_hosts: int, min_serving: int, rng: Any
) -> None:
    regions = {"r0": ["z0", "z1"], "r1": ["z2"]}
    fields_of_gateways = [
        {"zone": f"z{n % 3}"} | ({"services": rng.sample("ab", rng.choice((1, 2)))} if n % 4 else {})
        for n in range(gateways)
    ]
    rosters = tuple(
        {"regions": regions, "gateways": {f"g{n}": fields for n, fields in enumerate(fields_of_gateways) if n < size}}
        for size in (gateways, max(1, gateways - 2))
    )
    locations = [(service, zone) for service in "ab" for zone in ("z0", "z1", "z2", "far")]
    fleet = tuple(make_entry(f"h{n}", *rng.choice(locations)) for n in range(hosts))
    subscribers = (*(Subscriber(f"g{n}") for n in range(gateways)), Subscriber(), Subscriber("g0", ("b",)))
    state = FleetState(
        FleetSetup(
            rosters, fleet, subscribers, tuple(locations), SubsetSizes(min_hosts, min_serving)
        ).with_parsed_rosters()
    )
    state.event_counts = dict.fromkeys(state.event_counts, -1_000)  # no limit on the number of events of a kind
    for _ in range(60):
        state.apply_event(draw_event(rng, state))
        assert not state.violation
    assert not find_violation(state)


def test_trace_can_be_replayed() -> None:
    trace = parse_trace("change:0 hear:1 lose:1 ask:1 move:0 restart:1 roster:1 wide:0 shift:2 list:1 ask:0")
    first, second = replay_trace(SETUPS["services"](), trace), replay_trace(SETUPS["services"](), trace)
    assert first.key() == second.key() and not find_violation(first)
    assert first.relays[1].restart_count == 1 and first.clients[0].relay_number == 1
    assert shorten_trace(SETUPS["services"](), trace) == trace  # without a violation nothing is left out
    with pytest.raises(ValueError, match="expected words such as ask:0"):
        parse_trace("moon:1")
