"""The table of guards is whole: every guard can be taken out, and has a test that exists."""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks.guards.maimed import take_out
from benchmarks.guards.patching import GUARDS
from benchmarks.guards.playing import FOLDER
from benchmarks.guards.row import Row
from benchmarks.guards.table import ROWS
from benchmarks.guards.tested import Verdict, carry_out, without

ROOT = Path(__file__).parent.parent


def test_every_guard_has_a_row_and_every_row_a_test_that_is_there() -> None:
    assert {name for row in ROWS for name in row.out} == set(GUARDS)
    assert len({row.name for row in ROWS}) == len(ROWS)
    for row in ROWS:
        assert row.tests, row.name
        for test in row.tests:
            file, _, name = test.partition("::")
            assert f"def {name}(" in (ROOT / file).read_text(), test


def test_every_play_of_the_table_is_used() -> None:
    used = {play.scenario for row in ROWS for play in row.plays}
    assert {path.stem for path in FOLDER.glob("*.toml")} <= used


def test_a_guard_that_is_not_known_is_told() -> None:
    with pytest.raises(ValueError, match="expected names of .*breaker.* found \\['moon'\\]"):
        take_out(["moon"])


def test_a_test_that_passes_without_its_guard_is_unnoticed() -> None:
    """The sizes of the modules are the same without the budget of cold servers."""
    row = Row(("cold-budget",), "", "", (), "", tests=("tests/test_module_sizes.py",))
    assert without(row) == Verdict(row, unnoticed=row.tests)
    missing = Row(("cold-budget",), "", "", (), "", tests=("tests/test_module_sizes.py::test_not_there",))
    assert without(missing).said.startswith("exit code 4")
    verdicts, wrong = carry_out([row, missing], 2)
    assert not any(verdict.found for verdict in verdicts) and wrong.startswith("with all guards in place")
