"""Long polls: hold requests until their subscriber's list changes, and find the requests that a change may affect.

Invariants:
- changes are collected for BATCH_INTERVAL_S, and then evaluated in slices of SLICE_S, only for the connections that
  they can affect;
- requests of subscribers that are not up to date are answered one after another, in slices: after a new roster all
  subscribers may send one at the same time;
- a response without entries means that there was no change when it was written, not when the request arrived;
- changes never wait for snapshots, so a wave of gateway starts does not delay subscribers that are up to date.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Final

from cloverkeel.control_plane.connection import ClientConnection
from cloverkeel.control_plane.cooperative import SLICE_S
from cloverkeel.control_plane.counters import ServerCounters
from cloverkeel.control_plane.endpoint_cache import EndpointCache
from cloverkeel.control_plane.endpoint_table import SubscriptionKey
from cloverkeel.control_plane.messages import ListResponse, Subscriber
from cloverkeel.control_plane.requests import PollRequest
from cloverkeel.control_plane.response_sender import ResponseSender, abort_on_failure
from cloverkeel.control_plane.snapshot_queue import SnapshotQueue

BATCH_INTERVAL_S: Final = 0.02  # changes within it are sent together: the loss of a zone takes one notification round


class LongPolls:
    """Answers the polls of subscribers that already have a list."""

    def __init__(
        self, cache: EndpointCache, sender: ResponseSender, snapshots: SnapshotQueue, counters: ServerCounters
    ) -> None:
        self.cache, self.sender, self.snapshots, self.counters = cache, sender, snapshots, counters
        self.loop = sender.loop
        # Connections that wait or have waited, as ordered sets by subscription key.
        self.connections_by_key: dict[SubscriptionKey, dict[ClientConnection, None]] = {}
        self.changed_keys: set[SubscriptionKey] = set()  # since the last notification round
        self.notify_task: asyncio.Task[None] | None = None
        self.longest_round_us = 0
        self.overdue: dict[
            ClientConnection, PollRequest
        ] = {}  # requests to answer now, in order; there may be changes for them
        self.overdue_handle: asyncio.Handle | None = None

    def on_poll(self, connection: ClientConnection, request: PollRequest) -> None:
        """Handle a poll of a subscriber that has a list."""
        assert request.known_index is not None
        if self.cache.is_up_to_date(request.subscriber, request.known_index):
            self._on_up_to_date(connection, request)
        else:
            self._answer_later(connection, request)

    def on_disconnected(self, connection: ClientConnection) -> None:
        """Remove a connection."""
        self._set_subscriber(connection, None)

    def _on_up_to_date(self, connection: ClientConnection, request: PollRequest) -> None:
        if request.hold_ms and connection.hold_timer is None:
            self._hold(connection, request)
        else:  # not a long poll, or its hold has ended
            self.send_empty_response(connection, request)

    def send_empty_response(self, connection: ClientConnection, request: PollRequest) -> None:
        """Send a response without entries and with the index that the client already has."""
        assert request.known_index is not None
        self.counters.empty_responses += 1
        self.sender.send(connection, ListResponse(request.known_index, False, ()))

    def _send_changes(self, connection: ClientConnection, request: PollRequest) -> bool:
        """Send the changes since the client's index, or queue a snapshot; returns False if nothing changed."""
        assert request.known_index is not None
        if not self.cache.is_known(request.subscriber, request.known_index):  # from another relay, or too old
            self.cache.counters.unknown_indexes += 1
            connection.end_wait()
            self.snapshots.enqueue(connection, request)
            return True
        response = self.cache.respond(request.subscriber, request.known_index)
        if response is None:
            return False
        connection.end_wait()
        self.counters.deltas += 1
        self.sender.send(connection, response)
        return True

    # Requests to answer now

    def _answer_later(self, connection: ClientConnection, request: PollRequest) -> None:
        connection.pending_request, self.overdue[connection] = request, request
        if self.overdue_handle is None:
            self.overdue_handle = self.loop.call_soon(self._answer_overdue)

    def _answer_overdue(self) -> None:
        """Answer overdue requests for at most one slice."""
        self.overdue_handle = None
        slice_end_s = self.loop.time() + SLICE_S
        while self.overdue:
            connection = next(iter(self.overdue))
            request = self.overdue.pop(connection)
            if connection.pending_request is request:  # neither answered nor disconnected meanwhile
                with abort_on_failure(connection):
                    if not self._send_changes(connection, request):
                        self._on_up_to_date(connection, request)
            if self.loop.time() >= slice_end_s:
                break
        if self.overdue:
            self.overdue_handle = self.loop.call_soon(self._answer_overdue)

    # Held requests

    def _hold(self, connection: ClientConnection, request: PollRequest) -> None:
        connection.pending_request = request
        self._set_subscriber(connection, request.subscriber)
        connection.hold_timer = self.loop.call_later(
            request.hold_ms / 1000, self.on_hold_expired, connection, request
        )

    def on_hold_expired(self, connection: ClientConnection, request: PollRequest) -> None:
        """Answer a request at the end of its hold, with any changes that still wait for the next round."""
        assert request.known_index is not None
        if self.cache.is_up_to_date(request.subscriber, request.known_index):
            with abort_on_failure(connection):
                self.send_empty_response(connection, request)
        else:
            self._answer_later(connection, request)

    def _set_subscriber(self, connection: ClientConnection, subscriber: Subscriber | None) -> None:
        """Index a connection by a subscriber's keys; None removes it.

        The keys are kept between requests, since most connections poll again for the same subscriber and roster.
        """
        if connection.subscriber == subscriber and connection.keys_roster is self.cache.roster:
            return
        for key in connection.subscription_keys:
            connections = self.connections_by_key[key]
            del connections[connection]
            if not connections:
                del self.connections_by_key[key]
        connection.subscriber, connection.keys_roster = subscriber, self.cache.roster
        connection.subscription_keys = self.cache.subscription_keys(subscriber) if subscriber is not None else ()
        for key in connection.subscription_keys:
            self.connections_by_key.setdefault(key, {})[connection] = None

    # Changes

    def on_roster_replaced(self) -> None:
        """Handle a new roster: check all indexed connections, whose keys are those of the old roster."""
        self.on_changes(self.connections_by_key)

    def on_changes(self, keys: Iterable[SubscriptionKey]) -> None:
        """Handle changes: notify the waiting connections that are indexed by these keys."""
        self.snapshots.discard_outdated_lists()
        self.changed_keys.update(keys)
        if self.changed_keys and self.notify_task is None:
            self.notify_task = self.loop.create_task(self._notify())

    async def _notify(self) -> None:
        """Run a notification round for each batch of changes, until there are no more changes."""
        try:
            while self.changed_keys:
                round_start_s = self.loop.time()
                await asyncio.sleep(BATCH_INTERVAL_S)
                keys, self.changed_keys = self.changed_keys, set()
                self.counters.notification_rounds += 1
                await self._notify_waiting(keys)
                self.longest_round_us = max(self.longest_round_us, int((self.loop.time() - round_start_s) * 1e6))
        finally:
            self.notify_task = None

    async def _notify_waiting(self, keys: set[SubscriptionKey]) -> None:
        connections: dict[ClientConnection, None] = {}
        for key in keys:
            connections.update(self.connections_by_key.get(key, {}))
        slice_end_s = self.loop.time() + SLICE_S
        for connection in connections:
            if self.loop.time() > slice_end_s:
                await asyncio.sleep(0)
                slice_end_s = self.loop.time() + SLICE_S
            request = connection.pending_request
            if request is None:  # disconnected or answered meanwhile
                continue
            self.counters.checked_connections += 1
            with abort_on_failure(connection):
                self._set_subscriber(connection, request.subscriber)  # the roster may have changed
                self._send_changes(connection, request)

    def close(self) -> None:
        """Stop notifying, and stop answering overdue requests."""
        if self.overdue_handle is not None:
            self.overdue_handle.cancel()
        if self.notify_task is not None:
            self.notify_task.cancel()
