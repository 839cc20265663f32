"""The table of mutants and of what must detect them, one module for each package of the product."""

from __future__ import annotations

from benchmarks.guards.row import Row
from benchmarks.guards.table import (
    admin,
    balancing,
    control_plane,
    core,
    discovery,
    frontends,
    gossip,
    leases,
    program,
    protocols,
    upstream,
)

ROWS: tuple[Row, ...] = (
    *admin.ROWS,
    *balancing.ROWS,
    *control_plane.ROWS,
    *core.ROWS,
    *discovery.ROWS,
    *frontends.ROWS,
    *gossip.ROWS,
    *leases.ROWS,
    *program.ROWS,
    *protocols.ROWS,
    *upstream.ROWS,
)
