"""What the plan's size requires of each role, the limit for it, and the share of the plan at which it is exceeded.

Pure arithmetic: the plan and the curves of measured costs in, rows out. It reads no file and measures nothing.
Everything grows with one share s of the plan: hosts, gateways, services, tenants, routes, changes and requests, so
the request rate at one gateway stays constant. `share` is the smallest s at which the limit is exceeded; at 1.00 the
plan's size is just within the limit.

Invariants:
- a value is derived only from curves (named in `rows`), the plan, and what ASSUMED lists;
- a line whose curve is missing is 'not known' and has no figure.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import Final

from benchmarks.capacity.fit import Curve
from benchmarks.capacity.plan import MIN_GATEWAYS_PER_SERVICE, PLAN, SERVICES_PER_GATEWAY, build_fleet, service_sizes

DAY_S: Final = 86_400
# Changes of the host list per restart or replacement: the host drains, may be removed, and returns.
CHANGES_PER_RESTART: Final = 2.5
CHANGES_PER_FAILURE: Final = 2.0  # a machine carries one host, which is removed and later returns
PEAK_HOUR_FACTOR: Final = 10.0  # rate of changes in the peak hour, relative to an ordinary day
# In the peak second, every change must reach its last gateway within this time, so sending may be spread over it.
PEAK_CHANGE_LIMIT_S: Final = 4.0
START_LIMIT_S: Final = 10.0  # nine in ten restarted processes are ready within this time
STARTED_SHARE: Final = 0.7  # share of the gateways that start within 2 s
POLLS_PER_S: Final = 1.0  # calls of a gateway to discovery, which holds each for a second
MAX_STALL_MS: Final = 2.0  # longest stall of the event loop: the goal
# Share of requests that may be delayed by more than the plan's added p99, so no larger share may meet a stall.
MAX_DELAYED_SHARE: Final = 0.01
CHANGE_LIMIT_MS: Final = 1_000.0  # until the last gateway has received a change
LINK_BYTES_PER_S: Final = 1.25e9  # network link of one machine: 10 Gbit/s, assumed
CORE_MS_PER_S: Final = 1_000.0  # CPU time of one core
# Minimum number of gateways that hold a host, and of a service's hosts in a zone that a gateway holds
# (docs/relay-design.md).
MIN_SUBSET_SIZE: Final = 8
MAX_SHARE: Final = 10.0  # larger shares of the plan are not evaluated
MIN_SHARE: Final = 0.0005  # about 20 hosts; a limit that is exceeded here is exceeded "at any size"

ASSUMED: Final = (
    f"a restart or replacement makes {CHANGES_PER_RESTART:g} changes of the list, a failure "
    f"{CHANGES_PER_FAILURE:g}, and all restarts are of hosts",
    f"the peak hour has {PEAK_HOUR_FACTOR:g} times the ordinary day's rate of changes",
    f"a zone's return may be spread over {PEAK_CHANGE_LIMIT_S:g} s, the time within which every gateway must have it",
    f"a gateway that starts has {START_LIMIT_S:g} s to receive its list",
    "MB are 10^6 bytes; 4 KB are 4,096 bytes",
    f"a machine that runs a relay or discovery has a network link of {LINK_BYTES_PER_S / 1e9:g} GB per second, and "
    "one core for this work",
    "for each change of configuration every gateway reloads its one settings file; the reload puts it into effect",
    f"the goal for the longest event loop stall is {MAX_STALL_MS:g} ms (from the issue, not from the operators)",
)


@lru_cache(maxsize=512)
def mean_subset_hosts(share: float, serves_all: bool = False) -> float:
    """Return the hosts in one gateway's subset (docs/relay-design.md) at this share of the plan, mean over gateways.

    With `serves_all`, as if each gateway served every service.
    """
    gateways, hosts, services = scale_plan(share)
    subset_hosts = 0.0
    for size in service_sizes(hosts, services):
        assigned_gateways = min(
            gateways,
            max(min(MIN_GATEWAYS_PER_SERVICE, gateways), round(gateways * SERVICES_PER_GATEWAY / hosts * size)),
        )
        serving_gateways = gateways if serves_all else assigned_gateways
        gateways_per_region = max(1.0, serving_gateways / PLAN.regions)
        hosts_per_zone = size / PLAN.zones
        held_per_zone = min(
            hosts_per_zone,
            max(float(MIN_SUBSET_SIZE), math.ceil(MIN_SUBSET_SIZE * hosts_per_zone / gateways_per_region)),
        )
        subset_hosts += serving_gateways / gateways * held_per_zone * PLAN.zones / PLAN.regions
    return subset_hosts


def scale_plan(share: float) -> tuple[int, int, int]:
    """Return the numbers of gateways, hosts and services at this share of the plan."""
    services = max(1, round(PLAN.services * share))
    return max(2, round(PLAN.gateways * share)), max(services, round(PLAN.hosts * share)), services


@lru_cache(maxsize=1)
def services_per_gateway() -> tuple[int, float, int]:
    """Return the minimum, mean and maximum number of services that a gateway of the plan's fleet serves."""
    counts = [len(gateway.services) for gateway in build_fleet(PLAN.gateways, PLAN.hosts).gateways]
    return min(counts), sum(counts) / len(counts), max(counts)


