"""`python -m cloverkeel try`: play a scenario against real gateways, judge the four rules, tell the figures."""

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
from standins.playing.play import World
from standins.playing.stage import play
from standins.showing.report import render
from standins.playing.scenario import Scenario, ScenarioError, load, names
from standins.showing.summary import Summary, summarise

SHOWN = 3  # breaches with their time lines on the terminal; the files have them all


def parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(
        prog="cloverkeel try",
        description="Play a scenario: boxes, a registry, clients and a bad network round real gateways.",
        epilog="Exit code: 0 every rule held; 1 a rule was broken, or a gateway logged a defect; "
        "2 the scenario or an option cannot be used.",
    )
    made.add_argument("--scenario", default="tour", metavar="NAME|FILE", help="one of --list, or a TOML file")
    made.add_argument("--seed", type=int, default=1, help="the same seed draws the same loads and targets")
    made.add_argument("--seconds", type=float, help="play it in so long; its own length otherwise")
    made.add_argument("--json", type=Path, metavar="FILE", help="write the figures here")
    made.add_argument("--report", type=Path, metavar="FILE.html", help="write a page with plots here")
    made.add_argument("--ledger", type=Path, metavar="FILE", help="write all that was seen here, a line each")
    made.add_argument("--audit", type=Path, metavar="FILE", help="judge a written ledger again, and play nothing")
    made.add_argument("--list", action="store_true", help="name the scenarios")
    return made


def main(arguments: Sequence[str]) -> int:
    console = Console()
    options = parser().parse_args(arguments)
    try:
        if options.list:
            for name in names():
                console.print(f"[bold]{name:14}[/] {load(name).about}", highlight=False)
            return 0
        if options.audit is not None:
            return judge_again(console, options.audit)
        if options.seconds is not None and not 1 <= options.seconds <= 600:
            raise ScenarioError(f"--seconds: expected a number from 1 to 600, found {options.seconds:g}")
        scenario = load(options.scenario)
        for path in (options.json, options.report, options.ledger):
            if path is not None and not path.absolute().parent.is_dir():
                raise ScenarioError(f"{path}: its folder does not exist")
    except (ScenarioError, ValueError, OSError) as error:
        print(f"cloverkeel: {error}", file=sys.stderr)
        return 2
    try:
        world = played(console, scenario, options.seed, options.seconds or scenario.seconds)
    except KeyboardInterrupt:
        print("cloverkeel: stopped; nothing is left running", file=sys.stderr)
        return 130
    except (RuntimeError, ValueError, OSError) as error:
        print(f"cloverkeel: the play could not go on: {error}", file=sys.stderr)
        return 2
    checker = Checker(world.ledger)
    breaches = checker.find_violations()
    summary = summarise(checker, scenario.name, options.seed, world.seconds)
    show(console, summary, breaches, world.faults)
    if options.json is not None:
        found = summary.as_object() | {"found": [str(breach) for breach in breaches], "faults": world.faults}
        options.json.write_text(json.dumps(found, indent=1) + "\n")
    if options.report is not None:
        options.report.write_text(render(world.ledger, summary, breaches, scenario.about))
    if options.ledger is not None:
        world.ledger.dump(options.ledger)
    return 1 if breaches or world.faults else 0


def judge_again(console: Console, path: Path) -> int:
    breaches = find_violations(EventLog.load(path))
    for breach in breaches:
        console.print(str(breach), markup=False, highlight=False)
    console.print(f"{len(breaches)} breaches")
    return 1 if breaches else 0


def played(console: Console, scenario: Scenario, seed: int, seconds: float) -> World:
    """Play it with progress on the terminal."""
    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console, transient=True) as progress:
        task = progress.add_task(f"{scenario.name}: starting", total=seconds)

        def on_world(world: World) -> None:
            def say(text: str) -> None:
                progress.console.print(f"  {progress.tasks[0].completed:5.1f} s  {text}", highlight=False)

            world.on_progress = say

            async def tick() -> None:
                while not any(door.is_open for door in world.front.targets_by_name.values()):
                    await asyncio.sleep(0.05)
                progress.update(task, description=scenario.name)
                start = asyncio.get_running_loop().time()
                while True:
                    progress.update(task, completed=min(seconds, asyncio.get_running_loop().time() - start))
                    await asyncio.sleep(0.1)

            world.spawn(tick())

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(play(scenario, seed, seconds, on_world))


def show(console: Console, summary: Summary, breaches: Sequence[Violation], faults: Sequence[str]) -> None:
    """The table at the end."""
    shown = Table(title=f"{summary.scenario}, seed {summary.seed}, {summary.seconds:g} s")
    for name in ("class", "wanted", "in time", "p50 ms", "p90", "p99", "longest", "sent"):
        shown.add_column(name, justify="left" if name == "class" else "right", no_wrap=True)
    for name, one in summary.classes.items():
        shown.add_row(
            name, str(one.wanted), f"{one.service:.1%}", f"{one.p50:.0f}", f"{one.p90:.0f}", f"{one.p99:.0f}",
            f"{one.longest:.0f}", f"{one.attempts:.3f}",
        )  # fmt: skip
    console.print(shown)
    for name, one in summary.classes.items():
        said = ", ".join(f"{status}: {count}" for status, count in one.statuses.items())
        console.print(f"{name:9} {said}", highlight=False)
    console.print(
        f"service by worth {summary.service:.1%}; at most {summary.connections:.0f} connections at a box, "
        f"{summary.memory_mib:.1f} MiB and {summary.descriptors} descriptors in a gateway; "
        f"{summary.cpu_us:.0f} µs of CPU a try; {summary.restarts} restarts",
        highlight=False,
    )
    if summary.cold:
        console.print(f"a cold box was sent {summary.cold:.0%} of what pushes it over, at most", highlight=False)
    if summary.rude:
        console.print(
            f"{summary.rude} clients broke the protocol; {summary.rude_owed} got neither an error nor a close",
            highlight=False,
        )
    for fault in faults[:SHOWN]:
        console.print(f"on a gateway's log: {fault}", markup=False, highlight=False, style="red")
    for breach in breaches[:SHOWN]:
        console.print(str(breach), markup=False, highlight=False, style="red")
    rules = "  ".join(
        f"[red]{rule}: {count}[/]" if count else f"[green]{rule}: kept[/]" for rule, count in summary.breaches.items()
    )
    console.print(f"rules  {rules}", highlight=False)
