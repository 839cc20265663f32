"""Snapshots: rate limited, queued, and the full list encoded once for all."""

from __future__ import annotations

import asyncio
import gzip
import json
from collections.abc import Generator
from dataclasses import replace
from typing import Any

import pytest

from cloverkeel.control_plane import response_sender
from cloverkeel.control_plane.config import Limits
from cloverkeel.control_plane.encoding import IncrementalBody
from cloverkeel.control_plane.messages import ListResponse
from cloverkeel.core.clock import now_us
from tests.control_plane.relay_harness import (
    ALL,
    HOLD,
    RelayHarness,
    relay_with_registry,
    run_turn_by_turn,
    status_by_name,
)
from tests.sockets import Message, on_loop, until


def fill(harness: RelayHarness, count: int = 3_000) -> None:
    """With hosts of a service more, whose entries make more than a MB."""
    harness.server.apply_list(False, [
        {"name": f"u-{n}", "address": "127.0.0.1:1", "type": f"{n * n}x" * 40, "service": "u", "status": "SERVING"}
        for n in range(count)
    ])  # fmt: skip


def read(answer: Message) -> dict[str, Any]:
    is_zipped = answer.headers.get("content-encoding") == "gzip"
    found: dict[str, Any] = json.loads(gzip.decompress(answer.body) if is_zipped else answer.body)
    return found


@on_loop
async def test_snapshots_are_rate_limited_and_rejected_beyond_while_changes_go_on() -> None:
    rate = 10
    async with relay_with_registry(Limits(snapshots_per_s=rate)) as harness:
        client = await harness.client()
        held = await harness.listed("gateway=g0", client)
        poll = asyncio.create_task(harness.listed(f"gateway=g0&from={held['index']}{HOLD}", client))
        await until(lambda: any(connection.pending_request for connection in harness.server.connections))
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        asked = [asyncio.create_task(harness.get("/registry/instances?gateway=g1")) for _ in range(4 * rate)]
        await until(lambda: harness.server.counters.rejected_snapshots > 0)
        harness.change(("s-0", "DRAINING"))
        await poll
        assert harness.server.snapshots.queue, "the change came while snapshots waited"
        answers = await asyncio.gather(*asked)
        took_s = loop.time() - begun_s
        served = sum(answer.status == 200 for answer in answers)
        refused = [answer for answer in answers if answer.status == 503]
        assert served + len(refused) == len(answers) and all("retry-after" in answer.headers for answer in refused)
        assert served <= rate * (1 + took_s) + 1
        assert served >= 1.5 * rate, "a burst, and those that wait, are served"


