"""The emulator's registry: lists and watches according to the protocol, recorded deliveries, and its faults."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import pytest

from standins.event_log import DiscoveryPoll, EventLog, NotificationDelivered
from standins.parties.network import Address
from standins.parties.registry import Entry, Registry, RegistryListener

from tests.sockets import Client, Message, on_loop, wait_until


@dataclass
class RegistryHarness:
    """A registry with two backends and the listener of one gateway; `network_open` is cleared while it is cut off."""

    registry: Registry
    listener: RegistryListener
    network_open: asyncio.Event

    async def connect(self, address: Address | None = None) -> Client:
        listener_address = address or self.listener.address
        assert listener_address is not None
        return Client(*await asyncio.open_connection(*listener_address))

    async def request_list(self, query: str = "", client: Client | None = None) -> Message:
        connection = client or await self.connect()
        return await connection.send_request(f"GET /registry/instances{query} HTTP/1.1\r\nHost: r\r\n\r\n".encode())

    async def fetch_list(self, query: str = "") -> dict[str, Any]:
        parsed: dict[str, Any] = json.loads((await self.request_list(query)).body)
        return parsed

    def delivered_statuses(self) -> list[tuple[str, str]]:
        return [
            (delivery.backend, delivery.status)
            for delivery in self.registry.event_log.events_of(NotificationDelivered)
        ]


def make_entry(name: str) -> Entry:
    return Entry(name, "kita-room", "small-2c", 0, 0)


@asynccontextmanager
async def registry_harness() -> AsyncIterator[RegistryHarness]:
    registry, network_open = Registry(EventLog(), seed=1), asyncio.Event()
    network_open.set()

    async def wait_for_network() -> None:
        await network_open.wait()

    for name in ("s-0", "s-1"):
        registry.add_entry(make_entry(name))
    listener = await registry.open_listener("n0", lambda name: ("127.0.0.1", 9000 + int(name[2:])), wait_for_network)
    try:
        yield RegistryHarness(registry, listener, network_open)
    finally:
        registry.close()


@on_loop
async def test_full_list_has_the_protocol_fields_and_is_recorded_as_delivered() -> None:
    async with registry_harness() as harness:
        response = await harness.fetch_list()
        assert response["snapshot"] is True and response["index"] == 1
        assert response["endpoints"][0] == {
            "name": "s-0", "address": "127.0.0.1:9000", "zone": "kita-room", "type": "small-2c", "group": 0,
            "status": "SERVING", "weight": 1.0, "since_ms": 0,
        }  # fmt: skip
        assert harness.delivered_statuses() == [("s-0", "SERVING"), ("s-1", "SERVING")]


@on_loop
async def test_watch_waits_for_changes_and_returns_only_them() -> None:
    async with registry_harness() as harness:
        watch = asyncio.create_task(harness.fetch_list("?from=1&hold_ms=20000"))
        await wait_until(lambda: list(harness.registry.event_log.events_of(DiscoveryPoll)))
        assert not watch.done()
        harness.registry.schedule_change(harness.registry.entries["s-1"], "DRAINING", lag_s=0.02)
        response = await watch
        assert response["snapshot"] is False and response["index"] == 2
        assert [(record["name"], record["status"]) for record in response["endpoints"]] == [("s-1", "DRAINING")]
        harness.registry.schedule_change(harness.registry.entries["s-1"], "DELETED", lag_s=0.0)
        deleted = await harness.fetch_list("?from=2&hold_ms=20000")
        assert [(record["name"], record["status"]) for record in deleted["endpoints"]] == [("s-1", "DELETED")]
        assert harness.delivered_statuses() == [("s-1", "DRAINING"), ("s-1", "DELETED")]
        assert [record["name"] for record in (await harness.fetch_list())["endpoints"]] == ["s-0"]


@on_loop
async def test_watch_without_changes_ends_with_an_empty_list() -> None:
    async with registry_harness() as harness:
        response = await harness.fetch_list("?from=1&hold_ms=50")
        assert response == {"index": 1, "snapshot": False, "endpoints": []} and not harness.delivered_statuses()


@on_loop
async def test_backend_missing_from_a_full_list_is_recorded_as_deleted() -> None:
    async with registry_harness() as harness:
        await harness.fetch_list()
        harness.registry.schedule_change(harness.registry.entries["s-0"], "DELETED", lag_s=0.0)
        await wait_until(lambda: harness.registry.index == 2)
        await harness.fetch_list()
        assert (
            harness.delivered_statuses()[-2:] == [("s-1", "SERVING"), ("s-0", "DELETED")]
            or ("s-0", "DELETED") in harness.delivered_statuses()
        )


@on_loop
async def test_late_deletion_does_not_remove_a_backend_that_registered_again() -> None:
    async with registry_harness() as harness:
        first_entry = harness.registry.entries["s-0"]
        harness.registry.schedule_change(make_entry("s-0"), "SERVING", lag_s=0.0)
        await wait_until(lambda: harness.registry.index == 2)
        harness.registry.schedule_change(first_entry, "DELETED", lag_s=0.0)
        await wait_until(lambda: not harness.registry.tasks)
        assert [record["name"] for record in (await harness.fetch_list())["endpoints"]] == ["s-0", "s-1"]
        assert (await harness.fetch_list("?from=2&hold_ms=10"))["endpoints"] == []


@on_loop
async def test_request_with_an_index_above_the_current_one_gets_the_full_list() -> None:
    async with registry_harness() as harness:
        for status in ("DRAINING", "SERVING"):
            harness.registry.schedule_change(harness.registry.entries["s-0"], status, lag_s=0.0)
            await wait_until(lambda status=status: harness.registry.entries["s-0"].status == status)  # type: ignore[misc]
        harness.registry.roll_back_index(2)
        response = await harness.fetch_list("?from=3&hold_ms=20000")
        assert response["snapshot"] is True and response["index"] == 1


@pytest.mark.parametrize("mode", ["503", "reset", "silent"])
@on_loop
async def test_outage_ends_watches_in_each_mode(mode: str) -> None:
    async with registry_harness() as harness:
        client = await harness.connect()
        watch = asyncio.create_task(harness.request_list("?from=1&hold_ms=60000", client))
        await wait_until(lambda: list(harness.registry.event_log.events_of(DiscoveryPoll)))
        await harness.registry.set_outage_mode(mode)
        if mode == "503":
            assert (await watch).status == 503
        elif mode == "reset":
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await watch
        else:
            done, _ = await asyncio.wait((watch,), timeout=0.1)
            assert not done
            await harness.registry.set_outage_mode("")
            assert (await watch).status == 200
        await harness.registry.set_outage_mode("")
        assert (await harness.request_list()).status == 200


@on_loop
async def test_garbled_list_is_not_recorded_as_delivered() -> None:
    async with registry_harness() as harness:
        harness.registry.faults.has_garbled_lists = True
        body = (await harness.request_list()).body
        with pytest.raises(ValueError):
            json.loads(body)
        assert not harness.delivered_statuses()


@on_loop
async def test_moved_listener_closes_the_connections_at_its_old_address() -> None:
    async with registry_harness() as harness:
        client, old_address = await harness.connect(), harness.listener.address
        await harness.request_list(client=client)
        await harness.registry.move_listener(harness.listener, close_after_s=0.05)
        assert harness.listener.address != old_address
        assert (await harness.request_list()).status == 200
        with pytest.raises(ConnectionRefusedError):
            await harness.connect(old_address)
        assert await client.reader.read(1) == b""


@on_loop
async def test_nothing_is_delivered_while_the_network_is_cut() -> None:
    async with registry_harness() as harness:
        harness.network_open.clear()
        pending = asyncio.create_task(harness.fetch_list())
        await wait_until(lambda: list(harness.registry.event_log.events_of(DiscoveryPoll)))
        done, _ = await asyncio.wait((pending,), timeout=0.05)
        assert not done and not harness.delivered_statuses()
        harness.network_open.set()
        await pending
        assert len(harness.delivered_statuses()) == 2


@pytest.mark.parametrize("query", ["?from=x", "?from=1&hold_ms=soon"])
@on_loop
async def test_invalid_query_is_refused(query: str) -> None:
    async with registry_harness() as harness:
        assert (await harness.request_list(query)).status == 400


@on_loop
async def test_each_request_is_recorded_as_a_poll_with_its_duration() -> None:
    async with registry_harness() as harness:
        await harness.fetch_list("?from=1&hold_ms=40")
        (poll,) = harness.registry.event_log.events_of(DiscoveryPoll)
        await wait_until(lambda: poll.until_us)
        assert poll.until_us - poll.at_us >= 38_000 and poll.gateway == "n0"
