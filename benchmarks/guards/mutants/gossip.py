"""Mutants of gossip between gateways: each takes out one guard."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from benchmarks.guards.patching import cut, entry, swap


@entry("hearsay-credit")
def _() -> None:
    """Who fails everywhere speaks, and is believed like others."""
    from cloverkeel.gossip import outlier_reports as evidence, node as exchange

    evidence.reporter_credibility = lambda item: 1.0
    exchange.MAX_COMMON_FAILURE_RATIO = 2.0  # type: ignore[misc]


@entry("hearsay-age")
def _() -> None:
    """What comes is of now."""
    from cloverkeel.gossip.outlier_reports import ClockOffset

    swap(ClockOffset, "age_ms", lambda self, now_us, stamp: 0)


@entry("hearsay-ends")
def _() -> None:
    """What was told counts for good."""
    from cloverkeel.gossip import node as exchange
    from cloverkeel.gossip.outlier_reports import Observation

    swap(Observation, "lives", lambda self, now_us: True)
    swap(exchange.GossipNode, "look_again", lambda self, now_us: None)
    from cloverkeel.balancing.balancer import Balancer

    cut(Balancer, "on_peer_health_report", ("event.until_us if bad else 0", "event.until_us + 10**9 if bad else 0"))


@entry("hearsay-zone")
def _() -> None:
    """Evidence of other zones counts like that of one's own."""
    from cloverkeel.gossip import node as exchange
    from cloverkeel.gossip.outlier_reports import assess

    def everywhere(now_us: int, pieces: Any, zone: int, own: tuple[int, int] = (0, 0)) -> Any:
        return assess(now_us, pieces, -1, (0, 0))

    vars(exchange)["assess"] = everywhere
    from tests import test_sharing_pure

    vars(test_sharing_pure)["assess"] = everywhere


@entry("hearsay-newer")
def _() -> None:
    """The piece that comes last counts, of whatever incarnation."""
    from cloverkeel.gossip import outlier_reports as evidence

    evidence.is_newer = lambda item, before: True
    swap(evidence.ClockOffsets, "age_ms", lambda self, now_us, number, incarnation, stamp: 0)


@entry("hearsay-goods")
def _() -> None:
    """What others were answered well does not count."""
    from cloverkeel.gossip import node as exchange
    from cloverkeel.gossip.outlier_reports import assess

    vars(exchange)["assess"] = lambda *given: replace(assess(*given), good=0.0)


@entry("rumours-confirmed")
def _() -> None:
    """Each failure is passed on by whoever hears of it."""
    from cloverkeel.gossip.node import GossipNode

    cut(GossipNode, "on_evidence", ("if reporters >= MIN_REPORTERS:", "if True:"))


@entry("rumours-bytes")
def _() -> None:
    """What is said costs nothing."""
    from cloverkeel.gossip.node import GossipNode

    cut(GossipNode, "post", ("bucket.left -= len(data)", "pass"))


@entry("rights-kept")
def _() -> None:
    """Who gives tokens goes on using them."""
    from cloverkeel.gossip.retry_tokens import RetryTokens
    from cloverkeel.gossip.driver import GossipDriver

    def take(self: Any, most: float) -> float:
        before, wanting = self.gateway.balancer.retry_state(self.clock())
        return 0.0 if wanting else min(most, before)

    swap(GossipDriver, "take", take)
    cut(
        RetryTokens, "give", ("int(self.purse.take(most) * HUNDREDTHS_PER_TOKEN)", "int(most * HUNDREDTHS_PER_TOKEN)")
    )


@entry("rights-once")
def _() -> None:
    """A gift that comes twice is taken twice."""
    from cloverkeel.gossip.retry_tokens import RetryTokens

    cut(RetryTokens, "take", ("fresh = (gift.incarnation, gift.sequence) > last", "fresh = True"))


@entry("rights-for")
def _() -> None:
    """A gift is anybody's, whenever it comes."""
    from cloverkeel.gossip.retry_tokens import RetryTokens

    cut(RetryTokens, "take", (" and gift.to_incarnation == own", ""),
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
    from cloverkeel.gossip.outlier_reports import LocalOutcomes

    swap(LocalOutcomes, "answered_since", lambda self, host, since_us: False)


@entry("presence-probe")
def _() -> None:
    """A probe that nobody answers tells nothing."""
    from cloverkeel.gossip.failure_detector import FailureDetector

    cut(FailureDetector, "end_probe", ("if other.life is MemberStatus.ALIVE:", "if False:"))


@entry("presence-suspect")
def _() -> None:
    """Who does not answer one probe is gone."""
    from cloverkeel.gossip.failure_detector import FailureDetector

    swap(FailureDetector, "suspect_us", lambda self, other: 0)


@entry("presence-above")
def _() -> None:
    """Who hears of a higher incarnation under its name does not go above it."""
    from cloverkeel.gossip.failure_detector import FailureDetector

    swap(FailureDetector, "hear_of_oneself", lambda self, now_us, item: None)


@entry("presence-told")
def _() -> None:
    """Each datagram of a gateway that is suspected is answered with what is said of it."""
    from cloverkeel.gossip import failure_detector as presence

    presence.SUSPICION_NOTICE_INTERVAL_US = 0  # type: ignore[misc]


@entry("presence-stall")
def _() -> None:
    """Who stood still accuses others of what it did not hear."""
    from cloverkeel.gossip.failure_detector import FailureDetector

    swap(FailureDetector, "stood_still", lambda self, now_us, stall_us: None)
