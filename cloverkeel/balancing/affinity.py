"""Rendezvous hashing of keys and proxies to servers, and the preference for servers in this proxy's zone."""

from __future__ import annotations

import math
from typing import Any, Final

from cloverkeel.balancing.events import ListedServer
from cloverkeel.balancing.settings import Settings

HOME_WEIGHT_FACTOR: Final = 20.0  # on the weight of a key's home server: it gets most of the key's requests, not all
CROSS_ZONE_PENALTY: Final = 80.0  # per unit of the cross-zone price; lowers the weight of servers in other zones
# 2**64 over the golden ratio (Fibonacci hashing) spreads consecutive numbers. Typed Any because int arithmetic
# compiled by mypyc leaks memory above 62 bits.
HASH_FACTOR: Any = 0x9E3779B97F4A7C15
HASH_MASK: Any = 2**64 - 1


def rendezvous_rank(key: int, server: int, weight: float) -> float:
    """Return the rank of a server for a key; the server with the lowest rank is the key's home.

    Weighted rendezvous hashing (Thaler and Ravishankar, 1998): all proxies compute the same ranks without messages,
    and adding or removing a server moves only the keys that rank it first.
    """
    mixed = (key ^ (server * HASH_FACTOR)) * HASH_FACTOR & HASH_MASK
    mixed = (mixed ^ (mixed >> 29)) * HASH_FACTOR & HASH_MASK
    return -math.log(float((mixed + 1) / (HASH_MASK + 1))) / weight


def zone_preference(settings: Settings, entry: ListedServer) -> float:
    """Return the factor on a server's weight: 1 in this proxy's zone; in others, the cross-zone price lowers it."""
    return 1.0 / (1.0 + CROSS_ZONE_PENALTY * settings.prices.cross_zone * (entry.zone != settings.zone))
