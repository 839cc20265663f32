"""What the plan's size asks of each role, beside the limit it must keep; the share of the plan at which it breaks.

Pure arithmetic: the plan and the curves of the slopes in, rows out. It reads no file and measures nothing.
Everything grows with one share s of the plan: hosts, gateways, services, tenants, routes, changes and requests; so
the requests at one gateway stay as they are. `share` is the least s at which the limit is passed: 1.00 just holds.

Invariants:
- a value comes from curves (named in `rows`), the plan, and what ASSUMED says; from nothing else;
- a curve that is not there makes its row 'not known', never a figure.
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
CHANGES_EACH: Final = 2.5  # of the list by one restart or replacement: it drains, perhaps goes, and is back
FAILURE_CHANGES: Final = 2.0  # by a machine that fails: gone, and later back; one host a machine
HOUR: Final = 10.0  # the worst hour has so many times the ordinary rate
WORST_S: Final = 4.0  # every change is at its last gateway within this in the worst second: it may be spread so far
START_S: Final = 10.0  # nine in ten restarted processes are ready within this
WAVE: Final = 0.7  # of the gateways, started within 2 s
POLLS_PER_S: Final = 1.0  # a gateway's calls to discovery: it holds each for a second
STOP_MS: Final = 2.0  # of the loop, at the most: the goal
MET: Final = 0.01  # of the requests may be late by more than the plan's: no more may meet a stop
NEWS_MS: Final = 1_000.0  # until the last gateway has a change
LINK: Final = 1.25e9  # bytes a second of one machine: 10 Gbit/s, assumed
CORE_MS: Final = 1_000.0
SUBSET: Final = 8  # of docs/relay-design.md: gateways at a host, and hosts of a gateway in a zone, at the least
MOST: Final = 10.0  # a share beyond this is not worked out
LEAST: Final = 0.0005  # one below this is "at any size": some 20 hosts

ASSUMED: Final = (
    f"a restart or replacement makes {CHANGES_EACH:g} changes of the list, a failure {FAILURE_CHANGES:g}, and all "
    "restarts are of hosts",
    f"the worst hour has {HOUR:g} times the ordinary day's rate of changes",
    f"a zone's return may be spread over {WORST_S:g} s, as every change is to be everywhere by then",
    f"a gateway that starts has {START_S:g} s for its list",
    "MB are 10^6 bytes; 4 KB are 4,096 bytes",
    f"a machine of the control roles, or of discovery, has a link of {LINK / 1e9:g} GB a second, and a core for this",
    "each change of configuration is a reload of the one file at each gateway, and takes effect with it",
    f"the goal for the longest stop of a loop is {STOP_MS:g} ms (it is not the operators')",
)


@lru_cache(maxsize=512)
def subset_hosts(share: float, before_all: bool = False) -> float:
    """Hosts in one gateway's subset (docs/relay-design.md), as the mean over gateways, at this share of the plan.

    `before_all`: if each gateway were before every service.
    """
    gateways, hosts, services = scaled(share)
    told = 0.0
    for size in service_sizes(hosts, services):
        full = min(
            gateways,
            max(min(MIN_GATEWAYS_PER_SERVICE, gateways), round(gateways * SERVICES_PER_GATEWAY / hosts * size)),
        )
        before = gateways if before_all else full
        near = max(1.0, before / PLAN.regions)
        zone = size / PLAN.zones
        whole = min(zone, max(float(SUBSET), math.ceil(SUBSET * zone / near)))
        told += before / gateways * whole * PLAN.zones / PLAN.regions
    return told


def scaled(share: float) -> tuple[int, int, int]:
    """Gateways, hosts, services."""
    services = max(1, round(PLAN.services * share))
    return max(2, round(PLAN.gateways * share)), max(services, round(PLAN.hosts * share)), services


@lru_cache(maxsize=1)
def services_of_gateways() -> tuple[int, float, int]:
    """Services that a gateway is before, in the plan's fleet: least, mean, most."""
    counts = [len(gateway.services) for gateway in build_fleet(PLAN.gateways, PLAN.hosts).gateways]
    return min(counts), sum(counts) / len(counts), max(counts)


