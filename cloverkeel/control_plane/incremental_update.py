"""Apply a long list of discovery step by step, so that connections are served between the steps. Pure.

Invariants:
- nothing of the cache is changed before the list was read to its end and found usable: an unusable one leaves all
  as it is;
- after the last step the cache is as after `EndpointCache.apply_list` of the same list; in between it has some of
  the changes, what restricts first, the rest service by service. Whoever stops early must ask for a snapshot.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from cloverkeel.control_plane.endpoint_cache import EndpointCache
from cloverkeel.control_plane.endpoint_table import MAX_HOSTS, HostChange, SubscriptionKey
from cloverkeel.control_plane.entry_codec import Host
from cloverkeel.core.incremental import Incremental

CHANGES_SORTED_PER_STEP: Final = 2_048  # some 2 ms
ENTRIES_PER_STEP: Final = 32  # some 2 ms each on a busy machine


@dataclass(slots=True)
class _ReadList:
    """What a list says, against what is cached."""

    names: set[str] = field(default_factory=set)
    changes: dict[str, Host | None] = field(default_factory=dict)
    skipped: int = 0


def apply_list_incrementally(
    cache: EndpointCache, is_snapshot: bool, items: list[Any]
) -> Incremental[frozenset[SubscriptionKey] | None]:
    """Apply a list as EndpointCache.apply_list, and return the same keys; None: it cannot be used."""
    read = yield from _read_list(cache, is_snapshot, items)
    cache.counters.skipped_entries += read.skipped
    if not _is_usable(cache, is_snapshot, len(items), read):
        cache.counters.unusable_lists += 1
        return None
    if is_snapshot:
        cache.counters.snapshots_applied += 1
        read.changes.update(dict.fromkeys(cache.table.host_by_name.keys() - read.names))
    yield
    ordered = yield from _order_changes(cache, read.changes)
    keys: set[SubscriptionKey] = set()
    for begin in range(0, len(ordered), ENTRIES_PER_STEP):
        keys |= cache.table.apply_changes(ordered[begin : begin + ENTRIES_PER_STEP])
        yield
    cache.is_ready = True
    return frozenset(keys)


def _read_list(cache: EndpointCache, is_snapshot: bool, items: list[Any]) -> Incremental[_ReadList]:
    read, known = _ReadList(), cache.table.host_by_name
    for begin in range(0, len(items), ENTRIES_PER_STEP):
        parsed = cache.parse_entries(items[begin : begin + ENTRIES_PER_STEP], is_snapshot)
        read.skipped += parsed.skipped
        read.names.update(parsed.host_by_name)
        for name, host in parsed.host_by_name.items():
            if known.get(name) is not host:
                read.changes[name] = host
            else:
                read.changes.pop(name, None)  # listed twice: the last entry counts
        yield
    return read


def _is_usable(cache: EndpointCache, is_snapshot: bool, entries: int, read: _ReadList) -> bool:
    if is_snapshot:
        return not cache.has_few_usable(entries, read.skipped) and len(read.names) <= MAX_HOSTS
    return cache.is_ready and len(cache.table.host_by_name.keys() | read.changes.keys()) <= MAX_HOSTS


def _order_changes(cache: EndpointCache, changes: dict[str, Host | None]) -> Incremental[list[HostChange]]:
    """Put what restricts first, and hosts of one service side by side, as the rings of each are assigned anew."""
    known = cache.table.host_by_name
    changes_by_rank: dict[tuple[bool, str], list[HostChange]] = {}
    for count, change in enumerate(changes.items(), 1):
        changes_by_rank.setdefault(_rank(known, *change), []).append(change)
        if not count % CHANGES_SORTED_PER_STEP:
            yield
    ordered: list[HostChange] = []
    for rank in sorted(changes_by_rank):
        ordered += changes_by_rank[rank]
    yield
    return ordered


def _rank(known: Mapping[str, Host], name: str, host: Host | None) -> tuple[bool, str]:
    listed = host or known.get(name)
    return host is not None and host.is_serving, listed.service if listed is not None else ""
