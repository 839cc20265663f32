"""Events of backends, the registry, gateway processes and the emulator itself. Times are Unix microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, eq=False)
class RuleOverrides:
    """Record which rules the run is checked by, where they differ from the defaults.

    `rules` holds fields of `Rules`; `classes` holds fields of request classes, by the class's name.
    """

    at_us: int
    rules: dict[str, Any]
    classes: dict[str, dict[str, Any]]


@dataclass(slots=True, eq=False)
class BackendStarted:
    """Record that a backend process started."""

    at_us: int
    backend: str
    incarnation: int
    cores: float
    initial_capacity: float  # share of its capacity at the start; 1: no slow start
    slow_start_us: int  # maximum duration of slow start


@dataclass(slots=True, eq=False)
class BackendStopped:
    """Record that a backend process stopped serving."""

    at_us: int
    backend: str
    incarnation: int
    how: str  # "crash", "silent", "hang", "drained", "fell"


@dataclass(slots=True, eq=False)
class BackendLoad:
    """Record a sample of a backend's load. Samples are taken a few times a second."""

    at_us: int
    backend: str
    state: str
    running: int
    waiting: int
    connections: int
    capacity: float  # share of its capacity after warm-up


@dataclass(slots=True, eq=False)
class NotificationDelivered:
    """Record that the registry wrote an endpoint's state to a gateway.

    A snapshot also reports the endpoints that it no longer contains.
    """

    at_us: int
    gateway: str
    backend: str
    status: str  # "SERVING", "DRAINING" or "DELETED"


@dataclass(slots=True, eq=False)
class ManualEjection:
    """Record that an operator ejected a backend at a gateway by hand, regardless of its status in the registry."""

    at_us: int
    gateway: str
    backend: str
    until_us: int = 0  # time at which it was reinstated; 0: not yet


@dataclass(slots=True, eq=False)
class EndpointChanged:
    """Record that the registry can report an endpoint's new state from now on."""

    at_us: int
    backend: str
    status: str


@dataclass(slots=True, eq=False)
class DiscoveryPoll:
    """Record a gateway's poll of the registry, or a period in which no gateway could reach it."""

    at_us: int
    gateway: str  # "": all gateways
    until_us: int = 0  # end of the poll; 0: it has not ended


@dataclass(slots=True, eq=False)
class ProcessEvent:
    """Record an event of a gateway's process."""

    at_us: int
    gateway: str
    what: str  # "start", "ready", "TERM", "KILL", "HUP", "STOP", "CONT", "exit"
    code: int = 0  # exit code, for an exit
    was_requested: bool = True  # for an exit: the process had been signalled to exit


@dataclass(slots=True, eq=False)
class ResourceUsage:
    """Record the memory, descriptors and CPU time that a gateway's process uses."""

    at_us: int
    gateway: str
    rss_kib: int
    descriptors: int
    cpu_us: int
    peak_kib: int = 0  # peak of the resident memory


@dataclass(slots=True, eq=False)
class SchedulingDelay:
    """Record that the emulator was stalled: what it observed then is late by at most this much."""

    at_us: int  # the end of the delay
    delay_us: int


@dataclass(slots=True, eq=False)
class FaultInjected:
    """Record a fault that the scenario injected, for timelines and plots."""

    at_us: int
    text: str
