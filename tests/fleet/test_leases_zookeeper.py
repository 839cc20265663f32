"""Leases by the coordination service: real gateways, and a service that fails in every way it may."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from standins.checker.leases import ObservedAct
from standins.event_log import now_us
from standins.parties.zookeeper.ensemble import Session
from standins.parties.zookeeper.threaded import Threaded
from tests.fleet.ground import Ground, ground
from tests.sockets import on_loop

LEASE_MS = 1_000


@asynccontextmanager
async def served(folder: Path, count: int = 3) -> AsyncIterator[tuple[Ground, Threaded]]:
    keeper = Threaded(servers=3, timeouts_ms=(200, 40_000))
    try:
        async with ground(folder, count=count, lease_ms=LEASE_MS, keeper=keeper) as fleet:
            yield fleet, keeper
    finally:
        keeper.close()


async def call(keeper: Threaded, what: Callable[[], Any]) -> Any:
    return await asyncio.get_running_loop().run_in_executor(None, keeper.call, what)


def owner(fleet: Ground, keeper: Threaded) -> Session:
    """The session that owns the lease's node."""
    node = keeper.ensemble.tree.nodes[f"/cloverkeel/duties/{fleet.duty:015x}"]
    found: Session = keeper.ensemble.sessions[node.stat.ephemeral_owner]
    return found


@on_loop
async def test_one_holds_by_its_node_and_another_after_it_was_killed_or_stalled(tmp_path: Path) -> None:
    async with served(tmp_path) as (fleet, _):
        held = await fleet.holder()
        await fleet.goes_on(held, 2 * fleet.lease_s)
        await fleet.kill(held.gateway)
        second = await fleet.holder(but=held.gateway)
        fleet.stop(second.gateway)
        third = await fleet.holder(but=second.gateway)
        fleet.wake(second.gateway)
        await fleet.goes_on(third, fleet.lease_s)
        assert held.fencing_token < second.fencing_token < third.fencing_token
        fleet.check()


@on_loop
async def test_a_session_that_expires_while_its_owner_acts(tmp_path: Path) -> None:
    """By the service's own hand: then the owner learns of it by LOST, or by its next write."""
    async with served(tmp_path) as (fleet, keeper):
        held = await fleet.holder()
        session = await call(keeper, lambda: owner(fleet, keeper))
        await call(keeper, lambda: keeper.ensemble.sever(session.id, "out"))  # it is told nothing
        after = await fleet.holder(but=held.gateway)
        assert after.fencing_token > held.fencing_token
        await fleet.goes_on(after, fleet.lease_s)
        fleet.check()


@pytest.mark.parametrize("how", ["in", "out", "both"])
@on_loop
async def test_a_holder_that_is_cut_off_from_the_service_stops(tmp_path: Path, how: str) -> None:
    async with served(tmp_path) as (fleet, keeper):
        held = await fleet.holder()
        session = await call(keeper, lambda: owner(fleet, keeper))
        await call(keeper, lambda: keeper.ensemble.sever(session.id, how))
        # By another session, and another epoch: perhaps the same gateway's, which has found a way to a new one.
        after = await fleet.wait(
            lambda: (
                act
                if (act := fleet.mesh.watcher.holder(fleet.duty)) and act.fencing_token > held.fencing_token
                else None
            ),
            "a new epoch",
        )  # fmt: skip
        await fleet.goes_on(after, fleet.lease_s)
        fleet.check()


@on_loop
async def test_a_connection_that_is_reset_costs_the_holder_nothing(tmp_path: Path) -> None:
    async with served(tmp_path) as (fleet, keeper):
        held = await fleet.holder()
        for _ in range(3):
            session = await call(keeper, lambda: owner(fleet, keeper))
            await call(keeper, lambda session=session: keeper.ensemble.sever(session.id))  # type: ignore[misc]
            await fleet.goes_on(held, fleet.lease_s / 2)
        fleet.check()


@on_loop
async def test_responses_that_are_lost_after_the_request_took_effect(tmp_path: Path) -> None:
    """Every write of every gateway, for a while: creates and renewals are done, and their answers never come."""
    async with served(tmp_path) as (fleet, keeper):
        held = await fleet.holder()

        def lose() -> None:
            for session in keeper.ensemble.sessions.values():
                session.lose_reply = True

        await fleet.kill(held.gateway)
        end_us = now_us() + 3 * LEASE_MS * 1000
        while now_us() < end_us:
            await call(keeper, lose)
            await asyncio.sleep(0.05)
        after = await fleet.holder(after_us=end_us)
        assert after.fencing_token > held.fencing_token
        await fleet.goes_on(after, fleet.lease_s)
        fleet.check()


@on_loop
async def test_a_service_that_was_gone_and_is_restored_from_an_older_state(
    tmp_path: Path,
) -> None:
    """Nobody holds meanwhile; its last changes are lost with it, the node and its epoch too."""
    async with served(tmp_path) as (fleet, keeper):
        held = await fleet.holder()
        changes = len(keeper.ensemble.log)
        await call(keeper, keeper.ensemble.stop)
        await fleet.wait(lambda: now_us() - fleet.acts[-1].at_us > LEASE_MS * 1000, "the holder stops", 10.0)
        await fleet.nobody(fleet.lease_s)
        await call(keeper, lambda: keeper.ensemble.come_back(lost=changes - 4))
        after = await fleet.holder(after_us=now_us(), within_s=25.0)
        assert after.gateway < fleet.count and held.fencing_token > 0

        # The watcher tells nobody what it has seen, the gateways do: another holder goes on above it.
        def is_above(act: ObservedAct | None) -> bool:
            same = act is not None and (act.process_nonce, act.fencing_token) == (
                held.process_nonce,
                held.fencing_token,
            )
            return act is not None and (same or act.fencing_token > held.fencing_token)

        await fleet.wait(
            lambda: is_above(fleet.mesh.watcher.holder(fleet.duty)), "a higher epoch, or the same holder", 25.0
        )


@on_loop
async def test_no_leader_for_a_while_and_all_sessions_end_at_once(tmp_path: Path) -> None:
    async with served(tmp_path) as (fleet, keeper):
        held = await fleet.holder()
        await call(keeper, lambda: keeper.ensemble.lose_leader(2.0))
        after = await fleet.holder(after_us=now_us() + 2_000_000)

        def expire_all() -> None:
            for session in list(keeper.ensemble.sessions):
                keeper.ensemble.expire(session)

        await call(keeper, expire_all)
        last = await fleet.holder(after_us=now_us() + 500_000)
        assert last.fencing_token > held.fencing_token and last.fencing_token >= after.fencing_token
        fleet.check()
