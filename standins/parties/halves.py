"""A registry in halves, one a region: joined they are alike; cut, each takes changes of its own alone.

Each half has versions of its own throughout, so none of its callers meets one that goes back. At the join both take
up what the other changed meanwhile, all at once. Of a host that one half alone changed, that counts. Of one that both
changed, first the later start (`since_ms`): what was said of an earlier one is over; then, of the same start, what
restricts (DELETED or DRAINING on either side) before SERVING; then the newest by the time of the change.
How a real discovery joins its histories is not known; this rule is the stand-in's own.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from standins.event_log import now_us
from standins.parties.registry import Entry, Registry


@dataclass(slots=True, frozen=True)
class Change:
    """What a host is from then on."""

    name: str
    status: str
    weight: float
    since_ms: int
    at_us: int = 0

    def rank(self) -> tuple[int, bool, int]:
        """The highest counts, of changes of one host."""
        return self.since_ms, self.status != "SERVING", self.at_us


@dataclass(slots=True, eq=False)
class Half:
    registry: Registry
    all: dict[str, Entry] = field(default_factory=dict)  # also those that are not listed now
    made: dict[str, Change] = field(default_factory=dict)  # the newest of each host, since the cut

    def put(self, entry: Entry) -> None:
        own = replace(entry)
        self.all[own.name] = own
        self.registry.put(own)

    def take(self, changes: Iterable[Change]) -> None:
        told = []
        for change in changes:
            entry = self.all[change.name]
            entry.weight, entry.since_ms = change.weight, change.since_ms
            told.append((entry, change.status))
        self.registry.change(told)


class Halves:
    def __init__(self, registries: Mapping[str, Registry]) -> None:
        self.halves = {name: Half(registry) for name, registry in registries.items()}
        self.is_cut = False

    def put(self, entry: Entry) -> None:
        """Register at once, at all: for the start."""
        for half in self.halves.values():
            half.put(entry)

    def change(self, changes: Iterable[Change], half: str = "") -> int:
        """At this half alone while they are cut, else at all, all at once; returns just before when, in µs.

        ValueError for a change while they are cut that names no half: it would be told by two at different times.
        """
        if self.is_cut and half not in self.halves:
            raise ValueError(f"half: expected one of {', '.join(self.halves)} while they are cut, found {half!r}")
        at_us = now_us()
        made = [replace(change, at_us=at_us) for change in changes]
        for name, one in self.halves.items():
            if not self.is_cut or name == half:
                one.take(made)
            if self.is_cut and name == half:
                one.made |= {change.name: change for change in made}
        return at_us

    def cut(self) -> None:
        self.is_cut = True
        for half in self.halves.values():
            half.made.clear()

    def join(self) -> int:
        """Each takes up what counts and it has not; returns just before when, in µs."""
        self.is_cut = False
        at_us = now_us()
        newest: dict[str, Change] = {}
        for half in self.halves.values():
            for name, change in half.made.items():
                if name not in newest or change.rank() > newest[name].rank():
                    newest[name] = change
        for half in self.halves.values():
            half.take([change for name, change in newest.items() if half.made.get(name) != change])
            half.made.clear()
        return at_us
