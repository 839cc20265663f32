"""CPU time for each request: the real gateway against the barest relay, same load, in turn, in one run.

    .venv-dev/bin/python -m benchmarks.relay [--rounds 7] [--requests 12000] [--clients 24] [--klass search]

Both run as processes on one core that nothing else of this run uses. Their CPU time is read from the kernel
(/proc/PID/schedstat, nanoseconds on a core) before and after each round. Printed: microseconds of CPU a request,
for each, and the ratio of each round with median, least and most. Clients are so few, and hosts so slow, that the
gateway's core is half idle: one that is busy all the time answers late, and the module sheds for it.
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

MOST_FAILED = 0.01  # share of requests that are refused; more, and it is no measurement
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\nX-Load-Report: TEXT queue=1.2, latency_ms=51.0, qps=80\r\n\r\n"
ANSWER += b"." * 400


class Host(asyncio.Protocol):
    """Answers every piece that ends a request, after a while."""

    answer_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        asyncio.get_running_loop().call_later(self.answer_s, self.transport.write, ANSWER)


class Client(asyncio.Protocol):
    """Asks again as soon as it is answered."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.got = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.ask()

    def ask(self) -> None:
        self.got = 0
        request = self.load.next()
        if request is None:
            self.transport.close()
            self.load.on_over()
        else:
            self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        if self.got == 0 and not data.startswith(b"HTTP/1.1 200"):
            self.load.failed += 1
        self.got += len(data)
        if data.endswith(b"." * 40) or b"Content-Length: 0" in data:
            self.ask()


class Load:
    """So many requests over so many connections."""

    def __init__(self, requests: int, clients: int, klass: str, start: int) -> None:
        self.left, self.clients, self.klass, self.count = requests, clients, klass, start
        self.over = 0
        self.failed = 0
        self.done = asyncio.Event()

    def next(self) -> bytes | None:
        if not self.left:
            return None
        self.left -= 1
        self.count += 1
        method, more = "GET", ""
        if self.klass != "search":
            method, more = "POST", "Content-Length: 20\r\n"
            more += f"Idempotency-Key: {self.count:032x}\r\n" if self.klass == "hold" else ""
        head = (
            f"{method} /{self.klass}/{self.count % 1500:x} HTTP/1.1\r\nHost: backend.local\r\n"
            f"X-Call-Id: {self.count:016x}\r\nX-Call-Class: {self.klass}\r\nX-Caller: central\r\n"
            f"X-Budget-Ms: 700\r\nX-Call-Cost: 41000\r\n{more}\r\n"
        )
        return head.encode() + (b"b" * 20 if self.klass != "search" else b"")

    def on_over(self) -> None:
        self.over += 1
        if self.over == self.clients:
            self.done.set()


