"""One play of the table, in a process of its own: what it came to, as plain figures."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from dataclasses import dataclass, field
from pathlib import Path

import uvloop

from standins.checker import Checker
from standins.playing.environment import Environment
from standins.playing.runner import run_scenario
from standins.playing.scenario import load_scenario
from standins.showing.summary import summarise

FOLDER = Path(__file__).parent / "plays"
TRIES = 2  # a play that could not be carried out is made again


@dataclass(slots=True, frozen=True)
class Play:
    """A scenario by its name, of the table or of the proving ground; seconds None: its own length."""

    scenario: str
    seed: int = 1
    seconds: float | None = None

    @property
    def path(self) -> str:
        own = FOLDER / f"{self.scenario}.toml"
        return str(own) if own.exists() else self.scenario


@dataclass(slots=True)
class Found:
    """What a play came to. `service` is a share."""

    breaches: dict[str, int] = field(default_factory=dict)
    first: dict[str, str] = field(default_factory=dict)  # by rule, in one line
    service: float = 0.0
    worst_cold: float = 0.0  # most of its limit that a cold box was sent
    faults: list[str] = field(default_factory=list)
    failed: str = ""  # why it could not be carried out


def carry_out(one: Play, out: tuple[str, ...]) -> Found:
    """Play it with these guards taken out."""
    found = Found()
    for _ in range(TRIES):
        with contextlib.suppress(KeyboardInterrupt):
            try:
                found = _carry_out(one, out)
            except (RuntimeError, OSError, ValueError) as error:
                found = Found(failed=f"{type(error).__name__}: {error}")
                continue
        break
    return found


def _carry_out(one: Play, out: tuple[str, ...]) -> Found:
    scenario = load_scenario(one.path)

    def on_world(world: Environment) -> None:
        if out:
            world.use_gateway_command((sys.executable, "-m", "benchmarks.guards.maimed", "+".join(out)))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        world = runner.run(run_scenario(scenario, one.seed, one.seconds, on_world))
    checker = Checker(world.event_log)
    breaches = checker.find_violations()
    summary = summarise(checker, scenario.name, one.seed, world.seconds)
    first: dict[str, str] = {}
    for breach in breaches:
        first.setdefault(breach.rule, f"{breach.subject}: {breach.what}")
    return Found(
        {rule: count for rule, count in summary.breaches.items() if count}, first, summary.service,
        summary.cold, world.logged_defects,
    )  # fmt: skip
