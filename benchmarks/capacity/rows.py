"""Which costs are measured, by which part and at which sizes. A new part of parts.py adds its rows here."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from benchmarks.capacity.plan import PLAN


@dataclass(slots=True, frozen=True)
class Part:
    """A measurement of `benchmarks.capacity.parts`, which runs in one child process per size."""

    name: str
    size_unit: str  # what `sizes` count
    sizes: tuple[int, ...]
    quick_sizes: tuple[int, ...]  # sizes with --quick
    plan_size: int  # size at the full plan
    # Number of runs through all sizes. The result is the median over these runs, with their minimum and maximum.
    rounds: int = 1


@dataclass(slots=True, frozen=True)
class CostSpec:
    """One measured cost. `name` is its key in the output of the part, and in budget.py."""

    name: str
    part: str
    role: str
    cost: str
    unit: str
    min_size: int = 0  # smaller sizes have no value of this cost
    is_estimate: bool = False  # the cost is an estimate for state that the program does not have yet


MAX_SUBSET_HOSTS: Final = 790  # in the subset of the gateway with the most services (docs/relay-design.md)
HOST_COUNTS: Final = (200, 2_000, 10_000, 38_000)
PARTS: Final = (
    # The slowest parts come first, so that the ones that the time limit cuts off are at the end.
    Part("gateway", "hosts", HOST_COUNTS, (100, 200, 500, 1_000), PLAN.hosts),
    Part("relayed", "hosts", HOST_COUNTS, (100, 200, 400, 800), PLAN.hosts, rounds=3),
    Part("list", "hosts", (200, 1_000, 2_000, 5_000, 10_000, 20_000, 38_000), (200, 500, 1_000, 2_000, 4_000, 6_000),
         PLAN.hosts),
    Part("subset", "hosts", (100, 200, 400, 800, 1_600), (100, 200, 400, 800), MAX_SUBSET_HOSTS),
    Part("tenants", "tenants", (170, 1_700, 17_000, 170_000), (170, 500, 1_700, 5_000), PLAN.tenants),
    Part("rate", "requests a second", (13, 40, 133, 400), (13, 40, 80, 133), round(PLAN.requests_per_gateway)),
    Part("presence", "gateways", (50, 100, 200, 400, 800), (10, 20, 50, 100), PLAN.gateways),
    Part("duties", "gateways", (50, 100, 200, 400, 800), (10, 20, 50, 100), PLAN.gateways),
    Part("relay", "hosts", HOST_COUNTS, (400, 800, 1_600, 3_200), PLAN.hosts),
    Part("news", "gateways", (25, 50, 100, 200), (5, 10, 20, 40), PLAN.gateways),
    Part("classes", "classes", (3, 10, 30, 100), (3, 6, 12, 24), 30),
    Part("routes", "routes", (110, 1_100, 3_500, 11_000), (110, 300, 1_100, 3_000), PLAN.routes),
    Part("services", "services", (14, 140, 700, 1_400), (14, 50, 140, 700), PLAN.services),
)  # fmt: skip

# Roles that docs/CAPACITY.md prints. A relay is one of twelve, and serves a twelfth of the gateways.
_RELAY: Final = "relay"
_HOSTS, _REQUESTS, _PEERS, _SETTINGS = "gateway, hosts", "gateway, requests", "gateway, peers", "gateway, settings"


def _list_specs() -> list[CostSpec]:
    specs: list[CostSpec] = []
    for name, description, min_size in (
        ("whole", "a repeated full list", 0), ("change_1", "a change of 1 host", 0),
        ("change_5", "a change of 5 hosts", 0),
        ("change_500", "a change of 500 hosts", 1_000),
        ("change_zone", "the return of a zone (a sixth of the hosts)", 0),
    ):  # fmt: skip
        specs.append(CostSpec(f"{name}_cpu_ms", "list", _HOSTS, f"CPU of {description}", "ms", min_size))
        specs.append(
            CostSpec(
                f"{name}_stop_ms", "list", _HOSTS, f"longest event loop stall caused by {description}", "ms", min_size
            )
        )
        specs.append(CostSpec(f"{name}_bytes", "list", _HOSTS, f"bytes of {description}", "bytes", min_size))
    return specs


def _first_list_spec(name: str, part: str) -> CostSpec:
    description = "longest event loop stall caused by the first list; no request is served before it"
    return CostSpec(name, part, _HOSTS, description, "ms")


def _subset_specs() -> list[CostSpec]:
    """Costs behind a relay that compresses its responses with gzip."""
    specs = [_first_list_spec("subset_whole_first_stop_ms", "subset")]
    for name, description in (
        ("whole", "a repeated full subset"),
        ("change_zone", "the return of a sixth of a subset"),
    ):
        specs.append(CostSpec(f"subset_{name}_cpu_ms", "subset", _HOSTS, f"CPU of {description}", "ms"))
        specs.append(
            CostSpec(
                f"subset_{name}_stop_ms", "subset", _HOSTS, f"longest event loop stall caused by {description}", "ms"
            )
        )
        specs.append(
            CostSpec(
                f"subset_{name}_bytes", "subset", _HOSTS, f"bytes of {description}, compressed with gzip", "bytes"
            )
        )
    return specs


def _reload_specs(name: str) -> list[CostSpec]:
    description = f"by {name}"
    return [
        CostSpec(f"{name}_reload_cpu_ms", name, _SETTINGS, f"CPU of a reload, {description}", "ms"),
        CostSpec(f"{name}_reload_ms", name, _SETTINGS, f"duration of a reload, {description}", "ms"),
        CostSpec(
            f"{name}_reload_stop_ms",
            name,
            _SETTINGS,
            f"longest event loop stall caused by a reload, {description}",
            "ms",
        ),
        CostSpec(f"{name}_reload_bytes", name, _SETTINGS, f"bytes of the configuration, {description}", "bytes"),
        CostSpec(f"{name}_reload_kept_mb", name, _SETTINGS, f"memory that the settings take, {description}", "MB"),
        CostSpec(f"{name}_reload_most_mb", name, _SETTINGS, f"peak memory during a reload, {description}", "MB"),
    ]


SPECS: Final = (
    CostSpec("resident_mb", "gateway", _HOSTS, "resident memory when ready", "MB"),
    CostSpec("resident_most_mb", "gateway", _HOSTS, "peak resident memory, including one repeated full list", "MB"),
    CostSpec("ready_ms", "gateway", _HOSTS, "time from start to ready", "ms"),
    CostSpec("idle_ms_per_s", "gateway", _HOSTS, "CPU per second when idle", "ms/s"),
    *_list_specs(),
    _first_list_spec("whole_first_stop_ms", "list"),
    *_subset_specs(),
    CostSpec("poll_bytes", "list", _HOSTS, "bytes of a poll of discovery that returns no change", "bytes"),
    CostSpec(
        "collector_ms", "list", _HOSTS, "longest full garbage collection while lists and changes are applied", "ms"
    ),
    CostSpec("quiet_request_us", "gateway", _REQUESTS, "CPU per request at the plan's rate, no host changes", "us"),
    CostSpec(
        "changes_request_us",
        "gateway",
        _REQUESTS,
        "CPU per request at the plan's rate, 5 hosts change three times per second",
        "us",
    ),
    CostSpec("rate_request_us", "rate", _REQUESTS, "CPU per request with 200 hosts", "us"),
    CostSpec("quiet_p99_added_ms", "gateway", _REQUESTS, "p99 added, no host changes", "ms"),
    CostSpec("changes_p99_added_ms", "gateway", _REQUESTS, "p99 added, 5 hosts change three times per second", "ms"),
    CostSpec(
        "quiet_p99_direct_ms", "gateway", _REQUESTS, "p99 of requests sent directly to hosts, no host changes", "ms"
    ),
    CostSpec(
        "changes_p99_direct_ms",
        "gateway",
        _REQUESTS,
        "p99 of requests sent directly to hosts, 5 hosts change three times per second",
        "ms",
    ),
    CostSpec("quiet_refused", "gateway", _REQUESTS, "share of requests not served, no host changes", "share"),
    CostSpec(
        "changes_refused",
        "gateway",
        _REQUESTS,
        "share of requests not served, 5 hosts change three times per second",
        "share",
    ),
    CostSpec("presence_datagrams_per_s", "presence", _PEERS, "gossip, datagrams per second", "/s"),
    CostSpec("presence_bytes_per_s", "presence", _PEERS, "gossip, bytes per second", "bytes/s"),
    CostSpec("presence_ms_per_s", "presence", _PEERS, "gossip, CPU per second", "ms/s"),
    CostSpec("presence_kib", "presence", _PEERS, "gossip, memory", "KiB"),
    CostSpec("news_all_ms", "news", _PEERS, "time until all gateways suspect a failing host", "ms"),
    CostSpec("news_bytes_per_s", "news", _PEERS, "gossip, bytes per second while the suspicion spreads", "bytes/s"),
    CostSpec(
        "duties_datagrams_per_s",
        "duties",
        _PEERS,
        "leases, datagrams per second of all gateways, 8 hosts in slow start",
        "/s",
    ),
    CostSpec(
        "duties_bytes_per_s",
        "duties",
        _PEERS,
        "leases, bytes per second of all gateways, 8 hosts in slow start",
        "bytes/s",
    ),
    CostSpec(
        "duties_ms_per_s", "duties", _PEERS, "leases, CPU per second of one gateway, 8 hosts in slow start", "ms/s"
    ),
    CostSpec("relay_take_ms", "relay", _RELAY, "CPU to apply a full list", "ms"),
    CostSpec("relay_take_stop_ms", "relay", _RELAY, "longest step while a full list is applied", "ms"),
    CostSpec("relay_whole_cpu_ms", "relay", _RELAY, "CPU to create one gateway's full subset", "ms"),
    CostSpec("relay_whole_bytes", "relay", _RELAY, "bytes of the largest full subset", "bytes"),
    CostSpec("relay_kept_mb", "relay", _RELAY, "memory of the list and of the subset sent to each gateway", "MB"),
    CostSpec(
        "relay_change_1_cpu_ms",
        "relay",
        _RELAY,
        "CPU to apply a host's return and send it to the relay's gateways",
        "ms",
    ),
    CostSpec("relay_change_1_stop_ms", "relay", _RELAY, "longest step during a host's return", "ms"),
    CostSpec(
        "relay_change_1_bytes", "relay", _RELAY, "bytes sent to the relay's gateways for a host's return", "bytes"
    ),
    CostSpec(
        "relay_change_1_bytes_most",
        "relay",
        _RELAY,
        "bytes sent for a host's return to the gateway that receives the most",
        "bytes",
    ),
    CostSpec(
        "relay_change_zone_cpu_ms",
        "relay",
        _RELAY,
        "CPU to apply a zone's return and send it to the relay's gateways",
        "ms",
    ),
    CostSpec("relay_change_zone_stop_ms", "relay", _RELAY, "longest step during a zone's return", "ms"),
    CostSpec(
        "relay_change_zone_bytes", "relay", _RELAY, "bytes sent to the relay's gateways for a zone's return", "bytes"
    ),
    CostSpec(
        "relay_change_zone_bytes_most",
        "relay",
        _RELAY,
        "bytes sent for a zone's return to the gateway that receives the most",
        "bytes",
    ),
    *_reload_specs("tenants"),
    *_reload_specs("classes"),
    CostSpec("routes_kib", "routes", _SETTINGS, "memory that routes would need", "KiB", is_estimate=True),
    CostSpec("routes_bytes", "routes", _SETTINGS, "bytes of a file of routes", "bytes", is_estimate=True),
    CostSpec("services_kib", "services", _SETTINGS, "memory that services would need", "KiB", is_estimate=True),
    CostSpec("relayed_p99_added_ms", "relayed", _REQUESTS, "p99 added behind a relay, no host changes", "ms"),
    CostSpec(
        "relayed_changes_p99_added_ms",
        "relayed",
        _REQUESTS,
        "p99 added behind a relay, hosts are restarted at ten times the whole fleet's rate of an ordinary day",
        "ms",
    ),
    CostSpec(
        "relayed_p99_direct_ms",
        "relayed",
        _REQUESTS,
        "p99 of requests sent directly to hosts meanwhile, no host changes",
        "ms",
    ),
    CostSpec(
        "relayed_changes_p99_direct_ms",
        "relayed",
        _REQUESTS,
        "p99 of requests sent directly to hosts meanwhile, hosts are restarted",
        "ms",
    ),
    CostSpec(
        "relayed_refused",
        "relayed",
        _REQUESTS,
        "share of requests not served behind a relay, no host changes",
        "share",
    ),
    CostSpec(
        "relayed_changes_refused",
        "relayed",
        _REQUESTS,
        "share of requests not served behind a relay, hosts are restarted",
        "share",
    ),
)
