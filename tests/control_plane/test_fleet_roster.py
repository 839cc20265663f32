"""Parsing of the roster file, and replacement of the roster."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest

from cloverkeel.control_plane.errors import RosterError
from cloverkeel.control_plane.fleet_roster import FleetRoster, GatewayPlacement, gateway_hash
from cloverkeel.control_plane.messages import Subscriber
from cloverkeel.control_plane.roster_parser import parse_roster
from cloverkeel.core.config import stable_id
from tests.control_plane.subset_helpers import make_cache, make_fleet, subset_of

VALID_ROSTER = make_fleet(0, 4)["roster"]


def with_gateway(fields: str) -> str:
    return '{"regions": {"r": ["z"]}, "gateways": {"g": %s}}' % fields  # noqa: UP031 - the JSON text has braces


def test_parsed_roster_has_placements_groups_and_digest() -> None:
    raw = VALID_ROSTER | {"gateways": VALID_ROSTER["gateways"] | {"g9": {"zone": "r1-a", "services": ["a", "b"]}}}
    roster = parse_roster(json.dumps(raw), "f")
    assert (
        roster.placement_by_gateway["g9"] == GatewayPlacement("r1-a", "r1", frozenset("ab"))
        and roster.placement_by_gateway["g0"].services is None
    )
    assert {region: each.size for region, each in roster.groups("a").items()} == {"": 5, "r0": 3, "r1": 2}
    assert {region: each.size for region, each in roster.groups("c").items()} == {"": 4, "r0": 3, "r1": 1}
    all_gateways = roster.groups("a")[""]
    assert sorted(all_gateways.rank(name) for name in roster.placement_by_gateway) == list(range(5))
    assert all_gateways.rank("nobody") == sum(
        hash_value < gateway_hash("a", "nobody") for hash_value in all_gateways.hashes
    )
    shuffled = json.dumps(dict(reversed(raw.items())), indent=1)
    text = json.dumps(raw, sort_keys=True, separators=(",", ":"))
    assert roster.digest == f"{stable_id(text, 8):016x}"
    assert parse_roster(shuffled, "f").digest == roster.digest != parse_roster(json.dumps(VALID_ROSTER), "f").digest


@pytest.mark.parametrize(("text", "message"), [
    ("{", "f: expected JSON"),
    ("[" * 100_000, "f: expected JSON"),
    ("[]", 'f: the file: expected an object with "regions" and "gateways", found'),
    ('{"regions": {"r": ["z"]}, "gateways": {}}', "f: gateways: expected an object with 1 to 16384 entries"),
    ('{"regions": {"r": ["z"]}, "gateways": {"g": {"zone": "z"}}, "more": 1}', "f: more: expected no key but"),
    ('{"regions": {"r": []}, "gateways": {"g": {"zone": "z"}}}', "f: regions.r: expected a list of zones"),
    ('{"regions": {"r": ["z"], "q": ["z"]}, "gateways": {"g": {}}}', "f: regions.q: expected each zone to be in one"),
    (with_gateway('{"zone": "y"}'), "f: gateways.g.zone: expected a zone of one of"),
    (with_gateway('{"zone": "z", "service": []}'), "f: gateways.g.service: expected"),
    (with_gateway('{"zone": "z", "services": []}'), "f: gateways.g.services: expected"),
    (with_gateway('{"zone": "z", "services": ["a", "a"]}'), "f: gateways.g.services: expected each service once"),
    (
        '{"regions": {"r": ["z"]}, "gateways": {"g": {"zone": "z"}, "g": {"zone": "z"}}}',
        "f: g: expected each key once, found 'a duplicate key'",
    ),
    ('{"regions": {"r": ["z"]}, "gateways": {"": {"zone": "z"}}}', "f: gateways: expected a name of 1 to 255"),
])  # fmt: skip
def test_unusable_roster_error_names_file_and_key(text: str, message: str) -> None:
    with pytest.raises(RosterError, match=r"^f: ") as raised:
        parse_roster(text, "f")
    assert message in str(raised.value)


def test_new_roster_takes_effect_with_the_next_response() -> None:
    fleet = make_fleet(30, 6)
    cache, subscriber = make_cache(fleet["roster"], fleet["entries"]), Subscriber("g0")
    first = cache.respond(subscriber, None)
    assert first is not None and cache.respond(subscriber, first.index) is None
    gateways = {"g0": {"zone": "r1-a"}, "g1": {"zone": "r0-a"}}
    cache.replace_roster(parse_roster(json.dumps(fleet["roster"] | {"gateways": gateways}), "f"))
    delta = cache.respond(subscriber, first.index)
    assert delta is not None and not delta.is_snapshot
    assert {each["zone"]: each["status"] for each in map(json.loads, delta.entries)} == {
        "r0-a": "DELETED", "r0-b": "DELETED", "r1-a": "SERVING",
    }  # fmt: skip
    assert subset_of(cache, replace(subscriber, gateway="g5")).keys() == {each["name"] for each in fleet["entries"]}


def test_roster_size_is_limited() -> None:
    with pytest.raises(RosterError, match="expected at most 1024 zones, found '1025'"):
        parse_roster(json.dumps({"regions": {"r": [f"z{n}" for n in range(1_025)]}, "gateways": {"g": {}}}), "f")
    assert isinstance(parse_roster(json.dumps(VALID_ROSTER).encode(), "f"), FleetRoster)
