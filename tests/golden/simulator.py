"""Samples of the simulator's line protocol: the lines that cloverkeel.simulator parses and formats."""

from __future__ import annotations

import io
import json
from collections.abc import Callable
from typing import Final, get_args

from cloverkeel.balancing.actions import (
    Action,
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
    Event,
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
from cloverkeel.balancing.settings import Effect, Goal, Prices, Reports, RequestClass, Scope, Settings, Tenant
from cloverkeel.simulator.adapter import SimulatorAdapter
from cloverkeel.simulator.codec import OUTCOMES, PARSERS, format_action, parse_server, split_line
from cloverkeel.simulator.settings_codec import parse_settings
from tests.golden.store import Sample, SamplesByName

ACTIONS: Final[dict[str, Action]] = {
    "send": Send("r1", 7, 250_000, 9),
    "set_timer": SetTimer(1_250_000, 12),
    "refuse": Refuse("r1", 40_000, "shed"),
    "fail": Fail("r1"),
    "cancel": Cancel("r1", 2),
    "watch": WatchList(),
    "watch_no_more": WatchList(False),
    "fetch": FetchList(),
    "probe": Probe(7),
    "close_idle": CloseIdle(7),
    "tell_all_peers": SendPeerMessage(bytes(range(256))),
    "tell_one_peer": SendPeerMessage(b"", 3),
    "log": Log("breaker of 7 opens"),
}
ACTION_CLASSES: Final[frozenset[type]] = frozenset(get_args(Action))
ACTION_CLASSES_OF_SAMPLES: Final[frozenset[type]] = frozenset(map(type, ACTIONS.values()))

LOAD_TEXT: Final = "inflight:3,queue:2.5,util:0.75,latency_ms:12.5,qps:40,eps:0.5,other:9"
LOAD: Final = LoadReport(3.0, 2.5, 0.75, 12.5, 40.0, 0.5)

EVENTS: Final[dict[str, tuple[str, Event]]] = {
    "incoming": ("incoming requestId=r1 graceUs=400000", RequestArrived("r1", 0, 400_000)),
    "incoming_with_all_fields": (
        "incoming requestId=r1 priority=2 graceUs=400000 affinity=ff costUs=1200 retry=1 customer=3",
        RequestArrived("r1", 2, 400_000, 255, 1_200, True, 3),
    ),
    **{
        f"outcome_{verdict}": (
            f"outcome requestId=r1 shot=1 host=7 verdict={verdict} durationUs=25000 ended=1 pressure={LOAD_TEXT}",
            AttemptEnded("r1", 1, 7, outcome, 25_000, True, LOAD),
        )
        for verdict, outcome in {
            "200": Outcome.OK, "502": Outcome.ERROR, "429": Outcome.FULL, "408": Outcome.TIMEOUT,
            "521": Outcome.CONNECT_FAILED, "520": Outcome.RESET, "444": Outcome.CANCELLED, "409": Outcome.MOOT,
        }.items()
    },
    "outcome_with_least_fields": (
        "outcome requestId=r1 shot=0 host=7 verdict=200 pressure=-", AttemptEnded("r1", 0, 7, Outcome.OK, 0)
    ),
    "dropped": ("dropped requestId=r1", RequestGone("r1")),
    "streaming": ("streaming requestId=r1 shot=1", StreamStarted("r1", 1)),
    "reminder": ("reminder keyBack=12", TimerFired(12)),
    "pong": (f"pong host=7 verdict=200 durationUs=900 pressure={LOAD_TEXT}", Probed(7, Outcome.OK, 900, LOAD)),
    "inbox": ("inbox src=3 bytes=AAH/", PeerMessage(3, b"\x00\x01\xff")),
    "inbox_of_nothing": ("inbox src=3 bytes=-", PeerMessage(3, b"")),
}  # fmt: skip
EVENT_NAMES: Final[frozenset[str]] = frozenset(PARSERS)
EVENT_NAMES_OF_SAMPLES: Final[frozenset[str]] = frozenset(line.partition(" ")[0] for line, _ in EVENTS.values())
VERDICTS: Final[frozenset[str]] = frozenset(OUTCOMES)
VERDICTS_OF_SAMPLES: Final[frozenset[str]] = frozenset(
    split_line(line)[1]["verdict"] for line, _ in EVENTS.values() if line.startswith("outcome ")
)

SERVERS: Final[dict[str, tuple[str, ListedServer]]] = {
    "server": ("host host=7", ListedServer(7)),
    **{
        f"server_{text.lower()}": (
            f"host host=7 status={text} heft=0.5 campus=1 group=2 classOfHost=3 sinceUs=4",
            ListedServer(7, status, 0.5, 1, 2, 3, 4),
        )
        for text, status in {
            "Ready": ServerStatus.READY, "Terminating": ServerStatus.DRAINING, "Gone": ServerStatus.GONE,
        }.items()
    },
}  # fmt: skip

SETTINGS_TEXT: Final = json.dumps({
    "lanes": [
        {"giveUpUs": 400_000, "effect": "free"},
        {
            "aimUs": 100_000, "giveUpUs": 800_000, "value": 5.0, "lateValue": 0.2, "effect": "guarded",
            "group": "cell", "windowUs": 150_000, "sequential": True, "aimStretch": 1.5,
        },
        {"aimUs": 100_000, "giveUpUs": 400_000, "group": "zone", "effect": "single_shot"},
    ],
    "objectiveMix": {"whole": 0.4, "worstWindow": 0.3, "worstClass": 0.2, "worstTenant": 0.1},
    "worthBy": "work", "balancers": 4, "index": 2, "zone": 1,
    "prices": {
        "crossZone": 1, "handshake": 2, "waste": 3, "lateFail": 4, "connection": 5, "probe": 6, "peer": 7,
        "membershipMode": 8,
    },
    "tenants": [{"fraction": 0.25, "allowancePerS": 40}, {}], "overShareWorth": 0.5,
    "clients": {"marksRetry": True},
    "caps": {
        "maxAttempts": 4, "mayCancel": False, "secondCopies": True, "probes": True, "peers": True, "multiplex": 8,
        "keepaliveUs": 30_000_000, "connectTimeoutUs": 500_000, "cpuUsPerS": 700_000, "retryAfter": True,
        "maxRetryAfterUs": 2_000_000,
    },
    "report": {"how": "pull"}, "membershipMode": "asked", "familyInfo": {"warmKeys": True},
    "contract": {
        "answerSlackUs": 1_000, "stopSendingWithinUs": 2_000, "mustAskInUs": 3_000, "startCapacity": 0.5,
        "warmAfterUs": 4_000, "tipMultiple": 1.5, "fallUs": 5_000, "fullUnproven": True, "keyQuietUs": 6_000,
    },
    "unknown": [1],
})  # fmt: skip
SETTINGS: Final = Settings(
    classes=(
        RequestClass(400_000, 400_000, effect=Effect.SAFE),
        RequestClass(100_000, 800_000, 5.0, 0.2, Effect.KEYED, Scope.GROUP, 150_000, True, 1.5),
        RequestClass(100_000, 400_000, scope=Scope.ZONE),
    ),
    goal=Goal(0.4, 0.3, 0.2, 0.1), weight_by_work=True, proxies=4, proxy=2, zone=1,
    prices=Prices(
        cross_zone=1, handshake=2, waste=3, late_fail=4, connection=5, probe=6, peer=7, list_lines=8
    ),
    tenants=(Tenant(0.25, 40.0), Tenant()), overuse_weight=0.5, marks_retry=True, max_attempts=4,
    may_cancel=False, may_hedge=True, may_probe=True, may_message_peers=True, reports=Reports.PROBES,
    attempts_per_connection=8, keepalive_us=30_000_000, connect_timeout_us=500_000, answer_slack_us=1_000,
    stop_sending_within_us=2_000, cpu_us_per_s=700_000, servers_know_keys=True, list_is_pushed=False,
    max_poll_interval_us=3_000, max_retry_after_us=2_000_000, start_capacity=0.5, slow_start_us=4_000,
    collapse_multiple=1.5, collapse_window_us=5_000, full_unproven=True, key_rest_us=6_000,
)  # fmt: skip

DIALOGUE_SETTINGS: Final = SETTINGS_TEXT.replace('"mayCancel": false', '"mayCancel": true')
DIALOGUE: Final = (
    "begin_batch simTimeUs=1000", "instance i=gateway_0", f"launch prng=5 bootInfo={DIALOGUE_SETTINGS}",
    "instance i=gateway_1", f"launch prng=6 bootInfo={DIALOGUE_SETTINGS}", "go",
    "begin_batch simTimeUs=2000", "inventory table=t1 members=3", "host host=7", "host host=8 campus=1 group=1",
    "host host=9 status=Terminating", "instance i=gateway_0", "registry how=snapshot table=t1",
    "instance i=gateway_1", "registry how=diff table=t1", "go",
    "begin_batch simTimeUs=3000", "instance i=gateway_0", "incoming requestId=r1 graceUs=400000",
    "incoming requestId=r2 priority=1 graceUs=800000 affinity=ff", "laterEvent a=1", "instance i=gateway_1",
    "incoming requestId=r3 priority=2 graceUs=400000 customer=1", "go",
    "begin_batch simTimeUs=9000", "instance i=gateway_0",
    "outcome requestId=r1 shot=0 host=7 verdict=502 durationUs=5000", "dropped requestId=r2",
    "outcome requestId=r9 verdict=200", "instance i=gateway_1", "destroy", "destroy", "go",
)  # fmt: skip


def _line_sample(line: str, parse: Callable[[bytes], object], expected: object) -> Sample:
    return Sample(line.encode, parse, expected)


def _parse_event(data: bytes) -> Event:
    name, fields = split_line(data.decode())
    return PARSERS[name](fields)


def _parse_server(data: bytes) -> ListedServer:
    return parse_server(split_line(data.decode())[1])


def _action_sample(action: Action) -> Sample:
    return Sample(lambda: format_action(action).encode())


def _dialogue_output() -> bytes:
    """Return the output of the adapter for DIALOGUE."""
    output = io.StringIO()
    SimulatorAdapter(io.StringIO("".join(f"{line}\n" for line in DIALOGUE)), output, io.StringIO()).run()
    return output.getvalue().encode()


SAMPLES_BY_KIND: Final[dict[str, SamplesByName]] = {
    "simulator_actions": {name: _action_sample(action) for name, action in ACTIONS.items()},
    "simulator_events": {
        **{name: _line_sample(line, _parse_event, event) for name, (line, event) in EVENTS.items()},
        **{name: _line_sample(line, _parse_server, server) for name, (line, server) in SERVERS.items()},
        "settings": _line_sample(SETTINGS_TEXT, lambda data: parse_settings(data.decode()), SETTINGS),
    },
    "simulator_dialogue": {"dialogue": Sample(_dialogue_output)},
}
