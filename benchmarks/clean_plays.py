"""Runs a scenario without faults with many seeds: each violation is a false alarm of the checker, or a defect.

    .venv-dev/bin/python -m benchmarks.clean_plays [--plays 20] [--seconds 5] [--scenario calm]

Prints a line for each run and the number of violations; exit code 1 if there is any.
"""

from __future__ import annotations

import argparse
import asyncio

import uvloop

from standins.checker import find_violations
from standins.event_log import RequestSent, SchedulingDelay
from standins.playing.runner import run_scenario
from standins.playing.scenario import load_scenario


def main() -> int:
    """Run the scenario with each seed and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plays", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--scenario", default="calm")
    options = parser.parse_args()
    violation_count = request_count = 0
    for seed in range(1, options.plays + 1):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            environment = runner.run(run_scenario(load_scenario(options.scenario), seed, options.seconds))
        violations = find_violations(environment.event_log)
        requests = sum(1 for _ in environment.event_log.events_of(RequestSent))
        delay_ms = (
            max((delay.delay_us for delay in environment.event_log.events_of(SchedulingDelay)), default=0) / 1e3
        )
        violation_count, request_count = violation_count + len(violations), request_count + requests
        print(
            f"seed {seed:3}: {requests:6} requests, {len(violations)} violations, stalled {delay_ms:.1f} ms at most"
        )
        for violation in violations[:3]:
            print(violation)
    print(f"{options.plays} runs of {options.scenario}, {request_count} requests, {violation_count} violations")
    return 1 if violation_count else 0


if __name__ == "__main__":
    raise SystemExit(main())
