"""Incremental JSON decoder, which lets the event loop run between steps. Pure: no I/O, no clock.

Invariants: `decode_json` returns the same object as json.loads, and rejects whatever json.loads rejects.

Entries are decoded in batches, because one call of json.loads for many entries is fastest. The text is cut after a
closing brace without checking what the brace closes. If the slice decodes as a list of values, these are the next
entries: JSON is parsed from left to right, and a value that ends in a brace ends there. If it does not (the brace
closes something inside an entry, or is part of a string), the same entries are decoded one by one.
"""

from __future__ import annotations

import json
import re
from collections.abc import Generator
from typing import Any, Final

MAX_ENTRIES_PER_STEP: Final = 16  # when entries are decoded one by one; about 0.1 ms
MAX_CHARS_PER_STEP: Final = 4 << 10  # when entries are decoded in a batch; about 25 entries, 0.1 ms
MAX_QUOTED_CHARS: Final = 20  # of the unexpected text in an error
INCREMENTAL_KEY: Final = "endpoints"
_WHITESPACE: Final = re.compile(r"[ \t\n\r]*")
_decode_value: Final = json.JSONDecoder().raw_decode


def decode_json(body: bytes) -> Generator[None, None, dict[str, Any]]:
    """Decode an object as json.loads does, with a step after each batch of `endpoints`.

    Raises ValueError if the text is not a JSON object.
    """
    text = body.decode()
    decoded: dict[str, Any] = {}
    position = _expect(text, _skip_whitespace(text, 0), "{")
    while text[position : position + 1] != "}":
        if decoded:
            position = _expect(text, position, ",")
        key, position = _decode_value(text, position)
        if not isinstance(key, str):
            raise ValueError("expected a string as key")
        position = _expect(text, _skip_whitespace(text, position), ":")
        if key == INCREMENTAL_KEY and text[position : position + 1] == "[":
            entries: list[Any] = []
            decoded[key] = entries
            position = yield from _decode_entries(text, position, entries)
        else:
            decoded[key], position = _decode_value(text, position)
        position = _skip_whitespace(text, position)
    if _skip_whitespace(text, position + 1) != len(text):
        raise ValueError("trailing data after the JSON object")
    return decoded


def _decode_entries(text: str, position: int, entries: list[Any]) -> Generator[None, None, int]:
    """Decode a list into `entries`, one batch in each step; return the position after it."""
    position = _expect(text, position, "[")
    while text[position : position + 1] != "]":
        if entries:
            position = _expect(text, position, ",")
        batch, position = _decode_batch(text, position)
        entries += batch
        yield
    return position + 1


def _decode_batch(text: str, position: int) -> tuple[list[Any], int]:
    """Decode at least one entry; return the entries and the position after them."""
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


def _expect(text: str, position: int, character: str) -> int:
    """Return the position after `character` and whitespace; raise ValueError if another character is there."""
    if text[position : position + 1] != character:
        found = text[position : position + MAX_QUOTED_CHARS]
        raise ValueError(f"expected {character} at {position}, found {found!r}")
    return _skip_whitespace(text, position + 1)
