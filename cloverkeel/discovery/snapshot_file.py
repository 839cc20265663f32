"""The last list of backends on a lasting disk: what a gateway that restarts without the service begins with.

    {"v": 1, "boxes": [node data, ...]}

Written as a whole beside the file and renamed into its place, so that a reader finds the old one or the new one. A
file that cannot be read is one line of the log and no list. At most MAX_BACKENDS are written.
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
    """Write the list. OSError where it cannot be written; the old file stands then."""
    entries = [json.loads(encode_backend(backend)) for backend in list(backends)[:MAX_BACKENDS]]
    new_file = Path(path + ".new")
    with new_file.open("w") as file:
        json.dump({"v": FORMAT_VERSION, "boxes": entries}, file)
        file.flush()
        os.fsync(file.fileno())
    new_file.replace(path)


def load_snapshot(path: str) -> list[Backend] | None:
    """Return the list as it was written last; None where there is none that can be used."""
    try:
        return [decode_backend(json.dumps(entry).encode()) for entry in _read_entries(path)]
    except FileNotFoundError:
        return None
    except (OSError, ValueError, RecursionError) as error:
        log(f"discovery: snapshot unusable, path={path}, cause={error}")
        return None


def _read_entries(path: str) -> list[Any]:
    """Return the entries of a file. SnapshotFileError where it is too long, or none of ours."""
    if os.path.getsize(path) > MAX_FILE_BYTES:
        raise SnapshotFileError(path, f"at most {MAX_FILE_BYTES} bytes")
    raw = json.loads(Path(path).read_text())
    if not isinstance(raw, dict) or raw.get("v") != FORMAT_VERSION or not isinstance(raw.get("boxes"), list):
        raise SnapshotFileError(path, "an object with v 1 and a list of boxes")
    entries: list[Any] = raw["boxes"]
    return entries
