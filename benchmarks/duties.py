"""Measures leased roles of real gateways: mutual exclusion under random faults, time without a holder, and traffic.

    .venv-dev/bin/python -m benchmarks.duties schedules [--count 300] [--first 1] [--workers 6] [--json FILE]
        [--store peers|ephemeral]
    .venv-dev/bin/python -m benchmarks.duties gaps [--each 20] [--workers 6] [--json FILE]
    .venv-dev/bin/python -m benchmarks.duties quiet [--minutes 10]
    .venv-dev/bin/python -m benchmarks.duties cost

`schedules`: five to nine real gateways and three leased roles each. A seed draws stalls, kills, partitions, datagram
faults and clock errors; the acts (replies of lease holders) that an outside observer received are checked. A schedule
with a violation is printed with its timeline, and can be run again with --first.
`gaps`: the time from the last act of a holder that is killed, stalled, partitioned or terminated, or that hands the
lease over, to the first act of the next holder.
`quiet`: without faults the lease must keep its holder.
`cost`: datagrams and bytes by size of the fleet, measured on the pure modules with a simulated clock.

Exit code 0: no violation was found; 1 otherwise.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import random
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import uvloop

from cloverkeel.leases.acceptor import Acceptor
from cloverkeel.leases.ballots import REFERENCE_TIME_US, BallotClock
from cloverkeel.leases.lease_config import LeaseConfig
from cloverkeel.leases.manager import LeaseManager
from cloverkeel.leases.messages import encode
from cloverkeel.leases.process import ProcessId
from cloverkeel.leases.slow_start_quotas import SlowStartBudgets
from standins.event_log import now_us
from standins.parties.network import LinkConditions
from standins.parties.zookeeper.threaded import ThreadedEnsemble
from tests.fleet.lease_fleet import LeaseFleet, running_lease_fleet

LEASE_MS = 600
FAULTS_PER_SCHEDULE = 8
SERVICE_FAULT_KINDS = ("no-leader", "service-down", "expire", "sever", "lost-answers")  # of the coordination service
FAULT_KINDS = ("stop", "stop", "kill", "kill", "cut", "cut", "one-way", "halves", "lossy", "restart-all", "hand")


@dataclass
class ScheduleResult:
    """The outcome of one schedule of faults."""

    seed: int
    violations: list[str] = field(default_factory=list)
    holder_count: int = 0  # different fencing tokens in the acts
    act_count: int = 0
    faults: list[str] = field(default_factory=list)
    timeline: str = ""


async def inject_fault(fleet: LeaseFleet, rng: random.Random, kind: str) -> None:
    """Inject a fault of this kind, more often at the lease holder than elsewhere; most faults end before return."""
    numbers = list(range(fleet.count))
    act = fleet.mesh.watcher.last_act_of(fleet.role)
    holder = act.gateway if act is not None and act.gateway < fleet.count else rng.choice(numbers)
    target = holder if rng.random() < 0.6 else rng.choice(numbers)
    if kind == "stop":
        targets = [target] if rng.random() < 0.6 else rng.sample(numbers, rng.randint(1, fleet.count - 1))
        fleet.pause(*targets)
        fraction = rng.choice((0.1, 0.9, 1.01, 1.3, rng.uniform(0.1, 5.0)))
        await asyncio.sleep(fraction * fleet.lease_s)
        fleet.resume(*targets)
    elif kind in ("kill", "restart-all"):
        targets = numbers if kind == "restart-all" else rng.sample(numbers, rng.randint(1, 3))
        await fleet.kill(*targets)
        await asyncio.sleep(rng.choice((0.0, 0.0, rng.uniform(0, 1.5))))
        fleet.start(*targets)
    elif kind in ("cut", "one-way"):
        fleet.partition([target], [n for n in numbers if n != target], one_way=kind == "one-way")
        await asyncio.sleep(rng.uniform(0.2, 2.5))
        fleet.heal()
    elif kind == "halves":
        first_part = rng.sample(numbers, fleet.count // 2)
        second_part = [n for n in numbers if n not in first_part]
        if rng.random() < 0.5:
            second_part = second_part[1:]  # one gateway still reaches both parts
        fleet.partition(first_part, second_part)
        await asyncio.sleep(rng.uniform(0.3, 2.5))
        fleet.heal()
    elif kind == "lossy":
        fleet.note("lossy")
        fleet.mesh.set_conditions(
            LinkConditions(
                jitter_us=rng.randrange(100_000), loss=rng.choice((0.05, 0.3)), duplicate=0.2, delayed=0.1,
                extra_delay_us=rng.randrange(5_000_000), truncated=0.02, corrupted=0.02,
            )
        )  # fmt: skip
        await asyncio.sleep(rng.uniform(0.3, 2.0))
        if rng.random() < 0.5:
            fleet.mesh.set_conditions(LinkConditions())
    elif kind in SERVICE_FAULT_KINDS:
        await inject_service_fault(fleet, rng, kind)
    else:
        response = await fleet.send_command(target, "DUTIES")
        if response.startswith("ACK {"):
            for lease in json.loads(response[4:])["duties"]:
                await fleet.send_command(target, f"HANDON {lease['duty']}")


async def inject_service_fault(fleet: LeaseFleet, rng: random.Random, kind: str) -> None:
    """Inject a fault of the coordination service or of some of its sessions."""
    threaded_ensemble = fleet.zookeeper
    assert threaded_ensemble is not None
    ensemble, run_in_executor = threaded_ensemble.ensemble, asyncio.get_running_loop().run_in_executor
    fleet.note(kind)

    def affect_sessions() -> None:
        for session in rng.sample(sorted(ensemble.sessions), min(2, len(ensemble.sessions))):
            if kind == "expire":
                ensemble.expire(session)
            elif kind == "sever":
                ensemble.disrupt_session(session, rng.choice(("reset", "in", "out", "both")))
            else:
                ensemble.sessions[session].lose_next_reply = True

    if kind == "no-leader":
        await run_in_executor(None, threaded_ensemble.call, lambda: ensemble.lose_leader(rng.uniform(0.2, 2.0)))
    elif kind == "service-down":
        await run_in_executor(None, threaded_ensemble.call, ensemble.stop)
        await asyncio.sleep(rng.uniform(0.2, 2.0))
        await run_in_executor(None, threaded_ensemble.call, ensemble.restart)
    else:
        if kind == "expire":
            fleet.forced_expiries_us.append(now_us())
        await run_in_executor(None, threaded_ensemble.call, affect_sessions)


async def run_lease_schedule(
    seed: int, folder: Path, store: str, before_start: Callable[[LeaseFleet], None] = lambda fleet: None
) -> ScheduleResult:
    """Inject the faults that a seed draws; `before_start` may change the gateways before their processes start."""
    rng = random.Random(f"duties/{seed}")
    count, result = rng.randint(5, 9), ScheduleResult(seed)
    voters = rng.choice((3, 5))
    threaded_ensemble = ThreadedEnsemble(servers=3, timeouts_ms=(200, 40_000)) if store == "ephemeral" else None
    kinds = FAULT_KINDS + SERVICE_FAULT_KINDS if threaded_ensemble is not None else FAULT_KINDS
    async with running_lease_fleet(
        folder, count=count, voters=voters, lease_ms=LEASE_MS, starts=False, zookeeper=threaded_ensemble,
        slow_start_host_count=3,
    ) as fleet:  # fmt: skip
        for gateway in fleet.gateways:
            clock_argument = rng.choice(("", "", "rate=0.999", "rate=1.001", f"wall={rng.uniform(-3600, 3600):.0f}"))
            if clock_argument:
                gateway.command = (sys.executable, "-m", "tests.fleet.clocks", clock_argument, *gateway.command[2:])
        before_start(fleet)
        fleet.start(*range(count))
        await fleet.wait_until_ready(*range(count))
        await fleet.wait_for_holder()
        for _ in range(FAULTS_PER_SCHEDULE):
            kind = rng.choice(kinds)
            result.faults.append(kind)
            await inject_fault(fleet, rng, kind)
            await asyncio.sleep(rng.choice((0.0, 0.1, rng.uniform(0, 1.0))))
        fleet.mesh.set_conditions(LinkConditions())
        fleet.heal()
        await fleet.wait_until_ready(*range(count))
        try:
            await fleet.wait_for_holder(after_us=now_us(), within_s=30.0)
        except AssertionError as error:
            result.violations.append(f"no gateway holds the lease after all faults have ended: {error}")
        violations = fleet.find_violations()
        result.violations += [
            f"{violation.description}: {violation.act} after {violation.earlier}" for violation in violations
        ]
        result.violations += [line for gateway in fleet.gateways for line in gateway.defect_lines()]
        result.holder_count, result.act_count = (
            len({(act.role, act.fencing_token) for act in fleet.acts}),
            len(fleet.acts),
        )
        if result.violations:
            result.timeline = fleet.timeline()
    if threaded_ensemble is not None:
        threaded_ensemble.close()
    return result


GAP_CAUSES = ("kill", "stall", "cut", "hand-over", "planned end")


async def measure_gap(cause: str, seed: int, folder: Path) -> float:
    """Return the time without a holder, in seconds, after this cause."""
    async with running_lease_fleet(folder, count=5, voters=5, lease_ms=1_000) as fleet:
        await asyncio.sleep(0.5 + random.Random(seed).random())
        previous_act = await fleet.wait_for_holder()
        if cause == "kill":
            await fleet.kill(previous_act.gateway)
        elif cause == "stall":
            fleet.pause(previous_act.gateway)
        elif cause == "cut":
            fleet.partition([previous_act.gateway], [n for n in range(fleet.count) if n != previous_act.gateway])
        elif cause == "planned end":
            import signal

            fleet.send_signal(previous_act.gateway, signal.SIGTERM)
        else:
            (lease_name,) = [lease["duty"] for lease in (await fleet.read_state(previous_act.gateway))["duties"]]
            assert (await fleet.send_command(previous_act.gateway, f"HANDON {lease_name}")).startswith("ACK")
        next_act = await fleet.wait_for_holder(excluding=previous_act.gateway)
        last_us = max(act.at_us for act in fleet.acts if act.fencing_token == previous_act.fencing_token)
        assert not fleet.find_violations()
        if cause == "stall":
            fleet.resume(previous_act.gateway)
        first_us = min(act.at_us for act in fleet.acts if act.fencing_token == next_act.fencing_token)
        return (first_us - last_us) / 1e6


def run_schedule(seed: int, store: str) -> ScheduleResult:
    """Run a schedule in a worker process."""
    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run_lease_schedule(seed, Path(folder), store))


def run_gap(cause: str, seed: int) -> float:
    """Measure a gap in a worker process."""
    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(measure_gap(cause, seed, Path(folder)))


async def count_tokens_without_faults(minutes: float, folder: Path) -> int:
    """Return the number of different fencing tokens in the acts while there is no fault."""
    async with running_lease_fleet(folder, count=5, voters=5, lease_ms=3_000) as fleet:
        await fleet.wait_for_holder()
        await asyncio.sleep(10.0)
        first = len(fleet.acts)
        end = time.monotonic() + minutes * 60
        while time.monotonic() < end:
            await asyncio.sleep(1.0)
        return len({act.fencing_token for act in fleet.acts[first:]})


def measure_traffic(gateways: int, warming_host_count: int, seconds: int = 20) -> tuple[float, float]:
    """Return datagrams and bytes per second and gateway; each warming host is listed by at most three gateways."""
    rng, config, at_us = random.Random(1), LeaseConfig(min(5, gateways), 3_000_000), REFERENCE_TIME_US + 10**12
    managers: list[LeaseManager] = []
    budgets: list[SlowStartBudgets] = []
    for number in range(gateways):
        ballot_clock = BallotClock(number, number)
        budget = SlowStartBudgets(lambda *arguments: None)
        manager = LeaseManager(
            ProcessId(number, number), gateways, config, lambda line: None, rng.random, ballot_clock
        )
        if number < config.voters:
            manager.acceptor = Acceptor(at_us - 10**7, config, ballot_clock)
        managers.append(manager)
        budgets.append(budget)
    gateways_by_host = [rng.sample(range(gateways), min(gateways, 3)) for _ in range(warming_host_count)]
    datagram_count = byte_count = 0
    warm_up_s = 5
    for step_index in range((seconds + warm_up_s) * 20):
        at_us += 50_000
        for number, manager in enumerate(managers):
            if step_index % 2 == 0:
                demands = [
                    (h, 1, rng.random() < 0.5, rng.random() < 0.5)
                    for h in range(warming_host_count)
                    if number in gateways_by_host[h]
                ]
                budgets[number].update(at_us, demands, manager)
            manager.tick(at_us)
        while any(manager.outbox.messages for manager in managers):
            for manager in managers:
                for item in manager.outbox.take_messages():
                    if item.to != manager.process.gateway and step_index >= warm_up_s * 20:
                        datagram_count, byte_count = (
                            datagram_count + 1,
                            byte_count + len(encode(manager.header(), item.message)),
                        )
                    managers[item.to].receive(at_us, manager.header(), item.message)
    return datagram_count / seconds / gateways, byte_count / seconds / gateways


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the value below which this fraction of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def main() -> int:
    """Run the chosen measurement and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", choices=("schedules", "gaps", "quiet", "cost"))
    parser.add_argument("--count", type=int, default=300)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--store", choices=("peers", "ephemeral"), default="peers")
    parser.add_argument("--each", type=int, default=20)
    parser.add_argument("--minutes", type=float, default=10.0)
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    if options.what == "cost":
        for gateways, warming_host_count in ((5, 3), (40, 20), (200, 100)):
            rate, byte_count = measure_traffic(gateways, warming_host_count)
            print(
                f"{gateways} gateways, {warming_host_count} warming hosts: "
                f"{rate:.1f} datagrams, {byte_count:.0f} bytes per second and gateway"
            )
        return 0
    if options.what == "quiet":
        with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            token_count = runner.run(count_tokens_without_faults(options.minutes, Path(folder)))
        print(f"{token_count} fencing tokens in {options.minutes:g} minutes without faults")
        return int(token_count != 1)
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(options.workers, context) as pool:
        if options.what == "gaps":
            futures_by_cause = {
                kind: [pool.submit(run_gap, kind, n) for n in range(options.each)] for kind in GAP_CAUSES
            }
            gaps_by_cause = {
                kind: [future.result() for future in futures] for kind, futures in futures_by_cause.items()
            }
            for kind, values in gaps_by_cause.items():
                print(f"{kind}: median {quantile(values, 0.5):.2f} s, p99 {quantile(values, 0.99):.2f} s, "
                      f"maximum {max(values):.2f} s, lease 1 s, {len(values)} runs")  # fmt: skip
            if options.json is not None:
                options.json.write_text(json.dumps(gaps_by_cause) + "\n")
            return 0
        seeds = range(options.first, options.first + options.count)
        results = list(pool.map(run_schedule, seeds, [options.store] * options.count))
    failed_results = [result for result in results if result.violations]
    for result in failed_results:
        print(f"seed {result.seed}: {result.violations[:3]}\n{result.timeline}")
    holders, acts = sum(p.holder_count for p in results), sum(p.act_count for p in results)
    print(f"{len(results) - len(failed_results)} of {len(results)} schedules without a violation; "
          f"{holders} holders, {acts} acts, {len(results) * FAULTS_PER_SCHEDULE} faults")  # fmt: skip
    if options.json is not None:
        options.json.write_text(
            json.dumps([{"seed": p.seed, "wrong": p.violations, "holders": p.holder_count} for p in results])
        )
    return 1 if failed_results else 0


if __name__ == "__main__":
    raise SystemExit(main())
