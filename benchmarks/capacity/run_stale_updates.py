"""Who is told that a host serves although it knew of its end. Pure: gateways' lists in, who and which host out."""

from __future__ import annotations

from dataclasses import dataclass, field

from cloverkeel.balancing.events import ListKind, ServerStatus
from cloverkeel.core.ports import Endpoint


@dataclass(slots=True)
class StaleUpdateDetector:
    """Hosts that were restricted for good, and who held them: none may count one as serving that it knew as ended."""

    held_hosts_by_gateway: dict[int, frozenset[int]] = field(default_factory=dict)  # by gateway
    ended_hosts: set[tuple[int, int]] = field(default_factory=set)  # gateway and host: it has been told so
    stale_updates: list[tuple[int, int]] = field(default_factory=list)  # the same: told later that it serves

    def check_update(self, gateway: int, kind: ListKind, entries: list[Endpoint]) -> None:
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
