"""The endpoint cache: snapshots, deltas, and the subscription keys that a change affects."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.relay_model import make_entry
from cloverkeel.control_plane.endpoint_cache import EndpointCache
from cloverkeel.control_plane.endpoint_table import ALL_HOSTS_KEY, MAX_CHANGED_SERVICES, MAX_HOSTS, MAX_LOGGED_CHANGES
from cloverkeel.control_plane.errors import NotReadyError
from cloverkeel.control_plane.messages import ListResponse, Subscriber
from cloverkeel.control_plane.roster_parser import parse_roster
from tests.control_plane.cache_helpers import (
    G0,
    G2,
    HOSTS,
    ROSTER,
    SINGLE_SERVICE,
    UNNAMED,
    deleted,
    draining,
    entries_of,
    make_cache,
    respond,
    status_by_name,
)


def statuses(response: ListResponse) -> list[str]:
    return [raw["status"] for raw in entries_of(response)]


def test_cache_without_snapshot_is_not_ready_and_applies_no_changes() -> None:
    cache = EndpointCache(parse_roster(json.dumps(ROSTER), "f"), 1)
    for items in (HOSTS[:3], "rubbish"):
        assert not cache.apply_list(False, items) and not cache.is_ready
    for subscriber in (G0, UNNAMED):
        with pytest.raises(NotReadyError):
            cache.respond(subscriber, None)
    # An empty snapshot is valid: the registry has no hosts.
    assert cache.apply_list(True, []) == frozenset() and cache.is_ready
    assert respond(cache, G0) == ListResponse(1, True, ())


def test_drain_and_deletion_reach_the_gateways_that_have_the_host() -> None:
    cache = make_cache()
    snapshots = {name: respond(cache, Subscriber(name)) for name in ROSTER["gateways"]}
    name = entries_of(snapshots["g0"])[0]["name"]
    raw = next(each for each in HOSTS if each["name"] == name)
    cache.apply_list(False, [draining(raw)])
    owners = {gateway for gateway, response in snapshots.items() if name in status_by_name(response)}
    deltas = {gateway: cache.respond(Subscriber(gateway), response.index) for gateway, response in snapshots.items()}
    notified = {
        gateway for gateway, response in deltas.items() if response is not None and name in status_by_name(response)
    }
    assert notified == owners and "g0" in owners
    assert all(
        entries_of(response)[0] == draining(raw)
        for response in deltas.values()
        if response and name in status_by_name(response)
    )
    assert name not in status_by_name(respond(cache, G0))  # subset snapshots have no draining hosts
    delta = deltas["g0"]
    assert delta is not None and cache.respond(G0, delta.index) is None
    cache.apply_list(False, [deleted(raw)])
    assert status_by_name(respond(cache, G0, delta.index)) == {name: "DELETED"}


def test_deletions_and_drains_precede_serving_hosts() -> None:
    cache = make_cache()
    widened = Subscriber("only", (), 1)  # its subset has all hosts of its region
    index, full_list_index = respond(cache, widened).index, respond(cache, UNNAMED).index
    zone_hosts = [each for each in HOSTS if each["service"] == "s" and each["zone"] == "a"]
    serving = [zone_hosts[0] | {"weight": 2.0}, make_entry("aa", "s", "a")]
    cache.apply_list(False, [*serving, draining(zone_hosts[1]), deleted(zone_hosts[2]), draining(zone_hosts[3])])
    assert statuses(respond(cache, UNNAMED, full_list_index)) == ["DELETED", *["DRAINING"] * 2, *["SERVING"] * 2]
    delta = respond(cache, widened, index)  # also has serving hosts that moved into or out of its own window
    assert statuses(delta)[:3] == ["DELETED", *["DRAINING"] * 2] and set(statuses(delta)[3:]) == {"SERVING"}
    assert {each["name"] for each in serving} <= {raw["name"] for raw in entries_of(delta)[3:]}
    assert [raw["status"] for raw in entries_of(respond(cache, UNNAMED))][:3] == ["DRAINING", "DRAINING", "SERVING"]


def test_unknown_index_is_answered_with_a_snapshot() -> None:
    cache, other = make_cache(first_index=100), make_cache(first_index=500)
    first, other_relay, other_gateway = respond(cache, G0), respond(other, G0), respond(cache, Subscriber("g3"))
    for index in (other_relay.index, other_gateway.index, respond(cache, UNNAMED).index, 0, -1):
        assert respond(cache, G0, index).is_snapshot
    assert (
        respond(cache, UNNAMED, first.index).is_snapshot
        and respond(cache, Subscriber("unknown"), first.index).is_snapshot
    )
    assert cache.counters.unknown_indexes == 7 and other.counters.unknown_indexes == 0


def test_two_client_snapshots_are_kept_per_gateway() -> None:
    cache = make_cache()
    index = respond(cache, G0).index
    for number in range(50):
        cache.apply_list(False, [HOSTS[0] | {"weight": 1.0 + number}])
        assert not respond(cache, G0, index).is_snapshot  # as if every response since `index` was lost
        assert len(cache.subsets.snapshots_by_gateway["g0"]) == 2
    assert len(entries_of(respond(cache, G0, index))) == 1  # only the newest state, not each change
    for _ in range(5):
        respond(cache, G0)
    assert len(cache.subsets.snapshots_by_gateway["g0"]) == 2 and respond(cache, G0, index).is_snapshot


def test_subscriber_that_is_not_in_the_roster_gets_the_full_list() -> None:
    cache = make_cache()
    first = respond(cache, UNNAMED)
    assert first.is_snapshot and sorted(entries_of(first), key=lambda raw: raw["name"]) == HOSTS
    again = respond(cache, Subscriber("unknown", ("s",)))
    assert again.index == first.index and again.entries is first.entries  # encoded once
    assert cache.respond(UNNAMED, first.index) is None
    cache.apply_list(False, [draining(HOSTS[0]), deleted(HOSTS[1])])
    cache.apply_list(False, [HOSTS[0] | {"users": 9}])
    assert entries_of(respond(cache, UNNAMED, first.index)) == [deleted(HOSTS[1]), HOSTS[0]]
    many = [make_entry(f"n{n}", "s", "a") for n in range(MAX_LOGGED_CHANGES + 1)]
    cache.apply_list(False, many)
    assert (
        respond(cache, UNNAMED, first.index).is_snapshot and len(cache.table.change_log.entries) == MAX_LOGGED_CHANGES
    )


def test_entries_are_encoded_once_for_all_subscribers() -> None:
    """Each host has at most two encodings: in a gateway's own window, and added by widening."""
    cache = make_cache()
    subscribers = [Subscriber(name, ("s",), wide) for name in ("only", "g0") for wide in (1, 2)]
    encodings_by_name: dict[str, set[int]] = {}
    responses = [respond(cache, subscriber) for subscriber in subscribers + subscribers]
    for response in responses:
        for each in response.entries:
            encodings_by_name.setdefault(json.loads(each)["name"], set()).add(id(each))
    assert len(encodings_by_name) == 20 and max(map(len, encodings_by_name.values())) == 2
    assert all(len(response.entries) == 20 for response in responses)


