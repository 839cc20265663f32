"""ZooKeeper sessions through kazoo: creation of clients, and mapping of session states."""

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
    """The ensemble and the folder of backends' nodes, and the timing of the session."""

    hosts: str  # host:port,host:port
    path: str  # the folder of the backends' nodes
    session_ms: int
    spread_s: float  # period over which the first reads of gateways that reconnect together are spread


def create_client(hosts: str, session_ms: int, connection_retry: dict[str, Any]) -> KazooClient:
    """Create a client that reconnects with these KazooRetry options and does not retry a failed command."""
    logging.getLogger("kazoo").setLevel(logging.CRITICAL)  # the callers log failures, in one line
    return KazooClient(
        hosts,
        timeout=session_ms / 1000,
        connection_retry=KazooRetry(**connection_retry),
        command_retry=KazooRetry(max_tries=0),
    )
