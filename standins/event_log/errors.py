"""Errors when a log file is read."""

from __future__ import annotations

from pathlib import Path


class EventLogError(ValueError):
    """Raised for a line of a log file that is not an event."""

    def __init__(self, path: Path, line_number: int, cause: Exception) -> None:
        super().__init__(f"{path}, line {line_number}: not an event ({cause!r})")
        self.path = path
        self.line_number = line_number
        self.cause = cause
