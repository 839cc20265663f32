"""Which hosts a gateway has: windows on hash rings of a service's hosts (docs/relay-design.md). Pure.

A deterministic subsetting like that of the SRE book (chapter 20, "Load balancing in the datacenter"): a ring has
the hosts of one service in one zone that serve, in the order of a hash. N gateways that share it stand on the same
ring, evenly: number i begins at floor((i + 1/2) H / N) and has the next k of its H hosts.

Invariants, for each ring and each group of N gateways on it:
- how many gateways have a host differs by at most one between any two hosts, and is never none; where none has
  widened, it is at most max_users(H, (N,), min_hosts);
- the window of a gateway that has widened begins with its own, that of no widening, and what is beyond that is sent
  with WIDENED_USERS_FACTOR times as many users. So whoever widens, the shares 1 / `users` of a host add up to
  1 + 8 / WIDENED_USERS_FACTOR at the most: of its own, to 1; of the others there are at most 8 times as many as
  `users`, as a window is doubled three times;
- one host more or less brings at most 2 hosts into a window and takes at most 2 out of it;
- the ring is the same for the same hosts, in whatever order they came.
ServiceRings says who shares which ring. Where fewer than SubsetSizes.min_serving hosts of a region's own rings
serve, its gateways share those of the other regions too. A zone that no region has, or whose region has no gateway
before the service, is shared by all gateways before it: no host is left without one.

Cost of a change: bisect and one move inside a list of pointers; the rest of a ring is left as it is.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from operator import attrgetter
from typing import Final

from cloverkeel.control_plane.entry_codec import Host
from cloverkeel.control_plane.fleet_roster import ALL_REGIONS, FleetRoster, GatewayGroup, GroupsByRegion

MAX_IN_PLACE_CHANGES: Final = 16  # of one ring at once that are made one by one; with more it is sorted anew
USERS_PRECISION_BITS: Final = 4  # of what is sent as `users`

_ring_position: Final = attrgetter("ring_position")


@dataclass(slots=True, frozen=True)
class SubsetSizes:
    """How large subsets are. All relays of a fleet have these; a small model has smaller ones.

    min_hosts: hosts in a window, and gateways at a host, where there are so many: a few may fail at once.
    min_serving: hosts that serve in a gateway's region, before it has those of the others too.
    """

    min_hosts: int = 8
    min_serving: int = 3


DEFAULT_SIZES: Final = SubsetSizes()


def window_size(hosts: int, gateways: int, min_hosts: int) -> int:
    """Return how many hosts a window has, of `hosts` on the ring that `gateways` (1 or more) share.

    min_hosts: SubsetSizes.min_hosts, doubled for each widening.
    """
    return min(hosts, max(min_hosts, -(-min_hosts * hosts // gateways)))


def window_start(hosts: int, gateways: int, rank: int) -> int:
    """Return where the window of the gateway of this rank begins, of `hosts` (1 or more)."""
    return (2 * rank + 1) * hosts // (2 * gateways) % hosts


def max_users(hosts: int, group_sizes: Iterable[int], min_hosts: int) -> int:
    """Return how many gateways have a host at the most, where groups of these sizes share its ring.

    One more than the windows make, for one that the roster lacks, and rounded up to four binary digits (by an
    eighth at the most): so that a ring does not send its hosts anew at each change. Where hosts >= gateways it is
    the same for all of them.
    """
    users = 0
    for size in group_sizes:
        if window_size(hosts, max(size, 1), min_hosts) >= hosts:
            users += size
        else:
            users += min(size, min_hosts + 2 if size <= hosts else -(-min_hosts * size // hosts) + 1)
    step = 1 << max(0, users.bit_length() - USERS_PRECISION_BITS)
    return max(1, users + -users % step)


class HashRing:
    """The hosts of a service in a zone that serve, in order. `known_hosts` counts those that don't serve too."""

    __slots__ = ("_all_hosts", "_max_users", "changed_at", "group_sizes", "hosts", "known_hosts", "min_hosts", "zone")

    def __init__(self, zone: str, min_hosts: int) -> None:
        self.zone, self.min_hosts = zone, min_hosts
        self.hosts: list[Host] = []
        self.known_hosts = 0
        self.changed_at = 0  # the number of the last change that windows here may have to do with
        self.group_sizes: tuple[int, ...] = ()  # of those that share it
        self._max_users = 0  # 0: to be computed
        self._all_hosts: tuple[Host, ...] | None = None  # shared by all whose window is the ring

    def replace_hosts(self, removed: Sequence[Host], added: Sequence[Host]) -> None:
        """Take out some of its hosts (they are there), and put in others."""
        self._all_hosts = None
        if len(removed) + len(added) > MAX_IN_PLACE_CHANGES:
            leaving = set(removed)
            self.hosts = [host for host in self.hosts if host not in leaving]
            self.hosts.extend(added)
            self.hosts.sort(key=_ring_position)
            return
        for host in removed:
            del self.hosts[bisect_left(self.hosts, host.ring_position, key=_ring_position)]
        for host in added:
            self.hosts.insert(bisect_left(self.hosts, host.ring_position, key=_ring_position), host)

    def set_group_sizes(self, sizes: tuple[int, ...]) -> None:
        """Say how many gateways share it, group by group."""
        self.group_sizes = sizes
        self._max_users = 0

    def max_users(self) -> int:
        """Return how many gateways have one of its hosts in their own windows, at the most."""
        if not self._max_users:
            self._max_users = max_users(len(self.hosts), self.group_sizes, self.min_hosts)
        return self._max_users

    def own_window_size(self, group: GatewayGroup) -> int:
        """Return how many hosts the window of a gateway has that has not widened."""
        return window_size(len(self.hosts), max(group.size, 1), self.min_hosts)

    def window(self, group: GatewayGroup, gateway: str, widenings: int) -> tuple[Host, ...]:
        """Return a gateway's hosts of this ring, those of its own window first."""
        hosts = self.hosts
        count, gateways = len(hosts), max(group.size, 1)
        if self.own_window_size(group) >= count:
            if self._all_hosts is None:
                self._all_hosts = tuple(hosts)
            return self._all_hosts
        begin = window_start(count, gateways, group.rank(gateway))
        end = begin + window_size(count, gateways, self.min_hosts << widenings)
        return tuple(hosts[begin:end]) if end <= count else (*hosts[begin:], *hosts[: end - count])


