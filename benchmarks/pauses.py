"""Pauses gateway processes for 0.5 to 20 s, with a notification of a drain during each pause.

    .venv-dev/bin/python -m benchmarks.pauses [--pauses 50] [--membership registry|ephemeral] [--unguarded]

The drained backend continues to respond, so that a late attempt reaches it and is recorded. Prints the pauses, the
time from each resumption to the first attempt, the number of requests that arrived during a pause, violations, and
the responses of the clients. `--unguarded` runs gateways that handle events after a pause without catching up first.
Exit code: 1 if there is a violation or a logged defect, else 0.
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

MIN_PAUSE_S, MAX_PAUSE_S = 0.5, 20.0
CONCURRENT_PAUSES = 5  # gateways that are paused at the same time
PAUSE_GAP_S = 3.5  # between the pauses of one track, so that the previous drain is over
LEAD_TIME_S, TRAILING_TIME_S = 2.0, 6.0  # before the first and after the last pause


def plan_pauses(pauses: int) -> tuple[tuple[Fault, ...], float]:
    """Distributes pauses of all lengths over concurrent tracks; returns the faults and the duration in seconds."""
    ratio = (MAX_PAUSE_S / MIN_PAUSE_S) ** (1 / max(1, pauses - 1))
    lengths_s = sorted((MIN_PAUSE_S * ratio**n for n in range(pauses)), reverse=True)
    track_free_s = [LEAD_TIME_S + 0.3 * n for n in range(CONCURRENT_PAUSES)]
    faults = []
    for length_s in lengths_s:  # longest first, each on the track that becomes free first
        track = track_free_s.index(min(track_free_s))
        faults.append(Fault(track_free_s[track], "pause", {"for": length_s, "drain": True}))
        track_free_s[track] += length_s + PAUSE_GAP_S
    return tuple(faults), max(track_free_s) + TRAILING_TIME_S


async def run(options: argparse.Namespace, folder: Path) -> Environment:
    """Runs the scenario of pauses and returns its environment."""
    faults, seconds = plan_pauses(options.pauses)
    scenario = Scenario(
        "pauses", "paused gateways", seconds, boxes=14, gateways=10, load=options.load,
        membership=options.membership, faults=faults,
    )  # fmt: skip
    environment_type = ZooKeeperEnvironment if options.membership == "ephemeral" else Environment
    environment = environment_type(scenario, options.seed, seconds, folder)
    if options.unguarded:
        environment.use_gateway_command((sys.executable, "-m", "benchmarks.guards.mutated_gateway", "still"))
    environment.on_progress = lambda text: print(f"  {text}", flush=True)
    await environment.run()
    return environment


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--pauses", type=int, default=50)
    parser.add_argument("--membership", choices=("registry", "ephemeral"), default="registry")
    parser.add_argument("--load", type=float, default=0.5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--unguarded", action="store_true")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        environment = runner.run(run(options, Path(folder)))
    checker = Checker(environment.event_log)
    violations = checker.find_violations()
    pauses_by_gateway: dict[str, list[tuple[int, int]]] = {}
    for event in environment.event_log.events_of(ProcessEvent):
        if event.what == "STOP":
            pauses_by_gateway.setdefault(event.gateway, []).append((event.at_us, 0))
        elif event.what == "CONT" and event.gateway in pauses_by_gateway:
            pauses_by_gateway[event.gateway][-1] = (pauses_by_gateway[event.gateway][-1][0], event.at_us)
    drain_notifications = [
        event for event in environment.event_log.events_of(NotificationDelivered) if event.status != "SERVING"
    ]
    attempt_times_us: dict[str, list[int]] = {}
    for attempt in environment.event_log.events_of(BackendAttempt):
        if attempt.gateway and attempt.received_us:
            attempt_times_us.setdefault(attempt.gateway, []).append(attempt.at_us)
    request_times_us: dict[str, list[int]] = {}
    for request in environment.event_log.events_of(RequestSent):
        request_times_us.setdefault(request.gateway, []).append(request.at_us)
    first_attempt_ms, request_counts, notified_count = list[float](), list[int](), 0
    for gateway, pauses in pauses_by_gateway.items():
        attempts_us, requests_us = (
            sorted(attempt_times_us.get(gateway, [])),
            sorted(request_times_us.get(gateway, [])),
        )
        for stopped_us, resumed_us in pauses:
            notified_count += any(
                event.gateway == gateway and stopped_us < event.at_us < resumed_us for event in drain_notifications
            )
            request_counts.append(bisect_left(requests_us, resumed_us) - bisect_left(requests_us, stopped_us))
            index = bisect_left(attempts_us, resumed_us)
            if index < len(attempts_us):
                first_attempt_ms.append((attempts_us[index] - resumed_us) / 1e3)
    lengths_s = [
        (resumed_us - stopped_us) / 1e6 for pauses in pauses_by_gateway.values() for stopped_us, resumed_us in pauses
    ]
    summary = summarise(checker, "pauses", options.seed, environment.seconds)
    response_count = sum(1 for _ in environment.event_log.events_of(ResponseReceived))
    print(
        f"{len(lengths_s)} pauses of {min(lengths_s):.2f} to {max(lengths_s):.2f} s, "
        f"{notified_count} of them with a drain notification; "
        f"{min(request_counts)} to {max(request_counts)} requests arrived during a pause"
    )
    print(
        f"first attempt after a pause: median {statistics.median(first_attempt_ms):.1f} ms, "
        f"min {min(first_attempt_ms):.1f}, max {max(first_attempt_ms):.1f}"
    )
    print(
        f"{response_count} responses; service weighted by worth {summary.service:.1%}; violations: {summary.breaches}"
    )
    for line in (*environment.logged_defects[:3], *map(str, violations[:2])):
        print(line)
    return 1 if violations or environment.logged_defects else 0


if __name__ == "__main__":
    raise SystemExit(main())