@dataclass(slots=True, frozen=True)
class ScaledFleet:
    """A fleet at this share of the plan, and its costs. With `has_subsets`, a gateway holds only its subset of the
    hosts."""

    curves: Mapping[str, Curve]
    share: float
    has_subsets: bool = False

    def cost(self, name: str, size: float) -> float:
        """Return the value of a measured cost at this size."""
        return self.curves[name].value_at(size)

    @property
    def hosts(self) -> float:
        """Hosts of the whole fleet."""
        return PLAN.hosts * self.share

    @property
    def gateways(self) -> float:
        """Gateways of the whole fleet."""
        return PLAN.gateways * self.share

    @property
    def held_hosts(self) -> float:
        """Hosts that one gateway holds, and whose changes it receives; with subsets, of the gateway with the most
        services."""
        if not self.has_subsets:
            return self.hosts
        _, mean_services, max_services = services_per_gateway()
        max_subset_hosts = mean_subset_hosts(round(self.share, 4)) * max_services / mean_services
        return min(self.hosts / PLAN.regions, max_subset_hosts)

    @property
    def changes_per_s(self) -> float:
        """Changes per second of the whole list, on an ordinary day."""
        changes_per_day = PLAN.restarts_per_day * CHANGES_PER_RESTART + PLAN.failures_per_day * CHANGES_PER_FAILURE
        return changes_per_day / DAY_S * self.share

    @property
    def received_changes_per_s(self) -> float:
        """Changes per second that one gateway receives, on an ordinary day."""
        return self.changes_per_s * self.held_hosts / self.hosts

    @property
    def zone_factor(self) -> float:
        """Hosts of a returning zone that one gateway holds, relative to a sixth of the hosts that it holds."""
        return float(PLAN.zones) / (PLAN.zones / PLAN.regions) if self.has_subsets else 1.0

    def zone_return_cost(self, name: str) -> float:
        """Return the cost of a zone's return. Its curve counts all held hosts, of which a sixth return."""
        return self.cost(name, self.held_hosts * self.zone_factor)

    @property
    def gateways_per_relay(self) -> float:
        """Gateways that one relay serves."""
        return self.gateways / PLAN.control_machines

    @property
    def configurations_per_s(self) -> float:
        """Changes of configuration per second."""
        return PLAN.configurations_per_day / DAY_S * self.share

    def reload_cost(self, name: str) -> float:
        """Return a cost of one reload of the settings, with all tenants."""
        return self.cost(f"tenants_reload_{name}", PLAN.tenants * self.share)

    def control_bytes_per_s(self, rate_factor: float) -> float:
        """Return the control bytes per second at one gateway, at this multiple of the ordinary rate of changes."""
        changes = rate_factor * self.received_changes_per_s * self.change_bytes
        return POLLS_PER_S * self.cost("poll_bytes", self.held_hosts) + self.peer_bytes_per_s + changes

    def relayed_bytes_per_s(self, rate_factor: float) -> float:
        """Return the same behind a relay, for the gateway with the most services.

        It is derived from all bytes that a relay sends for a change. They include the entries of other hosts that
        enter or leave a subset because of the change.
        """
        _, mean_services, max_services = services_per_gateway()
        bytes_per_change = (
            self.cost("relay_change_1_bytes", self.hosts) / self.gateways_per_relay * max_services / mean_services
        )
        return (
            POLLS_PER_S * self.cost("poll_bytes", self.held_hosts)
            + self.peer_bytes_per_s
            + rate_factor * self.changes_per_s * bytes_per_change
        )

    @property
    def peer_bytes_per_s(self) -> float:
        """Bytes per second that one gateway exchanges with its peers, with lease holders spread evenly over
        gateways."""
        lease_bytes = self.cost("duties_bytes_per_s", self.gateways) / self.gateways
        return self.cost("presence_bytes_per_s", self.gateways) + lease_bytes

    @property
    def change_bytes(self) -> float:
        """Bytes of a change of one host."""
        return self.cost("change_1_bytes", self.held_hosts)

    def control_cpu_ms_per_s(self, rate_factor: float) -> float:
        """Return the CPU time per second for control at one gateway, at this multiple of the ordinary rate of
        changes."""
        peers = self.cost("presence_ms_per_s", self.gateways) + self.cost("duties_ms_per_s", self.gateways)
        changes = rate_factor * self.received_changes_per_s * self.cost("change_1_cpu_ms", self.held_hosts)
        return self.cost("idle_ms_per_s", self.held_hosts) + peers + changes

    def memory_mb(self, is_peak: bool = False) -> float:
        """Return the memory of one gateway with all the state that it would need."""
        kib = self.cost("presence_kib", self.gateways) + self.cost("routes_kib", PLAN.routes * self.share)
        kib += self.cost("services_kib", PLAN.services * self.share)
        resident_mb = self.cost("resident_most_mb" if is_peak else "resident_mb", self.held_hosts)
        return resident_mb + self.reload_cost("kept_mb") + kib * 1024 / 1e6


