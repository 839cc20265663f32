"""The observations of one run of gateways behind relays. Times are microseconds of one clock."""

from __future__ import annotations

from dataclasses import dataclass, field

# ("gateway", n), ("relay", n), ("discovery", n), ("link", gateway, relay),
# or ("feed", relay): the link of a relay to its discovery
Component = tuple[str, int] | tuple[str, int, int]


@dataclass(slots=True, frozen=True)
class Outage:
    """A period in which a component did not work."""

    begin_us: int
    end_us: int
    component: Component


@dataclass(slots=True, frozen=True)
class EndpointChange:
    """A host's new status, which a discovery could report from then on."""

    at_us: int
    discovery: int
    host: int
    status: str


@dataclass(slots=True, frozen=True)
class BackendArrival:
    """A gateway's request that arrived at a host."""

    at_us: int
    gateway: int
    host: int


@dataclass(slots=True)
class ClientRequest:
    """A client's request, and the response to it."""

    at_us: int
    gateway: int
    answered_us: int = 0  # 0: never
    status: int = 0
    is_own: bool = True  # the response is the one to this request


@dataclass(slots=True, frozen=True)
class DirectPoll:
    """A gateway's poll of discovery, without a relay."""

    at_us: int
    gateway: int


@dataclass(slots=True, frozen=True)
class UnexpectedExit:
    """The exit of a process that had not been signalled to exit."""

    at_us: int
    process: str


@dataclass(slots=True, frozen=True)
class RelayViolation:
    """One violation of the invariants."""

    description: str
    at_us: int
    subject: str


@dataclass(slots=True)
class RunRecord:
    """All observations of one run."""

    begin_us: int
    end_us: int
    gateways: int
    hosts: int
    discovery_by_relay: tuple[int, ...]  # by relay: the discovery that it polls
    direct_poll_interval_us: int
    changes: list[EndpointChange] = field(default_factory=list)  # in order; all hosts serve at the beginning
    arrivals: list[BackendArrival] = field(default_factory=list)  # in order
    requests: list[ClientRequest] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    direct_polls: list[DirectPoll] = field(default_factory=list)  # in order
    exits: list[UnexpectedExit] = field(default_factory=list)
