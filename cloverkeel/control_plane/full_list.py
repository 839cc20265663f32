"""Responses for subscribers that are not in the roster: the registry's full list, or its changes. Pure.

No state is kept per subscriber: the list is encoded once for all of them, and changes are read from the change log.
An index identifies the list at one change number, regardless of the subscriber.
"""

from __future__ import annotations

from collections import OrderedDict
from operator import attrgetter
from typing import Final

from cloverkeel.control_plane.counters import CacheCounters
from cloverkeel.control_plane.endpoint_table import MAX_LOGGED_CHANGES, EndpointTable
from cloverkeel.control_plane.entry_codec import HASH_BITS, Host
from cloverkeel.core.incremental import Incremental
from cloverkeel.control_plane.messages import ListResponse
from cloverkeel.control_plane.response_indexes import ResponseIndexes

SORT_BUCKETS: Final = 64  # hash ranges of the full list; sorting one takes about 1 ms
HOSTS_PER_STEP: Final = 2_048
_ring_position: Final = attrgetter("ring_position")


class FullListResponses:
    """Builds the responses with the full list and its changes. Keeps at most MAX_LOGGED_CHANGES indexes."""

    def __init__(self, table: EndpointTable, indexes: ResponseIndexes, counters: CacheCounters) -> None:
        self.table, self.indexes, self.counters = table, indexes, counters
        self.change_by_index: OrderedDict[int, int] = OrderedDict()  # response index -> change number of its list
        self.entries: tuple[bytes, ...] = ()  # encoded entries, shared by all responses
        self.entries_change = -1  # change number of `entries`; -1 if not yet encoded

    def is_known(self, index: int) -> bool:
        """Return whether the change log still has all changes since this response."""
        return self.change_by_index.get(index, -1) >= self.table.change_log.floor

    def is_up_to_date(self, index: int) -> bool:
        """Return whether this response is the newest state of the list."""
        return self.change_by_index.get(index) == self.table.change_number

    def snapshot_incrementally(self) -> Incremental[ListResponse]:
        """Build a snapshot of the list as of the first step. Reuses the entries if the list has not changed."""
        change_number, hosts = self.table.change_number, list(self.table.host_by_name.values())
        if self.entries_change == change_number:
            entries = self.entries
        else:
            entries = yield from _encode_sorted(hosts)
            self.entries, self.entries_change = entries, change_number
        self.counters.snapshots += 1
        return ListResponse(self._index_of(change_number), True, entries)

    def changes_since(self, index: int) -> ListResponse | None:
        """Return the changes since a known response, or None if there are none."""
        change_number = self.change_by_index[index]
        if change_number == self.table.change_number:
            return None
        entries = self._entries_since(change_number)
        if not entries:  # only the roster changed
            self.change_by_index[index] = self.table.change_number
            return None
        self.counters.deltas += 1
        return ListResponse(self._index_of(self.table.change_number), False, entries)

    def _index_of(self, change_number: int) -> int:
        """Return the newest index if it has this change number, else a new index."""
        last = next(reversed(self.change_by_index), -1)
        if last < 0 or self.change_by_index[last] != change_number:
            last = self.indexes.next()
            self.change_by_index[last] = change_number
            while len(self.change_by_index) > MAX_LOGGED_CHANGES:
                self.change_by_index.popitem(last=False)
        return last

    def _entries_since(self, change_number: int) -> tuple[bytes, ...]:
        """Encode the newest state of each host changed after this change number, the most restrictive first."""
        deleted: list[bytes] = []
        draining: list[bytes] = []
        serving: list[bytes] = []
        for name, published in sorted(self.table.change_log.newest_since(change_number).items()):
            host = self.table.host_by_name.get(name)
            if host is None:
                deleted.append(published.deleted_entry())
            elif host.is_serving:
                serving.append(host.plain_entry())
            else:
                draining.append(host.plain_entry())
        return (*deleted, *draining, *serving)


def _encode_sorted(hosts: list[Host]) -> Incremental[tuple[bytes, ...]]:
    """Encode all hosts: draining hosts first, then serving hosts, both in the order of their ring positions."""
    buckets: list[list[Host]] = [[] for _ in range(2 * SORT_BUCKETS)]
    for count, host in enumerate(hosts, 1):
        buckets[host.is_serving * SORT_BUCKETS + (host.ring_position[0] * SORT_BUCKETS >> HASH_BITS)].append(host)
        if not count % HOSTS_PER_STEP:
            yield
    entries: list[bytes] = []
    for bucket in buckets:
        bucket.sort(key=_ring_position)
        entries.extend(host.plain_entry() for host in bucket)
        yield
    return tuple(entries)
