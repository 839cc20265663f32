"""The list of hosts over HTTP: the one call that is out, its connection, what came. watch.py says what is asked.

A long answer is read by steps: between two of them, SLICE_S apart, the loop has its turns. Invariants of that:
- one call is out at a time: until an answer is read to its end, nothing else is asked;
- nothing of an answer is told before all of it was read and found fit, and all that it tells is told in one step;
- an answer is never told once something has taken its call's place: another call, a move, the end. Its reading ends;
- who catches up after a gap waits for what is being read, and then it is read without turns: nothing is sent before;
- bounded: LIST_LIMIT bytes, packed or not; READ_S after it has come, the rest of an answer is read in one piece. That
  is no part of the time in which the answer has to come (watch.py), and changes none of its sums by more.
"""

from __future__ import annotations

import asyncio
import json
import random
import select
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Generator
from functools import lru_cache
from typing import Any, Final, TypeVar, cast

from cloverkeel.balancing.events import ListKind, ListedServer, ServerStatus

from cloverkeel.core.config import Address, Names, parse_address, stable_id
from cloverkeel.core.incremental_json import decode
from cloverkeel.core.log import log
from cloverkeel.core.messages import Reply
from cloverkeel.core.ports import Endpoint, OnEndpointList
from cloverkeel.discovery.poll_schedule import CONNECT_S, READ_S, REST_S, Query, Watch
from cloverkeel.protocols.http1 import ReplyError, ReplyReader

Made = TypeVar("Made")
Steps = Generator[bool | None, None, Made]  # work in steps, and what it makes; True: the next is a long one

LIST_LIMIT = 16 * 1024 * 1024
LONG: Final = 64 << 10  # bytes: an answer of no more is read in one piece; 200 hosts are some 33 KB
SLICE_S: Final = 0.00025  # of reading a longer one, before the loop has its turns
PARSED: Final = 8  # entries in a step: some 0.1 ms
STATUSES = {
    "SERVING": ServerStatus.READY,
    "DRAINING": ServerStatus.DRAINING,
    "DELETED": ServerStatus.GONE,
}


class CallError(Exception):
    """A call to discovery has failed."""


def parse_entry(raw: dict[str, Any], names: Names) -> Endpoint:
    name = raw["name"]
    if not isinstance(name, str) or not name:
        raise ValueError("no name")
    zone, kind, group = raw.get("zone", ""), raw.get("type", ""), raw.get("group", 0)
    users = raw.get("users", 0)  # from a relay: how many gateways have this host; an odd one is as none
    return Endpoint(
        name,
        parse_address(raw["address"], "address"),
        ListedServer(
            server=stable_id(name, 4),
            status=STATUSES[raw["status"]],
            weight=_weight(raw.get("weight", 1.0)),
            zone=number_of(zone, names.zones),
            group=group if isinstance(group, int) else stable_id(str(group), 4),
            kind=number_of(kind, names.kinds),
            started_us=int(raw.get("since_ms") or 0) * 1000,
            users=users if isinstance(users, int) and not isinstance(users, bool) and users >= 1 else 0,
        ),
    )


def leaving_of(raw: object) -> Endpoint | None:
    """Of an entry that cannot be used otherwise: a host that leaves is known to, whatever else is said of it.

    Guards against a host that is used for good, as the one word on its end had no address or an odd weight.
    """
    name, status = (raw.get("name"), raw.get("status")) if isinstance(raw, dict) else (None, None)
    if not isinstance(name, str) or not name or status not in ("DRAINING", "DELETED"):
        return None
    return Endpoint(name, ("", 0), ListedServer(stable_id(name, 4), ServerStatus.GONE))


def _weight(value: object) -> float:
    weight = float(value)  # type: ignore[arg-type]
    if not 0.0 < weight < 1e9:
        raise ValueError("weight is out of range")
    return weight


