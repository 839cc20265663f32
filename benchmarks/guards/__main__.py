"""Mutation tests: remove each guard in turn and check that a scenario run or a test detects it.

    .venv-dev/bin/python -m benchmarks.guards [--quick] [--only NAME,...] [--seeds 1-10] [--workers 2] [--json FILE]
    .venv-dev/bin/python -m benchmarks.guards --tests [--only NAME,...]    # the tests alone: a minute

Each scenario runs with the guard and without it, with the same seed; each test of a row must fail without its guard.
Exit code: 0 every removal was detected by every run and test, and nothing was detected with all guards in place; 1
otherwise; 2 invalid option. A worker for scenario runs uses two to three cores, a worker for tests one core.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import os
import sys
from collections.abc import Iterable, Sequence
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from dataclasses import asdict, replace
from pathlib import Path

from rich.console import Console
from rich.progress import Progress
from rich.table import Table

import benchmarks.guards.mutants  # noqa: F401: registers them
from benchmarks.guards.patching import PATCH_BY_MUTANT
from benchmarks.guards.row import Row
from benchmarks.guards.scenario_runs import RunResult, ScenarioRun, run_with_mutants
from benchmarks.guards.scripted_tests import Verdict, run_tests
from benchmarks.guards.table import ROWS

Task = tuple[ScenarioRun, tuple[str, ...]]  # a run and the mutants to apply to it


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of "N" or "N-M"; raise ValueError if it is neither."""
    first, _, last = text.partition("-")
    if not first.isdigit() or (last and not last.isdigit()) or int(last or first) < int(first):
        raise ValueError(f"--seeds: expected a number or a range such as 1-10, found {text!r}")
    return list(range(int(first), int(last or first) + 1))


def select_rows(only: str, quick: bool, seeds: Sequence[int] | None) -> list[Row]:
    """Return the rows of these options; raise ValueError if `only` names an unknown row."""
    rows = [row for row in ROWS if not quick or (row.quick and row.runs)]
    if quick:  # one seed of each scenario
        first_runs = [tuple({run.scenario: run for run in reversed(row.runs)}.values()) for row in rows]
        rows = [replace(row, runs=runs) for row, runs in zip(rows, first_runs, strict=True)]
    if only:
        names = only.split(",")
        unknown = [name for name in names if name not in {row.name for row in ROWS}]
        if unknown:
            raise ValueError(f"--only: expected names of --list, found {', '.join(unknown)}")
        rows = [row for row in rows if row.name in names]
    if seeds is not None:
        scenarios = {row.name: dict.fromkeys((run.scenario, run.seconds) for run in row.runs) for row in rows}
        rows = [
            replace(row, runs=tuple(ScenarioRun(name, seed, s) for name, s in scenarios[row.name] for seed in seeds))
            for row in rows
        ]
    return rows


def run_all(tasks: Iterable[Task], workers: int, console: Console) -> dict[Task, RunResult]:
    """Run each distinct task in a process of its own."""
    results: dict[Task, RunResult] = {}
    distinct_tasks = list(dict.fromkeys(tasks))
    context = multiprocessing.get_context("spawn")
    with (
        Progress(console=console, transient=True) as progress,
        ProcessPoolExecutor(workers, context, max_tasks_per_child=1) as pool,
    ):
        progress_task = progress.add_task("scenario runs", total=len(distinct_tasks))
        futures: dict[Future[RunResult], Task] = {
            pool.submit(run_with_mutants, *task): task for task in distinct_tasks
        }
        for future in as_completed(futures):
            results[futures[future]] = future.result()
            progress.advance(progress_task)
    return results


def describe(result: RunResult) -> str:
    """Return in one line what a run detected, or why it failed."""
    if result.failed:
        return f"run failed: {result.failed}"
    violations = "".join(f"; {rule}: {text}" for rule, text in result.first.items())
    return (violations or "".join(f"; log: {defect}" for defect in result.faults[:1]))[2:]


