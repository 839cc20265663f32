"""Operator state that persists across processes of a gateway: changes by commands, and the JSON codec. No I/O.

    {"v": 1, "paused": false, "out": {"s-5be2a07c": 1796153000000000}, "back": {...}, "once": ["s-1", ...]}

Times are µs of Unix time. The JSON keys are kept for compatibility with files of older versions; this module maps
them to the names in the code. An invalid text raises StateError with the expected value.

Invariants:
- a text with more than MAX_EJECTIONS ejections or reinstatements, or more than MAX_KNOWN_IDS known ids, is invalid;
- at most MAX_EJECTIONS reinstatements are kept, the oldest are discarded first.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field, replace
from typing import Any, Final

from cloverkeel.admin.errors import StateError
from cloverkeel.admin.json_object import decode_object

VERSION: Final = 1
MAX_EJECTIONS: Final = 1_024
MAX_KNOWN_IDS: Final = 4_096
MAX_STATE_CHARACTERS: Final = 4 << 20


@dataclass(slots=True, frozen=True)
class GatewayState:
    """State of one gateway set by operators' commands, common to all its processes."""

    is_paused: bool = False
    ejected_at_us: dict[str, int] = field(default_factory=dict)  # by host id
    reinstated_at_us: dict[str, int] = field(default_factory=dict)  # by host id, oldest reinstatement first
    known_ids: tuple[str, ...] = ()  # ids of hosts that were ever listed

    def eject(self, now_us: int, host_id: str) -> GatewayState:
        """Return the state with this host ejected; a host that is already ejected keeps its ejection time."""
        return replace(self, ejected_at_us={host_id: now_us} | self.ejected_at_us)

    def reinstate(self, now_us: int, host_id: str) -> GatewayState:
        """Return the state with this host reinstated; one reinstatement undoes any number of ejections."""
        if host_id not in self.ejected_at_us:
            return self
        reinstated_at_us = _without(self.reinstated_at_us, host_id) | {host_id: now_us}
        return replace(
            self,
            ejected_at_us=_without(self.ejected_at_us, host_id),
            reinstated_at_us=dict(list(reinstated_at_us.items())[-MAX_EJECTIONS:]),
        )

    def with_paused(self, is_paused: bool) -> GatewayState:
        """Return the state with the gateway paused or resumed."""
        return replace(self, is_paused=is_paused)


def _without(time_us_by_id: dict[str, int], host_id: str) -> dict[str, int]:
    return {other: time_us for other, time_us in time_us_by_id.items() if other != host_id}


def encode_state(state: GatewayState) -> str:
    """Return the state as JSON text."""
    raw = {
        "v": VERSION,
        "paused": state.is_paused,
        "out": state.ejected_at_us,
        "back": state.reinstated_at_us,
        "once": list(state.known_ids),
    }
    return json.dumps(raw, separators=(",", ":"))


def decode_state(text: str) -> GatewayState:
    """Parse the JSON text of a state; raise StateError if it is invalid."""
    raw = decode_object(text, VERSION, MAX_STATE_CHARACTERS)
    is_paused = raw.get("paused")
    if not isinstance(is_paused, bool):
        raise StateError(expected="true or false", key="paused")
    known_ids = _decode_ids(raw, "once")
    return GatewayState(is_paused, _decode_times(raw, "out"), _decode_times(raw, "back"), known_ids)


def _decode_ids(raw: dict[str, Any], key: str) -> tuple[str, ...]:
    ids = raw.get(key)
    if not isinstance(ids, list) or len(ids) > MAX_KNOWN_IDS or not all(isinstance(id_, str) for id_ in ids):
        raise StateError(expected=f"at most {MAX_KNOWN_IDS} ids", key=key)
    return tuple(ids)


def _decode_times(raw: dict[str, Any], key: str) -> dict[str, int]:
    time_us_by_id = raw.get(key)
    if not isinstance(time_us_by_id, dict) or len(time_us_by_id) > MAX_EJECTIONS:
        raise StateError(expected=f"an object with at most {MAX_EJECTIONS} ids", key=key)
    for host_id, time_us in time_us_by_id.items():
        if not isinstance(time_us, int) or isinstance(time_us, bool) or time_us < 0:
            raise StateError(expected="µs of Unix time", key=f"{key}: {host_id}")
    return dict(time_us_by_id)
