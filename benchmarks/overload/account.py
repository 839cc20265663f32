"""The account of an overload: what clients and hosts saw in each stretch of time, as plain figures.

Pure: from wants, runs and samples to rows. What holds:

- a host's core is counted once: useful, slowed, handshake, lost, nobody, copy and idle are all of its time;
- an answer is good where its client had it within the time that it gave to that try, and a want counts once;
- a row is void where the machine, not the hosts, may have been the limit: it says why, and is judged by nobody.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

FOREVER: Final = 1 << 62
STRETCH_MOST: Final = 0.05  # of a core's planned time, that its end came later: the stand-ins were held up
PROCESS_MOST: Final = 0.85  # of one processor: the stand-ins' process, or a gateway's
WAITED_MOST_US: Final = 1_000  # for a processor, whenever one of these was ready: an answer has some six such waits
SERVED: Final = 0.99
SERVED_IN_US: Final = 2_000_000  # what is wanted in so long counts together
LOOK_US: Final = 100_000


@dataclass(slots=True, eq=False)
class Try:
    """One request of a client to a gateway."""

    asked_us: int
    until_us: int  # its client waits no longer
    ended_us: int = 0  # an answer, or its connection's end; 0: neither
    status: int = 0  # 0: no answer

    @property
    def is_good(self) -> bool:
        return self.status == 200 and self.ended_us <= self.until_us

    @property
    def is_timeout(self) -> bool:
        """No answer, or a good one too late."""
        return not self.is_good and self.status in (0, 200)

    @property
    def over_us(self) -> int:
        """From then on nobody waits for it."""
        return min(self.ended_us or FOREVER, self.until_us)


@dataclass(slots=True, eq=False)
class Want:
    """What a client wants, and its tries by id."""

    at_us: int
    klass: str
    tries: dict[str, Try] = field(default_factory=dict)

    @property
    def good_us(self) -> int:
        """When it was served; 0: never."""
        return next((each.ended_us for each in self.tries.values() if each.is_good), 0)


@dataclass(slots=True, eq=False)
class Work:
    """One run at a host, once it is over. Times 0: not reached."""

    id: str
    whole_us: int
    began_us: int
    freed_us: int
    over_us: int
    work_us: int  # as it was sent, at the usual pace, without the handshake
    handshake_us: int
    took_us: int  # planned when it began
    gone_us: int  # its gateway had closed the connection
    how: str


@dataclass(slots=True, eq=False)
class Window:
    """A stretch of time: a step of the load, or a second."""

    name: str
    load: float  # times what the hosts can do
    begin_us: int
    end_us: int
    direction: str = ""  # of a step: "empty", "up", "down", "surge" or "after"


@dataclass(slots=True, eq=False)
class Sample:
    """A look at all hosts together."""

    at_us: int
    held: int
    choked: int


@dataclass(slots=True, eq=False)
class Told:
    """What one gateway's line of the log says of one second."""

    at_us: int  # the middle of it
    why: dict[str, int]
    shed: tuple[float, float]  # of what is cheap, of all else
    timeouts: int  # attempts at hosts
    full: int
    cancelled: int
    trips: int  # breakers that opened, as far as the log says each


@dataclass(slots=True)
class Machine:
    """Shares over one window."""

    own: float = 0.0  # of a processor: the stand-ins' process
    gateway: float = 0.0  # the busiest gateway's
    waited_us: float = 0.0  # for a processor at each turn, in the mean: whichever of these waited longest
    idle: float = 1.0  # of all processors: others may use them, and that alone is no limit


