"""What a gateway behind relays knows of each host, and what of an answer the core may be notified of. Pure.

Relays are caches of different staleness: a gateway that moves from one to another may read an older state there. No
drain that is known may be undone by that.

Why that holds: an answer that was requested at q and says it is of age a shows a state that discovery had at q - a
or later: the relay's age counts from a moment at which discovery had just this or more (its side of the bargain), and
the answer was made after q. A restriction that this gateway read at r is of a state that discovery had by r. So an
answer with q - a >= r knows of it, and is right where it permits; any other may be older.

Invariants:
- a restriction (DRAINING, DELETED, absent from a snapshot) counts at once from a relay that is not stale; from a
  stale one the first two, of hosts that are known;
- a permission that contradicts a restriction read in an earlier run of answers counts only with
  q - a >= r + CLOCK_RATE_SLACK_S; until then it is deferred, and released once an answer of the same run is as young
  as that. A run is a snapshot and the changes after it from one relay: each of its answers is later than the last,
  and permits over its own restrictions;
- from an answer older than MAX_STALENESS_S no permission counts where a list is known; once such a relay is young
  again, its snapshot is asked for. Where none is known, any list is better;
- so a restriction need be remembered for RESTRICTION_RETENTION_S before q alone: an answer that is not stale has
  q - a >= q - MAX_STALENESS_S;
- the list that is known stands until a snapshot that may replace it has come.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import inf
from typing import Final

from cloverkeel.balancing.events import ListKind, ServerStatus

from cloverkeel.core.ports import Endpoint

MAX_STALENESS_S: Final = 3.0  # a healthy relay's is 1 s and some, at the worst; a drain must be known after 6 s
CLOCK_RATE_SLACK_S: Final = 0.05  # between two clocks' rates over the longest age
RESTRICTION_RETENTION_S: Final = MAX_STALENESS_S + CLOCK_RATE_SLACK_S
NO_RUN: Final = 0  # of a restriction that two runs have named: either may mean an earlier one
RANK_BY_STATUS: Final = {ServerStatus.READY: 2, ServerStatus.DRAINING: 1, ServerStatus.GONE: 0}


@dataclass(slots=True, frozen=True)
class RelayAnswer:
    """One answer: when it was requested and read, the age that it says, and its entries."""

    read_s: float
    requested_s: float
    age_s: float
    is_snapshot: bool
    endpoints: list[Endpoint]


@dataclass(slots=True, frozen=True)
class AcceptedUpdate:
    """What the core is notified of, and whether a snapshot is to be asked for now."""

    kind: ListKind
    endpoints: list[Endpoint]
    requires_snapshot: bool = False


@dataclass(slots=True, frozen=True)
class Restriction:
    """When a host was restricted last, as read here, and in which run."""

    read_s: float
    run: int


class KnownState:
    """The status of each host that is known, and the restrictions and deferred permissions behind it."""

    def __init__(self) -> None:
        self.status_by_server: dict[int, ServerStatus] = {}  # hosts that are not removed
        self.run = NO_RUN  # counts runs, from 1
        self.restriction_by_server: dict[int, Restriction] = {}  # oldest first
        self.deferred_by_server: dict[int, Endpoint] = {}  # permissions of the present relay, too old as yet
        self.awaits_snapshot = False  # the present relay was stale, and not all of its answers was accepted

    def begin_run(self) -> None:
        """Begin another run of answers: what they tell is in order among themselves."""
        self.run += 1
        self.deferred_by_server.clear()
        self.awaits_snapshot = False

    def count_serving(self) -> int:
        """Return how many known hosts serve."""
        return sum(status is ServerStatus.READY for status in self.status_by_server.values())

    def accept(self, answer: RelayAnswer) -> AcceptedUpdate:
        """Take on what an answer may tell."""
        self._forget_restrictions(answer.requested_s)
        self._drop_deferred(answer.endpoints)
        if self.status_by_server and answer.age_s > MAX_STALENESS_S:
            is_permission = (endpoint.listed.status is ServerStatus.READY for endpoint in answer.endpoints)
            self.awaits_snapshot |= answer.is_snapshot or any(is_permission)
            return AcceptedUpdate(ListKind.DELTA, self._accept_restrictions(answer))
        if self.awaits_snapshot and not answer.is_snapshot:
            return AcceptedUpdate(ListKind.DELTA, self._accept_restrictions(answer), requires_snapshot=True)
        as_of_s = answer.requested_s - answer.age_s - CLOCK_RATE_SLACK_S
        if answer.is_snapshot:
            self.begin_run()  # a relay that restarted meanwhile sends a snapshot unasked
            self._restrict_absent(answer)
            return AcceptedUpdate(ListKind.FULL, self._accept_entries(answer.read_s, as_of_s, answer.endpoints))
        endpoints = self._release_deferred(as_of_s) + answer.endpoints
        return AcceptedUpdate(ListKind.DELTA, self._accept_entries(answer.read_s, as_of_s, endpoints))

    def _accept_entries(self, now_s: float, as_of_s: float, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Return the entries, with permissions that came too early left as the host is known."""
        accepted: list[Endpoint] = []
        restrictions = self.restriction_by_server
        for endpoint in endpoints:
            server, status = endpoint.listed.server, endpoint.listed.status
            if status is ServerStatus.READY and server not in restrictions:  # nearly all of a snapshot
                self.status_by_server[server] = status
                accepted.append(endpoint)
                continue
            known = self.status_by_server.get(server)
            if self._is_too_early(server, as_of_s) and _is_less_restrictive(status, known):
                self.deferred_by_server[server] = endpoint
                if known is not None:
                    listed = replace(endpoint.listed, status=known)
                    accepted.append(Endpoint(endpoint.name, endpoint.address, listed))
                continue
            if status is ServerStatus.READY:
                self.status_by_server[server] = status
                restrictions.pop(server, None)
            else:
                self._restrict(now_s, server, status)
            accepted.append(endpoint)
        return accepted

    def _is_too_early(self, server: int, as_of_s: float) -> bool:
        """Whether an answer as of then may not know of the host's restriction."""
        restriction = self.restriction_by_server.get(server)
        if restriction is None:
            return False
        return restriction.read_s > as_of_s and restriction.run != self.run

    def _accept_restrictions(self, answer: RelayAnswer) -> list[Endpoint]:
        """Return the entries that restrict a known host further."""
        accepted: list[Endpoint] = []
        for endpoint in answer.endpoints:
            server, status = endpoint.listed.server, endpoint.listed.status
            known = self.status_by_server.get(server)
            if known is None or known is status:
                continue
            if _is_less_restrictive(known, status):
                self._restrict(answer.read_s, server, status)
                accepted.append(endpoint)
        return accepted

    def _restrict_absent(self, snapshot: RelayAnswer) -> None:
        present = {endpoint.listed.server for endpoint in snapshot.endpoints}
        for server in [server for server in self.status_by_server if server not in present]:
            self._restrict(snapshot.read_s, server, ServerStatus.GONE)

    def _restrict(self, now_s: float, server: int, status: ServerStatus) -> None:
        if status is ServerStatus.GONE:
            self.status_by_server.pop(server, None)
        else:
            self.status_by_server[server] = status
        earlier = self.restriction_by_server.pop(server, None)
        is_of_this_run = earlier is None or earlier.run == self.run
        self.restriction_by_server[server] = Restriction(now_s, self.run if is_of_this_run else NO_RUN)

    def _forget_restrictions(self, requested_s: float) -> None:
        while self.restriction_by_server:
            server = next(iter(self.restriction_by_server))
            if self.restriction_by_server[server].read_s >= requested_s - RESTRICTION_RETENTION_S:
                return
            del self.restriction_by_server[server]

    def _drop_deferred(self, endpoints: list[Endpoint]) -> None:
        """Drop deferred permissions that newer entries replace, however old those are."""
        for endpoint in endpoints if self.deferred_by_server else ():
            self.deferred_by_server.pop(endpoint.listed.server, None)

    def _release_deferred(self, as_of_s: float) -> list[Endpoint]:
        released: list[Endpoint] = []
        for server, endpoint in list(self.deferred_by_server.items()):
            restriction = self.restriction_by_server.get(server)
            if (-inf if restriction is None else restriction.read_s) <= as_of_s:
                released.append(endpoint)
        for endpoint in released:
            del self.deferred_by_server[endpoint.listed.server]
        return released


def _is_less_restrictive(status: ServerStatus, than: ServerStatus | None) -> bool:
    """Compare with a known status; None: not known, as a host that is gone."""
    return RANK_BY_STATUS[status] > (0 if than is None else RANK_BY_STATUS[than])


def restrict_to_known(status_by_server: dict[int, ServerStatus], endpoints: list[Endpoint]) -> list[Endpoint]:
    """Return, of discovery's own list of all hosts, those that are known, where half of them still serve there.

    Guards against a fleet that holds the complete list because its relays were lost.
    """
    known = [endpoint for endpoint in endpoints if endpoint.listed.server in status_by_server]
    still_serving = sum(endpoint.listed.status is ServerStatus.READY for endpoint in known)
    serving = sum(status is ServerStatus.READY for status in status_by_server.values())
    return known if known and 2 * still_serving >= serving else endpoints