@on_loop
async def test_full_list_is_encoded_once_for_all_and_other_requests_are_answered_meanwhile(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with relay_with_registry() as harness:
        fill(harness)
        other, steps_made = await harness.client(), 0

        async def with_requests_between(steps: Generator[None, None, Any]) -> Any:
            nonlocal steps_made
            while True:
                try:
                    next(steps)
                except StopIteration as stop:
                    return stop.value
                steps_made += 1
                if steps_made % 20 == 0:
                    assert (await harness.get("/health/ready", other)).status == 200

        monkeypatch.setattr(response_sender, "run_cooperatively", with_requests_between)
        made: list[IncrementalBody] = []
        for _ in range(2):  # the second time it is there
            clients = [await harness.client() for _ in range(6)]
            asked = [
                harness.get(ALL + "?gateway=nobody" * (n > 3), client, *("Accept-Encoding: gzip",) * (n % 2))
                for n, client in enumerate(clients)
            ]
            sent = [read(answer) for answer in await asyncio.gather(*asked)]
            assert all(each["endpoints"] == sent[0]["endpoints"] for each in sent)
            assert len(sent[0]["endpoints"]) == 3_008 and len({each["index"] for each in sent}) == 1
            assert steps_made > 100
            bodies = [harness.server.snapshots.encoded_lists[which].body for which in (False, True)]
            assert made in ([], bodies)
            made = bodies
        assert made[1].size_bytes < made[0].size_bytes / 2
        harness.change(("s-0", "DELETED"))
        await harness.has(3_007)
        assert not harness.server.snapshots.encoded_lists, "what is no longer so is not kept"


@on_loop
async def test_client_that_disconnects_during_a_long_response_costs_no_other_anything(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with relay_with_registry() as harness:
        fill(harness, 20_000)
        monkeypatch.setattr(response_sender, "run_cooperatively", run_turn_by_turn)
        for when in (lambda: harness.server.sender.background_task, lambda: harness.server.sender.unsent_bytes):
            gone, stays = await harness.client(), await harness.client()
            gone.writer.transport.pause_reading()  # type: ignore[attr-defined]
            gone.send(f"GET {ALL} HTTP/1.1\r\nHost: r\r\n\r\n".encode())
            await until(when)
            poll = asyncio.create_task(harness.get(ALL, stays, "Accept-Encoding: gzip"))
            gone.writer.transport.abort()
            assert len(read(await poll)["endpoints"]) == 20_008
            await until(lambda: not harness.server.sender.unsent_bytes and len(harness.server.connections) == 1)
            stays.close()
            await until(lambda: not harness.server.connections)
            harness.server.snapshots.encoded_lists.clear()
            harness.server.cache.full_list.entries_change = -1


@on_loop
async def test_long_response_to_a_gateway_is_encoded_incrementally(monkeypatch: pytest.MonkeyPatch) -> None:
    async with relay_with_registry() as harness:
        fill(harness)
        held = await harness.listed("gateway=g2&services=s")
        asked = "/registry/instances?gateway=g2&services=s,u&wide=3"
        make, steps = harness.server.sender.run_in_background, list[object]()

        def noted(each: Generator[None, None, None]) -> None:
            steps.append(each)
            make(each)

        monkeypatch.setattr(harness.server.sender, "run_in_background", noted)
        harness.server.cache.table.sizes = replace(
            harness.server.cache.table.sizes, min_hosts=500
        )  # its part is long
        harness.server.cache.table.rings_by_service.clear()
        harness.server.cache.table.host_by_name.clear()
        fill(harness)
        for more, header in (("", "X: y"), ("", "Accept-Encoding: gzip"), (f"&from={held['index']}", "X: y")):
            sent = read(await harness.get(asked + more, None, header))
            assert sum(item["status"] == "SERVING" for item in sent["endpoints"]) == 3_000
        assert len(steps) == 3


@on_loop
async def test_full_list_encoded_while_the_list_changed_is_as_old_as_it_is(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with relay_with_registry() as harness:
        server = harness.server
        server.source.close()
        server.source.confirmed_us = now_us() - 5_000_000
        original = server.cache.full_list.snapshot_incrementally

        def listing() -> Generator[None, None, ListResponse]:
            made = yield from original()
            server.apply_list(False, [{"name": "s-0", "status": "DELETED", "address": "127.0.0.1:1", "service": "s"}])
            server.source.confirmed_us = now_us()
            return made

        monkeypatch.setattr(server.cache.full_list, "snapshot_incrementally", listing)
        sent = await harness.listed("")
        assert "s-0" in status_by_name(sent) and sent["age_ms"] >= 5_000
        after = await harness.listed(f"from={sent['index']}")
        assert status_by_name(after) == {"s-0": "DELETED"} and after["age_ms"] < 5_000


@on_loop
async def test_client_that_does_not_read_is_closed_and_snapshots_wait_meanwhile() -> None:
    async with relay_with_registry(Limits(write_timeout_s=1, max_unsent_mib=1)) as harness:
        harness.server.apply_list(False, [
            {"name": f"t-{n}", "address": "127.0.0.1:1", "type": "x" * 4_000, "service": "t", "status": "SERVING"}
            for n in range(3_000)
        ])  # fmt: skip
        slow = await harness.client()
        slow.writer.transport.pause_reading()  # type: ignore[attr-defined]
        slow.send(b"GET /registry/instances HTTP/1.1\r\nHost: r\r\n\r\n")
        await until(lambda: harness.server.sender.unsent_bytes > 1 << 20)
        assert (await harness.get("/registry/instances?gateway=g0")).status == 503, "it waited for its turn in vain"
        await until(lambda: harness.server.counters.closed_slow == 1 and not harness.server.sender.unsent_bytes)
        assert len((await harness.listed("gateway=g0"))["endpoints"]) == 4
        slow.close()
