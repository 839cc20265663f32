"""Applies endpoint lists to the host table and to the balancer.

A long list is applied in batches, one in each iteration of the event loop; entries that restrict the use of a host
are applied immediately (list_batches.py). Invariant: the host table is updated with an entry at the moment when the
balancer's event for it is created.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cloverkeel.balancing.events import Event, ListKind, ListedServer, ServerList, ServerStatus

from cloverkeel.core.event_queue import EventProcessor
from cloverkeel.core.list_batches import ListBatches
from cloverkeel.core.log import log
from cloverkeel.core.memory_account import HOST_ENTRY_BYTES, ChargeOwner, MemoryAccount, MemoryCharge
from cloverkeel.core.ports import Endpoint, HostTable


class EndpointUpdates:
    """Applies endpoint lists; each call returns the event that informs the balancer of the applied entries."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, hosts: HostTable, processor: EventProcessor, account: MemoryAccount
    ) -> None:
        self.loop = loop
        self.hosts = hosts
        self.processor = processor
        self.charge = MemoryCharge(account, ChargeOwner.DISCOVERY)  # of the hosts on the list
        self.batches = ListBatches()
        self.on_applied: Callable[[int], None] | None = None  # called with `applied_entries` once no batch is pending
        self.applied_entries = 0  # since the last call of `on_applied`
        self.received_entries = 0  # since the last metrics line, without DISK lists
        self.is_closed = False
        self.is_iteration_due = False  # the batch of this loop iteration is not applied yet
        self.iteration_handle: asyncio.Handle | None = None

    def apply_list(self, kind: ListKind, entries: list[Endpoint]) -> Event:
        """Apply a list, or only the entries of a long one that must not wait."""
        removed_servers: list[int] = []
        if kind is not ListKind.ERROR and kind is not ListKind.DELTA:
            removed_servers = self.hosts.retain_hosts({entry.listed.server for entry in entries})
            self.batches.clear()
        self.received_entries += len(entries) if kind is not ListKind.DISK else 0
        usable = [entry for entry in entries if not self._is_number_taken(entry)]
        if kind is ListKind.DISK:  # the first list after startup: no host is known, so no request is delayed
            immediate = self.batches.take_all(usable)
        else:
            immediate = self.batches.split(usable, self.hosts.host_count(), self._has_changed)
        if len(immediate) == len(usable):
            return self._apply(kind, immediate)
        if self.iteration_handle is None:
            # Scheduled while entries are pending: a batch precedes all callbacks that become ready during a stall.
            self.iteration_handle = self.loop.call_soon(self.on_loop_iteration)
        if kind is not ListKind.DELTA and len(usable) < len(entries):
            removed_servers += {entry.listed.server for entry in entries} - {entry.listed.server for entry in usable}
        removed = tuple(ListedServer(number, ServerStatus.GONE) for number in removed_servers)
        return self._apply(ListKind.DELTA, immediate, removed)

    def is_batch_due(self, may_send: bool) -> bool:
        """Return whether to apply a batch now: one in each loop iteration, all of them during a hold."""
        return bool(self.batches.pending) and (self.is_iteration_due or not may_send)

    def apply_next_batch(self) -> Event:
        """Apply the next pending batch."""
        self.is_iteration_due = False
        return self._apply(ListKind.DELTA, self.batches.next_batch())

    def on_loop_iteration(self) -> None:
        """Apply the next batch, after the loop could serve requests since the previous one."""
        self.is_iteration_due = bool(self.batches.pending)
        self.processor.process_events()
        has_more = bool(self.batches.pending) and not self.is_closed
        self.iteration_handle = self.loop.call_soon(self.on_loop_iteration) if has_more else None

    def close(self) -> None:
        """Stop applying batches."""
        self.is_closed = True
        if self.iteration_handle is not None:
            self.iteration_handle.cancel()

    def _apply(self, kind: ListKind, entries: list[Endpoint], removed: tuple[ListedServer, ...] = ()) -> Event:
        """Update the host table, and return the event with the same changes for the balancer."""
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
        self.charge.update(HOST_ENTRY_BYTES * self.hosts.host_count())
        return ServerList(kind, removed + tuple(entry.listed for entry in entries))

    def _has_changed(self, entry: Endpoint) -> bool:
        """Return whether the host is known with another address or process start time."""
        return self.hosts.has_host_changed(entry.listed.server, entry.address, entry.listed.started_us)

    def _is_number_taken(self, entry: Endpoint) -> bool:
        """Return whether another host has the same number; numbers are hashes of names, so they may collide."""
        name = self.hosts.host_name(entry.listed.server) or self.batches.name_of(entry.listed.server)
        if name is None or name == entry.name:
            return False
        log(f"endpoints: host skipped, name={entry.name} number_taken_by={name}")
        return True
