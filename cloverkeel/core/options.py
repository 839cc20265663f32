"""Options of this program in addition to the platform's settings: a TOML file that CLOVERKEEL_OPTIONS names.

Without the file all optional parts are disabled; disabled parts are not imported. Errors name the file, the key and
the expected value. The keys of the file must stay compatible; this module maps them to the names in the code:
`[membership]` is endpoint discovery with ZooKeeper's ephemeral nodes, `[duties]` leased roles, `[sharing]` gossip,
`warden` the leader of the slow-start budget, `trier` the prober of half-open hosts, `store = "ephemeral"` ZooKeeper.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

from cloverkeel.core.config import Address, ConfigError
from cloverkeel.core.config_table import ConfigTable

SOURCES: Final = ("ephemeral", "registry")
VOTER_COUNTS: Final = (3, 5, 7)
MIN_LEASE_MS: Final = 200
MAX_LEASE_MS: Final = 60_000
MIN_SESSION_MS: Final = 200
MAX_SESSION_MS: Final = 60_000
MAX_SPREAD_MS: Final = 10_000
MAX_RELAYS: Final = 64  # a gateway may connect to each, and tries all of them before it starts over
# Service names are part of each request. A relay reads requests of up to 64 KiB; percent-encoding may triple a byte.
MAX_SERVICES: Final = 256
MAX_SERVICE_NAME_BYTES: Final = 128  # in UTF-8
MAX_SERVICE_NAMES_BYTES: Final = 16 << 10  # all names together
DEFAULT_DIRECT_PER_S: Final = 10
MAX_DIRECT_PER_S: Final = 10_000
MAX_FOUND_SHOWN: Final = 200  # characters of an invalid value in an error


@dataclass(slots=True, frozen=True)
class ZooKeeperOptions:
    """Options of endpoint discovery with ZooKeeper's ephemeral nodes."""

    hosts: str  # host:port,host:port
    path: str = "/cloverkeel/boxes"
    session_ms: int = 4_000  # requested timeout of the gateway's session; ZooKeeper may grant another
    spread_ms: int = 1_000  # maximum random delay of reading a list again after a reconnect
    precedence: tuple[str, ...] = SOURCES
    state: str = ""  # file that stores the last list for the next start; "": none


class LeaseStore(Enum):
    """The system that grants leases; the values appear in the options file."""

    PEERS = "peers"  # a majority of the voters
    ZOOKEEPER = "ephemeral"


@dataclass(slots=True, frozen=True)
class LeaseOptions:
    """Options of leased roles (docs/duties.md). Disabled if the settings do not allow datagrams."""

    voters: int = 5  # 5: gateways 0 to 4 elect the holder of a lease, and two of them may fail
    lease_ms: int = 3_000  # a failed leader is replaced after this time; renewal interval: a third of it
    has_budget_leader: bool = True  # moves idle quotas of a warming host's slow-start budget to busy gateways
    has_prober: bool = True  # one gateway in each zone probes an ejected host on behalf of all
    store: LeaseStore = LeaseStore.PEERS
    hosts: str = ""  # ZooKeeper's addresses: host:port,host:port
    path: str = "/cloverkeel/duties"


@dataclass(slots=True, frozen=True)
class GossipOptions:
    """Enables gossip (docs/peers.md); has no keys. Disabled if the settings do not allow datagrams."""


@dataclass(slots=True, frozen=True)
class RelayOptions:
    """Options of endpoint discovery through control-plane relays (docs/relay-design.md)."""

    addresses: tuple[Address, ...]
    services: tuple[str, ...] = ()  # services of this gateway; empty: all that the relays' roster assigns
    # Requests per second that the whole fleet may send to discovery directly if no relay answers. A complete list of
    # 38,000 hosts is 5.4 MB: 10 a second are 54 MB/s, and each of 4,600 gateways sends one request in 8 minutes.
    direct_per_s: int = DEFAULT_DIRECT_PER_S


@dataclass(slots=True, frozen=True)
class Options:
    """All options; a field is None if its part is disabled."""

    zookeeper: ZooKeeperOptions | None = None
    leases: LeaseOptions | None = None
    gossip: GossipOptions | None = None
    relays: RelayOptions | None = None


def load(environment: Mapping[str, str] = os.environ) -> Options:
    """Read the file that CLOVERKEEL_OPTIONS names, if set; raise ConfigError if it cannot be used."""
    path = environment.get("CLOVERKEEL_OPTIONS")
    if not path:
        return Options()
    import tomllib  # imported only if needed

    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except OSError as error:
        raise ConfigError.not_readable(path, error) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(message=f"{path}: not TOML: {error}", file=path, expected="TOML") from None
    return parse(raw, path)


