"""The acceptor's (voter's) side of leases by majority. Pure: time comes in.

After PaxosLease (Trencseni, Gazso, Reinhardt, "PaxosLease: Diskless Paxos for Leases", 2012): an accepted lease is a
lock that expires.

Invariants (docs/duties-design.md has the proof that rests on them):
- at most one accepted lease of a name at a time; until it expires nobody but its holder is promised or accepted
  anything, but with that holder's consent;
- for `quarantine_us` after its start, the longest lease there is, it does not vote: what was accepted before the
  restart is forgotten;
- nothing is accepted for longer than `lease_us`;
- what is promised of a lease only grows, also over a state that was forgotten;
- at most `max_leases` states, 64 bytes or so each; a further one is refused.
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
IDLE_TIMEOUT_US: Final = 60_000_000  # after which a lease that nobody asked for is forgotten


class AcceptedLease:
    """The lease that this voter has accepted, and the process that holds it."""

    __slots__ = ("ballot", "expires_us", "gateway", "nonce")

    def __init__(self, gateway: int, nonce: int, ballot: int, expires_us: int) -> None:
        self.gateway = gateway
        self.nonce = nonce  # drawn by the gateway's process at its start
        self.ballot = ballot
        self.expires_us = expires_us

    def is_held_by(self, gateway: int, nonce: int) -> bool:
        """Tell whether this process of this gateway holds it."""
        return self.gateway == gateway and self.nonce == nonce


class AcceptorState:
    """What a voter knows of one lease."""

    __slots__ = ("accepted", "last_used_us", "promised_ballot")

    def __init__(self, promised_ballot: int, last_used_us: int) -> None:
        self.promised_ballot = promised_ballot
        self.accepted: AcceptedLease | None = None
        self.last_used_us = last_used_us


class Acceptor:
    """One voter, for all leases."""

    def __init__(
        self, now_us: int, config: LeaseConfig, ballot_clock: BallotClock, max_leases: int = DEFAULT_MAX_LEASES
    ) -> None:
        self.config = config
        self.votes_from_us = now_us + config.quarantine_us
        self.ballot_clock = ballot_clock
        self.max_leases = max_leases
        self.state_by_lease: dict[int, AcceptorState] = {}
        self.min_promised_ballot = 0  # the highest promise that may have been forgotten

    def can_vote(self, now_us: int) -> bool:
        """Guard against voting twice: a restarted process does not know what it had accepted."""
        return now_us >= self.votes_from_us

    def unexpired_lease(self, now_us: int, lease_id: int) -> AcceptedLease | None:
        """Return the lease that was accepted here and has not expired; a hint, no proof that it has a majority."""
        state = self.state_by_lease.get(lease_id)
        if state is None or state.accepted is None or now_us >= state.accepted.expires_us:
            return None
        return state.accepted

    def find_or_add_state(self, now_us: int, lease_id: int) -> AcceptorState | None:
        """Return the state of a lease, made if it is new; None where there is no room for it."""
        state = self.state_by_lease.get(lease_id)
        if state is None:
            if len(self.state_by_lease) >= self.max_leases:
                self.forget_idle(now_us)
            if len(self.state_by_lease) >= self.max_leases:
                return None
            if not self.min_promised_ballot:
                # What was promised before the start is forgotten; it was no more than what others have observed.
                self.min_promised_ballot = self.ballot_clock.highest << COUNTER_SHIFT
            state = self.state_by_lease[lease_id] = AcceptorState(self.min_promised_ballot, now_us)
        state.last_used_us = now_us
        return state

    def forget_idle(self, now_us: int) -> None:
        """Forget leases that have expired and that nobody asked for in a while."""
        for lease_id, state in list(self.state_by_lease.items()):
            is_idle = now_us - state.last_used_us > IDLE_TIMEOUT_US
            if is_idle and self.unexpired_lease(now_us, lease_id) is None:
                self.min_promised_ballot = max(self.min_promised_ballot, state.promised_ballot)
                del self.state_by_lease[lease_id]

    def receive(self, now_us: int, request: VoteRequest, gateway: int, nonce: int) -> VoteResponse | None:
        """Vote; None: nothing may be said, or there is no answer to it."""
        if isinstance(request, Prepare):
            return self.on_prepare(now_us, request, gateway, nonce)
        if isinstance(request, Propose):
            return self.on_propose(now_us, request, gateway, nonce)
        self.on_release(request)
        return None

    def on_prepare(self, now_us: int, request: Prepare, gateway: int, nonce: int) -> Promised | Refused | None:
        """Answer the first phase of a round; None: nothing may be said."""
        checked = self.check_request(now_us, request, gateway, nonce)
        if not isinstance(checked, AcceptorState):
            return checked
        checked.promised_ballot = max(checked.promised_ballot, request.ballot)
        return Promised(request.lease_id, request.ballot, request.round)

    def on_propose(self, now_us: int, request: Propose, gateway: int, nonce: int) -> Accepted | Refused | None:
        """Accept a lease, or extend the same holder's; None: nothing may be said."""
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
        """Return the lease's state if this process may have it, else why not; None: nothing may be said."""
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
            # Its holder stopped acting before it consented, and never acts under this ballot again.
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
    """Make a refusal that names no holder."""
    return Refused(request.lease_id, request.ballot, request.round, reason, 0, 0, 0, promised_ballot)


def refuse_held(request: Prepare | Propose, accepted: AcceptedLease, now_us: int, promised_ballot: int) -> Refused:
    """Make a refusal that names the holder and how long its lease lasts."""
    return Refused(
        request.lease_id, request.ballot, request.round, RefusalReason.HELD, accepted.gateway, accepted.nonce,
        accepted.expires_us - now_us, promised_ballot,
    )  # fmt: skip
