"""The auditor finds each planted breach, passes its nearest miss, and says nothing of a clean account."""

from __future__ import annotations

import random
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.checker import Checker, Violation, find_violations
from standins.event_log import (
    BackendAttempt,
    BackendStarted,
    BackendStopped,
    ClientDisconnected,
    DiscoveryPoll,
    EndpointChanged,
    Event,
    EventLog,
    ManualEjection,
    MisbehavingClient,
    NotificationDelivered,
    ProcessEvent,
    RequestSent,
    ResourceUsage,
    ResponseMissing,
    ResponseReceived,
    RuleOverrides,
    SchedulingDelay,
    UnexpectedBytes,
)

S = 1_000_000  # µs
T0 = 1_000 * S
BUDGET = 300_000
MS = 1_000


def started(gateway: str = "n0", at_us: int = T0 - 10 * S) -> list[Event]:
    return [ProcessEvent(at_us, gateway, "start"), DiscoveryPoll(at_us, gateway)]


def asked(id_: str = "r", klass: str = "search", at_us: int = T0, budget_us: int = BUDGET) -> RequestSent:
    return RequestSent(at_us, id_, klass, "n0", budget_us, idempotency_key=f"k-{id_}" if klass == "hold" else "")


def ran(
    id_: str = "r", klass: str = "search", at_us: int = T0 + 2 * MS, box: str = "s-0", how: str = "ok",
    took_us: int = 80 * MS, group: int = 0, whole: bool = True, work_us: int = 50 * MS, incarnation: int = 1,
) -> BackendAttempt:  # fmt: skip
    run = BackendAttempt(at_us, box, incarnation, group, id_, klass, gateway="n0", work_us=work_us, how=how)
    if whole:
        run.received_us = at_us + 100
    if how not in ("rejected", "coming"):
        run.started_us = at_us + 200
    run.ended_us = at_us + took_us
    return run


def answered(id_: str = "r", at_us: int = T0 + 90 * MS, status: int = 200) -> ResponseReceived:
    return ResponseReceived(at_us, id_, status, id_ if status == 200 else "")


def cold_box(at_us: int = T0 - S) -> BackendStarted:
    return BackendStarted(at_us, "s-0", 1, 2, 0.3, 9 * S)


