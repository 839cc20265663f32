"""What a relay tells whom: the model in every order of events, larger fleets at random, and single cases."""

from __future__ import annotations

import json
from collections.abc import Generator, Iterator
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from benchmarks.relay_model import STARTS, Entry, Scene, draw, entry, parse, replay, search, shorten, walk, wrong_of
from benchmarks.relay_model import State as Fleet
from cloverkeel.control_plane.endpoint_cache import EndpointCache
from cloverkeel.control_plane.endpoint_table import ALL_HOSTS_KEY, MAX_CHANGED_SERVICES, MAX_HOSTS, MAX_LOGGED_CHANGES
from cloverkeel.control_plane.errors import NotReadyError
from cloverkeel.control_plane.messages import ListResponse, Subscriber
from cloverkeel.control_plane.roster_parser import parse_roster
from cloverkeel.control_plane.subsetting import SubsetSizes

ROSTER: dict[str, Any] = {
    "regions": {"r0": ["a", "b"], "r1": ["c"]},
    "gateways": {f"g{n}": {"zone": "abc"[n % 3]} for n in range(20)} | {"only": {"zone": "a", "services": ["s"]}},
}
HOSTS = [entry(f"h{n:02}", "st"[n % 2], "abc"[n % 3]) for n in range(60)]
G0, G2, ONLY, NOBODY = Subscriber("g0"), Subscriber("g2"), Subscriber("only"), Subscriber()


def feed_of(hosts: list[Entry] = HOSTS, first_index: int = 1) -> EndpointCache:
    made = EndpointCache(parse_roster(json.dumps(ROSTER), "roster.json"), first_index)
    made.apply_list(True, hosts)
    return made


def ask(cache: EndpointCache, asker: Subscriber, since: int | None = None) -> ListResponse:
    answer = cache.respond(asker, since)
    assert answer is not None
    return answer


def statuses(answer: ListResponse) -> list[str]:
    return [raw["status"] for raw in raws(answer)]


def raws(answer: ListResponse) -> list[Entry]:
    entries: list[Entry] = json.loads(answer.body(0))["endpoints"]
    return entries


def states(answer: ListResponse) -> dict[str, str]:
    return {raw["name"]: raw["status"] for raw in raws(answer)}


def drained(raw: Entry) -> Entry:
    return raw | {"status": "DRAINING"}


def gone(raw: Entry) -> Entry:
    return raw | {"status": "DELETED"}


# The model


@pytest.mark.parametrize("start", sorted(STARTS))
def test_no_order_of_events_leaves_a_gateway_with_another_subset(start: str) -> None:
    found = search(STARTS[start](), depth=9, most=800)
    assert not found.wrong, found.trace
    assert found.states == 800 and found.depth >= 3


@pytest.mark.parametrize("start", sorted(STARTS))
def test_no_order_of_changes_and_lost_answers_does(start: str) -> None:
    found = search(STARTS[start](), depth=9, most=1_200, only=("change", "hear", "ask", "lose"))
    assert not found.wrong, found.trace
    assert found.states == 1_200 and found.depth >= 5


@pytest.mark.parametrize("start", sorted(STARTS))
def test_no_long_walk_does(start: str) -> None:
    found = walk(STARTS[start](), walks=100, steps=60, seed=1)
    assert not found.wrong, found.trace
    assert found.states == 100 * 60


@settings(max_examples=50)
@given(
    st.integers(1, 40), st.integers(1, 12), st.integers(1, 3), st.integers(1, 3), st.randoms(use_true_random=False)
)
def test_no_walk_of_a_larger_fleet_does(hosts: int, gateways: int, least: int, serving: int, rng: Any) -> None:
    regions = {"r0": ["z0", "z1"], "r1": ["z2"]}
    posts = [{"zone": f"z{n % 3}"} | ({"services": rng.sample("ab", rng.choice((1, 2)))} if n % 4 else {})
             for n in range(gateways)]  # fmt: skip
    rosters = tuple(
        {"regions": regions, "gateways": {f"g{n}": post for n, post in enumerate(posts) if n < most}}
        for most in (gateways, max(1, gateways - 2))
    )
    places = [(service, zone) for service in "ab" for zone in ("z0", "z1", "z2", "far")]
    fleet = tuple(entry(f"h{n}", *rng.choice(places)) for n in range(hosts))
    askers = (*(Subscriber(f"g{n}") for n in range(gateways)), Subscriber(), Subscriber("g0", ("b",)))
    state = Fleet(Scene(rosters, fleet, askers, tuple(places), SubsetSizes(least, serving)).ready())
    state.used = dict.fromkeys(state.used, -1_000)
    for _ in range(60):
        state.apply(draw(rng, state))
        assert not state.wrong
    assert not wrong_of(state)