def parse(raw: dict[str, Any], file: str) -> Options:
    """Parse the tables of a file; `file` is used only in errors."""
    root = ConfigTable(file, raw)
    root.check_keys(("membership", "duties", "sharing", "relays"))
    tables = {key: root.read_table(key) for key in raw}
    return Options(
        zookeeper=_parse_zookeeper(tables["membership"]) if "membership" in tables else None,
        leases=_parse_leases(tables["duties"]) if "duties" in tables else None,
        gossip=_parse_gossip(tables["sharing"]) if "sharing" in tables else None,
        relays=_parse_relays(tables["relays"]) if "relays" in tables else None,
    )


def _parse_zookeeper(table: ConfigTable) -> ZooKeeperOptions:
    table.check_keys(("precedence", "hosts", "path", "session_ms", "spread_ms", "state"))
    default = ZooKeeperOptions(hosts="")
    precedence = _read_precedence(table)
    hosts = table.read_host_list("hosts")
    path = table.read_node_path("path", default.path)
    state = _read_state_file(table)
    return ZooKeeperOptions(
        hosts=hosts,
        path=path,
        session_ms=table.read_integer("session_ms", default.session_ms, MIN_SESSION_MS, MAX_SESSION_MS),
        spread_ms=table.read_integer("spread_ms", default.spread_ms, 0, MAX_SPREAD_MS),
        precedence=precedence,
        state=state,
    )


def _read_precedence(table: ConfigTable) -> tuple[str, ...]:
    sources = table.values.get("precedence", list(SOURCES))
    error = table.error("precedence", "a list of 'ephemeral' and optionally 'registry'", repr(sources))
    if not isinstance(sources, list) or "ephemeral" not in sources:
        raise error
    if not all(source in SOURCES for source in sources) or len(set(sources)) != len(sources):
        raise error
    return tuple(sources)


def _read_state_file(table: ConfigTable) -> str:
    state = table.values.get("state", "")
    error = table.error("state", "a file in a folder that exists", repr(state))
    if not isinstance(state, str):
        raise error
    if state and not os.path.isdir(os.path.dirname(os.path.abspath(state))):
        raise error
    return state


def _parse_leases(table: ConfigTable) -> LeaseOptions:
    table.check_keys(("voters", "lease_ms", "warden", "trier", "store", "hosts", "path"))
    default = LeaseOptions()
    voters = table.values.get("voters", default.voters)
    if voters not in VOTER_COUNTS or isinstance(voters, bool):
        raise table.error("voters", "3, 5 or 7", repr(voters))
    has_budget_leader = table.read_boolean("warden", default.has_budget_leader)
    has_prober = table.read_boolean("trier", default.has_prober)
    store = _read_lease_store(table)
    lease_ms = table.read_integer("lease_ms", default.lease_ms, MIN_LEASE_MS, MAX_LEASE_MS)
    if store is LeaseStore.PEERS:
        return LeaseOptions(voters, lease_ms, has_budget_leader, has_prober)
    path = table.read_node_path("path", default.path)
    hosts = table.read_host_list("hosts")
    return LeaseOptions(voters, lease_ms, has_budget_leader, has_prober, store, hosts, path)


def _read_lease_store(table: ConfigTable) -> LeaseStore:
    value = table.values.get("store", LeaseStore.PEERS.value)
    try:
        return LeaseStore(value)
    except ValueError:
        raise table.error("store", "'peers' or 'ephemeral'", repr(value)) from None


def _parse_gossip(table: ConfigTable) -> GossipOptions:
    table.check_keys(())
    return GossipOptions()


def _parse_relays(table: ConfigTable) -> RelayOptions:
    table.check_keys(("addresses", "services", "direct_per_s"))
    addresses = table.read_address_list("addresses", MAX_RELAYS)
    services = _read_services(table)
    direct_per_s = table.read_integer("direct_per_s", DEFAULT_DIRECT_PER_S, 1, MAX_DIRECT_PER_S)
    return RelayOptions(addresses, services, direct_per_s)


def _read_services(table: ConfigTable) -> tuple[str, ...]:
    services = table.values.get("services", [])
    expected = (
        f"a list of at most {MAX_SERVICES} different names of 1 to {MAX_SERVICE_NAME_BYTES} bytes without a comma, "
        f"{MAX_SERVICE_NAMES_BYTES} in all"
    )
    error = table.error("services", expected, str(services)[:MAX_FOUND_SHOWN])
    if not isinstance(services, list) or len(services) > MAX_SERVICES:
        raise error
    if not all(_is_service_name(service) for service in services) or len(set(services)) != len(services):
        raise error
    if sum(len(service.encode()) for service in services) > MAX_SERVICE_NAMES_BYTES:
        raise error
    return tuple(services)


def _is_service_name(value: object) -> bool:
    if not isinstance(value, str) or "," in value:
        return False
    return 0 < len(value.encode()) <= MAX_SERVICE_NAME_BYTES
