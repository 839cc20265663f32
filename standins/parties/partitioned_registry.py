"""A registry with one half per region. Connected halves are equal; during a partition each takes its own changes.

Each half has an index of its own throughout, so no caller sees an index that goes back. At the merge each half
applies what the other changed during the partition, all at once. If only one half changed a host, that change wins.
If both did, the later start of the host (`since_ms`) wins, because changes of an earlier start are out of date; for
the same start a restricting status (DELETED or DRAINING) wins over SERVING, and otherwise the newest change wins.
How a real discovery service merges its histories is not known; this rule is specific to the emulator.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from standins.event_log import now_us
from standins.parties.registry import Entry, Registry


@dataclass(slots=True, frozen=True)
class HostChange:
    """New state of a host."""

    name: str
    status: str
    weight: float
    since_ms: int
    at_us: int = 0

    def precedence(self) -> tuple[int, bool, int]:
        """Return the sort key among changes of one host; the highest wins."""
        return self.since_ms, self.status != "SERVING", self.at_us


@dataclass(slots=True, eq=False)
class RegistryHalf:
    """The registry of one region and what it changed during the partition."""

    registry: Registry
    entries: dict[str, Entry] = field(default_factory=dict)  # by name, also entries that are not listed now
    local_changes: dict[str, HostChange] = field(
        default_factory=dict
    )  # by host: newest change since the partition began

    def add_entry(self, entry: Entry) -> None:
        """Register a copy of the entry before the start of a run."""
        own_entry = replace(entry)
        self.entries[own_entry.name] = own_entry
        self.registry.add_entry(own_entry)

    def apply_changes(self, changes: Iterable[HostChange]) -> None:
        """Apply changes of known hosts, all at once."""
        statuses = []
        for change in changes:
            entry = self.entries[change.name]
            entry.weight, entry.since_ms = change.weight, change.since_ms
            statuses.append((entry, change.status))
        self.registry.apply_changes(statuses)


class PartitionedRegistry:
    """The halves by name of their region, connected or partitioned."""

    def __init__(self, registries: Mapping[str, Registry]) -> None:
        self.halves = {name: RegistryHalf(registry) for name, registry in registries.items()}
        self.is_partitioned = False

    def add_entry(self, entry: Entry) -> None:
        """Register the entry in all halves before the start of a run."""
        for half in self.halves.values():
            half.add_entry(entry)

    def apply_changes(self, changes: Iterable[HostChange], half: str = "") -> int:
        """Apply changes at once, to this half alone during a partition, else to all.

        Returns the time just before, in µs. ValueError for a change during a partition that names no half: the halves
        would apply it at different times.
        """
        if self.is_partitioned and half not in self.halves:
            raise ValueError(f"half: expected one of {', '.join(self.halves)} during the partition, found {half!r}")
        at_us = now_us()
        timed_changes = [replace(change, at_us=at_us) for change in changes]
        for name, registry_half in self.halves.items():
            if not self.is_partitioned or name == half:
                registry_half.apply_changes(timed_changes)
            if self.is_partitioned and name == half:
                registry_half.local_changes |= {change.name: change for change in timed_changes}
        return at_us

    def partition(self) -> None:
        """Stop passing changes between the halves."""
        self.is_partitioned = True
        for half in self.halves.values():
            half.local_changes.clear()

    def merge(self) -> int:
        """Apply to each half the winning changes that it lacks; return the time just before, in µs."""
        self.is_partitioned = False
        at_us = now_us()
        winning: dict[str, HostChange] = {}
        for half in self.halves.values():
            for name, change in half.local_changes.items():
                if name not in winning or change.precedence() > winning[name].precedence():
                    winning[name] = change
        for half in self.halves.values():
            half.apply_changes([change for name, change in winning.items() if half.local_changes.get(name) != change])
            half.local_changes.clear()
        return at_us
