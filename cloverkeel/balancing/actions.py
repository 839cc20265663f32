"""Actions that the balancer asks its caller for: pure data.

Times are whole microseconds. An absolute time is a reading of the caller's clock, which only moves forward;
everything else is a duration.

What is made for every request has an `__init__` of its own and is not frozen: the one that `dataclass` makes runs
interpreted also where all else is compiled, and costs ten times as much. Nobody sets these objects' attributes.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, unsafe_hash=True, init=False)
class Send:
    """Send an attempt of a request to a server."""

    request: str
    server: int
    timeout_us: int
    begin_by_us: int  # its last byte is written by then or it is not sent: repeats are no longer dropped; 0: no limit

    def __init__(self, request: str, server: int, timeout_us: int, begin_by_us: int = 0) -> None:
        self.request = request
        self.server = server
        self.timeout_us = timeout_us
        self.begin_by_us = begin_by_us


@dataclass(slots=True, frozen=True)
class Refuse:
    """Give the final answer: not done, and a retry by the client is harmless."""

    request: str
    retry_after_us: int = 0
    why: str = field(default="", compare=False)  # for the log


@dataclass(slots=True, frozen=True)
class Fail:
    """Give the final answer: no success, and no promise about the effect."""

    request: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    request: str
    attempt: int


@dataclass(slots=True, unsafe_hash=True, init=False)
class SetTimer:
    """Feed `TimerFired` with this token at `due_us`."""

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
class TellPeers:
    """Send a message to other proxies."""

    payload: bytes  # 256 bytes at most
    peer: int = -1  # -1: all


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the log."""

    line: str


Action = Send | Refuse | Fail | Cancel | SetTimer | WatchList | FetchList | Probe | CloseIdle | TellPeers | Log
