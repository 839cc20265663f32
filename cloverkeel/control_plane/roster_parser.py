"""Parses the JSON text of a roster file into a FleetRoster, or raises RosterError. Pure: reads no file.

{"regions": {REGION: [ZONE, ...]}, "gateways": {NAME: {"zone": ZONE[, "services": [SERVICE, ...]]}}}
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from cloverkeel.control_plane.errors import RosterError, RosterSyntaxError
from cloverkeel.control_plane.fleet_roster import HASH_BYTES, FleetRoster, GatewayPlacement
from cloverkeel.core.config import stable_id

MAX_GATEWAYS: Final = 16_384  # 3.5 times the capacity plan; a relay keeps two client snapshots of each (deltas.py)
MAX_REGIONS: Final = 64
MAX_ZONES: Final = 1_024  # total over all regions; 170 times the capacity plan
MAX_SERVICES: Final = 4_096  # per gateway; a gateway that routes to more lists none, which means all services
MAX_NAMED_SERVICES: Final = 1 << 21  # total over all gateways; 17 times the capacity plan; 8 bytes each plus names
MAX_NAME_CHARS: Final = 255  # limit for names of gateways, services, zones and regions
MAX_ENTRIES_BY_KEY: Final = {"regions": MAX_REGIONS, "gateways": MAX_GATEWAYS}  # the top-level keys
GATEWAY_KEYS: Final = ("zone", "services")
UNNAMED_SERVICE: Final = ""  # the service of registry entries without a `service` field


def parse_roster(text: str | bytes, file: str) -> FleetRoster:
    """Parse a roster; raise RosterError if it is not JSON or not valid. `file` is its name in error messages."""
    raw = _check_keys(_read_json(text, file), file)
    regions = _parse_regions(raw["regions"], file)
    gateways = _parse_gateways(raw["gateways"], regions.region_by_zone, file)
    return FleetRoster(
        regions.zones_by_region,
        gateways.placement_by_gateway,
        _digest(raw),
        regions.region_by_zone,
        {service: tuple(names) for service, names in gateways.gateways_by_service.items()},
        tuple(gateways.gateways_of_all_services),
    )


def _read_json(text: str | bytes, file: str) -> object:
    def without_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        value_by_key = dict(pairs)
        if len(value_by_key) != len(pairs):
            names = [name for name, _ in pairs]
            duplicate = next(name for name in names if names.count(name) > 1)
            raise RosterError(file, duplicate, "each key once", "a duplicate key")
        return value_by_key

    try:
        return json.loads(text, object_pairs_hook=without_duplicates)
    except RosterError:
        raise
    except (ValueError, RecursionError) as error:
        raise RosterSyntaxError(file, error) from None


def _check_keys(raw: object, file: str) -> dict[str, Any]:
    if not isinstance(raw, dict):
        raise RosterError(file, "the file", 'an object with "regions" and "gateways"', raw)
    for key in raw:
        if key not in MAX_ENTRIES_BY_KEY:
            raise RosterError(file, key, 'no key but "regions" and "gateways"', key)
    for key, max_entries in MAX_ENTRIES_BY_KEY.items():
        if not isinstance(raw.get(key), dict) or not 0 < len(raw[key]) <= max_entries:
            raise RosterError(file, key, f"an object with 1 to {max_entries} entries", raw.get(key))
    return raw


def _check_name(file: str, key: str, found: object) -> str:
    if not isinstance(found, str) or not 0 < len(found) <= MAX_NAME_CHARS or not found.isprintable():
        raise RosterError(file, key, f"a name of 1 to {MAX_NAME_CHARS} printable characters", found)
    return found


@dataclass(slots=True)
class _Regions:
    zones_by_region: dict[str, tuple[str, ...]] = field(default_factory=dict)
    region_by_zone: dict[str, str] = field(default_factory=dict)


def _parse_regions(raw: dict[str, Any], file: str) -> _Regions:
    regions = _Regions()
    for region, zones in raw.items():
        key = f"regions.{_check_name(file, 'regions', region)}"
        if not isinstance(zones, list) or not zones:
            raise RosterError(file, key, "a list of zones", zones)
        for zone in zones:
            owner = regions.region_by_zone.setdefault(_check_name(file, key, zone), region)
            if owner != region or zones.count(zone) > 1:
                raise RosterError(file, key, "each zone to be in one region, once", zone)
        regions.zones_by_region[region] = tuple(zones)
    if len(regions.region_by_zone) > MAX_ZONES:
        raise RosterError(file, "regions", f"at most {MAX_ZONES} zones", len(regions.region_by_zone))
    return regions


@dataclass(slots=True)
class _Gateways:
    placement_by_gateway: dict[str, GatewayPlacement] = field(default_factory=dict)
    gateways_by_service: dict[str, list[str]] = field(default_factory=dict)
    gateways_of_all_services: list[str] = field(default_factory=list)
    named_services: int = 0  # total over all gateways


def _parse_gateways(raw: dict[str, Any], region_by_zone: Mapping[str, str], file: str) -> _Gateways:
    gateways = _Gateways()
    for name, fields in raw.items():
        key = f"gateways.{_check_name(file, 'gateways', name)}"
        zone = _parse_zone(fields, region_by_zone, file, key)
        services: frozenset[str] | None = None
        if "services" in fields:
            names = _parse_services(fields["services"], file, f"{key}.services")
            gateways.named_services += len(names)
            for service in names:
                gateways.gateways_by_service.setdefault(service, []).append(name)
            services = frozenset(names)
        else:
            gateways.gateways_of_all_services.append(name)
        gateways.placement_by_gateway[name] = GatewayPlacement(zone, region_by_zone[zone], services)
    if gateways.named_services > MAX_NAMED_SERVICES:
        expected = f"at most {MAX_NAMED_SERVICES} services named in all"
        raise RosterError(file, "gateways", expected, gateways.named_services)
    return gateways


def _parse_zone(fields: Any, region_by_zone: Mapping[str, str], file: str, key: str) -> str:
    """Validate the keys of a gateway, and return its zone."""
    if not isinstance(fields, dict):
        raise RosterError(file, key, 'an object with "zone"', fields)
    for name in fields:
        if name not in GATEWAY_KEYS:
            raise RosterError(file, f"{key}.{name}", 'no key but "zone" and "services"', name)
    zone = fields.get("zone")
    if not isinstance(zone, str) or zone not in region_by_zone:
        raise RosterError(file, f"{key}.zone", "a zone of one of the regions", zone)
    return zone


def _parse_services(services: Any, file: str, key: str) -> list[str]:
    if not isinstance(services, list) or not 0 < len(services) <= MAX_SERVICES:
        raise RosterError(file, key, f"a list of 1 to {MAX_SERVICES} services (or no such key: all)", services)
    for service in services:
        if service != UNNAMED_SERVICE:
            _check_name(file, key, service)
    if len(set(services)) != len(services):
        raise RosterError(file, key, "each service once", services)
    return services


def _digest(raw: Any) -> str:
    """Hash the roster as JSON with sorted keys and no spaces.

    Encodes one gateway at a time, as the encoder blocks other threads during a call.
    """
    encode = json.JSONEncoder(sort_keys=True, separators=(",", ":")).encode
    gateways = ",".join(f"{encode(name)}:{encode(fields)}" for name, fields in sorted(raw["gateways"].items()))
    canonical = '{"gateways":{' + gateways + '},"regions":' + encode(raw["regions"]) + "}"
    return f"{stable_id(canonical, HASH_BYTES):016x}"
