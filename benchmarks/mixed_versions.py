"""Real gateways of two checkouts side by side, with duties and sharing on, and faults between them.

    .venv-dev/bin/python -m benchmarks.mixed_versions --against CHECKOUT [--seed N] [--seconds S]

Every second gateway runs from the other checkout (a folder, or a commit of this repository). Its plays, one after
another, are judged by what parties outside the gateways saw:

`rules`: the scenario `duties` (stalls, kills, cuts, cold hosts that join) with sharing on as well; no rule is broken,
and no cold host is sent more than it can take. `--seconds` is its length.
`leases`: drawn schedules of benchmarks/duties.py; never two holders of a duty, and epochs only grow.
`gossip`: the gateways of each checkout see a host that fails, and those of the other hear of it. Then every third
answer of all hosts is an error while gateways are killed, stopped and cut off: over no stretch are more tokens spent
on further attempts than were earned in it and all gateways together may save up. No datagram is refused.

Exit code: 0 nothing was found, 1 something was (with a time line), 2 the other checkout cannot be used.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import random
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path

import uvloop

from benchmarks.checkout_differential import CheckoutError, open_checkout
from benchmarks.duties import schedule
from cloverkeel.balancing.retry_budget import ERROR_RETRY_COST, RETRY_RATIO
from cloverkeel.gossip.retry_tokens import MAX_SAVED_TOKENS
from standins.checker import Checker
from standins.event_log import ProcessEvent, ResponseReceived
from standins.parties.fleet import Gateway
from standins.parties.mesh import host_number
from standins.playing.environment import Environment
from standins.playing.scenario import load_scenario
from standins.playing.runner import run_scenario
from tests.fleet.lease_fleet import LeaseFleet
from tests.fleet.gossip_fleet import GossipFleet, running_gossip_fleet

SCENARIO = "duties"
LEASE_SCHEDULES = 4  # in one run; which gateways are of the other checkout alternates
GOSSIP_GATEWAYS = 6
GOSSIP_VOTERS = 3
GOSSIP_LEASE_MS = 600
GOSSIP_FAULTS = 5
ERROR_EVERY = 3  # answers of a host
REQUEST_PAUSE_S = 0.01  # of each client: breakers that are open refuse at once
SAMPLE_INTERVAL_S = 0.02
TELLERS = 2  # of a host that fails
REFUSED_DATAGRAMS = (
    "unreadable",
    "unlisted",
    "another number of voters",
)  # why a gateway drops what it could not take
SPREAD_TIMEOUT_S = 30.0


@dataclass
class PlayReport:
    """What was found in one play."""

    name: str
    violations: list[str] = field(default_factory=list)
    figures: str = ""
    timeline: str = ""


def runs_other_checkout(number: int, seed: int) -> bool:
    """Whether this gateway is of the other checkout: every second one, by the seed the even or the odd ones."""
    return number % 2 == seed % 2


def mix_checkouts(gateways: Iterable[Gateway], seed: int, other: Path) -> None:
    for number, gateway in enumerate(gateways):
        if runs_other_checkout(number, seed):
            gateway.checkout = other


async def play_rules(seed: int, seconds: float, other: Path) -> PlayReport:
    """Play the scenario; judge the rules of the wire and the load on cold hosts."""

    def mix_world(world: Environment) -> None:
        mix_checkouts(world.gateways, seed, other)

    scenario = replace(load_scenario(SCENARIO), sharing=True)
    world = await run_scenario(scenario, seed, seconds, mix_world)
    checker = Checker(world.event_log)
    violations = [str(violation) for violation in checker.find_violations()] + world.logged_defects
    answered = sum(1 for _ in world.event_log.events_of(ResponseReceived))
    peak = max(checker.slow_start_peaks.values(), default=0.0)
    figures = f"{answered} requests, a warming host was sent {peak:.0%} of what it can take at the most"
    return PlayReport("rules", violations, figures)


async def play_leases(seed: int, folder: Path, other: Path) -> PlayReport:
    """Play a schedule of faults; judge who held each duty."""

    def mix_fleet(fleet: LeaseFleet) -> None:
        mix_checkouts(fleet.gateways, seed, other)

    played = await schedule(seed, folder, "peers", mix_fleet)
    figures = f"{played.holders} holders, {played.acts} acts, faults {' '.join(played.faults)}"
    return PlayReport("leases", played.wrong, figures, played.timeline)


async def play_gossip(seed: int, folder: Path, other: Path) -> PlayReport:
    """Play faults under load; judge the sum of further attempts and what crosses between the checkouts."""
    numbers = range(GOSSIP_GATEWAYS)
    theirs = [number for number in numbers if runs_other_checkout(number, seed)]
    ours = [number for number in numbers if number not in theirs]
    checkouts = dict.fromkeys(theirs, other)
    report = PlayReport("gossip")
    async with running_gossip_fleet(
        folder, GOSSIP_GATEWAYS, checkouts=checkouts, voters=GOSSIP_VOTERS, lease_ms=GOSSIP_LEASE_MS
    ) as fleet:
        meter = RetryMeter(fleet)
        try:
            await wait_until_all_alive(fleet)
            await hear_of_failures(fleet, 0, ours, theirs)
            await hear_of_failures(fleet, 1, theirs, ours)
            await fail_answers(fleet, random.Random(f"mixed/{seed}"), meter)
            report.violations += meter.judge()
            await wait_until_all_alive(fleet)
            report.violations += await judge_datagrams(fleet)
        except AssertionError as error:  # the fleet's waits raise it, with a time line
            report.violations.append(str(error).partition("\n")[0])
        report.violations += [fault for gateway in fleet.gateways for fault in gateway.defect_lines()]
        report.figures = (
            f"{fleet.request_count} requests, {meter.retries} further attempts, {meter.peak:.1f} tokens spent beyond "
            f"what was earned of {meter.allowance:g} that may be saved up, {meter.moved:.1f} moved between gateways"
        )
        report.timeline = fleet.timeline() if report.violations else ""
    return report


@asynccontextmanager
async def under_load(fleet: GossipFleet, numbers: Iterable[int]) -> AsyncIterator[None]:
    """Send requests to these gateways all the while, also when one is killed and comes back."""

    async def send_requests(number: int) -> None:
        while True:
            try:
                await fleet.send_request(number)
                await asyncio.sleep(REQUEST_PAUSE_S)
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.05)

    tasks = [asyncio.create_task(send_requests(number)) for number in numbers]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def fail_answers(fleet: GossipFleet, rng: random.Random, meter: RetryMeter) -> None:
    """Let all hosts answer with errors now and then, while drawn faults come and go."""
    answer_count = itertools.count()
    for host in range(len(fleet.hosts)):
        fleet.fail(host, lambda number: next(answer_count) % ERROR_EVERY == 0)
    async with under_load(fleet, range(fleet.count)), metered(meter):
        await asyncio.sleep(1.0)
        for _ in range(GOSSIP_FAULTS):
            await inject_fault(fleet, rng)
            await asyncio.sleep(rng.uniform(0.5, 1.5))
        fleet.heal()
        await fleet.wait_until_ready(*range(fleet.count))
        await meter.count_moved()
    for host in range(len(fleet.hosts)):
        fleet.recover(host)


async def inject_fault(fleet: GossipFleet, rng: random.Random) -> None:
    numbers = list(range(fleet.count))
    chosen = rng.sample(numbers, rng.randint(1, fleet.count // 2))
    rest = [number for number in numbers if number not in chosen]
    kind = rng.choice(("kill", "stop", "cut", "one-way cut"))
    if kind == "kill":
        await fleet.kill(*chosen)
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        fleet.start(*chosen)
        await fleet.wait_until_ready(*chosen)
    elif kind == "stop":
        fleet.pause(*chosen)
        await asyncio.sleep(rng.uniform(0.1, 3.0) * fleet.lease_s)
        fleet.resume(*chosen)
    else:
        fleet.partition(chosen, rest, one_way=kind == "one-way cut")
        await asyncio.sleep(rng.uniform(0.3, 2.0))
        fleet.heal()


@dataclass
class RetryMeter:
    """Measures, by what hosts saw, what all gateways together spend on further attempts beyond what they earn."""

    fleet: GossipFleet
    asked: int = 0
    retries: int = 0
    beyond: float = 0.0  # tokens spent beyond what was earned, over the stretch that ends now
    peak: float = 0.0
    moved: float = 0.0  # tokens that gateways say they took from others

    @property
    def allowance(self) -> float:
        """Tokens that all processes so far may have saved up, at the most."""
        return MAX_SAVED_TOKENS * sum(
            process.what == "start" for process in self.fleet.event_log.events_of(ProcessEvent)
        )

    def sample(self) -> None:
        asked = self.fleet.request_count
        _, retries = self.fleet.request_and_retry_counts([0] * len(self.fleet.hosts))
        earned = RETRY_RATIO * (asked - self.asked)
        self.beyond = max(0.0, self.beyond + ERROR_RETRY_COST * (retries - self.retries) - earned)
        self.peak = max(self.peak, self.beyond)
        self.asked, self.retries = asked, retries

    async def count_moved(self) -> None:
        shown = [await self.fleet.read_state(number, "PEERS") for number in range(self.fleet.count)]
        self.moved = sum(one["rights"]["taken"] for one in shown)

    def judge(self) -> list[str]:
        if self.peak <= self.allowance + 1e-6:
            return []
        return [f"{self.peak:.1f} tokens were spent beyond what was earned, {self.allowance:g} may be saved up"]


@asynccontextmanager
async def metered(meter: RetryMeter) -> AsyncIterator[None]:
    async def sample_often() -> None:
        while True:
            meter.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    task = asyncio.create_task(sample_often())
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        meter.sample()


async def wait_until(condition: Callable[[], Awaitable[bool]], what: str, fleet: GossipFleet) -> None:
    """Wait for what gateways say of themselves; raise AssertionError with a time line when it does not come."""
    try:
        async with asyncio.timeout(SPREAD_TIMEOUT_S):
            while not await condition():
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise AssertionError(f"not within {SPREAD_TIMEOUT_S:g} s: {what}\n{fleet.timeline()}") from None


async def wait_until_all_alive(fleet: GossipFleet) -> None:
    async def all_alive() -> bool:
        shown = [await fleet.read_state(number, "PEERS") for number in range(fleet.count)]
        return all(peer["state"] == "alive" for one in shown for peer in one["peers"].values())

    await wait_until(all_alive, "every gateway takes all others for alive", fleet)


async def hear_of_failures(fleet: GossipFleet, host: int, tellers: Sequence[int], hearers: Sequence[int]) -> None:
    """Let a host fail for the tellers: each hearer, which sends it nothing, hears so from several of them.

    It is a host that no teller has had trouble with before: they all send to it, and learn of its failure together.
    """
    host_id = f"{host_number(f's-{host}'):x}"
    informed: set[int] = set()

    async def all_are_informed() -> bool:
        for number in hearers:
            for known in (await fleet.read_state(number, "PEERS"))["hosts"]:
                if known["host"] == host_id and known["tellers"] >= TELLERS:
                    informed.add(number)
        return informed == set(hearers)

    async def none_doubts() -> bool:
        return not any([await fleet.suspects(number, host_id) for number in hearers])

    fleet.fail(host)
    async with under_load(fleet, tellers):
        await wait_until(all_are_informed, f"{hearers} hear from {tellers} of s-{host}, which fails", fleet)
        fleet.recover(host)
        await wait_until(none_doubts, f"{hearers} do not doubt s-{host}, which is well again", fleet)


async def judge_datagrams(fleet: GossipFleet) -> list[str]:
    """Ask each gateway which datagrams it refused: none was spoilt on its way."""
    violations = []
    for number, line in itertools.product(range(fleet.count), ("DUTIES", "PEERS")):
        dropped = (await fleet.read_state(number, line))["dropped"]
        refused = {why: count for why, count in dropped.items() if why in REFUSED_DATAGRAMS}
        if refused:
            violations.append(f"n{number} refused datagrams ({line}): {refused}")
    return violations


def run_play(start_play: Callable[[Path], Awaitable[PlayReport]]) -> PlayReport:
    """Run a play on a loop and in a folder of its own."""

    async def run() -> PlayReport:
        return await start_play(Path(folder))

    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())


def run_plays(seed: int, seconds: float, other: Path) -> list[PlayReport]:
    plays: list[Callable[[Path], Awaitable[PlayReport]]] = [lambda folder: play_rules(seed, seconds, other)]
    for schedule_seed in range(seed * LEASE_SCHEDULES, (seed + 1) * LEASE_SCHEDULES):
        plays.append(partial(play_leases, schedule_seed, other=other))
    plays.append(lambda folder: play_gossip(seed, folder, other))
    reports = []
    for start_play in plays:
        report = run_play(start_play)
        print_report(report, seed)
        reports.append(report)
    return reports


def print_report(report: PlayReport, seed: int) -> None:
    found = f"{len(report.violations)} violations" if report.violations else "nothing found"
    print(f"seed {seed}, {report.name}: {found}; {report.figures}", flush=True)
    for violation in report.violations[:5]:
        print(f"  {violation}")
    if report.timeline:
        print(report.timeline)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--against", metavar="CHECKOUT", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    options = parser.parse_args()
    try:
        with open_checkout(options.against) as other:
            if not (other / "cloverkeel" / "__main__.py").is_file():
                raise CheckoutError(f"--against: {other}: expected a checkout, found no cloverkeel/__main__.py")
            reports = run_plays(options.seed, options.seconds, other)
    except CheckoutError as error:
        print(f"mixed_versions: {error}", file=sys.stderr)
        return 2
    return 1 if any(report.violations for report in reports) else 0


if __name__ == "__main__":
    raise SystemExit(main())
