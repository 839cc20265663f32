"""The acceptor's (voter's) side of quorum leases. Pure: the current time is an argument.

Follows PaxosLease (Trencseni, Gazso, Reinhardt, "PaxosLease: Diskless Paxos for Leases", 2012): an accepted lease is
a lock that expires.

Invariants (the proof in docs/duties-design.md relies on them):
- at most one lease per name is accepted at a time; until it expires, requests of other processes are refused unless
  the holder has consented;
- a voter does not vote for `quarantine_us` after its start, which exceeds the longest lease: leases that it accepted
  before the restart are not stored;
- no lease is accepted for longer than `lease_us`;
- the promised ballot of a lease never decreases, even if the lease's state was evicted in between;
- at most `max_leases` states of about 64 bytes each are kept; requests for further leases are refused.
"""

from __future__ import annotations

from typing import Final

from cloverkeel.leases.ballots import COUNTER_SHIFT, BallotClock, counter_of
from cloverkeel.leases.lease_config import LeaseConfig
from cloverkeel.leases.messages import (
    Accepted,
    Prepare,
    Promised,
    Propose,
    RefusalReason,
    Refused,
    Release,
    VoteRequest,
    VoteResponse,
)

DEFAULT_MAX_LEASES: Final = 1024
IDLE_TIMEOUT_US: Final = 60_000_000  # a lease without requests for longer than this may be evicted


class AcceptedLease:
    """A lease that this voter has accepted, and the process that holds it."""

    __slots__ = ("ballot", "expires_us", "gateway", "nonce")

    def __init__(self, gateway: int, nonce: int, ballot: int, expires_us: int) -> None:
        self.gateway = gateway
        self.nonce = nonce  # drawn at random when the gateway's process started
        self.ballot = ballot
        self.expires_us = expires_us

    def is_held_by(self, gateway: int, nonce: int) -> bool:
        """Return whether this process of this gateway holds the lease."""
        return self.gateway == gateway and self.nonce == nonce


class AcceptorState:
    """A voter's state of one lease."""

    __slots__ = ("accepted", "last_used_us", "promised_ballot")

    def __init__(self, promised_ballot: int, last_used_us: int) -> None:
        self.promised_ballot = promised_ballot
        self.accepted: AcceptedLease | None = None
        self.last_used_us = last_used_us


