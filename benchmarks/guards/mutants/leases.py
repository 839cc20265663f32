"""Mutants of the leased roles: each takes out one guard."""

from __future__ import annotations

from typing import Any

from benchmarks.guards.patching import cut, entry, swap


@entry("lease-silence")
def _() -> None:
    """A voter that began anew votes at once."""
    from cloverkeel.leases.acceptor import Acceptor

    swap(Acceptor, "speaks", lambda self, now_us: True)


@entry("lease-one")
def _() -> None:
    """A voter lets a higher ballot in though another's lease lives."""
    from cloverkeel.leases.acceptor import Acceptor

    cut(Acceptor, "admit", ("if held is not None and (held.number != number or held.nonce != nonce):", "if False:"))


@entry("lease-consent")
def _() -> None:
    """A voter takes any ballot for its holder's consent."""
    from cloverkeel.leases.acceptor import Acceptor

    cut(Acceptor, "admit", ("consent and consent == held.ballot", "consent"))


@entry("lease-sent")
def _() -> None:
    """A lease counts from the moment at which the answers came."""
    from cloverkeel.leases.lease import Lease

    cut(Lease, "receive", ("return self.on_won()", "self.sent_us = now_us; return self.on_won()"))


@entry("lease-round")
def _() -> None:
    """Answers to an older round count for the one that is out."""
    from cloverkeel.leases.lease import Lease

    cut(Lease, "receive", (" or message.round != self.round or message.ballot != self.ballot", ""))


@entry("lease-ends")
def _() -> None:
    """A holder does not look at the time before it acts: what wakes it first is answered."""
    from cloverkeel.leases.lease import Lease

    cut(Lease, "may_act", (" and now_us < self.until_us", ""))


@entry("lease-believed")
def _() -> None:
    """A holder believes that it holds the duty until somebody says otherwise."""
    from cloverkeel.leases.lease import Terms

    Terms.held_us = property(lambda self: 1 << 50)  # type: ignore[assignment]


@entry("lease-handing")
def _() -> None:
    """A holder acts while it hands on."""
    from cloverkeel.leases.lease import Lease

    cut(Lease, "may_act", ("self.phase is Phase.HELD", "self.phase in (Phase.HELD, Phase.HANDING_ON)"))
    cut(Lease, "hand_on", ("self.until_us = 0", "pass"))


@entry("lease-clock")
def _() -> None:
    """What comes in is answered by the time that was read last, before a stall."""
    from cloverkeel.leases.driver import Room

    cut(
        Room,
        "datagram_received",
        ("receive(self.clock(), head", "receive(self.gateway.stall_detector.last_check_us, head"),
    )


@entry("act-late")
def _() -> None:
    """An act is sent without a further look at the time."""
    from cloverkeel.leases.driver import Room

    cut(Room, "send", ("isinstance(message, Act) and not self.office.may_act(self.clock(), message.duty)", "False"))


@entry("epoch-fence")
def _() -> None:
    """Acts with an older epoch count too."""
    from cloverkeel.leases.ballots import Fence

    swap(Fence, "admit", lambda self, duty, epoch, holder: True)


@entry("epoch-heard")
def _() -> None:
    """Ballots follow the wall clock alone."""
    from cloverkeel.leases.ballots import Counter

    swap(Counter, "hear", lambda self, now_us, counter: True)
    cut(Counter, "next", ("max(self.highest + 1, self.wall(now_us))", "self.wall(now_us)"))


@entry("epoch-older")
def _() -> None:
    """A holder whose act was refused for an older epoch goes on as before."""
    from cloverkeel.leases.lease import Lease

    swap(Lease, "is_older", lambda self, now_us, seen: [])


@entry("epoch-outbid")
def _() -> None:
    """A holder by the service whose act was refused goes on above what was seen, whoever that was."""
    from cloverkeel.leases.lease import Began
    from cloverkeel.leases.zookeeper_lease import ServiceLease

    def outbid(self: ServiceLease, now_us: int, seen: int) -> list[Any]:
        self.floor, self.epoch = seen, seen + 1
        return [Began(self.duty, self.epoch)]

    swap(ServiceLease, "is_older", outbid)


@entry("voters-differ")
def _() -> None:
    """Any number of voters is as good as one's own."""
    from cloverkeel.leases.manager import Office

    cut(Office, "receive", ("head.voters != self.terms.voters or ", ""))


@entry("portion-ends")
def _() -> None:
    """What was granted is used for good."""
    from cloverkeel.leases.slow_start_budget import Holding

    cut(Holding, "share", ("self.granted if now_us < self.granted_until_us else 0.0", "self.granted"))


@entry("lent-counted")
def _() -> None:
    """A warden does not count what it has granted to others."""
    from cloverkeel.leases.slow_start_budget import Warden

    cut(Warden, "give", ("pool - others", "pool"), ("fair = pool / max(1, len(self.wants))", "fair = pool"))


@entry("lent-once")
def _() -> None:
    """A part is lent to whoever holds the duty now, though an older loan has not ended."""
    from cloverkeel.leases.slow_start_budget import Holding

    cut(Holding, "lend", ("if now_us < self.lent_until_us and to != self.lent_to:", "if False:"))


@entry("lent-stamp")
def _() -> None:
    """A loan counts from the moment at which the warden hears of it."""
    from cloverkeel.leases.slow_start_budget import Warden

    cut(Warden, "on_report", ("until_us = echo_us + LEND_US", "until_us = now_us + LEND_US"))


@entry("trials-idle")
def _() -> None:
    """A holder that does not try holds the others back."""
    from cloverkeel.leases.probe_election import Outs

    cut(Outs, "on_report", ("TRIED if out.tried else IDLE", "TRIED"))


@entry("trials-end")
def _() -> None:
    """Trials are held back from whenever the answer comes."""
    from cloverkeel.leases.probe_election import Outs

    cut(Outs, "on_act", ("and asked_us + HOLD_US > now_us", ""), ("asked_us + HOLD_US)", "now_us + HOLD_US)"))
