"""Health check requests; where the deployment has load reports, the response carries the host's load."""

from __future__ import annotations

from typing import Final

from cloverkeel.balancing.settings import Reports

from cloverkeel.core.config import Address

HEALTH_CHECK_TIMEOUT_US: Final = 250_000
LIVENESS_PATH: Final = b"/health/live"
STATS_PATH: Final = b"/stats"


def build_health_check(address: Address, reports: Reports) -> bytes:
    """Return the complete request."""
    path = LIVENESS_PATH if reports is Reports.NONE else STATS_PATH
    authority = f"{address[0]}:{address[1]}".encode()
    return b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (path, authority)
