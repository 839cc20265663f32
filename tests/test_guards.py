"""The table of guards is whole: every guard can be taken out, and has a test that exists."""

from __future__ import annotations

import ast
import re
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


def defined_names() -> dict[str, set[str]]:
    """Return what each class of the product defines, by the class's name: functions, fields, attributes of self."""
    names: dict[str, set[str]] = {}
    for path in (ROOT / "cloverkeel").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                defined = names.setdefault(node.name, set())
                for item in ast.walk(node):
                    if isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef):
                        defined.add(item.name)
                    elif isinstance(item, ast.Attribute):
                        defined.add(item.attr)
                    elif isinstance(item, ast.AnnAssign) and isinstance(item.target, ast.Name):
                        defined.add(item.target.id)
    return names


def test_every_row_says_where_its_guard_stands() -> None:
    defined = defined_names()
    unknown = {
        f"{row.name}: {class_name}.{member}"
        for row in ROWS
        for class_name, member in re.findall(r"\b([A-Z]\w+)\.(\w+)", row.where)
        if member not in defined.get(class_name, set())
    }
    assert not unknown


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
