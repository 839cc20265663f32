"""Queue of outgoing datagrams and node requests, filled by the modules without I/O. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from cloverkeel.leases.lease import NodeRequest, SendMessage
from cloverkeel.leases.messages import Message


@dataclass(slots=True)
class Outbox:
    """Datagrams to gateways and requests to the coordination service, each in order."""

    messages: list[SendMessage] = field(default_factory=list)
    node_requests: list[NodeRequest] = field(default_factory=list)

    def send(self, to: int, message: Message) -> None:
        """Queue a datagram to a gateway."""
        self.messages.append(SendMessage(to, message))

    def take_messages(self) -> list[SendMessage]:
        """Remove and return all queued datagrams."""
        messages, self.messages = self.messages, []
        return messages

    def take_node_requests(self) -> list[NodeRequest]:
        """Remove and return all queued requests to the coordination service."""
        requests, self.node_requests = self.node_requests, []
        return requests
