"""Queue of snapshot requests: rate limited, held for a bounded time, and rejected beyond the queue's capacity.

Invariants:
- snapshots per second, queued snapshots and bytes not yet read by clients are bounded;
- the full list is encoded once for all clients until it changes, and its reported age is that of the encoded state.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Final

from cloverkeel.control_plane.config import Limits
from cloverkeel.control_plane.connection import RETRY_AFTER_HEADER, STATUS_UNAVAILABLE, ClientConnection
from cloverkeel.control_plane.cooperative import SLICE_S
from cloverkeel.control_plane.counters import ServerCounters
from cloverkeel.control_plane.encoding import IncrementalBody
from cloverkeel.control_plane.endpoint_cache import EndpointCache
from cloverkeel.core.incremental import Incremental
from cloverkeel.control_plane.rate_limiter import SnapshotRateLimiter
from cloverkeel.control_plane.requests import PollRequest
from cloverkeel.control_plane.response_sender import ResponseSender, abort_on_failure, log_failed_response

# Maximum time in the queue; gateways give up after 1 s (RELAY_FIRST_REPLY_TIMEOUT_S in discovery/relay_requests.py).
SNAPSHOT_TIMEOUT_S: Final = 0.8


@dataclass(slots=True)
class EncodedList:
    """The full list at one change number, encoded once for all clients."""

    change_number: int  # EndpointTable.change_number
    as_of_us: int | None  # DiscoverySource.confirmed_us when the registry was last known to have exactly this list
    entries_bytes: int
    body: IncrementalBody


@dataclass(slots=True)
class QueuedSnapshot:
    """A queued request for a snapshot; `encoded_list` is set if the request waited for that list to be encoded."""

    deadline_s: float
    connection: ClientConnection
    request: PollRequest
    encoded_list: EncodedList | None = None


class SnapshotQueue:
    """Sends queued snapshots at the rate that the rate limiter allows."""

    def __init__(
        self, cache: EndpointCache, sender: ResponseSender, limits: Limits, counters: ServerCounters
    ) -> None:
        self.cache, self.sender, self.limits, self.counters = cache, sender, limits, counters
        self.loop = sender.loop
        self.rate_limiter = SnapshotRateLimiter(limits.snapshots_per_s, limits.snapshots_per_s)
        self.queue: deque[QueuedSnapshot] = deque()
        self.serve_timer: asyncio.TimerHandle | None = None
        # Keyed by whether the body is gzipped: the current full list, and the requests that wait for its encoding.
        self.encoded_lists: dict[bool, EncodedList] = {}
        self.waiting_for_list: dict[bool, list[QueuedSnapshot]] = {False: [], True: []}

    def enqueue(self, connection: ClientConnection, request: PollRequest) -> None:
        """Queue a request for a snapshot, or reject it if the queue is full.

        The capacity is the burst that the rate limiter allows at once, plus the snapshots that it allows within
        SNAPSHOT_TIMEOUT_S.
        """
        waiting = len(self.queue) + sum(map(len, self.waiting_for_list.values()))
        capacity = self.limits.snapshots_per_s * SNAPSHOT_TIMEOUT_S + max(0.0, self.rate_limiter.tokens)
        if waiting < capacity:
            self.queue.append(QueuedSnapshot(self.loop.time() + SNAPSHOT_TIMEOUT_S, connection, request))
            self._serve_later()
        else:
            self._reject(connection)

    def discard_outdated_lists(self) -> None:
        """Discard encoded lists that no longer match the endpoint table."""
        change_number = self.cache.table.change_number
        self.encoded_lists = {
            gzip: encoded for gzip, encoded in self.encoded_lists.items() if encoded.change_number == change_number
        }

    def close(self) -> None:
        """Stop sending snapshots."""
        if self.serve_timer is not None:
            self.serve_timer.cancel()

    def _reject(self, connection: ClientConnection) -> None:
        self.counters.rejected_snapshots += 1
        connection.respond(STATUS_UNAVAILABLE, headers=RETRY_AFTER_HEADER)

    def _serve_later(self) -> None:
        if self.serve_timer is None:
            delay_s = max(self.rate_limiter.delay_s(self.loop.time()), SLICE_S if self.sender.unsent_bytes else 0.0)
            self.serve_timer = self.loop.call_later(delay_s, self._serve)

    def _serve(self) -> None:
        """Serve queued requests for at most SLICE_S."""
        self.serve_timer = None
        slice_end_s = self.loop.time() + SLICE_S
        while self.queue and self.loop.time() < slice_end_s:
            queued = self.queue[0]
            if queued.connection.is_closed:
                self.queue.popleft()
            elif queued.deadline_s < self.loop.time():
                self.queue.popleft()
                self._reject(queued.connection)
            elif self._can_send():
                self.queue.popleft()
                with abort_on_failure(queued.connection):
                    self._send(queued)
            else:
                break
        if self.queue:
            self._serve_later()

    def _can_send(self) -> bool:
        if self.sender.unsent_bytes > self.limits.max_unsent_bytes:
            return False
        return not self.rate_limiter.delay_s(self.loop.time())

    def _send(self, queued: QueuedSnapshot) -> None:
        subscriber = queued.request.subscriber
        if subscriber.gateway not in self.cache.roster.placement_by_gateway:
            self._send_full_list(queued)
            return
        response = self.cache.respond(subscriber, None)
        assert response is not None  # without a known index, the response is always a snapshot
        self.counters.snapshots += 1
        self.rate_limiter.consume(self.sender.send(queued.connection, response))

    def _send_full_list(self, queued: QueuedSnapshot) -> None:
        """Send the full list, or wait for its encoding together with other requests that arrive meanwhile."""
        connection, change_number = queued.connection, self.cache.table.change_number
        encoded = queued.encoded_list or self.encoded_lists.get(connection.accepts_gzip)
        is_outdated = encoded is not None and encoded.change_number != change_number
        if encoded is None or (is_outdated and queued.encoded_list is None):
            waiting = self.waiting_for_list[connection.accepts_gzip]
            waiting.append(queued)
            if len(waiting) == 1:
                self.sender.run_in_background(self._encode_full_list(connection.accepts_gzip))
            return
        if not is_outdated:
            encoded.as_of_us = self.sender.source.confirmed_us
        self.counters.snapshots += 1
        connection.respond_with_body(encoded.body, self.sender.age_ms(encoded.as_of_us))
        self.rate_limiter.consume(encoded.entries_bytes)

    def _encode_full_list(self, gzip: bool) -> Incremental[None]:
        change_number, as_of_us = self.cache.table.change_number, self.sender.source.confirmed_us
        body = IncrementalBody(gzip)
        try:
            response = yield from self.cache.full_list.snapshot_incrementally()
            yield from body.encode(response)
            encoded = EncodedList(change_number, as_of_us, response.entries_bytes, body)
            self.encoded_lists[gzip] = encoded
        except Exception as error:  # on any error, close the waiting connections
            log_failed_response(error)
            for queued in self.waiting_for_list[gzip]:
                queued.connection.abort()
            return
        finally:
            waiting, self.waiting_for_list[gzip] = self.waiting_for_list[gzip], []
        for queued in waiting:
            queued.encoded_list, queued.deadline_s = encoded, self.loop.time() + SNAPSHOT_TIMEOUT_S
        self.queue.extend(waiting)
        self._serve_later()