def cpu_us(pid: int) -> float:
    """Time on a core of all threads of a process, in microseconds."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0])
    return total / 1000


async def measure(gateway: Gateway, requests: int, clients: int, klass: str, start: int) -> float:
    """Microseconds of CPU a request."""
    assert gateway.process is not None
    load = Load(requests, clients, klass, start)
    before = cpu_us(gateway.process.pid)
    loop = asyncio.get_running_loop()
    for _ in range(clients):
        await loop.create_connection(lambda: Client(load), *gateway.address)
    async with asyncio.timeout(120):
        await load.done.wait()
    # A stall of the host may look like a crowd, and some requests are shed for it.
    if load.failed > MOST_FAILED * requests:
        raise RuntimeError(f"{load.failed} of {requests} requests were not served")
    return (cpu_us(gateway.process.pid) - before) / requests


async def run(options: argparse.Namespace, folder: Path) -> dict[str, Any]:
    Host.answer_s = options.answer_ms / 1000
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 5:
        print("fewer than five cores: the processes share them, and figures scatter", file=sys.stderr)
    loop, ledger = asyncio.get_running_loop(), EventLog()
    servers = [await loop.create_server(Host, "127.0.0.1", 0) for _ in range(3)]
    known = [
        {"name": f"s-{n}", "address": f"127.0.0.1:{server.sockets[0].getsockname()[1]}",
         "zone": "kita-room", "type": "small-2c", "group": 0, "status": "SERVING", "weight": 1.0, "since_ms": 0}
        for n, server in enumerate(servers)
    ]  # fmt: skip
    made = settings(3, 0, 0, BackendType(), Rules()) | {"membershipMode": "pushed"}
    names: dict[str, tuple[str, ...]] = {
        "gateway": (sys.executable, "-m", "cloverkeel"),
        "bare": (sys.executable, "-m", "benchmarks.bare"),
    }
    keeper: Ensemble | None = None
    if options.ephemeral:
        # The same gateway once more, its list from ephemeral nodes.
        keeper = Ensemble(1)
        await keeper.start()
        for path in ("/cloverkeel", "/cloverkeel/boxes"):
            keeper.commit(keeper.tree.prepare(Create(path), 0))
        for entry in known:
            node = Create(f"/cloverkeel/boxes/{entry['name']}", json.dumps({"v": 1} | entry).encode())
            keeper.commit(keeper.tree.prepare(node, 0))
        (folder / "o.toml").write_text(f'[membership]\nprecedence = ["ephemeral"]\nhosts = "{keeper.hosts}"\n')
        names["ephemeral"] = names["gateway"]
    parts = [name for name in ("duties", "sharing") if getattr(options, name)]
    for part in parts:
        # The same with one part that speaks to other gateways: there is nothing to say.
        (folder / f"{part}.toml").write_text(f"[{part}]\n")
        names[part] = names["gateway"]
    if options.plain:
        names["plain"] = names["gateway"]
    if options.against is not None:
        names["other"] = ("sh", "-c", 'cd "$0" && exec "$1" -m cloverkeel', str(options.against), sys.executable)
    gateways = {}
    for number, (name, command) in enumerate(names.items()):
        pinned = ("taskset", "-c", str(cores[-1 - number])) if len(cores) > 4 else ()
        gateway = Gateway(name, 0, folder, lambda: {}, ledger, command=(*pinned, *command))
        if name == "plain":
            gateway.environment = {PLAIN_VARIABLE: "1"}
        if name == "ephemeral":
            gateway.environment = {"CLOVERKEEL_OPTIONS": str(folder / "o.toml")}
        peers: dict[str, Any] = {}
        told = made
        if name in parts:
            gateway.environment = {"CLOVERKEEL_OPTIONS": str(folder / f"{name}.toml")}
            addresses = [free_udp_address(unique_loopback_host()) for _ in range(5)]
            peers = {"peers": [f"{host}:{port}" for host, port in addresses]}
            peers["peer_listen"] = peers["peers"][0]
            told = made | {"balancers": 5, "index": 0, "caps": made["caps"] | {"peers": True}}
        gateway.configure = (
            lambda gateway=gateway, peers=peers, told=told: configuration(  # type: ignore[misc]
                gateway.name, f"127.0.0.1:{gateway.port}", "127.0.0.1:9", "1", known, told
            )
            | peers
        )
        gateways[name] = gateway
    rounds: list[dict[str, float]] = []
    if len(cores) > 4:
        os.sched_setaffinity(0, set(cores[: -len(names)]))
    with Fleet(list(gateways.values())) as fleet:
        fleet.start()
        if not await fleet.wait_until_ready(ledger):
            raise RuntimeError("not every process became ready")
        start = 0
        for number in range(options.rounds + 1):
            found = {}
            for name in sorted(gateways, reverse=bool(number % 2)):  # in turn, each first as often
                found[name] = await measure(gateways[name], options.requests, options.clients, options.klass, start)
                start += options.requests
            if number:  # the first is to warm up
                rounds.append(found)
                ratio = found["gateway"] / found["bare"]
                costs = "   ".join(f"{name} {found[name]:6.1f} µs" for name in gateways)
                print(f"{costs}   ratio {ratio:.2f}")
        await fleet.stop()
    if keeper is not None:
        keeper.close()
        memory = {entry.gateway: entry.rss_kib / 1024 for entry in ledger.events_of(ResourceUsage)}
        print("memory at the end: " + ", ".join(f"{name} {mib:.1f} MiB" for name, mib in memory.items()))
        against = [found["ephemeral"] / found["gateway"] for found in rounds]
        print(f"with ephemeral membership: {statistics.median(against):.3f} of the CPU without it")
    if parts:
        memory = {entry.gateway: entry.rss_kib / 1024 for entry in ledger.events_of(ResourceUsage)}
        print("memory at the end: " + ", ".join(f"{name} {mib:.1f} MiB" for name, mib in memory.items()))
    for part in parts:
        on = [found[part] / found["gateway"] for found in rounds]
        print(f"with {part} on: {statistics.median(on):.3f} of the CPU without ({min(on):.3f} to {max(on):.3f})")
    if options.plain:
        memory = {entry.gateway: entry.rss_kib / 1024 for entry in ledger.events_of(ResourceUsage)}
        print("memory at the end: " + ", ".join(f"{name} {mib:.1f} MiB" for name, mib in memory.items()))
        plain = [found["plain"] / found["bare"] for found in rounds]
        print(f"plain sources: ratio {statistics.median(plain):.2f} ({min(plain):.2f} to {max(plain):.2f})")
    ratios = [found["gateway"] / found["bare"] for found in rounds]
    others = {"other_us": statistics.median(found["other"] for found in rounds)} if options.against else {}
    return others | {
        "klass": options.klass, "requests": options.requests, "clients": options.clients,
        "gateway_us": statistics.median(found["gateway"] for found in rounds),
        "bare_us": statistics.median(found["bare"] for found in rounds),
        "ratio": statistics.median(ratios), "least": min(ratios), "most": max(ratios),
    }  # fmt: skip


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--requests", type=int, default=12_000)
    parser.add_argument("--clients", type=int, default=24)
    parser.add_argument("--answer-ms", type=float, default=20.0, help="what a host takes for an answer")
    parser.add_argument("--klass", choices=("search", "hold", "transfer"), default="search")
    parser.add_argument("--against", type=Path, metavar="DIR", help="another checkout of the gateway, measured too")
    parser.add_argument("--plain", action="store_true", help="measure it on the plain sources too")
    parser.add_argument("--ephemeral", action="store_true", help="measure it with ephemeral membership too")
    parser.add_argument("--duties", action="store_true", help="measure it with duties on too")
    parser.add_argument("--sharing", action="store_true", help="measure it with what gateways know together on too")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        found = runner.run(run(options, Path(folder)))
    print(
        f"{found['klass']}: gateway {found['gateway_us']:.1f} µs, bare relay {found['bare_us']:.1f} µs, "
        f"ratio {found['ratio']:.2f} ({found['least']:.2f} to {found['most']:.2f})"
    )
    if options.json is not None:
        options.json.write_text(json.dumps(found, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
