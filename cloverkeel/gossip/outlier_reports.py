"""Peers' observations of hosts, and the assessment of a host computed from them. Pure: time is passed in.

Invariants:
- for each reporter and host the newest observation counts, regardless of the order and number of arrivals (a join
  semilattice ordered by incarnation and timestamp, as in a state-based CRDT);
- an observation counts for OBSERVATION_LIFETIME_US after its reporter made it, measured by this gateway's clock;
- at most MAX_REPORTERS_PER_HOST observations for each of MAX_HOSTS hosts are kept, and one clock for each gateway;
- observations of a single reporter do not make a host a suspected outlier.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cloverkeel.gossip.messages import MAX_COUNT, HostProcess, ObservationItem
from cloverkeel.gossip.outcome_window import MAX_HOSTS, NO_OUTCOMES, OBSERVATION_LIFETIME_US, OutcomeTotals
from cloverkeel.gossip.peer_clock import PeerClocks, timestamp_difference_ms

MAX_REPORTERS_PER_HOST: Final = 16
MIN_REPORTERS: Final = 2  # reporters of failures that make a host a suspected outlier
MIN_CREDIBILITY: Final = 0.25  # of a reporter that counts; reached if half of its attempts at other hosts fail


@dataclass(slots=True)
class Observation:
    """The newest observation of one host by one reporter."""

    item: ObservationItem
    observed_us: int  # on this gateway's clock
    transmissions_left: int = 0  # when it is forwarded; 0 if it must not be forwarded, or already was

    def is_live(self, now_us: int) -> bool:
        """Return whether the observation has not expired."""
        return now_us - self.observed_us < OBSERVATION_LIFETIME_US


@dataclass(slots=True, frozen=True)
class Assessment:
    """Weighted outcomes of one host at this gateway and its peers, as passed to the balancer."""

    successes: float
    failures: float
    failure_reporters: int  # credible peers that observed failures
    success_reporters: int  # peers that observed only successes
    expires_us: int  # when the last observation expires

    @property
    def is_suspected_outlier(self) -> bool:
        """Whether enough peers observed failures, and there are at least as many failures as successes."""
        return self.failure_reporters >= MIN_REPORTERS and self.failures >= self.successes


class PeerObservations:
    """The newest observations of all peers."""

    def __init__(self) -> None:
        self.clocks = PeerClocks()
        self.observations_by_host: dict[HostProcess, dict[int, Observation]] = {}  # inner key: reporter
        self.stale_count = 0  # items no newer than the known observation, or of an old incarnation
        self.late_count = 0  # items that had expired on arrival

    def merge(self, now_us: int, item: ObservationItem) -> Observation | None:
        """Merge a received item; return its observation, or None if it is stale, expired or there is no room."""
        age_ms = self._age_ms(now_us, item)
        if age_ms is None:
            return None
        host = item.process
        observations = self.observations_by_host.get(host)
        if observations is None:
            if len(self.observations_by_host) >= MAX_HOSTS and not self.expire(now_us):
                return None
            observations = self.observations_by_host[host] = {}
        known = observations.get(item.reporter)
        if known is not None and not is_newer(item, known.item):
            self.stale_count += 1
            return None
        if known is None and len(observations) >= MAX_REPORTERS_PER_HOST:
            del observations[min(observations, key=lambda reporter: observations[reporter].observed_us)]
        observation = observations[item.reporter] = Observation(item, now_us - age_ms * 1000)
        return observation

    def _age_ms(self, now_us: int, item: ObservationItem) -> int | None:
        """Return the age of an item; None, after counting it as stale or late, if it is to be ignored."""
        self.clocks.observe(now_us, item.reporter, item.incarnation, item.timestamp_ms)
        age_ms = self.clocks.age_ms(now_us, item.reporter, item.incarnation, item.timestamp_ms)
        if age_ms is None:
            self.stale_count += 1
            return None
        if age_ms * 1000 >= OBSERVATION_LIFETIME_US:
            self.late_count += 1
            return None
        return age_ms

    def live_observations(self, now_us: int, host: HostProcess) -> list[Observation]:
        """Return the unexpired observations of a host."""
        observations = self.observations_by_host.get(host, {})
        return [observation for observation in observations.values() if observation.is_live(now_us)]

    def expire(self, now_us: int) -> bool:
        """Drop expired observations; return whether there is room for another host."""
        for host, observations in list(self.observations_by_host.items()):
            for reporter, observation in list(observations.items()):
                if not observation.is_live(now_us):
                    del observations[reporter]
            if not observations:
                del self.observations_by_host[host]
        return len(self.observations_by_host) < MAX_HOSTS


def is_newer(item: ObservationItem, known: ObservationItem) -> bool:
    """Return whether an item replaces the known item of the same reporter and host."""
    if item.incarnation != known.incarnation:
        return item.incarnation > known.incarnation
    if item.timestamp_ms != known.timestamp_ms:
        return timestamp_difference_ms(item.timestamp_ms, known.timestamp_ms) > 0
    # If a reporter made two observations at the same time, all gateways must keep the same one.
    return _tie_breaker(item) > _tie_breaker(known)


def _tie_breaker(item: ObservationItem) -> tuple[int, int, int, int]:
    return item.failures, item.successes, item.failure_ratio_elsewhere, item.zone


def reporter_credibility(item: ObservationItem) -> float:
    """Return the weight of a reporter's failures, 0 to 1: low if most of its attempts at other hosts fail too."""
    return (1.0 - item.failure_ratio_elsewhere / MAX_COUNT) ** 2


def _prefer_own_zone(live: list[Observation], zone: int, local: OutcomeTotals) -> list[Observation]:
    """Return only observations from this gateway's zone if the host is healthy from there, else all."""
    own_zone = [observation for observation in live if observation.item.zone == zone]
    successes = local.successes + sum(observation.item.successes for observation in own_zone)
    failures = local.failures + sum(observation.item.failures for observation in own_zone)
    is_healthy_from_zone = successes > 0 and successes >= 2 * failures
    return own_zone if is_healthy_from_zone else live


def assess(
    now_us: int, observations: Iterable[Observation], zone: int, local: OutcomeTotals = NO_OUTCOMES
) -> Assessment:
    """Assess one host, giving newer observations more weight; `local`: this gateway's own outcomes."""
    live = [observation for observation in observations if observation.is_live(now_us)]
    live = _prefer_own_zone(live, zone, local)
    successes, failures = float(local.successes), float(local.failures)
    failure_reporters = success_reporters = 0
    for observation in live:
        item = observation.item
        weight = 1.0 - (now_us - observation.observed_us) / OBSERVATION_LIFETIME_US
        credibility = reporter_credibility(item)
        successes += weight * item.successes
        failures += weight * item.failures * credibility
        failure_reporters += item.failures > 0 and credibility >= MIN_CREDIBILITY
        success_reporters += item.failures == 0 and item.successes > 0
    expires_us = max((observation.observed_us + OBSERVATION_LIFETIME_US for observation in live), default=now_us)
    return Assessment(successes, failures, failure_reporters, success_reporters, expires_us)
