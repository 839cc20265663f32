"""The gateways of a fleet, as all its relays know them from one file: who is where, and before which services.

Pure: bytes in, a roster or an error out; it reads no file. Invariants: a roster never changes (another file makes
another one), the same text makes the same places and digest at every relay, and its size is bounded by the constants
below. A place among N gateways is one of 0 to N: N for a name that is not in the list and hashes behind all that are.
"""

from __future__ import annotations

import json
from array import array
from bisect import bisect_left
from collections.abc import Generator, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Final, TypeVar

from cloverkeel.core.config import stable_id

MOST_GATEWAYS: Final = 16_384  # 3.5 times the plan's; a relay keeps two views for each (feed.py has the bytes)
MOST_REGIONS: Final = 64
MOST_ZONES: Final = 1_024  # in all: 170 times the plan's
MOST_SERVICES: Final = 4_096  # named for one gateway; one that is before more says so by naming none
MOST_PAIRS: Final = 1 << 21  # of gateway and service that are named: 17 times the plan's; 8 bytes each, and the names
LONGEST_NAME: Final = 255  # characters, of a gateway, service, zone or region
STEP: Final = 512  # gateways: some 2 ms each on a busy machine

Made = TypeVar("Made")


class RosterError(ValueError):
    """The file cannot be used: names the file, the key, and what was expected there."""


@dataclass(slots=True, frozen=True)
class Post:
    """Where one gateway is. `services` None: it is before all."""

    zone: str
    region: str
    services: frozenset[str] | None


@dataclass(slots=True, frozen=True)
class Group:
    """The gateways that share the hosts of one service in a zone, in the order of their hashes."""

    service: str
    hashes: Sequence[int]

    @property
    def size(self) -> int:
        return len(self.hashes)

    def place(self, gateway: str) -> int:
        """Of this gateway among them, 0 to `size`; also of one that is none of them."""
        return bisect_left(self.hashes, hash_of(self.service, gateway))


def hash_of(service: str, gateway: str) -> int:
    return stable_id(f"{service}\0{gateway}", 8)


@dataclass(slots=True, frozen=True, eq=False)
class Roster:
    regions: Mapping[str, tuple[str, ...]]  # zones of each
    gateways: Mapping[str, Post]
    digest: str  # of what it says, 16 hexadecimal digits: two relays that have one are told apart by nothing in it
    region_of_zone: Mapping[str, str] = field(default_factory=dict)
    named: Mapping[str, tuple[str, ...]] = field(default_factory=dict)  # by service: who names it
    before_all: tuple[str, ...] = ()

    def before(self, service: str) -> Iterable[str]:
        """All gateways that are before this service."""
        yield from self.before_all
        yield from self.named.get(service, ())

    def groups(self, service: str) -> dict[str, Group]:
        return at_once(self.grouping(service))

    def grouping(self, service: str) -> Generator[None, None, dict[str, Group]]:
        """By region those before this service; "" for all of them. Costs a hash for each of them: to be kept."""
        hashes: dict[str, list[int]] = {region: [] for region in ("", *self.regions)}
        for count, gateway in enumerate(self.before(service), 1):
            number = hash_of(service, gateway)
            hashes[""].append(number)
            hashes[self.gateways[gateway].region].append(number)
            if not count % STEP:
                yield
        return {region: Group(service, array("Q", sorted(each))) for region, each in hashes.items()}

    def services_moved(self, other: Roster) -> Generator[None, None, frozenset[str] | None]:
        """Services that have other gateways there, or the same ones elsewhere; None: it may be any. By steps."""
        moved: set[str] = set()
        for count, name in enumerate(self.gateways.keys() | other.gateways.keys(), 1):
            if not count % STEP:
                yield
            posts = self.gateways.get(name), other.gateways.get(name)
            if posts[0] != posts[1]:
                for post in posts:
                    if post is None:
                        continue
                    if post.services is None:
                        return None
                    moved |= post.services
        return frozenset(moved) if self.regions == other.regions else None


