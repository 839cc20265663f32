"""Codec of the simulator's line protocol: parses events and list entries, formats actions.

All of the protocol's names are mapped to the code's names here: a lane is a request class, `aimUs` its latency
objective, `giveUpUs` the client timeout, `value` the priority weight, a customer a tenant, a shot an attempt, heft a
weight, a campus a zone, grace the client timeout of one try.

Ignored, because no decision depends on them: names of classes, tenants, kinds, zones and tiers, and `family`
(decisions never depend on a name); `stage`, `familyInfo.passesDeadline` (only one tier is served); `lanes[].streamed`
(the message `streaming` reports it); `isWrite` (the class's effect is more precise); `prices.fleet`, `moves`,
`origin` (they concern actions that this proxy does not take); `tickUs`, `caps.mostHeld`, `caps.cpuUsPerRequest` (they
influence no choice); `weights` (a listed weight is a factor in the random selection, whatever its meaning);
`registry.index` (lists arrive complete and in order).
"""

from __future__ import annotations

import base64
from collections.abc import Callable, Mapping

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

from cloverkeel.simulator.settings_codec import WireError

Fields = Mapping[str, str]

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
REPORT_FIELDS = frozenset(LoadReport.__dataclass_fields__)
TEXT_FIELDS = {"launch": " bootInfo="}  # by message: a field whose value is the rest of the line


def split_line(line: str) -> tuple[str, dict[str, str]]:
    """Split a line into its message name and its fields."""
    name, _, rest = line.partition(" ")
    fields: dict[str, str] = {}
    text_prefix = TEXT_FIELDS.get(name)
    if text_prefix is not None:
        before, separator, text = (" " + rest).partition(text_prefix)
        if separator:
            fields[text_prefix.strip(" =")] = text
        rest = before.strip()
    for part in rest.split():
        key, separator, value = part.partition("=")
        if not separator:
            raise WireError(f"'{part}' is not name=value")
        fields[key] = value
    return name, fields


def parse_server(fields: Fields) -> ListedServer:
    """Parse an entry of a server list."""
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
    """Parse the arrival of a request."""
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
    """Parse a load report; unknown values are ignored. Return None for an absent one."""
    if not text or text == "-":
        return None
    pairs = (part.partition(":") for part in text.split(","))
    return LoadReport(**{name: float(value) for name, _, value in pairs if name in REPORT_FIELDS})


def parse_outcome(fields: Fields) -> AttemptEnded:
    """Parse the end of an attempt."""
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
    """Parse the disconnect of a client."""
    return RequestGone(fields["requestId"])


def parse_streaming(fields: Fields) -> StreamStarted:
    """Parse the start of a response stream."""
    return StreamStarted(fields["requestId"], int(fields["shot"]))


def parse_reminder(fields: Fields) -> TimerFired:
    """Parse the expiry of a timer."""
    return TimerFired(int(fields["keyBack"]))


def parse_pong(fields: Fields) -> Probed:
    """Parse the result of a health check."""
    outcome, load = OUTCOMES[fields["verdict"]], parse_load(fields.get("pressure"))
    return Probed(int(fields["host"]), outcome, int(fields.get("durationUs", "0")), load)


def parse_inbox(fields: Fields) -> PeerMessage:
    """Parse a message of another proxy."""
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
    """Format an action as a line."""
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
        case SendPeerMessage():
            payload = base64.b64encode(action.payload).decode() or "-"
            return f"broadcast_to dest={action.peer} bytes={payload}"
        case Log():
            return f"journal_line line={action.line}"
