"""Fits a curve to measured costs: constant, logarithmic, linear, or worse than linear. Pure: points in, a curve out.

Invariants:
- residuals are relative to the curve (RMS over the points, corrected for degrees of freedom), so that a small size
  counts as much as a large one, and scattered values are not represented by their minimum;
- where a curve is below MIN_RELATIVE_VALUE of its largest value, residuals are relative to that bound instead, so
  that values near zero do not decide the fit;
- a curve with two coefficients replaces a constant only if its residual is smaller by MAX_RESIDUAL_RATIO, and one
  that grows worse than linearly replaces the others only if it is better by as much, so that noise is not fitted;
- no curve is below zero: negative values become 0.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

MAX_RESIDUAL_RATIO: Final = 0.6  # residual of an accepted curve, relative to the simpler curve's
MAX_CONSTANT_RESIDUAL: Final = 0.01  # relative residual up to which a cost is constant
MIN_RELATIVE_VALUE: Final = 0.02  # relative to the largest value of the curve
ITERATIONS: Final = 30  # of weighted least squares, each with weights from the previous curve
MIN_WORSE_EXPONENT: Final = 1.1  # a power law with a larger exponent is worse than linear
MIN_POINTS: Final = 4  # different sizes that a fit needs

Point = tuple[float, float]


@dataclass(slots=True, frozen=True)
class Curve:
    """A fitted cost by size n. `kind` is constant (a), log (a + b ln n), line (a + b n) or worse (a n^b)."""

    kind: str
    a: float
    b: float
    residual: float  # relative RMS

    def value_at(self, size: float) -> float:
        """Return the cost at this size, at least 0."""
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


def fit_curve(points: Sequence[Point]) -> Curve:
    """Fit the simplest adequate curve. Raise ValueError for fewer than MIN_POINTS sizes or for a value below zero."""
    if len({size for size, _ in points}) < MIN_POINTS:
        raise ValueError(f"points: expected {MIN_POINTS} sizes or more, found {len(points)}")
    if any(value < 0 or size <= 0 for size, value in points):
        raise ValueError("points: expected sizes above 0 and values of 0 or more")
    if not any(value for _, value in points):
        return Curve("constant", 0.0, 0.0, 0.0)
    best = constant = _fit_constant(points)
    if constant.residual <= MAX_CONSTANT_RESIDUAL:
        return constant
    candidates = [
        _fit_linear(points, "log", lambda size: math.log(size)),
        _fit_linear(points, "line", lambda size: size),
    ]
    best_candidate = min(candidates, key=lambda curve: curve.residual)
    if best_candidate.residual <= MAX_RESIDUAL_RATIO * constant.residual:
        best = best_candidate
    worse = _fit_power(points)
    if (
        worse is not None
        and worse.b > MIN_WORSE_EXPONENT
        and worse.residual <= MAX_RESIDUAL_RATIO * min(best.residual, candidates[1].residual)
    ):
        best = worse
    return best


def _weights(points: Sequence[Point], curve: Curve) -> list[float]:
    values = [curve.value_at(size) for size, _ in points]
    min_value = MIN_RELATIVE_VALUE * max(values) or 1.0
    return [1.0 / max(value, min_value) for value in values]


def _residual(points: Sequence[Point], curve: Curve) -> float:
    coefficients = 1 if curve.kind == "constant" else 2
    weights = _weights(points, curve)
    squares = [(w * (value - curve.value_at(size))) ** 2 for (size, value), w in zip(points, weights, strict=True)]
    return math.sqrt(sum(squares) / (len(points) - coefficients))


def _fit_constant(points: Sequence[Point]) -> Curve:
    a = sum(value for _, value in points) / len(points)
    return Curve("constant", a, 0.0, _residual(points, Curve("constant", a, 0.0, 0.0)))


def _fit_linear(points: Sequence[Point], kind: str, transform: Callable[[float], float]) -> Curve:
    """Fit a + b f(n) by iterated least squares of the relative residuals."""
    xs, ys = [transform(size) for size, _ in points], [value for _, value in points]
    weights = [1.0] * len(points)
    curve = Curve(kind, 0.0, 0.0, 0.0)
    for _ in range(ITERATIONS):
        total = sum(weights)
        mean_x = sum(w * x for w, x in zip(weights, xs, strict=True)) / total
        mean_y = sum(w * y for w, y in zip(weights, ys, strict=True)) / total
        spread = sum(w * (x - mean_x) ** 2 for w, x in zip(weights, xs, strict=True))
        b = sum(w * (x - mean_x) * (y - mean_y) for w, x, y in zip(weights, xs, ys, strict=True)) / spread
        curve = Curve(kind, mean_y - b * mean_x, b, 0.0)
        weights = [w * w for w in _weights(points, curve)]
    return Curve(kind, curve.a, curve.b, _residual(points, curve))


def _fit_power(points: Sequence[Point]) -> Curve | None:
    if any(value <= 0 for _, value in points):
        return None
    logs = [(math.log(size), math.log(value)) for size, value in points]
    mean_x, mean_y = (sum(log[axis] for log in logs) / len(logs) for axis in (0, 1))
    spread = sum((x - mean_x) ** 2 for x, _ in logs)
    b = sum((x - mean_x) * (y - mean_y) for x, y in logs) / spread
    a = math.exp(mean_y - b * mean_x)
    return Curve("worse", a, b, _residual(points, Curve("worse", a, b, 0.0)))
