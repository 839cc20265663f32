"""Model checking of relays: exhaustive orders of events in a small fleet, and random walks."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.relay_model import STARTS, Scene, draw, entry, parse, replay, search, shorten, walk, wrong_of
from benchmarks.relay_model import State as Fleet
from cloverkeel.control_plane.messages import Subscriber
from cloverkeel.control_plane.subsetting import SubsetSizes


@pytest.mark.parametrize("start", sorted(STARTS))
def test_every_order_of_events_leaves_each_gateway_with_its_subset(start: str) -> None:
    found = search(STARTS[start](), depth=9, most=800)
    assert not found.wrong, found.trace
    assert found.states == 800 and found.depth >= 3


@pytest.mark.parametrize("start", sorted(STARTS))
def test_every_order_of_changes_and_lost_responses_leaves_each_gateway_with_its_subset(start: str) -> None:
    found = search(STARTS[start](), depth=9, most=1_200, only=("change", "hear", "ask", "lose"))
    assert not found.wrong, found.trace
    assert found.states == 1_200 and found.depth >= 5


@pytest.mark.parametrize("start", sorted(STARTS))
def test_random_walks_leave_each_gateway_with_its_subset(start: str) -> None:
    found = walk(STARTS[start](), walks=100, steps=60, seed=1)
    assert not found.wrong, found.trace
    assert found.states == 100 * 60


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
    fleet = tuple(entry(f"h{n}", *rng.choice(locations)) for n in range(hosts))
    subscribers = (*(Subscriber(f"g{n}") for n in range(gateways)), Subscriber(), Subscriber("g0", ("b",)))
    state = Fleet(Scene(rosters, fleet, subscribers, tuple(locations), SubsetSizes(min_hosts, min_serving)).ready())
    state.used = dict.fromkeys(state.used, -1_000)  # no limit on the number of events of a kind
    for _ in range(60):
        state.apply(draw(rng, state))
        assert not state.wrong
    assert not wrong_of(state)


def test_trace_can_be_replayed() -> None:
    trace = parse("change:0 hear:1 lose:1 ask:1 move:0 restart:1 roster:1 wide:0 shift:2 list:1 ask:0")
    first, second = replay(STARTS["services"](), trace), replay(STARTS["services"](), trace)
    assert first.key() == second.key() and not wrong_of(first)
    assert first.relays[1].life == 1 and first.holders[0].relay == 1
    assert shorten(STARTS["services"](), trace) == trace  # without a violation nothing is left out
    with pytest.raises(ValueError, match="expected words such as ask:0"):
        parse("moon:1")
