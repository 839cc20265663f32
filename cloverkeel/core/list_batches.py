"""Apply long endpoint lists in batches: what restricts is applied at once, the rest by turns of the loop. Pure.

A list of six hundred hosts, applied in one piece, stalls the loop for longer than a request may be held up. Between
two batches requests are served.

Invariants:
- what was applied and what is pending are together the newest entry of each host: what a newer list says of a host,
  or a snapshot by not naming it, takes the place of what is pending;
- what is pending restricts nothing: hosts that drain, are gone, have moved or are new processes are applied at once;
- a list of MAX_UNSPLIT_ENTRIES or fewer is applied in one piece where no more hosts are known, and a list of
  BATCH_ENTRIES always;
- so is the list of a gateway that knows few hosts yet: what arrives meanwhile would go to the few of the first batch,
  from every gateway that starts at that time. Its first list holds up nobody: without one nobody is served;
- bounded: one entry a host, of those that a snapshot named and changes since.
It may not know who tells the balancer, nor what time it is.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice
from typing import Final

from cloverkeel.balancing.events import ServerStatus

from cloverkeel.core.ports import Endpoint

MAX_UNSPLIT_ENTRIES: Final = 200  # and hosts known: the platform's complete list is no longer
BATCH_ENTRIES: Final = 50  # in a turn: under a millisecond, all of them new, on a machine with other work
MAX_GROWTH_FACTOR: Final = 4  # a list of more entries than so many times the hosts known is applied in one piece


class ListBatches:
    """What is pending of long lists, by host and in the order they came in; a newer entry has its place."""

    def __init__(self) -> None:
        self.pending: dict[int, Endpoint] = {}

    def name_of(self, server: int) -> str | None:
        """Return the name of a host that is pending."""
        endpoint = self.pending.get(server)
        return endpoint.name if endpoint is not None else None

    def clear(self) -> None:
        """Drop what is pending: a snapshot has come."""
        self.pending.clear()

    def take_all(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Return a whole list, which is applied now."""
        for endpoint in endpoints if self.pending else ():
            self.pending.pop(endpoint.listed.server, None)
        return endpoints

    def split(
        self, endpoints: list[Endpoint], known_hosts: int, is_another: Callable[[Endpoint], bool]
    ) -> list[Endpoint]:
        """Return what of a list is to be applied now; the rest is pending.

        `known_hosts`: how many are known now, what the list leaves out taken off already. `is_another`: whether a
        host is known as another process, or at another address.
        """
        max_unsplit = MAX_UNSPLIT_ENTRIES if known_hosts <= MAX_UNSPLIT_ENTRIES else BATCH_ENTRIES
        if len(endpoints) <= max_unsplit or len(endpoints) > MAX_GROWTH_FACTOR * known_hosts:
            return self.take_all(endpoints)
        now: list[Endpoint] = []
        for endpoint in endpoints:  # of a host that is named twice the last entry is applied last
            listed = endpoint.listed
            if listed.status is not ServerStatus.READY or is_another(endpoint):
                self.pending.pop(listed.server, None)
                now.append(endpoint)
            else:
                self.pending[listed.server] = endpoint
        return now

    def next_batch(self) -> list[Endpoint]:
        """Return the next batch of what is pending; empty where nothing is."""
        return [self.pending.pop(server) for server in list(islice(self.pending, BATCH_ENTRIES))]
