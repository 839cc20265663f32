"""Gateways that stand still: so many pauses of 0.5 to 20 s, and word of a drain inside each.

    .venv-dev/bin/python -m benchmarks.pauses [--pauses 50] [--membership registry|ephemeral] [--unguarded]

The box goes on answering, so that a late send reaches it and is seen. Printed: the pauses, the first sends after each
waking and how many requests waited then, breaches, and what the clients got. `--unguarded` plays a gateway that goes
on with what comes first. Exit code 1 on any breach.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import tempfile
from bisect import bisect_left
from pathlib import Path

import uvloop

from standins.checker import Checker
from standins.playing.zookeeper_environment import ZooKeeperEnvironment
from standins.event_log import BackendAttempt, NotificationDelivered, ProcessEvent, RequestSent, ResponseReceived
from standins.playing.environment import Environment
from standins.playing.scenario import Scenario, Fault
from standins.showing.summary import summarise

SHORTEST_S, LONGEST_S = 0.5, 20.0
AT_ONCE = 5  # gateways that stand still at one time
BETWEEN_S = 3.5  # from one pause to the next in its row: the drain of the first is over
FIRST_S, LAST_S = 2.0, 6.0


def plan(pauses: int) -> tuple[tuple[Fault, ...], float]:
    """Pauses of all lengths, in as many rows as may stand at once; and how long that takes."""
    ratio = (LONGEST_S / SHORTEST_S) ** (1 / max(1, pauses - 1))
    lengths = sorted((SHORTEST_S * ratio**n for n in range(pauses)), reverse=True)
    rows = [FIRST_S + 0.3 * n for n in range(AT_ONCE)]
    troubles = []
    for length in lengths:  # the longest first, each to the row that is free soonest
        row = rows.index(min(rows))
        troubles.append(Fault(rows[row], "pause", {"for": length, "drain": True}))
        rows[row] += length + BETWEEN_S
    return tuple(troubles), max(rows) + LAST_S


async def run(options: argparse.Namespace, folder: Path) -> Environment:
    troubles, seconds = plan(options.pauses)
    scenario = Scenario(
        "pauses", "gateways that stand still", seconds, boxes=14, gateways=10, load=options.load,
        membership=options.membership, faults=troubles,
    )  # fmt: skip
    made = ZooKeeperEnvironment if options.membership == "ephemeral" else Environment
    world = made(scenario, options.seed, seconds, folder)
    if options.unguarded:
        world.use_gateway_command((sys.executable, "-m", "benchmarks.guards.mutated_gateway", "still"))
    world.on_progress = lambda text: print(f"  {text}", flush=True)
    await world.run()
    return world


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--pauses", type=int, default=50)
    parser.add_argument("--membership", choices=("registry", "ephemeral"), default="registry")
    parser.add_argument("--load", type=float, default=0.5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--unguarded", action="store_true")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        world = runner.run(run(options, Path(folder)))
    checker = Checker(world.event_log)
    breaches = checker.find_violations()
    stops: dict[str, list[tuple[int, int]]] = {}
    for entry in world.event_log.events_of(ProcessEvent):
        if entry.what == "STOP":
            stops.setdefault(entry.gateway, []).append((entry.at_us, 0))
        elif entry.what == "CONT" and entry.gateway in stops:
            stops[entry.gateway][-1] = (stops[entry.gateway][-1][0], entry.at_us)
    told = [t for t in world.event_log.events_of(NotificationDelivered) if t.status != "SERVING"]
    runs: dict[str, list[int]] = {}
    for sent in world.event_log.events_of(BackendAttempt):
        if sent.gateway and sent.received_us:
            runs.setdefault(sent.gateway, []).append(sent.at_us)
    asked: dict[str, list[int]] = {}
    for ask in world.event_log.events_of(RequestSent):
        asked.setdefault(ask.gateway, []).append(ask.at_us)
    first_ms, waited, inside = list[float](), list[int](), 0
    for gateway, pauses in stops.items():
        sends, asks = sorted(runs.get(gateway, [])), sorted(asked.get(gateway, []))
        for stop_us, cont_us in pauses:
            inside += any(t.gateway == gateway and stop_us < t.at_us < cont_us for t in told)
            waited.append(bisect_left(asks, cont_us) - bisect_left(asks, stop_us))
            at = bisect_left(sends, cont_us)
            if at < len(sends):
                first_ms.append((sends[at] - cont_us) / 1e3)
    lengths = [(cont - stop) / 1e6 for pauses in stops.values() for stop, cont in pauses]
    summary = summarise(checker, "pauses", options.seed, world.seconds)
    statuses = sum(1 for a in world.event_log.events_of(ResponseReceived))
    print(
        f"{len(lengths)} pauses of {min(lengths):.2f} to {max(lengths):.2f} s, word came inside {inside} of them; "
        f"{min(waited)} to {max(waited)} requests came meanwhile"
    )
    print(
        f"first send after waking: median {statistics.median(first_ms):.1f} ms, least {min(first_ms):.1f}, "
        f"most {max(first_ms):.1f}"
    )
    print(f"{statuses} answers; service by worth {summary.service:.1%}; breaches: {summary.breaches}")
    for line in (*world.logged_defects[:3], *map(str, breaches[:2])):
        print(line)
    return 1 if breaches or world.logged_defects else 0


if __name__ == "__main__":
    raise SystemExit(main())
