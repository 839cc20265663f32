"""What a list of hosts costs a gateway: CPU and the longest stop of the loop, by hosts listed and hosts changed.

    python -m benchmarks.list_cost [--hosts 200,600,2000,10000,38000] [--repeats 20] [--json FILE]

The real module, core and pools on a loop of their own; nobody asks for anything and nothing goes over a network.
A change is of hosts that start anew (what costs most), of weights, and a zone lost and back; a whole list names
every host, all as they were. `module` is the time of the decisions alone, `cpu` that of all that follows a list in
the core, `stop` the longest time in which the loop had no turn. Medians over the repeats, in ms. Also JSON and
parse_list, each at one go and by steps, with the longest step.
Exit code 0; 2 where an option cannot be used.
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
ZONES = 6


class Silence:
    """A membership that says nothing of itself."""

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


def raw(number: int, since_ms: int = 0, status: str = "SERVING", weight: float = 1.0) -> dict[str, Any]:
    return {
        "name": f"h-{number:06d}", "address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:80",
        "zone": f"z{number % ZONES}", "type": "m", "group": 0, "status": status, "weight": weight,
        "since_ms": since_ms,
    }  # fmt: skip


def changes(hosts: int, turn: int) -> dict[str, list[dict[str, Any]]]:
    """Changes of one turn by name; each leaves as many hosts as there were."""
    since_ms = int(time.time() * 1000) + turn
    found = {
        f"anew {n}": [raw((turn * n + i) % hosts, since_ms) for i in range(n)] for n in (1, 5, 500) if n <= hosts
    }
    found["weight 5"] = [raw((turn * 5 + i) % hosts, weight=1.0 + turn / 100) for i in range(5)]
    found["zone gone"] = [raw(n, status="DELETED") for n in range(0, hosts, ZONES)]
    found["zone back"] = [raw(n) for n in range(0, hosts, ZONES)]
    return found


def module_ms(hosts: int, repeats: int) -> dict[str, float]:
    config = parse(CONFIG)
    balancer, now_us = Balancer(config.settings, 1), int(time.time() * 1e6)
    taken: dict[str, list[float]] = {}

    def give(name: str, kind: ListKind, items: list[dict[str, Any]]) -> None:
        entries = parse_endpoint_list({"index": 1, "endpoints": items}, config.names).endpoints
        event = ServerList(kind, tuple(entry.listed for entry in entries))
        began_s = time.perf_counter()
        balancer.handle(now_us, event)
        taken.setdefault(name, []).append((time.perf_counter() - began_s) * 1e3)

    whole = [raw(number) for number in range(hosts)]
    give("first", ListKind.FULL, whole)
    for turn in range(repeats):
        for name, items in changes(hosts, turn).items():
            give(name, ListKind.DELTA, items)
    for _ in range(min(repeats, 5)):
        give("whole", ListKind.FULL, whole)
    return {name: statistics.median(all_) for name, all_ in taken.items()}


async def core_ms(hosts: int, repeats: int) -> tuple[dict[str, float], dict[str, float]]:
    """CPU and longest stop, by name of the change."""
    config = parse(CONFIG)
    pool = ConnectionPool(config.settings)
    gateway = Gateway(config, pool, AttemptSender(config.settings, pool), Silence())
    cpu: dict[str, list[float]] = {}
    stop: dict[str, list[float]] = {}

    async def give(name: str, kind: ListKind, items: list[dict[str, Any]]) -> None:
        entries = parse_endpoint_list({"index": 1, "endpoints": items}, config.names).endpoints
        await asyncio.sleep(0)
        gc.collect()
        longest_s, spent_s, quiet = 0.0, 0.0, 0
        began_s = time.perf_counter()
        gateway.on_endpoint_list(kind, entries)
        while quiet < 3:  # turns in which nothing was done any more
            took_s = time.perf_counter() - began_s
            longest_s, spent_s = max(longest_s, took_s), spent_s + took_s
            began_s = time.perf_counter()
            await asyncio.sleep(0)
            quiet = quiet + 1 if not gateway.endpoint_updates.batches.pending else 0
        cpu.setdefault(name, []).append(spent_s * 1e3)
        stop.setdefault(name, []).append(longest_s * 1e3)

    whole = [raw(number) for number in range(hosts)]
    await give("first", ListKind.FULL, whole)
    for turn in range(repeats):
        for name, items in changes(hosts, turn).items():
            await give(name, ListKind.DELTA, items)
    for _ in range(min(repeats, 5)):
        await give("whole", ListKind.FULL, whole)
    gateway.close()
    medians = [{name: statistics.median(all_) for name, all_ in taken.items()} for taken in (cpu, stop)]
    return medians[0], medians[1]


def reading_ms(hosts: int) -> dict[str, float]:
    config = parse(CONFIG)
    data = json.dumps({"index": 1, "endpoints": [raw(number) for number in range(hosts)]}).encode()
    began_s = time.perf_counter()
    read = json.loads(data)
    parsed_s = time.perf_counter()
    kept = parse_endpoint_list(read, config.names)
    over_s = time.perf_counter()
    del kept
    costs = {"json": (parsed_s - began_s) * 1e3, "parse_list": (over_s - parsed_s) * 1e3, "bytes": float(len(data))}
    longest_s = 0.0
    for name, steps in (
        ("json by steps", decode_json(data)),
        ("parse_list by steps", parse_endpoint_list_incrementally(read, config.names)),
    ):
        began_s = before_s = time.perf_counter()
        for _ in steps:
            longest_s, before_s = max(longest_s, time.perf_counter() - before_s), time.perf_counter()
        longest_s = max(longest_s, time.perf_counter() - before_s)
        costs[name] = (time.perf_counter() - began_s) * 1e3
    return costs | {"longest step": longest_s * 1e3}


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--hosts", default="200,600,2000,10000,38000")
    parser.add_argument("--repeats", type=int, default=20)
    parser.add_argument("--json")
    options = parser.parse_args()
    try:
        sizes = [int(text) for text in options.hosts.split(",")]
    except ValueError:
        parser.error(f"--hosts: expected numbers with commas between, found {options.hosts!r}")
    print(f"decisions are {cloverkeel.balancing.BUILD}")
    gc.freeze()
    found: dict[int, dict[str, dict[str, float]]] = {}
    for hosts in sizes:
        module = module_ms(hosts, options.repeats)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            cpu, stop = runner.run(core_ms(hosts, options.repeats))
        found[hosts] = {"module": module, "cpu": cpu, "stop": stop, "reading": reading_ms(hosts)}
        for name in module:
            print(f"{hosts:6} {name:10} module {module[name]:9.3f}  cpu {cpu[name]:9.3f}  stop {stop[name]:9.3f}")
        print(f"{hosts:6} reading    " + "  ".join(f"{k} {v:.2f}" for k, v in found[hosts]["reading"].items()))
    if options.json:
        with open(options.json, "w") as file:
            json.dump({"build": cloverkeel.balancing.BUILD, "ms": found}, file, indent=1)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