@dataclass(slots=True, frozen=True)
class RingShare:
    """A ring, and the group of gateways as one of which a gateway shares it."""

    ring: HashRing
    group: GatewayGroup


class ServiceRings:
    """The rings of one service, and who shares which."""

    __slots__ = ("groups", "ring_by_zone", "shares_by_region", "sizes", "spillover_regions")

    def __init__(self, service: str, roster: FleetRoster, sizes: SubsetSizes) -> None:
        self.sizes = sizes
        self.groups: GroupsByRegion = roster.groups(service)
        self.ring_by_zone: dict[str, HashRing] = {}
        self.shares_by_region: dict[str, tuple[RingShare, ...]] = {}  # of the gateways of a region
        self.spillover_regions: frozenset[str] = frozenset()  # whose gateways have other regions' hosts too

    def regroup(self, groups: GroupsByRegion, roster: FleetRoster) -> None:
        """Share the rings by another roster."""
        self.groups = groups
        self.assign_rings(roster)

    def assign_rings(self, roster: FleetRoster) -> bool:
        """Work out who shares the rings, after any change of them.

        Returns whether other regions than before share them.
        """
        owner_by_zone = {zone: self._owner_of_zone(zone, roster) for zone in self.ring_by_zone}
        rings = [self.ring_by_zone[zone] for zone in sorted(self.ring_by_zone)]
        spillover = set()
        self.shares_by_region = {}
        for region in roster.zones_by_region:
            shared = [ring for ring in rings if owner_by_zone[ring.zone] in (ALL_REGIONS, region)]
            if sum(len(ring.hosts) for ring in shared) < self.sizes.min_serving:
                spillover.add(region)
                shared = rings
            self.shares_by_region[region] = self._shares_of(region, shared, owner_by_zone)
        for ring in rings:
            owner = owner_by_zone[ring.zone]
            others = [region for region in spillover if region != owner] if owner != ALL_REGIONS else []
            ring.set_group_sizes(tuple(self.groups[region].size for region in (owner, *sorted(others))))
        before, self.spillover_regions = self.spillover_regions, frozenset(spillover)
        return before != self.spillover_regions

    def _owner_of_zone(self, zone: str, roster: FleetRoster) -> str:
        """Return the region whose gateways share a zone's ring; ALL_REGIONS where it has none of them."""
        region = roster.region_by_zone.get(zone, ALL_REGIONS)
        return region if self.groups[region].size else ALL_REGIONS

    def _shares_of(
        self, region: str, rings: Iterable[HashRing], owner_by_zone: dict[str, str]
    ) -> tuple[RingShare, ...]:
        everyone = self.groups[ALL_REGIONS]
        regional = self.groups[region] if self.groups[region].size else everyone
        return tuple(
            RingShare(ring, everyone if owner_by_zone[ring.zone] == ALL_REGIONS else regional) for ring in rings
        )
