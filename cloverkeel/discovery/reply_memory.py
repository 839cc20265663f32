"""Memory of a reply of discovery or a relay: while it arrives, and while its JSON is decoded. Pure."""

from __future__ import annotations

from typing import Final

from cloverkeel.core.memory_account import ChargeOwner, MemoryCharge
from cloverkeel.core.peer_resources import PeerResources
from cloverkeel.discovery.errors import ReplyMemoryError

JSON_VALUE_BYTES: Final = 80  # objects of one decoded value, and its place in a list or an object
JSON_TEXT_COPIES: Final = 2  # the decoded text, and the strings within the values
JSON_VALUE_MARKS: Final = (b",", b":", b"[", b"{")  # each value but the first follows one of these


def estimate_decoded_bytes(body: bytes) -> int:
    """Return an upper estimate of the memory that the decoded JSON occupies, beside the body itself."""
    value_count = 1 + sum(body.count(mark) for mark in JSON_VALUE_MARKS)
    return JSON_TEXT_COPIES * len(body) + JSON_VALUE_BYTES * value_count


class ReplyMemory:
    """What the present reply of one endpoint source holds, charged to the memory account."""

    def __init__(self, resources: PeerResources | None) -> None:
        """`resources`: what all peers share; None to charge nothing."""
        self.charge = MemoryCharge(resources.account, ChargeOwner.DISCOVERY) if resources is not None else None

    def hold(self, size: int) -> None:
        """Charge `size` bytes in place of what was charged; raise ReplyMemoryError if there is no room for more."""
        charge = self.charge
        if charge is None:
            return
        added_bytes = size - charge.charged_bytes
        if added_bytes > 0 and not charge.account.has_room(added_bytes):
            raise ReplyMemoryError(size)
        charge.update(size)

    def hold_decoded(self, body: bytes) -> None:
        """Charge a complete body and its decoded JSON; raise ReplyMemoryError if there is no room for them."""
        self.hold(len(body) + estimate_decoded_bytes(body))

    def release(self) -> None:
        """Charge nothing any more."""
        if self.charge is not None:
            self.charge.update(0)
