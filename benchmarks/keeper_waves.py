"""Restarts gateways in waves during an outage of the coordination service, and measures readiness and reconnects.

    .venv-dev/bin/python -m benchmarks.keeper_waves [--waves 10] [--gateways 11] [--boxes 12]

91% of the gateways restart in each wave, every other wave by SIGKILL. Printed: the number of starts, how many
gateways became ready (one with an empty list never does), the share of requests served, the rate of connects to the
service, and the connects in each of the first five seconds after its return.

Exit code 1: a violation was found, or a started gateway did not become ready.
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

RESTART_SHARE, WAVE_DURATION_S, WAVE_INTERVAL_S, RECOVERY_S = 0.91, 6.0, 8.0, 6.0


async def run(options: argparse.Namespace, folder: Path) -> tuple[ZooKeeperEnvironment, int, int]:
    """Run the scenario; return the environment and the start and end of the outage, in microseconds."""
    down_s = options.waves * WAVE_INTERVAL_S
    faults = [Fault(2.0, "keeper_down", {"for": down_s})] + [
        Fault(
            3.0 + n * WAVE_INTERVAL_S,
            "wave",
            {"share": RESTART_SHARE, "over": WAVE_DURATION_S, "at_once": 0.29, "kill": bool(n % 2)},
        )
        for n in range(options.waves)
    ]
    seconds = 2.0 + down_s + RECOVERY_S
    scenario = Scenario(
        "waves", "restarts without the service", seconds, options.boxes, options.gateways, load=0.15,
        membership="ephemeral", faults=tuple(faults),
    )  # fmt: skip
    environment = ZooKeeperEnvironment(scenario, options.seed, seconds, folder)
    outage_times_us = dict[str, int]()

    async def record_outage() -> None:
        while environment.ensemble.has_leader:
            await asyncio.sleep(0.01)
        outage_times_us["down"] = now_us()
        while not environment.ensemble.has_leader:
            await asyncio.sleep(0.01)
        outage_times_us["back"] = now_us()

    environment.spawn(record_outage())
    await environment.run()
    return environment, outage_times_us["down"], outage_times_us["back"]


def main() -> int:
    """Run the waves, print the figures and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--waves", type=int, default=10)
    parser.add_argument("--gateways", type=int, default=11)
    parser.add_argument("--boxes", type=int, default=12)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        environment, down_us, back_us = runner.run(run(options, Path(folder)))
    process_events = [
        event for event in environment.event_log.events_of(ProcessEvent) if down_us < event.at_us < back_us
    ]
    start_count = sum(event.what == "start" for event in process_events)
    ready_count = sum(event.what == "ready" for event in process_events)
    request_ids = [
        event.id for event in environment.event_log.events_of(RequestSent) if down_us < event.at_us < back_us
    ]
    served_ids = {event.id for event in environment.event_log.events_of(ResponseReceived) if event.status == 200}
    connect_times_us = sorted(
        at for link in environment.network.links if isinstance(link, TcpLink) and link.far.startswith("keeper")
        for at in link.connection_times_us
    )  # fmt: skip
    connects_by_second = Counter((at - down_us) // 1_000_000 for at in connect_times_us if down_us < at < back_us)
    reconnects_by_second = Counter(
        (at - back_us) // 1_000_000 for at in connect_times_us if back_us <= at < back_us + 5_000_000
    )
    served_share = sum(request_id in served_ids for request_id in request_ids) / max(1, len(request_ids))
    print(
        f"{options.waves} waves, {start_count} starts, {ready_count} ready, "
        f"{start_count - ready_count} with an empty list; "
        f"{served_share:.2%} of requests served"
    )
    connects_per_s = sum(connects_by_second.values()) / ((back_us - down_us) / 1e6)
    print(
        f"connects to the service: {connects_per_s:.1f} per second, "
        f"at most {max(connects_by_second.values(), default=0)} in one second, "
        f"by {options.gateways} gateways"
    )
    print(f"connects after its return, by second: {[reconnects_by_second[n] for n in range(5)]}")
    violations = find_violations(environment.event_log)
    print(f"{len(violations)} violations")
    for violation in violations[:3]:
        print(violation)
    return 1 if violations or start_count != ready_count else 0


if __name__ == "__main__":
    raise SystemExit(main())
