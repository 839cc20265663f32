"""The relay's callers: HTTP/1.1 connections, calls that wait for news, wholes in turn, what staff are shown.

Invariants:
- a relay that has no whole list answers 503, never an empty list;
- `age_ms` is read from the clock as an answer is written, so a process that woke says how old what it has is; it
  counts from what was known as the answer was made, where that was by steps and the list went on;
- one call a connection is out; connections, bytes of a head, wholes a second, wholes that wait and bytes that callers
  have not taken are bounded, and so is the time of a caller that does not go on;
- a change is worked out once it has come for TICK_S, for those callers alone whom it can touch, in slices of SLICE_S;
- who asks and is not up to date is answered in turn, in slices: all may do so at once, after another roster;
- an answer without entries says that there was nothing new as it was written, not as it was asked for;
- changes never wait for wholes: who is up to date is not held up by a wave of starts;
- the collector does not stop the loop: what is new at a sweep is looked through if it is little, and set aside. Calls
  leave no cycles (a test has it); all that 400 gateways hold would take 190 ms;
- what is long is done by steps, callers are answered between them: answers of more than LARGE, one after another; the
  whole list, encoded once for all who ask for it while it is as it is; another roster, which counts from one moment.
"""

from __future__ import annotations

import asyncio
import gc
import json
from collections import deque
from collections.abc import Generator, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from typing import Any, Final, TypeVar, cast

import httptools

from cloverkeel.core.clock import now_us
from cloverkeel.core.log import log
from cloverkeel.control_plane.messages import Answer, Asker
from cloverkeel.control_plane.requests import LIST, Ask, CallError, Meter, read_query
from cloverkeel.control_plane.config import RelayConfig
from cloverkeel.control_plane.encoding import ACCEPT, HEADER, LEAST, LongBody, takes_gzip, zipped
from cloverkeel.control_plane.endpoint_cache import Feed, Topic
from cloverkeel.control_plane.fleet_roster import Roster
from cloverkeel.control_plane.discovery_source import Source
from cloverkeel.control_plane.incremental_update import take_in

TICK_S: Final = 0.02  # changes that come within it are told as one: a zone lost is one pass
SLICE_S: Final = 0.002  # of work before others get their turn; up to five kinds of it may have one in a row
HEAD_MOST: Final = 64 << 10  # bytes of a call: a gateway may name 256 services of 128 letters
BACKLOG: Final = 1_024  # connections that come at once: all callers of a relay
SWEEP_S: Final = 0.5  # between two looks for callers that do not go on
WAIT_S: Final = (
    0.8  # for a whole, at the most: a gateway gives up after 1 s (discovery/relay_selection.py, FIRST_ANSWER_S)
)
RETRY_S: Final = 1  # said with 503
LARGE: Final = 256 << 10  # bytes: an answer of more is encoded by steps, and counted while it is not taken
NEW_MOST: Final = 2_000  # objects made within SWEEP_S that are still there, to be looked through for cycles: 4 ms
FREED: Final = 512  # entries of a list that was taken in, let go at a time
HEAD: Final = b"HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s\r\n"
CLOSE: Final = b"Connection: close\r\n"
RETRY: Final = b"Retry-After: %d\r\n" % RETRY_S
OK, BAD, MISSING = b"200 OK", b"400 Bad Request", b"404 Not Found"
LONG, BUSY = b"431 Too Large", b"503 Service Unavailable"

Made = TypeVar("Made")


