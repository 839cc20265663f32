"""Which relay a gateway asks, when it moves to another, and what it believes there. Pure; relayed.py carries it out.

Each gateway has the relays in an order of its own, by hash of (gateway, relay): of 4,600 gateways before 12 relays
each is the first choice of some 383, and who loses one spreads over the other 11.

Invariants, each for any order of answers, failures and chances:
- one relay is asked at a time; at each move all is asked anew, as the index of one relay means nothing to another;
- where the present one's list is older than LOOK_AGE_S, the others are asked for the age of theirs alone, one after
  another, at most one with each of its answers (2.5 a second); a stale one is left for one whose list is known to be
  fresher, whether that rests or not, and for no other;
- two moves are MOVE_GAP_S apart at the least (5 a second), half of MOST_WAIT_S from the fourth failure in a row on
  (2 a second); moves away from a relay that answers are VOLUNTARY_S apart or more;
- discovery itself is asked only while the last call to every relay has failed, and by one gateway once in
  gateways / direct_per_s seconds at the most, the first time at a random moment of that: direct_per_s over the fleet;
- a relay's death by reset costs MOVE_S, a connection and an answer; its silence costs that and HELD_S + LATE_S:
  HELD_S + LATE_S + MOVE_S = 0.9 s, under a second together with an answer of the usual 20 ms. So a relay's loop may
  not stand for LATE_S; who met silence there grants it twice that at the next visit, up to LATE_MOST_S, lest one slow
  second of all relays drive all gateways round;
- a watch that goes on is 1 / HELD_S = 2.5 calls a second: 958 a second at each of 12 relays before 4,600 gateways.

What is believed, and why no drain is undone. An answer that was asked for at q and says it is of age a shows a state
that discovery had at q - a or later: the relay's age counts from a moment at which discovery had just this or more
(its side of the bargain), and the answer was made after q. A restriction that this gateway read at r is of a state
that discovery had by r. So an answer with q - a >= r knows of it, and is right where it permits; any other may be
older.
- A restriction (DRAINING, DELETED, not in a whole list) counts from anyone who is not stale, at once; from a stale
  one the first two, of hosts that are held.
- A permission that contradicts a restriction read in an earlier run of answers counts only with q - a >= r + SLACK_S;
  until then it waits, and is told once an answer of the same run is as young as that. A run is a whole list and the
  changes after it from one relay: each of its answers is later than the last, and permits over its own restrictions.
- From an answer older than STALE_S no permission counts where a list is held; once such a relay is young again, its
  whole list is asked for. Where none is held, any list is better.
- So a restriction need be remembered for KEEP_S before q alone: an answer that is not stale has q - a >= q - STALE_S.
The list that is held stands until a whole one that may replace it has come.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass, replace
from math import inf
from typing import Any, Final
from urllib.parse import quote

from cloverkeel.balancing.events import ListKind, ServerStatus

from cloverkeel.core.config import Address, stable_id
from cloverkeel.core.ports import Endpoint
from cloverkeel.discovery.poll_schedule import LIST, Query, Watch

STATE: Final = b"/relay/state"

# Calls
HELD_S: Final = 0.4  # a relay holds a call for news so long: what a silence is noticed by
LATE_S: Final = 0.3  # for the answer beyond that
LATE_MOST_S: Final = 1.2  # the same at a relay that was silent before
FIRST_ANSWER_S: Final = 1.0  # for the first answer on a connection, the whole list mostly: they are made in turn
# Moves
MOVE_S: Final = 0.2  # at the most, from the first failure to the next relay: who failed together must not move so
MOVE_GAP_S: Final = 0.2  # between two moves at the least
MOST_WAIT_S: Final = 1.0  # between two moves at the most: one relay of 12 that is back is found in 12 s, mostly in 5
REST_S: Final = 10.0  # a relay that was left for cause is tried last for so long, and twice that the next time
REST_MOST_S: Final = 320.0
PROVEN_S: Final = 30.0  # who answered well for so long has made up for it
VOLUNTARY_S: Final = 2.0  # between moves away from a relay that answers
READ_S: Final = 0.5  # of reading a long answer by steps, before the rest is read in one piece
# Age
STALE_S: Final = 3.0  # a healthy relay's is 1 s and some, at the worst of its hold; a drain counts as told after 6 s
STALE_SPREAD_S: Final = 1.0  # all gateways see a relay turn stale in one moment
LOOK_AGE_S: Final = 1.5  # so that a fresher one is known by the time that this one is stale
LOOK_S: Final = 0.5  # for the answer to a look
SLACK_S: Final = 0.05  # between two clocks' rates over the longest age
KEEP_S: Final = STALE_S + SLACK_S  # before a call: what was read earlier, an answer to it that permits knows of
FRESHER_S: Final = 0.5  # the list of another relay is worth a move: ages of one discovery differ by less
# Wider subsets
WIDEST: Final = 3
WIDE_SHARE: Final = 0.5  # of the hosts that serve: failing, they make the subset wider
WIDE_STEP_S: Final = 3.0  # from one doubling to the next: new hosts must be heard of and tried
WIDE_BACK_S: Final = 60.0  # without need, to a subset half as wide


def order_of(gateway: str, addresses: Sequence[Address]) -> list[Address]:
    """The relays, first choice first: rendezvous, so that one more or less moves only who had it."""
    return sorted(addresses, key=lambda address: stable_id(f"{gateway} {address[0]}:{address[1]}", 8))


def named(target: bytes, gateway: str, services: Sequence[str], wide: int) -> bytes:
    """A call with this gateway's name in it."""
    path, _, rest = target.partition(b"?")
    who = f"?gateway={quote(gateway, '')}&services={','.join(quote(s, '') for s in services)}&wide={wide}"
    return path + who.encode() + (b"&" + rest if rest else b"")


