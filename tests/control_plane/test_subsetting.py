"""Subsetting: balance over hosts, bounded change of windows, zones, regions and spillover."""

from __future__ import annotations

import json
import math
from array import array
from collections import Counter
from collections.abc import Iterable, Sequence
from itertools import pairwise
from typing import Any

from hypothesis import example, given
from hypothesis import strategies as st

from benchmarks.capacity.plan import build_fleet as capacity_plan_fleet
from benchmarks.relay_model import make_entry, reference_subset
from cloverkeel.control_plane.entry_codec import WIDENED_USERS_FACTOR, Host
from cloverkeel.control_plane.fleet_roster import GatewayGroup, gateway_hash
from cloverkeel.control_plane.messages import MAX_WIDENINGS, Subscriber
from cloverkeel.control_plane.subsetting import DEFAULT_SIZES, HashRing, window_size
from tests.control_plane.subset_helpers import make_cache, make_fleet, subset_of

MIN_HOSTS = DEFAULT_SIZES.min_hosts


COUNTS = st.integers(1, 150)


def make_host(number: int) -> Host:
    return Host(f"h{number}", "s", "z", True, b"")


def make_ring(hosts: Iterable[Host], *group_sizes: int) -> HashRing:
    ring = HashRing("z", MIN_HOSTS)
    ring.replace_hosts((), list(hosts))
    ring.set_group_sizes(group_sizes)
    return ring


def make_group(names: Sequence[str]) -> GatewayGroup:
    return GatewayGroup("s", array("Q", sorted(gateway_hash("s", name) for name in names)))


def windows_by_gateway(hosts: Iterable[Host], names: Sequence[str], widenings: int = 0) -> dict[str, set[str]]:
    ring, group = make_ring(hosts, len(names)), make_group(names)
    return {name: {each.name for each in ring.window(group, name, widenings)} for name in names}


@given(COUNTS, COUNTS, st.integers(0, MAX_WIDENINGS))
def test_gateways_per_host_differ_by_at_most_one(hosts: int, gateways: int, widenings: int) -> None:
    names = [f"g{n}" for n in range(gateways)]
    windows = windows_by_gateway(map(make_host, range(hosts)), names, widenings)
    users_by_host = Counter(name for each in windows.values() for name in each)
    size = window_size(hosts, gateways, MIN_HOSTS << widenings)
    assert {len(each) for each in windows.values()} == {size} and size >= min(hosts, MIN_HOSTS << widenings)
    users = [users_by_host[f"h{n}"] for n in range(hosts)]
    mean = gateways * size / hosts
    assert min(users) >= 1 and max(users) - min(users) <= 1
    if gateways >= MIN_HOSTS:
        assert mean >= MIN_HOSTS and max(users) <= 1.3 * mean and min(users) >= mean / 1.3
    if not widenings:
        assert (
            max(users) <= make_ring(map(make_host, range(hosts)), gateways).max_users() <= 1.25 * math.ceil(mean) + 2
        )


@example(hosts=11, widenings_by_gateway=[0, 0, 0, 0, 1, 0, 0, 1, 0, 0, 1, 1])  # exceeds the bound with full shares
@given(COUNTS, st.lists(st.integers(0, MAX_WIDENINGS), min_size=1, max_size=150))
def test_shares_of_a_host_stay_within_its_budget_for_any_widenings(
    hosts: int, widenings_by_gateway: list[int]
) -> None:
    """Each gateway uses 1 / `users` of the budget of a host in slow start.

    The shares of all gateways may exceed the budget by at most 8 / WIDENED_USERS_FACTOR.
    """
    cache = make_cache(
        {"regions": {"r": ["z"]}, "gateways": {f"g{n}": {"zone": "z"} for n in range(len(widenings_by_gateway))}},
        [make_entry(f"h{n}", "s", "z") for n in range(hosts)],
    )
    shares: Counter[str] = Counter()
    for number, widenings in enumerate(widenings_by_gateway):
        own = subset_of(cache, Subscriber(f"g{number}"))
        for name, each in subset_of(cache, Subscriber(f"g{number}", (), widenings)).items():
            shares[name] += 1 / each["users"]
            assert name not in own or each["users"] == own[name]["users"]  # widening does not change own hosts
    assert len(shares) == hosts and max(shares.values()) <= 1 + 8 / WIDENED_USERS_FACTOR


