"""Parsing of the entries of an endpoint list."""

from __future__ import annotations


from cloverkeel.core.config import Names
from cloverkeel.discovery.endpoint_parser import parse_endpoint
from tests.sockets import (
    endpoint,
)  # fmt: skip


def test_an_invalid_user_count_of_an_entry_is_read_as_zero() -> None:
    names = Names({}, {}, {}, {})
    for raw, users in ((3, 3), (0, 0), (-1, 0), (True, 0), ("7", 0), (2.5, 0)):
        assert parse_endpoint(endpoint("s-1", "h:1", users=raw, service="s1"), names).listed.users == users
