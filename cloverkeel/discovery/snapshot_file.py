"""The last list on a lasting disk: what a gateway that restarts without the service begins with.

    {"v": 1, "boxes": [node data, ...]}

Written as a whole beside the file and put in its place, so that a reader finds the old one or the new one. A
file that cannot be read is one line on the log and no list. At most BOXES_LIMIT boxes are written.
"""

from __future__ import annotations

import json
import os
from collections.abc import Iterable
from pathlib import Path

from cloverkeel.core.log import log
from cloverkeel.discovery.source_merge import Backend
from cloverkeel.discovery.node_codec import decode_backend, encode_backend
from cloverkeel.discovery.errors import NodeDataError

MAX_BACKENDS = 4_096
MAX_FILE_BYTES = 16 << 20  # bytes


def save_snapshot(path: str, members: Iterable[Backend]) -> None:
    """OSError where it cannot be written; the old file stands then."""
    boxes = [json.loads(encode_backend(member)) for member in list(members)[:MAX_BACKENDS]]
    fresh = Path(path + ".new")
    with fresh.open("w") as file:
        json.dump({"v": 1, "boxes": boxes}, file)
        file.flush()
        os.fsync(file.fileno())
    fresh.replace(path)


def load_snapshot(path: str) -> list[Backend] | None:
    """The list as it was written last; None where there is none that can be used."""
    try:
        if os.path.getsize(path) > MAX_FILE_BYTES:
            raise NodeDataError(f"expected at most {MAX_FILE_BYTES} bytes")
        raw = json.loads(Path(path).read_text())
        if not isinstance(raw, dict) or raw.get("v") != 1 or not isinstance(raw.get("boxes"), list):
            raise NodeDataError("expected an object with v 1 and a list of boxes")
        return [decode_backend(json.dumps(box).encode()) for box in raw["boxes"]]
    except FileNotFoundError:
        return None
    except (OSError, ValueError, RecursionError) as error:
        log(f"membership: {path} cannot be used: {error}")
        return None
