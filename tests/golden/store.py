"""Samples of wire messages and stored data, and the data files that keep their bytes."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Final

DATA_FOLDER: Final = Path(__file__).parent / "data"

BytesByName = dict[str, bytes]


class FileExistsAlreadyError(Exception):
    """A data file is there and would be overwritten."""


def unchanged(data: bytes) -> bytes:
    """Return the bytes as they are."""
    return data


@dataclass(slots=True, frozen=True)
class Sample:
    """One message: how the product writes it, and what the product reads from it.

    `read` is None where the product has no reader. `canonical` maps written and kept bytes to what is compared: the
    bytes themselves, unless a library outside the product may write them in several forms (gzip).
    """

    write: Callable[[], bytes]
    read: Callable[[bytes], object] | None = None
    expected: object = None
    canonical: Callable[[bytes], bytes] = unchanged


SamplesByName = dict[str, Sample]


def path_of(kind: str) -> Path:
    """Return the data file of a kind."""
    return DATA_FOLDER / f"{kind}.json"


def load(kind: str) -> BytesByName:
    """Read the kept bytes of a kind, by the sample's name."""
    raw = json.loads(path_of(kind).read_text(encoding="utf-8"))
    return {name: _decode(entry) for name, entry in raw.items()}


def save(kind: str, messages: BytesByName, replace: bool) -> None:
    """Write the data file of a kind; raise FileExistsAlreadyError if it is there and `replace` is not set."""
    path = path_of(kind)
    if path.exists() and not replace:
        raise FileExistsAlreadyError(f"{path}: exists; expected --replace to overwrite it")
    raw = {name: _encode(data) for name, data in messages.items()}
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps(raw, indent=1, ensure_ascii=True) + "\n", encoding="utf-8")


def _encode(data: bytes) -> dict[str, str]:
    """Keep printable UTF-8 as text, which a reviewer can read, and everything else as hexadecimal digits."""
    try:
        text = data.decode()
    except UnicodeDecodeError:
        return {"hex": data.hex()}
    is_readable = all(letter.isprintable() or letter in "\r\n" for letter in text)
    return {"text": text} if is_readable else {"hex": data.hex()}


def _decode(entry: dict[str, str]) -> bytes:
    if "text" in entry:
        return entry["text"].encode()
    return bytes.fromhex(entry["hex"])