def test_unusable_lists_are_counted_and_change_nothing() -> None:
    cache = make_cache()
    hosts_before, change_number = dict(cache.table.host_by_name), cache.table.change_number
    for malformed in (None, "x", {"name": "h"}, 7):
        assert cache.apply_list(True, malformed) == frozenset()
    assert cache.apply_list(True, [*HOSTS[:3], None, 5, {}, "x"]) == frozenset()  # most entries are unusable
    unusable: list[Any] = [
        None, [], {}, {"name": 5}, HOSTS[0] | {"status": "LOST"}, HOSTS[0] | {"address": "nowhere"},
        HOSTS[0] | {"weight": float("nan")}, HOSTS[0] | {"weight": "much"}, HOSTS[0] | {"since_ms": "today"},
        HOSTS[0] | {"name": "x" * 256}, HOSTS[0] | {"more": "x" * 5_000}, HOSTS[0] | {"more": float("inf")},
        HOSTS[0] | {"name": "\ud800"}, HOSTS[0] | {"service": "x" * 256}, HOSTS[0] | {"status": []},
    ]  # fmt: skip
    assert cache.apply_list(False, unusable) == frozenset()
    assert cache.table.host_by_name == hosts_before and cache.table.change_number == change_number
    assert cache.counters.unusable_lists == 5 and cache.counters.skipped_entries == len(unusable) + 4
    # A draining host is removed even if its entry is otherwise unusable.
    cache.apply_list(False, [draining(HOSTS[0]) | {"address": None}])
    assert HOSTS[0]["name"] not in cache.table.host_by_name


def test_last_entry_of_a_duplicate_name_counts() -> None:
    cache = make_cache([HOSTS[0] | {"address": "10.0.0.9:1"}, HOSTS[1], HOSTS[0]])
    assert {raw["name"]: raw for raw in entries_of(respond(cache, UNNAMED))} == {
        raw["name"]: raw for raw in HOSTS[:2]
    }
    index = respond(cache, UNNAMED).index
    cache.apply_list(False, [deleted(HOSTS[1]), HOSTS[1] | {"weight": 3.0}])
    assert entries_of(respond(cache, UNNAMED, index)) == [HOSTS[1] | {"weight": 3.0}]


