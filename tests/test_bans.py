"""Hosts out by hand: the overlay on the list."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.balancing.events import ListKind, ListedServer, ServerStatus
from cloverkeel.core.ports import Endpoint
from cloverkeel.discovery.manual_ejections import LISTED_KEPT, Bans

READY, DRAINING, GONE = ServerStatus.READY, ServerStatus.DRAINING, ServerStatus.GONE
STRENGTH = {READY: 2, DRAINING: 1, GONE: 0}


def entry(name: str, status: ServerStatus = READY, started_us: int = 0) -> Endpoint:
    return Endpoint(name, ("127.0.0.1", 1), ListedServer(hash(name) & 0xFFFF, status, started_us=started_us))


def told(entries: list[Endpoint]) -> list[tuple[str, ServerStatus, int]]:
    return [(e.name, e.listed.status, e.listed.started_us) for e in entries]


def test_a_banned_host_is_passed_on_as_draining_whatever_the_list_says() -> None:
    bans = Bans()
    bans.take(ListKind.FULL, [entry("a"), entry("b")])
    assert told(bans.suspend(5, "a")) == [("a", DRAINING, 0)]
    for kind in (ListKind.DELTA, ListKind.FULL, ListKind.DISK):
        assert told(bans.take(kind, [entry("a"), entry("b")])) == [("a", DRAINING, 0), ("b", READY, 0)]
    assert told(bans.take(ListKind.DELTA, [entry("a", GONE)])) == [("a", GONE, 0)]
    assert told(bans.take(ListKind.DELTA, [entry("a", started_us=9)])) == [("a", DRAINING, 9)]


def test_one_call_back_ends_a_ban_that_was_called_out_often() -> None:
    bans = Bans()
    bans.take(ListKind.FULL, [entry("a")])
    for at_us in (5, 6, 7):
        bans.suspend(at_us, "a")
    assert bans.out == {"a": 5}
    assert told(bans.restore(9, "a")) == [("a", READY, 9)]
    assert bans.restore(10, "a") == []


def test_out_back_out() -> None:
    bans = Bans()
    bans.take(ListKind.FULL, [entry("a")])
    bans.suspend(1, "a")
    bans.restore(2, "a")
    assert told(bans.suspend(3, "a")) == [("a", DRAINING, 2)]
    assert told(bans.restore(4, "a")) == [("a", READY, 4)]


def test_a_host_that_comes_back_before_its_restart_is_told_is_cold() -> None:
    bans = Bans()
    bans.take(ListKind.FULL, [entry("a", started_us=100)])
    bans.suspend(1_000, "a")
    assert told(bans.restore(9_000, "a")) == [("a", READY, 9_000)]
    # The list tells a start within the ban, late: the host stays as cold as it was taken for.
    assert told(bans.take(ListKind.DELTA, [entry("a", started_us=5_000)])) == [("a", READY, 9_000)]
    assert told(bans.take(ListKind.DELTA, [entry("a", started_us=9_500)])) == [("a", READY, 9_500)]


def test_a_restart_that_was_told_during_the_ban_is_its_start() -> None:
    bans = Bans()
    bans.take(ListKind.FULL, [entry("a", started_us=100)])
    bans.suspend(1_000, "a")
    bans.take(ListKind.DELTA, [entry("a", started_us=5_000)])
    assert told(bans.restore(9_000, "a")) == [("a", READY, 5_000)]


def test_a_host_that_the_list_drains_or_drops_stays_so_after_the_ban() -> None:
    bans = Bans()
    bans.take(ListKind.FULL, [entry("a"), entry("b")])
    bans.suspend(1, "a")
    bans.suspend(1, "b")
    bans.take(ListKind.DELTA, [entry("a", DRAINING), entry("b", GONE)])
    assert told(bans.restore(2, "a")) == [("a", DRAINING, 2)]
    assert bans.restore(2, "b") == []
    assert told(bans.take(ListKind.DELTA, [entry("b")])) == [("b", READY, 2)]


def test_an_id_is_known_once_it_was_listed() -> None:
    bans = Bans()
    assert not bans.knows("a")
    bans.take(ListKind.DISK, [entry("a"), entry("b")])
    bans.take(ListKind.FULL, [entry("b")])
    assert bans.knows("a") and bans.knows("b") and not bans.knows("c")


def test_what_is_remembered_is_bounded_and_a_banned_id_is_never_forgotten() -> None:
    bans = Bans()
    bans.take(ListKind.FULL, [entry("first")])
    bans.suspend(1, "first")
    for number in range(LISTED_KEPT + 100):
        bans.take(ListKind.FULL, [entry(f"s-{number}")])
    assert len(bans.once) <= LISTED_KEPT and len(bans.listed) == 1
    assert bans.knows("first")
    assert told(bans.take(ListKind.DELTA, [entry("first")])) == [("first", DRAINING, 0)]


def test_another_process_has_changed_the_bans() -> None:
    bans = Bans()
    bans.take(ListKind.FULL, [entry("a"), entry("b"), entry("c")])
    bans.suspend(1, "a")
    assert told(bans.adopt({"b": 2}, {"a": 3})) == [("a", READY, 3), ("b", DRAINING, 0)]
    assert bans.adopt({"b": 2}, {"a": 3}) == []


NAMES = st.sampled_from(["a", "b", "c"])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("list"), st.sampled_from([ListKind.DELTA, ListKind.FULL]), st.lists(
            st.tuples(NAMES, st.sampled_from([READY, DRAINING, GONE]), st.integers(0, 30)), max_size=3,
            unique_by=lambda raw: raw[0],
        )),
        st.tuples(st.sampled_from(["suspend", "restore"]), NAMES),
    ),
    max_size=30,
)  # fmt: skip


@given(STEPS)
def test_a_ban_only_restricts_and_ends_with_one_call(steps: list[tuple[object, ...]]) -> None:
    """Against a plain model: the last word on each host, and the bans."""
    bans = Bans()
    out: dict[str, int] = {}
    listed: dict[str, Endpoint] = {}
    for at_us, step in enumerate(steps, 100):
        if step[0] == "list":
            kind, raw = step[1], step[2]
            given_ = [entry(n, s, t) for n, s, t in raw if kind is ListKind.DELTA or s is not GONE]  # type: ignore
            passed = bans.take(kind, given_)  # type: ignore[arg-type]
            if kind is ListKind.FULL:
                listed = {}
            for was, now in zip(given_, passed, strict=True):
                listed[was.name] = was
                assert STRENGTH[now.listed.status] <= STRENGTH[was.listed.status]
                assert now.listed.started_us >= was.listed.started_us
        elif step[0] == "suspend":
            passed = bans.suspend(at_us, str(step[1]))
            out.setdefault(str(step[1]), at_us)
        else:
            passed = bans.restore(at_us, str(step[1]))
            out.pop(str(step[1]), None)
        for now in passed:
            if now.name in out:
                assert now.listed.status is not READY
            else:
                assert now.listed.status is listed[now.name].listed.status
        assert bans.out == out
