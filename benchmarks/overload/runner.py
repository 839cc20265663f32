"""Run an overload: real gateways, hosts that slow down under load, and a load that is raised in steps."""

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
    ClientRequest,
    Finding,
    GatewayLogRecord,
    HostAttempt,
    HostSample,
    MachineUsage,
    Operation,
    Row,
    RunAccounting,
    Window,
    assess,
)
from benchmarks.overload.plan import RunSettings
from standins.event_log import EventLog, OperationStarted, RequestSent, ResponseMissing, ResponseReceived, now_us
from standins.parties.backend import Job
from standins.parties.clients import ClientProfile
from standins.parties.fleet import Gateway
from standins.playing.environment import Environment
from standins.playing.scenario import Scenario, Fault
from standins.site import MEAN_WORK_US

SAMPLE_INTERVAL_S: Final = 0.1
EMULATOR: Final = "stand-ins"  # key of the emulator's own process
ONSET_FIELDS = ("offered", "arrived", "held", "refused", "useful", "nobody", "good")
ONSET_DURATION_S: Final = 3.0
TIMEOUTS_INDEX, FULL_INDEX, CANCELLED_INDEX = 4, 3, 7  # in a host's figures in a log line, docs/fleet.md


@dataclass(slots=True)
class UsageSnapshot:
    """Processor use up to the beginning of a step."""

    at_us: int
    idle_ticks: int  # of all processors
    total_ticks: int
    scheduling_by_process: dict[str, tuple[int, int, int]]  # ns on a processor, ns waiting for one, times scheduled


def take_usage_snapshot(gateways: Sequence[Gateway]) -> UsageSnapshot:
    """Read the processor use of the machine, of the emulator and of the running gateways."""
    ticks = [int(word) for word in Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:9]]
    scheduling_by_process = {EMULATOR: read_schedstat(os.getpid())}
    for gateway in gateways:
        if gateway.process is not None and gateway.is_running:
            scheduling_by_process[gateway.name] = read_schedstat(gateway.process.pid)
    return UsageSnapshot(now_us(), ticks[3] + ticks[4], sum(ticks), scheduling_by_process)


def read_schedstat(pid: int) -> tuple[int, int, int]:
    """Return a process' time on a processor and time waiting for one, in ns, and how often it was scheduled."""
    on_processor_ns, waited_ns, schedulings = Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(on_processor_ns), int(waited_ns), int(schedulings)


def usage_between(first: UsageSnapshot, last: UsageSnapshot) -> MachineUsage:
    """Return the use between two snapshots, by the processes that both contain."""
    wall_ns = max(1, last.at_us - first.at_us) * 1000
    share_by_process: dict[str, float] = {}
    max_wait_us = 0.0
    for name in first.scheduling_by_process.keys() & last.scheduling_by_process.keys():
        on_processor_ns, waited_ns, schedulings = (
            late - early
            for early, late in zip(first.scheduling_by_process[name], last.scheduling_by_process[name], strict=True)
        )
        share_by_process[name] = on_processor_ns / wall_ns
        max_wait_us = max(max_wait_us, waited_ns / 1000 / max(1, schedulings))
    max_gateway_share = max((share for name, share in share_by_process.items() if name != EMULATOR), default=0.0)
    return MachineUsage(
        share_by_process[EMULATOR],
        max_gateway_share,
        max_wait_us,
        (last.idle_ticks - first.idle_ticks) / max(1, last.total_ticks - first.total_ticks),
    )


@dataclass(slots=True)
class RunResult:
    """Figures of one run."""

    settings: RunSettings
    capacity_per_s: float  # requests of all hosts if no work is wasted
    steps: list[Row]
    seconds: list[Row]
    onset: list[Row]  # beginning of the surge, by tenths of a second
    recovery_s: float | None
    findings: list[Finding]
    defects: list[str]

    def as_json(self) -> dict[str, Any]:
        """Return the result as the JSON report contains it."""
        return {
            "terms": asdict(self.settings), "capacity": self.capacity_per_s, "recovery_s": self.recovery_s,
            "steps": [round_figures(asdict(row) | {"wasted": row.wasted}) for row in self.steps],
            "findings": [round_figures(asdict(finding)) for finding in self.findings],
            "seconds": [round_figures(asdict(row) | {"wasted": row.wasted}) for row in self.seconds],
            "onset": [
                round_figures({name: getattr(row, name) for name in ("name", *ONSET_FIELDS)} | {"wasted": row.wasted})
                for row in self.onset
            ],
            "faults": self.defects,
        }  # fmt: skip


