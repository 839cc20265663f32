"""Run gateways of two checkouts side by side, with leases and gossip enabled, and faults between them.

    .venv-dev/bin/python -m benchmarks.mixed_versions --against CHECKOUT [--seed N] [--seconds S]

Every second gateway runs from the other checkout (a folder, or a commit of this repository). There are three kinds of
runs, one after another; all are checked by the observations of parties outside the gateways:

`rules`: the scenario `duties` (pauses, kills, link cuts, hosts that join and warm up) with gossip enabled as well.
No rule may be violated, and no warming host may be sent more than its capacity. `--seconds` is the length of the run.
`leases`: random schedules of benchmarks/duties.py. A role never has two holders, and fencing tokens only increase.
`gossip`: gateways of one checkout observe a host that fails, and those of the other must learn of it. Then every
third response of all hosts is an error, while gateways are killed, paused and cut off. In no period may the gateways
spend more retry tokens than they earn in it plus what all of them may have saved. No datagram may be refused.

Exit code: 0: no violation; 1: some violation, printed with a timeline; 2: the other checkout cannot be used.
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
from benchmarks.duties import run_lease_schedule
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
LEASE_SCHEDULES = 4  # per seed; the gateways of the other checkout alternate between the even and the odd ones
GOSSIP_GATEWAYS = 6
GOSSIP_VOTERS = 3
GOSSIP_LEASE_MS = 600
GOSSIP_FAULTS = 5
RESPONSES_PER_ERROR = 3
REQUEST_PAUSE_S = 0.01  # between a client's requests: open circuit breakers reject without delay
SAMPLE_INTERVAL_S = 0.02
MIN_REPORTERS = 2  # gateways that must have reported a failing host
REFUSAL_REASONS = (
    "unreadable",
    "unlisted",
    "another number of voters",
)  # reasons for which a gateway drops a datagram that it cannot use
SPREAD_TIMEOUT_S = 30.0


@dataclass
class RunReport:
    """Outcome of one run."""

    name: str
    violations: list[str] = field(default_factory=list)
    figures: str = ""
    timeline: str = ""


def runs_other_checkout(number: int, seed: int) -> bool:
    """Whether this gateway runs from the other checkout: the seed selects the even or the odd ones."""
    return number % 2 == seed % 2


def mix_checkouts(gateways: Iterable[Gateway], seed: int, other: Path) -> None:
    """Let every second gateway run from the other checkout."""
    for number, gateway in enumerate(gateways):
        if runs_other_checkout(number, seed):
            gateway.checkout = other


async def run_rules(seed: int, seconds: float, other: Path) -> RunReport:
    """Run the scenario; check the rules of the wire protocols and the load on warming hosts."""

    def mix_environment(environment: Environment) -> None:
        mix_checkouts(environment.gateways, seed, other)

    scenario = replace(load_scenario(SCENARIO), sharing=True)
    environment = await run_scenario(scenario, seed, seconds, mix_environment)
    checker = Checker(environment.event_log)
    violations = [str(violation) for violation in checker.find_violations()] + environment.logged_defects
    response_count = sum(1 for _ in environment.event_log.events_of(ResponseReceived))
    peak_load = max(checker.slow_start_peaks.values(), default=0.0)
    figures = f"{response_count} requests, a warming host was sent at most {peak_load:.0%} of its capacity"
    return RunReport("rules", violations, figures)


async def run_leases(seed: int, folder: Path, other: Path) -> RunReport:
    """Run a schedule of faults; check the holders of each role."""

    def mix_fleet(fleet: LeaseFleet) -> None:
        mix_checkouts(fleet.gateways, seed, other)

    result = await run_lease_schedule(seed, folder, "peers", mix_fleet)
    figures = f"{result.holder_count} holders, {result.act_count} acts, faults {' '.join(result.faults)}"
    return RunReport("leases", result.violations, figures, result.timeline)


async def run_gossip(seed: int, folder: Path, other: Path) -> RunReport:
    """Apply faults under load; check the retries, and what gateways of one checkout learn from the other."""
    numbers = range(GOSSIP_GATEWAYS)
    other_numbers = [number for number in numbers if runs_other_checkout(number, seed)]
    own_numbers = [number for number in numbers if number not in other_numbers]
    checkouts = dict.fromkeys(other_numbers, other)
    report = RunReport("gossip")
    async with running_gossip_fleet(
        folder, GOSSIP_GATEWAYS, checkouts=checkouts, voters=GOSSIP_VOTERS, lease_ms=GOSSIP_LEASE_MS
    ) as fleet:
        meter = RetryMeter(fleet)
        try:
            await wait_until_all_alive(fleet)
            await check_failure_spreads(fleet, 0, own_numbers, other_numbers)
            await check_failure_spreads(fleet, 1, other_numbers, own_numbers)
            await run_with_failing_hosts(fleet, random.Random(f"mixed/{seed}"), meter)
            report.violations += meter.find_violations()
            await wait_until_all_alive(fleet)
            report.violations += await find_refused_datagrams(fleet)
        except AssertionError as error:  # raised by the waits; its first line is the message, the others a timeline
            report.violations.append(str(error).partition("\n")[0])
        report.violations += [line for gateway in fleet.gateways for line in gateway.defect_lines()]
        report.figures = (
            f"{fleet.request_count} requests, {meter.retries} retries, {meter.peak_excess_tokens:.1f} tokens spent "
            f"in excess of the earned ones (limit {meter.max_saved_tokens:g}), {meter.transferred_tokens:.1f} "
            f"transferred between gateways"
        )
        report.timeline = fleet.timeline() if report.violations else ""
    return report


@asynccontextmanager
async def under_load(fleet: GossipFleet, numbers: Iterable[int]) -> AsyncIterator[None]:
    """Send requests to these gateways in the background, also while one is killed and restarted."""

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


async def run_with_failing_hosts(fleet: GossipFleet, rng: random.Random, meter: RetryMeter) -> None:
    """Let all hosts respond with some errors, while random faults are applied and healed."""
    answer_count = itertools.count()
    for host in range(len(fleet.hosts)):
        fleet.fail(host, lambda number: next(answer_count) % RESPONSES_PER_ERROR == 0)
    async with under_load(fleet, range(fleet.count)), sampling(meter):
        await asyncio.sleep(1.0)
        for _ in range(GOSSIP_FAULTS):
            await apply_random_fault(fleet, rng)
            await asyncio.sleep(rng.uniform(0.5, 1.5))
        fleet.heal()
        await fleet.wait_until_ready(*range(fleet.count))
        await meter.read_transferred_tokens()
    for host in range(len(fleet.hosts)):
        fleet.recover(host)


async def apply_random_fault(fleet: GossipFleet, rng: random.Random) -> None:
    """Kill, pause or cut off some gateways for a random time."""
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
    """Measures, at the hosts, the retry tokens that all gateways together spend in excess of those they earn."""

    fleet: GossipFleet
    request_count: int = 0
    retries: int = 0
    excess_tokens: float = 0.0  # spent minus earned tokens, maximum over all periods that end now
    peak_excess_tokens: float = 0.0
    transferred_tokens: float = 0.0  # tokens that gateways report to have taken from others

    @property
    def max_saved_tokens(self) -> float:
        """Maximum number of tokens that all processes started so far can have saved."""
        return MAX_SAVED_TOKENS * sum(
            process.what == "start" for process in self.fleet.event_log.events_of(ProcessEvent)
        )

    def sample(self) -> None:
        """Update the excess by the requests and retries since the last sample."""
        request_count = self.fleet.request_count
        _, retries = self.fleet.request_and_retry_counts([0] * len(self.fleet.hosts))
        earned = RETRY_RATIO * (request_count - self.request_count)
        self.excess_tokens = max(0.0, self.excess_tokens + ERROR_RETRY_COST * (retries - self.retries) - earned)
        self.peak_excess_tokens = max(self.peak_excess_tokens, self.excess_tokens)
        self.request_count, self.retries = request_count, retries

    async def read_transferred_tokens(self) -> None:
        """Ask all gateways how many tokens they have taken from others."""
        shown = [await self.fleet.read_state(number, "PEERS") for number in range(self.fleet.count)]
        self.transferred_tokens = sum(status["rights"]["taken"] for status in shown)

    def find_violations(self) -> list[str]:
        """Return the violation if more tokens were spent than can have been earned and saved."""
        if self.peak_excess_tokens <= self.max_saved_tokens + 1e-6:
            return []
        return [
            f"{self.peak_excess_tokens:.1f} tokens were spent in excess of the earned ones, "
            f"limit {self.max_saved_tokens:g}"
        ]


@asynccontextmanager
async def sampling(meter: RetryMeter) -> AsyncIterator[None]:
    """Sample the meter in the background, and once at the end."""

    async def sample_periodically() -> None:
        while True:
            meter.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    task = asyncio.create_task(sample_periodically())
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        meter.sample()


async def wait_until(condition: Callable[[], Awaitable[bool]], what: str, fleet: GossipFleet) -> None:
    """Wait for a condition on the gateways' reports; raise AssertionError with a timeline if it does not occur."""
    try:
        async with asyncio.timeout(SPREAD_TIMEOUT_S):
            while not await condition():
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise AssertionError(f"not within {SPREAD_TIMEOUT_S:g} s: {what}\n{fleet.timeline()}") from None


