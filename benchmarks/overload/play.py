"""Plays an overload: real gateways before hosts that choke, the load in steps, and what was seen as an account."""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass, replace
from itertools import pairwise
from pathlib import Path
from typing import Any, Final

import uvloop

from benchmarks.fleet_logs import LINE_MARKER, FleetSecond, validate_line
from benchmarks.overload.account import (
    Account,
    Finding,
    Machine,
    Row,
    Sample,
    Told,
    Try,
    Want,
    Window,
    Work,
    judge,
)
from benchmarks.overload.plan import Terms
from standins.event_log import EventLog, OperationStarted, RequestSent, ResponseMissing, ResponseReceived, now_us
from standins.parties.backend import Job
from standins.parties.clients import ClientProfile
from standins.parties.fleet import Gateway
from standins.playing.environment import Environment
from standins.playing.scenario import Scenario, Fault
from standins.site import MEAN_WORK_US

LOOK_S: Final = 0.1
OWN: Final = "stand-ins"
ONSET = ("offered", "arrived", "held", "refused", "useful", "nobody", "good")
ONSET_S: Final = 3.0
TIMEOUTS, FULL, CANCELLED = 4, 3, 7  # places of a host's figures in a line of the log, docs/fleet.md


@dataclass(slots=True)
class Mark:
    """When a step began, and what had been used by then."""

    at_us: int
    idle: int  # ticks of all processors
    ticks: int
    used: dict[str, tuple[int, int, int]]  # by process: ns on a processor, ns that it was ready and had none, turns


def mark(gateways: Sequence[Gateway]) -> Mark:
    fields = [int(word) for word in Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:9]]
    used = {OWN: scheduled(os.getpid())}
    for gateway in gateways:
        if gateway.process is not None and gateway.is_running:
            used[gateway.name] = scheduled(gateway.process.pid)
    return Mark(now_us(), fields[3] + fields[4], sum(fields), used)


def scheduled(pid: int) -> tuple[int, int, int]:
    on, waited, turns = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(on), int(waited), int(turns)


def between(one: Mark, other: Mark) -> Machine:
    """What was used from one mark to the next, by the processes that both know."""
    wall_ns = max(1, other.at_us - one.at_us) * 1000
    on: dict[str, float] = {}
    waited_us = 0.0
    for name in one.used.keys() & other.used.keys():
        ran, waited, turns = (late - early for early, late in zip(one.used[name], other.used[name], strict=True))
        on[name] = ran / wall_ns
        waited_us = max(waited_us, waited / 1000 / max(1, turns))
    gateways = max((share for name, share in on.items() if name != OWN), default=0.0)
    return Machine(on[OWN], gateways, waited_us, (other.idle - one.idle) / max(1, other.ticks - one.ticks))


@dataclass(slots=True)
class Play:
    """What one play came to."""

    terms: Terms
    capacity: float  # requests a second of all hosts, where nobody's answer is wasted
    steps: list[Row]
    seconds: list[Row]
    onset: list[Row]  # of the surge, by tenths of a second
    recovery_s: float | None
    findings: list[Finding]
    faults: list[str]

    def as_json(self) -> dict[str, Any]:
        return {
            "terms": asdict(self.terms), "capacity": self.capacity, "recovery_s": self.recovery_s,
            "steps": [rounded(asdict(row) | {"wasted": row.wasted}) for row in self.steps],
            "findings": [rounded(asdict(finding)) for finding in self.findings],
            "seconds": [rounded(asdict(row) | {"wasted": row.wasted}) for row in self.seconds],
            "onset": [
                rounded({name: getattr(row, name) for name in ("name", *ONSET)} | {"wasted": row.wasted})
                for row in self.onset
            ],
            "faults": self.faults,
        }  # fmt: skip


def rounded(value: Any) -> Any:
    """Figures as one reads them; infinity, which JSON does not have, as null."""
    if isinstance(value, float):
        return round(value, 4) if value < float("inf") else None
    if isinstance(value, dict):
        return {key: rounded(each) for key, each in value.items()}
    return [rounded(each) for each in value] if isinstance(value, list) else value


