"""Balancer of one proxy: dispatches events to the mechanisms that decide.

In the normal case a request arrives, load shedding admits it, and a weighted random draw selects one of the subset's
servers whose circuit breakers admit it. docs/design.md describes each mechanism and the conditions under which it
acts.
"""

from __future__ import annotations

import random

from cloverkeel.balancing.action_buffer import ActionBuffer
from cloverkeel.balancing.actions import Action, WatchList
from cloverkeel.balancing.attempt_sender import AttemptSender
from cloverkeel.balancing.circuit_breaker import INITIAL_COOLDOWN_US, BreakerState
from cloverkeel.balancing.client_timeouts import ClientTimeouts
from cloverkeel.balancing.endpoint_updates import EndpointUpdates
from cloverkeel.balancing.endpoints import Endpoints
from cloverkeel.balancing.events import (
    AnswerAll,
    AttemptEnded,
    Event,
    PeerHealthReport,
    ProbesSuspended,
    ProcessesChanged,
    RequestArrived,
    RequestGone,
    RetryTokenGrant,
    ServerList,
    ServerStatus,
    SlowStartQuota,
    StreamStarted,
    TimerFired,
)
from cloverkeel.balancing.expiry_scan import ExpiryScan
from cloverkeel.balancing.final_answers import FinalAnswers
from cloverkeel.balancing.fleet_outcomes import FleetOutcomes
from cloverkeel.balancing.latency_model import LatencyModel, WorkModel
from cloverkeel.balancing.load_shedding import LoadShedder
from cloverkeel.balancing.outlier_detection import OutlierDetector
from cloverkeel.balancing.peer_reports import PeerReports
from cloverkeel.balancing.request_timers import EXPIRY_TOKEN, LIST_TOKEN, RequestTimers
from cloverkeel.balancing.request_lifecycle import RequestLifecycle
from cloverkeel.balancing.retry_budget import RetryBudget, RetryTokenState
from cloverkeel.balancing.server_selection import ServerSelection
from cloverkeel.balancing.settings import Settings
from cloverkeel.balancing.slow_start_budget import SlowStartBudget
from cloverkeel.balancing.subset import Subset


