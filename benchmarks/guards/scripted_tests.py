"""The tests of the table's rows: each must pass with its guard in place and fail with the row's mutants applied.

A test causes one fault on purpose, over sockets or in a pure module, and is deterministic; a scenario run depends on
its seed. If scenario runs detect the removal of a guard only with some seeds, the guard has a test instead.
"""

from __future__ import annotations

import os
import re
import subprocess
import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from benchmarks.guards.row import Row

ROOT = Path(__file__).parent.parent.parent
PYTEST_TIMEOUT_S = 120.0
REFERENCE_OPTIONS = ("-n", "3", "--dist", "worksteal")  # the reference run of all rows' tests takes the longest
FAILED = re.compile(r"^(?:FAILED|ERROR) (\S+)", re.MULTILINE)
FAILURES_SECTION = re.compile(r"^=+ FAILURES =+$(.*?)^=+ ", re.MULTILINE | re.DOTALL)
FAILURE_LINE = re.compile(r"^\S+:\d+: .*", re.MULTILINE)  # printed with --tb=line, one for each test
PASSED, TESTS_FAILED = 0, 1  # exit codes of pytest; with any other, the tests could not be run


@dataclass(slots=True, frozen=True)
class Verdict:
    """The result of a row's tests. `passed_tests` did not detect the mutants; `error`: why tests could not run."""

    row: Row
    passed_tests: tuple[str, ...] = ()
    error: str = ""

    @property
    def is_detected(self) -> bool:
        """Return whether every test of the row failed with the mutants applied."""
        return not self.passed_tests and not self.error


def run_pytest(tests: Sequence[str], *options: str) -> tuple[int, str]:
    """Return exit code and output of these tests on the plain sources: compiled code cannot be patched."""
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", "--tb=line", *options, *tests]
    environment = os.environ | {"CLOVERKEEL_PLAIN": "1"}
    try:
        completed = subprocess.run(
            command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=PYTEST_TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return -1, f"not finished within {PYTEST_TIMEOUT_S:.0f} s"
    return completed.returncode, completed.stdout + completed.stderr


def last_line(output: str) -> str:
    """Return the last line that is not blank."""
    lines = [line for line in output.splitlines() if line.strip()]
    return lines[-1] if lines else "no output"


def describe_failures(output: str) -> str:
    """Return the last line of pytest's output and, on lines of their own, the failed tests and where each failed."""
    section = FAILURES_SECTION.search(output)
    names = FAILED.findall(output)
    failure_lines = FAILURE_LINE.findall(section[1]) if section else []
    if len(names) == len(failure_lines):
        details = [f"{name}: {line}" for name, line in zip(names, failure_lines, strict=True)]
    else:  # an error in a fixture, or a worker that crashed, has no such line
        details = names + failure_lines
    return "\n  ".join([last_line(output), *details])


def run_row_tests(row: Row) -> Verdict:
    """Run a row's tests with its mutants applied: each must fail."""
    code, output = run_pytest(row.tests, "--without", "+".join(row.mutants))
    if code not in (PASSED, TESTS_FAILED):
        return Verdict(row, error=f"exit code {code}: {last_line(output)}")
    failed = {name.partition("[")[0] for name in FAILED.findall(output)}
    return Verdict(row, tuple(test for test in row.tests if test not in failed))


def run_tests(rows: Sequence[Row], workers: int) -> tuple[list[Verdict], str]:
    """Return a verdict for each row that has tests, and the error of the reference run with all guards in place."""
    rows_with_tests = [row for row in rows if row.tests]
    tests = list(dict.fromkeys(test for row in rows_with_tests for test in row.tests))
    with ThreadPoolExecutor(workers) as pool:
        reference = pool.submit(run_pytest, tests, *REFERENCE_OPTIONS)
        verdicts = list(pool.map(run_row_tests, rows_with_tests))
        code, output = reference.result()
    if code == PASSED:
        return verdicts, ""
    return verdicts, f"with all guards in place: exit code {code}: {describe_failures(output)}"