class Overload(Environment):
    """A world whose hosts choke, and whose load goes in steps."""

    def __init__(self, terms: Terms, folder: Path) -> None:
        seconds = sum(step.seconds for step in terms.steps)
        begins = [sum(step.seconds for step in terms.steps[:place]) for place in range(len(terms.steps) + 1)]
        loads = [step.load for step in terms.steps]
        troubles = tuple(
            Fault(at, "load", {"factor": load}) for at, load in zip(begins, [*loads, loads[-1]], strict=True)
        )
        scenario = Scenario(
            "overload", "the load goes up in steps, and down again", seconds, terms.hosts, terms.gateways,
            cores=terms.cores, load=loads[0], attempts=terms.attempts, second_copies=terms.copies,
            sharing=terms.sharing, faults=troubles,
        )  # fmt: skip
        super().__init__(scenario, terms.seed, seconds, folder)
        self.terms, self.folder = terms, folder
        # No key saves work: what the hosts can do is known.
        self.backend_type = replace(self.backend_type, key_saves=0.0)
        self.capacity = terms.hosts * terms.cores * 1e6 / MEAN_WORK_US
        self.clients.profile = ClientProfile(
            max_retries=terms.retries, retry_after_share=terms.honour, early_disconnect_share=0.0
        )
        self.works: list[Work] = []
        self.samples: list[Sample] = []
        self.marks: list[Mark] = []

    async def build(self) -> None:
        await super().build()
        for box in self.backends.values():
            box.set_overload_model(self.terms.law)
            box.on_job_end = self.on_over

    def on_over(self, job: Job) -> None:
        run = job.attempt
        self.works.append(
            Work(
                run.id, run.received_us, run.started_us, job.core_released_us, run.ended_us,
                run.work_us - job.handshake_us, job.handshake_us, job.core_time_us, job.abandoned_us, run.how,
            )
        )  # fmt: skip

    async def do_load(self, factor: float) -> None:
        """A step begins; at the end of the last one too."""
        self.clients.operations_per_s = factor * self.capacity
        self.marks.append(mark(self.gateways))
        if len(self.marks) == 1:
            self.spawn(self.look())

    async def look(self) -> None:
        while True:
            boxes, now = self.backends.values(), now_us()
            choked = sum(box.overload_state is not None and box.overload_state.is_choked(now) for box in boxes)
            self.samples.append(Sample(now, sum(len(box.jobs) for box in boxes), choked))
            await asyncio.sleep(LOOK_S)

    # What was seen

    def windows(self) -> list[Window]:
        ends = [each.at_us for each in self.marks]
        return [
            Window(step.name, step.load, begin, end, step.direction)
            for step, begin, end in zip(self.terms.steps, ends, ends[1:], strict=False)
        ]

    def parts_of(self, steps: Sequence[Window], each_s: float) -> list[Window]:
        made = []
        for step in steps:
            count = max(1, round((step.end_us - step.begin_us) / 1e6 / each_s))
            ends = [step.begin_us + (step.end_us - step.begin_us) * n // count for n in range(count + 1)]
            made += [
                Window(f"{step.name} +{n * each_s:g}", step.load, begin, end, step.direction)
                for n, (begin, end) in enumerate(pairwise(ends))
            ]
        return made


def wants_of(ledger: EventLog) -> list[Want]:
    """What clients wanted, with each try and what became of it."""
    wants: dict[str, Want] = {}
    tries: dict[str, Try] = {}
    for entry in ledger.events:
        if isinstance(entry, OperationStarted):
            wants[entry.id] = Want(entry.at_us, entry.request_class)
        elif isinstance(entry, RequestSent) and entry.id not in tries:
            tries[entry.id] = wants[entry.first_id].tries[entry.id] = Try(entry.at_us, entry.at_us + entry.budget_us)
        elif (
            isinstance(entry, ResponseReceived | ResponseMissing)
            and entry.id in tries
            and not tries[entry.id].ended_us
        ):
            tries[entry.id].ended_us = entry.at_us
            tries[entry.id].status = entry.status if isinstance(entry, ResponseReceived) else 0
    return list(wants.values())


def told_of(folder: Path) -> Iterator[Told]:
    """The lines of all gateways' logs. ValueError for one that is not whole."""
    for path in sorted(folder.glob("*.log")):
        trips = 0  # since the last line of figures
        for line in path.read_text(errors="replace").splitlines():
            _, marked, text = line.partition(LINE_MARKER)
            trips += "circuit breaker: opened, " in line
            if not marked:
                continue
            said = json.loads(text)
            validate_line(said)
            second = FleetSecond()
            second.add_line(said)
            timeouts, full, cancelled = (
                sum(figures[place] for figures in second.row_by_host.values())
                for place in (TIMEOUTS, FULL, CANCELLED)
            )
            shed = (float(said["shed"][0]), float(said["shed"][1]))
            at_us = int(said["ms"]) * 1000 - 500_000
            yield Told(at_us, dict(second.rejections_by_reason), shed, timeouts, full, cancelled, trips)
            trips = 0


async def carry_out(terms: Terms) -> Play:
    with tempfile.TemporaryDirectory(prefix="cloverkeel-overload-") as folder:
        world = Overload(terms, Path(folder))
        await world.run()
        told = list(told_of(Path(folder)))
    steps = world.windows()
    account = Account(
        wants_of(world.event_log),
        world.works,
        terms.hosts * terms.cores,
        terms.hosts,
        world.capacity,
        world.samples,
        told,
    )
    rows = account.rows(steps, [between(*marks) for marks in pairwise(world.marks)])
    after = [window for window in steps if window.direction == "after"]
    again_us = account.served_again_us(after[0].begin_us, after[0].end_us) if after else None
    recovery_s = None if again_us is None else again_us / 1e6
    dropped = [f"{world.event_log.dropped} entries of the ledger were dropped"] if world.event_log.dropped else []
    surge = [window for window in steps if window.direction == "surge"]
    onset = world.parts_of(surge, 0.1)[: round(ONSET_S / 0.1)]
    return Play(
        terms, world.capacity, rows, account.rows(world.parts_of(steps, 1.0)), account.rows(onset), recovery_s,
        judge(rows, recovery_s, bool(after)), world.logged_defects + dropped,
    )  # fmt: skip


def play(terms: Terms) -> Play:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(carry_out(terms))
