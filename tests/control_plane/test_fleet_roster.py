"""The roster file, and another roster."""

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

GOOD = make_fleet(0, 4)["roster"]


def of_g(post: str) -> str:
    return '{"regions": {"r": ["z"]}, "gateways": {"g": %s}}' % post  # noqa: UP031 - braces


def test_roster_gives_placements_groups_and_digest() -> None:
    raw = GOOD | {"gateways": GOOD["gateways"] | {"g9": {"zone": "r1-a", "services": ["a", "b"]}}}
    made = parse_roster(json.dumps(raw), "f")
    assert (
        made.placement_by_gateway["g9"] == GatewayPlacement("r1-a", "r1", frozenset("ab"))
        and made.placement_by_gateway["g0"].services is None
    )
    assert {region: each.size for region, each in made.groups("a").items()} == {"": 5, "r0": 3, "r1": 2}
    assert {region: each.size for region, each in made.groups("c").items()} == {"": 4, "r0": 3, "r1": 1}
    everyone = made.groups("a")[""]
    assert sorted(everyone.rank(name) for name in made.placement_by_gateway) == list(range(5))
    assert everyone.rank("nobody") == sum(number < gateway_hash("a", "nobody") for number in everyone.hashes)
    shuffled = json.dumps(dict(reversed(raw.items())), indent=1)
    text = json.dumps(raw, sort_keys=True, separators=(",", ":"))
    assert made.digest == f"{stable_id(text, 8):016x}"
    assert parse_roster(shuffled, "f").digest == made.digest != parse_roster(json.dumps(GOOD), "f").digest


@pytest.mark.parametrize(("text", "said"), [
    ("{", "f: expected JSON"),
    ("[" * 100_000, "f: expected JSON"),
    ("[]", 'f: the file: expected an object with "regions" and "gateways", found'),
    ('{"regions": {"r": ["z"]}, "gateways": {}}', "f: gateways: expected an object of 1 to 16384"),
    ('{"regions": {"r": ["z"]}, "gateways": {"g": {"zone": "z"}}, "more": 1}', "f: more: expected no key but"),
    ('{"regions": {"r": []}, "gateways": {"g": {"zone": "z"}}}', "f: regions.r: expected a list of zones"),
    ('{"regions": {"r": ["z"], "q": ["z"]}, "gateways": {"g": {}}}', "f: regions.q: expected each zone to be in one"),
    (of_g('{"zone": "y"}'), "f: gateways.g.zone: expected a zone of one of"),
    (of_g('{"zone": "z", "service": []}'), "f: gateways.g.service: expected"),
    (of_g('{"zone": "z", "services": []}'), "f: gateways.g.services: expected"),
    (of_g('{"zone": "z", "services": ["a", "a"]}'), "f: gateways.g.services: expected each service once"),
    ('{"regions": {"r": ["z"]}, "gateways": {"g": {"zone": "z"}, "g": {"zone": "z"}}}', "f: g: expected a key to be"),
    ('{"regions": {"r": ["z"]}, "gateways": {"": {"zone": "z"}}}', "f: gateways: expected a name of 1 to 255"),
])  # fmt: skip
def test_unusable_roster_error_names_file_and_key(text: str, said: str) -> None:
    with pytest.raises(RosterError, match=r"^f: ") as raised:
        parse_roster(text, "f")
    assert said in str(raised.value)


def test_another_roster_counts_from_the_next_response_on() -> None:
    made = make_fleet(30, 6)
    cache, subscriber = make_cache(made["roster"], made["entries"]), Subscriber("g0")
    first = cache.respond(subscriber, None)
    assert first is not None and cache.respond(subscriber, first.index) is None
    gateways = {"g0": {"zone": "r1-a"}, "g1": {"zone": "r0-a"}}
    cache.replace_roster(parse_roster(json.dumps(made["roster"] | {"gateways": gateways}), "f"))
    moved = cache.respond(subscriber, first.index)
    assert moved is not None and not moved.is_snapshot
    assert {each["zone"]: each["status"] for each in map(json.loads, moved.entries)} == {
        "r0-a": "DELETED", "r0-b": "DELETED", "r1-a": "SERVING",
    }  # fmt: skip
    assert subset_of(cache, replace(subscriber, gateway="g5")).keys() == {each["name"] for each in made["entries"]}


def test_roster_is_bounded() -> None:
    with pytest.raises(RosterError, match="expected at most 1024 zones, found '1025'"):
        parse_roster(json.dumps({"regions": {"r": [f"z{n}" for n in range(1_025)]}, "gateways": {"g": {}}}), "f")
    assert isinstance(parse_roster(json.dumps(GOOD).encode(), "f"), FleetRoster)
