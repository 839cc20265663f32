"""Limits of the size of a scale run: gateways, processes and memory; and the rack and port of each host. Pure.

The limits are calculated before any process starts. The run prints the figures they rest on beside its measurements.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from benchmarks.capacity.plan import MIN_GATEWAYS_PER_SERVICE, PLAN, SERVICES_PER_GATEWAY, Fleet, service_sizes

MAX_MEMORY_MB: Final = 12_000  # half of the machine's memory, for all processes of a run
HELD_HOST_KIB: Final = 2.5  # memory per host that a gateway holds (see slopes.py)
LISTED_HOST_BYTES: Final = 190
SIMULATED_GATEWAY_KIB: Final = 90  # a simulated gateway without hosts: its objects, its connection and buffers
PROCESS_MB: Final = 45  # a process with the program's modules loaded
REAL_GATEWAY_MB: Final = 60  # a real gateway without its hosts
RELAY_HOST_KIB: Final = 3.0  # a host at a relay or at discovery, including the encoded forms
# Of a core, for a simulated gateway and its share of the relays while nothing changes: 2.5 calls per second.
CORES_PER_RELAYED_GATEWAY: Final = 0.0025
CORES_PER_DIRECT_GATEWAY: Final = 0.0014  # the same if gateways call discovery: 1 call per second
FULL_CORES: Final = 4.0
CPU_S_PER_LISTED_HOST: Final = 35e-6  # for each entry of a list that a gateway receives
# Limit of the time in which one event loop applies a zone's changes at all of its simulated gateways. During a longer
# stall the gateways' own calls time out because of the other gateways' work and are repeated, which a real gateway
# would not do. A call to a relay times out 0.7 s after it was made, and the relay holds it for 0.4 s of that. At an
# estimate of 0.48 s, loops stalled for 0.59 s and a third of 849 gateways repeated their call. At the plan's hosts
# the estimate is never below 0.35 s: the fewer gateways serve a service, the more of its hosts each holds.
MAX_RELAYED_STALL_S: Final = 0.4
MAX_DIRECT_STALL_S: Final = 1.5  # of the 2 s timeout of a call to discovery
ZONE_SHARE: Final = 1 / 6  # of the hosts, according to the plan
MAX_START_CPU_SHARE: Final = 0.5  # allowed utilization of the worker processes while gateways start
MAX_WORKER_PROCESSES: Final = 6  # processes of simulated gateways on a machine with eight cores
MAX_GATEWAYS_IN_ONE_WORKER: Final = 24  # a size with more gateways uses MAX_WORKER_PROCESSES
HOSTS_PER_RACK: Final = 40  # hosts of one zone that one listener emulates, at the plan's size
MAX_RACKS: Final = 960  # each has a listener of its own
MIN_SUBSET_HOSTS: Final = 8  # of a service and zone, at each gateway (docs/relay-design.md)


@dataclass(slots=True, frozen=True)
class Size:
    """One size of a scale run."""

    gateways: int  # simulated and real
    hosts: int
    real: int
    relays: int
    worker_processes: int  # of simulated gateways
    limited_by: str  # what limits the number of gateways, for the log

    @property
    def simulated(self) -> int:
        """The number of simulated gateways."""
        return self.gateways - self.real

    @property
    def share(self) -> float:
        """The share of the plan's hosts."""
        return self.hosts / PLAN.hosts


