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

from cloverkeel.discovery.errors import NodeDataError
from cloverkeel.discovery.source_merge import Backend, BackendStatus

FORMAT_VERSION = 1
MAX_DATA_BYTES = 64 * 1024  # bytes: more is no entry, whatever it says
MAX_NAME_LENGTH = 255


def _read_field(raw: dict[str, Any], name: str, kinds: tuple[type, ...], expected: str, default: Any = None) -> Any:
    value = raw.get(name, default)
    if not isinstance(value, kinds) or isinstance(value, bool):
        raise NodeDataError(f"{name}: expected {expected}, found {str(value)[:60]!r}")
    return value


def decode_backend(data: bytes, czxid: int = 0) -> Backend:
    """NodeError for what is no entry of a version that is known."""
    if len(data) > MAX_DATA_BYTES:
        raise NodeDataError(f"data: expected at most {MAX_DATA_BYTES} bytes, found {len(data)}")
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError):
        raise NodeDataError("data: expected JSON in UTF-8") from None
    if not isinstance(raw, dict):
        raise NodeDataError("data: expected an object")
    version = _read_field(raw, "v", (int,), "a whole number")
    if version != FORMAT_VERSION:
        raise NodeDataError(f"v: expected {FORMAT_VERSION}, found {version}")
    name = _read_field(raw, "name", (str,), "a text")
    if not 0 < len(name) <= MAX_NAME_LENGTH:
        raise NodeDataError(f"name: expected 1 to {MAX_NAME_LENGTH} characters")
    host, mark, port = _read_field(raw, "address", (str,), "host:port").rpartition(":")
    if not mark or not host or not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise NodeDataError(f"address: expected host:port, found {raw['address']!r}")
    status = _read_field(raw, "status", (str,), "SERVING or DRAINING")
    if status not in BackendStatus.__members__:
        raise NodeDataError(f"status: expected SERVING or DRAINING, found {status[:60]!r}")
    weight = _read_field(raw, "weight", (int, float), "a number above 0", 1.0)
    if not (math.isfinite(weight) and 0 < weight < 1e9):
        raise NodeDataError(f"weight: expected a number above 0, found {weight}")
    since_ms = _read_field(raw, "since_ms", (int,), "Unix milliseconds", 0)
    if not 0 <= since_ms < 1 << 53:
        raise NodeDataError(f"since_ms: expected Unix milliseconds, found {since_ms}")
    return Backend(
        name,
        (host.strip("[]"), int(port)),
        BackendStatus[status],
        _read_field(raw, "zone", (str,), "a text", ""),
        _read_field(raw, "type", (str,), "a text", ""),
        _read_field(raw, "group", (int, str), "a number or a text", 0),
        float(weight),
        since_ms,
        czxid,
    )


def encode_backend(member: Backend) -> bytes:
    """The data of a box's node."""
    raw = asdict(member)
    del raw["czxid"]
    raw["address"] = f"{member.address[0]}:{member.address[1]}"
    raw["status"] = member.status.value
    raw["type"] = raw.pop("kind")
    return json.dumps({"v": FORMAT_VERSION} | raw, sort_keys=True).encode()
