"""Quorum leases: real gateways with faults between them, checked against the replies that an external watcher saw.

A lease lasts 0.6 s unless a test sets another duration, so that expiries are frequent.
"""

from __future__ import annotations

import random
import signal
import sys
from pathlib import Path

import pytest

from standins.event_log import now_us
from standins.parties.network import LinkConditions
from tests.fleet.lease_fleet import LeaseFleet, running_lease_fleet
from tests.sockets import on_loop, on_loop_for

pytestmark = pytest.mark.processes


def others(fleet: LeaseFleet, *excluded: int) -> list[int]:
    return [number for number in range(fleet.count) if number not in excluded]


@on_loop
async def test_one_gateway_holds_a_lease_and_another_after_it_was_killed(tmp_path: Path) -> None:
    async with running_lease_fleet(tmp_path) as fleet:
        held = await fleet.wait_for_holder()
        await fleet.check_holder_continues(held, 2 * fleet.lease_s)
        await fleet.kill(held.gateway)
        after = await fleet.wait_for_holder(excluding=held.gateway)
        assert after.fencing_token > held.fencing_token
        fleet.start(held.gateway)
        await fleet.wait_until_ready(held.gateway)
        await fleet.check_holder_continues(after, 2 * fleet.lease_s)
        fleet.check()


@on_loop
async def test_a_holder_that_stalled_for_longer_than_a_lease_stops_acting(tmp_path: Path) -> None:
    """When the holder resumes, its socket buffer is full of reports that it must not answer as the holder."""
    async with running_lease_fleet(tmp_path) as fleet:
        for _ in range(3):
            held = await fleet.wait_for_holder()
            fleet.pause(held.gateway)
            after = await fleet.wait_for_holder(excluding=held.gateway)
            assert after.fencing_token > held.fencing_token
            fleet.resume(held.gateway)
            await fleet.check_holder_continues(after, fleet.lease_s)
        fleet.check()


@on_loop
async def test_a_holder_that_stalled_for_a_third_of_a_lease_keeps_it(tmp_path: Path) -> None:
    async with running_lease_fleet(tmp_path, lease_ms=3_000) as fleet:
        held = await fleet.wait_for_holder()
        fleet.pause(held.gateway)
        await fleet.check_no_acts(0.5)
        fleet.resume(held.gateway)
        await fleet.check_holder_continues(held, 1.0)
        fleet.check()


@on_loop
async def test_a_holder_stops_in_time_when_all_other_gateways_stall(tmp_path: Path) -> None:
    async with running_lease_fleet(tmp_path) as fleet:
        held = await fleet.wait_for_holder()
        fleet.pause(*others(fleet, held.gateway))
        stopped_us = now_us()
        await fleet.wait_for(
            lambda: now_us() - fleet.acts[-1].at_us > 200_000, "the holder stops acting", 4 * fleet.lease_s
        )
        # The limit is one lease by the holder's clock, plus an allowance for the watcher's report and its reply.
        assert fleet.acts[-1].at_us - stopped_us < fleet.lease_ms * 1000 + 100_000
        await fleet.check_no_acts(fleet.lease_s)
        fleet.resume(*others(fleet, held.gateway))
        after = await fleet.wait_for_holder(after_us=now_us())
        assert after.fencing_token > held.fencing_token
        fleet.check()


@on_loop
async def test_a_holder_that_is_cut_off_stops_and_another_gateway_takes_over(tmp_path: Path) -> None:
    async with running_lease_fleet(tmp_path, count=5, voters=5) as fleet:
        held = await fleet.wait_for_holder()
        fleet.partition([held.gateway], others(fleet, held.gateway))
        after = await fleet.wait_for_holder(excluding=held.gateway)
        await fleet.check_holder_continues(after, fleet.lease_s)
        fleet.heal()
        await fleet.check_holder_continues(after, 2 * fleet.lease_s)
        fleet.check()


