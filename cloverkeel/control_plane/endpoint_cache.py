"""What a relay knows, and whom it tells what. Pure: no I/O, no clock; lists and askers in, answers out.

Invariants:
- nothing is answered before a whole list has come (NotReady): nobody is told 'nobody serves' by a relay that is new;
- what an asker holds after an answer is its subset of the list that is held here now, and of hosts that it had, those
  that drain (as DRAINING, until they are gone or it no longer shares their ring). So it is whichever answers were
  lost: a delta is made from the very answer that `from` names, and from no other;
- an answer says what restricts first: DELETED, DRAINING, then what serves; of each host only its newest state;
- a list that cannot be used leaves what is held as it is, and is counted;
- another roster counts for all askers from one moment on. What it takes to know who shares which ring is worked out
  before, by steps, and each service is shaped by it before anybody is told of it.

Bounds: hosts MOST_HOSTS; of each gateway in the roster the last two views (MOST_VIEWS); of the whole list's askers
no views, but the last LOG_KEPT changes, and as many of their indexes. Bytes, measured with the plan's shape (38,000
hosts, gateways before 27 services each, two wholes): 583 a host and some 240 more once it is told, 52 KB a gateway.
So 31 MB for the plan's hosts and 20 MB for a twelfth of its gateways; 240 MB for all of them at one relay.
"""

from __future__ import annotations

import itertools
import json
from collections import Counter, OrderedDict, deque
from collections.abc import Generator, Iterable, Mapping
from dataclasses import dataclass, field
from operator import attrgetter
from typing import Any, Final

from cloverkeel.core.config import parse_address
from cloverkeel.control_plane.messages import WIDEST, Answer, Asker
from cloverkeel.control_plane.fleet_roster import Group, Post, Roster, at_once
from cloverkeel.control_plane.subsetting import SIZES, Host, Ring, Service, Sizes

MOST_HOSTS: Final = 131_072  # 3.4 times the plan's
MOST_VIEWS: Final = 2  # of a gateway: the answer that it had, and the one that may have been lost
LOG_KEPT: Final = 8_192  # changes: more than a zone of the plan has hosts. Who is further behind gets the whole list
MOST_CHANGED: Final = 16_384  # services remembered by their last change, also such as are gone; 11 times the plan's
LONGEST_ENTRY: Final = 4_096  # bytes of one entry; those of the plan have some 180
LONGEST_NAME: Final = 255  # characters of a name, service or zone
BUCKETS: Final = 64  # of the whole list, by hash: each put in order in some 1 ms
HOSTS_STEP: Final = 2_048  # hosts of the whole list, looked at
STEP: Final = 16  # services or gateways, of what is done by steps: some 1 ms
USABLE: Final = 0.5  # share of a whole list's entries that must be fit for use, or it is rubbish as a whole

ENCODE: Final = json.JSONEncoder(sort_keys=True, separators=(",", ":"), allow_nan=False).encode

# What the I/O waits by: (service, region) for a gateway before named services, (None, region) for one before all,
# (None, None) for who gets the whole list.
Topic = tuple[str | None, str | None]
EVERYTHING: Final[Topic] = (None, None)


class NotReady(Exception):  # noqa: N818 - a state that callers ask after, no mistake
    """No whole list has come from discovery yet."""


@dataclass(slots=True, frozen=True)
class Window:
    """What a gateway has of one ring: at which of the ring's changes; the first `own` of its hosts whoever widens."""

    changed: int
    users: int  # of a host of its own
    own: int
    hosts: tuple[Host, ...]

    def entry(self, place: int) -> bytes:
        """The host at this place, as it is told."""
        return self.hosts[place].entry(self.users, place < self.own)


Windows = dict[str, dict[str, Window]]  # by service and zone
Groups = dict[str, dict[str, Group]]  # by service and region


@dataclass(slots=True)
class View:
    """What a gateway holds after one answer."""

    number: int  # of the list's change that it has
    roster: Roster
    services: frozenset[str] | None
    wide: int
    windows: Windows
    draining: dict[str, Host]  # that it had when they served


@dataclass(slots=True)
class Counts:
    """Since the start."""

    lists: int = 0  # whole ones taken
    rubbish_lists: int = 0  # left unused
    early: int = 0  # changes that came before any whole list
    skipped: int = 0  # entries
    changes: int = 0  # hosts that are other, new or gone
    wholes: int = 0  # answers with all that the asker is to have
    deltas: int = 0
    unknown: int = 0  # `from` that this relay does not know


