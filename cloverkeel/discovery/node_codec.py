"""A box's node: its data, versioned JSON, to a Member and back. Pure.

    {"v": 1, "name": "s-5be2a07c", "address": "10.1.0.18:8081", "zone": "kita-room", "type": "small-2c",
     "group": 3, "status": "SERVING", "weight": 1.0, "since_ms": 1796119613761}

Fields are those of the registry's entry. Fields that are not known pass; what cannot be used is one NodeError, and
that box alone is left out.
"""

from __future__ import annotations

import json
import math
from dataclasses import asdict
from typing import Any

from cloverkeel.discovery.source_merge import Member, Status

VERSION = 1
DATA_LIMIT = 64 * 1024  # bytes: more is no entry, whatever it says
NAME_LIMIT = 255


class NodeError(ValueError):
    """The message names the field and what was expected."""


def _field(raw: dict[str, Any], name: str, kinds: tuple[type, ...], expected: str, default: Any = None) -> Any:
    value = raw.get(name, default)
    if not isinstance(value, kinds) or isinstance(value, bool):
        raise NodeError(f"{name}: expected {expected}, found {str(value)[:60]!r}")
    return value


def parse(data: bytes, czxid: int = 0) -> Member:
    """NodeError for what is no entry of a version that is known."""
    if len(data) > DATA_LIMIT:
        raise NodeError(f"data: expected at most {DATA_LIMIT} bytes, found {len(data)}")
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError):
        raise NodeError("data: expected JSON in UTF-8") from None
    if not isinstance(raw, dict):
        raise NodeError("data: expected an object")
    version = _field(raw, "v", (int,), "a whole number")
    if version != VERSION:
        raise NodeError(f"v: expected {VERSION}, found {version}")
    name = _field(raw, "name", (str,), "a text")
    if not 0 < len(name) <= NAME_LIMIT:
        raise NodeError(f"name: expected 1 to {NAME_LIMIT} characters")
    host, mark, port = _field(raw, "address", (str,), "host:port").rpartition(":")
    if not mark or not host or not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise NodeError(f"address: expected host:port, found {raw['address']!r}")
    status = _field(raw, "status", (str,), "SERVING or DRAINING")
    if status not in Status.__members__:
        raise NodeError(f"status: expected SERVING or DRAINING, found {status[:60]!r}")
    weight = _field(raw, "weight", (int, float), "a number above 0", 1.0)
    if not (math.isfinite(weight) and 0 < weight < 1e9):
        raise NodeError(f"weight: expected a number above 0, found {weight}")
    since_ms = _field(raw, "since_ms", (int,), "Unix milliseconds", 0)
    if not 0 <= since_ms < 1 << 53:
        raise NodeError(f"since_ms: expected Unix milliseconds, found {since_ms}")
    return Member(
        name, (host.strip("[]"), int(port)), Status[status], _field(raw, "zone", (str,), "a text", ""),
        _field(raw, "type", (str,), "a text", ""), _field(raw, "group", (int, str), "a number or a text", 0),
        float(weight), since_ms, czxid,
    )  # fmt: skip


def render(member: Member) -> bytes:
    """The data of a box's node."""
    raw = asdict(member)
    del raw["czxid"]
    raw["address"] = f"{member.address[0]}:{member.address[1]}"
    raw["status"] = member.status.value
    raw["type"] = raw.pop("kind")
    return json.dumps({"v": VERSION} | raw, sort_keys=True).encode()