def at_once(steps: Generator[None, None, Made]) -> Made:
    """What is made by steps, with nothing between them."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            made: Made = stop.value
            return made


def parse_roster(text: str | bytes, file: str) -> Roster:
    """`file` is its name, for errors. RosterError: it is no JSON, or says what cannot be."""

    def refuse(key: str, expected: str, found: object) -> RosterError:
        return RosterError(f"{file}: {key}: expected {expected}, found {str(found)[:80]!r}")

    def once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        made = dict(pairs)
        if len(made) != len(pairs):
            names = [name for name, _ in pairs]
            twice = next(name for name in names if names.count(name) > 1)
            raise refuse(twice, "a key to be there once", "it twice")
        return made

    def name(key: str, found: object) -> str:
        if not isinstance(found, str) or not 0 < len(found) <= LONGEST_NAME or not found.isprintable():
            raise refuse(key, f"a name of 1 to {LONGEST_NAME} printable characters", found)
        return found

    try:
        raw = json.loads(text, object_pairs_hook=once)
    except RosterError:
        raise
    except (ValueError, RecursionError) as error:
        raise RosterError(f"{file}: expected JSON: {error}") from None
    if not isinstance(raw, dict):
        raise refuse("the file", 'an object with "regions" and "gateways"', raw)
    for key in raw:
        if key not in ("regions", "gateways"):
            raise refuse(key, 'no key but "regions" and "gateways"', key)
    for key, most in (("regions", MOST_REGIONS), ("gateways", MOST_GATEWAYS)):
        if not isinstance(raw.get(key), dict) or not 0 < len(raw[key]) <= most:
            raise refuse(key, f"an object of 1 to {most}", raw.get(key))

    regions: dict[str, tuple[str, ...]] = {}
    region_of_zone: dict[str, str] = {}
    for region, zones in raw["regions"].items():
        at = f"regions.{name('regions', region)}"
        if not isinstance(zones, list) or not zones:
            raise refuse(at, "a list of zones", zones)
        for zone in zones:
            if region_of_zone.setdefault(name(at, zone), region) != region or zones.count(zone) > 1:
                raise refuse(at, "each zone to be in one region, once", zone)
        regions[region] = tuple(zones)
    if len(region_of_zone) > MOST_ZONES:
        raise refuse("regions", f"at most {MOST_ZONES} zones", len(region_of_zone))

    gateways: dict[str, Post] = {}
    named: dict[str, list[str]] = {}
    before_all: list[str] = []
    pairs = 0
    for gateway, post in raw["gateways"].items():
        at = f"gateways.{name('gateways', gateway)}"
        if not isinstance(post, dict):
            raise refuse(at, 'an object with "zone"', post)
        for key in post:
            if key not in ("zone", "services"):
                raise refuse(f"{at}.{key}", 'no key but "zone" and "services"', key)
        zone, services = post.get("zone"), post.get("services")
        if not isinstance(zone, str) or zone not in region_of_zone:
            raise refuse(f"{at}.zone", "a zone of one of the regions", zone)
        if "services" not in post:
            before_all.append(gateway)
        elif not isinstance(services, list) or not 0 < len(services) <= MOST_SERVICES:
            raise refuse(f"{at}.services", f"a list of 1 to {MOST_SERVICES} services (or no such key: all)", services)
        else:
            for service in services:
                if service != "":  # the one service of entries that name none
                    name(f"{at}.services", service)
            if len(set(services)) != len(services):
                raise refuse(f"{at}.services", "each service once", services)
            pairs += len(services)
            for service in services:
                named.setdefault(service, []).append(gateway)
        gateways[gateway] = Post(zone, region_of_zone[zone], frozenset(services) if services is not None else None)
    if pairs > MOST_PAIRS:
        raise refuse("gateways", f"at most {MOST_PAIRS} services named in all", pairs)
    return Roster(
        regions, gateways, _digest(raw), region_of_zone,
        {service: tuple(names) for service, names in named.items()}, tuple(before_all),
    )  # fmt: skip


def _digest(raw: dict[str, Any]) -> str:
    """Of json.dumps with sorted keys and no spaces; a gateway at a time, as other threads stand while it encodes."""
    encode = json.JSONEncoder(sort_keys=True, separators=(",", ":")).encode
    gateways = ",".join(f"{encode(name)}:{encode(post)}" for name, post in sorted(raw["gateways"].items()))
    same = '{"gateways":{' + gateways + '},"regions":' + encode(raw["regions"]) + "}"
    return f"{stable_id(same, 8):016x}"