def show_runs(rows: Sequence[Row], results: dict[Task, RunResult], console: Console) -> int:
    """Print the table of scenario runs; return the number of rows and runs without the expected result."""
    table = Table(title="mutants in scenario runs")
    for name in ("guard", "location", "scenario", "seeds", "detected", "criterion", "effect"):
        table.add_column(name, overflow="fold")
    problems: list[str] = []
    for row in rows:
        scenarios = dict.fromkeys(run.scenario for run in row.runs)
        for index, scenario in enumerate(scenarios):
            runs = [run for run in row.runs if run.scenario == scenario]
            effects: list[float] = []
            for run in runs:
                reference, mutated = results[run, ()], results[run, row.mutants]
                effects.append(-1.0 if mutated.failed else row.measure_effect(reference, mutated))
                if mutated.failed:
                    problems.append(f"{row.name}: {scenario}, seed {run.seed}: {describe(mutated)}")
            detected_count = sum(effect >= row.min_effect for effect in effects)
            if detected_count < len(runs):
                problems.append(f"{row.name}: {scenario}: detected in {detected_count} of {len(runs)}")
            colour = "green" if detected_count == len(runs) else "red"
            table.add_row(
                row.name if not index else "", row.location if not index else "", scenario,
                ",".join(str(run.seed) for run in runs), f"[{colour}]{detected_count} of {len(runs)}[/]",
                row.criterion, f"{min(effects):.3g} to {max(effects):.3g}",
            )  # fmt: skip
    reference_runs = {run for row in rows for run in row.runs}
    failed_references = 0
    for run in sorted(reference_runs, key=str):
        result = results[run, ()]
        if result.breaches or result.failed or result.faults:
            failed_references += 1
            problems.append(f"{run.scenario}, seed {run.seed}, with all guards in place: {describe(result)}")
    console.print(table)
    console.print(
        f"{len(reference_runs) - failed_references} of {len(reference_runs)} runs with all guards detect nothing"
    )
    loads = [results[run, ()].worst_cold for run in reference_runs if results[run, ()].worst_cold]
    if loads:
        console.print(
            f"hosts in slow start got {min(loads):.0%} to {max(loads):.0%} of the load that makes them collapse"
        )
    for line in problems:
        console.print(line, style="red", highlight=False, markup=False)
    return len(problems)


def show_tests(verdicts: Sequence[Verdict], reference_error: str, console: Console) -> int:
    """Print the table of tests; return the number of undetected rows, plus one if the reference run failed."""
    table = Table(title="mutants in tests")
    for name in ("guard", "location", "test", "detected"):
        table.add_column(name, overflow="fold")
    for verdict in verdicts:
        for index, test in enumerate(verdict.row.tests):
            is_detected = not verdict.error and test not in verdict.passed_tests
            table.add_row(
                verdict.row.name if not index else "", verdict.row.location if not index else "",
                test.removeprefix("tests/"), "[green]yes[/]" if is_detected else "[red]no[/]",
            )  # fmt: skip
    console.print(table)
    undetected = [verdict for verdict in verdicts if not verdict.is_detected]
    for verdict in undetected:
        reason = verdict.error or f"passes with the mutants applied: {', '.join(verdict.passed_tests)}"
        console.print(f"{verdict.row.name}: {reason}", style="red", highlight=False, markup=False)
    if reference_error:
        console.print(reference_error, style="red", highlight=False, markup=False)
    console.print(f"{len(verdicts) - len(undetected)} of {len(verdicts)} removed guards are detected by their tests")
    return len(undetected) + bool(reference_error)


def main() -> int:
    """Run the command and return its exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    quick_help = "a selection that takes a minute: the rows that are detected with any seed, one seed each"
    parser.add_argument("--quick", action="store_true", help=quick_help)
    parser.add_argument("--tests", action="store_true", help="only the tests, no scenario runs")
    parser.add_argument("--only", default="", metavar="NAME,...", help="only these rows")
    parser.add_argument("--seeds", metavar="N|N-M", help="replace the seeds of the table")
    parser.add_argument("--workers", type=int, default=max(1, (os.cpu_count() or 1) // 3))
    parser.add_argument("--json", type=Path)
    parser.add_argument("--list", action="store_true", help="print the names of the rows")
    options = parser.parse_args()
    console = Console()
    if options.list:
        for row in ROWS:
            console.print(f"[bold]{row.name:28}[/] {row.ensures} ({row.location})", highlight=False)
        return 0
    try:
        rows = select_rows(options.only, options.quick, parse_seeds(options.seeds) if options.seeds else None)
    except ValueError as error:
        print(f"guards: {error}", file=sys.stderr)
        return 2
    assert all(name in PATCH_BY_MUTANT for row in ROWS for name in row.mutants)
    assert all(row.runs or row.tests for row in ROWS)
    if options.tests:
        return 1 if show_tests(*run_tests(rows, len(os.sched_getaffinity(0))), console) else 0
    tasks = [(run, mutants) for row in rows for run in row.runs for mutants in ((), row.mutants)]
    results = run_all(tasks, options.workers, console)
    problem_count = show_runs(rows, results, console)
    if not options.quick:
        problem_count += show_tests(*run_tests(rows, len(os.sched_getaffinity(0))), console)
    if options.json is not None:
        entries = [
            {"play": asdict(run), "out": list(mutants)} | asdict(result) for (run, mutants), result in results.items()
        ]
        options.json.write_text(json.dumps(entries, indent=1) + "\n")
    return 1 if problem_count else 0


if __name__ == "__main__":
    raise SystemExit(main())
