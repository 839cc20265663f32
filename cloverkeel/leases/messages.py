"""Codec of lease datagrams: at most 256 bytes each, with a version and a checksum. Pure.

docs/duties-wire.md specifies the format, in which some names differ from those in this module:

    specification                this module
    duty                         lease_id
    epoch                        token (fencing token)
    stamp, echo                  timestamp, echoed_timestamp (like TSval and TSecr of RFC 7323)
    length                       duration_us
    why, number, nonce, left     reason, holder, holder_nonce, remaining_us
    hand, taken                  Handover, HandoverAck
    act                          LeaderReply
    not mine, older              NotLeaseHolder, StaleTokenNotice

Invariants:
- `decode` returns a message or None for any bytes, and never raises;
- decoding an encoded message yields an equal message;
- no datagram is longer than MAX_DATAGRAM_BYTES.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass, fields
from enum import IntEnum
from typing import Any, Final

from cloverkeel.leases.errors import FieldRangeError, PayloadTooLargeError

MAX_DATAGRAM_BYTES: Final = 256
MAX_PAYLOAD_BYTES: Final = 160  # limit of a leased role's data in a message
MAGIC: Final = 0xC7
VERSION: Final = 1
HEADER_FORMAT: Final = struct.Struct(">BBBBHIQ")  # magic, version, kind, and the fields of Header
CHECKSUM_FORMAT: Final = struct.Struct(">I")  # CRC-32 of the preceding bytes
LEASE_ID_BITS: Final = 60


class RefusalReason(IntEnum):
    """Why a voter refuses."""

    HELD = 1  # another process holds the lease
    BALLOT = 2  # a higher ballot was promised
    FULL = 3  # the voter's table of leases is full
    LENGTH = 4  # the proposed duration exceeds the configured one
    LEAP = 5  # the ballot's counter is far in the future


@dataclass(slots=True, frozen=True)
class Prepare:
    """Ask a voter for a promise (phase 1 of a round)."""

    lease_id: int
    ballot: int
    round: int
    consent_ballot: int = 0  # ballot of the holder that hands over; 0 if none does


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
    """Answer a Prepare: the voter will reject lower ballots."""

    lease_id: int
    ballot: int
    round: int


@dataclass(slots=True, frozen=True)
class Accepted:
    """Answer a Propose: the voter has accepted the lease."""

    lease_id: int
    ballot: int
    round: int


@dataclass(slots=True, frozen=True)
class Refused:
    """Reject a Prepare or a Propose."""

    lease_id: int
    ballot: int
    round: int
    reason: int  # a RefusalReason, or a value added by a later version
    holder: int  # the gateway that holds the lease; meaningful only if remaining_us > 0
    holder_nonce: int
    remaining_us: int  # time until the holder's lease expires at this voter; 0 if there is none
    promised_ballot: int


@dataclass(slots=True, frozen=True)
class Release:
    """Inform a voter that no process acts under this ballot any more."""

    lease_id: int
    ballot: int


@dataclass(slots=True, frozen=True)
class Handover:
    """Hand a lease to a successor: the holder has stopped acting, and its ballot serves as its consent."""

    lease_id: int
    ballot: int
    state: bytes = b""


@dataclass(slots=True, frozen=True)
class HandoverAck:
    """Acknowledge a handover to the former holder, with the new holder's fencing token."""

    lease_id: int
    token: int


@dataclass(slots=True, frozen=True)
class Report:
    """Report to the presumed lease holder.

    A timestamp is a reading of its maker's own clock; the other side echoes it unchanged.
    """

    lease_id: int
    timestamp: int  # made by the reporter
    echoed_timestamp: int  # the holder's newest timestamp; 0 if unknown
    payload: bytes = b""


@dataclass(slots=True, frozen=True)
class LeaderReply:
    """Answer a report with the lease holder's decision, under its fencing token."""

    lease_id: int
    token: int
    timestamp: int  # made by the holder
    echoed_timestamp: int  # timestamp of the report
    payload: bytes = b""


@dataclass(slots=True, frozen=True)
class NotLeaseHolder:
    """Inform a reporter that this gateway does not hold the lease."""

    lease_id: int


@dataclass(slots=True, frozen=True)
class Hello:
    """Carry only the header, which contains the highest ballot counter that the sender has observed."""

    wants_reply: int = 0


@dataclass(slots=True, frozen=True)
class StaleTokenNotice:
    """Inform a holder whose reply was rejected of the newest token that this gateway has seen."""

    lease_id: int
    newest_token: int


VoteRequest = Prepare | Propose | Release
VoteResponse = Promised | Accepted | Refused
LeaseMessage = VoteResponse | Handover | HandoverAck | LeaderReply | NotLeaseHolder | StaleTokenNotice
Message = VoteRequest | Report | Hello | LeaseMessage


@dataclass(slots=True, frozen=True)
class Header:
    """The fields at the start of every datagram, after magic, version and kind."""

    voters: int  # number of voters in the sender's configuration
    sender: int  # gateway number
    nonce: int  # drawn at random when the sender's process started
    highest_counter: int  # highest ballot counter that the sender has observed


@dataclass(slots=True, frozen=True)
class Datagram:
    """A decoded datagram."""

    header: Header
    message: Message


@dataclass(slots=True, frozen=True)
class _Layout:
    """Body layout of one message kind: the fixed fields in order, and whether a payload follows them."""

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
    """Encode a datagram.

    Raises PayloadTooLargeError or FieldRangeError (both ValueError) if a payload or a field does not fit.
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
    """Decode a datagram; None if it is truncated, corrupted, too long, of another version or of an unknown kind."""
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
