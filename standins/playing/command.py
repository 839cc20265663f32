"""The command `cloverkeel try`: run a scenario against real gateways, check the rules and print the figures."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from collections.abc import Sequence
from pathlib import Path

import uvloop
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from standins.checker import Checker, Violation, find_violations
from standins.event_log import EventLog
from standins.playing.environment import Environment
from standins.playing.runner import run_scenario
from standins.showing.report import render
from standins.playing.scenario import Scenario, ScenarioError, load_scenario, scenario_names
from standins.showing.summary import Summary, summarise

MAX_SHOWN = 3  # violations, and logged defects, on the terminal; the files contain all


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="cloverkeel try",
        description="Run a scenario: emulated backends, registry, clients and network faults around real gateways.",
        epilog="Exit code: 0 no rule was violated; 1 a rule was violated, or a gateway logged a defect; "
        "2 the scenario or an option is not valid.",
    )
    parser.add_argument(
        "--scenario", default="tour", metavar="NAME|FILE", help="a name that --list shows, or a TOML file"
    )
    parser.add_argument("--seed", type=int, default=1, help="seed of the random loads and targets")
    parser.add_argument("--seconds", type=float, help="duration of the run; default: the scenario's own")
    parser.add_argument("--json", type=Path, metavar="FILE", help="write the figures to this file")
    parser.add_argument("--report", type=Path, metavar="FILE.html", help="write a page with plots to this file")
    parser.add_argument(
        "--ledger", type=Path, metavar="FILE", help="write the event log to this file, one event per line"
    )
    parser.add_argument(
        "--audit",
        type=Path,
        metavar="FILE",
        help="check an event log written by --ledger instead of running a scenario",
    )
    parser.add_argument("--list", action="store_true", help="list the scenarios")
    return parser


def main(arguments: Sequence[str]) -> int:
    """Run the command and return its exit code."""
    console = Console()
    options = build_parser().parse_args(arguments)
    try:
        if options.list:
            for name in scenario_names():
                console.print(f"[bold]{name:14}[/] {load_scenario(name).about}", highlight=False)
            return 0
        if options.audit is not None:
            return check_event_log(console, options.audit)
        if options.seconds is not None and not 1 <= options.seconds <= 600:
            raise ScenarioError(f"--seconds: expected a number from 1 to 600, found {options.seconds:g}")
        scenario = load_scenario(options.scenario)
        for path in (options.json, options.report, options.ledger):
            if path is not None and not path.absolute().parent.is_dir():
                raise ScenarioError(f"{path}: its folder does not exist")
    except (ScenarioError, ValueError, OSError) as error:
        print(f"cloverkeel: {error}", file=sys.stderr)
        return 2
    try:
        environment = run_with_progress(console, scenario, options.seed, options.seconds or scenario.seconds)
    except KeyboardInterrupt:
        print("cloverkeel: stopped; nothing is left running", file=sys.stderr)
        return 130
    except (RuntimeError, ValueError, OSError) as error:
        print(f"cloverkeel: the scenario run failed: {error}", file=sys.stderr)
        return 2
    checker = Checker(environment.event_log)
    violations = checker.find_violations()
    summary = summarise(checker, scenario.name, options.seed, environment.seconds)
    print_summary(console, summary, violations, environment.logged_defects)
    if options.json is not None:
        figures = summary.as_json() | {
            "found": [str(violation) for violation in violations],
            "faults": environment.logged_defects,
        }
        options.json.write_text(json.dumps(figures, indent=1) + "\n")
    if options.report is not None:
        options.report.write_text(render(environment.event_log, summary, violations, scenario.about))
    if options.ledger is not None:
        environment.event_log.dump(options.ledger)
    return 1 if violations or environment.logged_defects else 0


def check_event_log(console: Console, path: Path) -> int:
    """Check a written event log, print the violations and return the exit code."""
    violations = find_violations(EventLog.load(path))
    for violation in violations:
        console.print(str(violation), markup=False, highlight=False)
    console.print(f"{len(violations)} violations")
    return 1 if violations else 0


def run_with_progress(console: Console, scenario: Scenario, seed: int, seconds: float) -> Environment:
    """Run a scenario and show the progress on the terminal."""
    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console, transient=True) as progress:
        task = progress.add_task(f"{scenario.name}: starting", total=seconds)

        def on_environment(environment: Environment) -> None:
            def print_progress(text: str) -> None:
                progress.console.print(f"  {progress.tasks[0].completed:5.1f} s  {text}", highlight=False)

            environment.on_progress = print_progress

            async def update_progress() -> None:
                while not any(target.is_open for target in environment.connection_balancer.targets_by_name.values()):
                    await asyncio.sleep(0.05)
                progress.update(task, description=scenario.name)
                start_s = asyncio.get_running_loop().time()
                while True:
                    progress.update(task, completed=min(seconds, asyncio.get_running_loop().time() - start_s))
                    await asyncio.sleep(0.1)

            environment.spawn(update_progress())

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(run_scenario(scenario, seed, seconds, on_environment))


def print_summary(
    console: Console, summary: Summary, violations: Sequence[Violation], defects: Sequence[str]
) -> None:
    """Print the figures, the violations and the defects that gateways logged."""
    table = Table(title=f"{summary.scenario}, seed {summary.seed}, {summary.seconds:g} s")
    for name in ("class", "wanted", "in time", "p50 ms", "p90", "p99", "longest", "sent"):
        table.add_column(name, justify="left" if name == "class" else "right", no_wrap=True)
    for name, figures in summary.classes.items():
        table.add_row(
            name, str(figures.wanted), f"{figures.service:.1%}", f"{figures.p50:.0f}", f"{figures.p90:.0f}",
            f"{figures.p99:.0f}", f"{figures.longest:.0f}", f"{figures.attempts:.3f}",
        )  # fmt: skip
    console.print(table)
    for name, figures in summary.classes.items():
        statuses = ", ".join(f"{status}: {count}" for status, count in figures.statuses.items())
        console.print(f"{name:9} {statuses}", highlight=False)
    console.print(
        f"service by worth {summary.service:.1%}; at most {summary.connections:.0f} connections at a backend, "
        f"{summary.memory_mib:.1f} MiB and {summary.descriptors} descriptors in a gateway; "
        f"{summary.cpu_us:.0f} µs of CPU per request; {summary.restarts} restarts",
        highlight=False,
    )
    if summary.cold:
        console.print(
            f"a backend in slow start was sent at most {summary.cold:.0%} of the load that makes it collapse",
            highlight=False,
        )
    if summary.rude:
        console.print(
            f"{summary.rude} misbehaving clients; {summary.rude_owed} got neither an error nor a close",
            highlight=False,
        )
    for defect in defects[:MAX_SHOWN]:
        console.print(f"defect in a gateway's log: {defect}", markup=False, highlight=False, style="red")
    for violation in violations[:MAX_SHOWN]:
        console.print(str(violation), markup=False, highlight=False, style="red")
    rules = "  ".join(
        f"[red]{rule}: {count}[/]" if count else f"[green]{rule}: kept[/]" for rule, count in summary.breaches.items()
    )
    console.print(f"rules  {rules}", highlight=False)
