"""How a cost grows: a constant, by log, by line, or worse, chosen by residuals. Pure: points in, a curve out.

Invariants:
- residuals are relative to the curve (RMS over the points, freedom taken off): a small size counts as much as a large
  one, and what scatters is not taken for its least value;
- a curve below FLOOR of its largest value counts as that there: what is next to nothing must not decide;
- a curve with two coefficients is taken over a constant only where it is better by BETTER, and one that grows worse
  than by line only where it is better than the line by as much: noise must not become a law;
- no curve is below zero anywhere: where it would be, it is 0.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

BETTER: Final = 0.6  # of the simpler curve's residual, at the most
CONSTANT: Final = 0.01  # relative residual up to which nothing grows
FLOOR: Final = 0.02
ROUNDS: Final = 30  # of least squares, each with weights by the curve of the one before
WORSE: Final = 1.1  # an exponent above this is worse than by line
LEAST_POINTS: Final = 4

Point = tuple[float, float]


@dataclass(slots=True, frozen=True)
class Curve:
    """`kind`: constant (a), log (a + b ln n), line (a + b n), worse (a n^b)."""

    kind: str
    a: float
    b: float
    residual: float  # relative, RMS

    def at(self, size: float) -> float:
        match self.kind:
            case "constant":
                value = self.a
            case "log":
                value = self.a + self.b * math.log(max(size, 1.0))
            case "line":
                value = self.a + self.b * size
            case "worse":
                value = self.a * float(size**self.b)
            case _:
                raise ValueError(f"kind: expected constant, log, line or worse, found {self.kind!r}")
        return max(0.0, value)


def fit(points: Sequence[Point]) -> Curve:
    """ValueError for fewer than LEAST_POINTS sizes, or a value below zero."""
    if len({size for size, _ in points}) < LEAST_POINTS:
        raise ValueError(f"points: expected {LEAST_POINTS} sizes or more, found {len(points)}")
    if any(value < 0 or size <= 0 for size, value in points):
        raise ValueError("points: expected sizes above 0 and values of 0 or more")
    if not any(value for _, value in points):
        return Curve("constant", 0.0, 0.0, 0.0)
    best = constant = _constant(points)
    if constant.residual <= CONSTANT:
        return constant
    two = [_straight(points, "log", lambda size: math.log(size)), _straight(points, "line", lambda size: size)]
    better = min(two, key=lambda curve: curve.residual)
    if better.residual <= BETTER * constant.residual:
        best = better
    worse = _power(points)
    if worse is not None and worse.b > WORSE and worse.residual <= BETTER * min(best.residual, two[1].residual):
        best = worse
    return best


def _weights(points: Sequence[Point], curve: Curve) -> list[float]:
    values = [curve.at(size) for size, _ in points]
    least = FLOOR * max(values) or 1.0
    return [1.0 / max(value, least) for value in values]


def _residual(points: Sequence[Point], curve: Curve) -> float:
    taken = 1 if curve.kind == "constant" else 2
    weights = _weights(points, curve)
    squares = [(w * (value - curve.at(size))) ** 2 for (size, value), w in zip(points, weights, strict=True)]
    return math.sqrt(sum(squares) / (len(points) - taken))


def _constant(points: Sequence[Point]) -> Curve:
    a = sum(value for _, value in points) / len(points)
    return Curve("constant", a, 0.0, _residual(points, Curve("constant", a, 0.0, 0.0)))


def _straight(points: Sequence[Point], kind: str, of: Callable[[float], float]) -> Curve:
    """Least relative squares of a + b f(n), by rounds."""
    xs, ys = [of(size) for size, _ in points], [value for _, value in points]
    weights = [1.0] * len(points)
    made = Curve(kind, 0.0, 0.0, 0.0)
    for _ in range(ROUNDS):
        total = sum(weights)
        mean_x = sum(w * x for w, x in zip(weights, xs, strict=True)) / total
        mean_y = sum(w * y for w, y in zip(weights, ys, strict=True)) / total
        spread = sum(w * (x - mean_x) ** 2 for w, x in zip(weights, xs, strict=True))
        b = sum(w * (x - mean_x) * (y - mean_y) for w, x, y in zip(weights, xs, ys, strict=True)) / spread
        made = Curve(kind, mean_y - b * mean_x, b, 0.0)
        weights = [w * w for w in _weights(points, made)]
    return Curve(kind, made.a, made.b, _residual(points, made))


def _power(points: Sequence[Point]) -> Curve | None:
    if any(value <= 0 for _, value in points):
        return None
    logs = [(math.log(size), math.log(value)) for size, value in points]
    mean_x, mean_y = (sum(log[i] for log in logs) / len(logs) for i in (0, 1))
    spread = sum((x - mean_x) ** 2 for x, _ in logs)
    b = sum((x - mean_x) * (y - mean_y) for x, y in logs) / spread
    a = math.exp(mean_y - b * mean_x)
    return Curve("worse", a, b, _residual(points, Curve("worse", a, b, 0.0)))
