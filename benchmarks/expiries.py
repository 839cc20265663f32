"""Measures the time from the end of a backend's session to its last new request, and from registration to the first.

    .venv-dev/bin/python -m benchmarks.expiries [--boxes 60] [--gateways 20] [--expiries 200] [--rate 300]

Real gateways under load learn their backends from ephemeral nodes of the emulated ZooKeeper. The ensemble ends
sessions while the backends continue to respond; two seconds later the same backend registers again. A backend that is
sent nothing after the end of its session counts as 0 ms. The checker checks the event log as well.
Exit code: 1 if there is a violation, or if a request is sent 1.05 s or more after the end of a session, else 0.
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

SESSIONS_PER_BATCH = 5  # end almost together
REREGISTRATION_DELAY_S = 2.0
MAX_LAST_REQUEST_MS = 1_050.0


class SessionEnvironment(ZooKeeperEnvironment):
    """Environment that holds the backends' sessions itself, without agents, so that it can end them."""

    def __init__(self, scenario: Scenario, seed: int, seconds: float, folder: Path, rate: float) -> None:
        super().__init__(scenario, seed, seconds, folder)
        self.clients.operations_per_s = self.request_rate = rate
        self.sessions: dict[str, Session] = {}
        self.ended_sessions: list[tuple[str, int, int]] = []  # (backend, end of the session, new registration)

    def register(self, backend: Backend, lag_s: float | None) -> None:
        """Opens a session that never expires by itself, and registers the backend with it."""
        assert backend.address is not None
        session = self.ensemble.open_session(40_000, 0)
        session.last_heard_s = float("inf")
        data = {
            "v": 1, "name": backend.name, "address": f"{backend.address[0]}:{backend.address[1]}",
            "zone": ZONES[backend.zone_index], "type": self.backend_type.name,
            "group": backend.idempotency_store.group, "status": "SERVING", "since_ms": 0,
        }  # fmt: skip
        request = Create(f"{REGISTRATION_PATH}/{backend.name}", json.dumps(data).encode(), flags=Mode.EPHEMERAL)
        self.ensemble.commit(self.ensemble.tree.prepare(request, session.id))
        self.sessions[backend.name] = session

    async def end_sessions(self, count: int) -> None:
        """Ends sessions in batches until `count` have ended, and registers their backends again."""
        names = sorted(self.backends)
        while len(self.ended_sessions) < count:
            chosen = self.rng.sample(names, SESSIONS_PER_BATCH)
            end_times_us = {}
            for name in chosen:
                end_times_us[name] = now_us()
                self.ensemble.expire(self.sessions[name].id)
                await asyncio.sleep(self.rng.uniform(0, 0.05))
            await asyncio.sleep(REREGISTRATION_DELAY_S)
            for name in chosen:
                self.ended_sessions.append((name, end_times_us[name], now_us()))
                self.register(self.backends[name], None)
            await asyncio.sleep(0.6)


async def run(options: argparse.Namespace, folder: Path) -> SessionEnvironment:
    """Runs the load; ends sessions from two seconds after the first proxy address is open."""
    seconds = options.expiries / SESSIONS_PER_BATCH * (REREGISTRATION_DELAY_S + 0.75) + 4
    fleet = (options.boxes, options.gateways)
    scenario = Scenario("expiries", "sessions end", seconds, *fleet, membership="ephemeral")
    environment = SessionEnvironment(scenario, options.seed, seconds, folder, options.rate)

    async def end_sessions() -> None:
        while not any(target.is_open for target in environment.connection_balancer.targets_by_name.values()):
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        await environment.end_sessions(options.expiries)

    environment.spawn(end_sessions())
    await environment.run()
    return environment


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--boxes", type=int, default=60)
    parser.add_argument("--gateways", type=int, default=20)
    parser.add_argument("--expiries", type=int, default=200)
    parser.add_argument("--rate", type=float, default=300.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        environment = runner.run(run(options, Path(folder)))
    attempt_times_us: dict[str, list[int]] = {}
    for event in environment.event_log.events_of(BackendAttempt):
        attempt_times_us.setdefault(event.backend, []).append(event.at_us)
    last_request_ms, first_request_ms, sent_before = list[float](), list[float](), 0
    for backend, end_us, registered_us in environment.ended_sessions:
        late_times_us = [at_us for at_us in attempt_times_us.get(backend, []) if end_us < at_us < registered_us]
        last_request_ms.append((max(late_times_us) - end_us) / 1e3 if late_times_us else 0.0)
        new_times_us = [at_us for at_us in attempt_times_us.get(backend, []) if at_us >= registered_us]
        if new_times_us:
            first_request_ms.append((min(new_times_us) - registered_us) / 1e3)
        sent_before += any(end_us - 2_000_000 < at_us <= end_us for at_us in attempt_times_us.get(backend, []))

    def format_quantiles(values: list[float]) -> str:
        quantiles = " ".join(f"p{int(share * 100)} {quantile(values, share):.1f}" for share in (0.5, 0.9, 0.99))
        return f"{quantiles} max {max(values, default=0.0):.1f} ms"

    violations = find_violations(environment.event_log)
    request_count = sum(1 for _ in environment.event_log.events_of(RequestSent))
    memory_kib: dict[str, Any] = {
        event.gateway: event.rss_kib for event in environment.event_log.events_of(ResourceUsage)
    }
    sent_after = sum(value > 0 for value in last_request_ms)
    print(
        f"{options.boxes} backends, {options.gateways} gateways, {request_count} requests, "
        f"{len(environment.ended_sessions)} sessions ended"
    )
    print(
        f"last new request after the end of a session: {format_quantiles(last_request_ms)} "
        f"({sent_after} backends were sent one after it; {sent_before}"
    )
    print("  were sent one in the two seconds before it)")
    print(f"first request after a registration: {format_quantiles(first_request_ms)}")
    print(f"memory of a gateway {max(memory_kib.values()) / 1024:.1f} MiB at most; {len(violations)} violations")
    for violation in violations[:3]:
        print(violation)
    return 1 if violations or max(last_request_ms, default=0.0) >= MAX_LAST_REQUEST_MS else 0


if __name__ == "__main__":
    raise SystemExit(main())