@pytest.mark.parametrize("can_receive", [True, False])
@on_loop
async def test_a_holder_that_is_cut_off_one_way_stops(tmp_path: Path, can_receive: bool) -> None:
    """The holder can send but not receive, or receive but not send."""
    async with running_lease_fleet(tmp_path, count=5, voters=5) as fleet:
        held = await fleet.wait_for_holder()
        rest = others(fleet, held.gateway)
        if can_receive:
            fleet.partition([held.gateway], rest, one_way=True)
        else:
            fleet.partition(rest, [held.gateway], one_way=True)
        after = await fleet.wait_for_holder(excluding=held.gateway)
        await fleet.check_holder_continues(after, fleet.lease_s)
        fleet.heal()
        await fleet.check_holder_continues(after, fleet.lease_s)
        fleet.check()


@on_loop
async def test_the_holder_is_in_the_partition_with_a_majority_of_voters(tmp_path: Path) -> None:
    async with running_lease_fleet(tmp_path, count=6, voters=5) as fleet:
        await fleet.wait_for_holder()
        minority, majority = [0, 1, 5], [2, 3, 4]
        for first, second in ((minority, majority), ([0, 3, 4], [1, 2, 5])):
            fleet.partition(first, second)
            voters = {number for number in first if number < fleet.voters}
            winners = first if len(voters) >= 3 else second
            await fleet.wait_for(
                lambda winners=winners: (  # type: ignore[misc]
                    (act := fleet.mesh.watcher.last_act_of(fleet.role)) is not None
                    and act.gateway in winners and now_us() - act.at_us < 50_000
                ),
                f"one of {winners} holds",
            )  # fmt: skip
            # Voters may have promised higher ballots to the other partition, so that a renewal needs a new token.
            held = await fleet.wait_for_holder(after_us=now_us() + 2 * fleet.lease_ms * 1000)
            assert held.gateway in winners
            await fleet.check_holder_continues(held, 2 * fleet.lease_s)
            fleet.heal()
        fleet.check()


@on_loop
async def test_a_bridge_between_two_partitions_makes_no_second_holder(tmp_path: Path) -> None:
    """Gateway 2 reaches both halves, which do not reach each other; each half has a majority together with it."""
    async with running_lease_fleet(tmp_path, count=5, voters=5) as fleet:
        await fleet.wait_for_holder()
        fleet.partition([0, 1], [3, 4])
        await fleet.wait_for_holder(after_us=now_us() + 2 * fleet.lease_ms * 1000)
        fleet.check()
        fleet.heal()
        fleet.check()


@on_loop
async def test_voters_that_are_killed_in_turn_within_a_lease_do_not_vote_twice(tmp_path: Path) -> None:
    """A restarted voter has lost the leases that it had accepted. Two of the five gateways are not voters."""
    async with running_lease_fleet(tmp_path, count=5, voters=3) as fleet:
        await fleet.wait_for_holder()
        for voter in (0, 1, 2, 0, 1, 2):
            await fleet.kill(voter)
            fleet.start(voter)
        await fleet.wait_until_ready(0, 1, 2)
        await fleet.wait_for_holder(after_us=now_us())
        fleet.check()


@on_loop
async def test_tokens_increase_when_every_gateway_is_restarted_at_once(tmp_path: Path) -> None:
    async with running_lease_fleet(tmp_path) as fleet:
        held = await fleet.wait_for_holder()
        await fleet.kill(0, 1, 2)
        fleet.start(0, 1, 2)
        await fleet.wait_until_ready(0, 1, 2)
        after = await fleet.wait_for_holder(after_us=held.at_us + fleet.lease_ms * 1000)
        assert after.fencing_token > held.fencing_token
        fleet.check()


