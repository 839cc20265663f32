"""Actions that the balancer returns for its caller to carry out.

Times are in whole microseconds. Absolute times are readings of the caller's monotonic clock; all others are
durations.

Classes that are instantiated for every request define `__init__` by hand and are not frozen: the `__init__` that
`dataclass` generates is interpreted even in the compiled build, and takes ten times as long. Treat their instances
as immutable.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, unsafe_hash=True, init=False)
class Send:
    """Send an attempt of a request to a server.

    A keyed request's retry must be written completely by `write_deadline_us` (absolute) or not be sent: afterwards
    servers no longer drop repeats of its key. 0 for no limit.
    """

    request: str
    server: int
    timeout_us: int
    write_deadline_us: int

    def __init__(self, request: str, server: int, timeout_us: int, write_deadline_us: int = 0) -> None:
        self.request = request
        self.server = server
        self.timeout_us = timeout_us
        self.write_deadline_us = write_deadline_us


@dataclass(slots=True, frozen=True)
class Refuse:
    """Reject a request as its final answer; a retry by the client can't make its effect happen twice."""

    request: str
    retry_after_us: int = 0
    reason: str = field(default="", compare=False)  # label under which metrics count the rejection


@dataclass(slots=True, frozen=True)
class Fail:
    """Fail a request as its final answer; its effect may or may not have happened."""

    request: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    request: str
    attempt: int


@dataclass(slots=True, unsafe_hash=True, init=False)
class SetTimer:
    """Pass `TimerFired` with this token to the balancer at `due_us` (absolute)."""

    due_us: int
    token: int

    def __init__(self, due_us: int, token: int) -> None:
        self.due_us = due_us
        self.token = token


@dataclass(slots=True, frozen=True)
class WatchList:
    """Subscribe to changes of the server list, or unsubscribe."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchList:
    """Fetch the complete server list once."""


@dataclass(slots=True, frozen=True)
class Probe:
    """Check a server's health."""

    server: int


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: int


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Send a message to one or all other proxies."""

    payload: bytes  # at most 256 bytes
    peer: int = -1  # `Settings.proxy` of the receiver; -1 for all other proxies


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the log."""

    line: str


Action = Send | Refuse | Fail | Cancel | SetTimer | WatchList | FetchList | Probe | CloseIdle | SendPeerMessage | Log
