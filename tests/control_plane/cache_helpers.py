"""An endpoint cache filled with hosts, and helpers that decode its responses."""

from __future__ import annotations

import json
from typing import Any

from benchmarks.relay_model import Entry, make_entry
from cloverkeel.control_plane.endpoint_cache import EndpointCache
from cloverkeel.control_plane.messages import ListResponse, Subscriber
from cloverkeel.control_plane.roster_parser import parse_roster

ROSTER: dict[str, Any] = {
    "regions": {"r0": ["a", "b"], "r1": ["c"]},
    "gateways": {f"g{n}": {"zone": "abc"[n % 3]} for n in range(20)} | {"only": {"zone": "a", "services": ["s"]}},
}


HOSTS = [make_entry(f"h{n:02}", "st"[n % 2], "abc"[n % 3]) for n in range(60)]


G0, G2, SINGLE_SERVICE, UNNAMED = Subscriber("g0"), Subscriber("g2"), Subscriber("only"), Subscriber()


def make_cache(hosts: list[Entry] = HOSTS, first_index: int = 1) -> EndpointCache:
    cache = EndpointCache(parse_roster(json.dumps(ROSTER), "roster.json"), first_index)
    cache.apply_list(True, hosts)
    return cache


def respond(cache: EndpointCache, subscriber: Subscriber, known_index: int | None = None) -> ListResponse:
    response = cache.respond(subscriber, known_index)
    assert response is not None
    return response


def entries_of(response: ListResponse) -> list[Entry]:
    entries: list[Entry] = json.loads(response.body(0))["endpoints"]
    return entries


def status_by_name(response: ListResponse) -> dict[str, str]:
    return {item["name"]: item["status"] for item in entries_of(response)}


def draining(item: Entry) -> Entry:
    return item | {"status": "DRAINING"}


def deleted(item: Entry) -> Entry:
    return item | {"status": "DELETED"}
