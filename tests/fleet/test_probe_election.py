"""Election of the prober: real gateways under load, one host that answers with errors, faults between gateways."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from tests.fleet.lease_fleet import LeaseFleet, running_lease_fleet
from tests.sockets import Client, ScriptedServer, on_loop, reply, request, respond_with, scripted_server

pytestmark = pytest.mark.processes

FAILING, RECOVERED = respond_with(reply(500, b"")), respond_with(reply())


@asynccontextmanager
async def under_load(folder: Path, count: int = 3) -> AsyncIterator[tuple[LeaseFleet, ScriptedServer]]:
    """Send each gateway up to fifty requests a second from two clients each; the second of three warm hosts fails."""
    async with (
        scripted_server() as first_host,
        scripted_server() as failing_host,
        scripted_server() as last_host,
        running_lease_fleet(folder, count, warm_hosts=(first_host, failing_host, last_host)) as fleet,
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
        failing_host.script = FAILING
        try:
            yield fleet, failing_host
        finally:
            is_over = True
            for task in tasks:
                task.cancel()


def probers_in(states: list[dict[str, Any]]) -> list[int]:
    return [
        state["gateway"] for state in states
        if any(lease["phase"] == "held" and lease["duty"].startswith("trier/") for lease in state["duties"])
    ]  # fmt: skip


async def read_states(fleet: LeaseFleet, numbers: list[int]) -> list[dict[str, Any]]:
    return [await fleet.read_state(number) for number in numbers]


async def wait_until_one_probes(fleet: LeaseFleet, numbers: list[int], excluding: int = -1) -> int:
    """Wait until one of these gateways is the prober and the others have suspended probes; return its number."""
    before = {state["gateway"]: state["held_back"] for state in await read_states(fleet, numbers)}
    while True:
        states = await read_states(fleet, numbers)
        found = [number for number in probers_in(states) if number != excluding]
        others = [state for state in states if state["gateway"] not in found]
        if len(found) == 1 and all(state["held_back"] > before[state["gateway"]] for state in others):
            return found[0]
        await asyncio.sleep(0.05)


async def wait_until_recovered(fleet: LeaseFleet, numbers: list[int]) -> None:
    """Wait until the host's circuit is closed at each of these gateways."""
    while any(any(not host["well"] for host in state["outs"]) for state in await read_states(fleet, numbers)):
        await asyncio.sleep(0.05)


@on_loop
async def test_one_gateway_probes_and_all_gateways_use_the_host_again_after_its_recovery(tmp_path: Path) -> None:
    async with under_load(tmp_path) as (fleet, failing_host):
        await wait_until_one_probes(fleet, [0, 1, 2])
        failing_host.script = RECOVERED
        await wait_until_recovered(fleet, [0, 1, 2])
        fleet.check()


@on_loop
async def test_a_prober_that_is_killed_or_stalls_is_replaced(tmp_path: Path) -> None:
    async with under_load(tmp_path) as (fleet, failing_host):
        first = await wait_until_one_probes(fleet, [0, 1, 2])
        await fleet.kill(first)
        rest = [number for number in range(3) if number != first]
        second = await wait_until_one_probes(fleet, rest, excluding=first)
        fleet.pause(second)
        (last,) = [number for number in rest if number != second]
        failing_host.script = RECOVERED
        await wait_until_recovered(fleet, [last])  # the only live gateway probes for itself
        fleet.resume(second)
        await wait_until_recovered(fleet, [second])
        fleet.check()


@on_loop
async def test_gateways_cut_off_from_each_other_probe_for_themselves(tmp_path: Path) -> None:
    async with under_load(tmp_path) as (fleet, failing_host):
        await wait_until_one_probes(fleet, [0, 1, 2])
        fleet.partition([0], [1, 2])
        fleet.partition([1], [2])
        failing_host.script = RECOVERED
        await wait_until_recovered(fleet, [0, 1, 2])
        fleet.check()
