"""Mutants of gossip between gateways: each takes out one guard."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from benchmarks.guards.patching import cut, entry, swap


@entry("hearsay-credit")
def _() -> None:
    """Who fails everywhere speaks, and is believed like others."""
    from cloverkeel.gossip import outlier_reports as evidence, node as exchange

    evidence.credit = lambda item: 1.0
    exchange.ILL = 2.0  # type: ignore[misc]


@entry("hearsay-age")
def _() -> None:
    """What comes is of now."""
    from cloverkeel.gossip.outlier_reports import Clock

    swap(Clock, "age_ms", lambda self, now_us, stamp: 0)


@entry("hearsay-ends")
def _() -> None:
    """What was told counts for good."""
    from cloverkeel.gossip import node as exchange
    from cloverkeel.gossip.outlier_reports import Piece

    swap(Piece, "lives", lambda self, now_us: True)
    swap(exchange.Exchange, "look_again", lambda self, now_us: None)
    from cloverkeel.balancing.peer_reports import PeerReports

    for_good = "event.until_us + 10**9 if is_suspected else 0"
    cut(PeerReports, "apply_report", ("event.until_us if is_suspected else 0", for_good))


@entry("hearsay-zone")
def _() -> None:
    """Evidence of other zones counts like that of one's own."""
    from cloverkeel.gossip import node as exchange
    from cloverkeel.gossip.outlier_reports import weigh

    def everywhere(now_us: int, pieces: Any, zone: int, own: tuple[int, int] = (0, 0)) -> Any:
        return weigh(now_us, pieces, -1, (0, 0))

    vars(exchange)["weigh"] = everywhere
    from tests import test_sharing_pure

    vars(test_sharing_pure)["weigh"] = everywhere


@entry("hearsay-newer")
def _() -> None:
    """The piece that comes last counts, of whatever incarnation."""
    from cloverkeel.gossip import outlier_reports as evidence

    evidence.is_newer = lambda item, before: True
    swap(evidence.Clocks, "age_ms", lambda self, now_us, number, incarnation, stamp: 0)


@entry("hearsay-goods")
def _() -> None:
    """What others were answered well does not count."""
    from cloverkeel.gossip import node as exchange
    from cloverkeel.gossip.outlier_reports import weigh

    vars(exchange)["weigh"] = lambda *given: replace(weigh(*given), good=0.0)


@entry("rumours-confirmed")
def _() -> None:
    """Each failure is passed on by whoever hears of it."""
    from cloverkeel.gossip.node import Exchange

    cut(Exchange, "on_evidence", ("if reporters >= DOUBT_TELLERS:", "if True:"))


@entry("rumours-bytes")
def _() -> None:
    """What is said costs nothing."""
    from cloverkeel.gossip.node import Exchange

    cut(Exchange, "post", ("bucket.left -= len(data)", "pass"))


@entry("rights-kept")
def _() -> None:
    """Who gives tokens goes on using them."""
    from cloverkeel.gossip.retry_tokens import Rights
    from cloverkeel.gossip.driver import Room

    def take(self: Any, most: float) -> float:
        before, wanting = self.gateway.balancer.retry_token_state(self.clock())
        return 0.0 if wanting else min(most, before)

    swap(Room, "take", take)
    cut(Rights, "give", ("int(self.purse.take(most) * UNIT)", "int(most * UNIT)"))


@entry("rights-once")
def _() -> None:
    """A gift that comes twice is taken twice."""
    from cloverkeel.gossip.retry_tokens import Rights

    cut(Rights, "take", ("fresh = (gift.incarnation, gift.sequence) > last", "fresh = True"))


@entry("rights-for")
def _() -> None:
    """A gift is anybody's, whenever it comes."""
    from cloverkeel.gossip.retry_tokens import Rights

    cut(Rights, "take", (" and gift.to_incarnation == own", ""), (" or age_us is None or age_us >= LIFE_US", ""),
        ("now_us + LIFE_US - age_us", "now_us + LIFE_US"))  # fmt: skip


@entry("rights-begin")
def _() -> None:
    """A process that begins saves up as much as ever, and has it."""
    from cloverkeel.gossip.driver import Room

    begins = "self.gateway.retry_rights(CAP, -self.gateway.balancer.retry_token_state(self.clock())[0])"
    cut(Room, "start", (begins, "pass"))


@entry("hearsay-crowd")
def _() -> None:
    """A time-out speaks against a host that has answered others since it was sent."""
    from cloverkeel.gossip.outlier_reports import Watch

    swap(Watch, "answered_since", lambda self, host, since_us: False)


@entry("presence-probe")
def _() -> None:
    """A probe that nobody answers tells nothing."""
    from cloverkeel.gossip.failure_detector import Presence

    cut(Presence, "end_probe", ("if other.life is Life.ALIVE:", "if False:"))


@entry("presence-suspect")
def _() -> None:
    """Who does not answer one probe is gone."""
    from cloverkeel.gossip.failure_detector import Presence

    swap(Presence, "suspect_us", lambda self, other: 0)


@entry("presence-above")
def _() -> None:
    """Who hears of a higher incarnation under its name does not go above it."""
    from cloverkeel.gossip.failure_detector import Presence

    swap(Presence, "hear_of_oneself", lambda self, now_us, item: None)


@entry("presence-told")
def _() -> None:
    """Each datagram of a gateway that is suspected is answered with what is said of it."""
    from cloverkeel.gossip import failure_detector as presence

    presence.TOLD_US = 0  # type: ignore[misc]


@entry("presence-stall")
def _() -> None:
    """Who stood still accuses others of what it did not hear."""
    from cloverkeel.gossip.failure_detector import Presence

    swap(Presence, "stood_still", lambda self, now_us, stall_us: None)
