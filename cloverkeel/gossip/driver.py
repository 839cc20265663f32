"""I/O around the gossip node: datagrams, timers, outcomes of attempts, events for the balancer. Decides nothing.

Bounds: the token bucket of token_bucket.py for what is sent; one timer beside the periodic check.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from collections.abc import Callable
from typing import Final

from cloverkeel.balancing.events import Outcome
from cloverkeel.core.clock import now_us
from cloverkeel.core.config import Config
from cloverkeel.core.datagrams import PeerSocket
from cloverkeel.core.gateway import Gateway
from cloverkeel.core.log import log
from cloverkeel.gossip.messages import MAGIC, MASK32, GatewayProcess, HostProcess, decode
from cloverkeel.gossip.node import GossipNode, NodeIdentity
from cloverkeel.gossip.outlier_reports import Assessment
from cloverkeel.gossip.peer_clock import timestamp_ms_of
from cloverkeel.gossip.retry_tokens import MAX_SAVED_TOKENS, MIN_TRANSFER_TOKENS
from cloverkeel.gossip.status import node_status

MIN_GATEWAYS: Final = 2
CHECK_INTERVAL_S: Final = 0.1  # between two checks for hosts that do not answer
MIN_TIMER_DELAY_S: Final = 0.005
DROP_LOG_INTERVAL_US: Final = 60_000_000
INCARNATION_EPOCH_US: Final = 1_767_225_600_000_000  # 2026-01-01
INCARNATION_UNIT_US: Final = 125_000
SEED_BITS: Final = 64
# What the end of an attempt says of its host. FULL: it is overloaded, and answers. CANCELLED and MOOT: nothing.
IS_SUCCESS_BY_OUTCOME: Final = {
    Outcome.OK: True,
    Outcome.ERROR: False,
    Outcome.TIMEOUT: False,
    Outcome.CONNECT_FAILED: False,
    Outcome.RESET: False,
}


class GossipDriver:
    """Runs a gossip node on the event loop, between the peers' socket and the gateway."""

    def __init__(
        self, config: Config, gateway: Gateway, datagrams: PeerSocket, clock: Callable[[], int] = now_us
    ) -> None:
        """`clock`: microseconds, of the program's form (core/clock.py)."""
        self.clock = clock
        self.gateway, self.datagrams = gateway, datagrams
        self.loop = asyncio.get_running_loop()
        self.fleet_size = len(config.peers)
        self.gateway_number = config.settings.proxy
        incarnation = max(1, (clock() - INCARNATION_EPOCH_US) // INCARNATION_UNIT_US & MASK32)
        rng = random.Random(random.SystemRandom().getrandbits(SEED_BITS))
        process = GatewayProcess(self.gateway_number, incarnation)
        identity = NodeIdentity(process, self.fleet_size, config.settings.zone)
        self.node = GossipNode(identity, rng.random, self.on_assessment, self)
        self.dropped_by_reason: Counter[str] = Counter()
        self.drop_logged_us = 0
        self.timer: asyncio.TimerHandle | None = None
        self.check_timer: asyncio.TimerHandle | None = None  # None: not started, or closed
        self.is_run_scheduled = False  # in this turn of the loop
        self.silent_hosts: set[HostProcess] = set()

    def start(self) -> None:
        """Register for datagrams, before the socket is opened."""
        if self.fleet_size < MIN_GATEWAYS or self.gateway_number >= self.fleet_size:
            log(f"gossip: disabled, reason=too_few_gateways gateways={self.fleet_size}")
            return
        # It begins with none: a process before this one may have spent its own a moment ago. From now on, not from
        # when the socket is there: while its gateway is replaced that may be long.
        self.gateway.grant_retry_tokens(MAX_SAVED_TOKENS, -self.gateway.balancer.retry_token_state(self.clock())[0])
        self.datagrams.register(MAGIC, self)

    def on_socket_open(self) -> None:
        """Begin: the socket is open."""
        self.node.start(self.clock())
        self.gateway.stall_listeners.append(self.on_stall)
        self.gateway.dispatcher.on_attempt_outcome = self.on_outcome
        self.on_check_timer()

    def leave(self) -> None:
        """Do nothing when the graceful shutdown begins: it goes on receiving, and peers notice its end."""

    def close(self) -> None:
        """Stop the timers."""
        self.gateway.dispatcher.on_attempt_outcome = None
        for handle in (self.timer, self.check_timer):
            if handle is not None:
                handle.cancel()
        self.timer = self.check_timer = None

    # Time

    def on_check_timer(self) -> None:
        """Bring the node's view of the gateway up to date, ten times a second."""
        # First: nothing below may end it.
        self.check_timer = self.loop.call_later(CHECK_INTERVAL_S, self.on_check_timer)
        at_us = self.clock()
        self._exchange_metrics()
        self._record_silences(at_us)
        if self.gateway.balancer.retry_token_state(at_us)[1]:
            self.node.request_retry_tokens(at_us)
        self._run()

    def _exchange_metrics(self) -> None:
        """Give the node the count of requests, and the metrics line the node's counts."""
        tally = self.gateway.metrics
        self.node.request_count = sum(tally.received_by_class) + tally.received_before_reset
        outliers, transport = self.node.outliers, self.node.counts
        suspected = sum(known.is_suspected_outlier for known in outliers.assessment_by_host.values())
        tally.gossip = [
            suspected,
            outliers.counts.unconfirmed_reports,
            outliers.counts.confirmed_hosts,
            outliers.counts.notifications,
            transport.sent,
            transport.sent_bytes,
        ]

    def _record_silences(self, at_us: int) -> None:
        """Count a host whose oldest attempt is overdue as failed, once for each time that it falls silent."""
        silent_hosts = set()
        for server in self.gateway.balancer.silent_servers(at_us):
            host = self._host_process(server)
            if host is None:
                continue
            silent_hosts.add(host)
            if host not in self.silent_hosts:
                self.node.record_outcome(at_us, host, False)
        self.silent_hosts = silent_hosts

    def on_stall(self, at_us: int, stall_us: int) -> None:
        """Note that the event loop was stopped for so long."""
        self.node.on_stall(at_us, stall_us)

    def on_timer(self) -> None:
        """Do what the node has due."""
        self.timer = None
        self._run()

    def _run_soon(self) -> None:
        if not self.is_run_scheduled:
            self.is_run_scheduled = True
            self.loop.call_soon(self._run)

    def _run(self) -> None:
        """Do what is due, send what is to be sent, and set the timer."""
        self.is_run_scheduled = False
        if self.check_timer is None:
            return  # closed
        self.node.tick(self.clock())
        for datagram in self.node.drain_outbox():
            self.datagrams.send(datagram.recipient, datagram.payload)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        wait_s = (self.node.next_timer_us() - self.clock()) / 1e6
        if wait_s < CHECK_INTERVAL_S:  # else the next check finds it
            self.timer = self.loop.call_later(max(MIN_TIMER_DELAY_S, wait_s), self.on_timer)

    # Outcomes of attempts, and events for the balancer

    def _host_process(self, server: int) -> HostProcess | None:
        started_us = self.gateway.balancer.started_at_us(server)
        return HostProcess(server, timestamp_ms_of(started_us)) if started_us >= 0 else None

    def on_outcome(self, server: int, outcome: Outcome, latency_us: int) -> None:
        """Take the end of an attempt."""
        is_success = IS_SUCCESS_BY_OUTCOME.get(outcome)
        host = self._host_process(server)
        if is_success is None or host is None:
            return
        is_timeout = outcome is Outcome.TIMEOUT
        if is_timeout and host in self.silent_hosts:
            return  # the timeouts of a silent host were counted as one
        at_us = self.clock()
        sent_us = at_us - latency_us if is_timeout else 0
        self.node.record_outcome(at_us, host, is_success, sent_us)
        if self.node.broadcasts.queued:
            self._run_soon()

    def on_assessment(self, host: HostProcess, assessment: Assessment) -> None:
        """Tell the balancer what is known of a host; not of an earlier process, or one that is not listed here."""
        started_us = self.gateway.balancer.started_at_us(host.host)
        if started_us < 0 or timestamp_ms_of(started_us) != host.started_ms:
            return
        self.gateway.report_peer_health(
            host.host, started_us, assessment.successes, assessment.failures, assessment.failure_reporters,
            assessment.success_reporters, assessment.expires_us,
        )  # fmt: skip

    # Retry tokens of the balancer (RetryTokenBucket)

    def withdraw(self, max_tokens: float) -> float:
        """Return what is gone from the balancer, not what it was asked to give up."""
        available, is_short = self.gateway.balancer.retry_token_state(self.clock())
        if is_short or available < MIN_TRANSFER_TOKENS:
            return 0.0
        self.gateway.grant_retry_tokens(MAX_SAVED_TOKENS, -min(max_tokens, available))
        return max(0.0, available - self.gateway.balancer.retry_token_state(self.clock())[0])

    def deposit(self, tokens: float, expires_us: int) -> None:
        """Give tokens to the balancer, until then."""
        self.gateway.grant_retry_tokens(MAX_SAVED_TOKENS, tokens, expires_us)

    # Datagrams

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        """Take a datagram, if it can be read and comes from the listed address of its sender."""
        datagram = decode(data)
        if datagram is None:
            self._count_drop("unreadable")
            return
        if not self.datagrams.is_listed_address(datagram.header.sender, addr):
            self._count_drop("unlisted")
            return
        self.node.receive(self.clock(), datagram)
        self._run_soon()

    def _count_drop(self, reason: str) -> None:
        self.dropped_by_reason[reason] += 1
        at_us = self.clock()
        if at_us - self.drop_logged_us > DROP_LOG_INTERVAL_US:
            self.drop_logged_us = at_us
            counts = " ".join(f"{name}={count}" for name, count in self.dropped_by_reason.items())
            log(f"gossip: datagrams dropped, {counts}")

    # Admin address

    def call(self, line: bytes) -> tuple[bool, str] | None:
        """Answer PEERS; None for any other line."""
        if line.strip(b"\r\n") != b"PEERS":
            return None
        status = node_status(self.node, self.clock()) | {"dropped": dict(self.dropped_by_reason)}
        return True, json.dumps(status, separators=(",", ":"))
