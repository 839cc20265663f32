"""The one Balancer and the world round it: events in, actions out, timers, and the requests that are held.

Nothing is chosen here. One event is handled and its actions are carried out before the next: what is found
out meanwhile waits its turn.
"""

from __future__ import annotations

import asyncio
import itertools
import traceback
from collections import deque
from collections.abc import Callable
from typing import Final

from cloverkeel.balancing.balancer import Balancer
from cloverkeel.balancing.actions import (
    Action, Cancel, CloseIdle, Fail, FetchList, Log, Probe, Refuse, Send, SetTimer, WatchList,
)  # fmt: skip
from cloverkeel.balancing.events import (
    AnswerAll,
    AttemptEnded,
    Event,
    ListKind,
    ListedServer,
    Outcome,
    PeerHealthReport,
    Probed,
    ProbesSuspended,
    ProcessesChanged,
    RequestArrived,
    RequestGone,
    RetryTokenGrant,
    ServerList,
    ServerStatus,
    SlowStartQuota,
    StreamStarted,
    TimerFired,
)

from cloverkeel.core.calls import Call, Sink
from cloverkeel.core.clock import now_us
from cloverkeel.core.config import Config
from cloverkeel.core.log import log, log_if_read
from cloverkeel.core.loop_timers import LoopTimers
from cloverkeel.core.messages import Reply
from cloverkeel.core.ports import Attempt, Decisions, End, Endpoint, EndpointSource, Upstream
from cloverkeel.core.list_batches import ListBatches
from cloverkeel.core.stall_detector import BEAT_US, Stillness
from cloverkeel.core.metrics import EVERY_US, Tally

STILL_LOG_US: Final = 10_000_000  # between lines on the log about standing still


class Held:
    """A request that is owed an answer, or whose attempts are not all over.

    The module knows it by its ticket, which is never given again; a client's id may be.
    """

    __slots__ = ("attempts", "call", "closed", "deadline_us", "out", "passing", "sink", "ticket", "timed_out")

    def __init__(self, call: Call, ticket: str, deadline_us: int) -> None:
        self.call = call
        self.ticket = ticket
        self.deadline_us = deadline_us
        self.attempts: list[Attempt | None] = []  # None: never sent
        self.out = 0
        self.closed = False
        self.timed_out = False
        self.passing = -1  # the attempt whose large answer is passed on
        self.sink: Sink | None = None  # where to


Happened = Callable[[], Event | None]


