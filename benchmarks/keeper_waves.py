"""Waves of restarts while the coordination service is unreachable: is any gateway empty, does any hammer?

    .venv-dev/bin/python -m benchmarks.keeper_waves [--waves 10] [--gateways 11] [--boxes 12]

91% of the gateways restart in each wave, every other wave by SIGKILL. Printed: starts, how many of them became ready
(a gateway without a box never does), the share served, connects a second to the service, and the herd at its return.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from collections import Counter
from pathlib import Path

import uvloop

from standins.checker import find_violations
from standins.playing.zookeeper_environment import ZooKeeperEnvironment
from standins.event_log import ProcessEvent, RequestSent, ResponseReceived, now_us
from standins.parties.network import TcpLink
from standins.playing.scenario import Scenario, Fault

SHARE, OVER_S, EVERY_S, BACK_S = 0.91, 6.0, 8.0, 6.0


async def run(options: argparse.Namespace, folder: Path) -> tuple[ZooKeeperEnvironment, int, int]:
    down_s = options.waves * EVERY_S
    troubles = [Fault(2.0, "keeper_down", {"for": down_s})] + [
        Fault(3.0 + n * EVERY_S, "wave", {"share": SHARE, "over": OVER_S, "at_once": 0.29, "kill": bool(n % 2)})
        for n in range(options.waves)
    ]
    seconds = 2.0 + down_s + BACK_S
    scenario = Scenario(
        "waves", "restarts without the service", seconds, options.boxes, options.gateways, load=0.15,
        membership="ephemeral", faults=tuple(troubles),
    )  # fmt: skip
    world = ZooKeeperEnvironment(scenario, options.seed, seconds, folder)
    moments = dict[str, int]()

    async def watch() -> None:
        while world.ensemble.has_leader:
            await asyncio.sleep(0.01)
        moments["down"] = now_us()
        while not world.ensemble.has_leader:
            await asyncio.sleep(0.01)
        moments["back"] = now_us()

    world.spawn(watch())
    await world.run()
    return world, moments["down"], moments["back"]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--waves", type=int, default=10)
    parser.add_argument("--gateways", type=int, default=11)
    parser.add_argument("--boxes", type=int, default=12)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        world, down_us, back_us = runner.run(run(options, Path(folder)))
    during = [p for p in world.event_log.events_of(ProcessEvent) if down_us < p.at_us < back_us]
    starts = sum(p.what == "start" for p in during)
    ready = sum(p.what == "ready" for p in during)
    asked = [a.id for a in world.event_log.events_of(RequestSent) if down_us < a.at_us < back_us]
    served = {a.id for a in world.event_log.events_of(ResponseReceived) if a.status == 200}
    came = sorted(at for k in world.network.links if isinstance(k, TcpLink) and k.far.startswith("keeper")
                  for at in k.connection_times_us)  # fmt: skip
    by_second = Counter((at - down_us) // 1_000_000 for at in came if down_us < at < back_us)
    herd = Counter((at - back_us) // 1_000_000 for at in came if back_us <= at < back_us + 5_000_000)
    share = sum(id_ in served for id_ in asked) / max(1, len(asked))
    print(f"{options.waves} waves, {starts} starts, {ready} ready, {starts - ready} empty; {share:.2%} served")
    each_s = sum(by_second.values()) / ((back_us - down_us) / 1e6)
    print(
        f"connects to the service: {each_s:.1f} a second, {max(by_second.values(), default=0)} at most in one, "
        f"by {options.gateways} gateways"
    )
    print(f"at its return, by second: {[herd[n] for n in range(5)]}")
    breaches = find_violations(world.event_log)
    print(f"{len(breaches)} breaches")
    for breach in breaches[:3]:
        print(breach)
    return 1 if breaches or starts != ready else 0


if __name__ == "__main__":
    raise SystemExit(main())
