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
from cloverkeel.discovery.source_merge import Member
from cloverkeel.discovery.node_codec import NodeError, parse, render

BOXES_LIMIT = 4_096
FILE_LIMIT = 16 << 20  # bytes


def save(path: str, members: Iterable[Member]) -> None:
    """OSError where it cannot be written; the old file stands then."""
    boxes = [json.loads(render(member)) for member in list(members)[:BOXES_LIMIT]]
    fresh = Path(path + ".new")
    with fresh.open("w") as file:
        json.dump({"v": 1, "boxes": boxes}, file)
        file.flush()
        os.fsync(file.fileno())
    fresh.replace(path)


def load(path: str) -> list[Member] | None:
    """The list as it was written last; None where there is none that can be used."""
    try:
        if os.path.getsize(path) > FILE_LIMIT:
            raise NodeError(f"expected at most {FILE_LIMIT} bytes")
        raw = json.loads(Path(path).read_text())
        if not isinstance(raw, dict) or raw.get("v") != 1 or not isinstance(raw.get("boxes"), list):
            raise NodeError("expected an object with v 1 and a list of boxes")
        return [parse(json.dumps(box).encode()) for box in raw["boxes"]]
    except FileNotFoundError:
        return None
    except (OSError, ValueError, RecursionError) as error:
        log(f"membership: {path} cannot be used: {error}")
        return None
