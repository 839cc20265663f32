"""The scale run: measures a fleet as close to the planned size as one machine allows (issue 42).

    python -m benchmarks.capacity run [--json FILE] [--small] [--relays N] [--near] [--gateways N] [--hosts N]
                                      [--steps A,B]

Simulated gateways (simulated_gateways.py), several per process, run beside real gateways that serve the plan's load.
The emulated discovery service, hosts and clients surround them. Control-plane relays stand between the gateways and
discovery, 12 by default (`--relays 0`: each gateway calls discovery and holds the whole list). The run measures three
sizes, each ten times the previous one. The largest is as close to the plan's as memory and `--cores` allow, and the
run prints what limits it. `--near`: gateways are configured with the relays of their own region only. `--small` is
for CI: one size without relays and one with four regional relays, in under a minute.

One clock measures how long a change at discovery takes to reach the LAST gateway that must receive it (a gateway that
holds the hosts; for hosts that return, one that held them before), the bytes and calls at the simulated gateways'
sockets, and what clients of the real gateways receive meanwhile. Memory, processes and time are limited and printed,
and the run ends by itself.

Exit code 0: every change reached every gateway that must receive it, no request was lost or failed, no drain was
late, simulated gateways cost what real ones do, and the run stayed within its limits. 1 otherwise. Figures beyond the
plan's limits are marked and are not a failure, as the run exists to show them. 2: invalid arguments.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any, Final

import uvloop
from rich.console import Console
from rich.table import Table

from benchmarks.capacity.plan import PLAN
from benchmarks.capacity.run_processes import WorkerError, raise_descriptor_limit
from benchmarks.capacity.run_sizes import MAX_MEMORY_MB, Size, estimate_held_hosts, fit_size
from benchmarks.capacity.run_steps import STEPS, Step
from benchmarks.capacity.run_environment import Environment
from cloverkeel.balancing import BUILD

MAX_RUN_S: Final = 470.0  # limit of a whole run
MAX_SMALL_RUN_S: Final = 58.0
SHUTDOWN_RESERVE_S: Final = 8.0  # part of the run's time that is kept for shutdown
SIZE_SHARES: Final = (0.01, 0.1, 1.0)  # shares of the largest size
SMALL_SIZES: Final = ((8, 60, 0), (24, 240, 4))  # gateways, hosts, relays
MIN_RELAYS: Final = 2
MIN_GATEWAYS_PER_RELAY: Final = 16  # a smaller size gets fewer relays than requested, down to this
REAL_GATEWAYS: Final = 2  # real gateways at each size, with which simulated ones are compared
SMALL_RUN_TIME_SCALE: Final = 0.15  # factor on the duration of a step
REPORT_INTERVAL_S: Final = 10.0  # between two lines about memory and remaining time
MAX_COST_DEVIATION: Final = 0.10  # allowed difference between the costs of a simulated and a real gateway


def plan_sizes(options: argparse.Namespace) -> list[Size]:
    """The sizes to measure, the smallest first."""
    if options.small:
        requested_sizes = list(SMALL_SIZES)
    else:
        gateways, hosts, relays = options.gateways, options.hosts, options.relays
        requested_sizes = [
            (max(REAL_GATEWAYS + 4, round(gateways * share)), max(60, round(hosts * share)), relays)
            for share in SIZE_SHARES
        ]
    sizes = []
    for gateways, hosts, relays in requested_sizes:
        # With regional relays each region needs two: if one is killed, its gateways must not fall back to discovery.
        min_relays = MIN_RELAYS * (PLAN.regions if options.near else 1)
        relays = min(relays, max(min_relays, gateways // MIN_GATEWAYS_PER_RELAY))

        def held_hosts(count: int, hosts: int = hosts, relays: int = relays) -> float:
            return estimate_held_hosts(count, hosts) if relays else float(hosts)

        sizes.append(fit_size(gateways, hosts, REAL_GATEWAYS, relays, held_hosts, options.cores))
    return sizes


class ScaleRun:
    """Runs all sizes in turn and collects their rows and faults."""

    def __init__(self, options: argparse.Namespace, console: Console) -> None:
        self.options, self.console = options, console
        self.max_run_s = MAX_SMALL_RUN_S if options.small else MAX_RUN_S
        self.deadline_s = time.monotonic() + self.max_run_s - SHUTDOWN_RESERVE_S
        self.rows: list[dict[str, Any]] = []
        self.faults: list[str] = []
        self.peak_mb = 0.0

    @property
    def remaining_s(self) -> float:
        """Time left before the shutdown reserve begins."""
        return self.deadline_s - time.monotonic()

    def print_line(self, text: str) -> None:
        """Print a line as it is, without markup."""
        self.console.print(text, highlight=False, markup=False)

    async def run_all_sizes(self) -> None:
        """Stop when time or memory runs out, in whatever step; the rows measured so far stay."""
        try:
            async with asyncio.timeout(max(1.0, self.remaining_s)):
                for size in plan_sizes(self.options):
                    await self.run_size(size)
        except TimeoutError:
            self.faults.append(f"not all steps were run within {self.max_run_s:.0f} s")
        except (WorkerError, RuntimeError, OSError) as error:
            self.faults.append(f"{error}")

    async def run_size(self, size: Size) -> None:
        """Start the processes of one size, run its steps and stop the processes."""
        self.print_line(
            f"{size.gateways} gateways ({size.simulated} simulated in {size.worker_processes} processes, "
            f"{size.real} real), {size.hosts} hosts ({size.share:.3f} of the plan's), {size.relays} relays; "
            f"limited by {size.limited_by}"
        )
        time_scale = SMALL_RUN_TIME_SCALE if self.options.small else 1.0
        with tempfile.TemporaryDirectory() as folder:
            environment = Environment(size, Path(folder), self.options.seed, time_scale, self.options.near)
            memory_watch = asyncio.create_task(self.watch_memory(environment, asyncio.current_task()))
            try:
                started_s = time.monotonic()
                await environment.start()
                self.print_line(f"  .. started in {time.monotonic() - started_s:.1f} s")
                for step in self.select_steps(size):
                    if self.remaining_s < step.duration_s * time_scale:
                        self.faults.append(f"{size.gateways} gateways: {step.name}: not run, no time is left")
                        continue
                    await self.run_step(environment, step)
            finally:
                memory_watch.cancel()
                await environment.close()
            self.faults += environment.log_defects()

    def select_steps(self, size: Size) -> list[Step]:
        """The steps for this size; at the smaller sizes of a full run only those that show how a cost grows."""
        requested, is_small, is_largest = self.options.steps, self.options.small, size.hosts >= self.options.hosts
        return [
            step for step in STEPS
            if (step.name in requested if requested
                else step.small_run_level > (not size.relays) if is_small else step.at_every_size or is_largest)
            and (size.relays or not step.needs_relays)
        ]  # fmt: skip

    async def run_step(self, environment: Environment, step: Step) -> None:
        """Run a step, keep and check its row, and print a line about it."""
        row = await environment.measure(step)
        self.rows.append(row)
        self.check_row(row)
        text = ", ".join(f"{key} {value}" for key, value in row.items() if key in PRINTED_KEYS and value is not None)
        self.print_line(f"  {row['step']}: {text}")

    def check_row(self, row: dict[str, Any]) -> None:
        """Add a fault for each criterion that the row violates; the criteria hold at any size."""
        location = f"{row['gateways']} gateways: {row['step']}"
        if row["missing"]:
            self.faults.append(f"{location}: {row['missing']} gateways did not receive a change: {row['some']}")
        if row.get("missing_while_cut"):
            self.faults.append(
                f"{location}: {row['missing_while_cut']} did not receive a change of their own half: {row['some']}"
            )
        if row.get("undone"):
            self.faults.append(
                f"{location}: {row['undone']} gateways received a host that had left as serving: {row['some']}"
            )
        if row.get("emptied"):
            self.faults.append(f"{location}: {row['emptied']} lists left a gateway without a host")
        for key, outcome in (("lost", "lost"), ("failed", "failed")):
            if row[key]:
                self.faults.append(f"{location}: {row[key]} requests {outcome}")
        if row["late_sends"]:
            self.faults.append(f"{location}: {row['late_sends']} requests reached hosts that had left")
        for key in ("calls_to_real", "bytes_to_real"):
            ratio = row.get(key)
            if ratio is not None and abs(ratio - 1) > MAX_COST_DEVIATION:
                self.faults.append(f"{location}: a simulated gateway costs {ratio:.2f} times a real one ({key})")

    async def watch_memory(self, environment: Environment, run_task: asyncio.Task[Any] | None) -> None:
        """Check the memory of all processes together; end the run if it exceeds the limit."""
        next_report_s = 0.0
        while True:
            used_mb = environment.measure_memory_mb()
            self.peak_mb = max(self.peak_mb, used_mb)
            if time.monotonic() >= next_report_s:
                next_report_s = time.monotonic() + REPORT_INTERVAL_S
                self.print_line(
                    f"  .. {used_mb:.0f} of {MAX_MEMORY_MB} MB, {environment.count_processes()} processes, "
                    f"{self.remaining_s:.0f} s left"
                )
            if used_mb > MAX_MEMORY_MB and run_task is not None:
                self.faults.append(f"{used_mb:.0f} MB of {MAX_MEMORY_MB} in use: the run was cancelled")
                run_task.cancel()
                return
            await asyncio.sleep(1.0)

    def as_json(self) -> dict[str, Any]:
        """The run's report, as written to the file of `--json`."""
        return {
            "plan": asdict(PLAN), "build": BUILD, "cores": os.cpu_count(),
            "memory_bound_mb": MAX_MEMORY_MB, "memory_peak_mb": round(self.peak_mb), "faults": self.faults,
            "seconds": round(self.max_run_s - SHUTDOWN_RESERVE_S - self.remaining_s, 1), "steps": self.rows,
        }  # fmt: skip


