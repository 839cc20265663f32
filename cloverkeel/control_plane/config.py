"""The relay's own file: TOML, named on the command line. A mistake names file, key and what was expected.

The one place that maps the keys of `limits` to the names that the code has for them (LIMIT_BY_KEY).
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import Any, Final

from cloverkeel.control_plane.errors import InvalidValueError, RelayFileError, RosterError, UnknownKeyError
from cloverkeel.control_plane.fleet_roster import FleetRoster
from cloverkeel.control_plane.roster_parser import parse_roster
from cloverkeel.core.config import Address, ConfigError, parse_address

MAX_FILE_BYTES: Final = 64 << 10  # a dozen keys
MAX_ROSTER_BYTES: Final = 64 << 20  # the plan's 4,600 gateways before 27 services each are some 2 MB
KEYS: Final = ("name", "listen", "discovery", "roster", "limits")
MAX_NAME_CHARS: Final = 64  # it stands in each line of `relay show`
MEBIBYTE: Final = 1 << 20


@dataclass(slots=True, frozen=True)
class Limits:
    """What connections may cost this process."""

    max_connections: int = (
        1_024  # twelve relays before 4,600 gateways: 384 each, 767 with half of them dead, and moves
    )
    snapshots_per_s: int = 200  # 7 in 10 of 4,600 gateways start within 2 s: 269 each, none of which waits for 0.8 s
    max_age_ms: int = (
        6_000  # of the list, to be ready: what a change may take to reach gateways (MAX_NOTIFICATION_DELAY_S)
    )
    idle_timeout_s: int = 30  # between a response and the next request: a gateway polls again at once
    write_timeout_s: int = 5  # for a response to be read: twice what a gateway waits for one
    max_unsent_mib: int = 64  # of responses not yet read by their connections, together; snapshots wait beyond

    @property
    def max_unsent_bytes(self) -> int:
        """`max_unsent_mib` in bytes."""
        return self.max_unsent_mib * MEBIBYTE


@dataclass(slots=True, frozen=True)
class _Limit:
    """One of the limits: its name in Limits, and the range that a file may give."""

    name: str
    minimum: int
    maximum: int


LIMIT_BY_KEY: Final = {
    "connections": _Limit("max_connections", 1, 100_000),
    "wholes_per_s": _Limit("snapshots_per_s", 1, 10_000),
    "stale_ms": _Limit("max_age_ms", 1_000, 60_000),
    "idle_s": _Limit("idle_timeout_s", 2, 600),
    "slow_s": _Limit("write_timeout_s", 1, 60),
    "unsent_mb": _Limit("max_unsent_mib", 1, 4_096),
}


@dataclass(slots=True, frozen=True)
class RelayConfig:
    """A relay's configuration. `roster`: the path of a file that all relays of a fleet have alike."""

    path: str
    name: str
    listen: Address
    discovery: Address
    roster: str
    limits: Limits


def load(path: str) -> RelayConfig:
    """Read a relay's file. Raises ConfigError for one that cannot be used."""
    import tomllib

    try:
        raw = tomllib.loads(_read_file(path, MAX_FILE_BYTES).decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise RelayFileError(path, f"not TOML: {error}") from None
    return parse(raw, path)


def _read_file(path: str, max_bytes: int) -> bytes:
    try:
        with open(path, "rb") as file:
            text = file.read(max_bytes + 1)
    except OSError as error:
        raise RelayFileError(path, str(error.strerror)) from None
    if len(text) > max_bytes:
        raise RelayFileError(path, f"expected at most {max_bytes} bytes")
    return text


def parse(raw: dict[str, Any], path: str) -> RelayConfig:
    """Parse what a relay's file says. Raises ConfigError with the file, the key and what was expected."""
    for key in raw:
        if key not in KEYS:
            raise UnknownKeyError(path, key, KEYS)
    name = raw.get("name")
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_CHARS or not name.isprintable():
        raise InvalidValueError(path, "name", f"1 to {MAX_NAME_CHARS} letters", name)
    roster = raw.get("roster")
    if not isinstance(roster, str) or not roster:
        raise InvalidValueError(path, "roster", "the path of a file", roster)
    return RelayConfig(
        path=path,
        name=name,
        listen=_parse_address(raw, "listen", path),
        discovery=_parse_address(raw, "discovery", path),
        # As written it is seen from the file that names it.
        roster=os.path.join(os.path.dirname(os.path.abspath(path)), roster),
        limits=_parse_limits(raw.get("limits", {}), path),
    )


def _parse_address(raw: dict[str, Any], key: str, path: str) -> Address:
    try:
        return parse_address(raw.get(key), key)
    except ConfigError:
        raise InvalidValueError(path, key, "host:port", raw.get(key)) from None


def _parse_limits(table: Any, path: str) -> Limits:
    if not isinstance(table, dict):
        raise InvalidValueError(path, "limits", "a table", table)
    value_by_name: dict[str, int] = {}
    for key, value in table.items():
        limit = LIMIT_BY_KEY.get(key)
        if limit is None:
            raise UnknownKeyError(path, key, LIMIT_BY_KEY, table="limits")
        if not isinstance(value, int) or isinstance(value, bool) or not limit.minimum <= value <= limit.maximum:
            expected = f"a whole number from {limit.minimum} to {limit.maximum}"
            raise InvalidValueError(path, f"limits: {key}", expected, value)
        value_by_name[limit.name] = value
    return Limits(**value_by_name)


def load_roster(path: str) -> FleetRoster:
    """Read a roster file. Raises ConfigError for one that cannot be used."""
    text = _read_file(path, MAX_ROSTER_BYTES)
    try:
        return parse_roster(text, path)
    except RosterError as error:
        raise ConfigError(str(error)) from None
