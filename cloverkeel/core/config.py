"""LB_CONFIG to settings, addresses, names, limits and the list of hosts as last known."""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from cloverkeel.balancing.settings import Settings
from cloverkeel.simulator.settings_codec import WireError, parse_settings

Address = tuple[str, int]


class ConfigError(ValueError):
    """The configuration cannot be used; the message says why, in one line."""


@dataclass(slots=True, frozen=True)
class Names:
    """The names behind the module's numbers: each list is in the order of the settings."""

    classes: dict[bytes, int]
    tenants: dict[bytes, int]
    zones: dict[str, int]
    kinds: dict[str, int]


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_mb: int
    known: dict[str, Any]  # in discovery's form
    settings: Settings
    names: Names
    ops: Address | None = None  # where staff call; None: there is no second address
    peer_listen: Address | None = None  # for datagrams of other gateways; None: there are none
    peers: tuple[Address, ...] = ()  # of all gateways by their numbers, its own among them


def stable_id(text: str | bytes, size: int) -> int:
    """A number of so many bytes that is the same for a text at every gateway and after every restart."""
    data = text.encode() if isinstance(text, str) else text
    return int.from_bytes(hashlib.blake2b(data, digest_size=size).digest())


def load(environment: Mapping[str, str] = os.environ) -> Config:
    """Read the file that LB_CONFIG names."""
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            raw = json.load(file)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path} is not JSON: {error}") from None
    config = parse(raw)
    if environment.get("LB_OPS"):  # a successor shares the file with the process before it: its own address wins
        return replace(config, ops=parse_address(environment["LB_OPS"], "LB_OPS"))
    return config


def parse(raw: object) -> Config:
    if not isinstance(raw, dict):
        raise ConfigError("the configuration is not an object")
    settings = raw.get("settings")
    if not isinstance(settings, dict):
        raise ConfigError("the configuration has no settings")
    limits, known = raw.get("limits") or {}, raw.get("known") or {}
    if not isinstance(limits, dict) or not isinstance(known, dict):
        raise ConfigError("limits or known is not an object")
    try:
        return Config(
            name=str(raw.get("name", "")),
            listen=parse_address(raw.get("listen"), "listen"),
            discovery=parse_address(raw.get("discovery"), "discovery"),
            seed=stable_id(str(raw.get("seed", "")), 8),
            sockets=int(limits.get("sockets", 1024)),
            memory_mb=int(limits.get("memory_mb", 192)),
            known=known,
            settings=parse_settings(json.dumps(settings)),
            names=_names(settings),
            ops=parse_address(raw["ops"], "ops") if raw.get("ops") else None,
            peer_listen=parse_address(raw["peer_listen"], "peer_listen") if raw.get("peer_listen") else None,
            peers=tuple(parse_address(peer, "peers") for peer in raw.get("peers") or ()),
        )
    except WireError as error:
        raise ConfigError(str(error)) from None
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        if isinstance(error, ConfigError):
            raise
        raise ConfigError(f"the configuration cannot be used: {error}") from None


def parse_address(text: object, what: str) -> Address:
    host, mark, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not mark or not host or not port.isascii() or not port.isdigit() or not int(port) < 65536:
        raise ConfigError(f"{what} is no address of the form host:port")
    return host.strip("[]"), int(port)


def _names(settings: dict[str, Any]) -> Names:
    def numbered(key: str) -> dict[str, int]:
        entries = settings.get(key, [])
        named = [entry["name"] if isinstance(entry, dict) else entry for entry in entries]
        return {str(name): number for number, name in enumerate(named)}

    def in_bytes(key: str) -> dict[bytes, int]:
        return {name.encode(): number for name, number in numbered(key).items()}

    return Names(in_bytes("lanes"), in_bytes("tenants"), numbered("zones"), numbered("shapes"))
