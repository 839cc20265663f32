"""All mutants, one module for each package of the product. Importing this package registers them."""

from benchmarks.guards.mutants import (
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

__all__ = [
    "admin",
    "balancing",
    "control_plane",
    "core",
    "discovery",
    "frontends",
    "gossip",
    "leases",
    "program",
    "protocols",
    "upstream",
]