@dataclass(slots=True, frozen=True)
class Load:
    """A fleet at this share of the plan. `told` hosts are known to one gateway, which hears of changes of these."""

    curves: Mapping[str, Curve]
    share: float
    subset: bool = False

    def at(self, name: str, size: float) -> float:
        return self.curves[name].at(size)

    @property
    def hosts(self) -> float:
        return PLAN.hosts * self.share

    @property
    def gateways(self) -> float:
        return PLAN.gateways * self.share

    @property
    def told(self) -> float:
        if not self.subset:
            return self.hosts
        least, mean, most = services_of_gateways()
        widest = subset_hosts(round(self.share, 4)) * most / mean  # hosts, of the gateway with the most services
        return min(self.hosts / PLAN.regions, widest)

    @property
    def changes(self) -> float:
        """Changes a second of the whole list, ordinary day."""
        a_day = PLAN.restarts_per_day * CHANGES_EACH + PLAN.failures_per_day * FAILURE_CHANGES
        return a_day / DAY_S * self.share

    @property
    def heard(self) -> float:
        """Of these, at one gateway."""
        return self.changes * self.told / self.hosts

    @property
    def zone(self) -> float:
        """Hosts of a zone that one gateway is told of when it comes back, as a share of a sixth of those told."""
        return float(PLAN.zones) / (PLAN.zones / PLAN.regions) if self.subset else 1.0

    def zone_back(self, name: str) -> float:
        """What the return of a zone costs: the curve is by all hosts told, of which a sixth are back."""
        return self.at(name, self.told * self.zone)

    @property
    def each_relay(self) -> float:
        """Gateways of one relay."""
        return self.gateways / PLAN.control_machines

    @property
    def configurations(self) -> float:
        return PLAN.configurations_per_day / DAY_S * self.share

    def settings(self, name: str) -> float:
        return self.at(f"tenants_reload_{name}", PLAN.tenants * self.share)

    def control_bytes(self, times: float) -> float:
        """A second, at one gateway."""
        changes = times * self.heard * self.change_bytes
        return POLLS_PER_S * self.at("poll_bytes", self.told) + self.others_bytes + changes

    def relayed_bytes(self, times: float) -> float:
        """The same by what a relay says of each change, also for windows that shift; the widest gateway's part."""
        least, mean, most = services_of_gateways()
        each = self.at("relay_change_1_bytes", self.hosts) / self.each_relay * most / mean
        return POLLS_PER_S * self.at("poll_bytes", self.told) + self.others_bytes + times * self.changes * each

    @property
    def others_bytes(self) -> float:
        """A second, at one gateway; the holders of duties are taken for spread evenly."""
        each = self.at("duties_bytes_per_s", self.gateways) / self.gateways
        return self.at("presence_bytes_per_s", self.gateways) + each

    @property
    def change_bytes(self) -> float:
        return self.at("change_1_bytes", self.told)

    def control_ms(self, times: float) -> float:
        """CPU a second for control, at one gateway, in ms."""
        others = self.at("presence_ms_per_s", self.gateways) + self.at("duties_ms_per_s", self.gateways)
        changes = times * self.heard * self.at("change_1_cpu_ms", self.told)
        return self.at("idle_ms_per_s", self.told) + others + changes

    def memory(self, most: bool = False) -> float:
        """MB of one gateway with all that it would have to know."""
        kib = self.at("presence_kib", self.gateways) + self.at("routes_kib", PLAN.routes * self.share)
        kib += self.at("services_kib", PLAN.services * self.share)
        resident = self.at("resident_most_mb" if most else "resident_mb", self.told)
        return resident + self.settings("kept_mb") + kib * 1024 / 1e6


LIST, SETTINGS, OTHERS, RELAYS, PROGRAM = (
    "the list of hosts at each gateway", "the settings, told and read as a whole", "gateways that watch one another",
    "relays", "the program itself",
)  # fmt: skip
_BYTES, _CPU = ("poll_bytes", "presence_bytes_per_s", "duties_bytes_per_s", "change_1_bytes"), (
    "idle_ms_per_s", "presence_ms_per_s", "duties_ms_per_s", "change_1_cpu_ms",
)  # fmt: skip


