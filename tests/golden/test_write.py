"""The command that writes data files."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.golden import store
from tests.golden.write import main


@pytest.fixture
def data_folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Return an empty folder that replaces the folder of data files."""
    monkeypatch.setattr(store, "DATA_FOLDER", tmp_path)
    return tmp_path


def test_an_existing_file_is_overwritten_only_with_the_replace_option(
    data_folder: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = data_folder / "ops_lines.json"
    assert main(["ops_lines"]) == 0
    written = path.read_bytes()
    path.write_bytes(b"{}")

    assert main(["ops_lines"]) == 1
    assert "expected --replace" in capsys.readouterr().err
    assert path.read_bytes() == b"{}"
    assert main(["--replace", "ops_lines"]) == 0
    assert path.read_bytes() == written


@pytest.mark.usefixtures("data_folder")
def test_loaded_bytes_equal_the_saved_bytes() -> None:
    messages = {"text": "höst\r\n".encode(), "control": b"a\x00", "binary": b"\xff\xfe", "empty": b""}
    store.save("kind", messages, replace=False)
    assert store.load("kind") == messages


def test_an_unknown_kind_is_refused(data_folder: Path) -> None:
    with pytest.raises(SystemExit) as error:
        main(["no_such_kind"])
    assert error.value.code == 2
    assert not list(data_folder.iterdir())
