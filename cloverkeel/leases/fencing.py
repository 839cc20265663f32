"""The receiver's check of fencing tokens: messages of former lease holders are rejected. Pure.

A fencing token is the ballot under which a lease was won, or the czxid of its node; it increases from each holder to
the next (Kleppmann, "How to do distributed locking", 2016).

Invariants:
- no token older than the newest token seen for the same lease is admitted;
- each token belongs to one process.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

DEFAULT_MAX_LEASES: Final = 1024


@dataclass(slots=True, frozen=True)
class SeenToken:
    """A fencing token and the process that presented it."""

    token: int
    process: int


class FencingTokenCheck:
    """The newest fencing token seen for each lease.

    Holds at most `max_leases` entries and evicts the least recently used one, which belongs to a lease whose holder
    no longer sends.
    """

    __slots__ = ("max_leases", "rejected", "seen_by_lease")

    def __init__(self, max_leases: int = DEFAULT_MAX_LEASES) -> None:
        self.max_leases = max_leases
        self.seen_by_lease: dict[int, SeenToken] = {}  # least recently used first
        self.rejected = 0

    def admit(self, lease_id: int, token: int, process: int) -> bool:
        """Return whether a message that this process sent under this token is accepted, and record the token if so.

        A token that another process presented before is rejected too: a coordination service that was restored
        from an older state can issue the same token twice.
        """
        newest = self.seen_by_lease.pop(lease_id, SeenToken(0, process))
        presented = SeenToken(token, process)
        is_current = token > newest.token or presented == newest
        self.seen_by_lease[lease_id] = presented if is_current else newest
        if len(self.seen_by_lease) > self.max_leases:
            del self.seen_by_lease[next(iter(self.seen_by_lease))]
        self.rejected += not is_current
        return is_current

    def newest_token(self, lease_id: int) -> int:
        """Return the newest token seen for a lease; 0 if none was seen."""
        seen = self.seen_by_lease.get(lease_id)
        return seen.token if seen is not None else 0
