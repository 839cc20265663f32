"""Mutants of gossip between gateways: each takes out one guard."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from benchmarks.guards.patching import cut, entry, swap


@entry("hearsay-credit")
def _() -> None:
    """Who fails everywhere speaks, and is believed like others."""
    from cloverkeel.gossip import outlier_gossip, outlier_reports

    outlier_reports.reporter_credibility = lambda item: 1.0
    outlier_gossip.MAX_COMMON_FAILURE_RATIO = 2.0  # type: ignore[misc]


@entry("hearsay-age")
def _() -> None:
    """What comes is of now."""
    from cloverkeel.gossip.peer_clock import PeerClock

    swap(PeerClock, "age_ms", lambda self, now_us, timestamp_ms: 0)


@entry("hearsay-ends")
def _() -> None:
    """What was told counts for good."""
    from cloverkeel.gossip.outlier_gossip import OutlierGossip
    from cloverkeel.gossip.outlier_reports import Observation

    swap(Observation, "is_live", lambda self, now_us: True)
    swap(OutlierGossip, "refresh_assessments", lambda self, now_us: None)
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "on_peer_health_report", ("event.until_us if bad else 0", "event.until_us + 10**9 if bad else 0"))


@entry("hearsay-zone")
def _() -> None:
    """Evidence of other zones counts like that of one's own."""
    from cloverkeel.gossip import outlier_gossip
    from cloverkeel.gossip.outlier_reports import assess

    def assess_all_zones(now_us: int, observations: Any, zone: int, local: Any = None) -> Any:
        return assess(now_us, observations, -1)

    vars(outlier_gossip)["assess"] = assess_all_zones
    from tests.gossip import test_outlier_reports

    vars(test_outlier_reports)["assess"] = assess_all_zones


@entry("hearsay-newer")
def _() -> None:
    """The piece that comes last counts, of whatever incarnation."""
    from cloverkeel.gossip import outlier_reports
    from cloverkeel.gossip.peer_clock import PeerClocks

    outlier_reports.is_newer = lambda item, known: True
    swap(PeerClocks, "age_ms", lambda self, now_us, gateway, incarnation, timestamp_ms: 0)


@entry("hearsay-goods")
def _() -> None:
    """What others were answered well does not count."""
    from cloverkeel.gossip import outlier_gossip
    from cloverkeel.gossip.outlier_reports import assess

    vars(outlier_gossip)["assess"] = lambda *arguments: replace(assess(*arguments), successes=0.0)


@entry("rumours-confirmed")
def _() -> None:
    """Each failure is passed on by whoever hears of it."""
    from cloverkeel.gossip.outlier_gossip import OutlierGossip

    cut(OutlierGossip, "on_observation", ("if reporters >= MIN_REPORTERS:", "if True:"))


@entry("rumours-bytes")
def _() -> None:
    """What is said costs nothing."""
    from cloverkeel.gossip.node import GossipNode

    cut(GossipNode, "_send", ("bucket.spend(len(payload))", "pass"))


@entry("rights-kept")
def _() -> None:
    """Who gives tokens goes on using them."""
    from cloverkeel.gossip.driver import GossipDriver
    from cloverkeel.gossip.retry_tokens import RetryTokens

    def withdraw(self: Any, max_tokens: float) -> float:
        available, is_short = self.gateway.balancer.retry_state(self.clock())
        return 0.0 if is_short else min(max_tokens, available)

    swap(GossipDriver, "withdraw", withdraw)
    cut(RetryTokens, "grant", ("int(self.bucket.withdraw(max_tokens) * HUNDREDTHS_PER_TOKEN)",
                               "int(max_tokens * HUNDREDTHS_PER_TOKEN)"))  # fmt: skip


@entry("rights-once")
def _() -> None:
    """A gift that comes twice is taken twice."""
    from cloverkeel.gossip.retry_tokens import RetryTokens

    cut(RetryTokens, "accept", ("is_new = self._record_sequence(grant)", "is_new = True"))


@entry("rights-for")
def _() -> None:
    """A gift is anybody's, whenever it comes."""
    from cloverkeel.gossip.retry_tokens import RetryTokens

    cut(RetryTokens, "accept", (" and grant.recipient_incarnation == own_incarnation", ""),
        ("if age_us is None or age_us >= GRANT_LIFETIME_US:", "if False:"),
        ("now_us + GRANT_LIFETIME_US - age_us", "now_us + GRANT_LIFETIME_US"))  # fmt: skip


@entry("rights-begin")
def _() -> None:
    """A process that begins saves up as much as ever, and has it."""
    from cloverkeel.gossip.driver import GossipDriver

    begins = "self.gateway.retry_rights(MAX_SAVED_TOKENS, -self.gateway.balancer.retry_state(self.clock())[0])"
    cut(GossipDriver, "start", (begins, "pass"))


@entry("hearsay-crowd")
def _() -> None:
    """A time-out speaks against a host that has answered others since it was sent."""
    from cloverkeel.gossip.outcome_window import LocalOutcomes

    swap(LocalOutcomes, "has_succeeded_since", lambda self, host, since_us: False)


@entry("presence-probe")
def _() -> None:
    """A probe that nobody answers tells nothing."""
    from cloverkeel.gossip.failure_detector import FailureDetector

    cut(FailureDetector, "_end_probe", ("if self.membership.suspect(now_us, probe.target):", "if False:"))


@entry("presence-suspect")
def _() -> None:
    """Who does not answer one probe is gone."""
    from cloverkeel.gossip.membership import MembershipTable

    swap(MembershipTable, "suspicion_timeout_us", lambda self, peer: 0)


@entry("presence-above")
def _() -> None:
    """Who hears of a higher incarnation under its name does not go above it."""
    from cloverkeel.gossip.membership import MembershipTable

    swap(MembershipTable, "on_claim_about_self", lambda self, now_us, item: None)


@entry("presence-told")
def _() -> None:
    """Each datagram of a gateway that is suspected is answered with what is said of it."""
    from cloverkeel.gossip import membership

    membership.SUSPICION_NOTICE_INTERVAL_US = 0  # type: ignore[misc]


@entry("presence-stall")
def _() -> None:
    """Who stood still accuses others of what it did not hear."""
    from cloverkeel.gossip.failure_detector import FailureDetector

    swap(FailureDetector, "on_stall", lambda self, now_us, stall_us: None)
