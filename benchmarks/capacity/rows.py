"""Which costs are measured, by what, at which sizes: data alone. Another part of parts.py adds its rows here."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from benchmarks.capacity.plan import PLAN


@dataclass(slots=True, frozen=True)
class Part:
    """One child process a size: `benchmarks.capacity.parts`."""

    name: str
    by: str  # what its size counts
    sizes: tuple[int, ...]
    quick: tuple[int, ...]
    plan: int  # the plan's size
    rounds: int = 1  # all sizes in turn, so often; the median counts, and the spread is kept


@dataclass(slots=True, frozen=True)
class Spec:
    """One cost. `name` is what the part calls it, and what budget.py finds it by."""

    name: str
    part: str
    role: str
    cost: str
    unit: str
    least: int = 0  # sizes below this have no such value
    estimate: bool = False  # of state that the program does not have yet


SUBSET: Final = 790  # hosts of the widest gateway's subset (docs/relay-design.md)
HOSTS: Final = (200, 2_000, 10_000, 38_000)
PARTS: Final = (
    # The longest first: what is not reached in time is what comes last.
    Part("gateway", "hosts", HOSTS, (100, 200, 500, 1_000), PLAN.hosts),
    Part("relayed", "hosts", HOSTS, (100, 200, 400, 800), PLAN.hosts, rounds=3),
    Part("list", "hosts", (200, 1_000, 2_000, 5_000, 10_000, 20_000, 38_000), (200, 500, 1_000, 2_000, 4_000, 6_000),
         PLAN.hosts),
    Part("subset", "hosts", (100, 200, 400, 800, 1_600), (100, 200, 400, 800), SUBSET),
    Part("tenants", "tenants", (170, 1_700, 17_000, 170_000), (170, 500, 1_700, 5_000), PLAN.tenants),
    Part("rate", "requests a second", (13, 40, 133, 400), (13, 40, 80, 133), round(PLAN.requests_per_gateway)),
    Part("presence", "gateways", (50, 100, 200, 400, 800), (10, 20, 50, 100), PLAN.gateways),
    Part("duties", "gateways", (50, 100, 200, 400, 800), (10, 20, 50, 100), PLAN.gateways),
    Part("relay", "hosts", HOSTS, (400, 800, 1_600, 3_200), PLAN.hosts),
    Part("news", "gateways", (25, 50, 100, 200), (5, 10, 20, 40), PLAN.gateways),
    Part("classes", "classes", (3, 10, 30, 100), (3, 6, 12, 24), 30),
    Part("routes", "routes", (110, 1_100, 3_500, 11_000), (110, 300, 1_100, 3_000), PLAN.routes),
    Part("services", "services", (14, 140, 700, 1_400), (14, 50, 140, 700), PLAN.services),
)  # fmt: skip

_RELAY: Final = "relay"  # one of twelve: a twelfth of the gateways that the plan has before so many hosts
_HOSTS, _REQUESTS, _OTHERS, _SETTINGS = "gateway, hosts", "gateway, requests", "gateway, others", "gateway, settings"


def _list() -> list[Spec]:
    made: list[Spec] = []
    for name, said, least in (
        ("whole", "a whole list again", 0), ("change_1", "a change of 1 host", 0),
        ("change_5", "a change of 5 hosts", 0),
        ("change_500", "a change of 500 hosts", 1_000), ("change_zone", "a zone back (a sixth of the hosts)", 0),
    ):  # fmt: skip
        made.append(Spec(f"{name}_cpu_ms", "list", _HOSTS, f"CPU of {said}", "ms", least))
        made.append(Spec(f"{name}_stop_ms", "list", _HOSTS, f"longest stop of the loop by {said}", "ms", least))
        made.append(Spec(f"{name}_bytes", "list", _HOSTS, f"bytes of {said}", "bytes", least))
    return made


def _first(name: str, part: str) -> Spec:
    said = "longest stop of the loop by the first list: nobody is served before it"
    return Spec(name, part, _HOSTS, said, "ms")


def _subset() -> list[Spec]:
    """Behind a relay that answers as gzip."""
    made = [_first("subset_whole_first_stop_ms", "subset")]
    for name, said in (("whole", "a whole subset again"), ("change_zone", "a sixth of a subset back")):
        made.append(Spec(f"subset_{name}_cpu_ms", "subset", _HOSTS, f"CPU of {said}", "ms"))
        made.append(Spec(f"subset_{name}_stop_ms", "subset", _HOSTS, f"longest stop of the loop by {said}", "ms"))
        made.append(Spec(f"subset_{name}_bytes", "subset", _HOSTS, f"bytes of {said}, as gzip", "bytes"))
    return made


def _reload(name: str) -> list[Spec]:
    said = f"by {name}"
    return [
        Spec(f"{name}_reload_cpu_ms", name, _SETTINGS, f"CPU of a reload, {said}", "ms"),
        Spec(f"{name}_reload_ms", name, _SETTINGS, f"time until a reload is read, {said}", "ms"),
        Spec(f"{name}_reload_stop_ms", name, _SETTINGS, f"longest stop of the loop by a reload, {said}", "ms"),
        Spec(f"{name}_reload_bytes", name, _SETTINGS, f"bytes of the configuration, {said}", "bytes"),
        Spec(f"{name}_reload_kept_mb", name, _SETTINGS, f"memory that the settings take, {said}", "MB"),
        Spec(f"{name}_reload_most_mb", name, _SETTINGS, f"the most memory while one is read, {said}", "MB"),
    ]


SPECS: Final = (
    Spec("resident_mb", "gateway", _HOSTS, "resident memory when ready", "MB"),
    Spec("resident_most_mb", "gateway", _HOSTS, "the most, with a whole list told to it once", "MB"),
    Spec("ready_ms", "gateway", _HOSTS, "start to ready", "ms"),
    Spec("idle_ms_per_s", "gateway", _HOSTS, "CPU a second with nothing to do", "ms/s"),
    *_list(),
    _first("whole_first_stop_ms", "list"),
    *_subset(),
    Spec("poll_bytes", "list", _HOSTS, "bytes of a call to discovery that brings nothing", "bytes"),
    Spec("collector_ms", "list", _HOSTS, "the collector's longest full pass while lists and changes come", "ms"),
    Spec("quiet_request_us", "gateway", _REQUESTS, "CPU a request at the plan's rate, nothing changes", "us"),
    Spec("changes_request_us", "gateway", _REQUESTS, "the same, 5 hosts change three times a second", "us"),
    Spec("rate_request_us", "rate", _REQUESTS, "CPU a request before 200 hosts", "us"),
    Spec("quiet_p99_added_ms", "gateway", _REQUESTS, "p99 added, nothing changes", "ms"),
    Spec("changes_p99_added_ms", "gateway", _REQUESTS, "p99 added, 5 hosts change three times a second", "ms"),
    Spec("quiet_p99_direct_ms", "gateway", _REQUESTS, "p99 of the same sent to the hosts directly", "ms"),
    Spec("changes_p99_direct_ms", "gateway", _REQUESTS, "p99 sent directly meanwhile, while 5 hosts change", "ms"),
    Spec("quiet_refused", "gateway", _REQUESTS, "share of requests not served, nothing changes", "share"),
    Spec("changes_refused", "gateway", _REQUESTS, "the same, 5 hosts change three times a second", "share"),
    Spec("presence_datagrams_per_s", "presence", _OTHERS, "presence, datagrams a second", "/s"),
    Spec("presence_bytes_per_s", "presence", _OTHERS, "presence, bytes a second", "bytes/s"),
    Spec("presence_ms_per_s", "presence", _OTHERS, "presence, CPU a second", "ms/s"),
    Spec("presence_kib", "presence", _OTHERS, "sharing, memory", "KiB"),
    Spec("news_all_ms", "news", _OTHERS, "until all gateways doubt a host that fails", "ms"),
    Spec("news_bytes_per_s", "news", _OTHERS, "sharing, bytes a second meanwhile", "bytes/s"),
    Spec(
        "duties_datagrams_per_s", "duties", _OTHERS, "duties, datagrams a second of all gateways, 8 cold hosts", "/s"
    ),
    Spec("duties_bytes_per_s", "duties", _OTHERS, "duties, bytes a second of all gateways, 8 hosts cold", "bytes/s"),
    Spec("duties_ms_per_s", "duties", _OTHERS, "duties, CPU a second of one gateway, 8 hosts cold", "ms/s"),
    Spec("relay_take_ms", "relay", _RELAY, "CPU of a whole list taken", "ms"),
    Spec("relay_take_stop_ms", "relay", _RELAY, "longest step by a whole list taken", "ms"),
    Spec("relay_whole_cpu_ms", "relay", _RELAY, "CPU of one gateway's whole subset", "ms"),
    Spec("relay_whole_bytes", "relay", _RELAY, "bytes of the largest whole subset", "bytes"),
    Spec("relay_kept_mb", "relay", _RELAY, "memory of the list and of what each gateway has", "MB"),
    Spec("relay_change_1_cpu_ms", "relay", _RELAY, "CPU of a host back, all its gateways told", "ms"),
    Spec("relay_change_1_stop_ms", "relay", _RELAY, "longest step by a host back", "ms"),
    Spec("relay_change_1_bytes", "relay", _RELAY, "bytes out of a host back, all its gateways", "bytes"),
    Spec("relay_change_1_bytes_most", "relay", _RELAY, "the same, the gateway that is told most", "bytes"),
    Spec("relay_change_zone_cpu_ms", "relay", _RELAY, "CPU of a zone back, all its gateways told", "ms"),
    Spec("relay_change_zone_stop_ms", "relay", _RELAY, "longest step by a zone back", "ms"),
    Spec("relay_change_zone_bytes", "relay", _RELAY, "bytes out of a zone back, all its gateways", "bytes"),
    Spec("relay_change_zone_bytes_most", "relay", _RELAY, "the same, the gateway that is told most", "bytes"),
    *_reload("tenants"),
    *_reload("classes"),
    Spec("routes_kib", "routes", _SETTINGS, "state that routes would need", "KiB", estimate=True),
    Spec("routes_bytes", "routes", _SETTINGS, "bytes of a file of routes", "bytes", estimate=True),
    Spec("services_kib", "services", _SETTINGS, "state that services would need", "KiB", estimate=True),
    Spec("relayed_p99_added_ms", "relayed", _REQUESTS, "p99 added behind a relay, nothing changes", "ms"),
    Spec(
        "relayed_changes_p99_added_ms",
        "relayed",
        _REQUESTS,
        "the same, hosts are restarted at ten times the day's rate of the whole fleet",
        "ms",
    ),
    Spec("relayed_p99_direct_ms", "relayed", _REQUESTS, "p99 sent directly meanwhile, nothing changes", "ms"),
    Spec("relayed_changes_p99_direct_ms", "relayed", _REQUESTS, "the same, hosts are restarted", "ms"),
    Spec(
        "relayed_refused",
        "relayed",
        _REQUESTS,
        "share of requests not served behind a relay, nothing changes",
        "share",
    ),
    Spec("relayed_changes_refused", "relayed", _REQUESTS, "the same, hosts are restarted", "share"),
)
