"""Wire format of hosts: parses an entry of the registry's list, and encodes it for gateways. Pure.

Mapping: an entry's `status` is Host.is_serving, its `users` is HashRing.max_users() (subsetting.py); all other fields
are passed through unchanged.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, Final

from cloverkeel.control_plane.errors import EntryError
from cloverkeel.core.config import parse_address, stable_id

MAX_ENTRY_BYTES: Final = 4_096  # entries of the capacity plan have about 180 bytes
MAX_NAME_CHARS: Final = 255  # limit for a host's name, service and zone
MAX_WEIGHT: Final = 1e9
HASH_BYTES: Final = 8
HASH_BITS: Final = 8 * HASH_BYTES
WIDENED_USERS_FACTOR: Final = 64  # multiplies `users` of a host that a gateway has only by widening
SERVING, DRAINING, DELETED = "SERVING", "DRAINING", "DELETED"
STATUSES: Final = (SERVING, DRAINING, DELETED)
# Exceptions that parse_entry raises for an unusable entry.
UNUSABLE_ENTRY_ERRORS: Final = (KeyError, TypeError, ValueError, OverflowError, AttributeError, RecursionError)

encode_json: Final = json.JSONEncoder(sort_keys=True, separators=(",", ":"), allow_nan=False).encode


class Host:
    """One host as listed by the registry. Immutable, so a comparison by identity shows whether anything changed."""

    __slots__ = (
        "_encoded_users", "_own_entry", "_widened_entry", "fields", "is_serving", "name", "ring_position", "service",
        "zone",
    )  # fmt: skip

    def __init__(self, name: str, service: str, zone: str, is_serving: bool, fields: bytes) -> None:
        """Create a host; `fields` is its entry as JSON without braces, `status` and `users`."""
        self.name, self.service, self.zone, self.is_serving, self.fields = name, service, zone, is_serving, fields
        self.ring_position = (stable_id(f"{service}\0{zone}\0{name}", HASH_BYTES), name)
        self._encoded_users, self._own_entry, self._widened_entry = -1, b"", b""

    def subset_entry(self, users: int, is_own: bool) -> bytes:
        """Return the host's entry in a gateway's subset; cached while `users` stays the same.

        users: HashRing.max_users() of the host's ring.
        is_own: True if the host is in the gateway's own window, False if it was added by widening; the entry then has
            WIDENED_USERS_FACTOR times as many users.
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
        """Return the host's entry as listed by the registry, without `users`."""
        return b'{"status":"%s",%s}' % (b"SERVING" if self.is_serving else b"DRAINING", self.fields)

    def deleted_entry(self) -> bytes:
        """Return the entry that removes the host from a gateway's list."""
        return b'{"status":"DELETED",%s}' % self.fields


def parse_entry(raw: Any, host_by_name: Mapping[str, Host]) -> tuple[str, Host | None]:
    """Parse an entry into the host's name and the host, or None for a deleted host.

    Returns the object of `host_by_name` if the host is unchanged. Raises one of UNUSABLE_ENTRY_ERRORS for an unusable
    entry; the checks are those of gateways, except for the length limits above.
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
    # `fields` contains the service and the zone too.
    if known is not None and known.fields == fields and known.is_serving == is_serving:
        return name, known
    return name, Host(name, service, zone, is_serving, fields)


def departing_host_name(raw: object) -> str | None:
    """Return the host's name of an otherwise unusable entry that drains or deletes a host, else None.

    Such an entry still removes the host.
    """
    name, status = (raw.get("name"), raw.get("status")) if isinstance(raw, dict) else (None, None)
    return name if isinstance(name, str) and status in (DRAINING, DELETED) else None
