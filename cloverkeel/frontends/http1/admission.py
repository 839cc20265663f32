"""Division of descriptors between clients and hosts, and the choice of clients to close when descriptors run short.

Invariants:
- `RESERVED_DESCRIPTORS` are left for other uses, and a fraction of the rest for hosts; clients never take these;
- a connection is not closed to free a descriptor while it has a complete request to answer, and not closed as idle
  while it has bytes to read.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from cloverkeel.core.memory_account import MemoryAccount
from cloverkeel.core.ports import Descriptors
from cloverkeel.frontends.http1.timeouts import READ_IDLE_TIMEOUT_S, ConnectionTimeouts

if TYPE_CHECKING:
    from cloverkeel.frontends.http1.connection import ClientConnection

RESERVED_DESCRIPTORS: Final = 32  # for uses other than client and host connections: discovery, the loop, files
HOSTS_FRACTION: Final = 0.35  # part of the other descriptors that clients leave to hosts
CROWDED_DIVISOR: Final = 3  # above max_clients / 3 clients, idle ones are closed sooner
EVICT_FIRST_IDLE_S: Final = 0.3  # clients idle for this long are closed first when descriptors run short


def max_responses(max_descriptors: int) -> int:
    """Return how many responses of hosts may arrive at a time: each needs two connections."""
    return (max_descriptors - RESERVED_DESCRIPTORS) // 2


class Admission:
    """Decides whether a connection may be accepted or opened, and closes others to free descriptors."""

    def __init__(
        self,
        max_descriptors: int,
        connections: set[ClientConnection],
        timeouts: ConnectionTimeouts,
        hosts: Descriptors,
        account: MemoryAccount,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.total_descriptors = max_descriptors  # shared by all processes of this gateway
        self.connections = connections
        self.accepting: set[asyncio.Task[object]] = set()  # connections that are accepted and not yet set up
        self.timeouts = timeouts
        self.hosts = hosts
        self.account = account
        self.metrics = timeouts.metrics
        self.max_descriptors = 0
        self.max_clients = 0
        self.set_process_count(1)

    def set_process_count(self, processes: int) -> None:
        """Divide the descriptors among the `processes` of this gateway."""
        self.max_descriptors = self.total_descriptors // processes
        self.max_clients = int((self.max_descriptors - RESERVED_DESCRIPTORS) * (1 - HOSTS_FRACTION))

    @property
    def client_count(self) -> int:
        """Number of client connections, including those not yet set up."""
        return len(self.connections) + len(self.accepting)

    def is_crowded(self) -> bool:
        """Return whether so many clients are connected that idle ones are closed sooner."""
        return self.client_count > self.max_clients / CROWDED_DIVISOR

    def has_room(self) -> bool:
        """Return whether a client connection may be accepted."""
        return self.client_count < self.max_clients and not self.is_full() and not self.account.is_critical

    def is_full(self) -> bool:
        """Return whether only the reserved descriptors are left."""
        return self.client_count + self.hosts.open_connections + RESERVED_DESCRIPTORS >= self.max_descriptors

    def reserve_descriptor(self) -> bool:
        """Ensure a free descriptor for a connection to a host; return False if there is none.

        Closes an idle client first. Guards against silent clients that displace idle connections to hosts, which
        would cost a handshake for each request, and against using up the reserve, which discovery needs.
        """
        return not self.is_full() or self.close_one_client() or self.hosts.close_oldest_idle()

    def close_one_client(self) -> bool:
        """Close one client, the first of these that there is.

        One whose client has left, one that has its last response, one idle for a while, one whose request has
        stalled, any idle one.
        """
        return (
            self._abort_abandoned_client()
            or self._abort_answered_client()
            or self._close_idle_client(EVICT_FIRST_IDLE_S)
            or self._abort_slow_client()
            or self._close_idle_client(0.0)
        )

    def _abort_abandoned_client(self) -> bool:
        """Abort a connection whose client has left while nothing is read of it: the loop does not see the end."""
        for connection in self.connections:
            if connection.has_left_unread():
                self.metrics.record_unserved("left")
                connection.abort()
                return True
        return False

    def _abort_answered_client(self) -> bool:
        """Abort a connection that only waits for its client to read an error response which has arrived."""
        for connection in self.timeouts.lingering:
            if connection.output.is_all_delivered():
                connection.abort()
                return True
        return False

    def _abort_slow_client(self) -> bool:
        """Abort the connection whose stalled request began first."""
        now_s = self.loop.time()
        for connection in self.timeouts.reading:
            if now_s - connection.last_read_s >= READ_IDLE_TIMEOUT_S:
                self.metrics.record_unserved("crowded")
                connection.abort()
                return True
        return False

    def _close_idle_client(self, min_age_s: float) -> bool:
        """Close an idle connection: the oldest without any request, else the one in keep-alive for longest."""
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
