"""The gateways of a fleet: the zone of each gateway, and the services that it routes to. Pure.

All relays of a fleet read the same roster file. Invariants: a roster is immutable (a changed file makes a new one),
the same text gives the same ranks and digest at every relay, and the size is bounded by the constants of
roster_parser.py. Ranks among N gateways are 0 to N; N is the rank of a gateway that is not in the roster and whose
hash is greater than the hashes of all N.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from cloverkeel.core.incremental import Incremental, run_to_completion
from cloverkeel.core.config import stable_id

ALL_REGIONS: Final = ""  # key of the group of all gateways, of any region
GATEWAYS_PER_STEP: Final = 512  # about 2 ms per step on a busy machine
HASH_BYTES: Final = 8


@dataclass(slots=True, frozen=True)
class GatewayPlacement:
    """The location of one gateway, and the services that it routes to; None for all services."""

    zone: str
    region: str
    services: frozenset[str] | None


@dataclass(slots=True, frozen=True)
class GatewayGroup:
    """A group of gateways that share rings of one service; `hashes` are sorted."""

    service: str
    hashes: Sequence[int]

    @property
    def size(self) -> int:
        """Number of gateways in the group."""
        return len(self.hashes)

    def rank(self, gateway: str) -> int:
        """Return the rank of a gateway by its hash, 0 to `size`; the gateway need not be in the group."""
        return bisect_left(self.hashes, gateway_hash(self.service, gateway))


GroupsByRegion = dict[str, GatewayGroup]
GroupsByService = dict[str, GroupsByRegion]


def gateway_hash(service: str, gateway: str) -> int:
    """Return the hash that determines the order of gateways within a service's groups."""
    return stable_id(f"{service}\0{gateway}", HASH_BYTES)


@dataclass(slots=True, frozen=True, eq=False)
class FleetRoster:
    """The regions and gateways of a fleet.

    digest: 16 hexadecimal digits; rosters with equal content have equal digests.
    gateways_by_service: the gateways that list the service explicitly.
    gateways_of_all_services: the gateways that list no services.
    """

    zones_by_region: Mapping[str, tuple[str, ...]]
    placement_by_gateway: Mapping[str, GatewayPlacement]
    digest: str
    region_by_zone: Mapping[str, str] = field(default_factory=dict)
    gateways_by_service: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    gateways_of_all_services: tuple[str, ...] = ()

    def gateways_of(self, service: str) -> Iterable[str]:
        """Yield all gateways that route to this service."""
        yield from self.gateways_of_all_services
        yield from self.gateways_by_service.get(service, ())

    def groups(self, service: str) -> GroupsByRegion:
        """Group a service's gateways by region in one go; see `group_incrementally`."""
        return run_to_completion(self.group_incrementally(service))

    def group_incrementally(self, service: str) -> Incremental[GroupsByRegion]:
        """Group a service's gateways by region, and all of them under ALL_REGIONS.

        Computes a hash per gateway, so callers should keep the result.
        """
        hashes_by_region: dict[str, list[int]] = {region: [] for region in (ALL_REGIONS, *self.zones_by_region)}
        for count, gateway in enumerate(self.gateways_of(service), 1):
            hash_value = gateway_hash(service, gateway)
            hashes_by_region[ALL_REGIONS].append(hash_value)
            hashes_by_region[self.placement_by_gateway[gateway].region].append(hash_value)
            if not count % GATEWAYS_PER_STEP:
                yield
        return {
            region: GatewayGroup(service, array("Q", sorted(hashes))) for region, hashes in hashes_by_region.items()
        }

    def changed_services(self, other: FleetRoster) -> Incremental[frozenset[str] | None]:
        """Find the services whose set of gateways, or the zone of one of them, differs in the other roster.

        Returns None if any service may differ.
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
