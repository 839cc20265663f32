"""Mutants of the leased roles: each removes one guard."""

from __future__ import annotations

from typing import Any

from benchmarks.guards.patching import mutant, patch_attribute, patch_source


@mutant("lease-quarantine")
def _() -> None:
    """A restarted voter votes at once."""
    from cloverkeel.leases.acceptor import Acceptor

    patch_attribute(Acceptor, "can_vote", lambda self, now_us: True)


@mutant("lease-one")
def _() -> None:
    """A voter grants a higher ballot although another process's lease has not expired."""
    from cloverkeel.leases.acceptor import Acceptor

    patch_source(
        Acceptor,
        "check_request",
        ("if accepted is not None and not accepted.is_held_by(gateway, nonce):", "if False:"),
    )


@mutant("lease-consent")
def _() -> None:
    """A voter treats any ballot as the holder's consent."""
    from cloverkeel.leases.acceptor import Acceptor

    patch_source(
        Acceptor, "check_request", ("request.consent_ballot == accepted.ballot != 0", "request.consent_ballot != 0")
    )


@mutant("lease-sent")
def _() -> None:
    """A lease is valid from the time at which the responses arrived."""
    from cloverkeel.leases.quorum_lease import QuorumLease

    patch_source(QuorumLease, "receive", ("return self.on_acc", "self.round_started_us = now_us; return self.on_acc"))


@mutant("lease-round")
def _() -> None:
    """Responses to an older round count for the open round."""
    from cloverkeel.leases.quorum_lease import QuorumLease

    patch_source(
        QuorumLease, "is_of_open_round", (" and message.round == self.round and message.ballot == self.ballot", "")
    )


@mutant("lease-ends")
def _() -> None:
    """A holder does not check the time before it acts, and answers the first message after a stall."""
    from cloverkeel.leases.quorum_lease import QuorumLease

    patch_source(QuorumLease, "can_act", (" and now_us < self.valid_until_us", ""))


@mutant("lease-validity")
def _() -> None:
    """A holder relies on its lease without a time limit."""
    from cloverkeel.leases.lease_config import LeaseConfig

    LeaseConfig.validity_us = property(lambda self: 1 << 50)  # type: ignore[assignment]


@mutant("lease-handover")
def _() -> None:
    """A holder continues to act during a handover."""
    from cloverkeel.leases.quorum_lease import QuorumLease

    acting = "self.phase in (LeasePhase.HELD, LeasePhase.HANDING_OVER)"
    patch_source(QuorumLease, "can_act", ("self.phase is LeasePhase.HELD", acting))
    patch_source(QuorumLease, "hand_over", ("self.valid_until_us = 0", "pass"))


@mutant("lease-clock")
def _() -> None:
    """Datagrams are handled with the time read before a stall."""
    from cloverkeel.leases.driver import LeaseDriver

    stale = "receive(self.gateway.stall_detector.last_check_us, header"
    patch_source(LeaseDriver, "datagram_received", ("receive(self.clock(), header", stale))


@mutant("reply-late")
def _() -> None:
    """A holder's reply is sent without another check of the time."""
    from cloverkeel.leases.driver import LeaseDriver

    check = "isinstance(message, LeaderReply) and not self.manager.can_act(self.clock(), message.lease_id)"
    patch_source(LeaseDriver, "send", (check, "False"))


@mutant("token-fencing")
def _() -> None:
    """Replies under an older fencing token are accepted."""
    from cloverkeel.leases.fencing import FencingTokenCheck

    patch_attribute(FencingTokenCheck, "admit", lambda self, lease_id, token, process: True)


@mutant("token-observed")
def _() -> None:
    """Ballots follow only the wall clock."""
    from cloverkeel.leases.ballots import BallotClock

    patch_attribute(BallotClock, "observe", lambda self, now_us, counter: True)
    lamport = "max(self.highest + 1, self.wall_counter(now_us))"
    patch_source(BallotClock, "next_ballot", (lamport, "self.wall_counter(now_us)"))


@mutant("token-stale")
def _() -> None:
    """A holder whose reply was rejected because its token is stale keeps that token."""
    from cloverkeel.leases.quorum_lease import QuorumLease

    patch_attribute(QuorumLease, "on_stale_token", lambda self, now_us, newest_token: [])


@mutant("token-outbid")
def _() -> None:
    """A ZooKeeper holder whose reply was rejected raises its token without asking the service."""
    from cloverkeel.leases.lease import LeaseAcquired
    from cloverkeel.leases.zookeeper_lease import ZookeeperLease

    def outbid(self: ZookeeperLease, now_us: int, newest_token: int) -> list[Any]:
        self.min_token, self.token = newest_token, newest_token + 1
        return [LeaseAcquired(self.lease_id, self.token)]

    patch_attribute(ZookeeperLease, "on_stale_token", outbid)


@mutant("voters-differ")
def _() -> None:
    """Datagrams with a different number of voters are accepted."""
    from cloverkeel.leases.manager import LeaseManager

    patch_source(LeaseManager, "receive", ("header.voters != self.config.voters or ", ""))


@mutant("grant-ends")
def _() -> None:
    """Granted quota never expires at the borrower."""
    from cloverkeel.leases.slow_start_budget import QuotaAccount

    patch_source(QuotaAccount, "usable", ("self.granted if now_us < self.granted_until_us else 0.0", "self.granted"))


@mutant("lent-counted")
def _() -> None:
    """A budget's leader ignores the quota that it has granted to others."""
    from cloverkeel.leases.slow_start_budget import SlowStartBudget

    fair = "fair = pool / max(1, len(self.wanted_us_by_gateway))"
    patch_source(SlowStartBudget, "grant_quota", ("pool - others", "pool"), (fair, "fair = pool"))


@mutant("lent-once")
def _() -> None:
    """Quota is lent to the current leader although a loan to a former one has not ended."""
    from cloverkeel.leases.slow_start_budget import QuotaAccount

    patch_source(
        QuotaAccount, "lend", ("if now_us < self.lent_until_us and holder_process != self.lent_to:", "if False:")
    )


@mutant("lent-timestamp")
def _() -> None:
    """A loan starts when the budget's leader receives the report."""
    from cloverkeel.leases.slow_start_budget import SlowStartBudget

    patch_source(SlowStartBudget, "record_loan", ("until_us = echoed_us + LOAN_US", "until_us = now_us + LOAN_US"))


@mutant("probes-idle")
def _() -> None:
    """A holder that does not probe suspends the other gateways' probes."""
    from cloverkeel.leases.probe_election import ProbeElection

    patch_source(ProbeElection, "on_report", ("PROBING if circuit.is_probed else IDLE", "PROBING"))


@mutant("probes-end")
def _() -> None:
    """A suspension of probes starts when the reply arrives."""
    from cloverkeel.leases.probe_election import ProbeElection

    until = ("reported_us + SUSPEND_US)", "now_us + SUSPEND_US)")
    patch_source(ProbeElection, "on_reply", ("and reported_us + SUSPEND_US > now_us", ""), until)
