"""Carries out what this gateway shares: datagrams, timers, outcomes, what the module hears. Nothing is decided here.

Bounds: the bucket of rumours.py for what is said; one timer.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter as Tallies
from collections.abc import Callable
from typing import Final

from cloverkeel.balancing.events import Outcome

from cloverkeel.core.clock import now_us
from cloverkeel.core.config import Config
from cloverkeel.core.datagrams import Datagrams
from cloverkeel.core.gateway import Gateway
from cloverkeel.core.log import log
from cloverkeel.gossip.outlier_reports import Host, Weighed, stamp_of
from cloverkeel.gossip.node import Exchange
from cloverkeel.gossip.messages import MAGIC, MASK32, decode
from cloverkeel.gossip.retry_tokens import CAP, LEAST

LOOK_S: Final = 0.1  # between two looks for hosts that are silent
WAIT_LEAST_S: Final = 0.005  # of a timer
SAID_US: Final = 60_000_000  # between lines of the log about datagrams that were dropped
BEGIN_US: Final = 1_767_225_600_000_000  # 2026-01-01
INCARNATION_US: Final = 125_000
# What an end of an attempt says of its host. Full: it is crowded, and answers. Cancelled and moot: nothing.
TELLS: Final = {
    Outcome.OK: True, Outcome.ERROR: False, Outcome.TIMEOUT: False, Outcome.CONNECT_FAILED: False,
    Outcome.RESET: False,
}  # fmt: skip


class Room:
    """One part of those that speak to other gateways."""

    def __init__(
        self, config: Config, gateway: Gateway, datagrams: Datagrams, clock: Callable[[], int] = now_us
    ) -> None:
        """`clock`: microseconds, of the program's form (core/clock.py)."""
        self.clock = clock
        self.gateway, self.datagrams = gateway, datagrams
        self.loop = asyncio.get_running_loop()
        self.count = len(config.peers)
        self.number = config.settings.proxy
        incarnation = max(1, (clock() - BEGIN_US) // INCARNATION_US & MASK32)
        dice = random.Random(random.SystemRandom().getrandbits(64))
        self.exchange = Exchange(
            self.number, self.count, config.settings.zone, incarnation, dice.random, self.on_heard, self
        )  # fmt: skip
        self.dropped: Tallies[str] = Tallies()
        self.said_us = 0
        self.timer: asyncio.TimerHandle | None = None
        self.looker: asyncio.TimerHandle | None = None
        self.soon = False  # work is to be done in this turn of the loop
        self.silent: set[Host] = set()

    def start(self) -> None:
        if self.count < 2 or self.number >= self.count:
            log(f"sharing: {self.count} gateways are too few: off")
            return
        # It begins with none: a process before this one may have spent its own a moment ago. From now on, not from
        # when the socket is there: while its gateway is replaced that may be long.
        self.gateway.retry_rights(CAP, -self.gateway.balancer.retry_token_state(self.clock())[0])
        self.datagrams.join(MAGIC, self)

    def opened(self) -> None:
        """The socket is there."""
        self.exchange.begin(self.clock())
        self.gateway.after_gap.append(self.on_gap)
        self.gateway.on_outcome = self.on_outcome
        self.look()

    def leave(self) -> None:
        """The way out has begun: it goes on listening, and its going is seen."""

    def close(self) -> None:
        self.gateway.on_outcome = None
        for handle in (self.timer, self.looker):
            if handle is not None:
                handle.cancel()
        self.timer = self.looker = None

    # Time

    def look(self) -> None:
        self.looker = self.loop.call_later(LOOK_S, self.look)  # first: nothing below may end it
        at_us = self.clock()
        tally, counts = self.gateway.tally, self.exchange.counts
        self.exchange.requests = sum(tally.asked) + tally.asked_before
        doubted = sum(known.doubted for known in self.exchange.passed.values())
        tally.sharing = [doubted, counts.first, counts.confirmed, counts.heard, counts.sent, counts.sent_bytes]
        self.note_silences(at_us)
        if self.gateway.balancer.retry_token_state(at_us)[1]:
            self.exchange.want_rights(at_us)
        self.work()

    def note_silences(self, at_us: int) -> None:
        """A host whose oldest attempt is overdue has failed here, once for each time that it falls silent."""
        silent = set()
        for server in self.gateway.balancer.silent_servers(at_us):
            host = self.host_of(server)
            if host is not None:
                silent.add(host)
                if host not in self.silent:
                    self.exchange.note(at_us, host, False)
        self.silent = silent

    def on_gap(self, at_us: int, stall_us: int) -> None:
        self.exchange.stood_still(at_us, stall_us)

    def on_timer(self) -> None:
        self.timer = None
        self.work()

    def work_soon(self) -> None:
        if not self.soon:
            self.soon = True
            self.loop.call_soon(self.work)

    def work(self) -> None:
        """Do what is due, send what is to be sent, and set the timer."""
        self.soon = False
        if self.looker is None:
            return  # closed
        at_us = self.clock()
        self.exchange.tick(at_us)
        for number, data in self.exchange.take_out():
            self.datagrams.send(number, data)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        wait_s = (self.exchange.next_due() - self.clock()) / 1e6
        if wait_s < LOOK_S:  # else the next look finds it
            self.timer = self.loop.call_later(max(WAIT_LEAST_S, wait_s), self.on_timer)

    # Outcomes

    def host_of(self, server: int) -> Host | None:
        started_us = self.gateway.balancer.started_at_us(server)
        return (server, stamp_of(started_us)) if started_us >= 0 else None

    def on_outcome(self, server: int, outcome: Outcome, latency_us: int) -> None:
        good = TELLS.get(outcome)
        host = self.host_of(server)
        if good is None or host is None or (outcome is Outcome.TIMEOUT and host in self.silent):
            return  # a silent one's time-outs were told as one
        at_us = self.clock()
        sent_us = at_us - latency_us if outcome is Outcome.TIMEOUT else 0
        self.exchange.note(at_us, host, good, sent_us)
        if self.exchange.rumours.waiting:
            self.work_soon()

    def on_heard(self, server: int, started: int, known: Weighed) -> None:
        started_us = self.gateway.balancer.started_at_us(server)
        if started_us < 0 or stamp_of(started_us) != started:
            return  # a host of before, or one that this gateway's list does not name
        self.gateway.hearsay(
            server, started_us, known.good, known.bad, known.reporters, known.well, known.until_us
        )  # fmt: skip

    # Tokens for further attempts

    def take(self, most: float) -> float:
        """What is gone from the module, not what it was told to part with."""
        before, wanting = self.gateway.balancer.retry_token_state(self.clock())
        if wanting or before < LEAST:
            return 0.0
        self.gateway.retry_rights(CAP, -min(most, before))
        return max(0.0, before - self.gateway.balancer.retry_token_state(self.clock())[0])

    def put(self, amount: float, until_us: int) -> None:
        self.gateway.retry_rights(CAP, amount, until_us)

    # Datagrams

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        said = decode(data)
        if said is None:
            self.drop("unreadable")
            return
        if not self.datagrams.is_of(said.head.number, addr):
            self.drop("unlisted")
            return
        self.exchange.receive(self.clock(), said)
        self.work_soon()

    def drop(self, why: str) -> None:
        self.dropped[why] += 1
        at_us = self.clock()
        if at_us - self.said_us > SAID_US:
            self.said_us = at_us
            log(f"sharing: datagrams dropped so far: {dict(self.dropped)}")

    # Staff

    def call(self, line: bytes) -> tuple[bool, str] | None:
        """PEERS; None for any other line."""
        if line.strip(b"\r\n") != b"PEERS":
            return None
        shown = self.exchange.shown(self.clock()) | {"dropped": dict(self.dropped)}
        return True, json.dumps(shown, separators=(",", ":"))
