"""Runs one measurement at one size in its own process; benchmarks.capacity.slopes starts it.

    python -m benchmarks.capacity.parts PART SIZE [--seconds S]

Prints one JSON object: costs by name, in the units of rows.SPECS. CPU times are read from the kernel.
A part must not depend on what its costs are used for, and fits no curve.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import gzip
import json
import os
import random
import socket
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
import urllib.request
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

import uvloop

from cloverkeel.compiled import loader
from benchmarks.capacity.plan import PLAN, build_fleet, zones_by_region
from benchmarks.capacity.stub_environment import encode_response, gateways_for_hosts, host_entries
from standins.site import BackendType, Rules, configuration, settings

Costs = dict[str, float]
ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0  # time limit for the start of a process; a broken run lasts this long
REQUEST_TIMEOUT_S = 5.0
MAX_IDLE_CONNECTIONS = 256  # idle connections that the load generator keeps open per port
LIST_REPEATS, CHANGE_REPEATS, START_REPEATS = 3, 15, 3  # measurements; CPU and start times are their median
RATE_HOSTS, RATE_LOAD_S = 200, 4.0  # hosts of part_rate, and the maximum duration of its load
RELAYED_LOAD_S = 5.0  # duration of each load of part_relayed, which runs in several rounds
WARM_UP_S = 1.0  # duration of requests that are not counted
IDLE_S = 2.0  # duration over which the CPU time of an idle gateway is measured
# Step of the simulated clock, and the time limit until all gateways suspect a failing host.
NEWS_STEP_US, NEWS_TIMEOUT_US = 5_000, 10_000_000
WARMING_HOSTS = 8  # hosts that warm up at a time; 9,800 starts a day of 6 s each are fewer than one on average
MB_PER_KIB = 1024 / 1e6
RELAY_MIN_GZIP_BYTES, RELAY_GZIP_LEVEL = 1 << 10, 6  # smallest response that a relay compresses, and the gzip level
SUBSET_COSTS = (
    "whole_first_stop_ms",
    *(f"{name}_{unit}" for name in ("whole", "change_zone") for unit in ("cpu_ms", "stop_ms", "bytes")),
)
TICK_INTERVAL_S = 0.001  # interval of the timer that detects stalls of the event loop
# Start times of hosts: the current Unix time, the period over which starts are spread, and the same for a zone that
# returns.
NOW_MS, START_SPREAD_MS, ZONE_START_SPREAD_MS = 1_796_119_613_761, 4 * 86_400_000, 4_000


def gateway_settings(hosts: int) -> dict[str, Any]:
    """Return the settings of a gateway of the plan's fleet with this number of hosts. Discovery pushes the list."""
    zones = [zone for region_zones in zones_by_region().values() for zone in region_zones]
    return settings(gateways_for_hosts(hosts), 0, 0, BackendType(), Rules()) | {
        "membershipMode": "pushed",
        "zones": zones,
    }


def read_status_kib(pid: int | str, field_name: str) -> float:
    """Return a memory figure of a process from /proc."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(float(line.split()[1]) for line in lines if line.startswith(field_name + ":"))


def process_cpu_ms(pid: int) -> float:
    """Return the CPU time that all threads of a process have used."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e6


# Host lists at a gateway: the real components, assembled, with responses of discovery handed to them


def _encode_body(index: int, is_snapshot: bool, entries: list[dict[str, Any]]) -> bytes:
    return encode_response(index, is_snapshot, entries).partition(b"\r\n\r\n")[2]


def part_list(size: int, seconds: float) -> Costs:
    """Measure CPU time, longest stall of the event loop and bytes of lists and changes, as the discovery client
    applies them."""
    return _measure_lists(size, {}, "")


def part_subset(size: int, seconds: float) -> Costs:
    """Measure the same behind a relay, which compresses its responses with gzip, for lists as long as a subset."""
    relays = {"relays": {"addresses": ["127.0.0.1:9"]}}
    return {
        f"subset_{name}": cost for name, cost in _measure_lists(size, relays, "gzip").items() if name in SUBSET_COSTS
    }