def test_a_trace_replays() -> None:
    trace = parse("change:0 hear:1 lose:1 ask:1 move:0 restart:1 roster:1 wide:0 shift:2 list:1 ask:0")
    first, second = replay(STARTS["services"](), trace), replay(STARTS["services"](), trace)
    assert first.key() == second.key() and not wrong_of(first)
    assert first.relays[1].life == 1 and first.holders[0].relay == 1
    assert shorten(STARTS["services"](), trace) == trace  # nothing is wrong, so nothing can be left out
    with pytest.raises(ValueError, match="expected words such as ask:0"):
        parse("moon:1")


# What is told, and to whom


def test_a_relay_that_has_no_list_yet_says_so_and_takes_no_changes() -> None:
    cache = EndpointCache(parse_roster(json.dumps(ROSTER), "f"), 1)
    for items in (HOSTS[:3], "rubbish"):
        assert not cache.apply_list(False, items) and not cache.is_ready
    for asker in (G0, NOBODY):
        with pytest.raises(NotReadyError):
            cache.respond(asker, None)
    assert cache.apply_list(True, []) == frozenset() and cache.is_ready  # discovery has nobody, and says so
    assert ask(cache, G0) == ListResponse(1, True, ())


def test_a_drain_goes_to_who_has_the_host_and_its_end_too() -> None:
    cache = feed_of()
    had = {name: ask(cache, Subscriber(name)) for name in ROSTER["gateways"]}
    name = raws(had["g0"])[0]["name"]
    raw = next(each for each in HOSTS if each["name"] == name)
    cache.apply_list(False, [drained(raw)])
    its = {gateway for gateway, answer in had.items() if name in states(answer)}
    drains = {gateway: cache.respond(Subscriber(gateway), answer.index) for gateway, answer in had.items()}
    told = {gateway for gateway, answer in drains.items() if answer is not None and name in states(answer)}
    assert told == its and "g0" in its
    assert all(raws(answer)[0] == drained(raw) for answer in drains.values() if answer and name in states(answer))
    assert name not in states(ask(cache, G0))  # who asks for the whole has it no longer
    after = drains["g0"]
    assert after is not None and cache.respond(G0, after.index) is None
    cache.apply_list(False, [gone(raw)])
    assert states(ask(cache, G0, after.index)) == {name: "DELETED"}


def test_what_restricts_is_said_first() -> None:
    cache = feed_of()
    wide = Subscriber("only", (), 1)  # it has them all
    index, everyone = ask(cache, wide).index, ask(cache, NOBODY).index
    its = [each for each in HOSTS if each["service"] == "s" and each["zone"] == "a"]
    serving = [its[0] | {"weight": 2.0}, entry("aa", "s", "a")]
    cache.apply_list(False, [*serving, drained(its[1]), gone(its[2]), drained(its[3])])
    assert statuses(ask(cache, NOBODY, everyone)) == ["DELETED", *["DRAINING"] * 2, *["SERVING"] * 2]
    told = ask(cache, wide, index)  # its own window has moved on too: some serve with another share
    assert statuses(told)[:3] == ["DELETED", *["DRAINING"] * 2] and set(statuses(told)[3:]) == {"SERVING"}
    assert {each["name"] for each in serving} <= {raw["name"] for raw in raws(told)[3:]}
    assert [raw["status"] for raw in raws(ask(cache, NOBODY))][:3] == ["DRAINING", "DRAINING", "SERVING"]


def test_an_index_that_names_no_answer_of_its_asker_is_answered_with_the_whole() -> None:
    cache, other = feed_of(first_index=100), feed_of(first_index=500)
    first, foreign, twin = ask(cache, G0), ask(other, G0), ask(cache, Subscriber("g3"))
    for index in (foreign.index, twin.index, ask(cache, NOBODY).index, 0, -1):
        assert ask(cache, G0, index).is_snapshot
    assert ask(cache, NOBODY, first.index).is_snapshot and ask(cache, Subscriber("unknown"), first.index).is_snapshot
    assert cache.counters.unknown_indexes == 7 and other.counters.unknown_indexes == 0


