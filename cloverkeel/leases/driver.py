"""I/O of the leases: datagrams, timers, and the exchange with the balancer. Contains no decisions about leases.

At most MAX_SENDS_PER_POLL datagrams are sent per POLL_INTERVAL_S; further ones are dropped, which the protocol treats
like any lost datagram.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from cloverkeel.core.clock import now_us
from cloverkeel.core.config import Config
from cloverkeel.core.datagrams import PeerSocket
from cloverkeel.core.gateway import Gateway
from cloverkeel.core.log import log
from cloverkeel.core.options import LeaseOptions, LeaseStore
from cloverkeel.leases.acceptor import Acceptor
from cloverkeel.leases.ballots import BallotClock
from cloverkeel.leases.lease_config import LeaseConfig
from cloverkeel.leases.manager import LeaseManager
from cloverkeel.leases.messages import MAGIC, Hello, LeaderReply, Message, decode, encode
from cloverkeel.leases.probe_election import ProbeElection
from cloverkeel.leases.process import ProcessId
from cloverkeel.leases.slow_start_budget import LOAN_US
from cloverkeel.leases.slow_start_quotas import SlowStartBudgets
from cloverkeel.leases.zookeeper_lease import NodeResponse

if TYPE_CHECKING:
    from cloverkeel.leases.zookeeper_driver import LeaseNodeClient

POLL_INTERVAL_S: Final = 0.1  # between two polls of the balancer's demands
MIN_TIMER_S: Final = 0.001
MAX_SENDS_PER_POLL: Final = 400
DROP_LOG_INTERVAL_US: Final = 60_000_000  # between log lines about dropped datagrams


class LeaseDriver:
    """Runs the leases of this gateway, as one of the protocols on the socket shared with other gateways."""

    def __init__(
        self, config: Config, options: LeaseOptions, gateway: Gateway, datagrams: PeerSocket,
        clock: Callable[[], int] = now_us,
    ) -> None:  # fmt: skip
        """Initialize without starting; `clock` returns microseconds (core/clock.py) and is read for each event."""
        self.clock = clock
        self.datagrams = datagrams
        self.peers = config.peers
        self.gateway = gateway
        self.loop = asyncio.get_running_loop()
        self.number = config.settings.proxy
        self.config = LeaseConfig(options.voters, options.lease_ms * 1000)
        self.moves_quotas = options.has_budget_leader
        self.elects_probers = options.has_prober
        self.budgets = SlowStartBudgets(gateway.set_slow_start_quota)
        self.probes = ProbeElection(config.settings.zone, gateway.suspend_probes)
        nonce = random.SystemRandom().getrandbits(32)
        rng = random.Random(nonce)
        process = ProcessId(self.number, nonce)
        ballot_clock = BallotClock(self.number, nonce)
        self.manager = LeaseManager(process, len(config.peers), self.config, log, rng.random, ballot_clock)
        self.node_client: LeaseNodeClient | None = None
        if options.store is LeaseStore.ZOOKEEPER:
            self.node_client = self.make_node_client(options, process)
            self.manager.uses_zookeeper = True
        self.timer: asyncio.TimerHandle | None = None
        self.poll_timer: asyncio.TimerHandle | None = None
        self.sends_since_poll = 0
        self.unsent = 0  # datagrams in excess of MAX_SENDS_PER_POLL, or that the socket did not take
        self.dropped: Counter[str] = Counter()  # received datagrams and late replies, by reason
        self.drops_logged_us = 0
        self.is_closed = False

    def make_node_client(self, options: LeaseOptions, process: ProcessId) -> LeaseNodeClient:
        """Return the client of the coordination service; imported only here, as kazoo and its threads cost memory."""
        from cloverkeel.leases.zookeeper_driver import LeaseNodeClient

        return LeaseNodeClient(options, process, self.on_node_response, self.on_session_lost)

    # Lifecycle

    def start(self) -> None:
        """Start the leases; voting and proposing begin when the socket is open."""
        is_listed = self.number in range(len(self.peers))
        if not is_listed or not (self.node_client or len(self.peers) >= self.config.quorum):
            log(f"leases: off, too few gateways, gateways={len(self.peers)}, voters={self.config.voters}")
            return
        if self.moves_quotas:
            # The former process of this gateway may have lent the quota shortly before its end.
            self.gateway.set_slow_start_quota(-1, 0, self.clock() + LOAN_US, 0.0, 0)
        self.gateway.stall_listeners.append(self.on_stall)
        if self.node_client is not None:
            self.node_client.start()
        self.datagrams.register(MAGIC, self)

    def on_socket_open(self) -> None:
        """Start to vote and to request leases: the socket is open."""
        at_us = self.clock()
        if self.number < self.config.voters and self.node_client is None:
            # The quarantine counts from now on: datagrams sent to a former process were not received.
            self.manager.acceptor = Acceptor(at_us, self.config, self.manager.ballot_clock)
        for voter in range(min(self.config.voters, len(self.peers))):
            if voter != self.number:
                self.manager.outbox.send(voter, Hello(1))
        self.poll_balancer()

    def leave(self) -> None:
        """Hand over all held leases and request no more: the shutdown has begun."""
        self.manager.set_excluded(self.clock(), True)
        self.run_due()

    def close(self) -> None:
        """Release all held leases, so that the next holder does not have to wait until they expire."""
        self.is_closed = True
        for handle in (self.timer, self.poll_timer):
            if handle is not None:
                handle.cancel()
        self.manager.release_all(self.clock())
        self.flush()
        if self.node_client is not None:
            self.node_client.close()

    # Timers

    def poll_balancer(self) -> None:
        """Request the leases that the balancer needs, every POLL_INTERVAL_S."""
        # Scheduled first, so that an exception below does not end the polling.
        self.poll_timer = self.loop.call_later(POLL_INTERVAL_S, self.poll_balancer)
        self.sends_since_poll = 0
        at_us = self.clock()
        if self.moves_quotas:
            self.budgets.update(at_us, self.gateway.balancer.slow_start_demands(at_us), self.manager)
        if self.elects_probers:
            self.probes.update(at_us, self.gateway.balancer.ejected_servers(at_us), self.manager)
        self.run_due()
        self.update_metrics()

    def update_metrics(self) -> None:
        """Set the leases' figures on the metrics line as soon as one of them is not zero."""
        counters = self.manager.counters
        lent, received = self.budgets.lending_reports, self.budgets.received_grants
        suspensions = self.probes.suspensions
        if counters.acquired or lent or received or suspensions:
            held = len(self.budgets.budget_by_lease) + len(self.probes.held_leases)
            self.gateway.metrics.leases = [held, counters.acquired, counters.lost, lent, received, suspensions]

    def on_stall(self, at_us: int, stall_us: int) -> None:  # noqa: ARG002 (the gateway's callback)
        """Check the leases before other events: the process stalled, and another gateway may hold them by now."""
        if self.poll_timer is not None:
            self.manager.on_stall(at_us)
            self.run_due()

    def on_timer(self) -> None:
        """Run what is due at the end of the timer."""
        self.timer = None
        self.run_due()

    def run_due(self) -> None:
        """Run what is due, send the queued messages, and set the timer."""
        self.manager.tick(self.clock())
        self.flush()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        wait_us = self.manager.next_timer_us() - self.clock()
        if wait_us < POLL_INTERVAL_S * 1e6 and not self.is_closed:  # otherwise the next poll comes first
            self.timer = self.loop.call_later(max(MIN_TIMER_S, wait_us / 1e6), self.on_timer)

    # Datagrams

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        """Handle a datagram; drop it unless a listed gateway with the same number of voters sent it."""
        datagram = decode(data)
        if datagram is None:
            self.count_drop("unreadable")
            return
        header = datagram.header
        if not self.datagrams.is_listed_address(header.sender, addr):
            self.count_drop("unlisted")
            return
        if header.voters != self.config.voters:
            self.count_drop("another number of voters")
            return
        self.manager.receive(self.clock(), header, datagram.message)
        self.run_due()

    def count_drop(self, reason: str) -> None:
        """Count a dropped datagram, and log the counts periodically; `duties show --json` prints the reasons."""
        self.dropped[reason] += 1
        at_us = self.clock()
        if at_us - self.drops_logged_us > DROP_LOG_INTERVAL_US:
            self.drops_logged_us = at_us
            log(f"leases: datagrams dropped, total={dict(self.dropped)}")

    def flush(self) -> None:
        """Send all queued node requests and datagrams."""
        for request in self.manager.outbox.take_node_requests():
            if self.node_client is not None:
                self.node_client.send(request)
        for sent in self.manager.outbox.take_messages():
            if sent.to == self.number:
                self.loop.call_soon(self.deliver_to_self, sent.message)
            elif 0 <= sent.to < len(self.peers):
                self.send(sent.to, sent.message)

    def deliver_to_self(self, message: Message) -> None:
        """Handle a message of this gateway to itself: its proposer requests the vote of its own acceptor, too."""
        if not self.is_closed:
            self.manager.receive(self.clock(), self.manager.header(), message)
            self.run_due()

    def send(self, number: int, message: Message) -> None:
        """Send a datagram to a gateway, unless the send limit is reached or a reply's lease has expired."""
        if self.sends_since_poll >= MAX_SENDS_PER_POLL:
            self.unsent += 1
            return
        self.sends_since_poll += 1
        data = encode(self.manager.header(), message)
        if isinstance(message, LeaderReply) and not self.manager.can_act(self.clock(), message.lease_id):
            # The process may have stalled since the reply was made. If it stalls after this check, one late datagram
            # is sent, and the fencing check of each gateway that has seen a newer token rejects it.
            self.dropped["act too late"] += 1
            return
        if not self.datagrams.send(number, data):
            self.unsent += 1
            return
        self.manager.counters.sent += 1
        self.manager.counters.sent_bytes += len(data)

    # The coordination service

    def on_node_response(self, lease_id: int, response: NodeResponse) -> None:
        """Handle a response of the service."""
        if not self.is_closed:
            self.manager.on_node_response(self.clock(), lease_id, response)
            self.run_due()

    def on_session_lost(self) -> None:
        """Stop acting: the session is lost, and all leases of the session with it."""
        if not self.is_closed:
            self.manager.on_session_lost(self.clock())
            self.run_due()

    # Admin lines

    def call(self, line: bytes) -> tuple[bool, str] | None:
        """Answer the admin lines DUTIES, HANDON NAME, KEEPOFF and KEEPON; None for any other line."""
        command, _, argument = line.strip(b"\r\n").partition(b" ")
        at_us = self.clock()
        if command == b"HANDON" and argument:
            return self.hand_over(at_us, argument)
        if argument:
            return None
        if command == b"DUTIES":
            return True, json.dumps(self.describe(at_us), separators=(",", ":"))
        if command in (b"KEEPOFF", b"KEEPON"):
            is_excluded = command == b"KEEPOFF"
            self.manager.set_excluded(at_us, is_excluded)
            self.run_due()
            return True, "it holds no duty" if is_excluded else "it may hold duties"
        return None

    def hand_over(self, at_us: int, name: bytes) -> tuple[bool, str]:
        """Hand over the lease of this name if this gateway holds it."""
        requests = self.manager.request_by_lease.values()
        request = next((request for request in requests if request.name.encode() == name), None)
        if request is None or not self.manager.hand_over(at_us, request):
            return False, "that duty is not held here"
        self.run_due()
        return True, f"handed on to gateway {request.lease.successor}"

    def describe(self, at_us: int) -> dict[str, object]:
        """Return the state that operators are shown; the keys are part of the output of `duties show --json`."""
        manager, counters = self.manager, self.manager.counters
        return {
            "gateway": self.number,
            "voter": manager.acceptor is not None,
            "kept_off": manager.is_excluded,
            "duties": manager.describe(at_us),
            "colds": self.budgets.describe(at_us),
            "outs": self.probes.describe(),
            "held_back": self.probes.suspensions,
            "sent": counters.sent,
            "sent_bytes": counters.sent_bytes,
            "came": counters.received,
            "began": counters.acquired,
            "lost": counters.lost,
            "old_acts": manager.fencing.rejected,
            "dropped": dict(self.dropped),
            "lent": self.budgets.lending_reports,
            "taken": self.budgets.received_grants,
            "not_sent": self.unsent,
        }
