"""The stand-in of discovery as a process of its own: a fleet of the plan's shape, listed to thousands of callers.

Orders: `start`, `change`, `down`, `cut`, `stats`. Each group of callers has a listener of its own, so that what goes
to it is counted and cut apart from the others; all share the encoded answers.
"""

from __future__ import annotations

import asyncio
import gc
from typing import Any, Final

from benchmarks.capacity.plan import fleet
from benchmarks.capacity.run_parts import Order, Stops, clock_us, cpu_us, raise_descriptors, serve
from benchmarks.capacity.run_sizes import host_ports
from standins.ledger import Ledger
from standins.parties.network import Address
from standins.parties.registry import Bodies, Entry, Registry, View

HISTORY: Final = 32_768  # changes kept for watches: two zones' worth at the plan's size


class Nothing(Ledger):
    """No account is kept: the run judges by what gateways got."""

    def add(self, entry: object) -> None:
        pass


class Discovery:
    def __init__(self) -> None:
        raise_descriptors()
        self.registry = Registry(Nothing(), history=HISTORY)
        self.all: dict[str, Entry] = {}  # also those that are not listed now
        self.addresses: dict[str, Address] = {}
        self.views: dict[str, View] = {}
        self.uncut: dict[str, asyncio.Event] = {}
        self.stops = Stops()

    def orders(self) -> dict[str, Order]:
        return {
            "start": self.start, "change": self.change, "down": self.down, "cut": self.cut, "stats": self.stats,
        }  # fmt: skip

    async def start(self, order: dict[str, Any]) -> dict[str, Any]:
        """List this fleet, on a listener for each group; returns their addresses."""
        made = fleet(order["gateways"], order["hosts"])
        for host, port in zip(made.hosts, host_ports(made, order["ports"]), strict=True):
            self.addresses[host.name] = ("127.0.0.1", port)
            entry = Entry(host.name, host.zone, "m", 0, 0, service=host.service)
            self.all[host.name] = entry
            self.registry.put(entry)
        bodies = Bodies(self.registry, self.addresses.get)
        bodies.body(None)
        for group in order["groups"]:
            self.uncut[group] = asyncio.Event()
            self.uncut[group].set()
            self.views[group] = await self.registry.open(group, self.addresses.get, self.gate(group), bodies)
        gc.collect()
        gc.freeze()  # the fleet is no garbage
        return {"addresses": {group: view.address for group, view in self.views.items()}}

    def gate(self, group: str) -> Any:
        async def may_pass() -> None:
            await self.uncut[group].wait()

        return may_pass

    async def change(self, order: dict[str, Any]) -> dict[str, Any]:
        """Change hosts, all at once: name, status, weight, start (ms). Returns just before when."""
        changes = []
        for name, status, weight, since_ms in order["hosts"]:
            entry = self.all[name]
            entry.weight, entry.since_ms = weight, since_ms
            changes.append((entry, status))
        at_us = clock_us()
        self.registry.change(changes)
        return {"at_us": at_us, "index": self.registry.index, "listed": len(self.registry.entries)}

    async def down(self, order: dict[str, Any]) -> dict[str, Any]:
        """"503", "reset" or "silent"; "": up again."""
        await self.registry.set_down(order["how"])
        return {"at_us": clock_us()}

    async def cut(self, order: dict[str, Any]) -> dict[str, Any]:
        """What is said to this group is held back, or no longer."""
        for group in order["groups"]:
            if order["on"]:
                self.uncut[group].clear()
            else:
                self.uncut[group].set()
        return {"at_us": clock_us()}

    async def stats(self, order: dict[str, Any]) -> dict[str, Any]:
        """Counts since the start, by group; the longest stop since the last call."""
        counts = {
            group: {
                "calls": view.counts.calls, "wholes": view.counts.wholes, "came": view.counts.came,
                "sent": view.counts.sent, "open": len(view.calls),
            }
            for group, view in self.views.items()
        }  # fmt: skip
        return {"at_us": clock_us(), "cpu_us": cpu_us(), "stop_us": self.stops.take(), "groups": counts}


if __name__ == "__main__":
    serve(lambda: Discovery().orders())
