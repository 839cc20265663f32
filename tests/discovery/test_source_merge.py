"""Tests of the merge of sources: it depends only on the last reports, and removed differs from unknown."""

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

EPHEMERAL, REGISTRY = Source.EPHEMERAL, Source.REGISTRY
SECOND_US = 1_000_000


def make_backend(name: str = "a", **changes: object) -> Backend:
    return replace(Backend(name, ("10.0.0.1", 80)), **changes)  # type: ignore[arg-type]


def names(merge: SourceMerge) -> list[str]:
    return sorted(merge.backend_by_name)


def test_backends_of_a_connected_source_are_removed_at_once_even_all_of_them() -> None:
    merge = SourceMerge()
    assert merge.on_snapshot(SECOND_US, EPHEMERAL, [make_backend("a"), make_backend("b")]).updated == (
        make_backend("a"),
        make_backend("b"),
    )
    assert merge.on_changes(2 * SECOND_US, EPHEMERAL, removed=["a"]).removed == (make_backend("a"),)
    assert merge.on_snapshot(3 * SECOND_US, EPHEMERAL, []).removed == (make_backend("b"),)
    assert names(merge) == []


def test_a_lost_connection_keeps_the_list_and_its_age_grows() -> None:
    merge = SourceMerge()
    merge.on_connection_state(SECOND_US, EPHEMERAL, ConnectionState.CONNECTED)
    merge.on_snapshot(SECOND_US, EPHEMERAL, [make_backend()])
    for connection_state in (ConnectionState.SUSPENDED, ConnectionState.LOST):
        assert not merge.on_connection_state(2 * SECOND_US, EPHEMERAL, connection_state)
        merge.confirm(5 * SECOND_US, EPHEMERAL)  # ignored while disconnected
        assert names(merge) == ["a"] and merge.age_us(9 * SECOND_US) == 8 * SECOND_US
    merge.on_connection_state(9 * SECOND_US, EPHEMERAL, ConnectionState.CONNECTED)
    merge.confirm(10 * SECOND_US, EPHEMERAL)
    assert merge.age_us(10 * SECOND_US) == 0 and merge.age_us(SECOND_US) == 0  # not negative if the clock steps back
    assert (merge.counters.suspended, merge.counters.lost) == (1, 1)


def test_a_backend_removed_by_the_first_source_does_not_return_from_an_old_list() -> None:
    merge = SourceMerge()
    merge.load_known(0, [make_backend("a"), make_backend("b")])
    merge.on_snapshot(SECOND_US, REGISTRY, [make_backend("a"), make_backend("b")])
    merge.on_snapshot(SECOND_US, EPHEMERAL, [make_backend("a"), make_backend("b")])
    assert merge.on_changes(2 * SECOND_US, EPHEMERAL, removed=["a"]).removed == (make_backend("a"),)
    merge.on_connection_state(3 * SECOND_US, EPHEMERAL, ConnectionState.LOST)
    assert not merge.on_snapshot(4 * SECOND_US, REGISTRY, [make_backend("a"), make_backend("b")])
    assert names(merge) == ["b"]
    # An incarnation started after the removal is a new backend, which the registry may add.
    fresh = make_backend("a", since_ms=5_000)
    assert merge.on_snapshot(6 * SECOND_US, REGISTRY, [fresh, make_backend("b")]).updated == (fresh,)


def test_the_known_list_is_used_until_a_source_delivers_a_snapshot() -> None:
    merge = SourceMerge()
    assert merge.load_known(0, [make_backend("a"), make_backend("b")]).updated
    merge.on_changes(SECOND_US, EPHEMERAL, [make_backend("c")])
    assert names(merge) == ["a", "b", "c"]
    assert merge.on_snapshot(2 * SECOND_US, REGISTRY, [make_backend("b")]).removed == (make_backend("a"),)
    assert names(merge) == ["b", "c"]


def test_a_fleet_migrates_from_one_source_to_another_without_a_gap() -> None:
    fleet = [make_backend(name) for name in "abc"]
    before = SourceMerge((REGISTRY, EPHEMERAL))
    before.on_snapshot(SECOND_US, REGISTRY, fleet)
    listed_names = [names(before)]
    for backend in fleet:  # the registration agents are started one after the other
        before.on_changes(2 * SECOND_US, EPHEMERAL, [replace(backend, czxid=7)])
        listed_names.append(names(before))
    assert listed_names == [["a", "b", "c"]] * 4
    after = SourceMerge((EPHEMERAL, REGISTRY))  # the precedence is swapped at a restart
    after.on_snapshot(3 * SECOND_US, REGISTRY, fleet)
    after.on_snapshot(3 * SECOND_US, EPHEMERAL, [replace(backend, czxid=7) for backend in fleet])
    after.on_connection_state(4 * SECOND_US, REGISTRY, ConnectionState.LOST)  # the registry is shut down
    assert names(after) == ["a", "b", "c"]


def test_a_backend_that_registers_again_is_updated_with_its_new_registration() -> None:
    merge = SourceMerge()
    merge.on_snapshot(SECOND_US, EPHEMERAL, [make_backend("a", czxid=5, since_ms=100)])
    changes = merge.on_snapshot(2 * SECOND_US, EPHEMERAL, [make_backend("a", czxid=9, since_ms=100)])
    assert [backend.czxid for backend in changes.updated] == [9] and not changes.removed
    assert merge.on_snapshot(3 * SECOND_US, EPHEMERAL, [make_backend("a", czxid=9, since_ms=100)]) == BackendChanges()


