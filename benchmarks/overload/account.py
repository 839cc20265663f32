"""Figures of an overload run by time window, from the records of clients, hosts and gateway logs. Pure.

The figures have these properties:

- the hosts' core time is counted once: useful, slowed, handshake, lost, nobody, copy and idle add up to all of it;
- a response is good if its client received it before that request's deadline; an operation is served at most once;
- a row is void if the machine, and not the hosts, may have been the limit: it states why, and is not assessed.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

NEVER_US: Final = 1 << 62
MAX_STRETCH: Final = 0.05  # excess of actual over planned core time; above it, the emulator was delayed
MAX_PROCESS_SHARE: Final = 0.85  # of one processor, for the emulator's process and for each gateway's
MAX_PROCESSOR_WAIT_US: Final = 1_000  # mean per scheduling of a process; a response takes about six such waits
MIN_SERVED_SHARE: Final = 0.99
SERVED_PERIOD_US: Final = 2_000_000  # period over which MIN_SERVED_SHARE must be reached
RECOVERY_CHECK_INTERVAL_US: Final = 100_000


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One request of a client to a gateway."""

    sent_us: int
    deadline_us: int  # the client waits until then
    ended_us: int = 0  # time of the response or of the connection's end; 0: neither
    status: int = 0  # 0: no response

    @property
    def is_good(self) -> bool:
        return self.status == 200 and self.ended_us <= self.deadline_us

    @property
    def is_timeout(self) -> bool:
        """Whether no response came, or a 200 after the deadline."""
        return not self.is_good and self.status in (0, 200)

    @property
    def wait_end_us(self) -> int:
        """Time at which the client stops waiting for the response."""
        return min(self.ended_us or NEVER_US, self.deadline_us)


@dataclass(slots=True, eq=False)
class Operation:
    """An operation of a client, with its first request and its retries by id."""

    started_us: int
    request_class: str
    requests_by_id: dict[str, ClientRequest] = field(default_factory=dict)

    @property
    def served_us(self) -> int:
        """Time of the first good response; 0: none."""
        return next((request.ended_us for request in self.requests_by_id.values() if request.is_good), 0)


@dataclass(slots=True, eq=False)
class HostAttempt:
    """One completed attempt at a host. A time of 0 means that the attempt did not reach that state."""

    request_id: str
    received_us: int
    started_us: int
    core_released_us: int
    ended_us: int
    work_us: int  # at normal speed, without the handshake
    handshake_us: int
    planned_core_us: int  # core time as planned when the work started
    abandoned_us: int  # the gateway closed the connection
    outcome: str


@dataclass(slots=True, eq=False)
class Window:
    """A time window: a load step or a part of one."""

    name: str
    load: float  # relative to the capacity of the hosts
    begin_us: int
    end_us: int
    direction: str = ""  # of the load step: "empty", "up", "down", "surge" or "after"


@dataclass(slots=True, eq=False)
class HostSample:
    """Sampled state of all hosts together."""

    at_us: int
    held_requests: int
    choked_hosts: int


@dataclass(slots=True, eq=False)
class GatewayLogRecord:
    """Figures of one second that one gateway logged in one line."""

    middle_us: int  # middle of the second
    rejections_by_reason: dict[str, int]
    shed_shares: tuple[float, float]  # of cheap requests, of all others
    host_timeouts: int  # attempts that timed out
    full_rejections: int  # attempts that a full host rejected
    cancelled_attempts: int
    breaker_trips: int  # circuit breakers that opened, as far as the log reports each


@dataclass(slots=True)
class MachineUsage:
    """Use of the processors over one window."""

    own: float = 0.0  # share of one processor used by the emulator's process
    gateway: float = 0.0  # share of one processor used by the busiest gateway
    waited_us: float = 0.0  # mean wait for a processor per scheduling, of the process that waited longest
    idle: float = 1.0  # share of all processors; not a limit by itself, as other programs may use them


