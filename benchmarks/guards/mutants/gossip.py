"""Mutants of gossip between gateways: each removes one guard."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from benchmarks.guards.patching import mutant, patch_attribute, patch_source


@mutant("reporter-credibility")
def _() -> None:
    """A gateway for which all hosts fail reports failures, with full credibility."""
    from cloverkeel.gossip import outlier_gossip, outlier_reports

    outlier_reports.reporter_credibility = lambda item: 1.0
    outlier_gossip.MAX_COMMON_FAILURE_RATIO = 2.0  # type: ignore[misc]


@mutant("observation-age")
def _() -> None:
    """Every received timestamp has age 0."""
    from cloverkeel.gossip.peer_clock import PeerClock

    patch_attribute(PeerClock, "age_ms", lambda self, now_us, timestamp_ms: 0)


@mutant("observation-expiry")
def _() -> None:
    """Observations and reports never expire."""
    from cloverkeel.gossip.outlier_gossip import OutlierGossip
    from cloverkeel.gossip.outlier_reports import Observation

    patch_attribute(Observation, "is_live", lambda self, now_us: True)
    patch_attribute(OutlierGossip, "refresh_assessments", lambda self, now_us: None)
    from cloverkeel.balancing.peer_reports import PeerReports

    unlimited = "event.until_us + 10**9 if is_suspected else 0"
    patch_source(PeerReports, "apply_report", ("event.until_us if is_suspected else 0", unlimited))


@mutant("zone-preference")
def _() -> None:
    """Observations from other zones count like those from the gateway's zone."""
    from cloverkeel.gossip import outlier_gossip
    from cloverkeel.gossip.outlier_reports import assess

    def assess_all_zones(now_us: int, observations: Any, zone: int, local: Any = None) -> Any:
        return assess(now_us, observations, -1)

    vars(outlier_gossip)["assess"] = assess_all_zones
    from tests.gossip import test_outlier_reports

    vars(test_outlier_reports)["assess"] = assess_all_zones


@mutant("observation-newest")
def _() -> None:
    """The last observation received counts, regardless of incarnation and timestamp."""
    from cloverkeel.gossip import outlier_reports
    from cloverkeel.gossip.peer_clock import PeerClocks

    outlier_reports.is_newer = lambda item, known: True
    patch_attribute(PeerClocks, "age_ms", lambda self, now_us, gateway, incarnation, timestamp_ms: 0)


@mutant("peer-successes")
def _() -> None:
    """Successes do not count in assessments."""
    from cloverkeel.gossip import outlier_gossip
    from cloverkeel.gossip.outlier_reports import assess

    vars(outlier_gossip)["assess"] = lambda *arguments: replace(assess(*arguments), successes=0.0)


@mutant("broadcast-confirmed")
def _() -> None:
    """Each received failure is forwarded without a second reporter."""
    from cloverkeel.gossip.outlier_gossip import OutlierGossip

    patch_source(OutlierGossip, "on_observation", ("if reporters >= MIN_REPORTERS:", "if True:"))


@mutant("broadcast-bytes")
def _() -> None:
    """Datagrams do not use up bytes of the token bucket."""
    from cloverkeel.gossip.node import GossipNode

    patch_source(GossipNode, "_send", ("bucket.spend(len(payload))", "pass"))


@mutant("retry-tokens-escrow")
def _() -> None:
    """A gateway keeps the tokens that it grants."""
    from cloverkeel.gossip.driver import GossipDriver
    from cloverkeel.gossip.retry_tokens import RetryTokens

    def withdraw(self: Any, max_tokens: float) -> float:
        available, is_short = self.gateway.balancer.retry_token_state(self.clock())
        return 0.0 if is_short else min(max_tokens, available)

    patch_attribute(GossipDriver, "withdraw", withdraw)
    patch_source(RetryTokens, "grant", ("int(self.bucket.withdraw(max_tokens) * HUNDREDTHS_PER_TOKEN)",
                                        "int(max_tokens * HUNDREDTHS_PER_TOKEN)"))  # fmt: skip


@mutant("retry-tokens-once")
def _() -> None:
    """A grant that is received twice is accepted twice."""
    from cloverkeel.gossip.retry_tokens import RetryTokens

    patch_source(RetryTokens, "accept", ("is_new = self._record_sequence(grant)", "is_new = True"))


@mutant("retry-tokens-recipient")
def _() -> None:
    """A grant is accepted by any process and at any age."""
    from cloverkeel.gossip.retry_tokens import RetryTokens

    patch_source(RetryTokens, "accept", (" and grant.recipient_incarnation == own_incarnation", ""),
        ("if age_us is None or age_us >= GRANT_LIFETIME_US:", "if False:"),
        ("now_us + GRANT_LIFETIME_US - age_us", "now_us + GRANT_LIFETIME_US"))  # fmt: skip


@mutant("retry-tokens-start")
def _() -> None:
    """A new process starts with tokens, and may save as many as a gateway that does not transfer tokens."""
    from cloverkeel.gossip.driver import GossipDriver

    initial_grant = (
        "self.gateway.grant_retry_tokens(MAX_SAVED_TOKENS, -self.gateway.balancer.retry_token_state(self.clock())[0])"
    )
    patch_source(GossipDriver, "start", (initial_grant, "pass"))


@mutant("timeout-overload")
def _() -> None:
    """A timeout counts as a failure of a host that has answered other attempts since it was sent."""
    from cloverkeel.gossip.outcome_window import LocalOutcomes

    patch_attribute(LocalOutcomes, "has_succeeded_since", lambda self, host, since_us: False)


@mutant("member-probe")
def _() -> None:
    """An unanswered probe has no effect."""
    from cloverkeel.gossip.membership import MembershipTable

    patch_source(MembershipTable, "suspect", ("if peer.status is MemberStatus.ALIVE:", "if False:"))


@mutant("member-suspicion")
def _() -> None:
    """A suspected gateway is considered dead at once."""
    from cloverkeel.gossip.membership import MembershipTable

    patch_attribute(MembershipTable, "suspicion_timeout_us", lambda self, peer: 0)


@mutant("member-refutation")
def _() -> None:
    """A gateway does not refute suspicions or a higher incarnation under its number."""
    from cloverkeel.gossip.membership import MembershipTable

    patch_attribute(MembershipTable, "on_claim_about_self", lambda self, now_us, item: None)


@mutant("member-notice")
def _() -> None:
    """Each datagram of a suspected gateway is answered with a notice, without a rate limit."""
    from cloverkeel.gossip import membership

    membership.SUSPICION_NOTICE_INTERVAL_US = 0  # type: ignore[misc]


@mutant("member-stall")
def _() -> None:
    """A gateway that was stalled suspects peers whose answers it missed meanwhile."""
    from cloverkeel.gossip.failure_detector import FailureDetector

    patch_attribute(FailureDetector, "on_stall", lambda self, now_us, stall_us: None)
