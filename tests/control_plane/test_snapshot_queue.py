"""The snapshot queue: rate limit, rejection, and the shared encoding of the full list."""

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
    LIST_PATH,
    HOLD,
    RelayHarness,
    relay_with_registry,
    run_turn_by_turn,
    status_by_name,
)
from tests.sockets import Message, on_loop, wait_until


def add_hosts(harness: RelayHarness, count: int = 3_000) -> None:
    """Add the hosts of one more service; the default count has more than 1 MB of entries."""
    harness.server.apply_list(False, [
        {"name": f"u-{n}", "address": "127.0.0.1:1", "type": f"{n * n}x" * 40, "service": "u", "status": "SERVING"}
        for n in range(count)
    ])  # fmt: skip


def decode_body(response: Message) -> dict[str, Any]:
    is_gzipped = response.headers.get("content-encoding") == "gzip"
    found: dict[str, Any] = json.loads(gzip.decompress(response.body) if is_gzipped else response.body)
    return found


@on_loop
async def test_snapshots_beyond_the_rate_are_rejected_while_deltas_are_sent() -> None:
    rate = 10
    async with relay_with_registry(Limits(snapshots_per_s=rate)) as harness:
        client = await harness.client()
        held = await harness.listed("gateway=g0", client)
        long_poll = asyncio.create_task(harness.listed(f"gateway=g0&from={held['index']}{HOLD}", client))
        await wait_until(lambda: any(connection.pending_request for connection in harness.server.connections))
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        requests = [asyncio.create_task(harness.get("/registry/instances?gateway=g1")) for _ in range(4 * rate)]
        await wait_until(lambda: harness.server.counters.rejected_snapshots > 0)
        harness.change(("s-0", "DRAINING"))
        await long_poll
        assert harness.server.snapshots.queue, "the delta was not sent while snapshots were queued"
        responses = await asyncio.gather(*requests)
        elapsed_s = loop.time() - started_s
        served = sum(response.status == 200 for response in responses)
        rejected = [response for response in responses if response.status == 503]
        assert served + len(rejected) == len(responses) and all(
            "retry-after" in response.headers for response in rejected
        )
        assert served <= rate * (1 + elapsed_s) + 1
        assert served >= 1.5 * rate, "the burst and the queued snapshots were not all served"


@on_loop
async def test_full_list_is_encoded_once_while_other_requests_are_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with relay_with_registry() as harness:
        add_hosts(harness)
        other_client, step_count = await harness.client(), 0

        async def run_with_requests_between_steps(steps: Generator[None, None, Any]) -> Any:
            nonlocal step_count
            while True:
                try:
                    next(steps)
                except StopIteration as stop:
                    return stop.value
                step_count += 1
                if step_count % 20 == 0:
                    assert (await harness.get("/health/ready", other_client)).status == 200

        monkeypatch.setattr(response_sender, "run_cooperatively", run_with_requests_between_steps)
        kept_bodies: list[IncrementalBody] = []
        for _ in range(2):  # the second round uses the kept encodings
            clients = [await harness.client() for _ in range(6)]
            requests = [
                harness.get(LIST_PATH + "?gateway=nobody" * (n > 3), client, *("Accept-Encoding: gzip",) * (n % 2))
                for n, client in enumerate(clients)
            ]
            received = [decode_body(response) for response in await asyncio.gather(*requests)]
            assert all(each["endpoints"] == received[0]["endpoints"] for each in received)
            assert len(received[0]["endpoints"]) == 3_008 and len({each["index"] for each in received}) == 1
            assert step_count > 100
            bodies = [harness.server.snapshots.encoded_lists[is_gzip].body for is_gzip in (False, True)]
            assert kept_bodies in ([], bodies)
            kept_bodies = bodies
        assert kept_bodies[1].size_bytes < kept_bodies[0].size_bytes / 2
        harness.change(("s-0", "DELETED"))
        await harness.wait_for_host_count(3_007)
        assert not harness.server.snapshots.encoded_lists, "the outdated encodings were not discarded"


