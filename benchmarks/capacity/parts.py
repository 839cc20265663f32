"""One measurement at one size, in a process of its own: what benchmarks.capacity.slopes starts.

    python -m benchmarks.capacity.parts PART SIZE [--seconds S]

Prints one JSON object: costs by name, in the units of rows.SPECS. CPU times are the kernel's own account.
A part may not know what its figures are for, and fits nothing.
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
from benchmarks.capacity.plan import PLAN, fleet, zones_of
from benchmarks.capacity.world import encoded, entries, gateways_at
from standins.site import BackendType, Rules, configuration, settings

Costs = dict[str, float]
ROOT = Path(__file__).resolve().parents[2]
READY_S = 30.0  # for a process to be ready: how long a broken run takes
PATIENCE_S = 5.0  # for one request
CONNECTIONS = 256  # of the clients, at the most
WHOLES, CHANGES, STARTS = 3, 15, 3  # measured so often; the median counts
RATE_HOSTS, RATE_S = 200, 4.0  # of part_rate
RELAYED_S = 5.0  # of part_relayed, each time: it has rounds
WARM_S = 1.0  # of requests that are not counted
IDLE_S = 2.0  # for what a gateway takes with nothing to do
NEWS_STEP_US, NEWS_MOST_US = 5_000, 10_000_000  # of the simulated clock; how long all may take
COLDS = 8  # hosts that are cold at a time: 9,800 starts a day and 6 s each come to less than one
MB = 1024 / 1e6  # a KiB
GZIP_LEAST, GZIP_LEVEL = 1 << 10, 6  # of a relay's answers: bytes of the least that it packs
SUBSET_COSTS = (
    "whole_first_stop_ms",
    *(f"{name}_{unit}" for name in ("whole", "change_zone") for unit in ("cpu_ms", "stop_ms", "bytes")),
)
TICK_S = 0.001  # of the ticker that finds stops of the loop
NOW_MS, SPREAD_MS, BACK_MS = 1_796_119_613_761, 4 * 86_400_000, 4_000  # of hosts' starts, Unix time


def gateway_settings(hosts: int) -> dict[str, Any]:
    """The settings of a gateway of the plan's fleet at this share of it; lists are pushed."""
    zones = [zone for each in zones_of().values() for zone in each]
    return settings(gateways_at(hosts), 0, 0, BackendType(), Rules()) | {"membershipMode": "pushed", "zones": zones}


def kib(pid: int | str, field_name: str) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(float(line.split()[1]) for line in lines if line.startswith(field_name + ":"))


def cpu_ms(pid: int) -> float:
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e6


# A gateway's lists: the real rooms put together, told what discovery would say


def _answer(index: int, whole: bool, listed: list[dict[str, Any]]) -> bytes:
    return encoded(index, whole, listed).partition(b"\r\n\r\n")[2]


def part_list(size: int, seconds: float) -> Costs:
    """CPU, the longest stop of the loop and bytes of lists and changes, as the caller of discovery takes them in."""
    return _lists(size, {}, "")


def part_subset(size: int, seconds: float) -> Costs:
    """The same behind a relay, whose answers come as gzip: of lists no longer than a subset."""
    relays = {"relays": {"addresses": ["127.0.0.1:9"]}}
    return {f"subset_{name}": cost for name, cost in _lists(size, relays, "gzip").items() if name in SUBSET_COSTS}


