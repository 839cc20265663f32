"""Hosts that staff have taken out: an overlay on the list, whatever source it is from. Pure, times come from outside.

The list's entries go in, and come out as the core is to have them: a banned host that serves is passed on as
draining, with all else that is told of it, its restarts too.

Invariants:
- a ban only restricts: what the list has as draining or gone never becomes more through it;
- a banned id is never forgotten, and one call back ends the ban, however often it was called out;
- no host that comes back is presented as older than the call back, unless the list has told a start of it that is
  later than the call out: discovery tells a restart late, and it may have happened at any moment of the ban;
- what is kept is bounded: ids that were listed once by LISTED_KEPT (banned and listed ones beyond that), bans by
  BANS_KEPT.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Final

from cloverkeel.balancing.events import ListKind, ServerStatus

from cloverkeel.core.ports import Endpoint

LISTED_KEPT: Final = 4_096  # ids that left the list and are still known as listed once
BANS_KEPT: Final = 1_024  # more hosts than that are not taken out by hand at one time


class Bans:
    """Who is out by hand, and the last word of the list on each host."""

    def __init__(self) -> None:
        self.listed: dict[str, Endpoint] = {}
        self.once: OrderedDict[str, None] = OrderedDict()  # left the list; the longest ago first
        self.out: dict[str, int] = {}  # since when, µs
        self.back: dict[str, int] = {}  # put back at this time, and no later start is told yet

    # From the list

    def take(self, kind: ListKind, entries: Iterable[Endpoint]) -> list[Endpoint]:
        """What the core is to be told in place of these."""
        entries = list(entries)
        if kind is ListKind.ERROR:
            return entries
        if kind is not ListKind.DELTA:
            named = {entry.name for entry in entries}
            for name in [name for name in self.listed if name not in named]:
                self.leave(name)
        for entry in entries:
            if entry.listed.status is ServerStatus.GONE:
                self.leave(entry.name)
            else:
                self.listed[entry.name] = entry
                self.once.pop(entry.name, None)
        return [self.presented(entry) for entry in entries]

    def leave(self, name: str) -> None:
        if self.listed.pop(name, None) is None:
            return
        self.note_once(name)

    def note_once(self, name: str) -> None:
        self.once.pop(name, None)
        self.once[name] = None
        while len(self.once) > LISTED_KEPT:
            self.back.pop(self.once.popitem(last=False)[0], None)

    def presented(self, entry: Endpoint) -> Endpoint:
        listed = entry.listed
        status, started_us = listed.status, listed.started_us
        if entry.name in self.out and status is ServerStatus.READY:
            status = ServerStatus.DRAINING
        back_us = self.back.get(entry.name, 0)
        if back_us >= started_us:
            started_us = back_us
        if (status, started_us) == (listed.status, listed.started_us):
            return entry
        return Endpoint(entry.name, entry.address, replace(listed, status=status, started_us=started_us))

    # From staff

    def knows(self, name: str) -> bool:
        """Whether this id was ever listed, as far as is remembered."""
        return name in self.listed or name in self.once or name in self.out

    def has_room(self, name: str) -> bool:
        return name in self.out or len(self.out) < BANS_KEPT

    def suspend(self, now_us: int, name: str) -> list[Endpoint]:
        """Out by hand from now on; what the core is to be told."""
        self.out.setdefault(name, now_us)
        return self.word_on(name)

    def restore(self, now_us: int, name: str) -> list[Endpoint]:
        """Back; what the core is to be told."""
        since_us = self.out.pop(name, None)
        if since_us is None:
            return []
        entry = self.listed.get(name)
        if entry is None or entry.listed.started_us <= since_us:
            self.back[name] = now_us
        return self.word_on(name)

    def word_on(self, name: str) -> list[Endpoint]:
        entry = self.listed.get(name)
        return [self.presented(entry)] if entry is not None else []

    def adopt(self, out: Mapping[str, int], back: Mapping[str, int]) -> list[Endpoint]:
        """Take on the bans as another process of this gateway has left them; what the core is to be told."""
        changed = {name for name in {*self.out, *out} if (name in self.out) != (name in out)}
        changed |= {name for name, at_us in back.items() if self.back.get(name, 0) < at_us}
        self.out = dict(out)
        self.back = {name: max(self.back.get(name, 0), back.get(name, 0)) for name in {*self.back, *back}}
        return [entry for name in sorted(changed) for entry in self.word_on(name)]