@on_loop
async def test_a_fleet_restarted_with_clocks_an_hour_back_continues_above_the_rejected_token(tmp_path: Path) -> None:
    """No gateway stores the last token, and the clocks yield a lower one, which the watcher's fencing check rejects.

    The notice of the rejected reply carries the newest token, and the holder continues above it.
    """
    async with running_lease_fleet(tmp_path) as fleet:
        held = await fleet.wait_for_holder()
        await fleet.kill(0, 1, 2)
        for gateway in fleet.gateways:
            gateway.command = (sys.executable, "-m", "tests.fleet.clocks", "wall=-3600", *gateway.command[2:])
        fleet.start(0, 1, 2)
        await fleet.wait_until_ready(0, 1, 2)
        first = await fleet.wait_for_holder(after_us=fleet.all_down_at_us[-1])
        assert first.fencing_token < held.fencing_token  # otherwise the test exercises nothing
        await fleet.wait_for(
            lambda: (act := fleet.mesh.watcher.last_act_of(fleet.role)) and act.fencing_token > held.fencing_token,
            "a token above the rejected one",
        )
        await fleet.check_holder_continues(await fleet.wait_for_holder(after_us=now_us()), fleet.lease_s)
        fleet.check()


@on_loop_for(3.0)  # with a third of the datagrams lost, elections take a random time; each wait has its own limit
async def test_datagrams_that_are_lost_duplicated_late_truncated_and_corrupted_make_no_second_holder(
    tmp_path: Path,
) -> None:
    async with running_lease_fleet(tmp_path, count=5, voters=5) as fleet:
        await fleet.wait_for_holder()
        fleet.mesh.set_conditions(
            LinkConditions(
                delay_us=1_000, jitter_us=30_000, loss=0.3, duplicate=0.2, delayed=0.1, extra_delay_us=1_500_000,
                truncated=0.02, corrupted=0.02,
            )
        )  # fmt: skip
        rng = random.Random(5)
        for _ in range(4):
            held = await fleet.wait_for_holder(after_us=now_us())
            number = rng.choice([held.gateway, rng.randrange(fleet.count)])
            fleet.pause(number)
            await fleet.wait_for(
                lambda number=number: (  # type: ignore[misc]
                    (act := fleet.mesh.watcher.last_act_of(fleet.role)) is not None and act.gateway != number
                ),
                f"a gateway other than n{number} holds",
            )  # fmt: skip
            fleet.resume(number)
        fleet.mesh.set_conditions(LinkConditions())
        await fleet.wait_for_holder(after_us=now_us())
        fleet.check()


@on_loop
async def test_operators_hand_a_lease_over_at_once_and_exclude_a_gateway(tmp_path: Path) -> None:
    async with running_lease_fleet(tmp_path, lease_ms=10_000) as fleet:
        held = await fleet.wait_for_holder(within_s=28.0)
        shown = await fleet.read_state(held.gateway)
        (name,) = [lease["duty"] for lease in shown["duties"]]
        assert (await fleet.send_command(held.gateway, f"HANDON {name}")).startswith("ACK handed on to gateway")
        after = await fleet.wait_for_holder(excluding=held.gateway, within_s=7.0)  # before the lease expires
        assert after.fencing_token > held.fencing_token
        assert (await fleet.send_command(held.gateway, f"HANDON {name}")).startswith("NAK")
        assert (await fleet.send_command(after.gateway, "KEEPOFF")).startswith("ACK")
        last = await fleet.wait_for_holder(excluding=after.gateway, within_s=7.0)
        await fleet.check_holder_continues(last, 0.5)
        assert (await fleet.read_state(after.gateway))["kept_off"]
        fleet.check()


@on_loop
async def test_a_handover_to_an_unresponsive_successor_leaves_the_lease_to_others(tmp_path: Path) -> None:
    """The handover is aborted: there is at most one holder at any time, and soon another gateway is the holder."""
    async with running_lease_fleet(tmp_path, count=5, voters=3, lease_ms=1_000) as fleet:
        held = await fleet.wait_for_holder()
        shown = await fleet.read_state(held.gateway)
        (name,) = [lease["duty"] for lease in shown["duties"]]
        fleet.partition([held.gateway], [number for number in others(fleet, held.gateway) if number >= 3])
        answer = await fleet.send_command(held.gateway, f"HANDON {name}")
        assert answer.startswith("ACK")
        successor = int(answer.split()[-1])
        if successor < fleet.count:
            fleet.pause(successor)
        await fleet.wait_for_holder(excluding=held.gateway, after_us=now_us())
        if successor < fleet.count:
            fleet.resume(successor)
        fleet.heal()
        await fleet.wait_for_holder(after_us=now_us())
        fleet.check()


