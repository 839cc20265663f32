"""Measures each part at four sizes or more, each in its own process, fits a curve to each cost, and prints and
writes them as rows.

It may import what is measured (rows.py) and how a cost grows (fit.py); budget.py derives what that means for
the plan. The run is limited in time: sizes that are not reached are printed, and listed in the file as lacking.
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

from cloverkeel.balancing import BUILD
from benchmarks.capacity.fit import MIN_POINTS, Curve, Point, fit_curve
from benchmarks.capacity.rows import PARTS, SPECS, CostSpec, Part

ROOT = Path(__file__).resolve().parents[2]
FULL_RUN_LIMIT_S: Final = 410.0  # a full run ends within seven minutes
QUICK_RUN_LIMIT_S: Final = 80.0
# Duration of each load of requests: 12 s are 1,600 requests, so that 16 are beyond p99.
LOAD_S_BY_QUICK: Final = {False: 12.0, True: 1.0}


@dataclass
class Measurements:
    """Measured costs by part and size, and the measurements that are missing, with the reason."""

    costs: dict[tuple[str, int], dict[str, float]] = field(default_factory=dict)
    # Minimum and maximum of each cost over the rounds, for parts with more than one; `costs` has the median.
    ranges: dict[tuple[str, int], dict[str, tuple[float, float]]] = field(default_factory=dict)
    missing: list[str] = field(default_factory=list)


def measure_parts(parts: Sequence[Part], quick: bool, limit_s: float) -> Measurements:
    """Run each part at each of its sizes, until `limit_s` has passed."""
    measurements = Measurements()
    deadline_s = time.monotonic() + limit_s
    for part in parts:
        rounds: dict[int, list[dict[str, float]]] = {}
        sizes = part.quick_sizes if quick else part.sizes
        for size in sizes * (1 if quick else part.rounds):
            left_s = deadline_s - time.monotonic()
            label = f"{part.name} at {size} {part.size_unit}"
            if left_s < 1:
                measurements.missing.append(f"{label}: not reached in {limit_s:.0f} s")
                continue
            start_s = time.monotonic()
            costs = run_part(part.name, size, LOAD_S_BY_QUICK[quick], left_s)
            if isinstance(costs, str):
                measurements.missing.append(f"{label}: {costs}")
                print(f"  {label}: {costs}", flush=True)
                continue
            rounds.setdefault(size, []).append(costs)
            print(f"  {label}: {time.monotonic() - start_s:.1f} s", flush=True)
        for size, round_costs in rounds.items():
            by_cost = {name: [costs[name] for costs in round_costs if name in costs] for name in round_costs[0]}
            measurements.costs[part.name, size] = {
                name: statistics.median(values) for name, values in by_cost.items()
            }
            if part.rounds > 1:
                measurements.ranges[part.name, size] = {name: (min(v), max(v)) for name, v in by_cost.items()}
    return measurements


def run_part(name: str, size: int, load_s: float, limit_s: float) -> dict[str, float] | str:
    """Run one part at one size in a child process. Return the costs that it printed, or why there are none."""
    command = (sys.executable, "-m", "benchmarks.capacity.parts", name, str(size), "--seconds", str(load_s))
    # In its own process group, so that on a timeout the processes that it started are killed with it.
    process = subprocess.Popen(
        command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
        start_new_session=True,
    )  # fmt: skip
    try:
        output, errors = process.communicate(timeout=limit_s)
    except subprocess.TimeoutExpired:
        os.killpg(process.pid, signal.SIGKILL)
        process.communicate()
        return f"did not end in the {limit_s:.0f} s that were left"
    if process.returncode:
        return f"failed: {errors.strip().splitlines()[-1] if errors.strip() else process.returncode}"
    costs: dict[str, float] = json.loads(output.strip().splitlines()[-1])
    return costs


def describe_run(quick: bool) -> dict[str, Any]:
    """Return how, when and where this run measures; every row includes it."""
    commit = subprocess.run(
        ("git", "describe", "--always", "--dirty", "--abbrev=10"),
        cwd=ROOT, capture_output=True, text=True, check=False,
    ).stdout.strip()  # fmt: skip
    return {
        "command": "python -m benchmarks.capacity slopes" + (" --quick" if quick else ""),
        "commit": commit or "unknown",
        "date": datetime.datetime.now(datetime.UTC).strftime("%Y-%m-%d %H:%M UTC"),
        "cores": len(os.sched_getaffinity(0)),
        "load": round(os.getloadavg()[0], 1),  # before the run; above 1, the machine had other work
        "build": BUILD,
    }


def make_rows(
    measurements: Measurements, run_details: dict[str, Any], specs: Sequence[CostSpec] = SPECS
) -> list[dict[str, Any]]:
    """Return the rows of the file. Costs with too few sizes for a curve are added to `measurements.missing`."""
    parts = {part.name: part for part in PARTS}
    rows: list[dict[str, Any]] = []
    for spec in specs:
        part = parts[spec.part]
        points: list[Point] = sorted(
            (float(size), costs[spec.name])
            for (name, size), costs in measurements.costs.items()
            if name == spec.part and size >= spec.min_size and spec.name in costs
        )
        if len(points) < MIN_POINTS:
            if points:
                measurements.missing.append(f"{spec.name}: {len(points)} sizes are too few for a curve")
            continue
        curve = fit_curve(points)
        ranges = [
            [float(size), *(round_digits(value) for value in ranges_by_cost[spec.name])]
            for (name, size), ranges_by_cost in sorted(measurements.ranges.items())
            if name == spec.part and spec.name in ranges_by_cost
        ]  # fmt: skip
        rows.append(
            {
                "name": spec.name, "role": spec.role, "cost": spec.cost, "unit": spec.unit, "by": part.size_unit,
                "points": [[size, round_digits(value)] for size, value in points], "fit": curve.kind,
                "coefficients": [curve.a, curve.b], "residual": round_digits(curve.residual), "plan": part.plan_size,
                "at_plan": round_digits(curve.value_at(part.plan_size)),
                "extrapolation": round_digits(part.plan_size / points[-1][0]),
                "estimate": spec.is_estimate,
            } | ({"spread": ranges} if ranges else {}) | run_details
        )  # fmt: skip
    return rows


def round_digits(value: float) -> float:
    """Round to four significant digits."""
    return float(f"{value:.4g}")


def curve_from_row(row: dict[str, Any]) -> Curve:
    """Return the curve that a row of the file describes."""
    a, b = row["coefficients"]
    return Curve(row["fit"], a, b, row["residual"])


def print_rows(rows: Sequence[dict[str, Any]]) -> None:
    """Print each cost with its measured points and its curve, grouped by role."""
    role = ""
    for row in rows:
        if row["role"] != role:
            role = row["role"]
            print(f"\n{role}")
        points = "  ".join(f"{size:g}: {value:g}" for size, value in row["points"])
        points += "".join(f"  ({size:g}: {low:g} to {high:g})" for size, low, high in row.get("spread", ()))
        a, b = row["coefficients"]
        estimate_note = "; an estimate: the program has no such state" if row["estimate"] else ""
        print(f"  {row['name']}: {row['cost']}, {row['unit']}, by {row['by']}{estimate_note}")
        print(f"      {points}")
        print(f"      {row['fit']} (a {a:.4g}, b {b:.4g}), residual {row['residual']:.1%}; at {row['plan']:g}: "
              f"{row['at_plan']:g}, {row['extrapolation']:g} times the largest measured")  # fmt: skip


def main(quick: bool, file: Path | None, only: Sequence[str] = (), any_build: bool = False) -> int:
    """Measure, print and write the rows. Return exit code 0; 1 if a part failed; 2 if the build is not compiled."""
    if BUILD != "compiled" and not any_build:
        print(
            f"capacity: cloverkeel.balancing is the {BUILD} build; run `python -m cloverkeel.compiled.build` first",
            file=sys.stderr,
        )
        return 2
    selected_parts = [part for part in PARTS if not only or part.name in only]
    run_details = describe_run(quick)
    print(", ".join(f"{key} {value}" for key, value in run_details.items()), flush=True)
    start_s = time.monotonic()
    measurements = measure_parts(selected_parts, quick, QUICK_RUN_LIMIT_S if quick else FULL_RUN_LIMIT_S)
    rows = make_rows(measurements, run_details)
    print_rows(rows)
    print(f"\n{len(rows)} rows in {time.monotonic() - start_s:.0f} s")
    for line in measurements.missing:
        print(f"no figure: {line}")
    if file is not None:
        file.parent.mkdir(parents=True, exist_ok=True)
        content = {
            "about": run_details | {"seconds": round(time.monotonic() - start_s)},
            "lacking": measurements.missing,
            "rows": rows,
        }
        file.write_text(json.dumps(content, indent=1) + "\n")
    return 1 if any("failed" in line for line in measurements.missing) else 0


def read_rows(file: Path) -> dict[str, dict[str, Any]]:
    """Return the rows of a file by name. Raise OSError or ValueError if the file cannot be used."""
    content = json.loads(file.read_text())
    if not isinstance(content, dict) or not isinstance(content.get("rows"), list):
        raise ValueError(f"{file}: expected an object with rows")
    return {row["name"]: row for row in content["rows"]}
