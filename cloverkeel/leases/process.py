"""Who sends, and the timestamps that others echo. Pure.

Invariant: only the process that made a timestamp reads it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from cloverkeel.leases.ballots import RANDOM_BITS, REFERENCE_TIME_US

NONCE_BITS: Final = 32
TIMESTAMP_BITS: Final = 48  # microseconds since 2026; the bits above are random bits of the process
MAX_TIMESTAMP: Final = (1 << TIMESTAMP_BITS) - 1
UNKNOWN_PROCESS: Final = -1


@dataclass(slots=True, frozen=True)
class ProcessId:
    """One process of a gateway: a restarted one is another."""

    gateway: int
    nonce: int  # drawn at its start

    @property
    def key(self) -> int:
        """Return one number for the process."""
        return (self.gateway << NONCE_BITS) | self.nonce

    def make_timestamp(self, now_us: int) -> int:
        """Return this moment, for others to echo."""
        return (self._random_bits << TIMESTAMP_BITS) | min(MAX_TIMESTAMP, max(1, now_us - REFERENCE_TIME_US))

    def read_timestamp(self, timestamp: int) -> int:
        """Return the moment of a timestamp of this process; 0 for one of another.

        Guards against a restarted process with another wall clock: old timestamps would seem to be of now.
        """
        if timestamp >> TIMESTAMP_BITS != self._random_bits:
            return 0
        return (timestamp & MAX_TIMESTAMP) + REFERENCE_TIME_US

    @property
    def _random_bits(self) -> int:
        return self.nonce & ((1 << RANDOM_BITS) - 1)


def process_of_timestamp(gateway: int, timestamp: int) -> int:
    """Return a number for the process of a gateway that made a timestamp."""
    return (gateway << RANDOM_BITS) | (timestamp >> TIMESTAMP_BITS)
