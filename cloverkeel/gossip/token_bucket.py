"""Token bucket that limits the bytes sent, at a rate proportional to the request rate. Pure: time is passed in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

FULL_MESSAGE_BYTES: Final = 256  # size of a message to which the price in the settings refers (Prices.peer)
MESSAGES_PER_REQUEST: Final = 0.1  # full messages that may be sent for each request
MIN_BYTES_PER_S: Final = 600.0  # at any request rate: enough for a probe, its answer and some broadcasts
MAX_SAVED_BYTES: Final = 16_000.0
REQUEST_RATE_INTERVAL_US: Final = 1_000_000  # between two measurements of the request rate
MIN_ELAPSED_S: Final = 1e-6


@dataclass(slots=True)
class ByteTokenBucket:
    """Bytes that may be sent. The balance is negative after datagrams that are exempt from the limit."""

    available_bytes: float = MAX_SAVED_BYTES
    bytes_per_s: float = MIN_BYTES_PER_S
    refilled_us: int = 0
    requests_measured: int = 0
    rate_measured_us: int = 0  # 0 if never

    def refill(self, now_us: int, requests: int) -> None:
        """Add the bytes earned since the last call; `requests`: received by this gateway since its start."""
        elapsed_us = now_us - self.refilled_us
        if elapsed_us > 0:
            refilled_bytes = self.available_bytes + self.bytes_per_s * elapsed_us / 1e6
            self.available_bytes = min(MAX_SAVED_BYTES, refilled_bytes)
            self.refilled_us = now_us
        if now_us - self.rate_measured_us >= REQUEST_RATE_INTERVAL_US:
            self._measure_request_rate(now_us, requests)

    def _measure_request_rate(self, now_us: int, requests: int) -> None:
        elapsed_s = max(MIN_ELAPSED_S, (now_us - self.rate_measured_us) / 1e6)
        requests_per_s = (requests - self.requests_measured) / elapsed_s
        if self.rate_measured_us:
            bytes_per_s = MESSAGES_PER_REQUEST * FULL_MESSAGE_BYTES * requests_per_s
            self.bytes_per_s = max(MIN_BYTES_PER_S, bytes_per_s)
        self.requests_measured = requests
        self.rate_measured_us = now_us

    def spend(self, size_bytes: int) -> None:
        """Remove the bytes of a datagram."""
        self.available_bytes -= size_bytes
