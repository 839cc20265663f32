"""What the core asks of the rooms round it: who carries attempts, and who tells of hosts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from cloverkeel.balancing.interface import Action, Event, ListedServer, ListKind, LoadReport, Outcome

from cloverkeel.core.config import Address
from cloverkeel.core.calls import ResponseStream
from cloverkeel.core.messages import Reply


@dataclass(slots=True, eq=False)
class Endpoint:
    """One host of a list, for the module and for who carries attempts."""

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


class Attempt(Protocol):
    """One request on its way to one host. Once its answer is passed on as it comes, that can be held up."""

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...


OnEndpointList = Callable[[ListKind, list[Endpoint]], None]
OnAttemptEnd = Callable[[AttemptResult], None]
# A request in full, made as it is written, with the present time in µs: it tells its host what time is left.
PayloadBuilder = Callable[[int], list[bytes]]
# Asked just before the first byte of an attempt is written, with the present time in µs: whether it is to go out.
MayStart = Callable[[int], bool]
# A large answer has begun: its head, the length of its body if that is known, and the time until then. Where to pass
# the body on; None: it is not wanted any more.
OnResponseStart = Callable[[Reply, int | None, int], ResponseStream | None]


class Decisions(Protocol):
    """Which server is used, whether to try again, what is turned away: events in, actions out, in order."""

    def handle(self, now_us: int, event: Event) -> list[Action]: ...

    def shares_shed(self) -> tuple[float, float]:
        """Of what is cheap, and of all else."""

    def outs(self, now_us: int) -> list[tuple[int, bool]]:
        """Servers whose breaker is not closed, and whether they are tried here."""

    def silences(self, now_us: int) -> list[int]:
        """Servers that get nothing more as their oldest attempt out is overdue."""

    def retry_state(self, now_us: int) -> tuple[float, bool]:
        """Tokens for further attempts, and whether one was wanting of late."""

    def start_of(self, number: int) -> int:
        """When a server's process started, as listed; -1 for one that is not."""

    def cold_needs(self, now_us: int) -> list[tuple[int, int, bool, bool]]:
        """Cold servers within reach: number, start, whether its part is too small, whether it may be lent."""


class Upstream(Protocol):
    """Carries attempts to hosts. Every attempt that is begun ends once, by its `on_end`."""

    def has_host(self, server: int) -> bool: ...

    def host_name(self, server: int) -> str | None: ...

    def is_empty(self) -> bool: ...

    def opened_count(self) -> int:
        """Connections since the start."""

    def update_host(self, id_: int, name: str, address: Address, ready: bool, started_us: int = 0) -> None: ...

    def remove_host(self, id_: int) -> None: ...

    def retain_hosts(self, named: set[int]) -> list[int]:
        """Forget every server that is not named; returns those."""

    def host_count(self) -> int:
        """Servers that are known."""

    def has_host_changed(self, id_: int, address: Address, started_us: int) -> bool:
        """Whether a server is known, and as another process or at another address."""

    def close_idle_connections(self, id_: int) -> None: ...

    def set_write_guard(self, may_write: Callable[[int], bool]) -> None:
        """Ask this, with the present time in µs, just before an attempt's first byte; if not, it ends as moot."""

    def start_attempt(
        self,
        server: int,
        payload: PayloadBuilder,
        timeout_us: int,
        on_end: OnAttemptEnd,
        on_response_start: OnResponseStart,
        may_start: MayStart,
        begin_by_us: int,
    ) -> Attempt:
        """Begin an attempt at a server that is known; its end may come before this returns.

        If it may not begin any more, or its last byte is not written by that time (0: no limit), it ends as moot.
        """

    def send_health_check(self, server: int, on_end: OnAttemptEnd) -> None: ...

    def cancel_attempt(self, attempt: Any) -> None: ...

    def close(self) -> None: ...


class EndpointSource(Protocol):
    """Tells who is there."""

    def set_listener(self, on_list: OnEndpointList) -> None:
        """Whom to tell, from now on."""

    def load_known(self, raw: dict[str, Any]) -> None: ...

    def watch(self, on: bool) -> None: ...

    def fetch(self) -> None: ...

    def catch_up(self, stall_us: int, done: Callable[[], None]) -> None:
        """This process stood still for so long: tell all that was said meanwhile, then call `done`, once."""

    def close(self) -> None: ...


class Descriptors(Protocol):
    """What a front shares descriptors with."""

    open: int  # connections to hosts
    room: Callable[[], bool]  # called before a descriptor is taken; False: there is none

    def close_oldest_idle(self) -> bool: ...
