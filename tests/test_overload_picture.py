"""Tests of the overload measurement: figures and findings as pure functions, and one small run of real gateways."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.overload import __main__ as command
from benchmarks.overload.account import (
    ClientRequest,
    GatewayLogRecord,
    HostAttempt,
    HostSample,
    MachineUsage,
    Operation,
    Row,
    RunAccounting,
    Window,
    assess,
    void_reasons,
)
from benchmarks.overload.plan import LOADS, RunSettings, Step, make_steps
from benchmarks.overload.runner import (
    EMULATOR,
    RunResult,
    UsageSnapshot,
    read_gateway_logs,
    read_operations,
    round_figures,
    usage_between,
)
from standins.event_log import EventLog, OperationStarted, RequestSent, ResponseMissing, ResponseReceived
from standins.parties.overload_model import OverloadModel

S = 1_000_000
WINDOWS = [Window("one", 0.9, 10 * S, 12 * S, "up"), Window("two", 1.6, 12 * S, 14 * S, "up")]


def make_attempt(
    request_id: str, start_s: float, end_s: float, outcome: str = "ok", work_s: float | None = None,
    abandoned_s: float = 0.0,
) -> HostAttempt:  # fmt: skip
    """Make an attempt that waits 0.1 s for a core, and whose response is sent 0.1 s after the core is released."""
    duration_us = int((end_s - start_s) * S)
    work_us = duration_us if work_s is None else int(work_s * S)
    return HostAttempt(
        request_id, int((start_s - 0.1) * S), int(start_s * S), int(end_s * S), int((end_s + 0.1) * S), work_us, 0,
        duration_us, int(abandoned_s * S), outcome,
    )  # fmt: skip


def make_operation(operation_id: str, at_s: float, *requests: tuple[float, float, int]) -> Operation:
    """Make an operation; each request is given as its timeout in seconds, its end in seconds and its status."""
    operation = Operation(int(at_s * S), "search")
    for number, (timeout_s, end_s, status) in enumerate(requests):
        request_id = f"{operation_id}-{number}" if number else operation_id
        operation.requests_by_id[request_id] = ClientRequest(
            operation.started_us, int((at_s + timeout_s) * S), int(end_s * S), status
        )
    return operation


def compute_rows(operations: list[Operation], attempts: list[HostAttempt]) -> list[Row]:
    return RunAccounting(operations, attempts, cores=2, hosts=1, capacity_per_s=10.0).compute_rows(WINDOWS)


# Use of the hosts' core time


def test_work_of_a_good_response_is_useful_and_its_additional_core_time_is_slowed() -> None:
    row, next_row = compute_rows(
        [make_operation("a", 11.0, (2.0, 12.7, 200))], [make_attempt("a", 11.5, 12.5, work_s=0.8)]
    )
    assert row.useful == pytest.approx(0.5 * 0.8 / 4) == pytest.approx(next_row.useful)
    assert row.slowed == pytest.approx(0.5 * 0.2 / 4)
    assert (row.served, row.offered, row.good, next_row.good) == (1.0, 0.5, 0.0, 0.5)
    assert row.runs == 1.0 and row.idle == pytest.approx(1 - row.useful - row.slowed)


def test_core_time_without_a_response_is_lost_while_the_client_waits_and_for_nobody_afterwards() -> None:
    # The client waits until 11.5, the gateway closes the connection at 11.25, the host works until 11.75.
    for abandoned_s, waited_s in ((0.0, 0.5), (11.25, 0.25)):
        row, _ = compute_rows(
            [make_operation("a", 10.5, (1.0, 0.0, 0))],
            [make_attempt("a", 11.0, 11.75, "cancelled", abandoned_s=abandoned_s)],
        )
        assert row.lost == pytest.approx(waited_s / 4) and row.nobody == pytest.approx((0.75 - waited_s) / 4)
        assert (row.useful, row.timeouts, row.served, row.begun_for_nobody) == (0.0, 0.5, 0.0, 0.0)


def test_late_response_is_not_good_and_an_attempt_started_after_the_deadline_is_for_nobody() -> None:
    row, _ = compute_rows([make_operation("a", 10.0, (0.5, 11.2, 200))], [make_attempt("a", 10.6, 11.1)])
    assert (row.good, row.timeouts, row.useful, row.lost) == (0.0, 0.5, 0.0, 0.0)
    assert row.nobody == pytest.approx(0.5 / 4) and row.begun_for_nobody == 0.5


@pytest.mark.parametrize("received_s", [11.0, 11.7])  # before and after the end of the second attempt
def test_first_completed_attempt_of_a_request_is_useful_and_the_second_is_a_copy(received_s: float) -> None:
    row, _ = compute_rows(
        [make_operation("a", 10.2, (1.6, received_s, 200))],
        [make_attempt("a", 10.3, 10.9), make_attempt("a", 10.5, 11.5)],
    )
    assert row.useful == pytest.approx(0.6 / 4, 1e-4) and row.copy == pytest.approx(1.0 / 4, 1e-4)
    assert row.nobody == 0.0 and row.lost == 0.0
    assert row.runs == 2.0 and row.arrived == 1.0


def test_operation_is_served_once_by_any_of_its_requests_and_each_rejection_counts() -> None:
    row, _ = compute_rows(
        [make_operation("a", 10.1, (0.5, 10.2, 503), (1.0, 10.9, 200))], [make_attempt("a-1", 10.4, 10.8)]
    )
    assert (row.good, row.refused, row.timeouts, row.tries, row.served) == (0.5, 0.5, 0.0, 2.0, 1.0)


def test_log_records_and_samples_count_in_the_window_of_their_time() -> None:
    log_records = [
        GatewayLogRecord(11 * S, {"shed": 4}, (0.4, 0.2), 2, 0, 0, 0),
        GatewayLogRecord(11 * S, {"none": 2}, (0.0, 0.0), 0, 6, 8, 2),
    ]
    samples = [HostSample(11 * S, 5, 1), HostSample(11 * S + 1, 5, 0), HostSample(20 * S, 9, 1)]
    row, next_row = RunAccounting([], [], 2, 1, 10.0, samples, log_records).compute_rows(WINDOWS)
    assert row.why == {"shed": 2.0, "none": 1.0} and (row.shed, row.shed_dear) == (0.2, 0.1)
    assert (row.shed_from, row.shed_to, row.trips) == (0.0, 0.4, 1.0)
    assert (row.host_timeouts, row.full, row.cancelled, row.choked) == (1.0, 3.0, 4.0, 0.5)
    assert next_row.why == {} and next_row.choked == 0.0


TIMES_S = st.floats(10.0, 14.0)
ATTEMPTS = st.lists(
    st.tuples(st.sampled_from("abc"), TIMES_S, st.floats(0.01, 3.0), st.floats(0.0, 3.0), st.booleans()), max_size=8
)


@given(ATTEMPTS, st.lists(st.tuples(st.sampled_from("abc"), TIMES_S, st.floats(0.1, 2.0)), max_size=3))
def test_core_time_is_counted_exactly_once(
    drawn_attempts: list[tuple[str, float, float, float, bool]], drawn_operations: list[tuple[str, float, float]]
) -> None:
    operations = [
        make_operation(id_, at_s, (timeout_s, at_s + timeout_s / 2, 200)) for id_, at_s, timeout_s in drawn_operations
    ]
    attempts = [
        make_attempt(
            id_,
            start_s,
            start_s + duration_s,
            "cancelled" if is_abandoned else "ok",
            duration_s / 2,
            start_s + abandoned_after_s if is_abandoned else 0.0,
        )
        for id_, start_s, duration_s, abandoned_after_s, is_abandoned in drawn_attempts
    ]
    rows = compute_rows(operations, attempts)
    used_us = sum(max(0, min(attempt.core_released_us, 14 * S) - attempt.started_us) for attempt in attempts)
    counted_us = sum(r.useful + r.slowed + r.handshake + r.lost + r.nobody + r.copy for r in rows) * 2 * 2 * S
    assert counted_us == pytest.approx(used_us, abs=100)
    assert all(min(r.useful, r.slowed, r.lost, r.nobody, r.copy) >= 0 for r in rows)


def test_service_has_recovered_once_99_percent_of_the_next_two_seconds_are_served() -> None:
    starts_s = [10.0 + n / 100 for n in range(600)]
    operations = [
        make_operation(f"{n}", start_s, (0.5, start_s + 0.1, 503 if start_s < 11.0 else 200))
        for n, start_s in enumerate(starts_s)
    ]
    recovery_us = RunAccounting(operations, [], 2, 1, 10.0).recovery_time_us(10 * S, 16 * S)
    assert recovery_us is not None and 900_000 <= recovery_us <= 1_000_000
    assert RunAccounting(operations, [], 2, 1, 10.0).recovery_time_us(10 * S, int(12.5 * S)) is None


# Reading the records


def test_operations_and_request_outcomes_are_read_from_the_event_log() -> None:
    event_log = EventLog()
    for event in (
        OperationStarted(1, "a", "hold", "kita-room"), RequestSent(2, "a", "hold", "n0", 100, first_id="a"),
        # The connection was closed before the gateway read the request; the client sends the same request again.
        RequestSent(3, "a", "hold", "n1", 100, first_id="a", is_resend=True),
        ResponseReceived(50, "a", 503, "", 20_000),
        RequestSent(70, "a-1", "hold", "n0", 100, first_id="a"), ResponseReceived(171, "a-1", 200, "a-1"),
        RequestSent(180, "a-2", "hold", "n0", 50, first_id="a"), ResponseMissing(500, "a-2", "none"),
        ResponseReceived(501, "a-2", 200),
    ):  # fmt: skip
        event_log.add(event)
    (operation,) = read_operations(event_log)
    rejected, late, missing = operation.requests_by_id.values()
    assert (rejected.sent_us, rejected.status, rejected.wait_end_us, rejected.is_timeout) == (2, 503, 50, False)
    assert (late.status, late.is_good, late.is_timeout, late.wait_end_us) == (200, False, True, 170)
    assert (missing.status, missing.is_timeout, missing.wait_end_us, operation.served_us) == (0, True, 230, 0)


def test_log_lines_are_read_with_their_preceding_breaker_trips_and_an_incomplete_line_is_an_error(
    tmp_path: Path,
) -> None:
    line = (
        'cloverkeel: tally {"ms":20500,"shed":[0.5,0.1],"asked":[9],"refused":[1],"why":{"shed":1},"failed":[0],'
        '"opened":0,"lines":0,"hosts":{"1":[7,1,0,2,3,0,0,1,9],"2":[1,0,0,0,1,0,0,0,0]}}'
    )
    trip = "cloverkeel: circuit breaker: opened, server=2 cooldown_s=1"
    (tmp_path / "n0.log").write_text("\n".join([trip, trip, "cloverkeel: ready", line, line]))
    first, second = read_gateway_logs(tmp_path)
    assert (first.middle_us, first.rejections_by_reason, first.shed_shares) == (20_000_000, {"shed": 1}, (0.5, 0.1))
    assert (
        first.host_timeouts,
        first.full_rejections,
        first.cancelled_attempts,
        first.breaker_trips,
        second.breaker_trips,
    ) == (4, 2, 1, 2, 0)
    (tmp_path / "n1.log").write_text(line.replace("[0.5,0.1]", "[0.5]"))
    with pytest.raises(ValueError):
        list(read_gateway_logs(tmp_path))


def test_machine_usage_is_computed_between_two_snapshots() -> None:
    first = UsageSnapshot(0, 100, 1000, {EMULATOR: (0, 0, 0), "n0": (5, 5, 5), "gone": (0, 0, 0)})
    last = UsageSnapshot(
        1_000_000, 150, 1200, {EMULATOR: (500_000_000, 10_000_000, 100), "n0": (200_000_005, 40_000_005, 105)}
    )
    assert usage_between(first, last) == MachineUsage(0.5, 0.2, 400.0, 0.25)


# Void rows and findings


def make_row(direction: str, load: float, useful: float) -> Row:
    return Row(f"{direction} {load:g}", direction, load, 6.0, offered=150 * load, useful=useful, reach=useful)


@pytest.mark.parametrize(
    ("machine", "stretch", "expected_prefix"),
    [
        (MachineUsage(0.5, 0.5, 900, 0.0), 0.01, ""),
        (MachineUsage(0.5, 0.5, 900, 0.9), 0.06, "hosts' cores"),
        (MachineUsage(0.9, 0.5, 900, 0.9), 0.01, "the stand-ins' process"),
        (MachineUsage(0.5, 0.9, 900, 0.9), 0.01, "a gateway"),
        (MachineUsage(0.5, 0.5, 1100, 0.9), 0.01, "a process waited"),
    ],
)
def test_row_is_void_where_the_machine_may_have_been_the_limit(
    machine: MachineUsage, stretch: float, expected_prefix: str
) -> None:
    reasons = void_reasons(replace(make_row("up", 0.6, 0.6), machine=machine, stretch=stretch))
    assert [reason.startswith(expected_prefix) for reason in reasons] == ([True] if expected_prefix else [])


def test_assessment_accepts_a_fleet_that_keeps_its_goodput_and_reports_each_violated_requirement() -> None:
    good = [
        make_row("up", 0.6, 0.6), make_row("up", 2.5, 0.95), make_row("up", 4.0, 0.9), make_row("down", 2.5, 0.94),
        make_row("down", 0.6, 0.6), make_row("surge", 4.0, 0.9), make_row("after", 0.6, 0.6),
    ]  # fmt: skip
    good[2].why, good[2].runs = {"shed": 300.0}, 1.04

    def violated(rows: list[Row], recovery_s: float | None = 2.0) -> list[str]:
        return [finding.what.partition(" (")[0] for finding in assess(rows, recovery_s) if not finding.holds]

    assert violated(good) == [] and len(assess(good, 2.0)) == 7
    assert violated([*good[:2], replace(good[2], useful=0.8), *good[3:]]) == ["goodput at 4, up, of its best"]
    assert violated([*good[:4], replace(good[4], reach=0.57), *good[5:]]) == ["goodput at 0.6, down against up"]
    assert violated(good, None) == violated(good, 3.1) == ["seconds from the surge's end until 99% is served"]
    assert violated([*good[:2], replace(good[2], runs=1.06), *good[3:]]) == ["runs at hosts a request while shedding"]
    # A void row does not count as the best goodput, and a finding based on it is marked void.
    void = [replace(good[0], useful=1.5, void=["busy"]), *good[1:]]
    assert violated(void) == [] and [f.void for f in assess(void, 2.0)].count(True) == 1


# The command


def test_steps_go_up_and_down_through_the_same_loads() -> None:
    steps = make_steps(LOADS, 6.0, 6.0, 8.0)
    loads_by_direction = {
        direction: [step.load for step in steps if step.direction == direction]
        for direction in ("empty", "up", "down", "surge")
    }
    assert loads_by_direction == {
        "empty": [0.9],
        "up": list(LOADS),
        "down": list(reversed(LOADS[:-1])),
        "surge": [4.0],
    }
    assert steps[-1] == Step("after", 0.6, 8.0)


@pytest.mark.parametrize(
    "arguments",
    [
        ("--gateways", "2,x"), ("--gateways", "0"), ("--gateways", "65"), ("--step", "0.5"), ("--honour", "1.1"),
        ("--retries", "21"), ("--attempts", "0"), ("--law", "soft=1"), ("--law", "easy=few"), ("--law", "steep=-1"),
        ("--law", "stale=1"), ("--seeds", "x"),
    ],
)  # fmt: skip
def test_invalid_argument_is_rejected_with_the_expected_values(
    arguments: tuple[str, str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert command.main(["picture", *arguments]) == 2
    error_output = capsys.readouterr().err
    assert "expected" in error_output or "seeds" in error_output


def test_overload_model_is_parsed_from_its_fields() -> None:
    assert command.parse_overload_model("off") is None and command.parse_overload_model("") == OverloadModel()
    assert command.parse_overload_model("easy=4,steep=0.1,stale=no") == OverloadModel(easy=4, steep=0.1, stale=False)
    assert round_figures({"a": [float("inf"), 0.12345]}) == {"a": [None, 0.1235]}


@pytest.mark.timeout(60)
def test_small_run_reports_consistent_figures(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Real gateways. The figures depend on this machine and are not assessed, but their sums must agree."""
    steps = (Step("empty", 0.9, 1.0), Step("up", 0.6, 1.0), Step("up", 4.0, 1.0), Step("down", 0.6, 1.0))
    file, results = tmp_path / "report.json", list[RunResult]()
    monkeypatch.setattr(command, "plan_runs", lambda options: [RunSettings(2, 1, steps)])
    monkeypatch.setattr(command, "print_results", lambda printed, console: results.extend(printed))
    assert command.main(["picture", "--json", str(file)]) == (1 if any(row.void for row in results[0].steps) else 0)
    (result,) = results
    empty, low, overload, last = result.steps
    assert [row.load for row in result.steps] == [0.9, 0.6, 4.0, 0.6] and not result.defects
    assert overload.offered > 3 * max(low.offered, 1.0) and overload.good > 0 and sum(overload.why.values()) > 0
    assert overload.refused > 0 and overload.tries > 1 and 0 < overload.useful <= 1
    for row in result.steps:
        shares = row.useful + row.slowed + row.handshake + row.wasted + row.idle
        assert shares == pytest.approx(1.0) and row.idle >= -0.01 and row.held > 0
    by_step, by_second = (sum(row.good * row.seconds for row in rows) for rows in (result.steps, result.seconds))
    assert by_step == pytest.approx(by_second)
    report = json.loads(file.read_text())
    assert report["conditions"].keys() >= {"commit", "cores", "load", "build"}
    assert report["plays"][0]["terms"]["seed"] == 1 and len(report["plays"][0]["steps"]) == 4
