"""Timeouts of client connections by phase, in seconds of the loop's clock.

Invariant: a connection is in one phase at most, and each phase is ordered by entry, the earliest first.
Timeouts that are not Final are read whenever they are applied: the compiler does not treat them as constants.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cloverkeel.core.metrics import GatewayMetrics

if TYPE_CHECKING:
    from cloverkeel.frontends.http1.client_transport import ClientTransport
    from cloverkeel.frontends.http1.connection import ClientConnection

FIRST_BYTE_TIMEOUT_S = 2.0  # from accept to the first byte
REQUEST_TIMEOUT_S = 2.4  # from the first byte of a request, or from accept for the first request
READ_IDLE_TIMEOUT_S: Final = 1.0  # between two chunks, after REQUEST_TIMEOUT_S or when descriptors run short
MIN_BODY_BYTES_PER_S: Final = 32 * 1024  # a body that is slower, counted from REQUEST_TIMEOUT_S on, gets 408
KEEP_ALIVE_TIMEOUT_S = 20.0  # between two requests
CROWDED_KEEP_ALIVE_TIMEOUT_S = 2.0  # between two requests while many clients are connected
LINGER_TIMEOUT_S = 0.5  # between the delivery of an error response and the close
UNREAD_TIMEOUT_S: Final = 10.0  # for the client to read any more of its responses, also of the end of the last one

Phase = dict["ClientTransport", float]  # time at which each connection entered it, or its client last read more


class ConnectionTimeouts:
    """Owns the phases of all connections, and ends those that exceed the timeout of their phase."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self.metrics = metrics
        self.accepted: Phase = {}  # no byte has arrived
        self.reading: Phase = {}  # part of a request has arrived
        self.keep_alive: Phase = {}  # between requests
        self.delivering: Phase = {}  # responses wait until the client reads more; some connections close then
        self.lingering: Phase = {}  # an error response has some time to arrive before the close

    def end_expired(self, connections: set[ClientConnection], now_s: float, is_crowded: bool) -> None:
        """End connections that exceed the timeout of their phase, or whose client has disconnected."""
        keep_alive_s = CROWDED_KEEP_ALIVE_TIMEOUT_S if is_crowded else KEEP_ALIVE_TIMEOUT_S
        self._close_idle(self.accepted, FIRST_BYTE_TIMEOUT_S, "silent", now_s)
        self._close_idle(self.keep_alive, keep_alive_s, "kept", now_s)
        self._time_out_requests(now_s)
        self._abort_unread(now_s)
        self._end_lingering(now_s)
        self._abort_abandoned(connections)

    def _close_idle(self, phase: Phase, timeout_s: float, reason: str, now_s: float) -> None:
        """Close idle connections after `timeout_s` in the phase."""
        for connection, since_s in list(phase.items()):
            if now_s - since_s < timeout_s:
                break
            if connection.is_idle():
                self.metrics.record_unserved(reason)
                connection.close()

    def _time_out_requests(self, now_s: float) -> None:
        """Respond to requests that arrive too slowly."""
        for connection, since_s in list(self.reading.items()):
            overtime_s = now_s - since_s - REQUEST_TIMEOUT_S
            if now_s - since_s >= REQUEST_TIMEOUT_S and connection.is_request_slow(now_s, overtime_s):
                connection.time_out_request()

    def _abort_unread(self, now_s: float) -> None:
        """Abort connections whose client reads nothing of the responses that wait for it."""
        for connection, since_s in list(self.delivering.items()):
            if connection.output.has_client_read_more():
                self.delivering[connection] = now_s
            elif now_s - since_s >= UNREAD_TIMEOUT_S:
                self.metrics.record_unserved("unread")
                connection.abort()

    def _end_lingering(self, now_s: float) -> None:
        """End connections after their error response; what waits before it has the time of any other response."""
        for connection, since_s in list(self.lingering.items()):
            if connection.output.has_client_read_more():
                self.lingering[connection] = now_s
                continue
            is_delivered = connection.output.is_all_delivered()
            if now_s - since_s >= (LINGER_TIMEOUT_S if is_delivered else UNREAD_TIMEOUT_S):
                if not is_delivered:
                    self.metrics.record_unserved("unread")
                connection.abort()

    def _abort_abandoned(self, connections: set[ClientConnection]) -> None:
        """Abort connections whose client has left while nothing is read of them: the loop does not see the end."""
        for connection in [c for c in connections if c.has_left_unread()]:
            self.metrics.record_event("client left")
            connection.abort()