class Acceptor:
    """One voter: its votes on all leases."""

    def __init__(
        self, now_us: int, config: LeaseConfig, ballot_clock: BallotClock, max_leases: int = DEFAULT_MAX_LEASES
    ) -> None:
        self.config = config
        self.votes_from_us = now_us + config.quarantine_us
        self.ballot_clock = ballot_clock
        self.max_leases = max_leases
        self.state_by_lease: dict[int, AcceptorState] = {}
        self.min_promised_ballot = 0  # upper bound of all promises that are no longer stored

    def can_vote(self, now_us: int) -> bool:
        """Return whether the quarantine after the start is over.

        A restarted process has lost the leases that it had accepted, and could vote for a second holder.
        """
        return now_us >= self.votes_from_us

    def unexpired_lease(self, now_us: int, lease_id: int) -> AcceptedLease | None:
        """Return the lease that this voter accepted and that has not expired; a majority may not have accepted it."""
        state = self.state_by_lease.get(lease_id)
        if state is None or state.accepted is None or now_us >= state.accepted.expires_us:
            return None
        return state.accepted

    def find_or_add_state(self, now_us: int, lease_id: int) -> AcceptorState | None:
        """Return the state of a lease, created if it is new; None if the table is full."""
        state = self.state_by_lease.get(lease_id)
        if state is None:
            if len(self.state_by_lease) >= self.max_leases:
                self.forget_idle(now_us)
            if len(self.state_by_lease) >= self.max_leases:
                return None
            if not self.min_promised_ballot:
                # Promises made before the restart are lost; the highest observed counter is an upper bound of them.
                self.min_promised_ballot = self.ballot_clock.highest << COUNTER_SHIFT
            state = self.state_by_lease[lease_id] = AcceptorState(self.min_promised_ballot, now_us)
        state.last_used_us = now_us
        return state

    def forget_idle(self, now_us: int) -> None:
        """Evict leases that have expired and that no gateway requested for IDLE_TIMEOUT_US."""
        for lease_id, state in list(self.state_by_lease.items()):
            is_idle = now_us - state.last_used_us > IDLE_TIMEOUT_US
            if is_idle and self.unexpired_lease(now_us, lease_id) is None:
                self.min_promised_ballot = max(self.min_promised_ballot, state.promised_ballot)
                del self.state_by_lease[lease_id]

    def receive(self, now_us: int, request: VoteRequest, gateway: int, nonce: int) -> VoteResponse | None:
        """Handle a vote request; None if this voter may not vote yet or the request has no response."""
        if isinstance(request, Prepare):
            return self.on_prepare(now_us, request, gateway, nonce)
        if isinstance(request, Propose):
            return self.on_propose(now_us, request, gateway, nonce)
        self.on_release(request)
        return None

    def on_prepare(self, now_us: int, request: Prepare, gateway: int, nonce: int) -> Promised | Refused | None:
        """Answer the first phase of a round; None if this voter may not vote yet."""
        checked = self.check_request(now_us, request, gateway, nonce)
        if not isinstance(checked, AcceptorState):
            return checked
        checked.promised_ballot = max(checked.promised_ballot, request.ballot)
        return Promised(request.lease_id, request.ballot, request.round)

    def on_propose(self, now_us: int, request: Propose, gateway: int, nonce: int) -> Accepted | Refused | None:
        """Accept a lease, or extend the same holder's lease; None if this voter may not vote yet."""
        checked = self.check_request(now_us, request, gateway, nonce)
        if not isinstance(checked, AcceptorState):
            return checked
        if request.duration_us > self.config.lease_us:
            return refuse(request, RefusalReason.LENGTH, checked.promised_ballot)
        checked.promised_ballot = max(checked.promised_ballot, request.ballot)
        checked.accepted = AcceptedLease(gateway, nonce, request.ballot, now_us + request.duration_us)
        return Accepted(request.lease_id, request.ballot, request.round)

    def check_request(
        self, now_us: int, request: Prepare | Propose, gateway: int, nonce: int
    ) -> AcceptorState | Refused | None:
        """Return the lease's state if the request is admissible, else a refusal; None if not allowed to vote yet."""
        if not self.can_vote(now_us):
            return None
        if not self.ballot_clock.observe(now_us, counter_of(request.ballot)):
            return refuse(request, RefusalReason.LEAP)
        state = self.find_or_add_state(now_us, request.lease_id)
        if state is None:
            return refuse(request, RefusalReason.FULL)
        accepted = self.unexpired_lease(now_us, request.lease_id)
        has_consent = accepted is not None and request.consent_ballot == accepted.ballot != 0
        if has_consent:
            # The holder stopped acting before it consented, and never acts under this ballot again.
            state.accepted = accepted = None
        if accepted is not None and not accepted.is_held_by(gateway, nonce):
            return refuse_held(request, accepted, now_us, state.promised_ballot)
        if request.ballot < state.promised_ballot:
            return refuse(request, RefusalReason.BALLOT, state.promised_ballot)
        return state

    def on_release(self, release: Release) -> None:
        """Free a lease whose holder never acts under this ballot again, or whose round failed."""
        state = self.state_by_lease.get(release.lease_id)
        if state is None or state.accepted is None:
            return
        if state.accepted.ballot == release.ballot:
            state.accepted = None


def refuse(request: Prepare | Propose, reason: RefusalReason, promised_ballot: int = 0) -> Refused:
    """Return a refusal that names no holder."""
    return Refused(request.lease_id, request.ballot, request.round, reason, 0, 0, 0, promised_ballot)


def refuse_held(request: Prepare | Propose, accepted: AcceptedLease, now_us: int, promised_ballot: int) -> Refused:
    """Return a refusal that names the holder and the remaining time of its lease."""
    return Refused(
        request.lease_id, request.ballot, request.round, RefusalReason.HELD, accepted.gateway, accepted.nonce,
        accepted.expires_us - now_us, promised_ballot,
    )  # fmt: skip