def _lists(size: int, tables: dict[str, Any], coding: str) -> Costs:
    from cloverkeel.assembly import assemble
    from cloverkeel.core.config import parse
    from cloverkeel.core.gc_tuning import EndpointFreezer
    from cloverkeel.core.messages import Reply
    from cloverkeel.core.options import parse as parse_options
    from cloverkeel.discovery.http_client import HttpEndpointSource
    from cloverkeel.discovery.relay_client import RelayEndpointSource

    listed = entries(size, [])
    costs: Costs = {}

    async def measure() -> None:
        config = parse(configuration("g0", "127.0.0.1:0", "127.0.0.1:9", "1", [], gateway_settings(size)))
        program = assemble(config, parse_options(tables, "measured"))
        gateway, discovery, loop = program.gateway, program.discovery, asyncio.get_running_loop()
        assert isinstance(discovery, HttpEndpointSource)
        if isinstance(discovery, RelayEndpointSource):
            discovery.selector.choose(0.0)  # nobody is called: answers are handed to it
        # As the program does (cloverkeel/__main__.py).
        gc.collect()
        gc.freeze()
        gc.set_threshold(5_000, 10, 10)
        gateway.endpoint_updates.on_applied = EndpointFreezer(asyncio.get_running_loop().call_soon).on_entries_added
        passes: list[float] = []  # full ones of the collector, whoever began them, in ms
        pass_began = 0.0

        def on_pass(phase: str, of: dict[str, int]) -> None:
            nonlocal pass_began
            if of["generation"] == 2 and phase == "start":
                pass_began = time.perf_counter()
            elif of["generation"] == 2:
                passes.append((time.perf_counter() - pass_began) * 1e3)

        gc.callbacks.append(on_pass)

        def answer(index: int, whole: bool, items: list[dict[str, Any]]) -> Reply:
            body = _answer(index, whole, items)
            if not coding or len(body) < GZIP_LEAST:
                return Reply(200, [], body, True)
            return Reply(200, [(b"Content-Encoding", coding.encode())], gzip.compress(body, GZIP_LEVEL), True)

        async def told(reply: Reply) -> tuple[float, float]:
            """CPU of one answer and the longest turn of the loop until all of it is told, both in ms."""
            longest, cpu, began = 0.0, time.process_time(), time.perf_counter()
            taking = loop.create_task(discovery.handle_reply(reply))
            while not taking.done() or gateway.endpoint_updates.batches.pending:
                await asyncio.sleep(0)
                longest, began = max(longest, time.perf_counter() - began), time.perf_counter()
            taking.result()
            return (time.process_time() - cpu) * 1e3, longest * 1e3

        body = answer(1, True, listed)
        first = await told(body)
        await asyncio.sleep(0)
        wholes = []
        for _ in range(WHOLES):
            wholes.append(await told(body))
            await asyncio.sleep(0)
        costs["whole_first_stop_ms"] = first[1]  # nobody is served before it
        _note(costs, "whole", wholes, len(body.body))
        query = b"GET /registry/instances?from=100000&hold_ms=1000 HTTP/1.1\r\nHost: 10.0.0.1:8080\r\n\r\n"
        costs["poll_bytes"] = len(query) + len(encoded(100_000, False, []))
        index = 2
        for count in (1, 5, 500, max(1, size // PLAN.zones)):
            name = "change_zone" if count == max(1, size // PLAN.zones) and count not in (1, 5) else f"change_{count}"
            if count > size // 2:
                continue
            seen: list[tuple[float, float]] = []
            for turn in range(CHANGES if count <= 5 else WHOLES):
                begin = turn * count % (size - count + 1)
                of = listed[begin : begin + count]
                if name == "change_zone":
                    # Lost and back: the second half of it, when all begin anew, is what counts.
                    await told(answer(index, False, [entry | {"status": "DELETED"} for entry in of]))
                    of = [entry | {"since_ms": 1_000_000 + turn} for entry in of]
                else:
                    of = [entry | {"weight": 1.0 + 0.01 * (turn % 5 + 1)} for entry in of]
                changed = answer(index, False, of)
                index += 1
                seen.append(await told(changed))
                await asyncio.sleep(0)
            _note(costs, name, seen, len(changed.body))
        await asyncio.sleep(0.01)
        gc.collect()  # what the program would meet in its next one
        gc.callbacks.remove(on_pass)
        costs["collector_ms"] = max(passes)
        program.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(measure())
    return costs


def _note(costs: Costs, name: str, seen: list[tuple[float, float]], size: int) -> None:
    costs[f"{name}_cpu_ms"] = statistics.median(cpu for cpu, _ in seen)
    costs[f"{name}_stop_ms"] = max(stop for _, stop in seen)
    costs[f"{name}_bytes"] = size


# A real gateway among hosts and discovery of its own


@contextmanager
def world(hosts: int) -> Iterator[tuple[list[int], int]]:
    """The ports of its hosts, and of discovery."""
    command = (sys.executable, "-m", "benchmarks.capacity.world", str(hosts))
    process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    assert process.stdin is not None and process.stdout is not None
    try:
        said = json.loads(process.stdout.readline())
        yield said["hosts"], said["discovery"]
    finally:
        process.stdin.close()
        process.wait(READY_S)


@dataclass
class Real:
    """`python -m cloverkeel`, started and watched from outside."""

    folder: Path
    config: dict[str, Any]
    port: int = 0
    process: subprocess.Popen[bytes] | None = None
    more: dict[str, str] = field(default_factory=dict)  # of its environment

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    def start(self) -> float:
        """Until it says that it is ready, in ms."""
        self.port = free_port()
        file = self.folder / "g.json"
        file.write_text(json.dumps(self.config | {"listen": f"127.0.0.1:{self.port}"}))
        began = time.perf_counter()
        with (self.folder / "g.log").open("ab") as log:
            self.process = subprocess.Popen(
                (sys.executable, "-m", "cloverkeel"), cwd=ROOT, env=os.environ | {"LB_CONFIG": str(file)} | self.more,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip
        wait_ready(self.port, self.process, self.folder / "g.log")
        return (time.perf_counter() - began) * 1e3

    def end(self) -> None:
        """At once: how it drains is no figure of these."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None


def wait_ready(port: int, process: subprocess.Popen[bytes], log: Path) -> None:
    """RuntimeError where it does not say so in time."""
    until_s = time.perf_counter() + READY_S
    while not is_ready(port):
        if process.poll() is not None or time.perf_counter() > until_s:
            raise RuntimeError(f"it did not get ready: {log.read_text()[-2000:]}")
        time.sleep(0.002)


def is_ready(port: int) -> bool:
    try:
        with socket.create_connection(("127.0.0.1", port), 1.0) as line:
            line.sendall(b"GET /health/ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n")
            return line.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


def free_port() -> int:
    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        return int(held.getsockname()[1])


def call(port: int, target: str) -> None:
    with socket.create_connection(("127.0.0.1", port), 5.0) as line:
        line.sendall(f"GET {target} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
        if not line.recv(64).startswith(b"HTTP/1.1 200"):
            raise RuntimeError(f"{target}: not answered")


@dataclass
class Seen:
    """Latencies in ms of requests that were served, and how many were not."""

    served: list[float] = field(default_factory=list)
    refused: int = 0

    def p99(self) -> float:
        return statistics.quantiles(self.served, n=100)[98]


class Client(asyncio.Protocol):
    """One request at a time over a kept connection."""

    def __init__(self) -> None:
        self.answer: asyncio.Future[bytes] | None = None
        self.got = b""
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.got += data
        head, mark, body = self.got.partition(b"\r\n\r\n")
        if not mark:
            return
        length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0] or 0)
        if len(body) >= length and self.answer is not None and not self.answer.done():
            self.answer.set_result(self.got)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(b"")


class Clients:
    """Requests at random moments at a rate, whatever the answers take: to the gateway and to a host, in turn."""

    def __init__(self, gateway: int, hosts: list[int], rate: float) -> None:
        self.targets = {"through": [gateway], "direct": hosts}
        self.rate = rate
        self.idle: dict[int, list[Client]] = {}
        self.count = 0

    async def run(self, seconds: float) -> dict[str, Seen]:
        loop = asyncio.get_running_loop()
        dice = random.Random(self.count)
        found = {name: Seen() for name in self.targets}
        due, end, asked = loop.time(), loop.time() + seconds, set[asyncio.Task[None]]()
        while due < end:
            await asyncio.sleep(max(0.0, due - loop.time()))
            for name, ports in self.targets.items():
                self.count += 1
                at_s, port = time.perf_counter(), ports[self.count // 2 % len(ports)]
                asked.add(loop.create_task(self.ask(port, found[name], at_s)))
            due += dice.expovariate(self.rate)
        await asyncio.wait(asked)
        for task in asked:
            task.result()
        return found

    async def ask(self, port: int, seen: Seen, at_s: float) -> None:
        loop = asyncio.get_running_loop()
        kept = self.idle.setdefault(port, [])
        number = self.count
        try:
            async with asyncio.timeout(PATIENCE_S):
                while kept and kept[-1].lost:
                    kept.pop()
                client = kept.pop() if kept else (await loop.create_connection(Client, "127.0.0.1", port))[1]
                client.got, client.answer = b"", loop.create_future()
                client.transport.write(request(number))
                answer = await client.answer
        except (OSError, TimeoutError):
            seen.refused += 1
            return
        if answer.startswith(b"HTTP/1.1 200"):
            seen.served.append((time.perf_counter() - at_s) * 1e3)
        else:
            seen.refused += 1
        if answer and len(kept) < CONNECTIONS:
            kept.append(client)


def request(number: int) -> bytes:
    return (
        f"GET /search/{number % 1500:x} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {number:016x}\r\n"
        "X-Call-Class: search\r\nX-Caller: central\r\nX-Budget-Ms: 700\r\nX-Call-Cost: 41000\r\n\r\n"
    ).encode()


def part_gateway(size: int, seconds: float) -> Costs:
    """A real gateway: start, memory, CPU a request, p99 added in quiet and while hosts change."""
    costs: Costs = {}
    with world(size) as (hosts, discovery), tempfile.TemporaryDirectory() as folder:
        known = entries(size, hosts)
        made = gateway_settings(size)
        config = configuration("g0", "", f"127.0.0.1:{discovery}", "1", known, made)
        real = Real(Path(folder), config)
        try:
            starts = []
            for _ in range(STARTS):
                real.end()
                starts.append(real.start())
            costs["ready_ms"] = statistics.median(starts)
            costs["resident_mb"] = kib(real.pid, "VmRSS") * MB
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                clients = Clients(real.port, hosts, PLAN.requests_per_gateway)
                runner.run(clients.run(min(WARM_S, seconds)))
                _under_load(costs, "quiet", runner, clients, real.pid, seconds)
                call(discovery, "/changes?count=5&every_ms=333")
                _under_load(costs, "changes", runner, clients, real.pid, seconds)
                call(discovery, "/changes?count=0&every_ms=0")
            idle_s, before = min(IDLE_S, seconds), cpu_ms(real.pid)
            time.sleep(idle_s)
            costs["idle_ms_per_s"] = (cpu_ms(real.pid) - before) / idle_s
            call(discovery, "/anew")
            time.sleep(idle_s)  # longer than it takes to read it
            costs["resident_most_mb"] = kib(real.pid, "VmHWM") * MB
        finally:
            real.end()
    return costs


def part_rate(size: int, seconds: float) -> Costs:
    """A real gateway before RATE_HOSTS hosts at so many requests a second."""
    with world(RATE_HOSTS) as (hosts, discovery), tempfile.TemporaryDirectory() as folder:
        made = gateway_settings(RATE_HOSTS)
        known = entries(RATE_HOSTS, hosts)
        real = Real(Path(folder), configuration("g0", "", f"127.0.0.1:{discovery}", "1", known, made))
        try:
            real.start()
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                clients = Clients(real.port, hosts, float(size))
                runner.run(clients.run(min(WARM_S, seconds)))
                costs: Costs = {}
                _under_load(costs, "rate", runner, clients, real.pid, min(seconds, RATE_S))
        finally:
            real.end()
    return {"rate_request_us": costs["rate_request_us"]}


def _under_load(costs: Costs, name: str, runner: asyncio.Runner, clients: Clients, pid: int, seconds: float) -> None:
    before = cpu_ms(pid)
    found = runner.run(clients.run(seconds))
    spent = cpu_ms(pid) - before
    through, direct = found["through"], found["direct"]
    asked = len(through.served) + through.refused
    costs[f"{name}_request_us"] = spent * 1e3 / asked
    costs[f"{name}_p99_added_ms"] = max(0.0, through.p99() - direct.p99())
    costs[f"{name}_p99_direct_ms"] = direct.p99()
    costs[f"{name}_refused"] = through.refused / asked


# The others: pure parts of all gateways on one simulated clock, datagrams counted


def part_presence(size: int, seconds: float) -> Costs:
    from benchmarks.sharing import START_US, Fleet

    before = kib("self", "VmRSS")
    told = Fleet(size, 1)
    told.run(START_US + 2_000_000, has_load=False)
    sent, sent_bytes, cpu = told.sent_datagrams, told.sent_bytes, time.process_time()
    span_s = 4
    told.run(told.now_us + span_s * 1_000_000, step_us=20_000, has_load=False)
    each = size * span_s
    spent = (time.process_time() - cpu) * 1e3
    return {
        "presence_datagrams_per_s": (told.sent_datagrams - sent) / each,
        "presence_bytes_per_s": (told.sent_bytes - sent_bytes) / each,
        "presence_ms_per_s": spent / each,
        "presence_kib": (kib("self", "VmRSS") - before) / size,
    }


def part_news(size: int, seconds: float) -> Costs:
    """One of the plan's hosts begins to fail, six requests in ten: until all gateways doubt it, and what is said.

    The plan's hosts and requests for each gateway, each request to any host: the most tellers that there could be.
    """
    from benchmarks.sharing import START_US, Fleet

    told = Fleet(
        size, 1, host_count=round(size * PLAN.hosts / PLAN.gateways), requests_per_s=PLAN.requests_per_gateway
    )
    told.run(START_US + 1_500_000, step_us=NEWS_STEP_US)
    told.failure_rates[0] = 0.6
    began_us, sent_bytes = told.now_us, told.sent_bytes
    all_us = 0
    while told.now_us < began_us + NEWS_MOST_US:
        told.run(told.now_us + NEWS_STEP_US, step_us=NEWS_STEP_US)
        if told.count_suspecting(0) == size:
            all_us = told.now_us - began_us
            break
    told.run(max(told.now_us, began_us + 3_000_000), step_us=NEWS_STEP_US)
    spent_s = (told.now_us - began_us) / 1e6
    costs = {"news_bytes_per_s": (told.sent_bytes - sent_bytes) / size / spent_s}
    return costs | ({"news_all_ms": all_us / 1e3} if all_us else {})


def part_duties(size: int, seconds: float) -> Costs:
    """COLDS hosts are cold, each in reach of three gateways: leases and reports, of all gateways together."""
    from benchmarks.duties import cost

    span_s, warm_s = 5, 5  # the second is cost's own: it does not count datagrams then
    cpu = time.process_time()
    datagrams, size_bytes = cost(size, COLDS, span_s)
    spent = (time.process_time() - cpu) * 1e3
    return {
        "duties_datagrams_per_s": datagrams * size, "duties_bytes_per_s": size_bytes * size,
        "duties_ms_per_s": spent / size / (span_s + warm_s),
    }  # fmt: skip


# A relay: the pure feed with the plan's share of gateways asking


def part_relay(size: int, seconds: float) -> Costs:
    """One of the plan's relays: a twelfth of the gateways before so many hosts, told of each change that is theirs.

    Pure parts alone, as its source and server drive them: discovery's answer is read from JSON, long ones by steps;
    there are no sockets. Bytes are those of bodies as a gateway gets them: gzip where they are long enough.

    Hosts began at moments of the last four days, in milliseconds, as 9,800 starts a day of 38,000 come to; those of a
    zone that is back within some seconds. With `since_ms` alike a body takes a third less.
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

    made = fleet(gateways_at(size), size)
    dice = random.Random(2)
    listed = [host.entry(since_ms=dice.randrange(NOW_MS - SPREAD_MS, NOW_MS)) for host in made.hosts]
    share = max(1, round(len(made.gateways) / PLAN.control_machines))
    askers = [Subscriber(front.name) for front in random.Random(1).sample(made.gateways, share)]
    bodies = [_answer(1, True, listed)]
    before = kib("self", "VmRSS")
    cache = EndpointCache(parse_roster(json.dumps(made.roster()), "the plan"), 1)
    gc.collect()
    gc.freeze()
    gc.disable()  # as the program does
    held: dict[str, int] = {}
    topics = {asker: frozenset(cache.subscription_keys(asker)) for asker in askers}
    costs: Costs = {}
    longest = 0.0

    def long(whole: bool, body: bytes) -> Iterator[frozenset[SubscriptionKey] | None]:
        raw = yield from decode_json(body)
        touched = yield from apply_list_incrementally(cache, whole, raw["endpoints"])
        yield touched
        for _ in free_incrementally(raw["endpoints"]):
            yield touched

    def take(whole: bool, body: bytes) -> frozenset[SubscriptionKey]:
        nonlocal longest
        touched: frozenset[SubscriptionKey] | None = None
        began = time.perf_counter()
        if len(body) <= MAX_SINGLE_STEP_BYTES:
            touched = cache.apply_list(whole, json.loads(body)["endpoints"])
        else:
            for step in long(whole, body):
                longest, began = max(longest, time.perf_counter() - began), time.perf_counter()
                touched = step
        longest = max(longest, time.perf_counter() - began)
        if touched is None:
            raise RuntimeError("the relay took the plan's list for rubbish")
        return touched

    def sent(answer: ListResponse) -> int:
        body = answer.body(0)
        return len(gzip_body(body) if len(body) >= MIN_GZIP_BYTES else body)

    def told(items: list[dict[str, Any]]) -> tuple[float, float, list[int]]:
        """CPU and the longest step, in ms, and the bytes to each gateway that is told something."""
        nonlocal longest
        body, sizes = _answer(2, False, items), []
        longest, cpu = 0.0, time.process_time()
        touched = take(False, body)
        for asker in askers:
            if topics[asker].isdisjoint(touched):
                continue
            began = time.perf_counter()
            answer = cache.respond(asker, held.get(asker.gateway))
            if answer is not None:
                sizes.append(sent(answer))
                held[asker.gateway] = answer.index
            longest = max(longest, time.perf_counter() - began)
        return (time.process_time() - cpu) * 1e3, longest * 1e3, sizes

    cpu = time.process_time()
    take(True, bodies.pop())
    costs["relay_take_ms"] = (time.process_time() - cpu) * 1e3
    costs["relay_take_stop_ms"] = longest * 1e3
    cpu, sizes = time.process_time(), []
    for asker in askers:
        answer = cache.respond(asker, None)
        assert answer is not None
        sizes.append(sent(answer))
        held[asker.gateway] = answer.index
    costs["relay_whole_cpu_ms"] = (time.process_time() - cpu) * 1e3 / len(askers)
    costs["relay_whole_bytes"] = max(sizes)
    costs["relay_kept_mb"] = (kib("self", "VmRSS") - before) * MB
    zone = made.gateways[0].zone
    of_zone = [entry for entry in listed if entry["zone"] == zone]
    for name, chosen in (("change_1", None), ("change_zone", of_zone)):
        seen = []
        for turn in range(CHANGES if chosen is None else WHOLES):
            # Gone and back with a new start: what is measured is the return.
            items = chosen or [listed[turn * 7919 % len(listed)]]
            told([entry | {"status": "DELETED"} for entry in items])
            seen.append(told([entry | {"since_ms": NOW_MS + dice.randrange(BACK_MS)} for entry in items]))
        costs[f"relay_{name}_cpu_ms"] = statistics.median(cpu for cpu, _, _ in seen)
        costs[f"relay_{name}_stop_ms"] = max(longest for _, longest, _ in seen)
        costs[f"relay_{name}_bytes"] = statistics.mean(sum(sizes) for _, _, sizes in seen)
        costs[f"relay_{name}_bytes_most"] = max((max(sizes, default=0) for _, _, sizes in seen), default=0)
    return costs


# The settings


def settings_with(tenants: int, classes: int = 3) -> dict[str, Any]:
    made = gateway_settings(PLAN.hosts)
    lanes = [made["lanes"][n % 3] | {"name": f"class-{n}"} for n in range(classes)]
    named = [{"name": f"tenant-{n:06d}", "fraction": 1 / tenants} for n in range(tenants)]
    return made | {"tenants": named, "lanes": lanes}


def _reload(made: dict[str, Any]) -> Costs:
    """Read as a running gateway does: off the loop, while a ticker on the loop finds how long it stood."""
    from cloverkeel.balancing.balancer import Balancer
    from cloverkeel.core.config import load

    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "g.json"
        file.write_text(json.dumps(configuration("g0", "127.0.0.1:1", "127.0.0.1:9", "1", [], made)))
        size = file.stat().st_size

        async def read() -> Costs:
            loop = asyncio.get_running_loop()
            gaps: list[float] = []
            seen = time.perf_counter()
            over = False

            def tick() -> None:
                nonlocal seen
                now = time.perf_counter()
                gaps.append(now - seen)
                seen = now
                if not over:
                    loop.call_later(TICK_S, tick)

            tick()
            before = kib("self", "VmRSS")
            first = load({"LB_CONFIG": str(file)})
            balancer = Balancer(first.settings, 1)
            kept = kib("self", "VmRSS") - before
            await asyncio.sleep(0.02)
            gaps.clear()
            began, cpu = time.perf_counter(), time.process_time()
            again = await asyncio.to_thread(load, {"LB_CONFIG": str(file)})
            spent, took = (time.process_time() - cpu) * 1e3, (time.perf_counter() - began) * 1e3
            await asyncio.sleep(0.005)
            over = True
            most = kib("self", "VmHWM") - before
            del balancer, again
            return {
                "reload_cpu_ms": spent, "reload_ms": took, "reload_stop_ms": max(0.0, max(gaps) - TICK_S) * 1e3,
                "reload_bytes": size, "reload_kept_mb": kept * MB, "reload_most_mb": most * MB,
            }  # fmt: skip

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(read())


def part_tenants(size: int, seconds: float) -> Costs:
    return {f"tenants_{name}": value for name, value in _reload(settings_with(size)).items()}


def part_classes(size: int, seconds: float) -> Costs:
    return {f"classes_{name}": value for name, value in _reload(settings_with(4, size)).items()}


# State that the program does not have: bytes of typical entries, an estimate


def _kept(make: Callable[[], object]) -> float:
    """KiB that stay allocated."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    kept = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    del made
    return kept


def part_routes(size: int, seconds: float) -> Costs:
    """A route: its prefix, the service, a class and two limits; and its text in a file."""

    def routes() -> dict[str, tuple[str, int, float, int]]:
        return {f"/area-{n % 97}/resource-{n:05d}/": (f"s{n % 1400}", n % 3, 0.5 + n, 1000 + n) for n in range(size)}

    text = json.dumps([{"prefix": k, "service": v[0], "class": v[1], "limits": v[2:]} for k, v in routes().items()])
    return {"routes_kib": _kept(routes), "routes_bytes": float(len(text))}


def part_services(size: int, seconds: float) -> Costs:
    """A service: its name, the numbers of its hosts (the plan's 27 each) in a list, and its sums."""

    def services() -> dict[str, tuple[list[int], list[float]]]:
        each = PLAN.hosts // PLAN.services
        return {f"s{n}": ([n * each + m + 1000 for m in range(each)], [float(n), 1.0, 0.5]) for n in range(size)}

    return {"services_kib": _kept(services)}


# A real gateway behind a real relay


def part_relayed(size: int, seconds: float) -> Costs:
    """p99 added by the gateway with the most services, told its subset by a relay that has so many hosts and the
    plan's roster: while nothing changes, and while hosts are restarted at the rate of the fleet's worst hour."""
    from benchmarks.capacity.budget import HOUR, Load

    costs: Costs = {}
    made = fleet(gateways_at(size), size)
    front = max(made.gateways, key=lambda one: len(one.services))
    zones = [zone for each in made.regions.values() for zone in each]
    seconds = min(seconds, RELAYED_S)
    with world(size) as (hosts, discovery), tempfile.TemporaryDirectory() as name:
        folder, port = Path(name), free_port()
        (folder / "roster.json").write_text(json.dumps(made.roster()))
        listens = f'listen = "127.0.0.1:{port}"\ndiscovery = "127.0.0.1:{discovery}"\n'
        (folder / "relay.toml").write_text(f'name = "relay"\n{listens}roster = "roster.json"\n')
        options = folder / "options.toml"
        options.write_text(
            f'[relays]\naddresses = ["127.0.0.1:{port}"]\nservices = {json.dumps(list(front.services))}\n'
        )
        told = gateway_settings(size) | {"zone": zones.index(front.zone)}
        config = configuration(front.name, "", f"127.0.0.1:{discovery}", "1", [], told) | {"known": {}}
        real = Real(folder, config, more={"CLOVERKEEL_OPTIONS": str(options)})
        with (folder / "relay.log").open("ab") as log:
            relay = subprocess.Popen(
                (sys.executable, "-m", "cloverkeel", "relay", str(folder / "relay.toml")), cwd=ROOT,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip
        try:
            wait_ready(port, relay, folder / "relay.log")
            real.start()
            if relay_state(port)["wholes"] != 1:
                raise RuntimeError("the gateway has its list from elsewhere than from the relay")
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                clients = Clients(real.port, hosts, PLAN.requests_per_gateway)
                runner.run(clients.run(min(WARM_S, seconds)))
                _under_load(costs, "relayed", runner, clients, real.pid, seconds)
                every_ms = 1_000 / (HOUR * Load({}, size / PLAN.hosts).changes)
                call(discovery, f"/restarts?every_ms={every_ms:.0f}")
                _under_load(costs, "relayed_changes", runner, clients, real.pid, seconds)
        finally:
            real.end()
            relay.kill()
            relay.wait()
    return costs


def relay_state(port: int) -> dict[str, Any]:
    """What it says of itself, for staff."""
    with urllib.request.urlopen(f"http://127.0.0.1:{port}/relay/state", timeout=PATIENCE_S) as answer:
        said: dict[str, Any] = json.load(answer)
    return said


PARTS: dict[str, Callable[[int, float], Costs]] = {
    name.removeprefix("part_"): part for name, part in list(globals().items()) if name.startswith("part_")
}


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("part", choices=tuple(PARTS))
    parser.add_argument("size", type=int)
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    loader.load("cloverkeel")  # before any of its rooms is imported as a source
    print(json.dumps(PARTS[options.part](options.size, options.seconds)))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
