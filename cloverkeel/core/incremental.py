"""Work that is done in steps, so that the event loop serves others between them.

Such work is a generator: each `yield` is a point where it may be suspended, and it returns its result at the end.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import TypeVar, cast

Result = TypeVar("Result")
Incremental = Generator[None, None, Result]
HintedIncremental = Generator[bool | None, None, Result]  # yields True where the next step is a long one


def run_to_completion(steps: HintedIncremental[Result]) -> Result:
    """Run all steps without suspending, and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return cast(Result, stop.value)
