"""Decoding of the JSON objects that the files of the shared folder contain. Pure."""

from __future__ import annotations

import json
from typing import Any

from cloverkeel.admin.errors import StateError


def decode_object(text: str, version: int, max_characters: int) -> dict[str, Any]:
    """Parse a JSON object whose key "v" is `version`; raise StateError if the text is anything else or longer."""
    if len(text) > max_characters:
        raise StateError(expected=f"at most {max_characters} characters")
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError):
        raise StateError(expected="JSON") from None
    if not isinstance(raw, dict):
        raise StateError(expected="an object")
    if raw.get("v") != version:
        raise StateError(expected=str(version), key="v", found=repr(raw.get("v")))
    return raw
