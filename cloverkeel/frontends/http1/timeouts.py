"""How long a client's connection may stay as it is, by what it waits for; times in seconds of the loop's clock.

Invariant: a connection is in one phase at the most, and each phase has those first that have been in it for longest.
The limits are read as they are when they are applied: they are no constants to the compiler.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cloverkeel.core.metrics import GatewayMetrics

if TYPE_CHECKING:
    from cloverkeel.frontends.http1.client_transport import ClientTransport
    from cloverkeel.frontends.http1.connection import ClientConnection

FIRST_BYTE_TIMEOUT_S = 2.0  # accepted, and no byte has come
REQUEST_TIMEOUT_S = 2.4  # a request has begun to come; for the first one since it was accepted
MAX_READ_GAP_S: Final = 1.0  # beyond that, between two chunks of a body
MIN_BODY_BYTES_A_S: Final = 32 * 1024  # beyond that: who sends less is given up
KEEP_ALIVE_TIMEOUT_S = 20.0  # between requests
CROWDED_KEEP_ALIVE_TIMEOUT_S = 2.0  # the same where many connections are up
LINGER_TIMEOUT_S: Final = 0.5  # for the client to read a response that it did not expect
WRITE_TIMEOUT_S: Final = 2.4  # a response is not being read
STREAM_STALL_TIMEOUT_S: Final = 10.0  # the same for a streamed one, of which the client takes nothing at all

Phase = dict["ClientTransport", float]  # since when each connection is in it; of `closing`, when its time is over


class ConnectionTimeouts:
    """Owns the phases of all connections, and ends those that have been in one for too long."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self.metrics = metrics
        self.accepted: Phase = {}  # no byte has come
        self.reading: Phase = {}  # a request has begun to come
        self.keep_alive: Phase = {}  # between requests
        self.closing: Phase = {}  # what was written is to be read by the client
        self.streaming: Phase = {}  # a streamed response waits for its client to take it

    def end_expired(self, connections: set[ClientConnection], now_s: float, is_crowded: bool) -> None:
        """End what has stayed as it is for too long."""
        keep_alive_s = CROWDED_KEEP_ALIVE_TIMEOUT_S if is_crowded else KEEP_ALIVE_TIMEOUT_S
        self._close_idle(self.accepted, FIRST_BYTE_TIMEOUT_S, "silent", now_s)
        self._close_idle(self.keep_alive, keep_alive_s, "kept", now_s)
        self._time_out_requests(now_s)
        self._abort_unread(now_s)
        for connection in [c for c in connections if c.reader.unparsed and c.has_disconnected()]:
            connection.abort()  # what it has read ahead hides its end from the loop
        self._abort_stalled_streams(now_s)

    def _close_idle(self, phase: Phase, timeout_s: float, reason: str, now_s: float) -> None:
        """Close connections on which nothing is asked."""
        for connection, since_s in list(phase.items()):
            if now_s - since_s < timeout_s:
                break
            if connection.is_idle():
                self.metrics.record_unserved(reason)
                connection.close()

    def _time_out_requests(self, now_s: float) -> None:
        """Answer requests that do not come as fast as they must."""
        for connection, since_s in list(self.reading.items()):
            beyond_s = now_s - since_s - REQUEST_TIMEOUT_S
            if now_s - since_s >= REQUEST_TIMEOUT_S and connection.is_request_slow(now_s, beyond_s):
                connection.time_out_request()

    def _abort_unread(self, now_s: float) -> None:
        """Abort connections whose client does not read what was written."""
        for connection, end_s in list(self.closing.items()):
            if now_s < end_s:
                continue
            if connection.is_lingering:
                connection.abort()
            elif not connection.has_client_read_more():
                self.metrics.record_unserved("unread")
                connection.abort()
            else:
                self.closing[connection] = now_s + WRITE_TIMEOUT_S

    def _abort_stalled_streams(self, now_s: float) -> None:
        """Abort streamed responses of which the client takes nothing."""
        for connection, since_s in list(self.streaming.items()):
            if connection.has_client_read_more():
                self.streaming[connection] = now_s
            elif now_s - since_s >= STREAM_STALL_TIMEOUT_S:
                self.metrics.record_unserved("unread")
                connection.abort()