def age_of(raw: dict[str, Any]) -> float:
    """In seconds; an answer that tells none is discovery's own. ValueError for what is no age."""
    age_ms = raw.get("age_ms", 0)
    if not isinstance(age_ms, int) or isinstance(age_ms, bool) or not 0 <= age_ms < 10**12:
        raise ValueError(f"age_ms: expected a whole number of milliseconds, found {age_ms!r}")
    return age_ms / 1000


def age_in_state(body: bytes) -> float:
    """Of a relay's list, in seconds, by what it says of itself. ValueError: it has none, or says nothing of it."""
    raw = json.loads(body)
    if not isinstance(raw, dict) or raw.get("version") is None or raw.get("age_ms") is None:
        raise ValueError("it has no list yet")
    return age_of(raw)


class RelayWatch(Watch):
    """What a relay is asked next; discovery itself is asked as ever."""

    def __init__(self) -> None:
        super().__init__()
        self.is_direct = False
        self.late_s = LATE_S

    def next_query(self, now_s: float) -> Query:
        if self.is_direct:
            return super().next_query(now_s)
        if self.index is None:
            return Query(LIST, FIRST_ANSWER_S)
        if self.answered_s is None:
            return Query(LIST + b"?from=%d&hold_ms=0" % self.index, FIRST_ANSWER_S)
        target = LIST + b"?from=%d&hold_ms=%d" % (self.index, int(HELD_S * 1000))
        return Query(target, HELD_S + self.late_s, True)


@dataclass(slots=True, eq=False)
class Relay:
    """One relay, as this gateway saw it."""

    address: Address
    rests_until_s: float = -inf
    rests: int = 0  # left for cause, since it last did well
    left_s: float = -inf
    fails: bool = False  # the last call to it did
    as_of_s: float = -inf  # discovery had what it last told then, or later
    silences: int = 0  # in a row
    look: int = 0  # the number of the last look at it


