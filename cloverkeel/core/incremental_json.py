"""Reading a long JSON text by steps, so that others get their turn between them. Pure: no I/O, no clock.

Invariants: what `decode` returns is what json.loads returns of the same text; what that refuses, this refuses.

Entries are read some at a time, as JSON's own reader is quickest so. A stretch of text is cut behind a brace, with no
look at what that closes: where the stretch is a list of values, they are those that stand there, as JSON is read from
left to right and a value that ends in a brace is over there. Where it is none (the brace closed something inside an
entry, or stands in a text) the same entries are read one by one.
"""

from __future__ import annotations

import json
import re
from collections.abc import Generator
from typing import Any, Final

MAX_ENTRIES_PER_STEP: Final = 16  # entries that are read one by one: some 0.1 ms
MAX_CHARS_PER_STEP: Final = 4 << 10  # letters that are read at once: some 25 entries, 0.1 ms
_WHITESPACE: Final = re.compile(r"[ \t\n\r]*")
_decode_value: Final = json.JSONDecoder().raw_decode


def decode_json(body: bytes) -> Generator[None, None, dict[str, Any]]:
    """As json.loads of an object, but with a step after some entries of its `endpoints`. ValueError: it is none."""
    text = body.decode()
    made: dict[str, Any] = {}
    at = _expect(text, _skip_whitespace(text, 0), "{")
    while text[at : at + 1] != "}":
        if made:
            at = _expect(text, at, ",")
        key, at = _decode_value(text, at)
        if not isinstance(key, str):
            raise ValueError("expected a key")
        at = _expect(text, _skip_whitespace(text, at), ":")
        if key == "endpoints" and text[at : at + 1] == "[":
            items: list[Any] = []
            made[key] = items
            at = _expect(text, at, "[")
            while text[at : at + 1] != "]":
                if items:
                    at = _expect(text, at, ",")
                some, at = _read_entries(text, at)
                items += some
                yield
            at += 1
        else:
            made[key], at = _decode_value(text, at)
        at = _skip_whitespace(text, at)
    if _skip_whitespace(text, at + 1) != len(text):
        raise ValueError("something comes after the list")
    return made


def _read_entries(text: str, at: int) -> tuple[list[Any], int]:
    """The next entries, one at the least, and what stands behind them."""
    end = text.rfind("},", at, at + MAX_CHARS_PER_STEP) + 1
    if end:
        try:
            some = json.loads(f"[{text[at:end]}]")
        except ValueError:
            pass
        else:
            return some, _skip_whitespace(text, end)
    some = []
    while True:
        item, at = _decode_value(text, at)
        some.append(item)
        at = _skip_whitespace(text, at)
        if len(some) == MAX_ENTRIES_PER_STEP or text[at : at + 1] != ",":
            return some, at
        at = _expect(text, at, ",")


def _skip_whitespace(text: str, at: int) -> int:
    space = _WHITESPACE.match(text, at)
    return space.end() if space is not None else at


def _expect(text: str, at: int, mark: str) -> int:
    if text[at : at + 1] != mark:
        raise ValueError(f"expected {mark} at {at}, found {text[at : at + 20]!r}")
    return _skip_whitespace(text, at + 1)
