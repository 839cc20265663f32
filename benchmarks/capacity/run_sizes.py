"""How large a run may be: gateways, hosts, processes and memory, and where a host is found. Pure.

Bounds are worked out before anything is started, from figures that a run prints beside what it then measures.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from benchmarks.capacity.plan import PLAN, Fleet

MEMORY_MB: Final = 12_000  # half of the machine's: all processes of a run together
HOST_KIB: Final = 2.5  # a host that a gateway holds, measured by the slopes
BODY_BYTES: Final = 190  # of a host in a list
HOLLOW_KIB: Final = 90  # a hollow gateway that holds none: its rooms, its connection and buffers
PROCESS_MB: Final = 45  # a process with the program's modules
REAL_MB: Final = 60  # a real gateway, beyond its hosts
RELAY_HOST_KIB: Final = 8.0  # a host at a relay or at discovery, with the encoded forms
CORE_RELAYED: Final = 0.0025  # of a core for a hollow gateway and its share of the relays, quiet: 2.5 calls a second
CORE_DIRECT: Final = 0.0014  # the same where each asks discovery: 1 call a second
CORE_HOST: Final = 2e-8  # and for each host that it holds
EACH_PROCESS: Final = 100  # hollow gateways in one process, while there may be more processes
MOST_HOLLOW: Final = 6  # processes of hollow gateways: the machine has eight cores
FEW: Final = 64  # gateways that are in one process
RACK: Final = 40  # hosts of one zone that one listener stands for, at the plan's size
MOST_RACKS: Final = 960  # listeners
SUBSET_LEAST: Final = 8  # docs/relay-design.md: hosts of a service and zone that a gateway has, at the least


@dataclass(slots=True, frozen=True)
class Size:
    gateways: int  # in all, hollow and real
    hosts: int
    real: int
    relays: int
    processes: int  # of hollow gateways
    bound: str  # what bounds it

    @property
    def hollow(self) -> int:
        return self.gateways - self.real

    @property
    def share(self) -> float:
        """Of the plan's hosts."""
        return self.hosts / PLAN.hosts


def racks(fleet: Fleet) -> list[int]:
    """The rack of each host, by its place in the fleet: racks are of one zone, numbered from 0 without gaps.

    Hosts of all services are spread over the racks of their zone.
    """
    counts = Counter(host.zone for host in fleet.hosts)
    wanted = len(fleet.hosts) if len(fleet.hosts) <= MOST_RACKS else min(MOST_RACKS, len(fleet.hosts) // RACK)
    first: dict[str, int] = {}
    each: dict[str, int] = {}
    for zone in (zone for zones in fleet.regions.values() for zone in zones):
        first[zone] = sum(each.values())
        each[zone] = min(counts[zone], max(1, wanted // len(counts)))
    seen: Counter[str] = Counter()
    found = []
    for host in fleet.hosts:
        found.append(first[host.zone] + seen[host.zone] % each[host.zone])
        seen[host.zone] += 1
    return found


def host_ports(fleet: Fleet, ports: Sequence[int]) -> list[int]:
    """Where each host is found, by its place in the fleet: one port a rack."""
    return [ports[rack] for rack in racks(fleet)]


def subset_hosts(fleet: Fleet) -> float:
    """Hosts that a gateway behind relays holds, in the mean: from docs/relay-design.md."""
    regions = {zone: region for region, zones in fleet.regions.items() for zone in zones}
    hosts: dict[tuple[str, str], int] = defaultdict(int)
    for host in fleet.hosts:
        hosts[host.service, host.zone] += 1
    gateways: dict[tuple[str, str], int] = defaultdict(int)
    for gateway in fleet.gateways:
        for service in gateway.services:
            gateways[service, regions[gateway.zone]] += 1
    held = 0
    for (service, zone), count in hosts.items():
        before = gateways[service, regions[zone]]
        held += before * min(count, max(SUBSET_LEAST, -(-SUBSET_LEAST * count // max(1, before))))
    return held / max(1, len(fleet.gateways))


def memory_mb(gateways: int, hosts: int, held: float, real: int, relays: int, processes: int) -> float:
    """Of all processes together, expected."""
    hollow = (gateways - real) * (HOLLOW_KIB + held * HOST_KIB) / 1024
    reals = real * (REAL_MB + held * HOST_KIB / 1024)
    tiers = (relays + 1) * (PROCESS_MB + hosts * RELAY_HOST_KIB / 1024)
    return hollow + reals + tiers + (processes + 1) * PROCESS_MB


def size(
    gateways: int, hosts: int, real: int, relays: int, held: float, cores: float, limit_mb: int = MEMORY_MB
) -> Size:
    """As many gateways of those asked for as memory and processor allow.

    `held`: hosts that each holds; `cores`: for hollow gateways and relays while nothing changes.
    """
    bound = "what was asked for"
    least = real + 4
    each = (CORE_RELAYED if relays else CORE_DIRECT) + held * CORE_HOST
    if gateways > max(least, cores / each):
        gateways = max(least, int(cores / each))
        bound = f"the processor: {each:.4f} of a core each, {cores:g} cores for them when nothing changes"
    while gateways > least and memory_mb(gateways, hosts, held, real, relays, _processes(gateways)) > limit_mb * 0.9:
        gateways = max(least, int(gateways * 0.95))
        bound = f"memory: {held:.0f} hosts each of {HOST_KIB} KiB, {limit_mb} MB in all"
    return Size(gateways, hosts, real, relays, _processes(gateways), bound)


def _processes(gateways: int) -> int:
    return 1 if gateways <= FEW else min(MOST_HOLLOW, max(2, -(-gateways // EACH_PROCESS)))
