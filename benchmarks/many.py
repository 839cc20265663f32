"""What it costs that gateways are many: one load and the same troubles before 2, 8 and 32 real gateways.

    .venv-dev/bin/python -m benchmarks.many [--gateways 2,8,32] [--seeds 1-3] [--scenario many] [--sharing off,on]
        [--json FILE]

One play at a time: it wants the machine to itself. By row: service by worth, searches in time, p99 of transfers,
connections at a box at the most; then what boxes saw over the whole play: requests that they answered with an error,
that were given up there (cancelled, or the box hung or crashed), and attempts a request.

Exit code 0: no rule was broken; 1 otherwise.
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
    """One play. Shares from 0 to 1, times in milliseconds, the rest are counts."""

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


def lost(ledger: EventLog) -> tuple[int, int]:
    """Runs at boxes that ended with an error, and that were given up or never ended."""
    hows = [run.how for run in ledger.events_of(BackendAttempt) if run.received_us]
    return hows.count("error"), sum(how in ("cancelled", "crashed", "waiting", "running") for how in hows)


def measure(scenario: str, gateways: int, sharing: bool, seed: int) -> Row:
    made = replace(load_scenario(scenario), gateways=gateways, sharing=sharing)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        world = runner.run(run_scenario(made, seed))
    checker = Checker(world.event_log)
    breaches = checker.find_violations()
    found = summarise(checker, scenario, seed, world.seconds)
    errors, given_up = lost(world.event_log)
    sent = sum(1 for run in world.event_log.events_of(BackendAttempt) if run.received_us)
    requests = len({run.id for run in world.event_log.events_of(BackendAttempt) if run.received_us})
    return Row(
        gateways, sharing, seed, found.service, found.classes["search"].service, found.classes["transfer"].p99,
        found.connections, errors, given_up, sent / max(1, requests), found.cpu_us,
        len(breaches) + len(world.logged_defects),
    )  # fmt: skip


def show(rows: Sequence[Row], console: Console) -> None:
    table = Table(title="the same troubles before few gateways and many")
    names = ("gateways", "sharing", "service", "mean", "searches", "p99 transfer", "connections", "errors",
             "given up", "attempts", "CPU us")  # fmt: skip
    for name in names:
        table.add_column(name, justify="right")
    for key in dict.fromkeys((row.gateways, row.sharing) for row in rows):
        of = [row for row in rows if (row.gateways, row.sharing) == key]
        table.add_row(
            str(key[0]), "on" if key[1] else "off", " ".join(f"{row.service:.3f}" for row in of),
            f"{statistics.mean(row.service for row in of):.3f}",
            f"{statistics.mean(row.searches for row in of):.1%}",
            f"{statistics.mean(row.p99_transfer for row in of):.0f}",
            f"{statistics.mean(row.connections for row in of):.0f}",
            f"{statistics.mean(row.errors for row in of):.0f}", f"{statistics.mean(row.given_up for row in of):.0f}",
            f"{statistics.mean(row.attempts for row in of):.3f}", f"{statistics.mean(row.cpu_us for row in of):.0f}",
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
        counts = [int(word) for word in options.gateways.split(",")]
        seeds = parse_seeds(options.seeds)
    except ValueError as error:
        print(f"many: {error}", file=sys.stderr)
        return 2
    rows = []
    for seed in seeds:  # side by side in time: a machine that slows down slows them all
        for count in counts:
            for word in options.sharing.split(","):
                row = measure(options.scenario, count, word == "on", seed)
                rows.append(row)
                console.print(f"{row}", highlight=False)
    show(rows, console)
    if options.json is not None:
        options.json.write_text(json.dumps([asdict(row) for row in rows], indent=1) + "\n")
    return 1 if any(row.breaches for row in rows) else 0


if __name__ == "__main__":
    raise SystemExit(main())