class Relays:
    """Whom to ask. Times in seconds of a clock that only moves forward; each `chance` is random, 0 to 1."""

    def __init__(self, gateway: str, addresses: Sequence[Address], direct_every_s: float) -> None:
        """`direct_every_s`: between two calls of this gateway to discovery itself."""
        self.order = [Relay(address) for address in order_of(gateway, addresses)]
        self.at: Relay | None = None  # None: discovery itself, or nobody yet
        self.direct_every_s = direct_every_s
        self.direct_due_s: float | None = None  # None: not wanted
        self.direct_s = -inf  # the last time
        self.is_direct = False  # it is asked now: the next turn is a relay's, however soon this comes again
        self.failures = 0  # in a row
        self.since_s = -inf  # when this one was chosen
        self.may_leave_s = -inf  # who answers is not left before
        self.wish: Relay | None = None  # who is to be the next in the place of a stale one
        self.leaving_s: float | None = None  # a stale one is left then, to spread
        self.looks = 0

    def choose(self, now_s: float) -> Relay | None:
        """Whom to ask from now on; None: discovery itself, once."""
        self.since_s, self.leaving_s = now_s, None
        wish, self.wish = self.wish, None
        was_direct, self.is_direct = self.is_direct, False
        if self.direct_due_s is not None and now_s >= self.direct_due_s and not was_direct:
            self.is_direct = True
            self.direct_s, self.direct_due_s = now_s, now_s + self.direct_every_s
            self.at = None
            return None
        rested = [relay for relay in self.order if relay.rests_until_s <= now_s]
        stale = [relay for relay in self.order if not relay.fails and relay.as_of_s > -inf]
        if wish is not None:
            self.at = wish
        elif rested:
            self.at = rested[0]
        elif stale:
            self.at = max(stale, key=lambda relay: relay.as_of_s)
        else:
            self.at = min(self.order, key=lambda relay: relay.left_s)
        return self.at

    def replace(
        self, now_s: float, gateway: str, addresses: Sequence[Address], direct_every_s: float, chance: float
    ) -> float | None:
        """Other relays from now on; what was seen of those that stay is kept.

        Returns after how long to `choose`, as the present one is not among them; None: stay.
        """
        seen = {relay.address: relay for relay in self.order}
        self.order = [seen.get(address) or Relay(address) for address in order_of(gateway, addresses)]
        self.direct_every_s = direct_every_s
        if not all(relay.fails for relay in self.order):
            self.direct_due_s = None
        if self.wish not in self.order:
            self.wish = None
        if self.at is None or self.at in self.order:
            return None
        return max(chance * MOVE_S, self.since_s + MOVE_GAP_S - now_s)

    def late_s(self) -> float:
        """How much longer than it was asked to hold a call the present one may take."""
        return min(LATE_S * float(2 ** min(self.at.silences, 8)), LATE_MOST_S) if self.at is not None else LATE_S

    def on_failure(self, now_s: float, silent: bool, chance: float) -> float:
        """A call has failed; returns after how long to `choose`."""
        self.failures += 1
        if self.at is not None:
            self.at.fails, self.at.as_of_s = True, -inf
            self.at.silences += silent
            self._rest(self.at, now_s, chance)
        if self.direct_due_s is None and all(relay.fails for relay in self.order):
            first_s = now_s + chance * self.direct_every_s
            self.direct_due_s = max(first_s, self.direct_s + self.direct_every_s)
        if self.failures == 1:
            wait_s = chance * MOVE_S
        else:
            wait_s = min(MOVE_S * float(2 ** min(self.failures - 1, 8)), MOST_WAIT_S) * (0.5 + 0.5 * chance)
        return max(wait_s, self.since_s + MOVE_GAP_S - now_s)

    def on_answer(self, now_s: float, asked_s: float, age_s: float, held: bool, chance: float) -> float | None:
        """A call was answered (`held`: one that waits for news); returns after how long to `choose`, None: stay."""
        relay = self.at
        if relay is None:
            return MOST_WAIT_S * (0.5 + 0.5 * chance)  # discovery has told: relays again
        self.failures, self.direct_due_s, relay.fails = 0, None, False
        relay.as_of_s = asked_s - age_s
        if held:
            relay.silences = 0
        leaves = self._leaves_stale(relay, now_s, chance) if age_s > STALE_S else self._goes_back(relay, now_s)
        return max(0.0, self.since_s + MOVE_GAP_S - now_s) if leaves else None

    def look(self, age_s: float) -> Relay | None:
        """Whom to ask for its age, as the present one's list is `age_s` old: who was asked longest ago."""
        others = [relay for relay in self.order if relay is not self.at]
        if self.at is None or age_s <= LOOK_AGE_S or not others:
            return None
        self.looks += 1
        looked = min(others, key=lambda relay: relay.look)
        looked.look = self.looks
        return looked

    def on_look(self, relay: Relay, asked_s: float, age_s: float | None) -> None:
        """What it said of its list's age; None: nothing, or that it has none. It may be the present one by now."""
        if relay is not self.at:
            relay.fails = age_s is None
            relay.as_of_s = -inf if age_s is None else asked_s - age_s

    def _leaves_stale(self, relay: Relay, now_s: float, chance: float) -> bool:
        freshest = max(self.order, key=lambda other: other.as_of_s)
        if freshest.as_of_s <= relay.as_of_s + FRESHER_S:
            self.leaving_s = None
            return False
        if self.leaving_s is None:
            self.leaving_s = now_s + chance * STALE_SPREAD_S
        if now_s < max(self.leaving_s, self.may_leave_s):
            return False
        self._rest(relay, now_s, chance)
        self.may_leave_s = now_s + VOLUNTARY_S
        self.wish = freshest
        return True

    def _goes_back(self, relay: Relay, now_s: float) -> bool:
        """To one that comes before it in this gateway's order and has rested: that time was spread."""
        self.leaving_s, relay.rests_until_s = None, -inf
        if now_s - self.since_s >= PROVEN_S:
            relay.rests = 0
        before = self.order[: self.order.index(relay)]
        if now_s < self.may_leave_s or not any(other.rests_until_s <= now_s for other in before):
            return False
        self.may_leave_s = now_s + VOLUNTARY_S
        return True

    def _rest(self, relay: Relay, now_s: float, chance: float) -> None:
        rest_s = min(REST_S * float(2 ** min(relay.rests, 8)), REST_MOST_S)
        relay.rests += 1
        relay.left_s, relay.rests_until_s = now_s, now_s + rest_s * (0.5 + chance)