@dataclass(slots=True)
class Row:
    """Figures of one window. Rates are per second over the whole fleet; shares are of the hosts' core time."""

    name: str
    direction: str
    load: float
    seconds: float
    offered: float = 0.0  # rate of operations started
    good: float = 0.0  # rate of good responses received
    served: float = 0.0  # share of the operations started in this window that were served, then or later
    by_class: dict[str, float] = field(default_factory=dict)  # `served` by request class
    refused: float = 0.0  # rate of client requests rejected
    timeouts: float = 0.0  # rate of client requests without a response in time
    tries: float = 0.0  # client requests per operation
    runs: float = 0.0  # attempts at hosts per request that reached a host
    arrived: float = 0.0  # rate of attempts that reached a host
    why: dict[str, float] = field(default_factory=dict)  # rate of rejections by the gateways' reason
    host_timeouts: float = 0.0  # rate of attempts that timed out at the gateways
    full: float = 0.0  # rate of attempts that full hosts rejected
    cancelled: float = 0.0  # rate of attempts that gateways cancelled
    held: float = 0.0  # mean number of requests at a host
    choked: float = 0.0  # mean share of hosts that are choked (standins/parties/overload_model.py)
    shed: float = 0.0  # shed share of cheap requests, mean over the gateways
    shed_dear: float = 0.0  # shed share of all other requests, mean over the gateways
    shed_from: float = 0.0  # shed share of cheap requests, minimum over the gateways
    shed_to: float = 0.0  # shed share of cheap requests, maximum over the gateways
    trips: float = 0.0  # rate of circuit breakers that opened; a lower bound
    useful: float = 0.0  # work behind good responses
    reach: float = 0.0  # `useful` relative to what was possible: the offered load, at most all core time
    slowed: float = 0.0  # core time of attempts with good responses, beyond their work and handshakes
    handshake: float = 0.0
    lost: float = 0.0  # core time without a good response, while the client waited
    nobody: float = 0.0  # core time without a good response, after the client had stopped waiting
    copy: float = 0.0  # core time of attempts whose client got its response from another attempt
    idle: float = 1.0
    begun_for_nobody: float = 0.0  # rate of attempts that started after their client had stopped waiting
    stretch: float = 0.0  # excess of actual over planned core time, relative
    machine: MachineUsage = field(default_factory=MachineUsage)
    void: list[str] = field(default_factory=list)

    @property
    def wasted(self) -> float:
        return self.lost + self.nobody + self.copy


def void_reasons(row: Row) -> list[str]:
    """Return why the machine may have been the limit; empty if it was not."""
    machine, reasons = row.machine, []
    if row.stretch > MAX_STRETCH:
        reasons.append(f"hosts' cores took {row.stretch:.1%} longer than planned; the limit is {MAX_STRETCH:.0%}")
    if machine.own > MAX_PROCESS_SHARE:
        reasons.append(
            f"the stand-ins' process used {machine.own:.0%} of a processor; the limit is {MAX_PROCESS_SHARE:.0%}"
        )
    if machine.gateway > MAX_PROCESS_SHARE:
        reasons.append(f"a gateway used {machine.gateway:.0%} of a processor; the limit is {MAX_PROCESS_SHARE:.0%}")
    if machine.waited_us > MAX_PROCESSOR_WAIT_US:
        reasons.append(
            f"a process waited {machine.waited_us:.0f} us for a processor; the limit is {MAX_PROCESSOR_WAIT_US} us"
        )
    return reasons


