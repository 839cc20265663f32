"""Parameters that must be equal at all gateways for leases to be safe. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# The allowance for clock drift is 1/200 of a duration: enough for two clocks whose rates are each off by 1e-3.
CLOCK_DRIFT_DIVISOR: Final = 200


@dataclass(slots=True, frozen=True)
class LeaseConfig:
    """Number of voters and lease duration, equal at every gateway."""

    voters: int  # gateways 0 to voters - 1 vote
    lease_us: int

    @property
    def quorum(self) -> int:
        """Return the number of voters in a majority."""
        return self.voters // 2 + 1

    @property
    def validity_us(self) -> int:
        """Return how long a holder may rely on its lease, counted from the start of the round that won it."""
        return self.lease_us - self.lease_us // CLOCK_DRIFT_DIVISOR

    @property
    def quarantine_us(self) -> int:
        """Return how long a restarted voter must not vote: the longest lease plus the allowance for clock drift."""
        return self.lease_us + self.lease_us // CLOCK_DRIFT_DIVISOR
