"""Long polls: which changes end them, for which subscribers, and that they are answered in slices."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from cloverkeel.control_plane import long_poll
from cloverkeel.control_plane.messages import ListResponse, Subscriber
from tests.control_plane.relay_harness import HOLD, relay_with_registry, status_by_name
from tests.sockets import on_loop, wait_until


@on_loop
async def test_long_poll_ends_with_a_change_only_for_its_subscribers() -> None:
    async with relay_with_registry() as harness:
        mine, other = await harness.client(), await harness.client()
        first, second = await harness.listed("gateway=g0", mine), await harness.listed("gateway=g1", other)
        polls = [
            asyncio.create_task(harness.listed(f"gateway={name}&from={held['index']}{HOLD}", client))
            for name, held, client in (("g0", first, mine), ("g1", second, other))
        ]
        await wait_until(
            lambda: sum(connection.pending_request is not None for connection in harness.server.connections) == 2
        )
        harness.change(("s-1", "DRAINING"))
        sent = await polls[0]
        assert (
            sent["snapshot"] is False
            and status_by_name(sent) == {"s-1": "DRAINING"}
            and sent["index"] > first["index"]
        )
        assert not polls[1].done() and harness.server.counters.checked_connections == 1
        harness.change(("t-2", "DELETED"))
        assert status_by_name(await polls[1]) == {"t-2": "DELETED"}


@on_loop
async def test_long_poll_without_a_change_ends_with_an_empty_response_and_a_valid_index() -> None:
    async with relay_with_registry() as harness:
        first = await harness.listed("gateway=g0")
        for hold_ms in (0, 30):
            empty = await harness.listed(f"gateway=g0&from={first['index']}&hold_ms={hold_ms}")
            assert (empty["snapshot"], empty["endpoints"]) == (False, [])
        harness.change(("s-0", "DELETED"))
        await harness.wait_for_host_count(7)
        assert status_by_name(await harness.listed(f"gateway=g0&from={empty['index']}")) == {"s-0": "DELETED"}


@on_loop
async def test_changes_within_one_interval_are_one_response(monkeypatch: pytest.MonkeyPatch) -> None:
    async with relay_with_registry() as harness:
        monkeypatch.setattr(long_poll, "BATCH_INTERVAL_S", 0.5)  # the machine may be slow
        client = await harness.client()
        held = await harness.listed("gateway=g0", client)
        poll = asyncio.create_task(harness.listed(f"gateway=g0&from={held['index']}{HOLD}", client))
        await wait_until(lambda: any(connection.pending_request for connection in harness.server.connections))
        rounds_before = harness.server.counters.notification_rounds
        for number in range(3):  # three lists from discovery, one batch
            harness.server.apply_list(False, [{
                "name": f"s-{number}", "address": "127.0.0.1:1", "zone": "a", "service": "s", "status": "DRAINING",
            }])  # fmt: skip
            for _ in range(5):
                await asyncio.sleep(0)
        assert set(status_by_name(await poll)) == {"s-0", "s-1", "s-2"}
        assert (
            harness.server.counters.notification_rounds == rounds_before + 1 and harness.server.counters.deltas == 1
        )


@on_loop
async def test_long_poll_that_expires_just_after_a_change_returns_it() -> None:
    async with relay_with_registry() as harness:
        client = await harness.client()
        held = await harness.listed("gateway=g0", client)
        poll = asyncio.create_task(harness.listed(f"gateway=g0&from={held['index']}{HOLD}", client))
        await wait_until(lambda: any(connection.pending_request for connection in harness.server.connections))
        (connection,) = (
            connection for connection in harness.server.connections if connection.pending_request is not None
        )
        assert connection.pending_request is not None
        harness.server.apply_list(
            False, [{"name": "s-0", "status": "DELETED", "address": "127.0.0.1:1", "service": "s"}]
        )
        # Before the batch interval ends.
        harness.server.long_polls.on_hold_expired(connection, connection.pending_request)
        assert status_by_name(await poll) == {"s-0": "DELETED"}


@on_loop
async def test_overdue_requests_are_answered_in_slices(monkeypatch: pytest.MonkeyPatch) -> None:
    async with relay_with_registry() as harness:
        turn, turns = 0, []
        original, loop = harness.server.cache.respond, asyncio.get_running_loop()

        def tick() -> None:
            nonlocal turn
            turn += 1
            loop.call_soon(tick)

        def recording_respond(subscriber: Subscriber, known_index: int | None) -> ListResponse | None:
            turns.append(turn)
            return original(subscriber, known_index)

        clients = [await harness.client() for _ in range(8)]
        held = [await harness.listed(f"gateway=g{n % 3}", client) for n, client in enumerate(clients[:3])]
        held += [await harness.listed("", client) for client in clients[3:]]
        harness.server.apply_list(
            False, [{"name": "s-0", "status": "DELETED", "address": "127.0.0.1:1", "service": "s"}]
        )
        monkeypatch.setattr(long_poll, "SLICE_S", 0.0)  # one request per slice
        monkeypatch.setattr(harness.server.cache, "respond", recording_respond)
        tick()
        queries = [f"gateway=g{n}" * (n < 3) + f"&from={each['index']}" for n, each in enumerate(held)]
        for client, query in zip(clients, queries, strict=True):
            client.send(f"GET /registry/instances?{query} HTTP/1.1\r\nHost: r\r\n\r\n".encode())
        for number, client in enumerate(clients):
            sent: dict[str, Any] = json.loads((await client.read_response()).body)
            assert status_by_name(sent) == ({} if number == 1 else {"s-0": "DELETED"})
        assert len(turns) == len(set(turns)) == 8
