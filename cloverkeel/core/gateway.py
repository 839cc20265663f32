"""The one balancer and what surrounds it: events in, actions out, the heartbeat, and holds after a stall.

Nothing is chosen here. One event is handled and its actions are carried out before the next: what is found out
meanwhile waits in the event queue.
"""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from typing import Final

from cloverkeel.balancing.balancer import Balancer
from cloverkeel.balancing.actions import Action, Fail
from cloverkeel.balancing.events import (
    AnswerAll,
    AttemptEnded,
    Event,
    ListKind,
    PeerHealthReport,
    ProbesSuspended,
    ProcessesChanged,
    RequestArrived,
    RetryTokenGrant,
    SlowStartQuota,
)

from cloverkeel.core.calls import Call
from cloverkeel.core.clock import now_us
from cloverkeel.core.config import Config
from cloverkeel.core.dispatcher import ActionDispatcher
from cloverkeel.core.endpoint_updates import EndpointUpdates
from cloverkeel.core.event_queue import EventProcessor, EventQueue
from cloverkeel.core.log import log, log_if_read
from cloverkeel.core.loop_timers import LoopTimers
from cloverkeel.core.metrics import METRICS_INTERVAL_US, GatewayMetrics
from cloverkeel.core.ports import LoadBalancer, Endpoint, EndpointSource, HostTable, Upstream
from cloverkeel.core.request_table import RequestTable
from cloverkeel.core.stall_detector import HEARTBEAT_INTERVAL_US, StallDetector

MIN_STALL_LOG_INTERVAL_US: Final = 10_000_000
TIMER_MARGIN_S: Final = 0.001  # the loop rounds, and nothing must be early

StallListener = Callable[[int, int], None]  # called with the time and the length of a stall, in µs