class Gateway:
    def __init__(self, config: Config, pools: Upstream, membership: EndpointSource) -> None:
        self.loop = asyncio.get_running_loop()
        self.settings = config.settings
        self.balancer: Decisions = Balancer(config.settings, config.seed)
        self.pools, self.discovery = pools, membership
        membership.set_listener(self.on_list)
        # What has happened, by what may be done with it while membership catches up: lists are handled, first of all;
        # what is urgent as well, since nothing is sent for it; the rest waits, till its request's time is over.
        # Of a long list only what restricts is handled so; the rest in parts, one in a turn of the loop.
        self.lists: deque[tuple[ListKind, list[Endpoint]]] = deque()
        self.slices = ListBatches()
        self.part_due = False  # this turn's part is yet to be handled
        self.turn: asyncio.Handle | None = None
        # Lists are told to their ends: how many entries since the last call.
        self.on_told: Callable[[int], None] | None = None
        self.fresh = 0
        self.urgent: deque[Happened] = deque()
        self.events: deque[tuple[Happened, Held | None]] = deque()
        self.handling = False
        self.held: dict[str, Held] = {}  # by ticket
        self.by_id: dict[str, Held] = {}  # the same by the client's id
        self.tickets = itertools.count(1)
        self.closed = False
        self.timers = LoopTimers(self.loop)
        self.known = config.known
        self.tally = Tally(len(config.settings.classes))
        self.tally_due_us = 0
        self.entries = self.opened = 0  # entries of lists; connections opened when the last tally was written
        self.still = Stillness(now_us())
        self.beat_timer: asyncio.TimerHandle | None = None
        self.said_still_us = 0
        # Called at once when this process stood still, with the time and for how long.
        self.after_gap: list[Callable[[int, int], None]] = []
        self.on_outcome: Callable[[int, Outcome, int], None] | None = None  # of each attempt: server, latency
        pools.guard(self.may_write)

    def start(self) -> None:
        """Begin with the list from before, and ask for a newer one when the module says so."""
        self.still.look(now_us())
        self.still.end(now_us(), caught_up=True)  # what came before the first list is no gap
        self.beat()
        self.discovery.load_known(self.known)

    @property
    def can_serve(self) -> bool:
        """Whether there is any host to send to."""
        return not self.pools.is_empty()

    def close(self) -> None:
        self.closed = True
        if self.turn is not None:
            self.turn.cancel()
        if self.beat_timer is not None:
            self.beat_timer.cancel()
        self.timers.close()
        self.discovery.close()
        self.pools.close()

    def share(self, processes: int) -> None:
        """This gateway is so many processes for a time; ahead of whatever waits, as it restricts."""
        self.post_urgent(lambda: ProcessesChanged(processes))

    def cold_share(self, server: int, started_us: int, lent_us: int, granted: float, granted_us: int) -> None:
        """Parts of a cold server's budget that are lent or granted until then; ahead of whatever waits."""
        self.post_urgent(lambda: SlowStartQuota(server, started_us, lent_us, granted, granted_us))

    def hold_trials(self, server: int, until_us: int) -> None:
        """Another gateway tries a server until then; 0: it answers there."""
        self.post_urgent(lambda: ProbesSuspended(server, until_us))

    def hearsay(
        self, server: int, started_us: int, good: float, bad: float, reporters: int, well: int, until_us: int
    ) -> None:
        """What other gateways saw of a server; ahead of whatever waits, as it restricts, or brings a trial."""
        self.post_urgent(lambda: PeerHealthReport(server, started_us, good, bad, reporters, well, until_us))

    def retry_rights(self, cap: float, moved: float = 0.0, until_us: int = 0) -> None:
        """Tokens for further attempts come or go; ahead of whatever waits, as nothing may be spent that has gone."""
        self.post_urgent(lambda: RetryTokenGrant(cap, moved, until_us))

    def answer_all(self) -> None:
        """This process ends: whatever is held is answered now."""
        if self.by_id:
            self.post_urgent(AnswerAll)

    # Standing still

    def beat(self) -> None:
        self.beat_timer = self.loop.call_later(BEAT_US / 1e6, self.beat)  # first: nothing below may end it
        at_us = now_us()
        self.look(at_us)
        if at_us >= self.tally_due_us:
            self.write_tally(at_us)

    def write_tally(self, at_us: int) -> None:
        self.tally_due_us = at_us - at_us % EVERY_US + EVERY_US
        opened = self.pools.opened()
        line = self.tally.line(at_us, self.balancer.shed_ratios(), opened - self.opened, self.entries)
        if line is not None and log_if_read(line):  # else the sums go on
            self.opened, self.entries = opened, 0
            self.tally.begin_anew()

    def look(self, at_us: int) -> bool:
        """Notice a gap of the loop; returns whether something may be sent."""
        if self.still.look(at_us):
            self.on_gap()
        return not self.still.holds

    def may_write(self, at_us: int) -> bool:
        return at_us <= self.still.due_us or self.look(at_us)

    def on_gap(self) -> None:
        """This process stood still: what membership was told meanwhile comes first, before anything is sent."""
        began_us, stall_us = self.still.since_us, self.still.stall_us
        for after in self.after_gap:
            after(began_us, stall_us)
        if began_us - self.said_still_us > STILL_LOG_US:
            self.said_still_us = began_us
            log(f"stood still for {stall_us / 1e6:.2f} s ({self.still.gaps} times so far); membership is read first")

        def caught_up() -> None:
            if self.still.since_us == began_us:  # else there was a further gap, and a new hold
                self.go_on(caught_up=True)

        self.loop.call_later(self.still.hold_us / 1e6 + 0.001, self.go_on, False)
        self.events = deque((self.bounded(event, held), held) for event, held in self.events)
        self.discovery.catch_up(stall_us, caught_up)

    def bounded(self, event: Happened, held: Held | None) -> Happened:
        """An event that waits no longer than its request may: then the module answers it, and can send nothing."""
        if held is None:
            return event
        waits = True

        def once() -> Event | None:
            nonlocal waits
            was, waits = waits, False
            return event() if was else None

        def hurry() -> None:
            if waits and self.still.holds:
                self.post_urgent(once)

        self.loop.call_later(max(0, held.deadline_us - now_us()) / 1e6, hurry)
        return once

    def go_on(self, caught_up: bool) -> None:
        if self.closed or self.still.look(now_us()):
            if not self.closed:
                self.on_gap()
            return
        if self.still.end(now_us(), caught_up) and not self.handling:
            self.work()

    # Events in

    def post(self, event: Happened, held: Held | None = None) -> None:
        """Queue what has happened, to a request or not. It is put into words in its turn, and may be void by then."""
        if self.still.holds:
            event = self.bounded(event, held)
        self.events.append((event, held))
        if not self.handling:
            self.work()

    def post_urgent(self, event: Happened) -> None:
        """The same for what is not to wait until membership has caught up."""
        self.urgent.append(event)
        if not self.handling:
            self.work()

    def on_list(self, kind: ListKind, entries: list[Endpoint]) -> None:
        """Who is there comes before whatever else waits: nothing is decided by an old list."""
        self.lists.append((kind, entries))
        if not self.handling:
            self.work()

    def work(self) -> None:
        """Handle what waits; while membership catches up, what may be handled then."""
        self.handling = True
        try:
            while not self.closed:
                at_us = now_us()
                may_write = at_us <= self.still.due_us or self.look(at_us)
                if self.lists:
                    self.handle(at_us, self.take_list(*self.lists.popleft()))
                    continue
                if self.slices.pending and (self.part_due or not may_write):  # while it holds: all of them
                    self.part_due = False
                    self.handle(at_us, self.tell(ListKind.DELTA, self.slices.next_batch()))
                    continue
                if self.urgent:
                    happened = self.urgent.popleft()()
                elif self.events and may_write:
                    happened = self.events.popleft()[0]()
                else:
                    return
                if happened is not None:
                    self.handle(at_us, happened)
        finally:
            self.handling = False

    def handle(self, at_us: int, event: Event) -> None:
        try:
            actions = self.balancer.handle(at_us, event)
        except Exception:
            # Guards against one bad decision ending the process and all that it holds.
            log(f"the module failed at {event!r}\n{traceback.format_exc()}")
            actions = [Fail(event.request)] if isinstance(event, RequestArrived | AttemptEnded) else []
        for action in actions:
            try:
                self.carry_out(action)
            except Exception:
                # Guards the client whose event is being handled: an error here would end its connection.
                log(f"failed at {action!r}\n{traceback.format_exc()}")

    def arrive(self, call: Call) -> bool:
        """Take a request; False if one with its id is held already."""
        if call.id in self.by_id:
            return False
        ticket = str(next(self.tickets))
        held = Held(call, ticket, now_us() + call.patience_us)
        self.tally.asked[call.klass] += 1
        self.held[ticket] = self.by_id[call.id] = held
        event = RequestArrived(
            ticket, call.klass, call.patience_us, call.key, call.work_us, call.is_retry, call.tenant
        )
        self.post(lambda: event, held)
        return True

    def leave(self, call: Call) -> None:
        """The client has gone; nothing is owed to it."""
        held = self.by_id.get(call.id)
        if held is None or held.call is not call or held.closed:
            return
        held.closed = True
        passing = held.attempts[held.passing] if held.passing >= 0 else None
        if passing is not None:
            self.pools.cancel(passing)  # the module leaves it to the client
        self.post(lambda: self.gone(held))

    def gone(self, held: Held) -> Event:
        """Forgotten only now: what the module sent for it before it hears of this still gets its outcome."""
        self.finish(held)
        return RequestGone(held.ticket)

    def take_list(self, kind: ListKind, entries: list[Endpoint]) -> Event:
        gone: list[int] = []
        if kind is not ListKind.ERROR and kind is not ListKind.DELTA:
            gone = self.pools.keep_only({entry.listed.server for entry in entries})
            self.slices.clear()
        self.entries += len(entries) if kind is not ListKind.DISK else 0
        kept = [entry for entry in entries if not self.is_namesake(entry)]
        if kind is ListKind.DISK:  # the first of all: nothing can be sent yet
            now = self.slices.take_all(kept)
        else:
            now = self.slices.split(kept, self.pools.known(), self.is_another)
        if len(now) == len(kept):
            return self.tell(kind, now)
        if self.turn is None:
            # Set while anything waits: after a gap it comes before whatever the gap has begun.
            self.turn = self.loop.call_soon(self.on_turn)
        if kind is not ListKind.DELTA and len(kept) < len(entries):
            gone += {entry.listed.server for entry in entries} - {entry.listed.server for entry in kept}
        return self.tell(ListKind.DELTA, now, tuple(ListedServer(number, ServerStatus.GONE) for number in gone))

    def on_turn(self) -> None:
        """Requests have been served since the last part of a list: the next one."""
        self.part_due = bool(self.slices.pending)
        self.work()
        self.turn = self.loop.call_soon(self.on_turn) if self.slices.pending and not self.closed else None

    def is_another(self, entry: Endpoint) -> bool:
        return self.pools.is_another(entry.listed.server, entry.address, entry.listed.started_us)

    def tell(self, kind: ListKind, entries: list[Endpoint], gone: tuple[ListedServer, ...] = ()) -> Event:
        self.fresh += len(entries)
        if self.on_told is not None and not self.slices.pending:
            self.on_told(self.fresh)
            self.fresh = 0
        for entry in entries:
            listed = entry.listed
            if listed.status is ServerStatus.GONE:
                self.pools.remove(listed.server)
            else:
                ready = listed.status is ServerStatus.READY
                self.pools.put(listed.server, entry.name, entry.address, ready, listed.started_us)
        return ServerList(kind, gone + tuple(entry.listed for entry in entries))

    def is_namesake(self, entry: Endpoint) -> bool:
        """Whether the number of this entry is that of another host: numbers are hashes of names."""
        name = self.pools.name_of(entry.listed.server) or self.slices.name_of(entry.listed.server)
        if name is None or name == entry.name:
            return False
        log(f"{entry.name} is skipped: its number is that of {name}")
        return True

    # Actions out

    def carry_out(self, action: Action) -> None:
        match action:
            case Send():
                self.send(action)
            case SetTimer():
                self.set_timer(action.due_us, action.token)
            case Refuse():
                held = self.owed(action.request)
                if held is not None:
                    self.tally.refuse(held.call.klass, action.why)
                    held.call.client.on_refused(held.call, action.retry_after_us)
            case Fail():
                held = self.owed(action.request)
                if held is not None:
                    self.tally.failed[held.call.klass] += 1
                    held.call.client.on_failed(held.call, held.timed_out)
            case Cancel():
                self.cancel(action)
            case WatchList():
                self.discovery.watch(action.on)
            case FetchList():
                self.discovery.fetch()
            case Probe():
                self.probe(action.server)
            case CloseIdle():
                self.pools.close_idle(action.server)
            case Log():
                log(action.line)
            case _:
                log(f"not carried out: {action!r}")

    def set_timer(self, due_us: int, token: int) -> None:
        self.timers.set(due_us, lambda: self.post(lambda: TimerFired(token)))

    def owed(self, ticket: str) -> Held | None:
        """The request, if it still waits for its final answer, which it has from now on."""
        held = self.held.get(ticket)
        if held is None or held.closed or held.sink is not None:
            return None
        self.finish(held)
        return held

    def finish(self, held: Held) -> None:
        held.closed = True
        if held.out == 0:
            self.forget(held)

    def forget(self, held: Held) -> None:
        """It is over: nothing is owed and no attempt is out. Only it, never a later one of the same id."""
        self.held.pop(held.ticket, None)
        if self.by_id.get(held.call.id) is held:
            del self.by_id[held.call.id]

    def send(self, action: Send) -> None:
        held, known = self.held.get(action.request), self.pools.knows(action.server)
        if held is None:
            log(f"DEFECT: the module sends a request that is not held: {action!r}")
            return
        number = len(held.attempts)
        left_us = held.deadline_us - now_us()
        wait_us = min(action.timeout_us, left_us) if action.timeout_us else left_us
        if not held.closed and held.call.client.has_gone():
            self.leave(held.call)
        if not known or held.closed or wait_us <= 0 or number >= self.settings.max_attempts:
            held.attempts.append(None)
            self.post(lambda: self.moot(action, number), held)
            return

        def on_end(end: End) -> None:
            if end.outcome is Outcome.OK and self.still.holds:
                self.post_urgent(lambda: self.attempt_ended(held, number, action.server, end))
            else:
                self.post(lambda: self.attempt_ended(held, number, action.server, end), held)

        def on_begin(reply: Reply, length: int | None, latency_us: int) -> Sink | None:
            return self.begin_answer(held, number, reply, length)

        def may_begin(at_us: int) -> bool:
            """Guards against sending what nobody waits for: its connection came up after its request was over."""
            return not held.closed and held.sink is None and not held.call.client.has_gone()

        call, end_us = held.call, now_us() + wait_us

        def payload(at_us: int) -> list[bytes]:
            """What is left when it is written: a connection may take long to come up, and its host is told less."""
            budget = str(max(1, (end_us - at_us) // 1000)).encode()
            made = [b"".join((call.head, b"X-Budget-Ms: ", budget, b"\r\n\r\n", call.body))]
            return made if call.pieces is None else made + call.pieces

        held.attempts.append(None)
        held.out += 1
        self.tally.sent(action.server)
        held.attempts[number] = self.pools.begin(
            action.server, payload, wait_us, on_end, on_begin, may_begin, action.begin_by_us
        )

    def begin_answer(self, held: Held, number: int, reply: Reply, length: int | None) -> Sink | None:
        """The first good answer to begin is the one that is passed on."""
        attempt = held.attempts[number]
        if held.closed or held.sink is not None or attempt is None:
            return None
        held.sink = held.call.client.on_begun(held.call, reply, length, attempt)
        if held.sink is not None:
            held.passing = number
            self.post_urgent(lambda: StreamStarted(held.ticket, number))
        return held.sink

    def moot(self, action: Send, number: int) -> Event:
        held = self.held.get(action.request)
        finished = held is None or held.closed
        return AttemptEnded(action.request, number, action.server, Outcome.MOOT, 0, finished)

    def attempt_ended(self, held: Held, number: int, server: int, end: End) -> Event:
        held.out -= 1
        self.tally.ended(server, end.outcome, end.latency_us)
        if self.on_outcome is not None:
            self.on_outcome(server, end.outcome, end.latency_us)
        held.timed_out = end.outcome is Outcome.TIMEOUT
        if held.sink is not None and number == held.passing:
            sink, held.sink = held.sink, None
            if not held.closed:
                self.finish(held)
                sink.on_whole() if end.outcome is Outcome.OK else sink.on_broken()
        elif not held.closed and held.sink is None and end.outcome is Outcome.OK and end.reply is not None:
            self.finish(held)
            held.call.client.on_served(held.call, end.reply)
        if held.closed and held.out == 0:
            self.forget(held)
        return AttemptEnded(held.ticket, number, server, end.outcome, end.latency_us, held.closed, end.load)

    def cancel(self, action: Cancel) -> None:
        held = self.held.get(action.request)
        if held is not None and 0 <= action.attempt < len(held.attempts):
            attempt = held.attempts[action.attempt]
            if attempt is not None:
                self.pools.cancel(attempt)

    def probe(self, server: int) -> None:
        if self.pools.knows(server):
            self.pools.probe(
                server, lambda end: self.post(lambda: Probed(server, end.outcome, end.latency_us, end.load))
            )
