"""The bench's text wire: lines to events and settings, actions to lines. Parsing and formatting only.

Read and dropped, because nothing can be decided from them: names of classes, tenants, kinds, zones and tiers,
and `family` (decisions never rest on a name); `stage`, `familyInfo.passesDeadline` (one tier is served);
`lanes[].streamed` (told by `streaming` itself); `isWrite` (the class's effect says more); `prices.fleet`,
`moves`, `origin` (not this proxy's actions); `tickUs`, `caps.mostHeld`, `caps.cpuUsPerRequest` (nothing to
choose by); `weights` (a listed weight is a factor in the draw, whatever it means); `registry.index` (lists
come complete and in order).
"""

from __future__ import annotations

import base64
import json
from collections.abc import Callable, Mapping
from typing import Any

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
    TellPeers,
    WatchList,
)
from cloverkeel.balancing.events import (
    AttemptEnded,
    Event,
    ListKind,
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

Fields = Mapping[str, str]

EFFECTS = {"free": Effect.SAFE, "guarded": Effect.KEYED, "single_shot": Effect.UNSAFE}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.GROUP}
STATUSES = {"Ready": ServerStatus.READY, "Terminating": ServerStatus.DRAINING, "Gone": ServerStatus.GONE}
LIST_KINDS = {
    "diff": ListKind.DELTA,
    "snapshot": ListKind.FULL,
    "disk": ListKind.DISK,
    "error": ListKind.ERROR,
}
OUTCOMES = {
    "200": Outcome.OK,
    "502": Outcome.ERROR,
    "429": Outcome.FULL,
    "408": Outcome.TIMEOUT,
    "521": Outcome.CONNECT_FAILED,
    "520": Outcome.RESET,
    "444": Outcome.CANCELLED,
    "409": Outcome.MOOT,
}
REPORTS = {"piggyback": Reports.ANSWERS, "pull": Reports.PROBES, "silent": Reports.NONE}
PRICES = {
    "cross_zone": "crossZone",
    "handshake": "handshake",
    "waste": "waste",
    "late_fail": "lateFail",
    "connection": "connection",
    "probe": "probe",
    "peer": "peer",
    "list_lines": "membershipMode",
}
REPORT_FIELDS = frozenset(LoadReport.__dataclass_fields__)
TEXT_FIELDS = {"launch": " bootInfo="}


class WireError(ValueError):
    """A line that cannot be read; the message says why."""


def split_line(line: str) -> tuple[str, dict[str, str]]:
    """Take a line apart into its message name and its fields."""
    name, _, rest = line.partition(" ")
    fields: dict[str, str] = {}
    text_mark = TEXT_FIELDS.get(name)
    if text_mark is not None:
        before, mark, text = (" " + rest).partition(text_mark)
        if mark:
            fields[text_mark.strip(" =")] = text
        rest = before.strip()
    for part in rest.split():
        key, mark, value = part.partition("=")
        if not mark:
            raise WireError(f"'{part}' is not name=value")
        fields[key] = value
    return name, fields


