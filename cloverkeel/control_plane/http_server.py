"""The relay's HTTP server: connections, routes, and updates from discovery's lists and the roster file of gateways.

Invariants:
- a relay without a snapshot answers 503, never an empty list;
- the number of connections is limited, and so is the time that a client may take for its next step;
- the garbage collector does not block the loop. The periodic check of the clients' deadlines (`_scan`) also collects
  the objects created since the previous check, but only if they are few, and then freezes them. Requests leave no
  reference cycles, which a test checks. A full collection with the objects of 400 gateways would take 190 ms;
- long work is done in steps, and requests are answered in between: sending responses of more than
  MAX_SINGLE_STEP_BYTES, one after another; applying long lists; building the full list; preparing a new roster. The
  switch to a prepared roster is a single step, so that it takes effect for all clients at once.
"""

from __future__ import annotations

import asyncio
import gc
import json
from typing import Any, Final

from cloverkeel.control_plane.config import RelayConfig
from cloverkeel.control_plane.connection import (
    RETRY_AFTER_HEADER,
    STATUS_BAD_REQUEST,
    STATUS_NOT_FOUND,
    STATUS_OK,
    STATUS_UNAVAILABLE,
    ClientConnection,
)
from cloverkeel.control_plane.cooperative import run_cooperatively
from cloverkeel.control_plane.counters import ServerCounters
from cloverkeel.control_plane.discovery_source import DiscoverySource
from cloverkeel.control_plane.endpoint_cache import EndpointCache
from cloverkeel.control_plane.errors import RequestError
from cloverkeel.control_plane.fleet_roster import FleetRoster
from cloverkeel.core.incremental import Incremental
from cloverkeel.control_plane.incremental_update import apply_list_incrementally
from cloverkeel.control_plane.long_poll import LongPolls
from cloverkeel.control_plane.requests import LIST_PATH, PollRequest, parse_poll_request
from cloverkeel.control_plane.response_sender import ResponseSender, abort_on_failure
from cloverkeel.control_plane.snapshot_queue import SnapshotQueue
from cloverkeel.core.clock import now_us
from cloverkeel.core.log import log

READY_PATH: Final = b"/health/ready"
STATE_PATH: Final = b"/relay/state"
ACCEPT_BACKLOG: Final = 1_024  # all clients of a relay may connect at the same time
SCAN_INTERVAL_S: Final = 0.5  # between checks for clients past their deadline
MAX_COLLECTED_OBJECTS: Final = 2_000  # new objects up to which a scan runs the garbage collector: 4 ms
ENTRIES_FREED_PER_STEP: Final = 512


def free_incrementally(items: list[Any]) -> Incremental[None]:
    """Free the entries of an applied list in steps; freeing 38,000 entries at once takes 19 ms."""
    while items:
        del items[-ENTRIES_FREED_PER_STEP:]
        yield


