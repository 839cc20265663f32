"""An endpoint cache with hosts, and what it answers."""

from __future__ import annotations

import json
from typing import Any

from benchmarks.relay_model import Entry, entry
from cloverkeel.control_plane.endpoint_cache import EndpointCache
from cloverkeel.control_plane.messages import ListResponse, Subscriber
from cloverkeel.control_plane.roster_parser import parse_roster

ROSTER: dict[str, Any] = {
    "regions": {"r0": ["a", "b"], "r1": ["c"]},
    "gateways": {f"g{n}": {"zone": "abc"[n % 3]} for n in range(20)} | {"only": {"zone": "a", "services": ["s"]}},
}


HOSTS = [entry(f"h{n:02}", "st"[n % 2], "abc"[n % 3]) for n in range(60)]


G0, G2, SINGLE_SERVICE, UNNAMED = Subscriber("g0"), Subscriber("g2"), Subscriber("only"), Subscriber()


def make_cache(hosts: list[Entry] = HOSTS, first_index: int = 1) -> EndpointCache:
    made = EndpointCache(parse_roster(json.dumps(ROSTER), "roster.json"), first_index)
    made.apply_list(True, hosts)
    return made


def respond(cache: EndpointCache, subscriber: Subscriber, since: int | None = None) -> ListResponse:
    answer = cache.respond(subscriber, since)
    assert answer is not None
    return answer


def entries_of(answer: ListResponse) -> list[Entry]:
    entries: list[Entry] = json.loads(answer.body(0))["endpoints"]
    return entries


def status_by_name(answer: ListResponse) -> dict[str, str]:
    return {raw["name"]: raw["status"] for raw in entries_of(answer)}


def draining(raw: Entry) -> Entry:
    return raw | {"status": "DRAINING"}


def deleted(raw: Entry) -> Entry:
    return raw | {"status": "DELETED"}
