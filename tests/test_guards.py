"""The mutation tests are complete: each mutant has a row, and each row has tests that exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

from benchmarks.guards.mutated_gateway import apply_mutants
from benchmarks.guards.patching import PATCH_BY_MUTANT
from benchmarks.guards.row import Row
from benchmarks.guards.scenario_runs import SCENARIO_FOLDER
from benchmarks.guards.scripted_tests import Verdict, describe_failures, run_row_tests, run_tests
from benchmarks.guards.table import ROWS

ROOT = Path(__file__).parent.parent


def test_every_mutant_has_a_row_and_every_row_has_tests_that_exist() -> None:
    assert {name for row in ROWS for name in row.mutants} == set(PATCH_BY_MUTANT)
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


def test_locations_of_rows_name_members_that_exist() -> None:
    defined = defined_names()
    unknown = {
        f"{row.name}: {class_name}.{member}"
        for row in ROWS
        for class_name, member in re.findall(r"\b([A-Z]\w+)\.(\w+)", row.location)
        if member not in defined.get(class_name, set())
    }
    assert not unknown


def test_every_scenario_file_is_used() -> None:
    used = {run.scenario for row in ROWS for run in row.runs}
    assert {path.stem for path in SCENARIO_FOLDER.glob("*.toml")} <= used


def test_an_unknown_mutant_is_refused() -> None:
    with pytest.raises(ValueError, match="expected names of .*breaker.* found \\['moon'\\]"):
        apply_mutants(["moon"])


def test_a_test_that_passes_with_mutants_applied_is_reported() -> None:
    """The sizes of modules do not depend on the slow start budget. A test that does not exist is an error."""
    row = Row(("cold-budget",), "", "", (), "", tests=("tests/test_module_sizes.py",))
    assert run_row_tests(row) == Verdict(row, passed_tests=row.tests)
    missing = Row(("cold-budget",), "", "", (), "", tests=("tests/test_module_sizes.py::test_not_there",))
    assert run_row_tests(missing).error.startswith("exit code 4")
    verdicts, error = run_tests([row, missing], 2)
    assert not any(verdict.is_detected for verdict in verdicts) and error.startswith("with all guards in place")


def test_a_failed_reference_run_names_the_failed_tests(tmp_path: Path) -> None:
    file = tmp_path / "test_example.py"
    file.write_text("def test_one():\n    assert [1] == [2]\n\n\ndef test_two():\n    raise ValueError('x')\n")
    row = Row(("cold-budget",), "", "", (), "", tests=(f"{file}::test_one", f"{file}::test_two"))
    _, error = run_tests([row], 1)
    assert error.startswith("with all guards in place: exit code 1: ")
    assert re.search(r"test_example\.py::test_one: \S+test_example\.py:2: assert \[1\] == \[2\]", error)
    assert re.search(r"test_example\.py::test_two: \S+test_example\.py:6: ValueError: x", error)


def test_failures_without_a_line_of_their_own_are_listed_by_name() -> None:
    output = (
        "=== FAILURES ===\n/x/test_a.py:3: assert 0\n=== short test summary info ===\n"
        "FAILED test_a.py::test_one - assert 0\nERROR test_a.py::test_two - fixture\n=== 2 failed ===\n"
    )
    expected = "=== 2 failed ===\n  test_a.py::test_one\n  test_a.py::test_two\n  /x/test_a.py:3: assert 0"
    assert describe_failures(output) == expected
