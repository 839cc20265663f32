"""Assemble a gateway from all packages; no other module imports all of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cloverkeel.core.clock import now_us
from cloverkeel.core.config import Config
from cloverkeel.core.gateway import Gateway
from cloverkeel.core.memory_account import MemoryAccount
from cloverkeel.core.options import Options
from cloverkeel.core.peer_resources import PeerResources
from cloverkeel.core.process_memory import resident_bytes
from cloverkeel.discovery.http_client import HttpEndpointSource
from cloverkeel.frontends.http1.admission import max_responses
from cloverkeel.frontends.http1.server import Server
from cloverkeel.upstream.attempt_sender import AttemptSender
from cloverkeel.upstream.connection_pool import ConnectionPool

# Optional parts are imported only where they are enabled: they cost memory and threads that most installations
# do not need.
if TYPE_CHECKING:
    from cloverkeel.core.datagrams import PeerSocket
    from cloverkeel.discovery.ejection_filter import EjectionFilter
    from cloverkeel.discovery.merged_source import MergedEndpointSource
    from cloverkeel.discovery.relay_client import RelayEndpointSource
    from cloverkeel.gossip.driver import GossipDriver
    from cloverkeel.leases.driver import LeaseDriver


@dataclass(slots=True, frozen=True)
class PeerProtocols:
    """The protocols between gateways, which share one UDP socket. A field is None if its part is disabled."""

    datagrams: PeerSocket | None = None
    leases: LeaseDriver | None = None
    gossip: GossipDriver | None = None


@dataclass(slots=True, frozen=True)
class Program:
    """The parts of a gateway process. To be created on a running event loop."""

    gateway: Gateway
    server: Server
    pool: ConnectionPool
    discovery: HttpEndpointSource | MergedEndpointSource | EjectionFilter
    relay_client: RelayEndpointSource | None = None  # the source within `discovery` that polls relays, if any
    peer_protocols: PeerProtocols = field(default_factory=PeerProtocols)

    @property
    def datagrams(self) -> PeerSocket | None:
        """The socket for datagrams to and from other gateways; None if no such protocol is enabled."""
        return self.peer_protocols.datagrams

    @property
    def peer_drivers(self) -> list[LeaseDriver | GossipDriver]:
        """The drivers of the enabled protocols between gateways."""
        drivers = (self.peer_protocols.leases, self.peer_protocols.gossip)
        return [driver for driver in drivers if driver is not None]

    def start(self) -> None:
        """Start the protocols between gateways. To be called once clients are accepted."""
        for driver in self.peer_drivers:
            driver.start()
        if self.datagrams is not None:
            self.datagrams.start()

    def begin_shutdown(self) -> None:
        """Notify other gateways that this process is about to exit."""
        for driver in self.peer_drivers:
            driver.leave()

    def close_peers(self) -> None:
        """Stop the protocols between gateways and free their address, for the process that replaces this one."""
        for driver in self.peer_drivers:
            driver.close()
        if self.datagrams is not None:
            self.datagrams.close()

    def close(self) -> None:
        """Close the parts that the server does not close itself."""
        self.close_peers()
        self.gateway.close()


def assemble(config: Config, options: Options | None = None) -> Program:
    """Create the parts of a gateway that configuration and options enable, without starting them."""
    options = options or Options()
    pool = ConnectionPool(config.settings)
    resources = PeerResources(MemoryAccount(config.memory_mb, resident_bytes()))
    relay_client = _make_relay_client(config, options)
    registry: HttpEndpointSource
    if relay_client is not None:
        registry = relay_client
    else:
        registry = HttpEndpointSource(config.discovery, config.names, config.settings.list_is_pushed)
    registry.resources = resources
    source = _add_manual_ejections(config, _add_zookeeper(config, options, registry))
    sender = AttemptSender(config.settings, pool, resources, max_responses(config.sockets))
    gateway = Gateway(config, pool, sender, source, resources)
    sender.on_event = gateway.metrics.record_event
    if relay_client is not None:
        relay_client.count_failing_hosts = lambda: len(gateway.balancer.ejected_servers(now_us()))
    peer_protocols = _make_peer_protocols(config, options, gateway)
    server = Server(config, gateway, pool)
    return Program(gateway, server, pool, source, relay_client, peer_protocols)


def _make_relay_client(config: Config, options: Options) -> RelayEndpointSource | None:
    if options.relays is None:
        return None
    from cloverkeel.discovery.relay_client import RelayEndpointSource

    return RelayEndpointSource(config, options.relays)


def _add_zookeeper(
    config: Config, options: Options, registry: HttpEndpointSource
) -> HttpEndpointSource | MergedEndpointSource:
    """Return a source that merges the lists of ZooKeeper and the registry; the registry alone if ZooKeeper is off."""
    if options.zookeeper is None:
        return registry
    from cloverkeel.discovery.merged_source import MergedEndpointSource

    is_registry_used = "registry" in options.zookeeper.precedence
    return MergedEndpointSource(options.zookeeper, registry if is_registry_used else None, config.names)


def _add_manual_ejections(
    config: Config, source: HttpEndpointSource | MergedEndpointSource
) -> HttpEndpointSource | MergedEndpointSource | EjectionFilter:
    """Wrap the source in a filter for manually ejected hosts, which needs an admin address for the commands."""
    if config.admin_listen is None:
        return source
    from cloverkeel.discovery.ejection_filter import EjectionFilter

    return EjectionFilter(source)


def _make_peer_protocols(config: Config, options: Options, gateway: Gateway) -> PeerProtocols:
    has_protocol = options.leases is not None or options.gossip is not None
    if config.peer_listen is None or not config.settings.may_message_peers or not has_protocol:
        return PeerProtocols()
    from cloverkeel.core.datagrams import PeerSocket

    datagrams = PeerSocket(config.peer_listen, config.peers)
    lease_driver = _make_lease_driver(config, options, gateway, datagrams)
    gossip_driver = _make_gossip_driver(config, options, gateway, datagrams)
    return PeerProtocols(datagrams, lease_driver, gossip_driver)


def _make_lease_driver(
    config: Config, options: Options, gateway: Gateway, datagrams: PeerSocket
) -> LeaseDriver | None:
    if options.leases is None:
        return None
    from cloverkeel.leases.driver import LeaseDriver

    return LeaseDriver(config, options.leases, gateway, datagrams)


def _make_gossip_driver(
    config: Config, options: Options, gateway: Gateway, datagrams: PeerSocket
) -> GossipDriver | None:
    if options.gossip is None:
        return None
    from cloverkeel.gossip.driver import GossipDriver

    return GossipDriver(config, gateway, datagrams)
