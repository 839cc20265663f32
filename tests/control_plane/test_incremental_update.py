"""A long list applied step by step."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.control_plane.endpoint_cache import EndpointCache
from cloverkeel.control_plane.incremental_update import apply_list_incrementally
from cloverkeel.control_plane.messages import Subscriber
from cloverkeel.control_plane.roster_parser import parse_roster
from tests.control_plane.relay_harness import (
    ROSTER,
    finished,
)

STATUSES = st.sampled_from(["SERVING", "SERVING", "SERVING", "DRAINING", "DELETED", "ODD"])


HOST = st.tuples(st.integers(0, 150), STATUSES, st.sampled_from(["s", "t"]), st.sampled_from(["a", "b", "elsewhere"]))


@settings(max_examples=40)
@given(st.lists(st.tuples(st.booleans(), st.lists(HOST, max_size=120)), max_size=6))
def test_a_list_taken_in_by_steps_is_as_one_taken_at_once(lists: list[tuple[bool, list[Any]]]) -> None:
    taken_at_once, taken_by_steps = (EndpointCache(parse_roster(ROSTER, "roster"), 1) for _ in range(2))
    for whole, hosts in [(True, []), *lists]:
        items = [
            {"name": f"h-{n}", "address": "127.0.0.1:1", "zone": zone, "service": service, "status": status}
            for n, status, service, zone in hosts
        ]
        taken_at_once.apply_list(whole, items)
        finished(apply_list_incrementally(taken_by_steps, whole, items))
        assert {name: (host.fields, host.is_serving) for name, host in taken_by_steps.table.host_by_name.items()} == {
            name: (host.fields, host.is_serving) for name, host in taken_at_once.table.host_by_name.items()
        }
        for asker in (Subscriber("g0"), Subscriber("g1"), Subscriber("g2"), Subscriber()):
            told = [cache.respond(asker, None) for cache in (taken_at_once, taken_by_steps)]
            assert told[0] is not None and told[1] is not None and told[0].entries == told[1].entries