def test_snapshot_equal_to_the_cache_changes_nothing() -> None:
    """A restarted registry sends a snapshot; subscribers must not be sent hosts that did not change."""
    cache = make_cache()
    index = respond(cache, G0).index
    assert cache.apply_list(True, [dict(reversed(each.items())) for each in reversed(HOSTS)]) == frozenset()
    assert cache.respond(G0, index) is None


def test_hosts_beyond_max_hosts_are_skipped() -> None:
    cache = make_cache(HOSTS[:1])
    # As if the table were almost full.
    cache.table.host_by_name |= dict.fromkeys(map(str, range(MAX_HOSTS - 2)), cache.table.host_by_name["h00"])
    cache.apply_list(False, HOSTS[1:4])
    assert len(cache.table.host_by_name) == MAX_HOSTS and cache.counters.skipped_entries == 2


def test_apply_list_returns_the_keys_of_affected_subscribers() -> None:
    cache = make_cache()
    assert cache.subscription_keys(G0) == ((None, "r0"),) and cache.subscription_keys(SINGLE_SERVICE) == (
        ("s", "r0"),
    )
    assert cache.subscription_keys(UNNAMED) == (ALL_HOSTS_KEY,)
    assert set(cache.subscription_keys(Subscriber("g2", ("s", "t")))) == {("s", "r1"), ("t", "r1")}
    assert cache.apply_list(False, [draining(HOSTS[0])]) == {("s", "r0"), (None, "r0"), ALL_HOSTS_KEY}
    assert cache.apply_list(False, [deleted(HOSTS[0])]) == {("s", "r0"), (None, "r0"), ALL_HOSTS_KEY}
    zone_hosts = [each for each in HOSTS if each["zone"] == "c" and each["service"] == "s"]
    # With two hosts left in r1, its gateways also use those of r0, which changes `users` there.
    keys = cache.apply_list(False, [deleted(each) for each in zone_hosts[2:]])
    assert keys == {("s", "r1"), (None, "r1"), ("s", "r0"), (None, "r0"), ALL_HOSTS_KEY}


def test_deletion_of_the_last_host_of_a_zone_returns_the_keys_of_its_region() -> None:
    cache = make_cache([make_entry(f"h{n}", "s", "abbccc"[n % 6]) for n in range(18)])
    cache.apply_list(False, [deleted(make_entry("h0", "s", "a")), deleted(make_entry("h6", "s", "a"))])
    assert cache.apply_list(False, [deleted(make_entry("h12", "s", "a"))]) == {
        ("s", "r0"),
        (None, "r0"),
        ALL_HOSTS_KEY,
    }


def test_change_of_subscribed_services_is_sent_as_a_delta() -> None:
    cache = make_cache()
    first = respond(cache, Subscriber("g0", ("s",)))
    second = respond(cache, Subscriber("g0", ("t",)), first.index)
    status_by_service = {raw["service"]: raw["status"] for raw in entries_of(second)}
    assert not second.is_snapshot and status_by_service == {"s": "DELETED", "t": "SERVING"}
    assert (
        len(entries_of(second)) == 2 * len(entries_of(first))
        and cache.respond(Subscriber("g0", ("t",)), second.index) is None
    )


def test_delta_has_changes_of_services_dropped_from_change_by_service() -> None:
    cache = make_cache()
    first = respond(cache, G0)
    name = entries_of(first)[0]["name"]
    cache.apply_list(False, [draining(next(each for each in HOSTS if each["name"] == name))])
    # As if that many other services had changed since.
    cache.table.change_by_service.update(
        {f"other{n}": cache.table.change_number for n in range(MAX_CHANGED_SERVICES)}
    )
    cache.apply_list(False, [deleted(make_entry("none", "u", "a")), make_entry("new", "u", "a")])
    assert (
        len(cache.table.change_by_service) == MAX_CHANGED_SERVICES
        and status_by_name(respond(cache, G0, first.index))[name] == "DRAINING"
    )


@given(st.lists(st.tuples(st.integers(0, 59), st.sampled_from(("SERVING", "DRAINING", "DELETED"))), max_size=40))
def test_subscriber_whose_keys_were_not_returned_is_up_to_date(changes: list[tuple[int, str]]) -> None:
    cache = make_cache()
    subscribers = [G0, G2, SINGLE_SERVICE, Subscriber("g5", ("t",)), UNNAMED]
    index = {subscriber: respond(cache, subscriber).index for subscriber in subscribers}
    for number, status in changes:
        keys = cache.apply_list(False, [HOSTS[number] | {"status": status}])
        for subscriber in subscribers:
            response = cache.respond(subscriber, index[subscriber])
            assert response is None or keys & set(cache.subscription_keys(subscriber))
            index[subscriber] = index[subscriber] if response is None else response.index
