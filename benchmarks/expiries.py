"""From a session's end to the last new request at that box, and from a registration to the first one.

    .venv-dev/bin/python -m benchmarks.expiries [--boxes 60] [--gateways 20] [--expiries 200] [--rate 300]

Real gateways under load, membership from ephemeral nodes of the stand-in service. Sessions are ended by the service
while their boxes go on answering; two seconds later the same process registers again. A box that was sent nothing
after the end counts as 0. The checker judges the play too: exit code 1 for a breach, or for a longest time of 1.05 s
or more.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
from pathlib import Path
from typing import Any

import uvloop

from standins.checker import find_violations
from standins.parties.backend import Backend
from standins.playing.zookeeper_environment import REGISTRATION_PATH, ZooKeeperEnvironment
from standins.event_log import BackendAttempt, RequestSent, ResourceUsage, now_us
from standins.playing.scenario import Scenario
from standins.site import ZONES
from standins.showing.summary import quantile
from standins.parties.zookeeper.ensemble import Session
from standins.parties.zookeeper.jute import Create, Mode

TOGETHER = 5  # sessions that end at once
GONE_S = 2.0
LIMIT_MS = 1_050.0


class HandWorld(ZooKeeperEnvironment):
    """Boxes' sessions are kept here and not by agents: they end when this says so."""

    def __init__(self, scenario: Scenario, seed: int, seconds: float, folder: Path, rate: float) -> None:
        super().__init__(scenario, seed, seconds, folder)
        self.clients.operations_per_s = self.request_rate = rate
        self.sessions: dict[str, Session] = {}
        self.ended: list[tuple[str, int, int]] = []  # box, session's end, registered again

    def register(self, box: Backend, lag_s: float | None) -> None:
        assert box.address is not None
        session = self.ensemble.open_session(40_000, 0)
        session.last_heard_s = float("inf")
        data = {
            "v": 1, "name": box.name, "address": f"{box.address[0]}:{box.address[1]}", "zone": ZONES[box.room],
            "type": self.backend_type.name, "group": box.idempotency_store.group, "status": "SERVING", "since_ms": 0,
        }  # fmt: skip
        request = Create(f"{REGISTRATION_PATH}/{box.name}", json.dumps(data).encode(), flags=Mode.EPHEMERAL)
        self.ensemble.commit(self.ensemble.tree.prepare(request, session.id))
        self.sessions[box.name] = session

    async def end_sessions(self, count: int) -> None:
        names = sorted(self.backends)
        while len(self.ended) < count:
            chosen = self.rng.sample(names, TOGETHER)
            ends = {}
            for name in chosen:
                ends[name] = now_us()
                self.ensemble.expire(self.sessions[name].id)
                await asyncio.sleep(self.rng.uniform(0, 0.05))
            await asyncio.sleep(GONE_S)
            for name in chosen:
                self.ended.append((name, ends[name], now_us()))
                self.register(self.backends[name], None)
            await asyncio.sleep(0.6)


async def run(options: argparse.Namespace, folder: Path) -> HandWorld:
    seconds = options.expiries / TOGETHER * (GONE_S + 0.75) + 4
    fleet = (options.boxes, options.gateways)
    scenario = Scenario("expiries", "sessions end", seconds, *fleet, membership="ephemeral")
    world = HandWorld(scenario, options.seed, seconds, folder, options.rate)

    async def ends() -> None:
        while not any(door.is_open for door in world.proxy_addresses.targets_by_name.values()):
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        await world.end_sessions(options.expiries)

    world.spawn(ends())
    await world.run()
    return world


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--boxes", type=int, default=60)
    parser.add_argument("--gateways", type=int, default=20)
    parser.add_argument("--expiries", type=int, default=200)
    parser.add_argument("--rate", type=float, default=300.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        world = runner.run(run(options, Path(folder)))
    by_box: dict[str, list[int]] = {}
    for entry in world.event_log.events_of(BackendAttempt):
        by_box.setdefault(entry.backend, []).append(entry.at_us)
    last_ms, first_ms, sent_before = list[float](), list[float](), 0
    for box, end_us, again_us in world.ended:
        after = [at_us for at_us in by_box.get(box, []) if end_us < at_us < again_us]
        last_ms.append((max(after) - end_us) / 1e3 if after else 0.0)
        first = [at_us for at_us in by_box.get(box, []) if at_us >= again_us]
        if first:
            first_ms.append((min(first) - again_us) / 1e3)
        sent_before += any(end_us - 2_000_000 < at_us <= end_us for at_us in by_box.get(box, []))

    def spread(values: list[float]) -> str:
        shares = " ".join(f"p{int(share * 100)} {quantile(values, share):.1f}" for share in (0.5, 0.9, 0.99))
        return f"{shares} most {max(values, default=0.0):.1f} ms"

    breaches = find_violations(world.event_log)
    asked = sum(1 for _ in world.event_log.events_of(RequestSent))
    memory: dict[str, Any] = {entry.gateway: entry.rss_kib for entry in world.event_log.events_of(ResourceUsage)}
    sent = sum(value > 0 for value in last_ms)
    print(f"{options.boxes} boxes, {options.gateways} gateways, {asked} requests, {len(world.ended)} sessions ended")
    print(
        f"last new request after a session's end: {spread(last_ms)} "
        f"({sent} of them were sent any; {sent_before} had"
    )
    print("  been sent one in the two seconds before)")
    print(f"first request after a registration: {spread(first_ms)}")
    print(f"memory of a gateway {max(memory.values()) / 1024:.1f} MiB at most; {len(breaches)} breaches")
    for breach in breaches[:3]:
        print(breach)
    return 1 if breaches or max(last_ms, default=0.0) >= LIMIT_MS else 0


if __name__ == "__main__":
    raise SystemExit(main())
