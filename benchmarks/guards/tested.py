"""The scripted tests of the table: each must pass with its guard in place and fail without it.

A scripted test causes one thing on purpose, over sockets or at a pure module, and is the same each time; a play
causes what chance brings. What a play finds on some seeds alone is given a test instead.
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
LONGEST_S = 120.0
BESIDE = ("-n", "3", "--dist", "worksteal")  # all rows' tests with all guards in place take longer than one row's
FAILED = re.compile(r"^(?:FAILED|ERROR) (\S+)", re.MULTILINE)
PASSED, TESTS_FAILED = 0, 1  # pytest's exit codes; any other: it could not be carried out


@dataclass(slots=True, frozen=True)
class Verdict:
    """What came of a row's tests. `unnoticed`: those that pass without the guard; `said`: why none could tell."""

    row: Row
    unnoticed: tuple[str, ...] = ()
    said: str = ""

    @property
    def found(self) -> bool:
        return not self.unnoticed and not self.said


def run_pytest(tests: Sequence[str], *options: str) -> tuple[int, str]:
    """Exit code and output of these tests on the plain sources: compiled code takes no replacement."""
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", "--tb=line", *options, *tests]
    environment = os.environ | {"CLOVERKEEL_PLAIN": "1"}
    try:
        done = subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=LONGEST_S)
    except subprocess.TimeoutExpired:
        return -1, f"not done in {LONGEST_S:.0f} s"
    return done.returncode, done.stdout + done.stderr


def last_line(output: str) -> str:
    lines = [line for line in output.splitlines() if line.strip()]
    return lines[-1] if lines else "no output"


def without(row: Row) -> Verdict:
    """Its tests with its guards taken out: each must fail."""
    code, output = run_pytest(row.tests, "--without", "+".join(row.out))
    if code not in (PASSED, TESTS_FAILED):
        return Verdict(row, said=f"exit code {code}: {last_line(output)}")
    failed = {name.partition("[")[0] for name in FAILED.findall(output)}
    return Verdict(row, tuple(test for test in row.tests if test not in failed))


def carry_out(rows: Sequence[Row], workers: int) -> tuple[list[Verdict], str]:
    """A verdict for each row that has tests; and what was wrong with all guards in place, if anything was."""
    tested = [row for row in rows if row.tests]
    tests = list(dict.fromkeys(test for row in tested for test in row.tests))
    with ThreadPoolExecutor(workers) as pool:
        reference = pool.submit(run_pytest, tests, *BESIDE)
        verdicts = list(pool.map(without, tested))
        code, output = reference.result()
    return verdicts, "" if code == PASSED else f"with all guards in place: exit code {code}: {last_line(output)}"
