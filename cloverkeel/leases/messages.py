"""The codec of datagrams about leases: at most 256 bytes each, with a version and a checksum. Pure.

docs/duties-wire.md has the form. It keeps the names of the protocol; this module maps them to the code's:

    on the wire                  here
    duty                         lease_id
    epoch                        token (fencing token)
    stamp, echo                  timestamp, echoed_timestamp (as TSval and TSecr of RFC 7323)
    length                       duration_us
    why, number, nonce, left     reason, holder, holder_nonce, remaining_us
    hand, taken                  Handover, HandoverAck
    act                          LeaderReply
    not mine, older              NotLeaseHolder, StaleTokenNotice

Invariants:
- whatever the bytes are, there is a message or None, never an error;
- what is decoded from what was encoded is the same;
- no message is longer than MAX_DATAGRAM_BYTES.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass, fields
from enum import IntEnum
from typing import Any, Final

from cloverkeel.leases.errors import FieldRangeError, PayloadTooLargeError

MAX_DATAGRAM_BYTES: Final = 256
MAX_PAYLOAD_BYTES: Final = 160  # that a leased task may add
MAGIC: Final = 0xC7
VERSION: Final = 1
HEADER_FORMAT: Final = struct.Struct(">BBBBHIQ")  # magic, version, kind, and the fields of Header
CHECKSUM_FORMAT: Final = struct.Struct(">I")  # CRC-32 of all before it
LEASE_ID_BITS: Final = 60


class RefusalReason(IntEnum):
    """Why a voter refuses."""

    HELD = 1  # another process holds it
    BALLOT = 2  # a higher ballot was promised
    FULL = 3  # it knows as many leases as it may
    LENGTH = 4  # longer than it accepts
    LEAP = 5  # a ballot from far in the future


@dataclass(slots=True, frozen=True)
class Prepare:
    """Ask a voter for a promise (phase 1 of a round)."""

    lease_id: int
    ballot: int
    round: int
    consent_ballot: int = 0  # of a holder that hands over; 0: none


@dataclass(slots=True, frozen=True)
class Propose:
    """Ask a voter to accept a lease, or to extend it (phase 2 of a round)."""

    lease_id: int
    ballot: int
    round: int
    duration_us: int
    consent_ballot: int = 0


@dataclass(slots=True, frozen=True)
class Promised:
    """Answer a prepare: no lower ballot will be promised."""

    lease_id: int
    ballot: int
    round: int


@dataclass(slots=True, frozen=True)
class Accepted:
    """Answer a propose: the lease runs at this voter."""

    lease_id: int
    ballot: int
    round: int


@dataclass(slots=True, frozen=True)
class Refused:
    """Answer a prepare or a propose with no."""

    lease_id: int
    ballot: int
    round: int
    reason: int  # a RefusalReason, or a number of a later version
    holder: int  # the gateway that holds it
    holder_nonce: int
    remaining_us: int  # until its lease expires at this voter
    promised_ballot: int


@dataclass(slots=True, frozen=True)
class Release:
    """Tell a voter that nobody acts under this ballot any more."""

    lease_id: int
    ballot: int


@dataclass(slots=True, frozen=True)
class Handover:
    """Hand a lease to a successor: the holder has stopped acting, and its ballot is its consent."""

    lease_id: int
    ballot: int
    state: bytes = b""


@dataclass(slots=True, frozen=True)
class HandoverAck:
    """Tell the former holder the new holder's fencing token."""

    lease_id: int
    token: int


@dataclass(slots=True, frozen=True)
class Report:
    """Report to the presumed lease holder. A timestamp is of its maker's clock, and comes back as it was."""

    lease_id: int
    timestamp: int  # of the reporter
    echoed_timestamp: int  # the holder's last one; 0: none
    payload: bytes = b""


@dataclass(slots=True, frozen=True)
class LeaderReply:
    """Answer a report: what the lease holder decided, under its fencing token."""

    lease_id: int
    token: int
    timestamp: int  # of the holder
    echoed_timestamp: int  # of the report
    payload: bytes = b""


@dataclass(slots=True, frozen=True)
class NotLeaseHolder:
    """Tell a reporter that this gateway does not hold the lease."""

    lease_id: int


@dataclass(slots=True, frozen=True)
class Hello:
    """Carry nothing but the header: the highest counter that its sender has observed."""

    wants_reply: int = 0


@dataclass(slots=True, frozen=True)
class StaleTokenNotice:
    """Tell a holder whose reply was rejected the newest token that this gateway has seen."""

    lease_id: int
    newest_token: int


