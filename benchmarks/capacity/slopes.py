"""How each cost grows: every part at four sizes or more, each in a process of its own; curves, printed and kept.

It may know what is measured (rows.py) and how it grows (fit.py); what that means for the plan is budget.py's.
Bounded in time: what is not reached is printed, and kept in the file as such.
"""

from __future__ import annotations

import datetime
import json
import os
import signal
import statistics
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from benchmarks.capacity.fit import LEAST_POINTS, Curve, Point, fit
from benchmarks.capacity.rows import PARTS, SPECS, Part, Spec
from cloverkeel.balancing import BUILD

ROOT = Path(__file__).resolve().parents[2]
FULL_S: Final = 410.0  # a run in full ends within seven minutes
QUICK_S: Final = 80.0
LOAD_S: Final = {False: 12.0, True: 1.0}  # of requests, each time: 1,600 of them, so that 16 are beyond p99


@dataclass
class Measured:
    """By part and size: what its process printed; and what there is no figure of, with the cause."""

    costs: dict[tuple[str, int], dict[str, float]] = field(default_factory=dict)
    # Of parts with rounds, whose median is in `costs`: the least and the most, by cost.
    spread: dict[tuple[str, int], dict[str, tuple[float, float]]] = field(default_factory=dict)
    lacking: list[str] = field(default_factory=list)


def measure(parts: Sequence[Part], quick: bool, limit_s: float) -> Measured:
    found = Measured()
    end = time.monotonic() + limit_s
    for part in parts:
        rounds: dict[int, list[dict[str, float]]] = {}
        sizes = part.quick if quick else part.sizes
        for size in sizes * (1 if quick else part.rounds):
            left_s = end - time.monotonic()
            said = f"{part.name} at {size} {part.by}"
            if left_s < 1:
                found.lacking.append(f"{said}: not reached in {limit_s:.0f} s")
                continue
            began = time.monotonic()
            costs = run_part(part.name, size, LOAD_S[quick], left_s)
            if isinstance(costs, str):
                found.lacking.append(f"{said}: {costs}")
                print(f"  {said}: {costs}", flush=True)
                continue
            rounds.setdefault(size, []).append(costs)
            print(f"  {said}: {time.monotonic() - began:.1f} s", flush=True)
        for size, seen in rounds.items():
            by_cost = {name: [costs[name] for costs in seen if name in costs] for name in seen[0]}
            found.costs[part.name, size] = {name: statistics.median(values) for name, values in by_cost.items()}
            if part.rounds > 1:
                found.spread[part.name, size] = {name: (min(v), max(v)) for name, v in by_cost.items()}
    return found


def run_part(name: str, size: int, load_s: float, limit_s: float) -> dict[str, float] | str:
    """What it printed, or why there is nothing."""
    command = (sys.executable, "-m", "benchmarks.capacity.parts", name, str(size), "--seconds", str(load_s))
    # A group of its own: where it does not end in time, what it has started ends with it.
    process = subprocess.Popen(
        command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
        start_new_session=True,
    )  # fmt: skip
    try:
        out, wrong = process.communicate(timeout=limit_s)
    except subprocess.TimeoutExpired:
        os.killpg(process.pid, signal.SIGKILL)
        process.communicate()
        return f"did not end in the {limit_s:.0f} s that were left"
    if process.returncode:
        return f"failed: {wrong.strip().splitlines()[-1] if wrong.strip() else process.returncode}"
    made: dict[str, float] = json.loads(out.strip().splitlines()[-1])
    return made


def about(quick: bool) -> dict[str, Any]:
    """What each row says of where it was measured."""
    commit = subprocess.run(
        ("git", "describe", "--always", "--dirty", "--abbrev=10"),
        cwd=ROOT, capture_output=True, text=True, check=False,
    ).stdout.strip()  # fmt: skip
    return {
        "command": "python -m benchmarks.capacity slopes" + (" --quick" if quick else ""),
        "commit": commit or "unknown",
        "date": datetime.datetime.now(datetime.UTC).strftime("%Y-%m-%d %H:%M UTC"),
        "cores": len(os.sched_getaffinity(0)),
        "load": round(os.getloadavg()[0], 1),  # before it began: above 1, and the machine had other work
        "build": BUILD,
    }


