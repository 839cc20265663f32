"""When each gateway's processes ran, were stopped and were killed."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final

from standins.event_log import ProcessEvent

FOREVER_US: Final = 2**62
KILL_EXCUSE_US: Final = 700_000  # after SIGTERM; a process killed later should have answered its requests before


@dataclass(slots=True, frozen=True)
class Stop:
    """A period in which a process was stopped, from SIGSTOP to SIGCONT."""

    begin_us: int
    end_us: int


@dataclass(slots=True, eq=False)
class ProcessLifetime:
    """The lifetime of one process of a gateway."""

    start_us: int
    end_us: int = FOREVER_US
    term_us: int = FOREVER_US
    kill_us: int = FOREVER_US
    stops: list[Stop] = field(default_factory=list)

    def record(self, event: ProcessEvent) -> None:
        """Record a signal to the process, or its exit."""
        match event.what:
            case "TERM":
                self.term_us = min(self.term_us, event.at_us)
            case "KILL":
                self.kill_us = min(self.kill_us, event.at_us)
            case "STOP":
                self.stops.append(Stop(event.at_us, FOREVER_US))
            case "CONT" if self.stops:
                self.stops[-1] = Stop(self.stops[-1].begin_us, event.at_us)
            case "exit":
                self.end_us = event.at_us
            case _:
                pass

    @property
    def was_killed_early(self) -> bool:
        """Tell whether SIGKILL came without SIGTERM, or so soon after it that requests in flight may be lost."""
        return self.kill_us - self.term_us <= KILL_EXCUSE_US

    def was_stopped_between(self, begin_us: int, end_us: int) -> bool:
        """Tell whether the process was stopped at some moment of this period."""
        return any(stop.begin_us <= end_us and stop.end_us >= begin_us for stop in self.stops)


@dataclass(slots=True, frozen=True)
class ProcessExit:
    """An exit of a process, and whether SIGKILL had been sent to it before."""

    event: ProcessEvent
    was_killed: bool


class ProcessHistory:
    """The lifetimes of all gateways' processes."""

    def __init__(self) -> None:
        self.lifetimes_by_gateway: dict[str, list[ProcessLifetime]] = defaultdict(list)
        self.exits: list[ProcessExit] = []

    def record(self, event: ProcessEvent) -> None:
        """Record an event of a process; events before the gateway's first start are ignored."""
        lifetimes = self.lifetimes_by_gateway[event.gateway]
        if event.what == "start":
            lifetimes.append(ProcessLifetime(event.at_us))
            return
        if not lifetimes:
            return
        lifetime = lifetimes[-1]
        lifetime.record(event)
        if event.what == "exit":
            self.exits.append(ProcessExit(event, lifetime.kill_us != FOREVER_US))

    def process_at(self, gateway: str, at_us: int) -> ProcessLifetime | None:
        """Return the gateway's process that was the latest to start by `at_us`; None if none had started."""
        for lifetime in reversed(self.lifetimes_by_gateway.get(gateway, [])):
            if lifetime.start_us <= at_us:
                return lifetime
        return None

    def is_loss_excused(self, gateway: str, held_since_us: int, until_us: int) -> bool:
        """Tell whether the gateway's process was killed or stopped while it held a request."""
        lifetime = self.process_at(gateway, held_since_us)
        if lifetime is None:
            # Without a recorded process, each loss is excused.
            return not self.lifetimes_by_gateway.get(gateway)
        if held_since_us >= lifetime.end_us:
            return True  # the kernel had accepted the bytes after the process ended
        if lifetime.kill_us <= until_us and lifetime.was_killed_early:
            return True
        return lifetime.was_stopped_between(held_since_us, until_us)
