"""Compare the CPU time per request of the real gateway and of a minimal relay, under the same load and in one run.

    .venv-dev/bin/python -m benchmarks.relay [--rounds 7] [--requests 12000] [--clients 24] [--klass search]

Each runs in a process of its own, which is bound to one core if the machine has five or more. The CPU time is read
from the kernel (/proc/PID/schedstat, nanoseconds on a core) before and after each round. Printed: CPU microseconds
per request for each process and the ratio in each round, then the median, minimum and maximum of the ratio. There are
few clients and the hosts are slow, so that the gateway's core is about half idle: a gateway whose core is always busy
responds late, and sheds requests because of that.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import sys
import tempfile
from pathlib import Path
from typing import Any, cast

import uvloop

from cloverkeel.compiled.loader import PLAIN_VARIABLE
from standins.parties.fleet import Fleet, Gateway
from standins.event_log import EventLog, ResourceUsage
from standins.parties.mesh import free_udp_address, unique_loopback_host
from standins.site import BackendType, Rules, configuration, settings
from standins.parties.zookeeper.ensemble import Ensemble
from standins.parties.zookeeper.jute import Create

MAX_FAILED_SHARE = 0.01  # of requests that are rejected; a measurement with more is invalid
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\nX-Load-Report: TEXT queue=1.2, latency_ms=51.0, qps=80\r\n\r\n"
RESPONSE += b"." * 400


class Host(asyncio.Protocol):
    """A host that sends the same response, after a delay, to each piece of data; each piece must be one request."""

    response_delay_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        asyncio.get_running_loop().call_later(self.response_delay_s, self.transport.write, RESPONSE)


class Client(asyncio.Protocol):
    """A client that sends its next request as soon as it has the response to the previous one."""

    def __init__(self, load: LoadGenerator) -> None:
        self.load = load
        self.received_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.send_request()

    def send_request(self) -> None:
        """Send the next request, or close the connection if all have been sent."""
        self.received_bytes = 0
        request = self.load.next_request()
        if request is None:
            self.transport.close()
            self.load.on_client_finished()
        else:
            self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        if self.received_bytes == 0 and not data.startswith(b"HTTP/1.1 200"):
            self.load.failed_count += 1
        self.received_bytes += len(data)
        if data.endswith(b"." * 40) or b"Content-Length: 0" in data:
            self.send_request()


class LoadGenerator:
    """Creates a given number of requests for a number of clients."""

    def __init__(self, request_count: int, client_count: int, request_class: str, first_id: int) -> None:
        self.remaining_count, self.client_count, self.request_class, self.last_id = (
            request_count,
            client_count,
            request_class,
            first_id,
        )
        self.finished_client_count = 0
        self.failed_count = 0
        self.is_finished = asyncio.Event()

    def next_request(self) -> bytes | None:
        """Return the next request; None if all have been created."""
        if not self.remaining_count:
            return None
        self.remaining_count -= 1
        self.last_id += 1
        method, body_headers = "GET", ""
        if self.request_class != "search":
            method, body_headers = "POST", "Content-Length: 20\r\n"
            body_headers += f"Idempotency-Key: {self.last_id:032x}\r\n" if self.request_class == "hold" else ""
        head = (
            f"{method} /{self.request_class}/{self.last_id % 1500:x} HTTP/1.1\r\nHost: backend.local\r\n"
            f"X-Call-Id: {self.last_id:016x}\r\nX-Call-Class: {self.request_class}\r\nX-Caller: central\r\n"
            f"X-Budget-Ms: 700\r\nX-Call-Cost: 41000\r\n{body_headers}\r\n"
        )
        return head.encode() + (b"b" * 20 if self.request_class != "search" else b"")

    def on_client_finished(self) -> None:
        """Count a client that has closed its connection."""
        self.finished_client_count += 1
        if self.finished_client_count == self.client_count:
            self.is_finished.set()


def process_cpu_us(pid: int) -> float:
    """Return the CPU time of all threads of a process, in microseconds."""
    total_ns = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total_ns += int((task / "schedstat").read_text().split()[0])
    return total_ns / 1000


async def measure_request_cpu_us(
    gateway: Gateway, request_count: int, client_count: int, request_class: str, first_id: int
) -> float:
    """Return the CPU time per request, in microseconds."""
    assert gateway.process is not None
    load = LoadGenerator(request_count, client_count, request_class, first_id)
    cpu_before_us = process_cpu_us(gateway.process.pid)
    loop = asyncio.get_running_loop()
    for _ in range(client_count):
        await loop.create_connection(lambda: Client(load), *gateway.address)
    async with asyncio.timeout(120):
        await load.is_finished.wait()
    # A stall of the machine may look like an overload to the gateway, which then sheds some requests.
    if load.failed_count > MAX_FAILED_SHARE * request_count:
        raise RuntimeError(f"{load.failed_count} of {request_count} requests were not served")
    return (process_cpu_us(gateway.process.pid) - cpu_before_us) / request_count


async def run(options: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """Run all processes and rounds; return the figures for the JSON report."""
    Host.response_delay_s = options.answer_ms / 1000
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 5:
        print("fewer than five cores: the processes share them, and the figures vary", file=sys.stderr)
    loop, event_log = asyncio.get_running_loop(), EventLog()
    servers = [await loop.create_server(Host, "127.0.0.1", 0) for _ in range(3)]
    entries = [
        {"name": f"s-{n}", "address": f"127.0.0.1:{server.sockets[0].getsockname()[1]}",
         "zone": "kita-room", "type": "small-2c", "group": 0, "status": "SERVING", "weight": 1.0, "since_ms": 0}
        for n, server in enumerate(servers)
    ]  # fmt: skip
    common_settings = settings(3, 0, 0, BackendType(), Rules()) | {"membershipMode": "pushed"}
    command_by_name: dict[str, tuple[str, ...]] = {
        "gateway": (sys.executable, "-m", "cloverkeel"),
        "bare": (sys.executable, "-m", "benchmarks.bare"),
    }
    ensemble: Ensemble | None = None
    if options.ephemeral:
        # The same gateway, with its endpoint list from ephemeral nodes.
        ensemble = Ensemble(1)
        await ensemble.start()
        for path in ("/cloverkeel", "/cloverkeel/boxes"):
            ensemble.commit(ensemble.tree.prepare(Create(path), 0))
        for entry in entries:
            node = Create(f"/cloverkeel/boxes/{entry['name']}", json.dumps({"v": 1} | entry).encode())
            ensemble.commit(ensemble.tree.prepare(node, 0))
        (folder / "o.toml").write_text(f'[membership]\nprecedence = ["ephemeral"]\nhosts = "{ensemble.hosts}"\n')
        command_by_name["ephemeral"] = command_by_name["gateway"]
    features = [name for name in ("duties", "sharing") if getattr(options, name)]
    for feature in features:
        # The same gateway with a feature that exchanges messages with other gateways; no other gateway runs.
        (folder / f"{feature}.toml").write_text(f"[{feature}]\n")
        command_by_name[feature] = command_by_name["gateway"]
    if options.plain:
        command_by_name["plain"] = command_by_name["gateway"]
    if options.against is not None:
        command_by_name["other"] = (
            "sh", "-c", 'cd "$0" && exec "$1" -m cloverkeel', str(options.against), sys.executable
        )  # fmt: skip
    gateway_by_name = {}
    for number, (name, command) in enumerate(command_by_name.items()):
        pin_command = ("taskset", "-c", str(cores[-1 - number])) if len(cores) > 4 else ()
        gateway = Gateway(name, 0, folder, lambda: {}, event_log, command=(*pin_command, *command))
        if name == "plain":
            gateway.environment = {PLAIN_VARIABLE: "1"}
        if name == "ephemeral":
            gateway.environment = {"CLOVERKEEL_OPTIONS": str(folder / "o.toml")}
        peers: dict[str, Any] = {}
        gateway_settings = common_settings
        if name in features:
            gateway.environment = {"CLOVERKEEL_OPTIONS": str(folder / f"{name}.toml")}
            addresses = [free_udp_address(unique_loopback_host()) for _ in range(5)]
            peers = {"peers": [f"{host}:{port}" for host, port in addresses]}
            peers["peer_listen"] = peers["peers"][0]
            gateway_settings = common_settings | {
                "balancers": 5, "index": 0, "caps": common_settings["caps"] | {"peers": True}
            }  # fmt: skip
        gateway.configure = (
            lambda gateway=gateway, peers=peers, gateway_settings=gateway_settings: configuration(  # type: ignore[misc]
                gateway.name, f"127.0.0.1:{gateway.port}", "127.0.0.1:9", "1", entries, gateway_settings
            )
            | peers
        )
        gateway_by_name[name] = gateway
    rounds: list[dict[str, float]] = []
    if len(cores) > 4:
        os.sched_setaffinity(0, set(cores[: -len(command_by_name)]))
    with Fleet(list(gateway_by_name.values())) as fleet:
        fleet.start()
        if not await fleet.wait_until_ready(event_log):
            raise RuntimeError("not every process became ready")
        first_id = 0
        for number in range(options.rounds + 1):
            cpu_us_by_name = {}
            for name in sorted(gateway_by_name, reverse=bool(number % 2)):  # in alternating order
                cpu_us_by_name[name] = await measure_request_cpu_us(
                    gateway_by_name[name], options.requests, options.clients, options.klass, first_id
                )
                first_id += options.requests
            if number:  # the first round warms up the processes
                rounds.append(cpu_us_by_name)
                ratio = cpu_us_by_name["gateway"] / cpu_us_by_name["bare"]
                costs = "   ".join(f"{name} {cpu_us_by_name[name]:6.1f} µs" for name in gateway_by_name)
                print(f"{costs}   ratio {ratio:.2f}")
        await fleet.stop()
    if ensemble is not None:
        ensemble.close()
        memory_mib_by_name = {usage.gateway: usage.rss_kib / 1024 for usage in event_log.events_of(ResourceUsage)}
        print("memory at the end: " + ", ".join(f"{name} {mib:.1f} MiB" for name, mib in memory_mib_by_name.items()))
        ephemeral_ratios = [cpu_us["ephemeral"] / cpu_us["gateway"] for cpu_us in rounds]
        print(f"with ephemeral membership: {statistics.median(ephemeral_ratios):.3f} of the CPU without it")
    if features:
        memory_mib_by_name = {usage.gateway: usage.rss_kib / 1024 for usage in event_log.events_of(ResourceUsage)}
        print("memory at the end: " + ", ".join(f"{name} {mib:.1f} MiB" for name, mib in memory_mib_by_name.items()))
    for feature in features:
        feature_ratios = [cpu_us[feature] / cpu_us["gateway"] for cpu_us in rounds]
        print(
            f"with {feature} enabled: {statistics.median(feature_ratios):.3f} of the CPU without "
            f"({min(feature_ratios):.3f} to {max(feature_ratios):.3f})"
        )
    if options.plain:
        memory_mib_by_name = {usage.gateway: usage.rss_kib / 1024 for usage in event_log.events_of(ResourceUsage)}
        print("memory at the end: " + ", ".join(f"{name} {mib:.1f} MiB" for name, mib in memory_mib_by_name.items()))
        plain_ratios = [cpu_us["plain"] / cpu_us["bare"] for cpu_us in rounds]
        print(
            f"plain sources: ratio {statistics.median(plain_ratios):.2f} "
            f"({min(plain_ratios):.2f} to {max(plain_ratios):.2f})"
        )
    ratios = [cpu_us["gateway"] / cpu_us["bare"] for cpu_us in rounds]
    other_figures = {"other_us": statistics.median(cpu_us["other"] for cpu_us in rounds)} if options.against else {}
    return other_figures | {
        "klass": options.klass, "requests": options.requests, "clients": options.clients,
        "gateway_us": statistics.median(cpu_us["gateway"] for cpu_us in rounds),
        "bare_us": statistics.median(cpu_us["bare"] for cpu_us in rounds),
        "ratio": statistics.median(ratios), "least": min(ratios), "most": max(ratios),
    }  # fmt: skip


def main() -> int:
    """Run the comparison, print the ratio and write the JSON report."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--requests", type=int, default=12_000)
    parser.add_argument("--clients", type=int, default=24)
    parser.add_argument("--answer-ms", type=float, default=20.0, help="response time of a host")
    parser.add_argument("--klass", choices=("search", "hold", "transfer"), default="search")
    parser.add_argument("--against", type=Path, metavar="DIR", help="also measure the gateway of another checkout")
    parser.add_argument("--plain", action="store_true", help="also measure the gateway without compiled modules")
    parser.add_argument("--ephemeral", action="store_true", help="also measure the gateway with ephemeral membership")
    parser.add_argument("--duties", action="store_true", help="also measure the gateway with duties enabled")
    parser.add_argument("--sharing", action="store_true", help="also measure the gateway with sharing enabled")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        figures = runner.run(run(options, Path(folder)))
    print(
        f"{figures['klass']}: gateway {figures['gateway_us']:.1f} µs, bare relay {figures['bare_us']:.1f} µs, "
        f"ratio {figures['ratio']:.2f} ({figures['least']:.2f} to {figures['most']:.2f})"
    )
    if options.json is not None:
        options.json.write_text(json.dumps(figures, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
