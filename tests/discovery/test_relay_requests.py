"""Parsing of the age that a relay reports for its list."""

from __future__ import annotations


import pytest

from cloverkeel.discovery.relay_requests import parse_state_age_s, parse_age_s


@pytest.mark.parametrize("body", [b"[]", b"{}", b"x", b'{"version":null,"age_ms":1}', b'{"version":1,"age_ms":null}'])
def test_a_relay_state_without_a_list_is_rejected(body: bytes) -> None:
    with pytest.raises(ValueError):
        parse_state_age_s(body)
    assert parse_state_age_s(b'{"version":1,"age_ms":250}') == 0.25


@pytest.mark.parametrize("age", [-1, True, 1.5, "1", None, 10**12])
def test_an_invalid_age_is_rejected(age: object) -> None:
    assert parse_age_s({}) == 0.0 and parse_age_s({"age_ms": 1_500}) == 1.5
    with pytest.raises(ValueError, match="age_ms: expected"):
        parse_age_s({"age_ms": age})
