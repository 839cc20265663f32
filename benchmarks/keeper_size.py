"""Measures hundreds of gateways' sessions at one coordination service when all backends leave and when it fails.

    .venv-dev/bin/python -m benchmarks.keeper_size [--sessions 400] [--boxes 64] [--workers 8]

Worker processes run the gateway's own sessions, watches and reads (discovery/zookeeper_source.py); the emulated
ensemble runs in the process of this tool. Printed for each event: the time until the first, half, 99% and the last of
the sessions had the new list, the number of requests to the service with the maximum per second, new connections, and
the memory and CPU time of the service.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import uvloop

from cloverkeel.discovery.zookeeper_source import BackendListener, ZookeeperWatcher
from cloverkeel.discovery.zookeeper_session import ZookeeperSessionOptions
from cloverkeel.discovery.backend import Backend
from cloverkeel.discovery.node_codec import encode_backend

from standins.parties.zookeeper.ensemble import Ensemble, KeeperConnection, Session
from standins.parties.zookeeper.jute import Create, EventType, Mode, Op

BACKENDS_PATH = "/cloverkeel/boxes"
LIST_TIMEOUT_S = 120.0
SAMPLE_INTERVAL_S = 0.05
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


# Worker process: runs gateways' sessions and prints a line for each list


class SimulatedGateway:
    """The ZooKeeper session of one gateway; prints the size of its backend list after each change."""

    def __init__(self, number: int, hosts: str, session_ms: int, spread_s: float) -> None:
        self.number, self.backend_names = number, set[str]()
        self.watcher = ZookeeperWatcher(
            ZookeeperSessionOptions(hosts, BACKENDS_PATH, session_ms, spread_s),
            BackendListener(self.on_backends, lambda state: None, on_deleted=self.on_deleted),
        )

    def on_backends(self, backends: list[Backend]) -> None:
        """Take over a complete list."""
        self.backend_names = {backend.name for backend in backends}
        self.print_list_size()

    def on_deleted(self, name: str) -> None:
        """Remove a backend whose node was deleted."""
        self.backend_names.discard(name)
        self.print_list_size()

    def print_list_size(self) -> None:
        """Print gateway, time, list size and session id as a line of JSON."""
        session = (self.watcher.client.client_id or (0,))[0]
        print(json.dumps([self.number, time.monotonic(), len(self.backend_names), session]), flush=True)


async def run_worker(hosts: str, count: int, first: int, session_ms: int, spread_s: float) -> None:
    """Run the sessions of `count` gateways, numbered from `first`."""
    gateways = [SimulatedGateway(number, hosts, session_ms, spread_s) for number in range(first, first + count)]
    for gateway in gateways:
        gateway.watcher.start()
    await asyncio.to_thread(sys.stdin.read)  # returns when the parent process ends


# Parent process


@dataclass
class Measurement:
    """The ensemble, and the figures reported by the worker processes."""

    ensemble: Ensemble
    backend_count: int
    session_count: int
    last_list_by_gateway: dict[int, tuple[float, int]] = field(default_factory=dict)  # received_s, list size
    samples: list[tuple[float, int, int]] = field(default_factory=list)  # time, requests, connections opened so far
    backend_sessions: list[Session] = field(default_factory=list)
    notified_s_by_session: dict[int, float] = field(default_factory=dict)  # last notification of a deletion
    gateway_by_session: dict[int, int] = field(default_factory=dict)
    partial_line_by_pipe: dict[int, bytes] = field(default_factory=dict)  # incomplete last line of a worker's output

    def register_backends(self) -> None:
        """Register each backend with a session of its own."""
        for number in range(self.backend_count):
            session = self.ensemble.open_session(40_000, 0)
            data = encode_backend(Backend(f"s-{number}", ("127.0.0.1", 9_000 + number), zone="kita-room", since_ms=1))
            request = Create(f"{BACKENDS_PATH}/s-{number}", data, flags=Mode.EPHEMERAL)
            self.ensemble.commit(self.ensemble.tree.prepare(request, session.id))
            session.last_heard_s = float("inf")  # no client sends heartbeats; it must not time out
            self.backend_sessions.append(session)

    def expire_backend_sessions(self) -> None:
        """Expire the sessions of all backends at once."""
        for session in self.backend_sessions:
            self.ensemble.expire(session.id)
        self.backend_sessions = []

    def on_delivery(
        self, connection: KeeperConnection, operation: Op | EventType, path: str, result: list[str] | bytes | None
    ) -> None:
        """Record the time at which a session is notified of a deletion."""
        if operation is EventType.DELETED and connection.session is not None:
            self.notified_s_by_session[connection.session.id] = time.monotonic()

    def describe_reaction(self) -> str:
        """Describe the delays, over all sessions, from the last notification of a deletion to the updated list."""
        delays_s = sorted(
            self.last_list_by_gateway[self.gateway_by_session[session]][0] - notified_s
            for session, notified_s in self.notified_s_by_session.items()
            if session in self.gateway_by_session
        )
        if not delays_s:
            return "no notification"
        duration_by_share = {
            share: delays_s[min(len(delays_s) - 1, int(share * len(delays_s)))] for share in (0.5, 0.99)
        }
        return (
            f"from the last notification: half {duration_by_share[0.5]:.3f}, "
            f"99% {duration_by_share[0.99]:.3f}, last {delays_s[-1]:.3f} s"
        )

    async def record_samples(self) -> None:
        """Sample the ensemble's counters at a fixed interval."""
        while True:
            counts = self.ensemble.counts
            self.samples.append((time.monotonic(), counts.requests, counts.connections_opened))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def read_worker_output(self, pipe: int) -> None:
        """Record the list sizes that a worker has printed."""
        data = os.read(pipe, 1 << 20)
        if not data:
            asyncio.get_running_loop().remove_reader(pipe)
        *lines, self.partial_line_by_pipe[pipe] = (self.partial_line_by_pipe.get(pipe, b"") + data).split(b"\n")
        for line in lines:
            gateway, at_s, list_size, session = json.loads(line)
            if self.last_list_by_gateway.get(gateway, (0.0, -1))[1] != list_size:
                self.last_list_by_gateway[gateway] = (at_s, list_size)
                self.gateway_by_session[session] = gateway

    async def wait_for_lists(self, event: str, backend_count: int, since_s: float, may_be_late: bool = False) -> None:
        """Wait until every session has a list of `backend_count` backends, and print how long that took."""
        end = time.monotonic() + LIST_TIMEOUT_S
        while (
            sum(list_size == backend_count for _, list_size in self.last_list_by_gateway.values())
            < self.session_count
        ):
            if time.monotonic() > end:
                count_with_list = sum(
                    list_size == backend_count for _, list_size in self.last_list_by_gateway.values()
                )
                raise RuntimeError(
                    f"{event}: {count_with_list} of {self.session_count} sessions had the list "
                    f"after {LIST_TIMEOUT_S:g} s"
                )
            await asyncio.sleep(0.01)
        self.print_event(
            event, sorted(received_s - since_s for received_s, _ in self.last_list_by_gateway.values()), since_s
        )

    def print_event(self, event: str, durations_s: list[float], since_s: float) -> None:
        """Print the distribution of the durations, and the load of the service since `since_s`."""
        last_duration_s = max(durations_s)
        window = [
            sample
            for sample in self.samples
            if since_s - SAMPLE_INTERVAL_S <= sample[0] <= since_s + last_duration_s + 2 * SAMPLE_INTERVAL_S
        ]
        request_count = window[-1][1] - window[0][1] if window else 0
        samples_per_s = int(1 / SAMPLE_INTERVAL_S)
        max_requests_per_s = max(
            (
                later[1] - earlier[1]
                for earlier, later in zip(self.samples, self.samples[samples_per_s:], strict=False)
                if later[0] >= since_s
            ),
            default=request_count,
        )
        max_connects_per_s = max(
            (
                later[2] - earlier[2]
                for earlier, later in zip(self.samples, self.samples[samples_per_s:], strict=False)
                if later[0] >= since_s
            ),
            default=0,
        )
        duration_by_share = {
            share: durations_s[min(len(durations_s) - 1, int(share * len(durations_s)))] for share in (0.0, 0.5, 0.99)
        }
        resident_mib = int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES / 2**20
        print(
            f"{event:44} first {duration_by_share[0.0]:6.3f}  half {duration_by_share[0.5]:6.3f}  "
            f"99% {duration_by_share[0.99]:6.3f}  last {last_duration_s:6.3f} s; "
            f"{request_count} requests, at most {max_requests_per_s} per second, "
            f"at most {max_connects_per_s} connects per second; "
            f"service {resident_mib:.0f} MiB, {time.process_time():.1f} s of CPU so far",
            flush=True,
        )


