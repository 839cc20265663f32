"""Responses for subscribers that the roster does not have: the full list as discovery has it, and its changes. Pure.

They have no state of their own here: the list is encoded once for all of them, and changes are read from the change
log. An index stands for the list at one change number, whoever was sent it.
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

SORT_BUCKETS: Final = 64  # of the full list, by hash: each put in order in some 1 ms
HOSTS_PER_STEP: Final = 2_048
_ring_position: Final = attrgetter("ring_position")


class FullListResponses:
    """Makes these responses. Bounded: MAX_LOGGED_CHANGES indexes are known."""

    def __init__(self, table: EndpointTable, indexes: ResponseIndexes, counters: CacheCounters) -> None:
        self.table, self.indexes, self.counters = table, indexes, counters
        self.change_by_index: OrderedDict[int, int] = OrderedDict()  # number of the last change that it has
        self.entries: tuple[bytes, ...] = ()  # encoded, for all who ask meanwhile
        self.entries_change = -1  # number of the last change that `entries` have

    def is_known(self, index: int) -> bool:
        """Return whether the changes after this response can be sent."""
        return self.change_by_index.get(index, -1) >= self.table.change_log.floor

    def is_up_to_date(self, index: int) -> bool:
        """Return whether there is no change after this response."""
        return self.change_by_index.get(index) == self.table.change_number

    def snapshot_incrementally(self) -> Incremental[ListResponse]:
        """Make a snapshot of the list as it is when this begins. It is made once for all who ask while it is so."""
        change_number, hosts = self.table.change_number, list(self.table.host_by_name.values())
        if self.entries_change == change_number:
            entries = self.entries
        else:
            entries = yield from _encode_sorted(hosts)
            self.entries, self.entries_change = entries, change_number
        self.counters.snapshots += 1
        return ListResponse(self._index_of(change_number), True, entries)

    def changes_since(self, index: int) -> ListResponse | None:
        """Return the changes after this response, which is known; None: there are none."""
        change_number = self.change_by_index[index]
        if change_number == self.table.change_number:
            return None
        entries = self._entries_since(change_number)
        if not entries:  # the roster is another, the list is not
            self.change_by_index[index] = self.table.change_number
            return None
        self.counters.deltas += 1
        return ListResponse(self._index_of(self.table.change_number), False, entries)

    def _index_of(self, change_number: int) -> int:
        """Return the index of the list at this change: one for all, but for a change that is no longer the last."""
        last = next(reversed(self.change_by_index), -1)
        if last < 0 or self.change_by_index[last] != change_number:
            last = self.indexes.next()
            self.change_by_index[last] = change_number
            while len(self.change_by_index) > MAX_LOGGED_CHANGES:
                self.change_by_index.popitem(last=False)
        return last

    def _entries_since(self, change_number: int) -> tuple[bytes, ...]:
        """Encode the newest state of each host that was changed since, what restricts first."""
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
    """Encode all hosts: those that drain first, then in the order of their hashes."""
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
