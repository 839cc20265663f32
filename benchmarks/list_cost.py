"""Measures what an endpoint list costs a gateway: CPU time and the longest pause of the event loop.

    python -m benchmarks.list_cost [--hosts 200,600,2000,10000,38000] [--repeats 20] [--json FILE]

Runs the real balancer, core and connection pools on an event loop, without requests and without a network. The
changes are restarted hosts (the most expensive change), changed weights, and a zone that disappears and returns;
`whole` is a full list in which no host has changed. `module` is the time in the balancer alone, `cpu` the time of all
work that a list causes in the core, `stop` the longest time in which the event loop could run nothing else: medians
over the repeats, in ms. `reading` are the times to decode the JSON and to parse the list (`parse_list`), each at once
and incrementally ("by steps"), with the longest step.
Exit code: 0, or 2 if an option is invalid.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import statistics
import time
from collections.abc import Callable
from typing import Any

import cloverkeel.balancing
import uvloop
from cloverkeel.balancing import Balancer, ListKind, ServerList
from cloverkeel.compiled import loader

loader.load("cloverkeel")

from cloverkeel.core.config import parse  # noqa: E402
from cloverkeel.core.gateway import Gateway  # noqa: E402
from cloverkeel.core.incremental_json import decode_json  # noqa: E402
from cloverkeel.core.memory_account import MemoryAccount  # noqa: E402
from cloverkeel.core.peer_resources import PeerResources  # noqa: E402
from cloverkeel.core.ports import Endpoint  # noqa: E402
from cloverkeel.discovery.endpoint_parser import parse_endpoint_list, parse_endpoint_list_incrementally  # noqa: E402
from cloverkeel.upstream.attempt_sender import AttemptSender  # noqa: E402
from cloverkeel.upstream.connection_pool import ConnectionPool  # noqa: E402

CONFIG = {
    "name": "g", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": 1, "sockets": 100,
    "settings": {
        "lanes": [{"name": "a", "giveUpUs": 1_000_000}], "zones": [f"z{n}" for n in range(6)], "proxies": 4600,
        "contract": {"warmAfterUs": 10_000_000},
    },
}  # fmt: skip
ZONE_COUNT = 6


class SilentMembership:
    """Membership source that reports nothing on its own."""

    def set_listener(self, on_list: Callable[[ListKind, list[Endpoint]], None]) -> None:
        pass

    def load_known(self, raw: dict[str, Any]) -> None:
        pass

    def watch(self, on: bool) -> None:
        pass

    def fetch(self) -> None:
        pass

    def catch_up(self, stall_us: int, done: Callable[[], None]) -> None:
        done()

    def close(self) -> None:
        pass


def host_entry(number: int, since_ms: int = 0, status: str = "SERVING", weight: float = 1.0) -> dict[str, Any]:
    """Entry of a host in the JSON form of an endpoint list."""
    return {
        "name": f"h-{number:06d}", "address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:80",
        "zone": f"z{number % ZONE_COUNT}", "type": "m", "group": 0, "status": status, "weight": weight,
        "since_ms": since_ms,
    }  # fmt: skip


def make_changes(hosts: int, round_index: int) -> dict[str, list[dict[str, Any]]]:
    """Changes of one round, by name; after all of them the number of hosts is the same as before."""
    since_ms = int(time.time() * 1000) + round_index
    changes = {
        f"anew {n}": [host_entry((round_index * n + i) % hosts, since_ms) for i in range(n)]
        for n in (1, 5, 500)
        if n <= hosts
    }
    changes["weight 5"] = [
        host_entry((round_index * 5 + i) % hosts, weight=1.0 + round_index / 100) for i in range(5)
    ]
    changes["zone gone"] = [host_entry(n, status="DELETED") for n in range(0, hosts, ZONE_COUNT)]
    changes["zone back"] = [host_entry(n) for n in range(0, hosts, ZONE_COUNT)]
    return changes


def measure_balancer_ms(hosts: int, repeats: int) -> dict[str, float]:
    """Median time of the balancer, by name of the change."""
    config = parse(CONFIG)
    balancer, now_us = Balancer(config.settings, 1), int(time.time() * 1e6)
    times_ms: dict[str, list[float]] = {}

    def deliver_list(name: str, kind: ListKind, changed: list[dict[str, Any]]) -> None:
        entries = parse_endpoint_list({"index": 1, "endpoints": changed}, config.names).endpoints
        event = ServerList(kind, tuple(entry.listed for entry in entries))
        began_s = time.perf_counter()
        balancer.handle(now_us, event)
        times_ms.setdefault(name, []).append((time.perf_counter() - began_s) * 1e3)

    whole = [host_entry(number) for number in range(hosts)]
    deliver_list("first", ListKind.FULL, whole)
    for round_index in range(repeats):
        for name, changed in make_changes(hosts, round_index).items():
            deliver_list(name, ListKind.DELTA, changed)
    for _ in range(min(repeats, 5)):
        deliver_list("whole", ListKind.FULL, whole)
    return {name: statistics.median(values) for name, values in times_ms.items()}


async def measure_core_ms(hosts: int, repeats: int) -> tuple[dict[str, float], dict[str, float]]:
    """Median CPU time and longest pause of the event loop, by name of the change."""
    config = parse(CONFIG)
    pool = ConnectionPool(config.settings)
    resources = PeerResources(MemoryAccount(config.memory_mb, 0))
    gateway = Gateway(config, pool, AttemptSender(config.settings, pool, resources, 1), SilentMembership(), resources)
    cpu_ms: dict[str, list[float]] = {}
    pause_ms: dict[str, list[float]] = {}

    async def deliver_list(name: str, kind: ListKind, changed: list[dict[str, Any]]) -> None:
        entries = parse_endpoint_list({"index": 1, "endpoints": changed}, config.names).endpoints
        await asyncio.sleep(0)
        gc.collect()
        max_step_s, total_s, idle_turns = 0.0, 0.0, 0
        began_s = time.perf_counter()
        gateway.on_endpoint_list(kind, entries)
        while idle_turns < 3:  # iterations of the event loop without pending work
            elapsed_s = time.perf_counter() - began_s
            max_step_s, total_s = max(max_step_s, elapsed_s), total_s + elapsed_s
            began_s = time.perf_counter()
            await asyncio.sleep(0)
            idle_turns = idle_turns + 1 if not gateway.endpoint_updates.batches.pending else 0
        cpu_ms.setdefault(name, []).append(total_s * 1e3)
        pause_ms.setdefault(name, []).append(max_step_s * 1e3)

    whole = [host_entry(number) for number in range(hosts)]
    await deliver_list("first", ListKind.FULL, whole)
    for round_index in range(repeats):
        for name, changed in make_changes(hosts, round_index).items():
            await deliver_list(name, ListKind.DELTA, changed)
    for _ in range(min(repeats, 5)):
        await deliver_list("whole", ListKind.FULL, whole)
    gateway.close()
    medians = [{name: statistics.median(values) for name, values in times.items()} for times in (cpu_ms, pause_ms)]
    return medians[0], medians[1]


def measure_parsing(hosts: int) -> dict[str, float]:
    """Times in ms to decode and parse a full list, at once and incrementally; longest step; size in bytes."""
    config = parse(CONFIG)
    data = json.dumps({"index": 1, "endpoints": [host_entry(number) for number in range(hosts)]}).encode()
    began_s = time.perf_counter()
    decoded = json.loads(data)
    decoded_s = time.perf_counter()
    parsed = parse_endpoint_list(decoded, config.names)
    parsed_s = time.perf_counter()
    del parsed
    costs = {
        "json": (decoded_s - began_s) * 1e3,
        "parse_list": (parsed_s - decoded_s) * 1e3,
        "bytes": float(len(data)),
    }
    max_step_s = 0.0
    for name, steps in (
        ("json by steps", decode_json(data)),
        ("parse_list by steps", parse_endpoint_list_incrementally(decoded, config.names)),
    ):
        began_s = step_began_s = time.perf_counter()
        for _ in steps:
            max_step_s, step_began_s = max(max_step_s, time.perf_counter() - step_began_s), time.perf_counter()
        max_step_s = max(max_step_s, time.perf_counter() - step_began_s)
        costs[name] = (time.perf_counter() - began_s) * 1e3
    return costs | {"longest step": max_step_s * 1e3}


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--hosts", default="200,600,2000,10000,38000")
    parser.add_argument("--repeats", type=int, default=20)
    parser.add_argument("--json")
    options = parser.parse_args()
    try:
        sizes = [int(text) for text in options.hosts.split(",")]
    except ValueError:
        parser.error(f"--hosts: expected numbers separated by commas, found {options.hosts!r}")
    print(f"decisions are {cloverkeel.balancing.BUILD}")
    gc.freeze()
    results: dict[int, dict[str, dict[str, float]]] = {}
    for hosts in sizes:
        balancer_ms = measure_balancer_ms(hosts, options.repeats)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            cpu_ms, pause_ms = runner.run(measure_core_ms(hosts, options.repeats))
        results[hosts] = {"module": balancer_ms, "cpu": cpu_ms, "stop": pause_ms, "reading": measure_parsing(hosts)}
        for name in balancer_ms:
            print(
                f"{hosts:6} {name:10} module {balancer_ms[name]:9.3f}  cpu {cpu_ms[name]:9.3f}  "
                f"stop {pause_ms[name]:9.3f}"
            )
        print(
            f"{hosts:6} reading    "
            + "  ".join(f"{name} {value:.2f}" for name, value in results[hosts]["reading"].items())
        )
    if options.json:
        with open(options.json, "w") as file:
            json.dump({"build": cloverkeel.balancing.BUILD, "ms": results}, file, indent=1)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