@dataclass(slots=True, frozen=True)
class Line:
    role: str
    moment: str
    what: str
    unit: str
    limit: float | None  # None: the operators named none
    value: Callable[[Load], float]
    rows: tuple[str, ...]  # of the slopes
    cause: str
    carried: str = ""  # by whom, before the mechanism; "" is 'missing'
    carried_after: str = ""  # the same with it; "" where it changes nothing
    priced: bool = False  # state that the program does not have
    only_after: bool = False  # the role is not there before the mechanism
    # With the mechanism, where these rows of its own were measured; else `value` at the subset's size.
    after: Callable[[Load], float] | None = None
    after_rows: tuple[str, ...] = ()
    would: str = ""  # what would carry it where it is broken with the mechanism too

    def by(self, curves: Mapping[str, Curve], subset: bool) -> tuple[Callable[[Load], float], tuple[str, ...]]:
        """How it is worked out, and by which rows."""
        if subset and self.after is not None and all(name in curves for name in self.after_rows):
            return self.after, self.after_rows
        return self.value, self.rows


_MEMORY = ("presence_kib", "routes_kib", "services_kib", "tenants_reload_kept_mb")
_REGISTRY = "`cloverkeel.discovery.http_client`"
_SUBSET = "relay and subset (docs/relay-design.md)"
_MODULE = "`EndpointUpdates.apply`"
_RELAYED = ("poll_bytes", "presence_bytes_per_s", "duties_bytes_per_s", "relay_change_1_bytes")
_SLICES = "lists taken in slices: so many hosts a turn of the loop"
_REQUEST = "what a request costs before few hosts too: fewer wakes, and the machine's share"
_SPREAD = "a subset told in parts at a metered rate, what restricts and what is near first"
_PARTS = "changes of settings told as changes, and taken as such"
_RELAY = "`cloverkeel.control_plane`"
LINES: Final = (
    Line("gateway, requests", "ordinary day", "p99 added", "ms", PLAN.added_p99_ms,
         lambda at: at.at("quiet_p99_added_ms", at.told), ("quiet_p99_added_ms",), LIST,
         "`cloverkeel.balancing.balancer`", _SUBSET, would=_REQUEST,
         after=lambda at: at.at("relayed_p99_added_ms", at.hosts), after_rows=("relayed_p99_added_ms",)),
    Line("gateway, requests", "worst hour", "p99 added while hosts change", "ms",
         PLAN.added_p99_ms, lambda at: at.at("changes_p99_added_ms", at.told), ("changes_p99_added_ms",), LIST,
         "`cloverkeel.balancing.balancer`", _SUBSET, would=_REQUEST,
         after=lambda at: at.at("relayed_changes_p99_added_ms", at.hosts),
         after_rows=("relayed_changes_p99_added_ms",)),
    Line("gateway, requests", "ordinary day", "CPU of requests, a second", "ms/s", CORE_MS,
         lambda at: PLAN.requests_per_gateway * at.at("quiet_request_us", at.told) / 1e3, ("quiet_request_us",),
         PROGRAM, "`cloverkeel.core.gateway`"),
    Line("gateway, hosts", "ordinary day", "bytes a second for control", "bytes/s", PLAN.control_bytes_per_s,
         lambda at: at.control_bytes(1), _BYTES, LIST, _REGISTRY, _SUBSET,
         after=lambda at: at.relayed_bytes(1), after_rows=_RELAYED),
    Line("gateway, hosts", "worst hour", "bytes a second for control", "bytes/s", PLAN.control_bytes_per_s,
         lambda at: at.control_bytes(HOUR), _BYTES, LIST, _REGISTRY, _SUBSET,
         after=lambda at: at.relayed_bytes(HOUR), after_rows=_RELAYED),
    Line("gateway, hosts", "worst second", "bytes a second, a zone back", "bytes/s", PLAN.control_bytes_per_s,
         lambda at: at.zone_back("change_zone_bytes") / WORST_S, ("change_zone_bytes",), LIST, _REGISTRY, _SUBSET,
         after=lambda at: at.at("relay_change_zone_bytes_most", at.hosts) / WORST_S,
         after_rows=("relay_change_zone_bytes_most",), would=_SPREAD),
    Line("gateway, hosts", "worst second", "bytes a second, its start", "bytes/s", PLAN.control_bytes_per_s,
         lambda at: at.at("whole_bytes", at.told) / START_S, ("whole_bytes",), LIST, _REGISTRY, _SUBSET,
         after=lambda at: at.at("relay_whole_bytes", at.hosts) / START_S, after_rows=("relay_whole_bytes",),
         would=_SPREAD),
    Line("gateway, hosts", "ordinary day", "CPU for control, a second", "ms/s", PLAN.control_core * CORE_MS,
         lambda at: at.control_ms(1), _CPU, LIST, _MODULE, _SUBSET),
    Line("gateway, hosts", "worst hour", "CPU for control, a second", "ms/s", PLAN.control_core * CORE_MS,
         lambda at: at.control_ms(HOUR), _CPU, LIST, _MODULE, _SUBSET),
    Line("gateway, hosts", "worst second", "CPU for control, a second, a zone back", "ms/s",
         PLAN.control_core * CORE_MS, lambda at: at.control_ms(1) + at.zone_back("change_zone_cpu_ms") / WORST_S,
         (*_CPU, "change_zone_cpu_ms"), LIST, _MODULE, _SUBSET,
         after=lambda at: at.control_ms(1) + at.zone_back("subset_change_zone_cpu_ms") / WORST_S,
         after_rows=(*_CPU, "subset_change_zone_cpu_ms")),
    Line("gateway, hosts", "ordinary day", "longest stop of the loop, one change", "ms", STOP_MS,
         lambda at: at.at("change_1_stop_ms", at.told), ("change_1_stop_ms",), LIST, _MODULE, _SUBSET,
         would=_SLICES),
    Line("gateway, hosts", "worst second", "longest stop of the loop, the collector", "ms", STOP_MS,
         lambda at: at.at("collector_ms", at.told), ("collector_ms",), LIST, "`cloverkeel.core.gc_tuning`", _SUBSET,
         would=_SLICES),
    Line("gateway, hosts", "worst second", "longest stop of the loop, a zone back", "ms", STOP_MS,
         lambda at: at.zone_back("change_zone_stop_ms"), ("change_zone_stop_ms",), LIST, _MODULE, _SUBSET,
         would=_SLICES,
         after=lambda at: at.zone_back("subset_change_zone_stop_ms"), after_rows=("subset_change_zone_stop_ms",)),
    Line("gateway, hosts", "worst second", "longest stop of the loop, a whole list while requests are served", "ms",
         STOP_MS, lambda at: at.at("whole_stop_ms", at.told), ("whole_stop_ms",), LIST, _REGISTRY, _SUBSET,
         would=_SLICES,
         after=lambda at: at.at("subset_whole_stop_ms", at.told), after_rows=("subset_whole_stop_ms",)),
    Line("gateway, hosts", "worst second", "longest stop of the loop, the first list: nobody is served before it",
         "ms", None, lambda at: at.at("whole_first_stop_ms", at.told), ("whole_first_stop_ms",), LIST, _REGISTRY,
         _SUBSET, after=lambda at: at.at("subset_whole_first_stop_ms", at.told),
         after_rows=("subset_whole_first_stop_ms",)),
    Line("gateway, hosts", "worst second", "start to ready", "ms", START_S * 1e3,
         lambda at: at.at("ready_ms", at.told), ("ready_ms",), LIST, "`cloverkeel.cli.serving`", _SUBSET),
    Line("gateway, hosts", "ordinary day", "memory, with what it would have to know of routes and tenants", "MB",
         PLAN.control_mb, lambda at: at.memory(), ("resident_mb", *_MEMORY), LIST, _MODULE, _SUBSET, True,
         would="tenants and routes of its own services alone"),
    Line("gateway, hosts", "worst second", "the same, with a whole list told to it once", "MB", PLAN.control_mb,
         lambda at: at.memory(most=True), ("resident_most_mb", *_MEMORY), LIST, _REGISTRY, _SUBSET, True,
         would="tenants and routes of its own services alone"),
    Line("gateway, others", "ordinary day", "bytes a second, presence and duties", "bytes/s",
         PLAN.control_bytes_per_s, lambda at: at.others_bytes,
         ("presence_bytes_per_s", "duties_bytes_per_s"), OTHERS, "`cloverkeel.gossip`, `cloverkeel.leases`"),
    Line("gateway, others", "ordinary day", "CPU a second, presence and duties", "ms/s", PLAN.control_core * CORE_MS,
         lambda at: at.at("presence_ms_per_s", at.gateways) + at.at("duties_ms_per_s", at.gateways),
         ("presence_ms_per_s", "duties_ms_per_s"), OTHERS, "`cloverkeel.gossip`, `cloverkeel.leases`"),
    Line("gateway, others", "worst second", "until all doubt a host that fails", "ms", None,
         lambda at: at.at("news_all_ms", at.gateways), ("news_all_ms",), OTHERS, "`cloverkeel.gossip.dissemination`"),
    Line("gateway, others", "worst second", "bytes a second while that is told", "bytes/s", PLAN.control_bytes_per_s,
         lambda at: at.at("news_bytes_per_s", at.gateways), ("news_bytes_per_s",), OTHERS,
         "`cloverkeel.gossip.dissemination`"),
    Line("gateway, settings", "ordinary day", "bytes a second, if each change brings the whole file", "bytes/s",
         PLAN.control_bytes_per_s, lambda at: at.configurations * at.settings("bytes"), ("tenants_reload_bytes",),
         SETTINGS, would=_PARTS, priced=True),
    Line("gateway, settings", "ordinary day", "CPU a second of reloads", "ms/s", PLAN.control_core * CORE_MS,
         lambda at: at.configurations * at.settings("cpu_ms"), ("tenants_reload_cpu_ms",), SETTINGS,
         "`cloverkeel.core.reload`: only discovery's address is taken", would=_PARTS,
         priced=True),
    Line("gateway, settings", "ordinary day", "part of the time that the loop stands for reloads", "share", MET,
         lambda at: at.configurations * at.settings("stop_ms") / 1e3, ("tenants_reload_stop_ms",), SETTINGS,
         "`cloverkeel.core.reload`", would=_PARTS, priced=True),
    Line("gateway, settings", "ordinary day", "until a reload is read", "ms", PLAN.configuration_s * 1e3,
         lambda at: at.settings("ms"), ("tenants_reload_ms",), SETTINGS, "`cloverkeel.core.reload`", would=_PARTS),
    Line("gateway, settings", "ordinary day", "memory while one is read, beside the program", "MB", PLAN.control_mb,
         lambda at: at.at("resident_mb", at.told) + at.settings("most_mb"),
         ("resident_mb", "tenants_reload_most_mb"), SETTINGS, "`cloverkeel.core.config`", would=_PARTS),
    Line("relay", "ordinary day", "bytes out a second, each", "bytes/s", LINK,
         lambda at: at.each_relay * POLLS_PER_S * at.at("poll_bytes", 1)
         + at.changes * at.at("relay_change_1_bytes", at.hosts),
         ("poll_bytes", "relay_change_1_bytes"), RELAYS, _RELAY, only_after=True),
    Line("relay", "worst second", "bytes out a second, each, a zone back", "bytes/s", LINK,
         lambda at: at.at("relay_change_zone_bytes", at.hosts) / WORST_S, ("relay_change_zone_bytes",), RELAYS,
         _RELAY, only_after=True),
    Line("relay", "worst second", "bytes out a second, each, 7 in 10 gateways start", "bytes/s", LINK,
         lambda at: WAVE * at.each_relay * at.at("relay_whole_bytes", at.hosts) / START_S, ("relay_whole_bytes",),
         RELAYS, _RELAY, only_after=True),
    Line("relay", "worst second", "bytes out a second, each, one killed and its gateways told within 1 s", "bytes/s",
         LINK, lambda at: at.each_relay / (PLAN.control_machines - 1) * at.at("relay_whole_bytes", at.hosts),
         ("relay_whole_bytes",), RELAYS, _RELAY, only_after=True),
    Line("relay", "worst hour", "CPU of changes a second, each", "ms/s", CORE_MS,
         lambda at: HOUR * at.changes * at.at("relay_change_1_cpu_ms", at.hosts), ("relay_change_1_cpu_ms",), RELAYS,
         _RELAY, only_after=True),
    Line("relay", "worst second", "CPU until a zone that is back is told to all of one relay", "ms", WORST_S * 1e3,
         lambda at: at.at("relay_change_zone_cpu_ms", at.hosts), ("relay_change_zone_cpu_ms",), RELAYS, _RELAY,
         only_after=True),
    Line("relay", "worst second", "CPU until 7 in 10 of its gateways have their wholes", "ms", START_S * 1e3,
         lambda at: WAVE * at.each_relay * at.at("relay_whole_cpu_ms", at.hosts), ("relay_whole_cpu_ms",), RELAYS,
         _RELAY, only_after=True),
    Line("relay", "worst second", "longest step, a whole list taken", "ms", NEWS_MS,
         lambda at: at.at("relay_take_stop_ms", at.hosts), ("relay_take_stop_ms",), RELAYS, _RELAY, only_after=True,
         would=_SLICES),
    Line("relay", "ordinary day", "memory of the list and of what each gateway has", "MB", None,
         lambda at: at.at("relay_kept_mb", at.hosts), ("relay_kept_mb",), RELAYS, _RELAY, only_after=True),
    Line("discovery", "ordinary day", "calls a second that it answers", "/s", None,
         lambda at: (PLAN.control_machines if at.subset else at.gateways) * POLLS_PER_S, (), LIST, "discovery's own",
         "12 relays ask"),
    Line("discovery", "ordinary day", "bytes out a second", "bytes/s", LINK,
         lambda at: (PLAN.control_machines if at.subset else at.gateways)
         * (at.at("poll_bytes", 1) + at.changes * at.change_bytes),
         ("poll_bytes", "change_1_bytes"), LIST, "discovery's own", "12 relays ask"),
    Line("discovery", "worst second", "bytes out a second, a zone back", "bytes/s", LINK,
         lambda at: (PLAN.control_machines if at.subset else at.gateways)
         * at.at("change_zone_bytes", at.hosts) / WORST_S,
         ("change_zone_bytes",), LIST, "discovery's own", "12 relays ask"),
    Line("discovery", "worst second", "bytes out a second, 7 in 10 gateways start", "bytes/s", LINK,
         lambda at: (PLAN.control_machines if at.subset else WAVE * at.gateways)
         * at.at("whole_bytes", at.hosts) / START_S,
         ("whole_bytes",), LIST, "discovery's own", "12 relays ask, at the worst all at once"),
)  # fmt: skip


