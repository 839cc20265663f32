"""A row of the table: a guard of the rules, what it holds, where, and the plays and tests that must find it gone."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.guards.playing import Found, Play


@dataclass(slots=True, frozen=True)
class Row:
    """`by` finds the loss in plays: a rule of the checker, or "service" (share lost against the same play with the
    guard in place). What a test finds is its own affair."""

    out: tuple[str, ...]  # names in patching.GUARDS; several: each is the other's second line
    holds: str
    where: str
    plays: tuple[Play, ...]
    by: str
    least: float = 1.0  # breaches, or share of service lost
    quick: bool = False
    tests: tuple[str, ...] = ()  # scripted ones that must fail without it; a row has plays, tests or both

    @property
    def name(self) -> str:
        return "+".join(self.out)

    def measure(self, with_it: Found, without: Found) -> float:
        """How much of what it looks for; the loss is found where this is at least `least`."""
        if self.by == "service":
            return with_it.service - without.service
        return float(without.breaches.get(self.by, 0))


def row(
    out: str, holds: str, where: str, scenario: str = "", by: str = "", least: float = 1.0, *,
    seeds: tuple[int, ...] = (1, 2), quick: bool = False,
    tests: str = "",
) -> Row:  # fmt: skip
    """`scenario` and `tests` are lists of words; "requests::x" is tests/test_requests.py::test_x."""
    plays = tuple(Play(name, seed) for name in scenario.split() for seed in seeds)
    names = tuple(path_of(*test.split("::")) for test in tests.split())
    return Row(tuple(out.split("+")), holds, where, plays, by, least, quick, names)


def path_of(file: str, name: str) -> str:
    """ "requests", "x" is tests/test_requests.py::test_x; "fleet/leases" is in tests/fleet/."""
    folder, _, stem = file.rpartition("/")
    return f"tests/{folder}{'/' if folder else ''}test_{stem}.py::test_{name}"
