"""Splits long endpoint lists into batches, one for each iteration of the event loop. Pure.

Applying a list of six hundred hosts in one piece would stall the loop for longer than a request may be delayed.
Between two batches requests are served. Entries that restrict the use of a host are applied immediately.

Invariants:
- the applied and the pending entries together hold the newest entry of each host: a pending entry is replaced by an
  entry in a newer list, and dropped by a snapshot without the host;
- no pending entry restricts a host: entries of hosts that drain, were removed, have moved or restarted are applied
  immediately;
- a list of up to MAX_UNSPLIT_ENTRIES is applied in one piece if no more hosts than that are known, and a list of up
  to BATCH_ENTRIES always;
- a list that is much longer than the number of known hosts is also applied in one piece: otherwise a gateway that
  has just started would send all requests to the few hosts of the first batch, as would every other gateway that
  starts at the same time. The first list delays no requests, as none can be served without it;
- memory is bounded by one entry for each host in the last snapshot and the changes since then.
This module must not depend on the gateway (gateway.py) or on the clock.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice
from typing import Final

from cloverkeel.balancing.events import ServerStatus

from cloverkeel.core.ports import Endpoint

# Compared with the entries of a list and with the known hosts. The platform's complete list is no longer than this.
MAX_UNSPLIT_ENTRIES: Final = 200
BATCH_ENTRIES: Final = 50  # takes under 1 ms even if all entries are new and the machine is busy
MAX_GROWTH_FACTOR: Final = 4  # a list of more than this many times the known hosts is applied in one piece


class ListBatches:
    """Pending entries of long lists, by server number; a newer entry keeps the position of the one it replaces."""

    def __init__(self) -> None:
        self.pending: dict[int, Endpoint] = {}

    def name_of(self, server: int) -> str | None:
        """Return the name of a host with a pending entry; None if it has none."""
        endpoint = self.pending.get(server)
        return endpoint.name if endpoint is not None else None

    def clear(self) -> None:
        """Drop the pending entries, which a snapshot supersedes."""
        self.pending.clear()

    def take_all(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Return a list that is applied in one piece, and drop the pending entries that it replaces."""
        for endpoint in endpoints if self.pending else ():
            self.pending.pop(endpoint.listed.server, None)
        return endpoints

    def split(
        self, endpoints: list[Endpoint], known_hosts: int, has_changed: Callable[[Endpoint], bool]
    ) -> list[Endpoint]:
        """Return the entries of a list to apply immediately; the others become pending.

        `known_hosts`: number of known hosts, without those that the list removes. `has_changed`: whether a host is
        known with another address or process start time.
        """
        max_unsplit = MAX_UNSPLIT_ENTRIES if known_hosts <= MAX_UNSPLIT_ENTRIES else BATCH_ENTRIES
        if len(endpoints) <= max_unsplit or len(endpoints) > MAX_GROWTH_FACTOR * known_hosts:
            return self.take_all(endpoints)
        immediate: list[Endpoint] = []
        for endpoint in endpoints:  # if a host is listed twice, its last entry is applied last
            listed = endpoint.listed
            if listed.status is not ServerStatus.READY or has_changed(endpoint):
                self.pending.pop(listed.server, None)
                immediate.append(endpoint)
            else:
                self.pending[listed.server] = endpoint
        return immediate

    def next_batch(self) -> list[Endpoint]:
        """Remove and return the next batch of pending entries; empty if there are none."""
        return [self.pending.pop(server) for server in list(islice(self.pending, BATCH_ENTRIES))]
