"""The rooms put together: the one place that knows them all."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cloverkeel.core.clock import now_us
from cloverkeel.core.config import Config
from cloverkeel.core.gateway import Gateway
from cloverkeel.core.options import Options
from cloverkeel.frontends.http1.server import Server
from cloverkeel.discovery.http_client import Discovery
from cloverkeel.upstream.connection_pool import Pools

if TYPE_CHECKING:
    from cloverkeel.core.datagrams import Datagrams
    from cloverkeel.discovery.ejection_filter import BannedMembership
    from cloverkeel.leases.driver import Room
    from cloverkeel.discovery.merged_source import MergedMembership
    from cloverkeel.discovery.relay_client import RelayedDiscovery
    from cloverkeel.gossip.driver import Room as SharingRoom


@dataclass(slots=True, frozen=True)
class Program:
    """All that runs; made on a running loop."""

    gateway: Gateway
    server: Server
    pools: Pools
    discovery: Discovery | MergedMembership | BannedMembership
    datagrams: Datagrams | None = None  # the socket of the parts below
    duties: Room | None = None
    sharing: SharingRoom | None = None
    relayed: RelayedDiscovery | None = None  # the part of `discovery` that asks relays

    @property
    def parts(self) -> list[Room | SharingRoom]:
        """What speaks to other gateways."""
        return [part for part in (self.duties, self.sharing) if part is not None]

    def start(self) -> None:
        """Clients are let in: begin to speak to other gateways."""
        for part in self.parts:
            part.start()
        if self.datagrams is not None:
            self.datagrams.start()

    def leave(self) -> None:
        """The way out has begun."""
        for part in self.parts:
            part.leave()

    def close(self) -> None:
        for part in self.parts:
            part.close()
        if self.datagrams is not None:
            self.datagrams.close()
        self.gateway.close()


def assemble(config: Config, options: Options | None = None) -> Program:
    pools = Pools(config.settings)
    registry = Discovery(config.discovery, config.names, config.settings.list_is_pushed)
    relayed: RelayedDiscovery | None = None
    if options is not None and options.relays is not None:
        # Imported here alone: most installations have no relays.
        from cloverkeel.discovery.relay_client import RelayedDiscovery

        registry = relayed = RelayedDiscovery(config, options.relays)
    discovery: Discovery | MergedMembership = registry
    if options is not None and options.ephemeral is not None:
        # Imported here alone: kazoo and its threads cost memory, and most installations have none of it.
        from cloverkeel.discovery.merged_source import MergedMembership

        asked = registry if "registry" in options.ephemeral.precedence else None
        discovery = MergedMembership(options.ephemeral, asked, config.names)
    membership: Discovery | MergedMembership | BannedMembership = discovery
    if config.ops is not None:
        from cloverkeel.discovery.ejection_filter import BannedMembership

        membership = BannedMembership(discovery)
    gateway = Gateway(config, pools, membership)
    if relayed is not None:
        relayed.outs = lambda: len(gateway.balancer.ejected_servers(now_us()))
    may_tell = config.settings.may_tell_peers and config.peer_listen is not None
    if options is None or not may_tell or (options.duties is None and options.sharing is None):
        return Program(gateway, Server(config, gateway, pools), pools, membership, relayed=relayed)
    # Imported here alone: most installations have none of it, and some allow no datagrams.
    from cloverkeel.core.datagrams import Datagrams

    assert config.peer_listen is not None
    datagrams = Datagrams(config.peer_listen, config.peers)
    duties = sharing = None
    if options.duties is not None:
        from cloverkeel.leases.driver import Room

        duties = Room(config, options.duties, gateway, datagrams)
    if options.sharing is not None:
        from cloverkeel.gossip.driver import Room as SharingRoom

        sharing = SharingRoom(config, gateway, datagrams)
    return Program(gateway, Server(config, gateway, pools), pools, membership, datagrams, duties, sharing, relayed)
