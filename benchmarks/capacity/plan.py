"""The size that the operators plan for, and a fleet of the same shape at any share of that size.

The operators' figures leave open how hosts, services and gateways are distributed. This module assumes, and
docs/CAPACITY.md prints: hosts per service proportional to 1/rank (the largest service has about 5,400 hosts, half of
the services have 7 or fewer), hosts distributed evenly over zones, three zones per region, and about 27 services
per gateway (every gateway serves the largest services).
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any, Final


@dataclass(slots=True, frozen=True)
class Plan:
    """The operators' figures (issue 'The size of two years') for the whole fleet, unless a comment says otherwise."""

    gateways: int = 4_600
    hosts: int = 38_000
    services: int = 1_400
    requests_per_s: int = 610_000
    routes: int = 11_000
    tenants: int = 170_000
    added_p99_ms: float = 2.1
    regions: int = 2
    zones: int = 6  # total over all regions: three per region
    configurations_per_day: int = 3_200
    configuration_s: float = 4.0  # until a change of configuration is in force at every gateway
    control_core: float = 0.026  # share of a core for control, per gateway
    control_mb: int = 128  # per gateway
    control_bytes_per_s: int = 4_096  # per gateway
    control_machines: int = 12
    failures_per_day: int = 60  # machines that fail
    restarts_per_day: int = 9_800  # machines that are restarted or replaced

    @property
    def requests_per_gateway(self) -> float:
        """Requests per second at each gateway."""
        return self.requests_per_s / self.gateways


PLAN: Final = Plan()
SERVICES_PER_GATEWAY: Final = 30  # if every service had its full share of gateways
MIN_GATEWAYS_PER_SERVICE: Final = 24


@dataclass(slots=True, frozen=True)
class Host:
    """One host of a service."""

    name: str
    service: str
    zone: str
    address: str

    def to_entry(self, status: str = "SERVING", since_ms: int = 0) -> dict[str, Any]:
        """Return the entry of this host in discovery's published format, with the optional field `service`."""
        return {
            "name": self.name, "address": self.address, "zone": self.zone, "type": "m", "group": 0,
            "status": status, "weight": 1.0, "since_ms": since_ms, "service": self.service,
        }  # fmt: skip


@dataclass(slots=True, frozen=True)
class FleetGateway:
    """One gateway and the services whose requests it forwards."""

    name: str
    zone: str
    services: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Fleet:
    """All hosts and gateways, and the zones of each region."""

    hosts: tuple[Host, ...]
    gateways: tuple[FleetGateway, ...]
    regions: dict[str, tuple[str, ...]]  # zones by region

    def to_roster(self) -> dict[str, Any]:
        """Return the content of a relay's roster file (docs/relay-design.md)."""
        return {
            "regions": {region: list(zones) for region, zones in self.regions.items()},
            "gateways": {
                gateway.name: {"zone": gateway.zone, "services": list(gateway.services)} for gateway in self.gateways
            },
        }


def zones_by_region(plan: Plan = PLAN) -> dict[str, tuple[str, ...]]:
    """Return the names of all zones, by the name of their region."""
    zones_per_region = plan.zones // plan.regions
    return {f"r{r}": tuple(f"r{r}-z{z}" for z in range(zones_per_region)) for r in range(plan.regions)}


def service_sizes(hosts: int, services: int) -> list[int]:
    """Return the number of hosts of each service, largest first, at least one each. Their sum is `hosts`."""
    weights = [1.0 / rank for rank in range(1, services + 1)]
    remaining, total_weight = hosts - services, sum(weights)
    sizes = [1 + int(remaining * weight / total_weight) for weight in weights]
    sizes[0] += hosts - sum(sizes)
    return sizes


def build_fleet(gateways: int, hosts: int, services: int | None = None, seed: int = 1, host_ports: int = 0) -> Fleet:
    """Build a fleet of the plan's shape. Without `services`, it has the plan's ratio of services to hosts.

    Host addresses are 127.0.0.1 with one of `host_ports` ports from 20000 upward. With `host_ports` 0 they are
    addresses at which no server listens.
    """
    rng = random.Random(f"{seed}/fleet")
    services = services or max(1, round(PLAN.services * hosts / PLAN.hosts))
    regions = zones_by_region()
    zones = [zone for region_zones in regions.values() for zone in region_zones]
    sizes = service_sizes(hosts, services)
    fleet_hosts: list[Host] = []
    for service_index, size in enumerate(sizes):
        first_zone_index = rng.randrange(len(zones))
        for index_in_service in range(size):
            host_index = len(fleet_hosts)
            unserved_address = f"10.{host_index >> 16}.{host_index >> 8 & 255}.{host_index & 255}:8081"
            address = f"127.0.0.1:{20_000 + host_index % host_ports}" if host_ports else unserved_address
            zone = zones[(first_zone_index + index_in_service) % len(zones)]
            fleet_hosts.append(Host(f"h-{rng.getrandbits(32):08x}-{host_index}", f"s{service_index}", zone, address))
    services_by_gateway: dict[int, list[str]] = {gateway_index: [] for gateway_index in range(gateways)}
    gateways_per_host = gateways * SERVICES_PER_GATEWAY / hosts
    for service_index, size in enumerate(sizes):
        count = min(gateways, max(min(MIN_GATEWAYS_PER_SERVICE, gateways), round(gateways_per_host * size)))
        for gateway_index in rng.sample(range(gateways), count):
            services_by_gateway[gateway_index].append(f"s{service_index}")
    fleet_gateways = [
        FleetGateway(f"g{n}", zones[n % len(zones)], tuple(services_by_gateway[n])) for n in range(gateways)
    ]
    return Fleet(tuple(fleet_hosts), tuple(fleet_gateways), regions)
