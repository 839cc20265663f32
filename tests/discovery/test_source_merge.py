"""The merge of sources: any interleaving ends in what was said last; removed is not unknown."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.discovery.source_merge import (
    MAX_REMOVALS_REMEMBERED,
    BackendChanges,
    ConnectionState,
    SourceMerge,
    Source,
    deduplicate_by_name,
)
from cloverkeel.discovery.backend import Backend, BackendStatus

E, R = Source.EPHEMERAL, Source.REGISTRY
S = 1_000_000


def member(name: str = "a", **changes: object) -> Backend:
    return replace(Backend(name, ("10.0.0.1", 80)), **changes)  # type: ignore[arg-type]


def names(merge: SourceMerge) -> list[str]:
    return sorted(merge.backend_by_name)


def test_a_node_deleted_while_the_session_lives_is_removed_at_once_also_for_all() -> None:
    merge = SourceMerge()
    assert merge.on_snapshot(S, E, [member("a"), member("b")]).updated == (member("a"), member("b"))
    assert merge.on_changes(2 * S, E, removed=["a"]).removed == (member("a"),)
    assert merge.on_snapshot(3 * S, E, []).removed == (member("b"),)
    assert names(merge) == []


def test_a_lost_connection_changes_nothing_and_the_list_stands_with_its_age() -> None:
    merge = SourceMerge()
    merge.on_connection_state(S, E, ConnectionState.CONNECTED)
    merge.on_snapshot(S, E, [member()])
    for link in (ConnectionState.SUSPENDED, ConnectionState.LOST):
        assert not merge.on_connection_state(2 * S, E, link)
        merge.confirm(5 * S, E)  # nothing that is not connected can be confirmed
        assert names(merge) == ["a"] and merge.age_us(9 * S) == 8 * S
    merge.on_connection_state(9 * S, E, ConnectionState.CONNECTED)
    merge.confirm(10 * S, E)
    assert merge.age_us(10 * S) == 0 and merge.age_us(S) == 0  # a clock that stepped back
    assert (merge.counters.suspended, merge.counters.lost) == (1, 1)


def test_what_the_first_source_removed_does_not_come_back_from_an_old_list() -> None:
    merge = SourceMerge()
    merge.load_known(0, [member("a"), member("b")])
    merge.on_snapshot(S, R, [member("a"), member("b")])
    merge.on_snapshot(S, E, [member("a"), member("b")])
    assert merge.on_changes(2 * S, E, removed=["a"]).removed == (member("a"),)
    merge.on_connection_state(3 * S, E, ConnectionState.LOST)
    assert not merge.on_snapshot(4 * S, R, [member("a"), member("b")])
    assert names(merge) == ["b"]
    # A life that began after the removal is another backend, and the registry may tell of it.
    fresh = member("a", since_ms=5_000)
    assert merge.on_snapshot(6 * S, R, [fresh, member("b")]).updated == (fresh,)


def test_the_known_list_stands_until_some_source_has_given_a_snapshot() -> None:
    merge = SourceMerge()
    assert merge.load_known(0, [member("a"), member("b")]).updated
    merge.on_changes(S, E, [member("c")])
    assert names(merge) == ["a", "b", "c"]
    assert merge.on_snapshot(2 * S, R, [member("b")]).removed == (member("a"),)
    assert names(merge) == ["b", "c"]


def test_a_fleet_moves_from_one_source_to_the_other_without_a_gap() -> None:
    fleet = [member(name) for name in "abc"]
    there = SourceMerge((R, E))
    there.on_snapshot(S, R, fleet)
    seen = [names(there)]
    for backend in fleet:  # agents start
        there.on_changes(2 * S, E, [replace(backend, czxid=7)])
        seen.append(names(there))
    assert seen == [["a", "b", "c"]] * 4
    moved = SourceMerge((E, R))  # the order is turned round at a restart
    moved.on_snapshot(3 * S, R, fleet)
    moved.on_snapshot(3 * S, E, [replace(backend, czxid=7) for backend in fleet])
    moved.on_connection_state(4 * S, R, ConnectionState.LOST)  # the registry is switched off
    assert names(moved) == ["a", "b", "c"]


def test_a_backend_that_registers_again_is_updated_with_its_new_registration() -> None:
    merge = SourceMerge()
    merge.on_snapshot(S, E, [member("a", czxid=5, since_ms=100)])
    change = merge.on_snapshot(2 * S, E, [member("a", czxid=9, since_ms=100)])
    assert [m.czxid for m in change.updated] == [9] and not change.removed
    assert merge.on_snapshot(3 * S, E, [member("a", czxid=9, since_ms=100)]) == BackendChanges()


def test_two_agents_for_one_backend_are_one_backend() -> None:
    old, new = member("a", since_ms=1, czxid=3), member("a", since_ms=1, czxid=4)
    for order in itertools.permutations({"n1": old, "n2": new, "n3": member("b")}.items()):
        assert deduplicate_by_name(dict(order)) == ({"a": new, "b": member("b")}, ["a"])
    restarted = member("a", since_ms=9, czxid=2)  # a later start counts more than a later node
    assert deduplicate_by_name({"n1": restarted, "n2": new})[0] == {"a": restarted}


def test_what_is_kept_of_removed_backends_is_bounded() -> None:
    merge = SourceMerge()
    merge.on_changes(S, E, removed=[f"s-{n}" for n in range(MAX_REMOVALS_REMEMBERED + 10)])
    assert len(merge.state_by_source[E].removed_ms_by_name) == MAX_REMOVALS_REMEMBERED


@pytest.mark.parametrize("order", [(), (Source.KNOWN,), (E, E)])
def test_an_order_that_makes_no_sense_is_refused(order: tuple[Source, ...]) -> None:
    with pytest.raises(ValueError):
        SourceMerge(order)


BACKENDS = ("a", "b", "c")
MEMBERS = st.builds(
    Backend, st.sampled_from(BACKENDS), st.just(("10.0.0.1", 80)), st.sampled_from(BackendStatus),
    since_ms=st.sampled_from([0, 500, 2_500, 10_000]), czxid=st.integers(1, 3),
)  # fmt: skip
EVENTS = st.one_of(
    st.tuples(st.just("list"), st.lists(MEMBERS, max_size=3)),
    st.tuples(st.just("put"), MEMBERS),
    st.tuples(st.just("gone"), st.sampled_from(BACKENDS)),
    st.tuples(st.just("link"), st.sampled_from(ConnectionState)),
)


def apply_event(merge: SourceMerge, now_us: int, source: Source, what: str, value: object) -> BackendChanges:
    if what == "list":
        return merge.on_snapshot(now_us, source, value)  # type: ignore[arg-type]
    if what == "put":
        return merge.on_changes(now_us, source, [value])  # type: ignore[list-item]
    if what == "gone":
        return merge.on_changes(now_us, source, removed=[value])  # type: ignore[list-item]
    return merge.on_connection_state(now_us, source, value)  # type: ignore[arg-type]


def implied(
    events_by_source: dict[Source, list[tuple[int, str, object]]], known: list[Backend]
) -> dict[str, Backend]:
    """What each source said last implies, backend by backend, worked out by another way than the module's."""
    found: dict[str, Backend] = {}
    listed = any(what == "list" for events in events_by_source.values() for _, what, _ in events)
    for name in BACKENDS:
        last: list[Backend | int | None] = []
        for source in (E, R):
            state: Backend | int | None = None
            for at_us, what, value in events_by_source[source]:
                if what == "list":
                    mine = [m for m in value if m.name == name]  # type: ignore[attr-defined]
                    state = mine[-1] if mine else at_us // 1000 if isinstance(state, Backend) else state
                elif what == "put" and value.name == name:  # type: ignore[attr-defined]
                    state = value  # type: ignore[assignment]
                elif what == "gone" and value == name:
                    state = at_us // 1000
            last.append(state)
        mine = [m for m in known if m.name == name]
        if not listed:
            last.append(mine[-1] if mine else None)
        before = itertools.takewhile(lambda state: not isinstance(state, Backend), last)
        removals = [state for state in before if isinstance(state, int)]
        first = next((state for state in last if isinstance(state, Backend)), None)
        if first is not None and (not removals or first.since_ms > max(removals)):
            found[name] = first
    return found


