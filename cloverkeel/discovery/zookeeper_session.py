"""Sessions at a ZooKeeper ensemble, through kazoo: how they are opened, and the names of their states."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import Any, Final

from kazoo.client import KazooClient
from kazoo.retry import KazooRetry

from cloverkeel.discovery.source_merge import ConnectionState

STATE_BY_KAZOO_NAME: Final = {
    "CONNECTED": ConnectionState.CONNECTED,
    "SUSPENDED": ConnectionState.SUSPENDED,
    "LOST": ConnectionState.LOST,
}


@dataclass(slots=True, frozen=True)
class ZookeeperSessionOptions:
    """Which service is asked, and how."""

    hosts: str  # host:port,host:port
    path: str  # the folder of the backends' nodes
    session_ms: int
    spread_s: float  # in which a fleet that reconnects begins to read


def create_client(hosts: str, session_ms: int, connection_retry: dict[str, Any]) -> KazooClient:
    """Return a client that connects again by these options of KazooRetry; a command that fails is not made again."""
    logging.getLogger("kazoo").setLevel(logging.CRITICAL)  # what matters is logged by its users, in one line
    return KazooClient(
        hosts,
        timeout=session_ms / 1000,
        connection_retry=KazooRetry(**connection_retry),
        command_retry=KazooRetry(max_tries=0),
    )
