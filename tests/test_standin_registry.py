"""The stand-in registry: list and watch as the protocol has them, what counts as told, and its faults."""

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

from tests.sockets import Client, Message, on_loop, until


@dataclass
class Desk:
    registry: Registry
    view: RegistryListener
    held: asyncio.Event

    async def client(self, address: Address | None = None) -> Client:
        to = address or self.view.address
        assert to is not None
        return Client(*await asyncio.open_connection(*to))

    async def ask(self, query: str = "", client: Client | None = None) -> Message:
        caller = client or await self.client()
        return await caller.ask(f"GET /registry/instances{query} HTTP/1.1\r\nHost: r\r\n\r\n".encode())

    async def listed(self, query: str = "") -> dict[str, Any]:
        found: dict[str, Any] = json.loads((await self.ask(query)).body)
        return found

    def told(self) -> list[tuple[str, str]]:
        return [(told.backend, told.status) for told in self.registry.event_log.events_of(NotificationDelivered)]


def entry(name: str) -> Entry:
    return Entry(name, "kita-room", "small-2c", 0, 0)


@asynccontextmanager
async def desk() -> AsyncIterator[Desk]:
    registry, passes = Registry(EventLog(), seed=1), asyncio.Event()
    passes.set()

    async def may_pass() -> None:
        await passes.wait()

    for name in ("s-0", "s-1"):
        registry.add_entry(entry(name))
    view = await registry.open_listener("n0", lambda box: ("127.0.0.1", 9000 + int(box[2:])), may_pass)
    try:
        yield Desk(registry, view, passes)
    finally:
        registry.close()


@on_loop
async def test_the_whole_list_has_the_protocols_fields_and_counts_as_told() -> None:
    async with desk() as one:
        listed = await one.listed()
        assert listed["snapshot"] is True and listed["index"] == 1
        assert listed["endpoints"][0] == {
            "name": "s-0", "address": "127.0.0.1:9000", "zone": "kita-room", "type": "small-2c", "group": 0,
            "status": "SERVING", "weight": 1.0, "since_ms": 0,
        }  # fmt: skip
        assert one.told() == [("s-0", "SERVING"), ("s-1", "SERVING")]


@on_loop
async def test_a_watch_waits_for_news_and_tells_only_these() -> None:
    async with desk() as one:
        watch = asyncio.create_task(one.listed("?from=1&hold_ms=20000"))
        await until(lambda: list(one.registry.event_log.events_of(DiscoveryPoll)))
        assert not watch.done()
        one.registry.schedule_change(one.registry.entries["s-1"], "DRAINING", lag_s=0.02)
        listed = await watch
        assert listed["snapshot"] is False and listed["index"] == 2
        assert [(e["name"], e["status"]) for e in listed["endpoints"]] == [("s-1", "DRAINING")]
        one.registry.schedule_change(one.registry.entries["s-1"], "DELETED", lag_s=0.0)
        gone = await one.listed("?from=2&hold_ms=20000")
        assert [(e["name"], e["status"]) for e in gone["endpoints"]] == [("s-1", "DELETED")]
        assert one.told() == [("s-1", "DRAINING"), ("s-1", "DELETED")]
        assert [e["name"] for e in (await one.listed())["endpoints"]] == ["s-0"]


@on_loop
async def test_a_watch_without_news_ends_empty() -> None:
    async with desk() as one:
        listed = await one.listed("?from=1&hold_ms=50")
        assert listed == {"index": 1, "snapshot": False, "endpoints": []} and not one.told()


@on_loop
async def test_what_a_whole_list_no_longer_names_is_told_gone() -> None:
    async with desk() as one:
        await one.listed()
        one.registry.schedule_change(one.registry.entries["s-0"], "DELETED", lag_s=0.0)
        await until(lambda: one.registry.index == 2)
        await one.listed()
        assert one.told()[-2:] == [("s-1", "SERVING"), ("s-0", "DELETED")] or ("s-0", "DELETED") in one.told()


@on_loop
async def test_one_that_registers_again_is_not_deleted_by_its_earlier_self() -> None:
    async with desk() as one:
        first = one.registry.entries["s-0"]
        one.registry.schedule_change(entry("s-0"), "SERVING", lag_s=0.0)
        await until(lambda: one.registry.index == 2)
        one.registry.schedule_change(first, "DELETED", lag_s=0.0)
        await until(lambda: not one.registry.tasks)
        assert [e["name"] for e in (await one.listed())["endpoints"]] == ["s-0", "s-1"]
        assert (await one.listed("?from=2&hold_ms=10"))["endpoints"] == []


@on_loop
async def test_an_index_that_goes_back_gives_the_whole_list() -> None:
    async with desk() as one:
        for status in ("DRAINING", "SERVING"):
            one.registry.schedule_change(one.registry.entries["s-0"], status, lag_s=0.0)
            await until(lambda status=status: one.registry.entries["s-0"].status == status)  # type: ignore[misc]
        one.registry.roll_back_index(2)
        listed = await one.listed("?from=3&hold_ms=20000")
        assert listed["snapshot"] is True and listed["index"] == 1


@pytest.mark.parametrize("how", ["503", "reset", "silent"])
@on_loop
async def test_it_goes_down_in_three_ways_and_ends_watches(how: str) -> None:
    async with desk() as one:
        client = await one.client()
        watch = asyncio.create_task(one.ask("?from=1&hold_ms=60000", client))
        await until(lambda: list(one.registry.event_log.events_of(DiscoveryPoll)))
        await one.registry.set_outage_mode(how)
        if how == "503":
            assert (await watch).status == 503
        elif how == "reset":
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await watch
        else:
            done, _ = await asyncio.wait((watch,), timeout=0.1)
            assert not done
            await one.registry.set_outage_mode("")
            assert (await watch).status == 200
        await one.registry.set_outage_mode("")
        assert (await one.ask()).status == 200


@on_loop
async def test_a_garbled_list_tells_nothing() -> None:
    async with desk() as one:
        one.registry.faults.has_garbled_lists = True
        body = (await one.ask()).body
        with pytest.raises(ValueError):
            json.loads(body)
        assert not one.told()


@on_loop
async def test_it_moves_and_ends_what_is_open_at_the_old_address() -> None:
    async with desk() as one:
        client, old = await one.client(), one.view.address
        await one.ask(client=client)
        await one.registry.move_listener(one.view, close_after_s=0.05)
        assert one.view.address != old
        assert (await one.ask()).status == 200
        with pytest.raises(ConnectionRefusedError):
            await one.client(old)
        assert await client.reader.read(1) == b""


@on_loop
async def test_nothing_is_told_through_a_cut_network() -> None:
    async with desk() as one:
        one.held.clear()
        call = asyncio.create_task(one.listed())
        await until(lambda: list(one.registry.event_log.events_of(DiscoveryPoll)))
        done, _ = await asyncio.wait((call,), timeout=0.05)
        assert not done and not one.told()
        one.held.set()
        await call
        assert len(one.told()) == 2


@pytest.mark.parametrize("query", ["?from=x", "?from=1&hold_ms=soon"])
@on_loop
async def test_what_cannot_be_read_is_refused(query: str) -> None:
    async with desk() as one:
        assert (await one.ask(query)).status == 400


@on_loop
async def test_each_call_is_an_interval_of_listening() -> None:
    async with desk() as one:
        await one.listed("?from=1&hold_ms=40")
        (call,) = one.registry.event_log.events_of(DiscoveryPoll)
        await until(lambda: call.until_us)
        assert call.until_us - call.at_us >= 38_000 and call.gateway == "n0"
