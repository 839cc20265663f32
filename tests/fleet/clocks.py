"""The program with another clock: `python -m tests.fleet.clocks wall=SECONDS|rate=FACTOR cloverkeel ...`.

The wall clock is so many seconds off, or the clock that counts suspends runs so much faster. The product knows
nothing of it. It runs the plain sources: compiled code takes no replacement.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Sequence


def replace_clocks(words: str) -> None:
    what, _, figure = words.partition("=")
    real_wall, real_read = time.time_ns, time.clock_gettime_ns
    begun = real_read(time.CLOCK_BOOTTIME)
    if what == "wall":
        time.time_ns = lambda: real_wall() + int(float(figure) * 1e9)
    elif what == "rate":
        rate = float(figure)

        def read(clock: int) -> int:
            return begun + int((real_read(clock) - begun) * rate)

        time.clock_gettime_ns = read
    else:
        raise SystemExit(f"clocks: expected wall=SECONDS or rate=FACTOR, found {words!r}")


def main(arguments: Sequence[str]) -> int:
    os.environ["CLOVERKEEL_PLAIN"] = "1"
    replace_clocks(arguments[0])
    rest = list(arguments[1:])
    if rest and rest[0] == "benchmarks.guards.mutated_gateway":
        from benchmarks.guards.mutated_gateway import main as maimed

        return maimed(rest[1:])
    from cloverkeel.cli.command_line import main as program

    return program(rest[1:])


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
