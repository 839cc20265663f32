"""Subsets: balance, movement, zones and regions kept."""

from __future__ import annotations

import json
import math
from array import array
from collections import Counter
from collections.abc import Iterable, Sequence
from itertools import pairwise
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from benchmarks.capacity.plan import fleet
from benchmarks.relay_model import entry, plainly
from cloverkeel.control_plane.entry_codec import WIDENED_USERS_FACTOR, Host
from cloverkeel.control_plane.fleet_roster import GatewayGroup, gateway_hash
from cloverkeel.control_plane.messages import MAX_WIDENINGS, Subscriber
from cloverkeel.control_plane.subsetting import DEFAULT_SIZES, HashRing, window_size
from tests.control_plane.subset_helpers import make_cache, make_fleet, subset_of

MIN_HOSTS = DEFAULT_SIZES.min_hosts


COUNTS = st.integers(1, 150)


def host(number: int) -> Host:
    return Host(f"h{number}", "s", "z", True, b"")


def ring(hosts: Iterable[Host], *sizes: int) -> HashRing:
    made = HashRing("z", MIN_HOSTS)
    made.replace_hosts((), list(hosts))
    made.set_group_sizes(sizes)
    return made


def group(names: Sequence[str]) -> GatewayGroup:
    return GatewayGroup("s", array("Q", sorted(gateway_hash("s", name) for name in names)))


def windows(hosts: Iterable[Host], names: Sequence[str], wide: int = 0) -> dict[str, set[str]]:
    made, before = ring(hosts, len(names)), group(names)
    return {name: {each.name for each in made.window(before, name, wide)} for name in names}


@given(COUNTS, COUNTS, st.integers(0, MAX_WIDENINGS))
def test_each_host_has_as_many_gateways_as_any_other(hosts: int, gateways: int, wide: int) -> None:
    names = [f"g{n}" for n in range(gateways)]
    made = windows(map(host, range(hosts)), names, wide)
    have = Counter(name for each in made.values() for name in each)
    each_has = window_size(hosts, gateways, MIN_HOSTS << wide)
    assert {len(each) for each in made.values()} == {each_has} and each_has >= min(hosts, MIN_HOSTS << wide)
    fan = [have[f"h{n}"] for n in range(hosts)]
    mean = gateways * each_has / hosts
    assert min(fan) >= 1 and max(fan) - min(fan) <= 1
    if gateways >= MIN_HOSTS:
        assert mean >= MIN_HOSTS and max(fan) <= 1.3 * mean and min(fan) >= mean / 1.3
    if not wide:
        assert max(fan) <= ring(map(host, range(hosts)), gateways).max_users() <= 1.25 * math.ceil(mean) + 2


@given(COUNTS, st.lists(st.integers(0, MAX_WIDENINGS), min_size=1, max_size=150))
def test_shares_of_a_host_stay_within_its_budget_whoever_widens(hosts: int, wides: list[int]) -> None:
    """A cold host's budget is split by `users`: of all gateways that have it, each by what it was sent."""
    cache = make_cache({"regions": {"r": ["z"]}, "gateways": {f"g{n}": {"zone": "z"} for n in range(len(wides))}},
               [entry(f"h{n}", "s", "z") for n in range(hosts)])  # fmt: skip
    shares: Counter[str] = Counter()
    for number, wide in enumerate(wides):
        own = subset_of(cache, Subscriber(f"g{number}"))
        for name, each in subset_of(cache, Subscriber(f"g{number}", (), wide)).items():
            shares[name] += 1 / each["users"]
            assert name not in own or each["users"] == own[name]["users"]  # who widens keeps its own
    assert len(shares) == hosts and max(shares.values()) <= 1 + 8 / WIDENED_USERS_FACTOR


