"""The receiver's check of fencing tokens: what a former lease holder sends is rejected. Pure.

A fencing token is the ballot under which a lease was won, or the czxid of its node; it only grows from one holder
to the next (Kleppmann, "How to do distributed locking", 2016).

Invariants:
- of one lease no token older than the newest seen is admitted;
- one token belongs to one process.
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
    """The newest token seen of each lease.

    Bounded: beyond `max_leases` the lease that was heard of longest ago is forgotten, which only a lease that nobody
    acts on can be.
    """

    __slots__ = ("max_leases", "rejected", "seen_by_lease")

    def __init__(self, max_leases: int = DEFAULT_MAX_LEASES) -> None:
        self.max_leases = max_leases
        self.seen_by_lease: dict[int, SeenToken] = {}  # the one heard of longest ago first
        self.rejected = 0

    def admit(self, lease_id: int, token: int, process: int) -> bool:
        """Tell whether what this process sent under this token counts; if so it is the newest from now on.

        A token that another process presented before is rejected too: a coordination service that was restored
        from an older state gives a token twice.
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
        """Return the newest token seen of a lease; 0 where none was."""
        seen = self.seen_by_lease.get(lease_id)
        return seen.token if seen is not None else 0
