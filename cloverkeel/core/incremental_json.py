"""Decode a long JSON text in steps, so that the event loop serves others between them. Pure: no I/O, no clock.

Invariants: what `decode_json` returns is what json.loads returns of the same text; what that rejects, this rejects.

Entries are read some at a time, as JSON's own reader is quickest so. A slice of text is cut behind a brace, with no
look at what that closes: where the slice is a list of values, they are those that stand there, as JSON is read from
left to right and a value that ends in a brace is over there. Where it is none (the brace closed something inside an
entry, or stands in a string) the same entries are read one by one.
"""

from __future__ import annotations

import json
import re
from collections.abc import Generator
from typing import Any, Final

MAX_ENTRIES_PER_STEP: Final = 16  # that are read one by one: some 0.1 ms
MAX_CHARS_PER_STEP: Final = 4 << 10  # that are read at once: some 25 entries, 0.1 ms
MAX_QUOTED_CHARS: Final = 20  # of what was found in place of a mark
INCREMENTAL_KEY: Final = "endpoints"
_WHITESPACE: Final = re.compile(r"[ \t\n\r]*")
_decode_value: Final = json.JSONDecoder().raw_decode


def decode_json(body: bytes) -> Generator[None, None, dict[str, Any]]:
    """Decode an object as json.loads does, with a step after some of its `endpoints`. ValueError: it is no object."""
    text = body.decode()
    decoded: dict[str, Any] = {}
    position = _expect(text, _skip_whitespace(text, 0), "{")
    while text[position : position + 1] != "}":
        if decoded:
            position = _expect(text, position, ",")
        key, position = _decode_value(text, position)
        if not isinstance(key, str):
            raise ValueError("expected a key")
        position = _expect(text, _skip_whitespace(text, position), ":")
        if key == INCREMENTAL_KEY and text[position : position + 1] == "[":
            entries: list[Any] = []
            decoded[key] = entries
            position = yield from _decode_entries(text, position, entries)
        else:
            decoded[key], position = _decode_value(text, position)
        position = _skip_whitespace(text, position)
    if _skip_whitespace(text, position + 1) != len(text):
        raise ValueError("something comes after the list")
    return decoded


def _decode_entries(text: str, position: int, entries: list[Any]) -> Generator[None, None, int]:
    """Read a list into `entries`, some entries a step; returns the position behind it."""
    position = _expect(text, position, "[")
    while text[position : position + 1] != "]":
        if entries:
            position = _expect(text, position, ",")
        batch, position = _decode_batch(text, position)
        entries += batch
        yield
    return position + 1


def _decode_batch(text: str, position: int) -> tuple[list[Any], int]:
    """Read the next entries, one at the least; returns them and the position behind them."""
    end = text.rfind("},", position, position + MAX_CHARS_PER_STEP) + 1
    if end:
        try:
            batch = json.loads(f"[{text[position:end]}]")
        except ValueError:
            pass
        else:
            return batch, _skip_whitespace(text, end)
    return _decode_one_by_one(text, position)


def _decode_one_by_one(text: str, position: int) -> tuple[list[Any], int]:
    batch: list[Any] = []
    while True:
        entry, position = _decode_value(text, position)
        batch.append(entry)
        position = _skip_whitespace(text, position)
        if len(batch) == MAX_ENTRIES_PER_STEP or text[position : position + 1] != ",":
            return batch, position
        position = _expect(text, position, ",")


def _skip_whitespace(text: str, position: int) -> int:
    space = _WHITESPACE.match(text, position)
    return space.end() if space is not None else position


def _expect(text: str, position: int, mark: str) -> int:
    """Return the position behind a mark and what whitespace follows. ValueError: something else is there."""
    if text[position : position + 1] != mark:
        found = text[position : position + MAX_QUOTED_CHARS]
        raise ValueError(f"expected {mark} at {position}, found {found!r}")
    return _skip_whitespace(text, position + 1)