def test_of_each_gateway_two_views_are_kept() -> None:
    cache = feed_of()
    index = ask(cache, G0).index
    for number in range(50):
        cache.apply_list(False, [HOSTS[0] | {"weight": 1.0 + number}])
        assert not ask(cache, G0, index).is_snapshot  # the answers to it are lost, one after another
        assert len(cache.subsets.snapshots_by_gateway["g0"]) == 2
    assert len(raws(ask(cache, G0, index))) == 1  # the newest state, no backlog
    for _ in range(5):
        ask(cache, G0)
    assert len(cache.subsets.snapshots_by_gateway["g0"]) == 2 and ask(cache, G0, index).is_snapshot


def test_who_is_not_in_the_roster_gets_the_list_as_discovery_has_it() -> None:
    cache = feed_of()
    first = ask(cache, NOBODY)
    assert first.is_snapshot and sorted(raws(first), key=lambda raw: raw["name"]) == HOSTS
    again = ask(cache, Subscriber("unknown", ("s",)))
    assert again.index == first.index and again.entries is first.entries  # made once for all
    assert cache.respond(NOBODY, first.index) is None
    cache.apply_list(False, [drained(HOSTS[0]), gone(HOSTS[1])])
    cache.apply_list(False, [HOSTS[0] | {"users": 9}])
    assert raws(ask(cache, NOBODY, first.index)) == [gone(HOSTS[1]), HOSTS[0]]
    many = [entry(f"n{n}", "s", "a") for n in range(MAX_LOGGED_CHANGES + 1)]
    cache.apply_list(False, many)
    assert ask(cache, NOBODY, first.index).is_snapshot and len(cache.table.change_log.entries) == MAX_LOGGED_CHANGES


def test_entries_are_encoded_once_for_all_who_have_them() -> None:
    """Once for those whose own it is, and once for those who have widened."""
    cache = feed_of()
    askers = [Subscriber(name, ("s",), wide) for name in ("only", "g0") for wide in (1, 2)]
    forms: dict[str, set[int]] = {}
    answers = [ask(cache, asker) for asker in askers + askers]
    for answer in answers:
        for each in answer.entries:
            forms.setdefault(json.loads(each)["name"], set()).add(id(each))
    assert len(forms) == 20 and max(map(len, forms.values())) == 2
    assert all(len(answer.entries) == 20 for answer in answers)


def test_rubbish_is_counted_and_leaves_what_is_held() -> None:
    cache = feed_of()
    held, number = dict(cache.table.host_by_name), cache.table.change_number
    for rubbish in (None, "x", {"name": "h"}, 7):
        assert cache.apply_list(True, rubbish) == frozenset()
    assert cache.apply_list(True, [*HOSTS[:3], None, 5, {}, "x"]) == frozenset()  # most of it cannot be used
    bad: list[Any] = [
        None, [], {}, {"name": 5}, HOSTS[0] | {"status": "LOST"}, HOSTS[0] | {"address": "nowhere"},
        HOSTS[0] | {"weight": float("nan")}, HOSTS[0] | {"weight": "much"}, HOSTS[0] | {"since_ms": "today"},
        HOSTS[0] | {"name": "x" * 256}, HOSTS[0] | {"more": "x" * 5_000}, HOSTS[0] | {"more": float("inf")},
        HOSTS[0] | {"name": "\ud800"}, HOSTS[0] | {"service": "x" * 256}, HOSTS[0] | {"status": []},
    ]  # fmt: skip
    assert cache.apply_list(False, bad) == frozenset()
    assert cache.table.host_by_name == held and cache.table.change_number == number
    assert cache.counters.unusable_lists == 5 and cache.counters.skipped_entries == len(bad) + 4
    cache.apply_list(False, [drained(HOSTS[0]) | {"address": None}])  # that it leaves is heard
    assert HOSTS[0]["name"] not in cache.table.host_by_name


def test_of_a_name_that_is_listed_twice_the_last_counts() -> None:
    cache = feed_of([HOSTS[0] | {"address": "10.0.0.9:1"}, HOSTS[1], HOSTS[0]])
    assert {raw["name"]: raw for raw in raws(ask(cache, NOBODY))} == {raw["name"]: raw for raw in HOSTS[:2]}
    index = ask(cache, NOBODY).index
    cache.apply_list(False, [gone(HOSTS[1]), HOSTS[1] | {"weight": 3.0}])
    assert raws(ask(cache, NOBODY, index)) == [HOSTS[1] | {"weight": 3.0}]


