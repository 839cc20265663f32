"""Responses for gateways in the roster: a snapshot of a gateway's subset, or a delta since a response. Pure.

Invariants:
- after a response, a gateway holds its subset of the hosts that are in the table, plus the hosts sent to it earlier
  that are now draining (as DRAINING, until they are deleted or the gateway no longer shares their ring). This holds
  whichever responses were lost: a delta is computed from the response that `from` names and from no other;
- a response lists the most restrictive entries first: DELETED, DRAINING, then SERVING; each host appears once, in
  its newest state.

Bounds: two client snapshots per gateway in the roster (the snapshot that the gateway may hold, and the snapshot being
sent to it). Memory with the capacity plan's fleet (38,000 hosts, 27 services per gateway, two snapshots): 583 bytes
per host, about 240 more once its entry has been encoded, and 52 KB per gateway. That is 31 MB for the hosts and 20 MB
for a twelfth of the gateways; 240 MB for all gateways at one relay.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from cloverkeel.control_plane.counters import CacheCounters
from cloverkeel.control_plane.endpoint_table import SERVICES_PER_STEP, EndpointTable
from cloverkeel.control_plane.entry_codec import Host
from cloverkeel.core.incremental import Incremental
from cloverkeel.control_plane.messages import ListResponse
from cloverkeel.control_plane.response_indexes import ResponseIndexes
from cloverkeel.control_plane.subscriptions import Subscription


@dataclass(slots=True, frozen=True)
class SubsetWindow:
    """The part of one ring that a gateway was sent.

    changed_at: HashRing.changed_at of the ring when the window was computed.
    max_users: HashRing.max_users() of the ring at that time.
    own_hosts: number of leading `hosts` that form the gateway's own window; the remaining hosts were added by
        widening.
    """

    changed_at: int
    max_users: int
    own_hosts: int
    hosts: tuple[Host, ...]

    def entry(self, position: int) -> bytes:
        """Encode the entry of the host at this position, as sent to the gateway."""
        return self.hosts[position].subset_entry(self.max_users, position < self.own_hosts)


WindowByZone = dict[str, SubsetWindow]
WindowsByService = dict[str, WindowByZone]


@dataclass(slots=True)
class ClientSnapshot:
    """The state of a gateway after one response.

    draining_by_name: hosts that were sent to the gateway while serving, and are draining now.
    """

    change_number: int
    subscription: Subscription
    windows_by_service: WindowsByService
    draining_by_name: dict[str, Host]


@dataclass(slots=True)
class SubsetChanges:
    """The difference between two states of a gateway's subset."""

    windows_by_service: WindowsByService  # the later state
    removed_by_name: dict[str, Host] = field(default_factory=dict)
    added_entry_by_name: dict[str, bytes] = field(default_factory=dict)

    def replace_windows(self, service: str, before: WindowByZone, after: WindowByZone) -> None:
        """Replace a service's windows, and record the hosts that were added, changed or removed."""
        if after:
            self.windows_by_service[service] = after
        else:
            self.windows_by_service.pop(service, None)
        for zone in before.keys() | after.keys():
            self._compare_windows(before.get(zone), after.get(zone))

    def _compare_windows(self, before: SubsetWindow | None, after: SubsetWindow | None) -> None:
        if before is after:
            return
        previous: dict[str, Host] = {}
        previous_own: set[str] = set()
        if before is not None:
            previous = {host.name: host for host in before.hosts}
            previous_own.update(host.name for host in before.hosts[: before.own_hosts])
        if after is not None:
            has_same_users = before is not None and before.max_users == after.max_users
            for position, host in enumerate(after.hosts):
                is_unchanged = previous.pop(host.name, None) is host and has_same_users
                if not is_unchanged or (position < after.own_hosts) != (host.name in previous_own):
                    self.added_entry_by_name[host.name] = after.entry(position)
        self.removed_by_name.update(previous)


@dataclass(slots=True)
class DepartedHosts:
    """Hosts that are no longer in a gateway's windows. Entries are paired with the host's name for sorting."""

    draining_by_name: dict[str, Host]  # hosts that the gateway keeps as DRAINING
    draining_entries: list[tuple[str, bytes]] = field(default_factory=list)  # new or changed since the base snapshot
    deleted_entries: list[tuple[str, bytes]] = field(default_factory=list)


