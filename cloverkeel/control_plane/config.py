"""The relay's own file: TOML, named on the command line. A mistake names file, key and what was expected."""

from __future__ import annotations

import os
from dataclasses import dataclass, fields
from typing import Any, Final

from cloverkeel.core.config import Address, ConfigError, parse_address
from cloverkeel.control_plane.fleet_roster import Roster, RosterError, parse_roster

FILE_LIMIT: Final = 64 << 10  # bytes: a dozen keys
ROSTER_LIMIT: Final = 64 << 20  # bytes: the plan's 4,600 gateways before 27 services each are some 2 MB
KEYS: Final = ("name", "listen", "discovery", "roster", "limits")
NAME_LIMIT: Final = 64  # letters; it stands in each line of `relay show`

# By key: the least and the most that a file may say.
RANGES: Final = {
    "connections": (1, 100_000),
    "wholes_per_s": (1, 10_000),
    "stale_ms": (1_000, 60_000),
    "idle_s": (2, 600),
    "slow_s": (1, 60),
    "unsent_mb": (1, 4_096),
}


@dataclass(slots=True, frozen=True)
class Limits:
    """What callers may cost this process."""

    connections: int = 1_024  # twelve relays before 4,600 gateways: 384 each, 767 with half of them dead, and moves
    wholes_per_s: int = 200  # 7 in 10 of 4,600 gateways start within 2 s: 269 each, none of which waits for 0.8 s
    stale_ms: int = 6_000  # not ready beyond: what a change may take to be told (MAX_NOTIFICATION_DELAY_S)
    idle_s: int = 30  # between an answer and the next call: a gateway asks again at once
    slow_s: int = 5  # for an answer to be taken: twice what a gateway waits for one
    unsent_mb: int = 64  # of answers that callers have not taken, all together; wholes wait beyond


@dataclass(slots=True, frozen=True)
class RelayConfig:
    path: str
    name: str
    listen: Address
    discovery: Address
    roster: str  # file that all relays of a fleet have alike
    limits: Limits


def load(path: str) -> RelayConfig:
    """ConfigError for a file that cannot be used."""
    import tomllib

    try:
        with open(path, "rb") as file:
            text = file.read(FILE_LIMIT + 1)
        if len(text) > FILE_LIMIT:
            raise ConfigError(f"{path}: expected at most {FILE_LIMIT} bytes")
        raw = tomllib.loads(text.decode())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: not TOML: {error}") from None
    return parse(raw, path)


def parse(raw: dict[str, Any], path: str) -> RelayConfig:
    """ConfigError names the file, the key and what was expected."""
    for key in raw:
        if key not in KEYS:
            raise ConfigError(f"{path}: {key}: unknown; expected one of {', '.join(KEYS)}")
    name = raw.get("name")
    if not isinstance(name, str) or not 0 < len(name) <= NAME_LIMIT or not name.isprintable():
        raise ConfigError(f"{path}: name: expected 1 to {NAME_LIMIT} letters, found {name!r}")
    roster = raw.get("roster")
    if not isinstance(roster, str) or not roster:
        raise ConfigError(f"{path}: roster: expected the path of a file, found {roster!r}")
    # As written it is seen from the file that names it.
    roster = os.path.join(os.path.dirname(os.path.abspath(path)), roster)
    return RelayConfig(
        path, name, _address(raw, "listen", path), _address(raw, "discovery", path), roster,
        _limits(raw.get("limits", {}), f"{path}: limits"),
    )  # fmt: skip


def _address(raw: dict[str, Any], key: str, path: str) -> Address:
    try:
        return parse_address(raw.get(key), key)
    except ConfigError:
        raise ConfigError(f"{path}: {key}: expected host:port, found {raw.get(key)!r}") from None


def _limits(table: Any, where: str) -> Limits:
    if not isinstance(table, dict):
        raise ConfigError(f"{where}: expected a table, found {table!r}")
    names = [field.name for field in fields(Limits)]
    for key, value in table.items():
        if key not in names:
            raise ConfigError(f"{where}: {key}: unknown; expected one of {', '.join(names)}")
        low, high = RANGES[key]
        if not isinstance(value, int) or isinstance(value, bool) or not low <= value <= high:
            raise ConfigError(f"{where}: {key}: expected a whole number from {low} to {high}, found {value!r}")
    return Limits(**table)


def load_roster(path: str) -> Roster:
    """ConfigError for a file that cannot be used."""
    try:
        with open(path, "rb") as file:
            text = file.read(ROSTER_LIMIT + 1)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    if len(text) > ROSTER_LIMIT:
        raise ConfigError(f"{path}: expected at most {ROSTER_LIMIT} bytes")
    try:
        return parse_roster(text, path)
    except RosterError as error:
        raise ConfigError(str(error)) from None
