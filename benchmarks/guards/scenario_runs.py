"""One scenario run, with mutants applied or without, and its result."""

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

SCENARIO_FOLDER = Path(__file__).parent / "plays"
MAX_TRIES = 2  # a run that failed with an error is repeated


@dataclass(slots=True, frozen=True)
class ScenarioRun:
    """A scenario by name, from SCENARIO_FOLDER or from the emulator. `seconds` None: the scenario's duration.

    Field names are keys of the `--json` output.
    """

    scenario: str
    seed: int = 1
    seconds: float | None = None

    @property
    def path(self) -> str:
        """Return the file in SCENARIO_FOLDER, or the name if the scenario is one of the emulator's."""
        file = SCENARIO_FOLDER / f"{self.scenario}.toml"
        return str(file) if file.exists() else self.scenario


@dataclass(slots=True)
class RunResult:
    """The result of a scenario run. Field names are keys of the `--json` output."""

    breaches: dict[str, int] = field(default_factory=dict)  # number of violations, by rule
    first: dict[str, str] = field(default_factory=dict)  # first violation in one line, by rule
    service: float = 0.0  # share of operations served in time, weighted by class
    worst_cold: float = 0.0  # maximum load of a host in slow start, as a share of what makes it collapse
    faults: list[str] = field(default_factory=list)  # DEFECT lines of the gateways' logs
    failed: str = ""  # error that prevented the run; empty if it completed


def run_with_mutants(run: ScenarioRun, mutants: tuple[str, ...]) -> RunResult:
    """Run the scenario with these mutants applied to each gateway."""
    result = RunResult()
    for _ in range(MAX_TRIES):
        with contextlib.suppress(KeyboardInterrupt):
            try:
                result = _run_once(run, mutants)
            except (RuntimeError, OSError, ValueError) as error:
                result = RunResult(failed=f"{type(error).__name__}: {error}")
                continue
        break
    return result


def _run_once(run: ScenarioRun, mutants: tuple[str, ...]) -> RunResult:
    scenario = load_scenario(run.path)

    def on_environment(environment: Environment) -> None:
        if mutants:
            environment.use_gateway_command(
                (sys.executable, "-m", "benchmarks.guards.mutated_gateway", "+".join(mutants))
            )

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        environment = runner.run(run_scenario(scenario, run.seed, run.seconds, on_environment))
    checker = Checker(environment.event_log)
    violations = checker.find_violations()
    summary = summarise(checker, scenario.name, run.seed, environment.seconds)
    first: dict[str, str] = {}
    for violation in violations:
        first.setdefault(violation.rule, f"{violation.subject}: {violation.description}")
    return RunResult(
        {rule: count for rule, count in summary.breaches.items() if count}, first, summary.service,
        summary.cold, environment.logged_defects,
    )  # fmt: skip