class RunAccounting:
    """Computes the figures of one run from all its records."""

    def __init__(
        self, operations: Iterable[Operation], attempts: Iterable[HostAttempt], cores: int, hosts: int,
        capacity_per_s: float, samples: Sequence[HostSample] = (), log_records: Sequence[GatewayLogRecord] = (),
    ) -> None:  # fmt: skip
        self.operations = sorted(operations, key=lambda operation: operation.started_us)
        self.attempts = list(attempts)
        self.cores, self.hosts, self.capacity_per_s = cores, hosts, capacity_per_s  # all cores; all hosts' requests
        self.samples, self.log_records = samples, log_records
        self.requests_by_id = {
            id_: request for operation in self.operations for id_, request in operation.requests_by_id.items()
        }
        self.answering_attempts = self.find_answering_attempts()

    def find_answering_attempts(self) -> dict[str, HostAttempt]:
        """Return, by request id, the attempt behind the good response: the first one that ended before it arrived."""
        answering: dict[str, HostAttempt] = {}
        for attempt in sorted(self.attempts, key=lambda attempt: attempt.ended_us):
            request = self.requests_by_id.get(attempt.request_id)
            has_response = (
                attempt.outcome in ("ok", "duplicate")
                and request is not None
                and attempt.ended_us <= request.ended_us
            )
            if request is not None and request.is_good and has_response:
                answering.setdefault(attempt.request_id, attempt)
        return answering

    def wait_end_us(self, attempt: HostAttempt) -> int:
        """Return the time from which neither client nor gateway waits for this attempt."""
        request = self.requests_by_id.get(attempt.request_id)
        return min(attempt.abandoned_us or NEVER_US, request.wait_end_us if request is not None else 0)

    def compute_rows(self, windows: Sequence[Window], machine_usages: Sequence[MachineUsage] = ()) -> list[Row]:
        """Return a row for each window. Windows are in order of time and do not overlap."""
        rows = [Row(w.name, w.direction, w.load, (w.end_us - w.begin_us) / 1e6) for w in windows]
        for row, machine in zip(rows, machine_usages, strict=False):
            row.machine = machine
        lookup = WindowLookup(windows)
        self.add_operations(rows, lookup)
        self.add_attempts(rows, lookup)
        self.add_samples_and_logs(rows, lookup)
        for row in rows:
            row.void = void_reasons(row)
        return rows

    def add_operations(self, rows: list[Row], lookup: WindowLookup) -> None:
        """Add the figures of operations and client requests to the rows."""
        started, served = Counter[tuple[int, str]](), Counter[tuple[int, str]]()
        request_counts = Counter[int]()
        for operation in self.operations:
            index = lookup.index_at(operation.started_us)
            if index is not None:
                started[index, operation.request_class] += 1
                served[index, operation.request_class] += bool(operation.served_us)
                request_counts[index] += len(operation.requests_by_id)
            served_index = lookup.index_at(operation.served_us)
            if served_index is not None:
                rows[served_index].good += 1 / rows[served_index].seconds
            for request in operation.requests_by_id.values():
                end_index = lookup.index_at(request.wait_end_us)
                if end_index is not None and request.is_timeout:
                    rows[end_index].timeouts += 1 / rows[end_index].seconds
                elif end_index is not None and not request.is_good:
                    rows[end_index].refused += 1 / rows[end_index].seconds
        for index, row in enumerate(rows):
            count_by_class = {request_class: count for (at, request_class), count in started.items() if at == index}
            total = sum(count_by_class.values())
            row.offered = total / row.seconds
            row.tries = request_counts[index] / max(1, total)
            row.served = sum(served[index, request_class] for request_class in count_by_class) / max(1, total)
            row.by_class = {
                request_class: served[index, request_class] / count_by_class[request_class]
                for request_class in sorted(count_by_class)
            }

    def add_attempts(self, rows: list[Row], lookup: WindowLookup) -> None:
        """Add the figures of attempts at hosts to the rows."""
        planned_us, actual_us = [0] * len(rows), [0] * len(rows)
        request_ids: list[set[str]] = [set() for _ in rows]
        received = [0] * len(rows)
        for attempt in self.attempts:
            for index, part_us in lookup.split_interval(attempt.received_us, attempt.ended_us):
                rows[index].held += part_us / 1e6 / rows[index].seconds / self.hosts
            received_index = lookup.index_at(attempt.received_us)
            if received_index is not None:
                received[received_index] += 1
                request_ids[received_index].add(attempt.request_id)
            start_index = lookup.index_at(attempt.started_us)
            if start_index is None:
                continue
            if attempt.core_released_us and attempt.planned_core_us:
                planned_us[start_index] += attempt.planned_core_us
                actual_us[start_index] += attempt.core_released_us - attempt.started_us
            wait_end_us = self.wait_end_us(attempt)
            if attempt.started_us >= wait_end_us and attempt.request_id not in self.answering_attempts:
                rows[start_index].begun_for_nobody += 1 / rows[start_index].seconds
            self.add_core_time(attempt, wait_end_us, rows, lookup)
        for index, row in enumerate(rows):
            row.runs = received[index] / max(1, len(request_ids[index]))
            row.arrived = received[index] / row.seconds
            row.stretch = actual_us[index] / planned_us[index] - 1 if planned_us[index] else 0.0
            row.reach = row.useful / min(1.0, row.offered / self.capacity_per_s) if row.offered else 0.0
            row.idle = 1 - row.useful - row.slowed - row.handshake - row.wasted

    def add_core_time(self, attempt: HostAttempt, wait_end_us: int, rows: list[Row], lookup: WindowLookup) -> None:
        """Distribute the core time of an attempt over the windows, by its outcome."""
        end_us = attempt.core_released_us or attempt.ended_us
        duration_us = max(1, end_us - attempt.started_us)
        answering = self.answering_attempts.get(attempt.request_id)
        for index, part_us in lookup.split_interval(attempt.started_us, end_us):
            row = rows[index]
            share = part_us / 1e6 / row.seconds / self.cores
            if answering is attempt:
                useful, handshake = (
                    min(1.0, attempt.work_us / duration_us),
                    min(1.0, attempt.handshake_us / duration_us),
                )
                row.useful += share * useful
                row.handshake += share * handshake
                row.slowed += share * max(0.0, 1 - useful - handshake)
            elif answering is not None:
                row.copy += share
            else:
                waited = overlap_us(attempt.started_us, min(end_us, wait_end_us), *lookup.bounds_of(index)) / max(
                    1, part_us
                )
                row.lost += share * waited
                row.nobody += share * (1 - waited)

    def add_samples_and_logs(self, rows: list[Row], lookup: WindowLookup) -> None:
        """Add the figures of host samples and gateway logs to the rows."""
        sample_counts, record_counts = Counter[int](), Counter[int]()
        for sample in self.samples:
            index = lookup.index_at(sample.at_us)
            if index is not None:
                sample_counts[index] += 1
                rows[index].choked += sample.choked_hosts / self.hosts
        for record in self.log_records:
            index = lookup.index_at(record.middle_us)
            if index is None:
                continue
            row = rows[index]
            record_counts[index] += 1
            row.shed_from = (
                min(row.shed_from, record.shed_shares[0]) if record_counts[index] > 1 else record.shed_shares[0]
            )
            row.shed_to = max(row.shed_to, record.shed_shares[0])
            row.trips += record.breaker_trips / row.seconds
            row.shed += record.shed_shares[0]
            row.shed_dear += record.shed_shares[1]
            row.host_timeouts += record.host_timeouts / row.seconds
            row.full += record.full_rejections / row.seconds
            row.cancelled += record.cancelled_attempts / row.seconds
            for reason, count in record.rejections_by_reason.items():
                row.why[reason] = row.why.get(reason, 0.0) + count / row.seconds
        for index, row in enumerate(rows):
            row.choked /= max(1, sample_counts[index])
            row.shed /= max(1, record_counts[index])
            row.shed_dear /= max(1, record_counts[index])

    def recovery_time_us(self, from_us: int, until_us: int) -> int | None:
        """Return the time from `from_us` until service has recovered; None if it does not.

        Service has recovered when MIN_SERVED_SHARE of the operations of the next SERVED_PERIOD_US are served.
        """
        for at_us in range(from_us, until_us - SERVED_PERIOD_US + 1, RECOVERY_CHECK_INTERVAL_US):
            operations = [each for each in self.operations if at_us <= each.started_us < at_us + SERVED_PERIOD_US]
            if operations and sum(bool(each.served_us) for each in operations) >= MIN_SERVED_SHARE * len(operations):
                return at_us - from_us
        return None