@dataclass(slots=True)
class Row:
    """Figures of one window. Rates are a second over the whole fleet; shares are of the hosts' core time."""

    name: str
    direction: str
    load: float
    seconds: float
    offered: float = 0.0  # wants begun
    good: float = 0.0  # good answers that came
    served: float = 0.0  # share of the wants begun here that were served in the end
    by_class: dict[str, float] = field(default_factory=dict)  # the same
    refused: float = 0.0  # tries that a client was told no
    timeouts: float = 0.0  # tries without an answer in time
    tries: float = 0.0  # of a client for each want
    runs: float = 0.0  # attempts at hosts, for each request that reached one
    arrived: float = 0.0  # attempts that reached a host
    why: dict[str, float] = field(default_factory=dict)  # refusals by the gateways' reason
    host_timeouts: float = 0.0  # attempts that gateways gave up
    full: float = 0.0  # attempts that hosts turned away
    cancelled: float = 0.0  # attempts that gateways called off
    held: float = 0.0  # requests at a host, mean
    choked: float = 0.0  # share of the hosts
    shed: float = 0.0  # mean over the gateways: of what is cheap
    shed_dear: float = 0.0
    shed_from: float = 0.0  # of what is cheap, at the gateway that shed least, and most
    shed_to: float = 0.0
    trips: float = 0.0  # breakers that opened, at the least
    useful: float = 0.0  # work behind good answers
    reach: float = 0.0  # the same, of what was possible: of what was wanted, or of all
    slowed: float = 0.0  # what these took beyond their work
    handshake: float = 0.0
    lost: float = 0.0  # for a client that waited, and got nothing of it
    nobody: float = 0.0  # whose client had gone by then
    copy: float = 0.0  # the client had its answer from another run
    idle: float = 1.0
    begun_for_nobody: float = 0.0  # runs that began when their client had gone
    stretch: float = 0.0  # what cores took beyond what was planned
    machine: Machine = field(default_factory=Machine)
    void: list[str] = field(default_factory=list)

    @property
    def wasted(self) -> float:
        return self.lost + self.nobody + self.copy


def voids(row: Row) -> list[str]:
    """Why the machine may have been the limit; empty: it was not."""
    machine, found = row.machine, []
    if row.stretch > STRETCH_MOST:
        found.append(f"hosts' cores took {row.stretch:.1%} longer than planned, {STRETCH_MOST:.0%} at the most")
    if machine.own > PROCESS_MOST:
        found.append(f"the stand-ins' process used {machine.own:.0%} of a processor, {PROCESS_MOST:.0%} at the most")
    if machine.gateway > PROCESS_MOST:
        found.append(f"a gateway used {machine.gateway:.0%} of a processor, {PROCESS_MOST:.0%} at the most")
    if machine.waited_us > WAITED_MOST_US:
        found.append(f"a process waited {machine.waited_us:.0f} us for a processor, {WAITED_MOST_US} at the most")
    return found