def test_several_nodes_of_one_backend_are_deduplicated() -> None:
    older, newer = make_backend("a", since_ms=1, czxid=3), make_backend("a", since_ms=1, czxid=4)
    for nodes in itertools.permutations({"n1": older, "n2": newer, "n3": make_backend("b")}.items()):
        assert deduplicate_by_name(dict(nodes)) == ({"a": newer, "b": make_backend("b")}, ["a"])
    restarted = make_backend("a", since_ms=9, czxid=2)  # a later start has priority over a later creation of the node
    assert deduplicate_by_name({"n1": restarted, "n2": newer})[0] == {"a": restarted}


def test_the_number_of_remembered_removals_is_bounded() -> None:
    merge = SourceMerge()
    merge.on_changes(SECOND_US, EPHEMERAL, removed=[f"s-{n}" for n in range(MAX_REMOVALS_REMEMBERED + 10)])
    assert len(merge.state_by_source[EPHEMERAL].removed_ms_by_name) == MAX_REMOVALS_REMEMBERED


@pytest.mark.parametrize("precedence", [(), (Source.KNOWN,), (EPHEMERAL, EPHEMERAL)])
def test_an_invalid_precedence_is_rejected(precedence: tuple[Source, ...]) -> None:
    with pytest.raises(ValueError):
        SourceMerge(precedence)


BACKEND_NAMES = ("a", "b", "c")
GENERATED_BACKENDS = st.builds(
    Backend, st.sampled_from(BACKEND_NAMES), st.just(("10.0.0.1", 80)), st.sampled_from(BackendStatus),
    since_ms=st.sampled_from([0, 500, 2_500, 10_000]), czxid=st.integers(1, 3),
)  # fmt: skip
EVENTS = st.one_of(
    st.tuples(st.just("snapshot"), st.lists(GENERATED_BACKENDS, max_size=3)),
    st.tuples(st.just("update"), GENERATED_BACKENDS),
    st.tuples(st.just("remove"), st.sampled_from(BACKEND_NAMES)),
    st.tuples(st.just("connection"), st.sampled_from(ConnectionState)),
)


def apply_event(merge: SourceMerge, now_us: int, source: Source, kind: str, value: object) -> BackendChanges:
    if kind == "snapshot":
        return merge.on_snapshot(now_us, source, value)  # type: ignore[arg-type]
    if kind == "update":
        return merge.on_changes(now_us, source, [value])  # type: ignore[list-item]
    if kind == "remove":
        return merge.on_changes(now_us, source, removed=[value])  # type: ignore[list-item]
    return merge.on_connection_state(now_us, source, value)  # type: ignore[arg-type]


def expected_backends(
    events_by_source: dict[Source, list[tuple[int, str, object]]], known: list[Backend]
) -> dict[str, Backend]:
    """Return the list implied by the last reports, computed per backend and independently of source_merge.py."""
    found: dict[str, Backend] = {}
    any_snapshot = any(kind == "snapshot" for events in events_by_source.values() for _, kind, _ in events)
    for name in BACKEND_NAMES:
        last: list[Backend | int | None] = []
        for source in (EPHEMERAL, REGISTRY):
            state: Backend | int | None = None
            for at_us, kind, value in events_by_source[source]:
                if kind == "snapshot":
                    entries = [m for m in value if m.name == name]  # type: ignore[attr-defined]
                    state = entries[-1] if entries else at_us // 1000 if isinstance(state, Backend) else state
                elif kind == "update" and value.name == name:  # type: ignore[attr-defined]
                    state = value  # type: ignore[assignment]
                elif kind == "remove" and value == name:
                    state = at_us // 1000
            last.append(state)
        entries = [m for m in known if m.name == name]
        if not any_snapshot:
            last.append(entries[-1] if entries else None)
        preceding = itertools.takewhile(lambda state: not isinstance(state, Backend), last)
        removals = [state for state in preceding if isinstance(state, int)]
        first = next((state for state in last if isinstance(state, Backend)), None)
        if first is not None and (not removals or first.since_ms > max(removals)):
            found[name] = first
    return found


@given(
    st.lists(EVENTS, max_size=8), st.lists(EVENTS, max_size=8), st.lists(GENERATED_BACKENDS, max_size=3),
    st.randoms(use_true_random=False),
)  # fmt: skip
@settings(max_examples=400, deadline=None, derandomize=True)
def test_any_interleaving_gives_the_list_implied_by_the_last_reports(
    ephemeral_events: list[tuple[str, object]],
    registry_events: list[tuple[str, object]],
    known: list[Backend],
    rng: random.Random,
) -> None:
    # The times of each source's events are fixed; only the interleaving of the sources varies.
    events_by_source = {
        EPHEMERAL: [((n + 1) * SECOND_US, *event) for n, event in enumerate(ephemeral_events)],
        REGISTRY: [((n + 1) * SECOND_US, *event) for n, event in enumerate(registry_events)],
    }
    expected = expected_backends(events_by_source, known)
    for _ in range(3):
        merge, accumulated = SourceMerge(), dict[str, Backend]()
        remaining: dict[Source, list[Any]] = {
            EPHEMERAL: events_by_source[EPHEMERAL][:],
            REGISTRY: events_by_source[REGISTRY][:],
            Source.KNOWN: [(0, "known", known)],
        }
        while any(remaining.values()):
            source = rng.choice([s for s in remaining if remaining[s]])
            at_us, kind, value = remaining[source].pop(0)
            changes = (
                merge.load_known(0, known) if kind == "known" else apply_event(merge, at_us, source, kind, value)
            )
            for removed in changes.removed:
                assert accumulated.pop(removed.name) == removed
            accumulated |= {updated.name: updated for updated in changes.updated}
            assert accumulated == merge.backend_by_name  # the changes sum up to the merged list
        assert merge.backend_by_name == expected
