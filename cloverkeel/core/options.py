"""Settings of ours beside the platform's: a TOML file that CLOVERKEEL_OPTIONS names. Without it all is off.

What is off is not imported. A mistake names file, key and what was expected.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from cloverkeel.core.config import Address, ConfigError, parse_address

SOURCES = ("ephemeral", "registry")
RELAYS_MOST = 64  # a gateway keeps a line on each, and tries all before it has gone round
SERVICES_MOST = 256  # they are named in each call, of which a relay reads 64 KiB, three letters a byte at the most
SERVICE_MOST = 128  # bytes of one name in UTF-8
SERVICES_BYTES_MOST = 16 << 10  # of all names


@dataclass(slots=True, frozen=True)
class Ephemeral:
    """EndpointSource from ephemeral nodes."""

    hosts: str  # host:port,host:port
    path: str = "/cloverkeel/boxes"
    session_ms: int = 4_000  # of the gateway's own session: asked for; the service has the last word
    spread_ms: int = 1_000  # a list is read again after a reconnect at a random moment within this
    precedence: tuple[str, ...] = ("ephemeral", "registry")
    state: str = ""  # file that keeps the last list for the next start; "": none


@dataclass(slots=True, frozen=True)
class Duties:
    """Work that one gateway at most does at a time (docs/duties.md). Off where the settings allow no datagrams."""

    voters: int = 5  # gateways 0 to 4 decide who holds: two of them may be lost
    lease_ms: int = 3_000  # a holder that is lost is replaced after this; a third of it goes between renewals
    warden: bool = True  # idle parts of a cold host's budget go where requests are
    trier: bool = True  # of a host that is out, one gateway of a zone tries it for all
    store: str = "peers"  # who decides: a majority of the voters, or "ephemeral", the coordination service
    hosts: str = ""  # of that service: host:port,host:port
    path: str = "/cloverkeel/duties"


@dataclass(slots=True, frozen=True)
class Sharing:
    """What the gateways know together (docs/peers.md). Off where the settings allow no datagrams. It has no keys."""


@dataclass(slots=True, frozen=True)
class Relays:
    """EndpointSource by control-plane relays (docs/relay-design.md)."""

    addresses: tuple[Address, ...]
    services: tuple[str, ...] = ()  # that this gateway is for; none: all that the relays' roster has for it
    # Gateways of the whole fleet that may ask discovery itself, where no relay answers. A whole list of 38,000 hosts
    # is 5.4 MB: 10 a second are 54 MB of it, and each of 4,600 gateways has its turn once in 8 minutes.
    direct_per_s: int = 10


@dataclass(slots=True, frozen=True)
class Options:
    ephemeral: Ephemeral | None = None
    duties: Duties | None = None
    sharing: Sharing | None = None
    relays: Relays | None = None


def load(environment: Mapping[str, str] = os.environ) -> Options:
    """ConfigError for a file that cannot be used."""
    path = environment.get("CLOVERKEEL_OPTIONS")
    if not path:
        return Options()
    import tomllib  # only where there is a file

    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: not TOML: {error}") from None
    return parse(raw, path)


def parse(raw: dict[str, Any], where: str) -> Options:
    _known(raw, ("membership", "duties", "sharing", "relays"), where)
    for name, table in raw.items():
        if not isinstance(table, dict):
            raise ConfigError(f"{where}: {name}: expected a table, found {table!r}")
    return Options(
        _ephemeral(raw["membership"], f"{where}: membership") if "membership" in raw else None,
        _duties(raw["duties"], f"{where}: duties") if "duties" in raw else None,
        _sharing(raw["sharing"], f"{where}: sharing") if "sharing" in raw else None,
        _relays(raw["relays"], f"{where}: relays") if "relays" in raw else None,
    )


def _relays(table: dict[str, Any], where: str) -> Relays:
    _known(table, ("addresses", "services", "direct_per_s"), where)
    named = table.get("addresses")
    said = f"{where}: addresses: expected a list of 1 to {RELAYS_MOST} different host:port, found {named!r}"
    if not isinstance(named, list) or not 1 <= len(named) <= RELAYS_MOST:
        raise ConfigError(said)
    try:
        addresses = tuple(parse_address(address, "addresses") for address in named)
    except ConfigError:
        raise ConfigError(said) from None
    if len(set(addresses)) != len(addresses):
        raise ConfigError(said)
    services = table.get("services", [])
    if (
        not isinstance(services, list)
        or len(services) > SERVICES_MOST
        or not all(isinstance(s, str) and 0 < len(s.encode()) <= SERVICE_MOST and "," not in s for s in services)
        or len(set(services)) != len(services)
        or sum(len(s.encode()) for s in services) > SERVICES_BYTES_MOST
    ):
        raise ConfigError(
            f"{where}: services: expected a list of at most {SERVICES_MOST} different names of 1 to "
            f"{SERVICE_MOST} bytes without a comma, {SERVICES_BYTES_MOST} in all, found {str(services)[:200]}"
        )
    return Relays(addresses, tuple(services), _whole(table, "direct_per_s", 10, 1, 10_000, where))


def _sharing(table: dict[str, Any], where: str) -> Sharing:
    for key in table:
        raise ConfigError(f"{where}: {key}: unknown; expected no keys")
    return Sharing()


def _duties(table: dict[str, Any], where: str) -> Duties:
    _known(table, ("voters", "lease_ms", "warden", "trier", "store", "hosts", "path"), where)
    usual = Duties()
    voters = table.get("voters", usual.voters)
    if voters not in (3, 5, 7) or isinstance(voters, bool):
        raise ConfigError(f"{where}: voters: expected 3, 5 or 7, found {voters!r}")
    warden, trier = table.get("warden", usual.warden), table.get("trier", usual.trier)
    for key, value in (("warden", warden), ("trier", trier)):
        if not isinstance(value, bool):
            raise ConfigError(f"{where}: {key}: expected true or false, found {value!r}")
    store = table.get("store", usual.store)
    if store not in ("peers", "ephemeral"):
        raise ConfigError(f"{where}: store: expected 'peers' or 'ephemeral', found {store!r}")
    lease_ms = _whole(table, "lease_ms", usual.lease_ms, 200, 60_000, where)
    if store == "peers":
        return Duties(voters, lease_ms, warden, trier)
    path = _path(table.get("path", usual.path), where)
    return Duties(voters, lease_ms, warden, trier, store, _hosts(table.get("hosts"), where), path)


def _hosts(hosts: Any, where: str) -> str:
    said = f"{where}: hosts: expected host:port,host:port, found {hosts!r}"
    if not isinstance(hosts, str) or not hosts:
        raise ConfigError(said)
    for host in hosts.split(","):
        try:
            parse_address(host, "hosts")
        except ConfigError:
            raise ConfigError(said) from None
    return hosts


def _path(path: Any, where: str) -> str:
    parts = path[1:].split("/") if isinstance(path, str) and path.startswith("/") else [""]
    if any(part in ("", ".", "..") for part in parts):
        raise ConfigError(f"{where}: path: expected a path such as /cloverkeel/boxes, found {path!r}")
    return str(path)


def _ephemeral(table: dict[str, Any], where: str) -> Ephemeral:
    _known(table, ("precedence", "hosts", "path", "session_ms", "spread_ms", "state"), where)
    precedence = table.get("precedence", list(SOURCES))
    if (
        not isinstance(precedence, list)
        or "ephemeral" not in precedence
        or not all(source in SOURCES for source in precedence)
        or len(set(precedence)) != len(precedence)
    ):
        raise ConfigError(
            f"{where}: precedence: expected a list of 'ephemeral' and perhaps 'registry', found {precedence!r}"
        )
    hosts = _hosts(table.get("hosts"), where)
    path = _path(table.get("path", "/cloverkeel/boxes"), where)
    state = table.get("state", "")
    if not isinstance(state, str) or (state and not os.path.isdir(os.path.dirname(os.path.abspath(state)))):
        raise ConfigError(f"{where}: state: expected a file in a folder that exists, found {state!r}")
    return Ephemeral(
        hosts,
        path,
        _whole(table, "session_ms", 4_000, 200, 60_000, where),
        _whole(table, "spread_ms", 1_000, 0, 10_000, where),
        tuple(precedence),
        state,
    )


def _known(table: dict[str, Any], names: tuple[str, ...], where: str) -> None:
    for key in table:
        if key not in names:
            raise ConfigError(f"{where}: {key}: unknown; expected one of {', '.join(names)}")


def _whole(table: dict[str, Any], key: str, default: int, low: int, high: int, where: str) -> int:
    value = table.get(key, default)
    if not isinstance(value, int) or isinstance(value, bool) or not low <= value <= high:
        raise ConfigError(f"{where}: {key}: expected a whole number from {low} to {high}, found {value!r}")
    return value
