"""Comparison of the decision modules of two checkouts: it finds a changed decision and reports no other change."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from benchmarks.checkout_differential import CheckoutError, compare_checkouts, compare_streams, open_checkout
from benchmarks.differential import main
from benchmarks.replay import DecisionModule, encode
from benchmarks.streams import EventStream

ROOT = Path(__file__).parent.parent
PACKAGE = "cloverkeel"
CHANGED_FILE = f"{PACKAGE}/balancing/weight_controller.py"
OLD_TEXT, NEW_TEXT = "\nWEIGHT_CUT: Final = 0.7", "\nWEIGHT_CUT: Final = 0.69"
LOGGING_FILE = f"{PACKAGE}/balancing/outlier_detection.py"


def copy_checkout(folder: Path) -> Path:
    """Copy the plain sources of this checkout's package into a folder, as a second checkout."""
    shutil.copytree(ROOT / PACKAGE, folder / PACKAGE, ignore=shutil.ignore_patterns("__pycache__", "_compiled"))
    return folder


def test_a_checkout_compared_with_itself_has_no_difference() -> None:
    comparison = compare_checkouts(range(4), 300, 1, ROOT)
    assert comparison.differences == ()
    assert comparison.build_here == comparison.build_there


def test_a_changed_constant_is_found(tmp_path: Path) -> None:
    checkout = copy_checkout(tmp_path)
    source = checkout / CHANGED_FILE
    assert OLD_TEXT in source.read_text()
    source.write_text(source.read_text().replace(OLD_TEXT, NEW_TEXT))
    comparison = compare_streams(range(8), 1_000, checkout)
    assert comparison.differences
    assert comparison.build_there == "plain"


def test_a_changed_log_text_is_no_difference(tmp_path: Path) -> None:
    checkout = copy_checkout(tmp_path)
    source = checkout / LOGGING_FILE
    assert 'f"circuit breaker: ' in source.read_text()
    source.write_text(source.read_text().replace('f"circuit breaker: ', 'f"host: '))
    assert compare_streams(range(4), 1_000, checkout).differences == ()


def test_events_and_settings_are_equal_after_encoding_and_decoding() -> None:
    module = DecisionModule()
    for seed in range(4):
        stream = EventStream(seed, 500)
        assert module.decode(encode(stream.settings)) == stream.settings
        for _, event, _ in stream.handle_events():
            assert module.decode(encode(event)) == event


def test_a_folder_without_a_decision_module_is_an_error(tmp_path: Path) -> None:
    with pytest.raises(CheckoutError, match="none of .* is there"):
        compare_streams(range(1), 10, tmp_path)


def test_a_name_that_is_neither_folder_nor_commit_is_an_error() -> None:
    with (
        pytest.raises(CheckoutError, match="expected a checkout's folder or a commit"),
        open_checkout("no-such-place"),
    ):
        pass


def test_the_command_exits_with_1_on_a_difference_and_with_2_without_a_decision_module(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "empty").mkdir()
    checkout = copy_checkout(tmp_path / "changed")
    source = checkout / CHANGED_FILE
    source.write_text(source.read_text().replace(OLD_TEXT, NEW_TEXT))
    arguments = ["differential", "--seeds", "0-5", "--events", "800", "--workers", "1", "--against"]
    monkeypatch.setattr("sys.argv", [*arguments, str(checkout)])
    assert main() == 1
    assert "here:" in capsys.readouterr().out
    monkeypatch.setattr("sys.argv", [*arguments, str(tmp_path / "empty")])
    assert main() == 2
    assert "none of" in capsys.readouterr().err
