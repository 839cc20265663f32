"""Every order of events of a small fleet, played on the pure parts of relays: what a gateway holds is its subset.

    .venv-dev/bin/python -m benchmarks.relay_model [--depth 12] [--states 100000] [--from START] [--only change,ask]
    .venv-dev/bin/python -m benchmarks.relay_model --walks 2000 [--steps 80] [--seed 1]
    .venv-dev/bin/python -m benchmarks.relay_model --from spill --replay 'change:0 hear:1 ask:0 ...'

Discovery, two relays, two gateways, three hosts. What may happen next: a host changes or comes back in another zone
or service, a relay hears the next change or a whole list, a gateway asks, asks in vain (its answer is lost), moves to
the other relay, asks for more hosts, a relay begins anew or reads another roster. Breadth first, each state once, so
that the first trace that is found is a shortest one. Judged by `plainly` below, which is written from
docs/relay-design.md alone and knows no window that it has not just made.

Exit code: 0 nothing was found; 1 an invariant was broken; 2 an option cannot be used.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import time
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field, fields, replace
from typing import Any, Final

from cloverkeel.control_plane.deltas import ClientSnapshot, SubsetWindow
from cloverkeel.control_plane.endpoint_cache import EndpointCache
from cloverkeel.control_plane.endpoint_table import EndpointTable
from cloverkeel.control_plane.entry_codec import WIDENED_USERS_FACTOR
from cloverkeel.control_plane.errors import NotReadyError
from cloverkeel.control_plane.fleet_roster import FleetRoster
from cloverkeel.control_plane.messages import ListResponse, Subscriber
from cloverkeel.control_plane.roster_parser import parse_roster
from cloverkeel.control_plane.subsetting import HashRing, RingShare, ServiceRings, SubsetSizes
from cloverkeel.core.config import stable_id

Event = tuple[str, int]
Shares = tuple[set[str], set[tuple[str, str]]]  # names of hosts; rings, by service and zone
Entry = dict[str, Any]
List = dict[str, Entry]
FIRST_INDEX: Final = 1_000  # of both relays: versions of one mean nothing to the other
NEXT_LIFE: Final = 100
# Which events at the most in one trace of a search; a walk has no bound but its own.
BUDGETS: Final = {"change": 4, "shift": 1, "lose": 2, "move": 2, "restart": 1, "list": 1, "roster": 1, "wide": 1}
KINDS: Final = (*BUDGETS, "hear", "ask")
ORDER: Final = ("DELETED", "DRAINING", "SERVING")


@dataclass(slots=True, frozen=True)
class Scene:
    """A fleet to begin with. `rosters`: what relays read in turn. `shifts`: where a host may come back."""

    rosters: tuple[dict[str, Any], ...]
    hosts: tuple[Entry, ...]
    askers: tuple[Subscriber, ...]
    shifts: tuple[tuple[str, str], ...]  # service and zone
    sizes: SubsetSizes
    parsed: tuple[FleetRoster, ...] = ()
    known: dict[tuple[object, ...], Shares] = field(default_factory=dict)  # what `shares` has worked out

    def ready(self) -> Scene:
        return replace(self, parsed=tuple(parse_roster(json.dumps(raw), "a scene") for raw in self.rosters))

    def shares(self, roster: int, asker: Subscriber, listed: List) -> Shares:
        """`plainly`, each question once."""
        states = sorted((e["name"], e["service"], e["zone"], e["status"]) for e in listed.values())
        key = (roster, asker, tuple(states))
        found = self.known.get(key)
        if found is None:
            found = self.known[key] = plainly(self.rosters[roster], self.sizes, asker, listed)
        return found


def entry(name: str, service: str, zone: str) -> Entry:
    return {"name": name, "address": "10.0.0.1:80", "zone": zone, "service": service, "status": "SERVING"}


# The page, written again


def plainly(roster: dict[str, Any], sizes: SubsetSizes, asker: Subscriber, listed: List) -> Shares:
    """Names of an asker's hosts in a list, and the (service, zone) that it shares. By what the page says."""
    post = roster["gateways"].get(asker.gateway)
    regions = roster["regions"]
    if post is None:
        return {name for name, each in listed.items() if each["status"] == "SERVING"}, set()

    def region_of(zone: str) -> str:
        return next((region for region, zones in regions.items() if zone in zones), "")

    def before(service: str) -> dict[str, str]:
        fronts = roster["gateways"].items()
        return {n: region_of(p["zone"]) for n, p in fronts if "services" not in p or service in p["services"]}

    mine, names, shared = region_of(post["zone"]), set[str](), set[tuple[str, str]]()
    wanted = asker.services or post.get("services") or sorted({each["service"] for each in listed.values()})
    for service in wanted:
        fronts = before(service)
        zones = {each["zone"] for each in listed.values() if each["service"] == service}
        lent = {zone for zone in zones if region_of(zone) not in fronts.values()}  # nobody there is before it
        own = lent | {zone for zone in zones if region_of(zone) == mine}

        def serving(zone: str, service: str = service) -> list[str]:
            its = (service, zone, "SERVING")
            of = [name for name, each in listed.items() if (each["service"], each["zone"], each["status"]) == its]
            return sorted(of, key=lambda name: (stable_id(f"{service}\0{zone}\0{name}", 8), name))

        if sum(len(serving(zone)) for zone in own) < sizes.min_serving:
            own = zones
        for zone in own:
            shared.add((service, zone))
            hosts = serving(zone)
            group = [n for n, region in fronts.items() if zone in lent or region == mine] or list(fronts)
            hashes = [stable_id(f"{service}\0{n}", 8) for n in group]
            place = sum(number < stable_id(f"{service}\0{asker.gateway}", 8) for number in hashes)
            count, least = max(len(group), 1), sizes.min_hosts << asker.widenings
            for number in range(min(len(hosts), max(least, -(-least * len(hosts) // count)))):
                first = int((place + 0.5) * len(hosts) / count)
                names.add(hosts[(first + number) % len(hosts)])
    return names, shared


# The small fleet


class Holder:
    """A gateway's client: where it asks, and what it has."""

    __slots__ = ("asker", "held", "index", "relay")

    def __init__(self, asker: Subscriber, relay: int) -> None:
        self.asker, self.relay = asker, relay
        self.index: int | None = None
        self.held: dict[str, bytes] = {}

    def copy(self) -> Holder:
        made = Holder(self.asker, self.relay)
        made.index, made.held = self.index, dict(self.held)
        return made

    def apply(self, answer: ListResponse) -> None:
        """As Watch.on_answer has it: changes up to a version below the one held are of another life."""
        if not answer.is_snapshot and self.index is not None and answer.index < self.index:
            self.index = None
            return
        if answer.is_snapshot:
            self.held = {}
        self.index = answer.index
        for told in answer.entries:
            raw = json.loads(told)
            if raw["status"] == "DELETED":
                self.held.pop(raw["name"], None)
            else:
                self.held[raw["name"]] = told


class Relay:
    """A cache, and what it has heard of discovery."""

    __slots__ = ("cache", "heard", "life", "listed", "roster")

    def __init__(self, scene: Scene, life: int = 0, roster: int = 0) -> None:
        self.life, self.roster = life, roster
        self.cache = EndpointCache(scene.parsed[roster], FIRST_INDEX + life * NEXT_LIFE, scene.sizes)
        self.heard = -1  # changes of discovery's; -1: no list yet
        self.listed: List = {}

    def copy(self) -> Relay:
        made = Relay.__new__(Relay)
        made.life, made.roster, made.heard, made.listed = self.life, self.roster, self.heard, dict(self.listed)
        made.cache = copy_cache(self.cache)
        return made


class State:
    """The small fleet at one moment."""

    __slots__ = ("changes", "had", "holders", "listed", "relays", "scene", "used", "wrong")

    def __init__(self, scene: Scene) -> None:
        self.scene, self.wrong = scene, ""
        self.listed: List = {each["name"]: each for each in scene.hosts}
        self.changes: tuple[Entry, ...] = ()  # since the start, in order
        self.had = frozenset(text_of(each) for each in scene.hosts)
        self.relays = [Relay(scene), Relay(scene)]
        self.holders = [Holder(asker, number % 2) for number, asker in enumerate(scene.askers)]
        self.used = dict.fromkeys(BUDGETS, 0)

    def copy(self) -> State:
        made = State.__new__(State)
        made.scene, made.wrong, made.changes, made.had = self.scene, self.wrong, self.changes, self.had
        made.listed, made.used = dict(self.listed), dict(self.used)
        made.relays = [relay.copy() for relay in self.relays]
        made.holders = [holder.copy() for holder in self.holders]
        return made

    def key(self) -> tuple[object, ...]:
        """What any later event can depend on. Numbers of changes and indexes count by their order alone."""
        relays = tuple(
            (relay.roster, relay.heard - len(self.changes), relay.life, key_of_cache(relay.cache))
            for relay in self.relays
        )
        holders = tuple(
            (
                holder.relay, holder.asker.widenings, tuple(sorted(holder.held.items())),
                None if holder.index is None else holder.index - self.relays[holder.relay].cache.indexes.last,
            )
            for holder in self.holders
        )  # fmt: skip
        behind = len(self.changes) - min(relay.heard for relay in self.relays)
        pending = tuple(text_of(each) for each in self.changes[-behind:]) if behind else ()
        return relays, holders, pending, self.had, tuple(self.used.values()), key_of_list(self.listed)

    # What may happen

    def events(self) -> Iterator[Event]:
        left = {what for what, most in BUDGETS.items() if self.used[what] < most}
        for what, count in (("change", len(self.scene.hosts)), ("shift", len(self.scene.hosts))):
            if what in left:
                yield from ((what, number) for number in range(count))
        for number, relay in enumerate(self.relays):
            if -1 < relay.heard < len(self.changes):
                yield "hear", number
            if relay.heard == -1 or "list" in left:
                yield "list", number
            if "restart" in left and relay.heard >= 0:
                yield "restart", number
            if "roster" in left and len(self.scene.rosters) > 1:
                yield "roster", number
        for number in range(len(self.holders)):
            yield "ask", number
            yield from ((what, number) for what in ("lose", "move", "wide") if what in left)

    def apply(self, event: Event) -> None:
        """Let it happen; what cannot happen now does nothing."""
        what, number = event
        if what in BUDGETS and not (what == "list" and self.relays[number].heard == -1):
            self.used[what] += 1
        if what in ("change", "shift"):
            self.change(number, what == "shift")
        elif what == "hear":
            self.hear(number)
        elif what == "list":
            relay = self.relays[number]
            relay.cache.apply_list(True, list(self.listed.values()))
            relay.heard, relay.listed = len(self.changes), dict(self.listed)
        elif what == "restart":
            self.relays[number] = Relay(self.scene, self.relays[number].life + 1, self.relays[number].roster)
        elif what == "roster":
            relay = self.relays[number]
            relay.roster = (relay.roster + 1) % len(self.scene.rosters)
            relay.cache.replace_roster(self.scene.parsed[relay.roster])
        elif what == "move":
            holder = self.holders[number]
            holder.relay, holder.index = 1 - holder.relay, None
        elif what == "wide":
            holder = self.holders[number]
            holder.asker = replace(holder.asker, widenings=1 - holder.asker.widenings)
        else:
            self.ask(number, what == "lose")

    def change(self, number: int, shift: bool) -> None:
        """A host goes on to drain, to be gone, to be back; or it comes back elsewhere."""
        was = self.listed.get(self.scene.hosts[number]["name"])
        if shift:
            home = self.scene.hosts[number]
            at = (home["service"], home["zone"]) if was is None else (was["service"], was["zone"])
            others = [place for place in self.scene.shifts if place != at]
            service, zone = others[number % len(others)]
            now = entry(home["name"], service, zone)
        elif was is None:
            now = dict(self.scene.hosts[number])
        else:
            now = was | {"status": "DRAINING" if was["status"] == "SERVING" else "DELETED"}
        self.changes = (*self.changes, now)
        take_in(self.listed, now)
        self.had |= {text_of(now)}

    def hear(self, number: int) -> None:
        relay = self.relays[number]
        if -1 < relay.heard < len(self.changes):
            now = self.changes[relay.heard]
            relay.cache.apply_list(False, [now])
            take_in(relay.listed, now)
            relay.heard += 1

    def ask(self, number: int, is_lost: bool) -> None:
        holder = self.holders[number]
        relay = self.relays[holder.relay]
        try:
            answer = relay.cache.respond(holder.asker, holder.index)
        except NotReadyError:
            self.require(relay.heard == -1, "a relay that has a list gave no answer")
            return
        self.require(relay.heard >= 0, "a relay that has no list gave an answer")
        if is_lost:
            return
        if answer is not None:
            self.judge_answer(holder, relay, answer)
            holder.apply(answer)
        if holder.index is not None:
            self.judge_held(holder, relay)

    def quiet(self) -> State:
        """All that happens when nothing more does: relays hear all, gateways ask until they have it all."""
        made = self.copy()
        for number, relay in enumerate(made.relays):
            if relay.heard == -1:
                made.apply(("list", number))
            while relay.heard < len(made.changes):
                made.hear(number)
        for number, holder in enumerate(made.holders):
            for _ in range(2):  # once may be for a list that it cannot use
                made.ask(number, False)
            made.require(holder.index is not None, "a gateway is left without a list")
            drains = {name for name, each in made.listed.items() if each["status"] == "DRAINING"}
            names, _ = made.scene.shares(made.relays[holder.relay].roster, holder.asker, made.listed)
            made.require(holder.held.keys() - drains == names, "after quiet, a gateway has another subset")
        return made

    # What must hold

    def require(self, holds: bool, wrong: str) -> None:
        if not holds and not self.wrong:
            self.wrong = wrong

    def judge_answer(self, holder: Holder, relay: Relay, answer: ListResponse) -> None:
        raws = [json.loads(each) for each in answer.entries]
        ranks = [ORDER.index(raw["status"]) for raw in raws]
        self.require(answer.is_snapshot or ranks == sorted(ranks), "what restricts was not said first")
        names = [raw["name"] for raw in raws]
        self.require(len(set(names)) == len(names), "a host was told twice in one answer")
        self.require(answer.is_snapshot or bool(raws), "an answer with nothing in it")
        self.require(holder.index is not None or answer.is_snapshot, "changes for one that holds nothing")
        if answer.is_snapshot:
            return
        _, shared = self.scene.shares(relay.roster, holder.asker, relay.listed)
        for raw in raws:
            now = relay.listed.get(raw["name"])
            if raw["status"] == "DELETED" and now is not None and now["status"] == "DRAINING":
                is_shared = (now["service"], now["zone"]) in shared and raw["name"] in holder.held
                self.require(not is_shared, "one that drains was told as gone")

    def judge_held(self, holder: Holder, relay: Relay) -> None:
        """After an answer, or where there is none to give."""
        names, _ = self.scene.shares(relay.roster, holder.asker, relay.listed)
        serving: set[str] = set()
        for name, told in holder.held.items():
            raw = json.loads(told)
            users = raw.pop("users", None)
            self.require(text_of(raw) in self.had, "a gateway holds what discovery never had")
            now = relay.listed.get(name)
            is_now = now is not None and text_of(now) == text_of(raw)
            self.require(is_now, "a gateway holds what its relay no longer has")
            if raw["status"] == "SERVING":
                serving.add(name)
                least = self.least_users(relay, holder.asker, name) if users is not None else 0
                self.require((users or least) >= least, "more gateways have a host than `users` says")
        self.require(serving == names, "a gateway has another subset than its relay's list gives")

    def least_users(self, relay: Relay, asker: Subscriber, name: str) -> int:
        """Gateways of the roster that have this host and have not widened; WIDENED_USERS_FACTOR times that where it
        came by that."""
        fronts = [Subscriber(gateway) for gateway in self.scene.rosters[relay.roster]["gateways"]]
        users = sum(name in self.scene.shares(relay.roster, front, relay.listed)[0] for front in fronts)
        own, _ = self.scene.shares(relay.roster, replace(asker, widenings=0), relay.listed)
        return users if name in own else users * WIDENED_USERS_FACTOR


def text_of(raw: Entry) -> str:
    return json.dumps(raw, sort_keys=True)


def key_of_list(listed: List) -> tuple[str, ...]:
    return tuple(sorted(text_of(each) for each in listed.values()))


def take_in(listed: List, now: Entry) -> None:
    if now["status"] == "DELETED":
        listed.pop(now["name"], None)
    else:
        listed[now["name"]] = now


def copy_cache(cache: EndpointCache) -> EndpointCache:
    """Hosts, windows and snapshots are never changed, so both may have them."""
    made = EndpointCache(cache.roster, cache.indexes.last + 1, cache.table.sizes)
    made.is_ready = cache.is_ready
    for counter in fields(cache.counters):
        setattr(made.counters, counter.name, getattr(cache.counters, counter.name))
    copy_table(cache.table, made.table)
    snapshots = cache.subsets.snapshots_by_gateway
    made.subsets.snapshots_by_gateway = {gateway: dict(its) for gateway, its in snapshots.items()}
    made.full_list.change_by_index = cache.full_list.change_by_index.copy()
    made.full_list.entries, made.full_list.entries_change = cache.full_list.entries, cache.full_list.entries_change
    return made


def copy_table(table: EndpointTable, made: EndpointTable) -> None:
    made.change_number, made.host_by_name = table.change_number, dict(table.host_by_name)
    made.change_by_service = table.change_by_service.copy()
    made.change_by_service_floor = table.change_by_service_floor
    made.change_log.entries, made.change_log.floor = table.change_log.entries.copy(), table.change_log.floor
    for name, rings in table.rings_by_service.items():
        copied = made.rings_by_service[name] = ServiceRings.__new__(ServiceRings)
        copied.sizes, copied.groups, copied.spillover_regions = rings.sizes, rings.groups, rings.spillover_regions
        copied.ring_by_zone = {zone: copy_ring(ring) for zone, ring in rings.ring_by_zone.items()}
        copied.shares_by_region = {
            region: tuple(RingShare(copied.ring_by_zone[share.ring.zone], share.group) for share in shares)
            for region, shares in rings.shares_by_region.items()
        }


def copy_ring(ring: HashRing) -> HashRing:
    made = HashRing(ring.zone, ring.min_hosts)
    made.hosts, made.known_hosts, made.changed_at = list(ring.hosts), ring.known_hosts, ring.changed_at
    made.group_sizes = ring.group_sizes
    return made


def key_of_cache(cache: EndpointCache) -> tuple[object, ...]:
    """Its state, with numbers of changes replaced by their order, and indexes by their distance from the last."""
    table, by_gateway = cache.table, cache.subsets.snapshots_by_gateway
    log, by_index, last = table.change_log, cache.full_list.change_by_index, cache.indexes.last
    snapshots = [snapshot for each in by_gateway.values() for snapshot in each.values()]
    windows = [w for each in snapshots for zones in each.windows_by_service.values() for w in zones.values()]
    all_rings = [ring for rings in table.rings_by_service.values() for ring in rings.ring_by_zone.values()]
    numbers = {table.change_number, log.floor, table.change_by_service_floor}
    numbers.update(table.change_by_service.values(), by_index.values())
    numbers.update(number for number, _ in log.entries)
    numbers.update(snapshot.change_number for snapshot in snapshots)
    numbers.update(ring.changed_at for ring in all_rings)
    numbers.update(window.changed_at for window in windows)
    rank = {number: place for place, number in enumerate(sorted(numbers))}

    def of_window(window: SubsetWindow) -> object:
        hosts = tuple((host.is_serving, host.fields) for host in window.hosts)
        return rank[window.changed_at], window.max_users, window.own_hosts, hosts

    def of_snapshot(snapshot: ClientSnapshot) -> object:
        windows = tuple(
            (name, zone, of_window(window))
            for name, zones in sorted(snapshot.windows_by_service.items()) for zone, window in sorted(zones.items())
        )  # fmt: skip
        draining = tuple((host.is_serving, host.fields) for _, host in sorted(snapshot.draining_by_name.items()))
        its = snapshot.subscription
        return rank[snapshot.change_number], its.roster.digest, its.services, its.widenings, windows, draining

    rings = tuple(
        (name, zone, rank[ring.changed_at], ring.known_hosts, tuple(host.fields for host in ring.hosts))
        for name, its in sorted(table.rings_by_service.items()) for zone, ring in sorted(its.ring_by_zone.items())
    )  # fmt: skip
    return (
        cache.is_ready, rank[table.change_number], rings,
        tuple((host.is_serving, host.fields) for _, host in sorted(table.host_by_name.items())),
        tuple((name, rank[number]) for name, number in sorted(table.change_by_service.items())),
        tuple((rank[number], host.is_serving, host.fields) for number, host in log.entries),
        tuple((index - last, rank[number]) for index, number in by_index.items()),
        tuple(
            (gateway, tuple((index - last, of_snapshot(each)) for index, each in sorted(its.items())))
            for gateway, its in sorted(by_gateway.items())
        ),
    )  # fmt: skip


# Where a search begins

SMALL: Final = SubsetSizes(min_hosts=1, min_serving=1)


def ring() -> Scene:
    """Three hosts on one ring that two gateways share, each with two of them."""
    roster = {"regions": {"r": ["z"]}, "gateways": {"g0": {"zone": "z"}, "g1": {"zone": "z"}}}
    fewer = {"regions": {"r": ["z"]}, "gateways": {"g0": {"zone": "z"}}}  # g1 has the whole list by it
    hosts = tuple(entry(f"h{n}", "", "z") for n in range(3))
    return Scene((roster, fewer), hosts, (Subscriber("g0"), Subscriber("g1")), (("", "z"), ("a", "z")), SMALL).ready()


def spill() -> Scene:
    """Two regions with a gateway each: where one has no host left, its gateway has the other's."""
    gateways = {"g0": {"zone": "z0"}, "g1": {"zone": "z1"}}
    roster = {"regions": {"r0": ["z0"], "r1": ["z1"]}, "gateways": gateways}
    hosts = tuple(entry(f"h{n}", "", f"z{n % 2}") for n in range(3))
    return Scene(
        (roster,), hosts, (Subscriber("g0"), Subscriber("g1")), (("", "z0"), ("", "z1"), ("", "far")), SMALL
    ).ready()


def services() -> Scene:
    """Two services, a gateway before one of them, one before both; hosts go over from one to the other."""
    gateways = {"g0": {"zone": "z", "services": ["a"]}, "g1": {"zone": "z", "services": ["a", "b"]}}
    roster = {"regions": {"r": ["z"]}, "gateways": gateways}
    other = {"regions": {"r": ["z"]}, "gateways": gateways | {"g0": {"zone": "z", "services": ["b"]}}}
    hosts = tuple(entry(f"h{n}", "a" if n < 2 else "b", "z") for n in range(3))
    return Scene(
        (roster, other), hosts, (Subscriber("g0"), Subscriber("g1")), (("a", "z"), ("b", "z")), SMALL
    ).ready()


STARTS: Final = {"ring": ring, "spill": spill, "services": services}


def begun(scene: Scene) -> State:
    """Both relays have the list, both gateways their subset."""
    state = State(scene)
    for event in (("list", 0), ("list", 1), *(("ask", n) for n in range(len(scene.askers)))):
        state.apply(event)
    return state


@dataclass(slots=True)
class Found:
    """What a search came to. `trace` is empty where nothing was found."""

    states: int = 0
    depth: int = 0
    wrong: str = ""
    trace: tuple[Event, ...] = ()


def wrong_of(state: State) -> str:
    return state.wrong or state.quiet().wrong


def search(scene: Scene, depth: int, most: int, only: Sequence[str] = KINDS) -> Found:
    """All states within so many events of these kinds, each once, up to so many of them."""
    first = begun(scene)
    seen: dict[tuple[object, ...], tuple[tuple[object, ...] | None, Event]] = {first.key(): (None, ("", 0))}
    waiting: deque[tuple[State, tuple[object, ...], int]] = deque([(first, first.key(), 0)])
    found = Found(1)
    while waiting:
        state, key, at = waiting.popleft()
        if at >= depth:
            continue
        for event in state.events():
            if event[0] not in only:
                continue
            made = state.copy()
            made.apply(event)
            its = made.key()
            if its in seen:
                continue
            seen[its] = (key, event)
            found.states, found.depth = found.states + 1, at + 1
            found.wrong = wrong_of(made)
            if found.wrong:
                found.trace = trace_to(seen, its)
                return found
            if found.states >= most:
                return found
            waiting.append((made, its, at + 1))
    return found


def trace_to(
    seen: dict[tuple[object, ...], tuple[tuple[object, ...] | None, Event]], key: tuple[object, ...]
) -> tuple[Event, ...]:
    events: list[Event] = []
    at: tuple[object, ...] | None = key
    while at is not None:
        at, event = seen[at]
        events.append(event)
    return tuple(reversed(events[:-1]))


def replay(scene: Scene, trace: Iterable[Event]) -> State:
    """The state after these events, or after the first that breaks an invariant."""
    state = begun(scene)
    for event in trace:
        state.apply(event)
        if state.wrong:
            break
    return state


def shorten(scene: Scene, trace: Sequence[Event]) -> tuple[Event, ...]:
    """Leave out what is not needed for it to go wrong."""
    kept = list(trace)
    changed = True
    while changed:
        changed = False
        for number in range(len(kept) - 1, -1, -1):
            fewer = kept[:number] + kept[number + 1 :]
            if wrong_of(replay(scene, fewer)):
                kept, changed = fewer, True
    return tuple(kept)


WEIGHTS: Final = {
    "ask": 8.0, "hear": 6.0, "change": 4.0, "shift": 1.0, "lose": 2.0, "move": 1.0, "list": 0.5, "restart": 0.4,
    "roster": 0.3, "wide": 0.5,
}  # fmt: skip


def draw(rng: random.Random, state: State) -> Event:
    events = list(state.events())
    kinds = sorted({event[0] for event in events})
    (kind,) = rng.choices(kinds, [WEIGHTS[kind] for kind in kinds])
    return rng.choice([event for event in events if event[0] == kind])


def walk(scene: Scene, walks: int, steps: int, seed: int) -> Found:
    """Long traces drawn at random; what goes wrong is cut down."""
    found = Found()
    for number in range(walks):
        rng, state, trace = random.Random(f"{seed}/{number}"), begun(scene), list[Event]()
        state.used = dict.fromkeys(BUDGETS, -steps)  # no bound but the walk's own
        for step in range(steps):
            event = draw(rng, state)
            trace.append(event)
            state.apply(event)
            found.states += 1
            if state.wrong or (step == steps - 1 and wrong_of(state)):
                found.trace = shorten(scene, trace)
                found.wrong = wrong_of(replay(scene, found.trace))
                return found
    return found


def parse(text: str) -> tuple[Event, ...]:
    events = []
    for word in text.split():
        what, _, number = word.partition(":")
        if what not in KINDS or not (number or "0").isdigit():
            raise ValueError(f"--replay: expected words such as ask:0 or change:2, found {word!r}")
        events.append((what, int(number or 0)))
    return tuple(events)


def show(scene: Scene, trace: Sequence[Event]) -> None:
    """Print a trace, a line an event: what discovery has, what each relay has, what each gateway holds."""
    state = begun(scene)
    for event in (("", 0), *trace):
        if event[0]:
            state.apply(event)
        relays = "  ".join(brief(relay.listed.values()) if relay.heard >= 0 else "-" for relay in state.relays)
        holders = "  ".join(
            f"{holder.asker.gateway}@{holder.relay}/{holder.index}: {brief(map(json.loads, holder.held.values()))}"
            for holder in state.holders
        )
        print(f"{event[0] or 'begun':>8}:{event[1]}  [{brief(state.listed.values())}]  relays {relays}  {holders}")
    print("replay with: --replay '" + " ".join(f"{what}:{number}" for what, number in trace) + "'")


def brief(entries: Iterable[Entry]) -> str:
    marks = {"SERVING": "", "DRAINING": "-"}
    words = sorted(f"{each['name']}{marks[each['status']]}" for each in entries)
    return ",".join(words) or "nobody"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--depth", type=int, default=12)
    parser.add_argument("--states", type=int, default=100_000)
    parser.add_argument("--from", dest="start", choices=sorted(STARTS), default="ring")
    parser.add_argument("--only", default=",".join(KINDS), metavar="KINDS")
    parser.add_argument("--walks", type=int, default=0)
    parser.add_argument("--steps", type=int, default=80)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--replay", default="", metavar="EVENTS")
    options = parser.parse_args()
    scene, began_s = STARTS[options.start](), time.monotonic()
    try:
        given, only = parse(options.replay), options.only.split(",")
        if not set(only) <= set(KINDS):
            raise ValueError(f"--only: expected words of {','.join(KINDS)}, found {options.only!r}")
    except ValueError as error:
        print(f"relay_model: {error}", file=sys.stderr)
        return 2
    if given:
        show(scene, given)
        wrong = wrong_of(replay(scene, given))
        print(wrong or "nothing is wrong")
        return 1 if wrong else 0
    found = (
        walk(scene, options.walks, options.steps, options.seed)
        if options.walks
        else search(scene, options.depth, options.states, only)
    )
    took_s = time.monotonic() - began_s
    print(f"{found.states} states, depth {found.depth}, {took_s:.1f} s: {found.wrong or 'nothing'}")
    if found.wrong:
        show(scene, found.trace)
    return 1 if found.wrong else 0


if __name__ == "__main__":
    raise SystemExit(main())
