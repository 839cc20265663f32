"""The host states known to a gateway behind relays, and the part of each relay reply that the core may apply. Pure.

Relays are caches of different staleness: after a failover, a gateway may read an older state from the next relay.
This must not undo a drain that the gateway already knows. A restriction is an entry with status DRAINING or DELETED,
or a host's absence from a snapshot; a permission is an entry with status SERVING.

Why no known restriction is undone: a reply requested at time q that reports age a shows a state that discovery had at
q - a or later. The relay counts the age from a time at which discovery had this state or a newer one, and made the
reply after q. A restriction read at time r belongs to a state that discovery had by r. So a reply with q - a >= r
includes that restriction, and its permissions are valid; any other reply may be older.

Invariants:
- restrictions from a relay that is not stale apply immediately; from a stale relay, only DRAINING and DELETED of
  known hosts apply;
- a permission that contradicts a restriction read in an earlier run applies only if q - a >= r + CLOCK_RATE_SLACK_S.
  Until then it is deferred, and released by a reply of the same run that meets this condition. A run is a snapshot
  and the deltas after it from one relay: its replies are in order, so a permission overrides the run's own
  restrictions;
- with a known list, permissions from a reply older than MAX_STALENESS_S do not apply; once that relay's list is fresh
  again, a snapshot is requested. Without a known list, any list is accepted;
- a restriction that was read more than RESTRICTION_RETENTION_S before q is forgotten: a reply that is not stale has
  q - a >= q - MAX_STALENESS_S, so it includes that restriction;
- the known list stays in use until a snapshot arrives that may replace it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import inf
from typing import Final

from cloverkeel.balancing.events import ListKind, ServerStatus

from cloverkeel.core.ports import Endpoint

MAX_STALENESS_S: Final = 3.0  # a healthy relay's list is at most slightly over 1 s old; a drain must apply within 6 s
CLOCK_RATE_SLACK_S: Final = 0.05  # error from different clock rates over the longest age
RESTRICTION_RETENTION_S: Final = MAX_STALENESS_S + CLOCK_RATE_SLACK_S
NO_RUN: Final = 0  # for a host restricted in two runs: a permission of either may predate the other's restriction
RANK_BY_STATUS: Final = {ServerStatus.READY: 2, ServerStatus.DRAINING: 1, ServerStatus.GONE: 0}


@dataclass(slots=True, frozen=True)
class RelayAnswer:
    """A relay's reply: when it was requested and read, the age that it reports, and its entries."""

    read_s: float
    requested_s: float
    age_s: float
    is_snapshot: bool
    endpoints: list[Endpoint]


@dataclass(slots=True, frozen=True)
class AcceptedUpdate:
    """The update that the core receives, and whether to request a snapshot next."""

    kind: ListKind
    endpoints: list[Endpoint]
    requires_snapshot: bool = False


@dataclass(slots=True, frozen=True)
class Restriction:
    """When this gateway last read a restriction of a host, and in which run."""

    read_s: float
    run: int


class KnownState:
    """The status of each known host, the recent restrictions and the deferred permissions."""

    def __init__(self) -> None:
        self.status_by_server: dict[int, ServerStatus] = {}  # removed hosts are left out
        self.run = NO_RUN  # counts runs, from 1
        self.restriction_by_server: dict[int, Restriction] = {}  # oldest first
        self.deferred_by_server: dict[int, Endpoint] = {}  # permissions that may predate a restriction
        self.awaits_snapshot = False  # the current relay was stale, and parts of its replies were not applied

    def begin_run(self) -> None:
        """Start a new run: a sequence of replies that are in order."""
        self.run += 1
        self.deferred_by_server.clear()
        self.awaits_snapshot = False

    def count_serving(self) -> int:
        """Return the number of known hosts that serve."""
        return sum(status is ServerStatus.READY for status in self.status_by_server.values())

    def accept(self, answer: RelayAnswer) -> AcceptedUpdate:
        """Apply the valid part of a reply, and return the update for the core."""
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
            self.begin_run()  # a relay that restarted sends an unrequested snapshot
            self._restrict_absent(answer)
            return AcceptedUpdate(ListKind.FULL, self._accept_entries(answer.read_s, as_of_s, answer.endpoints))
        endpoints = self._release_deferred(as_of_s) + answer.endpoints
        return AcceptedUpdate(ListKind.DELTA, self._accept_entries(answer.read_s, as_of_s, endpoints))

    def _accept_entries(self, now_s: float, as_of_s: float, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Apply the entries and return them; deferred permissions keep the known status of their host."""
        accepted: list[Endpoint] = []
        restrictions = self.restriction_by_server
        for endpoint in endpoints:
            server, status = endpoint.listed.server, endpoint.listed.status
            if status is ServerStatus.READY and server not in restrictions:  # the common case in a snapshot
                self.status_by_server[server] = status
                accepted.append(endpoint)
                continue
            known = self.status_by_server.get(server)
            if self._may_predate_restriction(server, as_of_s) and _is_less_restrictive(status, known):
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

    def _may_predate_restriction(self, server: int, as_of_s: float) -> bool:
        """Whether a reply that shows the state at `as_of_s` may be older than the host's restriction."""
        restriction = self.restriction_by_server.get(server)
        if restriction is None:
            return False
        return restriction.read_s > as_of_s and restriction.run != self.run

    def _accept_restrictions(self, answer: RelayAnswer) -> list[Endpoint]:
        """Apply and return the entries that restrict a known host further."""
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
        """Drop deferred permissions that newer entries replace, whatever age the reply reports."""
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
    """Whether a status permits more than another; None is an unknown host, which ranks like GONE."""
    return RANK_BY_STATUS[status] > (0 if than is None else RANK_BY_STATUS[than])


def restrict_to_known(status_by_server: dict[int, ServerStatus], endpoints: list[Endpoint]) -> list[Endpoint]:
    """Reduce discovery's list of all hosts to the known hosts if at least half of those that serve still serve.

    Prevents every gateway of the fleet from holding the complete list after all relays have failed.
    """
    known = [endpoint for endpoint in endpoints if endpoint.listed.server in status_by_server]
    still_serving = sum(endpoint.listed.status is ServerStatus.READY for endpoint in known)
    serving = sum(status is ServerStatus.READY for status in status_by_server.values())
    return known if known and 2 * still_serving >= serving else endpoints
