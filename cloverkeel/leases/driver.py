"""Carries out the duties of this gateway: datagrams, timers, and what the module is told. Nothing is decided here.

Bounds: SENDS_MOST datagrams in a LOOK_S, what is beyond is lost like any datagram.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter as Tallies
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from cloverkeel.core.clock import now_us
from cloverkeel.core.config import Config
from cloverkeel.core.datagrams import Datagrams
from cloverkeel.core.gateway import Gateway
from cloverkeel.core.log import log
from cloverkeel.core.options import Duties
from cloverkeel.leases.acceptor import Acceptor
from cloverkeel.leases.slow_start_quotas import Colds
from cloverkeel.leases.ballots import Counter
from cloverkeel.leases.lease import Terms
from cloverkeel.leases.messages import MAGIC, Act, Hello, Message, decode, encode
from cloverkeel.leases.manager import Office
from cloverkeel.leases.zookeeper_lease import Answer
from cloverkeel.leases.probe_election import Outs
from cloverkeel.leases.slow_start_budget import LEND_US

if TYPE_CHECKING:
    from cloverkeel.leases.zookeeper_driver import DutyNodes

LOOK_S: Final = 0.1  # between two looks at what the module needs
SENDS_MOST: Final = 400  # datagrams between two looks
SAID_US: Final = 60_000_000  # between lines of the log about datagrams that were dropped


class Room:
    """One part of those that speak to other gateways."""

    def __init__(
        self, config: Config, options: Duties, gateway: Gateway, datagrams: Datagrams,
        clock: Callable[[], int] = now_us,
    ) -> None:  # fmt: skip
        """`clock`: microseconds, read anew for each thing that is done; of the program's form (core/clock.py)."""
        self.clock = clock
        self.datagrams = datagrams
        self.peers = config.peers
        self.warden = options.warden
        self.gateway = gateway
        self.loop = asyncio.get_running_loop()
        self.number = config.settings.proxy
        nonce = random.SystemRandom().getrandbits(32)
        self.terms = Terms(options.voters, options.lease_ms * 1000)
        self.colds = Colds(gateway.cold_share)
        counter = Counter(self.number, nonce)
        dice = random.Random(nonce)
        self.office = Office(self.number, len(config.peers), self.terms, log, dice.random, counter, None, nonce)
        self.trier = options.trier
        self.outs = Outs(config.settings.zone, gateway.hold_trials)
        self.nodes: DutyNodes | None = None
        if options.store == "ephemeral":
            # Imported here alone: kazoo and its threads cost memory.
            from cloverkeel.leases.zookeeper_driver import DutyNodes

            self.office.by_service = True
            self.nodes = DutyNodes(
                options.hosts, options.path, options.lease_ms, self.number, nonce, self.on_service, self.on_lost
            )
        self.timer: asyncio.TimerHandle | None = None
        self.looker: asyncio.TimerHandle | None = None
        self.sends = 0
        self.lost = 0  # datagrams beyond SENDS_MOST
        self.dropped: Tallies[str] = Tallies()
        self.said_us = 0
        self.closed = False

    def start(self) -> None:
        """Begin alone; as a voter, and a holder, once the socket is there."""
        if self.number in range(len(self.peers)) and (self.nodes or len(self.peers) >= self.terms.majority):
            # What a process before this one has lent may still be out.
            if self.warden:
                self.gateway.cold_share(-1, 0, self.clock() + LEND_US, 0.0, 0)
            self.gateway.after_gap.append(self.on_gap)
            if self.nodes is not None:
                self.nodes.start()
            self.datagrams.join(MAGIC, self)
        else:
            log(f"duties: {len(self.peers)} gateways are too few for {self.terms.voters} voters: off")

    def opened(self) -> None:
        """The socket is there."""
        at_us = self.clock()
        office = self.office
        if self.number < self.terms.voters and self.nodes is None:
            # From now on: it has heard nothing that was said before.
            silent_us = self.terms.silent_us
            office.acceptor = Acceptor(at_us, silent_us, self.terms.length_us, office.counter)
        for number in range(min(self.terms.voters, len(self.peers))):
            if number != self.number:
                office.out.append((number, Hello(1)))
        self.look()

    def leave(self) -> None:
        """The way out has begun: what is held is handed on, and nothing more is asked for."""
        self.office.keep_off(self.clock(), True)
        self.work()

    def close(self) -> None:
        """Leave nothing held: who comes next need not wait."""
        self.closed = True
        for handle in (self.timer, self.looker):
            if handle is not None:
                handle.cancel()
        self.office.end(self.clock())
        self.flush()
        if self.nodes is not None:
            self.nodes.close()

    # Time

    def look(self) -> None:
        self.looker = self.loop.call_later(LOOK_S, self.look)  # first: nothing below may end it
        self.sends = 0
        at_us = self.clock()
        if self.warden:
            self.colds.look(at_us, self.gateway.balancer.slow_start_demands(at_us), self.office)
        if self.trier:
            self.outs.look(at_us, self.gateway.balancer.ejected_servers(at_us), self.office)
        self.work()
        counts, held = self.office.counts, len(self.colds.wardens) + len(self.outs.held)
        if counts.began or self.colds.lent or self.colds.taken or self.outs.held_back:
            self.gateway.tally.duties = [
                held, counts.began, counts.lost, self.colds.lent, self.colds.taken, self.outs.held_back,
            ]  # fmt: skip

    def on_gap(self, at_us: int, stall_us: int) -> None:
        """This process stood still: what it held may be another's."""
        if self.looker is not None:
            self.office.stood_still(at_us)
            self.work()

    def on_timer(self) -> None:
        self.timer = None
        self.work()

    def work(self) -> None:
        """Do what is due, send what is to be sent, and set the timer."""
        at_us = self.clock()
        self.office.tick(at_us)
        self.flush()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        wait_us = self.office.next_due() - self.clock()
        if wait_us < LOOK_S * 1e6 and not self.closed:  # else the next look finds it
            self.timer = self.loop.call_later(max(0.001, wait_us / 1e6), self.on_timer)

    # Datagrams

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        found = decode(data)
        if found is None:
            self.drop("unreadable")
            return
        head, message = found
        if not self.datagrams.is_of(head.number, addr):
            self.drop("unlisted")
            return
        if head.voters != self.terms.voters:
            self.drop("another number of voters")
            return
        self.office.receive(self.clock(), head, message)
        self.work()

    def drop(self, why: str) -> None:
        self.dropped[why] += 1
        at_us = self.clock()
        if at_us - self.said_us > SAID_US:
            self.said_us = at_us
            log(f"duties: datagrams dropped so far: {dict(self.dropped)}")

    def on_service(self, duty: int, answer: Answer) -> None:
        if not self.closed:
            self.office.on_service(self.clock(), duty, answer)
            self.work()

    def on_lost(self) -> None:
        """The session is lost, and all that was held by it."""
        if not self.closed:
            self.office.on_session_lost(self.clock())
            self.work()

    def flush(self) -> None:
        asks, self.office.asks = self.office.asks, []
        for ask in asks:
            if self.nodes is not None:
                self.nodes.ask(ask.duty, ask.what, ask.round)
        for number, message in self.office.take_out():
            if number == self.number:
                self.loop.call_soon(self.receive_own, message)
            elif 0 <= number < len(self.peers):
                self.send(number, message)

    def receive_own(self, message: Message) -> None:
        """A voter asks itself too."""
        if not self.closed:
            self.office.receive(self.clock(), self.office.head(), message)
            self.work()

    def send(self, number: int, message: Message) -> None:
        if self.sends >= SENDS_MOST:
            self.lost += 1
            return
        self.sends += 1
        data = encode(self.office.head(), message)
        if isinstance(message, Act) and not self.office.may_act(self.clock(), message.duty):
            # Guards against a stall since it was worded. What a stall after this line lets out is one datagram, and
            # the fence of whoever has heard of a newer epoch refuses it.
            self.dropped["act too late"] += 1
            return
        if not self.datagrams.send(number, data):
            self.lost += 1
            return
        self.office.counts.sent += 1
        self.office.counts.sent_bytes += len(data)

    # Staff

    def call(self, line: bytes) -> tuple[bool, str] | None:
        """DUTIES, HANDON NAME, KEEPOFF and KEEPON; None for any other line."""
        word, _, argument = line.strip(b"\r\n").partition(b" ")
        at_us = self.clock()
        if word == b"DUTIES" and not argument:
            return True, json.dumps(self.shown(at_us), separators=(",", ":"))
        if word in (b"KEEPOFF", b"KEEPON") and not argument:
            self.office.keep_off(at_us, word == b"KEEPOFF")
            self.work()
            return True, "it holds no duty" if word == b"KEEPOFF" else "it may hold duties"
        if word == b"HANDON" and argument:
            need = next((n for n in self.office.needs.values() if n.name.encode() == argument), None)
            if need is None or not self.office.hand_on(at_us, need):
                return False, "that duty is not held here"
            self.work()
            return True, f"handed on to gateway {need.lease.successor}"
        return None

    def shown(self, at_us: int) -> dict[str, object]:
        counts = self.office.counts
        return {
            "gateway": self.number, "voter": self.office.acceptor is not None, "kept_off": self.office.kept_off,
            "duties": self.office.shown(at_us), "colds": self.colds.shown(at_us),
            "outs": self.outs.shown(at_us), "held_back": self.outs.held_back,
            "sent": counts.sent, "sent_bytes": counts.sent_bytes, "came": counts.came, "began": counts.began,
            "lost": counts.lost, "old_acts": self.office.fence.refused, "dropped": dict(self.dropped),
            "lent": self.colds.lent, "taken": self.colds.taken, "not_sent": self.lost,
        }  # fmt: skip
