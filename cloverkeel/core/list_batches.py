"""Long lists of hosts in parts: what restricts is told at once, the rest some hosts a turn of the loop. Pure.

A list of six hundred hosts, told in one piece, stops the loop for longer than a request may be held up. Between two
parts requests are served.

Invariants:
- what has been told and what waits are together the newest word on each host: what a newer list says of a host, or a
  whole one by not naming it, takes the place of what waits;
- what waits restricts nothing: hosts that drain, are gone, have moved or are new processes are told at once;
- a list of AT_ONCE entries or fewer is told in one piece where no more hosts are known, and a list of SLICE always;
- so is the list of a gateway that knows few hosts yet: what comes meanwhile would go to the few of the first part,
  from every gateway that starts at that time. Its first list holds up nobody: without one nobody is served;
- bounded: one entry a host, of those that a whole list named and changes since.
It may not know who tells the module, nor what time it is.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice
from typing import Final

from cloverkeel.balancing.events import ServerStatus

from cloverkeel.core.ports import Endpoint

AT_ONCE: Final = 200  # entries, and hosts known: the platform's whole list is no longer
SLICE: Final = 50  # entries in a turn: under a millisecond, all of them new, on a machine with other work
KNOWN_LEAST: Final = 4  # times the hosts known are fewer than those named: the list is told in one piece


class Slices:
    """What waits of long lists, by the hosts' numbers, in the order they came in; a newer word has its place."""

    def __init__(self) -> None:
        self.waiting: dict[int, Endpoint] = {}

    def name_of(self, server: int) -> str | None:
        """Of a host that waits to be told."""
        entry = self.waiting.get(server)
        return entry.name if entry is not None else None

    def forget_all(self) -> None:
        """A whole list has come: what waits of those before it is void."""
        self.waiting.clear()

    def take_all(self, entries: list[Endpoint]) -> list[Endpoint]:
        """The whole of a list is told now."""
        for entry in entries if self.waiting else ():
            self.waiting.pop(entry.listed.server, None)
        return entries

    def take(self, entries: list[Endpoint], known: int, is_another: Callable[[Endpoint], bool]) -> list[Endpoint]:
        """What of a list is to be told now; the rest waits.

        `known`: how many hosts are known now, what the list leaves out taken off already. `is_another`: whether a
        host is known as another process, or at another address.
        """
        least = AT_ONCE if known <= AT_ONCE else SLICE
        if len(entries) <= least or len(entries) > KNOWN_LEAST * known:
            return self.take_all(entries)
        now: list[Endpoint] = []
        for entry in entries:  # of a host that is named twice the last word is told last
            listed = entry.listed
            if listed.status is not ServerStatus.READY or is_another(entry):
                self.waiting.pop(listed.server, None)
                now.append(entry)
            else:
                self.waiting[listed.server] = entry
        return now

    def next(self) -> list[Endpoint]:
        """The next part of what waits; empty where nothing does."""
        return [self.waiting.pop(server) for server in list(islice(self.waiting, SLICE))]
