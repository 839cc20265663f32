"""What the pure parts want sent, in order. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from cloverkeel.leases.lease import NodeRequest, SendMessage
from cloverkeel.leases.messages import Message


@dataclass(slots=True)
class Outbox:
    """PeerSocket to gateways, and requests to the coordination service."""

    messages: list[SendMessage] = field(default_factory=list)
    node_requests: list[NodeRequest] = field(default_factory=list)

    def send(self, to: int, message: Message) -> None:
        """Add a datagram to a gateway."""
        self.messages.append(SendMessage(to, message))

    def take_messages(self) -> list[SendMessage]:
        """Return all datagrams, and keep none."""
        messages, self.messages = self.messages, []
        return messages

    def take_node_requests(self) -> list[NodeRequest]:
        """Return all requests to the coordination service, and keep none."""
        requests, self.node_requests = self.node_requests, []
        return requests
