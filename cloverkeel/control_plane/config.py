"""Load a relay's configuration: a TOML file named on the command line.

Errors name the file, the key and the expected value. Only this module maps the keys of the table `limits` to the
fields of Limits (LIMIT_BY_KEY).
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import Any, Final

from cloverkeel.control_plane.errors import InvalidValueError, RelayFileError, RosterError, UnknownKeyError
from cloverkeel.control_plane.fleet_roster import FleetRoster
from cloverkeel.control_plane.roster_parser import parse_roster
from cloverkeel.core.config import Address, ConfigError, parse_address

MAX_FILE_BYTES: Final = 64 << 10  # a file has about a dozen keys
MAX_ROSTER_BYTES: Final = 64 << 20  # a roster of 4,600 gateways with 27 services each is about 2 MB
KEYS: Final = ("name", "listen", "discovery", "roster", "limits")
MAX_NAME_CHARS: Final = 64  # short enough for the output of `relay show`
MEBIBYTE: Final = 1 << 20


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits on the resources that connections may use."""

    # 4,600 gateways on twelve relays are 384 connections each, or 767 with half of the relays down. The rest is for
    # gateways that move from one relay to another.
    max_connections: int = 1_024
    # If 70 % of 4,600 gateways start within 2 s, each relay sends 269 snapshots, and no gateway has to wait for
    # as long as 0.8 s.
    snapshots_per_s: int = 200
    # Age of the list at which the relay is no longer ready: the time in which a change has to reach the gateways
    # (MAX_NOTIFICATION_DELAY_S).
    max_age_ms: int = 6_000
    idle_timeout_s: int = 30  # from a response to the next request; a gateway polls again immediately
    write_timeout_s: int = 5  # for the client to read a response: twice a gateway's timeout for a response
    max_unsent_mib: int = 64  # total of all connections' unread responses; above it, snapshots are queued

    @property
    def max_unsent_bytes(self) -> int:
        """`max_unsent_mib` in bytes."""
        return self.max_unsent_mib * MEBIBYTE


@dataclass(slots=True, frozen=True)
class _Limit:
    """The name of a limit's field in Limits, and the range of values allowed in a file."""

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
    """A relay's configuration. `roster`: the path of a file that is identical on all relays of a fleet."""

    path: str
    name: str
    listen: Address
    discovery: Address
    roster: str
    limits: Limits


def load(path: str) -> RelayConfig:
    """Read a relay's file. Raises ConfigError if it is invalid."""
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
    """Parse a relay's file. Raises ConfigError, which names the file, the key and the expected value."""
    for key in raw:
        if key not in KEYS:
            raise UnknownKeyError(path, key, KEYS)
    name = raw.get("name")
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_CHARS or not name.isprintable():
        raise InvalidValueError(path, "name", f"1 to {MAX_NAME_CHARS} printable characters", name)
    roster = raw.get("roster")
    if not isinstance(roster, str) or not roster:
        raise InvalidValueError(path, "roster", "the path of a file", roster)
    return RelayConfig(
        path=path,
        name=name,
        listen=_parse_address(raw, "listen", path),
        discovery=_parse_address(raw, "discovery", path),
        # A relative path is relative to the folder of the relay's file.
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
    """Read a roster file. Raises ConfigError if it is invalid."""
    text = _read_file(path, MAX_ROSTER_BYTES)
    try:
        return parse_roster(text, path)
    except RosterError as error:
        raise ConfigError(str(error)) from None
