"""Interfaces of packages that the core must not import: upstream, discovery and the frontend."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from cloverkeel.balancing.actions import Action
from cloverkeel.balancing.events import Event, ListKind, ListedServer, LoadReport, Outcome

from cloverkeel.core.config import Address
from cloverkeel.core.calls import FlowControl, ResponseStream
from cloverkeel.core.messages import Reply


@dataclass(slots=True, eq=False)
class Endpoint:
    """An entry of an endpoint list: one host, with what the balancer and the host table need."""

    name: str
    address: Address
    listed: ListedServer


class AttemptResult:
    """The outcome of an attempt."""

    __slots__ = ("latency_us", "load_report", "outcome", "reply")

    def __init__(
        self, outcome: Outcome, latency_us: int, reply: Reply | None = None, load_report: LoadReport | None = None
    ) -> None:
        self.outcome = outcome
        self.latency_us = latency_us
        self.reply = reply
        self.load_report = load_report


OnEndpointList = Callable[[ListKind, list[Endpoint]], None]
OnAttemptEnd = Callable[[AttemptResult], None]
# Builds a complete request immediately before it is written. Argument: the current time in µs, which determines the
# remaining time that the request announces to its host.
PayloadBuilder = Callable[[int], list[bytes]]
# Called just before the first byte of an attempt is written; returns whether to send it. Argument: the time in µs.
MayStart = Callable[[int], bool]
# Called when a large response starts; returns the receiver of its body, or None if it is no longer needed.
# Arguments: the head, the length of the body in bytes (None if unknown), the latency in µs.
OnResponseStart = Callable[[Reply, int | None, int], ResponseStream | None]


class LoadBalancer(Protocol):
    """Decides which server to use, whether to retry and what to reject: returns actions for each event, in order."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Return the actions for an event."""

    def shed_ratios(self) -> tuple[float, float]:
        """Return the shed ratio of the low-priority classes, and that of all others."""

    def ejected_servers(self, now_us: int) -> list[tuple[int, bool]]:
        """Return the servers whose circuit breaker is not closed, each with whether this gateway probes it."""

    def silent_servers(self, now_us: int) -> list[int]:
        """Return the servers that receive no requests because their oldest attempt in flight is overdue."""

    def retry_token_state(self, now_us: int) -> tuple[float, bool]:
        """Return the available retry tokens, and whether there were recently too few."""

    def started_at_us(self, number: int) -> int:
        """Return the listed start time of a server's process, in µs; -1 if the server is not listed."""

    def slow_start_demands(self, now_us: int) -> list[tuple[int, int, bool, bool]]:
        """Return (number, start time in µs, quota is too small, quota may be lent) of the subset's warming servers.

        The quota is this gateway's part of the server's slow-start budget.
        """


class HostTable(Protocol):
    """The hosts of the endpoint list and the connections to them."""

    def has_host(self, server: int) -> bool:
        """Return whether a host is on the list."""

    def host_name(self, server: int) -> str | None:
        """Return a host's name; None if it is not on the list."""

    def host_count(self) -> int:
        """Return how many hosts are on the list."""

    def is_empty(self) -> bool:
        """Return whether no host is on the list."""

    def has_host_changed(self, id_: int, address: Address, started_us: int) -> bool:
        """Return whether a host is on the list with another address or process start time."""

    def update_host(self, id_: int, name: str, address: Address, ready: bool, started_us: int = 0) -> None:
        """Add a host, or update its address, its process start time, or whether it drains (`ready` is False)."""

    def remove_host(self, id_: int) -> None:
        """Remove a host; attempts in flight are not affected."""

    def retain_hosts(self, named: set[int]) -> list[int]:
        """Remove every host that is not in `named`, the hosts of a complete list; return the removed ones."""

    def close_idle_connections(self, id_: int) -> None:
        """Close the idle connections to a host."""

    def opened_count(self) -> int:
        """Return the number of connections opened since startup."""


class Upstream(Protocol):
    """Sends attempts to hosts. `on_end` is called exactly once for each started attempt."""

    def set_write_guard(self, may_write: Callable[[int], bool]) -> None:
        """Set a function to call, with the time in µs, just before an attempt's first byte is written.

        If it returns False, the attempt ends with the outcome MOOT.
        """

    def start_attempt(
        self,
        server: int,
        build_payload: PayloadBuilder,
        timeout_us: int,
        on_end: OnAttemptEnd,
        on_response_start: OnResponseStart,
        may_start: MayStart,
        write_deadline_us: int,
    ) -> FlowControl:
        """Start an attempt at a host on the list; `on_end` may be called before this returns.

        The attempt ends with the outcome MOOT if `may_start` returns False, or if its last byte is not written by
        `write_deadline_us` (0: no deadline).
        """

    def send_health_check(self, server: int, on_end: OnAttemptEnd) -> None:
        """Send a health check to a host; `on_end` is called as for an attempt."""

    def cancel_attempt(self, attempt: Any) -> None:
        """Cancel an attempt; `attempt` is the return value of `start_attempt`."""

    def close(self) -> None:
        """Stop sending, and close the idle connections."""


class EndpointSource(Protocol):
    """Source of endpoint lists."""

    def set_listener(self, on_list: OnEndpointList) -> None:
        """Set the function to call with each list."""

    def load_known(self, raw: dict[str, Any]) -> None:
        """Pass on the last known list, which the configuration contains."""

    def watch(self, on: bool) -> None:
        """Start or stop watching the list."""

    def fetch(self) -> None:
        """Request the list now."""

    def catch_up(self, stall_us: int, done: Callable[[], None]) -> None:
        """Pass on all notifications that arrived during a stall of `stall_us`, then call `done` once."""

    def close(self) -> None:
        """Stop passing on lists."""


class Descriptors(Protocol):
    """The upstream connections, which share the descriptor limit with the frontend's."""

    open_connections: int  # to hosts
    reserve_descriptor: Callable[[], bool]  # called before a descriptor is used; False: none is available

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle longest; return False if none is idle."""
