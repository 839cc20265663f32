"""State shared by all client connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cloverkeel.core.body_budget import BodyBudget, budget_for_memory
from cloverkeel.core.config import Config
from cloverkeel.core.gateway import Gateway
from cloverkeel.core.input_scheduler import LATE_READ_BYTES
from cloverkeel.frontends.http1.drain import DrainState
from cloverkeel.frontends.http1.timeouts import ConnectionTimeouts

if TYPE_CHECKING:
    from cloverkeel.frontends.http1.connection import ClientConnection

READ_BUFFER_BYTES: Final = 64 * 1024
SMALL_READ_BYTES: Final = 16 * 1024


class ConnectionContext:
    """The configuration, the gateway and the state that all client connections share."""

    __slots__ = (
        "account", "body_budget", "config", "connections", "drain", "gateway", "input_scheduler", "late_read_buffer",
        "loop", "read_buffer", "small_read_buffer", "timeouts",
    )  # fmt: skip

    def __init__(
        self, config: Config, gateway: Gateway, connections: set[ClientConnection], timeouts: ConnectionTimeouts,
        drain: DrainState,
    ) -> None:  # fmt: skip
        self.loop = drain.loop
        self.config = config
        self.gateway = gateway
        self.account = gateway.account
        self.body_budget = BodyBudget(budget_for_memory(config.memory_mb), gateway.account)
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))  # shared: each read is parsed at once
        self.small_read_buffer = self.read_buffer[:SMALL_READ_BYTES]  # unless a large body is being received
        self.late_read_buffer = self.read_buffer[:LATE_READ_BYTES]  # once the time for input is used up
        self.input_scheduler = gateway.input_scheduler
        self.connections = connections
        self.timeouts = timeouts
        self.drain = drain

    def is_ready(self) -> bool:
        """Return whether readiness checks succeed."""
        return self.drain.is_reported_ready() and self.gateway.can_serve
