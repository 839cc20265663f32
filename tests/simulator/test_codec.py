"""Tests of the line protocol: parsing, formatting, reports of invalid input, scripted dialogues."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from cloverkeel.balancing.actions import (
    Cancel,
    CloseIdle,
    Fail,
    FetchList,
    Log,
    Probe,
    Refuse,
    Send,
    SetTimer,
    SendPeerMessage,
    WatchList,
)
from cloverkeel.balancing.events import (
    AttemptEnded,
    ListedServer,
    LoadReport,
    Outcome,
    PeerMessage,
    Probed,
    RequestArrived,
    RequestGone,
    ServerStatus,
    StreamStarted,
    TimerFired,
)
from cloverkeel.balancing.settings import Effect, Prices, Reports, Scope, Tenant
from cloverkeel.simulator.codec import OUTCOMES, PARSERS, format_action, parse_server, split_line
from cloverkeel.simulator.settings_codec import WireError, parse_settings
from cloverkeel.simulator.adapter import SimulatorAdapter

LANES = [
    {"aimUs": 100_000, "giveUpUs": 400_000, "effect": "free", "value": 3.0},
    {
        "aimUs": 100_000,
        "giveUpUs": 400_000,
        "effect": "guarded",
        "group": "cell",
        "windowUs": 150_000,
        "lateValue": 0.2,
    },
    {"aimUs": 100_000, "giveUpUs": 400_000, "effect": "single_shot"},
]
SETTINGS_TEXT = json.dumps({"lanes": LANES, "caps": {"maxAttempts": 4}, "newKey": [1], "membershipMode": "pushed"})
START = [
    "begin_batch simTimeUs=1000",
    "instance i=gateway_0",
    f"launch prng=5 bootInfo={SETTINGS_TEXT}",
    "inventory table=0 members=2",
    "host campus=0 host=11 heft=1 group=0 status=Ready classOfHost=0",
    "host campus=0 host=12 heft=1 group=0 status=Ready classOfHost=0",
    "registry index=1 how=disk table=0",
    "go",
]


def run_adapter(*lines: str) -> tuple[list[str], str]:
    output, errors = io.StringIO(), io.StringIO()
    SimulatorAdapter(io.StringIO("\n".join(lines) + "\n"), output, errors).run()
    return output.getvalue().splitlines(), errors.getvalue()


def parse(line: str) -> object:
    name, fields = split_line(line)
    return PARSERS[name](fields)


def test_events_are_parsed() -> None:
    assert parse(
        "incoming requestId=t/a affinity=ff costUs=12 customer=2 graceUs=240 priority=1 retry=1 isWrite=1"
    ) == RequestArrived("t/a", 1, 240, 255, 12, True, 2)
    assert parse("incoming requestId=t/a graceUs=240") == RequestArrived("t/a", 0, 240)
    assert parse(
        "outcome requestId=t/a shot=1 host=9 verdict=502 durationUs=7 pressure=eps:0.1,inflight:3.5,odd:1"
    ) == AttemptEnded("t/a", 1, 9, Outcome.ERROR, 7, False, LoadReport(eps=0.1, inflight=3.5))
    assert parse("pong host=3 verdict=200 durationUs=5 pressure=queue:2") == Probed(
        3, Outcome.OK, 5, LoadReport(queue=2.0)
    )
    assert parse("inbox src=4 bytes=aGkgNw==") == PeerMessage(4, b"hi 7")
    assert parse("inbox src=4 bytes=-") == PeerMessage(4, b"")
    assert parse("dropped requestId=t/a") == RequestGone("t/a")
    assert parse("streaming requestId=t/a durationUs=9 host=5 shot=0") == StreamStarted("t/a", 0)
    assert parse("reminder keyBack=77") == TimerFired(77)


def test_every_outcome_has_a_code() -> None:
    assert set(OUTCOMES.values()) == set(Outcome)


def test_list_entries_are_parsed() -> None:
    _, fields = split_line("host campus=1 host=7 heft=1.5 group=3 sinceUs=61 status=Terminating classOfHost=2")
    assert parse_server(fields) == ListedServer(7, ServerStatus.DRAINING, 1.5, 1, 3, 2, 61)


def test_actions_are_formatted() -> None:
    assert format_action(Send("t/a", 7, 90)) == "pass_on requestId=t/a maxWaitUs=90 host=7"
    assert format_action(Refuse("t/a", 5)) == "bounce requestId=t/a comeBackUs=5"
    assert format_action(Fail("t/a")) == "surrender requestId=t/a"
    assert format_action(Cancel("t/a", 1)) == "retract requestId=t/a shot=1"
    assert format_action(SetTimer(9, 4)) == "notify_me dueAtUs=9 keyBack=4"
    assert format_action(WatchList()) == "track on=1"
    assert format_action(WatchList(False)) == "track on=0"
    assert format_action(FetchList()) == "snapshot"
    assert format_action(Probe(7)) == "ask_load host=7"
    assert format_action(CloseIdle(7)) == "hang_up host=7"
    assert format_action(SendPeerMessage(b"hi 7")) == "broadcast_to dest=-1 bytes=aGkgNw=="
    assert format_action(Log("two words")) == "journal_line line=two words"


def test_settings_have_defaults_and_unknown_keys_are_ignored() -> None:
    settings = parse_settings(SETTINGS_TEXT)
    assert settings.max_attempts == 4
    assert settings.proxies == 1
    assert [c.effect for c in settings.classes] == [Effect.SAFE, Effect.KEYED, Effect.UNSAFE]
    assert settings.classes[1].scope is Scope.GROUP
    assert settings.classes[1].window_us == 150_000


@pytest.mark.parametrize(
    ("settings_text", "expected_text"),
    [
        ("{}", "classes"),
        ("[]", "object"),
        ("{", "JSON"),
        ('{"lanes": [{}]}', "giveUpUs"),
        ('{"lanes": [{"giveUpUs": -1}]}', "aim_us"),
        ('{"lanes": [{"giveUpUs": 1}], "contract": {"warmAfterUs": -5}}', "warm_after_us"),
        ('{"lanes": [{"giveUpUs": 1, "effect": "odd"}]}', "odd"),
        ('{"lanes": [{"giveUpUs": 1}], "overShareWorth": 3}', "over_share_worth"),
    ],
)
def test_invalid_settings_are_reported(settings_text: str, expected_text: str) -> None:
    with pytest.raises(WireError, match=expected_text):
        parse_settings(settings_text)
    replies, errors = run_adapter(
        "begin_batch simTimeUs=1", "instance i=gateway_0", f"launch prng=1 bootInfo={settings_text}", "go"
    )
    assert replies == ["next"]
    assert "line 3" in errors and expected_text in errors and "Traceback" not in errors


@pytest.mark.parametrize(
    "line",
    [
        "incoming requestId=t/a",
        "incoming requestId=t/a graceUs=soon",
        "inbox src=1 bytes=***",
        "outcome requestId=t/a shot=0 host=11 verdict=999",
        "registry index=1 how=diff table=9",
        "registry index=1 how=odd table=0",
        "reminder",
        "dropped requestId",
    ],
)
def test_an_invalid_line_is_reported_and_the_following_lines_are_processed(line: str) -> None:
    replies, errors = run_adapter(
        *START,
        "begin_batch simTimeUs=2000",
        "instance i=gateway_0",
        line,
        "incoming requestId=t/good graceUs=300000",
        "go",
    )
    assert "line 11" in errors and "Traceback" not in errors
    assert replies.count("next") == 2
    assert any(reply.startswith("pass_on requestId=t/good") for reply in replies)


def test_settings_that_decisions_depend_on_are_parsed() -> None:
    raw_settings = {
        "lanes": [{"giveUpUs": 9, "sequential": True, "aimStretch": 2.5}],
        "contract": {
            "fullUnproven": True,
            "keyQuietUs": 70,
            "answerSlackUs": 5,
            "stopSendingWithinUs": 6,
        },
        "tenants": [{"name": "a", "fraction": 0.4, "allowancePerS": 12.5}, {}],
        "overShareWorth": 0.2,
        "objectiveMix": {"worstTenant": 0.3},
        "prices": {"crossZone": 1, "handshake": 2, "waste": 3, "lateFail": 4, "membershipMode": 5},
        "caps": {"probes": True, "peers": True, "multiplex": 3, "keepaliveUs": 8, "connectTimeoutUs": 7},
        "report": {"how": "pull"},
    }
    settings = parse_settings(json.dumps(raw_settings))
    assert settings.classes[0].in_order and settings.classes[0].objective_stretch == 2.5
    assert settings.full_unproven and settings.key_rest_us == 70
    assert (settings.answer_slack_us, settings.stop_sending_within_us) == (5, 6)
    assert settings.tenants == (Tenant(0.4, 12.5), Tenant())
    assert (settings.overuse_weight, settings.goal.worst_tenant) == (0.2, 0.3)
    assert settings.prices == Prices(cross_zone=1, handshake=2, waste=3, late_fail=4, list_lines=5)
    assert settings.may_probe and settings.may_message_peers and settings.reports is Reports.PROBES
    limits = (settings.attempts_per_connection, settings.keepalive_us, settings.connect_timeout_us)
    assert limits == (3, 8, 7)


def test_an_unknown_instance_is_reported() -> None:
    replies, errors = run_adapter(
        "begin_batch simTimeUs=1", "instance i=gateway_8", "incoming requestId=t/a graceUs=9", "go"
    )
    assert replies == ["next"]
    assert "gateway_8" in errors


def test_events_of_finished_requests_and_unknown_timers_are_ignored() -> None:
    replies, errors = run_adapter(
        *START,
        "begin_batch simTimeUs=2000",
        "instance i=gateway_0",
        "outcome requestId=t/old shot=0 host=11 verdict=200 durationUs=5 ended=1",
        "dropped requestId=t/old",
        "reminder keyBack=12345",
        "inbox src=1 bytes=-",
        "pong host=11 verdict=200 durationUs=3",
        "go",
    )
    assert replies == ["next", "next"]
    assert errors == ""


def test_a_destroyed_instance_can_be_launched_again() -> None:
    replies, errors = run_adapter(
        *START,
        "begin_batch simTimeUs=2000",
        "instance i=gateway_0",
        "destroy",
        f"launch prng=6 bootInfo={SETTINGS_TEXT}",
        "registry index=1 how=disk table=0",
        "incoming requestId=t/new graceUs=300000",
        "go",
    )
    assert errors == ""
    assert replies[1] == "by i=gateway_0"


def test_the_same_script_gives_the_same_replies_twice() -> None:
    script = [*START]
    for n in range(40):
        script += [
            f"begin_batch simTimeUs={2000 + n * 1000}",
            "instance i=gateway_0",
            f"incoming requestId=t/{n} graceUs=300000 priority={n % 3}",
            "go",
        ]
    text = "\n".join(script) + "\n"
    outputs = [
        subprocess.run(
            [sys.executable, "-B", "-m", "cloverkeel.simulator.adapter"],
            input=text,
            capture_output=True,
            text=True,
            check=True,
            cwd=Path(__file__).parent.parent.parent,
        )
        for _ in range(2)
    ]
    assert outputs[0].stdout == outputs[1].stdout
    assert outputs[0].stdout.count("next") == 41
    assert outputs[0].stdout.count("pass_on") >= 2
    assert outputs[0].stderr == ""


def run_instances(instances: list[int], hash_seed: str) -> dict[str, list[str]]:
    """Run the instances in one process with this hash seed, and return the actions of each."""
    lines = []
    for step in range(60):
        lines.append(f"begin_batch simTimeUs={1_000_000 + step * 20_000}")
        if step == 0:
            lines.append("inventory table=0 members=6")
            lines += [f"host host={n * 7919} group={n % 2} status=Ready" for n in range(6)]
        for i in instances:
            lines.append(f"instance i=gateway_{i}")
            if step == 0:
                settings_text = SETTINGS_TEXT.replace("{", f'{{"balancers": 3, "index": {i}, ', 1)
                lines += [f"launch prng={i + 11} bootInfo={settings_text}", "registry index=1 how=disk table=0"]
            lines.append(f"incoming requestId=t/{i}x{step} graceUs=300000 priority={step % 3} affinity=ab")
            if step % 5 == 4:
                lines.append(f"dropped requestId=t/{i}x{step - 2}")
        lines.append("go")
    result = subprocess.run(
        [sys.executable, "-B", "-m", "cloverkeel.simulator.adapter"],
        input="\n".join(lines) + "\n",
        capture_output=True,
        text=True,
        check=True,
        cwd=Path(__file__).parent.parent.parent,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
    )
    assert result.stderr == ""
    actions: dict[str, list[str]] = {}
    instance_line = ""
    for line in result.stdout.splitlines():
        if line.startswith("by "):
            instance_line = line
        elif line != "next":
            actions.setdefault(instance_line, []).append(line)
    return actions


def test_actions_do_not_depend_on_a_shared_process_or_the_hash_seed() -> None:
    shared_process = run_instances([0, 1, 2], "1")
    separate_processes = run_instances([0], "2") | run_instances([1], "3") | run_instances([2], "4")
    assert shared_process == separate_processes
    assert all(any(a.startswith("pass_on") for a in actions) for actions in shared_process.values())
    assert len({tuple(a.partition(" host=")[2] for a in actions) for actions in shared_process.values()}) == 3
