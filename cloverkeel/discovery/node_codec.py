"""Codec of the data of a backend's node: versioned JSON. Pure.

    {"v": 1, "name": "s-5be2a07c", "address": "10.1.0.18:8081", "zone": "kita-room", "type": "small-2c",
     "group": 3, "status": "SERVING", "weight": 1.0, "since_ms": 1796119613761}

The fields are those of a registry entry; `type` is called `kind` in the code. Unknown fields are ignored. Invalid
data raises NodeDataError, and only that backend is left out.
"""

from __future__ import annotations

import json
import math
from dataclasses import asdict
from typing import Any, Final

from cloverkeel.discovery.backend import Backend, BackendStatus
from cloverkeel.discovery.errors import NodeDataError

FORMAT_VERSION: Final = 1
MAX_DATA_BYTES: Final = 64 * 1024  # larger data is rejected unparsed
MAX_NAME_LENGTH: Final = 255
MAX_WEIGHT: Final = 1e9
MAX_PORT: Final = 65_535
MAX_SINCE_MS: Final = (1 << 53) - 1  # largest integer that every JSON parser keeps exact
MAX_ECHOED_CHARS: Final = 60  # length to which error messages quote an invalid value


def decode_backend(data: bytes, czxid: int = 0) -> Backend:
    """Decode the data of a node. Raise NodeDataError for invalid data and for an unknown version."""
    raw = _decode_object(data)
    version = _read_field(raw, "v", (int,), "a whole number")
    if version != FORMAT_VERSION:
        raise NodeDataError("v", str(FORMAT_VERSION), str(version))
    return Backend(
        name=_read_name(raw),
        address=_read_address(raw),
        status=_read_status(raw),
        weight=_read_weight(raw),
        since_ms=_read_since_ms(raw),
        zone=_read_field(raw, "zone", (str,), "a string", ""),
        kind=_read_field(raw, "type", (str,), "a string", ""),
        group=_read_field(raw, "group", (int, str), "a number or a string", 0),
        czxid=czxid,
    )


def encode_backend(backend: Backend) -> bytes:
    """Encode a backend as the data of its node."""
    raw = asdict(backend)
    del raw["czxid"]
    raw["address"] = f"{backend.address[0]}:{backend.address[1]}"
    raw["status"] = backend.status.value
    raw["type"] = raw.pop("kind")
    return json.dumps({"v": FORMAT_VERSION} | raw, sort_keys=True).encode()


def _decode_object(data: bytes) -> dict[str, Any]:
    if len(data) > MAX_DATA_BYTES:
        raise NodeDataError("data", f"at most {MAX_DATA_BYTES} bytes", str(len(data)))
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError):
        raise NodeDataError("data", "JSON in UTF-8") from None
    if not isinstance(raw, dict):
        raise NodeDataError("data", "an object")
    return raw


def _read_field(raw: dict[str, Any], name: str, types: tuple[type, ...], expected: str, default: Any = None) -> Any:
    value = raw.get(name, default)
    if not isinstance(value, types) or isinstance(value, bool):
        raise NodeDataError(name, expected, repr(str(value)[:MAX_ECHOED_CHARS]))
    return value


def _read_name(raw: dict[str, Any]) -> str:
    name: str = _read_field(raw, "name", (str,), "a string")
    if not 0 < len(name) <= MAX_NAME_LENGTH:
        raise NodeDataError("name", f"1 to {MAX_NAME_LENGTH} characters")
    return name


def _read_address(raw: dict[str, Any]) -> tuple[str, int]:
    host, colon, port = _read_field(raw, "address", (str,), "host:port").rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not colon or not host or not is_number or not 0 < int(port) <= MAX_PORT:
        raise NodeDataError("address", "host:port", repr(raw["address"]))
    return host.strip("[]"), int(port)


def _read_status(raw: dict[str, Any]) -> BackendStatus:
    status = _read_field(raw, "status", (str,), "SERVING or DRAINING")
    if status not in BackendStatus.__members__:
        raise NodeDataError("status", "SERVING or DRAINING", repr(status[:MAX_ECHOED_CHARS]))
    return BackendStatus[status]


def _read_weight(raw: dict[str, Any]) -> float:
    weight = _read_field(raw, "weight", (int, float), "a number above 0", 1.0)
    if not (math.isfinite(weight) and 0 < weight < MAX_WEIGHT):
        raise NodeDataError("weight", "a number above 0", str(weight))
    return float(weight)


def _read_since_ms(raw: dict[str, Any]) -> int:
    since_ms: int = _read_field(raw, "since_ms", (int,), "Unix milliseconds", 0)
    if not 0 <= since_ms <= MAX_SINCE_MS:
        raise NodeDataError("since_ms", "Unix milliseconds", str(since_ms))
    return since_ms
