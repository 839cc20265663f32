"""What outlives a process: the state, two writers of it, and signs of life."""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.admin.state_files import SharedFiles
from cloverkeel.admin.state import OUT_KEPT, State, StateError, parse, render

TIMES = st.dictionaries(st.text(max_size=20), st.integers(0, 2**60), max_size=8)


@given(st.booleans(), TIMES, TIMES, st.lists(st.text(max_size=20), max_size=8))
def test_what_is_written_is_read(paused: bool, out: dict[str, int], back: dict[str, int], once: list[str]) -> None:
    state = State(paused, out, back, tuple(once))
    assert parse(render(state)) == state


@given(st.text())
def test_rubbish_gives_a_reason(text: str) -> None:
    with pytest.raises(StateError):
        parse(text)


GOOD = json.loads(render(State(out={"a": 1})))


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"v": 2}, "v: expected 1"),
        ({"paused": 1}, "paused: expected"),
        ({"out": []}, "out: expected"),
        ({"out": {"a": -1}}, "out: a: expected"),
        ({"out": {"a": True}}, "out: a: expected"),
        ({"back": {str(n): 1 for n in range(OUT_KEPT + 1)}}, "back: expected"),
        ({"once": [1]}, "once: expected"),
    ],
)
def test_a_state_that_cannot_be_used_names_what_was_expected(change: dict[str, object], reason: str) -> None:
    with pytest.raises(StateError, match=reason):
        parse(json.dumps(GOOD | change))


@given(st.integers(0, len(render(State(out={"a": 1}))) - 1))
def test_a_text_that_was_cut_off_is_not_used(size: int) -> None:
    with pytest.raises(StateError):
        parse(render(State(out={"a": 1}))[:size])


def test_two_writers_lose_nothing(tmp_path: Path) -> None:
    one, two = SharedFiles(tmp_path / "s"), SharedFiles(tmp_path / "s")
    one.open()
    two.open()
    for number in range(50):
        writer, name = (one, two)[number % 2], f"s-{number}"
        writer.change(lambda state, name=name: state.suspend(1, name), State())  # type: ignore[misc]
    assert set(one.read().out) == {f"s-{number}" for number in range(50)}  # type: ignore[union-attr]
    one.close()
    two.close()


def test_the_other_ones_change_is_seen_once_and_the_own_never(tmp_path: Path) -> None:
    one, two = SharedFiles(tmp_path), SharedFiles(tmp_path)
    one.open()
    two.open()
    one.change(lambda state: state.suspend(1, "a"), State())
    assert one.changed() is None
    seen = two.changed()
    assert seen is not None and seen.out == {"a": 1}
    assert two.changed() is None
    one.close()
    two.close()


@pytest.mark.parametrize("left", [b"", b"{", b"\xff\xfe", b'{"v": 9}', b"[1]"])
def test_a_state_file_full_of_rubbish_is_as_none_and_is_written_anew(
    tmp_path: Path, left: bytes, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "state.json").write_bytes(left)
    files = SharedFiles(tmp_path)
    assert files.open() == State()
    assert str(tmp_path / "state.json") in capsys.readouterr().err
    assert files.change(lambda state: state.with_paused(True), State()).paused
    assert parse((tmp_path / "state.json").read_text()).paused
    files.close()


def test_a_folder_that_cannot_be_made_is_one_line_and_calls_still_count(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "file").write_text("")
    files = SharedFiles(tmp_path / "file" / "s")
    assert files.open() == State()
    assert len(capsys.readouterr().err.splitlines()) == 1
    state = files.change(lambda state: state.suspend(1, "a"), State(paused=True))
    assert state == State(paused=True, out={"a": 1})
    assert files.others().count == 0
    files.close()


def test_who_lives_is_seen_and_who_has_ended_is_not(tmp_path: Path) -> None:
    old, new = SharedFiles(tmp_path), SharedFiles(tmp_path)
    old.open()
    assert old.others().count == 0
    new.open()
    assert (old.others().count, old.others().successor) == (1, False)
    new.serves()
    assert old.others().successor and not new.others().successor
    new.close()
    assert old.others().count == 0
    old.close()


def test_the_file_of_a_killed_process_is_taken_away(tmp_path: Path) -> None:
    killed, files = SharedFiles(tmp_path), SharedFiles(tmp_path)
    killed.open()
    killed.serves()
    os.close(killed.life_fd)  # what the kernel does
    files.open()
    assert files.others().count == 0
    assert [name for name in os.listdir(tmp_path) if name.endswith(".serves")] == []
    files.close()
    os.close(killed.lock_fd)
