"""Incremental computations, which let the event loop run other callbacks between their steps.

An incremental computation is a generator: it may be suspended at each `yield`, and returns its result at the end.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import TypeVar, cast

Result = TypeVar("Result")
Incremental = Generator[None, None, Result]
HintedIncremental = Generator[bool | None, None, Result]  # yields True if the next step is a long one


def run_to_completion(steps: HintedIncremental[Result]) -> Result:
    """Run all steps without suspension, and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return cast(Result, stop.value)
