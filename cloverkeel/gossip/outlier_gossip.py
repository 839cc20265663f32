"""Selects which outcomes of hosts are reported and forwarded to peers, and notifies the balancer. Pure.

A failure is reported to a few peers. A gateway that knows of two reporters for one host broadcasts both observations
to the fleet, so that an isolated failure spreads no further (docs/peers-design.md, 'Why two tellers').

Invariants:
- no failure is reported while most attempts at other hosts fail too: then this gateway itself is probably faulty;
- an observation is forwarded if a second reporter confirms it or if it contradicts a suspicion, and at most
  MAX_FAILURE_REPORTERS or MAX_SUCCESS_REPORTERS of them for one host;
- the balancer is notified of a host again only when the host's assessment has changed or expires.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from cloverkeel.gossip.dissemination import BroadcastQueue, max_transmissions, unconfirmed_fanout
from cloverkeel.gossip.membership import MembershipTable
from cloverkeel.gossip.messages import MAX_COUNT, HostProcess, ObservationItem
from cloverkeel.gossip.outcome_window import MAX_HOSTS, OBSERVATION_LIFETIME_US, WINDOW_SLOT_US, LocalOutcomes
from cloverkeel.gossip.outlier_reports import MIN_REPORTERS, Assessment, Observation, PeerObservations, assess
from cloverkeel.gossip.peer_clock import timestamp_ms_of

REPORT_INTERVAL_US: Final = 800_000  # between this gateway's reports about one host
CONFIRMATION_WINDOW_US: Final = 600_000  # reporters that saw a host fail within this time confirm each other
# Observations of failures that are forwarded per host. A gateway that knows of as many does not report its own.
MAX_FAILURE_REPORTERS: Final = 3
MAX_SUCCESS_REPORTERS: Final = 4  # the same for observations of successes that contradict a suspicion
MAX_COMMON_FAILURE_RATIO: Final = 0.5  # failure ratio at other hosts above which failures are not reported
SUSPICION_MEMORY_US: Final = 10_000_000  # for this long after a suspicion, successes of the host are reported

AssessmentHandler = Callable[[HostProcess, Assessment], None]


@dataclass(slots=True)
class OutlierCounts:
    """Counters since the start."""

    unconfirmed_reports: int = 0  # own reports of failures that had no second reporter
    confirmed_hosts: int = 0  # suspicions of hosts by a second reporter
    success_reports: int = 0  # own reports of successes that contradict a suspicion
    withheld_reports: int = 0  # failures not reported because most attempts at other hosts fail too
    notifications: int = 0  # assessments passed to the balancer


class OutlierGossip:
    """Turns own outcomes and observations of peers into broadcasts, and into assessments for the balancer."""

    def __init__(
        self, zone: int, membership: MembershipTable, broadcasts: BroadcastQueue, on_assessment: AssessmentHandler
    ) -> None:
        """`on_assessment` is called with the assessment of a host when it has changed."""
        self.zone, self.membership, self.broadcasts = zone, membership, broadcasts
        self.on_assessment = on_assessment
        self.local = LocalOutcomes()
        self.observations = PeerObservations()
        self.max_transmissions = max_transmissions(membership.fleet_size)
        self.unconfirmed_fanout = unconfirmed_fanout(membership.fleet_size)
        self.reported_us_by_host: dict[HostProcess, int] = {}
        self.suspected_us_by_host: dict[HostProcess, int] = {}
        self.assessment_by_host: dict[HostProcess, Assessment] = {}  # last ones passed to the balancer
        self.counts = OutlierCounts()

    # Own outcomes

    def record_outcome(self, now_us: int, host: HostProcess, is_success: bool, sent_us: int = 0) -> None:
        """Record the end of an attempt; `sent_us`: the time it was sent if it timed out, else 0.

        A timeout is ignored if the host has answered this gateway since: it indicates overload, not a faulty host.
        """
        if not is_success and sent_us and self.local.has_succeeded_since(host, sent_us):
            return
        self.local.record(now_us, host, is_success)
        if not is_success:
            self._on_local_failure(now_us, host)
        elif self._was_suspected_recently(now_us, host):
            contradicts_suspicion = self.local.has_just_recovered(host) or self.failure_observations(now_us, host)
            if contradicts_suspicion:
                self._on_contradicting_success(now_us, host)

    def _on_local_failure(self, now_us: int, host: HostProcess) -> None:
        reporters = len(self.failure_observations(now_us, host, CONFIRMATION_WINDOW_US))
        may_report = self._may_report(now_us, host)
        if self.local.failure_ratio_elsewhere(now_us, host) > MAX_COMMON_FAILURE_RATIO:
            self.counts.withheld_reports += 1
            return
        if reporters + 1 >= MIN_REPORTERS:
            self._confirm(now_us, host)
            if may_report and reporters < MAX_FAILURE_REPORTERS:
                self._report(now_us, host, self.max_transmissions)
        elif may_report:
            self.counts.unconfirmed_reports += 1
            self._report(now_us, host, self.unconfirmed_fanout)
        self._update_assessment(now_us, host)

    def _on_contradicting_success(self, now_us: int, host: HostProcess) -> None:
        reporters = len(self._success_observations(now_us, host))
        has_failures = self.local.totals(now_us, host).failures > 0
        if self._may_report(now_us, host) and not has_failures and reporters < MAX_SUCCESS_REPORTERS:
            self.counts.success_reports += 1
            self._report(now_us, host, self.max_transmissions)
        self._update_assessment(now_us, host)

    def _was_suspected_recently(self, now_us: int, host: HostProcess) -> bool:
        return now_us - self.suspected_us_by_host.get(host, -SUSPICION_MEMORY_US) < SUSPICION_MEMORY_US

    def _may_report(self, now_us: int, host: HostProcess) -> bool:
        return now_us - self.reported_us_by_host.get(host, -REPORT_INTERVAL_US) >= REPORT_INTERVAL_US

    def failure_observations(
        self, now_us: int, host: HostProcess, within_us: int = OBSERVATION_LIFETIME_US
    ) -> list[Observation]:
        """Return the observations of peers that saw a host fail within the last `within_us`."""
        live = self.observations.live_observations(now_us, host)
        return [
            observation
            for observation in live
            if observation.item.failures > 0 and now_us - observation.observed_us < within_us
        ]

    def _success_observations(self, now_us: int, host: HostProcess) -> list[Observation]:
        live = self.observations.live_observations(now_us, host)
        return [observation for observation in live if observation.item.failures == 0]

    def _local_observation(self, now_us: int, host: HostProcess) -> ObservationItem:
        totals = self.local.totals(now_us, host)
        failure_ratio = int(MAX_COUNT * self.local.failure_ratio_elsewhere(now_us, host))
        return ObservationItem(
            self.membership.gateway, self.membership.incarnation, timestamp_ms_of(now_us), host.host, host.started_ms,
            min(totals.successes, MAX_COUNT), min(totals.failures, MAX_COUNT), failure_ratio,
            min(self.zone, MAX_COUNT),
        )  # fmt: skip

    def _report(self, now_us: int, host: HostProcess, transmissions: int) -> None:
        """Broadcast this gateway's own observation of a host."""
        if len(self.reported_us_by_host) >= MAX_HOSTS:
            self.reported_us_by_host = _recent(self.reported_us_by_host, now_us - REPORT_INTERVAL_US)
        self.reported_us_by_host[host] = now_us
        self.broadcasts.add(self._local_observation(now_us, host), transmissions)

    # Observations from peers

    def on_observation(self, now_us: int, item: ObservationItem) -> None:
        """Process an observation that a peer reported or forwarded."""
        if item.reporter not in self.membership.peers:
            return
        observation = self.observations.merge(now_us, item)
        if observation is None:
            self.broadcasts.on_duplicate(item)
            return
        host = item.process
        if item.failures > 0:
            observation.transmissions_left = self.max_transmissions
            reporters = len(self.failure_observations(now_us, host, CONFIRMATION_WINDOW_US))
            reporters += self._failed_here_recently(now_us, host)
            if reporters >= MIN_REPORTERS:
                self._confirm(now_us, host)
        elif self._was_suspected_recently(now_us, host):
            self._forward_contradiction(now_us, host, observation)
        self._update_assessment(now_us, host)

    def _failed_here_recently(self, now_us: int, host: HostProcess) -> bool:
        return now_us - self.local.last_failure_us(host) < CONFIRMATION_WINDOW_US

    def _forward_contradiction(self, now_us: int, host: HostProcess, observation: Observation) -> None:
        if len(self._success_observations(now_us, host)) <= MAX_SUCCESS_REPORTERS:
            observation.transmissions_left = self.max_transmissions
            self.broadcasts.forward(observation)

    def _confirm(self, now_us: int, host: HostProcess) -> None:
        """Broadcast the failures of a host that two reporters observed; add this gateway's own if few are known."""
        self._note_suspicion(now_us, host)
        observations = self.failure_observations(now_us, host, CONFIRMATION_WINDOW_US)
        newest_first = sorted(observations, key=lambda observation: -observation.observed_us)
        for rank, observation in enumerate(newest_first):
            if rank < MAX_FAILURE_REPORTERS:
                self.broadcasts.forward(observation)
            observation.transmissions_left = 0
        has_too_few_reporters = len(observations) < MAX_FAILURE_REPORTERS
        if self._failed_here_recently(now_us, host) and has_too_few_reporters and self._may_report(now_us, host):
            self._report(now_us, host, self.max_transmissions)

    def _note_suspicion(self, now_us: int, host: HostProcess) -> None:
        last_us = self.suspected_us_by_host.get(host, -OBSERVATION_LIFETIME_US)
        if now_us - last_us >= OBSERVATION_LIFETIME_US:
            self.counts.confirmed_hosts += 1
            self.local.clear_successes(host)
        if len(self.suspected_us_by_host) >= MAX_HOSTS:
            self.suspected_us_by_host = _recent(self.suspected_us_by_host, now_us - SUSPICION_MEMORY_US)
        self.suspected_us_by_host[host] = now_us

    # Assessments for the balancer

    def _update_assessment(self, now_us: int, host: HostProcess) -> None:
        observations = self.observations.live_observations(now_us, host)
        assessment = assess(now_us, observations, self.zone, self.local.totals(now_us, host))
        previous = self.assessment_by_host.get(host)
        if previous is not None:
            if not _has_changed(previous, assessment):
                return
        elif not _is_actionable(assessment) or len(self.assessment_by_host) >= MAX_HOSTS:
            return
        self.assessment_by_host[host] = assessment
        self._notify_balancer(host, assessment)

    def _notify_balancer(self, host: HostProcess, assessment: Assessment) -> None:
        self.counts.notifications += 1
        self.on_assessment(host, assessment)

    def refresh_assessments(self, now_us: int) -> None:
        """Update the assessments passed to the balancer, which also change as observations age."""
        for host, assessment in list(self.assessment_by_host.items()):
            if now_us >= assessment.expires_us:
                del self.assessment_by_host[host]
                self._notify_balancer(host, Assessment(0.0, 0.0, 0, 0, now_us))
            else:
                self._update_assessment(now_us, host)
        self.observations.expire(now_us)

    def suspicion_items(self, now_us: int) -> list[ObservationItem]:
        """Return the newest observations that make hosts suspected, for a gateway that has just started."""
        items: list[ObservationItem] = []
        for host in self.observations.observations_by_host:
            if self._was_suspected_recently(now_us, host):
                observations = self.failure_observations(now_us, host)
                newest_first = sorted(observations, key=lambda observation: -observation.observed_us)
                items += [observation.item for observation in newest_first[:MIN_REPORTERS]]
        return items


def _recent(time_by_host: dict[HostProcess, int], after_us: int) -> dict[HostProcess, int]:
    """Return the entries with a time after `after_us`."""
    return {host: at_us for host, at_us in time_by_host.items() if at_us > after_us}


def _is_actionable(assessment: Assessment) -> bool:
    """Return whether the balancer would act on an assessment."""
    return assessment.failure_reporters >= MIN_REPORTERS or assessment.success_reporters >= MIN_REPORTERS


def _has_changed(previous: Assessment, assessment: Assessment) -> bool:
    """Return whether the balancer has to be notified again."""
    if assessment.is_suspected_outlier != previous.is_suspected_outlier:
        return True
    if assessment.failure_reporters != previous.failure_reporters:
        return True
    if assessment.success_reporters != previous.success_reporters:
        return True
    return assessment.expires_us - previous.expires_us >= WINDOW_SLOT_US
