"""The picture of an overload: its account and its judgement, as pure code; and a play of it, as small as can be."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.overload import __main__ as command
from benchmarks.overload.account import Account, Machine, Row, Sample, Told, Try, Want, Window, Work, judge, voids
from benchmarks.overload.plan import LOADS, Step, Terms, steps
from benchmarks.overload.play import OWN, Mark, Play, between, rounded, told_of, wants_of
from standins.event_log import EventLog, OperationStarted, RequestSent, ResponseMissing, ResponseReceived
from standins.parties.overload_model import OverloadModel

S = 1_000_000
WINDOWS = [Window("one", 0.9, 10 * S, 12 * S, "up"), Window("two", 1.6, 12 * S, 14 * S, "up")]


def run(id_: str, began: float, freed: float, how: str = "ok", work: float | None = None, gone: float = 0.0) -> Work:
    """Times in seconds. It waited for a tenth, and its answer went out a tenth after its core was free."""
    spans = int((freed - began) * S)
    work_us = spans if work is None else int(work * S)
    return Work(
        id_, int((began - 0.1) * S), int(began * S), int(freed * S), int((freed + 0.1) * S), work_us, 0, spans,
        int(gone * S), how,
    )  # fmt: skip


def want(id_: str, at: float, *tries: tuple[float, float, int]) -> Want:
    """Each try: how long its client waits, when it ended, its status."""
    made = Want(int(at * S), "search")
    for number, (waits, ended, status) in enumerate(tries):
        name = f"{id_}-{number}" if number else id_
        made.tries[name] = Try(made.at_us, int((at + waits) * S), int(ended * S), status)
    return made


def account(wants: list[Want], works: list[Work]) -> list[Row]:
    return Account(wants, works, cores=2, hosts=1, capacity=10.0).rows(WINDOWS)


# Where the hosts' time went


def test_work_behind_a_good_answer_is_useful_where_it_ran_and_what_it_took_beyond_is_slowed() -> None:
    one, two = account([want("a", 11.0, (2.0, 12.7, 200))], [run("a", 11.5, 12.5, work=0.8)])
    assert one.useful == pytest.approx(0.5 * 0.8 / 4) == pytest.approx(two.useful)
    assert one.slowed == pytest.approx(0.5 * 0.2 / 4)
    assert (one.served, one.offered, one.good, two.good) == (1.0, 0.5, 0.0, 0.5)
    assert one.runs == 1.0 and one.idle == pytest.approx(1 - one.useful - one.slowed)


def test_work_is_lost_until_its_client_goes_and_for_nobody_from_then_on() -> None:
    # It waits until 11.5; its gateway closed at 11.25; its host works until 11.75.
    for gone, waited in ((0.0, 0.5), (11.25, 0.25)):
        one, _ = account([want("a", 10.5, (1.0, 0.0, 0))], [run("a", 11.0, 11.75, "cancelled", gone=gone)])
        assert one.lost == pytest.approx(waited / 4) and one.nobody == pytest.approx((0.75 - waited) / 4)
        assert (one.useful, one.timeouts, one.served, one.begun_for_nobody) == (0.0, 0.5, 0.0, 0.0)


def test_an_answer_that_comes_too_late_is_no_good_one_and_a_run_that_began_after_that_is_for_nobody() -> None:
    one, _ = account([want("a", 10.0, (0.5, 11.2, 200))], [run("a", 10.6, 11.1)])
    assert (one.good, one.timeouts, one.useful, one.lost) == (0.0, 0.5, 0.0, 0.0)
    assert one.nobody == pytest.approx(0.5 / 4) and one.begun_for_nobody == 0.5


@pytest.mark.parametrize("came", [11.0, 11.7])  # before the second run's answer was out, and after it
def test_of_two_runs_of_a_request_the_one_that_was_answered_first_is_useful_and_the_other_a_copy(came: float) -> None:
    one, _ = account([want("a", 10.2, (1.6, came, 200))], [run("a", 10.3, 10.9), run("a", 10.5, 11.5)])
    assert one.useful == pytest.approx(0.6 / 4, 1e-4) and one.copy == pytest.approx(1.0 / 4, 1e-4)
    assert one.nobody == 0.0 and one.lost == 0.0
    assert one.runs == 2.0 and one.arrived == 1.0


def test_a_want_is_served_once_by_any_of_its_tries_and_each_refusal_counts() -> None:
    one, _ = account([want("a", 10.1, (0.5, 10.2, 503), (1.0, 10.9, 200))], [run("a-1", 10.4, 10.8)])
    assert (one.good, one.refused, one.timeouts, one.tries, one.served) == (0.5, 0.5, 0.0, 2.0, 1.0)


def test_what_gateways_and_looks_tell_is_of_the_window_that_it_is_in() -> None:
    told = [Told(11 * S, {"shed": 4}, (0.4, 0.2), 2, 0, 0, 0), Told(11 * S, {"none": 2}, (0.0, 0.0), 0, 6, 8, 2)]
    samples = [Sample(11 * S, 5, 1), Sample(11 * S + 1, 5, 0), Sample(20 * S, 9, 1)]
    one, two = Account([], [], 2, 1, 10.0, samples, told).rows(WINDOWS)
    assert one.why == {"shed": 2.0, "none": 1.0} and (one.shed, one.shed_dear) == (0.2, 0.1)
    assert (one.shed_from, one.shed_to, one.trips) == (0.0, 0.4, 1.0)
    assert (one.host_timeouts, one.full, one.cancelled, one.choked) == (1.0, 3.0, 4.0, 0.5)
    assert two.why == {} and two.choked == 0.0


MOMENT = st.floats(10.0, 14.0)
RUNS = st.lists(
    st.tuples(st.sampled_from("abc"), MOMENT, st.floats(0.01, 3.0), st.floats(0.0, 3.0), st.booleans()), max_size=8
)


@given(RUNS, st.lists(st.tuples(st.sampled_from("abc"), MOMENT, st.floats(0.1, 2.0)), max_size=3))
def test_each_moment_of_a_core_is_counted_once(
    runs: list[tuple[str, float, float, float, bool]], asked: list[tuple[str, float, float]]
) -> None:
    wants = [want(id_, at, (waits, at + waits / 2, 200)) for id_, at, waits in asked]
    works = [
        run(id_, at, at + took, "cancelled" if leaves else "ok", took / 2, at + gone if leaves else 0.0)
        for id_, at, took, gone, leaves in runs
    ]
    rows = account(wants, works)
    held = sum(max(0, min(work.freed_us, 14 * S) - work.began_us) for work in works)
    counted = sum(r.useful + r.slowed + r.handshake + r.lost + r.nobody + r.copy for r in rows) * 2 * 2 * S
    assert counted == pytest.approx(held, abs=100)
    assert all(min(r.useful, r.slowed, r.lost, r.nobody, r.copy) >= 0 for r in rows)


def test_service_is_back_once_two_seconds_together_have_ninety_nine_in_a_hundred() -> None:
    at = [10.0 + n / 100 for n in range(600)]
    wants = [want(f"{n}", when, (0.5, when + 0.1, 503 if when < 11.0 else 200)) for n, when in enumerate(at)]
    found = Account(wants, [], 2, 1, 10.0).served_again_us(10 * S, 16 * S)
    assert found is not None and 900_000 <= found <= 1_000_000
    assert Account(wants, [], 2, 1, 10.0).served_again_us(10 * S, int(12.5 * S)) is None


# What the parties wrote, as the account takes it


def test_a_ledger_tells_each_want_its_tries_and_what_became_of_them() -> None:
    ledger = EventLog()
    for entry in (
        OperationStarted(1, "a", "hold", "kita-room"), RequestSent(2, "a", "hold", "n0", 100, first_id="a"),
        # Its connection was closed before it was read: the same try, once more.
        RequestSent(3, "a", "hold", "n1", 100, first_id="a", is_resend=True),
        ResponseReceived(50, "a", 503, "", 20_000),
        RequestSent(70, "a-1", "hold", "n0", 100, first_id="a"), ResponseReceived(171, "a-1", 200, "a-1"),
        RequestSent(180, "a-2", "hold", "n0", 50, first_id="a"), ResponseMissing(500, "a-2", "none"),
        ResponseReceived(501, "a-2", 200),
    ):  # fmt: skip
        ledger.add(entry)
    (only,) = wants_of(ledger)
    first, late, none = only.tries.values()
    assert (first.asked_us, first.status, first.over_us, first.is_timeout) == (2, 503, 50, False)
    assert (late.status, late.is_good, late.is_timeout, late.over_us) == (200, False, True, 170)
    assert (none.status, none.is_timeout, none.over_us, only.good_us) == (0, True, 230, 0)


def test_the_lines_of_the_log_are_added_up_by_second_and_what_is_not_whole_is_an_error(tmp_path: Path) -> None:
    line = (
        'cloverkeel: tally {"ms":20500,"shed":[0.5,0.1],"asked":[9],"refused":[1],"why":{"shed":1},"failed":[0],'
        '"opened":0,"lines":0,"hosts":{"1":[7,1,0,2,3,0,0,1,9],"2":[1,0,0,0,1,0,0,0,0]}}'
    )
    trip = "cloverkeel: circuit breaker: opened, server=2 cooldown_s=1"
    (tmp_path / "n0.log").write_text("\n".join([trip, trip, "cloverkeel: ready", line, line]))
    first, second = told_of(tmp_path)
    assert (first.at_us, first.why, first.shed) == (20_000_000, {"shed": 1}, (0.5, 0.1))
    assert (first.timeouts, first.full, first.cancelled, first.trips, second.trips) == (4, 2, 1, 2, 0)
    (tmp_path / "n1.log").write_text(line.replace("[0.5,0.1]", "[0.5]"))
    with pytest.raises(ValueError):
        list(told_of(tmp_path))


def test_what_processes_used_and_waited_for_is_told_from_mark_to_mark() -> None:
    one = Mark(0, 100, 1000, {OWN: (0, 0, 0), "n0": (5, 5, 5), "gone": (0, 0, 0)})
    other = Mark(1_000_000, 150, 1200, {OWN: (500_000_000, 10_000_000, 100), "n0": (200_000_005, 40_000_005, 105)})
    assert between(one, other) == Machine(0.5, 0.2, 400.0, 0.25)


# What is void, and what is wanted


def row(direction: str, load: float, useful: float) -> Row:
    return Row(f"{direction} {load:g}", direction, load, 6.0, offered=150 * load, useful=useful, reach=useful)


@pytest.mark.parametrize(
    ("machine", "stretch", "said"),
    [
        (Machine(0.5, 0.5, 900, 0.0), 0.01, ""),
        (Machine(0.5, 0.5, 900, 0.9), 0.06, "hosts' cores"),
        (Machine(0.9, 0.5, 900, 0.9), 0.01, "the stand-ins' process"),
        (Machine(0.5, 0.9, 900, 0.9), 0.01, "a gateway"),
        (Machine(0.5, 0.5, 1100, 0.9), 0.01, "a process waited"),
    ],
)
def test_a_row_is_void_where_the_machine_may_have_been_the_limit(machine: Machine, stretch: float, said: str) -> None:
    found = voids(replace(row("up", 0.6, 0.6), machine=machine, stretch=stretch))
    assert [each.startswith(said) for each in found] == ([True] if said else [])


def test_the_judgement_finds_a_fleet_that_keeps_its_goodput_good_and_each_that_does_not_bad() -> None:
    good = [
        row("up", 0.6, 0.6), row("up", 2.5, 0.95), row("up", 4.0, 0.9), row("down", 2.5, 0.94),
        row("down", 0.6, 0.6), row("surge", 4.0, 0.9), row("after", 0.6, 0.6),
    ]  # fmt: skip
    good[2].why, good[2].runs = {"shed": 300.0}, 1.04

    def wrong(rows: list[Row], recovery_s: float | None = 2.0) -> list[str]:
        return [finding.what.partition(" (")[0] for finding in judge(rows, recovery_s) if not finding.holds]

    assert wrong(good) == [] and len(judge(good, 2.0)) == 7
    assert wrong([*good[:2], replace(good[2], useful=0.8), *good[3:]]) == ["goodput at 4, up, of its best"]
    assert wrong([*good[:4], replace(good[4], reach=0.57), *good[5:]]) == ["goodput at 0.6, down against up"]
    assert wrong(good, None) == wrong(good, 3.1) == ["seconds from the surge's end until 99% is served"]
    assert wrong([*good[:2], replace(good[2], runs=1.06), *good[3:]]) == ["runs at hosts a request while shedding"]
    # A void row is no measure of the best, and what rests on it says so.
    void = [replace(good[0], useful=1.5, void=["busy"]), *good[1:]]
    assert wrong(void) == [] and [f.void for f in judge(void, 2.0)].count(True) == 1


# The command


def test_the_steps_go_up_and_down_by_the_same_loads() -> None:
    made = steps(LOADS, 6.0, 6.0, 8.0)
    loads = {way: [step.load for step in made if step.direction == way] for way in ("empty", "up", "down", "surge")}
    assert loads == {"empty": [0.9], "up": list(LOADS), "down": list(reversed(LOADS[:-1])), "surge": [4.0]}
    assert made[-1] == Step("after", 0.6, 8.0)


@pytest.mark.parametrize(
    "words",
    [
        ("--gateways", "2,x"), ("--gateways", "0"), ("--gateways", "65"), ("--step", "0.5"), ("--honour", "1.1"),
        ("--retries", "21"), ("--attempts", "0"), ("--law", "soft=1"), ("--law", "easy=few"), ("--law", "steep=-1"),
        ("--law", "stale=1"), ("--seeds", "x"),
    ],
)  # fmt: skip
def test_a_mistake_in_the_call_is_named(words: tuple[str, str], capsys: pytest.CaptureFixture[str]) -> None:
    assert command.main(["picture", *words]) == 2
    said = capsys.readouterr().err
    assert "expected" in said or "seeds" in said


def test_a_law_is_told_by_its_fields() -> None:
    assert command.parse_law("off") is None and command.parse_law("") == OverloadModel()
    assert command.parse_law("easy=4,steep=0.1,stale=no") == OverloadModel(easy=4, steep=0.1, stale=False)
    assert rounded({"a": [float("inf"), 0.12345]}) == {"a": [None, 0.1235]}


@pytest.mark.timeout(60)
def test_a_small_play_tells_what_hosts_and_clients_saw(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Real gateways; the figures are this machine's and judged by nobody, their sums must agree."""
    small = (Step("empty", 0.9, 1.0), Step("up", 0.6, 1.0), Step("up", 4.0, 1.0), Step("down", 0.6, 1.0))
    file, kept = tmp_path / "made.json", list[Play]()
    monkeypatch.setattr(command, "terms_of", lambda options: [Terms(2, 1, small)])
    monkeypatch.setattr(command, "show", lambda plays, console: kept.extend(plays))
    assert command.main(["picture", "--json", str(file)]) == (1 if any(row.void for row in kept[0].steps) else 0)
    (play,) = kept
    empty, calm, crowd, last = play.steps
    assert [row.load for row in play.steps] == [0.9, 0.6, 4.0, 0.6] and not play.faults
    assert crowd.offered > 3 * max(calm.offered, 1.0) and crowd.good > 0 and sum(crowd.why.values()) > 0
    assert crowd.refused > 0 and crowd.tries > 1 and 0 < crowd.useful <= 1
    for row in play.steps:
        parts = row.useful + row.slowed + row.handshake + row.wasted + row.idle
        assert parts == pytest.approx(1.0) and row.idle >= -0.01 and row.held > 0
    by_step, by_second = (sum(row.good * row.seconds for row in rows) for rows in (play.steps, play.seconds))
    assert by_step == pytest.approx(by_second)
    made = json.loads(file.read_text())
    assert made["conditions"].keys() >= {"commit", "cores", "load", "build"}
    assert made["plays"][0]["terms"]["seed"] == 1 and len(made["plays"][0]["steps"]) == 4
