"""Account of the memory that peers make this process hold, under the limit of the settings. Pure.

Everything that grows with what peers send is charged here: connections, heads, bodies, requests parsed ahead,
responses buffered or waiting to be written. What a large body or the buffer of a streamed response takes is reserved
first and may be refused or made smaller. Small amounts are charged also beyond the limit; the caller then pauses,
refuses or closes.

Invariant: `used_bytes` is the sum of all charges that were not released, and of `bytes_by_owner`.
"""

from __future__ import annotations

from enum import Enum
from typing import Final

BYTES_PER_MIB: Final = 1024 * 1024
MAX_BASELINE_MIB: Final = 40  # of the program itself; guards against a measurement in a process that is not a gateway
DEFAULT_BASELINE_MIB: Final = 30  # if it cannot be measured
ACCOUNT_FRACTION: Final = 0.75  # of what the program itself leaves; the rest covers copies, fragmentation and lists
OVERHEAD_BYTES: Final = 2 * BYTES_PER_MIB  # of the same, whatever the limit
MIN_ACCOUNT_BYTES: Final = 4 * BYTES_PER_MIB
CRITICAL_FACTOR: Final = 1.1  # times the limit, above which small requests are refused, too
CLIENT_CONNECTION_BYTES: Final = 4 * 1024  # objects of one connection without a request
HOST_CONNECTION_BYTES: Final = 4 * 1024
PARSED_REQUEST_BYTES: Final = 1024  # objects of one parsed request, beside its fields
HOST_ENTRY_BYTES: Final = 2700  # objects of one host on the list
ADMIN_CONNECTION_BYTES: Final = 4 * 1024
REQUEST_BYTES: Final = 4 * 1024  # objects of one request in flight
SMALL_REQUEST_BYTES: Final = 8 * 1024  # up to this size a request is admitted until the account is critical
READ_AHEAD_BYTES: Final = 64 * 1024  # of requests that wait on one connection for their turn
MIN_STREAM_BYTES: Final = 8 * 1024  # of a streamed response; granted also beyond the limit
MAX_STREAM_BYTES: Final = 256 * 1024
STREAMS_PER_FREE_BYTES: Final = 128  # a further stream gets this part of what is free
MIN_BUFFERED_RESPONSE_BYTES: Final = 4 * 1024
MAX_BUFFERED_RESPONSE_BYTES: Final = 64 * 1024


class ChargeOwner(Enum):
    """Kinds of peers whose bytes are charged; the values are positions in `MemoryAccount.bytes_by_owner`."""

    CLIENTS = 0
    HOSTS = 1
    DISCOVERY = 2
    GATEWAYS = 3
    ADMIN = 4


def account_limit(memory_mb: int, baseline_bytes: int) -> int:
    """Return the limit of an account in bytes.

    `memory_mb`: limit of the process in MiB. `baseline_bytes`: what the program itself holds; 0 if unknown.
    """
    baseline = min(baseline_bytes or DEFAULT_BASELINE_MIB * BYTES_PER_MIB, MAX_BASELINE_MIB * BYTES_PER_MIB)
    free_bytes = (memory_mb * BYTES_PER_MIB - baseline) * ACCOUNT_FRACTION
    return max(MIN_ACCOUNT_BYTES, int(free_bytes) - OVERHEAD_BYTES)


class MemoryAccount:
    """Bytes in use and the limit on their sum."""

    def __init__(self, memory_mb: int, baseline_bytes: int) -> None:
        self.memory_mb = memory_mb
        self.baseline_bytes = baseline_bytes
        self.limit_bytes = account_limit(memory_mb, baseline_bytes)
        self.used_bytes = 0
        self.peak_bytes = 0  # highest `used_bytes` since the last call of `take_peak_bytes`
        self.bytes_by_owner = [0] * len(ChargeOwner)

    def add(self, owner: ChargeOwner, size: int) -> None:
        """Charge `size` bytes to an owner; a negative size releases them."""
        self.bytes_by_owner[owner.value] += size
        self.used_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)

    def take_peak_bytes(self) -> int:
        """Return the highest sum of charges since the last call."""
        peak_bytes, self.peak_bytes = self.peak_bytes, self.used_bytes
        return peak_bytes

    def set_process_count(self, processes: int) -> None:
        """Divide the memory among the `processes` of this gateway."""
        self.limit_bytes = account_limit(self.memory_mb // processes, self.baseline_bytes)

    def has_room(self, size: int) -> bool:
        """Return whether `size` more bytes are within the limit."""
        return self.used_bytes + size <= self.limit_bytes

    @property
    def is_exhausted(self) -> bool:
        """Whether nothing large may be added."""
        return self.used_bytes > self.limit_bytes

    @property
    def is_critical(self) -> bool:
        """Whether nothing at all may be added."""
        return self.used_bytes > CRITICAL_FACTOR * self.limit_bytes

    def stream_bytes(self) -> int:
        """Return the size of the buffer of one more streamed response, which the caller charges.

        Each gets a part of what is free, so that the sum of all stays within the limit. The least is always granted:
        a sound response goes on, however slowly.
        """
        free_bytes = self.limit_bytes - self.used_bytes
        return max(MIN_STREAM_BYTES, min(MAX_STREAM_BYTES, free_bytes // STREAMS_PER_FREE_BYTES))

    def read_ahead_bytes(self) -> int:
        """Return how much of further requests may wait on one connection."""
        return 0 if self.is_exhausted else READ_AHEAD_BYTES

    def can_admit(self, request_bytes: int) -> bool:
        """Return whether a complete request of this size may be admitted."""
        return not (self.is_critical if request_bytes <= SMALL_REQUEST_BYTES else self.is_exhausted)

    def buffered_response_bytes(self, max_responses: int) -> int:
        """Return the size up to which a response is buffered whole, if `max_responses` may arrive at a time."""
        share = self.limit_bytes // max(1, max_responses)
        return max(MIN_BUFFERED_RESPONSE_BYTES, min(MAX_BUFFERED_RESPONSE_BYTES, share))


class MemoryCharge:
    """What one connection has charged to an account."""

    __slots__ = ("account", "charged_bytes", "owner")

    def __init__(self, account: MemoryAccount, owner: ChargeOwner) -> None:
        self.account = account
        self.owner = owner
        self.charged_bytes = 0

    def update(self, held_bytes: int) -> None:
        """Charge what the connection holds now, in place of what it held before."""
        if held_bytes != self.charged_bytes:
            self.account.add(self.owner, held_bytes - self.charged_bytes)
            self.charged_bytes = held_bytes
