"""Incremental work: generators that yield between short steps, so that a caller may do other work there. Pure."""

from __future__ import annotations

from collections.abc import Generator
from typing import TypeVar

Result = TypeVar("Result")
Incremental = Generator[None, None, Result]


def run_to_completion(steps: Incremental[Result]) -> Result:
    """Run all steps with nothing between them, and return what they make."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            result: Result = stop.value
            return result