class SubsetResponses:
    """Builds the responses for gateways in the roster, and keeps the client snapshots that deltas are based on."""

    def __init__(self, table: EndpointTable, indexes: ResponseIndexes, counters: CacheCounters) -> None:
        self.table, self.indexes, self.counters = table, indexes, counters
        self.snapshots_by_gateway: dict[str, dict[int, ClientSnapshot]] = {}  # then by response index

    def is_known(self, gateway: str, index: int) -> bool:
        """Return whether the index is that of a kept client snapshot of this gateway."""
        return index in self.snapshots_by_gateway.get(gateway, {})

    def is_up_to_date(self, subscription: Subscription, index: int) -> bool:
        """Return whether nothing has changed since this response, without comparing subsets.

        False means that there may be changes.
        """
        snapshot = self.snapshots_by_gateway.get(subscription.gateway, {}).get(index)
        if snapshot is None or snapshot.change_number != self.table.change_number:
            return False
        return snapshot.subscription == subscription

    def snapshot(self, subscription: Subscription) -> ListResponse:
        """Return a response with all hosts of a gateway's subset."""
        services = self.table.rings_by_service if subscription.services is None else subscription.services
        windows_by_service: WindowsByService = {}
        for service in sorted(services):
            windows = self._windows_of(service, subscription, {})
            if windows:
                windows_by_service[service] = windows
        entries = tuple(
            window.entry(position)
            for windows in windows_by_service.values()
            for window in windows.values()
            for position in range(len(window.hosts))
        )
        self.counters.snapshots += 1
        known = self.snapshots_by_gateway.get(subscription.gateway, {})
        last = max(known, default=None)
        kept = {} if last is None else {last: known[last]}
        snapshot = ClientSnapshot(self.table.change_number, subscription, windows_by_service, {})
        return ListResponse(self._keep(snapshot, kept), True, entries)

    def delta(self, subscription: Subscription, index: int) -> ListResponse | None:
        """Return the changes of a gateway's subset since a known response, or None if there are none."""
        base = self.snapshots_by_gateway[subscription.gateway][index]
        is_same_subscription = base.subscription == subscription
        if is_same_subscription and base.change_number == self.table.change_number:
            return None
        services = self._services_to_compare(base, subscription, is_same_subscription)
        changes = self._compare_subsets(base, subscription, is_same_subscription, services)
        departed = self._departed_hosts(base, frozenset(services), changes)
        windows, draining = changes.windows_by_service, departed.draining_by_name
        snapshot = ClientSnapshot(self.table.change_number, subscription, windows, draining)
        entries = _in_order_of_restriction(departed, changes)
        if not entries:
            self.snapshots_by_gateway[subscription.gateway][index] = snapshot
            return None
        self.counters.deltas += 1
        return ListResponse(self._keep(snapshot, {index: base}), False, entries)

    def forget_unknown_gateways(self) -> Incremental[None]:
        """Discard the client snapshots of gateways that are no longer in the roster."""
        known = self.table.roster.placement_by_gateway
        forgotten = [name for name in self.snapshots_by_gateway if name not in known]
        for count, name in enumerate(forgotten, 1):
            self.snapshots_by_gateway.pop(name, None)
            if not count % SERVICES_PER_STEP:
                yield

    def _keep(self, snapshot: ClientSnapshot, kept: dict[int, ClientSnapshot]) -> int:
        """Store the client snapshot of a new response beside those in `kept`, and return the response's index."""
        index = self.indexes.next()
        self.snapshots_by_gateway[snapshot.subscription.gateway] = kept | {index: snapshot}
        return index

    def _windows_of(self, service: str, subscription: Subscription, before: WindowByZone) -> WindowByZone:
        """Return a gateway's windows on a service's rings, by zone.

        before: earlier windows for an equal subscription; those of unchanged rings are reused.
        """
        rings = self.table.rings_of(service)
        windows: WindowByZone = {}
        for share in rings.shares_by_region[subscription.region] if rings is not None else ():
            ring, group = share.ring, share.group
            previous = before.get(ring.zone)
            if previous is not None and previous.changed_at == ring.changed_at:
                windows[ring.zone] = previous
            else:
                hosts = ring.window(group, subscription.gateway, subscription.widenings)
                own_hosts = ring.own_window_size(group)
                windows[ring.zone] = SubsetWindow(ring.changed_at, ring.max_users(), own_hosts, hosts)
        return windows

    def _services_to_compare(
        self, base: ClientSnapshot, subscription: Subscription, is_same_subscription: bool
    ) -> Collection[str]:
        """Return the services in which the subset may differ from the base."""
        if is_same_subscription and base.change_number >= self.table.change_by_service_floor:
            return self.table.services_changed_since(base.change_number, subscription.services)
        services = self.table.rings_by_service.keys() if subscription.services is None else subscription.services
        draining = {host.service for host in base.draining_by_name.values()}
        return draining | base.windows_by_service.keys() | services

    def _compare_subsets(
        self, base: ClientSnapshot, subscription: Subscription, is_same_subscription: bool, services: Collection[str]
    ) -> SubsetChanges:
        changes = SubsetChanges(dict(base.windows_by_service))
        for service in services:
            before = base.windows_by_service.get(service, {})
            after: WindowByZone = {}
            if subscription.has_service(service):
                after = self._windows_of(service, subscription, before if is_same_subscription else {})
            changes.replace_windows(service, before, after)
        return changes

    def _departed_hosts(
        self, base: ClientSnapshot, services: frozenset[str], changes: SubsetChanges
    ) -> DepartedHosts:
        """Classify the hosts that left the windows of these services, now or before, as draining or deleted.

        A host is kept as draining if it drains in a ring that the gateway still shares; otherwise it is deleted.
        """
        departed = DepartedHosts({})
        candidates = dict(changes.removed_by_name)
        for name, host in base.draining_by_name.items():
            (candidates if host.service in services else departed.draining_by_name)[name] = host
        for name, host in candidates.items():
            if name in changes.added_entry_by_name:
                continue
            now = self.table.host_by_name.get(name)
            if now is None or now.is_serving or now.zone not in changes.windows_by_service.get(now.service, {}):
                departed.deleted_entries.append((name, host.deleted_entry()))
            else:
                departed.draining_by_name[name] = now
                if base.draining_by_name.get(name) is not now:
                    departed.draining_entries.append((name, now.plain_entry()))
        return departed


def _in_order_of_restriction(departed: DepartedHosts, changes: SubsetChanges) -> tuple[bytes, ...]:
    """Return the entries of a delta, the most restrictive first."""
    deleted, draining, added = departed.deleted_entries, departed.draining_entries, changes.added_entry_by_name
    ordered = (*sorted(deleted), *sorted(draining), *sorted(added.items()))
    return tuple(entry for _, entry in ordered)