class Balancer:
    """Balancer of one proxy: the caller passes events in order and carries out the actions returned for each."""

    def __init__(self, settings: Settings, seed: int) -> None:
        rng = random.Random(seed)
        self.settings = settings
        self.rng = rng
        self.now_us = 0
        self.buffer = ActionBuffer()
        self.timers = RequestTimers(self.buffer)
        self.expiry_scan = ExpiryScan(self.buffer)
        self.endpoints = Endpoints()
        self.latency = LatencyModel(settings.classes)
        self.work = WorkModel(len(settings.classes))
        self.client_timeouts = ClientTimeouts(settings)
        self.retry_budget = RetryBudget()
        self.fleet_outcomes = FleetOutcomes()
        self.load_shedder = LoadShedder(settings, rng, self.latency, self.client_timeouts)
        self.subset = Subset(settings, self.endpoints, self.latency)
        self.slow_start = SlowStartBudget(settings, rng, self.subset, self.latency, self.work)
        self.selection = ServerSelection(settings, rng, self.endpoints, self.subset, self.slow_start)
        self.sender = AttemptSender(
            settings, self.selection, self.latency, self.load_shedder, self.timers, self.expiry_scan, self.buffer
        )
        self.outliers = OutlierDetector(
            settings,
            self.endpoints,
            self.latency,
            self.client_timeouts,
            self.fleet_outcomes,
            self.load_shedder,
            self.buffer,
        )
        self.peer_reports = PeerReports(self.endpoints, self.fleet_outcomes)
        self.endpoint_updates = EndpointUpdates(settings, rng, self.endpoints, self.slow_start, self.buffer)
        self.final_answers = FinalAnswers(settings, self.endpoints, self.buffer)
        self.lifecycle = RequestLifecycle(
            settings, self.work, self.retry_budget, self.outliers, self.sender, self.final_answers
        )

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle an event and return the resulting actions, in order.

        If `now_us` is before an earlier call's, the latest time so far is used instead.
        """
        self.now_us = max(now_us, self.now_us)
        actions: list[Action] = []
        self.buffer.actions = actions
        if isinstance(event, AttemptEnded):
            self.lifecycle.on_attempt_ended(self.now_us, event)
        elif isinstance(event, RequestArrived):
            self.lifecycle.on_request_arrived(self.now_us, event)
        elif isinstance(event, TimerFired):
            self.on_timer_fired(event.token)
        elif isinstance(event, RequestGone):
            self.lifecycle.on_request_gone(self.now_us, event)
        elif isinstance(event, StreamStarted):
            self.lifecycle.on_stream_started(self.now_us, event)
        elif isinstance(event, AnswerAll):
            self.lifecycle.on_answer_all(self.now_us)
        else:
            self.on_control_event(event)
        return actions

    def on_timer_fired(self, token: int) -> None:
        """Run the expiry scan, request the server list, or handle a request's timer, according to the token."""
        if token == EXPIRY_TOKEN:
            self.lifecycle.on_expiry_scan(self.now_us)
        elif token != LIST_TOKEN:
            self.lifecycle.on_timer_fired(self.now_us, token)
        elif not self.settings.list_is_pushed:
            self.buffer.actions.append(WatchList())

    def on_control_event(self, event: Event) -> None:
        """Dispatch an event that does not concern a single request."""
        if isinstance(event, ServerList):
            self.endpoint_updates.apply(self.now_us, event)
        elif isinstance(event, ProcessesChanged):
            self.slow_start.processes = max(1, event.count)
        elif isinstance(event, SlowStartQuota):
            self.slow_start.apply_quota(self.now_us, event, self.endpoints.by_server.get(event.server))
        elif isinstance(event, ProbesSuspended):
            self.peer_reports.suspend_probes(self.now_us, event)
        elif isinstance(event, PeerHealthReport):
            self.peer_reports.apply_report(self.now_us, event)
        elif isinstance(event, RetryTokenGrant):
            self.retry_budget.apply_grant(self.now_us, event)

    # State that other parts of the gateway read

    def shed_ratios(self) -> tuple[float, float]:
        """Return the shed ratios of low-priority classes and of all other classes."""
        return self.load_shedder.low_priority_ratio, self.load_shedder.high_priority_ratio

    def retry_token_state(self, now_us: int) -> RetryTokenState:
        """Return the available retry tokens, and whether a retry was recently denied for lack of them."""
        self.now_us = max(now_us, self.now_us)
        return RetryTokenState(self.retry_budget.available(self.now_us), self.retry_budget.is_short(now_us))

    def slow_start_demands(self, now_us: int) -> list[tuple[int, int, bool, bool]]:
        """Return the `SlowStartDemand` of each server of the subset that is warming or not settled yet."""
        self.now_us = max(now_us, self.now_us)
        return [*self.slow_start.demands(self.now_us, now_us)]

    def silent_servers(self, now_us: int) -> list[int]:
        """Return the servers that get no further attempts because their oldest attempt in flight is overdue."""
        return self.subset.silent_servers(now_us)

    def started_at_us(self, server: int) -> int:
        """Return when a server's process started according to the server list; -1 if the server is not listed."""
        endpoint = self.endpoints.by_server.get(server)
        return endpoint.entry.started_us if endpoint is not None else -1

    def ejected_servers(self, now_us: int) -> list[tuple[int, bool]]:
        """Return the servers whose breaker is not closed, each with whether this proxy probes it.

        A server whose cooldown ended more than `INITIAL_COOLDOWN_US` ago counts as not probed: this proxy has no
        request that may be sent as a probe, so other proxies should not wait for the result.
        """
        found = []
        for server, endpoint in self.endpoints.by_server.items():
            breaker = endpoint.breaker
            if breaker.state is BreakerState.CLOSED or endpoint.entry.status is not ServerStatus.READY:
                continue
            is_unprobed = breaker.state is BreakerState.OPEN and now_us > breaker.open_until_us + INITIAL_COOLDOWN_US
            found.append((server, not is_unprobed))
        return found
