"""Applies a long list from the registry in steps, so that connections are served between the steps. Pure.

Invariants:
- the cache is not changed before the whole list has been parsed and found usable: an unusable list leaves the cache
  as it was;
- after the last step the cache is in the same state as after `EndpointCache.apply_list` of the same list. In between
  it has a part of the changes: drains and deletions come first, then the other changes, service by service. A caller
  that stops early must request a snapshot from the registry.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from cloverkeel.control_plane.endpoint_cache import EndpointCache
from cloverkeel.control_plane.endpoint_table import MAX_HOSTS, HostChange, SubscriptionKey
from cloverkeel.control_plane.entry_codec import Host
from cloverkeel.core.incremental import Incremental

CHANGES_SORTED_PER_STEP: Final = 2_048  # about 2 ms per step
ENTRIES_PER_STEP: Final = 32  # about 2 ms per step on a busy machine


@dataclass(slots=True)
class _ListDiff:
    """The difference between a list and the cache."""

    names: set[str] = field(default_factory=set)  # all usable names in the list
    changes: dict[str, Host | None] = field(default_factory=dict)  # None for a deleted host
    skipped: int = 0


def apply_list_incrementally(
    cache: EndpointCache, is_snapshot: bool, items: list[Any]
) -> Incremental[frozenset[SubscriptionKey] | None]:
    """Apply a list as EndpointCache.apply_list does, and return the same keys, or None for an unusable list."""
    diff = yield from _diff_list(cache, is_snapshot, items)
    cache.counters.skipped_entries += diff.skipped
    if not _is_usable(cache, is_snapshot, len(items), diff):
        cache.counters.unusable_lists += 1
        return None
    if is_snapshot:
        cache.counters.snapshots_applied += 1
        diff.changes.update(dict.fromkeys(cache.table.host_by_name.keys() - diff.names))
    yield
    ordered = yield from _order_changes(cache, diff.changes)
    keys: set[SubscriptionKey] = set()
    for begin in range(0, len(ordered), ENTRIES_PER_STEP):
        keys |= cache.table.apply_changes(ordered[begin : begin + ENTRIES_PER_STEP])
        yield
    cache.is_ready = True
    return frozenset(keys)


def _diff_list(cache: EndpointCache, is_snapshot: bool, items: list[Any]) -> Incremental[_ListDiff]:
    diff, known = _ListDiff(), cache.table.host_by_name
    for begin in range(0, len(items), ENTRIES_PER_STEP):
        parsed = cache.parse_entries(items[begin : begin + ENTRIES_PER_STEP], is_snapshot)
        diff.skipped += parsed.skipped
        diff.names.update(parsed.host_by_name)
        for name, host in parsed.host_by_name.items():
            if known.get(name) is not host:
                diff.changes[name] = host
            else:
                diff.changes.pop(name, None)  # duplicate name: the last entry counts
        yield
    return diff


def _is_usable(cache: EndpointCache, is_snapshot: bool, entries: int, diff: _ListDiff) -> bool:
    if is_snapshot:
        return not cache.has_few_usable(entries, diff.skipped) and len(diff.names) <= MAX_HOSTS
    return cache.is_ready and len(cache.table.host_by_name.keys() | diff.changes.keys()) <= MAX_HOSTS


def _order_changes(cache: EndpointCache, changes: dict[str, Host | None]) -> Incremental[list[HostChange]]:
    """Order changes: drains and deletions first, then by service.

    Changes of one service are adjacent, as each step reassigns the rings of all services that it changes.
    """
    known = cache.table.host_by_name
    changes_by_sort_key: dict[tuple[bool, str], list[HostChange]] = {}
    for count, change in enumerate(changes.items(), 1):
        changes_by_sort_key.setdefault(_sort_key(known, *change), []).append(change)
        if not count % CHANGES_SORTED_PER_STEP:
            yield
    ordered: list[HostChange] = []
    for sort_key in sorted(changes_by_sort_key):
        ordered += changes_by_sort_key[sort_key]
    yield
    return ordered


def _sort_key(known: Mapping[str, Host], name: str, host: Host | None) -> tuple[bool, str]:
    listed = host or known.get(name)
    return host is not None and host.is_serving, listed.service if listed is not None else ""
