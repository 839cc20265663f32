"""The gateway with a wrong clock: `python -m tests.fleet.clocks wall=SECONDS|rate=FACTOR cloverkeel ...`.

The wall clock is off by SECONDS, or CLOCK_BOOTTIME runs at FACTOR times its rate. The product has no code for this.
It runs from the plain sources: compiled code cannot be patched.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Sequence


def replace_clocks(argument: str) -> None:
    """Replace the functions of `time` that the gateway reads; raise SystemExit if the argument is invalid."""
    clock_name, _, value = argument.partition("=")
    real_time_ns, real_gettime_ns = time.time_ns, time.clock_gettime_ns
    start_ns = real_gettime_ns(time.CLOCK_BOOTTIME)
    if clock_name == "wall":
        time.time_ns = lambda: real_time_ns() + int(float(value) * 1e9)
    elif clock_name == "rate":
        rate = float(value)

        def gettime_ns(clock: int) -> int:
            return start_ns + int((real_gettime_ns(clock) - start_ns) * rate)

        time.clock_gettime_ns = gettime_ns
    else:
        raise SystemExit(f"clocks: expected wall=SECONDS or rate=FACTOR, found {argument!r}")


def main(arguments: Sequence[str]) -> int:
    """Replace the clocks and run the gateway, or the gateway with mutants applied; return the exit code."""
    os.environ["CLOVERKEEL_PLAIN"] = "1"
    replace_clocks(arguments[0])
    rest = list(arguments[1:])
    if rest and rest[0] == "benchmarks.guards.mutated_gateway":
        from benchmarks.guards.mutated_gateway import main as run_mutated_gateway

        return run_mutated_gateway(rest[1:])
    from cloverkeel.cli.command_line import main as run_gateway

    return run_gateway(rest[1:])


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
