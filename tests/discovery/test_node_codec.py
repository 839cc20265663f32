"""Tests of the codec of backends' node data."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.discovery.backend import Backend
from cloverkeel.discovery.node_codec import MAX_DATA_BYTES, decode_backend, encode_backend
from cloverkeel.discovery.errors import NodeDataError


def make_backend(name: str = "a", **changes: object) -> Backend:
    return replace(Backend(name, ("10.0.0.1", 80)), **changes)  # type: ignore[arg-type]


BACKEND = make_backend("s-1", zone="kita-room", kind="small-2c", group=3, weight=1.5, since_ms=1_700_000_000_000)


def test_data_round_trips_and_unknown_fields_are_ignored() -> None:
    assert decode_backend(encode_backend(BACKEND)) == BACKEND and decode_backend(
        encode_backend(BACKEND), 9
    ) == replace(BACKEND, czxid=9)
    with_unknown_field = json.loads(encode_backend(BACKEND)) | {"colour": "blue", "v": 1}
    assert decode_backend(json.dumps(with_unknown_field).encode()) == BACKEND
    assert decode_backend(b'{"v": 1, "name": "x", "address": "[::1]:80", "status": "DRAINING"}').address == (
        "::1",
        80,
    )


@pytest.mark.parametrize(
    ("change", "expected_error"),
    [
        ({"v": 2}, "v: expected 1, found 2"), ({"v": None}, "v: expected a whole number"),
        ({"v": True}, "v: expected"),
        ({"name": ""}, "name: expected 1 to 255"), ({"name": 3}, "name: expected a string, found '3'"),
        ({"address": "10.0.0.1"}, "address: expected host:port"), ({"address": "h:99999"}, "address: expected host"),
        ({"address": "h:0"}, "address: expected host"), ({"status": "GONE"}, "status: expected SERVING or DRAINING"),
        ({"weight": 0}, "weight: expected a number above 0"), ({"weight": "1"}, "weight: expected a number above 0"),
        ({"since_ms": -1}, "since_ms: expected Unix milli"), ({"since_ms": 1.5}, "since_ms: expected Unix milli"),
        ({"group": []}, "group: expected a number or a string"), ({"zone": 1}, "zone: expected a string"),
    ],
)  # fmt: skip
def test_invalid_data_is_reported_with_field_and_expected_value(
    change: dict[str, object], expected_error: str
) -> None:
    with pytest.raises(NodeDataError) as error:
        decode_backend(json.dumps(json.loads(encode_backend(BACKEND)) | change).encode())
    assert expected_error in str(error.value)


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"\xff", b"null", b"[" * 100_000, b" " * (MAX_DATA_BYTES + 1)])
def test_data_other_than_a_json_object_is_rejected(data: bytes) -> None:
    with pytest.raises(NodeDataError, match="data: expected"):
        decode_backend(data)


@given(st.binary(max_size=300))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_any_bytes_decode_to_a_backend_or_raise_node_data_error(data: bytes) -> None:
    try:
        decode_backend(data)
    except NodeDataError as error:
        assert "expected" in str(error)