@given(
    st.lists(EVENTS, max_size=8), st.lists(EVENTS, max_size=8), st.lists(MEMBERS, max_size=3),
    st.randoms(use_true_random=False),
)  # fmt: skip
@settings(max_examples=400, deadline=None, derandomize=True)
def test_any_interleaving_ends_in_what_the_sources_said_last(
    one: list[tuple[str, object]], other: list[tuple[str, object]], known: list[Backend], rng: random.Random
) -> None:
    # Each source's events have their times; how the two are interleaved does not matter.
    events_by_source = {
        E: [((n + 1) * S, *event) for n, event in enumerate(one)],
        R: [((n + 1) * S, *event) for n, event in enumerate(other)],
    }
    wanted = implied(events_by_source, known)
    for _ in range(3):
        merge, followed = SourceMerge(), dict[str, Backend]()
        left: dict[Source, list[Any]] = {
            E: events_by_source[E][:],
            R: events_by_source[R][:],
            Source.KNOWN: [(0, "known", known)],
        }
        while any(left.values()):
            source = rng.choice([s for s in left if left[s]])
            at_us, what, value = left[source].pop(0)
            change = merge.load_known(0, known) if what == "known" else apply_event(merge, at_us, source, what, value)
            for gone in change.removed:
                assert followed.pop(gone.name) == gone
            followed |= {put.name: put for put in change.updated}
            assert followed == merge.backend_by_name  # the changes add up to the list
        assert merge.backend_by_name == wanted
