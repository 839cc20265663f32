"""The description of a backend, common to all discovery sources."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class BackendStatus(Enum):
    """Whether a backend accepts new requests; the values are the names in the node data."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"


@dataclass(slots=True, frozen=True)
class Backend:
    """One incarnation of a backend's process."""

    name: str
    address: tuple[str, int]
    status: BackendStatus = BackendStatus.SERVING
    zone: str | int = ""  # a number is an index into the configuration's names
    kind: str | int = ""
    group: int | str = 0
    weight: float = 1.0
    since_ms: int = 0  # start of the backend's process, Unix ms; 0 if long ago or unknown
    czxid: int = 0  # ZooKeeper transaction id of the node's creation, identifies the registration; 0 without a node
