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
from cloverkeel.control_plane.messages import Answer, Asker
from cloverkeel.control_plane.endpoint_cache import EVERYTHING, LOG_KEPT, MOST_CHANGED, MOST_HOSTS, Feed, NotReady
from cloverkeel.control_plane.fleet_roster import parse_roster
from cloverkeel.control_plane.subsetting import Sizes

ROSTER: dict[str, Any] = {
    "regions": {"r0": ["a", "b"], "r1": ["c"]},
    "gateways": {f"g{n}": {"zone": "abc"[n % 3]} for n in range(20)} | {"only": {"zone": "a", "services": ["s"]}},
}
HOSTS = [entry(f"h{n:02}", "st"[n % 2], "abc"[n % 3]) for n in range(60)]
G0, G2, ONLY, NOBODY = Asker("g0"), Asker("g2"), Asker("only"), Asker()


def feed_of(hosts: list[Entry] = HOSTS, first_index: int = 1) -> Feed:
    made = Feed(parse_roster(json.dumps(ROSTER), "roster.json"), first_index)
    made.take(True, hosts)
    return made


def ask(feed: Feed, asker: Asker, since: int | None = None) -> Answer:
    answer = feed.answer(asker, since)
    assert answer is not None
    return answer


def statuses(answer: Answer) -> list[str]:
    return [raw["status"] for raw in raws(answer)]


def raws(answer: Answer) -> list[Entry]:
    entries: list[Entry] = json.loads(answer.body(0))["endpoints"]
    return entries


def states(answer: Answer) -> dict[str, str]:
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
def test_no_walk_of_a_larger_fleet_does(hosts: int, gateways: int, least: int, serving: int, dice: Any) -> None:
    regions = {"r0": ["z0", "z1"], "r1": ["z2"]}
    posts = [{"zone": f"z{n % 3}"} | ({"services": dice.sample("ab", dice.choice((1, 2)))} if n % 4 else {})
             for n in range(gateways)]  # fmt: skip
    rosters = tuple(
        {"regions": regions, "gateways": {f"g{n}": post for n, post in enumerate(posts) if n < most}}
        for most in (gateways, max(1, gateways - 2))
    )
    places = [(service, zone) for service in "ab" for zone in ("z0", "z1", "z2", "far")]
    fleet = tuple(entry(f"h{n}", *dice.choice(places)) for n in range(hosts))
    askers = (*(Asker(f"g{n}") for n in range(gateways)), Asker(), Asker("g0", ("b",)))
    state = Fleet(Scene(rosters, fleet, askers, tuple(places), Sizes(least, serving)).ready())
    state.used = dict.fromkeys(state.used, -1_000)
    for _ in range(60):
        state.apply(draw(dice, state))
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
    feed = Feed(parse_roster(json.dumps(ROSTER), "f"), 1)
    for items in (HOSTS[:3], "rubbish"):
        assert not feed.take(False, items) and not feed.ready
    for asker in (G0, NOBODY):
        with pytest.raises(NotReady):
            feed.answer(asker, None)
    assert feed.take(True, []) == frozenset() and feed.ready  # discovery has nobody, and says so
    assert ask(feed, G0) == Answer(1, True, ())


def test_a_drain_goes_to_who_has_the_host_and_its_end_too() -> None:
    feed = feed_of()
    had = {name: ask(feed, Asker(name)) for name in ROSTER["gateways"]}
    name = raws(had["g0"])[0]["name"]
    raw = next(each for each in HOSTS if each["name"] == name)
    feed.take(False, [drained(raw)])
    its = {gateway for gateway, answer in had.items() if name in states(answer)}
    drains = {gateway: feed.answer(Asker(gateway), answer.index) for gateway, answer in had.items()}
    told = {gateway for gateway, answer in drains.items() if answer is not None and name in states(answer)}
    assert told == its and "g0" in its
    assert all(raws(answer)[0] == drained(raw) for answer in drains.values() if answer and name in states(answer))
    assert name not in states(ask(feed, G0))  # who asks for the whole has it no longer
    after = drains["g0"]
    assert after is not None and feed.answer(G0, after.index) is None
    feed.take(False, [gone(raw)])
    assert states(ask(feed, G0, after.index)) == {name: "DELETED"}


