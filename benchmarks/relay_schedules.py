"""Drawn schedules of faults: three real gateways behind two or three real relays, one discovery or two that disagree.

    .venv-dev/bin/python -m benchmarks.relay_schedules [--seeds 1-100] [--workers 2] [--length 8] [--json FILE]
    .venv-dev/bin/python -m benchmarks.relay_schedules --seeds 17 [--shorten]
    .venv-dev/bin/python -m benchmarks.relay_schedules --replay '0,0 200:kill-relay:1:0 ...'
    .venv-dev/bin/python -m benchmarks.relay_schedules --without relay-old-permits

A seed draws which relays there are, and what happens when: relays stop, die and are back with nothing, gateways stop,
links are cut both ways or one and flap, discovery refuses, falls silent, talks rubbish or begins anew at version 1,
rosters differ for a while; meanwhile hosts drain, go, come back and change their weight, at one of two discoveries
before the other. Then all is healed. Judged from outside (standins/checker/relays) by what hosts and clients saw.

`--without` takes a guard out of all processes (benchmarks/guards): some schedule must fail then.
A schedule that fails is printed with its time line; `--shorten` plays one again without each of its events in turn,
and prints the events that it takes to fail. Exit code 0: nothing was found; 1 otherwise; 2: a mistake in the command.
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

HOSTS, STEADY = 5, 2  # the first of them always serve
LENGTH_S: Final = 8.0  # in which events begin
SETTLE_S, QUIET_S = 12.0, 1.5  # after all is healed: for all to be as it should; for which it stays so
READY_S = 20.0  # for a relay that was started, on a busy machine, once discovery can be heard
LIMITS_MS = (300, 700, 1_000, 3_000)  # of the program: stops just under and just over each
NEAR_MS = 40
FLAPS, FLAP_MS = 6, 150
MOST_MS = 120_000  # of a schedule that is given as a line
FAULTS: Final = {
    "stop-relay": 5.0, "kill-relay": 4.0, "stop-gateway": 2.0, "cut-link": 3.0, "cut-feed": 4.0, "flap-link": 1.0,
    "flap-feed": 1.0, "discovery": 3.0, "anew": 1.0, "roster": 1.0,
}  # fmt: skip
HOST_EVENTS: Final = {"DRAINING": 4.0, "DELETED": 2.0, "weight": 1.0}


@dataclass(slots=True, frozen=True)
class Event:
    """What happens, and when."""

    at_ms: int
    what: str
    who: tuple[int, ...]
    for_ms: int = 0
    how: str = ""

    def __str__(self) -> str:
        words = (self.at_ms, self.what, "-".join(map(str, self.who)), self.for_ms, self.how)
        return ":".join(map(str, words)).rstrip(":")


@dataclass(slots=True, frozen=True)
class Schedule:
    seed: int
    feeds: tuple[int, ...]  # by relay: the discovery that it asks
    events: tuple[Event, ...]

    def __str__(self) -> str:
        return " ".join([",".join(map(str, self.feeds)), *map(str, self.events)])


@dataclass(slots=True)
class Played:
    """What came of one schedule."""

    schedule: Schedule
    wrong: list[str] = field(default_factory=list)
    asked: int = 0
    refused: int = 0
    direct: int = 0
    took_s: float = 0.0
    timeline: str = ""


# Drawing


class Drawer:
    """Draws events so that each ends before the next on the same part of the fleet begins. Pure."""

    def __init__(self, seed: int, length_ms: int) -> None:
        self.dice = random.Random(f"relay-schedules/{seed}")
        self.seed, self.length_ms = seed, length_ms
        self.feeds = self.dice.choice(((0, 0), (0, 0), (0, 0, 0), (0, 0, 0), (0, 1), (0, 1, 0)))
        self.discoveries = max(self.feeds) + 1
        self.busy: dict[tuple[str, tuple[int, ...]], int] = {}  # until when
        self.anew: set[int] = set()  # a version would come twice where one began anew twice
        self.events: list[Event] = []

    def draw(self) -> Schedule:
        dice, length_ms = self.dice, self.length_ms
        crossing = dice.choice((self.old_list, self.old_list, self.woken, self.rested, self.at_once))
        crossing(dice.randrange(200, max(201, length_ms // 5)), dice.randrange(len(self.feeds)))
        for _ in range(dice.randint(length_ms // 4_000, length_ms // 1_000)):
            (kind,) = dice.choices(list(FAULTS), list(FAULTS.values()))
            self.fault(kind, dice.randrange(length_ms))
        for host in range(STEADY + 1, HOSTS):
            self.host(host)
        return Schedule(self.seed, self.feeds, tuple(sorted(self.events, key=lambda event: event.at_ms)))

    # What must cross for a guard to be needed; chance alone brings it seldom. All are of the host STEADY.

    def old_list(self, at_ms: int, relay: int) -> None:
        """A relay does not hear of a drain, and then it is the only one that can be asked."""
        dice = self.dice
        drain_ms = at_ms + dice.randint(0, 300)
        # Young enough to be believed when it is asked, or older than that.
        lost_ms = drain_ms + dice.choice((dice.randint(1_200, 2_200), dice.randint(2_200, 5_000)))
        self.add("feed", Event(at_ms, "cut-feed", (relay,), lost_ms - at_ms + dice.randint(500, 2_000), "both,reset"))
        self.drain(drain_ms, lost_ms + 3_000)
        self.lose(lost_ms, relay)

    def woken(self, at_ms: int, relay: int) -> None:
        """A relay stands still, wakes with an old list that it says at once, and is the only one."""
        dice = self.dice
        for_ms = dice.choice((dice.randint(1_900, 2_800), dice.randint(2_800, 6_000)))
        self.add("relay", Event(at_ms, "stop-relay", (relay,), for_ms))
        self.drain(at_ms + dice.randint(0, 200), at_ms + for_ms + 3_000)
        self.add("feed", Event(at_ms + for_ms - 10, "cut-feed", (relay,), dice.randint(10, 2_000), "both,reset"))
        self.lose(at_ms + for_ms - 5, relay)

    def rested(self, at_ms: int, relay: int) -> None:
        """A relay is lost for a moment; soon it is the only one that hears discovery."""
        dice = self.dice
        self.lose_one(at_ms, relay, dice.choice(("stop-relay", "kill-relay")), 1_000)
        cut_ms = at_ms + dice.randint(1_000, 2_500)
        for other in range(len(self.feeds)):
            if other != relay:
                self.add("feed", Event(cut_ms, "cut-feed", (other,), dice.randint(2_000, 9_000), "both,reset"))
        self.drain(cut_ms + dice.randint(0, 300), cut_ms + 9_000)

    def at_once(self, at_ms: int, relay: int) -> None:
        """A drain at the moment in which a relay is lost, and the end of both."""
        self.lose_one(at_ms, relay, self.dice.choice(("stop-relay", "kill-relay")), self.stall_ms())
        self.drain(at_ms + self.dice.randint(-100, 300), at_ms + 3_000)

    def drain(self, at_ms: int, back_ms: int) -> None:
        self.change(STEADY, self.dice.choice(("DRAINING", "DRAINING", "DELETED")), at_ms)
        if self.dice.random() < 0.5:
            self.change(STEADY, "SERVING", back_ms + self.dice.randint(0, 2_000))

    def lose(self, at_ms: int, but: int) -> None:
        """All relays but this one, for a while."""
        how, for_ms = self.dice.choice(("stop-relay", "kill-relay", "cut-link")), self.dice.randint(1_000, 3_000)
        for relay in range(len(self.feeds)):
            if relay != but:
                self.lose_one(at_ms, relay, how, for_ms)

    def lose_one(self, at_ms: int, relay: int, how: str, for_ms: int) -> None:
        if how != "cut-link":
            self.add("relay", Event(at_ms, how, (relay,), for_ms))
            return
        for gateway in range(GATEWAYS):
            self.add("link", Event(at_ms, how, (gateway, relay), for_ms, "both,reset"))

    def stall_ms(self) -> int:
        near = self.dice.choice(LIMITS_MS) + self.dice.choice((-NEAR_MS, NEAR_MS))
        return self.dice.choice((near, near, self.dice.randint(50, 1_000), self.dice.randint(50, 6_000)))

    def add(self, group: str, event: Event) -> None:
        """After what is there already of this part; not at all where that is past the end."""
        place = (group, event.who)
        at_ms = max(event.at_ms, self.busy.get(place, 0))
        if at_ms < self.length_ms:
            # Of a relay that was killed the time until it is ready comes beside, which nobody knows.
            self.busy[place] = self.length_ms if event.what == "kill-relay" else at_ms + event.for_ms + 1
            self.events.append(Event(at_ms, event.what, event.who, event.for_ms, event.how))

    def fault(self, kind: str, at_ms: int) -> None:
        dice = self.dice
        relay, gateway = dice.randrange(len(self.feeds)), dice.randrange(GATEWAYS)
        number = dice.randrange(self.discoveries)
        sides = dice.choice(("both", "both", "forward", "back"))
        end = dice.choice(("reset", "go-on"))
        if kind == "stop-relay":
            self.add("relay", Event(at_ms, kind, (relay,), self.stall_ms()))
        elif kind == "kill-relay":
            self.add("relay", Event(at_ms, kind, (relay,), dice.choice((0, dice.randint(0, 4_000)))))
        elif kind == "stop-gateway":
            self.add("gateway", Event(at_ms, kind, (gateway,), self.stall_ms()))
        elif kind == "cut-link":
            self.add("link", Event(at_ms, kind, (gateway, relay), dice.randint(200, 5_000), f"{sides},{end}"))
        elif kind == "cut-feed":
            self.add("feed", Event(at_ms, kind, (relay,), dice.randint(200, 6_000), f"{sides},{end}"))
        elif kind == "flap-link":
            self.add("link", Event(at_ms, kind, (gateway, relay), FLAPS * FLAP_MS, f"both,{end}"))
        elif kind == "flap-feed":
            self.add("feed", Event(at_ms, kind, (relay,), FLAPS * FLAP_MS, f"both,{end}"))
        elif kind == "discovery":
            how = dice.choice(("503", "reset", "silent", "rubbish"))
            self.add("discovery", Event(at_ms, kind, (number,), dice.randint(200, 5_000), how))
        elif kind == "roster":
            self.add("roster", Event(at_ms, kind, (gateway,), dice.randint(100, 3_000)))
        elif number not in self.anew:
            self.anew.add(number)
            self.add("discovery", Event(at_ms, kind, (number,)))

    def host(self, host: int) -> None:
        """Its life: it is told to drain or gone, and back after a while or never."""
        dice = self.dice
        at_ms = dice.randrange(self.length_ms // 2)
        while at_ms < self.length_ms:
            (what,) = dice.choices(list(HOST_EVENTS), list(HOST_EVENTS.values()))
            at_ms = self.change(host, what, at_ms)
            if what == "DRAINING" and dice.random() < 0.5:
                at_ms = self.change(host, "DELETED", at_ms + dice.randint(0, 2_000))
            if what != "weight" and dice.random() < 0.7:
                at_ms = self.change(host, "SERVING", at_ms + dice.choice((20, dice.randint(100, 5_000))))
            elif what != "weight":
                return
            at_ms += dice.randint(100, 4_000)

    def change(self, host: int, status: str, at_ms: int) -> int:
        """Told at both discoveries at once, or at one of them first; returns when both have it."""
        at_ms = max(0, at_ms)
        late_ms = 0
        if self.discoveries > 1 and self.dice.random() < 0.5:
            late_ms = self.dice.randint(50, 4_000)
        first = self.dice.randrange(self.discoveries)
        if at_ms < 2 * self.length_ms:
            self.events.append(Event(at_ms, "host", (host, first), late_ms, status))
        return at_ms + late_ms


def draw(seed: int, length_s: float = LENGTH_S) -> Schedule:
    return Drawer(seed, int(length_s * 1000)).draw()


# Playing


class Player:
    """Plays one schedule, and notes what did not work when."""

    def __init__(self, fleet: RelayFleet, schedule: Schedule) -> None:
        self.fleet, self.schedule = fleet, schedule
        self.weights = dict.fromkeys(range(HOSTS), 1.0)

    async def play(self) -> None:
        async with asyncio.TaskGroup() as group:
            for event in self.schedule.events:
                group.create_task(self.one(event))

    async def one(self, event: Event) -> None:
        await asyncio.sleep(event.at_ms / 1000)
        if event.what != "host":
            self.fleet.note(str(event))
        match event.what:
            case "stop-relay" | "stop-gateway":
                await self.stop(event)
            case "kill-relay":
                await self.kill(event.who[0], event.for_ms / 1000)
            case "cut-link" | "cut-feed":
                await self.cut(event, event.for_ms / 1000)
            case "flap-link" | "flap-feed":
                for _ in range(FLAPS // 2):
                    await self.cut(event, FLAP_MS / 1000)
                    await asyncio.sleep(FLAP_MS / 1000)
            case "discovery":
                await self.discovery(event)
            case "anew":
                self.fleet.discoveries[event.who[0]].roll_back_index(1_000_000)
            case "roster":
                await self.roster(event)
            case "host":
                await self.host(event)

    async def stop(self, event: Event) -> None:
        (number,) = event.who
        is_relay = event.what == "stop-relay"
        part: Component = ("relay" if is_relay else "gateway", number)
        process = (self.fleet.relays if is_relay else self.fleet.gateways)[number]
        self.fleet.begin_outage(part)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(event.for_ms / 1000)
        process.send_signal(signal.SIGCONT)
        self.fleet.end_outage(part)

    async def kill(self, relay: int, for_s: float) -> None:
        self.fleet.begin_outage(("relay", relay))
        await self.fleet.kill(relay)
        await asyncio.sleep(for_s)
        self.fleet.relays[relay].start()
        await self.fleet.wait_until_ready(relay)
        self.fleet.note(f"relay-{relay} is ready")
        self.fleet.end_outage(("relay", relay))

    async def cut(self, event: Event, for_s: float) -> None:
        fleet, (sides, _, end) = self.fleet, event.how.partition(",")
        part: Component = ("link", *event.who) if len(event.who) == 2 else ("feed", event.who[0])
        link = fleet.to_relay[event.who[0], event.who[1]] if len(event.who) == 2 else fleet.to_discovery[event.who[0]]
        fleet.begin_outage(part)
        link.cut({"both": (FORWARD, BACK), "forward": (FORWARD,), "back": (BACK,)}[sides])
        await asyncio.sleep(for_s)
        link.heal(reset=end == "reset")
        fleet.end_outage(part)

    async def discovery(self, event: Event) -> None:
        (number,) = event.who
        discovery = self.fleet.discoveries[number]
        self.fleet.begin_outage(("discovery", number))
        if event.how == "rubbish":
            discovery.faults.has_garbled_lists = True
        else:
            await discovery.set_outage_mode(event.how)
        await asyncio.sleep(event.for_ms / 1000)
        discovery.faults.has_garbled_lists = False
        await discovery.set_outage_mode("")
        self.fleet.end_outage(("discovery", number))

    async def roster(self, event: Event) -> None:
        """A gateway is taken from the roster of one relay, a while later from those of the others."""
        for relay, process in enumerate(self.fleet.relays):
            self.fleet.write_roster(relay, [f"n{event.who[0]}"])
            if ("relay", relay) not in self.fleet.open_outages:  # a start would end by it, and reads the file anyway
                process.send_signal(signal.SIGHUP)
            if relay == 0:
                await asyncio.sleep(event.for_ms / 1000)

    async def host(self, event: Event) -> None:
        host, first = event.who
        status = event.how
        if status == "weight":
            self.weights[host] = 0.5 if self.weights[host] == 1.0 else 1.0
            status = "SERVING"
        numbers = range(len(self.fleet.discoveries))
        if not event.for_ms:
            self.fleet.publish_status(host, status, weight=self.weights[host])
            return
        self.fleet.publish_status(host, status, first, weight=self.weights[host])
        await asyncio.sleep(event.for_ms / 1000)
        self.fleet.publish_status(host, status, *(n for n in numbers if n != first), weight=self.weights[host])

    # After

    async def settle(self) -> str:
        """All is healed: wait until each gateway uses just the hosts that serve. What is wrong still, else ""."""
        fleet = self.fleet
        fleet.note("all is healed")
        serving = [int(e.name[2:]) for e in fleet.discovery.entries.values() if e.status == "SERVING"]
        wanted = {(gateway, host) for gateway in range(GATEWAYS) for host in serving}
        end = time.monotonic() + SETTLE_S
        while True:
            since, until_us = len(fleet.requests_seen), now_us() + int(QUIET_S * 1e6)
            while now_us() < until_us:
                await asyncio.sleep(0.02)
            used = {(gateway, host) for _, gateway, host in fleet.requests_seen[since:]}
            if used == wanted:
                return ""
            if time.monotonic() > end:
                odd = ", ".join(f"n{g} s-{h}" for g, h in sorted(used ^ wanted))
                return f"{SETTLE_S:g} s after all is healed, used and should not, or the other way round: {odd}"


async def play(schedule: Schedule, folder: Path) -> Played:
    played, began_s = Played(schedule), time.monotonic()
    async with running_relay_fleet(folder, HOSTS, schedule.feeds, is_spread=True) as fleet:
        player = Player(fleet, schedule)
        try:
            await player.play()
            odd = await player.settle()
            if odd:
                played.wrong.append(odd)
        except* AssertionError as errors:
            played.wrong += [str(error) for error in errors.exceptions]
        record = fleet.record()
        played.wrong += [f"{wrong.subject}: {wrong.what}" for wrong in check_relays(record)]
        played.wrong += fleet.faults()
        played.asked, played.refused = len(record.requests), fleet.statuses[503]
        played.direct, played.took_s = len(record.direct_polls), time.monotonic() - began_s
        if played.wrong:
            played.timeline = fleet.timeline()
    return played


def run(schedule: Schedule, without: str = "") -> Played:
    """`without`: the program with this guard taken out (benchmarks/guards)."""
    if without:
        sockets.GATEWAY_COMMAND = (sys.executable, "-m", "benchmarks.guards.mutated_gateway", without)
    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(play(schedule, Path(folder)))


def shorten(schedule: Schedule, without: str = "") -> Schedule:
    """Without the events that it fails without too. Times matter: what fails now and then may be left too long."""
    kept = list(schedule.events)
    for event in schedule.events:
        fewer = [other for other in kept if other is not event]
        played = run(Schedule(schedule.seed, schedule.feeds, tuple(fewer)), without)
        print(f"without {event}: {played.wrong[:1] or 'nothing'}", flush=True)
        if played.wrong:
            kept = fewer
    return Schedule(schedule.seed, schedule.feeds, tuple(kept))


def show(played: Played) -> None:
    for wrong in played.wrong:
        print(f"WRONG {wrong}")
    print(f"{played.timeline}\nreplay with: --replay '{played.schedule}'", flush=True)


CUTS = tuple(f"{sides},{end}" for sides in ("both", "forward", "back") for end in ("reset", "go-on"))
HOWS: Final = {
    "cut-link": CUTS, "cut-feed": CUTS, "flap-link": CUTS, "flap-feed": CUTS, "host": (*HOST_EVENTS, "SERVING"),
    "discovery": ("503", "reset", "silent", "rubbish"),
}  # fmt: skip


def parse(text: str) -> Schedule:
    """What a schedule prints as."""
    first, *words = text.split() or [""]
    try:
        feeds = tuple(map(int, first.split(",")))
        if not 1 <= len(feeds) <= 3 or not set(feeds) <= {0, 1} or 0 not in feeds:
            raise ValueError
    except ValueError:
        raise argparse.ArgumentTypeError(f"expected the discovery of each relay, as 0,1,0, found {first!r}") from None
    events = [parse_event(word, len(feeds), max(feeds) + 1) for word in words]
    return Schedule(0, feeds, tuple(events))


def parse_event(word: str, relays: int, discoveries: int) -> Event:
    numbers = {
        "gateway": (GATEWAYS,), "roster": (GATEWAYS,), "relay": (relays,), "feed": (relays,),
        "link": (GATEWAYS, relays), "discovery": (discoveries,), "anew": (discoveries,), "host": (HOSTS, discoveries),
    }  # fmt: skip
    try:
        at_ms, what, who, for_ms, how = (word + ":" * (4 - word.count(":"))).split(":")
        event = Event(int(at_ms), what, tuple(map(int, who.split("-"))), int(for_ms), how)
        most = numbers[what.rpartition("-")[2]]
        is_known = what in (*FAULTS, "host") and how in HOWS.get(what, ("",))
        is_there = all(0 <= n < m for n, m in zip(event.who, most, strict=True))
        if not is_known or not is_there or not 0 <= event.at_ms <= MOST_MS or not 0 <= event.for_ms <= MOST_MS:
            raise ValueError
    except (ValueError, KeyError):
        said = f"expected an event as 200:cut-link:0-1:500:both,reset, found {word!r}"
        raise argparse.ArgumentTypeError(said) from None
    return event


def seeds_of(text: str) -> Sequence[int]:
    first, _, last = text.partition("-")
    try:
        seeds = range(int(first), int(last or first) + 1)
    except ValueError:
        seeds = range(0)
    if not seeds:
        raise argparse.ArgumentTypeError(f"expected a number or A-B, found {text!r}")
    return seeds


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=seeds_of, default=range(1, 101), metavar="A-B")
    parser.add_argument("--replay", type=parse, metavar="SCHEDULE")
    parser.add_argument("--length", type=float, default=LENGTH_S, metavar="SECONDS")
    parser.add_argument("--workers", type=int, default=2)
    parser.add_argument("--shorten", action="store_true")
    parser.add_argument("--without", default="", metavar="GUARD")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    if not 2.0 <= options.length <= 60.0 or not 1 <= options.workers <= 8:
        print("relay_schedules: expected --length of 2 to 60, --workers of 1 to 8", file=sys.stderr)
        return 2
    schedules = [options.replay] if options.replay else [draw(seed, options.length) for seed in options.seeds]
    context, plays = multiprocessing.get_context("spawn"), list[Played]()
    with ProcessPoolExecutor(options.workers, context) as pool:
        for played in pool.map(run, schedules, [options.without] * len(schedules)):
            plays.append(played)
            print(f"seed {played.schedule.seed}: {played.wrong[:1] or 'well'}, {len(played.schedule.events)} events, "
                  f"{played.asked} asked, {played.refused} refused, {played.direct} direct, {played.took_s:.1f} s",
                  flush=True)  # fmt: skip
    wrong = [played for played in plays if played.wrong]
    for played in wrong:
        show(played)
        if options.shorten:
            print(f"it takes: --replay '{shorten(played.schedule, options.without)}'")
    kinds = Counter(event.what for played in plays for event in played.schedule.events)
    print(f"{len(plays) - len(wrong)} of {len(plays)} schedules are well; {dict(sorted(kinds.items()))}, "
          f"{sum(p.asked for p in plays)} requests, {sum(p.refused for p in plays)} refused")  # fmt: skip
    if options.json is not None:
        options.json.write_text(json.dumps([{"seed": p.schedule.seed, "wrong": p.wrong} for p in plays]) + "\n")
    return 1 if wrong else 0


if __name__ == "__main__":
    raise SystemExit(main())
