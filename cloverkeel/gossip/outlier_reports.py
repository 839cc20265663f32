"""What peers observed of hosts, and what it amounts to for one host. Pure: time is passed in.

Invariants:
- of one reporter and host the newest observation counts, whatever the order and number of arrivals (a join
  semilattice by incarnation and timestamp, as in a state-based CRDT);
- an observation counts for OBSERVATION_LIFETIME_US from the moment that its reporter made it, by this clock;
- at most MAX_REPORTERS_PER_HOST observations for each of MAX_HOSTS hosts are kept, and one clock for each gateway;
- what one reporter claims alone makes no host a suspected outlier.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cloverkeel.gossip.messages import MAX_COUNT, HostProcess, ObservationItem
from cloverkeel.gossip.outcome_window import MAX_HOSTS, NO_OUTCOMES, OBSERVATION_LIFETIME_US, OutcomeTotals
from cloverkeel.gossip.peer_clock import PeerClocks, timestamp_difference_ms

MAX_REPORTERS_PER_HOST: Final = 16
MIN_REPORTERS: Final = 2  # of failures at a host, for it to be a suspected outlier
MIN_CREDIBILITY: Final = 0.25  # of a reporter that is counted: half of the rest fails for it


@dataclass(slots=True)
class Observation:
    """The newest that one gateway reported of one host."""

    item: ObservationItem
    observed_us: int  # by this clock
    transmissions_left: int = 0  # how often it is still to be forwarded

    def is_live(self, now_us: int) -> bool:
        """Return whether it still counts."""
        return now_us - self.observed_us < OBSERVATION_LIFETIME_US


@dataclass(slots=True, frozen=True)
class Assessment:
    """What peers, and this gateway of late, observed of one host: what the balancer is told."""

    successes: float
    failures: float
    failure_reporters: int  # peers that saw it fail
    success_reporters: int  # peers that saw only successes
    expires_us: int  # nothing of it counts after that

    @property
    def is_suspected_outlier(self) -> bool:
        """Whether enough peers saw it fail, and it fails at least as often as it succeeds."""
        return self.failure_reporters >= MIN_REPORTERS and self.failures >= self.successes


class PeerObservations:
    """All observations of peers."""

    def __init__(self) -> None:
        self.clocks = PeerClocks()
        self.observations_by_host: dict[HostProcess, dict[int, Observation]] = {}  # then by reporter
        self.stale_count = 0  # items that were no newer than what is known
        self.late_count = 0  # items that had expired on the way

    def merge(self, now_us: int, item: ObservationItem) -> Observation | None:
        """Take an item in; return its observation where it is new and counts."""
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
        """Return an item's age; None, and count it, where it does not count."""
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
        """Return what counts now of a host."""
        observations = self.observations_by_host.get(host, {})
        return [observation for observation in observations.values() if observation.is_live(now_us)]

    def expire(self, now_us: int) -> bool:
        """Drop what has expired; return whether there is room for another host."""
        for host, observations in list(self.observations_by_host.items()):
            for reporter, observation in list(observations.items()):
                if not observation.is_live(now_us):
                    del observations[reporter]
            if not observations:
                del self.observations_by_host[host]
        return len(self.observations_by_host) < MAX_HOSTS


def is_newer(item: ObservationItem, known: ObservationItem) -> bool:
    """Return whether an item replaces what is known of the same reporter and host."""
    if item.incarnation != known.incarnation:
        return item.incarnation > known.incarnation
    if item.timestamp_ms != known.timestamp_ms:
        return timestamp_difference_ms(item.timestamp_ms, known.timestamp_ms) > 0
    # A reporter makes one claim at one moment; should it make two, all gateways keep the same one.
    return _claims(item) > _claims(known)


def _claims(item: ObservationItem) -> tuple[int, int, int, int]:
    return item.failures, item.successes, item.failure_ratio_elsewhere, item.zone


def reporter_credibility(item: ObservationItem) -> float:
    """Return how much a reporter's failures count against the host: little where most fails for it elsewhere."""
    return (1.0 - item.failure_ratio_elsewhere / MAX_COUNT) ** 2


def _prefer_own_zone(live: list[Observation], zone: int, local: OutcomeTotals) -> list[Observation]:
    """Return the observations of the own zone alone where that zone is answered well, else all."""
    near = [observation for observation in live if observation.item.zone == zone]
    successes = local.successes + sum(observation.item.successes for observation in near)
    failures = local.failures + sum(observation.item.failures for observation in near)
    is_well_from_here = successes > 0 and successes >= 2 * failures
    return near if is_well_from_here else live


def assess(
    now_us: int, observations: Iterable[Observation], zone: int, local: OutcomeTotals = NO_OUTCOMES
) -> Assessment:
    """Sum up what is known of one host: newer observations weigh more; `local`: this gateway's own outcomes."""
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