def parse_settings(text: str) -> Settings:
    """Read the settings object of a launch; unknown keys are ignored, missing optional ones have defaults."""
    try:
        raw = json.loads(text)
    except json.JSONDecodeError as error:
        raise WireError(f"settings are not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise WireError("settings are not an object")
    try:
        return _settings(raw)
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise WireError(f"settings cannot be used: {error}") from None


def _settings(raw: dict[str, Any]) -> Settings:
    caps, contract, goal = raw.get("caps", {}), raw.get("contract", {}), raw.get("objectiveMix", {})
    prices = raw.get("prices", {})
    return Settings(
        classes=tuple(_request_class(lane) for lane in raw.get("lanes", [])),
        goal=Goal(
            overall=float(goal.get("whole", 1.0)),
            worst_window=float(goal.get("worstWindow", 0.0)),
            worst_class=float(goal.get("worstClass", 0.0)),
            worst_tenant=float(goal.get("worstTenant", 0.0)),
        ),
        weight_by_work=raw.get("worthBy") == "work",
        proxies=int(raw.get("balancers", 1)),
        proxy=int(raw.get("index", 0)),
        zone=int(raw.get("zone", 0)),
        prices=Prices(**{name: float(prices.get(key, 0.0)) for name, key in PRICES.items()}),
        tenants=tuple(
            Tenant(float(t.get("fraction", 0.0)), float(t.get("allowancePerS", "inf")))
            for t in raw.get("tenants", [])
        ),
        overuse_weight=float(raw.get("overShareWorth", 1.0)),
        marks_retry=bool(raw.get("clients", {}).get("marksRetry", False)),
        max_attempts=int(caps.get("maxAttempts", 3)),
        may_cancel=bool(caps.get("mayCancel", False)),
        may_hedge=bool(caps.get("secondCopies", False)),
        may_probe=bool(caps.get("probes", False)),
        may_tell_peers=bool(caps.get("peers", False)),
        reports=REPORTS.get(str(raw.get("report", {}).get("how")), Reports.NONE),
        attempts_per_connection=int(caps.get("multiplex", 1)),
        keepalive_us=int(caps.get("keepaliveUs", 60_000_000)),
        connect_timeout_us=int(caps.get("connectTimeoutUs", 1_000_000)),
        answer_slack_us=int(contract.get("answerSlackUs", 0)),
        stop_sending_within_us=int(contract.get("stopSendingWithinUs", 0)),
        cpu_us_per_s=int(caps.get("cpuUsPerS", 0)),
        servers_know_keys=bool(raw.get("familyInfo", {}).get("warmKeys", False)),
        list_is_pushed=raw.get("membershipMode", "pushed") == "pushed",
        max_poll_interval_us=int(contract.get("mustAskInUs", 10_000_000)),
        max_retry_after_us=int(caps.get("maxRetryAfterUs", 1_000_000)) if caps.get("retryAfter") else 0,
        start_capacity=float(contract.get("startCapacity", 1.0)),
        slow_start_us=int(contract.get("warmAfterUs", 0)),
        collapse_multiple=float(contract.get("tipMultiple", 1.0)),
        collapse_window_us=int(contract.get("fallUs", 1_000_000)),
        full_unproven=bool(contract.get("fullUnproven", False)),
        key_rest_us=int(contract.get("keyQuietUs", 0)),
    )


def _request_class(lane: dict[str, Any]) -> RequestClass:
    if "giveUpUs" not in lane:
        raise ValueError("a class has no giveUpUs")
    effect = str(lane.get("effect", "single_shot"))
    scope = str(lane.get("group", "all"))
    if effect not in EFFECTS:
        raise ValueError(f"effect '{effect}' is unknown")
    if scope not in SCOPES:
        raise ValueError(f"group '{scope}' is unknown")
    return RequestClass(
        objective_us=int(lane.get("aimUs", lane["giveUpUs"])),
        client_timeout_us=int(lane["giveUpUs"]),
        priority_weight=float(lane.get("value", 1.0)),
        late_weight=float(lane.get("lateValue", 0.0)),
        effect=EFFECTS[effect],
        scope=SCOPES[scope],
        window_us=int(lane.get("windowUs", 0)),
        in_order=bool(lane.get("sequential", False)),
        objective_stretch=float(lane.get("aimStretch", 0.0)),
    )


def parse_server(fields: Fields) -> ListedServer:
    return ListedServer(
        server=int(fields["host"]),
        status=STATUSES[fields.get("status", "Ready")],
        weight=float(fields.get("heft", "1")),
        zone=int(fields.get("campus", "0")),
        group=int(fields.get("group", "0")),
        kind=int(fields.get("classOfHost", "0")),
        started_us=int(fields.get("sinceUs", "0")),
    )


def parse_incoming(fields: Fields) -> RequestArrived:
    key, work = fields.get("affinity"), fields.get("costUs")
    return RequestArrived(
        fields["requestId"],
        int(fields.get("priority", "0")),
        int(fields["graceUs"]),
        int(key, 16) if key is not None else None,
        int(work) if work is not None else None,
        fields.get("retry") == "1",
        int(fields.get("customer", "0")),
    )


def parse_load(text: str | None) -> LoadReport | None:
    """The values of a load report that have a meaning here; others are ignored."""
    if not text or text == "-":
        return None
    pairs = (part.partition(":") for part in text.split(","))
    return LoadReport(**{name: float(value) for name, _, value in pairs if name in REPORT_FIELDS})


def parse_outcome(fields: Fields) -> AttemptEnded:
    return AttemptEnded(
        fields["requestId"],
        int(fields["shot"]),
        int(fields["host"]),
        OUTCOMES[fields["verdict"]],
        int(fields.get("durationUs", "0")),
        fields.get("ended") == "1",
        parse_load(fields.get("pressure")),
    )


def parse_dropped(fields: Fields) -> RequestGone:
    return RequestGone(fields["requestId"])


def parse_streaming(fields: Fields) -> StreamStarted:
    return StreamStarted(fields["requestId"], int(fields["shot"]))


def parse_reminder(fields: Fields) -> TimerFired:
    return TimerFired(int(fields["keyBack"]))


def parse_pong(fields: Fields) -> Probed:
    outcome, load = OUTCOMES[fields["verdict"]], parse_load(fields.get("pressure"))
    return Probed(int(fields["host"]), outcome, int(fields.get("durationUs", "0")), load)


def parse_inbox(fields: Fields) -> PeerMessage:
    text = fields["bytes"]
    return PeerMessage(int(fields["src"]), b"" if text == "-" else base64.b64decode(text, validate=True))


PARSERS: dict[str, Callable[[Fields], Event]] = {
    "incoming": parse_incoming,
    "outcome": parse_outcome,
    "dropped": parse_dropped,
    "streaming": parse_streaming,
    "reminder": parse_reminder,
    "pong": parse_pong,
    "inbox": parse_inbox,
}


def format_action(action: Action) -> str:
    match action:
        case Send():
            return f"pass_on requestId={action.request} maxWaitUs={action.timeout_us} host={action.server}"
        case SetTimer():
            return f"notify_me dueAtUs={action.due_us} keyBack={action.token}"
        case Refuse():
            return f"bounce requestId={action.request} comeBackUs={action.retry_after_us}"
        case Fail():
            return f"surrender requestId={action.request}"
        case Cancel():
            return f"retract requestId={action.request} shot={action.attempt}"
        case WatchList():
            return f"track on={action.on:d}"
        case FetchList():
            return "snapshot"
        case Probe():
            return f"ask_load host={action.server}"
        case CloseIdle():
            return f"hang_up host={action.server}"
        case TellPeers():
            payload = base64.b64encode(action.payload).decode() or "-"
            return f"broadcast_to dest={action.peer} bytes={payload}"
        case Log():
            return f"journal_line line={action.line}"
