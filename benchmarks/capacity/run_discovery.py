"""The emulated discovery service as a process of its own: lists a fleet of the plan's shape to thousands of callers.

Orders: `start`, `change`, `down`, `cut`, `part`, `join`, `stats`. Each group of callers has a listener of its own, so
that its traffic is counted and interrupted separately. The groups of one registry half share the encoded responses.
With relays there is a registry half in each region (standins/parties/partitioned_registry.py): the region's relays
call that half, all other callers the first.
"""

from __future__ import annotations

import asyncio
import gc
from typing import Any, Final

from benchmarks.capacity.plan import build_fleet
from benchmarks.capacity.run_processes import (
    OrderHandler,
    StallMeter,
    clock_us,
    own_cpu_us,
    raise_descriptor_limit,
    serve_orders,
)
from benchmarks.capacity.run_sizes import host_ports
from standins.event_log import EventLog
from standins.parties.partitioned_registry import HostChange, PartitionedRegistry
from standins.parties.network import Address
from standins.parties.registry import ResponseCache, Entry, Registry, RegistryListener

MAX_CHANGE_HISTORY: Final = 32_768  # changes kept for watches: those of two zones at the plan's size


class NullEventLog(EventLog):
    """An event log that keeps nothing: the run is evaluated by what gateways receive."""

    def add(self, entry: object) -> None:
        pass


class DiscoveryProcess:
    """Executes the orders to the discovery service."""

    def __init__(self) -> None:
        raise_descriptor_limit()
        self.partitioned_registry = PartitionedRegistry({})
        self.addresses: dict[str, Address] = {}
        self.listener_by_group: dict[str, RegistryListener] = {}
        self.delivery_allowed: dict[str, asyncio.Event] = {}
        self.stall_meter = StallMeter()

    def handlers(self) -> dict[str, OrderHandler]:
        return {
            "start": self.start, "change": self.change_hosts, "down": self.set_outage,
            "cut": self.hold_responses, "part": self.partition, "join": self.heal_partition,
            "stats": self.report_counts,
        }  # fmt: skip

    async def start(self, order: dict[str, Any]) -> dict[str, Any]:
        """Start a listener for each group, which lists this fleet from a registry half; return the listeners'
        addresses."""
        simulated_fleet = build_fleet(order["gateways"], order["hosts"])
        self.partitioned_registry = PartitionedRegistry(
            {name: Registry(NullEventLog(), history=MAX_CHANGE_HISTORY) for name in order["halves"]}
        )
        for host, port in zip(simulated_fleet.hosts, host_ports(simulated_fleet, order["ports"]), strict=True):
            self.addresses[host.name] = ("127.0.0.1", port)
            self.partitioned_registry.add_entry(Entry(host.name, host.zone, "m", 0, 0, service=host.service))
        cache_by_half = {
            name: ResponseCache(half.registry, self.addresses.get)
            for name, half in self.partitioned_registry.halves.items()
        }
        for cache in cache_by_half.values():
            cache.get_body(None)
        for group in order["groups"]:
            self.delivery_allowed[group] = asyncio.Event()
            self.delivery_allowed[group].set()
            half_name = group if group in cache_by_half else order["halves"][0]
            registry = self.partitioned_registry.halves[half_name].registry
            self.listener_by_group[group] = await registry.open_listener(
                group, self.addresses.get, self.delivery_gate(group), cache_by_half[half_name]
            )
        gc.collect()
        gc.freeze()  # the fleet lives as long as the process, so collections skip it
        return {"addresses": {group: listener.address for group, listener in self.listener_by_group.items()}}

    def delivery_gate(self, group: str) -> Any:
        """A function that waits while responses to this group are held back."""

        async def wait_for_delivery() -> None:
            await self.delivery_allowed[group].wait()

        return wait_for_delivery

    async def change_hosts(self, order: dict[str, Any]) -> dict[str, Any]:
        """Change hosts (name, status, weight, start time in ms), all at once, at one `half` during a partition.
        Returns the time just before the change."""
        at_us = clock_us()
        self.partitioned_registry.apply_changes([HostChange(*each) for each in order["hosts"]], order.get("half", ""))
        return {"at_us": at_us}

    async def set_outage(self, order: dict[str, Any]) -> dict[str, Any]:
        """Let calls fail in the mode "503", "reset" or "silent"; "" ends the outage."""
        for half in self.partitioned_registry.halves.values():
            await half.registry.set_outage_mode(order["how"])
        return {"at_us": clock_us()}

    async def partition(self, order: dict[str, Any]) -> dict[str, Any]:
        """Stop the exchange between the registry halves."""
        self.partitioned_registry.partition()
        return {"at_us": clock_us()}

    async def heal_partition(self, order: dict[str, Any]) -> dict[str, Any]:
        """Resume the exchange: each half takes over the other's changes. Returns the time just before."""
        at_us = clock_us()
        self.partitioned_registry.merge()
        return {"at_us": at_us}

    async def hold_responses(self, order: dict[str, Any]) -> dict[str, Any]:
        """Hold back the responses to these groups, or send them again."""
        for group in order["groups"]:
            if order["on"]:
                self.delivery_allowed[group].clear()
            else:
                self.delivery_allowed[group].set()
        return {"at_us": clock_us()}

    async def report_counts(self, order: dict[str, Any]) -> dict[str, Any]:
        """Counts since the start, by group, and the longest stall since the last call."""
        counts = {
            group: {
                "calls": listener.counts.requests, "wholes": listener.counts.full_lists,
                "came": listener.counts.received_bytes, "sent": listener.counts.sent_bytes,
                "open": len(listener.connection_tasks),
            }
            for group, listener in self.listener_by_group.items()
        }  # fmt: skip
        return {
            "at_us": clock_us(),
            "cpu_us": own_cpu_us(),
            "stop_us": self.stall_meter.take_longest_us(),
            "groups": counts,
        }


if __name__ == "__main__":
    serve_orders(lambda: DiscoveryProcess().handlers())