HOST_LIST, SETTINGS, PEERS, RELAYS, PROGRAM = (
    "the list of hosts at each gateway", "the settings, sent and read as a whole file",
    "gossip and leases between gateways", "relays", "the program itself",
)  # fmt: skip
_CONTROL_BYTES, _CONTROL_CPU = ("poll_bytes", "presence_bytes_per_s", "duties_bytes_per_s", "change_1_bytes"), (
    "idle_ms_per_s", "presence_ms_per_s", "duties_ms_per_s", "change_1_cpu_ms",
)  # fmt: skip


@dataclass(slots=True, frozen=True)
class BudgetLine:
    """One requirement of a role, its limit, and how its value is derived. docs/CAPACITY.md prints the texts.

    "The mechanism" is relays with subsets (docs/relay-design.md).
    """

    role: str
    moment: str
    quantity: str
    unit: str
    limit: float | None  # None where the operators named none
    value: Callable[[ScaledFleet], float]
    rows: tuple[str, ...]  # names of the measured costs that `value` uses
    cause: str
    met_by: str = ""  # the module that meets the requirement without the mechanism; "" is printed as 'missing'
    met_by_after: str = ""  # the same with the mechanism; "" if it is unchanged
    needs_new_state: bool = False  # includes state that the program does not have yet
    only_after: bool = False  # the role exists only with the mechanism
    # Value with the mechanism, if `rows_after` were measured; otherwise `value` at the size of the subset is used.
    value_after: Callable[[ScaledFleet], float] | None = None
    rows_after: tuple[str, ...] = ()
    remedy: str = ""  # what would meet the requirement if the limit is exceeded with the mechanism too

    def choose_value_and_rows(
        self, curves: Mapping[str, Curve], has_subsets: bool
    ) -> tuple[Callable[[ScaledFleet], float], tuple[str, ...]]:
        """Return the function that derives the value, and the names of the costs that it uses."""
        if has_subsets and self.value_after is not None and all(name in curves for name in self.rows_after):
            return self.value_after, self.rows_after
        return self.value, self.rows