def number_of(name: object, known: dict[str, int]) -> int:
    """The place in the settings; a name that is not there gets a number beyond them, the same everywhere.

    What is a number is one already.
    """
    if isinstance(name, int):
        return name
    number = known.get(str(name))
    return number if number is not None else len(known) + _number_beyond(str(name))


@lru_cache(maxsize=1024)
def _number_beyond(name: str) -> int:
    """Many entries have the same few names, and the hash is a tenth of reading one."""
    return stable_id(name, 4)


def finished(steps: Steps[Made]) -> Made:
    """All of the steps at one go."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return cast(Made, stop.value)


def parse_list(raw: object, names: Names) -> tuple[int, bool, list[Endpoint]]:
    """A list in discovery's form: its version, whether it is whole, and the entries that can be used."""
    return finished(parse_steps(raw, names))


def parse_steps(raw: object, names: Names) -> Steps[tuple[int, bool, list[Endpoint]]]:
    """As parse_list, by steps."""
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints", []), list):
        raise ValueError("not a list of hosts")
    entries: dict[int, Endpoint] = {}
    for count, item in enumerate(raw.get("endpoints", [])):
        if count % PARSED == 0:
            yield None
        try:
            entry = parse_entry(item, names)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            leaving = leaving_of(item)
            said = "is skipped" if leaving is None else "is taken for one that is gone"
            log(f"an entry of the list of hosts {said} ({error!r}): {str(item)[:200]}")
            if leaving is None:
                continue
            entry = leaving
        other = entries.get(entry.listed.server)
        if other is not None and other.name != entry.name:
            log(f"{entry.name} is skipped: its number is that of {other.name}")
            continue
        entries[entry.listed.server] = entry
    return int(raw["index"]), bool(raw.get("snapshot", False)), list(entries.values())


CATCH_UP_S, CATCH_UP_TURNS, HASTY_TURNS = 0.5, 100, 20  # for an answer that has begun to come
FRESH_US = 2_000_000  # a gap of the process after which what a watch had to tell may have gone by