def test_a_list_that_is_as_the_last_changes_nothing_for_anybody() -> None:
    """Discovery that begins anew, at whatever version, is a whole list."""
    cache = feed_of()
    index = ask(cache, G0).index
    assert cache.apply_list(True, [dict(reversed(each.items())) for each in reversed(HOSTS)]) == frozenset()
    assert cache.respond(G0, index) is None


def test_more_hosts_than_there_is_room_for_are_not_taken() -> None:
    cache = feed_of(HOSTS[:1])
    cache.table.host_by_name |= dict.fromkeys(
        map(str, range(MAX_HOSTS - 2)), cache.table.host_by_name["h00"]
    )  # as if there were so many
    cache.apply_list(False, HOSTS[1:4])
    assert len(cache.table.host_by_name) == MAX_HOSTS and cache.counters.skipped_entries == 2


def test_a_change_touches_who_waits_for_it_and_no_other() -> None:
    cache = feed_of()
    assert cache.subscription_keys(G0) == ((None, "r0"),) and cache.subscription_keys(ONLY) == (("s", "r0"),)
    assert cache.subscription_keys(NOBODY) == (ALL_HOSTS_KEY,)
    assert set(cache.subscription_keys(Subscriber("g2", ("s", "t")))) == {("s", "r1"), ("t", "r1")}
    assert cache.apply_list(False, [drained(HOSTS[0])]) == {("s", "r0"), (None, "r0"), ALL_HOSTS_KEY}
    assert cache.apply_list(False, [gone(HOSTS[0])]) == {("s", "r0"), (None, "r0"), ALL_HOSTS_KEY}
    its = [each for each in HOSTS if each["zone"] == "c" and each["service"] == "s"]
    spilt = cache.apply_list(False, [gone(each) for each in its[2:]])  # r1 has two left, and r0's with them
    assert spilt == {("s", "r1"), (None, "r1"), ("s", "r0"), (None, "r0"), ALL_HOSTS_KEY}


def test_the_last_host_of_a_zone_that_goes_touches_who_had_it() -> None:
    cache = feed_of([entry(f"h{n}", "s", "abbccc"[n % 6]) for n in range(18)])
    cache.apply_list(False, [gone(entry("h0", "s", "a")), gone(entry("h6", "s", "a"))])
    assert cache.apply_list(False, [gone(entry("h12", "s", "a"))]) == {("s", "r0"), (None, "r0"), ALL_HOSTS_KEY}


def test_who_asks_for_other_services_is_told_those_and_that_the_rest_is_gone() -> None:
    cache = feed_of()
    first = ask(cache, Subscriber("g0", ("s",)))
    second = ask(cache, Subscriber("g0", ("t",)), first.index)
    told = {raw["service"]: raw["status"] for raw in raws(second)}
    assert not second.is_snapshot and told == {"s": "DELETED", "t": "SERVING"}
    assert len(raws(second)) == 2 * len(raws(first)) and cache.respond(Subscriber("g0", ("t",)), second.index) is None


def test_a_service_whose_change_is_long_ago_is_looked_at_all_the_same() -> None:
    cache = feed_of()
    first = ask(cache, G0)
    name = raws(first)[0]["name"]
    cache.apply_list(False, [drained(next(each for each in HOSTS if each["name"] == name))])
    cache.table.change_by_service.update(
        {f"other{n}": cache.table.change_number for n in range(MAX_CHANGED_SERVICES)}
    )  # as if so many had changed since
    cache.apply_list(False, [gone(entry("none", "u", "a")), entry("new", "u", "a")])
    assert (
        len(cache.table.change_by_service) == MAX_CHANGED_SERVICES
        and states(ask(cache, G0, first.index))[name] == "DRAINING"
    )


@given(st.lists(st.tuples(st.integers(0, 59), st.sampled_from(("SERVING", "DRAINING", "DELETED"))), max_size=40))
def test_who_is_not_touched_has_nothing_to_be_told(changes: list[tuple[int, str]]) -> None:
    cache = feed_of()
    askers = [G0, G2, ONLY, Subscriber("g5", ("t",)), NOBODY]
    index = {asker: ask(cache, asker).index for asker in askers}
    for number, status in changes:
        touched = cache.apply_list(False, [HOSTS[number] | {"status": status}])
        for asker in askers:
            answer = cache.respond(asker, index[asker])
            assert answer is None or touched & set(cache.subscription_keys(asker))
            index[asker] = index[asker] if answer is None else answer.index


