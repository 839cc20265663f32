"""The pure decisions of a load-balancing proxy for fleets of HTTP servers: events in, actions out."""

from cloverkeel.compiled import loader

BUILD = loader.install()  # before any of the modules that may be compiled is imported

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
    SetTimer,
    TellPeers,
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
    "ServerList",
    "ServerStatus",
    "SetTimer",
    "Settings",
    "StreamStarted",
    "TellPeers",
    "Tenant",
    "TimerFired",
    "WatchList",
]