class Line(asyncio.Protocol):
    """The connection to discovery: one call at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.replies = ReplyReader(LIST_LIMIT)
        self.answer: asyncio.Future[Reply] | None = None
        self.poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)

    @property
    def has_unread(self) -> bool:
        """Whether something has come, or part of it, that nobody has been told yet."""
        if self.transport is None or self.transport.is_closing():
            return False
        come = self.answer is not None and self.answer.done()
        return come or self.replies.has_begun or bool(self.poll.poll(0))

    def data_received(self, data: bytes) -> None:
        try:
            reply = self.replies.feed(data)
        except ReplyError as error:
            self.fail(str(error))
            return
        if reply is not None and self.answer is not None and not self.answer.done():
            self.answer.set_result(reply)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.fail("the connection ended")

    def fail(self, why: str) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(CallError(why))
        self.close()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    @property
    def is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    async def ask(self, head: bytes) -> Reply:
        if self.transport is None or not self.is_open:
            raise CallError("the connection has ended")
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(head)
        try:
            return await self.answer
        finally:
            self.answer = None


class Caller(ABC):
    """Asks for the list when told to; who derives from it says what is asked, and what is made of an answer.

    One task at a time asks, over one connection: what it is told is always newer than what was told before.
    """

    long: int = LONG
    slice_s: float = SLICE_S
    read_s: float = READ_S

    def __init__(self, address: Address, pushed: bool) -> None:
        self.pushed = pushed  # nobody asks for changes: they are watched for from the start, whatever fails
        self.address = address
        self.plan = Watch()
        self.closed = False
        self.task: asyncio.Task[None] | None = None  # the one that asks
        self.watches = False  # it goes on after an answer
        self.retry: asyncio.TimerHandle | None = None
        self.catching: asyncio.Task[None] | None = None
        self.line: Line | None = None
        self.answers = 0
        self.taking = False  # an answer that has come is being read

    # The seams

    def where(self) -> Address:
        """Who is asked on the next connection."""
        return self.address

    def target(self, query: Query) -> bytes:
        """What is asked for, in full."""
        return query.target

    def accepts(self) -> bytes:
        """What the call says of the answers that it can take: lines of its head."""
        return b""

    def unpack(self, reply: Reply) -> Steps[bytes]:
        """The body of a 200 as it was before it was coded for its way."""
        yield from ()
        return reply.body

    @abstractmethod
    def hear(self, body: bytes) -> Steps[bool]:
        """Hear an answer, by steps, and tell `plan` of it; returns whether it had any entry.

        Whatever it raises is a call that failed. It may be closed at any step, and nothing has been told then.
        """

    @abstractmethod
    def failed(self) -> None:
        """A call has failed; nothing asks now, and this may begin to."""

    # Reading an answer

    def read(self, body: bytes) -> Steps[Any]:
        """The JSON of it."""
        return (yield from decode(body)) if len(body) > self.long else json.loads(body)

    def take(self, body: bytes) -> bool:
        """Hear an answer at one go."""
        return finished(self.hear(body))

    async def take_in(self, reply: Reply) -> bool:
        """Hear an answer; between the steps of a long one the loop has its turns."""
        until_s = time.monotonic() + self.read_s
        self.taking = True
        try:
            body = await self._in_turns(self.unpack(reply), until_s)
            return self.take(body) if len(body) <= self.long else await self._in_turns(self.hear(body), until_s)
        finally:
            self.taking = False

    async def _in_turns(self, steps: Steps[Made], until_s: float) -> Made:
        slice_s = time.monotonic() + self.slice_s
        try:
            while True:
                try:
                    is_long = next(steps)
                except StopIteration as stop:
                    return cast(Made, stop.value)
                now_s = time.monotonic()
                if (is_long or now_s > slice_s) and now_s < until_s and not self.catches_up:
                    await asyncio.sleep(0)
                    slice_s = time.monotonic() + self.slice_s
        finally:
            steps.close()

    # When to ask

    def watch(self, on: bool) -> None:
        """Begin to watch, or stop; a watch that is on goes on as it is."""
        if on and not self.watches:
            self.begin(watches=True)
        elif not on and self.watches:
            self.stop()

    def move(self, address: Address) -> None:
        """Ask at another address from now on; nothing that the old one may still say is heard."""
        self.address = address
        self.plan.begin_anew()
        self.begin(watches=True)

    def fetch(self) -> None:
        """Ask for the whole list; a watch goes on from it."""
        self.plan.ask_whole()
        self.begin(self.watches)

    def begin(self, watches: bool) -> None:
        """Ask anew, on a new connection, in the place of whatever asks now."""
        self.stop()
        if not self.closed:
            self.watches = watches
            self.task = asyncio.get_running_loop().create_task(self._ask_on())

    def stop(self) -> None:
        self.watches = False
        if self.task is not None:
            self.task.cancel()
        if self.retry is not None:
            self.retry.cancel()
        if self.line is not None:
            self.line.close()
        self.task = self.retry = self.line = None

    def close(self) -> None:
        self.closed = True
        self.stop()
        if self.catching is not None:
            self.catching.cancel()
            self.catching = None

    # After a gap

    @property
    def catches_up(self) -> bool:
        return self.catching is not None and not self.catching.done()

    def catch_up(self, stall_us: int, done: Callable[[], None]) -> None:
        """Tell what has come meanwhile; then, where a change may have gone by untold, what a call answers now."""
        if self.closed:
            done()
            return
        catching = self._catch_up(stall_us, self.answers, done)
        self.catching = asyncio.get_running_loop().create_task(catching)

    async def _catch_up(self, stall_us: int, before: int, done: Callable[[], None]) -> None:
        """`before`: the answers that had been told when the gap was noticed, and not when this gets its turn."""
        try:
            line, turns = self.line, 0
            while self._has_unread(line) and turns < CATCH_UP_TURNS:
                turns += 1
                # The loop reads in between; where only part of an answer has come, it need not hurry.
                await asyncio.sleep(0 if turns < HASTY_TURNS else CATCH_UP_S / CATCH_UP_TURNS)
            is_watching = line is not None and self.line is line and line.answer is not None
            if stall_us >= FRESH_US and (self.answers != before or not is_watching):
                self.begin(watches=True)
                asked, task = self.answers, self.task
                while self.answers == asked and self.task is task:
                    await asyncio.sleep(CATCH_UP_S / CATCH_UP_TURNS)
        finally:
            done()

    def _has_unread(self, line: Line | None) -> bool:
        """Whether something has come on this connection, or part of it, that was not told yet."""
        return line is not None and self.line is line and (self.taking or line.has_unread)

    # The one that asks

    async def _ask_on(self) -> None:
        """Ask until a call fails; a failure is told, and the module or a timer has it asked again."""
        me = asyncio.current_task()
        try:
            while self.task is me:
                await self._ask_once()
                if not self.watches:
                    break
        except Exception as error:
            # Whatever it is: a call that ends without a word would never be made again.
            if self.task is me:
                self._on_failure(error)
        else:
            if self.task is me:
                self.task = None
                self.stop()

    def _on_failure(self, error: Exception) -> None:
        log(f"discovery: {str(error) or type(error).__name__}")
        self.plan.on_failure()
        self.task = None  # this one is over; and the module may ask again while it hears of this
        self.stop()
        self.failed()
        if self.pushed and self.task is None and not self.closed:
            wait_s = self.plan.retry_s(random.random())
            self.retry = asyncio.get_running_loop().call_later(wait_s, self.watch, True)

    async def _ask_once(self) -> None:
        loop = asyncio.get_running_loop()
        line = self.line
        if line is None or not line.is_open:
            async with asyncio.timeout(CONNECT_S):
                _, line = await loop.create_connection(Line, *self.where())
            self.line = line
            self.plan.connected()
        query = self.plan.next_query(loop.time())
        host, port = self.where()
        target, accepts = self.target(query), self.accepts()
        head = b"GET %s HTTP/1.1\r\nHost: %s:%d\r\n%s\r\n" % (target, host.encode(), port, accepts)
        asked_s = loop.time()
        async with asyncio.timeout(query.limit_s):
            reply = await line.ask(head)
        if reply.status != 200:
            raise CallError(f"answered {reply.status}")
        if not reply.keep_alive:
            line.close()
        has_entries = await self.take_in(reply)
        self.answers += 1  # after it was told: the core may notice a gap in that, and this answer is of the gap
        if not has_entries and query.holds and loop.time() - asked_s < REST_S:
            await asyncio.sleep(REST_S)  # guards against asking without end who answers at once, with nothing


class Discovery(Caller):
    """The gateway's: tells `on_list` what came; failures too."""

    def __init__(self, address: Address, names: Names, pushed: bool) -> None:
        super().__init__(address, pushed)
        self.names = names
        self.on_list: OnEndpointList = lambda kind, entries: None  # the core's, once it is there

    def set_listener(self, on_list: OnEndpointList) -> None:
        self.on_list = on_list

    def load_known(self, raw: dict[str, Any]) -> None:
        """Begin with the list that this gateway had before it was restarted."""
        entries: list[Endpoint] = []
        try:
            self.plan.index, _, entries = parse_list(raw, self.names)
        except (KeyError, TypeError, ValueError) as error:
            if raw:
                log(f"the list known from before cannot be used: {error!r}")
        self.on_list(ListKind.DISK, entries)
        if self.pushed:
            self.watch(True)

    def hear(self, body: bytes) -> Steps[bool]:
        raw = yield from self.read(body)
        index, whole, entries = yield from parse_steps(raw, self.names)
        yield True  # all of it is told in one step
        if self.plan.on_answer(asyncio.get_running_loop().time(), index, whole):
            self.on_list(ListKind.FULL if whole else ListKind.DELTA, entries)
        return bool(entries)

    def failed(self) -> None:
        self.on_list(ListKind.ERROR, [])
