"""Lease ids and the preferred holder of each lease, computed alike at every gateway without communication. Pure."""

from __future__ import annotations

import hashlib

from cloverkeel.leases.messages import LEASE_ID_BITS


def lease_id_of(name: str) -> int:
    """Return the lease id: the top 60 bits of the BLAKE2b hash of the lease's name."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest()) >> (64 - LEASE_ID_BITS)


def rendezvous_score(lease_id: int, gateway: int) -> int:
    """Return a gateway's score for a lease; the gateway with the lowest score is the preferred holder.

    Rendezvous hashing (Thaler, Ravishankar, 1998): few leases move when a gateway is added or removed.
    """
    return int.from_bytes(hashlib.blake2b(b"%d/%d" % (lease_id, gateway), digest_size=7).digest())


def rendezvous_order(lease_id: int, gateway_count: int) -> list[int]:
    """Return all gateways in order of preference as the lease's holder."""
    return sorted(range(gateway_count), key=lambda gateway: rendezvous_score(lease_id, gateway))
