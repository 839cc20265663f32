"""The gateways of a fleet, as all its relays know them from one file: where each is, and which services it routes to.

Pure. Invariants: a roster never changes (another file makes another one), the same text makes the same ranks and
digest at every relay, and its size is bounded by the constants of roster_parser.py. A rank among N gateways is one
of 0 to N: N for a name that is not in the list and hashes behind all that are.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from cloverkeel.core.incremental import Incremental, run_to_completion
from cloverkeel.core.config import stable_id

ALL_REGIONS: Final = ""  # the key of the group of all gateways, whatever their region
GATEWAYS_PER_STEP: Final = 512  # some 2 ms each on a busy machine
HASH_BYTES: Final = 8


@dataclass(slots=True, frozen=True)
class GatewayPlacement:
    """Where one gateway is. `services` None: it routes to all of them."""

    zone: str
    region: str
    services: frozenset[str] | None


@dataclass(slots=True, frozen=True)
class GatewayGroup:
    """The gateways that share the hosts of one service in a zone, in the order of their hashes."""

    service: str
    hashes: Sequence[int]

    @property
    def size(self) -> int:
        """Number of gateways."""
        return len(self.hashes)

    def rank(self, gateway: str) -> int:
        """Return the rank of a gateway among them, 0 to `size`; also of one that is none of them."""
        return bisect_left(self.hashes, gateway_hash(self.service, gateway))


GroupsByRegion = dict[str, GatewayGroup]
GroupsByService = dict[str, GroupsByRegion]


def gateway_hash(service: str, gateway: str) -> int:
    """Return the hash by which a service's gateways are ordered."""
    return stable_id(f"{service}\0{gateway}", HASH_BYTES)


@dataclass(slots=True, frozen=True, eq=False)
class FleetRoster:
    """The regions and gateways of a fleet.

    digest: 16 hexadecimal digits, the same for all rosters that say the same.
    """

    zones_by_region: Mapping[str, tuple[str, ...]]
    placement_by_gateway: Mapping[str, GatewayPlacement]
    digest: str
    region_by_zone: Mapping[str, str] = field(default_factory=dict)
    gateways_by_service: Mapping[str, tuple[str, ...]] = field(default_factory=dict)  # those that name it
    gateways_of_all_services: tuple[str, ...] = ()

    def gateways_of(self, service: str) -> Iterable[str]:
        """Yield all gateways that route to this service."""
        yield from self.gateways_of_all_services
        yield from self.gateways_by_service.get(service, ())

    def groups(self, service: str) -> GroupsByRegion:
        """Return what `group_incrementally` makes."""
        return run_to_completion(self.group_incrementally(service))

    def group_incrementally(self, service: str) -> Incremental[GroupsByRegion]:
        """Group a service's gateways by region; ALL_REGIONS for all. Costs a hash for each of them: to be kept."""
        hashes_by_region: dict[str, list[int]] = {region: [] for region in (ALL_REGIONS, *self.zones_by_region)}
        for count, gateway in enumerate(self.gateways_of(service), 1):
            number = gateway_hash(service, gateway)
            hashes_by_region[ALL_REGIONS].append(number)
            hashes_by_region[self.placement_by_gateway[gateway].region].append(number)
            if not count % GATEWAYS_PER_STEP:
                yield
        return {
            region: GatewayGroup(service, array("Q", sorted(hashes))) for region, hashes in hashes_by_region.items()
        }

    def changed_services(self, other: FleetRoster) -> Incremental[frozenset[str] | None]:
        """Find the services that have other gateways in the other roster, or the same ones elsewhere.

        None: it may be any service.
        """
        changed: set[str] = set()
        names = self.placement_by_gateway.keys() | other.placement_by_gateway.keys()
        for count, name in enumerate(names, 1):
            if not count % GATEWAYS_PER_STEP:
                yield
            before, after = self.placement_by_gateway.get(name), other.placement_by_gateway.get(name)
            if before == after:
                continue
            for placement in (before, after):
                if placement is None:
                    continue
                if placement.services is None:
                    return None
                changed |= placement.services
        return frozenset(changed) if self.zones_by_region == other.zones_by_region else None