def round_figures(value: Any) -> Any:
    """Round all numbers to four decimals; infinity, which JSON cannot represent, becomes null."""
    if isinstance(value, float):
        return round(value, 4) if value < float("inf") else None
    if isinstance(value, dict):
        return {key: round_figures(each) for key, each in value.items()}
    return [round_figures(each) for each in value] if isinstance(value, list) else value


class OverloadEnvironment(Environment):
    """An environment whose hosts slow down under load, and whose load is raised in steps."""

    def __init__(self, settings: RunSettings, folder: Path) -> None:
        seconds = sum(step.seconds for step in settings.steps)
        begins_s = [sum(step.seconds for step in settings.steps[:index]) for index in range(len(settings.steps) + 1)]
        loads = [step.load for step in settings.steps]
        faults = tuple(
            Fault(begin_s, "load", {"factor": load})
            for begin_s, load in zip(begins_s, [*loads, loads[-1]], strict=True)
        )
        scenario = Scenario(
            "overload", "the load is raised in steps, then lowered", seconds, settings.hosts, settings.gateways,
            cores=settings.cores, load=loads[0], attempts=settings.attempts, second_copies=settings.copies,
            sharing=settings.sharing, faults=faults,
        )  # fmt: skip
        super().__init__(scenario, settings.seed, seconds, folder)
        self.settings, self.folder = settings, folder
        # Cached results of idempotency keys would save work and make the capacity of the hosts unknown.
        self.backend_type = replace(self.backend_type, key_saved_work_share=0.0)
        self.capacity_per_s = settings.hosts * settings.cores * 1e6 / MEAN_WORK_US
        self.clients.profile = ClientProfile(
            max_retries=settings.retries, retry_after_share=settings.honour, early_disconnect_share=0.0
        )
        self.attempts: list[HostAttempt] = []
        self.samples: list[HostSample] = []
        self.usage_snapshots: list[UsageSnapshot] = []

    async def build(self) -> None:
        """Build the fleet, and apply the overload model to its hosts."""
        await super().build()
        for backend in self.backends.values():
            backend.set_overload_model(self.settings.law)
            backend.on_job_end = self.record_attempt

    def record_attempt(self, job: Job) -> None:
        """Record a completed job of a host."""
        attempt = job.attempt
        self.attempts.append(
            HostAttempt(
                attempt.id, attempt.received_us, attempt.started_us, job.core_released_us, attempt.ended_us,
                attempt.work_us - job.handshake_us, job.handshake_us, job.core_time_us, job.abandoned_us, attempt.how,
            )
        )  # fmt: skip

    async def do_load(self, factor: float) -> None:
        """Set the load of a step that begins. Called once more at the end of the last step."""
        self.clients.operations_per_s = factor * self.capacity_per_s
        self.usage_snapshots.append(take_usage_snapshot(self.gateways))
        if len(self.usage_snapshots) == 1:
            self.spawn(self.sample_hosts())

    async def sample_hosts(self) -> None:
        """Record the state of the hosts at a fixed interval."""
        while True:
            backends, now = self.backends.values(), now_us()
            choked_hosts = sum(
                backend.overload_state is not None and backend.overload_state.is_choked(now) for backend in backends
            )
            self.samples.append(HostSample(now, sum(len(backend.jobs) for backend in backends), choked_hosts))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    # Evaluation

    def step_windows(self) -> list[Window]:
        """Return the windows of the load steps."""
        bounds_us = [snapshot.at_us for snapshot in self.usage_snapshots]
        return [
            Window(step.name, step.load, begin_us, end_us, step.direction)
            for step, begin_us, end_us in zip(self.settings.steps, bounds_us, bounds_us[1:], strict=False)
        ]

    def split_steps(self, steps: Sequence[Window], part_s: float) -> list[Window]:
        """Split each step into windows of equal length, as close to `part_s` as possible."""
        windows = []
        for step in steps:
            count = max(1, round((step.end_us - step.begin_us) / 1e6 / part_s))
            bounds_us = [step.begin_us + (step.end_us - step.begin_us) * n // count for n in range(count + 1)]
            windows += [
                Window(f"{step.name} +{n * part_s:g}", step.load, begin_us, end_us, step.direction)
                for n, (begin_us, end_us) in enumerate(pairwise(bounds_us))
            ]
        return windows


def read_operations(event_log: EventLog) -> list[Operation]:
    """Return the clients' operations, with the outcome of each request.

    A request that was sent again after its connection closed counts as one request.
    """
    operations: dict[str, Operation] = {}
    requests: dict[str, ClientRequest] = {}
    for event in event_log.events:
        if isinstance(event, OperationStarted):
            operations[event.id] = Operation(event.at_us, event.request_class)
        elif isinstance(event, RequestSent) and event.id not in requests:
            requests[event.id] = operations[event.first_id].requests_by_id[event.id] = ClientRequest(
                event.at_us, event.at_us + event.budget_us
            )
        elif (
            isinstance(event, ResponseReceived | ResponseMissing)
            and event.id in requests
            and not requests[event.id].ended_us
        ):
            requests[event.id].ended_us = event.at_us
            requests[event.id].status = event.status if isinstance(event, ResponseReceived) else 0
    return list(operations.values())


def read_gateway_logs(folder: Path) -> Iterator[GatewayLogRecord]:
    """Yield the figures in all gateways' logs. Raises ValueError for an incomplete line of figures."""
    for path in sorted(folder.glob("*.log")):
        breaker_trips = 0  # since the previous line of figures
        for line in path.read_text(errors="replace").splitlines():
            _, marker, text = line.partition(LINE_MARKER)
            breaker_trips += "circuit breaker: opened, " in line
            if not marker:
                continue
            figures = json.loads(text)
            validate_line(figures)
            second = FleetSecond()
            second.add_line(figures)
            timeouts, full_rejections, cancelled_attempts = (
                sum(columns[index] for columns in second.row_by_host.values())
                for index in (TIMEOUTS_INDEX, FULL_INDEX, CANCELLED_INDEX)
            )
            shed_shares = (float(figures["shed"][0]), float(figures["shed"][1]))
            middle_us = int(figures["ms"]) * 1000 - 500_000
            yield GatewayLogRecord(
                middle_us,
                dict(second.rejections_by_reason),
                shed_shares,
                timeouts,
                full_rejections,
                cancelled_attempts,
                breaker_trips,
            )
            breaker_trips = 0


async def run_environment(settings: RunSettings) -> RunResult:
    """Run the fleet through all load steps, and compute the figures."""
    with tempfile.TemporaryDirectory(prefix="cloverkeel-overload-") as folder:
        environment = OverloadEnvironment(settings, Path(folder))
        await environment.run()
        log_records = list(read_gateway_logs(Path(folder)))
    steps = environment.step_windows()
    accounting = RunAccounting(
        read_operations(environment.event_log),
        environment.attempts,
        settings.hosts * settings.cores,
        settings.hosts,
        environment.capacity_per_s,
        environment.samples,
        log_records,
    )
    rows = accounting.compute_rows(
        steps, [usage_between(*snapshots) for snapshots in pairwise(environment.usage_snapshots)]
    )
    after = [window for window in steps if window.direction == "after"]
    recovery_us = accounting.recovery_time_us(after[0].begin_us, after[0].end_us) if after else None
    recovery_s = None if recovery_us is None else recovery_us / 1e6
    dropped = (
        [f"{environment.event_log.dropped} events of the event log were dropped"]
        if environment.event_log.dropped
        else []
    )
    surge = [window for window in steps if window.direction == "surge"]
    onset = environment.split_steps(surge, 0.1)[: round(ONSET_DURATION_S / 0.1)]
    return RunResult(
        settings, environment.capacity_per_s, rows, accounting.compute_rows(environment.split_steps(steps, 1.0)),
        accounting.compute_rows(onset), recovery_s, assess(rows, recovery_s, bool(after)),
        environment.logged_defects + dropped,
    )  # fmt: skip


def run_overload(settings: RunSettings) -> RunResult:
    """Run one overload on an event loop of its own."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run_environment(settings))