async def wait_until_all_alive(fleet: GossipFleet) -> None:
    """Wait until every gateway reports all others as alive."""

    async def all_alive() -> bool:
        shown = [await fleet.read_state(number, "PEERS") for number in range(fleet.count)]
        return all(peer["state"] == "alive" for status in shown for peer in status["peers"].values())

    await wait_until(all_alive, "every gateway reports all others as alive", fleet)


async def check_failure_spreads(
    fleet: GossipFleet, host: int, reporters: Sequence[int], receivers: Sequence[int]
) -> None:
    """Let a host fail and send requests only to the reporters; check that each receiver learns of it from several.

    The host must not have failed before, so that all reporters still send to it and observe the failure together.
    """
    host_id = f"{host_number(f's-{host}'):x}"
    informed_receivers: set[int] = set()

    async def all_receivers_know() -> bool:
        for number in receivers:
            for host_status in (await fleet.read_state(number, "PEERS"))["hosts"]:
                if host_status["host"] == host_id and host_status["tellers"] >= MIN_REPORTERS:
                    informed_receivers.add(number)
        return informed_receivers == set(receivers)

    async def no_receiver_suspects() -> bool:
        return not any([await fleet.suspects(number, host_id) for number in receivers])

    fleet.fail(host)
    async with under_load(fleet, reporters):
        await wait_until(all_receivers_know, f"{receivers} learn from {reporters} that s-{host} fails", fleet)
        fleet.recover(host)
        await wait_until(no_receiver_suspects, f"{receivers} no longer suspect s-{host}, which has recovered", fleet)


