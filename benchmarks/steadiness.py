"""Runs the test suite repeatedly under several conditions and reports tests that do not pass every time.

    .venv-dev/bin/python -m benchmarks.steadiness [--runs 20] [--under free,one,busy,disk,shuffled] [--json FILE]
        [--logs FOLDER] [--build plain|compiled] [-- arguments of pytest]
    .venv-dev/bin/python -m benchmarks.steadiness --guards [--runs 20] [--only NAME,...]

Conditions: `free`, nothing else runs; `one`, all tests on one core; `half`, busy loops on half of the cores; `busy`,
as many busy loops as cores; `disk`, each change of a file takes 20 ms longer; `shuffled`, a new random order of the
tests for each run. Without pytest arguments, all tests are run. The log of a failed run is kept. `--guards` runs
the rows of benchmarks/guards instead: the tests of a row must fail every time when its guard is removed.

Exit code: 0 if every test passed, or every mutant was detected, in every run; 1 otherwise; 2 if an option is invalid.
A run that takes longer than 20 minutes is killed and counts as failed.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
import xml.etree.ElementTree as ElementTree
from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from rich.console import Console
from rich.table import Table

from benchmarks.guards.__main__ import select_rows
from benchmarks.guards.scripted_tests import run_tests

ROOT = Path(__file__).parent.parent
CONDITIONS = ("free", "one", "half", "busy", "disk", "shuffled")
RUN_TIMEOUT_S = 1200.0
BUSY_LOOP = "while True: pass"


@contextmanager
def busy_processes(processes: int) -> Iterator[None]:
    """Runs this number of busy loops, each in a process of its own."""
    started = [subprocess.Popen([sys.executable, "-c", BUSY_LOOP]) for _ in range(processes)]
    try:
        yield
    finally:
        for process in started:
            process.kill()
            process.wait()


@dataclass(slots=True)
class ConditionResults:
    """Results of the runs under one condition."""

    condition: str
    seconds: list[float] = field(default_factory=list)
    verdicts: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))  # by test name
    logs: list[str] = field(default_factory=list)  # log files of failed runs

    @property
    def unsteady(self) -> dict[str, Counter[str]]:
        """Verdict counts of the tests that did not pass every time, by test name."""
        return {name: counts for name, counts in self.verdicts.items() if set(counts) - {"passed", "skipped"}}

    def add_report(self, report: Path) -> bool:
        """Adds the results of one run; returns whether no test failed."""
        is_passed = True
        for case in ElementTree.parse(report).getroot().iter("testcase"):
            name = f"{case.get('classname', '').replace('.', '/')}.py::{case.get('name')}"
            verdict = next((child.tag for child in case if child.tag in ("failure", "error", "skipped")), "passed")
            self.verdicts[name][verdict] += 1
            is_passed = is_passed and verdict in ("passed", "skipped")
        return is_passed


def run_once(condition: str, number: int, arguments: Sequence[str], report: Path) -> str:
    """Runs the suite once and returns its output. Pytest writes the results to the file `report`."""
    cores = len(os.sched_getaffinity(0))
    environment = os.environ | {"CLOVERKEEL_PLAIN": os.environ.get("CLOVERKEEL_PLAIN", "1")}
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", f"--junitxml={report}", *arguments]
    if condition != "one":
        command[3:3] = ["-n", str(cores), "--dist", "worksteal"]
    if condition == "one":
        command[:0] = ["taskset", "-c", "0"]
    if condition == "disk":
        environment["PYTHONPATH"] = str(ROOT / "benchmarks" / "slow_disk")
    if condition == "shuffled":
        command += ["--shuffle", str(number)]
    with busy_processes({"half": cores // 2, "busy": cores}.get(condition, 0)):
        try:
            completed = subprocess.run(
                command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=RUN_TIMEOUT_S
            )
        except subprocess.TimeoutExpired as error:
            return f"not finished within {RUN_TIMEOUT_S:.0f} s\n{error.stdout!r}"
    return completed.stdout + completed.stderr


def measure(condition: str, runs: int, arguments: Sequence[str], logs: Path, console: Console) -> ConditionResults:
    """Runs the suite this often under one condition and keeps the logs of failed runs."""
    results = ConditionResults(condition)
    with tempfile.TemporaryDirectory() as folder:
        for number in range(1, runs + 1):
            report = Path(folder) / f"{number}.xml"
            began_s = time.monotonic()
            output = run_once(condition, number, arguments, report)
            results.seconds.append(time.monotonic() - began_s)
            is_passed = report.exists() and results.add_report(report)
            if not is_passed:
                logs.mkdir(parents=True, exist_ok=True)
                log = logs / f"{condition}-{number}.log"
                log.write_text(output)
                results.logs.append(str(log))
                if not report.exists():
                    results.verdicts["(the run itself)"]["failure"] += 1
            console.print(f"{condition} {number}: {results.seconds[-1]:.0f} s, {'passed' if is_passed else 'FAILED'}")
    return results


def print_results(results: Sequence[ConditionResults], console: Console) -> int:
    """Prints the results; returns the number of tests that did not pass every time, over all conditions."""
    table = Table(title="tests that do not pass every time")
    for name in ("condition", "runs", "tests", "differ", "seconds, min to max"):
        table.add_column(name)
    for result in results:
        spread = f"{min(result.seconds):.0f} to {max(result.seconds):.0f}"
        table.add_row(
            result.condition, str(len(result.seconds)), str(len(result.verdicts)), str(len(result.unsteady)), spread
        )
    console.print(table)
    for result in results:
        for name, counts in result.unsteady.items():
            verdicts = ", ".join(f"{verdict} {count}" for verdict, count in sorted(counts.items()))
            console.print(f"{result.condition}: {name}: {verdicts}", highlight=False, markup=False)
        for log in result.logs:
            console.print(f"{result.condition}: log kept in {log}", highlight=False, markup=False)
    return sum(len(result.unsteady) for result in results)


def measure_guards(only: str, runs: int, console: Console) -> int:
    """Runs each row this often; returns the number of rows not always detected plus that of runs with an error."""
    rows = select_rows(only, False, None)
    missed_counts: Counter[str] = Counter()
    error_count = 0
    for number in range(1, runs + 1):
        verdicts, error = run_tests(rows, len(os.sched_getaffinity(0)))
        missed = [verdict for verdict in verdicts if not verdict.is_detected]
        missed_counts.update(verdict.row.name for verdict in missed)
        error_count += bool(error)
        console.print(
            f"guards {number}: {len(verdicts) - len(missed)} of {len(verdicts)} detected {error}", markup=False
        )
        for verdict in missed:
            console.print(f"  {verdict.row.name}: {verdict.error or verdict.passed_tests}", markup=False)
    for name, count in missed_counts.most_common():
        console.print(f"{name}: detected in {runs - count} of {runs}", markup=False)
    console.print(f"{len(rows) - len(missed_counts)} of {len(rows)} removed guards detected in each of {runs} runs")
    return len(missed_counts) + error_count


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument(
        "--under", default="free,one,busy,disk,shuffled", help=f"conditions, from {','.join(CONDITIONS)}"
    )
    parser.add_argument(
        "--guards", action="store_true", help="run the rows of benchmarks/guards instead of the suite"
    )
    parser.add_argument("--only", default="", metavar="NAME,...", help="with --guards, run only these rows")
    parser.add_argument("--logs", type=Path, default=Path(tempfile.gettempdir()) / "cloverkeel-steadiness")
    parser.add_argument("--json", type=Path)
    parser.add_argument("words", nargs="*", help="arguments for pytest, after --")
    options = parser.parse_args()
    console = Console()
    unknown = [name for name in options.under.split(",") if name not in CONDITIONS]
    if unknown or options.runs < 1:
        print(f"steadiness: expected --under from {', '.join(CONDITIONS)} and --runs of at least 1", file=sys.stderr)
        return 2
    if options.guards:
        try:
            return 1 if measure_guards(options.only, options.runs, console) else 0
        except ValueError as error:
            print(f"steadiness: {error}", file=sys.stderr)
            return 2
    results = [
        measure(condition, options.runs, options.words, options.logs, console)
        for condition in options.under.split(",")
    ]
    unsteady_count = print_results(results, console)
    if options.json is not None:
        rows = [
            {
                "condition": result.condition,
                "seconds": result.seconds,
                "tests": len(result.verdicts),
                "odd": result.unsteady,
            }
            for result in results
        ]
        options.json.write_text(json.dumps(rows, indent=1) + "\n")
    return 1 if unsteady_count else 0


if __name__ == "__main__":
    raise SystemExit(main())
