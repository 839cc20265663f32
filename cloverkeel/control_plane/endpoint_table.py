"""The hosts that a relay has cached, the hash rings of each service, and the change log. Pure.

Invariants:
- a new roster takes effect for all subscribers at once (`switch_roster`). The gateway groups that share rings are
  computed before that, incrementally, and a service's rings are reassigned before their next use;
- the change number increases with each batch of host changes and each new roster, and never decreases.

Bounds: MAX_HOSTS hosts, MAX_LOGGED_CHANGES changes in the log, MAX_CHANGED_SERVICES services with the number of their
last change.
"""

from __future__ import annotations

import itertools
from collections import Counter, OrderedDict, defaultdict, deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Final

from cloverkeel.control_plane.counters import CacheCounters
from cloverkeel.control_plane.entry_codec import Host
from cloverkeel.control_plane.fleet_roster import FleetRoster, GroupsByService
from cloverkeel.core.incremental import Incremental
from cloverkeel.control_plane.subsetting import HashRing, ServiceRings, SubsetSizes

MAX_HOSTS: Final = 131_072  # 3.4 times the hosts of the capacity plan
# More than the hosts of a zone in the capacity plan. Subscribers that are further behind get a snapshot.
MAX_LOGGED_CHANGES: Final = 8_192
MAX_CHANGED_SERVICES: Final = 16_384  # including deleted services; 11 times the services of the capacity plan
SERVICES_PER_STEP: Final = 16  # about 1 ms per step

# Key under which subscribers are notified of changes: (service, region) for a gateway that routes to named services,
# (None, region) for a gateway that routes to all services, ALL_HOSTS_KEY for subscribers of the full list.
SubscriptionKey = tuple[str | None, str | None]
ALL_HOSTS_KEY: Final[SubscriptionKey] = (None, None)

HostChange = tuple[str, Host | None]  # a host's name and new state; None if the host was deleted


@dataclass(slots=True)
class RingChanges:
    """The changes to the rings of one service while a list is applied: hosts that leave and join them, by zone."""

    removed_by_zone: dict[str, list[Host]] = field(default_factory=dict)
    added_by_zone: dict[str, list[Host]] = field(default_factory=dict)
    known_hosts_by_zone: Counter[str] = field(default_factory=Counter)  # by how much HashRing.known_hosts changes
    zones: set[str] = field(default_factory=set)

    def remove(self, host: Host) -> None:
        """Record that the previous state of a host no longer applies."""
        self.known_hosts_by_zone[host.zone] -= 1
        self.zones.add(host.zone)
        if host.is_serving:
            self.removed_by_zone.setdefault(host.zone, []).append(host)

    def add(self, host: Host) -> None:
        """Record the new state of a host."""
        self.known_hosts_by_zone[host.zone] += 1
        self.zones.add(host.zone)
        if host.is_serving:
            self.added_by_zone.setdefault(host.zone, []).append(host)


class ChangeLog:
    """The last MAX_LOGGED_CHANGES changes of hosts, in order."""

    __slots__ = ("entries", "floor")

    def __init__(self) -> None:
        self.entries: deque[tuple[int, Host]] = deque()  # change number; new state, or last state if deleted
        self.floor = 0  # the log holds every change after this change number

    def append(self, change_number: int, host: Host) -> None:
        """Log a change. The caller calls `truncate` afterwards."""
        self.entries.append((change_number, host))

    def truncate(self) -> None:
        """Drop the oldest changes beyond MAX_LOGGED_CHANGES."""
        while len(self.entries) > MAX_LOGGED_CHANGES:
            self.floor = self.entries.popleft()[0]

    def newest_since(self, change_number: int) -> dict[str, Host]:
        """Return by name the hosts that changed after this change number, each as logged last."""
        newest: dict[str, Host] = {}
        for number, host in reversed(self.entries):
            if number <= change_number:
                break
            newest.setdefault(host.name, host)
        return newest


