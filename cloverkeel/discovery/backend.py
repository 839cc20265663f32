"""A backend as a discovery source has it, independent of which source that is."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class BackendStatus(Enum):
    """Whether a backend takes new requests, by the names of the node data."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"


@dataclass(slots=True, frozen=True)
class Backend:
    """One backend in one life of its process."""

    name: str
    address: tuple[str, int]
    status: BackendStatus = BackendStatus.SERVING
    zone: str | int = ""  # a number where the source has numbered it
    kind: str | int = ""
    group: int | str = 0
    weight: float = 1.0
    since_ms: int = 0  # when its process started, Unix ms; 0: long ago
    czxid: int = 0  # ZooKeeper's id of the transaction that created its node: which registration this is