@dataclass(slots=True)
class Touched:
    """Per service, while a list is taken in: hosts that leave rings, and hosts that come into them, by zone."""

    out: dict[str, list[Host]] = field(default_factory=dict)
    put: dict[str, list[Host]] = field(default_factory=dict)
    known: Counter[str] = field(default_factory=Counter)  # hosts more or fewer
    zones: set[str] = field(default_factory=set)


class Feed:
    """Feed it discovery's lists; ask it what a gateway is to be told."""

    def __init__(self, roster: Roster, first_index: int, sizes: Sizes = SIZES) -> None:
        """`first_index`: of its first answer; greater than any of an earlier life at the same address (a clock)."""
        self.roster, self.sizes = roster, sizes
        self.index = first_index - 1
        self.ready = False
        self.hosts: dict[str, Host] = {}
        self.services: dict[str, Service] = {}  # to be read by `service` alone
        self.regrouped: Groups = {}  # of services that are not yet shaped by the roster
        self.number = 0  # of the last change of the list
        self.changed: OrderedDict[str, int] = OrderedDict()  # by service, the last first changed last
        self.changed_floor = 0  # services changed since this are all in `changed`
        self.views: dict[str, dict[int, View]] = {}  # by gateway and index
        self.log: deque[tuple[int, Host]] = deque()  # number of the change, the host as it was told last
        self.log_floor = 0  # changes after this are all in the log
        self.wholes: OrderedDict[int, int] = OrderedDict()  # answers to whole-list askers: index to number
        self.all_entries: tuple[int, tuple[bytes, ...]] = (-1, ())  # at a number, for all who ask meanwhile
        self.counts = Counts()

    # What comes from discovery

    def take(self, whole: bool, items: object) -> frozenset[Topic]:
        """A list's `endpoints` as discovery gave them, all (`whole`) or changes. Returns whose waiting it ends."""
        if not isinstance(items, list):
            self.counts.rubbish_lists += 1
            return frozenset()
        if not whole and not self.ready:
            self.counts.early += 1
            return frozenset()
        found, skipped = self.read(items, whole)
        self.counts.skipped += skipped
        if whole and ((len(items) - skipped) < USABLE * len(items) or len(found) > MOST_HOSTS):
            self.counts.rubbish_lists += 1
            return frozenset()
        if whole:
            self.ready = True
            self.counts.lists += 1
            found.update({name: None for name in self.hosts if name not in found})
        changes = [(name, host) for name, host in found.items() if self.hosts.get(name) is not host]
        return self.apply(changes) if changes else frozenset()

    def read(self, items: list[object], whole: bool) -> tuple[dict[str, Host | None], int]:
        """By name the host, None where it is gone; and how many entries cannot be used. The last of a name wins."""
        found: dict[str, Host | None] = {}
        skipped, room = 0, MOST_HOSTS - len(self.hosts)
        for item in items:
            try:
                name, host = parse(item, self.hosts)
            except (KeyError, TypeError, ValueError, OverflowError, AttributeError, RecursionError):
                skipped += 1
                gone = leaving(item)
                if gone is not None:
                    found[gone] = None
                continue
            if host is not None and not whole and name not in self.hosts and name not in found:
                if room <= 0:
                    skipped += 1
                    continue
                room -= 1
            found[name] = host
        return found, skipped

    def apply(self, changes: Iterable[tuple[str, Host | None]]) -> frozenset[Topic]:
        self.number += 1
        touched: dict[str, Touched] = {}
        for name, host in changes:
            held = self.hosts.pop(name, None)
            if held is not None:
                its = touched.get(held.service) or touched.setdefault(held.service, Touched())
                its.known[held.zone] -= 1
                its.zones.add(held.zone)
                if held.serves:
                    its.out.setdefault(held.zone, []).append(held)
            if host is not None:
                self.hosts[name] = host
                its = touched.get(host.service) or touched.setdefault(host.service, Touched())
                its.known[host.zone] += 1
                its.zones.add(host.zone)
                if host.serves:
                    its.put.setdefault(host.zone, []).append(host)
            if host is not None or held is not None:
                self.counts.changes += 1
                self.log.append((self.number, host or held))  # type: ignore[arg-type]
        while len(self.log) > LOG_KEPT:
            self.log_floor = self.log.popleft()[0]
        topics: set[Topic] = {EVERYTHING}
        for name, its in touched.items():
            regions = self.bring_in(name, its)
            topics.update((name, region) for region in regions)
            topics.update((None, region) for region in regions)
            self.changed.pop(name, None)
            self.changed[name] = self.number
        while len(self.changed) > MOST_CHANGED:
            self.changed_floor = self.changed.popitem(last=False)[1]
        return frozenset(topics)

    def bring_in(self, name: str, its: Touched) -> set[str]:
        """Change a service's rings; the regions whose gateways it may matter to."""
        service = self.service(name)
        if service is None:
            service = self.services[name] = Service(name, self.roster, self.sizes)
        before = {region: {ring.zone for ring, _ in reach} for region, reach in service.reach.items()}
        for zone in its.zones:
            ring = service.rings.get(zone)
            if ring is None:
                ring = service.rings[zone] = Ring(zone, self.sizes.least)
            ring.change(its.out.get(zone, ()), its.put.get(zone, ()))
            ring.known += its.known[zone]
            ring.changed = self.number
            if not ring.known:
                del service.rings[zone]
        others = service.shape(self.roster)
        if others:
            for ring in service.rings.values():
                ring.changed = self.number
        if not service.rings:
            del self.services[name]  # it is not in `regrouped`: it has been looked at
        touched = set()
        for region, reach in service.reach.items():
            zones = before.get(region, set()) | {ring.zone for ring, _ in reach}
            if others or zones & its.zones:
                touched.add(region)
        return touched

    def service(self, name: str) -> Service | None:
        """As it is by the roster that is in force."""
        service = self.services.get(name)
        if service is not None and name in self.regrouped:
            service.regroup(self.regrouped.pop(name), self.roster)
        return service

    def set_roster(self, roster: Roster) -> None:
        """Another file of gateways: each asker's next answer is by it. All who wait are to be looked at again."""
        self.switch(roster, at_once(self.prepare(roster)))
        at_once(self.settle())

    def prepare(self, roster: Roster) -> Generator[None, None, Groups]:
        """What `switch` is to be called with when this ends. Changes may come between steps, no other roster.

        Costs what the change touches: the services of gateways that are new, gone or elsewhere.
        """
        moved = yield from self.roster.services_moved(roster)
        groups: Groups = {}
        while missing := [name for name in self.services if name not in groups and (moved is None or name in moved)]:
            for name in missing:
                groups[name] = yield from roster.grouping(name)
                yield
        return groups

    def switch(self, roster: Roster, groups: Groups) -> None:
        self.roster = roster
        self.number += 1
        self.regrouped.update((name, its) for name, its in groups.items() if name in self.services)

    def settle(self) -> Generator[None, None, None]:
        """After `switch`, and it changes no answer: shape what nobody has asked for, let go of who is not in it."""
        for count, name in enumerate(list(self.regrouped), 1):
            self.service(name)
            if not count % STEP:
                yield
        for count, name in enumerate([name for name in self.views if name not in self.roster.gateways], 1):
            self.views.pop(name, None)
            if not count % STEP:
                yield

    # What is told

    def topics(self, asker: Asker) -> tuple[Topic, ...]:
        """What an asker waits by: `take` names one of these whenever there may be something new for it."""
        post = self.roster.gateways.get(asker.gateway)
        if post is None:
            return (EVERYTHING,)
        services = services_of(asker, post)
        return ((None, post.region),) if services is None else tuple((name, post.region) for name in services)

    def answer(self, asker: Asker, since: int | None) -> Answer | None:
        """What this asker is to be told; None: it has it all, and may wait. `since` None: it holds nothing.

        NotReady: there is no list yet.
        """
        if not self.ready:
            raise NotReady
        post = self.roster.gateways.get(asker.gateway)
        if since is None or not self.knows(asker, since):
            self.counts.unknown += since is not None
            return self.answer_all() if post is None else self.answer_whole(asker, post)
        return self.news_of_all(since) if post is None else self.answer_delta(asker, post, since)

    def knows(self, asker: Asker, since: int) -> bool:
        """Whether this answer is one that it can be told the changes after."""
        if asker.gateway in self.roster.gateways:
            return since in self.views.get(asker.gateway, {})
        return self.wholes.get(since, -1) >= self.log_floor

    def is_up_to_date(self, asker: Asker, since: int) -> bool:
        """Whether there is surely nothing to be told after this answer; costs next to nothing."""
        post = self.roster.gateways.get(asker.gateway)
        if post is None:
            return self.wholes.get(since) == self.number
        view = self.views.get(asker.gateway, {}).get(since)
        return view is not None and view.number == self.number and self.is_same(view, asker, post)

    def is_same(self, view: View, asker: Asker, post: Post) -> bool:
        """Whether the asker is as it was then."""
        asked = services_of(asker, post), wide_of(asker)
        return view.roster is self.roster and (view.services, view.wide) == asked

    def answer_whole(self, asker: Asker, post: Post) -> Answer:
        views = self.views.get(asker.gateway, {})
        services, wide = services_of(asker, post), wide_of(asker)
        windows: Windows = {}
        for name in sorted(self.services if services is None else services):
            made = self.windows_of(name, asker.gateway, post, wide, {})
            if made:
                windows[name] = made
        view = View(self.number, self.roster, services, wide, windows, {})
        entries = tuple(
            window.entry(place)
            for zones in windows.values() for window in zones.values() for place in range(len(window.hosts))
        )  # fmt: skip
        self.counts.wholes += 1
        last = max(views, default=None)
        return self.note(asker.gateway, view, {} if last is None else {last: views[last]}, True, entries)

    def answer_delta(self, asker: Asker, post: Post, since: int) -> Answer | None:
        view = self.views[asker.gateway][since]
        services, wide = services_of(asker, post), wide_of(asker)
        is_same = self.is_same(view, asker, post)
        if is_same and view.number == self.number:
            return None
        if is_same and view.number >= self.changed_floor:
            look = self.changed_since(view.number, services)
        else:
            wanted = self.services.keys() if services is None else services
            look = [*({host.service for host in view.draining.values()} | view.windows.keys() | wanted)]
        windows = dict(view.windows)
        went: dict[str, Host] = {}
        came: dict[str, bytes] = {}
        for name in look:
            before = view.windows.get(name, {})
            after: dict[str, Window] = {}
            if services is None or name in services:
                after = self.windows_of(name, asker.gateway, post, wide, before if is_same else {})
            if after:
                windows[name] = after
            else:
                windows.pop(name, None)
            for zone in before.keys() | after.keys():
                compare(before.get(zone), after.get(zone), went, came)
        looked = set(look)
        draining = {name: host for name, host in view.draining.items() if host.service not in looked}
        went.update({name: host for name, host in view.draining.items() if host.service in looked})
        deleted: list[tuple[str, bytes]] = []
        drains: list[tuple[str, bytes]] = []
        for name, host in went.items():
            if name in came:
                continue
            now = self.hosts.get(name)
            if now is None or now.serves or now.zone not in windows.get(now.service, {}):
                deleted.append((name, host.deleted()))
            else:
                draining[name] = now
                if view.draining.get(name) is not now:
                    drains.append((name, now.plain()))
        made = View(self.number, self.roster, services, wide, windows, draining)
        ordered = (*sorted(deleted), *sorted(drains), *sorted(came.items()))  # what restricts first
        if not ordered:
            self.views[asker.gateway][since] = made
            return None
        self.counts.deltas += 1
        return self.note(asker.gateway, made, {since: view}, False, tuple(entry for _, entry in ordered))

    def note(
        self, gateway: str, view: View, kept: dict[int, View], whole: bool, entries: tuple[bytes, ...]
    ) -> Answer:
        self.index += 1
        self.views[gateway] = kept | {self.index: view}  # one that it may hold, and this: MOST_VIEWS
        return Answer(self.index, whole, entries)

    def changed_since(self, number: int, services: frozenset[str] | None) -> list[str]:
        """Of these services; costs what is fewer, they or the changes."""
        if services is not None and len(services) < len(self.changed):
            return [name for name in services if self.changed.get(name, 0) > number]
        latest = itertools.takewhile(lambda name: self.changed[name] > number, reversed(self.changed))
        return [name for name in latest if services is None or name in services]

    def windows_of(
        self, name: str, gateway: str, post: Post, wide: int, before: dict[str, Window]
    ) -> dict[str, Window]:
        """By zone what this gateway has of a service; `before`: made for the same asker by the same roster."""
        service = self.service(name)
        made: dict[str, Window] = {}
        for ring, group in service.reach[post.region] if service is not None else ():
            had = before.get(ring.zone)
            if had is not None and had.changed == ring.changed:
                made[ring.zone] = had
            else:
                hosts = ring.window(group, gateway, wide)
                made[ring.zone] = Window(ring.changed, ring.users(), ring.own(group), hosts)
        return made

    def answer_all(self) -> Answer:
        """For who is not in the roster: the list as discovery has it."""
        return at_once(self.listing())

    def listing(self) -> Generator[None, None, Answer]:
        """The same by steps: the list as it is when they begin. It is made once for all who ask while it is so."""
        number, hosts = self.number, list(self.hosts.values())
        entries = self.all_entries[1]
        if self.all_entries[0] != number:
            buckets: list[list[Host]] = [[] for _ in range(2 * BUCKETS)]
            for count, host in enumerate(hosts, 1):
                buckets[host.serves * BUCKETS + (host.place[0] * BUCKETS >> 64)].append(host)
                if not count % HOSTS_STEP:
                    yield
            made: list[bytes] = []
            for bucket in buckets:  # what drains is said first
                bucket.sort(key=attrgetter("place"))
                made.extend(host.plain() for host in bucket)
                yield
            entries = tuple(made)
            self.all_entries = (number, entries)
        self.counts.wholes += 1
        return Answer(self.index_of(number), True, entries)

    def news_of_all(self, since: int) -> Answer | None:
        number = self.wholes[since]
        if number == self.number:
            return None
        entries = self.log_since(number)
        if not entries:  # the roster is another, the list is not
            self.wholes[since] = self.number
            return None
        self.counts.deltas += 1
        return Answer(self.index_of(self.number), False, entries)

    def index_of(self, number: int) -> int:
        """Of the list at this number: one for all who are told it, but for a number that is no longer the last."""
        last = next(reversed(self.wholes), -1)
        if last < 0 or self.wholes[last] != number:
            self.index += 1
            last = self.index
            self.wholes[last] = number
            while len(self.wholes) > LOG_KEPT:
                self.wholes.popitem(last=False)
        return last

    def log_since(self, number: int) -> tuple[bytes, ...]:
        """The newest state of each host that was changed since, what restricts first."""
        newest: dict[str, Host] = {}
        for at, host in reversed(self.log):
            if at <= number:
                break
            newest.setdefault(host.name, host)
        parts: tuple[list[bytes], list[bytes], list[bytes]] = ([], [], [])
        for name in sorted(newest):
            now = self.hosts.get(name)
            if now is None:
                parts[0].append(newest[name].deleted())
            else:
                parts[1 + now.serves].append(now.plain())
        return tuple(entry for part in parts for entry in part)


