"""Builds a fleet of hosts and gateways, and reads its subsets."""

from __future__ import annotations

import json
from typing import Any

from benchmarks.relay_model import make_entry
from cloverkeel.control_plane.endpoint_cache import EndpointCache
from cloverkeel.control_plane.messages import Subscriber
from cloverkeel.control_plane.roster_parser import parse_roster


def make_fleet(hosts: int, gateways: int, service: str = "s", **extra: Any) -> dict[str, Any]:
    """Build a roster and the entries of a service.

    Gateways and hosts are spread evenly over two zones of one region and one zone of another.
    """
    zones = ["r0-a", "r0-b", "r1-a"]
    return {
        "roster": {
            "regions": {"r0": zones[:2], "r1": zones[2:]},
            "gateways": {f"g{n}": {"zone": zones[n % 3]} for n in range(gateways)},
        },
        "entries": [make_entry(f"h{n}", service, zones[n % 3]) for n in range(hosts)],
    } | extra


def make_cache(roster: dict[str, Any], entries: list[dict[str, Any]]) -> EndpointCache:
    cache = EndpointCache(parse_roster(json.dumps(roster), "roster.json"), 1)
    cache.apply_list(True, entries)
    return cache


def subset_of(cache: EndpointCache, subscriber: Subscriber) -> dict[str, dict[str, Any]]:
    response = cache.respond(subscriber, None)
    assert response is not None and response.is_snapshot
    entries: list[dict[str, Any]] = json.loads(response.body(0))["endpoints"]
    return {item["name"]: item for item in entries}