async def run(options: argparse.Namespace) -> None:
    """Start the ensemble and the workers, and measure each event."""
    ensemble = Ensemble(3, 1, timeouts_ms=(200, 60_000))
    await ensemble.start()
    for path in (BACKENDS_PATH.rpartition("/")[0], BACKENDS_PATH):
        ensemble.commit(ensemble.tree.prepare(Create(path), 0))
    measurement = Measurement(ensemble, options.boxes, options.sessions)
    ensemble.on_delivery = measurement.on_delivery
    measurement.register_backends()
    sampler = asyncio.create_task(measurement.record_samples())
    workers = []
    loop = asyncio.get_running_loop()
    started_s = time.monotonic()
    for number in range(options.workers):
        first = options.sessions * number // options.workers
        count = options.sessions * (number + 1) // options.workers - first
        arguments = [ensemble.hosts, str(count), str(first), str(options.session_ms), str(options.spread_ms / 1000)]
        worker = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.keeper_size", "--worker", *arguments], stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )  # fmt: skip
        assert worker.stdout is not None
        loop.add_reader(worker.stdout.fileno(), measurement.read_worker_output, worker.stdout.fileno())
        workers.append(worker)
    try:
        for round_index in range(options.rounds):
            event = "all gateways start" if round_index == 0 else "the backends are registered again"
            await measurement.wait_for_lists(event, options.boxes, started_s)
            await asyncio.sleep(2.0)
            started_s = time.monotonic()
            measurement.notified_s_by_session = {}
            measurement.expire_backend_sessions()
            await measurement.wait_for_lists("the sessions of all backends expire", 0, started_s)
            print(f"{'':44} {measurement.describe_reaction()}", flush=True)
            await asyncio.sleep(2.0)
            started_s = time.monotonic()
            measurement.register_backends()
        await measurement.wait_for_lists("the backends are registered again", options.boxes, started_s)
        await asyncio.sleep(2.0)
        # The service stops. All backends leave before it returns, so every gateway must read a new list then.
        ensemble.stop()
        await asyncio.sleep(options.away_s)
        for session in measurement.backend_sessions:
            ensemble.end_session(session)
        measurement.backend_sessions = []
        started_s = time.monotonic()
        await ensemble.restart()
        await measurement.wait_for_lists(f"the service returns after {options.away_s:g} s", 0, started_s)
        notification_counts = [session.notification_count for session in ensemble.sessions.values()]
        print(
            f"notifications per session: median {statistics.median(notification_counts):.0f}, "
            f"maximum {max(notification_counts)}"
        )
    finally:
        sampler.cancel()
        for worker in workers:
            assert worker.stdout is not None
            loop.remove_reader(worker.stdout.fileno())
            worker.kill()
            worker.wait()
        ensemble.close()


def main() -> int:
    """Run the measurement, or a worker process."""
    if sys.argv[1:2] == ["--worker"]:
        hosts, count, first, session_ms, spread_s = sys.argv[2:]
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run_worker(hosts, int(count), int(first), int(session_ms), float(spread_s)))
        return 0
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--sessions", type=int, default=400)
    parser.add_argument("--boxes", type=int, default=64)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--session-ms", type=int, default=10_000)
    parser.add_argument("--spread-ms", type=int, default=1_000)
    parser.add_argument("--away-s", type=float, default=3.0)
    options = parser.parse_args()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(options))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
