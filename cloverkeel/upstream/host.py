"""State of one upstream host."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cloverkeel.core.config import Address

if TYPE_CHECKING:
    from cloverkeel.upstream.connection import HostConnection


@dataclass(slots=True, eq=False)
class Host:
    """A host of the endpoint list, with its idle connections.

    `started_us` is the start time of its process as discovery announces it. `draining_since_us` is when this gateway,
    by its own clock, was notified that the host drains or was removed; None if it does not drain.
    """

    id_: int
    name: str
    address: Address
    started_us: int = 0
    draining_since_us: int | None = None
    idle_connections: list[HostConnection] = field(default_factory=list)  # most recently used last
    open_connections: int = 0  # established or being established

    def is_same_process(self, address: Address, started_us: int) -> bool:
        """Return whether the host has this address and process start time."""
        return (self.address, self.started_us) == (address, started_us)
