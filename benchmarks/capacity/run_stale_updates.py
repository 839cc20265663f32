"""Detects gateways that receive a host as serving after they received its end. Pure: takes the gateways' lists."""

from __future__ import annotations

from dataclasses import dataclass, field

from cloverkeel.balancing.events import ListKind, ServerStatus
from cloverkeel.core.ports import Endpoint


@dataclass(slots=True)
class StaleUpdateDetector:
    """Watches hosts that were drained or removed for good: a gateway that held one and received its end must not
    receive it as serving again."""

    # Gateway index -> IDs of its watched hosts.
    held_hosts_by_gateway: dict[int, frozenset[int]] = field(default_factory=dict)
    ended_hosts: set[tuple[int, int]] = field(default_factory=set)  # (gateway, host) whose end the gateway received
    # (gateway, host) that the gateway received as serving after that.
    stale_updates: list[tuple[int, int]] = field(default_factory=list)

    def check_update(self, gateway: int, kind: ListKind, entries: list[Endpoint]) -> None:
        """Record which watched hosts this list ends for the gateway, or restores although they had ended."""
        watched = self.held_hosts_by_gateway.get(gateway, frozenset())
        if not watched:
            return
        status_by_host = {
            entry.listed.server: entry.listed.status for entry in entries if entry.listed.server in watched
        }
        for host_id in watched if kind is ListKind.FULL else status_by_host:
            if status_by_host.get(host_id) is not ServerStatus.READY:
                self.ended_hosts.add((gateway, host_id))
            elif (gateway, host_id) in self.ended_hosts:
                self.stale_updates.append((gateway, host_id))