def rack_indexes(fleet: Fleet) -> list[int]:
    """The rack of each host, in the fleet's order. A rack belongs to one zone; racks are numbered from 0, no gaps.

    The hosts of each service are spread over the racks of their zone.
    """
    host_count_by_zone = Counter(host.zone for host in fleet.hosts)
    rack_count = (
        len(fleet.hosts) if len(fleet.hosts) <= MAX_RACKS else min(MAX_RACKS, len(fleet.hosts) // HOSTS_PER_RACK)
    )
    first_rack_by_zone: dict[str, int] = {}
    rack_count_by_zone: dict[str, int] = {}
    for zone in (zone for zones in fleet.regions.values() for zone in zones):
        first_rack_by_zone[zone] = sum(rack_count_by_zone.values())
        rack_count_by_zone[zone] = min(host_count_by_zone[zone], max(1, rack_count // len(host_count_by_zone)))
    seen_by_zone: Counter[str] = Counter()
    indexes = []
    for host in fleet.hosts:
        indexes.append(first_rack_by_zone[host.zone] + seen_by_zone[host.zone] % rack_count_by_zone[host.zone])
        seen_by_zone[host.zone] += 1
    return indexes


def host_ports(fleet: Fleet, ports: Sequence[int]) -> list[int]:
    """The port of each host, in the fleet's order; the hosts of a rack share a port."""
    return [ports[index] for index in rack_indexes(fleet)]


def mean_subset_hosts(fleet: Fleet) -> float:
    """The mean number of hosts that a gateway behind relays holds, according to docs/relay-design.md."""
    region_by_zone = {zone: region for region, zones in fleet.regions.items() for zone in zones}
    host_counts: dict[tuple[str, str], int] = defaultdict(int)
    for host in fleet.hosts:
        host_counts[host.service, host.zone] += 1
    gateway_counts: dict[tuple[str, str], int] = defaultdict(int)
    for gateway in fleet.gateways:
        for service in gateway.services:
            gateway_counts[service, region_by_zone[gateway.zone]] += 1
    held_total = 0
    for (service, zone), count in host_counts.items():
        serving_gateways = gateway_counts[service, region_by_zone[zone]]
        held_total += serving_gateways * min(
            count, max(MIN_SUBSET_HOSTS, -(-MIN_SUBSET_HOSTS * count // max(1, serving_gateways)))
        )
    return held_total / max(1, len(fleet.gateways))


def estimate_held_hosts(gateways: int, hosts: int) -> float:
    """Estimate `mean_subset_hosts` without building the fleet, with each service spread evenly over regions and
    zones."""
    services = max(1, round(PLAN.services * hosts / PLAN.hosts))
    held_total = 0.0
    for count in service_sizes(hosts, services):
        serving_gateways = max(
            min(MIN_GATEWAYS_PER_SERVICE, gateways), round(gateways * SERVICES_PER_GATEWAY / hosts * count)
        )
        gateways_per_region, hosts_per_zone = min(gateways, serving_gateways) / PLAN.regions, count / PLAN.zones
        held_total += (
            PLAN.zones
            * gateways_per_region
            * min(hosts_per_zone, max(MIN_SUBSET_HOSTS, MIN_SUBSET_HOSTS * hosts_per_zone / gateways_per_region))
        )
    return held_total / gateways


def estimate_memory_mb(
    gateways: int, hosts: int, held_hosts: float, real: int, relays: int, worker_processes: int
) -> float:
    """The expected memory of all processes together."""
    simulated_mb = (gateways - real) * (SIMULATED_GATEWAY_KIB + held_hosts * HELD_HOST_KIB) / 1024
    real_mb = real * (REAL_GATEWAY_MB + held_hosts * HELD_HOST_KIB / 1024)
    control_plane_mb = (relays + 1) * (PROCESS_MB + hosts * RELAY_HOST_KIB / 1024)
    return simulated_mb + real_mb + control_plane_mb + (worker_processes + 1) * PROCESS_MB


def estimate_stall_s(gateways: int, held_hosts: float, relays: int) -> float:
    """The time in which one event loop applies a zone's changes at its gateways.

    With relays only the gateways of the zone's region receive them, half of all, and a third of their hosts change.
    That equals a sixth of the hosts at all gateways, as without relays.
    """
    gateways_per_worker = gateways / _worker_count(gateways)
    return gateways_per_worker * held_hosts * CPU_S_PER_LISTED_HOST * ZONE_SHARE


def start_duration_s(size: Size, held_hosts: float, gateway_count: int, time_scale: float = 1.0) -> float:
    """The time over which the starts of simulated gateways are spread: the planned 2 s at this time scale, or what
    the processes need."""
    return max(
        2.0 * time_scale,
        gateway_count * held_hosts * CPU_S_PER_LISTED_HOST / (size.worker_processes * MAX_START_CPU_SHARE),
    )


def fit_size(
    gateways: int, hosts: int, real: int, relays: int, held_hosts_at: Callable[[int], float], cores: float,
    max_memory_mb: int = MAX_MEMORY_MB,
) -> Size:  # fmt: skip
    """The requested size, with as many of the gateways as memory and processor allow.

    `held_hosts_at`: the hosts that each gateway holds at a given number of gateways. `cores`: the processor time for
    simulated gateways and relays while nothing changes. A loop may stall for as long as its gateways' calls allow at
    FULL_CORES, and proportionally shorter with fewer cores.
    """
    limited_by, min_gateways = "the requested size", real + 4
    cores_per_gateway = CORES_PER_RELAYED_GATEWAY if relays else CORES_PER_DIRECT_GATEWAY
    max_stall_s = (MAX_RELAYED_STALL_S if relays else MAX_DIRECT_STALL_S) * cores / FULL_CORES
    while True:
        held_hosts = held_hosts_at(gateways)
        expected_mb = estimate_memory_mb(gateways, hosts, held_hosts, real, relays, _worker_count(gateways))
        reason = ""
        if expected_mb > max_memory_mb * 0.9:
            reason = f"memory: {held_hosts:.0f} hosts each of {HELD_HOST_KIB} KiB, {max_memory_mb} MB in all"
        elif gateways * cores_per_gateway > cores:
            reason = (
                f"the processor: {cores_per_gateway} of a core each, {cores:g} cores for them while nothing changes"
            )
        elif estimate_stall_s(gateways, held_hosts, relays) > max_stall_s:
            reason = (
                f"the processor: a zone's changes, {held_hosts * ZONE_SHARE:.0f} hosts each, "
                f"in {max_stall_s:.2f} s of one loop"
            )
        if not reason or gateways <= min_gateways:
            return Size(gateways, hosts, real, relays, _worker_count(gateways), limited_by)
        gateways, limited_by = max(min_gateways, int(gateways * 0.9)), reason


def _worker_count(gateways: int) -> int:
    return 1 if gateways <= MAX_GATEWAYS_IN_ONE_WORKER else MAX_WORKER_PROCESSES
