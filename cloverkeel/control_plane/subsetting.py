"""Selects each gateway's hosts: windows on hash rings of a service's hosts (docs/relay-design.md). Pure.

Deterministic subsetting like that of the SRE book (chapter 20, "Load balancing in the datacenter"): a ring holds the
serving hosts of one service in one zone, in the order of a hash. The N gateways that share a ring are placed on it
evenly: the window of the gateway with rank i begins at floor((i + 1/2) H / N) and has the next k of the H hosts.

Invariants, for each ring and each group of N gateways that share it:
- the number of gateways that use a host differs by at most one between any two hosts and is never 0; while no gateway
  has widened, it is at most max_users(H, (N,), min_hosts);
- the window of a widened gateway begins with its own window (without widening), and the hosts beyond that are sent
  with WIDENED_USERS_FACTOR times as many users. So whichever gateways widen, the shares 1 / `users` of a host add up
  to at most 1 + 8 / WIDENED_USERS_FACTOR: to at most 1 over the gateways whose own window has the host, and there are
  at most 8 times `users` other gateways, as a window is doubled at most three times;
- adding or removing a host adds at most 2 hosts to a window and removes at most 2 from it;
- the ring depends only on the set of hosts, not on the order in which they were added.
ServiceRings assigns rings to groups of gateways. If fewer than SubsetSizes.min_serving hosts serve in a region's own
rings, its gateways also share the rings of the other regions (spillover). A zone that belongs to no region, or whose
region has no gateway that routes to the service, is shared by all gateways that do, so every host has a gateway.

Cost of a change: a bisection and one move inside a list of pointers; the rest of the ring is not touched.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from operator import attrgetter
from typing import Final

from cloverkeel.control_plane.entry_codec import Host
from cloverkeel.control_plane.fleet_roster import ALL_REGIONS, FleetRoster, GatewayGroup, GroupsByRegion

MAX_IN_PLACE_CHANGES: Final = 16  # more changes to one ring at once re-sort the whole ring
USERS_PRECISION_BITS: Final = 4  # significant bits of `users`

_ring_position: Final = attrgetter("ring_position")


@dataclass(slots=True, frozen=True)
class SubsetSizes:
    """The sizes of subsets. All relays of a fleet use the same sizes; small models in tests use smaller ones.

    min_hosts: hosts per window, and gateways per host, if that many exist; allows a few to fail at the same time.
    min_serving: with fewer serving hosts in its region, a gateway also gets the hosts of other regions.
    """

    min_hosts: int = 8
    min_serving: int = 3


DEFAULT_SIZES: Final = SubsetSizes()


def window_size(hosts: int, gateways: int, min_hosts: int) -> int:
    """Return the number of hosts in a window.

    hosts: number of hosts on the ring.
    gateways: number of gateways that share the ring, 1 or more.
    min_hosts: SubsetSizes.min_hosts, doubled for each widening.
    """
    return min(hosts, max(min_hosts, -(-min_hosts * hosts // gateways)))


def window_start(hosts: int, gateways: int, rank: int) -> int:
    """Return the position at which the window of the gateway with this rank begins; `hosts` is 1 or more."""
    return (2 * rank + 1) * hosts // (2 * gateways) % hosts


def max_users(hosts: int, group_sizes: Iterable[int], min_hosts: int) -> int:
    """Return the maximum number of gateways that use a host if groups of these sizes share its ring.

    Adds one gateway per group for a gateway missing from the roster, and rounds up to 4 significant bits (by at most
    an eighth), so that not every change re-sends all hosts of the ring. With hosts >= gateways the result does not
    depend on the number of hosts.
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
    """The serving hosts of a service in a zone, sorted by ring position.

    known_hosts: number of hosts in the zone, including draining hosts.
    """

    __slots__ = ("_all_hosts", "_max_users", "changed_at", "group_sizes", "hosts", "known_hosts", "min_hosts", "zone")

    def __init__(self, zone: str, min_hosts: int) -> None:
        self.zone, self.min_hosts = zone, min_hosts
        self.hosts: list[Host] = []
        self.known_hosts = 0
        self.changed_at = 0  # change number of the last change that may affect a window
        self.group_sizes: tuple[int, ...] = ()  # gateways in each group that shares the ring
        self._max_users = 0  # 0 if not computed
        self._all_hosts: tuple[Host, ...] | None = None  # shared by all windows that cover the whole ring

    def replace_hosts(self, removed: Sequence[Host], added: Sequence[Host]) -> None:
        """Remove hosts, which must be on the ring, and add others."""
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
        """Set the number of gateways in each group that shares the ring."""
        self.group_sizes = sizes
        self._max_users = 0

    def max_users(self) -> int:
        """Return the maximum number of gateways whose own window has the same host."""
        if not self._max_users:
            self._max_users = max_users(len(self.hosts), self.group_sizes, self.min_hosts)
        return self._max_users

    def own_window_size(self, group: GatewayGroup) -> int:
        """Return the number of hosts in a gateway's window without widening."""
        return window_size(len(self.hosts), max(group.size, 1), self.min_hosts)

    def window(self, group: GatewayGroup, gateway: str, widenings: int) -> tuple[Host, ...]:
        """Return a gateway's hosts on this ring; its own window comes first."""
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
    """A ring, and the group of gateways that determines a gateway's rank on it."""

    ring: HashRing
    group: GatewayGroup


class ServiceRings:
    """The rings of one service, and the groups of gateways that share each ring."""

    __slots__ = ("groups", "ring_by_zone", "shares_by_region", "sizes", "spillover_regions")

    def __init__(self, service: str, roster: FleetRoster, sizes: SubsetSizes) -> None:
        self.sizes = sizes
        self.groups: GroupsByRegion = roster.groups(service)
        self.ring_by_zone: dict[str, HashRing] = {}
        self.shares_by_region: dict[str, tuple[RingShare, ...]] = {}  # the rings for gateways of a region
        self.spillover_regions: frozenset[str] = frozenset()  # regions whose gateways also get other regions' hosts

    def regroup(self, groups: GroupsByRegion, roster: FleetRoster) -> None:
        """Reassign the rings for a new roster; `groups` are those of this service."""
        self.groups = groups
        self.assign_rings(roster)

    def assign_rings(self, roster: FleetRoster) -> bool:
        """Assign the rings to groups of gateways; called after any change of the rings or the roster.

        Returns whether the set of spillover regions changed.
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
        """Return the region whose gateways share a zone's ring; ALL_REGIONS if it has no gateways or is unknown."""
        region = roster.region_by_zone.get(zone, ALL_REGIONS)
        return region if self.groups[region].size else ALL_REGIONS

    def _shares_of(
        self, region: str, rings: Iterable[HashRing], owner_by_zone: dict[str, str]
    ) -> tuple[RingShare, ...]:
        all_gateways = self.groups[ALL_REGIONS]
        regional = self.groups[region] if self.groups[region].size else all_gateways
        return tuple(
            RingShare(ring, all_gateways if owner_by_zone[ring.zone] == ALL_REGIONS else regional) for ring in rings
        )
