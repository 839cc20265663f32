"""Judges gateways behind relays by what hosts, clients and discoveries saw, and by which links were cut when. Pure.

Invariants that it looks for; times in microseconds of one clock:
- nobody sends to a host that drains or is gone once it could have been told: some chain gateway, relay, discovery was
  whole for TOLD_US since, and COST_US for each time that it was interrupted (`is_late`);
- a host that a gateway has left is not used again while it drains, however soon that is ("undone");
- a host that is back is used by each gateway that could be told, USE_US later;
- no gateway is without hosts: not all it is asked is refused for REFUSED_US, and nothing but a host's answer or 503;
- each request gets its own answer within ANSWER_US, the gateway's stops left out;
- a gateway calls discovery itself once in `direct_every_us`;
- no process ends that was not told to.
Where discoveries disagree on a host, nothing is judged of it: it serves, or it is left, once all of them say so.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Final

TOLD_US: Final = 6_000_000  # a change counts as told, as to who asks discovery itself
COST_US: Final = 1_000_000  # a relay that is lost costs so much: docs/relay-design.md, "On the wire"
USE_US: Final = 2_000_000  # from being told of a host to the first request there
REFUSED_US: Final = 1_500_000
ANSWER_US: Final = 2_000_000
SLACK_US: Final = 250_000  # of a busy machine, between a decision and what is seen of it
OTHERS: Final = 80  # requests elsewhere with none here: this host was left

# ("gateway", n), ("relay", n), ("link", gateway, relay), ("feed", relay): to its discovery, ("discovery", n)
Component = tuple[str, int] | tuple[str, int, int]
Span = tuple[int, int]


@dataclass(slots=True, frozen=True)
class Outage:
    """Something did not work, from then until then."""

    begin_us: int
    end_us: int
    component: Component


@dataclass(slots=True, frozen=True)
class EndpointChange:
    """A discovery could tell this from now on."""

    at_us: int
    discovery: int
    host: int
    status: str


@dataclass(slots=True, frozen=True)
class BackendArrival:
    """A request of this gateway at this host."""

    at_us: int
    gateway: int
    host: int


@dataclass(slots=True)
class ClientRequest:
    """A client's request, and what it got."""

    at_us: int
    gateway: int
    answered_us: int = 0  # 0: never
    status: int = 0
    is_own: bool = True  # the answer is the one to this request


@dataclass(slots=True, frozen=True)
class RelayViolation:
    """One thing that must not be."""

    what: str
    at_us: int
    subject: str


@dataclass(slots=True)
class RunRecord:
    """What was seen of one play."""

    begin_us: int
    end_us: int
    gateways: int
    hosts: int
    discovery_by_relay: tuple[int, ...]  # by relay: the discovery that it asks
    direct_poll_interval_us: int
    changes: list[EndpointChange] = field(default_factory=list)  # in order; all hosts serve at the beginning
    arrivals: list[BackendArrival] = field(default_factory=list)  # in order
    requests: list[ClientRequest] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    direct_polls: list[tuple[int, int]] = field(default_factory=list)  # when, and which gateway
    exits: list[tuple[int, str]] = field(default_factory=list)  # of processes that nobody had told to end


def merged(spans: Sequence[Span]) -> list[Span]:
    """The same time, without overlaps, in order."""
    made: list[Span] = []
    for begin_us, end_us in sorted(spans):
        if made and begin_us <= made[-1][1]:
            made[-1] = made[-1][0], max(made[-1][1], end_us)
        else:
            made.append((begin_us, end_us))
    return made


def within(spans: Sequence[Span], begin_us: int, end_us: int) -> list[Span]:
    return [(max(a, begin_us), min(b, end_us)) for a, b in spans if a < end_us and b > begin_us]


def length(spans: Sequence[Span]) -> int:
    return sum(end_us - begin_us for begin_us, end_us in spans)


