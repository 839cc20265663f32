"""What the processes of one gateway share: the state, two writers of it, and who is alive."""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.admin.errors import StateError
from cloverkeel.admin.process_files import ProcessStage
from cloverkeel.admin.shared_folder import SharedFolder
from cloverkeel.admin.state import (
    MAX_EJECTIONS,
    GatewayState,
    decode_state,
    encode_state,
)

TIMES = st.dictionaries(st.text(max_size=20), st.integers(0, 2**60), max_size=8)


@given(st.booleans(), TIMES, TIMES, st.lists(st.text(max_size=20), max_size=8))
def test_a_state_that_is_written_is_read(
    is_paused: bool, ejected: dict[str, int], reinstated: dict[str, int], known: list[str]
) -> None:
    state = GatewayState(is_paused, ejected, reinstated, tuple(known))
    assert decode_state(encode_state(state)) == state


@given(st.text())
def test_a_text_that_is_no_state_is_an_error(text: str) -> None:
    with pytest.raises(StateError):
        decode_state(text)


GOOD = json.loads(encode_state(GatewayState(ejected_at_us={"a": 1})))


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"v": 2}, "v: expected 1"),
        ({"paused": 1}, "paused: expected"),
        ({"out": []}, "out: expected"),
        ({"out": {"a": -1}}, "out: a: expected"),
        ({"out": {"a": True}}, "out: a: expected"),
        ({"back": {str(n): 1 for n in range(MAX_EJECTIONS + 1)}}, "back: expected"),
        ({"once": [1]}, "once: expected"),
    ],
)
def test_a_state_that_cannot_be_used_names_what_was_expected(change: dict[str, object], reason: str) -> None:
    with pytest.raises(StateError, match=reason):
        decode_state(json.dumps(GOOD | change))


def test_an_error_of_the_state_carries_key_and_expected() -> None:
    with pytest.raises(StateError) as caught:
        decode_state(json.dumps(GOOD | {"v": 2}))
    assert str(caught.value) == "v: expected 1, found 2"
    assert (caught.value.key, caught.value.expected) == ("v", "1")


@given(st.integers(0, len(encode_state(GatewayState(ejected_at_us={"a": 1}))) - 1))
def test_a_text_that_was_cut_off_is_not_used(size: int) -> None:
    with pytest.raises(StateError):
        decode_state(encode_state(GatewayState(ejected_at_us={"a": 1}))[:size])


def test_two_writers_lose_nothing(tmp_path: Path) -> None:
    one, two = SharedFolder(tmp_path / "s"), SharedFolder(tmp_path / "s")
    one.open()
    two.open()
    for number in range(50):
        writer, name = (one, two)[number % 2], f"s-{number}"
        writer.state_file.update(lambda state, name=name: state.eject(1, name), GatewayState())  # type: ignore[misc]
    assert set(one.state_file.read().ejected_at_us) == {f"s-{number}" for number in range(50)}  # type: ignore[union-attr]
    one.close()
    two.close()


def test_the_other_ones_change_is_seen_once_and_the_own_never(tmp_path: Path) -> None:
    one, two = SharedFolder(tmp_path), SharedFolder(tmp_path)
    one.open()
    two.open()
    one.state_file.update(lambda state: state.eject(1, "a"), GatewayState())
    assert one.state_file.read_if_changed() is None
    seen = two.state_file.read_if_changed()
    assert seen is not None and seen.ejected_at_us == {"a": 1}
    assert two.state_file.read_if_changed() is None
    one.close()
    two.close()


@pytest.mark.parametrize("left", [b"", b"{", b"\xff\xfe", b'{"v": 9}', b"[1]"])
def test_a_corrupt_state_file_is_as_none_and_is_written_anew(
    tmp_path: Path, left: bytes, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "state.json").write_bytes(left)
    files = SharedFolder(tmp_path)
    assert files.open() == GatewayState()
    assert str(tmp_path / "state.json") in capsys.readouterr().err
    assert files.state_file.update(lambda state: state.with_paused(True), GatewayState()).is_paused
    assert decode_state((tmp_path / "state.json").read_text()).is_paused
    files.close()


def test_a_folder_that_cannot_be_made_is_one_line_and_commands_still_count(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "file").write_text("")
    files = SharedFolder(tmp_path / "file" / "s")
    assert files.open() == GatewayState()
    assert len(capsys.readouterr().err.splitlines()) == 1
    state = files.state_file.update(lambda state: state.eject(1, "a"), GatewayState(is_paused=True))
    assert state == GatewayState(is_paused=True, ejected_at_us={"a": 1})
    assert files.process_files.find_others().count == 0
    files.close()


def test_live_processes_are_found_and_ended_ones_are_not(tmp_path: Path) -> None:
    old, new = SharedFolder(tmp_path), SharedFolder(tmp_path)
    old.open()
    assert old.process_files.find_others().count == 0
    new.open()
    assert (old.process_files.find_others().count, old.process_files.find_others().has_successor) == (1, False)
    new.process_files.announce(ProcessStage.SERVING)
    assert old.process_files.find_others().has_successor and not new.process_files.find_others().has_successor
    new.close()
    assert old.process_files.find_others().count == 0
    old.close()


def test_the_file_of_a_killed_process_is_removed(tmp_path: Path) -> None:
    killed, files = SharedFolder(tmp_path), SharedFolder(tmp_path)
    killed.open()
    killed.process_files.announce(ProcessStage.SERVING)
    os.close(killed.process_files.fd)  # what the kernel does
    files.open()
    assert files.process_files.find_others().count == 0
    assert [name for name in os.listdir(tmp_path) if name.endswith(".serves")] == []
    files.close()
    os.close(killed.state_file.lock_fd)
