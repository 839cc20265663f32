"""Long polls: what ends them, for whom, and that they are answered in slices."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from cloverkeel.control_plane import long_poll
from cloverkeel.control_plane.messages import ListResponse, Subscriber
from tests.control_plane.relay_harness import (
    HOLD,
    desk,
    names,
)
from tests.sockets import on_loop, until


@on_loop
async def test_a_wait_ends_with_news_and_only_for_whom_it_touches() -> None:
    async with desk() as one:
        mine, other = await one.client(), await one.client()
        first, second = await one.listed("gateway=g0", mine), await one.listed("gateway=g1", other)
        waits = [
            asyncio.create_task(one.listed(f"gateway={name}&from={held['index']}{HOLD}", client))
            for name, held, client in (("g0", first, mine), ("g1", second, other))
        ]
        await until(lambda: sum(connection.pending_request is not None for connection in one.server.connections) == 2)
        one.change(("s-1", "DRAINING"))
        told = await waits[0]
        assert told["snapshot"] is False and names(told) == {"s-1": "DRAINING"} and told["index"] > first["index"]
        assert not waits[1].done() and one.server.counters.checked_connections == 1
        one.change(("t-2", "DELETED"))
        assert names(await waits[1]) == {"t-2": "DELETED"}


@on_loop
async def test_a_wait_without_news_ends_with_an_answer_to_go_on_from() -> None:
    async with desk() as one:
        first = await one.listed("gateway=g0")
        for hold_ms in (0, 30):
            empty = await one.listed(f"gateway=g0&from={first['index']}&hold_ms={hold_ms}")
            assert (empty["snapshot"], empty["endpoints"]) == (False, [])
        one.change(("s-0", "DELETED"))
        await one.has(7)
        assert names(await one.listed(f"gateway=g0&from={empty['index']}")) == {"s-0": "DELETED"}


@on_loop
async def test_changes_that_come_together_are_one_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    async with desk() as one:
        monkeypatch.setattr(long_poll, "BATCH_INTERVAL_S", 0.5)  # the machine may be slow
        client = await one.client()
        held = await one.listed("gateway=g0", client)
        wait = asyncio.create_task(one.listed(f"gateway=g0&from={held['index']}{HOLD}", client))
        await until(lambda: any(connection.pending_request for connection in one.server.connections))
        passed = one.server.counters.notification_rounds
        for number in range(3):  # three answers of discovery, one tick
            one.server.apply_list(False, [{
                "name": f"s-{number}", "address": "127.0.0.1:1", "zone": "a", "service": "s", "status": "DRAINING",
            }])  # fmt: skip
            for _ in range(5):
                await asyncio.sleep(0)
        assert set(names(await wait)) == {"s-0", "s-1", "s-2"}
        assert one.server.counters.notification_rounds == passed + 1 and one.server.counters.deltas == 1


@on_loop
async def test_a_wait_that_ends_just_after_a_change_was_heard_tells_it() -> None:
    async with desk() as one:
        client = await one.client()
        held = await one.listed("gateway=g0", client)
        wait = asyncio.create_task(one.listed(f"gateway=g0&from={held['index']}{HOLD}", client))
        await until(lambda: any(connection.pending_request for connection in one.server.connections))
        (connection,) = (
            connection for connection in one.server.connections if connection.pending_request is not None
        )
        assert connection.pending_request is not None
        one.server.apply_list(False, [{"name": "s-0", "status": "DELETED", "address": "127.0.0.1:1", "service": "s"}])
        one.server.long_polls.on_hold_expired(connection, connection.pending_request)  # before the tick is over
        assert names(await wait) == {"s-0": "DELETED"}


@on_loop
async def test_who_asks_and_is_behind_is_answered_in_slices(monkeypatch: pytest.MonkeyPatch) -> None:
    async with desk() as one:
        turn, turns = 0, []
        sound, loop = one.server.cache.respond, asyncio.get_running_loop()

        def tick() -> None:
            nonlocal turn
            turn += 1
            loop.call_soon(tick)

        def noted(asker: Subscriber, since: int | None) -> ListResponse | None:
            turns.append(turn)
            return sound(asker, since)

        clients = [await one.client() for _ in range(8)]
        held = [await one.listed(f"gateway=g{n % 3}", client) for n, client in enumerate(clients[:3])]
        held += [await one.listed("", client) for client in clients[3:]]
        one.server.apply_list(False, [{"name": "s-0", "status": "DELETED", "address": "127.0.0.1:1", "service": "s"}])
        monkeypatch.setattr(long_poll, "SLICE_S", 0.0)  # one each
        monkeypatch.setattr(one.server.cache, "respond", noted)
        tick()
        queries = [f"gateway=g{n}" * (n < 3) + f"&from={each['index']}" for n, each in enumerate(held)]
        for client, query in zip(clients, queries, strict=True):
            client.send(f"GET /registry/instances?{query} HTTP/1.1\r\nHost: r\r\n\r\n".encode())
        for number, client in enumerate(clients):
            told: dict[str, Any] = json.loads((await client.answer()).body)
            assert names(told) == ({} if number == 1 else {"s-0": "DELETED"})
        assert len(turns) == len(set(turns)) == 8
