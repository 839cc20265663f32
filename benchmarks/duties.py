"""Duties by lease, measured: never two under drawn schedules of faults, time without a holder, and what it costs.

    .venv-dev/bin/python -m benchmarks.duties schedules [--count 300] [--first 1] [--workers 6] [--json FILE]
        [--store peers|ephemeral]
    .venv-dev/bin/python -m benchmarks.duties gaps [--each 20] [--workers 6] [--json FILE]
    .venv-dev/bin/python -m benchmarks.duties quiet [--minutes 10]
    .venv-dev/bin/python -m benchmarks.duties cost

`schedules`: five to nine real gateways each, three duties; stalls, kills, cuts, datagram faults and clocks drawn by a
seed, judged by what a party outside saw; one that fails is printed with its time line, and plays again with --first.
`gaps`: from the last act of a holder that is killed, stopped, cut off or handed on to the first of the next one.
`quiet`: nothing is wrong, and nothing changes. `cost`: datagrams by fleet, of the pure parts on a simulated clock.

Exit code 0: nothing was found; 1 otherwise.
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
FAULTS = 8  # in one schedule
SERVICE = ("no-leader", "service-down", "expire", "sever", "lost-answers")  # faults of the coordination service
KINDS = ("stop", "stop", "kill", "kill", "cut", "cut", "one-way", "halves", "lossy", "restart-all", "hand")


@dataclass
class Played:
    """What came of one schedule."""

    seed: int
    wrong: list[str] = field(default_factory=list)
    holders: int = 0  # epochs that were seen
    acts: int = 0
    faults: list[str] = field(default_factory=list)
    timeline: str = ""


async def one_fault(fleet: LeaseFleet, dice: random.Random, kind: str) -> None:
    numbers = list(range(fleet.count))
    act = fleet.mesh.watcher.last_act_of(fleet.role)
    holder = act.gateway if act is not None and act.gateway < fleet.count else dice.choice(numbers)
    chosen = holder if dice.random() < 0.6 else dice.choice(numbers)
    if kind == "stop":
        few = [chosen] if dice.random() < 0.6 else dice.sample(numbers, dice.randint(1, fleet.count - 1))
        fleet.pause(*few)
        share = dice.choice((0.1, 0.9, 1.01, 1.3, dice.uniform(0.1, 5.0)))
        await asyncio.sleep(share * fleet.lease_s)
        fleet.resume(*few)
    elif kind in ("kill", "restart-all"):
        few = numbers if kind == "restart-all" else dice.sample(numbers, dice.randint(1, 3))
        await fleet.kill(*few)
        await asyncio.sleep(dice.choice((0.0, 0.0, dice.uniform(0, 1.5))))
        fleet.start(*few)
    elif kind in ("cut", "one-way"):
        fleet.partition([chosen], [n for n in numbers if n != chosen], one_way=kind == "one-way")
        await asyncio.sleep(dice.uniform(0.2, 2.5))
        fleet.heal()
    elif kind == "halves":
        half = dice.sample(numbers, fleet.count // 2)
        rest = [n for n in numbers if n not in half]
        if dice.random() < 0.5:
            rest = rest[1:]  # one that hears both
        fleet.partition(half, rest)
        await asyncio.sleep(dice.uniform(0.3, 2.5))
        fleet.heal()
    elif kind == "lossy":
        fleet.note("lossy")
        fleet.mesh.set_conditions(
            LinkConditions(
                jitter_us=dice.randrange(100_000), loss=dice.choice((0.05, 0.3)), duplicate=0.2, delayed=0.1,
                extra_delay_us=dice.randrange(5_000_000), truncated=0.02, corrupted=0.02,
            )
        )  # fmt: skip
        await asyncio.sleep(dice.uniform(0.3, 2.0))
        if dice.random() < 0.5:
            fleet.mesh.set_conditions(LinkConditions())
    elif kind in SERVICE:
        await service_fault(fleet, dice, kind)
    else:
        said = await fleet.send_command(chosen, "DUTIES")
        if said.startswith("ACK {"):
            for duty in json.loads(said[4:])["duties"]:
                await fleet.send_command(chosen, f"HANDON {duty['duty']}")


async def service_fault(fleet: LeaseFleet, dice: random.Random, kind: str) -> None:
    keeper = fleet.zookeeper
    assert keeper is not None
    ensemble, run = keeper.ensemble, asyncio.get_running_loop().run_in_executor
    fleet.note(kind)

    def some() -> None:
        for session in dice.sample(sorted(ensemble.sessions), min(2, len(ensemble.sessions))):
            if kind == "expire":
                ensemble.expire(session)
            elif kind == "sever":
                ensemble.disrupt_session(session, dice.choice(("reset", "in", "out", "both")))
            else:
                ensemble.sessions[session].lose_next_reply = True

    if kind == "no-leader":
        await run(None, keeper.call, lambda: ensemble.lose_leader(dice.uniform(0.2, 2.0)))
    elif kind == "service-down":
        await run(None, keeper.call, ensemble.stop)
        await asyncio.sleep(dice.uniform(0.2, 2.0))
        await run(None, keeper.call, ensemble.restart)
    else:
        if kind == "expire":
            fleet.forced_expiries_us.append(now_us())
        await run(None, keeper.call, some)


async def schedule(
    seed: int, folder: Path, store: str, before_start: Callable[[LeaseFleet], None] = lambda fleet: None
) -> Played:
    """Play the faults that a seed draws; `before_start` may change the gateways before their processes start."""
    dice = random.Random(f"duties/{seed}")
    count, played = dice.randint(5, 9), Played(seed)
    voters = dice.choice((3, 5))
    keeper = ThreadedEnsemble(servers=3, timeouts_ms=(200, 40_000)) if store == "ephemeral" else None
    kinds = KINDS + SERVICE if keeper is not None else KINDS
    async with running_lease_fleet(
        folder, count=count, voters=voters, lease_ms=LEASE_MS, starts=False, zookeeper=keeper, slow_start_host_count=3
    ) as fleet:  # fmt: skip
        for gateway in fleet.gateways:
            word = dice.choice(("", "", "rate=0.999", "rate=1.001", f"wall={dice.uniform(-3600, 3600):.0f}"))
            if word:
                gateway.command = (sys.executable, "-m", "tests.fleet.clocks", word, *gateway.command[2:])
        before_start(fleet)
        fleet.start(*range(count))
        await fleet.wait_until_ready(*range(count))
        await fleet.wait_for_holder()
        for _ in range(FAULTS):
            kind = dice.choice(kinds)
            played.faults.append(kind)
            await one_fault(fleet, dice, kind)
            await asyncio.sleep(dice.choice((0.0, 0.1, dice.uniform(0, 1.0))))
        fleet.mesh.set_conditions(LinkConditions())
        fleet.heal()
        await fleet.wait_until_ready(*range(count))
        try:
            await fleet.wait_for_holder(after_us=now_us(), within_s=30.0)
        except AssertionError as error:
            played.wrong.append(f"nobody holds after all is healed: {error}")
        found = fleet.find_violations()
        played.wrong += [f"{wrong.what}: {wrong.act} after {wrong.earlier}" for wrong in found]
        played.wrong += [fault for gateway in fleet.gateways for fault in gateway.defect_lines()]
        played.holders, played.acts = len({(act.role, act.fencing_token) for act in fleet.acts}), len(fleet.acts)
        if played.wrong:
            played.timeline = fleet.timeline()
    if keeper is not None:
        keeper.close()
    return played


GAPS = ("kill", "stall", "cut", "hand-over", "planned end")


async def gap(kind: str, seed: int, folder: Path) -> float:
    """Seconds without a holder."""
    async with running_lease_fleet(folder, count=5, voters=5, lease_ms=1_000) as fleet:
        await asyncio.sleep(0.5 + random.Random(seed).random())
        held = await fleet.wait_for_holder()
        if kind == "kill":
            await fleet.kill(held.gateway)
        elif kind == "stall":
            fleet.pause(held.gateway)
        elif kind == "cut":
            fleet.partition([held.gateway], [n for n in range(fleet.count) if n != held.gateway])
        elif kind == "planned end":
            import signal

            fleet.send_signal(held.gateway, signal.SIGTERM)
        else:
            (duty,) = [d["duty"] for d in (await fleet.read_state(held.gateway))["duties"]]
            assert (await fleet.send_command(held.gateway, f"HANDON {duty}")).startswith("ACK")
        after = await fleet.wait_for_holder(excluding=held.gateway)
        last = max(act.at_us for act in fleet.acts if act.fencing_token == held.fencing_token)
        assert not fleet.find_violations()
        if kind == "stall":
            fleet.resume(held.gateway)
        first = min(act.at_us for act in fleet.acts if act.fencing_token == after.fencing_token)
        return (first - last) / 1e6


def run_schedule(seed: int, store: str) -> Played:
    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(schedule(seed, Path(folder), store))


def run_gap(kind: str, seed: int) -> float:
    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(gap(kind, seed, Path(folder)))


async def stay_quiet(minutes: float, folder: Path) -> int:
    """How many epochs were seen while nothing was wrong."""
    async with running_lease_fleet(folder, count=5, voters=5, lease_ms=3_000) as fleet:
        await fleet.wait_for_holder()
        await asyncio.sleep(10.0)
        first = len(fleet.acts)
        end = time.monotonic() + minutes * 60
        while time.monotonic() < end:
            await asyncio.sleep(1.0)
        return len({act.fencing_token for act in fleet.acts[first:]})


def cost(gateways: int, colds: int, seconds: int = 20) -> tuple[float, float]:
    """Datagrams and bytes a second for each gateway: each cold host is in reach of three in `gateways` or so."""
    dice, terms, at_us = random.Random(1), LeaseConfig(min(5, gateways), 3_000_000), REFERENCE_TIME_US + 10**12
    managers: list[LeaseManager] = []
    works: list[SlowStartBudgets] = []
    for number in range(gateways):
        counter = BallotClock(number, number)
        work = SlowStartBudgets(lambda *told: None)
        made = LeaseManager(ProcessId(number, number), gateways, terms, lambda line: None, dice.random, counter)
        if number < terms.voters:
            made.acceptor = Acceptor(at_us - 10**7, terms, counter)
        managers.append(made)
        works.append(work)
    users = [dice.sample(range(gateways), min(gateways, 3)) for _ in range(colds)]
    sent = size = 0
    warm = 5
    for step in range((seconds + warm) * 20):
        at_us += 50_000
        for number, made in enumerate(managers):
            if step % 2 == 0:
                needs = [(h, 1, dice.random() < 0.5, dice.random() < 0.5) for h in range(colds) if number in users[h]]
                works[number].update(at_us, needs, made)
            made.tick(at_us)
        while any(made.outbox.messages for made in managers):
            for made in managers:
                for mail in made.outbox.take_messages():
                    if mail.to != made.process.gateway and step >= warm * 20:
                        sent, size = sent + 1, size + len(encode(made.header(), mail.message))
                    managers[mail.to].receive(at_us, made.header(), mail.message)
    return sent / seconds / gateways, size / seconds / gateways


def quantile(values: Sequence[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def main() -> int:
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
        for gateways, colds in ((5, 3), (40, 20), (200, 100)):
            rate, size = cost(gateways, colds)
            print(f"{gateways} gateways, {colds} cold hosts: {rate:.1f} datagrams, {size:.0f} bytes a second each")
        return 0
    if options.what == "quiet":
        with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            epochs = runner.run(stay_quiet(options.minutes, Path(folder)))
        print(f"{epochs} epoch in {options.minutes:g} minutes with nothing wrong")
        return int(epochs != 1)
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(options.workers, context) as pool:
        if options.what == "gaps":
            asked = {kind: [pool.submit(run_gap, kind, n) for n in range(options.each)] for kind in GAPS}
            found = {kind: [future.result() for future in of] for kind, of in asked.items()}
            for kind, values in found.items():
                print(f"{kind}: {quantile(values, 0.5):.2f} s in the median, {quantile(values, 0.99):.2f} at p99, "
                      f"{max(values):.2f} at the most, lease 1 s, {len(values)} times")  # fmt: skip
            if options.json is not None:
                options.json.write_text(json.dumps(found) + "\n")
            return 0
        seeds = range(options.first, options.first + options.count)
        plays = list(pool.map(run_schedule, seeds, [options.store] * options.count))
    wrong = [played for played in plays if played.wrong]
    for played in wrong:
        print(f"seed {played.seed}: {played.wrong[:3]}\n{played.timeline}")
    holders, acts = sum(p.holders for p in plays), sum(p.acts for p in plays)
    print(f"{len(plays) - len(wrong)} of {len(plays)} schedules: never two; {holders} holders, {acts} acts, "
          f"{len(plays) * FAULTS} faults")  # fmt: skip
    if options.json is not None:
        options.json.write_text(json.dumps([{"seed": p.seed, "wrong": p.wrong, "holders": p.holders} for p in plays]))
    return 1 if wrong else 0


if __name__ == "__main__":
    raise SystemExit(main())
