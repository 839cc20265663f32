"""Incremental application of a long list."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.control_plane.endpoint_cache import EndpointCache
from cloverkeel.control_plane.incremental_update import apply_list_incrementally
from cloverkeel.control_plane.messages import Subscriber
from cloverkeel.control_plane.roster_parser import parse_roster
from tests.control_plane.relay_harness import ROSTER, count_steps

STATUSES = st.sampled_from(["SERVING", "SERVING", "SERVING", "DRAINING", "DELETED", "ODD"])


HOST = st.tuples(st.integers(0, 150), STATUSES, st.sampled_from(["s", "t"]), st.sampled_from(["a", "b", "elsewhere"]))


@settings(max_examples=40)
@given(st.lists(st.tuples(st.booleans(), st.lists(HOST, max_size=120)), max_size=6))
def test_incremental_application_equals_application_at_once(lists: list[tuple[bool, list[Any]]]) -> None:
    applied_at_once, applied_incrementally = (EndpointCache(parse_roster(ROSTER, "roster"), 1) for _ in range(2))
    for is_snapshot, hosts in [(True, []), *lists]:
        items = [
            {"name": f"h-{n}", "address": "127.0.0.1:1", "zone": zone, "service": service, "status": status}
            for n, status, service, zone in hosts
        ]
        applied_at_once.apply_list(is_snapshot, items)
        count_steps(apply_list_incrementally(applied_incrementally, is_snapshot, items))
        assert {
            name: (host.fields, host.is_serving) for name, host in applied_incrementally.table.host_by_name.items()
        } == {name: (host.fields, host.is_serving) for name, host in applied_at_once.table.host_by_name.items()}
        for subscriber in (Subscriber("g0"), Subscriber("g1"), Subscriber("g2"), Subscriber()):
            snapshots = [cache.respond(subscriber, None) for cache in (applied_at_once, applied_incrementally)]
            assert (
                snapshots[0] is not None and snapshots[1] is not None and snapshots[0].entries == snapshots[1].entries
            )