def rows_of(found: Measured, told: dict[str, Any], specs: Sequence[Spec] = SPECS) -> list[dict[str, Any]]:
    """The rows of the file; what has too few sizes for a curve goes to `found.lacking`."""
    parts = {part.name: part for part in PARTS}
    rows: list[dict[str, Any]] = []
    for spec in specs:
        part = parts[spec.part]
        points: list[Point] = sorted(
            (float(size), costs[spec.name])
            for (name, size), costs in found.costs.items()
            if name == spec.part and size >= spec.least and spec.name in costs
        )
        if len(points) < LEAST_POINTS:
            if points:
                found.lacking.append(f"{spec.name}: {len(points)} sizes are too few for a curve")
            continue
        curve = fit(points)
        spread = [
            [float(size), *(rounded(value) for value in spans[spec.name])]
            for (name, size), spans in sorted(found.spread.items()) if name == spec.part and spec.name in spans
        ]  # fmt: skip
        rows.append(
            {
                "name": spec.name, "role": spec.role, "cost": spec.cost, "unit": spec.unit, "by": part.by,
                "points": [[size, rounded(value)] for size, value in points], "fit": curve.kind,
                "coefficients": [curve.a, curve.b], "residual": rounded(curve.residual), "plan": part.plan,
                "at_plan": rounded(curve.at(part.plan)), "extrapolation": rounded(part.plan / points[-1][0]),
                "estimate": spec.estimate,
            } | ({"spread": spread} if spread else {}) | told
        )  # fmt: skip
    return rows


def rounded(value: float) -> float:
    return float(f"{value:.4g}")


def curve_of(row: dict[str, Any]) -> Curve:
    a, b = row["coefficients"]
    return Curve(row["fit"], a, b, row["residual"])


def show(rows: Sequence[dict[str, Any]]) -> None:
    role = ""
    for row in rows:
        if row["role"] != role:
            role = row["role"]
            print(f"\n{role}")
        points = "  ".join(f"{size:g}: {value:g}" for size, value in row["points"])
        points += "".join(f"  ({size:g}: {least:g} to {most:g})" for size, least, most in row.get("spread", ()))
        a, b = row["coefficients"]
        estimate = "; an estimate: the program has no such state" if row["estimate"] else ""
        print(f"  {row['name']}: {row['cost']}, {row['unit']}, by {row['by']}{estimate}")
        print(f"      {points}")
        print(f"      {row['fit']} (a {a:.4g}, b {b:.4g}), residual {row['residual']:.1%}; at {row['plan']:g}: "
              f"{row['at_plan']:g}, {row['extrapolation']:g} times the largest measured")  # fmt: skip


def main(quick: bool, file: Path | None, only: Sequence[str] = (), any_build: bool = False) -> int:
    """Exit code: 0; 1 where a part failed; 2 where the build is not the compiled one."""
    if BUILD != "compiled" and not any_build:
        print(
            f"capacity: the decisions are {BUILD}: run `python -m cloverkeel.compiled.build` first", file=sys.stderr
        )
        return 2
    chosen = [part for part in PARTS if not only or part.name in only]
    told = about(quick)
    print(", ".join(f"{key} {value}" for key, value in told.items()), flush=True)
    began = time.monotonic()
    found = measure(chosen, quick, QUICK_S if quick else FULL_S)
    rows = rows_of(found, told)
    show(rows)
    print(f"\n{len(rows)} rows in {time.monotonic() - began:.0f} s")
    for line in found.lacking:
        print(f"no figure: {line}")
    if file is not None:
        file.parent.mkdir(parents=True, exist_ok=True)
        made = {"about": told | {"seconds": round(time.monotonic() - began)}, "lacking": found.lacking, "rows": rows}
        file.write_text(json.dumps(made, indent=1) + "\n")
    return 1 if any("failed" in line for line in found.lacking) else 0


def read(file: Path) -> dict[str, dict[str, Any]]:
    """Rows by name. OSError or ValueError where the file cannot be used."""
    raw = json.loads(file.read_text())
    if not isinstance(raw, dict) or not isinstance(raw.get("rows"), list):
        raise ValueError(f"{file}: expected an object with rows")
    return {row["name"]: row for row in raw["rows"]}
