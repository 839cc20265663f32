"""Parse the JSON endpoint lists that discovery and relays send. Pure: no I/O, no clock.

This module maps wire names to those of the code: SERVING, DRAINING and DELETED to `ServerStatus`, `type` to `kind`,
`since_ms` to `started_us`, `index` to the list's version; `snapshot` states that the list is complete.

Invariants:
- an invalid entry does not affect the others: it is skipped and logged;
- an entry that drains or deletes its host is not skipped as long as its name is readable;
- zones and kinds that the settings do not name get the same number in every process.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache
from typing import Any, Final

from cloverkeel.balancing.events import ListedServer, ServerStatus

from cloverkeel.core.config import Names, parse_address, stable_id
from cloverkeel.core.log import log
from cloverkeel.core.ports import Endpoint
from cloverkeel.discovery.errors import EndpointEntryError, EndpointListError
from cloverkeel.core.incremental import HintedIncremental, run_to_completion

ENTRIES_PER_STEP: Final = 8  # about 0.1 ms of parsing
MAX_WEIGHT: Final = 1e9
MAX_LOGGED_ENTRIES: Final = 20  # of one list that cannot be used
MAX_LOGGED_CHARS: Final = 200  # of an invalid entry
SERVER_ID_BYTES: Final = 4
STATUS_BY_WIRE_NAME: Final = {
    "SERVING": ServerStatus.READY,
    "DRAINING": ServerStatus.DRAINING,
    "DELETED": ServerStatus.GONE,
}
LEAVING_WIRE_NAMES: Final = ("DRAINING", "DELETED")


@dataclass(slots=True, frozen=True)
class EndpointList:
    """A parsed reply: the list's version, whether it is a complete snapshot, and its usable entries."""

    version: int
    is_snapshot: bool
    endpoints: list[Endpoint]


def parse_endpoint(raw: dict[str, Any], names: Names) -> Endpoint:
    """Parse one entry.

    Raises KeyError, TypeError, ValueError, AttributeError or OverflowError if the entry is invalid.
    """
    name = raw["name"]
    if not isinstance(name, str) or not name:
        raise EndpointEntryError("name", "no name")
    zone, kind, group = raw.get("zone", ""), raw.get("type", ""), raw.get("group", 0)
    return Endpoint(
        name,
        parse_address(raw["address"], "address"),
        ListedServer(
            server=stable_id(name, SERVER_ID_BYTES),
            status=STATUS_BY_WIRE_NAME[raw["status"]],
            weight=_parse_weight(raw.get("weight", 1.0)),
            zone=index_of_name(zone, names.zones),
            group=group if isinstance(group, int) else stable_id(str(group), SERVER_ID_BYTES),
            kind=index_of_name(kind, names.kinds),
            started_us=int(raw.get("since_ms") or 0) * 1000,
            users=_parse_user_count(raw["users"]) if "users" in raw else 0,
        ),
    )


def parse_departed_endpoint(raw: object) -> Endpoint | None:
    """Return, as GONE, the host that an otherwise invalid entry drains or deletes; None for any other entry.

    Without this, a host is used forever if the only entry that removes it has no address or an invalid weight.
    """
    if not isinstance(raw, dict):
        return None
    name, status = raw.get("name"), raw.get("status")
    if not isinstance(name, str) or not name:
        return None
    if status not in LEAVING_WIRE_NAMES:
        return None
    return Endpoint(name, ("", 0), ListedServer(stable_id(name, SERVER_ID_BYTES), ServerStatus.GONE))


def index_of_name(name: object, index_by_name: dict[str, int]) -> int:
    """Return a name's index in the settings.

    An unknown name gets an index above all known ones, equal in every process; an integer is returned unchanged.
    """
    if isinstance(name, int):
        return name
    index = index_by_name.get(str(name))
    return index if index is not None else len(index_by_name) + _index_of_unknown_name(str(name))


def parse_endpoint_list(raw: object, names: Names) -> EndpointList:
    """Parse a complete reply; raise KeyError, TypeError or ValueError if it is not an endpoint list."""
    return run_to_completion(parse_endpoint_list_incrementally(raw, names))


def parse_endpoint_list_incrementally(raw: object, names: Names) -> HintedIncremental[EndpointList]:
    """Parse a reply like `parse_endpoint_list`, ENTRIES_PER_STEP entries per step."""
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints", []), list):
        raise EndpointListError
    endpoint_by_server: dict[int, Endpoint] = {}
    invalid_count = 0
    for count, item in enumerate(raw.get("endpoints", [])):
        if count % ENTRIES_PER_STEP == 0:
            yield None
        try:
            endpoint = parse_endpoint(item, names)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            invalid_count += 1
            departed = _recover_removal(item, error, invalid_count <= MAX_LOGGED_ENTRIES)
            if departed is None:
                continue
            endpoint = departed
        other = endpoint_by_server.get(endpoint.listed.server)
        if other is not None and other.name != endpoint.name:
            log(f"discovery: entry skipped, name={endpoint.name}, cause=id collides with {other.name}")
            continue
        endpoint_by_server[endpoint.listed.server] = endpoint
    if invalid_count > MAX_LOGGED_ENTRIES:
        log(f"discovery: further entries cannot be used, count={invalid_count - MAX_LOGGED_ENTRIES}")
    return EndpointList(int(raw["index"]), bool(raw.get("snapshot", False)), list(endpoint_by_server.values()))


def _recover_removal(item: object, error: Exception, is_logged: bool) -> Endpoint | None:
    """Log an invalid entry if `is_logged`; return the removal of its host if the entry drains or deletes it."""
    departed = parse_departed_endpoint(item)
    event = "entry skipped" if departed is None else "entry taken for a deletion"
    if is_logged:
        log(f"discovery: {event}, cause={error!r}, entry={str(item)[:MAX_LOGGED_CHARS]}")
    return departed


def _parse_weight(value: object) -> float:
    weight = float(value)  # type: ignore[arg-type]
    if not 0.0 < weight < MAX_WEIGHT:
        raise EndpointEntryError("weight", "weight is out of range")
    return weight


def _parse_user_count(users: object) -> int:
    """Return the number of gateways that use this host, as a relay reports it; 0 if it is not a valid count."""
    if not isinstance(users, int) or isinstance(users, bool):
        return 0
    return max(users, 0)


@lru_cache(maxsize=1024)
def _index_of_unknown_name(name: str) -> int:
    # Cached: many entries share a few names, and the hash takes a tenth of the time to parse an entry.
    return stable_id(name, SERVER_ID_BYTES)
