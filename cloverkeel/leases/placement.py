"""Ids of leases, and which gateway should hold which: the same at every gateway, without a word. Pure."""

from __future__ import annotations

import hashlib

from cloverkeel.leases.messages import LEASE_ID_BITS


def lease_id_of(name: str) -> int:
    """Return 60 bits of the BLAKE2b of a lease's name."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest()) >> (64 - LEASE_ID_BITS)


def rendezvous_score(lease_id: int, gateway: int) -> int:
    """Return a gateway's score for a lease: who has the lowest should hold it.

    Rendezvous hashing (Thaler, Ravishankar, 1998): little moves when a gateway comes or goes.
    """
    return int.from_bytes(hashlib.blake2b(b"%d/%d" % (lease_id, gateway), digest_size=7).digest())


def rendezvous_order(lease_id: int, gateway_count: int) -> list[int]:
    """Return all gateways, the one that should hold the lease first."""
    return sorted(range(gateway_count), key=lambda gateway: rendezvous_score(lease_id, gateway))