class Account:
    """All that was seen of one play."""

    def __init__(
        self, wants: Iterable[Want], works: Iterable[Work], cores: int, hosts: int, capacity: float,
        samples: Sequence[Sample] = (), told: Sequence[Told] = (),
    ) -> None:  # fmt: skip
        self.wants = sorted(wants, key=lambda want: want.at_us)
        self.works = list(works)
        self.cores, self.hosts, self.capacity = cores, hosts, capacity  # all cores; requests a second of all hosts
        self.samples, self.told = samples, told
        self.tries = {id_: each for want in self.wants for id_, each in want.tries.items()}
        self.answers = self.answering()

    def answering(self) -> dict[str, Work]:
        """By id, the run whose answer the client had in time: the first that was answered to someone who listened."""
        found: dict[str, Work] = {}
        for work in sorted(self.works, key=lambda work: work.over_us):
            each = self.tries.get(work.id)
            was_answered = work.how in ("ok", "duplicate") and each is not None and work.over_us <= each.ended_us
            if each is not None and each.is_good and was_answered:
                found.setdefault(work.id, work)
        return found

    def nobody_from_us(self, work: Work) -> int:
        """When nobody waits for this run any more."""
        each = self.tries.get(work.id)
        return min(work.gone_us or FOREVER, each.over_us if each is not None else 0)

    def rows(self, windows: Sequence[Window], machines: Sequence[Machine] = ()) -> list[Row]:
        """A row for each window; they follow each other, and no two overlap."""
        made = [Row(w.name, w.direction, w.load, (w.end_us - w.begin_us) / 1e6) for w in windows]
        for row, machine in zip(made, machines, strict=False):
            row.machine = machine
        finder = Finder(windows)
        self.count_wants(made, finder)
        self.count_works(made, finder)
        self.count_told(made, finder)
        for row in made:
            row.void = voids(row)
        return made

    def count_wants(self, made: list[Row], finder: Finder) -> None:
        begun, served = Counter[tuple[int, str]](), Counter[tuple[int, str]]()
        tried = Counter[int]()
        for want in self.wants:
            place = finder.of(want.at_us)
            if place is not None:
                begun[place, want.klass] += 1
                served[place, want.klass] += bool(want.good_us)
                tried[place] += len(want.tries)
            good = finder.of(want.good_us)
            if good is not None:
                made[good].good += 1 / made[good].seconds
            for each in want.tries.values():
                end = finder.of(each.over_us)
                if end is not None and each.is_timeout:
                    made[end].timeouts += 1 / made[end].seconds
                elif end is not None and not each.is_good:
                    made[end].refused += 1 / made[end].seconds
        for place, row in enumerate(made):
            classes = {klass: count for (at, klass), count in begun.items() if at == place}
            count = sum(classes.values())
            row.offered = count / row.seconds
            row.tries = tried[place] / max(1, count)
            row.served = sum(served[place, klass] for klass in classes) / max(1, count)
            row.by_class = {klass: served[place, klass] / classes[klass] for klass in sorted(classes)}

    def count_works(self, made: list[Row], finder: Finder) -> None:
        planned, took = [0] * len(made), [0] * len(made)
        ids: list[set[str]] = [set() for _ in made]
        arrived = [0] * len(made)
        for work in self.works:
            for place, part_us in finder.parts(work.whole_us, work.over_us):
                made[place].held += part_us / 1e6 / made[place].seconds / self.hosts
            at = finder.of(work.whole_us)
            if at is not None:
                arrived[at] += 1
                ids[at].add(work.id)
            begun = finder.of(work.began_us)
            if begun is None:
                continue
            if work.freed_us and work.took_us:
                planned[begun] += work.took_us
                took[begun] += work.freed_us - work.began_us
            nobody_us = self.nobody_from_us(work)
            if work.began_us >= nobody_us and work.id not in self.answers:
                made[begun].begun_for_nobody += 1 / made[begun].seconds
            self.share_out(work, nobody_us, made, finder)
        for place, row in enumerate(made):
            row.runs = arrived[place] / max(1, len(ids[place]))
            row.arrived = arrived[place] / row.seconds
            row.stretch = took[place] / planned[place] - 1 if planned[place] else 0.0
            row.reach = row.useful / min(1.0, row.offered / self.capacity) if row.offered else 0.0
            row.idle = 1 - row.useful - row.slowed - row.handshake - row.wasted

    def share_out(self, work: Work, nobody_us: int, made: list[Row], finder: Finder) -> None:
        """Its core's time, by what came of it and by window."""
        end_us = work.freed_us or work.over_us
        span = max(1, end_us - work.began_us)
        answer = self.answers.get(work.id)
        for place, part_us in finder.parts(work.began_us, end_us):
            row = made[place]
            share = part_us / 1e6 / row.seconds / self.cores
            if answer is work:
                useful, handshake = min(1.0, work.work_us / span), min(1.0, work.handshake_us / span)
                row.useful += share * useful
                row.handshake += share * handshake
                row.slowed += share * max(0.0, 1 - useful - handshake)
            elif answer is not None:
                row.copy += share
            else:
                waited = overlap(work.began_us, min(end_us, nobody_us), *finder.bounds(place)) / max(1, part_us)
                row.lost += share * waited
                row.nobody += share * (1 - waited)

    def count_told(self, made: list[Row], finder: Finder) -> None:
        looks, lines = Counter[int](), Counter[int]()
        for sample in self.samples:
            place = finder.of(sample.at_us)
            if place is not None:
                looks[place] += 1
                made[place].choked += sample.choked / self.hosts
        for told in self.told:
            place = finder.of(told.at_us)
            if place is None:
                continue
            row = made[place]
            lines[place] += 1
            row.shed_from = min(row.shed_from, told.shed[0]) if lines[place] > 1 else told.shed[0]
            row.shed_to = max(row.shed_to, told.shed[0])
            row.trips += told.trips / row.seconds
            row.shed += told.shed[0]
            row.shed_dear += told.shed[1]
            row.host_timeouts += told.timeouts / row.seconds
            row.full += told.full / row.seconds
            row.cancelled += told.cancelled / row.seconds
            for why, count in told.why.items():
                row.why[why] = row.why.get(why, 0.0) + count / row.seconds
        for place, row in enumerate(made):
            row.choked /= max(1, looks[place])
            row.shed /= max(1, lines[place])
            row.shed_dear /= max(1, lines[place])

    def served_again_us(self, from_us: int, until_us: int) -> int | None:
        """From the load's end, how long until 99% of what is wanted in the next two seconds is served; None: not."""
        for at in range(from_us, until_us - SERVED_IN_US + 1, LOOK_US):
            wants = [want for want in self.wants if at <= want.at_us < at + SERVED_IN_US]
            if wants and sum(bool(want.good_us) for want in wants) >= SERVED * len(wants):
                return at - from_us
        return None