# By steps

SMALL: list[dict[str, Any]] = [
    ROSTER,
    ROSTER | {"gateways": ROSTER["gateways"] | {"g0": {"zone": "c"}}},
    ROSTER | {"gateways": ROSTER["gateways"] | {"only": {"zone": "a", "services": ["t"]}}},
    {"regions": {"r0": ["a"], "r1": ["b", "c"]}, "gateways": {f"g{n}": {"zone": "abc"[n % 3]} for n in range(3, 12)}},
]
DOING = st.one_of(
    st.tuples(st.just("roster"), st.integers(0, 3)),
    st.tuples(st.just("step"), st.integers(1, 4)),
    st.tuples(st.just("ask"), st.integers(0, 5)),
    st.tuples(st.sampled_from(("SERVING", "DRAINING", "DELETED")), st.integers(0, 59)),
)


def by_steps(cache: EndpointCache, raw: dict[str, Any]) -> Generator[None, None, None]:
    """As the relay does it."""
    roster = parse_roster(json.dumps(raw), "f")
    cache.switch_roster(roster, (yield from cache.prepare_roster(roster)))
    yield
    yield from cache.finish_roster_switch()


@settings(max_examples=200)
@given(st.lists(DOING, max_size=40))
@example([("roster", 3), ("step", 3), ("ask", 1), ("roster", 3), ("roster", 0)])  # the same roster twice
def test_a_roster_taken_in_by_steps_counts_for_all_from_one_moment(doing: list[tuple[str, int]]) -> None:
    """Whatever is heard and asked between the steps: as with one that is taken at once where the steps switch."""
    fed = [feed_of(HOSTS[:30]) for _ in range(2)]
    stepped, whole = fed
    askers = [G0, G2, ONLY, Subscriber("g5", ("t",), 1), Subscriber("g15"), NOBODY]
    held: dict[Subscriber, int] = {}
    steps: Iterator[None] = iter(())
    coming = ROSTER

    def advance() -> bool:
        """Take one step; where it switches the roster, the other one switches too. Returns whether there was one."""
        before = stepped.roster
        is_over = next(steps, "over") == "over"
        if stepped.roster is not before:
            whole.replace_roster(parse_roster(json.dumps(coming), "f"))
        return not is_over

    for what, number in [*doing, ("step", 99), *(("ask", n) for n in range(6))]:
        if what == "roster" and not advance():  # one at a time
            coming = SMALL[number]
            steps = by_steps(stepped, coming)
        elif what == "step":
            for _ in range(number):
                advance()
        elif what == "ask":
            answers = [cache.respond(askers[number], held.get(askers[number])) for cache in fed]
            assert answers[0] == answers[1]
            if answers[0] is not None:
                held[askers[number]] = answers[0].index
        elif what != "roster":
            for cache in fed:
                cache.apply_list(False, [HOSTS[number] | {"status": what}])
        assert stepped.roster.digest == whole.roster.digest
    fresh = EndpointCache(stepped.roster, 1)
    fresh.apply_list(True, [json.loads(host.plain_entry()) for host in stepped.table.host_by_name.values()])
    for asker in askers:
        assert states(ask(fresh, asker)) == states(ask(stepped, asker))


@given(st.lists(st.tuples(st.integers(0, 59), st.sampled_from(("SERVING", "DRAINING", "DELETED"))), max_size=30))
def test_a_whole_list_made_by_steps_is_as_it_was_when_they_began(changes: list[tuple[int, str]]) -> None:
    cache = feed_of(HOSTS[:40])
    steps, made = cache.full_list.snapshot_incrementally(), None
    next(steps)
    for number, status in changes:
        cache.apply_list(False, [HOSTS[number] | {"status": status}])
        next(steps)
    while made is None:
        try:
            next(steps)
        except StopIteration as stop:
            made = stop.value
    assert sorted(raws(made), key=lambda raw: raw["name"]) == HOSTS[:40]
    after = cache.respond(NOBODY, made.index)
    told = {raw["name"]: raw for raw in raws(made)} | {raw["name"]: raw for raw in (raws(after) if after else ())}
    left = {name: raw for name, raw in told.items() if raw["status"] != "DELETED"}
    assert left == {raw["name"]: raw for raw in raws(ask(cache, NOBODY))}
    assert after is None or after.index > made.index