def test_widening_sends_only_new_hosts_and_narrowing_only_deletions() -> None:
    cache = make_cache(**make_fleet(300, 40))
    own = cache.respond(Subscriber("g0"), None)
    assert own is not None
    names = {json.loads(each)["name"] for each in own.entries}
    wider = cache.respond(Subscriber("g0", (), 1), own.index)
    assert wider is not None and not wider.is_snapshot
    added = [json.loads(each) for each in wider.entries]
    assert (
        added and {each["status"] for each in added} == {"SERVING"} and not names & {each["name"] for each in added}
    )
    narrower = cache.respond(Subscriber("g0"), wider.index)
    assert narrower is not None and not narrower.is_snapshot
    removed = [json.loads(each) for each in narrower.entries]
    assert {each["status"] for each in removed} == {"DELETED"} and len(removed) == len(added)


@given(st.integers(1, 150), st.integers(9, 150), st.integers(0, 10_000))
def test_adding_a_host_changes_at_most_two_hosts_of_a_window(hosts: int, gateways: int, other: int) -> None:
    names = [f"g{n}" for n in range(gateways)]
    before, after = (
        windows_by_gateway(map(make_host, numbers), names)
        for numbers in (range(hosts), (*range(hosts), 10_000 + other))
    )
    for name in names:
        assert len(after[name] - before[name]) <= 2 and len(before[name] - after[name]) <= 2


@given(COUNTS, COUNTS, st.integers(0, 10_000))
def test_adding_a_gateway_changes_at_most_its_share_of_a_window(hosts: int, gateways: int, other: int) -> None:
    names = [f"g{n}" for n in range(gateways)]
    before, after = (
        windows_by_gateway(map(make_host, range(hosts)), each) for each in (names, [*names, f"other{other}"])
    )
    shift = math.ceil(hosts / (gateways + 1))
    shrinkage = math.ceil(MIN_HOSTS * hosts / (gateways * (gateways + 1)))
    for name in names:
        assert len(after[name] - before[name]) <= shift
        assert len(before[name] - after[name]) <= shift + shrinkage


def test_loss_of_a_zone_leaves_windows_in_other_zones_unchanged() -> None:
    fleet = make_fleet(300, 40)
    cache, subscriber = make_cache(fleet["roster"], fleet["entries"]), Subscriber("g0")
    before = subset_of(cache, subscriber)
    cache.apply_list(False, [each | {"status": "DELETED"} for each in fleet["entries"] if each["zone"] == "r0-a"])
    after = subset_of(cache, subscriber)
    assert {each["zone"] for each in before.values()} == {"r0-a", "r0-b"}
    assert (
        after == {name: each for name, each in before.items() if each["zone"] == "r0-b"} and len(after) >= MIN_HOSTS
    )


def test_widening_doubles_the_subset_and_only_adds_hosts() -> None:
    cache = make_cache(**make_fleet(300, 40))
    subsets = [subset_of(cache, Subscriber("g0", (), widenings)) for widenings in range(MAX_WIDENINGS + 2)]
    assert [len(each) for each in subsets] == [
        2 * window_size(100, 27, MIN_HOSTS << widenings) for widenings in (0, 1, 2, 3, 3)
    ]
    assert all(narrower.keys() <= wider.keys() for narrower, wider in pairwise(subsets))


def test_region_with_fewer_than_three_serving_hosts_also_gets_hosts_of_other_regions() -> None:
    fleet = make_fleet(9, 9)
    cache = make_cache(fleet["roster"], fleet["entries"])
    assert {each["zone"] for each in subset_of(cache, Subscriber("g0")).values()} == {"r0-a", "r0-b"}
    region_entries = [each for each in fleet["entries"] if each["zone"] != "r1-a"]
    cache.apply_list(False, [each | {"status": "DRAINING"} for each in region_entries[:3]])
    assert {each["zone"] for each in subset_of(cache, Subscriber("g0")).values()} == {"r0-a", "r0-b"}
    cache.apply_list(False, [region_entries[3] | {"status": "DRAINING"}])
    spillover = subset_of(cache, Subscriber("g0"))
    assert Counter(each["zone"] for each in spillover.values()) == {"r0-a": 1, "r0-b": 1, "r1-a": 3}
    assert {each["users"] for each in spillover.values() if each["zone"] == "r1-a"} == {9}  # both regions' gateways
    assert {each["zone"] for each in subset_of(cache, Subscriber("g2")).values()} == {"r1-a"}


