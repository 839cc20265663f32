"""Errors of the admin address."""

from __future__ import annotations


class CommandError(ValueError):
    """Report a line that is no command; the message is what its sender is answered."""

    def __init__(self, message: str) -> None:
        super().__init__(message)


class StateError(ValueError):
    """Report a state file that cannot be used.

    `file` is "" until it is known, `key` where the error is about the whole text. The message names all but the file.
    """

    def __init__(self, *, expected: str, key: str = "", found: str = "") -> None:
        location = f"{key}: " if key else ""
        suffix = f", found {found}" if found else ""
        super().__init__(f"{location}expected {expected}{suffix}")
        self.file = ""
        self.key = key
        self.expected = expected