class Belief:
    """What is held of each host, and what of an answer may be told to the core."""

    def __init__(self) -> None:
        self.held: dict[int, ServerStatus] = {}  # that are not gone
        self.run = 0  # counts them, from 1: what one says is in order
        self.ends: dict[int, tuple[float, int]] = {}  # restrictions: when read, in which run; oldest first
        self.waiting: dict[int, Endpoint] = {}  # permissions of the present relay that are too old as yet
        self.only_ends = False  # of the present relay no whole list was believed: it was stale

    def begin_anew(self) -> None:
        """Another run."""
        self.run += 1
        self.waiting.clear()
        self.only_ends = False

    def serving(self) -> int:
        return sum(status is ServerStatus.READY for status in self.held.values())

    def take(
        self, now_s: float, asked_s: float, age_s: float, whole: bool, entries: list[Endpoint]
    ) -> tuple[ListKind, list[Endpoint], bool]:
        """What to tell the core, and whether the whole list is to be asked for now."""
        self._forget(asked_s)
        for entry in entries if self.waiting else ():
            self.waiting.pop(entry.listed.server, None)
        if self.held and age_s > STALE_S:
            self.only_ends |= whole or any(entry.listed.status is ServerStatus.READY for entry in entries)
            return ListKind.DELTA, self._ends_among(now_s, entries), False
        if self.only_ends and not whole:
            return ListKind.DELTA, self._ends_among(now_s, entries), True
        as_of_s = asked_s - age_s - SLACK_S
        if whole:
            self.begin_anew()  # a relay that began anew meanwhile tells all unasked
            named = {entry.listed.server for entry in entries}
            for number in [number for number in self.held if number not in named]:
                self._end(now_s, number, ServerStatus.GONE)
            return ListKind.FULL, self._permitted(now_s, as_of_s, entries), False
        ripe = [entry for number, entry in self.waiting.items() if self.ends.get(number, (-inf,))[0] <= as_of_s]
        for entry in ripe:
            del self.waiting[entry.listed.server]
        return ListKind.DELTA, self._permitted(now_s, as_of_s, ripe + entries), False

    def _permitted(self, now_s: float, as_of_s: float, entries: list[Endpoint]) -> list[Endpoint]:
        """The entries with what is permitted too early left as it is held."""
        told, ends = [], self.ends
        for entry in entries:
            number, status = entry.listed.server, entry.listed.status
            if status is ServerStatus.READY and number not in ends:  # nearly all of a whole list
                self.held[number] = status
                told.append(entry)
                continue
            read_s, run = ends.get(number, (-inf, 0))
            held = self.held.get(number)
            if read_s > as_of_s and run != self.run and _is_looser(status, held):
                self.waiting[number] = entry
                if held is None:
                    continue
                entry = Endpoint(entry.name, entry.address, replace(entry.listed, status=held))
            elif status is ServerStatus.READY:
                self.held[number] = status
                self.ends.pop(number, None)
            else:
                self._end(now_s, number, status)
            told.append(entry)
        return told

    def _ends_among(self, now_s: float, entries: list[Endpoint]) -> list[Endpoint]:
        """Of hosts that are held: what restricts them further."""
        told = []
        for entry in entries:
            number, status = entry.listed.server, entry.listed.status
            held = self.held.get(number)
            if held is not None and held is not status and _is_looser(held, status):
                self._end(now_s, number, status)
                told.append(entry)
        return told

    def _end(self, now_s: float, number: int, status: ServerStatus) -> None:
        """A restriction is read. Said again by another run it is of neither: either may mean an earlier one."""
        if status is ServerStatus.GONE:
            self.held.pop(number, None)
        else:
            self.held[number] = status
        _, run = self.ends.pop(number, (0.0, self.run))
        self.ends[number] = now_s, self.run if run == self.run else 0

    def _forget(self, asked_s: float) -> None:
        while self.ends:
            number = next(iter(self.ends))
            if self.ends[number][0] >= asked_s - KEEP_S:
                return
            del self.ends[number]


