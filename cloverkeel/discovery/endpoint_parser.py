"""Read the registry's list of instances, as discovery and relays answer it in JSON. Pure: no I/O, no clock.

This module maps the wire's words to the code's: SERVING, DRAINING and DELETED are `ServerStatus`, `type` is `kind`,
`since_ms` is `started_us`, `index` is the list's version and `snapshot` says that the list is complete.

Invariants:
- one entry that cannot be used never costs the others: it is left out, and logged;
- an entry that says that its host leaves is never left out while the name can be read;
- numbers of zones and kinds that the settings do not name are the same in every process.
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

ENTRIES_PER_STEP: Final = 8  # some 0.1 ms
MAX_WEIGHT: Final = 1e9
MAX_LOGGED_CHARS: Final = 200  # of an entry that cannot be used
SERVER_ID_BYTES: Final = 4
STATUS_BY_WIRE_NAME: Final = {
    "SERVING": ServerStatus.READY,
    "DRAINING": ServerStatus.DRAINING,
    "DELETED": ServerStatus.GONE,
}
LEAVING_WIRE_NAMES: Final = ("DRAINING", "DELETED")


@dataclass(slots=True, frozen=True)
class EndpointList:
    """One answer: the list's version, whether it names every host, and the entries that can be used."""

    version: int
    is_snapshot: bool
    endpoints: list[Endpoint]


def parse_endpoint(raw: dict[str, Any], names: Names) -> Endpoint:
    """Read one entry. KeyError, TypeError, ValueError, AttributeError or OverflowError where it cannot be used."""
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
    """Read no more than a leaving host's name, of an entry that cannot be used otherwise; None: it does not leave.

    Guards against a host that is used for good because the one entry that ends it had no address or an odd weight.
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
    """Return a name's place in the settings; a name that is not there gets a number beyond them, the same everywhere.

    What is a number is returned as it is.
    """
    if isinstance(name, int):
        return name
    index = index_by_name.get(str(name))
    return index if index is not None else len(index_by_name) + _index_of_unknown_name(str(name))


def parse_endpoint_list(raw: object, names: Names) -> EndpointList:
    """Read a whole answer. KeyError, TypeError or ValueError where it is no list of instances."""
    return run_to_completion(parse_endpoint_list_incrementally(raw, names))


def parse_endpoint_list_incrementally(raw: object, names: Names) -> HintedIncremental[EndpointList]:
    """Read an answer as `parse_endpoint_list` does, ENTRIES_PER_STEP entries a step."""
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints", []), list):
        raise EndpointListError
    endpoint_by_server: dict[int, Endpoint] = {}
    for count, item in enumerate(raw.get("endpoints", [])):
        if count % ENTRIES_PER_STEP == 0:
            yield None
        try:
            endpoint = parse_endpoint(item, names)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            departed = _salvage(item, error)
            if departed is None:
                continue
            endpoint = departed
        other = endpoint_by_server.get(endpoint.listed.server)
        if other is not None and other.name != endpoint.name:
            log(f"discovery: entry skipped, name={endpoint.name}, cause=id collides with {other.name}")
            continue
        endpoint_by_server[endpoint.listed.server] = endpoint
    return EndpointList(int(raw["index"]), bool(raw.get("snapshot", False)), list(endpoint_by_server.values()))


def _salvage(item: object, error: Exception) -> Endpoint | None:
    """Log an entry that cannot be used, and return what can be known of it: that its host leaves, if it does."""
    departed = parse_departed_endpoint(item)
    event = "entry skipped" if departed is None else "entry taken for a deletion"
    log(f"discovery: {event}, cause={error!r}, entry={str(item)[:MAX_LOGGED_CHARS]}")
    return departed


def _parse_weight(value: object) -> float:
    weight = float(value)  # type: ignore[arg-type]
    if not 0.0 < weight < MAX_WEIGHT:
        raise EndpointEntryError("weight", "weight is out of range")
    return weight


def _parse_user_count(users: object) -> int:
    """Return how many gateways have this host, as a relay says; what is no count is as none."""
    if not isinstance(users, int) or isinstance(users, bool):
        return 0
    return max(users, 0)


@lru_cache(maxsize=1024)
def _index_of_unknown_name(name: str) -> int:
    # Cached: many entries have the same few names, and the hash is a tenth of reading one.
    return stable_id(name, SERVER_ID_BYTES)
