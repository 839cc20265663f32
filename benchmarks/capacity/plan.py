"""The size that the operators plan for, and a fleet of that shape at any share of it.

What they did not say is assumed here, in one place, and printed on docs/CAPACITY.md: hosts over services by 1/rank
(the largest has some 5,400 hosts, half have 7 or fewer), hosts evenly over zones, three zones a region, each gateway
before some 27 services (all gateways are before the large ones).
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any, Final


@dataclass(slots=True, frozen=True)
class Plan:
    """The operators' figures (issue 'The size of two years')."""

    gateways: int = 4_600
    hosts: int = 38_000
    services: int = 1_400
    requests_per_s: int = 610_000
    routes: int = 11_000
    tenants: int = 170_000
    added_p99_ms: float = 2.1
    regions: int = 2
    zones: int = 6  # in all: three a region
    configurations_per_day: int = 3_200
    configuration_s: float = 4.0  # in force everywhere
    control_core: float = 0.026  # of a core, for control, a gateway
    control_mb: int = 128
    control_bytes_per_s: int = 4_096
    control_machines: int = 12
    failures_per_day: int = 60  # machines
    restarts_per_day: int = 9_800  # machines restarted or replaced

    @property
    def requests_per_gateway(self) -> float:
        return self.requests_per_s / self.gateways


PLAN: Final = Plan()
SERVICES_EACH: Final = 30  # that a gateway is before, where every service had its full share of gateways
LEAST_GATEWAYS: Final = 24  # before a service


@dataclass(slots=True, frozen=True)
class Host:
    name: str
    service: str
    zone: str
    address: str

    def entry(self, status: str = "SERVING", since_ms: int = 0) -> dict[str, Any]:
        """In discovery's published form, with the optional field `service`."""
        return {
            "name": self.name, "address": self.address, "zone": self.zone, "type": "m", "group": 0,
            "status": status, "weight": 1.0, "since_ms": since_ms, "service": self.service,
        }  # fmt: skip


@dataclass(slots=True, frozen=True)
class Front:
    """One gateway and the services that it is before."""

    name: str
    zone: str
    services: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Fleet:
    hosts: tuple[Host, ...]
    gateways: tuple[Front, ...]
    regions: dict[str, tuple[str, ...]]  # zones of each

    def roster(self) -> dict[str, Any]:
        """The relay's file of gateways (docs/relay-design.md)."""
        return {
            "regions": {region: list(zones) for region, zones in self.regions.items()},
            "gateways": {g.name: {"zone": g.zone, "services": list(g.services)} for g in self.gateways},
        }


def zones_of(plan: Plan = PLAN) -> dict[str, tuple[str, ...]]:
    each = plan.zones // plan.regions
    return {f"r{r}": tuple(f"r{r}-z{z}" for z in range(each)) for r in range(plan.regions)}


def service_sizes(hosts: int, services: int) -> list[int]:
    """Hosts of each service, the largest first, at least one each; they add up to `hosts`."""
    weights = [1.0 / rank for rank in range(1, services + 1)]
    left, total = hosts - services, sum(weights)
    sizes = [1 + int(left * weight / total) for weight in weights]
    sizes[0] += hosts - sum(sizes)
    return sizes


def fleet(gateways: int, hosts: int, services: int | None = None, seed: int = 1, host_ports: int = 0) -> Fleet:
    """A fleet of the plan's shape. Without `services`, as many as the plan has for so many hosts.

    Addresses are 127.0.0.1 and one of `host_ports` ports from 20000 on (0: made-up ones that nobody serves).
    """
    dice = random.Random(f"{seed}/fleet")
    services = services or max(1, round(PLAN.services * hosts / PLAN.hosts))
    regions = zones_of()
    zones = [zone for each in regions.values() for zone in each]
    sizes = service_sizes(hosts, services)
    made: list[Host] = []
    for number, size in enumerate(sizes):
        first = dice.randrange(len(zones))
        for each in range(size):
            at = len(made)
            far = f"10.{at >> 16}.{at >> 8 & 255}.{at & 255}:8081"
            address = f"127.0.0.1:{20_000 + at % host_ports}" if host_ports else far
            zone = zones[(first + each) % len(zones)]
            made.append(Host(f"h-{dice.getrandbits(32):08x}-{at}", f"s{number}", zone, address))
    fronts: dict[int, list[str]] = {number: [] for number in range(gateways)}
    share = gateways * SERVICES_EACH / hosts
    for number, size in enumerate(sizes):
        count = min(gateways, max(min(LEAST_GATEWAYS, gateways), round(share * size)))
        for gateway in dice.sample(range(gateways), count):
            fronts[gateway].append(f"s{number}")
    named = [Front(f"g{n}", zones[n % len(zones)], tuple(fronts[n])) for n in range(gateways)]
    return Fleet(tuple(made), tuple(named), regions)
