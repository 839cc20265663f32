"""Hollow gateways: all that a real one has but its clients, hundreds to a process, on real sockets.

Each is the program's own rooms put together (assembly.py) with its front never opened: membership client, core,
pools and the decision module, with the options that a real one would have. Two things differ from a process of its
own, as its loop is shared with hundreds: it never counts as having stood still, and the collector is off but between
steps and where many were taken down. Its clock's beat, its timers, its connection and its state are a real one's.

What is judged comes from here: when a gateway had applied a change, in the run's one clock, and what went over its
sockets, counted between its client and the transport. The gateways know nothing of it.

Orders: `make`, `begin`, `down`, `note`, `expect`, `result`, `holders`, `guard`, `asked`, `stats`, `tidy`.
"""

from __future__ import annotations

import asyncio
import gc
import os
import random
import sys
from collections import Counter
from collections.abc import Callable
from contextvars import ContextVar, copy_context
from dataclasses import dataclass, field, replace
from typing import Any, Final, cast

import uvloop

from cloverkeel.compiled import loader

loader.load("cloverkeel")  # as the program does, before any of its rooms is imported as a source

from benchmarks.capacity.run_stale_updates import StaleUpdateDetector  # noqa: E402
from benchmarks.capacity.run_processes import (  # noqa: E402
    OrderHandler,
    StallMeter,
    clock_us,
    own_cpu_us,
    raise_descriptor_limit,
    rss_kib,
    serve_orders,
)
from cloverkeel.balancing.events import ListKind, ServerStatus  # noqa: E402
from cloverkeel.assembly import Program, assemble  # noqa: E402
from cloverkeel.core.config import Config, parse, parse_address, stable_id  # noqa: E402
from cloverkeel.core.options import Options  # noqa: E402
from cloverkeel.core.options import parse as parse_options  # noqa: E402
from cloverkeel.core.ports import Endpoint  # noqa: E402

STALL_DETECTION_OFF_US: Final = 10**15  # no gap is as long
CURRENT_GATEWAY: Final[ContextVar[int]] = ContextVar("CURRENT_GATEWAY")  # the number of the gateway that a task is of
STATUS_BY_NAME: Final = {
    "SERVING": ServerStatus.READY,
    "DRAINING": ServerStatus.DRAINING,
    "DELETED": ServerStatus.GONE,
}


# What goes over sockets


@dataclass(slots=True)
class TrafficCounters:
    """Of all hollow gateways of this process, since the start. Bytes of TCP's payload."""

    calls: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    opened_connections: int = 0


class CountingTransport:
    """A transport whose writes are counted; all else is its own."""

    def __init__(self, transport: asyncio.Transport, counters: TrafficCounters) -> None:
        self.transport, self.counters = transport, counters

    def write(self, data: bytes) -> None:
        self.counters.sent_bytes += len(data)
        self.counters.calls += data.startswith(b"GET ")
        self.transport.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)


class CountingProtocol(asyncio.Protocol):
    """Before a client's protocol: what comes is counted."""

    def __init__(self, inner: Any, counters: TrafficCounters) -> None:
        self.inner, self.counters = inner, counters
        self.transport: CountingTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.counters.opened_connections += 1
        self.transport = CountingTransport(cast(asyncio.Transport, transport), self.counters)
        self.inner.connection_made(self.transport)

    def data_received(self, data: bytes) -> None:
        self.counters.received_bytes += len(data)
        self.inner.data_received(data)

    def eof_received(self) -> Any:
        return self.inner.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        self.inner.connection_lost(exc)

    def pause_writing(self) -> None:
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        self.inner.resume_writing()


class CountingLoop(uvloop.Loop):
    """The loop of hollow gateways: every connection that one opens is counted."""

    def __init__(self) -> None:
        self.counters = TrafficCounters()
        self.last_called_port: dict[int, int] = {}  # by gateway: the port that it has called last

    async def create_connection(  # type: ignore[override]
        self, factory: Callable[[], Any], *args: Any, **kwargs: Any
    ) -> Any:
        gateway_index = CURRENT_GATEWAY.get(None)
        if gateway_index is not None and len(args) == 2:
            self.last_called_port[gateway_index] = args[1]
        _, protocol = await super().create_connection(
            lambda: CountingProtocol(factory(), self.counters), *args, **kwargs
        )
        return protocol.transport, protocol.inner


# One of them


@dataclass(slots=True, eq=False)
class ExpectedChange:
    """A change that gateways are to have, and when each had it."""

    name_by_host_id: dict[int, str]
    host_ids_by_gateway: dict[int, list[int]] = field(default_factory=dict)  # by gateway: hosts of it that it holds
    remaining_by_gateway: dict[int, int] = field(default_factory=dict)  # by gateway: how many it has not got yet
    received_us_by_gateway: dict[int, int] = field(default_factory=dict)  # by gateway: when it got the last
    overtaken_count: int = 0  # hosts of gateways that a newer change has overtaken