class Gateway(EventProcessor):
    """Owns the balancer, and the parts that carry out what it decides."""

    def __init__(self, config: Config, hosts: HostTable, upstream: Upstream, endpoint_source: EndpointSource) -> None:
        self.loop = asyncio.get_running_loop()
        self.balancer: LoadBalancer = Balancer(config.settings, config.seed)
        self.hosts = hosts
        self.upstream = upstream
        self.endpoint_source = endpoint_source
        self.known_endpoints = config.known
        self.stall_detector = StallDetector(now_us())
        self.stall_listeners: list[StallListener] = []
        self.requests = RequestTable()
        self.timers = LoopTimers(self.loop)
        self.metrics = GatewayMetrics(len(config.settings.classes))
        self.queue = EventQueue(self.loop, self.stall_detector, self)
        self.endpoint_updates = EndpointUpdates(self.loop, hosts, self)
        self.dispatcher = ActionDispatcher(
            config.settings, self.requests, self.queue, self.timers, self.metrics, hosts, upstream, endpoint_source
        )
        self.is_processing = False
        self.is_closed = False
        self.heartbeat_timer: asyncio.TimerHandle | None = None
        self.metrics_due_us = 0
        self.opened_before = 0  # connections opened when the last metrics line was written
        self.stall_logged_us = 0
        endpoint_source.set_listener(self.on_endpoint_list)
        upstream.set_write_guard(self.may_write)

    def start(self) -> None:
        """Begin with the endpoint list from before, and ask for a newer one when the balancer says so."""
        self.stall_detector.check(now_us())
        self.stall_detector.end_hold(now_us(), caught_up=True)  # what came before the first list is no stall
        self.on_heartbeat()
        self.endpoint_source.load_known(self.known_endpoints)

    @property
    def can_serve(self) -> bool:
        """Whether there is any host to send to."""
        return not self.hosts.is_empty()

    def close(self) -> None:
        """Stop: nothing more is handled."""
        self.is_closed = True
        self.endpoint_updates.close()
        if self.heartbeat_timer is not None:
            self.heartbeat_timer.cancel()
        self.timers.close()
        self.endpoint_source.close()
        self.upstream.close()

    # Requests

    def admit_request(self, call: Call) -> bool:
        """Take a client's request; False if one with its id is in flight."""
        if self.requests.has_client_id(call.id_):
            return False
        request = self.requests.add(call, now_us() + call.client_timeout_us)
        self.metrics.received_by_class[call.class_index] += 1
        event = RequestArrived(
            request.key, call.class_index, call.client_timeout_us, call.affinity_key, call.cost_us, call.is_retry,
            call.tenant,
        )  # fmt: skip
        self.queue.post(lambda: event, request)
        return True

    def on_client_disconnected(self, call: Call) -> None:
        """Give up a request whose client has gone."""
        self.dispatcher.on_client_disconnected(call)

    def answer_all_requests(self) -> None:
        """Have every request in flight answered now: this process ends."""
        if self.requests.by_client_id:
            self.queue.post_urgent(AnswerAll)

    # What other processes and gateways tell: ahead of whatever waits, as it restricts

    def set_process_count(self, processes: int) -> None:
        """Learn that this gateway is so many processes for a time."""
        self.queue.post_urgent(lambda: ProcessesChanged(processes))

    def set_slow_start_quota(
        self, server: int, started_us: int, lent_us: int, granted: float, granted_us: int
    ) -> None:
        """Learn which quotas of a warming-up server's budget are lent or granted, and until when."""
        self.queue.post_urgent(lambda: SlowStartQuota(server, started_us, lent_us, granted, granted_us))

    def suspend_probes(self, server: int, until_us: int) -> None:
        """Learn that another gateway probes a server until then; 0: it answers there."""
        self.queue.post_urgent(lambda: ProbesSuspended(server, until_us))

    def report_peer_health(
        self, server: int, started_us: int, good: float, bad: float, reporters: int, well: int, until_us: int
    ) -> None:
        """Learn what other gateways saw of a server."""
        self.queue.post_urgent(lambda: PeerHealthReport(server, started_us, good, bad, reporters, well, until_us))

    def grant_retry_tokens(self, cap: float, moved: float = 0.0, until_us: int = 0) -> None:
        """Learn that retry tokens came or went: nothing may be spent that has gone."""
        self.queue.post_urgent(lambda: RetryTokenGrant(cap, moved, until_us))

    # Events

    def on_endpoint_list(self, kind: ListKind, entries: list[Endpoint]) -> None:
        """Handle a list of the endpoint source."""
        self.queue.post_endpoint_list(kind, entries)

    def process_events(self) -> None:
        """Handle what waits, unless that is under way; during a hold, what may be handled then."""
        if self.is_processing:
            return
        self.is_processing = True
        try:
            while not self.is_closed and self._process_next():
                pass
        finally:
            self.is_processing = False

    def _process_next(self) -> bool:
        """Handle the next event that may be handled; False if there is none."""
        at_us = now_us()
        may_send = self.may_write(at_us)
        if self.queue.endpoint_lists:
            kind, entries = self.queue.endpoint_lists.popleft()
            self.handle_event(at_us, self.endpoint_updates.apply_list(kind, entries))
            return True
        if self.endpoint_updates.is_batch_due(may_send):
            self.handle_event(at_us, self.endpoint_updates.apply_next_batch())
            return True
        pending = self.queue.next_event(may_send)
        if pending is None:
            return False
        event = pending()
        if event is not None:
            self.handle_event(at_us, event)
        return True

    def handle_event(self, at_us: int, event: Event) -> None:
        """Let the balancer decide on an event, and carry out its actions."""
        for action in self._decide(at_us, event):
            try:
                self.dispatcher.carry_out(action)
            except Exception:
                # Guards the client whose event is being handled: an error here would end its connection.
                log(f"gateway: action failed, action={action!r}\n{traceback.format_exc()}")

    def _decide(self, at_us: int, event: Event) -> list[Action]:
        """Return the balancer's actions; where it fails, the failure of the request that the event is of."""
        try:
            return self.balancer.handle(at_us, event)
        except Exception:
            # Guards against one bad decision ending the process and all that is in flight.
            log(f"gateway: balancer failed, event={event!r}\n{traceback.format_exc()}")
        return [Fail(event.request)] if isinstance(event, RequestArrived | AttemptEnded) else []

    # Heartbeat and metrics

    def on_heartbeat(self) -> None:
        """Check for a stall, and write the metrics line of each second."""
        # First: nothing below may end it.
        self.heartbeat_timer = self.loop.call_later(HEARTBEAT_INTERVAL_US / 1e6, self.on_heartbeat)
        at_us = now_us()
        self.check_stall(at_us)
        if at_us >= self.metrics_due_us:
            self.write_metrics(at_us)

    def write_metrics(self, at_us: int) -> None:
        """Write the metrics line; where nobody reads the log, the sums go on."""
        self.metrics_due_us = at_us - at_us % METRICS_INTERVAL_US + METRICS_INTERVAL_US
        opened = self.hosts.opened_count()
        line = self.metrics.format_line(
            at_us, self.balancer.shed_ratios(), opened - self.opened_before, self.endpoint_updates.received_entries
        )
        if line is not None and log_if_read(line):
            self.opened_before = opened
            self.endpoint_updates.received_entries = 0
            self.metrics.reset()

    # Stalls

    def may_write(self, at_us: int) -> bool:
        """Tell whether anything may be sent now: not during a hold."""
        return at_us <= self.stall_detector.next_check_due_us or self.check_stall(at_us)

    def check_stall(self, at_us: int) -> bool:
        """Check for a stall of the loop; returns whether anything may be sent."""
        if self.stall_detector.check(at_us):
            self.on_stall()
        return not self.stall_detector.is_holding

    def on_stall(self) -> None:
        """Have the endpoint source read what it was notified of meanwhile, before anything is sent."""
        hold_started_us, stall_us = self.stall_detector.hold_started_us, self.stall_detector.stall_us
        for listener in self.stall_listeners:
            listener(hold_started_us, stall_us)
        if hold_started_us - self.stall_logged_us > MIN_STALL_LOG_INTERVAL_US:
            self.stall_logged_us = hold_started_us
            log(f"gateway: stalled, duration_s={stall_us / 1e6:.2f} count={self.stall_detector.stall_count}")

        def on_caught_up() -> None:
            if (
                self.stall_detector.hold_started_us == hold_started_us
            ):  # else there was a further stall, and a new hold
                self.end_hold(caught_up=True)

        self.loop.call_later(self.stall_detector.max_hold_us / 1e6 + TIMER_MARGIN_S, self.end_hold, False)
        self.queue.limit_waits()
        self.endpoint_source.catch_up(stall_us, on_caught_up)

    def end_hold(self, caught_up: bool) -> None:
        """End the hold if it may end, and handle what waited."""
        if self.is_closed:
            return
        if self.stall_detector.check(now_us()):
            self.on_stall()
        elif self.stall_detector.end_hold(now_us(), caught_up):
            self.process_events()