@dataclass(slots=True, frozen=True)
class Figure:
    """A line worked out at the plan's size. `share`: inf beyond MOST, 0 at any size, None where there is no limit or
    no figure."""

    line: Line
    value: float | None
    share: float | None
    rows: tuple[str, ...]  # of the slopes


def work_out(curves: Mapping[str, Curve], subset: bool, lines: tuple[Line, ...] = LINES) -> list[Figure]:
    """Each line at the plan's size, as the program is (`subset` False), or with the mechanism."""
    made: list[Figure] = []
    for line in lines:
        if line.only_after and not subset:
            continue
        value, rows = line.by(curves, subset)
        if any(name not in curves for name in rows):
            made.append(Figure(line, None, None, rows))
            continue
        made.append(Figure(line, value(Load(curves, 1.0, subset)), share_at(line, curves, subset), rows))
    return made


def share_at(line: Line, curves: Mapping[str, Curve], subset: bool) -> float | None:
    """The least share of the plan at which the limit is passed, within 0.1%."""
    limit = line.limit
    if limit is None:
        return None

    value, _ = line.by(curves, subset)

    def breaks(share: float) -> bool:
        return value(Load(curves, share, subset)) > limit

    if breaks(LEAST):
        return 0.0
    if not breaks(MOST):
        return math.inf
    low, high = LEAST, MOST
    while high / low > 1.001:
        middle = math.sqrt(low * high)
        low, high = (low, middle) if breaks(middle) else (middle, high)
    return low


def ranking(figures: list[Figure]) -> list[Figure]:
    """What has a limit and a figure, the least share first."""
    known = [figure for figure in figures if figure.share is not None]
    return sorted(known, key=lambda found: (found.share or 0.0, -(found.value or 0.0) / (found.line.limit or 1.0)))
