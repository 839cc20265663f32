"""Snapshot file of the last list of backends, with which a gateway starts while ZooKeeper is unavailable.

    {"v": 1, "boxes": [node data, ...]}

The snapshot is written to a temporary file that is then renamed, so that a reader finds the old or the new content. A
file that cannot be used is logged and gives no list. At most MAX_BACKENDS are written.
"""

from __future__ import annotations

import json
import os
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final

from cloverkeel.core.log import log
from cloverkeel.discovery.backend import Backend
from cloverkeel.discovery.errors import SnapshotFileError
from cloverkeel.discovery.node_codec import decode_backend, encode_backend

FORMAT_VERSION: Final = 1
MAX_BACKENDS: Final = 4_096
MAX_FILE_BYTES: Final = 16 << 20


def save_snapshot(path: str, backends: Iterable[Backend]) -> None:
    """Write the list. Raise OSError if it cannot be written; the old file is then unchanged."""
    entries = [json.loads(encode_backend(backend)) for backend in list(backends)[:MAX_BACKENDS]]
    new_file = Path(path + ".new")
    with new_file.open("w") as file:
        json.dump({"v": FORMAT_VERSION, "boxes": entries}, file)
        file.flush()
        os.fsync(file.fileno())
    new_file.replace(path)


def load_snapshot(path: str) -> list[Backend] | None:
    """Return the saved list; None if the file is missing or cannot be used."""
    try:
        return [decode_backend(json.dumps(entry).encode()) for entry in _read_entries(path)]
    except FileNotFoundError:
        return None
    except (OSError, ValueError, RecursionError) as error:
        log(f"discovery: snapshot unusable, path={path}, cause={error}")
        return None


def _read_entries(path: str) -> list[Any]:
    """Return the entries of a file. Raise SnapshotFileError if it is too long or has another format."""
    if os.path.getsize(path) > MAX_FILE_BYTES:
        raise SnapshotFileError(path, f"at most {MAX_FILE_BYTES} bytes")
    raw = json.loads(Path(path).read_text())
    if not isinstance(raw, dict) or raw.get("v") != FORMAT_VERSION or not isinstance(raw.get("boxes"), list):
        raise SnapshotFileError(path, "an object with v 1 and a list of boxes")
    entries: list[Any] = raw["boxes"]
    return entries
