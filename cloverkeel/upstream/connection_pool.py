"""The hosts of the endpoint list and the idle connections to them.

Invariants:
- `open_connections` of a host and of the pool counts each connection once, from its connection attempt to its end;
- a connection that was idle for longer than the host's idle timeout is never reused;
- a host has no idle connections from before it began to drain, moved or restarted;
- nothing is written to the process that has taken the address of a host that drains, was removed or restarted.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from cloverkeel.balancing.settings import Settings

from cloverkeel.core.clock import now_us
from cloverkeel.core.config import Address
from cloverkeel.core.memory_account import HOST_CONNECTION_BYTES
from cloverkeel.upstream.connection import HostConnection
from cloverkeel.upstream.host import Host

MAX_IDLE_FRACTION: Final = 0.8  # of the host's idle timeout; no connection is kept idle for longer
SPARE_IDLE_TIMEOUT_US: Final = 5_000_000  # for connections beyond MAX_LONG_IDLE_CONNECTIONS, which only a burst needs
MAX_LONG_IDLE_CONNECTIONS: Final = 1  # per host, that may stay idle beyond SPARE_IDLE_TIMEOUT_US
EXPIRY_SCAN_INTERVAL_S: Final = 1.0
REUSE_DELAY_US: Final = 8_000  # after a response: duplicate responses arrived up to 4 ms later


@dataclass(slots=True)
class PoolCounts:
    """Connections since the start: opened, reused, not established, and found closed on reuse."""

    opened: int = 0
    reused: int = 0
    failed: int = 0
    stale: int = 0


class ConnectionPool:
    """Host table with the idle connections of each host. Implements the core's `HostTable` and `Descriptors`."""

    def __init__(self, settings: Settings, reserve_descriptor: Callable[[], bool] = lambda: True) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.reserve_descriptor = reserve_descriptor  # called before a descriptor is used; False if none is free
        self.hosts: dict[int, Host] = {}
        self.owner_by_address: dict[Address, int] = {}  # the host that was last listed there as ready
        self.counts = PoolCounts()
        self.open_connections = 0
        self.expiry_timer = self.loop.call_later(EXPIRY_SCAN_INTERVAL_S, self.close_expired)

    # Hosts

    def update_host(self, id_: int, name: str, address: Address, ready: bool, started_us: int = 0) -> None:
        """Add a host, or update its address, the start time of its process and whether it drains."""
        host = self.hosts.get(id_)
        if host is None:
            host = self.hosts[id_] = Host(id_, name, address, started_us)
        if not host.is_same_process(address, started_us):
            # Guards against writing to a connection of the former process: an unreachable machine may not have
            # closed it, and a request written to it ends as a reset.
            self.release_address(host)
            host.address, host.started_us = address, started_us
            self.close_idle_connections(id_)
        if ready:
            host.draining_since_us = None
            self.owner_by_address[address] = id_
        else:
            self.start_drain(host)

    def start_drain(self, host: Host) -> None:
        """Record when a host began to drain, and close its idle connections."""
        if host.draining_since_us is None:
            host.draining_since_us = now_us()
        self.close_idle_connections(host.id_)

    def remove_host(self, id_: int) -> None:
        """Remove a host; attempts in flight continue to their outcome."""
        host = self.hosts.pop(id_, None)
        if host is not None:
            self.release_address(host)
            self.start_drain(host)

    def release_address(self, host: Host) -> None:
        """Forget that a host is listed at its address."""
        if self.owner_by_address.get(host.address) == host.id_:
            del self.owner_by_address[host.address]

    def is_replaced(self, host: Host, connection: HostConnection | None) -> bool:
        """Return whether another process is where a request to a host would be written now.

        That is a restarted process of the host itself, for a connection that was opened to the process before, or
        another host that is listed at the address of one that drains or was removed.
        """
        if connection is not None and not host.is_same_process(connection.address, connection.started_us):
            return True
        if host.draining_since_us is None:
            return False
        address = host.address if connection is None else connection.address
        return self.owner_by_address.get(address, host.id_) != host.id_

    def retain_hosts(self, named: set[int]) -> list[int]:
        """Remove every host that a complete list does not name; return the ids of the removed hosts."""
        removed = [id_ for id_ in self.hosts if id_ not in named]
        for id_ in removed:
            self.remove_host(id_)
        return removed

    def has_host(self, server: int) -> bool:
        """Return whether a host is on the list."""
        return server in self.hosts

    def host_name(self, server: int) -> str | None:
        """Return a host's name; None if it is not on the list."""
        host = self.hosts.get(server)
        return host.name if host is not None else None

    def host_count(self) -> int:
        """Return the number of hosts on the list."""
        return len(self.hosts)

    def is_empty(self) -> bool:
        """Return whether no host is on the list."""
        return not self.hosts

    def has_host_changed(self, id_: int, address: Address, started_us: int) -> bool:
        """Return whether a host is on the list with another address or process start time."""
        host = self.hosts.get(id_)
        return host is not None and not host.is_same_process(address, started_us)

    # Connections

    def opened_count(self) -> int:
        """Return the number of connections opened since the start."""
        return self.counts.opened

    def acquire_idle(self, host: Host) -> HostConnection | None:
        """Take the most recently used connection idle for at least REUSE_DELAY_US, so that older ones expire.

        The delay guards against taking a duplicate response, sent some milliseconds after the first, for the response
        to the next request: once that is sent, HTTP/1.1 cannot tell them apart.
        """
        at_us = now_us()
        min_idle_since_us = self._min_idle_since_us(at_us)
        idle = host.idle_connections
        position = len(idle) - 1
        while position >= 0 and at_us - idle[position].idle_since_us < REUSE_DELAY_US:
            position -= 1
        while position >= 0:
            connection = idle.pop(position)
            if connection.idle_since_us >= min_idle_since_us and connection.is_reusable():
                return connection
            position -= 1
            self.counts.stale += 1
            connection.close()
        return None

    def release(self, connection: HostConnection) -> None:
        """Return a connection to the pool after its attempt, or close it if its host drains, moved or restarted."""
        host = connection.host
        if host.draining_since_us is not None or self.is_replaced(host, connection):
            connection.close()
            return
        connection.idle_since_us = now_us()
        host.idle_connections.append(connection)

    def count_opened(self, connection: HostConnection) -> None:
        """Count a connection that is being established."""
        connection.is_counted = True
        connection.charge.update(HOST_CONNECTION_BYTES)
        connection.host.open_connections += 1
        self.open_connections += 1
        self.counts.opened += 1

    def discard(self, connection: HostConnection) -> None:
        """Remove a connection that has ended or was never established from the pool and its counts."""
        if connection.is_counted:
            connection.is_counted = False
            connection.charge.update(0)
            connection.host.open_connections -= 1
            self.open_connections -= 1
        if connection in connection.host.idle_connections:
            connection.host.idle_connections.remove(connection)

    def close_idle_connections(self, id_: int) -> None:
        """Close the idle connections to a host."""
        host = self.hosts.get(id_)
        while host is not None and host.idle_connections:
            host.idle_connections.pop().close()

    def close_expired(self) -> None:
        """Close connections that were idle for too long, before the host closes them."""
        self.expiry_timer = self.loop.call_later(EXPIRY_SCAN_INTERVAL_S, self.close_expired)
        at_us = now_us()
        min_idle_since_us = self._min_idle_since_us(at_us)
        spare_min_idle_since_us = at_us - SPARE_IDLE_TIMEOUT_US
        for host in self.hosts.values():
            idle = host.idle_connections
            while idle:
                limit_us = spare_min_idle_since_us if len(idle) > MAX_LONG_IDLE_CONNECTIONS else min_idle_since_us
                if idle[0].idle_since_us >= limit_us:
                    break
                idle.pop(0).close()

    def close_oldest_idle(self) -> bool:
        """Close the longest idle connection to free a descriptor; return False if none is idle."""
        hosts = [host for host in self.hosts.values() if host.idle_connections]
        if not hosts:
            return False
        longest_idle = min(hosts, key=lambda host: host.idle_connections[0].idle_since_us)
        longest_idle.idle_connections.pop(0).close()
        return True

    def close(self) -> None:
        """Stop the expiry scan and close all idle connections."""
        self.expiry_timer.cancel()
        for host in self.hosts.values():
            self.close_idle_connections(host.id_)

    def _min_idle_since_us(self, at_us: int) -> int:
        """Return the earliest `idle_since_us` of a connection that may still be used at `at_us`."""
        return at_us - int(self.settings.keepalive_us * MAX_IDLE_FRACTION)
