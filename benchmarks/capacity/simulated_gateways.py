"""Simulated gateways: everything that a real gateway has except clients, hundreds per process, on real sockets.

Each is the program as assembly.py builds it, without opening its listener: membership client, core, pools and the
decision module, with the options that a real gateway would have. Two things differ from a gateway in a process of its
own, because hundreds share the event loop: stall detection is off, and the garbage collector runs only between steps
and after many gateways were stopped. The clock's tick, the timers, the connection and the state are a real gateway's.

This module records when each gateway has applied a change, by the run's clock, and counts the traffic on its sockets
between its client and the transport. The gateways' own code takes no part in this.

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

loader.load("cloverkeel")  # as the program does, before any of its packages is imported from its source

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

STALL_DETECTION_OFF_US: Final = 10**15  # a threshold that no stall reaches
CURRENT_GATEWAY: Final[ContextVar[int]] = ContextVar("CURRENT_GATEWAY")  # index of the gateway that a task belongs to
STATUS_BY_NAME: Final = {
    "SERVING": ServerStatus.READY,
    "DRAINING": ServerStatus.DRAINING,
    "DELETED": ServerStatus.GONE,
}


# Traffic on sockets


@dataclass(slots=True)
class TrafficCounters:
    """Traffic of all simulated gateways of this process, since its start. Bytes are TCP payload."""

    calls: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    opened_connections: int = 0


class CountingTransport:
    """Wraps a transport and counts the calls and bytes written to it; everything else is passed through."""

    def __init__(self, transport: asyncio.Transport, counters: TrafficCounters) -> None:
        self.transport, self.counters = transport, counters

    def write(self, data: bytes) -> None:
        self.counters.sent_bytes += len(data)
        self.counters.calls += data.startswith(b"GET ")
        self.transport.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)


class CountingProtocol(asyncio.Protocol):
    """Wraps a client's protocol and counts the bytes that it receives."""

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
    """The event loop of simulated gateways, which counts the traffic of every connection that they open."""

    def __init__(self) -> None:
        self.counters = TrafficCounters()
        self.last_called_port: dict[int, int] = {}  # gateway index -> port of its last call

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


# The gateways


@dataclass(slots=True, eq=False)
class ExpectedChange:
    """A change that gateways must receive, and when each received it."""

    name_by_host_id: dict[int, str]
    host_ids_by_gateway: dict[int, list[int]] = field(default_factory=dict)  # the changed hosts that it holds
    remaining_by_gateway: dict[int, int] = field(default_factory=dict)  # changed hosts not received yet
    received_us_by_gateway: dict[int, int] = field(default_factory=dict)  # when it received the last one
    # Hosts whose change a newer one replaced before a gateway received it, over all gateways.
    overtaken_count: int = 0


class SimulatedGateway:
    """One simulated gateway, through stops and starts."""

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
        self.longest_apply_us = 0  # longest time to apply one list
        self.emptied_lists = 0  # lists that left it without a host
        self.generation = 0

    def start(self) -> None:
        """Start the program in a context that identifies the gateway."""
        context = copy_context()
        context.run(CURRENT_GATEWAY.set, self.index)
        context.run(self.start_program)  # tasks that it starts inherit the gateway's index

    def start_program(self) -> None:
        """Build and start the program, with a new seed for each start."""
        self.generation += 1
        seed = stable_id(f"{self.config.seed}/{self.generation}", 8)
        self.program = program = assemble(replace(self.config, seed=seed), self.options)
        program.gateway.stall_detector.threshold_us = STALL_DETECTION_OFF_US
        self.started_us, self.listed_us = clock_us(), 0
        program.discovery.set_listener(self.on_list)
        program.gateway.start()

    def stop(self) -> None:
        """Stop the program, without the shutdown that a real gateway would make."""
        if self.program is not None:
            self.program.close()
            self.program = None
            self.pending_changes.clear()

    @property
    def held_hosts(self) -> dict[int, Any]:
        """Host ID -> host, of the hosts that the gateway holds."""
        return self.program.pool.hosts if self.program is not None else {}

    def on_list(self, kind: ListKind, entries: list[Endpoint]) -> None:
        """Let the gateway apply a list, then count it and mark the changes that it brought."""
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
        """Mark the expected changes that this list has brought."""
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
            # A full list leaves out hosts that drain.
            removed_statuses = (ServerStatus.GONE, ServerStatus.DRAINING)
            for host_id in [
                host_id
                for host_id, expected in self.pending_changes.items()
                if host_id not in listed_hosts and expected[1] in removed_statuses
            ]:
                self.mark_received(host_id, at_us)

    def mark_received(self, host_id: int, at_us: int) -> None:
        """Note that the gateway has received the change of this host; record the time if no other host is missing."""
        expected, _, _ = self.pending_changes.pop(host_id)
        expected.remaining_by_gateway[self.index] -= 1
        if not expected.remaining_by_gateway[self.index]:
            expected.received_us_by_gateway[self.index] = at_us

    def expect_change(self, expected: ExpectedChange, host_id: int, status: ServerStatus, weight: float) -> None:
        """Expect a host's new status and weight; this replaces an earlier expectation for the host."""
        previous = self.pending_changes.get(host_id)
        if previous is not None:
            previous[0].overtaken_count += 1
            self.mark_received(host_id, clock_us())
        self.pending_changes[host_id] = (expected, status, weight)
        expected.host_ids_by_gateway.setdefault(self.index, []).append(host_id)
        expected.remaining_by_gateway[self.index] = expected.remaining_by_gateway.get(self.index, 0) + 1


