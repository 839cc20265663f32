"""Which hosts a gateway has: windows on rings of a service's hosts (docs/relay-design.md). Pure: no I/O, no clock.

A ring has the hosts of one service in one zone that serve, in the order of a hash. N gateways that share it stand on
the same ring, evenly: number i begins at floor((i + 1/2) H / N) and has the next k of its H hosts.

Invariants, for each ring and each group of N gateways on it:
- how many gateways have a host differs by at most one between any two hosts, and is never none; where none has
  widened, it is at most users_of(H, (N,), least);
- the window of a gateway that has widened begins with its own, that of `wide` 0, and what is beyond that is told with
  APART times as many users. So whoever widens, the shares 1 / `users` of a host add up to 1 + 8 / APART at the most:
  of its own, to 1; of the others there are at most 8 times as many as `users`, as a window is doubled three times;
- one host more or less brings at most 2 hosts into a window and takes at most 2 out of it;
- the ring is the same for the same hosts, in whatever order they came.
A service's shape says who shares which ring. Where fewer than Sizes.serving hosts of a region's own rings serve, its
gateways share those of the other regions too. A zone that no region has, or whose region has no gateway before the
service, is shared by all gateways before it: no host is left without one.

Cost of a change: bisect and one move inside a list of pointers; the rest of a ring is left as it is.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from operator import attrgetter
from typing import Final

from cloverkeel.core.config import stable_id
from cloverkeel.control_plane.fleet_roster import Group, Roster

FEW: Final = 16  # changes of one ring at once that are made one by one; with more it is sorted anew
DIGITS: Final = 4  # binary ones, of what is told as `users`
APART: Final = 64  # times its users are told of a host that a gateway has only as it has widened: next to no share


@dataclass(slots=True, frozen=True)
class Sizes:
    """How large subsets are. All relays of a fleet have these; a small model has smaller ones."""

    least: int = 8  # hosts in a window, and gateways at a host, where there are so many: a few may fail at once
    serving: int = 3  # hosts that serve in a gateway's region, before it has those of the others too


SIZES: Final = Sizes()


class Host:
    """One host as discovery has it. Never changed: who compares two by identity sees whether anything is other."""

    __slots__ = ("apart", "name", "place", "rest", "serves", "service", "told", "users", "zone")

    def __init__(self, name: str, service: str, zone: str, serves: bool, rest: bytes) -> None:
        """`rest`: its entry as a JSON object, without `status` and `users`, and without braces."""
        self.name, self.service, self.zone, self.serves, self.rest = name, service, zone, serves, rest
        self.place = (stable_id(f"{service}\0{zone}\0{name}", 8), name)
        self.users, self.told, self.apart = -1, b"", b""

    def entry(self, users: int, own: bool) -> bytes:
        """As it is told, encoded once for as long as `users` is the same (it is the ring's).

        `own`: to who has it in its own window; else with APART times as many users.
        """
        if users != self.users:
            self.users, self.told, self.apart = users, b"", b""
        if own:
            self.told = self.told or self._encoded(users)
            return self.told
        self.apart = self.apart or self._encoded(users * APART)
        return self.apart

    def _encoded(self, users: int) -> bytes:
        return b'{"status":"%s",%s,"users":%d}' % (b"SERVING" if self.serves else b"DRAINING", self.rest, users)

    def plain(self) -> bytes:
        """As discovery says it."""
        return b'{"status":"%s",%s}' % (b"SERVING" if self.serves else b"DRAINING", self.rest)

    def deleted(self) -> bytes:
        return b'{"status":"DELETED",%s}' % self.rest


def width(hosts: int, gateways: int, least: int) -> int:
    """Hosts in a window, of `hosts` on the ring that `gateways` (1 or more) share; `least`: doubled by `wide`."""
    return min(hosts, max(least, -(-least * hosts // gateways)))


def start(hosts: int, gateways: int, place: int) -> int:
    """Where the window of number `place` begins, of `hosts` (1 or more)."""
    return (2 * place + 1) * hosts // (2 * gateways) % hosts


def users_of(hosts: int, groups: Iterable[int], least: int) -> int:
    """Gateways that have a host at the most, where groups of these sizes share its ring; `least` as for `width`.

    One more than the windows make, for one that the roster lacks, and rounded up to four binary digits (by an
    eighth at the most): so that a ring does not tell its hosts anew at each change. Where hosts >= gateways it is
    the same for all of them.
    """
    most = 0
    for size in groups:
        if width(hosts, max(size, 1), least) >= hosts:
            most += size
        else:
            most += min(size, least + 2 if size <= hosts else -(-least * size // hosts) + 1)
    step = 1 << max(0, most.bit_length() - DIGITS)
    return max(1, most + -most % step)


class Ring:
    """The hosts of a service in a zone that serve, in order. `known` counts those that don't serve too."""

    __slots__ = ("changed", "groups", "hosts", "known", "least", "users_told", "whole", "zone")

    def __init__(self, zone: str, least: int) -> None:
        self.zone, self.least = zone, least
        self.hosts: list[Host] = []
        self.known = 0
        self.changed = 0  # the feed's number of the last change that windows here may have to do with
        self.groups: tuple[int, ...] = ()  # the sizes of those that share it
        self.users_told = 0  # 0: to be worked out
        self.whole: tuple[Host, ...] | None = None  # shared by all whose window is the ring

    def change(self, out: Sequence[Host], put: Sequence[Host]) -> None:
        """Take out some of its hosts (they are there), and put in others."""
        self.whole = None
        if len(out) + len(put) > FEW:
            left = set(out)
            self.hosts = [host for host in self.hosts if host not in left]
            self.hosts.extend(put)
            self.hosts.sort(key=attrgetter("place"))
            return
        for host in out:
            del self.hosts[bisect_left(self.hosts, host.place, key=attrgetter("place"))]
        for host in put:
            self.hosts.insert(bisect_left(self.hosts, host.place, key=attrgetter("place")), host)

    def share(self, groups: tuple[int, ...]) -> None:
        self.groups = groups
        self.users_told = 0

    def users(self) -> int:
        """Gateways that have one of its hosts in their own windows, at the most."""
        if not self.users_told:
            self.users_told = users_of(len(self.hosts), self.groups, self.least)
        return self.users_told

    def own(self, group: Group) -> int:
        """Hosts in the window of one who has not widened."""
        return width(len(self.hosts), max(group.size, 1), self.least)

    def window(self, group: Group, gateway: str, wide: int) -> tuple[Host, ...]:
        """Its own hosts first."""
        hosts = self.hosts
        count, gateways = len(hosts), max(group.size, 1)
        if self.own(group) >= count:
            if self.whole is None:
                self.whole = tuple(hosts)
            return self.whole
        first = start(count, gateways, group.place(gateway))
        last = first + width(count, gateways, self.least << wide)
        return tuple(hosts[first:last]) if last <= count else (*hosts[first:], *hosts[: last - count])


class Service:
    """The rings of one service, and who shares which."""

    __slots__ = ("groups", "reach", "rings", "sizes", "spilling")

    def __init__(self, name: str, roster: Roster, sizes: Sizes) -> None:
        self.sizes = sizes
        self.groups = roster.groups(name)
        self.rings: dict[str, Ring] = {}
        self.reach: dict[str, tuple[tuple[Ring, Group], ...]] = {}  # by region of the gateway
        self.spilling: frozenset[str] = frozenset()  # regions whose gateways have other regions' hosts too

    def regroup(self, groups: dict[str, Group], roster: Roster) -> None:
        self.groups = groups
        self.shape(roster)

    def shape(self, roster: Roster) -> bool:
        """After any change of its rings: who shares them now. True where other regions than before share them."""
        everyone = self.groups[""]
        home: dict[str, str] = {}  # by zone the region whose gateways share it; "" all
        for zone in self.rings:
            region = roster.region_of_zone.get(zone, "")
            home[zone] = region if self.groups[region].size else ""
        rings = [self.rings[zone] for zone in sorted(self.rings)]
        spilling = set()
        self.reach = {}
        for region in roster.regions:
            own = [ring for ring in rings if home[ring.zone] in ("", region)]
            if sum(len(ring.hosts) for ring in own) < self.sizes.serving:
                spilling.add(region)
                own = rings
            mine = self.groups[region] if self.groups[region].size else everyone
            self.reach[region] = tuple((ring, everyone if home[ring.zone] == "" else mine) for ring in own)
        for ring in rings:
            owner = home[ring.zone]
            others = [region for region in spilling if region != owner] if owner else []
            ring.share(tuple(self.groups[region].size for region in (owner, *sorted(others))))
        before, self.spilling = self.spilling, frozenset(spilling)
        return before != self.spilling
