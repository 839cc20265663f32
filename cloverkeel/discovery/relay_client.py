"""Endpoint source of a gateway that uses relays, selected by relay_selection.py. Imported only with [relays].

It always watches, whatever the core requests, because relays hold long polls. It alone determines the poll rate: a
call that the core requests while a move is scheduled is not made, because the move makes one. Replies from a relay
that was left are ignored: its call is cancelled and its connection closed before the next relay is polled. Only
requests to relays accept gzip; direct requests to discovery are the same with and without relays.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection
from typing import Any, Final

from cloverkeel.balancing.events import ListKind

from cloverkeel.core.config import Address, Config
from cloverkeel.core.incremental_gzip import decompress_gzip
from cloverkeel.core.log import log
from cloverkeel.core.messages import Reply, find_header
from cloverkeel.core.options import RelayOptions
from cloverkeel.discovery.connection import HTTP_OK, MAX_REPLY_BYTES, DiscoveryConnection, get_request
from cloverkeel.discovery.endpoint_parser import ENTRIES_PER_STEP, EndpointList, parse_endpoint_list_incrementally
from cloverkeel.discovery.errors import DiscoveryCallError, NotAListError, NoUsableEntryError, UnsupportedCodingError
from cloverkeel.discovery.http_client import HttpEndpointSource
from cloverkeel.core.incremental import HintedIncremental
from cloverkeel.discovery.known_state import KnownState, RelayAnswer, restrict_to_known
from cloverkeel.discovery.poll_schedule import PollRequest
from cloverkeel.discovery.relay_requests import (
    STATE_PATH,
    RelayPollSchedule,
    identify_gateway,
    parse_age_s,
    parse_state_age_s,
)
from cloverkeel.discovery.relay_selection import RelaySelector, RelayStatus
from cloverkeel.discovery.subset_widening import SubsetWidening

RELAY_MAX_ATOMIC_READ_BYTES: Final = 8 << 10  # about 50 hosts
RELAY_MAX_INCREMENTAL_READ_S: Final = 0.5  # after this time, the rest of a reply is parsed without suspending
FRESHNESS_CHECK_TIMEOUT_S: Final = 0.5
WIDENING_CHECK_INTERVAL_S: Final = 1.0  # each check iterates over all hosts


class RelayEndpointSource(HttpEndpointSource):
    """Poll relays; `address` is that of discovery, which is polled directly if all relays fail."""

    max_atomic_read_bytes = RELAY_MAX_ATOMIC_READ_BYTES
    max_incremental_read_s = RELAY_MAX_INCREMENTAL_READ_S
    schedule: RelayPollSchedule

    def __init__(self, config: Config, options: RelayOptions) -> None:
        super().__init__(config.discovery, config.names, pushed=True)
        self.gateway_name, self.services = config.name, options.services
        self.schedule = RelayPollSchedule()
        self.gateway_count = config.settings.proxies
        self.selector = RelaySelector(config.name, options.addresses, self._direct_interval_s(options))
        self.known_state = KnownState()
        self.widening = SubsetWidening()
        self.count_failing_hosts: Callable[[], int] = lambda: 0  # replaced by the core
        self.widening_checked_s = 0.0
        self.requested_s = 0.0  # when the current call was made
        self.is_long_poll = False  # whether the current call is a long poll
        self.freshness_task: asyncio.Task[None] | None = None
        self.moves = 0

    def server_address(self) -> Address:
        """Return the address of the current relay, or of discovery for a direct poll."""
        return self.address if self.selector.current is None else self.selector.current.address

    def request_target(self, request: PollRequest) -> bytes:
        """Return the target of a call; with a relay, it identifies this gateway."""
        self.requested_s, self.is_long_poll = asyncio.get_running_loop().time(), request.is_long_poll
        if self.selector.current is None:
            return request.target
        return identify_gateway(request.target, self.gateway_name, self.services, self.widening.doublings)

    def extra_headers(self) -> bytes:
        """Offer gzip to relays only."""
        return b"" if self.selector.current is None else b"Accept-Encoding: gzip\r\n"

    def decode_content(self, reply: Reply) -> HintedIncremental[bytes]:
        """Decompress a relay's reply; raise DiscoveryCallError for another coding or corrupt data."""
        coding = find_header(reply.headers, b"content-encoding")
        if coding is None or self.selector.current is None:
            return reply.body
        if coding.lower() != b"gzip":
            raise UnsupportedCodingError(coding)
        try:
            return (yield from decompress_gzip(reply.body, MAX_REPLY_BYTES))
        except ValueError as error:
            raise DiscoveryCallError(str(error)) from None

    # Choosing a relay

    def restart(self, watches: bool) -> None:
        """Restart polling, unless a move is scheduled, which makes the next call."""
        del watches  # this source always watches
        if self.retry_timer is not None:
            return
        if self.selector.current is None:
            self._poll_next()
        else:
            super().restart(watches=True)

    def move(self, address: Address) -> None:
        """Use another address for the next direct poll of discovery; one in flight is not interrupted."""
        self.address = address

    def use(self, options: RelayOptions) -> None:
        """Use other relays and services from the next call on; leave the current relay if it is not among them."""
        self.services = options.services
        now_s = asyncio.get_running_loop().time()
        delay_s = self.selector.replace(
            now_s, self.gateway_name, options.addresses, self._direct_interval_s(options), random.random()
        )
        if delay_s is not None and self.retry_timer is None:
            self._leave(delay_s)

    def _direct_interval_s(self, options: RelayOptions) -> float:
        return self.gateway_count / options.direct_per_s

    def _poll_next(self) -> None:
        """Choose the next relay or discovery, and poll it for a snapshot."""
        self.retry_timer = None
        relay = self.selector.choose(asyncio.get_running_loop().time())
        self.moves += 1
        self.schedule.reset()
        self.schedule.is_direct, self.schedule.grace_s = relay is None, self.selector.grace_s()
        self.known_state.begin_run()
        super().restart(watches=True)

    def _leave(self, delay_s: float) -> None:
        """Stop polling the current server and poll the next after a delay."""
        self.stop()
        if not self.is_closed:
            self.retry_timer = asyncio.get_running_loop().call_later(delay_s, self._poll_next)

    def _on_failure(self, error: Exception) -> None:
        host, port = self.server_address()
        server = "discovery" if self.selector.current is None else "relay"
        log(f"{server}: call failed, address={host}:{port}, cause={str(error) or type(error).__name__}; failing over")
        now_s = asyncio.get_running_loop().time()
        self.poll_task = None
        self._leave(self.selector.on_failure(now_s, isinstance(error, TimeoutError), random.random()))
        self.on_call_failed()

    # Freshness of the other relays

    def close(self) -> None:
        """Stop permanently."""
        super().close()
        if self.freshness_task is not None:
            self.freshness_task.cancel()

    def _check_freshness(self, age_s: float) -> None:
        """Request the list age of another relay if the current relay's list is old."""
        if self.freshness_task is None or self.freshness_task.done():
            relay = self.selector.next_freshness_check(age_s)
            if relay is not None:
                self.freshness_task = asyncio.get_running_loop().create_task(self._request_freshness(relay))

    async def _request_freshness(self, relay: RelayStatus) -> None:
        loop = asyncio.get_running_loop()
        connection: DiscoveryConnection | None = None
        requested_s, age_s = loop.time(), None
        try:
            async with asyncio.timeout(FRESHNESS_CHECK_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: DiscoveryConnection(self.resources), *relay.address
                )
                reply = await connection.request(get_request(relay.address, STATE_PATH))
            if reply.status == HTTP_OK:
                age_s = parse_state_age_s(reply.body)
        except (OSError, DiscoveryCallError, ValueError):
            pass  # reported as an unknown age
        finally:
            if connection is not None:
                connection.close()
        self.selector.on_freshness(relay, requested_s, age_s)

    # Handling replies

    def handle_body(self, body: bytes) -> HintedIncremental[bool]:
        """Parse a reply, pass its valid part to the core, and move to another relay if needed."""
        raw = yield from self.decode_body(body)
        if not isinstance(raw, dict):
            raise NotAListError
        is_direct, age_s = self.selector.current is None, parse_age_s(raw)
        if is_direct and self.services and isinstance(raw.get("endpoints"), list):
            raw["endpoints"] = yield from _filter_by_service(raw["endpoints"], self.services)
        answer = yield from parse_endpoint_list_incrementally(raw, self.names)
        yield True  # the core applies the complete list in one step
        now_s = asyncio.get_running_loop().time()
        if answer.is_snapshot and not answer.endpoints and raw.get("endpoints"):
            raise NoUsableEntryError
        if self.schedule.on_reply(now_s, answer.version, answer.is_snapshot):
            self._notify(now_s, age_s, is_direct, answer)
        if self.is_closed:
            return True
        self._after_answer(now_s, age_s)
        return bool(answer.endpoints)

    def _notify(self, now_s: float, age_s: float, is_direct: bool, answer: EndpointList) -> None:
        """Pass the valid part of this reply to the core."""
        endpoints = answer.endpoints
        if is_direct and answer.is_snapshot and self.known_state.status_by_server:
            endpoints = restrict_to_known(self.known_state.status_by_server, endpoints)
        update = self.known_state.accept(RelayAnswer(now_s, self.requested_s, age_s, answer.is_snapshot, endpoints))
        if update.requires_snapshot:
            self.schedule.require_snapshot()
        if update.endpoints or update.kind is ListKind.FULL:
            self.on_list(update.kind, update.endpoints)

    def _after_answer(self, now_s: float, age_s: float) -> None:
        """Move if needed; else check another relay's freshness if needed, and whether to widen the subset."""
        delay_s = self.selector.on_answer(now_s, self.requested_s, age_s, self.is_long_poll, random.random())
        if delay_s is not None:
            self._leave(delay_s)
            return
        self._check_freshness(age_s)
        if now_s - self.widening_checked_s >= WIDENING_CHECK_INTERVAL_S:
            self.widening_checked_s = now_s
            self.widening.update(now_s, self.count_failing_hosts(), self.known_state.count_serving())


def _filter_by_service(entries: list[Any], services: Collection[str]) -> HintedIncremental[list[Any]]:
    """Return the entries of these services. A reload during the iteration does not change which services are used."""
    chosen: list[Any] = []
    for first in range(0, len(entries), ENTRIES_PER_STEP):
        yield None
        batch = entries[first : first + ENTRIES_PER_STEP]
        chosen += [entry for entry in batch if isinstance(entry, dict) and entry.get("service", "") in services]
    return chosen