_STATE_ROWS = ("presence_kib", "routes_kib", "services_kib", "tenants_reload_kept_mb")
_DISCOVERY_CLIENT = "`cloverkeel.discovery.http_client`"
_RELAY_AND_SUBSET = "relay and subset (docs/relay-design.md)"
_ENDPOINT_UPDATES = "`EndpointUpdates.apply`"
_RELAYED_BYTES = ("poll_bytes", "presence_bytes_per_s", "duties_bytes_per_s", "relay_change_1_bytes")
_SLICED_LISTS = "lists applied in slices, of a limited number of hosts per event loop iteration"
_CHEAPER_REQUESTS = (
    "a lower cost that a request has even with few hosts: fewer wakeups, and the machine's share of it"
)
_METERED_SUBSET = "a subset sent in parts at a limited rate, restrictive changes and near hosts first"
_SETTINGS_DELTAS = "changes of settings sent and applied as deltas"
_RELAY = "`cloverkeel.control_plane`"
LINES: Final = (
    BudgetLine("gateway, requests", "ordinary day", "p99 added", "ms", PLAN.added_p99_ms,
               lambda fleet: fleet.cost("quiet_p99_added_ms", fleet.held_hosts), ("quiet_p99_added_ms",), HOST_LIST,
               "`cloverkeel.balancing.balancer`", _RELAY_AND_SUBSET, remedy=_CHEAPER_REQUESTS,
               value_after=lambda fleet: fleet.cost("relayed_p99_added_ms", fleet.hosts),
               rows_after=("relayed_p99_added_ms",)),
    BudgetLine("gateway, requests", "peak hour", "p99 added while hosts change", "ms", PLAN.added_p99_ms,
               lambda fleet: fleet.cost("changes_p99_added_ms", fleet.held_hosts), ("changes_p99_added_ms",),
               HOST_LIST, "`cloverkeel.balancing.balancer`", _RELAY_AND_SUBSET, remedy=_CHEAPER_REQUESTS,
               value_after=lambda fleet: fleet.cost("relayed_changes_p99_added_ms", fleet.hosts),
               rows_after=("relayed_changes_p99_added_ms",)),
    BudgetLine("gateway, requests", "ordinary day", "CPU for requests, per second", "ms/s", CORE_MS_PER_S,
               lambda fleet: PLAN.requests_per_gateway * fleet.cost("quiet_request_us", fleet.held_hosts) / 1e3,
               ("quiet_request_us",), PROGRAM, "`cloverkeel.core.gateway`"),
    BudgetLine("gateway, hosts", "ordinary day", "bytes per second for control", "bytes/s", PLAN.control_bytes_per_s,
               lambda fleet: fleet.control_bytes_per_s(1), _CONTROL_BYTES, HOST_LIST, _DISCOVERY_CLIENT,
               _RELAY_AND_SUBSET, value_after=lambda fleet: fleet.relayed_bytes_per_s(1), rows_after=_RELAYED_BYTES),
    BudgetLine("gateway, hosts", "peak hour", "bytes per second for control", "bytes/s", PLAN.control_bytes_per_s,
               lambda fleet: fleet.control_bytes_per_s(PEAK_HOUR_FACTOR), _CONTROL_BYTES, HOST_LIST,
               _DISCOVERY_CLIENT, _RELAY_AND_SUBSET,
               value_after=lambda fleet: fleet.relayed_bytes_per_s(PEAK_HOUR_FACTOR), rows_after=_RELAYED_BYTES),
    BudgetLine("gateway, hosts", "peak second", "bytes per second, a zone returns", "bytes/s",
               PLAN.control_bytes_per_s,
               lambda fleet: fleet.zone_return_cost("change_zone_bytes") / PEAK_CHANGE_LIMIT_S,
               ("change_zone_bytes",), HOST_LIST, _DISCOVERY_CLIENT, _RELAY_AND_SUBSET,
               value_after=lambda fleet: fleet.cost("relay_change_zone_bytes_most", fleet.hosts)
               / PEAK_CHANGE_LIMIT_S, rows_after=("relay_change_zone_bytes_most",), remedy=_METERED_SUBSET),
    BudgetLine("gateway, hosts", "peak second", "bytes per second, the gateway starts", "bytes/s",
               PLAN.control_bytes_per_s, lambda fleet: fleet.cost("whole_bytes", fleet.held_hosts) / START_LIMIT_S,
               ("whole_bytes",), HOST_LIST, _DISCOVERY_CLIENT, _RELAY_AND_SUBSET,
               value_after=lambda fleet: fleet.cost("relay_whole_bytes", fleet.hosts) / START_LIMIT_S,
               rows_after=("relay_whole_bytes",), remedy=_METERED_SUBSET),
    BudgetLine("gateway, hosts", "ordinary day", "CPU for control, per second", "ms/s",
               PLAN.control_core * CORE_MS_PER_S, lambda fleet: fleet.control_cpu_ms_per_s(1), _CONTROL_CPU,
               HOST_LIST, _ENDPOINT_UPDATES, _RELAY_AND_SUBSET),
    BudgetLine("gateway, hosts", "peak hour", "CPU for control, per second", "ms/s",
               PLAN.control_core * CORE_MS_PER_S, lambda fleet: fleet.control_cpu_ms_per_s(PEAK_HOUR_FACTOR),
               _CONTROL_CPU, HOST_LIST,
               _ENDPOINT_UPDATES, _RELAY_AND_SUBSET),
    BudgetLine("gateway, hosts", "peak second", "CPU for control, per second, a zone returns", "ms/s",
               PLAN.control_core * CORE_MS_PER_S,
               lambda fleet: fleet.control_cpu_ms_per_s(1) + fleet.zone_return_cost("change_zone_cpu_ms")
               / PEAK_CHANGE_LIMIT_S, (*_CONTROL_CPU, "change_zone_cpu_ms"), HOST_LIST, _ENDPOINT_UPDATES,
               _RELAY_AND_SUBSET,
               value_after=lambda fleet: fleet.control_cpu_ms_per_s(1)
               + fleet.zone_return_cost("subset_change_zone_cpu_ms") / PEAK_CHANGE_LIMIT_S,
               rows_after=(*_CONTROL_CPU, "subset_change_zone_cpu_ms")),
    BudgetLine("gateway, hosts", "ordinary day", "longest event loop stall, one change", "ms", MAX_STALL_MS,
               lambda fleet: fleet.cost("change_1_stop_ms", fleet.held_hosts), ("change_1_stop_ms",), HOST_LIST,
               _ENDPOINT_UPDATES, _RELAY_AND_SUBSET, remedy=_SLICED_LISTS),
    BudgetLine("gateway, hosts", "peak second", "longest event loop stall, garbage collection", "ms", MAX_STALL_MS,
               lambda fleet: fleet.cost("collector_ms", fleet.held_hosts), ("collector_ms",), HOST_LIST,
               "`cloverkeel.core.gc_tuning`", _RELAY_AND_SUBSET, remedy=_SLICED_LISTS),
    BudgetLine("gateway, hosts", "peak second", "longest event loop stall, a zone returns", "ms", MAX_STALL_MS,
               lambda fleet: fleet.zone_return_cost("change_zone_stop_ms"), ("change_zone_stop_ms",), HOST_LIST,
               _ENDPOINT_UPDATES, _RELAY_AND_SUBSET, remedy=_SLICED_LISTS,
               value_after=lambda fleet: fleet.zone_return_cost("subset_change_zone_stop_ms"),
               rows_after=("subset_change_zone_stop_ms",)),
    BudgetLine("gateway, hosts", "peak second", "longest event loop stall, a full list while requests are served",
               "ms", MAX_STALL_MS, lambda fleet: fleet.cost("whole_stop_ms", fleet.held_hosts), ("whole_stop_ms",),
               HOST_LIST, _DISCOVERY_CLIENT, _RELAY_AND_SUBSET, remedy=_SLICED_LISTS,
               value_after=lambda fleet: fleet.cost("subset_whole_stop_ms", fleet.held_hosts),
               rows_after=("subset_whole_stop_ms",)),
    BudgetLine("gateway, hosts", "peak second",
               "longest event loop stall, the first list; no request is served before it", "ms", None,
               lambda fleet: fleet.cost("whole_first_stop_ms", fleet.held_hosts), ("whole_first_stop_ms",), HOST_LIST,
               _DISCOVERY_CLIENT, _RELAY_AND_SUBSET,
               value_after=lambda fleet: fleet.cost("subset_whole_first_stop_ms", fleet.held_hosts),
               rows_after=("subset_whole_first_stop_ms",)),
    BudgetLine("gateway, hosts", "peak second", "time from start to ready", "ms", START_LIMIT_S * 1e3,
               lambda fleet: fleet.cost("ready_ms", fleet.held_hosts), ("ready_ms",), HOST_LIST,
               "`cloverkeel.cli.serving`", _RELAY_AND_SUBSET),
    BudgetLine("gateway, hosts", "ordinary day", "memory, including the routes and tenants that a gateway would hold",
               "MB", PLAN.control_mb, lambda fleet: fleet.memory_mb(), ("resident_mb", *_STATE_ROWS), HOST_LIST,
               _ENDPOINT_UPDATES, _RELAY_AND_SUBSET, True, remedy="only the tenants and routes of its own services"),
    BudgetLine("gateway, hosts", "peak second",
               "peak memory, with a repeated full list and the routes and tenants that a gateway would hold", "MB",
               PLAN.control_mb, lambda fleet: fleet.memory_mb(is_peak=True), ("resident_most_mb", *_STATE_ROWS),
               HOST_LIST, _DISCOVERY_CLIENT, _RELAY_AND_SUBSET, True,
               remedy="only the tenants and routes of its own services"),
    BudgetLine("gateway, peers", "ordinary day", "bytes per second, gossip and leases", "bytes/s",
               PLAN.control_bytes_per_s, lambda fleet: fleet.peer_bytes_per_s,
               ("presence_bytes_per_s", "duties_bytes_per_s"), PEERS, "`cloverkeel.gossip`, `cloverkeel.leases`"),
    BudgetLine("gateway, peers", "ordinary day", "CPU per second, gossip and leases", "ms/s",
               PLAN.control_core * CORE_MS_PER_S,
               lambda fleet: fleet.cost("presence_ms_per_s", fleet.gateways)
               + fleet.cost("duties_ms_per_s", fleet.gateways), ("presence_ms_per_s", "duties_ms_per_s"), PEERS,
               "`cloverkeel.gossip`, `cloverkeel.leases`"),
    BudgetLine("gateway, peers", "peak second", "time until all gateways suspect a failing host", "ms", None,
               lambda fleet: fleet.cost("news_all_ms", fleet.gateways), ("news_all_ms",), PEERS,
               "`cloverkeel.gossip.dissemination`"),
    BudgetLine("gateway, peers", "peak second", "bytes per second while the suspicion spreads", "bytes/s",
               PLAN.control_bytes_per_s, lambda fleet: fleet.cost("news_bytes_per_s", fleet.gateways),
               ("news_bytes_per_s",), PEERS, "`cloverkeel.gossip.dissemination`"),
    BudgetLine("gateway, settings", "ordinary day", "bytes per second, if each change sends the whole file",
               "bytes/s", PLAN.control_bytes_per_s,
               lambda fleet: fleet.configurations_per_s * fleet.reload_cost("bytes"),
               ("tenants_reload_bytes",), SETTINGS, remedy=_SETTINGS_DELTAS, needs_new_state=True),
    BudgetLine("gateway, settings", "ordinary day", "CPU for reloads, per second", "ms/s",
               PLAN.control_core * CORE_MS_PER_S,
               lambda fleet: fleet.configurations_per_s * fleet.reload_cost("cpu_ms"), ("tenants_reload_cpu_ms",),
               SETTINGS, "`cloverkeel.core.reload`: only discovery's address is applied", remedy=_SETTINGS_DELTAS,
               needs_new_state=True),
    BudgetLine("gateway, settings", "ordinary day", "share of time in which reloads stall the event loop", "share",
               MAX_DELAYED_SHARE, lambda fleet: fleet.configurations_per_s * fleet.reload_cost("stop_ms") / 1e3,
               ("tenants_reload_stop_ms",), SETTINGS, "`cloverkeel.core.reload`", remedy=_SETTINGS_DELTAS,
               needs_new_state=True),
    BudgetLine("gateway, settings", "ordinary day", "duration of a reload", "ms", PLAN.configuration_s * 1e3,
               lambda fleet: fleet.reload_cost("ms"), ("tenants_reload_ms",), SETTINGS, "`cloverkeel.core.reload`",
               remedy=_SETTINGS_DELTAS),
    BudgetLine("gateway, settings", "ordinary day", "peak memory during a reload, including the program", "MB",
               PLAN.control_mb,
               lambda fleet: fleet.cost("resident_mb", fleet.held_hosts) + fleet.reload_cost("most_mb"),
               ("resident_mb", "tenants_reload_most_mb"), SETTINGS, "`cloverkeel.core.config`",
               remedy=_SETTINGS_DELTAS),
    BudgetLine("relay", "ordinary day", "bytes sent per second, each relay", "bytes/s", LINK_BYTES_PER_S,
               lambda fleet: fleet.gateways_per_relay * POLLS_PER_S * fleet.cost("poll_bytes", 1)
               + fleet.changes_per_s * fleet.cost("relay_change_1_bytes", fleet.hosts),
               ("poll_bytes", "relay_change_1_bytes"), RELAYS, _RELAY, only_after=True),
    BudgetLine("relay", "peak second", "bytes sent per second, each relay, a zone returns", "bytes/s",
               LINK_BYTES_PER_S,
               lambda fleet: fleet.cost("relay_change_zone_bytes", fleet.hosts) / PEAK_CHANGE_LIMIT_S,
               ("relay_change_zone_bytes",), RELAYS, _RELAY, only_after=True),
    BudgetLine("relay", "peak second", "bytes sent per second, each relay, 7 in 10 gateways start", "bytes/s",
               LINK_BYTES_PER_S,
               lambda fleet: STARTED_SHARE * fleet.gateways_per_relay * fleet.cost("relay_whole_bytes", fleet.hosts)
               / START_LIMIT_S, ("relay_whole_bytes",), RELAYS, _RELAY, only_after=True),
    BudgetLine("relay", "peak second",
               "bytes sent per second, each relay, one is killed and the others serve its gateways within 1 s",
               "bytes/s", LINK_BYTES_PER_S,
               lambda fleet: fleet.gateways_per_relay / (PLAN.control_machines - 1)
               * fleet.cost("relay_whole_bytes", fleet.hosts), ("relay_whole_bytes",), RELAYS, _RELAY,
               only_after=True),
    BudgetLine("relay", "peak hour", "CPU for changes, per second, each relay", "ms/s", CORE_MS_PER_S,
               lambda fleet: PEAK_HOUR_FACTOR * fleet.changes_per_s
               * fleet.cost("relay_change_1_cpu_ms", fleet.hosts), ("relay_change_1_cpu_ms",), RELAYS, _RELAY,
               only_after=True),
    BudgetLine("relay", "peak second", "CPU until all gateways of one relay have a zone's return", "ms",
               PEAK_CHANGE_LIMIT_S * 1e3, lambda fleet: fleet.cost("relay_change_zone_cpu_ms", fleet.hosts),
               ("relay_change_zone_cpu_ms",), RELAYS, _RELAY, only_after=True),
    BudgetLine("relay", "peak second", "CPU until 7 in 10 of its gateways have their full subsets", "ms",
               START_LIMIT_S * 1e3,
               lambda fleet: STARTED_SHARE * fleet.gateways_per_relay * fleet.cost("relay_whole_cpu_ms", fleet.hosts),
               ("relay_whole_cpu_ms",), RELAYS, _RELAY, only_after=True),
    BudgetLine("relay", "peak second", "longest step, a full list is applied", "ms", CHANGE_LIMIT_MS,
               lambda fleet: fleet.cost("relay_take_stop_ms", fleet.hosts), ("relay_take_stop_ms",), RELAYS, _RELAY,
               only_after=True, remedy=_SLICED_LISTS),
    BudgetLine("relay", "ordinary day", "memory of the list and of the subset sent to each gateway", "MB", None,
               lambda fleet: fleet.cost("relay_kept_mb", fleet.hosts), ("relay_kept_mb",), RELAYS, _RELAY,
               only_after=True),
    BudgetLine("discovery", "ordinary day", "calls answered per second", "/s", None,
               lambda fleet: (PLAN.control_machines if fleet.has_subsets else fleet.gateways) * POLLS_PER_S, (),
               HOST_LIST, "discovery itself", "12 relays poll"),
    BudgetLine("discovery", "ordinary day", "bytes sent per second", "bytes/s", LINK_BYTES_PER_S,
               lambda fleet: (PLAN.control_machines if fleet.has_subsets else fleet.gateways)
               * (fleet.cost("poll_bytes", 1) + fleet.changes_per_s * fleet.change_bytes),
               ("poll_bytes", "change_1_bytes"), HOST_LIST, "discovery itself", "12 relays poll"),
    BudgetLine("discovery", "peak second", "bytes sent per second, a zone returns", "bytes/s", LINK_BYTES_PER_S,
               lambda fleet: (PLAN.control_machines if fleet.has_subsets else fleet.gateways)
               * fleet.cost("change_zone_bytes", fleet.hosts) / PEAK_CHANGE_LIMIT_S, ("change_zone_bytes",),
               HOST_LIST, "discovery itself", "12 relays poll"),
    BudgetLine("discovery", "peak second", "bytes sent per second, 7 in 10 gateways start", "bytes/s",
               LINK_BYTES_PER_S,
               lambda fleet: (PLAN.control_machines if fleet.has_subsets else STARTED_SHARE * fleet.gateways)
               * fleet.cost("whole_bytes", fleet.hosts) / START_LIMIT_S, ("whole_bytes",), HOST_LIST,
               "discovery itself", "12 relays poll, in the worst case all at once"),
)  # fmt: skip