class WindowLookup:
    """Finds the windows of a time or an interval."""

    def __init__(self, windows: Sequence[Window]) -> None:
        self.windows = windows
        self.begins_us = [window.begin_us for window in windows]

    def index_at(self, at_us: int) -> int | None:
        """Return the index of the window that contains this time."""
        index = bisect_right(self.begins_us, at_us) - 1
        return index if index >= 0 and at_us < self.windows[index].end_us else None

    def bounds_of(self, index: int) -> tuple[int, int]:
        """Return when a window begins and ends."""
        return self.windows[index].begin_us, self.windows[index].end_us

    def split_interval(self, from_us: int, to_us: int) -> Iterable[tuple[int, int]]:
        """Yield the index of each window that an interval overlaps, and the length of the overlap."""
        index = max(0, bisect_right(self.begins_us, from_us) - 1)
        while index < len(self.windows) and self.windows[index].begin_us < to_us:
            part_us = overlap_us(from_us, to_us, *self.bounds_of(index))
            if part_us > 0:
                yield index, part_us
            index += 1


def overlap_us(begin_us: int, end_us: int, other_begin_us: int, other_end_us: int) -> int:
    """Return the length of the intersection of two intervals."""
    return max(0, min(end_us, other_end_us) - max(begin_us, other_begin_us))


