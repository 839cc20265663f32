"""Process identity, and the timestamps that other gateways echo. Pure.

Invariant: a timestamp is interpreted only by the process that made it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from cloverkeel.leases.ballots import RANDOM_BITS, REFERENCE_TIME_US

NONCE_BITS: Final = 32
TIMESTAMP_BITS: Final = 48  # microseconds since 2026; the higher bits are random bits of the process
MAX_TIMESTAMP: Final = (1 << TIMESTAMP_BITS) - 1
UNKNOWN_PROCESS: Final = -1


@dataclass(slots=True, frozen=True)
class ProcessId:
    """One process of a gateway; each restart yields a new identity."""

    gateway: int
    nonce: int  # drawn at random when the process starts

    @property
    def key(self) -> int:
        """Return the identity as one integer."""
        return (self.gateway << NONCE_BITS) | self.nonce

    def make_timestamp(self, now_us: int) -> int:
        """Encode the current time as a timestamp that other gateways echo."""
        return (self._random_bits << TIMESTAMP_BITS) | min(MAX_TIMESTAMP, max(1, now_us - REFERENCE_TIME_US))

    def read_timestamp(self, timestamp: int) -> int:
        """Decode a timestamp of this process to microseconds; 0 if another process made it.

        If the wall clock changed at a restart, timestamps of the former process could otherwise appear current.
        """
        if timestamp >> TIMESTAMP_BITS != self._random_bits:
            return 0
        return (timestamp & MAX_TIMESTAMP) + REFERENCE_TIME_US

    @property
    def _random_bits(self) -> int:
        return self.nonce & ((1 << RANDOM_BITS) - 1)


def process_of_timestamp(gateway: int, timestamp: int) -> int:
    """Return an integer that identifies the gateway process that made a timestamp."""
    return (gateway << RANDOM_BITS) | (timestamp >> TIMESTAMP_BITS)
