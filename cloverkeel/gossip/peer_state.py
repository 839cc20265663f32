"""State of the failure detector: peers, probes in progress and messages to be sent. Data only."""

from __future__ import annotations

from dataclasses import dataclass, field

from cloverkeel.gossip.messages import Item, MemberStatus, MessageKind


@dataclass(slots=True)
class PeerState:
    """Status of one peer."""

    incarnation: int = 0
    status: MemberStatus = MemberStatus.ALIVE
    status_since_us: int = 0
    last_received_us: int = 0  # time of the last datagram sent by the peer itself; 0 if none
    last_notice_us: int = 0  # time of the last notice to the peer of its status, besides those in probes
    accusers: set[int] = field(default_factory=set)  # gateways that suspect it; empty unless it is SUSPECT


@dataclass(slots=True, frozen=True)
class OutgoingMessage:
    """A message to one gateway, before its header and piggybacked broadcasts are added."""

    recipient: int
    kind: MessageKind
    sequence: int = 0
    subject: int = 0
    items: tuple[Item, ...] = ()  # precede the piggybacked broadcasts


@dataclass(slots=True)
class RelayedProbe:
    """An indirect probe that this gateway sends on behalf of another."""

    requester: int
    requester_sequence: int
    target: int
    nack_due_us: int


@dataclass(slots=True)
class Probe:
    """The probe of the current period."""

    target: int
    sequence: int
    resend_due_us: int  # the ping is sent twice, as a datagram may be lost
    indirect_due_us: int
    ends_us: int
    is_resent: bool = False
    is_acked: bool = False
    is_indirect: bool = False
    indirect_probes: int = 0  # number of gateways asked to ping the target
    nacks: int = 0  # number of nacks received from them

    @property
    def is_waiting_for_direct_ack(self) -> bool:
        """Whether no ack was received and no indirect probe was sent yet."""
        return not self.is_acked and not self.is_indirect
