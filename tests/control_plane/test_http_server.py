"""Responses of a relay by request path, subscriber and state of the list."""

from __future__ import annotations

import gc

from cloverkeel.control_plane.connection import ClientConnection
from tests.control_plane.relay_harness import HOLD, relay_with_registry, status_by_name
from tests.sockets import on_loop, wait_until


@on_loop
async def test_relay_without_snapshot_answers_503_and_never_an_empty_list() -> None:
    async with relay_with_registry(ready=False) as harness:
        for query in ("gateway=g0", "gateway=g0&from=5&hold_ms=1000", ""):
            answer = await harness.get(f"/registry/instances?{query}")
            assert (answer.status, answer.headers["retry-after"]) == (503, "1")
        assert (await harness.get("/health/ready")).status == 503
        assert (await harness.state())["version"] is None
        await harness.registry.set_outage_mode("")
        await harness.wait_for_host_count(8)
        assert len((await harness.listed("gateway=g0"))["endpoints"]) == 4
        assert (await harness.get("/health/ready")).status == 200


@on_loop
async def test_gateway_of_the_roster_gets_its_subset_and_others_the_full_list() -> None:
    async with relay_with_registry() as harness:
        snapshot = await harness.listed("gateway=g0&services=s&wide=0")
        assert snapshot["snapshot"] is True and set(status_by_name(snapshot)) == {f"s-{n}" for n in range(4)}
        assert all(item["service"] == "s" and item["users"] >= 1 for item in snapshot["endpoints"])
        assert (
            len(status_by_name(await harness.listed("")))
            == len(status_by_name(await harness.listed("gateway=nobody")))
            == 8
        )
        assert len(status_by_name(await harness.listed("gateway=g2"))) == 8


@on_loop
async def test_index_of_another_relay_is_answered_with_a_snapshot() -> None:
    async with relay_with_registry() as harness, relay_with_registry() as other_harness:
        held = await harness.listed("gateway=g0")
        other = await other_harness.listed(f"gateway=g0&from={held['index']}{HOLD}")
        assert other["snapshot"] is True and len(other["endpoints"]) == 4


@on_loop
async def test_requests_leave_no_reference_cycles() -> None:
    """Guards against a leak: RelayServer._scan collects new objects once and then freezes them."""

    def count_connections() -> int:
        return sum(isinstance(each, ClientConnection) for each in gc.get_objects())

    async with relay_with_registry() as harness:
        before = count_connections()
        gc.disable()
        try:
            for sent in (b"GET /health/ready HTTP/1.1", b"GET /registry/instances HTTP/1.1", b"x"):
                client = await harness.client()
                client.send(sent + b"\r\n\r\n")
                await client.read_response()
                client.close()
            held = await harness.listed("gateway=g0")
            client = await harness.client()
            client.send(f"GET /registry/instances?gateway=g0&from={held['index']}{HOLD} HTTP/1.1\r\n\r\n".encode())
            await wait_until(lambda: any(connection.pending_request for connection in harness.server.connections))
            client.close()
            await wait_until(lambda: not harness.server.connections)
            await wait_until(lambda: count_connections() == before)
        finally:
            gc.enable()
