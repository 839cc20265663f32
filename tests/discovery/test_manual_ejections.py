"""Manual ejections as an overlay on the endpoint list."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.balancing.events import ListKind, ListedServer, ServerStatus
from cloverkeel.core.ports import Endpoint
from cloverkeel.discovery.manual_ejections import MAX_FORMERLY_LISTED, ManualEjections

READY, DRAINING, GONE = ServerStatus.READY, ServerStatus.DRAINING, ServerStatus.GONE
RANK_BY_STATUS = {READY: 2, DRAINING: 1, GONE: 0}


def entry(name: str, status: ServerStatus = READY, started_us: int = 0) -> Endpoint:
    return Endpoint(name, ("127.0.0.1", 1), ListedServer(hash(name) & 0xFFFF, status, started_us=started_us))


def summary(entries: list[Endpoint]) -> list[tuple[str, ServerStatus, int]]:
    return [(e.name, e.listed.status, e.listed.started_us) for e in entries]


def test_an_ejected_host_is_passed_on_as_draining_by_every_kind_of_list() -> None:
    ejections = ManualEjections()
    ejections.apply(ListKind.FULL, [entry("a"), entry("b")])
    assert summary(ejections.eject(5, "a")) == [("a", DRAINING, 0)]
    for kind in (ListKind.DELTA, ListKind.FULL, ListKind.DISK):
        assert summary(ejections.apply(kind, [entry("a"), entry("b")])) == [("a", DRAINING, 0), ("b", READY, 0)]
    assert summary(ejections.apply(ListKind.DELTA, [entry("a", GONE)])) == [("a", GONE, 0)]
    assert summary(ejections.apply(ListKind.DELTA, [entry("a", started_us=9)])) == [("a", DRAINING, 9)]


def test_one_call_reinstates_a_host_that_was_ejected_several_times() -> None:
    ejections = ManualEjections()
    ejections.apply(ListKind.FULL, [entry("a")])
    for at_us in (5, 6, 7):
        ejections.eject(at_us, "a")
    assert ejections.ejected_us_by_name == {"a": 5}
    assert summary(ejections.reinstate(9, "a")) == [("a", READY, 9)]
    assert ejections.reinstate(10, "a") == []


def test_a_reinstated_host_can_be_ejected_again() -> None:
    ejections = ManualEjections()
    ejections.apply(ListKind.FULL, [entry("a")])
    ejections.eject(1, "a")
    ejections.reinstate(2, "a")
    assert summary(ejections.eject(3, "a")) == [("a", DRAINING, 2)]
    assert summary(ejections.reinstate(4, "a")) == [("a", READY, 4)]


def test_a_host_reinstated_before_its_restart_is_reported_warms_up() -> None:
    ejections = ManualEjections()
    ejections.apply(ListKind.FULL, [entry("a", started_us=100)])
    ejections.eject(1_000, "a")
    assert summary(ejections.reinstate(9_000, "a")) == [("a", READY, 9_000)]
    # The list reports, late, a start during the ejection: the host keeps the later start and warms up.
    assert summary(ejections.apply(ListKind.DELTA, [entry("a", started_us=5_000)])) == [("a", READY, 9_000)]
    assert summary(ejections.apply(ListKind.DELTA, [entry("a", started_us=9_500)])) == [("a", READY, 9_500)]


def test_a_restart_reported_during_the_ejection_sets_the_start_time() -> None:
    ejections = ManualEjections()
    ejections.apply(ListKind.FULL, [entry("a", started_us=100)])
    ejections.eject(1_000, "a")
    ejections.apply(ListKind.DELTA, [entry("a", started_us=5_000)])
    assert summary(ejections.reinstate(9_000, "a")) == [("a", READY, 5_000)]


def test_a_host_that_the_list_drains_or_removes_stays_so_after_reinstatement() -> None:
    ejections = ManualEjections()
    ejections.apply(ListKind.FULL, [entry("a"), entry("b")])
    ejections.eject(1, "a")
    ejections.eject(1, "b")
    ejections.apply(ListKind.DELTA, [entry("a", DRAINING), entry("b", GONE)])
    assert summary(ejections.reinstate(2, "a")) == [("a", DRAINING, 2)]
    assert ejections.reinstate(2, "b") == []
    assert summary(ejections.apply(ListKind.DELTA, [entry("b")])) == [("b", READY, 2)]


def test_a_host_is_remembered_after_it_left_the_list() -> None:
    ejections = ManualEjections()
    assert not ejections.was_listed("a")
    ejections.apply(ListKind.DISK, [entry("a"), entry("b")])
    ejections.apply(ListKind.FULL, [entry("b")])
    assert ejections.was_listed("a") and ejections.was_listed("b") and not ejections.was_listed("c")


def test_memory_is_bounded_and_an_ejected_host_is_never_forgotten() -> None:
    ejections = ManualEjections()
    ejections.apply(ListKind.FULL, [entry("first")])
    ejections.eject(1, "first")
    for number in range(MAX_FORMERLY_LISTED + 100):
        ejections.apply(ListKind.FULL, [entry(f"s-{number}")])
    assert len(ejections.formerly_listed) <= MAX_FORMERLY_LISTED and len(ejections.listed) == 1
    assert ejections.was_listed("first")
    assert summary(ejections.apply(ListKind.DELTA, [entry("first")])) == [("first", DRAINING, 0)]


def test_synchronize_returns_the_entries_that_another_process_changed() -> None:
    ejections = ManualEjections()
    ejections.apply(ListKind.FULL, [entry("a"), entry("b"), entry("c")])
    ejections.eject(1, "a")
    assert summary(ejections.synchronize({"b": 2}, {"a": 3})) == [("a", READY, 3), ("b", DRAINING, 0)]
    assert ejections.synchronize({"b": 2}, {"a": 3}) == []


NAMES = st.sampled_from(["a", "b", "c"])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("list"), st.sampled_from([ListKind.DELTA, ListKind.FULL]), st.lists(
            st.tuples(NAMES, st.sampled_from([READY, DRAINING, GONE]), st.integers(0, 30)), max_size=3,
            unique_by=lambda raw: raw[0],
        )),
        st.tuples(st.sampled_from(["eject", "reinstate"]), NAMES),
    ),
    max_size=30,
)  # fmt: skip


@given(STEPS)
def test_an_ejection_only_restricts_and_ends_with_one_call(steps: list[tuple[object, ...]]) -> None:
    """Compare with a simple model: the last entry of each host, and the ejections."""
    ejections = ManualEjections()
    ejected_us_by_name: dict[str, int] = {}
    listed: dict[str, Endpoint] = {}
    for at_us, step in enumerate(steps, 100):
        if step[0] == "list":
            kind, raw_entries = step[1], step[2]
            entries = [entry(n, s, t) for n, s, t in raw_entries if kind is ListKind.DELTA or s is not GONE]  # type: ignore
            passed = ejections.apply(kind, entries)  # type: ignore[arg-type]
            if kind is ListKind.FULL:
                listed = {}
            for original, result in zip(entries, passed, strict=True):
                listed[original.name] = original
                assert RANK_BY_STATUS[result.listed.status] <= RANK_BY_STATUS[original.listed.status]
                assert result.listed.started_us >= original.listed.started_us
        elif step[0] == "eject":
            passed = ejections.eject(at_us, str(step[1]))
            ejected_us_by_name.setdefault(str(step[1]), at_us)
        else:
            passed = ejections.reinstate(at_us, str(step[1]))
            ejected_us_by_name.pop(str(step[1]), None)
        for result in passed:
            if result.name in ejected_us_by_name:
                assert result.listed.status is not READY
            else:
                assert result.listed.status is listed[result.name].listed.status
        assert ejections.ejected_us_by_name == ejected_us_by_name