@dataclass(slots=True, frozen=True)
class Figure:
    """The value of a line at the plan's size, and the share of the plan at which its limit is exceeded."""

    line: BudgetLine
    value: float | None
    share: float | None  # inf above MAX_SHARE, 0 at any size, None without a limit or a value
    rows: tuple[str, ...]  # names of the measured costs


def evaluate_lines(
    curves: Mapping[str, Curve], has_subsets: bool, lines: tuple[BudgetLine, ...] = LINES
) -> list[Figure]:
    """Evaluate each line at the plan's size, without or with (`has_subsets`) relays and subsets."""
    figures: list[Figure] = []
    for line in lines:
        if line.only_after and not has_subsets:
            continue
        value, rows = line.choose_value_and_rows(curves, has_subsets)
        if any(name not in curves for name in rows):
            figures.append(Figure(line, None, None, rows))
            continue
        figures.append(
            Figure(
                line,
                value(ScaledFleet(curves, 1.0, has_subsets)),
                find_share_at_limit(line, curves, has_subsets),
                rows,
            )
        )
    return figures


def find_share_at_limit(line: BudgetLine, curves: Mapping[str, Curve], has_subsets: bool) -> float | None:
    """Return the smallest share of the plan at which the limit is exceeded, within 0.1%."""
    limit = line.limit
    if limit is None:
        return None

    value, _ = line.choose_value_and_rows(curves, has_subsets)

    def is_exceeded(share: float) -> bool:
        return value(ScaledFleet(curves, share, has_subsets)) > limit

    if is_exceeded(MIN_SHARE):
        return 0.0
    if not is_exceeded(MAX_SHARE):
        return math.inf
    low, high = MIN_SHARE, MAX_SHARE
    while high / low > 1.001:
        middle = math.sqrt(low * high)
        low, high = (low, middle) if is_exceeded(middle) else (middle, high)
    return low


def rank_figures(figures: list[Figure]) -> list[Figure]:
    """Return the figures that have a share, smallest share first."""
    known = [figure for figure in figures if figure.share is not None]
    return sorted(
        known, key=lambda figure: (figure.share or 0.0, -(figure.value or 0.0) / (figure.line.limit or 1.0))
    )