VoteRequest = Prepare | Propose | Release
VoteResponse = Promised | Accepted | Refused
LeaseMessage = VoteResponse | Handover | HandoverAck | LeaderReply | NotLeaseHolder | StaleTokenNotice
Message = VoteRequest | Report | Hello | LeaseMessage


@dataclass(slots=True, frozen=True)
class Header:
    """What every datagram begins with."""

    voters: int
    sender: int  # the gateway's number
    nonce: int  # drawn by the sender's process at its start
    highest_counter: int  # of a ballot, that the sender has observed


@dataclass(slots=True, frozen=True)
class Datagram:
    """A decoded datagram."""

    header: Header
    message: Message


@dataclass(slots=True, frozen=True)
class _Layout:
    """The form of one kind's body: its fields in their order, and whether the rest is a payload."""

    kind: int
    body: struct.Struct
    has_payload: bool = False


_LAYOUT_BY_TYPE: Final[dict[type[Any], _Layout]] = {
    Prepare: _Layout(1, struct.Struct(">QQIQ")),
    Propose: _Layout(2, struct.Struct(">QQIIQ")),
    Promised: _Layout(3, struct.Struct(">QQI")),
    Accepted: _Layout(4, struct.Struct(">QQI")),
    Refused: _Layout(5, struct.Struct(">QQIBHIIQ")),
    Release: _Layout(6, struct.Struct(">QQ")),
    Handover: _Layout(7, struct.Struct(">QQ"), has_payload=True),
    HandoverAck: _Layout(8, struct.Struct(">QQ")),
    Report: _Layout(11, struct.Struct(">QQQ"), has_payload=True),
    LeaderReply: _Layout(12, struct.Struct(">QQQQ"), has_payload=True),
    NotLeaseHolder: _Layout(13, struct.Struct(">Q")),
    Hello: _Layout(14, struct.Struct(">B")),
    StaleTokenNotice: _Layout(15, struct.Struct(">QQ")),
}
_TYPE_BY_KIND: Final[dict[int, type[Any]]] = {layout.kind: type_ for type_, layout in _LAYOUT_BY_TYPE.items()}
_FIELD_NAMES_BY_TYPE: Final[dict[type[Any], tuple[str, ...]]] = {
    type_: tuple(field.name for field in fields(type_)) for type_ in _LAYOUT_BY_TYPE
}


def encode(header: Header, message: Message) -> bytes:
    """Make a datagram.

    Raises PayloadTooLargeError or FieldRangeError (both ValueError) for what does not fit.
    """
    layout = _LAYOUT_BY_TYPE[type(message)]
    values = [getattr(message, name) for name in _FIELD_NAMES_BY_TYPE[type(message)]]
    payload = values.pop() if layout.has_payload else b""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise PayloadTooLargeError(len(payload), MAX_PAYLOAD_BYTES)
    try:
        encoded = HEADER_FORMAT.pack(
            MAGIC, VERSION, layout.kind, header.voters, header.sender, header.nonce, header.highest_counter
        )
        encoded += layout.body.pack(*values) + payload
    except struct.error as error:
        raise FieldRangeError(message, error) from None
    return encoded + CHECKSUM_FORMAT.pack(zlib.crc32(encoded))


def decode(data: bytes) -> Datagram | None:
    """Read a datagram; None for what is cut short, corrupted, too long, of another version or an unknown kind."""
    if not HEADER_FORMAT.size + CHECKSUM_FORMAT.size <= len(data) <= MAX_DATAGRAM_BYTES:
        return None
    checked = data[: -CHECKSUM_FORMAT.size]
    (checksum,) = CHECKSUM_FORMAT.unpack(data[-CHECKSUM_FORMAT.size :])
    magic, version, kind, *header_values = HEADER_FORMAT.unpack_from(checked)
    if magic != MAGIC or version != VERSION or zlib.crc32(checked) != checksum:
        return None
    message = _decode_body(kind, checked[HEADER_FORMAT.size :])
    return Datagram(Header(*header_values), message) if message is not None else None


def _decode_body(kind: int, body: bytes) -> Message | None:
    type_ = _TYPE_BY_KIND.get(kind)
    if type_ is None:
        return None
    layout = _LAYOUT_BY_TYPE[type_]
    payload = body[layout.body.size :]
    max_payload_bytes = MAX_PAYLOAD_BYTES if layout.has_payload else 0
    if len(body) < layout.body.size or len(payload) > max_payload_bytes:
        return None
    values = list(layout.body.unpack_from(body))
    if type_ is not Hello and values[0] >> LEASE_ID_BITS:
        return None
    if layout.has_payload:
        values.append(payload)
    message: Message = type_(*values)
    return message