class RelayChecker:
    def __init__(self, record: RunRecord) -> None:
        self.record = record
        self.broken = {
            (gateway, relay): merged([(d.begin_us, d.end_us) for d in record.outages if d.component in parts])
            for gateway in range(record.gateways) for relay, discovery in enumerate(record.discovery_by_relay)
            for parts in [{
                ("gateway", gateway), ("relay", relay), ("link", gateway, relay), ("feed", relay),
                ("discovery", discovery),
            }]
        }  # fmt: skip
        self.stopped = [
            merged([(d.begin_us, d.end_us) for d in record.outages if d.component == ("gateway", gateway)])
            for gateway in range(record.gateways)
        ]
        self.at = {
            (gateway, host): [a.at_us for a in record.arrivals if (a.gateway, a.host) == (gateway, host)]
            for gateway in range(record.gateways) for host in range(record.hosts)
        }  # fmt: skip
        self.all_at = [
            [a.at_us for a in record.arrivals if a.gateway == gateway] for gateway in range(record.gateways)
        ]

    def find_violations(self) -> list[RelayViolation]:
        found = [*self.of_hosts(), *self.of_answers(), *self.of_direct()]
        found += [RelayViolation("a process ended by itself", at_us, name) for at_us, name in self.record.exits]
        return sorted(found, key=lambda wrong: wrong.at_us)

    def is_late(self, gateway: int, since_us: int, at_us: int, bound_us: int) -> bool:
        """Whether by some relay it has had so long to be told, interruptions and what each costs left out."""
        for relay in range(len(self.record.discovery_by_relay)):
            gone = within(self.broken[gateway, relay], since_us, at_us)
            if at_us - since_us - length(gone) - COST_US * len(gone) > bound_us:
                return True
        return False

    # Hosts

    def states(self, host: int) -> Iterator[tuple[int, int, str]]:
        """Stretches in which all discoveries say the same: from, until, and whether it serves."""
        said = dict.fromkeys(set(self.record.discovery_by_relay), "SERVING")
        since_us, state = self.record.begin_us, "serves"
        for change in [c for c in self.record.changes if c.host == host and c.discovery in said]:
            said[change.discovery] = change.status
            serving = sum(status == "SERVING" for status in said.values())
            now = "serves" if serving == len(said) else "left" if not serving else "disputed"
            if now != state:
                yield since_us, change.at_us, state
                since_us, state = change.at_us, now
        yield since_us, self.record.end_us, state

    def of_hosts(self) -> Iterator[RelayViolation]:
        for host in range(self.record.hosts):
            for since_us, until_us, state in self.states(host):
                for gateway in range(self.record.gateways):
                    if state == "left":
                        yield from self.of_left(gateway, host, since_us, until_us)
                    elif state == "serves" and since_us > self.record.begin_us:
                        yield from self.of_back(gateway, host, since_us, until_us)

    def of_left(self, gateway: int, host: int, since_us: int, until_us: int) -> Iterator[RelayViolation]:
        who, one_says = f"n{gateway} s-{host}", len(set(self.record.discovery_by_relay)) == 1
        times, everywhere = self.at[gateway, host], self.all_at[gateway]
        first = bisect_right(times, since_us)
        before_us, late_us = times[first - 1] if first else 0, 0
        if bisect_right(everywhere, since_us) - bisect_right(everywhere, before_us) > OTHERS:
            before_us = 0  # it was not in use, as where this gateway did not hear that it was back
        for at_us in times[first : bisect_right(times, until_us)]:
            if self.is_late(gateway, since_us, at_us, TOLD_US + SLACK_US):
                late_us = at_us
            others = bisect_right(everywhere, at_us) - bisect_right(everywhere, before_us)
            if one_says and before_us and others > OTHERS:
                yield RelayViolation(f"left, and used again after {(at_us - before_us) / 1e6:.3f} s", at_us, who)
                return
            before_us = at_us
        if late_us:
            yield RelayViolation(
                f"sent to until {(late_us - since_us) / 1e6:.3f} s after it was to be left", late_us, who
            )

    def of_back(self, gateway: int, host: int, since_us: int, until_us: int) -> Iterator[RelayViolation]:
        times = self.at[gateway, host]
        place = bisect_right(times, since_us)
        used_us = min(times[place] if place < len(times) else until_us, until_us)
        ends = [d.begin_us for d in self.record.outages if since_us < d.begin_us < used_us]
        for at_us in sorted([*ends, used_us]):
            if self.is_late(gateway, since_us, at_us, TOLD_US + USE_US):
                said = f"not used for {(used_us - since_us) / 1e6:.3f} s after it was back"
                yield RelayViolation(said, at_us, f"n{gateway} s-{host}")
                return

    # Clients

    def of_answers(self) -> Iterator[RelayViolation]:
        for asked in self.record.requests:
            who, end_us = f"n{asked.gateway}", asked.answered_us or self.record.end_us
            stopped = within(self.stopped[asked.gateway], asked.at_us, end_us)
            if end_us - asked.at_us - length(stopped) > ANSWER_US:
                what = "answered late" if asked.answered_us else "not answered"
                yield RelayViolation(f"{what}, {(end_us - asked.at_us) / 1e6:.3f} s", asked.at_us, who)
            if asked.answered_us and asked.status not in (200, 503):
                yield RelayViolation(f"answered {asked.status}", asked.answered_us, who)
            if not asked.is_own:
                yield RelayViolation("the answer is another request's", asked.answered_us, who)
        for gateway in range(self.record.gateways):
            yield from self.of_refusals(gateway)

    def of_refusals(self, gateway: int) -> Iterator[RelayViolation]:
        began_us = 0
        answered = [a for a in self.record.requests if a.gateway == gateway and a.answered_us]
        for asked in sorted(answered, key=lambda a: a.answered_us):
            if asked.status != 503:
                began_us = 0
                continue
            began_us = began_us or asked.answered_us
            for_us = asked.answered_us - began_us
            if for_us - length(within(self.stopped[gateway], began_us, asked.answered_us)) > REFUSED_US:
                yield RelayViolation(f"all was refused for {for_us / 1e6:.3f} s", asked.answered_us, f"n{gateway}")
                return

    # Discovery

    def of_direct(self) -> Iterator[RelayViolation]:
        for gateway in range(self.record.gateways):
            times = [at_us for at_us, who in self.record.direct_polls if who == gateway]
            for first, at_us in enumerate(times):
                # What was decided before a stop is seen after it.
                slack_us = SLACK_US + sum(b - a for a, b in self.stopped[gateway] if at_us - SLACK_US <= b <= at_us)
                for number, last_us in enumerate(times[first + 1 :], 1):
                    if last_us - at_us + slack_us < number * self.record.direct_poll_interval_us:
                        what = f"asked discovery itself {number + 1} times in {(last_us - at_us) / 1e6:.3f} s"
                        yield RelayViolation(what, last_us, f"n{gateway}")
                        return


def check_relays(record: RunRecord) -> list[RelayViolation]:
    """What must not be, in order of time."""
    return RelayChecker(record).find_violations()