def compare(before: Window | None, after: Window | None, went: dict[str, Host], came: dict[str, bytes]) -> None:
    """What left a window, and what has to be told of it."""
    if before is after:
        return
    had: dict[str, Host] = {}
    own: set[str] = set()  # of those
    if before is not None:
        had = {host.name: host for host in before.hosts}
        own.update(host.name for host in before.hosts[: before.own])
    if after is not None:
        is_told = before is not None and before.users == after.users
        for place, host in enumerate(after.hosts):
            if had.pop(host.name, None) is not host or not is_told or (place < after.own) != (host.name in own):
                came[host.name] = after.entry(place)
    went.update(had)


def services_of(asker: Asker, post: Post) -> frozenset[str] | None:
    """That it is to be told of; None: all."""
    return frozenset(asker.services) if asker.services else post.services


def wide_of(asker: Asker) -> int:
    return min(max(asker.wide, 0), WIDEST)


def parse(raw: Any, held: Mapping[str, Host]) -> tuple[str, Host | None]:
    """An entry in discovery's form: the host's name, and the host (the one held, if it is as that), None: it is gone.

    KeyError, TypeError, ValueError, OverflowError, AttributeError or RecursionError: it cannot be used, by a gateway
    no more than here (but for what is longer than the bounds above).
    """
    name, status, weight = raw["name"], raw["status"], float(raw.get("weight", 1.0))
    service, zone = raw.get("service"), str(raw.get("zone", ""))
    service = "" if service is None else str(service)
    if not isinstance(name, str) or not 0 < len(name) <= LONGEST_NAME:
        raise ValueError("no name")
    if len(service) > LONGEST_NAME or len(zone) > LONGEST_NAME:
        raise ValueError("service or zone is too long")
    if status not in ("SERVING", "DRAINING", "DELETED") or not 0.0 < weight < 1e9:
        raise ValueError("status or weight is out of range")
    int(raw.get("since_ms") or 0)
    parse_address(raw["address"], "address")
    if status == "DELETED":
        return name, None
    kept = {key: value for key, value in raw.items() if key not in ("status", "users")}
    rest, serves = ENCODE(kept).encode()[1:-1], status == "SERVING"
    if len(rest) > LONGEST_ENTRY:
        raise ValueError("entry is too long")
    known = held.get(name)
    if known is not None and known.rest == rest and known.serves == serves:  # the rest has service and zone in it
        return name, known
    return name, Host(name, service, zone, serves, rest)


def leaving(raw: object) -> str | None:
    """Of an entry that cannot be used otherwise: the name of a host that leaves is heard, whatever else is said."""
    name, status = (raw.get("name"), raw.get("status")) if isinstance(raw, dict) else (None, None)
    return name if isinstance(name, str) and status in ("DRAINING", "DELETED") else None
