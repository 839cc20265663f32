"""Endpoint lists on their way to the host table and to the balancer.

A long list is applied in batches, one in a turn of the loop; what restricts is applied at once (list_batches.py).
Invariant: the host table hears of each entry in the moment in which the balancer's event of it is made.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cloverkeel.balancing.events import Event, ListKind, ListedServer, ServerList, ServerStatus

from cloverkeel.core.event_queue import EventProcessor
from cloverkeel.core.list_batches import ListBatches
from cloverkeel.core.log import log
from cloverkeel.core.ports import Endpoint, HostTable


class EndpointUpdates:
    """Applies endpoint lists; each call returns the balancer's event of what was applied."""

    def __init__(self, loop: asyncio.AbstractEventLoop, hosts: HostTable, processor: EventProcessor) -> None:
        self.loop = loop
        self.hosts = hosts
        self.processor = processor
        self.batches = ListBatches()
        self.on_applied: Callable[[int], None] | None = None  # at a list's end: entries applied since the last call
        self.applied_entries = 0  # since that was called
        self.received_entries = 0  # since the last metrics line
        self.is_closed = False
        self.is_turn_due = False  # this turn's batch is yet to be applied
        self.next_turn: asyncio.Handle | None = None

    def apply_list(self, kind: ListKind, entries: list[Endpoint]) -> Event:
        """Apply a list, or of a long one what must not wait."""
        gone: list[int] = []
        if kind is not ListKind.ERROR and kind is not ListKind.DELTA:
            gone = self.hosts.retain_hosts({entry.listed.server for entry in entries})
            self.batches.clear()
        self.received_entries += len(entries) if kind is not ListKind.DISK else 0
        usable = [entry for entry in entries if not self._has_taken_number(entry)]
        if kind is ListKind.DISK:  # the first of all: nothing can be sent yet
            immediate = self.batches.take_all(usable)
        else:
            immediate = self.batches.split(usable, self.hosts.host_count(), self._has_changed)
        if len(immediate) == len(usable):
            return self._apply(kind, immediate)
        if self.next_turn is None:
            # Set while anything waits: after a stall it comes before whatever the stall has begun.
            self.next_turn = self.loop.call_soon(self.on_turn)
        if kind is not ListKind.DELTA and len(usable) < len(entries):
            gone += {entry.listed.server for entry in entries} - {entry.listed.server for entry in usable}
        removed = tuple(ListedServer(number, ServerStatus.GONE) for number in gone)
        return self._apply(ListKind.DELTA, immediate, removed)

    def is_batch_due(self, may_send: bool) -> bool:
        """Tell whether a batch is to be applied now: one a turn, and all of them during a hold."""
        return bool(self.batches.pending) and (self.is_turn_due or not may_send)

    def apply_next_batch(self) -> Event:
        """Apply the next batch of what waits."""
        self.is_turn_due = False
        return self._apply(ListKind.DELTA, self.batches.next_batch())

    def on_turn(self) -> None:
        """Have the next batch applied: requests have been served since the last one."""
        self.is_turn_due = bool(self.batches.pending)
        self.processor.process_events()
        has_more = bool(self.batches.pending) and not self.is_closed
        self.next_turn = self.loop.call_soon(self.on_turn) if has_more else None

    def close(self) -> None:
        """Apply nothing more."""
        self.is_closed = True
        if self.next_turn is not None:
            self.next_turn.cancel()

    def _apply(self, kind: ListKind, entries: list[Endpoint], removed: tuple[ListedServer, ...] = ()) -> Event:
        """Bring the host table up to date, and return the event that does so for the balancer."""
        self.applied_entries += len(entries)
        if self.on_applied is not None and not self.batches.pending:
            self.on_applied(self.applied_entries)
            self.applied_entries = 0
        for entry in entries:
            listed = entry.listed
            if listed.status is ServerStatus.GONE:
                self.hosts.remove_host(listed.server)
            else:
                is_ready = listed.status is ServerStatus.READY
                self.hosts.update_host(listed.server, entry.name, entry.address, is_ready, listed.started_us)
        return ServerList(kind, removed + tuple(entry.listed for entry in entries))

    def _has_changed(self, entry: Endpoint) -> bool:
        """Tell whether a host is known as another process or at another address."""
        return self.hosts.has_host_changed(entry.listed.server, entry.address, entry.listed.started_us)

    def _has_taken_number(self, entry: Endpoint) -> bool:
        """Tell whether the number of this entry is that of another host: numbers are hashes of names."""
        name = self.hosts.host_name(entry.listed.server) or self.batches.name_of(entry.listed.server)
        if name is None or name == entry.name:
            return False
        log(f"endpoints: host skipped, name={entry.name} number_taken_by={name}")
        return True