async def find_refused_datagrams(fleet: GossipFleet) -> list[str]:
    """Return the datagrams that gateways report as refused; the network of this run does not corrupt any."""
    violations = []
    for number, line in itertools.product(range(fleet.count), ("DUTIES", "PEERS")):
        dropped = (await fleet.read_state(number, line))["dropped"]
        refused = {reason: count for reason, count in dropped.items() if reason in REFUSAL_REASONS}
        if refused:
            violations.append(f"n{number} refused datagrams ({line}): {refused}")
    return violations


def run_on_own_loop(start_run: Callable[[Path], Awaitable[RunReport]]) -> RunReport:
    """Start a run on an event loop and in a folder of its own."""

    async def run() -> RunReport:
        return await start_run(Path(folder))

    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())


def run_all_parts(seed: int, seconds: float, other: Path) -> list[RunReport]:
    """Do all runs of a seed, and print each report."""
    runs: list[Callable[[Path], Awaitable[RunReport]]] = [lambda folder: run_rules(seed, seconds, other)]
    for schedule_seed in range(seed * LEASE_SCHEDULES, (seed + 1) * LEASE_SCHEDULES):
        runs.append(partial(run_leases, schedule_seed, other=other))
    runs.append(lambda folder: run_gossip(seed, folder, other))
    reports = []
    for start_run in runs:
        report = run_on_own_loop(start_run)
        print_report(report, seed)
        reports.append(report)
    return reports


def print_report(report: RunReport, seed: int) -> None:
    """Print a run's figures, its first violations and the timeline."""
    summary = f"{len(report.violations)} violations" if report.violations else "no violations"
    print(f"seed {seed}, {report.name}: {summary}; {report.figures}", flush=True)
    for violation in report.violations[:5]:
        print(f"  {violation}")
    if report.timeline:
        print(report.timeline)


def main() -> int:
    """Do all runs of one seed against another checkout."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--against", metavar="CHECKOUT", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    options = parser.parse_args()
    try:
        with open_checkout(options.against) as other:
            if not (other / "cloverkeel" / "__main__.py").is_file():
                raise CheckoutError(f"--against: {other}: expected a checkout, found no cloverkeel/__main__.py")
            reports = run_all_parts(options.seed, options.seconds, other)
    except CheckoutError as error:
        print(f"mixed_versions: {error}", file=sys.stderr)
        return 2
    return 1 if any(report.violations for report in reports) else 0


if __name__ == "__main__":
    raise SystemExit(main())
