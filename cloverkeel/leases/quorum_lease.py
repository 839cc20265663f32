"""The proposer's side of quorum leases. Pure: the current time is an argument, and methods return actions.

Follows PaxosLease (Trencseni, Gazso, Reinhardt, "PaxosLease: Diskless Paxos for Leases", 2012): a Prepare to all
voters, then, after a majority of promises, a Propose; a renewal is a Propose under the same ballot.

Invariants (docs/duties-design.md):
- a lease is valid for its duration less the allowance for clock drift, counted from the start of the round that won
  it, which precedes the round's first datagram;
- a response counts only for the round that it names;
- once the holder has started a handover it never acts under that ballot again.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from cloverkeel.leases.ballots import BallotClock, counter_of, gateway_of
from cloverkeel.leases.lease import (
    BACKOFF_DIVISOR,
    NEVER_US,
    RENEWALS_PER_LEASE,
    RESENDS_PER_LEASE,
    Action,
    Lease,
    LeaseAcquired,
    LeaseEnded,
    LeasePhase,
    SendMessage,
)
from cloverkeel.leases.lease_config import LeaseConfig
from cloverkeel.leases.messages import (
    Accepted,
    Handover,
    HandoverAck,
    Message,
    Prepare,
    Promised,
    Propose,
    RefusalReason,
    Refused,
    Release,
)

MAX_HANDOVER_ATTEMPTS: Final = 4  # Handover messages to a successor, one per resend interval
MAX_ROUND: Final = 0xFFFFFFFF


class QuorumLease(Lease):
    """A lease that is held once a majority of voters has accepted it."""

    def __init__(
        self, lease_id: int, config: LeaseConfig, ballot_clock: BallotClock, rendezvous_rank: float,
        draw_random: Callable[[], float],
    ) -> None:  # fmt: skip
        super().__init__(lease_id, config.lease_us, rendezvous_rank, draw_random)
        self.config = config
        self.ballot_clock = ballot_clock
        self.ballot = 0  # ballot of the open round, or under which the lease is held
        self.round = 0  # counts the broadcasts of Prepare and Propose; responses carry it
        self.round_started_us = 0
        self.is_round_open = False
        self.is_proposing = False  # the round's request is a Propose, not a Prepare
        self.promised_by: set[int] = set()
        self.accepted_by: set[int] = set()
        self.refusal_by_voter: dict[int, Refused] = {}
        self.handover_attempts = 0

    # Messages

    def receive(self, now_us: int, message: Message, sender: int) -> list[Action]:
        """Handle a response of the voter with this number, or the acknowledgement of a handover."""
        if isinstance(message, HandoverAck):
            return self.on_handover_ack(message)
        if not isinstance(message, Promised | Accepted | Refused) or not self.is_of_open_round(message):
            return []
        if isinstance(message, Refused):
            return self.on_refused(now_us, message, sender)
        if isinstance(message, Promised):
            return self.on_promised(now_us, sender)
        return self.on_accepted(sender)

    def is_of_open_round(self, message: Promised | Accepted | Refused) -> bool:
        """Return whether a response belongs to the open round; responses to older rounds are ignored."""
        return self.is_round_open and message.round == self.round and message.ballot == self.ballot

    def on_promised(self, now_us: int, voter: int) -> list[Action]:
        """Propose once a majority has promised."""
        if self.is_proposing:
            return []
        self.promised_by.add(voter)
        if len(self.promised_by) < self.config.quorum:
            return []
        return self.send_propose(now_us)

    def on_accepted(self, voter: int) -> list[Action]:
        """Hold the lease once a majority has accepted."""
        if not self.is_proposing:
            return []
        self.accepted_by.add(voter)
        if len(self.accepted_by) < self.config.quorum:
            return []
        return self.on_quorum_accepted()

    def on_quorum_accepted(self) -> list[Action]:
        """Hold the lease, valid from the start of the round, and acknowledge the handover that led to it."""
        is_new = self.phase is not LeasePhase.HELD or self.token != self.ballot
        self.phase = LeasePhase.HELD
        self.token = self.ballot
        self.valid_until_us = self.round_started_us + self.config.validity_us
        self.due_us = self.round_started_us + self.config.lease_us // RENEWALS_PER_LEASE
        self.is_round_open = False
        self.failed_attempts = 0
        consent_ballot, self.consent_ballot = self.consent_ballot, 0
        state, self.handover_state = self.handover_state, b""
        actions: list[Action] = []
        if is_new:
            actions.append(LeaseAcquired(self.lease_id, self.token, state))
        if consent_ballot:
            actions.append(SendMessage(gateway_of(consent_ballot), HandoverAck(self.lease_id, self.token)))
        return actions

    def on_refused(self, now_us: int, refused: Refused, voter: int) -> list[Action]:
        """Record a refusal, and end the round when a majority is no longer possible."""
        self.refusal_by_voter[voter] = refused
        if refused.promised_ballot:
            self.ballot_clock.observe(now_us, counter_of(refused.promised_ballot))
        if len(self.refusal_by_voter) <= self.config.voters - self.config.quorum:
            return []
        return self.on_quorum_refused(now_us)

    def on_quorum_refused(self, now_us: int) -> list[Action]:
        """As the holder, start a round with a new ballot; else back off until the holder's lease has ended."""
        if self.phase is LeasePhase.HELD:
            # A restarted voter's minimum promise may exceed this ballot although no rival proposed.
            self.start_ballot(now_us)
            return self.send_prepare(now_us)
        refusals = self.refusal_by_voter.values()
        held = [refused.remaining_us for refused in refusals if refused.reason == RefusalReason.HELD]
        return self.on_round_failed(now_us, max(held, default=0))

    def on_round_failed(self, now_us: int, remaining_us: int) -> list[Action]:
        """Retry a handover at once, else back off; `remaining_us`: until another gateway's lease expires, or 0."""
        self.failed_attempts += 1
        actions: list[Action] = []
        if self.is_proposing:
            # Responses may be lost, so a voter may have accepted: release the ballot at all voters.
            actions += self.broadcast_to_voters(Release(self.lease_id, self.ballot))
        if self.consent_ballot and self.failed_attempts < MAX_HANDOVER_ATTEMPTS:
            self.start_ballot(now_us)
            return actions + self.send_prepare(now_us)
        self.become_free(now_us + remaining_us + self.draw_backoff_us())
        return actions

    def on_stale_token(self, now_us: int, newest_token: int) -> list[Action]:
        """Observe the newer token, and start a round with a higher ballot."""
        if self.phase is not LeasePhase.HELD or newest_token <= self.token:
            return []
        if not self.ballot_clock.observe(now_us, counter_of(newest_token)):
            return []
        self.start_ballot(now_us)
        return self.send_prepare(now_us)

    # Time

    def on_expired(self, now_us: int) -> list[Action]:
        """Stop acting: the lease was not renewed in time."""
        ended = LeaseEnded(self.lease_id, self.token, "not renewed in time")
        self.phase = LeasePhase.LOST
        self.is_round_open = False
        self.due_us = now_us
        return [ended, *self.broadcast_to_voters(Release(self.lease_id, self.ballot))]

    def on_due(self, now_us: int) -> list[Action]:
        """Perform the step scheduled for `due_us`."""
        if self.phase is LeasePhase.HANDING_OVER:
            return self.send_handover(now_us)
        if self.phase is LeasePhase.HELD:
            return self.renew(now_us)
        if self.phase is LeasePhase.ACQUIRING:
            return self.on_round_failed(now_us, 0)
        if self.is_wanted:
            return self.acquire(now_us)
        self.due_us = NEVER_US
        return []

    def acquire(self, now_us: int) -> list[Action]:
        """Start a round for a lease that this gateway does not hold."""
        self.phase = LeasePhase.ACQUIRING
        self.start_ballot(now_us)
        return self.send_prepare(now_us)

    def renew(self, now_us: int) -> list[Action]:
        """Renew under the current ballot, or repeat a round that got no quorum of responses in time."""
        if self.is_round_open and not self.is_proposing:
            return self.send_prepare(now_us)
        return self.send_propose(now_us)

    def release(self, now_us: int, reason: str) -> list[Action]:
        """Stop acting and free the lease at the voters at once; if it is still wanted, retry after two leases."""
        actions: list[Action] = []
        if self.phase in (LeasePhase.HELD, LeasePhase.HANDING_OVER):
            actions.append(LeaseEnded(self.lease_id, self.token, reason))
            actions += self.broadcast_to_voters(Release(self.lease_id, self.token))
        if self.phase in (LeasePhase.HELD, LeasePhase.ACQUIRING) and self.ballot != self.token:
            actions += self.broadcast_to_voters(Release(self.lease_id, self.ballot))
        self.become_free(now_us + 2 * self.config.lease_us)
        return actions

    # Rounds

    def start_ballot(self, now_us: int) -> None:
        """Switch to a new ballot, which needs promises before it can be proposed."""
        self.ballot = self.ballot_clock.next_ballot(now_us)
        self.is_proposing = False

    def start_round(self, now_us: int) -> None:
        """Open a new round; from now on only responses to it count."""
        self.round = (self.round + 1) & MAX_ROUND
        self.round_started_us = now_us
        self.is_round_open = True
        self.promised_by, self.accepted_by, self.refusal_by_voter = set(), set(), {}
        self.due_us = now_us + self.config.lease_us // RESENDS_PER_LEASE
        if self.phase is LeasePhase.HELD:
            self.due_us = min(self.due_us, self.valid_until_us)

    def send_prepare(self, now_us: int) -> list[Action]:
        """Open a round and ask the voters for promises."""
        self.start_round(now_us)
        return self.broadcast_to_voters(Prepare(self.lease_id, self.ballot, self.round, self.consent_ballot))

    def send_propose(self, now_us: int) -> list[Action]:
        """Open a round and ask the voters to accept the lease."""
        self.start_round(now_us)
        self.is_proposing = True
        proposal = Propose(self.lease_id, self.ballot, self.round, self.config.lease_us, self.consent_ballot)
        return self.broadcast_to_voters(proposal)

    def broadcast_to_voters(self, message: Message) -> list[Action]:
        """Send a message to each voter."""
        return [SendMessage(voter, message) for voter in range(self.config.voters)]

    def become_free(self, next_attempt_us: int) -> None:
        """Reset to FREE, and schedule the next attempt if the lease is wanted."""
        super().become_free(next_attempt_us)
        self.is_round_open = False

    # Handover

    def hand_over(self, now_us: int, successor: int, state: bytes) -> list[Action]:
        """Stop acting and hand the lease with this state to `successor`; no effect unless the lease is held."""
        if not self.can_act(now_us):
            return []
        self.phase = LeasePhase.HANDING_OVER
        self.is_round_open = False
        self.valid_until_us = 0
        self.successor = successor
        self.handover_state = state
        self.handover_attempts = 0
        return self.send_handover(now_us)

    def send_handover(self, now_us: int) -> list[Action]:
        """Offer the lease to the successor, or abort after the last attempt."""
        self.handover_attempts += 1
        if self.handover_attempts > MAX_HANDOVER_ATTEMPTS:
            return self.abort_handover(now_us)
        self.due_us = now_us + self.config.lease_us // RESENDS_PER_LEASE
        return [SendMessage(self.successor, Handover(self.lease_id, self.token, self.handover_state))]

    def abort_handover(self, now_us: int) -> list[Action]:
        """End the handover and release the lease: voters ignore the consent if the successor proposes later."""
        ended = LeaseEnded(self.lease_id, self.token, f"handover to gateway {self.successor} not acknowledged")
        actions: list[Action] = [ended, *self.broadcast_to_voters(Release(self.lease_id, self.token))]
        self.failed_attempts += 1
        self.become_free(now_us + self.config.lease_us // BACKOFF_DIVISOR + self.draw_backoff_us())
        return actions

    def on_handover_ack(self, ack: HandoverAck) -> list[Action]:
        """End the handover: the successor holds the lease under a newer token."""
        if self.phase is not LeasePhase.HANDING_OVER or ack.token <= self.token:
            return []
        ended = LeaseEnded(self.lease_id, self.token, f"handed over to gateway {self.successor}")
        self.become_free(NEVER_US)
        return [ended]

    def on_handover(self, now_us: int, handover: Handover) -> list[Action]:
        """Propose at once, with the consent of the holder that hands over to this gateway."""
        if self.phase is LeasePhase.HELD and handover.ballot < self.token:
            ack = HandoverAck(self.lease_id, self.token)  # the first acknowledgement was lost
            return [SendMessage(gateway_of(handover.ballot), ack)]
        is_busy = self.phase in (LeasePhase.HELD, LeasePhase.HANDING_OVER)
        if is_busy or self.consent_ballot == handover.ballot:
            return []
        self.ballot_clock.observe(now_us, counter_of(handover.ballot))
        self.is_wanted = True
        self.failed_attempts = 0
        self.consent_ballot = handover.ballot
        self.handover_state = handover.state
        return self.acquire(now_us)
