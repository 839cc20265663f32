"""What the core asks of the rooms round it: who carries attempts, and who tells of hosts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from cloverkeel.balancing.actions import Action
from cloverkeel.balancing.events import Event, ListKind, ListedServer, LoadReport, Outcome

from cloverkeel.core.config import Address
from cloverkeel.core.calls import Sink
from cloverkeel.core.messages import Reply


@dataclass(slots=True, eq=False)
class Endpoint:
    """One host of a list, for the module and for who carries attempts."""

    name: str
    address: Address
    listed: ListedServer


class End:
    """How an attempt ended."""

    __slots__ = ("latency_us", "load", "outcome", "reply")

    def __init__(
        self, outcome: Outcome, latency_us: int, reply: Reply | None = None, load: LoadReport | None = None
    ) -> None:
        self.outcome = outcome
        self.latency_us = latency_us
        self.reply = reply
        self.load = load


class Attempt(Protocol):
    """One request on its way to one host. Once its answer is passed on as it comes, that can be held up."""

    def hold(self) -> None: ...

    def go_on(self) -> None: ...


OnEndpointList = Callable[[ListKind, list[Endpoint]], None]
OnEnd = Callable[[End], None]
# A request in full, made as it is written, with the present time in µs: it tells its host what time is left.
Payload = Callable[[int], list[bytes]]
# Asked just before the first byte of an attempt is written, with the present time in µs: whether it is to go out.
MayBegin = Callable[[int], bool]
# A large answer has begun: its head, the length of its body if that is known, and the time until then. Where to pass
# the body on; None: it is not wanted any more.
OnBegin = Callable[[Reply, int | None, int], Sink | None]


class Decisions(Protocol):
    """Which server is used, whether to try again, what is turned away: events in, actions out, in order."""

    def handle(self, now_us: int, event: Event) -> list[Action]: ...

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


class Upstream(Protocol):
    """Carries attempts to hosts. Every attempt that is begun ends once, by its `on_end`."""

    def knows(self, server: int) -> bool: ...

    def name_of(self, server: int) -> str | None: ...

    def is_empty(self) -> bool: ...

    def opened(self) -> int:
        """Connections since the start."""

    def put(self, id_: int, name: str, address: Address, ready: bool, started_us: int = 0) -> None: ...

    def remove(self, id_: int) -> None: ...

    def keep_only(self, named: set[int]) -> list[int]:
        """Forget every server that is not named; returns those."""

    def known(self) -> int:
        """Servers that are known."""

    def is_another(self, id_: int, address: Address, started_us: int) -> bool:
        """Whether a server is known, and as another process or at another address."""

    def close_idle(self, id_: int) -> None: ...

    def guard(self, may_write: Callable[[int], bool]) -> None:
        """Ask this, with the present time in µs, just before an attempt's first byte; if not, it ends as moot."""

    def begin(
        self,
        server: int,
        payload: Payload,
        timeout_us: int,
        on_end: OnEnd,
        on_begin: OnBegin,
        may_begin: MayBegin,
        begin_by_us: int,
    ) -> Attempt:
        """Begin an attempt at a server that is known; its end may come before this returns.

        If it may not begin any more, or its last byte is not written by that time (0: no limit), it ends as moot.
        """

    def probe(self, server: int, on_end: OnEnd) -> None: ...

    def cancel(self, attempt: Any) -> None: ...

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

    def give_up_idle(self) -> bool: ...