PRINTED_KEYS: Final = (
    "last_s", "p99_s", "limit_s", "had", "bytes_per_s", "calls_per_s", "cpu_share", "stop_ms", "relay_stop_ms",
    "hollow_busy", "lost", "starved", "added_p99_ms", "direct_p99_ms", "last_send_s",
    "calls_to_real", "bytes_to_real", "refused", "had_while_cut", "missing_while_cut", "moved_while_cut",
    "last_while_cut_s", "undone", "kills", "kill_stop_ms",
)  # fmt: skip
TABLE_COLUMNS: Final = (
    ("gateways", "gateways"), ("hosts", "hosts"), ("step", "step"), ("last gateway s", "last_s"),
    ("limit", "limit_s"), ("p50 s", "p50_s"), ("p99 s", "p99_s"), ("received by", "had"),
    ("B/s each", "bytes_per_s"), ("calls/s", "calls_per_s"), ("core each", "cpu_share"),
    ("apply ms", "apply_ms"), ("simulated stall ms", "stop_ms"),
    ("relay stall ms", "relay_stop_ms"), ("MB each", "hollow_mb"), ("MB all", "all_mb"),
    ("added p99 ms", "added_p99_ms"), ("direct", "direct_p99_ms"),
    ("lost", "lost"), ("starved", "starved"), ("refused", "refused"), ("drain s", "last_send_s"),
)  # fmt: skip