def test_widening_sends_only_new_hosts_and_narrowing_only_deletions() -> None:
    cache = make_cache(**make_fleet(300, 40))
    own = cache.respond(Subscriber("g0"), None)
    assert own is not None
    names = {json.loads(each)["name"] for each in own.entries}
    wider = cache.respond(Subscriber("g0", (), 1), own.index)
    assert wider is not None and not wider.is_snapshot
    came = [json.loads(each) for each in wider.entries]
    assert came and {each["status"] for each in came} == {"SERVING"} and not names & {each["name"] for each in came}
    back = cache.respond(Subscriber("g0"), wider.index)
    assert back is not None and not back.is_snapshot
    left = [json.loads(each) for each in back.entries]
    assert {each["status"] for each in left} == {"DELETED"} and len(left) == len(came)


@given(st.integers(1, 150), st.integers(9, 150), st.integers(0, 10_000))
def test_one_more_host_changes_at_most_two_of_a_window(hosts: int, gateways: int, other: int) -> None:
    names = [f"g{n}" for n in range(gateways)]
    fewer, more = (windows(map(host, numbers), names) for numbers in (range(hosts), (*range(hosts), 10_000 + other)))
    for name in names:
        assert len(more[name] - fewer[name]) <= 2 and len(fewer[name] - more[name]) <= 2


@given(COUNTS, COUNTS, st.integers(0, 10_000))
def test_one_more_gateway_moves_at_most_its_share_of_a_window(hosts: int, gateways: int, other: int) -> None:
    names = [f"g{n}" for n in range(gateways)]
    fewer, more = (windows(map(host, range(hosts)), each) for each in (names, [*names, f"other{other}"]))
    shift = math.ceil(hosts / (gateways + 1))
    narrower = math.ceil(MIN_HOSTS * hosts / (gateways * (gateways + 1)))
    for name in names:
        assert len(more[name] - fewer[name]) <= shift
        assert len(fewer[name] - more[name]) <= shift + narrower


def test_losing_a_zone_leaves_the_windows_in_the_others_unchanged() -> None:
    made = make_fleet(300, 40)
    cache, subscriber = make_cache(made["roster"], made["entries"]), Subscriber("g0")
    before = subset_of(cache, subscriber)
    cache.apply_list(False, [each | {"status": "DELETED"} for each in made["entries"] if each["zone"] == "r0-a"])
    after = subset_of(cache, subscriber)
    assert {each["zone"] for each in before.values()} == {"r0-a", "r0-b"}
    assert (
        after == {name: each for name, each in before.items() if each["zone"] == "r0-b"} and len(after) >= MIN_HOSTS
    )


def test_widening_doubles_the_subset_and_only_adds_hosts() -> None:
    cache = make_cache(**make_fleet(300, 40))
    subsets = [subset_of(cache, Subscriber("g0", (), wide)) for wide in range(MAX_WIDENINGS + 2)]
    assert [len(each) for each in subsets] == [
        2 * window_size(100, 27, MIN_HOSTS << wide) for wide in (0, 1, 2, 3, 3)
    ]
    assert all(less.keys() <= more.keys() for less, more in pairwise(subsets))


def test_fewer_than_three_serving_hosts_in_a_region_bring_in_the_other() -> None:
    made = make_fleet(9, 9)
    cache = make_cache(made["roster"], made["entries"])
    assert {each["zone"] for each in subset_of(cache, Subscriber("g0")).values()} == {"r0-a", "r0-b"}
    its = [each for each in made["entries"] if each["zone"] != "r1-a"]
    cache.apply_list(False, [each | {"status": "DRAINING"} for each in its[:3]])
    assert {each["zone"] for each in subset_of(cache, Subscriber("g0")).values()} == {"r0-a", "r0-b"}
    cache.apply_list(False, [its[3] | {"status": "DRAINING"}])
    spilt = subset_of(cache, Subscriber("g0"))
    assert Counter(each["zone"] for each in spilt.values()) == {"r0-a": 1, "r0-b": 1, "r1-a": 3}
    assert {each["users"] for each in spilt.values() if each["zone"] == "r1-a"} == {9}  # both regions' gateways
    assert {each["zone"] for each in subset_of(cache, Subscriber("g2")).values()} == {"r1-a"}


