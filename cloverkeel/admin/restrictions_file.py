"""The file with which a process leaves to its successor what discovery told it about hosts.

    restrictions.json   {"v": 1, "hosts": {"s-5be2a07c": ["DRAINING", "10.1.0.18", 8081, 1796153000000000], ...}}

Each entry has the status, the address and the start time in µs of Unix time. The file is written to a temporary file
that is then renamed. A file that cannot be read is logged in one line and treated as missing; a failed write is
logged in one line, and the next change is written again.
"""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

from cloverkeel.admin.errors import StateError
from cloverkeel.admin.json_object import decode_object
from cloverkeel.admin.state_file import FileVersion
from cloverkeel.balancing.events import ServerStatus
from cloverkeel.core.log import log
from cloverkeel.discovery.host_restrictions import MAX_RESTRICTIONS, HostRestriction

FORMAT_VERSION: Final = 1
MAX_FILE_CHARACTERS: Final = 4 << 20
STATUS_BY_WORD: Final = {
    "SERVING": ServerStatus.READY,
    "DRAINING": ServerStatus.DRAINING,
    "DELETED": ServerStatus.GONE,
}  # the words of discovery
WORD_BY_STATUS: Final = {status: word for word, status in STATUS_BY_WORD.items()}


def encode_restrictions(by_name: Mapping[str, HostRestriction]) -> str:
    """Return restrictions as JSON text."""
    hosts = {
        name: [WORD_BY_STATUS[restriction.status], *restriction.address, restriction.started_us]
        for name, restriction in by_name.items()
    }
    return json.dumps({"v": FORMAT_VERSION, "hosts": hosts}, separators=(",", ":"))


def decode_restrictions(text: str) -> dict[str, HostRestriction]:
    """Parse the JSON text of restrictions; raise StateError if it is invalid."""
    raw = decode_object(text, FORMAT_VERSION, MAX_FILE_CHARACTERS)
    hosts = raw.get("hosts")
    if not isinstance(hosts, dict) or len(hosts) > MAX_RESTRICTIONS:
        raise StateError(expected=f"an object with at most {MAX_RESTRICTIONS} hosts", key="hosts")
    return {name: _decode_entry(name, entry) for name, entry in hosts.items()}


def _decode_entry(name: str, entry: Any) -> HostRestriction:
    match entry:
        case [("SERVING" | "DRAINING" | "DELETED") as word, str(host), int(port), int(started_us)]:
            return HostRestriction(STATUS_BY_WORD[word], (host, port), started_us)
    raise StateError(expected="status, host, port and µs of Unix time", key=f"hosts: {name}")


class RestrictionsFile:
    """The file in the folder that the processes of one gateway share."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "restrictions.json"
        self._last_version = FileVersion()

    def read_if_changed(self) -> dict[str, HostRestriction] | None:
        """Return what another process has written since this one last read or wrote; None if there is nothing new."""
        try:
            with self.path.open(encoding="utf-8") as file:
                version = FileVersion.of(os.fstat(file.fileno()))
                if version == self._last_version:
                    return None
                self._last_version = version
                return decode_restrictions(file.read(MAX_FILE_CHARACTERS + 1))
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            log(f"admin: restrictions of hosts unreadable, treated as missing, file={self.path} error={error}")
            return None

    def write(self, by_name: Mapping[str, HostRestriction]) -> None:
        """Replace the content."""
        temporary = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        try:
            with temporary.open("w", encoding="utf-8") as file:
                file.write(encode_restrictions(by_name))
                file.flush()
                self._last_version = FileVersion.of(os.fstat(file.fileno()))
            temporary.rename(self.path)
        except OSError as error:
            log(f"admin: restrictions of hosts not kept for a successor, file={self.path} error={error.strerror}")
