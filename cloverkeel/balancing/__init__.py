"""Load-balancing decisions for a proxy in front of a fleet of HTTP servers, without I/O: events in, actions out."""

from cloverkeel.compiled import loader

BUILD = loader.install()  # must run before any module that has a compiled version is imported

# ruff: noqa: E402
from cloverkeel.balancing.balancer import Balancer
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
    SendPeerMessage,
    SetTimer,
    WatchList,
)
from cloverkeel.balancing.events import (
    AnswerAll,
    AttemptEnded,
    Event,
    ListKind,
    ListedServer,
    LoadReport,
    Outcome,
    PeerMessage,
    Probed,
    ProcessesChanged,
    RequestArrived,
    RequestGone,
    ServerList,
    ServerStatus,
    StreamStarted,
    TimerFired,
)
from cloverkeel.balancing.settings import Effect, Goal, Prices, Reports, RequestClass, Scope, Settings, Tenant

__all__ = [
    "Action",
    "AnswerAll",
    "AttemptEnded",
    "Balancer",
    "Cancel",
    "CloseIdle",
    "Effect",
    "Event",
    "Fail",
    "FetchList",
    "Goal",
    "ListKind",
    "ListedServer",
    "LoadReport",
    "Log",
    "Outcome",
    "PeerMessage",
    "Prices",
    "Probe",
    "Probed",
    "ProcessesChanged",
    "Refuse",
    "Reports",
    "RequestArrived",
    "RequestClass",
    "RequestGone",
    "Scope",
    "Send",
    "SendPeerMessage",
    "ServerList",
    "ServerStatus",
    "SetTimer",
    "Settings",
    "StreamStarted",
    "Tenant",
    "TimerFired",
    "WatchList",
]
