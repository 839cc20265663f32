"""Random schedules of faults: three real gateways behind two or three real relays, with one or two discoveries.

    .venv-dev/bin/python -m benchmarks.relay_schedules [--seeds 1-100] [--workers 2] [--length 8] [--json FILE]
    .venv-dev/bin/python -m benchmarks.relay_schedules --seeds 17 [--shorten]
    .venv-dev/bin/python -m benchmarks.relay_schedules --replay '0,0 200:kill-relay:1:0 ...'
    .venv-dev/bin/python -m benchmarks.relay_schedules --without relay-old-permits

The seed determines the relays and the events: relays are paused, or killed and restarted without state; gateways are
paused; links are cut in one or both directions, and flap; discovery returns errors, does not respond, sends invalid
lists or restarts at version 1; rosters differ for a while. Meanwhile hosts drain, leave, return and change their
weight; with two discoveries, one of them may publish the change later than the other. At the end all faults are
healed. The run is checked from outside (standins/checker/relays) by the observations of hosts and clients.

`--without` removes a guard from all processes (benchmarks/guards): some schedule must fail then.
A schedule that fails is printed with its timeline. `--shorten` runs it again without each of its events in turn, and
prints the events that are needed to make it fail. Exit code 0: no violation; 1: some violation; 2: invalid arguments.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import uvloop

from standins.checker.relays import Component, check_relays
from standins.event_log import now_us
from standins.parties.network import BACK, FORWARD
from tests import sockets
from tests.control_plane.relay_fleet import GATEWAYS, RelayFleet, running_relay_fleet

HOSTS, STEADY_HOSTS = 5, 2  # the first STEADY_HOSTS of all hosts always serve
DEFAULT_LENGTH_S: Final = 8.0  # period in which events begin
# After all faults are healed: time until the expected hosts are used, and how long only these must be used.
SETTLE_TIMEOUT_S, OBSERVATION_S = 12.0, 1.5
READY_TIMEOUT_S = 20.0  # of a relay that was started, on a busy machine, once it can reach discovery
TIME_LIMITS_MS = (300, 700, 1_000, 3_000)  # time limits of the program; pauses end just before and just after them
LIMIT_MARGIN_MS = 40
FLAP_PHASES, FLAP_PHASE_MS = 6, 150  # a flapping link is cut and healed in turn
MAX_TIME_MS = 120_000  # of an event in a schedule given as text
# A link connects a gateway to a relay, a feed connects a relay to its discovery. `anew`: discovery restarts at
# version 1.
FAULT_WEIGHTS: Final = {
    "stop-relay": 5.0, "kill-relay": 4.0, "stop-gateway": 2.0, "cut-link": 3.0, "cut-feed": 4.0, "flap-link": 1.0,
    "flap-feed": 1.0, "discovery": 3.0, "anew": 1.0, "roster": 1.0,
}  # fmt: skip
HOST_EVENT_WEIGHTS: Final = {"DRAINING": 4.0, "DELETED": 2.0, "weight": 1.0}


@dataclass(slots=True, frozen=True)
class Event:
    """A fault, or a change of a host. As text: `at_ms:kind:target:duration_ms:details`."""

    at_ms: int
    kind: str
    target: tuple[int, ...]  # numbers of the relay, gateway, host or discovery, as `kind` requires
    duration_ms: int = 0
    details: str = ""

    def __str__(self) -> str:
        fields = (self.at_ms, self.kind, "-".join(map(str, self.target)), self.duration_ms, self.details)
        return ":".join(map(str, fields)).rstrip(":")


@dataclass(slots=True, frozen=True)
class Schedule:
    """The relays of a fleet, and the events of a run."""

    seed: int
    discovery_by_relay: tuple[int, ...]  # by relay: the number of the discovery that it polls
    events: tuple[Event, ...]

    def __str__(self) -> str:
        return " ".join([",".join(map(str, self.discovery_by_relay)), *map(str, self.events)])


@dataclass(slots=True)
class ScheduleResult:
    """Outcome of one schedule."""

    schedule: Schedule
    violations: list[str] = field(default_factory=list)
    request_count: int = 0
    rejected_count: int = 0
    direct_poll_count: int = 0
    duration_s: float = 0.0
    timeline: str = ""


# Generation


class ScheduleGenerator:
    """Draws random events. Each fault of a component ends before the next one of it begins. Pure."""

    def __init__(self, seed: int, length_ms: int) -> None:
        self.rng = random.Random(f"relay-schedules/{seed}")
        self.seed, self.length_ms = seed, length_ms
        self.discovery_by_relay = self.rng.choice(((0, 0), (0, 0), (0, 0, 0), (0, 0, 0), (0, 1), (0, 1, 0)))
        self.discovery_count = max(self.discovery_by_relay) + 1
        self.busy_until_ms: dict[tuple[str, tuple[int, ...]], int] = {}  # by kind of component and its numbers
        self.restarted_discoveries: set[int] = set()  # a second restart would use the same versions twice
        self.events: list[Event] = []

    def draw(self) -> Schedule:
        """Draw the whole schedule."""
        rng, length_ms = self.rng, self.length_ms
        add_coincidence = rng.choice(
            (
                self.add_missed_drain,
                self.add_missed_drain,
                self.add_stale_list_after_pause,
                self.add_isolation_of_other_relays,
                self.add_simultaneous_drain,
            )
        )
        add_coincidence(rng.randrange(200, max(201, length_ms // 5)), rng.randrange(len(self.discovery_by_relay)))
        for _ in range(rng.randint(length_ms // 4_000, length_ms // 1_000)):
            (kind,) = rng.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()))
            self.add_fault(kind, rng.randrange(length_ms))
        for host in range(STEADY_HOSTS + 1, HOSTS):
            self.add_host_events(host)
        return Schedule(self.seed, self.discovery_by_relay, tuple(sorted(self.events, key=lambda event: event.at_ms)))

    # Coincidences of events that guards protect against, and that independent events seldom produce. All of them
    # drain the host with the number STEADY_HOSTS.

    def add_missed_drain(self, at_ms: int, relay: int) -> None:
        """A relay is cut off from discovery and misses a drain; then the other relays fail."""
        rng = self.rng
        drain_ms = at_ms + rng.randint(0, 300)
        # When gateways turn to the relay, its list is still recent enough to be accepted, or too old.
        fail_ms = drain_ms + rng.choice((rng.randint(1_200, 2_200), rng.randint(2_200, 5_000)))
        self.add_event(
            "feed", Event(at_ms, "cut-feed", (relay,), fail_ms - at_ms + rng.randint(500, 2_000), "both,reset")
        )
        self.add_drain(drain_ms, fail_ms + 3_000)
        self.fail_other_relays(fail_ms, relay)

    def add_stale_list_after_pause(self, at_ms: int, relay: int) -> None:
        """A paused relay resumes and sends its old list at once, while the other relays fail."""
        rng = self.rng
        duration_ms = rng.choice((rng.randint(1_900, 2_800), rng.randint(2_800, 6_000)))
        self.add_event("relay", Event(at_ms, "stop-relay", (relay,), duration_ms))
        self.add_drain(at_ms + rng.randint(0, 200), at_ms + duration_ms + 3_000)
        self.add_event(
            "feed", Event(at_ms + duration_ms - 10, "cut-feed", (relay,), rng.randint(10, 2_000), "both,reset")
        )
        self.fail_other_relays(at_ms + duration_ms - 5, relay)

    def add_isolation_of_other_relays(self, at_ms: int, relay: int) -> None:
        """A relay fails briefly; soon after, it is the only one that can reach discovery."""
        rng = self.rng
        self.fail_relay(at_ms, relay, rng.choice(("stop-relay", "kill-relay")), 1_000)
        cut_ms = at_ms + rng.randint(1_000, 2_500)
        for other in range(len(self.discovery_by_relay)):
            if other != relay:
                self.add_event("feed", Event(cut_ms, "cut-feed", (other,), rng.randint(2_000, 9_000), "both,reset"))
        self.add_drain(cut_ms + rng.randint(0, 300), cut_ms + 9_000)

    def add_simultaneous_drain(self, at_ms: int, relay: int) -> None:
        """A host drains at about the time at which a relay fails; both may return."""
        self.fail_relay(at_ms, relay, self.rng.choice(("stop-relay", "kill-relay")), self.draw_pause_ms())
        self.add_drain(at_ms + self.rng.randint(-100, 300), at_ms + 3_000)

    def add_drain(self, at_ms: int, return_ms: int) -> None:
        """Drain or delete a host; it may return from `return_ms` on."""
        self.add_status_change(STEADY_HOSTS, self.rng.choice(("DRAINING", "DRAINING", "DELETED")), at_ms)
        if self.rng.random() < 0.5:
            self.add_status_change(STEADY_HOSTS, "SERVING", return_ms + self.rng.randint(0, 2_000))

    def fail_other_relays(self, at_ms: int, working_relay: int) -> None:
        """Let all relays except one fail for a while."""
        kind, duration_ms = self.rng.choice(("stop-relay", "kill-relay", "cut-link")), self.rng.randint(1_000, 3_000)
        for relay in range(len(self.discovery_by_relay)):
            if relay != working_relay:
                self.fail_relay(at_ms, relay, kind, duration_ms)

    def fail_relay(self, at_ms: int, relay: int, kind: str, duration_ms: int) -> None:
        """Let a relay fail, or cut its links to all gateways."""
        if kind != "cut-link":
            self.add_event("relay", Event(at_ms, kind, (relay,), duration_ms))
            return
        for gateway in range(GATEWAYS):
            self.add_event("link", Event(at_ms, kind, (gateway, relay), duration_ms, "both,reset"))

    def draw_pause_ms(self) -> int:
        """Draw the length of a pause, often close to a time limit of the program."""
        near_limit_ms = self.rng.choice(TIME_LIMITS_MS) + self.rng.choice((-LIMIT_MARGIN_MS, LIMIT_MARGIN_MS))
        return self.rng.choice(
            (near_limit_ms, near_limit_ms, self.rng.randint(50, 1_000), self.rng.randint(50, 6_000))
        )

    def add_event(self, component: str, event: Event) -> None:
        """Add an event after all earlier ones of its component; omit it if that is beyond the schedule's end."""
        key = (component, event.target)
        at_ms = max(event.at_ms, self.busy_until_ms.get(key, 0))
        if at_ms < self.length_ms:
            # A killed relay is occupied until it is ready again, at a time that cannot be predicted.
            self.busy_until_ms[key] = self.length_ms if event.kind == "kill-relay" else at_ms + event.duration_ms + 1
            self.events.append(Event(at_ms, event.kind, event.target, event.duration_ms, event.details))

    def add_fault(self, kind: str, at_ms: int) -> None:
        """Draw a fault of this kind."""
        rng = self.rng
        relay, gateway = rng.randrange(len(self.discovery_by_relay)), rng.randrange(GATEWAYS)
        discovery = rng.randrange(self.discovery_count)
        directions = rng.choice(("both", "both", "forward", "back"))
        end = rng.choice(("reset", "go-on"))
        if kind == "stop-relay":
            self.add_event("relay", Event(at_ms, kind, (relay,), self.draw_pause_ms()))
        elif kind == "kill-relay":
            self.add_event("relay", Event(at_ms, kind, (relay,), rng.choice((0, rng.randint(0, 4_000)))))
        elif kind == "stop-gateway":
            self.add_event("gateway", Event(at_ms, kind, (gateway,), self.draw_pause_ms()))
        elif kind == "cut-link":
            self.add_event(
                "link", Event(at_ms, kind, (gateway, relay), rng.randint(200, 5_000), f"{directions},{end}")
            )
        elif kind == "cut-feed":
            self.add_event("feed", Event(at_ms, kind, (relay,), rng.randint(200, 6_000), f"{directions},{end}"))
        elif kind == "flap-link":
            self.add_event("link", Event(at_ms, kind, (gateway, relay), FLAP_PHASES * FLAP_PHASE_MS, f"both,{end}"))
        elif kind == "flap-feed":
            self.add_event("feed", Event(at_ms, kind, (relay,), FLAP_PHASES * FLAP_PHASE_MS, f"both,{end}"))
        elif kind == "discovery":
            mode = rng.choice(("503", "reset", "silent", "rubbish"))
            self.add_event("discovery", Event(at_ms, kind, (discovery,), rng.randint(200, 5_000), mode))
        elif kind == "roster":
            self.add_event("roster", Event(at_ms, kind, (gateway,), rng.randint(100, 3_000)))
        elif discovery not in self.restarted_discoveries:
            self.restarted_discoveries.add(discovery)
            self.add_event("discovery", Event(at_ms, kind, (discovery,)))

    def add_host_events(self, host: int) -> None:
        """Draw the changes of a host: its weight changes, or it drains or is deleted, and may return later."""
        rng = self.rng
        at_ms = rng.randrange(self.length_ms // 2)
        while at_ms < self.length_ms:
            (change,) = rng.choices(list(HOST_EVENT_WEIGHTS), list(HOST_EVENT_WEIGHTS.values()))
            at_ms = self.add_status_change(host, change, at_ms)
            if change == "DRAINING" and rng.random() < 0.5:
                at_ms = self.add_status_change(host, "DELETED", at_ms + rng.randint(0, 2_000))
            if change != "weight" and rng.random() < 0.7:
                at_ms = self.add_status_change(host, "SERVING", at_ms + rng.choice((20, rng.randint(100, 5_000))))
            elif change != "weight":
                return
            at_ms += rng.randint(100, 4_000)

    def add_status_change(self, host: int, status: str, at_ms: int) -> int:
        """Publish a status at all discoveries at once, or at one of them later; return when all have published it."""
        at_ms = max(0, at_ms)
        delay_ms = 0
        if self.discovery_count > 1 and self.rng.random() < 0.5:
            delay_ms = self.rng.randint(50, 4_000)
        first_discovery = self.rng.randrange(self.discovery_count)
        if at_ms < 2 * self.length_ms:
            self.events.append(Event(at_ms, "host", (host, first_discovery), delay_ms, status))
        return at_ms + delay_ms


def draw_schedule(seed: int, length_s: float = DEFAULT_LENGTH_S) -> Schedule:
    """Draw the schedule of a seed."""
    return ScheduleGenerator(seed, int(length_s * 1000)).draw()


# Execution


class ScheduleRunner:
    """Applies the events of one schedule to a fleet, and records the outages for the checker."""

    def __init__(self, fleet: RelayFleet, schedule: Schedule) -> None:
        self.fleet, self.schedule = fleet, schedule
        self.weight_by_host = dict.fromkeys(range(HOSTS), 1.0)

    async def run_events(self) -> None:
        """Apply all events, and wait until the last one has ended."""
        async with asyncio.TaskGroup() as group:
            for event in self.schedule.events:
                group.create_task(self.run_event(event))

    async def run_event(self, event: Event) -> None:
        """Apply one event at its time, and undo it after its duration."""
        await asyncio.sleep(event.at_ms / 1000)
        if event.kind != "host":
            self.fleet.note(str(event))
        match event.kind:
            case "stop-relay" | "stop-gateway":
                await self.pause_process(event)
            case "kill-relay":
                await self.restart_relay(event.target[0], event.duration_ms / 1000)
            case "cut-link" | "cut-feed":
                await self.cut_link(event, event.duration_ms / 1000)
            case "flap-link" | "flap-feed":
                for _ in range(FLAP_PHASES // 2):
                    await self.cut_link(event, FLAP_PHASE_MS / 1000)
                    await asyncio.sleep(FLAP_PHASE_MS / 1000)
            case "discovery":
                await self.disturb_discovery(event)
            case "anew":
                self.fleet.discoveries[event.target[0]].roll_back_index(1_000_000)
            case "roster":
                await self.change_rosters(event)
            case "host":
                await self.change_host(event)

    async def pause_process(self, event: Event) -> None:
        (number,) = event.target
        is_relay = event.kind == "stop-relay"
        component: Component = ("relay" if is_relay else "gateway", number)
        process = (self.fleet.relays if is_relay else self.fleet.gateways)[number]
        self.fleet.begin_outage(component)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(event.duration_ms / 1000)
        process.send_signal(signal.SIGCONT)
        self.fleet.end_outage(component)

    async def restart_relay(self, relay: int, duration_s: float) -> None:
        self.fleet.begin_outage(("relay", relay))
        await self.fleet.kill(relay)
        await asyncio.sleep(duration_s)
        self.fleet.relays[relay].start()
        await self.fleet.wait_until_ready(relay)
        self.fleet.note(f"relay-{relay} is ready")
        self.fleet.end_outage(("relay", relay))

    async def cut_link(self, event: Event, duration_s: float) -> None:
        fleet, (directions, _, end) = self.fleet, event.details.partition(",")
        component: Component = ("link", *event.target) if len(event.target) == 2 else ("feed", event.target[0])
        link = (
            fleet.to_relay[event.target[0], event.target[1]]
            if len(event.target) == 2
            else fleet.to_discovery[event.target[0]]
        )
        fleet.begin_outage(component)
        link.cut({"both": (FORWARD, BACK), "forward": (FORWARD,), "back": (BACK,)}[directions])
        await asyncio.sleep(duration_s)
        link.heal(reset=end == "reset")
        fleet.end_outage(component)

    async def disturb_discovery(self, event: Event) -> None:
        (number,) = event.target
        discovery = self.fleet.discoveries[number]
        self.fleet.begin_outage(("discovery", number))
        if event.details == "rubbish":
            discovery.faults.has_garbled_lists = True
        else:
            await discovery.set_outage_mode(event.details)
        await asyncio.sleep(event.duration_ms / 1000)
        discovery.faults.has_garbled_lists = False
        await discovery.set_outage_mode("")
        self.fleet.end_outage(("discovery", number))

    async def change_rosters(self, event: Event) -> None:
        """Remove a gateway from the roster of the first relay, and later from those of the other relays."""
        for relay, process in enumerate(self.fleet.relays):
            self.fleet.write_roster(relay, [f"n{event.target[0]}"])
            # A signal would end a relay that is starting, and a starting relay reads the file anyway.
            if ("relay", relay) not in self.fleet.open_outages:
                process.send_signal(signal.SIGHUP)
            if relay == 0:
                await asyncio.sleep(event.duration_ms / 1000)

    async def change_host(self, event: Event) -> None:
        """Publish a host's status or another weight, at one discovery first if the event has a duration."""
        host, first_discovery = event.target
        status = event.details
        if status == "weight":
            self.weight_by_host[host] = 0.5 if self.weight_by_host[host] == 1.0 else 1.0
            status = "SERVING"
        numbers = range(len(self.fleet.discoveries))
        if not event.duration_ms:
            self.fleet.publish_status(host, status, weight=self.weight_by_host[host])
            return
        self.fleet.publish_status(host, status, first_discovery, weight=self.weight_by_host[host])
        await asyncio.sleep(event.duration_ms / 1000)
        self.fleet.publish_status(
            host, status, *(n for n in numbers if n != first_discovery), weight=self.weight_by_host[host]
        )

    # After the last event

    async def wait_until_settled(self) -> str:
        """Wait until each gateway uses exactly the hosts that serve; return the violation if it does not, else ""."""
        fleet = self.fleet
        fleet.note("all faults are healed")
        serving = [int(e.name[2:]) for e in fleet.discovery.entries.values() if e.status == "SERVING"]
        expected = {(gateway, host) for gateway in range(GATEWAYS) for host in serving}
        end = time.monotonic() + SETTLE_TIMEOUT_S
        while True:
            first_index, until_us = len(fleet.requests_seen), now_us() + int(OBSERVATION_S * 1e6)
            while now_us() < until_us:
                await asyncio.sleep(0.02)
            used = {(gateway, host) for _, gateway, host in fleet.requests_seen[first_index:]}
            if used == expected:
                return ""
            if time.monotonic() > end:
                differences = ", ".join(f"n{g} s-{h}" for g, h in sorted(used ^ expected))
                return f"{SETTLE_TIMEOUT_S:g} s after all faults are healed, wrongly used or not used: {differences}"


async def run_schedule(schedule: Schedule, folder: Path) -> ScheduleResult:
    """Run a fleet with the events of a schedule, and check the run."""
    result, start_s = ScheduleResult(schedule), time.monotonic()
    async with running_relay_fleet(folder, HOSTS, schedule.discovery_by_relay, is_spread=True) as fleet:
        runner = ScheduleRunner(fleet, schedule)
        try:
            await runner.run_events()
            violation_text = await runner.wait_until_settled()
            if violation_text:
                result.violations.append(violation_text)
        except* AssertionError as errors:
            result.violations += [str(error) for error in errors.exceptions]
        record = fleet.record()
        result.violations += [f"{violation.subject}: {violation.description}" for violation in check_relays(record)]
        result.violations += fleet.defect_lines()
        result.request_count, result.rejected_count = len(record.requests), fleet.statuses[503]
        result.direct_poll_count, result.duration_s = len(record.direct_polls), time.monotonic() - start_s
        if result.violations:
            result.timeline = fleet.timeline()
    return result


def run_in_process(schedule: Schedule, without: str = "") -> ScheduleResult:
    """Run a schedule in this process. `without`: the program without this guard (benchmarks/guards)."""
    if without:
        sockets.GATEWAY_COMMAND = (sys.executable, "-m", "benchmarks.guards.mutated_gateway", without)
    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run_schedule(schedule, Path(folder)))


def shorten(schedule: Schedule, without: str = "") -> Schedule:
    """Remove each event without which the schedule still fails.

    Failures depend on timing: of a schedule that fails only sometimes, too many events may remain.
    """
    kept = list(schedule.events)
    for event in schedule.events:
        fewer = [other for other in kept if other is not event]
        result = run_in_process(Schedule(schedule.seed, schedule.discovery_by_relay, tuple(fewer)), without)
        print(f"without {event}: {result.violations[:1] or 'no violation'}", flush=True)
        if result.violations:
            kept = fewer
    return Schedule(schedule.seed, schedule.discovery_by_relay, tuple(kept))


def print_failure(result: ScheduleResult) -> None:
    """Print the violations, the timeline and the option that runs the schedule again."""
    for violation in result.violations:
        print(f"VIOLATION {violation}")
    print(f"{result.timeline}\nreplay with: --replay '{result.schedule}'", flush=True)


CUT_DETAILS = tuple(f"{directions},{end}" for directions in ("both", "forward", "back") for end in ("reset", "go-on"))
DETAILS_BY_KIND: Final = {
    "cut-link": CUT_DETAILS, "cut-feed": CUT_DETAILS, "flap-link": CUT_DETAILS, "flap-feed": CUT_DETAILS,
    "host": (*HOST_EVENT_WEIGHTS, "SERVING"), "discovery": ("503", "reset", "silent", "rubbish"),
}  # fmt: skip


def parse_schedule(text: str) -> Schedule:
    """Parse the text form of a schedule."""
    first, *words = text.split() or [""]
    try:
        discovery_by_relay = tuple(map(int, first.split(",")))
        if (
            not 1 <= len(discovery_by_relay) <= 3
            or not set(discovery_by_relay) <= {0, 1}
            or 0 not in discovery_by_relay
        ):
            raise ValueError
    except ValueError:
        raise argparse.ArgumentTypeError(f"expected the discovery of each relay, as 0,1,0, found {first!r}") from None
    events = [parse_event(word, len(discovery_by_relay), max(discovery_by_relay) + 1) for word in words]
    return Schedule(0, discovery_by_relay, tuple(events))


def parse_event(word: str, relay_count: int, discovery_count: int) -> Event:
    """Parse the text form of an event."""
    counts_by_component = {
        "gateway": (GATEWAYS,), "roster": (GATEWAYS,), "relay": (relay_count,), "feed": (relay_count,),
        "link": (GATEWAYS, relay_count), "discovery": (discovery_count,), "anew": (discovery_count,),
        "host": (HOSTS, discovery_count),
    }  # fmt: skip
    try:
        at_ms, kind, target, duration_ms, details = (word + ":" * (4 - word.count(":"))).split(":")
        event = Event(int(at_ms), kind, tuple(map(int, target.split("-"))), int(duration_ms), details)
        counts = counts_by_component[kind.rpartition("-")[2]]
        is_known = kind in (*FAULT_WEIGHTS, "host") and details in DETAILS_BY_KIND.get(kind, ("",))
        has_valid_target = all(0 <= n < count for n, count in zip(event.target, counts, strict=True))
        if (
            not is_known
            or not has_valid_target
            or not 0 <= event.at_ms <= MAX_TIME_MS
            or not 0 <= event.duration_ms <= MAX_TIME_MS
        ):
            raise ValueError
    except (ValueError, KeyError):
        message = f"expected an event as 200:cut-link:0-1:500:both,reset, found {word!r}"
        raise argparse.ArgumentTypeError(message) from None
    return event


def parse_seeds(text: str) -> Sequence[int]:
    """Parse a seed or a range of seeds."""
    first, _, last = text.partition("-")
    try:
        seeds = range(int(first), int(last or first) + 1)
    except ValueError:
        seeds = range(0)
    if not seeds:
        raise argparse.ArgumentTypeError(f"expected a number or A-B, found {text!r}")
    return seeds


def main() -> int:
    """Run all schedules, and print their results."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=parse_seeds, default=range(1, 101), metavar="A-B")
    parser.add_argument("--replay", type=parse_schedule, metavar="SCHEDULE")
    parser.add_argument("--length", type=float, default=DEFAULT_LENGTH_S, metavar="SECONDS")
    parser.add_argument("--workers", type=int, default=2)
    parser.add_argument("--shorten", action="store_true")
    parser.add_argument("--without", default="", metavar="GUARD")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    if not 2.0 <= options.length <= 60.0 or not 1 <= options.workers <= 8:
        print("relay_schedules: expected --length of 2 to 60, --workers of 1 to 8", file=sys.stderr)
        return 2
    schedules = (
        [options.replay] if options.replay else [draw_schedule(seed, options.length) for seed in options.seeds]
    )
    context, results = multiprocessing.get_context("spawn"), list[ScheduleResult]()
    with ProcessPoolExecutor(options.workers, context) as pool:
        for result in pool.map(run_in_process, schedules, [options.without] * len(schedules)):
            results.append(result)
            print(f"seed {result.schedule.seed}: {result.violations[:1] or 'no violation'}, "
                  f"{len(result.schedule.events)} events, {result.request_count} requests, "
                  f"{result.rejected_count} rejected, {result.direct_poll_count} direct polls, "
                  f"{result.duration_s:.1f} s", flush=True)  # fmt: skip
    failed = [result for result in results if result.violations]
    for result in failed:
        print_failure(result)
        if options.shorten:
            print(f"needed events: --replay '{shorten(result.schedule, options.without)}'")
    event_counts = Counter(event.kind for result in results for event in result.schedule.events)
    print(f"{len(results) - len(failed)} of {len(results)} schedules without violation; "
          f"{dict(sorted(event_counts.items()))}, {sum(r.request_count for r in results)} requests, "
          f"{sum(r.rejected_count for r in results)} rejected")  # fmt: skip
    if options.json is not None:
        options.json.write_text(
            json.dumps([{"seed": r.schedule.seed, "wrong": r.violations} for r in results]) + "\n"
        )
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
