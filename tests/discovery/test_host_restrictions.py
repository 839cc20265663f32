"""What discovery told a process about hosts, as the process after it uses it."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.admin.errors import StateError
from cloverkeel.admin.restrictions_file import decode_restrictions, encode_restrictions
from cloverkeel.balancing.events import ListedServer, ListKind, ServerStatus
from cloverkeel.core.ports import Endpoint
from cloverkeel.discovery.host_restrictions import MAX_RESTRICTIONS, HostRestrictions

NAMES = ("s-0", "s-1", "s-2")


def entry(name: str, status: ServerStatus = ServerStatus.READY, started_us: int = 0, port: int = 1) -> Endpoint:
    """Return an entry of a list."""
    return Endpoint(name, ("127.0.0.1", port), ListedServer(NAMES.index(name), status, started_us=started_us))


def tell(*lists: tuple[ListKind, list[Endpoint]]) -> HostRestrictions:
    """Return what a process has recorded that was told these lists, after one that has all hosts."""
    restrictions, listed = HostRestrictions(), {name: entry(name) for name in NAMES}
    for kind, endpoints in lists:
        restrictions.record(kind, endpoints, listed)
        if kind is ListKind.FULL:
            listed = {}
        for endpoint in endpoints:
            listed.pop(endpoint.name, None)
            if endpoint.listed.status is not ServerStatus.GONE:
                listed[endpoint.name] = endpoint
    return restrictions


def successor_list(restrictions: HostRestrictions) -> dict[str, tuple[ServerStatus, int, int]]:
    """Return what a successor uses of an older list of all hosts: status, start time and port by name."""
    inherited = HostRestrictions()
    inherited.inherit(decode_restrictions(encode_restrictions(restrictions.by_name)))
    endpoints = inherited.apply([entry(name) for name in NAMES])
    return {e.name: (e.listed.status, e.listed.started_us, e.address[1]) for e in endpoints}


SERVES = (ServerStatus.READY, 0, 1)
DRAINS = (ServerStatus.DRAINING, 0, 1)
DRAINING, GONE = ServerStatus.DRAINING, ServerStatus.GONE


@pytest.mark.parametrize(
    ("lists", "expected"),
    [
        ([], {"s-0": SERVES, "s-1": SERVES, "s-2": SERVES}),
        ([(ListKind.DELTA, [entry("s-0", DRAINING)])], {"s-0": DRAINS, "s-1": SERVES, "s-2": SERVES}),
        ([(ListKind.DELTA, [entry("s-0", GONE)])], {"s-1": SERVES, "s-2": SERVES}),
        ([(ListKind.FULL, [entry("s-1"), entry("s-2", DRAINING)])], {"s-1": SERVES, "s-2": DRAINS}),
        (
            [(ListKind.DELTA, [entry("s-0", DRAINING)]), (ListKind.DELTA, [entry("s-0")])],
            {"s-0": SERVES, "s-1": SERVES, "s-2": SERVES},
        ),
        (
            [(ListKind.DELTA, [entry("s-0", started_us=5, port=2)]), (ListKind.DELTA, [entry("s-1")])],
            {"s-0": (ServerStatus.READY, 5, 2), "s-1": SERVES, "s-2": SERVES},
        ),
        (
            [(ListKind.DELTA, [entry("s-0", GONE)]), (ListKind.DELTA, [entry("s-0", started_us=5)])],
            {"s-0": (ServerStatus.READY, 5, 1), "s-1": SERVES, "s-2": SERVES},
        ),
    ],
    ids=["nothing", "drain", "removal", "absence", "drain-over", "restart", "return"],
)
def test_successor_uses_an_older_list_as_restricted(
    lists: list[tuple[ListKind, list[Endpoint]]], expected: dict[str, tuple[ServerStatus, int, int]]
) -> None:
    assert successor_list(tell(*lists)) == expected


ENTRIES = st.builds(
    entry, st.sampled_from(NAMES), st.sampled_from(list(ServerStatus)), st.integers(0, 3), st.integers(1, 2)
)
LISTS = st.lists(
    st.tuples(
        st.sampled_from([ListKind.FULL, ListKind.DELTA]),
        st.lists(ENTRIES, max_size=3, unique_by=lambda endpoint: endpoint.name),
    ),
    max_size=6,
)


@given(LISTS)
def test_a_host_that_drains_or_has_left_is_never_used_as_serving(
    lists: list[tuple[ListKind, list[Endpoint]]],
) -> None:
    status_by_name = dict.fromkeys(NAMES, ServerStatus.READY)
    for kind, endpoints in lists:
        if kind is ListKind.FULL:
            status_by_name = dict.fromkeys(NAMES, ServerStatus.GONE)
        status_by_name |= {endpoint.name: endpoint.listed.status for endpoint in endpoints}
    used = successor_list(tell(*lists))
    assert {name for name, (status, _, _) in used.items() if status is ServerStatus.READY} == {
        name for name, status in status_by_name.items() if status is ServerStatus.READY
    }


def test_a_list_with_a_later_start_is_newer_than_the_restriction() -> None:
    restrictions = tell((ListKind.DELTA, [entry("s-0", ServerStatus.GONE, started_us=5)]))
    restarted = entry("s-0", started_us=6)
    assert restrictions.apply([restarted]) == [restarted]


def test_restrictions_are_bounded_and_the_newest_are_kept() -> None:
    restrictions = HostRestrictions()
    for number in range(MAX_RESTRICTIONS + 10):
        gone = Endpoint(f"h-{number}", ("127.0.0.1", 1), ListedServer(number, ServerStatus.GONE))
        restrictions.record(ListKind.DELTA, [gone], {})
    assert len(restrictions.by_name) == MAX_RESTRICTIONS and "h-9" not in restrictions.by_name


@pytest.mark.parametrize("text", ["", "[]", '{"v":2,"hosts":{}}', '{"v":1}', '{"v":1,"hosts":{"a":["UP","h",1,0]}}'])
def test_an_invalid_file_is_an_error(text: str) -> None:
    with pytest.raises(StateError):
        decode_restrictions(text)
