"""What all gateways have to agree on for leases to be safe. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# One part in so many: covers two clocks whose rates are each off by 1e-3, and more.
CLOCK_DRIFT_DIVISOR: Final = 200


@dataclass(slots=True, frozen=True)
class LeaseConfig:
    """Number of voters and duration of a lease, the same at every gateway."""

    voters: int  # gateways 0 to voters - 1
    lease_us: int  # duration of a lease

    @property
    def quorum(self) -> int:
        """Return how many voters are a majority."""
        return self.voters // 2 + 1

    @property
    def validity_us(self) -> int:
        """Return how long a holder may rely on its lease, from before its round was begun."""
        return self.lease_us - self.lease_us // CLOCK_DRIFT_DIVISOR

    @property
    def quarantine_us(self) -> int:
        """Return how long a restarted voter does not vote: the longest lease, and the allowance for drift."""
        return self.lease_us + self.lease_us // CLOCK_DRIFT_DIVISOR
