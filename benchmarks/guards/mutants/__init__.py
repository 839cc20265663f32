"""All mutants, a module for each package of the product: importing this registers them."""

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
