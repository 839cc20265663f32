"""The rooms put together: the one place that knows them all."""

from __future__ import annotations

from dataclasses import dataclass

from cloverkeel.core.config import Config
from cloverkeel.core.gateway import Gateway
from cloverkeel.fronts.http1.server import Server
from cloverkeel.membership.registry import Discovery
from cloverkeel.upstream.pools import Pools


@dataclass(slots=True, frozen=True)
class Program:
    """All that runs; made on a running loop."""

    gateway: Gateway
    server: Server
    pools: Pools
    discovery: Discovery

    def close(self) -> None:
        self.gateway.close()


def assemble(config: Config) -> Program:
    pools = Pools(config.settings)
    discovery = Discovery(config.discovery, config.names, config.settings.list_is_pushed)
    gateway = Gateway(config, pools, discovery)
    return Program(gateway, Server(config, gateway, pools), pools, discovery)
