"""The HTTP/1.1 frontend: its components, start, expiry scan, drain and shutdown."""

from __future__ import annotations

import asyncio
from typing import Final

from cloverkeel.core.config import Config
from cloverkeel.core.draining import DrainSchedule, shutdown_schedule
from cloverkeel.core.gateway import Gateway
from cloverkeel.core.process_memory import resident_bytes
from cloverkeel.core.ports import Descriptors
from cloverkeel.frontends.http1.admission import Admission
from cloverkeel.frontends.http1.connection import ClientConnection
from cloverkeel.frontends.http1.context import ConnectionContext
from cloverkeel.frontends.http1.drain import DRAIN_POLL_INTERVAL_S, ClientDrain, DrainState
from cloverkeel.frontends.http1.listener import Listener
from cloverkeel.frontends.http1.timeouts import ConnectionTimeouts

EXPIRY_SCAN_INTERVAL_S: Final = 0.2
BYTES_PER_KIB: Final = 1024


class Server:
    """Serves clients over HTTP/1.1."""

    def __init__(self, config: Config, gateway: Gateway, hosts: Descriptors) -> None:
        self.config = config
        self.gateway = gateway
        self.account = gateway.account
        self.loop = asyncio.get_running_loop()
        self.max_client_timeout_s = max(settings.client_timeout_us for settings in config.settings.classes) / 1e6
        self.connections: set[ClientConnection] = set()
        self.timeouts = ConnectionTimeouts(gateway.metrics)
        self.drain_state = DrainState(self.loop)
        self.context = ConnectionContext(config, gateway, self.connections, self.timeouts, self.drain_state)
        self.admission = Admission(config.sockets, self.connections, self.timeouts, hosts, gateway.account)
        self.listener = Listener(self.loop, self.admission, gateway.metrics, self.make_connection)
        self.client_drain = ClientDrain(self.drain_state, gateway, self.listener, self.connections, self.timeouts)
        self.expiry_timer: asyncio.TimerHandle | None = None
        hosts.reserve_descriptor = self.admission.reserve_descriptor
        gateway.measure_resources = self.measure_resources

    async def start(self) -> None:
        """Listen; clients are accepted only after the gateway has started with a list of hosts."""
        # With an admin address, a successor may bind the port while this process serves; without one, a second start
        # must fail.
        self.listener.open(self.config.listen, reuse_port=self.config.admin_listen is not None)
        self.gateway.start()
        self.listener.start()
        self.expiry_timer = self.loop.call_later(EXPIRY_SCAN_INTERVAL_S, self.scan_expired)

    def make_connection(self) -> ClientConnection:
        """Return the protocol for an accepted connection."""
        return ClientConnection(self.context)

    @property
    def is_listening(self) -> bool:
        """Whether the listening socket is open."""
        return self.listener.socket is not None

    @property
    def is_ready(self) -> bool:
        """Whether readiness checks succeed."""
        return self.context.is_ready()

    @property
    def accepts_clients(self) -> bool:
        """Whether clients are accepted and served."""
        return self.listener.socket is not None and self.drain_state.schedule is None and self.gateway.can_serve

    @property
    def client_count(self) -> int:
        """Number of client connections, including those not yet set up."""
        return self.admission.client_count

    def set_process_count(self, processes: int) -> None:
        """Divide the descriptors and the memory among the `processes` of this gateway."""
        self.account.set_process_count(processes)
        self.admission.set_process_count(processes)

    def measure_resources(self) -> list[int]:
        """Return what this process holds, for the metrics line; docs/fleet.md lists the figures."""
        paused = sum(1 for connection in self.connections if connection.is_reading_paused)
        return [
            resident_bytes() // BYTES_PER_KIB, self.client_count, paused, self.admission.hosts.open_connections,
            self.account.used_bytes, self.account.limit_bytes, self.account.take_peak_bytes(),
            *self.account.bytes_by_owner,
        ]  # fmt: skip

    def scan_expired(self) -> None:
        """End connections that exceed a timeout."""
        self.expiry_timer = self.loop.call_later(EXPIRY_SCAN_INTERVAL_S, self.scan_expired)
        self.timeouts.end_expired(self.connections, self.loop.time(), self.admission.is_crowded())

    def start_drain(self, schedule: DrainSchedule) -> None:
        """Start a drain."""
        self.client_drain.start(schedule)

    def stop_drain(self) -> None:
        """End the drain and serve clients again, unless the process shuts down."""
        self.client_drain.stop()

    async def shut_down(self, schedule: DrainSchedule | None = None) -> None:
        """Drain and stop: answer every request, including those on connections that wait to be accepted.

        Returns once all clients have received their responses or were given up.
        """
        self.client_drain.is_shutdown = True
        self.start_drain(schedule or shutdown_schedule(self.max_client_timeout_s))
        while self.listener.socket is not None or self.connections or self.admission.accepting:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def close(self) -> None:
        """Close the listener and abort all connections."""
        self.listener.close()
        self.client_drain.close()
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
        for connection in list(self.connections):
            connection.abort()