def test_what_restricts_is_said_first() -> None:
    feed = feed_of()
    wide = Asker("only", (), 1)  # it has them all
    index, everyone = ask(feed, wide).index, ask(feed, NOBODY).index
    its = [each for each in HOSTS if each["service"] == "s" and each["zone"] == "a"]
    serving = [its[0] | {"weight": 2.0}, entry("aa", "s", "a")]
    feed.take(False, [*serving, drained(its[1]), gone(its[2]), drained(its[3])])
    assert statuses(ask(feed, NOBODY, everyone)) == ["DELETED", *["DRAINING"] * 2, *["SERVING"] * 2]
    told = ask(feed, wide, index)  # its own window has moved on too: some serve with another share
    assert statuses(told)[:3] == ["DELETED", *["DRAINING"] * 2] and set(statuses(told)[3:]) == {"SERVING"}
    assert {each["name"] for each in serving} <= {raw["name"] for raw in raws(told)[3:]}
    assert [raw["status"] for raw in raws(ask(feed, NOBODY))][:3] == ["DRAINING", "DRAINING", "SERVING"]


def test_an_index_that_names_no_answer_of_its_asker_is_answered_with_the_whole() -> None:
    feed, other = feed_of(first_index=100), feed_of(first_index=500)
    first, foreign, twin = ask(feed, G0), ask(other, G0), ask(feed, Asker("g3"))
    for index in (foreign.index, twin.index, ask(feed, NOBODY).index, 0, -1):
        assert ask(feed, G0, index).whole
    assert ask(feed, NOBODY, first.index).whole and ask(feed, Asker("unknown"), first.index).whole
    assert feed.counts.unknown == 7 and other.counts.unknown == 0


def test_of_each_gateway_two_views_are_kept() -> None:
    feed = feed_of()
    index = ask(feed, G0).index
    for number in range(50):
        feed.take(False, [HOSTS[0] | {"weight": 1.0 + number}])
        assert not ask(feed, G0, index).whole  # the answers to it are lost, one after another
        assert len(feed.views["g0"]) == 2
    assert len(raws(ask(feed, G0, index))) == 1  # the newest state, no backlog
    for _ in range(5):
        ask(feed, G0)
    assert len(feed.views["g0"]) == 2 and ask(feed, G0, index).whole


def test_who_is_not_in_the_roster_gets_the_list_as_discovery_has_it() -> None:
    feed = feed_of()
    first = ask(feed, NOBODY)
    assert first.whole and sorted(raws(first), key=lambda raw: raw["name"]) == HOSTS
    again = ask(feed, Asker("unknown", ("s",)))
    assert again.index == first.index and again.entries is first.entries  # made once for all
    assert feed.answer(NOBODY, first.index) is None
    feed.take(False, [drained(HOSTS[0]), gone(HOSTS[1])])
    feed.take(False, [HOSTS[0] | {"users": 9}])
    assert raws(ask(feed, NOBODY, first.index)) == [gone(HOSTS[1]), HOSTS[0]]
    many = [entry(f"n{n}", "s", "a") for n in range(LOG_KEPT + 1)]
    feed.take(False, many)
    assert ask(feed, NOBODY, first.index).whole and len(feed.log) == LOG_KEPT


def test_entries_are_encoded_once_for_all_who_have_them() -> None:
    """Once for those whose own it is, and once for those who have widened."""
    feed = feed_of()
    askers = [Asker(name, ("s",), wide) for name in ("only", "g0") for wide in (1, 2)]
    forms: dict[str, set[int]] = {}
    answers = [ask(feed, asker) for asker in askers + askers]
    for answer in answers:
        for each in answer.entries:
            forms.setdefault(json.loads(each)["name"], set()).add(id(each))
    assert len(forms) == 20 and max(map(len, forms.values())) == 2
    assert all(len(answer.entries) == 20 for answer in answers)