class SimulatedGateway:
    def __init__(
        self, index: int, config: Config, options: Options, stale_update_detector: StaleUpdateDetector
    ) -> None:
        self.index, self.config, self.options, self.stale_update_detector = (
            index,
            config,
            options,
            stale_update_detector,
        )
        self.program: Program | None = None
        self.started_us = self.listed_us = 0
        self.pending_changes: dict[int, tuple[ExpectedChange, ServerStatus, float]] = {}
        self.errors = self.full_lists = self.deltas = self.listed_entries = 0
        self.longest_apply_us = 0  # to apply one list
        self.emptied_lists = 0  # lists that left it without a host
        self.generation = 0

    def start(self) -> None:
        context = copy_context()
        context.run(CURRENT_GATEWAY.set, self.index)
        context.run(self.start_program)  # what it starts is known by its number

    def start_program(self) -> None:
        self.generation += 1
        seed = stable_id(f"{self.config.seed}/{self.generation}", 8)
        self.program = program = assemble(replace(self.config, seed=seed), self.options)
        program.gateway.stall_detector.threshold_us = STALL_DETECTION_OFF_US
        self.started_us, self.listed_us = clock_us(), 0
        program.discovery.set_listener(self.on_list)
        program.gateway.start()

    def stop(self) -> None:
        if self.program is not None:
            self.program.close()
            self.program = None
            self.pending_changes.clear()

    @property
    def held_hosts(self) -> dict[int, Any]:
        """Hosts by their numbers."""
        return self.program.pool.hosts if self.program is not None else {}

    def on_list(self, kind: ListKind, entries: list[Endpoint]) -> None:
        program = self.program
        if program is None:
            return
        started_us = clock_us()
        program.gateway.on_endpoint_list(kind, entries)
        at_us = clock_us()
        self.longest_apply_us = max(self.longest_apply_us, at_us - started_us)
        if kind is ListKind.ERROR:
            self.errors += 1
        elif kind is ListKind.FULL or kind is ListKind.DELTA:
            self.full_lists += kind is ListKind.FULL
            self.deltas += kind is ListKind.DELTA
            self.listed_entries += len(entries)
            self.emptied_lists += bool(self.listed_us) and not program.pool.hosts
            self.stale_update_detector.check_update(self.index, kind, entries)
            if not self.listed_us and entries:
                self.listed_us = at_us
            if self.pending_changes:
                self.match_expected_changes(kind, entries, at_us)

    def match_expected_changes(self, kind: ListKind, entries: list[Endpoint], at_us: int) -> None:
        """Which of the changes that are waited for this list has brought."""
        listed_hosts = set()
        for entry in entries:
            host_id = entry.listed.server
            listed_hosts.add(host_id)
            expected = self.pending_changes.get(host_id)
            if (
                expected is not None
                and entry.listed.status is expected[1]
                and (expected[1] is ServerStatus.GONE or entry.listed.weight == expected[2])
            ):
                self.mark_received(host_id, at_us)
        if kind is ListKind.FULL:
            # Who asks for the whole is not told of hosts that drain.
            removed_statuses = (ServerStatus.GONE, ServerStatus.DRAINING)
            for host_id in [
                host_id
                for host_id, expected in self.pending_changes.items()
                if host_id not in listed_hosts and expected[1] in removed_statuses
            ]:
                self.mark_received(host_id, at_us)

    def mark_received(self, host_id: int, at_us: int) -> None:
        expected, _, _ = self.pending_changes.pop(host_id)
        expected.remaining_by_gateway[self.index] -= 1
        if not expected.remaining_by_gateway[self.index]:
            expected.received_us_by_gateway[self.index] = at_us

    def expect_change(self, expected: ExpectedChange, host_id: int, status: ServerStatus, weight: float) -> None:
        previous = self.pending_changes.get(host_id)
        if previous is not None:
            previous[0].overtaken_count += 1
            self.mark_received(host_id, clock_us())
        self.pending_changes[host_id] = (expected, status, weight)
        expected.host_ids_by_gateway.setdefault(self.index, []).append(host_id)
        expected.remaining_by_gateway[self.index] = expected.remaining_by_gateway.get(self.index, 0) + 1


