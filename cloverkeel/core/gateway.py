"""Drives the balancer: passes it events and carries out its actions. Runs the heartbeat, and the holds after stalls.

This module makes no balancing decisions. The actions of an event are carried out before the next event is handled;
events that occur meanwhile wait in the event queue.
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
from cloverkeel.core.log import log, try_log
from cloverkeel.core.loop_timers import LoopTimers
from cloverkeel.core.metrics import METRICS_INTERVAL_US, GatewayMetrics
from cloverkeel.core.peer_resources import PeerResources
from cloverkeel.core.ports import LoadBalancer, Endpoint, EndpointSource, HostTable, Upstream
from cloverkeel.core.recent_ids import ClaimResult, new_table
from cloverkeel.core.request_ids import RequestIds
from cloverkeel.core.request_table import RequestTable
from cloverkeel.core.stall_detector import HEARTBEAT_INTERVAL_US, StallDetector

MIN_STALL_LOG_INTERVAL_US: Final = 10_000_000
TIMER_MARGIN_S: Final = 0.001  # asyncio rounds timer deadlines, and no timer may run early

StallListener = Callable[[int, int], None]  # arguments: end and duration of a stall, in µs


class Gateway(EventProcessor):
    """Owns the balancer and the components that carry out its actions."""

    def __init__(
        self, config: Config, hosts: HostTable, upstream: Upstream, endpoint_source: EndpointSource,
        resources: PeerResources,
    ) -> None:  # fmt: skip
        self.account = resources.account
        self.input_scheduler = resources.input_scheduler
        self.loop = asyncio.get_running_loop()
        self.balancer: LoadBalancer = Balancer(config.settings, config.seed)
        self.hosts = hosts
        self.upstream = upstream
        self.endpoint_source = endpoint_source
        self.known_endpoints = config.known
        self.stall_detector = StallDetector(now_us())
        self.stall_listeners: list[StallListener] = []
        self.requests = RequestTable()
        self.request_ids = RequestIds(config.settings, new_table(self.account.limit_bytes))
        self.timers = LoopTimers(self.loop)
        self.metrics = GatewayMetrics(len(config.settings.classes))
        self.queue = EventQueue(self.loop, self.stall_detector, self)
        self.endpoint_updates = EndpointUpdates(self.loop, hosts, self, resources.account)
        self.dispatcher = ActionDispatcher(
            config.settings, self.requests, self.queue, self.timers, self.metrics, hosts, upstream, endpoint_source,
            self.request_ids,
        )  # fmt: skip
        self.is_processing = False
        self.is_closed = False
        self.heartbeat_timer: asyncio.TimerHandle | None = None
        self.metrics_due_us = 0
        self.opened_at_last_line = 0  # value of hosts.opened_count() at the last metrics line
        self.stall_logged_us = 0
        self.measure_resources: Callable[[], list[int]] = list  # for the metrics line; set by the frontend
        endpoint_source.set_listener(self.on_endpoint_list)
        upstream.set_write_guard(self.may_write)

    def start(self) -> None:
        """Load the last known endpoint list; the balancer then requests newer ones."""
        self.stall_detector.check(now_us())
        # The time before the first list does not count as a stall.
        self.stall_detector.end_hold(now_us(), caught_up=True)
        self.on_heartbeat()
        self.endpoint_source.load_known(self.known_endpoints)

    @property
    def can_serve(self) -> bool:
        """Whether any host is known."""
        return not self.hosts.is_empty()

    def close(self) -> None:
        """Stop handling events and close all components."""
        self.is_closed = True
        self.endpoint_updates.close()
        if self.heartbeat_timer is not None:
            self.heartbeat_timer.cancel()
        self.timers.close()
        self.endpoint_source.close()
        self.upstream.close()

    # Requests

    def admit_request(self, call: Call) -> ClaimResult:
        """Accept a client's request, unless its id is in flight or may have run."""
        if self.requests.has_client_id(call.id_):
            return ClaimResult.REPEATED
        claim = self.request_ids.claim(call)
        if claim is not ClaimResult.ACCEPTED:
            self.metrics.record_event("id repeated" if claim is ClaimResult.REPEATED else "ids full")
            return claim
        request = self.requests.add(call, now_us() + call.client_timeout_us)
        self.metrics.received_by_class[call.class_index] += 1
        event = RequestArrived(
            request.key, call.class_index, call.client_timeout_us, call.affinity_key, call.cost_us, call.is_retry,
            call.tenant,
        )  # fmt: skip
        self.queue.post(lambda: event, request)
        return ClaimResult.ACCEPTED

    def on_client_disconnected(self, call: Call) -> None:
        """Abandon a request whose client disconnected."""
        self.dispatcher.on_client_disconnected(call)

    def answer_all_requests(self) -> None:
        """Have every request in flight answered now, because the process is about to exit."""
        if self.requests.by_client_id:
            self.queue.post_urgent(AnswerAll)

    # Reports of other processes and gateways: urgent events, because they restrict what may be sent

    def set_process_count(self, processes: int) -> None:
        """Set how many processes this gateway consists of for now."""
        self.queue.post_urgent(lambda: ProcessesChanged(processes))

    def set_slow_start_quota(
        self, server: int, started_us: int, lent_until_us: int, granted: float, granted_until_us: int
    ) -> None:
        """Report a transfer of quotas of a warming server's slow-start budget between gateways.

        This gateway has lent its own quota until `lent_until_us`, and holds `granted` quotas of other gateways until
        `granted_until_us`.
        """
        self.queue.post_urgent(lambda: SlowStartQuota(server, started_us, lent_until_us, granted, granted_until_us))

    def suspend_probes(self, server: int, until_us: int) -> None:
        """Suspend probes of a server, because another gateway probes it until `until_us`.

        `until_us` is 0 if the server answered the other gateway's probes: this gateway probes it at once.
        """
        self.queue.post_urgent(lambda: ProbesSuspended(server, until_us))

    def report_peer_health(
        self,
        server: int,
        started_us: int,
        successes: float,
        failures: float,
        failure_reporters: int,
        success_reporters: int,
        until_us: int,
    ) -> None:
        """Set the combined observations of a server by all gateways; they are valid until `until_us`."""
        self.queue.post_urgent(
            lambda: PeerHealthReport(
                server, started_us, successes, failures, failure_reporters, success_reporters, until_us
            )
        )

    def grant_retry_tokens(self, max_tokens: float, token_delta: float = 0.0, expires_us: int = 0) -> None:
        """Add retry tokens, or remove them if `token_delta` is negative; removed tokens can no longer be spent."""
        self.queue.post_urgent(lambda: RetryTokenGrant(max_tokens, token_delta, expires_us))

    # Events

    def on_endpoint_list(self, kind: ListKind, entries: list[Endpoint]) -> None:
        """Queue a list from the endpoint source and handle it."""
        self.queue.post_endpoint_list(kind, entries)

    def process_events(self) -> None:
        """Handle the queued events that may be handled now, unless a call is already doing so."""
        if self.is_processing:
            return
        self.is_processing = True
        try:
            while not self.is_closed and self._process_next():
                pass
        finally:
            self.is_processing = False

    def _process_next(self) -> bool:
        """Handle the next event that may be handled now; return False if there is none."""
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
        """Pass an event to the balancer and carry out the resulting actions."""
        for action in self._decide(at_us, event):
            try:
                self.dispatcher.carry_out(action)
            except Exception:
                # Guards the client whose event is being handled: an exception would close its connection.
                log(f"gateway: action failed, action={action!r}\n{traceback.format_exc()}")

    def _decide(self, at_us: int, event: Event) -> list[Action]:
        """Return the balancer's actions; if it raises, an action that fails the event's request, if it has one."""
        try:
            return self.balancer.handle(at_us, event)
        except Exception:
            # Guards against one bad decision ending the process and every request in flight.
            log(f"gateway: balancer failed, event={event!r}\n{traceback.format_exc()}")
        return [Fail(event.request)] if isinstance(event, RequestArrived | AttemptEnded) else []

    # Heartbeat and metrics

    def on_heartbeat(self) -> None:
        """Check for a stall, and write the metrics line once a second."""
        # Scheduled first, so that an exception below cannot stop the heartbeat.
        self.heartbeat_timer = self.loop.call_later(HEARTBEAT_INTERVAL_US / 1e6, self.on_heartbeat)
        at_us = now_us()
        self.metrics.record_heartbeat(at_us, HEARTBEAT_INTERVAL_US)
        self.check_stall(at_us)
        if at_us >= self.metrics_due_us:
            self.write_metrics(at_us)

    def write_metrics(self, at_us: int) -> None:
        """Write the metrics line; if the log cannot be written now, keep adding to the same counters."""
        self.metrics_due_us = at_us - at_us % METRICS_INTERVAL_US + METRICS_INTERVAL_US
        opened = self.hosts.opened_count()
        line = self.metrics.format_line(
            at_us, self.balancer.shed_ratios(), opened - self.opened_at_last_line,
            self.endpoint_updates.received_entries, self.measure_resources(), self.input_scheduler.take_figures(),
        )  # fmt: skip
        if line is not None and try_log(line):
            self.opened_at_last_line = opened
            self.endpoint_updates.received_entries = 0
            self.metrics.reset()

    # Stalls

    def may_write(self, at_us: int) -> bool:
        """Return whether anything may be sent now: not during a hold."""
        return at_us <= self.stall_detector.next_check_due_us or self.check_stall(at_us)

    def check_stall(self, at_us: int) -> bool:
        """Check for a stall of the event loop; return whether anything may be sent."""
        if self.stall_detector.check(at_us):
            self.on_stall()
        return not self.stall_detector.is_holding

    def on_stall(self) -> None:
        """Begin a hold: the endpoint source reads the notifications of the stall before anything is sent."""
        hold_started_us, stall_us = self.stall_detector.hold_started_us, self.stall_detector.stall_us
        for listener in self.stall_listeners:
            listener(hold_started_us, stall_us)
        if hold_started_us - self.stall_logged_us > MIN_STALL_LOG_INTERVAL_US:
            self.stall_logged_us = hold_started_us
            log(f"gateway: stalled, duration_s={stall_us / 1e6:.2f} count={self.stall_detector.stall_count}")

        def on_caught_up() -> None:
            # After a further stall, `end_hold` would end the hold of that stall too early.
            if self.stall_detector.hold_started_us == hold_started_us:
                self.end_hold(caught_up=True)

        self.loop.call_later(self.stall_detector.max_hold_us / 1e6 + TIMER_MARGIN_S, self.end_hold, False)
        self.queue.limit_waits()
        self.endpoint_source.catch_up(stall_us, on_caught_up)

    def end_hold(self, caught_up: bool) -> None:
        """End the hold if it may end, and handle the events that waited."""
        if self.is_closed:
            return
        if self.stall_detector.check(now_us()):
            self.on_stall()
        elif self.stall_detector.end_hold(now_us(), caught_up):
            self.process_events()