def test_every_host_has_a_gateway() -> None:
    """Hosts in a region whose gateways don't route to the service, or in a zone of no region, must still be used.

    All gateways that route to the service share such hosts.
    """
    fleet = make_fleet(90, 0)
    fleet["roster"]["gateways"] = {f"g{n}": {"zone": "r0-a", "services": ["s"]} for n in range(30)}
    cache = make_cache(
        fleet["roster"], [*fleet["entries"], *(make_entry(f"far{n}", "s", "no-zone") for n in range(40))]
    )
    users_by_host = Counter(name for n in range(30) for name in subset_of(cache, Subscriber(f"g{n}")))
    assert len(users_by_host) == 130 and min(users_by_host.values()) >= MIN_HOSTS


def test_services_with_one_host_with_9000_hosts_and_without_a_name() -> None:
    entries = [make_entry("alone", "one", "r0-a"), *(make_entry(f"h{n}", "many", "r0-a") for n in range(9_000))]
    unnamed = [make_entry(f"bare{n}", "", "r0-a") for n in range(3)]
    for each in unnamed:
        del each["service"]
    cache = make_cache(make_fleet(0, 60)["roster"], [*entries, *unnamed])
    subset = subset_of(cache, Subscriber("g0"))
    assert Counter(each.get("service") for each in subset.values()) == {"one": 1, "many": 9_000 * 8 // 40, None: 3}
    assert subset_of(cache, Subscriber("g0", ("one",))).keys() == {"alone"}
    assert subset_of(cache, Subscriber("g0", ("", "one", "none"))).keys() == {"alone", "bare0", "bare1", "bare2"}


@given(st.integers(0, 60), st.integers(0, 30), st.integers(0, MAX_WIDENINGS), st.randoms(use_true_random=False))
def test_subset_depends_on_the_list_and_not_on_earlier_changes(
    hosts: int, gateways: int, widenings: int, rng: Any
) -> None:
    fleet = make_fleet(hosts, gateways + 3)
    listed = {each["name"]: each for each in fleet["entries"]}
    for name in rng.sample(sorted(listed), hosts // 4):
        listed[name] = listed[name] | {"status": "DRAINING"}
    first, second = make_cache(fleet["roster"], list(listed.values())), make_cache(fleet["roster"], [])
    deltas = [*listed.values(), *(make_entry(f"gone{n}", "s", "r0-a") for n in range(5)), *fleet["entries"][:7]]
    rng.shuffle(deltas)
    for each in deltas:
        second.apply_list(False, [each])
    second.apply_list(False, [make_entry(f"gone{n}", "s", "r0-a") | {"status": "DELETED"} for n in range(5)])
    second.apply_list(False, rng.sample(list(listed.values()), len(listed)))
    for number in (0, 1, 2, gateways, gateways + 2):
        subscriber = Subscriber(f"g{number}", (), widenings)
        assert subset_of(first, subscriber) == subset_of(second, subscriber)
        assert (
            subset_of(first, subscriber).keys()
            == reference_subset(fleet["roster"], DEFAULT_SIZES, subscriber, listed)[0]
        )


def test_every_host_has_gateways_in_a_tenth_of_the_capacity_plan() -> None:
    small = capacity_plan_fleet(460, 3_800)
    cache = make_cache(small.to_roster(), [each.to_entry() for each in small.hosts])
    subsets = {each.name: subset_of(cache, Subscriber(each.name)) for each in small.gateways}
    users_by_host = Counter(name for subset in subsets.values() for name in subset)
    assert users_by_host.keys() == {each.name for each in small.hosts} and min(users_by_host.values()) >= 3
    max_users = {name: each["users"] for subset in subsets.values() for name, each in subset.items()}
    assert all(users_by_host[name] <= max_users[name] for name in users_by_host)
    services = {each.name: set(each.services) for each in small.gateways}
    assert all({each["service"] for each in subset.values()} <= services[name] for name, subset in subsets.items())