async def by_steps(steps: Generator[None, None, Made]) -> Made:
    """In slices. Nothing else runs between the last step and what follows this."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + SLICE_S
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            made: Made = stop.value
            return made
        if loop.time() > end_s:
            await asyncio.sleep(0)
            end_s = loop.time() + SLICE_S


class Caller(asyncio.Protocol):
    """One connection."""

    __slots__ = (
        "accepts", "ask", "asked", "asker", "body", "deadline_s", "gone", "gzip", "hold", "keeps", "parser", "paused",
        "roster", "server", "size", "target", "topics", "transport", "unsent",
    )  # fmt: skip

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.size = 0  # bytes of the call that comes
        self.target = b""
        self.body = False
        self.accepts = False  # gzip, by the call that comes
        self.gzip = False  # the same, of the call that is out
        self.asked = False  # a call is out
        self.keeps = True  # the connection goes on after the answer
        self.ask: Ask | None = None  # that waits for news, or to be looked at
        self.asker: Asker | None = None  # whose topics it is found by
        self.roster: Roster | None = None  # the same
        self.topics: tuple[Topic, ...] = ()
        self.hold: asyncio.TimerHandle | None = None
        self.deadline_s = 0.0  # for its next step; 0.0: it is our turn
        self.paused = False  # it does not take what it was sent
        self.unsent = 0  # bytes of large answers that count until it has taken them
        self.gone = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.transport.set_write_buffer_limits(0)  # paused until all is taken
        self.server.on_made(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone = True
        self.parser = None
        self.server.on_lost(self)

    def pause_writing(self) -> None:
        self.paused = True
        self.deadline_s = self.server.loop.time() + self.server.limits.slow_s

    def resume_writing(self) -> None:
        self.paused = False
        self.deadline_s = 0.0 if self.asked else self.server.loop.time() + self.server.limits.idle_s
        self.server.on_taken(self)

    def data_received(self, data: bytes) -> None:
        if self.gone or self.parser is None:
            return
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.refuse(BAD, str(error.__context__ or error))
        else:
            if self.size > HEAD_MOST:
                self.refuse(LONG, f"expected a call of at most {HEAD_MOST} bytes")

    # httptools' callbacks

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == ACCEPT:
            self.accepts = takes_gzip(value)

    def on_body(self, data: bytes) -> None:
        self.body = True

    def on_message_complete(self) -> None:
        if self.asked or self.paused:
            raise ValueError("one call at a time")
        target, self.target, self.size = self.target, b"", 0
        self.gzip, self.accepts = self.accepts, False
        self.asked, self.keeps, self.deadline_s = True, self.parser.should_keep_alive(), 0.0
        if self.body or self.parser.get_method() != b"GET" or self.parser.should_upgrade():
            raise ValueError("expected a GET without a body or an upgrade")
        self.server.on_call(self, target)

    # Answers

    def refuse(self, status: bytes, why: str) -> None:
        """What came is no call: say so, and end the connection."""
        self.keeps = False
        self.server.counts["bad_calls"] += 1
        self.say(status, json.dumps({"error": why[:200]}).encode())

    def say(self, status: bytes, body: bytes = b"{}", more: bytes = b"") -> None:
        more = more if self.keeps else more + CLOSE
        if self.gzip and len(body) >= LEAST:
            body, more = zipped(body), more + HEADER
        self.write(HEAD % (status, len(body), more) + body)

    def say_long(self, body: LongBody, age_ms: int) -> None:
        more, end = b"" if self.keeps else CLOSE, body.end(age_ms)
        if body.packer is not None:
            more += HEADER
        self.write(HEAD % (OK, body.size + len(end), more), *body.parts, end)

    def write(self, *data: bytes) -> None:
        """The answer to the call that is out."""
        if self.gone or self.transport is None or self.transport.is_closing():
            return
        self.end_wait()
        self.asked = False
        server = self.server
        self.deadline_s = server.loop.time() + server.limits.idle_s
        size = sum(map(len, data))
        server.counts["bytes_out"] += size
        self.transport.writelines(data)
        if self.paused and size > LARGE:
            self.unsent = size
            server.unsent += size
        if not self.keeps:
            self.deadline_s = server.loop.time() + server.limits.slow_s
            self.transport.close()

    def end_wait(self) -> None:
        if self.hold is not None:
            self.hold.cancel()
            self.hold = None
        self.ask = None

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


def let_go(items: list[Any]) -> Generator[None, None, None]:
    """Of a list that was taken in: 38,000 entries at once are 19 ms."""
    while items:
        del items[-FREED:]
        yield


@contextmanager
def ending(caller: Caller) -> Iterator[None]:
    """Guards against a caller that waits for ever, and others with it, as an answer could not be made."""
    try:
        yield
    except Exception as error:
        log(f"DEFECT: an answer could not be made: {error!r}")
        caller.abort()


@dataclass(slots=True)
class Listed:
    """The whole list as it was at one change, encoded for all who are told it."""

    number: int  # the feed's
    as_of_us: int | None  # Source.confirmed_us, as the list was last known to be just this
    size: int  # bytes of its entries
    body: LongBody


@dataclass(slots=True)
class Turn:
    """One who waits for a whole answer."""

    until_s: float
    caller: Caller
    ask: Ask
    listed: Listed | None = None  # that was made for it


class Server:
    """All callers, and what each waits for."""

    def __init__(self, config: RelayConfig, feed: Feed) -> None:
        self.config, self.limits, self.feed = config, config.limits, feed
        self.source = Source(config.discovery, self)
        self.loop = asyncio.get_running_loop()
        self.callers: set[Caller] = set()
        self.waiting: dict[Topic, dict[Caller, None]] = {}  # for news, or that did, by what may be new
        self.news: set[Topic] = set()  # since the last pass
        self.passing: asyncio.Task[None] | None = None
        rate = config.limits.wholes_per_s
        self.meter = Meter(rate, rate)
        self.queue: deque[Turn] = deque()  # for a whole
        self.listed: dict[bool, Listed] = {}  # by whether it is gzip, while the list is as it is
        self.listening: dict[bool, list[Turn]] = {False: [], True: []}  # who waits until that is made
        self.long: deque[Generator[None, None, None]] = deque()  # answers to be made by steps: one a caller at most
        self.making: asyncio.Task[None] | None = None
        self.serving: asyncio.TimerHandle | None = None
        self.behind: dict[Caller, Ask] = {}  # who is to be answered now, and may be told something
        self.looking: asyncio.Handle | None = None
        self.sweeping: asyncio.TimerHandle | None = None
        self.listener: asyncio.Server | None = None
        self.unsent = 0  # bytes of large answers that callers have not taken
        self.longest_pass_us = 0
        self.counts = dict.fromkeys(
            ("calls", "changes", "empties", "wholes", "wholes_refused", "not_ready", "bad_calls", "bytes_out",
             "connections_refused", "closed_slow", "closed_idle", "passes", "touched"), 0,
        )  # fmt: skip

    async def start(self) -> None:
        """OSError where it cannot listen."""
        host, port = self.config.listen
        self.listener = await self.loop.create_server(lambda: Caller(self), host, port, backlog=BACKLOG)
        self.sweep()
        self.source.start()

    @property
    def port(self) -> int:
        assert self.listener is not None
        return int(self.listener.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Take no more calls; who waits for news is told that there is none, and that the connection ends."""
        self.source.close()
        if self.listener is not None:
            self.listener.close()
        for handle in (self.sweeping, self.serving, self.looking):
            if handle is not None:
                handle.cancel()
        for task in (self.passing, self.making):
            if task is not None:
                task.cancel()
        for caller in list(self.callers):
            caller.keeps = False
            if caller.ask is not None and caller not in self.behind:
                self.say_nothing_new(caller, caller.ask)
            elif caller.transport is not None:
                caller.transport.close()

    # Connections

    def on_made(self, caller: Caller) -> None:
        if len(self.callers) >= self.limits.connections:
            self.counts["connections_refused"] += 1
            caller.abort()
            return
        self.callers.add(caller)
        caller.deadline_s = self.loop.time() + self.limits.idle_s

    def on_lost(self, caller: Caller) -> None:
        caller.end_wait()
        self.find_by(caller, None)
        self.callers.discard(caller)
        self.on_taken(caller)

    def on_taken(self, caller: Caller) -> None:
        self.unsent -= caller.unsent
        caller.unsent = 0

    def sweep(self) -> None:
        """End the connections of those who do not go on; look for cycles."""
        if len(gc.get_objects(0)) < NEW_MOST:  # gc.get_count is less by those that were freed, old ones too
            gc.collect(0)
        gc.freeze()
        now_s = self.loop.time()
        for caller in list(self.callers):
            if 0.0 < caller.deadline_s < now_s:
                self.counts["closed_slow" if caller.paused or caller.size else "closed_idle"] += 1
                caller.abort()
        self.sweeping = self.loop.call_later(SWEEP_S, self.sweep)

    # Calls

    def on_call(self, caller: Caller, target: bytes) -> None:
        self.counts["calls"] += 1
        with ending(caller):
            self.take_call(caller, target)

    def take_call(self, caller: Caller, target: bytes) -> None:
        path, _, query = target.partition(b"?")
        if path == LIST:
            try:
                ask = read_query(query)
            except CallError as error:
                caller.refuse(BAD, str(error))
                return
            self.on_ask(caller, ask)
        elif path == b"/health/ready":
            caller.say(OK if self.is_ready else BUSY)
        elif path == b"/relay/state":
            caller.say(OK, json.dumps(self.state()).encode())
        else:
            caller.say(MISSING)

    def on_ask(self, caller: Caller, ask: Ask) -> None:
        if not self.feed.ready:
            self.counts["not_ready"] += 1
            caller.say(BUSY, more=RETRY)
            return
        if ask.since is None:
            self.on_whole(caller, ask)
        elif self.feed.is_up_to_date(ask.asker, ask.since):
            self.on_nothing_new(caller, ask)
        else:
            self.look_later(caller, ask)

    def look_later(self, caller: Caller, ask: Ask) -> None:
        caller.ask, self.behind[caller] = ask, ask
        if self.looking is None:
            self.looking = self.loop.call_soon(self.look)

    def look(self) -> None:
        """For a slice at the most."""
        self.looking = None
        end_s = self.loop.time() + SLICE_S
        while self.behind:
            caller = next(iter(self.behind))
            ask = self.behind.pop(caller)
            if caller.ask is ask:  # it was not answered meanwhile, and has not gone
                with ending(caller):
                    if not self.tell_news(caller, ask):
                        self.on_nothing_new(caller, ask)
            if self.loop.time() >= end_s:
                break
        if self.behind:
            self.looking = self.loop.call_soon(self.look)

    def on_nothing_new(self, caller: Caller, ask: Ask) -> None:
        if ask.hold_ms and caller.hold is None:
            self.wait(caller, ask)
        else:  # or it has waited
            self.say_nothing_new(caller, ask)

    def age_ms(self, as_of_us: int | None) -> int:
        """Of what discovery was known to have then."""
        return 0 if as_of_us is None else max(0, now_us() - as_of_us) // 1000

    def send(self, caller: Caller, answer: Answer) -> int:
        """Returns how many bytes of entries it has."""
        size, as_of_us = answer.size, self.source.confirmed_us
        if size > LARGE:
            self.make(self.send_long(caller, answer, as_of_us))
        else:
            caller.say(OK, answer.body(self.age_ms(as_of_us)))
        return size

    def send_long(self, caller: Caller, answer: Answer, as_of_us: int | None) -> Generator[None, None, None]:
        with ending(caller):
            body = LongBody(caller.gzip)
            for _ in body.encode(answer):
                if caller.gone:
                    return
                yield
            caller.say_long(body, self.age_ms(as_of_us))

    def make(self, steps: Generator[None, None, None]) -> None:
        self.long.append(steps)
        if self.making is None:
            self.making = self.loop.create_task(self.make_long())

    async def make_long(self) -> None:
        try:
            while self.long:
                await by_steps(self.long.popleft())
        finally:
            self.making = None

    def say_nothing_new(self, caller: Caller, ask: Ask) -> None:
        """It goes on from the answer that it has."""
        assert ask.since is not None
        self.counts["empties"] += 1
        self.send(caller, Answer(ask.since, False, ()))

    # Wholes, in turn

    def on_whole(self, caller: Caller, ask: Ask) -> None:
        # A burst of wholes goes at once, and as many wait as go out within WAIT_S.
        waiting = len(self.queue) + sum(map(len, self.listening.values()))
        if waiting < self.limits.wholes_per_s * WAIT_S + max(0.0, self.meter.tokens):
            self.queue.append(Turn(self.loop.time() + WAIT_S, caller, ask))
            self.serve_later()
        else:
            self.refuse_whole(caller)

    def may_go(self) -> bool:
        return self.unsent <= self.limits.unsent_mb << 20 and not self.meter.wait_s(self.loop.time())

    def go(self, turn: Turn) -> None:
        if turn.ask.asker.gateway not in self.feed.roster.gateways:
            self.go_listed(turn)
            return
        answer = self.feed.answer(turn.ask.asker, None)
        assert answer is not None  # who has nothing lacks the whole
        self.counts["wholes"] += 1
        self.meter.went(self.send(turn.caller, answer))

    def go_listed(self, turn: Turn) -> None:
        """The whole list, once it is made; it is made for all who come meanwhile."""
        caller = turn.caller
        listed = turn.listed or self.listed.get(caller.gzip)
        if listed is None or (turn.listed is None and listed.number != self.feed.number):
            self.listening[caller.gzip].append(turn)
            if len(self.listening[caller.gzip]) == 1:
                self.make(self.list_all(caller.gzip))
            return
        if listed.number == self.feed.number:
            listed.as_of_us = self.source.confirmed_us
        self.counts["wholes"] += 1
        caller.say_long(listed.body, self.age_ms(listed.as_of_us))
        self.meter.went(listed.size)

    def list_all(self, gzip: bool) -> Generator[None, None, None]:
        number, as_of_us, body = self.feed.number, self.source.confirmed_us, LongBody(gzip)
        try:
            answer = yield from self.feed.listing()
            yield from body.encode(answer)
            listed = self.listed[gzip] = Listed(number, as_of_us, answer.size, body)
        except Exception as error:
            log(f"DEFECT: an answer could not be made: {error!r}")
            for turn in self.listening[gzip]:
                turn.caller.abort()
            return
        finally:
            turns, self.listening[gzip] = self.listening[gzip], []
        for turn in turns:
            turn.listed, turn.until_s = listed, self.loop.time() + WAIT_S
        self.queue.extend(turns)
        self.serve_later()

    def refuse_whole(self, caller: Caller) -> None:
        self.counts["wholes_refused"] += 1
        caller.say(BUSY, more=RETRY)

    def serve_later(self) -> None:
        if self.serving is None:
            wait_s = max(self.meter.wait_s(self.loop.time()), SLICE_S if self.unsent else 0.0)
            self.serving = self.loop.call_later(wait_s, self.serve)

    def serve(self) -> None:
        """Those whose turn it is, for a slice at the most."""
        self.serving = None
        end_s = self.loop.time() + SLICE_S
        while self.queue and self.loop.time() < end_s:
            turn = self.queue[0]
            if turn.caller.gone:
                self.queue.popleft()
            elif turn.until_s < self.loop.time():
                self.queue.popleft()
                self.refuse_whole(turn.caller)
            elif self.may_go():
                self.queue.popleft()
                with ending(turn.caller):
                    self.go(turn)
            else:
                break
        if self.queue:
            self.serve_later()

    # Waiting for news

    def wait(self, caller: Caller, ask: Ask) -> None:
        caller.ask = ask
        self.find_by(caller, ask.asker)
        caller.hold = self.loop.call_later(ask.hold_ms / 1000, self.end_hold, caller, ask)

    def end_hold(self, caller: Caller, ask: Ask) -> None:
        """Its time is over; what came a moment ago is told all the same."""
        assert ask.since is not None
        if self.feed.is_up_to_date(ask.asker, ask.since):
            with ending(caller):
                self.say_nothing_new(caller, ask)
        else:
            self.look_later(caller, ask)

    def tell_news(self, caller: Caller, ask: Ask) -> bool:
        """Whether there is any since the answer that it has."""
        assert ask.since is not None
        if not self.feed.knows(ask.asker, ask.since):  # of another relay, or of too long ago
            self.feed.counts.unknown += 1
            caller.end_wait()
            self.on_whole(caller, ask)
            return True
        answer = self.feed.answer(ask.asker, ask.since)
        if answer is None:
            return False
        caller.end_wait()
        self.counts["changes"] += 1
        self.send(caller, answer)
        return True

    def find_by(self, caller: Caller, asker: Asker | None) -> None:
        """From call to call: who waits mostly asks the same again, by the same roster."""
        if caller.asker == asker and caller.roster is self.feed.roster:
            return
        for topic in caller.topics:
            there = self.waiting[topic]
            del there[caller]
            if not there:
                del self.waiting[topic]
        caller.asker, caller.roster = asker, self.feed.roster
        caller.topics = self.feed.topics(asker) if asker is not None else ()
        for topic in caller.topics:
            self.waiting.setdefault(topic, {})[caller] = None

    def hear(self, whole: bool, items: list[Any]) -> bool:
        """What discovery says; whether it could be used."""
        unfit = self.feed.counts.rubbish_lists
        topics = self.feed.take(whole, items)
        if self.feed.counts.rubbish_lists != unfit:
            return False
        self.on_news(topics)
        return True

    def hear_long(self, whole: bool, items: list[Any]) -> Generator[None, None, bool]:
        topics = yield from take_in(self.feed, whole, items)
        # No step between this and the end: what is told counts as of when discovery was asked.
        self.make(let_go(items))
        if topics is None:
            return False
        self.on_news(topics)
        return True

    async def set_roster(self, roster: Roster) -> None:
        """One at a time."""
        groups = await by_steps(self.feed.prepare(roster))
        self.feed.switch(roster, groups)
        self.on_news(self.waiting)  # all who wait are found by the old one until they are looked at
        await by_steps(self.feed.settle())

    def on_news(self, topics: Iterable[Topic]) -> None:
        self.listed = {gzip: each for gzip, each in self.listed.items() if each.number == self.feed.number}
        self.news.update(topics)
        if self.news and self.passing is None:
            self.passing = self.loop.create_task(self.passes())

    async def passes(self) -> None:
        """Tell those who wait, once for all that comes within a tick; again for what came meanwhile."""
        try:
            while self.news:
                begun_s = self.loop.time()
                await asyncio.sleep(TICK_S)
                news, self.news = self.news, set()
                self.counts["passes"] += 1
                await self.tell_touched(news)
                self.longest_pass_us = max(self.longest_pass_us, int((self.loop.time() - begun_s) * 1e6))
        finally:
            self.passing = None

    async def tell_touched(self, news: set[Topic]) -> None:
        touched: dict[Caller, None] = {}
        for topic in news:
            touched.update(self.waiting.get(topic, {}))
        end_s = self.loop.time() + SLICE_S
        for caller in touched:
            if self.loop.time() > end_s:
                await asyncio.sleep(0)
                end_s = self.loop.time() + SLICE_S
            ask = caller.ask
            if ask is None:  # it has gone, or was answered meanwhile
                continue
            self.counts["touched"] += 1
            with ending(caller):
                self.find_by(caller, ask.asker)  # the roster may be another
                self.tell_news(caller, ask)

    # For staff

    @property
    def is_ready(self) -> bool:
        return self.feed.ready and self.source.age_ms(now_us()) <= self.limits.stale_ms

    def state(self) -> dict[str, Any]:
        """What `python -m cloverkeel relay show` prints, of this process since its start."""
        source = self.source
        return {
            "name": self.config.name,
            "ready": self.is_ready,
            "version": self.feed.index if self.feed.ready else None,
            "discovery_version": source.index_of_discovery,
            "age_ms": source.age_ms(now_us()) if source.confirmed_us is not None else None,
            "roster": self.feed.roster.digest,
            "hosts": len(self.feed.hosts),
            "services": len(self.feed.services),
            "feed": asdict(self.feed.counts),
            "callers": len(self.callers),
            "waiting": sum(caller.ask is not None for caller in self.callers),
            "wholes_queued": len(self.queue),
            "unsent_bytes": self.unsent,
            "longest_stop_ms": source.longest_stop_us // 1000,
            "longest_pass_ms": self.longest_pass_us // 1000,
            "gaps": source.gaps,
            "longest_gap_ms": source.longest_gap_us // 1000,
            "discovery_failures": source.failures,
            "discovery_rubbish": source.rubbish,
            "last_wrong": source.last_wrong,
        } | self.counts

    def close_all(self) -> None:
        for caller in list(self.callers):
            caller.abort()
        log(f"relay ends; {json.dumps(self.counts)}")
