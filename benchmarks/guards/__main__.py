"""Take out every guard of the rules in turn, and tell whether a play or a scripted test notices.

    .venv-dev/bin/python -m benchmarks.guards [--quick] [--only NAME,...] [--seeds 1-10] [--workers 2] [--json FILE]
    .venv-dev/bin/python -m benchmarks.guards --tests [--only NAME,...]    # the scripted tests alone: a minute

Each play is carried out with the guard and without it, on the same seed; each test of a row must fail without its
guard. Exit code: 0 every loss was found in every play and test, and nothing was found with all guards in place; 1
otherwise; 2 an option cannot be used. A worker of plays takes two to three cores, one of tests a core.
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
from benchmarks.guards.patching import GUARDS
from benchmarks.guards.playing import Found, Play, carry_out
from benchmarks.guards.row import Row
from benchmarks.guards.table import ROWS
from benchmarks.guards.tested import Verdict
from benchmarks.guards.tested import carry_out as carry_out_tests

Task = tuple[Play, tuple[str, ...]]


def parse_seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    if not first.isdigit() or (last and not last.isdigit()) or int(last or first) < int(first):
        raise ValueError(f"--seeds: expected a number or a range such as 1-10, found {text!r}")
    return list(range(int(first), int(last or first) + 1))


def choose(only: str, quick: bool, numbers: Sequence[int] | None) -> list[Row]:
    rows = [row for row in ROWS if not quick or (row.quick and row.plays)]
    if quick:  # one seed of each
        firsts = [tuple({play.scenario: play for play in reversed(row.plays)}.values()) for row in rows]
        rows = [replace(row, plays=plays) for row, plays in zip(rows, firsts, strict=True)]
    if only:
        wanted = only.split(",")
        unknown = [name for name in wanted if name not in {row.name for row in ROWS}]
        if unknown:
            raise ValueError(f"--only: expected names of --list, found {', '.join(unknown)}")
        rows = [row for row in rows if row.name in wanted]
    if numbers is not None:
        scenarios = {row.name: dict.fromkeys((p.scenario, p.seconds) for p in row.plays) for row in rows}
        rows = [
            replace(row, plays=tuple(Play(name, n, s) for name, s in scenarios[row.name] for n in numbers))
            for row in rows
        ]
    return rows


def carry_out_all(tasks: Iterable[Task], workers: int, console: Console) -> dict[Task, Found]:
    results: dict[Task, Found] = {}
    wanted = list(dict.fromkeys(tasks))
    context = multiprocessing.get_context("spawn")
    with (
        Progress(console=console, transient=True) as progress,
        ProcessPoolExecutor(workers, context, max_tasks_per_child=1) as pool,
    ):
        shown = progress.add_task("plays", total=len(wanted))
        futures: dict[Future[Found], Task] = {pool.submit(carry_out, *task): task for task in wanted}
        for future in as_completed(futures):
            results[futures[future]] = future.result()
            progress.advance(shown)
    return results


def said(found: Found) -> str:
    if found.failed:
        return f"not carried out: {found.failed}"
    first = "".join(f"; {rule}: {text}" for rule, text in found.first.items())
    return (first or "".join(f"; log: {fault}" for fault in found.faults[:1]))[2:]


def show(rows: Sequence[Row], results: dict[Task, Found], console: Console) -> int:
    """Print the table; returns how many rows or plays are not as they must be."""
    table = Table(title="guards taken out")
    for name in ("guard", "where", "play", "seeds", "found", "by", "least to most"):
        table.add_column(name, overflow="fold")
    bad: list[str] = []
    for row in rows:
        scenarios = dict.fromkeys(play.scenario for play in row.plays)
        for number, scenario in enumerate(scenarios):
            plays = [play for play in row.plays if play.scenario == scenario]
            figures: list[float] = []
            for play in plays:
                with_it, without = results[play, ()], results[play, row.out]
                figures.append(-1.0 if without.failed else row.measure(with_it, without))
                if without.failed:
                    bad.append(f"{row.name}: {scenario}, seed {play.seed}: {said(without)}")
            found = sum(figure >= row.least for figure in figures)
            if found < len(plays):
                bad.append(f"{row.name}: {scenario}: found in {found} of {len(plays)}")
            colour = "green" if found == len(plays) else "red"
            table.add_row(
                row.name if not number else "", row.where if not number else "", scenario,
                ",".join(str(play.seed) for play in plays), f"[{colour}]{found} of {len(plays)}[/]",
                row.by, f"{min(figures):.3g} to {max(figures):.3g}",
            )  # fmt: skip
    references = {play for row in rows for play in row.plays}
    dirty = 0
    for play in sorted(references, key=str):
        found_there = results[play, ()]
        if found_there.breaches or found_there.failed or found_there.faults:
            dirty += 1
            bad.append(f"{play.scenario}, seed {play.seed}, with all guards: {said(found_there)}")
    console.print(table)
    console.print(f"{len(references) - dirty} of {len(references)} plays find nothing with all guards in place")
    colds = [results[play, ()].worst_cold for play in references if results[play, ()].worst_cold]
    if colds:
        console.print(f"cold boxes were sent {min(colds):.0%} to {max(colds):.0%} of what pushes them over")
    for line in bad:
        console.print(line, style="red", highlight=False, markup=False)
    return len(bad)


def show_tests(verdicts: Sequence[Verdict], wrong: str, console: Console) -> int:
    """Print which rows' tests notice; returns how many do not, and one more if anything was wrong with all guards."""
    table = Table(title="guards taken out of scripted tests")
    for name in ("guard", "where", "test", "found"):
        table.add_column(name, overflow="fold")
    for verdict in verdicts:
        for number, test in enumerate(verdict.row.tests):
            found = not verdict.said and test not in verdict.unnoticed
            table.add_row(
                verdict.row.name if not number else "", verdict.row.where if not number else "",
                test.removeprefix("tests/"), "[green]yes[/]" if found else "[red]no[/]",
            )  # fmt: skip
    console.print(table)
    lost = [verdict for verdict in verdicts if not verdict.found]
    for verdict in lost:
        said = verdict.said or f"passes without it: {', '.join(verdict.unnoticed)}"
        console.print(f"{verdict.row.name}: {said}", style="red", highlight=False, markup=False)
    if wrong:
        console.print(wrong, style="red", highlight=False, markup=False)
    console.print(f"{len(verdicts) - len(lost)} of {len(verdicts)} guards are found by their tests")
    return len(lost) + bool(wrong)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    about = "a part that takes a minute: the rows found most surely, one seed"
    parser.add_argument("--quick", action="store_true", help=about)
    parser.add_argument("--tests", action="store_true", help="the scripted tests alone, no play")
    parser.add_argument("--only", default="", metavar="NAME,...", help="these rows alone")
    parser.add_argument("--seeds", metavar="N|N-M", help="in place of the table's own")
    parser.add_argument("--workers", type=int, default=max(1, (os.cpu_count() or 1) // 3))
    parser.add_argument("--json", type=Path)
    parser.add_argument("--list", action="store_true", help="name the rows")
    options = parser.parse_args()
    console = Console()
    if options.list:
        for row in ROWS:
            console.print(f"[bold]{row.name:28}[/] {row.holds} ({row.where})", highlight=False)
        return 0
    try:
        rows = choose(options.only, options.quick, parse_seeds(options.seeds) if options.seeds else None)
    except ValueError as error:
        print(f"guards: {error}", file=sys.stderr)
        return 2
    assert all(name in GUARDS for row in ROWS for name in row.out)
    assert all(row.plays or row.tests for row in ROWS)
    if options.tests:
        return 1 if show_tests(*carry_out_tests(rows, len(os.sched_getaffinity(0))), console) else 0
    tasks = [(play, out) for row in rows for play in row.plays for out in ((), row.out)]
    results = carry_out_all(tasks, options.workers, console)
    bad = show(rows, results, console)
    if not options.quick:
        bad += show_tests(*carry_out_tests(rows, len(os.sched_getaffinity(0))), console)
    if options.json is not None:
        found = [{"play": asdict(play), "out": list(out)} | asdict(result) for (play, out), result in results.items()]
        options.json.write_text(json.dumps(found, indent=1) + "\n")
    return 1 if bad else 0


if __name__ == "__main__":
    raise SystemExit(main())
