"""A row of the table: the mutants that remove a guard, and the scenario runs and tests that must detect them."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.guards.scenario_runs import RunResult, ScenarioRun


@dataclass(slots=True, frozen=True)
class Row:
    """A guard. `criterion`: how a scenario run detects its removal, a rule of the checker or "service" (the share of
    service lost against the same run with the guard in place)."""

    mutants: tuple[str, ...]  # names in PATCH_BY_MUTANT; several remove guards that back each other up
    ensures: str
    location: str
    runs: tuple[ScenarioRun, ...]
    criterion: str
    min_effect: float = 1.0  # number of violations, or share of service lost
    quick: bool = False
    tests: tuple[str, ...] = ()  # must fail with the mutants applied; a row has runs, tests or both

    @property
    def name(self) -> str:
        """Return the names of the mutants, joined by "+"."""
        return "+".join(self.mutants)

    def measure_effect(self, reference: RunResult, mutated: RunResult) -> float:
        """Return the effect according to the criterion; the mutants are detected if it is at least `min_effect`."""
        if self.criterion == "service":
            return reference.service - mutated.service
        return float(mutated.breaches.get(self.criterion, 0))


def row(
    mutants: str, ensures: str, location: str, scenarios: str = "", criterion: str = "", min_effect: float = 1.0, *,
    seeds: tuple[int, ...] = (1, 2), quick: bool = False,
    tests: str = "",
) -> Row:  # fmt: skip
    """Return a row. `scenarios` and `tests` are lists separated by spaces.

    A test is written as "file::name": `pytest_id` completes both parts.
    """
    runs = tuple(ScenarioRun(name, seed) for name in scenarios.split() for seed in seeds)
    test_ids = tuple(pytest_id(*test.split("::")) for test in tests.split())
    return Row(tuple(mutants.split("+")), ensures, location, runs, criterion, min_effect, quick, test_ids)


def pytest_id(file: str, name: str) -> str:
    """Return pytest's id: "fleet/leases", "x" is tests/fleet/test_leases.py::test_x."""
    folder, _, stem = file.rpartition("/")
    return f"tests/{folder}{'/' if folder else ''}test_{stem}.py::test_{name}"