def load_of(total_us: int, count: int = 10, first_us: int = T0, name: str = "w") -> list[Event]:
    """So much work, sent in equal parts within 0.9 s; each is asked for and served."""
    entries: list[Event] = []
    for n in range(count):
        at_us = first_us + n * 900_000 // count
        id_ = f"{name}{n}"
        entries += [
            asked(id_, at_us=at_us),
            ran(id_, at_us=at_us + 2 * MS, work_us=total_us // count),
            answered(id_, at_us + 90 * MS),
        ]
    return entries


def cold_limit_us(last_sent_us: int) -> int:
    """What a box that cold_box() started stands at the moment at which the last of a load came whole."""
    age = (last_sent_us + 100 - (T0 - S)) / (9 * S)
    return int(3 * (0.3 + 0.7 * age) * 2 * S)


LAST_SENT = T0 + 9 * 90 * MS + 2 * MS
CLEAN = [*started(), asked(), ran(), answered()]
ALONE = RuleOverrides(T0 - 20 * S, {"second_copies": False}, {})
TOLD = NotificationDelivered(T0 - 2 * S, "n0", "s-0", "DRAINING")


def at_grace(over_us: int) -> list[Event]:
    """A first byte so long after the grace of a drain."""
    first_us = T0 + 2 * MS
    told = replace(TOLD, at_us=first_us - S - over_us)
    return [*started(), told, asked(), ran(at_us=first_us), answered()]


def hold_again(after_us: int, group: int = 0) -> list[Event]:
    first = ran(klass="hold", how="cancelled", at_us=T0)
    second = ran(klass="hold", box="s-2", at_us=T0 + after_us, group=group, how="duplicate")
    final = answered(at_us=T0 + after_us + 90 * MS)
    return [*started(), asked(klass="hold", at_us=T0 - MS, budget_us=3 * S), first, second, final]


# rule, name, a breach, and the nearest thing that is none
PLANTED: list[tuple[str, str, list[Event], list[Event]]] = [
    (
        "missing",
        "an answer 51 ms late, and 49 ms",
        [*started(), asked(), ran(took_us=340 * MS), answered(at_us=T0 + BUDGET + 51 * MS)],
        [*started(), asked(), ran(took_us=340 * MS), answered(at_us=T0 + BUDGET + 49 * MS)],
    ),
    (
        "missing",
        "a connection ended by a gateway that lives, and by one that was killed",
        [*started(), asked(), ran(), ResponseMissing(T0 + 50 * MS, "r", "reset")],
        [
            *started(),
            asked(),
            ran(),
            ProcessEvent(T0 + 49 * MS, "n0", "KILL"),
            ResponseMissing(T0 + 50 * MS, "r", "reset"),
            ProcessEvent(T0 + 51 * MS, "n0", "exit", -9),
        ],
    ),
    (
        "missing",
        "no word at all, and a client that had left",
        [*started(), asked(), ran(), answered("other", T0 + 5 * S), asked("other"), ran("other")],
        [
            *started(),
            asked(),
            ran(),
            ClientDisconnected(T0 + 50 * MS, "r"),
            answered("other"),
            asked("other"),
            ran("other"),
        ],
    ),
    (
        "missing",
        "served with another's answer, and with its own",
        [*started(), asked(), ran(), ResponseReceived(T0 + 90 * MS, "r", 200, "q")],
        CLEAN,
    ),
    (
        "missing",
        "served when no box had answered, and a failure that says so",
        [*started(), asked(), ran(how="cancelled"), answered()],
        [*started(), asked(), ran(how="cancelled"), answered(status=502)],
    ),
    (
        "missing",
        "sent 51 ms after the final answer, and 49 ms",
        [*CLEAN, ran(box="s-1", at_us=T0 + 141 * MS + 1)],
        [*CLEAN, ran(box="s-1", at_us=T0 + 139 * MS)],
    ),
    (
        "missing",
        "SIGKILL 0.8 s after SIGTERM finds it unanswered, and 0.6 s after",
        [
            *started(),
            asked(budget_us=2 * S),
            ProcessEvent(T0 + MS, "n0", "TERM"),
            ProcessEvent(T0 + 801 * MS, "n0", "KILL"),
            ResponseMissing(T0 + 802 * MS, "r", "reset"),
        ],
        [
            *started(),
            asked(budget_us=2 * S),
            ProcessEvent(T0 + MS, "n0", "TERM"),
            ProcessEvent(T0 + 601 * MS, "n0", "KILL"),
            ResponseMissing(T0 + 602 * MS, "r", "reset"),
        ],
    ),
    (
        "missing",
        "bytes after the answer, and none",
        [*CLEAN, UnexpectedBytes(T0 + 95 * MS, "r", "HTTP/1.1 200 OK")],
        CLEAN,
    ),
    (
        "missing",
        "a client that hid a request in another is served, and refused",
        [*CLEAN, MisbehavingClient(T0, "both framings", "n0", T0 + 90 * MS, 200)],
        [*CLEAN, MisbehavingClient(T0, "both framings", "n0", T0 + 90 * MS, 400)],
    ),
    (
        "twice",
        "a transfer sent on after a reset, and after it was turned away",
        [
            *started(),
            asked(klass="transfer"),
            ran(klass="transfer", how="error", took_us=20 * MS),
            ran(klass="transfer", box="s-1", at_us=T0 + 30 * MS, took_us=50 * MS),
            answered(),
        ],
        [
            *started(),
            asked(klass="transfer"),
            ran(klass="transfer", how="rejected", took_us=20 * MS),
            ran(klass="transfer", box="s-1", at_us=T0 + 30 * MS, took_us=50 * MS),
            answered(),
        ],
    ),
    (
        "twice",
        "a transfer sent on before it was turned away, and one that never came whole",
        [
            *started(),
            asked(klass="transfer"),
            ran(klass="transfer", how="rejected", took_us=40 * MS),
            ran(klass="transfer", box="s-1", at_us=T0 + 30 * MS, took_us=50 * MS),
            answered(),
        ],
        [
            *started(),
            asked(klass="transfer"),
            ran(klass="transfer", how="coming", whole=False),
            ran(klass="transfer", box="s-1", at_us=T0 + 30 * MS, took_us=50 * MS),
            answered(),
        ],
    ),
    (
        "twice",
        "a client asks again after a close by a gateway that lives, and by one that was killed",
        [
            *started(),
            *started("n1"),
            asked(klass="transfer"),
            ran(klass="transfer", how="cancelled"),
            replace(asked(klass="transfer", at_us=T0 + 50 * MS), gateway="n1", is_resend=True),
            replace(ran(klass="transfer", at_us=T0 + 51 * MS, took_us=30 * MS), gateway="n1"),
            answered(),
        ],
        [
            *started(),
            *started("n1"),
            asked(klass="transfer"),
            ran(klass="transfer", how="cancelled"),
            ProcessEvent(T0 + 40 * MS, "n0", "KILL"),
            ProcessEvent(T0 + 41 * MS, "n0", "exit", -9),
            replace(asked(klass="transfer", at_us=T0 + 50 * MS), gateway="n1", is_resend=True),
            replace(ran(klass="transfer", at_us=T0 + 51 * MS, took_us=30 * MS), gateway="n1"),
            answered(),
        ],
    ),
    (
        "twice",
        "a transfer refused that may have run, and failed",
        [*started(), asked(klass="transfer"), ran(klass="transfer", how="cancelled"), answered(status=503)],
        [*started(), asked(klass="transfer"), ran(klass="transfer", how="cancelled"), answered(status=504)],
    ),
    ("twice", "a hold again after 1.51 s, and after 1.49 s", hold_again(1_510 * MS), hold_again(1_490 * MS)),
    ("twice", "a hold again in another group, and in its own", hold_again(100 * MS, 1), hold_again(100 * MS, 0)),
    (
        "twice",
        "a hold refused that may have run, and a search",
        [*started(), asked(klass="hold"), ran(klass="hold", how="cancelled"), answered(status=429)],
        [*started(), asked(), ran(how="cancelled"), answered(status=429)],
    ),
    ("drain", "a first byte 51 ms after the grace, and 49 ms", at_grace(51 * MS), at_grace(49 * MS)),
    (
        "drain",
        "sent after the grace, and begun before it and ended after",
        [*started(), TOLD, asked(), ran(), answered()],
        [
            *started(),
            replace(TOLD, at_us=T0 - 900 * MS),
            asked(budget_us=S),
            ran(took_us=700 * MS),
            answered(at_us=T0 + 710 * MS),
        ],
    ),
    (
        "drain",
        "told that it is gone, and told since that it serves again",
        [*started(), replace(TOLD, status="DELETED"), asked(), ran(), answered()],
        [
            *started(),
            replace(TOLD, status="DELETED"),
            NotificationDelivered(T0 - MS, "n0", "s-0", "SERVING"),
            asked(),
            ran(),
            answered(),
        ],
    ),
    (
        "drain",
        "silent to the registry for longer than allowed, and watching",
        [
            ProcessEvent(T0 - 30 * S, "n0", "start"),
            DiscoveryPoll(T0 - 30 * S, "n0", T0 - 20 * S),
            EndpointChanged(T0 - 15 * S, "s-0", "DRAINING"),
            asked(),
            ran(),
            answered(),
        ],
        [
            ProcessEvent(T0 - 30 * S, "n0", "start"),
            DiscoveryPoll(T0 - 30 * S, "n0"),
            EndpointChanged(T0 - 15 * S, "s-0", "DRAINING"),
            asked(),
            ran(),
            answered(),
        ],
    ),
    (
        "drain",
        "out by hand though the list has it as serving, and put back",
        [
            *started(),
            ManualEjection(T0 - 2 * S, "n0", "s-0"),
            NotificationDelivered(T0 - MS, "n0", "s-0", "SERVING"),
            asked(),
            ran(),
            answered(),
        ],
        [*started(), ManualEjection(T0 - 2 * S, "n0", "s-0", T0 - MS), asked(), ran(), answered()],
    ),
    (
        "drain",
        "out by hand through a restart of the gateway, and at another gateway",
        [
            *started(),
            ManualEjection(T0 - 3 * S, "n0", "s-0"),
            ProcessEvent(T0 - S, "n0", "start"),
            DiscoveryPoll(T0 - S, "n0"),
            asked(),
            ran(),
            answered(),
        ],
        [*started(), ManualEjection(T0 - 3 * S, "n1", "s-0"), asked(), ran(), answered()],
    ),
    (
        "drain",
        "told to this process, and to the one before it",
        [*started(), TOLD, asked(), ran(), answered()],
        [
            *started(),
            TOLD,
            ProcessEvent(T0 - S, "n0", "start"),
            DiscoveryPoll(T0 - S, "n0"),
            asked(),
            ran(),
            answered(),
        ],
    ),
    (
        "cold",
        "a little more than the multiple, and a little less",
        [*started(), cold_box(), *load_of(cold_limit_us(LAST_SENT) + 1_000)],
        [*started(), cold_box(), *load_of(cold_limit_us(LAST_SENT) - 1_000)],
    ),
    (
        "cold",
        "at once, and in two halves more than the window apart",
        [*started(), cold_box(), *load_of(4_000_000)],
        [*started(), cold_box(), *load_of(2_000_000), *load_of(2_000_000, first_us=T0 + 1_200 * MS, name="v")],
    ),
    (
        "cold",
        "to a cold box, and to one that is warm",
        [*started(), cold_box(), *load_of(6_000_000)],
        [*started(), cold_box(T0 - 10 * S), *load_of(6_000_000)],
    ),
    (
        "cold",
        "it fell over, and it crashed of itself",
        [*started(), cold_box(), BackendStopped(T0, "s-0", 1, "fell")],
        [*started(), cold_box(), BackendStopped(T0, "s-0", 1, "crash")],
    ),
    (
        "crash",
        "an exit that nobody asked for, and one after SIGTERM",
        [*CLEAN, ProcessEvent(T0 + S, "n0", "exit", 1, was_requested=False)],
        [*CLEAN, ProcessEvent(T0 + S, "n0", "TERM"), ProcessEvent(T0 + 2 * S, "n0", "exit", 0)],
    ),
    (
        "twice",
        "a search sent seven times by one process, and six times",
        [*started(), asked(), *(ran(at_us=T0 + n * MS, box=f"s-{n}") for n in range(7)), answered()],
        [*started(), asked(), *(ran(at_us=T0 + n * MS, box=f"s-{n}") for n in range(6)), answered()],
    ),
    (
        "twice",
        "two attempts out together where that is not allowed, and one after the other",
        [
            ALONE,
            *started(),
            asked(),
            ran(how="cancelled", took_us=200 * MS),
            ran(at_us=T0 + 100 * MS, box="s-1"),
            answered(at_us=T0 + 200 * MS),
        ],
        [
            ALONE,
            *started(),
            asked(),
            ran(how="cancelled", took_us=80 * MS),
            ran(at_us=T0 + 100 * MS, box="s-1"),
            answered(at_us=T0 + 200 * MS),
        ],
    ),
    (
        "twice",
        "a hold again after 0.6 s where repeats are dropped for 0.5 s, and where for 1.5 s",
        [RuleOverrides(T0 - 20 * S, {}, {"hold": {"window_us": 500 * MS}}), *hold_again(600 * MS)],
        hold_again(600 * MS),
    ),
    (
        "bounds",
        "more memory than there is, and a little less",
        [*CLEAN, ResourceUsage(T0 + S, "n0", 30_000, 20, 0, peak_kib=193 * 1024)],
        [*CLEAN, ResourceUsage(T0 + S, "n0", 30_000, 20, 0, peak_kib=192 * 1024)],
    ),
    (
        "bounds",
        "a descriptor more than there are, and as many",
        [*CLEAN, ResourceUsage(T0 + S, "n0", 30_000, 513, 0)],
        [*CLEAN, ResourceUsage(T0 + S, "n0", 30_000, 512, 0)],
    ),
    (
        "owed",
        "a rude client with neither error nor close, and with a close after 3 s",
        [*CLEAN, MisbehavingClient(T0, "half a request", "n0")],
        [*CLEAN, MisbehavingClient(T0, "half a request", "n0", ended_us=T0 + 3 * S)],
    ),
    (
        "owed",
        "a close after 4 s, and after 4 s from a gateway that stood still meanwhile",
        [*CLEAN, MisbehavingClient(T0, "nothing", "n0", ended_us=T0 + 4 * S)],
        [
            *CLEAN,
            MisbehavingClient(T0, "nothing", "n0", ended_us=T0 + 4 * S),
            ProcessEvent(T0 + S, "n0", "STOP"),
            ProcessEvent(T0 + 3 * S, "n0", "CONT"),
        ],
    ),
]


def judge(entries: list[Event]) -> list[Violation]:
    # Written down in another order than they happened in: the account of each party has its own.
    shuffled = entries[:]
    random.Random(7).shuffle(shuffled)
    shuffled.sort(key=lambda entry: entry.at_us)
    ledger = EventLog()
    for entry in shuffled:
        ledger.add(replace(entry))
    ledger.add(SchedulingDelay(T0 + 20 * S, 0))  # the play goes on for a while
    return find_violations(ledger)


@pytest.mark.parametrize(("rule", "name", "breach", "miss"), PLANTED, ids=[p[1] for p in PLANTED])
def test_a_planted_breach_is_found_and_its_nearest_miss_is_not(
    rule: str, name: str, breach: list[Event], miss: list[Event]
) -> None:
    assert {found.rule for found in judge(breach)} == {rule}
    assert judge(miss) == []


def test_there_are_at_least_four_of_each_rule() -> None:
    rules = [planted[0] for planted in PLANTED]
    assert all(rules.count(rule) >= 4 for rule in ("missing", "twice", "drain", "cold"))


def test_a_breach_comes_with_the_whole_time_line() -> None:
    (breach,) = judge(next(p[2] for p in PLANTED if p[1].startswith("a hold again after")))
    text = str(breach)
    for part in ("client: hold to n0", "byte to s-0#1", "s-0#1: cancelled", "byte to s-2#1", "answer 200"):
        assert part in text
    moments = [float(line.split(" ms")[0]) for line in breach.timeline]
    assert moments == sorted(moments) and len(moments) >= 8


def test_what_the_stand_ins_saw_late_is_no_breach_and_no_more_than_that() -> None:
    late = [*started(), asked(), ran(took_us=340 * MS), answered(at_us=T0 + BUDGET + 80 * MS)]
    assert judge(late)
    assert not judge([*late, SchedulingDelay(T0 + BUDGET + 79 * MS, 40 * MS)])
    assert judge([*late, SchedulingDelay(T0 + BUDGET + 79 * MS, 20 * MS)])  # 30 ms were over
    assert judge([*late, SchedulingDelay(T0 + 50 * MS, 40 * MS)])  # long before: it excuses nothing


def test_an_account_that_is_not_whole_is_not_passed() -> None:
    ledger = EventLog(list(CLEAN), dropped=1)
    assert find_violations(ledger)


def test_a_ledger_reads_back_as_it_was_written(tmp_path: Path) -> None:
    ledger = EventLog([entry for planted in PLANTED for entry in planted[2]])
    ledger.dump(tmp_path / "ledger")
    again = EventLog.load(tmp_path / "ledger")
    assert list(map(repr, again.events)) == list(map(repr, ledger.events))
    (tmp_path / "ledger").write_text('{"kind": "Run"}\n')
    with pytest.raises(ValueError, match="line 1"):
        EventLog.load(tmp_path / "ledger")


def clean_account(dice: random.Random) -> list[Event]:
    """Requests of all classes that end in every way that keeps the rules."""
    entries: list[Event] = [*started(), cold_box(T0)]
    for n in range(dice.randint(1, 40)):
        klass = dice.choice(["search", "hold", "transfer"])
        id_, at_us = f"r{n}", T0 + dice.randrange(0, 8 * S)
        entries.append(asked(id_, klass, at_us, 400 * MS))
        sent_us, turned_away = at_us + dice.randint(300, 3_000), dice.randint(0, 2)
        for k in range(turned_away):
            took_us = dice.randint(500, 5_000)
            entries.append(ran(id_, klass, sent_us, f"s-{k + 1}", "rejected", took_us, work_us=0))
            sent_us += took_us + dice.randint(0, 2_000)
        match dice.randint(0, 4):
            case 0:  # served
                entries.append(ran(id_, klass, sent_us, "s-9", took_us=dice.randint(10 * MS, 300 * MS)))
                entries.append(answered(id_, entries[-1].at_us + 301 * MS))
            case 1:  # failed, as it may have run
                entries.append(ran(id_, klass, sent_us, "s-9", "cancelled"))
                entries.append(answered(id_, at_us + 400 * MS + dice.randint(0, 49 * MS), 504))
            case 2:  # refused, as it never ran
                entries.append(answered(id_, sent_us + dice.randint(0, 20 * MS), 503))
            case 3:  # repeated where the class allows it
                how = "rejected" if klass == "transfer" else "error"
                entries.append(ran(id_, klass, sent_us, "s-8", how, 5 * MS))
                entries.append(ran(id_, klass, sent_us + 6 * MS, "s-9", took_us=50 * MS))
                entries.append(answered(id_, sent_us + 80 * MS))
            case _:
                entries.append(ClientDisconnected(sent_us, id_))
    return entries


@given(st.integers(0, 2**32))
@settings(max_examples=150, deadline=None, derandomize=True)
def test_a_clean_account_raises_no_alarm_and_any_breach_in_it_is_found(seed: int) -> None:
    dice = random.Random(seed)
    entries = clean_account(dice)
    assert judge(entries) == []
    rule, _, breach, _ = dice.choice(PLANTED[:-1])
    planted = [
        replace(e, id="planted-" + e.id)
        if isinstance(
            e,
            RequestSent | BackendAttempt | ResponseReceived | ResponseMissing | UnexpectedBytes | ClientDisconnected,
        )
        else e
        for e in breach
    ]
    planted = [
        replace(e, echoed_id="planted-" + e.echoed_id if e.echoed_id else "")
        if isinstance(e, ResponseReceived)
        else e
        for e in planted
    ]
    strangers = [e for e in planted if not isinstance(e, ProcessEvent | DiscoveryPoll)]
    lives = [e for e in breach if isinstance(e, ProcessEvent | DiscoveryPoll)]
    others = [e for e in entries if not isinstance(e, ProcessEvent | DiscoveryPoll | BackendStarted)]
    assert rule in {found.rule for found in judge([*lives, *others, *strangers])}


def test_a_life_is_the_process_of_that_moment() -> None:
    whats = [(0, "start"), (S, "KILL"), (S, "exit"), (2 * S, "start")]
    ledger = EventLog([ProcessEvent(T0 + after_us, "n0", what, -9) for after_us, what in whats])
    checker = Checker(ledger)
    first, second = checker.process_at("n0", T0 + S), checker.process_at("n0", T0 + 3 * S)
    assert first is not None and second is not None and first.kill_us == T0 + S and second.start_us == T0 + 2 * S
    assert checker.process_at("n0", T0 - 1) is None and checker.process_at("n1", T0) is None