class EndpointTable:
    """The hosts as listed by the registry, and for each service the rings that its gateways share."""

    def __init__(self, roster: FleetRoster, sizes: SubsetSizes, counters: CacheCounters) -> None:
        self.roster, self.sizes, self.counters = roster, sizes, counters
        self.host_by_name: dict[str, Host] = {}
        self.rings_by_service: dict[str, ServiceRings] = {}  # read through `rings_of` only
        self.pending_groups: GroupsByService = {}  # services whose rings still follow the previous roster
        self.change_number = 0
        self.change_log = ChangeLog()
        self.change_by_service: OrderedDict[str, int] = OrderedDict()  # last change number of a service, ascending
        self.change_by_service_floor = 0  # `change_by_service` has every service changed after this change number

    def rings_of(self, service: str) -> ServiceRings | None:
        """Return a service's rings as shared under the current roster, or None if the service has no hosts."""
        rings = self.rings_by_service.get(service)
        if rings is not None and service in self.pending_groups:
            rings.regroup(self.pending_groups.pop(service), self.roster)
        return rings

    # Changes of hosts

    def apply_changes(self, changes: Iterable[HostChange]) -> frozenset[SubscriptionKey]:
        """Apply changes of hosts, and return the keys of the subscribers whose responses may change."""
        self.change_number += 1
        changes_by_service = self._replace_hosts(changes)
        self.change_log.truncate()
        keys: set[SubscriptionKey] = {ALL_HOSTS_KEY}
        for service, ring_changes in changes_by_service.items():
            regions = self._update_rings(service, ring_changes)
            keys.update((service, region) for region in regions)
            keys.update((None, region) for region in regions)
            self.change_by_service.pop(service, None)
            self.change_by_service[service] = self.change_number
        while len(self.change_by_service) > MAX_CHANGED_SERVICES:
            self.change_by_service_floor = self.change_by_service.popitem(last=False)[1]
        return frozenset(keys)

    def _replace_hosts(self, changes: Iterable[HostChange]) -> Mapping[str, RingChanges]:
        """Replace the hosts and log the changes; return the resulting ring changes of each service."""
        changes_by_service: defaultdict[str, RingChanges] = defaultdict(RingChanges)
        for name, host in changes:
            previous = self.host_by_name.pop(name, None)
            if previous is not None:
                changes_by_service[previous.service].remove(previous)
            if host is not None:
                self.host_by_name[name] = host
                changes_by_service[host.service].add(host)
            published = host or previous
            if published is not None:
                self.counters.changed_hosts += 1
                self.change_log.append(self.change_number, published)
        return changes_by_service

    def _update_rings(self, service: str, changes: RingChanges) -> set[str]:
        """Update a service's rings, and return the regions whose gateways may be affected."""
        rings = self.rings_of(service)
        if rings is None:
            rings = self.rings_by_service[service] = ServiceRings(service, self.roster, self.sizes)
        zones_before = _zones_by_region(rings)
        for zone in changes.zones:
            self._update_ring(rings, zone, changes)
        has_spillover_changed = rings.assign_rings(self.roster)
        if has_spillover_changed:
            for ring in rings.ring_by_zone.values():
                ring.changed_at = self.change_number
        if not rings.ring_by_zone:
            del self.rings_by_service[service]  # not in `pending_groups`: `rings_of` above removed it
        return {
            region
            for region, zones in _zones_by_region(rings).items()
            if has_spillover_changed or (zones_before.get(region, set()) | zones) & changes.zones
        }

    def _update_ring(self, rings: ServiceRings, zone: str, changes: RingChanges) -> None:
        ring = rings.ring_by_zone.get(zone)
        if ring is None:
            ring = rings.ring_by_zone[zone] = HashRing(zone, self.sizes.min_hosts)
        ring.replace_hosts(changes.removed_by_zone.get(zone, ()), changes.added_by_zone.get(zone, ()))
        ring.known_hosts += changes.known_hosts_by_zone[zone]
        ring.changed_at = self.change_number
        if not ring.known_hosts:
            del rings.ring_by_zone[zone]

    def services_changed_since(self, change_number: int, services: frozenset[str] | None) -> list[str]:
        """Return the services out of `services` (None for all) that changed after `change_number`.

        Iterates over the services or over the changes, whichever is expected to be fewer. `change_number` must be at
        least `change_by_service_floor`.
        """
        if services is not None and len(services) < len(self.change_by_service):
            return [name for name in services if self.change_by_service.get(name, 0) > change_number]
        latest: Iterator[str] = itertools.takewhile(
            lambda name: self.change_by_service[name] > change_number, reversed(self.change_by_service)
        )
        return [name for name in latest if services is None or name in services]

    # Roster replacement

    def prepare_roster(self, roster: FleetRoster) -> Incremental[GroupsByService]:
        """Compute the gateway groups for `switch_roster`.

        Hosts may change between the steps, the current roster may not. The cost is proportional to the difference
        between the rosters: only services of added, removed or moved gateways are grouped.
        """
        changed = yield from self.roster.changed_services(roster)
        groups: GroupsByService = {}
        while missing := [
            name for name in self.rings_by_service if name not in groups and (changed is None or name in changed)
        ]:
            for name in missing:
                groups[name] = yield from roster.group_incrementally(name)
                yield
        return groups

    def switch_roster(self, roster: FleetRoster, groups: GroupsByService) -> None:
        """Make this the current roster; `groups` is the result of `prepare_roster`."""
        self.roster = roster
        self.change_number += 1
        for service, groups_by_region in groups.items():
            if service in self.rings_by_service:
                self.pending_groups[service] = groups_by_region

    def assign_pending_rings(self) -> Incremental[None]:
        """Reassign the rings that were not used since the roster switch; changes no response."""
        for count, name in enumerate(list(self.pending_groups), 1):
            self.rings_of(name)
            if not count % SERVICES_PER_STEP:
                yield


def _zones_by_region(rings: ServiceRings) -> dict[str, set[str]]:
    return {region: {share.ring.zone for share in shares} for region, shares in rings.shares_by_region.items()}