@on_loop
async def test_disconnect_during_a_long_response_does_not_affect_other_clients(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with relay_with_registry() as harness:
        add_hosts(harness, 20_000)
        monkeypatch.setattr(response_sender, "run_cooperatively", run_turn_by_turn)
        for condition in (lambda: harness.server.sender.background_task, lambda: harness.server.sender.unsent_bytes):
            disconnecting, other_client = await harness.client(), await harness.client()
            disconnecting.writer.transport.pause_reading()  # type: ignore[attr-defined]
            disconnecting.send(f"GET {LIST_PATH} HTTP/1.1\r\nHost: r\r\n\r\n".encode())
            await wait_until(condition)
            request = asyncio.create_task(harness.get(LIST_PATH, other_client, "Accept-Encoding: gzip"))
            disconnecting.writer.transport.abort()
            assert len(decode_body(await request)["endpoints"]) == 20_008
            await wait_until(lambda: not harness.server.sender.unsent_bytes and len(harness.server.connections) == 1)
            other_client.close()
            await wait_until(lambda: not harness.server.connections)
            harness.server.snapshots.encoded_lists.clear()
            harness.server.cache.full_list.entries_change = -1


@on_loop
async def test_long_response_to_a_gateway_is_encoded_incrementally(monkeypatch: pytest.MonkeyPatch) -> None:
    async with relay_with_registry() as harness:
        add_hosts(harness)
        held = await harness.listed("gateway=g2&services=s")
        target = "/registry/instances?gateway=g2&services=s,u&wide=3"
        original, background_work = harness.server.sender.run_in_background, list[object]()

        def recording_run(work: Generator[None, None, None]) -> None:
            background_work.append(work)
            original(work)

        monkeypatch.setattr(harness.server.sender, "run_in_background", recording_run)
        # A long subset.
        harness.server.cache.table.sizes = replace(harness.server.cache.table.sizes, min_hosts=500)
        harness.server.cache.table.rings_by_service.clear()
        harness.server.cache.table.host_by_name.clear()
        add_hosts(harness)
        for query, header in (("", "X: y"), ("", "Accept-Encoding: gzip"), (f"&from={held['index']}", "X: y")):
            received = decode_body(await harness.get(target + query, None, header))
            assert sum(item["status"] == "SERVING" for item in received["endpoints"]) == 3_000
        assert len(background_work) == 3


@on_loop
async def test_full_list_that_changes_during_encoding_has_the_age_of_the_encoded_state(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with relay_with_registry() as harness:
        server = harness.server
        server.source.close()
        server.source.confirmed_us = now_us() - 5_000_000
        original = server.cache.full_list.snapshot_incrementally

        def change_after_snapshot() -> Generator[None, None, ListResponse]:
            snapshot = yield from original()
            server.apply_list(False, [{"name": "s-0", "status": "DELETED", "address": "127.0.0.1:1", "service": "s"}])
            server.source.confirmed_us = now_us()
            return snapshot

        monkeypatch.setattr(server.cache.full_list, "snapshot_incrementally", change_after_snapshot)
        received = await harness.listed("")
        assert "s-0" in status_by_name(received) and received["age_ms"] >= 5_000
        delta = await harness.listed(f"from={received['index']}")
        assert status_by_name(delta) == {"s-0": "DELETED"} and delta["age_ms"] < 5_000


@on_loop
async def test_client_that_does_not_read_is_disconnected_and_snapshots_wait_meanwhile() -> None:
    async with relay_with_registry(Limits(write_timeout_s=1, max_unsent_mib=1)) as harness:
        harness.server.apply_list(False, [
            {"name": f"t-{n}", "address": "127.0.0.1:1", "type": "x" * 4_000, "service": "t", "status": "SERVING"}
            for n in range(3_000)
        ])  # fmt: skip
        slow_client = await harness.client()
        slow_client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        slow_client.send(b"GET /registry/instances HTTP/1.1\r\nHost: r\r\n\r\n")
        await wait_until(lambda: harness.server.sender.unsent_bytes > 1 << 20)
        assert (
            await harness.get("/registry/instances?gateway=g0")
        ).status == 503, "the snapshot was sent despite too many unsent bytes"
        await wait_until(lambda: harness.server.counters.closed_slow == 1 and not harness.server.sender.unsent_bytes)
        assert len((await harness.listed("gateway=g0"))["endpoints"]) == 4
        slow_client.close()
