"""What a relay answers to whom."""

from __future__ import annotations

import gc

from cloverkeel.control_plane.connection import ClientConnection
from tests.control_plane.relay_harness import (
    HOLD,
    desk,
    names,
)
from tests.sockets import on_loop, until


@on_loop
async def test_a_relay_that_has_no_list_yet_never_says_that_nobody_serves() -> None:
    async with desk(ready=False) as one:
        for query in ("gateway=g0", "gateway=g0&from=5&hold_ms=1000", ""):
            answer = await one.get(f"/registry/instances?{query}")
            assert (answer.status, answer.headers["retry-after"]) == (503, "1")
        assert (await one.get("/health/ready")).status == 503
        assert (await one.state())["version"] is None
        await one.registry.set_down("")
        await one.has(8)
        assert len((await one.listed("gateway=g0"))["endpoints"]) == 4
        assert (await one.get("/health/ready")).status == 200


@on_loop
async def test_who_names_itself_is_told_its_subset_and_others_all() -> None:
    async with desk() as one:
        whole = await one.listed("gateway=g0&services=s&wide=0")
        assert whole["snapshot"] is True and set(names(whole)) == {f"s-{n}" for n in range(4)}
        assert all(item["service"] == "s" and item["users"] >= 1 for item in whole["endpoints"])
        assert len(names(await one.listed(""))) == len(names(await one.listed("gateway=nobody"))) == 8
        assert len(names(await one.listed("gateway=g2"))) == 8


@on_loop
async def test_versions_of_another_relay_mean_nothing_here() -> None:
    async with desk() as one, desk() as two:
        held = await one.listed("gateway=g0")
        other = await two.listed(f"gateway=g0&from={held['index']}{HOLD}")
        assert other["snapshot"] is True and len(other["endpoints"]) == 4


@on_loop
async def test_calls_leave_no_cycles() -> None:
    """The collector looks only through what is new, and never again (RelayServer._scan)."""

    def callers() -> int:
        return sum(isinstance(each, ClientConnection) for each in gc.get_objects())

    async with desk() as one:
        before = callers()
        gc.disable()
        try:
            for sent in (b"GET /health/ready HTTP/1.1", b"GET /registry/instances HTTP/1.1", b"x"):
                client = await one.client()
                client.send(sent + b"\r\n\r\n")
                await client.answer()
                client.close()
            held = await one.listed("gateway=g0")
            client = await one.client()
            client.send(f"GET /registry/instances?gateway=g0&from={held['index']}{HOLD} HTTP/1.1\r\n\r\n".encode())
            await until(lambda: any(connection.pending_request for connection in one.server.connections))
            client.close()
            await until(lambda: not one.server.connections)
            await until(lambda: callers() == before)
        finally:
            gc.enable()