class Finder:
    """Which window a moment belongs to."""

    def __init__(self, windows: Sequence[Window]) -> None:
        self.windows = windows
        self.begins = [window.begin_us for window in windows]

    def of(self, at_us: int) -> int | None:
        place = bisect_right(self.begins, at_us) - 1
        return place if place >= 0 and at_us < self.windows[place].end_us else None

    def bounds(self, place: int) -> tuple[int, int]:
        return self.windows[place].begin_us, self.windows[place].end_us

    def parts(self, from_us: int, to_us: int) -> Iterable[tuple[int, int]]:
        """The windows that a stretch of time reaches into, and how much of it is in each."""
        place = max(0, bisect_right(self.begins, from_us) - 1)
        while place < len(self.windows) and self.windows[place].begin_us < to_us:
            part_us = overlap(from_us, to_us, *self.bounds(place))
            if part_us > 0:
                yield place, part_us
            place += 1


def overlap(one_us: int, end_us: int, other_us: int, other_end_us: int) -> int:
    return max(0, min(end_us, other_end_us) - max(one_us, other_us))


# The judgement: what issue 34 wants shown of an overload

FROM_LOAD: Final = 1.6  # and more: an overload
OF_BEST: Final = 0.9  # of the best goodput
LOOP: Final = 0.03  # of goodput: coming down against going up, at the same load
RECOVERY_S: Final = 3.0
RUNS_MOST: Final = 1.05  # at hosts for each request, while anything is shed
SHEDDING: Final = 0.05  # of all requests refused as shed


@dataclass(slots=True, frozen=True)
class Finding:
    """One thing that is wanted of a fleet under overload, and what was found."""

    what: str
    found: float
    wanted: str
    holds: bool
    void: bool = False  # a row that it rests on is void


def judge(rows: Sequence[Row], recovery_s: float | None, has_surge: bool = True) -> list[Finding]:
    """What is wanted against what was found. Goodput is the share of host time behind good answers.

    Up and down are compared by what was possible: below the hosts' limit, arrivals are drawn, and differ by chance.
    """
    sound = [row for row in rows if not row.void]
    best = max((row.useful for row in sound), default=0.0)
    found = []
    for row in rows:
        if row.load >= FROM_LOAD and row.direction in ("up", "down"):
            share = row.useful / best if best else 0.0
            what = f"goodput at {row.load:g}, {row.direction}, of its best"
            found.append(Finding(what, share, f">= {OF_BEST:g}", share >= OF_BEST, bool(row.void)))
    for up, down in pairs(rows):
        ratio = down.reach / up.reach if up.reach else 0.0
        what, void = f"goodput at {up.load:g}, down against up", bool(up.void or down.void)
        found.append(Finding(what, ratio, f"within {LOOP:.0%} of 1", abs(ratio - 1) <= LOOP, void))
    if has_surge:
        void = any(row.void for row in rows if row.direction in ("surge", "after"))
        seconds = float("inf") if recovery_s is None else recovery_s
        what = "seconds from the surge's end until 99% is served"
        found.append(Finding(what, seconds, f"<= {RECOVERY_S:g}", seconds <= RECOVERY_S, void))
    shedding = [row for row in rows if row.why.get("shed", 0.0) > SHEDDING * row.offered]
    if shedding:
        worst = max(shedding, key=lambda row: row.runs)
        what = f"runs at hosts a request while shedding (worst at {worst.load:g}, {worst.direction})"
        found.append(Finding(what, worst.runs, f"<= {RUNS_MOST:g}", worst.runs <= RUNS_MOST, bool(worst.void)))
    return found


def pairs(rows: Sequence[Row]) -> list[tuple[Row, Row]]:
    """The same load on its way up and on its way down."""
    downs = {row.load: row for row in rows if row.direction == "down"}
    return [(row, downs[row.load]) for row in rows if row.direction == "up" and row.load in downs]