class SimulatedGatewayWorker:
    """The simulated gateways of this process, and the orders to them."""

    def __init__(self) -> None:
        raise_descriptor_limit()
        gc.disable()  # the heap holds hundreds of gateways, and a collection would stall all of them
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
        """Create gateways from a common configuration; `each` lists index, zone, name, options and discovery's
        address."""
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
        """Start the stopped gateways, spread evenly over `over_s`. Returns their number at once."""
        stopped = [gateway for gateway in self.gateways.values() if gateway.program is None]
        for gateway in stopped:
            self.loop.call_later(self.rng.random() * order["over_s"], gateway.start)
        return {"begin": len(stopped), "at_us": clock_us()}

    async def stop_gateways(self, order: dict[str, Any]) -> dict[str, Any]:
        """Stop this share of the gateways abruptly."""
        chosen = self.rng.sample(list(self.gateways.values()), round(len(self.gateways) * order["share"]))
        for gateway in chosen:
            gateway.stop()
        await asyncio.sleep(0)
        gc.unfreeze()
        gc.collect()
        return {"down": len(chosen)}

    async def finish_step(self, order: dict[str, Any]) -> dict[str, Any]:
        """Collect the garbage of the step that has ended, and exclude all that remains from later collections."""
        self.expected_changes.clear()
        gc.collect()
        gc.freeze()
        return {}

    async def record_holders(self, order: dict[str, Any]) -> dict[str, Any]:
        """Record which gateways hold these hosts now, for `as` of a later change."""
        holders = ExpectedChange({stable_id(name, 4): name for name in order["names"]})
        for gateway in self.gateways.values():
            holders.host_ids_by_gateway[gateway.index] = [
                host_id for host_id in holders.name_by_host_id if host_id in gateway.held_hosts
            ]
        self.expected_changes[order["id"]] = holders
        return {}

    async def expect_change(self, order: dict[str, Any]) -> dict[str, Any]:
        """Hosts (name, status, weight) are about to change. The gateways that hold them, or that held them at the
        recording `as`, must receive the change. `asking`, a list of ports, limits this to gateways whose last call
        was to one of the ports, or with `asks` false to all others."""
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
        """From now on, a gateway that held one of these hosts at the recording `id` must not receive it as serving
        after its end; without an ID nothing is watched. Returns the stale updates of the hosts that were watched
        before."""
        stale_updates = self.stale_update_detector.stale_updates
        self.stale_update_detector.stale_updates, self.stale_update_detector.ended_hosts = [], set()
        recorded = self.expected_changes[order["id"]].host_ids_by_gateway if order["id"] else {}
        watched = {stable_id(name, 4) for name in order["names"]}
        self.stale_update_detector.held_hosts_by_gateway = {
            gateway: frozenset(watched.intersection(host_ids)) for gateway, host_ids in recorded.items()
        }
        return {"undone": stale_updates}

    async def count_callers(self, order: dict[str, Any]) -> dict[str, Any]:
        """The number of running gateways whose last call was to each port."""
        running = [gateway.index for gateway in self.gateways.values() if gateway.program is not None]
        return {"asked": list(Counter(self.loop.last_called_port.get(index, 0) for index in running).items())}

    async def report_changes(self, order: dict[str, Any]) -> dict[str, Any]:
        """For each of these changes, when each gateway received it completely, and how many still miss a part."""
        return {"results": [self.describe_change(self.expected_changes[change_id]) for change_id in order["ids"]]}

    def describe_change(self, change: ExpectedChange) -> dict[str, Any]:
        """The result of one change."""
        missing = [index for index, remaining in change.remaining_by_gateway.items() if remaining]
        return {
            "had_us": list(change.received_us_by_gateway.values()), "missing": len(missing),
            "overtaken": change.overtaken_count,
            "asking": [self.loop.last_called_port.get(index, 0) for index in missing],
            "some": [self.describe_missing(index, change) for index in missing[:3]],
        }  # fmt: skip

    def describe_missing(self, index: int, change: ExpectedChange) -> str:
        """The gateway's name and some of the hosts whose change it has not received."""
        gateway = self.gateways[index]
        hosts = [
            f"{change.name_by_host_id[host_id]} {expected[1].value}"
            for host_id, expected in gateway.pending_changes.items()
            if expected[0] is change
        ]
        return f"{gateway.config.name}: {', '.join(hosts[:3])}"

    async def report_holders(self, order: dict[str, Any]) -> dict[str, Any]:
        """For each running gateway, which of these hosts it holds, as indexes into `names`."""
        index_by_host = {stable_id(name, 4): index for index, name in enumerate(order["names"])}
        running = [gateway for gateway in self.gateways.values() if gateway.program is not None]
        return {
            "held": [
                [index_by_host[host_id] for host_id in gateway.held_hosts if host_id in index_by_host]
                for gateway in running
            ]
        }

    async def report_counts(self, order: dict[str, Any]) -> dict[str, Any]:
        """Counts since the start; the longest stalls since the last call with `begins`, which marks the start of a
        step; and for gateways started since `since_us` the time from start to list, and the longest recorded stall
        that ended since."""
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
