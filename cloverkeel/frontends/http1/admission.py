"""How descriptors are divided between clients and hosts, and which client yields where they run short.

Invariants:
- so many descriptors are left to all else (`RESERVED_DESCRIPTORS`), and a part of the rest to hosts; they are never
  lent to clients;
- a connection on which something is asked, or waits to be read, yields to nobody.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from cloverkeel.core.ports import Descriptors
from cloverkeel.frontends.http1.timeouts import MAX_READ_GAP_S, ConnectionTimeouts

if TYPE_CHECKING:
    from cloverkeel.frontends.http1.connection import ClientConnection

RESERVED_DESCRIPTORS: Final = 32  # for all but connections of clients and to hosts: discovery, the loop, files
HOSTS_FRACTION: Final = 0.35  # of the rest that clients leave to hosts
CROWDED_DIVISOR: Final = 3  # where more than that part of the clients that may connect do, idle ones go sooner
MIN_IDLE_TO_YIELD_S: Final = 0.3  # a client that asks nothing for so long goes first where descriptors run short


class Admission:
    """Decides whether a connection may be accepted or opened, and closes others for it."""

    def __init__(
        self,
        max_descriptors: int,
        connections: set[ClientConnection],
        timeouts: ConnectionTimeouts,
        hosts: Descriptors,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.total_descriptors = max_descriptors  # of all processes of this gateway
        self.connections = connections
        self.accepting: set[asyncio.Task[object]] = set()  # connections that are accepted and not yet set up
        self.timeouts = timeouts
        self.hosts = hosts
        self.metrics = timeouts.metrics
        self.max_descriptors = 0
        self.max_clients = 0
        self.set_process_count(1)

    def set_process_count(self, processes: int) -> None:
        """Divide the descriptors among so many processes of this gateway."""
        self.max_descriptors = self.total_descriptors // processes
        self.max_clients = int((self.max_descriptors - RESERVED_DESCRIPTORS) * (1 - HOSTS_FRACTION))

    @property
    def client_count(self) -> int:
        """How many connections clients have."""
        return len(self.connections) + len(self.accepting)

    def is_crowded(self) -> bool:
        """Tell whether so many clients are connected that idle ones are to be closed sooner."""
        return self.client_count > self.max_clients / CROWDED_DIVISOR

    def has_room(self) -> bool:
        """Tell whether a client's connection may be accepted."""
        return self.client_count < self.max_clients and not self.is_full()

    def is_full(self) -> bool:
        """Tell whether no descriptor is left but the reserved ones."""
        return self.client_count + self.hosts.open_connections + RESERVED_DESCRIPTORS >= self.max_descriptors

    def reserve_descriptor(self) -> bool:
        """Make sure of a descriptor for a connection to a host: idle clients yield first. False: there is none.

        Guards against a handshake for each request, as silent clients crowd out idle connections to hosts; and
        against using up the reserve, without which nobody hears of hosts.
        """
        return not self.is_full() or self.close_one_client() or self.hosts.close_oldest_idle()

    def close_one_client(self) -> bool:
        """Close one client: idle for a while, or one whose request stopped coming, or any idle one."""
        return (
            self._close_idle_client(MIN_IDLE_TO_YIELD_S) or self._abort_slow_client() or self._close_idle_client(0.0)
        )

    def _abort_slow_client(self) -> bool:
        """Abort the connection whose request has begun and stopped coming, the longest ago."""
        now_s = self.loop.time()
        for connection in self.timeouts.reading:
            if now_s - connection.last_read_s >= MAX_READ_GAP_S:
                self.metrics.record_unserved("crowded")
                connection.abort()
                return True
        return False

    def _close_idle_client(self, min_age_s: float) -> bool:
        """Close a connection on which nothing is asked: the oldest that never spoke, or that was kept alive."""
        now_s = self.loop.time()
        for phase in (self.timeouts.accepted, self.timeouts.keep_alive):
            for connection, since_s in phase.items():
                if now_s - since_s < min_age_s:
                    break
                if connection.is_idle():
                    self.metrics.record_unserved("crowded")
                    connection.close()
                    return True
        return False
