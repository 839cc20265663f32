"""Responses for the gateways of the roster: each one's subset, and its changes since an earlier response. Pure.

Invariants:
- what a gateway holds after a response is its subset of the hosts that are in the table now, and of hosts that it
  had, those that drain (as DRAINING, until they are gone or it no longer shares their ring). So it is whichever
  responses were lost: a delta is made from the very response that `from` names, and from no other;
- a response says what restricts first: DELETED, DRAINING, then what serves; of each host only its newest state.

Bounds: of each gateway in the roster the last two client snapshots (the one that it may hold, and the one that it
is sent). Bytes, measured with the plan's shape (38,000 hosts, gateways before 27 services each, two snapshots): 583
a host and some 240 more once it is sent, 52 KB a gateway. So 31 MB for the plan's hosts and 20 MB for a twelfth of
its gateways; 240 MB for all of them at one relay.
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
    """What a gateway has of one ring.

    changed_at: number of the ring's last change that it has.
    max_users: of a host of its own window.
    own_hosts: so many of `hosts` are its own window, which come first; the others are there as it has widened.
    """

    changed_at: int
    max_users: int
    own_hosts: int
    hosts: tuple[Host, ...]

    def entry(self, position: int) -> bytes:
        """Return the entry of the host at this position, as the gateway is sent it."""
        return self.hosts[position].subset_entry(self.max_users, position < self.own_hosts)


WindowByZone = dict[str, SubsetWindow]
WindowsByService = dict[str, WindowByZone]


@dataclass(slots=True)
class ClientSnapshot:
    """What a gateway holds after one response. `draining_by_name`: hosts that it had when they served."""

    change_number: int
    subscription: Subscription
    windows_by_service: WindowsByService
    draining_by_name: dict[str, Host]


@dataclass(slots=True)
class SubsetChanges:
    """What differs between two states of a gateway's subset."""

    windows_by_service: WindowsByService  # as they are after it
    removed_by_name: dict[str, Host] = field(default_factory=dict)
    added_entry_by_name: dict[str, bytes] = field(default_factory=dict)

    def replace_windows(self, service: str, before: WindowByZone, after: WindowByZone) -> None:
        """Put a service's windows in the place of those before."""
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
    """Hosts that are no longer in a gateway's windows. Entries are with the hosts' names, to be sorted by them."""

    draining_by_name: dict[str, Host]  # that it keeps
    draining_entries: list[tuple[str, bytes]] = field(default_factory=list)  # of those that did not drain before
    deleted_entries: list[tuple[str, bytes]] = field(default_factory=list)


class SubsetResponses:
    """Makes these responses, and keeps what the gateways hold after them."""

    def __init__(self, table: EndpointTable, indexes: ResponseIndexes, counters: CacheCounters) -> None:
        self.table, self.indexes, self.counters = table, indexes, counters
        self.snapshots_by_gateway: dict[str, dict[int, ClientSnapshot]] = {}  # and by index

    def is_known(self, gateway: str, index: int) -> bool:
        """Return whether this is a response to this gateway that it may hold."""
        return index in self.snapshots_by_gateway.get(gateway, {})

    def is_up_to_date(self, subscription: Subscription, index: int) -> bool:
        """Return whether there is surely nothing new after this response; costs next to nothing."""
        snapshot = self.snapshots_by_gateway.get(subscription.gateway, {}).get(index)
        if snapshot is None or snapshot.change_number != self.table.change_number:
            return False
        return snapshot.subscription == subscription

    def snapshot(self, subscription: Subscription) -> ListResponse:
        """Return all hosts of a gateway's subset."""
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
        """Return the changes of a gateway's subset since a response that is known; None: there are none."""
        base = self.snapshots_by_gateway[subscription.gateway][index]
        is_same = base.subscription == subscription
        if is_same and base.change_number == self.table.change_number:
            return None
        services = self._services_to_compare(base, subscription, is_same)
        changes = self._compare_subsets(base, subscription, is_same, services)
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
        """Forget what gateways hold that the roster no longer has."""
        known = self.table.roster.placement_by_gateway
        forgotten = [name for name in self.snapshots_by_gateway if name not in known]
        for count, name in enumerate(forgotten, 1):
            self.snapshots_by_gateway.pop(name, None)
            if not count % SERVICES_PER_STEP:
                yield

    def _keep(self, snapshot: ClientSnapshot, kept: dict[int, ClientSnapshot]) -> int:
        """Keep what a gateway is sent now beside what it may hold, and return the index of the response."""
        index = self.indexes.next()
        self.snapshots_by_gateway[snapshot.subscription.gateway] = kept | {index: snapshot}
        return index

    def _windows_of(self, service: str, subscription: Subscription, before: WindowByZone) -> WindowByZone:
        """Return what a gateway has of a service; `before`: made for an equal subscription."""
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
        self, base: ClientSnapshot, subscription: Subscription, is_same: bool
    ) -> Collection[str]:
        """Return the services in which the subset may be another than in the base."""
        if is_same and base.change_number >= self.table.change_by_service_floor:
            return self.table.services_changed_since(base.change_number, subscription.services)
        services = self.table.rings_by_service.keys() if subscription.services is None else subscription.services
        draining = {host.service for host in base.draining_by_name.values()}
        return draining | base.windows_by_service.keys() | services

    def _compare_subsets(
        self, base: ClientSnapshot, subscription: Subscription, is_same: bool, services: Collection[str]
    ) -> SubsetChanges:
        changes = SubsetChanges(dict(base.windows_by_service))
        for service in services:
            before = base.windows_by_service.get(service, {})
            after: WindowByZone = {}
            if subscription.has_service(service):
                after = self._windows_of(service, subscription, before if is_same else {})
            changes.replace_windows(service, before, after)
        return changes

    def _departed_hosts(
        self, base: ClientSnapshot, services: frozenset[str], changes: SubsetChanges
    ) -> DepartedHosts:
        """Decide of the hosts that left the windows of these services, or had left before, which ones it keeps.

        Those that drain in a ring that it still has; the others are deleted.
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
    """Return the entries of a delta, what restricts first."""
    deleted, draining, added = departed.deleted_entries, departed.draining_entries, changes.added_entry_by_name
    ordered = (*sorted(deleted), *sorted(draining), *sorted(added.items()))
    return tuple(entry for _, entry in ordered)