@on_loop
async def test_a_graceful_shutdown_frees_the_lease_before_it_expires(tmp_path: Path) -> None:
    """The others request the lease from the shutdown on, so that no backoff after an earlier attempt delays them."""
    async with running_lease_fleet(tmp_path, lease_ms=5_000) as fleet:
        leaving, *successors = range(fleet.count)
        for number in successors:
            assert (await fleet.send_command(number, "KEEPOFF")).startswith("ACK")
        held = await fleet.wait_for_holder()
        assert held.gateway == leaving
        fleet.send_signal(leaving, signal.SIGTERM)
        for number in successors:
            assert (await fleet.send_command(number, "KEEPON")).startswith("ACK")
        after = await fleet.wait_for_holder(excluding=leaving)
        acted = [act for act in fleet.acts if act.gateway == leaving]
        assert after.at_us - acted[-1].at_us < 2_500_000  # half a lease: its release was received
        fleet.check()


@on_loop
async def test_an_upgrade_has_one_voter_and_one_holder_at_a_time(tmp_path: Path) -> None:
    """Two processes of the same gateway run at once; the old one keeps the socket until it exits."""
    async with running_lease_fleet(tmp_path) as fleet:
        held = await fleet.wait_for_holder()
        await fleet.gateways[held.gateway].upgrade()
        await fleet.wait_for_holder(after_us=now_us())
        fleet.check()


@pytest.mark.parametrize("hours", [-1, 1])
@on_loop
async def test_a_gateway_restarted_with_its_clock_an_hour_off_uses_no_older_token(tmp_path: Path, hours: int) -> None:
    """The restarted gateway becomes the holder, then another one: neither may act under an older token."""
    async with running_lease_fleet(tmp_path) as fleet:
        held = await fleet.wait_for_holder()
        restarted = held.gateway
        await fleet.kill(restarted)
        gateway = fleet.gateways[restarted]
        gateway.command = (sys.executable, "-m", "tests.fleet.clocks", f"wall={hours * 3600}", *gateway.command[2:])
        after = await fleet.wait_for_holder(excluding=restarted)
        fleet.start(restarted)
        await fleet.wait_until_ready(restarted)
        for number in others(fleet, restarted):
            assert (await fleet.send_command(number, "KEEPOFF")).startswith("ACK")
        # The first excluded gateway may hand over to the second one before the second one is excluded, too.
        second = await fleet.wait_for(
            lambda: act if (act := fleet.mesh.watcher.last_act_of(fleet.role)) and act.gateway == restarted else None,
            f"n{restarted} holds",
        )  # fmt: skip
        assert second.fencing_token > after.fencing_token
        for number in others(fleet, restarted):
            assert (await fleet.send_command(number, "KEEPON")).startswith("ACK")
        assert (await fleet.send_command(restarted, "KEEPOFF")).startswith("ACK")
        last = await fleet.wait_for_holder(excluding=restarted)
        assert last.fencing_token > second.fencing_token
        fleet.check()


@on_loop
async def test_clocks_that_run_fast_and_slow_make_no_second_holder(tmp_path: Path) -> None:
    async with running_lease_fleet(tmp_path, starts=False) as fleet:
        for number, rate in enumerate((0.999, 1.001, 1.0)):
            gateway = fleet.gateways[number]
            gateway.command = (sys.executable, "-m", "tests.fleet.clocks", f"rate={rate}", *gateway.command[2:])
        fleet.start(0, 1, 2)
        await fleet.wait_until_ready(0, 1, 2)
        for _ in range(2):
            held = await fleet.wait_for_holder(after_us=now_us())
            fleet.pause(held.gateway)
            await fleet.wait_for_holder(excluding=held.gateway)
            fleet.resume(held.gateway)
        fleet.check()
