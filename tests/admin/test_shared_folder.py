"""The folder shared by the processes of one gateway: state codec, concurrent writers, detection of processes."""

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
def test_an_encoded_state_is_decoded(
    is_paused: bool, ejected: dict[str, int], reinstated: dict[str, int], known: list[str]
) -> None:
    state = GatewayState(is_paused, ejected, reinstated, tuple(known))
    assert decode_state(encode_state(state)) == state


@given(st.text())
def test_an_arbitrary_text_is_an_error(text: str) -> None:
    with pytest.raises(StateError):
        decode_state(text)


VALID_STATE = json.loads(encode_state(GatewayState(ejected_at_us={"a": 1})))


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
def test_the_error_of_an_invalid_state_names_the_expected_value(change: dict[str, object], reason: str) -> None:
    with pytest.raises(StateError, match=reason):
        decode_state(json.dumps(VALID_STATE | change))


def test_a_state_error_has_key_and_expected_value() -> None:
    with pytest.raises(StateError) as caught:
        decode_state(json.dumps(VALID_STATE | {"v": 2}))
    assert str(caught.value) == "v: expected 1, found 2"
    assert (caught.value.key, caught.value.expected) == ("v", "1")


@given(st.integers(0, len(encode_state(GatewayState(ejected_at_us={"a": 1}))) - 1))
def test_a_truncated_state_is_an_error(size: int) -> None:
    with pytest.raises(StateError):
        decode_state(encode_state(GatewayState(ejected_at_us={"a": 1}))[:size])


def test_two_writers_lose_no_changes(tmp_path: Path) -> None:
    first, second = SharedFolder(tmp_path / "s"), SharedFolder(tmp_path / "s")
    first.open()
    second.open()
    for number in range(50):
        writer, name = (first, second)[number % 2], f"s-{number}"
        writer.state_file.update(lambda state, name=name: state.eject(1, name), GatewayState())  # type: ignore[misc]
    assert set(first.state_file.read().ejected_at_us) == {f"s-{number}" for number in range(50)}  # type: ignore[union-attr]
    first.close()
    second.close()


def test_a_change_is_read_once_by_another_process_and_never_by_its_writer(tmp_path: Path) -> None:
    first, second = SharedFolder(tmp_path), SharedFolder(tmp_path)
    first.open()
    second.open()
    first.state_file.update(lambda state: state.eject(1, "a"), GatewayState())
    assert first.state_file.read_if_changed() is None
    state = second.state_file.read_if_changed()
    assert state is not None and state.ejected_at_us == {"a": 1}
    assert second.state_file.read_if_changed() is None
    first.close()
    second.close()


@pytest.mark.parametrize("content", [b"", b"{", b"\xff\xfe", b'{"v": 9}', b"[1]"])
def test_a_corrupt_state_file_is_treated_as_missing_and_replaced(
    tmp_path: Path, content: bytes, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "state.json").write_bytes(content)
    files = SharedFolder(tmp_path)
    assert files.open() == GatewayState()
    assert str(tmp_path / "state.json") in capsys.readouterr().err
    assert files.state_file.update(lambda state: state.with_paused(True), GatewayState()).is_paused
    assert decode_state((tmp_path / "state.json").read_text()).is_paused
    files.close()


def test_an_unusable_folder_is_logged_in_one_line_and_changes_still_apply(
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


def test_running_processes_are_found_and_ended_ones_are_not(tmp_path: Path) -> None:
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
    os.close(killed.process_files.fd)  # as the kernel does when a process is killed
    files.open()
    assert files.process_files.find_others().count == 0
    assert [name for name in os.listdir(tmp_path) if name.endswith(".serves")] == []
    files.close()
    os.close(killed.state_file.lock_fd)
