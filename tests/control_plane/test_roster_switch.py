"""Incremental preparation of a new roster and of the full list."""

from __future__ import annotations

import json
from collections.abc import Generator, Iterator
from typing import Any

from hypothesis import example, given, settings
from hypothesis import strategies as st

from cloverkeel.control_plane.endpoint_cache import EndpointCache
from cloverkeel.control_plane.messages import Subscriber
from cloverkeel.control_plane.roster_parser import parse_roster
from tests.control_plane.cache_helpers import (
    G0,
    G2,
    HOSTS,
    ROSTER,
    SINGLE_SERVICE,
    UNNAMED,
    entries_of,
    make_cache,
    respond,
    status_by_name,
)

ROSTERS: list[dict[str, Any]] = [
    ROSTER,
    ROSTER | {"gateways": ROSTER["gateways"] | {"g0": {"zone": "c"}}},
    ROSTER | {"gateways": ROSTER["gateways"] | {"only": {"zone": "a", "services": ["t"]}}},
    {"regions": {"r0": ["a"], "r1": ["b", "c"]}, "gateways": {f"g{n}": {"zone": "abc"[n % 3]} for n in range(3, 12)}},
]


ACTIONS = st.one_of(
    st.tuples(st.just("roster"), st.integers(0, 3)),
    st.tuples(st.just("step"), st.integers(1, 4)),
    st.tuples(st.just("ask"), st.integers(0, 5)),
    st.tuples(st.sampled_from(("SERVING", "DRAINING", "DELETED")), st.integers(0, 59)),
)


def switch_incrementally(cache: EndpointCache, raw: dict[str, Any]) -> Generator[None, None, None]:
    """Switch to another roster in the steps of RelayServer.replace_roster."""
    roster = parse_roster(json.dumps(raw), "f")
    cache.switch_roster(roster, (yield from cache.prepare_roster(roster)))
    yield
    yield from cache.finish_roster_switch()


@settings(max_examples=200)
@given(st.lists(ACTIONS, max_size=40))
@example([("roster", 3), ("step", 3), ("ask", 1), ("roster", 3), ("roster", 0)])  # the same roster twice
def test_incremental_roster_switch_takes_effect_in_one_step(actions: list[tuple[str, int]]) -> None:
    """Compares with a cache that replaces its roster in one call, with changes and requests between the steps."""
    caches = [make_cache(HOSTS[:30]) for _ in range(2)]
    stepped, at_once = caches
    subscribers = [G0, G2, SINGLE_SERVICE, Subscriber("g5", ("t",), 1), Subscriber("g15"), UNNAMED]
    held: dict[Subscriber, int] = {}
    steps: Iterator[None] = iter(())
    next_roster = ROSTER

    def advance() -> bool:
        """Run one step, and replace the other cache's roster if it switches; returns False if no step is left."""
        before = stepped.roster
        is_over = next(steps, "over") == "over"
        if stepped.roster is not before:
            at_once.replace_roster(parse_roster(json.dumps(next_roster), "f"))
        return not is_over

    for what, number in [*actions, ("step", 99), *(("ask", n) for n in range(6))]:
        if what == "roster" and not advance():  # one switch at a time
            next_roster = ROSTERS[number]
            steps = switch_incrementally(stepped, next_roster)
        elif what == "step":
            for _ in range(number):
                advance()
        elif what == "ask":
            answers = [cache.respond(subscribers[number], held.get(subscribers[number])) for cache in caches]
            assert answers[0] == answers[1]
            if answers[0] is not None:
                held[subscribers[number]] = answers[0].index
        elif what != "roster":
            for cache in caches:
                cache.apply_list(False, [HOSTS[number] | {"status": what}])
        assert stepped.roster.digest == at_once.roster.digest
    fresh = EndpointCache(stepped.roster, 1)
    fresh.apply_list(True, [json.loads(host.plain_entry()) for host in stepped.table.host_by_name.values()])
    for subscriber in subscribers:
        assert status_by_name(respond(fresh, subscriber)) == status_by_name(respond(stepped, subscriber))


@given(st.lists(st.tuples(st.integers(0, 59), st.sampled_from(("SERVING", "DRAINING", "DELETED"))), max_size=30))
def test_incremental_full_list_shows_the_state_at_its_start(changes: list[tuple[int, str]]) -> None:
    cache = make_cache(HOSTS[:40])
    steps, full_list = cache.full_list.snapshot_incrementally(), None
    next(steps)
    for number, status in changes:
        cache.apply_list(False, [HOSTS[number] | {"status": status}])
        next(steps)
    while full_list is None:
        try:
            next(steps)
        except StopIteration as stop:
            full_list = stop.value
    assert sorted(entries_of(full_list), key=lambda raw: raw["name"]) == HOSTS[:40]
    after = cache.respond(UNNAMED, full_list.index)
    sent = {raw["name"]: raw for raw in entries_of(full_list)} | {
        raw["name"]: raw for raw in (entries_of(after) if after else ())
    }
    left = {name: raw for name, raw in sent.items() if raw["status"] != "DELETED"}
    assert left == {raw["name"]: raw for raw in entries_of(respond(cache, UNNAMED))}
    assert after is None or after.index > full_list.index
