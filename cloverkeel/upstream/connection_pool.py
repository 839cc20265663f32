"""The hosts of the endpoint list and the idle connections to them.

Invariants:
- `open_connections`, of a host and of the pool, counts each connection once, from its attempt to connect to its end;
- a connection that was idle for longer than a host keeps one is never used again;
- a host that drains, has moved or is a new process has no idle connection of before.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from cloverkeel.balancing.settings import Settings

from cloverkeel.core.clock import now_us
from cloverkeel.core.config import Address
from cloverkeel.upstream.connection import HostConnection
from cloverkeel.upstream.host import Host

MAX_IDLE_FRACTION: Final = 0.8  # of the host's idle timeout: no connection is kept unused for longer
SPARE_IDLE_TIMEOUT_US: Final = 5_000_000  # the same for what only a burst has needed
MAX_LONG_IDLE_CONNECTIONS: Final = 1  # of a host, that may stay idle for longer than that
EXPIRY_SCAN_INTERVAL_S: Final = 1.0
REUSE_DELAY_US: Final = 8_000  # after an answer a connection is not used: a second answer came up to 4 ms later


@dataclass(slots=True)
class PoolCounts:
    """Connections since the start: opened, reused, not established, and found closed when they were to be reused."""

    opened: int = 0
    reused: int = 0
    failed: int = 0
    stale: int = 0


class ConnectionPool:
    """Owns the table of hosts and their idle connections. Implements the core's `HostTable` and `Descriptors`."""

    def __init__(self, settings: Settings, reserve_descriptor: Callable[[], bool] = lambda: True) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.reserve_descriptor = reserve_descriptor  # called before a descriptor is taken; False: there is none
        self.hosts: dict[int, Host] = {}
        self.counts = PoolCounts()
        self.open_connections = 0
        self.expiry_timer = self.loop.call_later(EXPIRY_SCAN_INTERVAL_S, self.close_expired)

    # Hosts

    def update_host(self, id_: int, name: str, address: Address, ready: bool, started_us: int = 0) -> None:
        """Learn of a host, of its new address, that its process has restarted, or that it drains."""
        host = self.hosts.get(id_)
        if host is None:
            host = self.hosts[id_] = Host(id_, name, address, started_us)
        if not host.is_same_process(address, started_us):
            # Guards against writing to a connection of its former process: a machine that went silent may not
            # have ended it, and what is written there ends as a reset.
            host.address, host.started_us = address, started_us
            self.close_idle_connections(id_)
        if ready:
            host.draining_since_us = None
        else:
            self.start_drain(host)

    def start_drain(self, host: Host) -> None:
        """Note when a host began to drain, and close its idle connections."""
        if host.draining_since_us is None:
            host.draining_since_us = now_us()
        self.close_idle_connections(host.id_)

    def remove_host(self, id_: int) -> None:
        """Forget a host that is gone; attempts in flight still end as they will."""
        host = self.hosts.pop(id_, None)
        if host is not None:
            self.start_drain(host)

    def retain_hosts(self, named: set[int]) -> list[int]:
        """Forget every host that a complete list does not name; returns those."""
        gone = [id_ for id_ in self.hosts if id_ not in named]
        for id_ in gone:
            self.remove_host(id_)
        return gone

    def has_host(self, server: int) -> bool:
        """Tell whether a host is on the list."""
        return server in self.hosts

    def host_name(self, server: int) -> str | None:
        """Return a host's name; None if it is not on the list."""
        host = self.hosts.get(server)
        return host.name if host is not None else None

    def host_count(self) -> int:
        """Return how many hosts are on the list."""
        return len(self.hosts)

    def is_empty(self) -> bool:
        """Tell whether no host is on the list."""
        return not self.hosts

    def has_host_changed(self, id_: int, address: Address, started_us: int) -> bool:
        """Tell whether a host is on the list, and at another address or as another process."""
        host = self.hosts.get(id_)
        return host is not None and not host.is_same_process(address, started_us)

    # Connections

    def opened_count(self) -> int:
        """Return how many connections were opened since the start."""
        return self.counts.opened

    def acquire_idle(self, host: Host) -> HostConnection | None:
        """Take the idle connection used last of those that have rested: the oldest age and are closed.

        Guards against taking what a host sends again, some milliseconds after its answer, for the next one's answer:
        nothing in the protocol tells them apart once the next request is out.
        """
        at_us = now_us()
        oldest_us = self._idle_since_limit_us(at_us)
        idle = host.idle_connections
        place = len(idle) - 1
        while place >= 0 and at_us - idle[place].idle_since_us < REUSE_DELAY_US:
            place -= 1
        while place >= 0:
            connection = idle.pop(place)
            if connection.idle_since_us >= oldest_us and connection.is_reusable():
                return connection
            place -= 1
            self.counts.stale += 1
            connection.close()
        return None

    def release(self, connection: HostConnection) -> None:
        """Keep a connection whose attempt has ended, unless its host drains or has moved."""
        host = connection.host
        if host.draining_since_us is not None or connection.address != host.address:
            connection.close()
            return
        connection.idle_since_us = now_us()
        host.idle_connections.append(connection)

    def count_opened(self, connection: HostConnection) -> None:
        """Count a connection that is being established."""
        connection.is_counted = True
        connection.host.open_connections += 1
        self.open_connections += 1
        self.counts.opened += 1

    def discard(self, connection: HostConnection) -> None:
        """Forget a connection that has ended, or was never established."""
        if connection.is_counted:
            connection.is_counted = False
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
        """Close what has been idle for too long, well before the host does it."""
        self.expiry_timer = self.loop.call_later(EXPIRY_SCAN_INTERVAL_S, self.close_expired)
        at_us = now_us()
        oldest_us = self._idle_since_limit_us(at_us)
        spare_oldest_us = at_us - SPARE_IDLE_TIMEOUT_US
        for host in self.hosts.values():
            idle = host.idle_connections
            while idle:
                limit_us = spare_oldest_us if len(idle) > MAX_LONG_IDLE_CONNECTIONS else oldest_us
                if idle[0].idle_since_us >= limit_us:
                    break
                idle.pop(0).close()

    def close_oldest_idle(self) -> bool:
        """Close the connection that was idle for the longest time, to gain a descriptor."""
        hosts = [host for host in self.hosts.values() if host.idle_connections]
        if not hosts:
            return False
        longest_idle = min(hosts, key=lambda host: host.idle_connections[0].idle_since_us)
        longest_idle.idle_connections.pop(0).close()
        return True

    def close(self) -> None:
        """Close every idle connection, for good."""
        self.expiry_timer.cancel()
        for host in self.hosts.values():
            self.close_idle_connections(host.id_)

    def _idle_since_limit_us(self, at_us: int) -> int:
        """Return since when a connection may have been idle, to be used at this time."""
        return at_us - int(self.settings.keepalive_us * MAX_IDLE_FRACTION)
