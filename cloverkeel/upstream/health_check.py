"""The health check of a host: one request whose answer carries the host's load where the deployment has reports."""

from __future__ import annotations

from typing import Final

from cloverkeel.balancing.settings import Reports

from cloverkeel.core.config import Address

HEALTH_CHECK_TIMEOUT_US: Final = 250_000
LIVENESS_PATH: Final = b"/health/live"
STATS_PATH: Final = b"/stats"


def build_health_check(address: Address, reports: Reports) -> bytes:
    """Return the request in full."""
    path = LIVENESS_PATH if reports is Reports.NONE else STATS_PATH
    authority = f"{address[0]}:{address[1]}".encode()
    return b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (path, authority)
