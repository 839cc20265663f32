"""Errors of the admin address."""

from __future__ import annotations


class CommandError(ValueError):
    """An invalid command line. The message is sent to the operator as the NAK text."""

    def __init__(self, message: str) -> None:
        super().__init__(message)


class StateError(ValueError):
    """An invalid state file.

    `file`: path, "" until it is known. `key`: JSON key, "" if the error concerns the whole text. The message does not
    include the file.
    """

    def __init__(self, *, expected: str, key: str = "", found: str = "") -> None:
        location = f"{key}: " if key else ""
        suffix = f", found {found}" if found else ""
        super().__init__(f"{location}expected {expected}{suffix}")
        self.file = ""
        self.key = key
        self.expected = expected