def test_rubbish_is_counted_and_leaves_what_is_held() -> None:
    feed = feed_of()
    held, number = dict(feed.hosts), feed.number
    for rubbish in (None, "x", {"name": "h"}, 7):
        assert feed.take(True, rubbish) == frozenset()
    assert feed.take(True, [*HOSTS[:3], None, 5, {}, "x"]) == frozenset()  # most of it cannot be used
    bad: list[Any] = [
        None, [], {}, {"name": 5}, HOSTS[0] | {"status": "LOST"}, HOSTS[0] | {"address": "nowhere"},
        HOSTS[0] | {"weight": float("nan")}, HOSTS[0] | {"weight": "much"}, HOSTS[0] | {"since_ms": "today"},
        HOSTS[0] | {"name": "x" * 256}, HOSTS[0] | {"more": "x" * 5_000}, HOSTS[0] | {"more": float("inf")},
        HOSTS[0] | {"name": "\ud800"}, HOSTS[0] | {"service": "x" * 256}, HOSTS[0] | {"status": []},
    ]  # fmt: skip
    assert feed.take(False, bad) == frozenset()
    assert feed.hosts == held and feed.number == number
    assert feed.counts.rubbish_lists == 5 and feed.counts.skipped == len(bad) + 4
    feed.take(False, [drained(HOSTS[0]) | {"address": None}])  # that it leaves is heard
    assert HOSTS[0]["name"] not in feed.hosts


def test_of_a_name_that_is_listed_twice_the_last_counts() -> None:
    feed = feed_of([HOSTS[0] | {"address": "10.0.0.9:1"}, HOSTS[1], HOSTS[0]])
    assert {raw["name"]: raw for raw in raws(ask(feed, NOBODY))} == {raw["name"]: raw for raw in HOSTS[:2]}
    index = ask(feed, NOBODY).index
    feed.take(False, [gone(HOSTS[1]), HOSTS[1] | {"weight": 3.0}])
    assert raws(ask(feed, NOBODY, index)) == [HOSTS[1] | {"weight": 3.0}]


def test_a_list_that_is_as_the_last_changes_nothing_for_anybody() -> None:
    """Discovery that begins anew, at whatever version, is a whole list."""
    feed = feed_of()
    index = ask(feed, G0).index
    assert feed.take(True, [dict(reversed(each.items())) for each in reversed(HOSTS)]) == frozenset()
    assert feed.answer(G0, index) is None


def test_more_hosts_than_there_is_room_for_are_not_taken() -> None:
    feed = feed_of(HOSTS[:1])
    feed.hosts |= dict.fromkeys(map(str, range(MOST_HOSTS - 2)), feed.hosts["h00"])  # as if there were so many
    feed.take(False, HOSTS[1:4])
    assert len(feed.hosts) == MOST_HOSTS and feed.counts.skipped == 2


def test_a_change_touches_who_waits_for_it_and_no_other() -> None:
    feed = feed_of()
    assert feed.topics(G0) == ((None, "r0"),) and feed.topics(ONLY) == (("s", "r0"),)
    assert feed.topics(NOBODY) == (EVERYTHING,)
    assert set(feed.topics(Asker("g2", ("s", "t")))) == {("s", "r1"), ("t", "r1")}
    assert feed.take(False, [drained(HOSTS[0])]) == {("s", "r0"), (None, "r0"), EVERYTHING}
    assert feed.take(False, [gone(HOSTS[0])]) == {("s", "r0"), (None, "r0"), EVERYTHING}
    its = [each for each in HOSTS if each["zone"] == "c" and each["service"] == "s"]
    spilt = feed.take(False, [gone(each) for each in its[2:]])  # r1 has two left, and r0's with them
    assert spilt == {("s", "r1"), (None, "r1"), ("s", "r0"), (None, "r0"), EVERYTHING}


def test_the_last_host_of_a_zone_that_goes_touches_who_had_it() -> None:
    feed = feed_of([entry(f"h{n}", "s", "abbccc"[n % 6]) for n in range(18)])
    feed.take(False, [gone(entry("h0", "s", "a")), gone(entry("h6", "s", "a"))])
    assert feed.take(False, [gone(entry("h12", "s", "a"))]) == {("s", "r0"), (None, "r0"), EVERYTHING}


def test_who_asks_for_other_services_is_told_those_and_that_the_rest_is_gone() -> None:
    feed = feed_of()
    first = ask(feed, Asker("g0", ("s",)))
    second = ask(feed, Asker("g0", ("t",)), first.index)
    told = {raw["service"]: raw["status"] for raw in raws(second)}
    assert not second.whole and told == {"s": "DELETED", "t": "SERVING"}
    assert len(raws(second)) == 2 * len(raws(first)) and feed.answer(Asker("g0", ("t",)), second.index) is None


