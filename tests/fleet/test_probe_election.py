"""Election of the prober: real gateways under load, one host that answers with errors, faults between gateways."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from tests.fleet.lease_fleet import LeaseFleet, running_lease_fleet
from tests.sockets import Client, ScriptedServer, on_loop, reply, request, respond_with, scripted_server

FAILING, RECOVERED = respond_with(reply(500, b"")), respond_with(reply())


@asynccontextmanager
async def under_load(folder: Path, count: int = 3) -> AsyncIterator[tuple[LeaseFleet, ScriptedServer]]:
    """Send each gateway up to fifty requests a second from two clients each; the second of three warm hosts fails."""
    async with (
        scripted_server() as one,
        scripted_server() as bad,
        scripted_server() as two,
        running_lease_fleet(folder, count, warm_hosts=(one, bad, two)) as fleet,
    ):
        is_over = False

        async def send_requests(number: int) -> None:
            while not is_over:
                try:
                    client = Client(*await asyncio.open_connection(*fleet.gateways[number].address))
                    while not is_over:
                        await client.send_request(request())
                        await asyncio.sleep(0.02)
                except (OSError, asyncio.IncompleteReadError):
                    await asyncio.sleep(0.05)

        tasks = [asyncio.create_task(send_requests(number)) for number in range(count) for _ in range(2)]
        bad.script = FAILING
        try:
            yield fleet, bad
        finally:
            is_over = True
            for task in tasks:
                task.cancel()


def probers_in(shown: list[dict[str, Any]]) -> list[int]:
    return [
        s["gateway"] for s in shown
        if any(d["phase"] == "held" and d["duty"].startswith("trier/") for d in s["duties"])
    ]  # fmt: skip


async def all_shown(fleet: LeaseFleet, numbers: list[int]) -> list[dict[str, Any]]:
    return [await fleet.read_state(number) for number in numbers]


async def until_one_probes(fleet: LeaseFleet, numbers: list[int], but: int = -1) -> int:
    """Wait until one of these gateways is the prober and the others have suspended probes; return its number."""
    before = {s["gateway"]: s["held_back"] for s in await all_shown(fleet, numbers)}
    while True:
        shown = await all_shown(fleet, numbers)
        found = [number for number in probers_in(shown) if number != but]
        others = [s for s in shown if s["gateway"] not in found]
        if len(found) == 1 and all(s["held_back"] > before[s["gateway"]] for s in others):
            return found[0]
        await asyncio.sleep(0.05)


async def until_recovered(fleet: LeaseFleet, numbers: list[int]) -> None:
    """Wait until the host's circuit is closed at each of these gateways."""
    while any(any(not out["well"] for out in s["outs"]) for s in await all_shown(fleet, numbers)):
        await asyncio.sleep(0.05)


@on_loop
async def test_one_gateway_probes_and_all_gateways_use_the_host_again_after_its_recovery(tmp_path: Path) -> None:
    async with under_load(tmp_path) as (fleet, bad):
        await until_one_probes(fleet, [0, 1, 2])
        bad.script = RECOVERED
        await until_recovered(fleet, [0, 1, 2])
        fleet.check()


@on_loop
async def test_a_prober_that_is_killed_or_stalls_is_replaced(tmp_path: Path) -> None:
    async with under_load(tmp_path) as (fleet, bad):
        first = await until_one_probes(fleet, [0, 1, 2])
        await fleet.kill(first)
        rest = [number for number in range(3) if number != first]
        second = await until_one_probes(fleet, rest, but=first)
        fleet.pause(second)
        (last,) = [number for number in rest if number != second]
        bad.script = RECOVERED
        await until_recovered(fleet, [last])  # the only live gateway probes for itself
        fleet.resume(second)
        await until_recovered(fleet, [second])
        fleet.check()


@on_loop
async def test_gateways_cut_off_from_each_other_probe_for_themselves(tmp_path: Path) -> None:
    async with under_load(tmp_path) as (fleet, bad):
        await until_one_probes(fleet, [0, 1, 2])
        fleet.partition([0], [1, 2])
        fleet.partition([1], [2])
        bad.script = RECOVERED
        await until_recovered(fleet, [0, 1, 2])
        fleet.check()
