"""What the core asks of the packages that it must not import: upstream, discovery and the frontend."""

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
    """One host of an endpoint list, for the balancer and for the host table."""

    name: str
    address: Address
    listed: ListedServer


class AttemptResult:
    """How an attempt ended."""

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
# A request in full, built as it is written, with the present time in µs: it tells its host what time is left.
PayloadBuilder = Callable[[int], list[bytes]]
# Asked just before the first byte of an attempt is written, with the present time in µs: whether it is to go out.
MayStart = Callable[[int], bool]
# A large answer has begun: its head, the length of its body if that is known, and the time until then. Where to pass
# the body on; None: it is not wanted any more.
OnResponseStart = Callable[[Reply, int | None, int], ResponseStream | None]


class LoadBalancer(Protocol):
    """Which server is used, whether to retry, what is rejected: events in, actions out, in order."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Decide on an event."""

    def shed_ratios(self) -> tuple[float, float]:
        """Of what is cheap, and of all else."""

    def ejected_servers(self, now_us: int) -> list[tuple[int, bool]]:
        """Servers whose breaker is not closed, and whether they are tried here."""

    def silent_servers(self, now_us: int) -> list[int]:
        """Servers that get nothing more as their oldest attempt out is overdue."""

    def retry_token_state(self, now_us: int) -> tuple[float, bool]:
        """Tokens for further attempts, and whether one was wanting of late."""

    def started_at_us(self, number: int) -> int:
        """When a server's process started, as listed; -1 for one that is not."""

    def slow_start_demands(self, now_us: int) -> list[tuple[int, int, bool, bool]]:
        """Cold servers within reach: number, start, whether its part is too small, whether it may be lent."""


class HostTable(Protocol):
    """The hosts of the endpoint list, as attempts reach them."""

    def has_host(self, server: int) -> bool:
        """Tell whether a host is on the list."""

    def host_name(self, server: int) -> str | None:
        """Return a host's name; None if it is not on the list."""

    def host_count(self) -> int:
        """Return how many hosts are on the list."""

    def is_empty(self) -> bool:
        """Tell whether no host is on the list."""

    def has_host_changed(self, id_: int, address: Address, started_us: int) -> bool:
        """Tell whether a host is on the list, and at another address or as another process."""

    def update_host(self, id_: int, name: str, address: Address, ready: bool, started_us: int = 0) -> None:
        """Learn of a host, of its new address, that its process has restarted, or that it drains."""

    def remove_host(self, id_: int) -> None:
        """Forget a host that is gone; attempts in flight still end as they will."""

    def retain_hosts(self, named: set[int]) -> list[int]:
        """Forget every host that a complete list does not name; returns those."""

    def close_idle_connections(self, id_: int) -> None:
        """Close the idle connections to a host."""

    def opened_count(self) -> int:
        """Return how many connections were opened since the start."""


class Upstream(Protocol):
    """Carries attempts to hosts. Every attempt that is started ends once, by its `on_end`."""

    def set_write_guard(self, may_write: Callable[[int], bool]) -> None:
        """Call this, with the time in µs, just before an attempt's first byte is written; False ends it as moot."""

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
        """Start an attempt at a host that is on the list; its end may come before this returns.

        If it may not start any more, or its last byte is not written by its deadline (0: none), it ends as moot.
        """

    def send_health_check(self, server: int, on_end: OnAttemptEnd) -> None:
        """Ask a host how it is; its answer ends as an attempt does."""

    def cancel_attempt(self, attempt: Any) -> None:
        """Cancel an attempt, as `start_attempt` returned it."""

    def close(self) -> None:
        """Stop, and close the idle connections."""


class EndpointSource(Protocol):
    """Notifies of endpoint lists."""

    def set_listener(self, on_list: OnEndpointList) -> None:
        """Notify this of each list, from now on."""

    def load_known(self, raw: dict[str, Any]) -> None:
        """Notify of the list that the configuration has."""

    def watch(self, on: bool) -> None:
        """Watch the list, or stop doing so."""

    def fetch(self) -> None:
        """Ask for the list now."""

    def catch_up(self, stall_us: int, done: Callable[[], None]) -> None:
        """Notify of all that came during a stall of that length, then call `done`, once."""

    def close(self) -> None:
        """Stop: nothing is notified any more."""


class Descriptors(Protocol):
    """What the frontend shares descriptors with."""

    open_connections: int  # to hosts
    reserve_descriptor: Callable[[], bool]  # called before a descriptor is taken; False: there is none

    def close_oldest_idle(self) -> bool:
        """Close the connection that was idle for the longest time; False if there is none."""