def test_a_service_whose_change_is_long_ago_is_looked_at_all_the_same() -> None:
    feed = feed_of()
    first = ask(feed, G0)
    name = raws(first)[0]["name"]
    feed.take(False, [drained(next(each for each in HOSTS if each["name"] == name))])
    feed.changed.update({f"other{n}": feed.number for n in range(MOST_CHANGED)})  # as if so many had changed since
    feed.take(False, [gone(entry("none", "u", "a")), entry("new", "u", "a")])
    assert len(feed.changed) == MOST_CHANGED and states(ask(feed, G0, first.index))[name] == "DRAINING"


@given(st.lists(st.tuples(st.integers(0, 59), st.sampled_from(("SERVING", "DRAINING", "DELETED"))), max_size=40))
def test_who_is_not_touched_has_nothing_to_be_told(changes: list[tuple[int, str]]) -> None:
    feed = feed_of()
    askers = [G0, G2, ONLY, Asker("g5", ("t",)), NOBODY]
    index = {asker: ask(feed, asker).index for asker in askers}
    for number, status in changes:
        touched = feed.take(False, [HOSTS[number] | {"status": status}])
        for asker in askers:
            answer = feed.answer(asker, index[asker])
            assert answer is None or touched & set(feed.topics(asker))
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


def by_steps(feed: Feed, raw: dict[str, Any]) -> Generator[None, None, None]:
    """As the relay does it."""
    roster = parse_roster(json.dumps(raw), "f")
    feed.switch(roster, (yield from feed.prepare(roster)))
    yield
    yield from feed.settle()


@settings(max_examples=200)
@given(st.lists(DOING, max_size=40))
@example([("roster", 3), ("step", 3), ("ask", 1), ("roster", 3), ("roster", 0)])  # the same roster twice
def test_a_roster_taken_in_by_steps_counts_for_all_from_one_moment(doing: list[tuple[str, int]]) -> None:
    """Whatever is heard and asked between the steps: as with one that is taken at once where the steps switch."""
    fed = [feed_of(HOSTS[:30]) for _ in range(2)]
    stepped, whole = fed
    askers = [G0, G2, ONLY, Asker("g5", ("t",), 1), Asker("g15"), NOBODY]
    held: dict[Asker, int] = {}
    steps: Iterator[None] = iter(())
    coming = ROSTER

    def advance() -> bool:
        """Take one step; where it switches the roster, the other one switches too. Returns whether there was one."""
        before = stepped.roster
        is_over = next(steps, "over") == "over"
        if stepped.roster is not before:
            whole.set_roster(parse_roster(json.dumps(coming), "f"))
        return not is_over

    for what, number in [*doing, ("step", 99), *(("ask", n) for n in range(6))]:
        if what == "roster" and not advance():  # one at a time
            coming = SMALL[number]
            steps = by_steps(stepped, coming)
        elif what == "step":
            for _ in range(number):
                advance()
        elif what == "ask":
            answers = [feed.answer(askers[number], held.get(askers[number])) for feed in fed]
            assert answers[0] == answers[1]
            if answers[0] is not None:
                held[askers[number]] = answers[0].index
        elif what != "roster":
            for feed in fed:
                feed.take(False, [HOSTS[number] | {"status": what}])
        assert stepped.roster.digest == whole.roster.digest
    fresh = Feed(stepped.roster, 1)
    fresh.take(True, [json.loads(host.plain()) for host in stepped.hosts.values()])
    for asker in askers:
        assert states(ask(fresh, asker)) == states(ask(stepped, asker))


@given(st.lists(st.tuples(st.integers(0, 59), st.sampled_from(("SERVING", "DRAINING", "DELETED"))), max_size=30))
def test_a_whole_list_made_by_steps_is_as_it_was_when_they_began(changes: list[tuple[int, str]]) -> None:
    feed = feed_of(HOSTS[:40])
    steps, made = feed.listing(), None
    next(steps)
    for number, status in changes:
        feed.take(False, [HOSTS[number] | {"status": status}])
        next(steps)
    while made is None:
        try:
            next(steps)
        except StopIteration as stop:
            made = stop.value
    assert sorted(raws(made), key=lambda raw: raw["name"]) == HOSTS[:40]
    after = feed.answer(NOBODY, made.index)
    told = {raw["name"]: raw for raw in raws(made)} | {raw["name"]: raw for raw in (raws(after) if after else ())}
    left = {name: raw for name, raw in told.items() if raw["status"] != "DELETED"}
    assert left == {raw["name"]: raw for raw in raws(ask(feed, NOBODY))}
    assert after is None or after.index > made.index
