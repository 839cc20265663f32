"""A lease in ZooKeeper: an ephemeral node. Pure: time and responses are arguments, and methods return actions.

Invariants (docs/duties-design.md):
- a lease is valid for the session timeout less two deductions, counted from the time just before the last successful
  write was sent. The deductions are a quarter of the timeout, because a follower reports active sessions to the
  leader every half tick and a session timeout is at least two ticks, and 1/200 for clock drift;
- a node counts as the gateway's own only if its owner is the session that responds and this process wrote its data;
- a response that is too late to count leaves no node behind;
- a suspended session only prevents renewals; a lost session ends the lease at once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from cloverkeel.leases.lease import (
    NEVER_US,
    NO_GATEWAY,
    RENEWALS_PER_LEASE,
    RESENDS_PER_LEASE,
    Action,
    Lease,
    LeaseAcquired,
    LeaseEnded,
    LeasePhase,
    NodeOperation,
    NodeRequest,
    SendMessage,
)
from cloverkeel.leases.lease_config import CLOCK_DRIFT_DIVISOR
from cloverkeel.leases.messages import Handover, HandoverAck, Message

FOLLOWER_DELAY_DIVISOR: Final = 4  # a follower's report of a session may be 1/4 of the timeout late at the leader
RETRY_DIVISOR: Final = 4  # an unanswered create is repeated after 1/4 of the lease
HANDOVER_DIVISOR: Final = 2  # a successor's acknowledgement is awaited for 1/2 of the lease
NO_ROUND: Final = 0  # round of a request whose response is ignored


class NodeOutcome(Enum):
    """Outcome of a request to the coordination service."""

    OWNED = "owned"  # the node was created or written, and belongs to this session and process
    TAKEN = "taken"  # the node belongs to another process
    MISSING = "missing"
    FAILED = "failed"  # unknown: the connection was lost or does not exist


@dataclass(slots=True, frozen=True)
class NodeResponse:
    """The response to the request with the same round."""

    round: int
    outcome: NodeOutcome
    czxid: int = 0  # ZooKeeper's transaction id of the node's creation: the fencing token
    owner: int = NO_GATEWAY  # the gateway named in the node's data


class ZookeeperLease(Lease):
    """A lease whose holder owns an ephemeral node."""

    def __init__(
        self, lease_id: int, lease_us: int, rendezvous_rank: float, draw_random: Callable[[], float]
    ) -> None:
        super().__init__(lease_id, lease_us, rendezvous_rank, draw_random)
        self.round = 0  # counts requests; responses carry it
        self.request_sent_us = 0
        self.is_awaiting_response = False
        # Newest token known to have been seen by other gateways; own tokens must be higher. A service that was
        # restored from an older state issues lower ones.
        self.min_token = 0

    @property
    def validity_us(self) -> int:
        """Return how long a holder may rely on its lease, counted from before its write was sent."""
        return self.lease_us - self.lease_us // FOLLOWER_DELAY_DIVISOR - self.lease_us // CLOCK_DRIFT_DIVISOR

    # Requests to the service

    def request(self, now_us: int, operation: NodeOperation) -> list[Action]:
        """Send a request to the service; the response to a delete is not awaited."""
        self.round += 1
        self.request_sent_us = now_us
        self.is_awaiting_response = operation is not NodeOperation.DELETE
        self.due_us = now_us + self.lease_us // RESENDS_PER_LEASE
        if self.phase is LeasePhase.HELD:
            self.due_us = min(self.due_us, self.valid_until_us)
        return [NodeRequest(self.lease_id, operation, self.round)]

    def on_response(self, now_us: int, response: NodeResponse) -> list[Action]:
        """Handle a response of the service."""
        if response.round != self.round or not self.is_awaiting_response:
            return self.on_late_response(response)
        if response.outcome is NodeOutcome.FAILED:
            return []  # the request is repeated when `due_us` has passed
        self.is_awaiting_response = False
        if response.outcome is NodeOutcome.OWNED:
            return self.on_owned(response.czxid)
        if self.phase is LeasePhase.HELD:
            is_missing = response.outcome is NodeOutcome.MISSING
            return self.lose(now_us, "node deleted" if is_missing else "node owned by another session")
        self.failed_attempts += 1
        self.become_free(now_us + self.draw_backoff_us())
        if response.outcome is NodeOutcome.TAKEN:
            self.on_held_elsewhere(now_us, self.lease_us // 2)
        return []

    def on_late_response(self, response: NodeResponse) -> list[Action]:
        """Delete a node whose creation is reported after this gateway stopped trying to acquire the lease."""
        is_leftover = response.outcome is NodeOutcome.OWNED and self.phase in (LeasePhase.FREE, LeasePhase.LOST)
        return [NodeRequest(self.lease_id, NodeOperation.DELETE, NO_ROUND)] if is_leftover else []

    def on_owned(self, czxid: int) -> list[Action]:
        """Hold the lease, valid from before the write was sent, and acknowledge the handover that led to it."""
        token = self.token_of(czxid)
        is_new = self.phase is not LeasePhase.HELD or token != self.token
        self.phase = LeasePhase.HELD
        self.token = token
        self.failed_attempts = 0
        self.valid_until_us = self.request_sent_us + self.validity_us
        self.due_us = self.request_sent_us + self.lease_us // (2 * RENEWALS_PER_LEASE)
        consent_ballot, self.consent_ballot = self.consent_ballot, 0
        state, self.handover_state = self.handover_state, b""
        actions: list[Action] = []
        if is_new:
            actions.append(LeaseAcquired(self.lease_id, token, state))
        if consent_ballot:
            actions.append(SendMessage(self.successor, HandoverAck(self.lease_id, token)))
        return actions

    def token_of(self, czxid: int) -> int:
        """Return the node's czxid as the token, or a token above `min_token` if the czxid is not."""
        if czxid > self.min_token:
            return czxid
        held_token = self.token if self.token > self.min_token else 0
        return max(held_token, self.min_token + 1)

    # The session

    def on_session_lost(self, now_us: int) -> list[Action]:
        """Stop acting: the service has ended the session, and its nodes with it."""
        actions = self.lose(now_us, "session lost")
        if self.phase is LeasePhase.ACQUIRING:
            self.become_free(now_us + self.draw_backoff_us())
        return actions

    def lose(self, now_us: int, reason: str) -> list[Action]:
        """Stop acting: the lease is lost, or this gateway cannot know whether it still holds it."""
        if self.phase is not LeasePhase.HELD:
            return []
        ended = LeaseEnded(self.lease_id, self.token, reason)
        self.become_free(NEVER_US)
        self.phase = LeasePhase.LOST
        self.is_awaiting_response = False
        self.due_us = now_us
        return [ended]

    def on_stale_token(self, now_us: int, newest_token: int) -> list[Action]:
        """Stop acting, and request the node again; if it is still owned, its token is raised above `newest_token`.

        The holder must not raise its token without asking the service: the newer token may belong to another holder,
        whose node was created after the service ended this session early, and the two would outbid each other. If
        the service was restored from an older state instead, the node is found to be still owned.
        """
        if self.phase is not LeasePhase.HELD or newest_token < self.token:
            return []
        self.min_token = max(self.min_token, newest_token)
        return self.lose(now_us, "newer token seen")

    # Time

    def on_expired(self, now_us: int) -> list[Action]:
        """Stop acting: the lease was not renewed in time."""
        return self.lose(now_us, "not renewed in time")

    def on_due(self, now_us: int) -> list[Action]:
        """Perform the step scheduled for `due_us`."""
        if self.phase is LeasePhase.HELD:
            return self.request(now_us, NodeOperation.RENEW)
        if self.phase is LeasePhase.HANDING_OVER:
            ended = LeaseEnded(self.lease_id, self.token, f"handover to gateway {self.successor} not acknowledged")
            self.become_free(now_us + self.lease_us)
            return [ended]
        if self.phase is LeasePhase.ACQUIRING or self.is_wanted or self.consent_ballot:
            return self.acquire(now_us)
        self.due_us = NEVER_US
        return []

    def acquire(self, now_us: int) -> list[Action]:
        """Request the node's creation; if an earlier response was lost, the existing node is found to be owned."""
        self.failed_attempts += self.phase is LeasePhase.ACQUIRING
        self.phase = LeasePhase.ACQUIRING
        actions = self.request(now_us, NodeOperation.CREATE)
        self.due_us = now_us + self.lease_us // RETRY_DIVISOR + self.draw_backoff_us()
        return actions

    def release(self, now_us: int, reason: str) -> list[Action]:
        """Stop acting and delete the node at once; if the lease is still wanted, retry after two leases."""
        actions: list[Action] = []
        if self.phase in (LeasePhase.HELD, LeasePhase.HANDING_OVER):
            actions.append(LeaseEnded(self.lease_id, self.token, reason))
        if self.phase in (LeasePhase.HELD, LeasePhase.ACQUIRING):
            actions += self.request(now_us, NodeOperation.DELETE)
        self.become_free(now_us + 2 * self.lease_us)
        return actions

    # Handover

    def hand_over(self, now_us: int, successor: int, state: bytes) -> list[Action]:
        """Stop acting, delete the node, and notify the successor; any gateway may create the node first."""
        if not self.can_act(now_us):
            return []
        actions = self.request(now_us, NodeOperation.DELETE)
        self.phase = LeasePhase.HANDING_OVER
        self.valid_until_us = 0
        self.successor = successor
        self.due_us = now_us + self.lease_us // HANDOVER_DIVISOR
        return [*actions, SendMessage(successor, Handover(self.lease_id, self.token, state))]

    def on_handover(self, now_us: int, handover: Handover, former_holder: int) -> list[Action]:
        """Request the node at once: its holder hands over to this gateway."""
        if self.phase in (LeasePhase.HELD, LeasePhase.HANDING_OVER):
            return []
        self.consent_ballot = handover.ballot
        self.handover_state = handover.state
        self.successor = former_holder  # receives the acknowledgement of the handover
        self.is_wanted = True
        self.phase = LeasePhase.ACQUIRING
        actions = self.request(now_us, NodeOperation.CREATE)
        self.due_us = now_us + self.lease_us // RESENDS_PER_LEASE
        return actions

    def receive(self, now_us: int, message: Message, sender: int) -> list[Action]:  # noqa: ARG002 (signature of Lease)
        """Handle the acknowledgement of a handover."""
        if not isinstance(message, HandoverAck) or self.phase is not LeasePhase.HANDING_OVER:
            return []
        ended = LeaseEnded(self.lease_id, self.token, f"handed over to gateway {self.successor}")
        self.become_free(now_us + self.lease_us)
        return [ended]
