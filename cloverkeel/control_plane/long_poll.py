"""Long polls: hold requests until something changes for them, and find those that a change may matter to.

Invariants:
- a change is worked out once it has come for BATCH_INTERVAL_S, for those connections alone whom it can touch, in
  slices of SLICE_S;
- who polls and is not up to date is answered in turn, in slices: all may do so at once, after another roster;
- a response without entries says that there was nothing new as it was written, not as it was asked for;
- changes never wait for snapshots: who is up to date is not delayed by a wave of starts.
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

BATCH_INTERVAL_S: Final = 0.02  # changes that come within it are sent as one: a zone lost is one round


class LongPolls:
    """Answers the requests of those that have a list already."""

    def __init__(
        self, cache: EndpointCache, sender: ResponseSender, snapshots: SnapshotQueue, counters: ServerCounters
    ) -> None:
        self.cache, self.sender, self.snapshots, self.counters = cache, sender, snapshots, counters
        self.loop = sender.loop
        # Those that wait, or did, by what they are found by; as an ordered set.
        self.connections_by_key: dict[SubscriptionKey, dict[ClientConnection, None]] = {}
        self.changed_keys: set[SubscriptionKey] = set()  # since the last round of notifications
        self.notify_task: asyncio.Task[None] | None = None
        self.longest_round_us = 0
        self.overdue: dict[ClientConnection, PollRequest] = {}  # to be answered now, in turn; may have changes
        self.overdue_handle: asyncio.Handle | None = None

    def on_poll(self, connection: ClientConnection, request: PollRequest) -> None:
        """Handle a request of one that has a list."""
        assert request.known_index is not None
        if self.cache.is_up_to_date(request.subscriber, request.known_index):
            self._on_nothing_new(connection, request)
        else:
            self._answer_later(connection, request)

    def on_disconnected(self, connection: ClientConnection) -> None:
        """Forget a connection."""
        self._set_subscriber(connection, None)

    def _on_nothing_new(self, connection: ClientConnection, request: PollRequest) -> None:
        if request.hold_ms and connection.hold_timer is None:
            self._hold(connection, request)
        else:  # or it has been held
            self.send_nothing_new(connection, request)

    def send_nothing_new(self, connection: ClientConnection, request: PollRequest) -> None:
        """Send a response without entries: the client goes on from the response that it has."""
        assert request.known_index is not None
        self.counters.empty_responses += 1
        self.sender.send(connection, ListResponse(request.known_index, False, ()))

    def _send_changes(self, connection: ClientConnection, request: PollRequest) -> bool:
        """Send what is new since the response that the client has; returns whether there was anything."""
        assert request.known_index is not None
        if not self.cache.is_known(request.subscriber, request.known_index):  # of another relay, or of too long ago
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

    # Requests that are to be answered now

    def _answer_later(self, connection: ClientConnection, request: PollRequest) -> None:
        connection.pending_request, self.overdue[connection] = request, request
        if self.overdue_handle is None:
            self.overdue_handle = self.loop.call_soon(self._answer_overdue)

    def _answer_overdue(self) -> None:
        """Answer them for a slice at the most."""
        self.overdue_handle = None
        slice_end_s = self.loop.time() + SLICE_S
        while self.overdue:
            connection = next(iter(self.overdue))
            request = self.overdue.pop(connection)
            if connection.pending_request is request:  # it was not answered meanwhile, and has not gone
                with abort_on_failure(connection):
                    if not self._send_changes(connection, request):
                        self._on_nothing_new(connection, request)
            if self.loop.time() >= slice_end_s:
                break
        if self.overdue:
            self.overdue_handle = self.loop.call_soon(self._answer_overdue)

    # Requests that are held

    def _hold(self, connection: ClientConnection, request: PollRequest) -> None:
        connection.pending_request = request
        self._set_subscriber(connection, request.subscriber)
        connection.hold_timer = self.loop.call_later(
            request.hold_ms / 1000, self.on_hold_expired, connection, request
        )

    def on_hold_expired(self, connection: ClientConnection, request: PollRequest) -> None:
        """Answer a request that was held for its time; what came a moment ago is sent all the same."""
        assert request.known_index is not None
        if self.cache.is_up_to_date(request.subscriber, request.known_index):
            with abort_on_failure(connection):
                self.send_nothing_new(connection, request)
        else:
            self._answer_later(connection, request)

    def _set_subscriber(self, connection: ClientConnection, subscriber: Subscriber | None) -> None:
        """Have a connection found by a subscriber's keys.

        They are kept from request to request: who waits mostly asks the same again, by the same roster.
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
        """Handle another roster: all who wait are found by the old one until they are looked at."""
        self.on_changes(self.connections_by_key)

    def on_changes(self, keys: Iterable[SubscriptionKey]) -> None:
        """Handle changes: notify those who wait and are found by these keys."""
        self.snapshots.discard_outdated_lists()
        self.changed_keys.update(keys)
        if self.changed_keys and self.notify_task is None:
            self.notify_task = self.loop.create_task(self._notify())

    async def _notify(self) -> None:
        """Notify those who wait, once for all that comes within a batch; again for what came meanwhile."""
        try:
            while self.changed_keys:
                begun_s = self.loop.time()
                await asyncio.sleep(BATCH_INTERVAL_S)
                keys, self.changed_keys = self.changed_keys, set()
                self.counters.notification_rounds += 1
                await self._notify_waiting(keys)
                self.longest_round_us = max(self.longest_round_us, int((self.loop.time() - begun_s) * 1e6))
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
            if request is None:  # it has gone, or was answered meanwhile
                continue
            self.counters.checked_connections += 1
            with abort_on_failure(connection):
                self._set_subscriber(connection, request.subscriber)  # the roster may be another
                self._send_changes(connection, request)

    def close(self) -> None:
        """Notify and answer nobody any more."""
        if self.overdue_handle is not None:
            self.overdue_handle.cancel()
        if self.notify_task is not None:
            self.notify_task.cancel()