class RelayServer:
    """A relay: its connections, and the endpoints that it has from discovery."""

    def __init__(self, config: RelayConfig, cache: EndpointCache) -> None:
        self.config, self.limits, self.cache = config, config.limits, cache
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self.counters = ServerCounters()
        self.source = DiscoverySource(config.discovery, self)
        self.sender = ResponseSender(self.loop, self.source)
        self.snapshots = SnapshotQueue(cache, self.sender, self.limits, self.counters)
        self.long_polls = LongPolls(cache, self.sender, self.snapshots, self.counters)
        self.connections: set[ClientConnection] = set()
        self.listener: asyncio.Server | None = None
        self.scan_timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Listen, and start to poll discovery. Raises OSError if it cannot listen."""
        host, port = self.config.listen
        self.listener = await self.loop.create_server(
            lambda: ClientConnection(self), host, port, backlog=ACCEPT_BACKLOG
        )
        self._scan()
        self.source.start()

    @property
    def port(self) -> int:
        """The port that the relay listens on."""
        assert self.listener is not None
        return int(self.listener.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop accepting; held polls get an empty response that closes their connection."""
        self.source.close()
        if self.listener is not None:
            self.listener.close()
        if self.scan_timer is not None:
            self.scan_timer.cancel()
        self.snapshots.close()
        self.long_polls.close()
        self.sender.close()
        for connection in list(self.connections):
            connection.is_kept_alive = False
            request = connection.pending_request
            if request is not None and connection not in self.long_polls.overdue:
                self.long_polls.send_empty_response(connection, request)
            else:
                connection.close()

    def abort_connections(self) -> None:
        """Abort the remaining connections, and log the counters."""
        for connection in list(self.connections):
            connection.abort()
        log(f"relay ends; {json.dumps(self.counters.as_json())}")

    # Connections

    def on_connected(self, connection: ClientConnection) -> None:
        """Accept a connection, or abort it if there are too many."""
        if len(self.connections) >= self.limits.max_connections:
            self.counters.rejected_connections += 1
            connection.abort()
            return
        self.connections.add(connection)
        connection.deadline_s = self.loop.time() + self.limits.idle_timeout_s

    def on_disconnected(self, connection: ClientConnection) -> None:
        """Remove a connection."""
        connection.end_wait()
        self.long_polls.on_disconnected(connection)
        self.connections.discard(connection)
        self.on_response_read(connection)

    def on_response_unread(self, size_bytes: int) -> None:
        """Count a large response until it has been read."""
        self.sender.unsent_bytes += size_bytes

    def on_response_read(self, connection: ClientConnection) -> None:
        """Subtract a connection's responses from the unsent bytes."""
        self.sender.unsent_bytes -= connection.unsent_bytes
        connection.unsent_bytes = 0

    def _scan(self) -> None:
        """Abort connections whose deadline has passed; collect garbage."""
        if len(gc.get_objects(0)) < MAX_COLLECTED_OBJECTS:  # gc.get_count also subtracts freed old objects
            gc.collect(0)
        gc.freeze()
        now_s = self.loop.time()
        for connection in list(self.connections):
            if 0.0 < connection.deadline_s < now_s:
                if connection.is_write_paused or connection.request_bytes:
                    self.counters.closed_slow += 1
                else:
                    self.counters.closed_idle += 1
                connection.abort()
        self.scan_timer = self.loop.call_later(SCAN_INTERVAL_S, self._scan)

    # Requests

    def on_request(self, connection: ClientConnection, target: bytes) -> None:
        """Answer a request, or let it wait."""
        self.counters.requests += 1
        with abort_on_failure(connection):
            self._route(connection, target)

    def _route(self, connection: ClientConnection, target: bytes) -> None:
        path, _, query = target.partition(b"?")
        if path == LIST_PATH:
            try:
                request = parse_poll_request(query)
            except RequestError as error:
                connection.reject(STATUS_BAD_REQUEST, str(error))
                return
            self._on_poll(connection, request)
        elif path == READY_PATH:
            connection.respond(STATUS_OK if self.is_ready else STATUS_UNAVAILABLE)
        elif path == STATE_PATH:
            connection.respond(STATUS_OK, json.dumps(self.state()).encode())
        else:
            connection.respond(STATUS_NOT_FOUND)

    def _on_poll(self, connection: ClientConnection, request: PollRequest) -> None:
        if not self.cache.is_ready:
            self.counters.not_ready += 1
            connection.respond(STATUS_UNAVAILABLE, headers=RETRY_AFTER_HEADER)
        elif request.known_index is None:
            self.snapshots.enqueue(connection, request)
        else:
            self.long_polls.on_poll(connection, request)

    # Lists from discovery, and rosters

    def apply_list(self, is_snapshot: bool, items: list[Any]) -> bool:
        """Apply a list from discovery; returns whether it was valid."""
        unusable_before = self.cache.counters.unusable_lists
        keys = self.cache.apply_list(is_snapshot, items)
        if self.cache.counters.unusable_lists != unusable_before:
            return False
        self.long_polls.on_changes(keys)
        return True

    def apply_list_incrementally(self, is_snapshot: bool, items: list[Any]) -> Incremental[bool]:
        """Apply a long list from discovery; returns whether it was valid."""
        keys = yield from apply_list_incrementally(self.cache, is_snapshot, items)
        # No step from here to the end: responses sent before `confirmed_us` is updated would carry the old age.
        self.sender.run_in_background(free_incrementally(items))
        if keys is None:
            return False
        self.long_polls.on_changes(keys)
        return True

    async def replace_roster(self, roster: FleetRoster) -> None:
        """Switch to another roster. Calls must not overlap."""
        groups = await run_cooperatively(self.cache.prepare_roster(roster))
        self.cache.switch_roster(roster, groups)
        self.long_polls.on_roster_replaced()
        await run_cooperatively(self.cache.finish_roster_switch())

    # State, for operators

    @property
    def is_ready(self) -> bool:
        """Whether the relay has a list that is not older than `max_age_ms`."""
        return self.cache.is_ready and self.source.age_ms(now_us()) <= self.limits.max_age_ms

    def state(self) -> dict[str, Any]:
        """Return the state that `python -m cloverkeel relay show` prints; counts are since the process started.

        The keys of `/relay/state` are defined here and in counters.py.
        """
        source, table = self.source, self.cache.table
        return {
            "name": self.config.name,
            "ready": self.is_ready,
            "version": self.cache.indexes.last if self.cache.is_ready else None,
            "discovery_version": source.discovery_index,
            "age_ms": source.age_ms(now_us()) if source.confirmed_us is not None else None,
            "roster": table.roster.digest,
            "hosts": len(table.host_by_name),
            "services": len(table.rings_by_service),
            "feed": self.cache.counters.as_json(),
            "callers": len(self.connections),
            "waiting": sum(connection.pending_request is not None for connection in self.connections),
            "wholes_queued": len(self.snapshots.queue),
            "unsent_bytes": self.sender.unsent_bytes,
            "longest_stop_ms": source.longest_delay_us // 1000,
            "longest_pass_ms": self.long_polls.longest_round_us // 1000,
            "gaps": source.stalls,
            "longest_gap_ms": source.longest_stall_us // 1000,
            "discovery_failures": source.failed_requests,
            "discovery_rubbish": source.unusable_responses,
            "last_wrong": source.last_error,
        } | self.counters.as_json()
