"""What outlives a process of this gateway, as text and back, and what a call changes in it. Pure.

    {"v": 1, "paused": false, "out": {"s-5be2a07c": 1796153000000000}, "back": {...}, "once": ["s-1", ...]}

Times are µs of Unix time. A text that cannot be used gives StateError, which names what was expected.
Bounds: OUT_KEPT bans, as many calls back, ONCE_KEPT ids; of calls back and ids the oldest go first.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field, replace
from typing import Any, Final

VERSION: Final = 1
OUT_KEPT: Final = 1_024
ONCE_KEPT: Final = 4_096
TEXT_LIMIT: Final = 4 << 20  # characters


class StateError(ValueError):
    """No state that can be used."""


@dataclass(slots=True, frozen=True)
class State:
    paused: bool = False
    out: dict[str, int] = field(default_factory=dict)  # hosts taken out by hand, and since when
    back: dict[str, int] = field(default_factory=dict)  # put back, and when
    once: tuple[str, ...] = ()  # ids that were listed once

    def suspend(self, now_us: int, name: str) -> State:
        return replace(self, out={name: now_us} | self.out)

    def restore(self, now_us: int, name: str) -> State:
        if name not in self.out:
            return self
        out = {other: at_us for other, at_us in self.out.items() if other != name}
        back = {other: at_us for other, at_us in self.back.items() if other != name} | {name: now_us}
        return replace(self, out=out, back=dict(list(back.items())[-OUT_KEPT:]))

    def with_paused(self, paused: bool) -> State:
        return replace(self, paused=paused)


def render(state: State) -> str:
    raw = {
        "v": VERSION, "paused": state.paused, "out": state.out, "back": state.back, "once": list(state.once),
    }  # fmt: skip
    return json.dumps(raw, separators=(",", ":"))


def parse(text: str) -> State:
    if len(text) > TEXT_LIMIT:
        raise StateError(f"expected at most {TEXT_LIMIT} characters")
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError):
        raise StateError("expected JSON") from None
    if not isinstance(raw, dict):
        raise StateError("expected an object")
    if raw.get("v") != VERSION:
        raise StateError(f"v: expected {VERSION}, found {raw.get('v')!r}")
    paused, once = raw.get("paused"), raw.get("once")
    if not isinstance(paused, bool):
        raise StateError("paused: expected true or false")
    if not isinstance(once, list) or len(once) > ONCE_KEPT or not all(isinstance(name, str) for name in once):
        raise StateError(f"once: expected at most {ONCE_KEPT} ids")
    return State(paused, _times(raw, "out"), _times(raw, "back"), tuple(once))


def _times(raw: dict[str, Any], key: str) -> dict[str, int]:
    found = raw.get(key)
    if not isinstance(found, dict) or len(found) > OUT_KEPT:
        raise StateError(f"{key}: expected an object with at most {OUT_KEPT} ids")
    for name, at_us in found.items():
        if not isinstance(at_us, int) or isinstance(at_us, bool) or at_us < 0:
            raise StateError(f"{key}: {name}: expected µs of Unix time")
    return dict(found)
