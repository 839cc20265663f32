"""Hosts in the forms of the wire: parse an entry of discovery's list, and encode it for gateways. Pure.

The codec's names: an entry's `status` is Host.is_serving, its `users` what a HashRing says (subsetting.py); all its
other fields go through as they came.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, Final

from cloverkeel.control_plane.errors import EntryError
from cloverkeel.core.config import parse_address, stable_id

MAX_ENTRY_BYTES: Final = 4_096  # of one entry; those of the plan have some 180
MAX_NAME_CHARS: Final = 255  # of a name, service or zone
MAX_WEIGHT: Final = 1e9
HASH_BYTES: Final = 8
HASH_BITS: Final = 8 * HASH_BYTES
WIDENED_USERS_FACTOR: Final = 64  # as many times the users of a host that a gateway has only by widening
SERVING, DRAINING, DELETED = "SERVING", "DRAINING", "DELETED"
STATUSES: Final = (SERVING, DRAINING, DELETED)
# What parse_entry raises for an entry that cannot be used.
UNUSABLE_ENTRY_ERRORS: Final = (KeyError, TypeError, ValueError, OverflowError, AttributeError, RecursionError)

encode_json: Final = json.JSONEncoder(sort_keys=True, separators=(",", ":"), allow_nan=False).encode


class Host:
    """One host as discovery has it. Immutable: who compares two by identity sees whether anything is other."""

    __slots__ = (
        "_encoded_users", "_own_entry", "_widened_entry", "fields", "is_serving", "name", "ring_position", "service",
        "zone",
    )  # fmt: skip

    def __init__(self, name: str, service: str, zone: str, is_serving: bool, fields: bytes) -> None:
        """`fields`: its entry as a JSON object, without `status` and `users`, and without braces."""
        self.name, self.service, self.zone, self.is_serving, self.fields = name, service, zone, is_serving, fields
        self.ring_position = (stable_id(f"{service}\0{zone}\0{name}", HASH_BYTES), name)
        self._encoded_users, self._own_entry, self._widened_entry = -1, b"", b""

    def subset_entry(self, users: int, is_own: bool) -> bytes:
        """Return its entry in a gateway's subset, encoded once for as long as `users` is the same (it is the ring's).

        is_own: for a gateway that has it in its own window; else with WIDENED_USERS_FACTOR times as many users.
        """
        if users != self._encoded_users:
            self._encoded_users, self._own_entry, self._widened_entry = users, b"", b""
        if is_own:
            self._own_entry = self._own_entry or self._encode(users)
            return self._own_entry
        self._widened_entry = self._widened_entry or self._encode(users * WIDENED_USERS_FACTOR)
        return self._widened_entry

    def _encode(self, users: int) -> bytes:
        return b'{"status":"%s",%s,"users":%d}' % (
            b"SERVING" if self.is_serving else b"DRAINING", self.fields, users,
        )  # fmt: skip

    def plain_entry(self) -> bytes:
        """Return its entry as discovery says it."""
        return b'{"status":"%s",%s}' % (b"SERVING" if self.is_serving else b"DRAINING", self.fields)

    def deleted_entry(self) -> bytes:
        """Return the entry by which a gateway learns that it no longer has this host."""
        return b'{"status":"DELETED",%s}' % self.fields


def parse_entry(raw: Any, host_by_name: Mapping[str, Host]) -> tuple[str, Host | None]:
    """Parse an entry: the host's name, and the host (the one of `host_by_name`, if it is as that), None: it is
    deleted.

    Raises one of UNUSABLE_ENTRY_ERRORS where it cannot be used, by a gateway no more than here (but for what is
    longer than the bounds above).
    """
    name, status, weight = raw["name"], raw["status"], float(raw.get("weight", 1.0))
    service, zone = raw.get("service"), str(raw.get("zone", ""))
    service = "" if service is None else str(service)
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_CHARS:
        raise EntryError("name", f"1 to {MAX_NAME_CHARS} characters")
    if len(service) > MAX_NAME_CHARS:
        raise EntryError("service", f"at most {MAX_NAME_CHARS} characters")
    if len(zone) > MAX_NAME_CHARS:
        raise EntryError("zone", f"at most {MAX_NAME_CHARS} characters")
    if status not in STATUSES:
        raise EntryError("status", f"one of {STATUSES}")
    if not 0.0 < weight < MAX_WEIGHT:
        raise EntryError("weight", f"a number above 0 and below {MAX_WEIGHT:g}")
    int(raw.get("since_ms") or 0)
    parse_address(raw["address"], "address")
    if status == DELETED:
        return name, None
    fields = encode_json({key: value for key, value in raw.items() if key not in ("status", "users")}).encode()[1:-1]
    if len(fields) > MAX_ENTRY_BYTES:
        raise EntryError("entry", f"at most {MAX_ENTRY_BYTES} bytes")
    is_serving, known = status == SERVING, host_by_name.get(name)
    if known is not None and known.fields == fields and known.is_serving == is_serving:  # with service and zone
        return name, known
    return name, Host(name, service, zone, is_serving, fields)


def departing_host_name(raw: object) -> str | None:
    """Return the name of a host that leaves, of an entry that cannot be used otherwise: that much of it counts."""
    name, status = (raw.get("name"), raw.get("status")) if isinstance(raw, dict) else (None, None)
    return name if isinstance(name, str) and status in (DRAINING, DELETED) else None
