"""Reads LB_CONFIG: settings, addresses, names, limits and the last known endpoint list.

The platform defines the file's keys. Where names in the code differ, this module maps them: `ops` is the admin
address, `lanes` are request classes, `shapes` are kinds of host.
"""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any, Final

from cloverkeel.balancing.settings import Settings
from cloverkeel.simulator.settings_codec import WireError, parse_settings

Address = tuple[str, int]

MAX_PORT: Final = 65_535
DEFAULT_SOCKETS: Final = 1_024
DEFAULT_MEMORY_MB: Final = 192
SEED_BYTES: Final = 8


class ConfigError(ValueError):
    """A configuration that cannot be used; the message is one line.

    `file`, `key` and `expected` are "" if they are unknown or do not apply.
    """

    def __init__(self, message: str, *, file: str = "", key: str = "", expected: str = "") -> None:
        super().__init__(message)
        self.file = file
        self.key = key
        self.expected = expected

    @classmethod
    def not_readable(cls, file: str, error: OSError) -> ConfigError:
        """Return the error for a file that cannot be read."""
        return cls(f"{file}: {error.strerror}", file=file, expected="a file that can be read")

    @classmethod
    def not_an_address(cls, key: str) -> ConfigError:
        """Return the error for a value that is not an address."""
        return cls(f"{key} is not an address of the form host:port", key=key, expected="host:port")


@dataclass(slots=True, frozen=True)
class Names:
    """The balancer's number for each name: its position in the corresponding list of the settings."""

    classes: dict[bytes, int]
    tenants: dict[bytes, int]
    zones: dict[str, int]
    kinds: dict[str, int]


@dataclass(slots=True, frozen=True)
class Config:
    """The contents of LB_CONFIG for one gateway."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # maximum number of descriptors for connections
    memory_mb: int
    known: dict[str, Any]  # the last known endpoint list, in discovery's format
    settings: Settings
    names: Names
    admin_listen: Address | None = None  # for operators' commands; None: disabled
    peer_listen: Address | None = None  # for datagrams of other gateways; None: disabled
    peers: tuple[Address, ...] = ()  # peer addresses of all gateways, this one included; index: gateway number


def stable_id(text: str | bytes, size: int) -> int:
    """Return a hash of `size` bytes that is equal on every gateway and after every restart."""
    data = text.encode() if isinstance(text, str) else text
    return int.from_bytes(hashlib.blake2b(data, digest_size=size).digest())


def load(environment: Mapping[str, str] = os.environ) -> Config:
    """Read the file that LB_CONFIG names; raise ConfigError if it cannot be used."""
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigError(message="LB_CONFIG is not set", key="LB_CONFIG", expected="the path of a file")
    try:
        config = parse(_read_json(path))
    except ConfigError as error:
        error.file = path
        raise
    admin_listen = environment.get("LB_OPS")
    if not admin_listen:
        return config
    # A successor process shares the file with its predecessor, so LB_OPS overrides the file's admin address.
    return replace(config, admin_listen=parse_address(admin_listen, "LB_OPS"))


def _read_json(path: str) -> object:
    try:
        with open(path, "rb") as file:
            return json.load(file)
    except OSError as error:
        raise ConfigError.not_readable(path, error) from None
    except ValueError as error:
        raise ConfigError(message=f"{path} is not JSON: {error}", file=path, expected="JSON") from None


def parse(raw: object) -> Config:
    """Parse a configuration that was decoded from JSON; raise ConfigError if it cannot be used."""
    if not isinstance(raw, dict):
        raise ConfigError(message="the configuration is not an object", expected="an object")
    if not isinstance(raw.get("settings"), dict):
        raise ConfigError(message="the configuration has no settings", key="settings", expected="an object")
    limits = raw.get("limits") or {}
    known = raw.get("known") or {}
    if not isinstance(limits, dict) or not isinstance(known, dict):
        raise ConfigError(message="limits or known is not an object", key="limits, known", expected="objects")
    try:
        return _parse_fields(raw, limits, known)
    except ConfigError:
        raise
    except WireError as error:
        raise ConfigError(str(error), key="settings") from None
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise ConfigError(message=f"the configuration cannot be used: {error}") from None


def _parse_fields(raw: dict[str, Any], limits: dict[str, Any], known: dict[str, Any]) -> Config:
    settings = raw["settings"]
    return Config(
        name=str(raw.get("name", "")),
        listen=parse_address(raw.get("listen"), "listen"),
        discovery=parse_address(raw.get("discovery"), "discovery"),
        seed=stable_id(str(raw.get("seed", "")), SEED_BYTES),
        sockets=int(limits.get("sockets", DEFAULT_SOCKETS)),
        memory_mb=int(limits.get("memory_mb", DEFAULT_MEMORY_MB)),
        known=known,
        settings=parse_settings(json.dumps(settings)),
        names=_parse_names(settings),
        admin_listen=_parse_optional_address(raw, "ops"),
        peer_listen=_parse_optional_address(raw, "peer_listen"),
        peers=tuple(parse_address(peer, "peers") for peer in raw.get("peers") or ()),
    )


def _parse_optional_address(raw: dict[str, Any], key: str) -> Address | None:
    return parse_address(raw[key], key) if raw.get(key) else None


def parse_address(text: object, key: str) -> Address:
    """Parse `host:port` into host and port; raise ConfigError with `key` for anything else."""
    if not isinstance(text, str):
        raise ConfigError.not_an_address(key)
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ConfigError.not_an_address(key)
    return host.strip("[]"), int(port)


def _parse_names(settings: dict[str, Any]) -> Names:
    return Names(
        classes=_numbers_by_encoded_name(settings, "lanes"),
        tenants=_numbers_by_encoded_name(settings, "tenants"),
        zones=_numbers_by_name(settings, "zones"),
        kinds=_numbers_by_name(settings, "shapes"),
    )


def _numbers_by_name(settings: dict[str, Any], key: str) -> dict[str, int]:
    entries = settings.get(key, [])
    names = [entry["name"] if isinstance(entry, dict) else entry for entry in entries]
    return {str(name): number for number, name in enumerate(names)}


def _numbers_by_encoded_name(settings: dict[str, Any], key: str) -> dict[bytes, int]:
    return {name.encode(): number for name, number in _numbers_by_name(settings, key).items()}
