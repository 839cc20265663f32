"""Codec of gossip datagrams: round trips, truncated and corrupt datagrams, limits, items of a later release."""

from __future__ import annotations

import struct
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.gossip.errors import DatagramTooLargeError, FieldOutOfRangeError
from cloverkeel.gossip.messages import (
    MASK32,
    MAX_DATAGRAM_BYTES,
    MAX_ITEMS_BYTES,
    OBSERVATION_ITEM_BYTES,
    Datagram,
    Header,
    Item,
    MemberItem,
    MemberStatus,
    MessageKind,
    ObservationItem,
    TokenGrantItem,
    TokenRequestItem,
    decode,
    encode,
)
from tests.gossip.helpers import observe

u8, u16, u32 = st.integers(0, 255), st.integers(0, 65_535), st.integers(0, MASK32)
member_items = st.builds(MemberItem, u16, u32, st.sampled_from(list(MemberStatus)).map(int), u16)
observation_items = st.builds(ObservationItem, u16, u32, u32, u32, u32, u8, u8, u8, u8)
token_grants = st.builds(TokenGrantItem, u16, u32, u32, u32, u16, u32, u16)
token_requests = st.builds(TokenRequestItem, u16)
headers = st.builds(Header, st.sampled_from(list(MessageKind)).map(int), u16, u32, u32, u32, u16)


@given(headers, st.lists(st.one_of(member_items, observation_items, token_grants, token_requests), max_size=8))
def test_encoded_datagrams_decode_to_equal_ones_and_fit_the_limit(header: Header, items: list[Item]) -> None:
    data = encode(header, tuple(items))
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert decode(data) == Datagram(header, tuple(items))


@given(st.binary(max_size=300))
def test_decoding_arbitrary_bytes_never_raises(data: bytes) -> None:
    decode(data)


@given(headers, st.lists(observation_items, max_size=4), st.data())
def test_truncated_and_corrupt_datagrams_decode_to_none(
    header: Header, items: list[Item], data: st.DataObject
) -> None:
    encoded = encode(header, tuple(items))
    assert decode(encoded[: data.draw(st.integers(0, len(encoded) - 1))]) is None
    position = data.draw(st.integers(0, len(encoded) - 1))
    corrupt = bytearray(encoded)
    corrupt[position] ^= data.draw(st.integers(1, 255))
    assert decode(bytes(corrupt)) is None


def test_additions_of_a_later_release_are_skipped() -> None:
    current = encode(Header(MessageKind.GOSSIP, 1, 2, 3), (observe(1),))[:-4]
    longer = bytearray(current)
    longer[-OBSERVATION_ITEM_BYTES + 1] += 2  # the item's header states two more bytes
    payload = bytes(longer) + b"xx" + struct.pack(">BB", 77, 3) + b"new"
    datagram = decode(payload + struct.pack(">I", zlib.crc32(payload)))
    assert datagram is not None
    assert datagram.items == (observe(1),)
    assert datagram.unknown_items == 1


def test_too_many_items_and_fields_out_of_range_are_errors() -> None:
    too_many = MAX_ITEMS_BYTES // OBSERVATION_ITEM_BYTES + 1
    with pytest.raises(ValueError, match="256 at most") as too_large:
        encode(Header(MessageKind.GOSSIP, 1, 1, 1), tuple(observe(reporter) for reporter in range(too_many)))
    assert isinstance(too_large.value, DatagramTooLargeError)
    with pytest.raises(ValueError, match="Head") as out_of_range:
        encode(Header(MessageKind.GOSSIP, 70_000, 1, 1))
    assert isinstance(out_of_range.value, FieldOutOfRangeError)