class SimulatedGatewayWorker:
    """All of this process."""

    def __init__(self) -> None:
        raise_descriptor_limit()
        gc.disable()  # its heap is that of hundreds of processes: a pass would stop all of them
        self.loop = cast(CountingLoop, asyncio.get_running_loop())
        self.gateways: dict[int, SimulatedGateway] = {}
        self.expected_changes: dict[str, ExpectedChange] = {}
        self.stale_update_detector = StaleUpdateDetector()
        self.stall_meter = StallMeter()
        self.rng = random.Random(os.getpid())

    def handlers(self) -> dict[str, OrderHandler]:
        return {
            "make": self.create_gateways, "begin": self.start_gateways, "down": self.stop_gateways,
            "note": self.record_holders, "expect": self.expect_change, "result": self.report_changes,
            "holders": self.report_holders, "guard": self.watch_ended_hosts, "asked": self.count_callers,
            "stats": self.report_counts, "tidy": self.finish_step,
        }  # fmt: skip

    async def create_gateways(self, order: dict[str, Any]) -> dict[str, Any]:
        """Gateways by their numbers, from one configuration: `each` has number, zone, name, options, discovery."""
        common = parse(order["configuration"])
        for index, zone, name, options, discovery in order["each"]:
            settings = replace(common.settings, proxy=index, zone=zone)
            seed, discovery_address = stable_id(f"{order['seed']}/{name}", 8), parse_address(discovery, "discovery")
            config = replace(common, name=name, seed=seed, settings=settings, discovery=discovery_address)
            self.gateways[index] = SimulatedGateway(
                index, config, parse_options(options, name), self.stale_update_detector
            )
        return {"made": len(self.gateways)}

    async def start_gateways(self, order: dict[str, Any]) -> dict[str, Any]:
        """Start those that are down, spread evenly over a time; returns at once with how many."""
        stopped = [gateway for gateway in self.gateways.values() if gateway.program is None]
        for gateway in stopped:
            self.loop.call_later(self.rng.random() * order["over_s"], gateway.start)
        return {"begin": len(stopped), "at_us": clock_us()}

    async def stop_gateways(self, order: dict[str, Any]) -> dict[str, Any]:
        """End this share of them outright."""
        chosen = self.rng.sample(list(self.gateways.values()), round(len(self.gateways) * order["share"]))
        for gateway in chosen:
            gateway.stop()
        await asyncio.sleep(0)
        gc.unfreeze()
        gc.collect()
        return {"down": len(chosen)}

    async def finish_step(self, order: dict[str, Any]) -> dict[str, Any]:
        """A step has ended: what it left is collected, and what is there now is not looked at again."""
        self.expected_changes.clear()
        gc.collect()
        gc.freeze()
        return {}

    async def record_holders(self, order: dict[str, Any]) -> dict[str, Any]:
        """Who holds these hosts now, for `as` of a later change."""
        holders = ExpectedChange({stable_id(name, 4): name for name in order["names"]})
        for gateway in self.gateways.values():
            holders.host_ids_by_gateway[gateway.index] = [
                host_id for host_id in holders.name_by_host_id if host_id in gateway.held_hosts
            ]
        self.expected_changes[order["id"]] = holders
        return {}

    async def expect_change(self, order: dict[str, Any]) -> dict[str, Any]:
        """Hosts are about to change: name, status, weight. Who holds them is to learn of it, or who did at `as`; with
        `asking`, ports, of these gateways only who asks there, or only who does not (`asks` false)."""
        change = ExpectedChange({stable_id(name, 4): name for name, _, _ in order["hosts"]})
        target_by_host = {
            stable_id(name, 4): (STATUS_BY_NAME[status], float(weight)) for name, status, weight in order["hosts"]
        }
        holders = self.expected_changes[order["as"]] if order.get("as") else None
        ports = order.get("asking")
        for gateway in self.gateways.values():
            if gateway.program is None:
                continue
            if ports is not None and (self.loop.last_called_port.get(gateway.index) in ports) != order["asks"]:
                continue
            held_hosts = gateway.held_hosts
            if holders is not None:
                host_ids = [
                    host_id
                    for host_id in holders.host_ids_by_gateway.get(gateway.index, ())
                    if host_id in target_by_host
                ]
            else:
                smaller, larger = (
                    (target_by_host, held_hosts)
                    if len(target_by_host) < len(held_hosts)
                    else (held_hosts, target_by_host)
                )
                host_ids = [host_id for host_id in smaller if host_id in larger]
            for host_id in host_ids:
                gateway.expect_change(change, host_id, *target_by_host[host_id])
        self.expected_changes[order["id"]] = change
        return {"gateways": len(change.remaining_by_gateway), "pairs": sum(change.remaining_by_gateway.values())}

    async def watch_ended_hosts(self, order: dict[str, Any]) -> dict[str, Any]:
        """From now on the hosts of this note are not to serve any more at who held them then; none: no longer.
        Returns who was told otherwise, of those guarded before."""
        stale_updates = self.stale_update_detector.stale_updates
        self.stale_update_detector.stale_updates, self.stale_update_detector.ended_hosts = [], set()
        recorded = self.expected_changes[order["id"]].host_ids_by_gateway if order["id"] else {}
        watched = {stable_id(name, 4) for name in order["names"]}
        self.stale_update_detector.held_hosts_by_gateway = {
            gateway: frozenset(watched.intersection(host_ids)) for gateway, host_ids in recorded.items()
        }
        return {"undone": stale_updates}

    async def count_callers(self, order: dict[str, Any]) -> dict[str, Any]:
        """How many of those that are up have called each port last."""
        running = [gateway.index for gateway in self.gateways.values() if gateway.program is not None]
        return {"asked": list(Counter(self.loop.last_called_port.get(index, 0) for index in running).items())}

    async def report_changes(self, order: dict[str, Any]) -> dict[str, Any]:
        """Of each of these changes: when each gateway had all of it that it should have; how many lack some."""
        return {"results": [self.describe_change(self.expected_changes[change_id]) for change_id in order["ids"]]}

    def describe_change(self, change: ExpectedChange) -> dict[str, Any]:
        missing = [index for index, remaining in change.remaining_by_gateway.items() if remaining]
        return {
            "had_us": list(change.received_us_by_gateway.values()), "missing": len(missing),
            "overtaken": change.overtaken_count,
            "asking": [self.loop.last_called_port.get(index, 0) for index in missing],
            "some": [self.describe_missing(index, change) for index in missing[:3]],
        }  # fmt: skip

    def describe_missing(self, index: int, change: ExpectedChange) -> str:
        gateway = self.gateways[index]
        hosts = [
            f"{change.name_by_host_id[host_id]} {expected[1].value}"
            for host_id, expected in gateway.pending_changes.items()
            if expected[0] is change
        ]
        return f"{gateway.config.name}: {', '.join(hosts[:3])}"

    async def report_holders(self, order: dict[str, Any]) -> dict[str, Any]:
        """Of these hosts, by their places, which each gateway that is up has."""
        index_by_host = {stable_id(name, 4): index for index, name in enumerate(order["names"])}
        running = [gateway for gateway in self.gateways.values() if gateway.program is not None]
        return {
            "held": [
                [index_by_host[host_id] for host_id in gateway.held_hosts if host_id in index_by_host]
                for gateway in running
            ]
        }

    async def report_counts(self, order: dict[str, Any]) -> dict[str, Any]:
        """Counts since the start; the longest stops since the last call with `begins`, at a step's start; how long
        from start to list, of those started since `since_us`, and the longest stop that ended since, of long ones."""
        gateways = list(self.gateways.values())
        running = [gateway for gateway in gateways if gateway.program is not None]
        counters = self.loop.counters
        longest_apply_us = max((gateway.longest_apply_us for gateway in gateways), default=0)
        longest_stall_us = self.stall_meter.longest_us
        stalls = [to_us - from_us for from_us, to_us in self.stall_meter.stalls if to_us > order.get("since_us", 0)]
        if order.get("begins"):
            self.stall_meter.take_longest_us()
            for gateway in gateways:
                gateway.longest_apply_us = 0
        return {
            "at_us": clock_us(), "cpu_us": own_cpu_us(), "stop_us": longest_stall_us, "apply_us": longest_apply_us,
            "stood_us": max(stalls, default=0),
            "up": len(running), "listed": sum(1 for gateway in running if gateway.listed_us),
            "ready_us": [gateway.listed_us - gateway.started_us for gateway in running if gateway.listed_us
                         and gateway.started_us >= order.get("since_us", 0)],
            "first_us": min((gateway.started_us for gateway in running), default=0),
            "last_us": max((gateway.listed_us for gateway in running), default=0),
            "hosts": sum(len(gateway.held_hosts) for gateway in running),
            "most_hosts": max((len(gateway.held_hosts) for gateway in running), default=0),
            "emptied": sum(gateway.emptied_lists for gateway in gateways),
            "errors": sum(gateway.errors for gateway in gateways),
            "wholes": sum(gateway.full_lists for gateway in gateways),
            "deltas": sum(gateway.deltas for gateway in gateways),
            "entries": sum(gateway.listed_entries for gateway in gateways),
            "calls": counters.calls, "sent": counters.sent_bytes, "came": counters.received_bytes,
            "opened": counters.opened_connections,
            "rss_kib": rss_kib(os.getpid()),
        }  # fmt: skip


if __name__ == "__main__":
    sys.setswitchinterval(0.05)
    serve_orders(lambda: SimulatedGatewayWorker().handlers(), CountingLoop)
