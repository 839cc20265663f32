"""The hosts that a relay knows, the rings of each service, and the log of their changes. Pure.

Invariants:
- another roster counts for all subscribers from one moment on (`switch_roster`). What it takes to know who shares
  which ring is worked out before, incrementally, and each service's rings are assigned by it before anybody reads
  them;
- the change number grows with each change of a host or of the roster, and never goes back.

Bounds: hosts MAX_HOSTS; the last MAX_LOGGED_CHANGES changes; MAX_CHANGED_SERVICES services by their last change.
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

MAX_HOSTS: Final = 131_072  # 3.4 times the plan's
MAX_LOGGED_CHANGES: Final = 8_192  # more than a zone of the plan has hosts. Who is further behind gets a snapshot
MAX_CHANGED_SERVICES: Final = 16_384  # also such as are gone; 11 times the plan's
SERVICES_PER_STEP: Final = 16  # some 1 ms

# What a subscriber is found by when something changes: (service, region) for a gateway that routes to named services,
# (None, region) for one that routes to all, ALL_HOSTS_KEY for who gets the full list.
SubscriptionKey = tuple[str | None, str | None]
ALL_HOSTS_KEY: Final[SubscriptionKey] = (None, None)

HostChange = tuple[str, Host | None]  # a host's name, and the host; None: it is gone


@dataclass(slots=True)
class RingChanges:
    """Of one service, while changes are applied: hosts that leave its rings and hosts that join them, by zone."""

    removed_by_zone: dict[str, list[Host]] = field(default_factory=dict)
    added_by_zone: dict[str, list[Host]] = field(default_factory=dict)
    known_hosts_by_zone: Counter[str] = field(default_factory=Counter)  # more or fewer
    zones: set[str] = field(default_factory=set)

    def remove(self, host: Host) -> None:
        """Note that a host is no longer as it was."""
        self.known_hosts_by_zone[host.zone] -= 1
        self.zones.add(host.zone)
        if host.is_serving:
            self.removed_by_zone.setdefault(host.zone, []).append(host)

    def add(self, host: Host) -> None:
        """Note that a host is as this says now."""
        self.known_hosts_by_zone[host.zone] += 1
        self.zones.add(host.zone)
        if host.is_serving:
            self.added_by_zone.setdefault(host.zone, []).append(host)


class ChangeLog:
    """The last MAX_LOGGED_CHANGES changes of hosts, in order."""

    __slots__ = ("entries", "floor")

    def __init__(self) -> None:
        self.entries: deque[tuple[int, Host]] = deque()  # number of the change, the host as it was published last
        self.floor = 0  # changes after this are all in the log

    def append(self, change_number: int, host: Host) -> None:
        """Log a change; `truncate` is to follow."""
        self.entries.append((change_number, host))

    def truncate(self) -> None:
        """Forget the oldest changes beyond the bound."""
        while len(self.entries) > MAX_LOGGED_CHANGES:
            self.floor = self.entries.popleft()[0]

    def newest_since(self, change_number: int) -> dict[str, Host]:
        """Return by name each host that was changed since, as it was published last."""
        newest: dict[str, Host] = {}
        for number, host in reversed(self.entries):
            if number <= change_number:
                break
            newest.setdefault(host.name, host)
        return newest


class EndpointTable:
    """The hosts as discovery has them, and for each service the rings that its gateways share."""

    def __init__(self, roster: FleetRoster, sizes: SubsetSizes, counters: CacheCounters) -> None:
        self.roster, self.sizes, self.counters = roster, sizes, counters
        self.host_by_name: dict[str, Host] = {}
        self.rings_by_service: dict[str, ServiceRings] = {}  # to be read by `rings_of` alone
        self.pending_groups: GroupsByService = {}  # of services whose rings are not yet assigned by the roster
        self.change_number = 0
        self.change_log = ChangeLog()
        self.change_by_service: OrderedDict[str, int] = OrderedDict()  # number of its last change, in their order
        self.change_by_service_floor = 0  # services changed since this are all in `change_by_service`

    def rings_of(self, service: str) -> ServiceRings | None:
        """Return a service's rings as they are by the roster that is in force."""
        rings = self.rings_by_service.get(service)
        if rings is not None and service in self.pending_groups:
            rings.regroup(self.pending_groups.pop(service), self.roster)
        return rings

    # Changes of hosts

    def apply_changes(self, changes: Iterable[HostChange]) -> frozenset[SubscriptionKey]:
        """Apply changes of hosts, and return the keys of the subscribers that they may matter to."""
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
        """Change and log the hosts, and return what that means for the rings of each service."""
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
        """Change a service's rings, and return the regions whose gateways it may matter to."""
        rings = self.rings_of(service)
        if rings is None:
            rings = self.rings_by_service[service] = ServiceRings(service, self.roster, self.sizes)
        zones_before = _zones_by_region(rings)
        for zone in changes.zones:
            self._update_ring(rings, zone, changes)
        is_shared_by_others = rings.assign_rings(self.roster)
        if is_shared_by_others:
            for ring in rings.ring_by_zone.values():
                ring.changed_at = self.change_number
        if not rings.ring_by_zone:
            del self.rings_by_service[service]  # it is not in `pending_groups`: it has just been read
        return {
            region
            for region, zones in _zones_by_region(rings).items()
            if is_shared_by_others or (zones_before.get(region, set()) | zones) & changes.zones
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
        """Return those of these services (None: of all) that were changed since.

        Costs what is fewer, the services or the changes. `change_number` is at least `change_by_service_floor`.
        """
        if services is not None and len(services) < len(self.change_by_service):
            return [name for name in services if self.change_by_service.get(name, 0) > change_number]
        latest: Iterator[str] = itertools.takewhile(
            lambda name: self.change_by_service[name] > change_number, reversed(self.change_by_service)
        )
        return [name for name in latest if services is None or name in services]

    # Another roster

    def prepare_roster(self, roster: FleetRoster) -> Incremental[GroupsByService]:
        """Work out what `switch_roster` is to be called with when this ends.

        Hosts may change between its steps, the roster may not. Costs what the other roster changes: the services of
        gateways that are new, gone or elsewhere.
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
        """Use another roster from now on; `groups`: what `prepare_roster` has made of it."""
        self.roster = roster
        self.change_number += 1
        for service, groups_by_region in groups.items():
            if service in self.rings_by_service:
                self.pending_groups[service] = groups_by_region

    def assign_pending_rings(self) -> Incremental[None]:
        """Assign the rings that nobody has read since the roster was switched. It changes no response."""
        for count, name in enumerate(list(self.pending_groups), 1):
            self.rings_of(name)
            if not count % SERVICES_PER_STEP:
                yield


def _zones_by_region(rings: ServiceRings) -> dict[str, set[str]]:
    return {region: {share.ring.zone for share in shares} for region, shares in rings.shares_by_region.items()}