def _measure_lists(size: int, tables: dict[str, Any], coding: str) -> Costs:
    from cloverkeel.assembly import assemble
    from cloverkeel.core.config import parse
    from cloverkeel.core.gc_tuning import EndpointFreezer
    from cloverkeel.core.messages import Reply
    from cloverkeel.core.options import parse as parse_options
    from cloverkeel.discovery.http_client import HttpEndpointSource
    from cloverkeel.discovery.relay_client import RelayEndpointSource

    entries = host_entries(size, [])
    costs: Costs = {}

    async def measure() -> None:
        config = parse(configuration("g0", "127.0.0.1:0", "127.0.0.1:9", "1", [], gateway_settings(size)))
        program = assemble(config, parse_options(tables, "measured"))
        gateway, discovery, loop = program.gateway, program.discovery, asyncio.get_running_loop()
        assert isinstance(discovery, HttpEndpointSource)
        if isinstance(discovery, RelayEndpointSource):
            discovery.selector.choose(0.0)  # no relay is called: responses are handed to the client
        # The program sets up garbage collection in the same way (cloverkeel/__main__.py).
        gc.collect()
        gc.freeze()
        gc.set_threshold(5_000, 10, 10)
        gateway.endpoint_updates.on_applied = EndpointFreezer(asyncio.get_running_loop().call_soon).on_entries_added
        full_passes_ms: list[float] = []  # duration of each full garbage collection, whatever triggered it
        pass_start_s = 0.0

        def on_pass(phase: str, info: dict[str, int]) -> None:
            nonlocal pass_start_s
            if info["generation"] == 2 and phase == "start":
                pass_start_s = time.perf_counter()
            elif info["generation"] == 2:
                full_passes_ms.append((time.perf_counter() - pass_start_s) * 1e3)

        gc.callbacks.append(on_pass)

        def make_reply(index: int, is_snapshot: bool, items: list[dict[str, Any]]) -> Reply:
            body = _encode_body(index, is_snapshot, items)
            if not coding or len(body) < RELAY_MIN_GZIP_BYTES:
                return Reply(200, [], body, True)
            return Reply(200, [(b"Content-Encoding", coding.encode())], gzip.compress(body, RELAY_GZIP_LEVEL), True)

        async def apply_reply(reply: Reply) -> tuple[float, float]:
            """Return the CPU time of one reply and the longest turn of the loop until it is applied, both in ms."""
            longest_s, cpu_start_s, turn_start_s = 0.0, time.process_time(), time.perf_counter()
            reply_task = loop.create_task(discovery.handle_reply(reply))
            while not reply_task.done() or gateway.endpoint_updates.batches.pending:
                await asyncio.sleep(0)
                longest_s, turn_start_s = max(longest_s, time.perf_counter() - turn_start_s), time.perf_counter()
            reply_task.result()
            return (time.process_time() - cpu_start_s) * 1e3, longest_s * 1e3

        list_reply = make_reply(1, True, entries)
        first_result = await apply_reply(list_reply)
        await asyncio.sleep(0)
        list_results = []
        for _ in range(LIST_REPEATS):
            list_results.append(await apply_reply(list_reply))
            await asyncio.sleep(0)
        costs["whole_first_stop_ms"] = first_result[1]  # the gateway serves no request before it
        _record_costs(costs, "whole", list_results, len(list_reply.body))
        query = b"GET /registry/instances?from=100000&hold_ms=1000 HTTP/1.1\r\nHost: 10.0.0.1:8080\r\n\r\n"
        costs["poll_bytes"] = len(query) + len(encode_response(100_000, False, []))
        index = 2
        for count in (1, 5, 500, max(1, size // PLAN.zones)):
            name = "change_zone" if count == max(1, size // PLAN.zones) and count not in (1, 5) else f"change_{count}"
            if count > size // 2:
                continue
            results: list[tuple[float, float]] = []
            for repeat in range(CHANGE_REPEATS if count <= 5 else LIST_REPEATS):
                first_index = repeat * count % (size - count + 1)
                changed = entries[first_index : first_index + count]
                if name == "change_zone":
                    # The zone is removed and returns; only its return, with new start times, is measured.
                    await apply_reply(make_reply(index, False, [entry | {"status": "DELETED"} for entry in changed]))
                    changed = [entry | {"since_ms": 1_000_000 + repeat} for entry in changed]
                else:
                    changed = [entry | {"weight": 1.0 + 0.01 * (repeat % 5 + 1)} for entry in changed]
                change_reply = make_reply(index, False, changed)
                index += 1
                results.append(await apply_reply(change_reply))
                await asyncio.sleep(0)
            _record_costs(costs, name, results, len(change_reply.body))
        await asyncio.sleep(0.01)
        gc.collect()  # the program's next full pass would take as long
        gc.callbacks.remove(on_pass)
        costs["collector_ms"] = max(full_passes_ms)
        program.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(measure())
    return costs


def _record_costs(costs: Costs, name: str, results: list[tuple[float, float]], size_bytes: int) -> None:
    costs[f"{name}_cpu_ms"] = statistics.median(cpu for cpu, _ in results)
    costs[f"{name}_stop_ms"] = max(stall for _, stall in results)
    costs[f"{name}_bytes"] = size_bytes


# A real gateway process with stub hosts and stub discovery


@contextmanager
def start_stub_environment(hosts: int) -> Iterator[tuple[list[int], int]]:
    """Run the stub hosts and discovery, and yield the ports of the hosts and the port of discovery."""
    command = (sys.executable, "-m", "benchmarks.capacity.stub_environment", str(hosts))
    process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    assert process.stdin is not None and process.stdout is not None
    try:
        ports = json.loads(process.stdout.readline())
        yield ports["hosts"], ports["discovery"]
    finally:
        process.stdin.close()
        process.wait(READY_TIMEOUT_S)


@dataclass
class GatewayProcess:
    """A gateway started as `python -m cloverkeel`, and measured from outside."""

    folder: Path
    config: dict[str, Any]
    port: int = 0
    process: subprocess.Popen[bytes] | None = None
    extra_environment: dict[str, str] = field(default_factory=dict)  # additional environment variables

    @property
    def pid(self) -> int:
        """Process id of the running gateway."""
        assert self.process is not None
        return self.process.pid

    def start(self) -> float:
        """Start the gateway, and return the time until it reports that it is ready, in ms."""
        self.port = free_port()
        config_file = self.folder / "g.json"
        config_file.write_text(json.dumps(self.config | {"listen": f"127.0.0.1:{self.port}"}))
        start_s = time.perf_counter()
        with (self.folder / "g.log").open("ab") as log:
            self.process = subprocess.Popen(
                (sys.executable, "-m", "cloverkeel"), cwd=ROOT,
                env=os.environ | {"LB_CONFIG": str(config_file)} | self.extra_environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip
        wait_ready(self.port, self.process, self.folder / "g.log")
        return (time.perf_counter() - start_s) * 1e3

    def kill(self) -> None:
        """Kill the gateway without a drain, which no part measures."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None


def wait_ready(port: int, process: subprocess.Popen[bytes], log: Path) -> None:
    """Wait until the process reports that it is ready. Raise RuntimeError if it exits or the timeout passes."""
    deadline_s = time.perf_counter() + READY_TIMEOUT_S
    while not is_ready(port):
        if process.poll() is not None or time.perf_counter() > deadline_s:
            raise RuntimeError(f"the process did not become ready: {log.read_text()[-2000:]}")
        time.sleep(0.002)


def is_ready(port: int) -> bool:
    """Return whether the server at this port reports that it is ready."""
    try:
        with socket.create_connection(("127.0.0.1", port), 1.0) as connection:
            connection.sendall(b"GET /health/ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n")
            return connection.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


def free_port() -> int:
    """Return a port that is free at the moment."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def send_control_request(port: int, target: str) -> None:
    """Send a control request to the stub discovery. Raise RuntimeError unless it answers with status 200."""
    with socket.create_connection(("127.0.0.1", port), 5.0) as connection:
        connection.sendall(f"GET {target} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
        if not connection.recv(64).startswith(b"HTTP/1.1 200"):
            raise RuntimeError(f"{target}: no response with status 200")


@dataclass
class RequestResults:
    """Latencies of served requests, and the number of requests that were not served."""

    latencies_ms: list[float] = field(default_factory=list)
    refused: int = 0

    def p99_ms(self) -> float:
        """Return the 99th percentile of the latencies."""
        return statistics.quantiles(self.latencies_ms, n=100)[98]


class ClientConnection(asyncio.Protocol):
    """A kept connection that carries one request at a time."""

    def __init__(self) -> None:
        self.response: asyncio.Future[bytes] | None = None
        self.received = b""
        self.is_lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.received += data
        head, separator, body = self.received.partition(b"\r\n\r\n")
        if not separator:
            return
        length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0] or 0)
        if len(body) >= length and self.response is not None and not self.response.done():
            self.response.set_result(self.received)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_lost = True
        if self.response is not None and not self.response.done():
            self.response.set_result(b"")


class LoadGenerator:
    """Sends requests at random times at a given rate, independently of response times: each one to the gateway, and
    an equal one directly to a host."""

    def __init__(self, gateway_port: int, host_ports: list[int], rate: float) -> None:
        self.ports_by_target = {"through": [gateway_port], "direct": host_ports}
        self.rate = rate
        self.idle_connections: dict[int, list[ClientConnection]] = {}
        self.count = 0

    async def run(self, seconds: float) -> dict[str, RequestResults]:
        """Send requests for this long, and return the results by target."""
        loop = asyncio.get_running_loop()
        rng = random.Random(self.count)
        results = {name: RequestResults() for name in self.ports_by_target}
        next_s, end_s, tasks = loop.time(), loop.time() + seconds, set[asyncio.Task[None]]()
        while next_s < end_s:
            await asyncio.sleep(max(0.0, next_s - loop.time()))
            for name, ports in self.ports_by_target.items():
                self.count += 1
                start_s, port = time.perf_counter(), ports[self.count // 2 % len(ports)]
                tasks.add(loop.create_task(self.send_request(port, results[name], start_s)))
            next_s += rng.expovariate(self.rate)
        await asyncio.wait(tasks)
        for task in tasks:
            task.result()
        return results

    async def send_request(self, port: int, results: RequestResults, start_s: float) -> None:
        """Send one request to a port, and add its result."""
        loop = asyncio.get_running_loop()
        idle = self.idle_connections.setdefault(port, [])
        number = self.count
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                while idle and idle[-1].is_lost:
                    idle.pop()
                connection = (
                    idle.pop() if idle else (await loop.create_connection(ClientConnection, "127.0.0.1", port))[1]
                )
                connection.received, connection.response = b"", loop.create_future()
                connection.transport.write(make_request(number))
                response = await connection.response
        except (OSError, TimeoutError):
            results.refused += 1
            return
        if response.startswith(b"HTTP/1.1 200"):
            results.latencies_ms.append((time.perf_counter() - start_s) * 1e3)
        else:
            results.refused += 1
        if response and len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(connection)


def make_request(number: int) -> bytes:
    """Return the request with this number."""
    return (
        f"GET /search/{number % 1500:x} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {number:016x}\r\n"
        "X-Call-Class: search\r\nX-Caller: central\r\nX-Budget-Ms: 700\r\nX-Call-Cost: 41000\r\n\r\n"
    ).encode()


def part_gateway(size: int, seconds: float) -> Costs:
    """Measure a real gateway: start, memory, CPU time per request, and added p99 with and without host changes."""
    costs: Costs = {}
    with start_stub_environment(size) as (hosts, discovery), tempfile.TemporaryDirectory() as folder:
        entries = host_entries(size, hosts)
        settings_table = gateway_settings(size)
        config = configuration("g0", "", f"127.0.0.1:{discovery}", "1", entries, settings_table)
        gateway = GatewayProcess(Path(folder), config)
        try:
            start_durations_ms = []
            for _ in range(START_REPEATS):
                gateway.kill()
                start_durations_ms.append(gateway.start())
            costs["ready_ms"] = statistics.median(start_durations_ms)
            costs["resident_mb"] = read_status_kib(gateway.pid, "VmRSS") * MB_PER_KIB
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                load = LoadGenerator(gateway.port, hosts, PLAN.requests_per_gateway)
                runner.run(load.run(min(WARM_UP_S, seconds)))
                _measure_load(costs, "quiet", runner, load, gateway.pid, seconds)
                send_control_request(discovery, "/changes?count=5&every_ms=333")
                _measure_load(costs, "changes", runner, load, gateway.pid, seconds)
                send_control_request(discovery, "/changes?count=0&every_ms=0")
            idle_s, cpu_start_ms = min(IDLE_S, seconds), process_cpu_ms(gateway.pid)
            time.sleep(idle_s)
            costs["idle_ms_per_s"] = (process_cpu_ms(gateway.pid) - cpu_start_ms) / idle_s
            send_control_request(discovery, "/anew")
            time.sleep(idle_s)  # longer than the gateway needs to read the whole list
            costs["resident_most_mb"] = read_status_kib(gateway.pid, "VmHWM") * MB_PER_KIB
        finally:
            gateway.kill()
    return costs


def part_rate(size: int, seconds: float) -> Costs:
    """Measure a real gateway with RATE_HOSTS hosts at `size` requests per second."""
    with start_stub_environment(RATE_HOSTS) as (hosts, discovery), tempfile.TemporaryDirectory() as folder:
        settings_table = gateway_settings(RATE_HOSTS)
        entries = host_entries(RATE_HOSTS, hosts)
        gateway = GatewayProcess(
            Path(folder), configuration("g0", "", f"127.0.0.1:{discovery}", "1", entries, settings_table)
        )
        try:
            gateway.start()
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                load = LoadGenerator(gateway.port, hosts, float(size))
                runner.run(load.run(min(WARM_UP_S, seconds)))
                costs: Costs = {}
                _measure_load(costs, "rate", runner, load, gateway.pid, min(seconds, RATE_LOAD_S))
        finally:
            gateway.kill()
    return {"rate_request_us": costs["rate_request_us"]}


def _measure_load(
    costs: Costs, name: str, runner: asyncio.Runner, load: LoadGenerator, pid: int, seconds: float
) -> None:
    cpu_start_ms = process_cpu_ms(pid)
    results = runner.run(load.run(seconds))
    spent_ms = process_cpu_ms(pid) - cpu_start_ms
    through, direct = results["through"], results["direct"]
    requests = len(through.latencies_ms) + through.refused
    costs[f"{name}_request_us"] = spent_ms * 1e3 / requests
    costs[f"{name}_p99_added_ms"] = max(0.0, through.p99_ms() - direct.p99_ms())
    costs[f"{name}_p99_direct_ms"] = direct.p99_ms()
    costs[f"{name}_refused"] = through.refused / requests


# Peers: pure components of all gateways on one simulated clock, with their datagrams counted


def part_presence(size: int, seconds: float) -> Costs:
    """Measure the datagrams, CPU time and memory by which `size` gateways watch one another."""
    from benchmarks.sharing import START_US, Fleet

    start_kib = read_status_kib("self", "VmRSS")
    fleet = Fleet(size, 1)
    fleet.run(START_US + 2_000_000, has_load=False)
    sent, sent_bytes, cpu_start_s = fleet.sent_datagrams, fleet.sent_bytes, time.process_time()
    span_s = 4
    fleet.run(fleet.now_us + span_s * 1_000_000, step_us=20_000, has_load=False)
    gateway_seconds = size * span_s
    spent_ms = (time.process_time() - cpu_start_s) * 1e3
    return {
        "presence_datagrams_per_s": (fleet.sent_datagrams - sent) / gateway_seconds,
        "presence_bytes_per_s": (fleet.sent_bytes - sent_bytes) / gateway_seconds,
        "presence_ms_per_s": spent_ms / gateway_seconds,
        "presence_kib": (read_status_kib("self", "VmRSS") - start_kib) / size,
    }


def part_news(size: int, seconds: float) -> Costs:
    """Measure the time until all gateways suspect a host that begins to fail six requests in ten, and the bytes sent.

    The fleet has the plan's ratio of hosts and of requests to gateways, and each request may go to any host, so the
    largest possible number of gateways reports the host.
    """
    from benchmarks.sharing import START_US, Fleet

    fleet = Fleet(
        size, 1, host_count=round(size * PLAN.hosts / PLAN.gateways), requests_per_s=PLAN.requests_per_gateway
    )
    fleet.run(START_US + 1_500_000, step_us=NEWS_STEP_US)
    fleet.failure_rates[0] = 0.6
    start_us, sent_bytes = fleet.now_us, fleet.sent_bytes
    all_us = 0
    while fleet.now_us < start_us + NEWS_TIMEOUT_US:
        fleet.run(fleet.now_us + NEWS_STEP_US, step_us=NEWS_STEP_US)
        if fleet.count_suspecting(0) == size:
            all_us = fleet.now_us - start_us
            break
    fleet.run(max(fleet.now_us, start_us + 3_000_000), step_us=NEWS_STEP_US)
    elapsed_s = (fleet.now_us - start_us) / 1e6
    costs = {"news_bytes_per_s": (fleet.sent_bytes - sent_bytes) / size / elapsed_s}
    return costs | ({"news_all_ms": all_us / 1e3} if all_us else {})


def part_duties(size: int, seconds: float) -> Costs:
    """Measure leases and reports of all gateways together while WARMING_HOSTS hosts warm up, each within reach of
    three gateways."""
    from benchmarks.duties import measure_traffic

    span_s, warm_up_s = 5, 5  # `measure_traffic` counts no datagrams during its warm-up
    cpu_start_s = time.process_time()
    datagrams, size_bytes = measure_traffic(size, WARMING_HOSTS, span_s)
    spent_ms = (time.process_time() - cpu_start_s) * 1e3
    return {
        "duties_datagrams_per_s": datagrams * size, "duties_bytes_per_s": size_bytes * size,
        "duties_ms_per_s": spent_ms / size / (span_s + warm_up_s),
    }  # fmt: skip


# A relay: its pure components, with the gateways that the plan assigns to it


def part_relay(size: int, seconds: float) -> Costs:
    """Measure one of the plan's relays: it sends the changes of their subsets to a twelfth of the gateways.

    Only pure components run, driven as the relay's source and server drive them: discovery's response is decoded from
    JSON, long ones incrementally; there are no sockets. Bytes are those of the bodies that a gateway receives: gzip
    if they are long enough.

    Host start times, in milliseconds, are spread over the last four days, as 9,800 starts a day of 38,000 hosts make
    them, and over a few seconds for a zone that returns. With equal `since_ms` a body would be a third smaller.
    """
    from cloverkeel.control_plane.messages import ListResponse, Subscriber
    from cloverkeel.control_plane.encoding import MIN_GZIP_BYTES, gzip_body
    from cloverkeel.control_plane.endpoint_cache import EndpointCache
    from cloverkeel.control_plane.endpoint_table import SubscriptionKey
    from cloverkeel.control_plane.roster_parser import parse_roster
    from cloverkeel.control_plane.http_server import free_incrementally
    from cloverkeel.control_plane.discovery_source import MAX_SINGLE_STEP_BYTES
    from cloverkeel.control_plane.incremental_update import apply_list_incrementally
    from cloverkeel.core.incremental_json import decode_json

    fleet = build_fleet(gateways_for_hosts(size), size)
    rng = random.Random(2)
    entries = [host.to_entry(since_ms=rng.randrange(NOW_MS - START_SPREAD_MS, NOW_MS)) for host in fleet.hosts]
    gateway_count = max(1, round(len(fleet.gateways) / PLAN.control_machines))
    subscribers = [Subscriber(gateway.name) for gateway in random.Random(1).sample(fleet.gateways, gateway_count)]
    bodies = [_encode_body(1, True, entries)]
    start_kib = read_status_kib("self", "VmRSS")
    cache = EndpointCache(parse_roster(json.dumps(fleet.to_roster()), "the plan"), 1)
    gc.collect()
    gc.freeze()
    gc.disable()  # the program disables it as well
    index_by_gateway: dict[str, int] = {}
    keys_by_subscriber = {subscriber: frozenset(cache.subscription_keys(subscriber)) for subscriber in subscribers}
    costs: Costs = {}
    longest_step_s = 0.0

    def apply_long_list(is_snapshot: bool, body: bytes) -> Iterator[frozenset[SubscriptionKey] | None]:
        response = yield from decode_json(body)
        changed_keys = yield from apply_list_incrementally(cache, is_snapshot, response["endpoints"])
        yield changed_keys
        for _ in free_incrementally(response["endpoints"]):
            yield changed_keys

    def apply_list(is_snapshot: bool, body: bytes) -> frozenset[SubscriptionKey]:
        nonlocal longest_step_s
        changed_keys: frozenset[SubscriptionKey] | None = None
        start_s = time.perf_counter()
        if len(body) <= MAX_SINGLE_STEP_BYTES:
            changed_keys = cache.apply_list(is_snapshot, json.loads(body)["endpoints"])
        else:
            for step_keys in apply_long_list(is_snapshot, body):
                longest_step_s, start_s = max(longest_step_s, time.perf_counter() - start_s), time.perf_counter()
                changed_keys = step_keys
        longest_step_s = max(longest_step_s, time.perf_counter() - start_s)
        if changed_keys is None:
            raise RuntimeError("the relay rejected the plan's list")
        return changed_keys

    def sent_bytes(response: ListResponse) -> int:
        body = response.body(0)
        return len(gzip_body(body) if len(body) >= MIN_GZIP_BYTES else body)

    def relay_change(items: list[dict[str, Any]]) -> tuple[float, float, list[int]]:
        """Return the CPU time and the longest step, in ms, and the bytes to each gateway that receives the change."""
        nonlocal longest_step_s
        body, sizes = _encode_body(2, False, items), []
        longest_step_s, cpu_start_s = 0.0, time.process_time()
        changed_keys = apply_list(False, body)
        for subscriber in subscribers:
            if keys_by_subscriber[subscriber].isdisjoint(changed_keys):
                continue
            start_s = time.perf_counter()
            response = cache.respond(subscriber, index_by_gateway.get(subscriber.gateway))
            if response is not None:
                sizes.append(sent_bytes(response))
                index_by_gateway[subscriber.gateway] = response.index
            longest_step_s = max(longest_step_s, time.perf_counter() - start_s)
        return (time.process_time() - cpu_start_s) * 1e3, longest_step_s * 1e3, sizes

    cpu_start_s = time.process_time()
    apply_list(True, bodies.pop())
    costs["relay_take_ms"] = (time.process_time() - cpu_start_s) * 1e3
    costs["relay_take_stop_ms"] = longest_step_s * 1e3
    cpu_start_s, sizes = time.process_time(), []
    for subscriber in subscribers:
        response = cache.respond(subscriber, None)
        assert response is not None
        sizes.append(sent_bytes(response))
        index_by_gateway[subscriber.gateway] = response.index
    costs["relay_whole_cpu_ms"] = (time.process_time() - cpu_start_s) * 1e3 / len(subscribers)
    costs["relay_whole_bytes"] = max(sizes)
    costs["relay_kept_mb"] = (read_status_kib("self", "VmRSS") - start_kib) * MB_PER_KIB
    zone = fleet.gateways[0].zone
    zone_entries = [entry for entry in entries if entry["zone"] == zone]
    for name, changed_entries in (("change_1", None), ("change_zone", zone_entries)):
        results = []
        for repeat in range(CHANGE_REPEATS if changed_entries is None else LIST_REPEATS):
            # The hosts are removed and return with new start times; only their return is measured.
            items = changed_entries or [entries[repeat * 7919 % len(entries)]]
            relay_change([entry | {"status": "DELETED"} for entry in items])
            results.append(
                relay_change([entry | {"since_ms": NOW_MS + rng.randrange(ZONE_START_SPREAD_MS)} for entry in items])
            )
        costs[f"relay_{name}_cpu_ms"] = statistics.median(cpu for cpu, _, _ in results)
        costs[f"relay_{name}_stop_ms"] = max(longest for _, longest, _ in results)
        costs[f"relay_{name}_bytes"] = statistics.mean(sum(sizes) for _, _, sizes in results)
        costs[f"relay_{name}_bytes_most"] = max((max(sizes, default=0) for _, _, sizes in results), default=0)
    return costs


# The settings


def make_settings(tenants: int, classes: int = 3) -> dict[str, Any]:
    """Return the settings of a gateway of the plan, with this number of tenants and request classes."""
    plan_settings = gateway_settings(PLAN.hosts)
    lanes = [plan_settings["lanes"][n % 3] | {"name": f"class-{n}"} for n in range(classes)]
    tenant_table = [{"name": f"tenant-{n:06d}", "fraction": 1 / tenants} for n in range(tenants)]
    return plan_settings | {"tenants": tenant_table, "lanes": lanes}


def _measure_reload(settings_table: dict[str, Any]) -> Costs:
    """Read the settings as a running gateway does, outside the event loop; a timer detects stalls of the loop."""
    from cloverkeel.balancing.balancer import Balancer
    from cloverkeel.core.config import load

    with tempfile.TemporaryDirectory() as folder:
        config_file = Path(folder) / "g.json"
        config_file.write_text(json.dumps(configuration("g0", "127.0.0.1:1", "127.0.0.1:9", "1", [], settings_table)))
        size_bytes = config_file.stat().st_size

        async def read() -> Costs:
            loop = asyncio.get_running_loop()
            gaps_s: list[float] = []
            last_tick_s = time.perf_counter()
            is_over = False

            def tick() -> None:
                nonlocal last_tick_s
                now_s = time.perf_counter()
                gaps_s.append(now_s - last_tick_s)
                last_tick_s = now_s
                if not is_over:
                    loop.call_later(TICK_INTERVAL_S, tick)

            tick()
            start_kib = read_status_kib("self", "VmRSS")
            first_config = load({"LB_CONFIG": str(config_file)})
            balancer = Balancer(first_config.settings, 1)
            kept_kib = read_status_kib("self", "VmRSS") - start_kib
            await asyncio.sleep(0.02)
            gaps_s.clear()
            start_s, cpu_start_s = time.perf_counter(), time.process_time()
            reloaded_config = await asyncio.to_thread(load, {"LB_CONFIG": str(config_file)})
            spent_ms, elapsed_ms = (
                (time.process_time() - cpu_start_s) * 1e3,
                (time.perf_counter() - start_s) * 1e3,
            )
            await asyncio.sleep(0.005)
            is_over = True
            peak_kib = read_status_kib("self", "VmHWM") - start_kib
            del balancer, reloaded_config
            return {
                "reload_cpu_ms": spent_ms, "reload_ms": elapsed_ms,
                "reload_stop_ms": max(0.0, max(gaps_s) - TICK_INTERVAL_S) * 1e3,
                "reload_bytes": size_bytes, "reload_kept_mb": kept_kib * MB_PER_KIB,
                "reload_most_mb": peak_kib * MB_PER_KIB,
            }  # fmt: skip

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(read())


def part_tenants(size: int, seconds: float) -> Costs:
    """Measure a reload of the settings with this number of tenants."""
    return {f"tenants_{name}": value for name, value in _measure_reload(make_settings(size)).items()}


def part_classes(size: int, seconds: float) -> Costs:
    """Measure a reload of the settings with this number of request classes."""
    return {f"classes_{name}": value for name, value in _measure_reload(make_settings(4, size)).items()}


# State that the program does not have yet: its size is estimated from typical entries


def _allocated_kib(make: Callable[[], object]) -> float:
    """Return the memory that stays allocated for the object that `make` returns."""
    gc.collect()
    tracemalloc.start()
    state = make()
    gc.collect()
    kept_kib = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    del state
    return kept_kib


def part_routes(size: int, seconds: float) -> Costs:
    """Estimate routes: each has a prefix, a service, a request class and two limits, in memory and in a file."""

    def make_routes() -> dict[str, tuple[str, int, float, int]]:
        return {f"/area-{n % 97}/resource-{n:05d}/": (f"s{n % 1400}", n % 3, 0.5 + n, 1000 + n) for n in range(size)}

    text = json.dumps(
        [
            {"prefix": prefix, "service": route[0], "class": route[1], "limits": route[2:]}
            for prefix, route in make_routes().items()
        ]
    )
    return {"routes_kib": _allocated_kib(make_routes), "routes_bytes": float(len(text))}


def part_services(size: int, seconds: float) -> Costs:
    """Estimate services: each has a name, the indexes of its hosts (27 each, the plan's mean), and its sums."""

    def make_services() -> dict[str, tuple[list[int], list[float]]]:
        hosts_per_service = PLAN.hosts // PLAN.services
        return {
            f"s{n}": ([n * hosts_per_service + m + 1000 for m in range(hosts_per_service)], [float(n), 1.0, 0.5])
            for n in range(size)
        }

    return {"services_kib": _allocated_kib(make_services)}


# A real gateway behind a real relay


def part_relayed(size: int, seconds: float) -> Costs:
    """Measure the p99 that the gateway with the most services adds, while nothing changes and while hosts restart at
    the rate of the fleet's peak hour. It receives its subset from a relay that has `size` hosts and the plan's
    roster."""
    from benchmarks.capacity.budget import PEAK_HOUR_FACTOR, ScaledFleet

    costs: Costs = {}
    fleet = build_fleet(gateways_for_hosts(size), size)
    largest_gateway = max(fleet.gateways, key=lambda gateway: len(gateway.services))
    zones = [zone for region_zones in fleet.regions.values() for zone in region_zones]
    seconds = min(seconds, RELAYED_LOAD_S)
    with start_stub_environment(size) as (hosts, discovery), tempfile.TemporaryDirectory() as name:
        folder, port = Path(name), free_port()
        (folder / "roster.json").write_text(json.dumps(fleet.to_roster()))
        addresses = f'listen = "127.0.0.1:{port}"\ndiscovery = "127.0.0.1:{discovery}"\n'
        (folder / "relay.toml").write_text(f'name = "relay"\n{addresses}roster = "roster.json"\n')
        options = folder / "options.toml"
        options.write_text(
            f'[relays]\naddresses = ["127.0.0.1:{port}"]\nservices = {json.dumps(list(largest_gateway.services))}\n'
        )
        settings_table = gateway_settings(size) | {"zone": zones.index(largest_gateway.zone)}
        config = configuration(largest_gateway.name, "", f"127.0.0.1:{discovery}", "1", [], settings_table) | {
            "known": {}
        }
        gateway = GatewayProcess(folder, config, extra_environment={"CLOVERKEEL_OPTIONS": str(options)})
        with (folder / "relay.log").open("ab") as log:
            relay = subprocess.Popen(
                (sys.executable, "-m", "cloverkeel", "relay", str(folder / "relay.toml")), cwd=ROOT,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip
        try:
            wait_ready(port, relay, folder / "relay.log")
            gateway.start()
            if read_relay_state(port)["wholes"] != 1:
                raise RuntimeError("the gateway did not receive its list from the relay")
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                load = LoadGenerator(gateway.port, hosts, PLAN.requests_per_gateway)
                runner.run(load.run(min(WARM_UP_S, seconds)))
                _measure_load(costs, "relayed", runner, load, gateway.pid, seconds)
                interval_ms = 1_000 / (PEAK_HOUR_FACTOR * ScaledFleet({}, size / PLAN.hosts).changes_per_s)
                send_control_request(discovery, f"/restarts?every_ms={interval_ms:.0f}")
                _measure_load(costs, "relayed_changes", runner, load, gateway.pid, seconds)
        finally:
            gateway.kill()
            relay.kill()
            relay.wait()
    return costs


def read_relay_state(port: int) -> dict[str, Any]:
    """Return the state that the relay reports to operators."""
    with urllib.request.urlopen(f"http://127.0.0.1:{port}/relay/state", timeout=REQUEST_TIMEOUT_S) as response:
        state: dict[str, Any] = json.load(response)
    return state


PARTS: dict[str, Callable[[int, float], Costs]] = {
    name.removeprefix("part_"): part for name, part in list(globals().items()) if name.startswith("part_")
}


def main() -> int:
    """Run the part that the command line names, and print its costs."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("part", choices=tuple(PARTS))
    parser.add_argument("size", type=int)
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    loader.load("cloverkeel")  # must precede any import of its packages, which would load their source
    print(json.dumps(PARTS[options.part](options.size, options.seconds)))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