def print_table(rows: Sequence[dict[str, Any]], console: Console) -> None:
    """Print one line per row; a row beyond the plan's limit is bold."""
    table = Table(title="the scale run: each step at each size")
    for title, _ in TABLE_COLUMNS:
        table.add_column(title, justify="right")
    for row in rows:
        cells = ["" if row.get(key) is None else str(row[key]) for _, key in TABLE_COLUMNS]
        exceeds_limit = row["limit_s"] is not None and row["last_s"] is not None and row["last_s"] > row["limit_s"]
        table.add_row(*cells, style="bold" if exceeds_limit else "")
    console.print(table)


def parse_arguments(arguments: Sequence[str]) -> argparse.Namespace:
    """The options of the command line; exits with code 2 if one is invalid."""
    parser = argparse.ArgumentParser(
        "python -m benchmarks.capacity run", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--json", type=Path)
    parser.add_argument("--small", action="store_true")
    parser.add_argument("--relays", type=int, default=PLAN.control_machines, metavar="N")
    parser.add_argument("--gateways", type=int, default=PLAN.gateways, metavar="N")
    parser.add_argument("--hosts", type=int, default=PLAN.hosts, metavar="N")
    parser.add_argument(
        "--near", action="store_true", help="configure gateways with the relays of their own region only"
    )
    parser.add_argument("--steps", default="", metavar="NAME,...", help=", ".join(step.name for step in STEPS))
    half_of_cores = max(1.0, (os.cpu_count() or 2) / 2)
    parser.add_argument(
        "--cores",
        type=float,
        default=half_of_cores,
        help="processor budget of simulated gateways and relays while nothing changes",
    )
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    options.near |= options.small
    options.steps = [name for name in options.steps.split(",") if name]
    known_steps = [step.name for step in STEPS]
    for name in options.steps:
        if name not in known_steps:
            parser.error(f"--steps: {name}: expected some of {', '.join(known_steps)}")
    if options.relays != 0 and not MIN_RELAYS <= options.relays <= PLAN.control_machines:
        parser.error(f"--relays: expected 0, or {MIN_RELAYS} to {PLAN.control_machines}; found {options.relays}")
    if not REAL_GATEWAYS + 4 <= options.gateways <= PLAN.gateways or not 60 <= options.hosts <= PLAN.hosts:
        parser.error(f"--gateways, --hosts: expected {REAL_GATEWAYS + 4} to {PLAN.gateways}, and 60 to {PLAN.hosts}")
    return options


def main(arguments: Sequence[str]) -> int:
    """Run the command and return its exit code (see the module docstring)."""
    options = parse_arguments(arguments)
    console = Console(width=None if sys.stdout.isatty() else 220)
    raise_descriptor_limit()
    run = ScaleRun(options, console)
    # Cancelled only by the memory check, which has recorded a fault.
    with contextlib.suppress(asyncio.CancelledError), asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run.run_all_sizes())
    print_table(run.rows, console)
    for fault in run.faults:
        run.print_line(f"FAULT: {fault}")
    if options.json is not None:
        options.json.write_text(json.dumps(run.as_json(), indent=1) + "\n")
    run.print_line(f"{'ended with faults' if run.faults else 'no faults'}; {BUILD}; peak memory {run.peak_mb:.0f} MB")
    return 1 if run.faults else 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