def test_no_host_is_left_without_a_gateway() -> None:
    """Where nobody of its region is before its service, or its zone is in no region, all before it have it."""
    made = make_fleet(90, 0)
    made["roster"]["gateways"] = {f"g{n}": {"zone": "r0-a", "services": ["s"]} for n in range(30)}
    cache = make_cache(made["roster"], [*made["entries"], *(entry(f"far{n}", "s", "no-zone") for n in range(40))])
    have = Counter(name for n in range(30) for name in subset_of(cache, Subscriber(f"g{n}")))
    assert len(have) == 130 and min(have.values()) >= MIN_HOSTS


def test_services_of_one_host_of_nine_thousand_and_without_a_name() -> None:
    entries = [entry("alone", "one", "r0-a"), *(entry(f"h{n}", "many", "r0-a") for n in range(9_000))]
    bare = [entry(f"bare{n}", "", "r0-a") for n in range(3)]
    for each in bare:
        del each["service"]
    cache = make_cache(make_fleet(0, 60)["roster"], [*entries, *bare])
    subset = subset_of(cache, Subscriber("g0"))
    assert Counter(each.get("service") for each in subset.values()) == {"one": 1, "many": 9_000 * 8 // 40, None: 3}
    assert subset_of(cache, Subscriber("g0", ("one",))).keys() == {"alone"}
    assert subset_of(cache, Subscriber("g0", ("", "one", "none"))).keys() == {"alone", "bare0", "bare1", "bare2"}


@given(st.integers(0, 60), st.integers(0, 30), st.integers(0, MAX_WIDENINGS), st.randoms(use_true_random=False))
def test_two_relays_give_the_same_subset_whatever_changes_they_applied(
    hosts: int, gateways: int, wide: int, rng: Any
) -> None:
    made = make_fleet(hosts, gateways + 3)
    listed = {each["name"]: each for each in made["entries"]}
    for name in rng.sample(sorted(listed), hosts // 4):
        listed[name] = listed[name] | {"status": "DRAINING"}
    first, second = make_cache(made["roster"], list(listed.values())), make_cache(made["roster"], [])
    deltas = [*listed.values(), *(entry(f"gone{n}", "s", "r0-a") for n in range(5)), *made["entries"][:7]]
    rng.shuffle(deltas)
    for each in deltas:
        second.apply_list(False, [each])
    second.apply_list(False, [entry(f"gone{n}", "s", "r0-a") | {"status": "DELETED"} for n in range(5)])
    second.apply_list(False, rng.sample(list(listed.values()), len(listed)))
    for number in (0, 1, 2, gateways, gateways + 2):
        subscriber = Subscriber(f"g{number}", (), wide)
        assert subset_of(first, subscriber) == subset_of(second, subscriber)
        assert subset_of(first, subscriber).keys() == plainly(made["roster"], DEFAULT_SIZES, subscriber, listed)[0]


def test_the_plans_shape_at_a_tenth_gives_all_hosts_gateways_and_all_gateways_hosts() -> None:
    small = fleet(460, 3_800)
    cache = make_cache(small.roster(), [each.entry() for each in small.hosts])
    subsets = {each.name: subset_of(cache, Subscriber(each.name)) for each in small.gateways}
    have = Counter(name for subset in subsets.values() for name in subset)
    assert have.keys() == {each.name for each in small.hosts} and min(have.values()) >= 3
    most = {name: each["users"] for subset in subsets.values() for name, each in subset.items()}
    assert all(have[name] <= most[name] for name in have)
    before = {each.name: set(each.services) for each in small.gateways}
    assert all({each["service"] for each in subset.values()} <= before[name] for name, subset in subsets.items())