def _is_looser(status: ServerStatus, than: ServerStatus | None) -> bool:
    """None: not held, as of a host that is gone."""
    rank = {ServerStatus.READY: 2, ServerStatus.DRAINING: 1, ServerStatus.GONE: 0, None: 0}
    return rank[status] > rank[than]


def of_those_held(held: dict[int, ServerStatus], entries: list[Endpoint]) -> list[Endpoint]:
    """Of discovery's own list, which is of all hosts: those that are held, where half of them still serve there.

    Guards against a fleet that holds the whole list because its relays were lost.
    """
    mine = [entry for entry in entries if entry.listed.server in held]
    serving = sum(entry.listed.status is ServerStatus.READY for entry in mine)
    return mine if mine and 2 * serving >= sum(status is ServerStatus.READY for status in held.values()) else entries


class Width:
    """How often this gateway's subset is doubled. `failing` of `serving` hosts do not answer it."""

    def __init__(self) -> None:
        self.wide = 0
        self.need_s = -inf  # when there was need last
        self.step_s = -inf  # the last change

    def step(self, now_s: float, failing: int, serving: int) -> int:
        if failing and failing >= WIDE_SHARE * serving:
            self.need_s = now_s
            if self.wide < WIDEST and now_s - self.step_s >= WIDE_STEP_S:
                self.wide, self.step_s = self.wide + 1, now_s
        elif self.wide and now_s - max(self.need_s, self.step_s) >= WIDE_BACK_S:
            self.wide, self.step_s = self.wide - 1, now_s
        return self.wide
