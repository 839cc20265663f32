"""Measure goodput against offered load, with hosts that slow down under overload (docs/overload-picture.md).

    python -m benchmarks.overload picture [--gateways 2,8,32] [--seeds 1-3] [--step S] [--json FILE] [--quick]
        [--hosts N] [--cores N] [--honour 0..1] [--retries N] [--attempts N] [--no-copies] [--sharing]
        [--law off | key=value,...]

Runs real gateways in front of hosts of known capacity. Loads are relative to that capacity: 0.9 while the gateways
have no state yet, then steps of 0.6, 0.9, 1.2, 1.6, 2.5 and 4, the same steps downwards, then a surge to 4 and a
return to 0.6. Each row shows, as observed by clients and hosts: good responses per second, the share of operations
served, the use of the hosts' core time, requests per operation and attempts per request; and from the gateways' logs
the reasons of rejections. `--quick` is for CI: two gateways, one seed, less than a minute.

A row is void if the machine may have been the limit. Exit code 0: no row is void and no defect was found; 1: some row
is void or a defect was found; 2: invalid arguments. The requirements of issue 34 are printed beside the figures and
do not affect the exit code.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import fields, replace
from pathlib import Path
from statistics import mean
from typing import Any, Final

from rich.console import Console
from rich.table import Table

from benchmarks.guards.__main__ import parse_seeds
from benchmarks.overload.account import Row
from benchmarks.overload.plan import LOADS, RunSettings, make_steps
from benchmarks.overload.runner import RunResult, run_overload
from cloverkeel.balancing import BUILD
from standins.parties.overload_model import OverloadModel

DEFAULT_STEP_S, QUICK_STEP_S = 6.0, 3.0
COLUMNS: Final = (
    "step", "offered", "good", "served", "useful", "(from, to)", "slowed", "copies", "lost", "nobody", "idle", "held",
    "choked", "refused", "t/o", "host t/o", "tries", "sent", "runs", "shed", "why",
)  # fmt: skip
MAX_GATEWAYS: Final = 64
MAX_HOSTS, MAX_CORES = 64, 16
MIN_RECOVERY_STEP_S: Final = 8.0  # recovery may take three seconds, and two more are needed to detect it


def parse_overload_model(text: str) -> OverloadModel | None:
    """Parse "off" or key=value pairs of OverloadModel's fields. The message of ValueError states what is expected."""
    if text == "off":
        return None
    model, type_by_field = (
        OverloadModel(),
        {each.name: type(getattr(OverloadModel(), each.name)) for each in fields(OverloadModel)},
    )
    for setting in filter(None, text.split(",")):
        name, _, value = setting.partition("=")
        if name not in type_by_field:
            raise ValueError(f"--law: {name!r}: expected one of {', '.join(type_by_field)}")
        try:
            parsed = {"yes": True, "no": False}[value] if type_by_field[name] is bool else type_by_field[name](value)
        except (ValueError, KeyError):
            expected = "yes or no" if type_by_field[name] is bool else "a number"
            raise ValueError(f"--law: {name}: expected {expected}, found {value!r}") from None
        if not isinstance(parsed, bool) and parsed < 0:
            raise ValueError(f"--law: {name}: expected at least 0, found {value!r}")
        model = replace(model, **{name: parsed})
    return model


def measurement_conditions() -> dict[str, Any]:
    """Return the commit, time and machine state that the report states beside the figures."""
    git_output = subprocess.run(
        ("git", "describe", "--always", "--dirty"), capture_output=True, text=True, cwd=Path(__file__).parent
    )
    return {
        "commit": git_output.stdout.strip() or "unknown", "date": time.strftime("%Y-%m-%d %H:%M", time.gmtime()),
        "cores": os.cpu_count(), "load": round(os.getloadavg()[0], 2), "build": BUILD,
    }  # fmt: skip


def rows_of_step(results: Sequence[RunResult], index: int) -> list[Row]:
    """Return the rows of one step of several runs."""
    return [result.steps[index] for result in results]


