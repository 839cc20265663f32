"""Rendezvous hashing of keys and proxies to servers, and the preference for servers of the own zone."""

from __future__ import annotations

import math
from typing import Any, Final

from cloverkeel.balancing.events import ListedServer
from cloverkeel.balancing.settings import Settings

HOME_WEIGHT_FACTOR: Final = 20.0  # on the weight of a key's home: most of its requests, not all
CROSS_ZONE_PENALTY: Final = 80.0  # how hard the price of crossing zones lowers the weight of servers in other zones
# The golden ratio in 64 bits spreads close numbers apart. Any: what mypyc compiles of int leaks past 62 bits.
HASH_FACTOR: Any = 0x9E3779B97F4A7C15
HASH_MASK: Any = 2**64 - 1


def rendezvous_rank(key: int, server: int, weight: float) -> float:
    """Return the rank of a server for a key: lowest at the one that the key belongs to.

    Weighted rendezvous hashing (Thaler and Ravishankar, 1998): everyone ranks alike without a message, and a server
    that comes or goes moves only what ranks it first.
    """
    mixed = (key ^ (server * HASH_FACTOR)) * HASH_FACTOR & HASH_MASK
    mixed = (mixed ^ (mixed >> 29)) * HASH_FACTOR & HASH_MASK
    return -math.log(float((mixed + 1) / (HASH_MASK + 1))) / weight


def zone_preference(settings: Settings, entry: ListedServer) -> float:
    """Return the factor on a server's weight: 1 in this proxy's zone, less in others the more a crossing costs."""
    return 1.0 / (1.0 + CROSS_ZONE_PENALTY * settings.prices.cross_zone * (entry.zone != settings.zone))
