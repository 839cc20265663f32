"""The gateway's side of relays: the one that calls, at whom relays.py says. Imported only where [relays] is set.

It is always on watch, whoever asks it to be, since relays hold calls for news; and it asks at its own pace alone:
where the core wishes for a call between two moves, the next move is that call. Nothing that a relay said after it was
left is heard: its connection is closed, and its call ended, before another is asked. Relays alone are told that
answers may come as gzip: what discovery itself is asked is the same with and without relays.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection
from typing import Any, Final

from cloverkeel.balancing.events import ListKind

from cloverkeel.core.config import Address, Config
from cloverkeel.core.incremental_gzip import unpack
from cloverkeel.core.log import log
from cloverkeel.core.messages import Reply, header
from cloverkeel.core.options import Relays as Options
from cloverkeel.discovery.http_client import LIST_LIMIT, PARSED, CallError, Discovery, Line, Steps, parse_steps
from cloverkeel.discovery.relay_selection import (
    LOOK_S,
    READ_S,
    STATE,
    Belief,
    Relay,
    Relays,
    RelayWatch,
    Width,
    age_in_state,
    age_of,
    named,
    of_those_held,
)
from cloverkeel.discovery.poll_schedule import Query

WIDE_EVERY_S: Final = 1.0  # between looks at which hosts fail: each is a pass over all of them


class RelayedDiscovery(Discovery):
    """As Discovery, but by relays; `address` is discovery's own, for when all of them are lost."""

    long = 8 << 10  # bytes: some 50 hosts
    read_s = READ_S
    plan: RelayWatch

    def __init__(self, config: Config, options: Options) -> None:
        super().__init__(config.discovery, config.names, pushed=True)
        self.gateway, self.services = config.name, options.services
        self.plan = RelayWatch()
        self.gateways = config.settings.proxies
        self.relays = Relays(config.name, options.addresses, self.gateways / options.direct_per_s)
        self.belief = Belief()
        self.width = Width()
        self.outs: Callable[[], int] = lambda: 0  # the core's, once it is there: hosts that do not answer it
        self.looked_s = 0.0
        self.asked_s = 0.0
        self.is_held = False  # the call that is out
        self.looking: asyncio.Task[None] | None = None  # another relay is asked for its list's age
        self.moves = 0

    def where(self) -> Address:
        return self.address if self.relays.at is None else self.relays.at.address

    def target(self, query: Query) -> bytes:
        self.asked_s, self.is_held = asyncio.get_running_loop().time(), query.holds
        if self.relays.at is None:
            return query.target
        return named(query.target, self.gateway, self.services, self.width.wide)

    def accepts(self) -> bytes:
        return b"" if self.relays.at is None else b"Accept-Encoding: gzip\r\n"

    def unpack(self, reply: Reply) -> Steps[bytes]:
        coding = header(reply.headers, b"content-encoding")
        if coding is None or self.relays.at is None:
            return reply.body
        if coding.lower() != b"gzip":
            raise CallError(f"expected gzip or no coding, found {coding[:40]!r}")
        try:
            return (yield from unpack(reply.body, LIST_LIMIT))
        except ValueError as error:
            raise CallError(str(error)) from None

    # Whom to ask

    def begin(self, watches: bool) -> None:
        if self.retry is not None:
            return  # between two moves
        if self.relays.at is None:
            self._turn()
        else:
            super().begin(watches=True)

    def move(self, address: Address) -> None:
        self.address = address  # for the next call to discovery itself; one that is out there ends in its time

    def use(self, options: Options) -> None:
        """Other relays, or other services, from the next call on; a relay that is none any more is left at once."""
        self.services = options.services
        now_s, every_s = asyncio.get_running_loop().time(), self.gateways / options.direct_per_s
        wait_s = self.relays.replace(now_s, self.gateway, options.addresses, every_s, random.random())
        if wait_s is not None and self.retry is None:
            self._leave(wait_s)

    def _turn(self) -> None:
        """Ask anew, at whom it is the turn of."""
        self.retry = None
        at = self.relays.choose(asyncio.get_running_loop().time())
        self.moves += 1
        self.plan.begin_anew()
        self.plan.is_direct, self.plan.late_s = at is None, self.relays.late_s()
        self.belief.begin_anew()
        super().begin(watches=True)

    def _leave(self, wait_s: float) -> None:
        self.stop()
        if not self.closed:
            self.retry = asyncio.get_running_loop().call_later(wait_s, self._turn)

    def _on_failure(self, error: Exception) -> None:
        host, port = self.where()
        who = "discovery" if self.relays.at is None else "the relay"
        log(f"{who} at {host}:{port}: {str(error) or type(error).__name__}; another is asked, and the list stands")
        now_s = asyncio.get_running_loop().time()
        self.task = None
        self._leave(self.relays.on_failure(now_s, isinstance(error, TimeoutError), random.random()))
        self.failed()

    # Looking at the others

    def close(self) -> None:
        super().close()
        if self.looking is not None:
            self.looking.cancel()

    def _look(self, age_s: float) -> None:
        if self.looking is None or self.looking.done():
            relay = self.relays.look(age_s)
            if relay is not None:
                self.looking = asyncio.get_running_loop().create_task(self._look_at(relay))

    async def _look_at(self, relay: Relay) -> None:
        loop = asyncio.get_running_loop()
        line: Line | None = None
        asked_s, age_s = loop.time(), None
        host, port = relay.address
        try:
            async with asyncio.timeout(LOOK_S):
                _, line = await loop.create_connection(Line, host, port)
                reply = await line.ask(b"GET %s HTTP/1.1\r\nHost: %s:%d\r\n\r\n" % (STATE, host.encode(), port))
            if reply.status == 200:
                age_s = age_in_state(reply.body)
        except (OSError, CallError, ValueError):
            pass  # its age is not known, which is what a failure says too
        finally:
            if line is not None:
                line.close()
        self.relays.on_look(relay, asked_s, age_s)

    # What comes

    def hear(self, body: bytes) -> Steps[bool]:
        raw = yield from self.read(body)
        if not isinstance(raw, dict):
            raise CallError("no list of hosts")
        is_direct, age_s = self.relays.at is None, age_of(raw)
        if is_direct and self.services and isinstance(raw.get("endpoints"), list):
            raw["endpoints"] = yield from _of_services(raw["endpoints"], self.services)
        index, whole, entries = yield from parse_steps(raw, self.names)
        yield True  # all of it is told in one step
        now_s = asyncio.get_running_loop().time()
        if whole and not entries and raw.get("endpoints"):
            raise CallError("a whole list without one entry that can be used")
        if self.plan.on_answer(now_s, index, whole):
            if is_direct and whole and self.belief.held:
                entries = of_those_held(self.belief.held, entries)
            kind, told, asks_whole = self.belief.take(now_s, self.asked_s, age_s, whole, entries)
            if asks_whole:
                self.plan.ask_whole()
            if told or kind is ListKind.FULL:
                self.on_list(kind, told)
        if self.closed:
            return True
        wait_s = self.relays.on_answer(now_s, self.asked_s, age_s, self.is_held, random.random())
        if wait_s is not None:
            self._leave(wait_s)
        else:
            self._look(age_s)
        if wait_s is None and now_s - self.looked_s >= WIDE_EVERY_S:
            self.looked_s = now_s
            self.width.step(now_s, self.outs(), self.belief.serving())
        return bool(entries)


def _of_services(items: list[Any], services: Collection[str]) -> Steps[list[Any]]:
    """`services` as they were when the list came: others may be asked for meanwhile."""
    chosen: list[Any] = []
    for begin in range(0, len(items), PARSED):
        yield None
        some = items[begin : begin + PARSED]
        chosen += [entry for entry in some if isinstance(entry, dict) and entry.get("service", "") in services]
    return chosen