def print_results(results: Sequence[RunResult], console: Console) -> None:
    """Print the figures and findings by number of gateways, then void rows and defects."""
    for count in sorted({result.settings.gateways for result in results}):
        runs = [result for result in results if result.settings.gateways == count]
        table = Table(
            title=f"{count} gateways, {runs[0].capacity_per_s:.0f} requests a second at the hosts, {len(runs)} seeds"
        )
        for name in COLUMNS:
            table.add_column(name, justify="left" if name in ("step", "why") else "right")
        for index, first in enumerate(runs[0].steps):
            rows = rows_of_step(runs, index)

            def average(name: str, rows: Sequence[Row] = rows) -> float:
                return mean(float(getattr(row, name)) for row in rows)

            useful = [row.useful for row in rows]
            rate_by_reason = {
                reason: mean(row.why.get(reason, 0.0) for row in rows) for row in rows for reason in row.why
            }
            table.add_row(
                first.name + ("*" if any(row.void for row in rows) else ""), f"{average('offered'):.0f}",
                f"{average('good'):.0f}", f"{average('served'):.1%}", f"{mean(useful):.3f}",
                f"{min(useful):.3f} {max(useful):.3f}", f"{average('slowed'):.3f}", f"{average('copy'):.3f}",
                f"{average('lost'):.3f}", f"{average('nobody'):.3f}", f"{average('idle'):.3f}",
                f"{average('held'):.1f}", f"{average('choked'):.2f}", f"{average('refused'):.0f}",
                f"{average('timeouts'):.0f}", f"{average('host_timeouts'):.0f}", f"{average('tries'):.2f}",
                f"{average('arrived'):.0f}", f"{average('runs'):.3f}",
                f"{average('shed'):.2f} {average('shed_dear'):.2f}",
                " ".join(f"{name} {rate:.0f}" for name, rate in sorted(rate_by_reason.items(), key=lambda i: -i[1])),
            )  # fmt: skip
        console.print(table)
        findings_table = Table(title=f"{count} gateways: requirements under overload, by seed")
        for name in ("what", "wanted", "found"):
            findings_table.add_column(name)
        for what in dict.fromkeys(finding.what.partition(" (")[0] for result in runs for finding in result.findings):
            findings = [f for result in runs for f in result.findings if f.what.partition(" (")[0] == what]
            cells = [f"{f.found:.3f}{'' if f.holds else ' no'}{' void' if f.void else ''}" for f in findings]
            findings_table.add_row(what, findings[0].wanted, ", ".join(cells))
        console.print(findings_table)
    for result in results:
        for row in result.steps:
            for reason in row.void:
                console.print(
                    f"void: {result.settings.gateways} gateways, seed {result.settings.seed}, {row.name}: {reason}"
                )
        for defect in result.defects:
            console.print(
                f"fault: {result.settings.gateways} gateways, seed {result.settings.seed}: {defect}", markup=False
            )


def parse_arguments(arguments: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="benchmarks.overload", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("picture",))
    parser.add_argument("--gateways", default="2,8,32")
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--cores", type=int, default=2, help="cores of each host")
    parser.add_argument("--step", type=float, default=DEFAULT_STEP_S, metavar="S", help="seconds of each step")
    parser.add_argument("--json", type=Path)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--honour", type=float, default=0.7, help="share of clients that obey Retry-After")
    parser.add_argument("--retries", type=int, default=2, help="maximum of a client per operation")
    parser.add_argument("--attempts", type=int, default=6, help="maximum of a gateway per request")
    parser.add_argument("--no-copies", action="store_true", help="no concurrent attempts of a request")
    parser.add_argument("--sharing", action="store_true", help="gateways share their observations of hosts")
    parser.add_argument(
        "--law",
        default="",
        help="overload model of the hosts (standins/parties/overload_model.py): off, or key=value,...",
    )
    return parser.parse_args(arguments)


def plan_runs(options: argparse.Namespace) -> list[RunSettings]:
    """Return the settings of all runs. Raises ValueError for invalid options.

    Numbers of gateways alternate within a seed, so that a machine that slows down over time affects all of them.
    """
    if options.quick:
        options.gateways, options.seeds, options.step = "2", "1", QUICK_STEP_S
    try:
        counts = [int(word) for word in options.gateways.split(",")]
    except ValueError:
        raise ValueError(f"--gateways: expected whole numbers, found {options.gateways!r}") from None
    if not all(1 <= count <= MAX_GATEWAYS for count in counts):
        raise ValueError(f"--gateways: expected 1 to {MAX_GATEWAYS}, found {options.gateways!r}")
    if not (1 <= options.hosts <= MAX_HOSTS and 1 <= options.cores <= MAX_CORES):
        raise ValueError(f"--hosts, --cores: expected 1 to {MAX_HOSTS} and 1 to {MAX_CORES}")
    if not 1 <= options.step <= 60:
        raise ValueError(f"--step: expected 1 to 60 seconds, found {options.step:g}")
    if not 0 <= options.honour <= 1:
        raise ValueError(f"--honour: expected 0 to 1, found {options.honour:g}")
    if not 0 <= options.retries <= 20:
        raise ValueError(f"--retries: expected 0 to 20, found {options.retries}")
    if not 1 <= options.attempts <= 20:
        raise ValueError(f"--attempts: expected 1 to 20, found {options.attempts}")
    overload_model = parse_overload_model(options.law)
    recovery_step_s = MIN_RECOVERY_STEP_S if not options.quick else MIN_RECOVERY_STEP_S - 2
    steps = tuple(make_steps(LOADS, options.step, options.step, max(recovery_step_s, options.step)))
    return [
        RunSettings(
            count, seed, steps, options.hosts, options.cores, overload_model, options.honour, options.retries,
            options.attempts, not options.no_copies, options.sharing,
        )
        for seed in parse_seeds(options.seeds) for count in counts
    ]  # fmt: skip


def main(arguments: Sequence[str]) -> int:
    """Run all planned overloads, and print and write their figures."""
    options, console = parse_arguments(arguments), Console(width=int(os.environ.get("COLUMNS", "220")))
    try:
        planned_runs = plan_runs(options)
    except ValueError as error:
        print(f"overload: {error}", file=sys.stderr)
        return 2
    conditions, results = measurement_conditions(), list[RunResult]()
    console.print(f"{conditions}", highlight=False)
    for settings in planned_runs:
        results.append(run_overload(settings))
        console.print(f"completed: {settings.gateways} gateways, seed {settings.seed}", highlight=False)
        if options.json is not None:
            report = {"conditions": conditions, "plays": [result.as_json() for result in results]}
            options.json.write_text(json.dumps(report, separators=(",", ":")) + "\n")
    print_results(results, console)
    return (
        1
        if any(row.void for result in results for row in result.steps) or any(result.defects for result in results)
        else 0
    )


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
