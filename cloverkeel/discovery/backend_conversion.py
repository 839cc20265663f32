"""Conversion between backends of the merge and endpoints of the core. Pure: no I/O, no clock."""

from __future__ import annotations

from dataclasses import replace

from cloverkeel.balancing.events import ListedServer, ServerStatus

from cloverkeel.core.config import Names, stable_id
from cloverkeel.core.ports import Endpoint
from cloverkeel.discovery.backend import Backend, BackendStatus
from cloverkeel.discovery.endpoint_parser import SERVER_ID_BYTES, index_of_name


def to_endpoint(backend: Backend, names: Names, is_removed: bool = False) -> Endpoint:
    """Convert a backend to an endpoint of the core; `is_removed` gives it the status GONE."""
    status = ServerStatus.READY if backend.status is BackendStatus.SERVING else ServerStatus.DRAINING
    listed = ListedServer(
        server=stable_id(backend.name, SERVER_ID_BYTES),
        status=ServerStatus.GONE if is_removed else status,
        weight=backend.weight,
        zone=index_of_name(backend.zone, names.zones),
        group=backend.group if isinstance(backend.group, int) else stable_id(backend.group, SERVER_ID_BYTES),
        kind=index_of_name(backend.kind, names.kinds),
        started_us=backend.since_ms * 1000,
    )
    return Endpoint(backend.name, backend.address, listed)


def to_backend(endpoint: Endpoint) -> Backend:
    """Convert an endpoint of the registry to a backend; zone, kind and group stay numbers."""
    listed = endpoint.listed
    return Backend(
        name=endpoint.name,
        address=endpoint.address,
        status=BackendStatus.SERVING if listed.status is ServerStatus.READY else BackendStatus.DRAINING,
        zone=listed.zone,
        kind=listed.kind,
        group=listed.group,
        weight=listed.weight,
        since_ms=listed.started_us // 1000,
    )


def with_setting_names(backend: Backend, names: Names) -> Backend:
    """Replace zone and kind numbers by their names; the numbers may differ after a restart."""
    zones = {number: name for name, number in names.zones.items()}
    kinds = {number: name for name, number in names.kinds.items()}
    zone = zones.get(backend.zone, "") if isinstance(backend.zone, int) else backend.zone
    kind = kinds.get(backend.kind, "") if isinstance(backend.kind, int) else backend.kind
    return replace(backend, zone=zone, kind=kind)
