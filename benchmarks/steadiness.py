"""Whether each test gives the same verdict every time: N runs of the suite under stated conditions.

    .venv-dev/bin/python -m benchmarks.steadiness [--runs 20] [--under free,one,busy,disk,shuffled] [--json FILE]
        [--logs FOLDER] [--build plain|compiled] [-- words of pytest]
    .venv-dev/bin/python -m benchmarks.steadiness --guards [--runs 20] [--only NAME,...]

Conditions: `free`, nothing else runs; `one`, all of it on one core; `half`, half of the cores burnt by busy
processes; `busy`, as many busy processes as cores; `disk`, each change of a file takes 20 ms longer; `shuffled`, the
order of tests drawn anew for each run. Without words of pytest all tests are run. The log of a run that differs is
kept. With `--guards`: each row of benchmarks/guards, whose tests must fail without it every time.

Exit code: 0 every test passed in every run, every guard was found in every run; 1 otherwise; 2 an option cannot be
used. A run that is not done in 20 minutes is ended and counts as failed.
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
LONGEST_S = 1200.0
BURN = "while True: pass"


@contextmanager
def burning(processes: int) -> Iterator[None]:
    """So many processes that only burn their core."""
    started = [subprocess.Popen([sys.executable, "-c", BURN]) for _ in range(processes)]
    try:
        yield
    finally:
        for process in started:
            process.kill()
            process.wait()


@dataclass(slots=True)
class Steadiness:
    """What came of the runs under one condition."""

    condition: str
    seconds: list[float] = field(default_factory=list)
    verdicts: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))  # by test
    logs: list[str] = field(default_factory=list)  # of runs that were not wholly green

    @property
    def odd(self) -> dict[str, Counter[str]]:
        """Tests that did not pass every time."""
        return {name: of for name, of in self.verdicts.items() if set(of) - {"passed", "skipped"}}

    def take(self, report: Path) -> bool:
        """Enter one run's results; whether all were well."""
        well = True
        for case in ElementTree.parse(report).getroot().iter("testcase"):
            name = f"{case.get('classname', '').replace('.', '/')}.py::{case.get('name')}"
            found = next((child.tag for child in case if child.tag in ("failure", "error", "skipped")), "passed")
            self.verdicts[name][found] += 1
            well = well and found in ("passed", "skipped")
        return well


def run_once(condition: str, number: int, words: Sequence[str], report: Path) -> str:
    """One run of the suite; what it printed. `report` is written by pytest."""
    cores = len(os.sched_getaffinity(0))
    environment = os.environ | {"CLOVERKEEL_PLAIN": os.environ.get("CLOVERKEEL_PLAIN", "1")}
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", f"--junitxml={report}", *words]
    if condition != "one":
        command[3:3] = ["-n", str(cores), "--dist", "worksteal"]
    if condition == "one":
        command[:0] = ["taskset", "-c", "0"]
    if condition == "disk":
        environment["PYTHONPATH"] = str(ROOT / "benchmarks" / "slow_disk")
    if condition == "shuffled":
        command += ["--shuffle", str(number)]
    with burning({"half": cores // 2, "busy": cores}.get(condition, 0)):
        try:
            done = subprocess.run(
                command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=LONGEST_S
            )
        except subprocess.TimeoutExpired as error:
            return f"not done in {LONGEST_S:.0f} s\n{error.stdout!r}"
    return done.stdout + done.stderr


def measure(condition: str, runs: int, words: Sequence[str], logs: Path, console: Console) -> Steadiness:
    found = Steadiness(condition)
    with tempfile.TemporaryDirectory() as folder:
        for number in range(1, runs + 1):
            report = Path(folder) / f"{number}.xml"
            began_s = time.monotonic()
            said = run_once(condition, number, words, report)
            found.seconds.append(time.monotonic() - began_s)
            well = report.exists() and found.take(report)
            if not well:
                logs.mkdir(parents=True, exist_ok=True)
                kept = logs / f"{condition}-{number}.log"
                kept.write_text(said)
                found.logs.append(str(kept))
                if not report.exists():
                    found.verdicts["(the run itself)"]["failure"] += 1
            console.print(f"{condition} {number}: {found.seconds[-1]:.0f} s, {'well' if well else 'NOT WELL'}")
    return found


def show(results: Sequence[Steadiness], console: Console) -> int:
    """Print the tables; returns how many tests differ, over all conditions."""
    table = Table(title="the same verdict every time")
    for name in ("condition", "runs", "tests", "differ", "seconds, least to most"):
        table.add_column(name)
    for one in results:
        spread = f"{min(one.seconds):.0f} to {max(one.seconds):.0f}"
        table.add_row(one.condition, str(len(one.seconds)), str(len(one.verdicts)), str(len(one.odd)), spread)
    console.print(table)
    for one in results:
        for name, counts in one.odd.items():
            said = ", ".join(f"{what} {count}" for what, count in sorted(counts.items()))
            console.print(f"{one.condition}: {name}: {said}", highlight=False, markup=False)
        for log in one.logs:
            console.print(f"{one.condition}: log kept in {log}", highlight=False, markup=False)
    return sum(len(one.odd) for one in results)


def measure_guards(only: str, runs: int, console: Console) -> int:
    """Each row so many times; returns how many were not found each time."""
    rows = select_rows(only, False, None)
    missed: Counter[str] = Counter()
    wrong = 0
    for number in range(1, runs + 1):
        verdicts, error = run_tests(rows, len(os.sched_getaffinity(0)))
        lost = [verdict for verdict in verdicts if not verdict.is_detected]
        missed.update(verdict.row.name for verdict in lost)
        wrong += bool(error)
        console.print(f"guards {number}: {len(verdicts) - len(lost)} of {len(verdicts)} found {error}", markup=False)
        for verdict in lost:
            console.print(f"  {verdict.row.name}: {verdict.error or verdict.passed_tests}", markup=False)
    for name, count in missed.most_common():
        console.print(f"{name}: found in {runs - count} of {runs}", markup=False)
    console.print(f"{len(rows) - len(missed)} of {len(rows)} guards found in each of {runs} runs")
    return len(missed) + wrong


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--under", default="free,one,busy,disk,shuffled", help=f"of {','.join(CONDITIONS)}")
    parser.add_argument("--guards", action="store_true", help="the rows of benchmarks/guards in place of the suite")
    parser.add_argument("--only", default="", metavar="NAME,...", help="these rows of the guards alone")
    parser.add_argument("--logs", type=Path, default=Path(tempfile.gettempdir()) / "cloverkeel-steadiness")
    parser.add_argument("--json", type=Path)
    parser.add_argument("words", nargs="*", help="for pytest, after --")
    options = parser.parse_args()
    console = Console()
    unknown = [name for name in options.under.split(",") if name not in CONDITIONS]
    if unknown or options.runs < 1:
        print(f"steadiness: expected --under of {', '.join(CONDITIONS)} and --runs from 1", file=sys.stderr)
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
    differ = show(results, console)
    if options.json is not None:
        made = [
            {"condition": r.condition, "seconds": r.seconds, "tests": len(r.verdicts), "odd": r.odd} for r in results
        ]
        options.json.write_text(json.dumps(made, indent=1) + "\n")
    return 1 if differ else 0


if __name__ == "__main__":
    raise SystemExit(main())
