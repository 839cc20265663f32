"""Check the responses to clients: each request gets its own in time, and no gateway refuses all requests."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from standins.checker.relays.outages import OutageHistory
from standins.checker.relays.record import ClientRequest, RelayViolation, RunRecord

RESPONSE_TIMEOUT_US: Final = 2_000_000
MAX_REFUSING_US: Final = 1_500_000
STATUS_REFUSED: Final = 503
ALLOWED_STATUSES: Final = (200, STATUS_REFUSED)


class ResponseCheck:
    """Checks the responses to clients."""

    def __init__(self, record: RunRecord, outages: OutageHistory) -> None:
        self._record = record
        self._outages = outages

    def check(self) -> Iterator[RelayViolation]:
        """Yield violations by request, then by gateway."""
        for request in self._record.requests:
            yield from self._check_request(request)
        for gateway in range(self._record.gateways):
            yield from self._check_refusals(gateway)

    def _check_request(self, request: ClientRequest) -> Iterator[RelayViolation]:
        subject = f"n{request.gateway}"
        end_us = request.answered_us or self._record.end_us
        took_us = end_us - request.at_us
        if took_us - self._outages.stopped_us(request.gateway, request.at_us, end_us) > RESPONSE_TIMEOUT_US:
            description = "answered late" if request.answered_us else "not answered"
            yield RelayViolation(f"{description}, {took_us / 1e6:.3f} s", request.at_us, subject)
        if request.answered_us and request.status not in ALLOWED_STATUSES:
            yield RelayViolation(f"answered {request.status}", request.answered_us, subject)
        if not request.is_own:
            yield RelayViolation("the response is that of another request", request.answered_us, subject)

    def _check_refusals(self, gateway: int) -> Iterator[RelayViolation]:
        refusing_since_us = 0
        answered = [
            request for request in self._record.requests if request.gateway == gateway and request.answered_us
        ]
        for request in sorted(answered, key=lambda request: request.answered_us):
            if request.status != STATUS_REFUSED:
                refusing_since_us = 0
                continue
            refusing_since_us = refusing_since_us or request.answered_us
            refusing_us = request.answered_us - refusing_since_us
            stopped_us = self._outages.stopped_us(gateway, refusing_since_us, request.answered_us)
            if refusing_us - stopped_us > MAX_REFUSING_US:
                description = f"all requests refused for {refusing_us / 1e6:.3f} s"
                yield RelayViolation(description, request.answered_us, f"n{gateway}")
                return
