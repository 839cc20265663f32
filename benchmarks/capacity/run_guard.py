"""Who is told that a host serves although it knew of its end. Pure: gateways' lists in, who and which host out."""

from __future__ import annotations

from dataclasses import dataclass, field

from cloverkeel.balancing.events import ListKind, ServerStatus
from cloverkeel.core.ports import Endpoint


@dataclass(slots=True)
class Guard:
    """Hosts that were restricted for good, and who held them: none may count one as serving that it knew as ended."""

    held: dict[int, frozenset[int]] = field(default_factory=dict)  # by gateway
    ended: set[tuple[int, int]] = field(default_factory=set)  # gateway and host: it has been told so
    undone: list[tuple[int, int]] = field(default_factory=list)  # the same: told later that it serves

    def take(self, gateway: int, kind: ListKind, entries: list[Endpoint]) -> None:
        mine = self.held.get(gateway, frozenset())
        if not mine:
            return
        named = {entry.listed.server: entry.listed.status for entry in entries if entry.listed.server in mine}
        for number in mine if kind is ListKind.FULL else named:
            if named.get(number) is not ServerStatus.READY:
                self.ended.add((gateway, number))
            elif (gateway, number) in self.ended:
                self.undone.append((gateway, number))