# Requirements of issue 34 on the behaviour under overload

MIN_OVERLOAD: Final = 1.6  # load from which a step counts as overload
MIN_GOODPUT_RATIO: Final = 0.9  # to the highest goodput of the run
MAX_HYSTERESIS: Final = 0.03  # relative difference of goodput at the same load, downwards against upwards
MAX_RECOVERY_S: Final = 3.0
MAX_RUNS_PER_REQUEST: Final = 1.05  # at hosts, while requests are shed
MIN_SHED_SHARE: Final = 0.05  # of all requests; from then on a step counts as shedding


@dataclass(slots=True, frozen=True)
class Finding:
    """One requirement on a fleet under overload, and the measured value."""

    what: str
    found: float
    wanted: str
    holds: bool
    void: bool = False  # a row that the value is computed from is void


def assess(rows: Sequence[Row], recovery_s: float | None, has_surge: bool = True) -> list[Finding]:
    """Compare the rows with the requirements. Goodput is the share of the hosts' core time behind good responses.

    Upward and downward steps are compared relative to what was possible (`reach`): below the capacity of the hosts,
    goodput follows the random arrivals, which differ between the two.
    """
    valid = [row for row in rows if not row.void]
    best = max((row.useful for row in valid), default=0.0)
    findings = []
    for row in rows:
        if row.load >= MIN_OVERLOAD and row.direction in ("up", "down"):
            ratio = row.useful / best if best else 0.0
            what = f"goodput at {row.load:g}, {row.direction}, of its best"
            findings.append(
                Finding(what, ratio, f">= {MIN_GOODPUT_RATIO:g}", ratio >= MIN_GOODPUT_RATIO, bool(row.void))
            )
    for up, down in pair_up_and_down(rows):
        ratio = down.reach / up.reach if up.reach else 0.0
        what, void = f"goodput at {up.load:g}, down against up", bool(up.void or down.void)
        findings.append(
            Finding(what, ratio, f"within {MAX_HYSTERESIS:.0%} of 1", abs(ratio - 1) <= MAX_HYSTERESIS, void)
        )
    if has_surge:
        void = any(row.void for row in rows if row.direction in ("surge", "after"))
        seconds = float("inf") if recovery_s is None else recovery_s
        what = "seconds from the surge's end until 99% is served"
        findings.append(Finding(what, seconds, f"<= {MAX_RECOVERY_S:g}", seconds <= MAX_RECOVERY_S, void))
    shedding = [row for row in rows if row.why.get("shed", 0.0) > MIN_SHED_SHARE * row.offered]
    if shedding:
        worst = max(shedding, key=lambda row: row.runs)
        what = f"runs at hosts a request while shedding (worst at {worst.load:g}, {worst.direction})"
        findings.append(
            Finding(
                what, worst.runs, f"<= {MAX_RUNS_PER_REQUEST:g}", worst.runs <= MAX_RUNS_PER_REQUEST, bool(worst.void)
            )
        )
    return findings


def pair_up_and_down(rows: Sequence[Row]) -> list[tuple[Row, Row]]:
    """Pair the upward and the downward row of each load that has both."""
    down_by_load = {row.load: row for row in rows if row.direction == "down"}
    return [(row, down_by_load[row.load]) for row in rows if row.direction == "up" and row.load in down_by_load]
