"""Leases in ZooKeeper: real gateways, and a stand-in service with injected faults."""

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
from standins.parties.zookeeper.threaded import ThreadedEnsemble
from tests.fleet.lease_fleet import LeaseFleet, running_lease_fleet
from tests.sockets import on_loop

pytestmark = pytest.mark.processes

LEASE_MS = 1_000


@asynccontextmanager
async def zookeeper_fleet(folder: Path, count: int = 3) -> AsyncIterator[tuple[LeaseFleet, ThreadedEnsemble]]:
    """Run gateways and the service that stores their leases."""
    zookeeper = ThreadedEnsemble(servers=3, timeouts_ms=(200, 40_000))
    try:
        async with running_lease_fleet(folder, count=count, lease_ms=LEASE_MS, zookeeper=zookeeper) as fleet:
            yield fleet, zookeeper
    finally:
        zookeeper.close()


async def call(zookeeper: ThreadedEnsemble, function: Callable[[], Any]) -> Any:
    """Call a function on the service's thread."""
    return await asyncio.get_running_loop().run_in_executor(None, zookeeper.call, function)


def owner(fleet: LeaseFleet, zookeeper: ThreadedEnsemble) -> Session:
    """Return the session that owns the lease's node."""
    node = zookeeper.ensemble.tree.nodes[f"/cloverkeel/duties/{fleet.role:015x}"]
    found: Session = zookeeper.ensemble.sessions[node.stat.ephemeral_owner]
    return found


@on_loop
async def test_one_gateway_owns_the_node_and_another_after_it_was_killed_or_stalled(tmp_path: Path) -> None:
    async with zookeeper_fleet(tmp_path) as (fleet, _):
        held = await fleet.wait_for_holder()
        await fleet.check_holder_continues(held, 2 * fleet.lease_s)
        await fleet.kill(held.gateway)
        second = await fleet.wait_for_holder(excluding=held.gateway)
        fleet.pause(second.gateway)
        third = await fleet.wait_for_holder(excluding=second.gateway)
        fleet.resume(second.gateway)
        await fleet.check_holder_continues(third, fleet.lease_s)
        assert held.fencing_token < second.fencing_token < third.fencing_token
        fleet.check()


@on_loop
async def test_another_gateway_takes_over_when_a_session_expires_while_its_owner_acts(tmp_path: Path) -> None:
    """The service expires the session; the owner learns of it by the session state LOST or by its next write."""
    async with zookeeper_fleet(tmp_path) as (fleet, zookeeper):
        held = await fleet.wait_for_holder()
        session = await call(zookeeper, lambda: owner(fleet, zookeeper))
        # The service's responses are lost.
        await call(zookeeper, lambda: zookeeper.ensemble.disrupt_session(session.id, "out"))
        after = await fleet.wait_for_holder(excluding=held.gateway)
        assert after.fencing_token > held.fencing_token
        await fleet.check_holder_continues(after, fleet.lease_s)
        fleet.check()


@pytest.mark.parametrize("direction", ["in", "out", "both"])
@on_loop
async def test_a_holder_that_is_cut_off_from_the_service_stops(tmp_path: Path, direction: str) -> None:
    async with zookeeper_fleet(tmp_path) as (fleet, zookeeper):
        held = await fleet.wait_for_holder()
        session = await call(zookeeper, lambda: owner(fleet, zookeeper))
        await call(zookeeper, lambda: zookeeper.ensemble.disrupt_session(session.id, direction))
        # The next holder has another session and a newer token; it may be the same gateway after it reconnected.
        after = await fleet.wait_for(
            lambda: (
                act
                if (act := fleet.mesh.watcher.last_act_of(fleet.role)) and act.fencing_token > held.fencing_token
                else None
            ),
            "a newer token",
        )  # fmt: skip
        await fleet.check_holder_continues(after, fleet.lease_s)
        fleet.check()


@on_loop
async def test_a_holder_keeps_the_lease_when_its_connection_is_reset(tmp_path: Path) -> None:
    async with zookeeper_fleet(tmp_path) as (fleet, zookeeper):
        held = await fleet.wait_for_holder()
        for _ in range(3):
            session = await call(zookeeper, lambda: owner(fleet, zookeeper))
            await call(zookeeper, lambda session=session: zookeeper.ensemble.disrupt_session(session.id))  # type: ignore[misc]
            await fleet.check_holder_continues(held, fleet.lease_s / 2)
        fleet.check()


@on_loop
async def test_a_lease_is_acquired_after_responses_to_executed_requests_were_lost(tmp_path: Path) -> None:
    """For three leases the service executes writes of all gateways, but the connection ends before the response."""
    async with zookeeper_fleet(tmp_path) as (fleet, zookeeper):
        held = await fleet.wait_for_holder()

        def lose_responses() -> None:
            for session in zookeeper.ensemble.sessions.values():
                session.lose_next_reply = True

        await fleet.kill(held.gateway)
        end_us = now_us() + 3 * LEASE_MS * 1000
        while now_us() < end_us:
            await call(zookeeper, lose_responses)
            await asyncio.sleep(0.05)
        after = await fleet.wait_for_holder(after_us=end_us)
        assert after.fencing_token > held.fencing_token
        await fleet.check_holder_continues(after, fleet.lease_s)
        fleet.check()


@on_loop
async def test_tokens_do_not_decrease_after_the_service_was_restored_from_an_older_state(
    tmp_path: Path,
) -> None:
    """No gateway holds the lease during the outage; the service's last changes, including the node, are lost."""
    async with zookeeper_fleet(tmp_path) as (fleet, zookeeper):
        held = await fleet.wait_for_holder()
        changes = len(zookeeper.ensemble.log)
        await call(zookeeper, zookeeper.ensemble.stop)
        await fleet.wait_for(lambda: now_us() - fleet.acts[-1].at_us > LEASE_MS * 1000, "the holder stops", 10.0)
        await fleet.check_no_acts(fleet.lease_s)
        await call(zookeeper, lambda: zookeeper.ensemble.restart(lost_changes=changes - 4))
        after = await fleet.wait_for_holder(after_us=now_us(), within_s=25.0)
        assert after.gateway < fleet.count and held.fencing_token > 0

        # Receivers reject a token below the newest one they have seen, so a new holder must get above it; the same
        # holder may keep its token.
        def is_above(act: ObservedAct | None) -> bool:
            is_same_holder = act is not None and (act.process_nonce, act.fencing_token) == (
                held.process_nonce,
                held.fencing_token,
            )
            return act is not None and (is_same_holder or act.fencing_token > held.fencing_token)

        await fleet.wait_for(
            lambda: is_above(fleet.mesh.watcher.last_act_of(fleet.role)), "a newer token, or the same holder", 25.0
        )


@on_loop
async def test_a_lease_is_acquired_after_a_leaderless_phase_and_after_all_sessions_expired(tmp_path: Path) -> None:
    async with zookeeper_fleet(tmp_path) as (fleet, zookeeper):
        held = await fleet.wait_for_holder()
        await call(zookeeper, lambda: zookeeper.ensemble.lose_leader(2.0))
        after = await fleet.wait_for_holder(after_us=now_us() + 2_000_000)

        def expire_all() -> None:
            for session in list(zookeeper.ensemble.sessions):
                zookeeper.ensemble.expire(session)

        await call(zookeeper, expire_all)
        last = await fleet.wait_for_holder(after_us=now_us() + 500_000)
        assert last.fencing_token > held.fencing_token and last.fencing_token >= after.fencing_token
        fleet.check()
