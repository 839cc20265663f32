"""Compares fleets of 2, 8 and 32 real gateways under the same load and the same faults.

    .venv-dev/bin/python -m benchmarks.many [--gateways 2,8,32] [--seeds 1-3] [--scenario many] [--sharing off,on]
        [--json FILE]

Scenario runs follow one another; nothing else should run on the machine. Each row shows service weighted by worth,
the share of searches in time, p99 of transfers and the maximum of connections at a backend; then, as seen by the
backends over the whole run, requests that ended with an error, requests that were given up (cancelled, or the backend
hung or crashed) and attempts per request.

Exit code: 0 without violations, 1 otherwise, 2 if an option is invalid.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
from collections.abc import Sequence
from dataclasses import asdict, dataclass, replace
from pathlib import Path

import uvloop
from rich.console import Console
from rich.table import Table

from benchmarks.guards.__main__ import parse_seeds
from standins.checker import Checker
from standins.event_log import BackendAttempt, EventLog
from standins.playing.scenario import load_scenario
from standins.playing.runner import run_scenario
from standins.showing.summary import summarise


@dataclass(slots=True)
class Row:
    """Result of one scenario run; the field names are the keys of the JSON file.

    `service` and `searches` are shares from 0 to 1, `p99_transfer` is in ms, `cpu_us` in microseconds, `attempts` is
    per request; the others are counts.
    """

    gateways: int
    sharing: bool
    seed: int
    service: float
    searches: float
    p99_transfer: float
    connections: float
    errors: int
    given_up: int
    attempts: float
    cpu_us: float
    breaches: int


def count_failed_attempts(event_log: EventLog) -> tuple[int, int]:
    """Counts the attempts at backends that ended with an error, and those that were given up or never ended."""
    outcomes = [attempt.how for attempt in event_log.events_of(BackendAttempt) if attempt.received_us]
    return outcomes.count("error"), sum(
        outcome in ("cancelled", "crashed", "waiting", "running") for outcome in outcomes
    )


def measure(scenario: str, gateways: int, sharing: bool, seed: int) -> Row:
    """Runs the scenario once with this number of gateways, with or without sharing, and checks its event log."""
    variant = replace(load_scenario(scenario), gateways=gateways, sharing=sharing)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        environment = runner.run(run_scenario(variant, seed))
    checker = Checker(environment.event_log)
    violations = checker.find_violations()
    summary = summarise(checker, scenario, seed, environment.seconds)
    errors, given_up = count_failed_attempts(environment.event_log)
    attempt_count = sum(1 for attempt in environment.event_log.events_of(BackendAttempt) if attempt.received_us)
    request_count = len(
        {attempt.id for attempt in environment.event_log.events_of(BackendAttempt) if attempt.received_us}
    )
    return Row(
        gateways, sharing, seed, summary.service, summary.classes["search"].service, summary.classes["transfer"].p99,
        summary.connections, errors, given_up, attempt_count / max(1, request_count), summary.cpu_us,
        len(violations) + len(environment.logged_defects),
    )  # fmt: skip


def print_table(rows: Sequence[Row], console: Console) -> None:
    """Prints a table with a row for each number of gateways and sharing option."""
    table = Table(title="the same faults with few and with many gateways")
    columns = ("gateways", "sharing", "service", "mean", "searches", "p99 transfer", "connections", "errors",
               "given up", "attempts", "CPU us")  # fmt: skip
    for column in columns:
        table.add_column(column, justify="right")
    for key in dict.fromkeys((row.gateways, row.sharing) for row in rows):
        group = [row for row in rows if (row.gateways, row.sharing) == key]
        table.add_row(
            str(key[0]), "on" if key[1] else "off", " ".join(f"{row.service:.3f}" for row in group),
            f"{statistics.mean(row.service for row in group):.3f}",
            f"{statistics.mean(row.searches for row in group):.1%}",
            f"{statistics.mean(row.p99_transfer for row in group):.0f}",
            f"{statistics.mean(row.connections for row in group):.0f}",
            f"{statistics.mean(row.errors for row in group):.0f}",
            f"{statistics.mean(row.given_up for row in group):.0f}",
            f"{statistics.mean(row.attempts for row in group):.3f}",
            f"{statistics.mean(row.cpu_us for row in group):.0f}",
        )  # fmt: skip
    console.print(table)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--gateways", default="2,8,32")
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--scenario", default="many")
    parser.add_argument("--sharing", default="off,on")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    console = Console()
    try:
        gateway_counts = [int(text) for text in options.gateways.split(",")]
        seeds = parse_seeds(options.seeds)
    except ValueError as error:
        print(f"many: {error}", file=sys.stderr)
        return 2
    rows = []
    for seed in seeds:  # the variants alternate, so that a machine that becomes slower affects all of them
        for gateway_count in gateway_counts:
            for text in options.sharing.split(","):
                row = measure(options.scenario, gateway_count, text == "on", seed)
                rows.append(row)
                console.print(f"{row}", highlight=False)
    print_table(rows, console)
    if options.json is not None:
        options.json.write_text(json.dumps([asdict(row) for row in rows], indent=1) + "\n")
    return 1 if any(row.breaches for row in rows) else 0


if __name__ == "__main__":
    raise SystemExit(main())
