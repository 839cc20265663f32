"""Samples of wire messages and stored data, and the data files with their expected bytes."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Final

DATA_FOLDER: Final = Path(__file__).parent / "data"

BytesByName = dict[str, bytes]


class FileExistsAlreadyError(Exception):
    """A data file exists and would be overwritten."""


def identity(data: bytes) -> bytes:
    """Return the bytes unchanged."""
    return data


@dataclass(slots=True, frozen=True)
class Sample:
    """A message: functions that write and read it with the product's code, and the value expected from `read`.

    `read` is None if the product has no reader. `canonical` converts written and stored bytes before they are
    compared, for formats that a library may write in several forms (gzip).
    """

    write: Callable[[], bytes]
    read: Callable[[bytes], object] | None = None
    expected: object = None
    canonical: Callable[[bytes], bytes] = identity


SamplesByName = dict[str, Sample]


def data_path(kind: str) -> Path:
    """Return the path of the data file of a kind."""
    return DATA_FOLDER / f"{kind}.json"


def load(kind: str) -> BytesByName:
    """Read the stored bytes of a kind, by sample name."""
    raw = json.loads(data_path(kind).read_text(encoding="utf-8"))
    return {name: _decode(entry) for name, entry in raw.items()}


def save(kind: str, messages: BytesByName, replace: bool) -> None:
    """Write the data file of a kind; raise FileExistsAlreadyError if it exists and `replace` is false."""
    path = data_path(kind)
    if path.exists() and not replace:
        raise FileExistsAlreadyError(f"{path}: exists; expected --replace to overwrite it")
    raw = {name: _encode(data) for name, data in messages.items()}
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps(raw, indent=1, ensure_ascii=True) + "\n", encoding="utf-8")


def _encode(data: bytes) -> dict[str, str]:
    """Encode printable UTF-8 as text, which a reviewer can read, and all other bytes as hexadecimal digits."""
    try:
        text = data.decode()
    except UnicodeDecodeError:
        return {"hex": data.hex()}
    is_readable = all(character.isprintable() or character in "\r\n" for character in text)
    return {"text": text} if is_readable else {"hex": data.hex()}


def _decode(entry: dict[str, str]) -> bytes:
    if "text" in entry:
        return entry["text"].encode()
    return bytes.fromhex(entry["hex"])
