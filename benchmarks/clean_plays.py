"""Seeded plays in which the gateways keep the rules: every alarm is one of the checker's, or a defect found.

    .venv-dev/bin/python -m benchmarks.clean_plays [--plays 20] [--seconds 5] [--scenario calm]

Prints a line for each play and the count of breaches; exit code 1 if there is any.
"""

from __future__ import annotations

import argparse
import asyncio

import uvloop

from standins.checker import find_violations
from standins.event_log import RequestSent, SchedulingDelay
from standins.playing.stage import play
from standins.playing.scenario import load


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plays", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--scenario", default="calm")
    options = parser.parse_args()
    found = requests = 0
    for seed in range(1, options.plays + 1):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            world = runner.run(play(load(options.scenario), seed, options.seconds))
        breaches = find_violations(world.ledger)
        asked = sum(1 for _ in world.ledger.events_of(RequestSent))
        lag_ms = max((lag.delay_us for lag in world.ledger.events_of(SchedulingDelay)), default=0) / 1e3
        found, requests = found + len(breaches), requests + asked
        print(f"seed {seed:3}: {asked:6} requests, {len(breaches)} breaches, stood still {lag_ms:.1f} ms at most")
        for breach in breaches[:3]:
            print(breach)
    print(f"{options.plays} plays of {options.scenario}, {requests} requests, {found} breaches")
    return 1 if found else 0


if __name__ == "__main__":
    raise SystemExit(main())
