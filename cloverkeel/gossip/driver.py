"""I/O for the gossip node: datagrams, timers, outcomes of attempts, events for the balancer. Has no protocol logic.

The token bucket (token_bucket.py) limits the bytes sent. At most one timer is set besides that of the periodic check.
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
CHECK_INTERVAL_S: Final = 0.1  # between checks for unresponsive hosts
MIN_TIMER_DELAY_S: Final = 0.005
DROP_LOG_INTERVAL_US: Final = 60_000_000
INCARNATION_EPOCH_US: Final = 1_767_225_600_000_000  # 2026-01-01
INCARNATION_UNIT_US: Final = 125_000
SEED_BITS: Final = 64
# Outcomes that count for or against the host. FULL is left out, as an overloaded host still answers; CANCELLED and
# MOOT are left out, as they say nothing about the host.
IS_SUCCESS_BY_OUTCOME: Final = {
    Outcome.OK: True,
    Outcome.ERROR: False,
    Outcome.TIMEOUT: False,
    Outcome.CONNECT_FAILED: False,
    Outcome.RESET: False,
}


class GossipDriver:
    """Runs a gossip node on the event loop and connects it to the peers' socket and the gateway."""

    def __init__(
        self, config: Config, gateway: Gateway, datagrams: PeerSocket, clock: Callable[[], int] = now_us
    ) -> None:
        """`clock` returns microseconds, like `now_us` of core/clock.py."""
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
        self.is_run_scheduled = False  # whether `_run` is scheduled for the next loop iteration
        self.silent_hosts: set[HostProcess] = set()

    def start(self) -> None:
        """Register as a handler of datagrams. To be called before the socket is opened."""
        if self.fleet_size < MIN_GATEWAYS or self.gateway_number >= self.fleet_size:
            log(f"gossip: disabled, reason=too_few_gateways gateways={self.fleet_size}")
            return
        # Start without retry tokens: the previous process of this gateway may just have spent its own. Done here and
        # not when the socket opens, as during an upgrade the previous process may hold the address for long.
        self.gateway.grant_retry_tokens(MAX_SAVED_TOKENS, -self.gateway.balancer.retry_token_state(self.clock())[0])
        self.datagrams.register(MAGIC, self)

    def on_socket_open(self) -> None:
        """Start the node, listeners and timers."""
        self.node.start(self.clock())
        self.gateway.stall_listeners.append(self.on_stall)
        self.gateway.dispatcher.on_attempt_outcome = self.on_outcome
        self.on_check_timer()

    def leave(self) -> None:
        """Do nothing at the start of a graceful shutdown: gossip continues, and peers detect the exit by probes."""

    def close(self) -> None:
        """Cancel the timers and stop observing outcomes."""
        self.gateway.dispatcher.on_attempt_outcome = None
        for handle in (self.timer, self.check_timer):
            if handle is not None:
                handle.cancel()
        self.timer = self.check_timer = None

    # Time

    def on_check_timer(self) -> None:
        """Update the node's view of the gateway, every CHECK_INTERVAL_S."""
        # Scheduled first, so that an exception below does not end the periodic check.
        self.check_timer = self.loop.call_later(CHECK_INTERVAL_S, self.on_check_timer)
        at_us = self.clock()
        self._exchange_metrics()
        self._record_silent_hosts(at_us)
        if self.gateway.balancer.retry_token_state(at_us)[1]:
            self.node.request_retry_tokens(at_us)
        self._run()

    def _exchange_metrics(self) -> None:
        """Pass the number of requests to the node, and the node's counts to the metrics line."""
        metrics = self.gateway.metrics
        self.node.request_count = sum(metrics.received_by_class) + metrics.received_before_reset
        outliers, transport = self.node.outliers, self.node.counts
        suspected = sum(assessment.is_suspected_outlier for assessment in outliers.assessment_by_host.values())
        metrics.gossip = [
            suspected,
            outliers.counts.unconfirmed_reports,
            outliers.counts.confirmed_hosts,
            outliers.counts.notifications,
            transport.sent,
            transport.sent_bytes,
        ]

    def _record_silent_hosts(self, at_us: int) -> None:
        """Record one failure for each host that has become silent: its oldest attempt is overdue."""
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
        """Forward a stall of the event loop to the node."""
        self.node.on_stall(at_us, stall_us)

    def on_timer(self) -> None:
        """Run the node's due work."""
        self.timer = None
        self._run()

    def _run_soon(self) -> None:
        if not self.is_run_scheduled:
            self.is_run_scheduled = True
            self.loop.call_soon(self._run)

    def _run(self) -> None:
        """Run the node's due work, send its datagrams and set the timer."""
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
        if wait_s < CHECK_INTERVAL_S:  # later work is done by the next periodic check
            self.timer = self.loop.call_later(max(MIN_TIMER_DELAY_S, wait_s), self.on_timer)

    # Outcomes of attempts, and events for the balancer

    def _host_process(self, server: int) -> HostProcess | None:
        started_us = self.gateway.balancer.started_at_us(server)
        return HostProcess(server, timestamp_ms_of(started_us)) if started_us >= 0 else None

    def on_outcome(self, server: int, outcome: Outcome, latency_us: int) -> None:
        """Record the end of an attempt; `latency_us`: time since it was sent."""
        is_success = IS_SUCCESS_BY_OUTCOME.get(outcome)
        host = self._host_process(server)
        if is_success is None or host is None:
            return
        is_timeout = outcome is Outcome.TIMEOUT
        if is_timeout and host in self.silent_hosts:
            return  # _record_silent_hosts counts all timeouts of a silent host as one failure
        at_us = self.clock()
        sent_us = at_us - latency_us if is_timeout else 0
        self.node.record_outcome(at_us, host, is_success, sent_us)
        if self.node.broadcasts.queued:
            self._run_soon()

    def on_assessment(self, host: HostProcess, assessment: Assessment) -> None:
        """Report an assessment to the balancer, unless the host is not listed or has another process now."""
        started_us = self.gateway.balancer.started_at_us(host.host)
        if started_us < 0 or timestamp_ms_of(started_us) != host.started_ms:
            return
        self.gateway.report_peer_health(
            host.host, started_us, assessment.successes, assessment.failures, assessment.failure_reporters,
            assessment.success_reporters, assessment.expires_us,
        )  # fmt: skip

    # Retry tokens of the balancer (RetryTokenBucket)

    def withdraw(self, max_tokens: float) -> float:
        """Remove tokens from the balancer, and return how many it actually gave up, not how many were requested."""
        available, is_short = self.gateway.balancer.retry_token_state(self.clock())
        if is_short or available < MIN_TRANSFER_TOKENS:
            return 0.0
        self.gateway.grant_retry_tokens(MAX_SAVED_TOKENS, -min(max_tokens, available))
        return max(0.0, available - self.gateway.balancer.retry_token_state(self.clock())[0])

    def deposit(self, tokens: float, expires_us: int) -> None:
        """Add tokens to the balancer, which expire at `expires_us`."""
        self.gateway.grant_retry_tokens(MAX_SAVED_TOKENS, tokens, expires_us)

    # Datagrams

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        """Process a datagram, if it can be decoded and comes from the listed address of its sender."""
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
        """Answer the admin command PEERS; return None for any other line."""
        if line.strip(b"\r\n") != b"PEERS":
            return None
        status = node_status(self.node, self.clock()) | {"dropped": dict(self.dropped_by_reason)}
        return True, json.dumps(status, separators=(",", ":"))
