"""Errors that the control plane raises on its own. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from cloverkeel.core.config import ConfigError


class NotReadyError(Exception):
    """No snapshot has come from discovery yet, so nothing can be answered."""


class RequestError(ValueError):
    """A poll request cannot be read. The text names the key and what was expected, in one line."""

    def __init__(self, key: str, expected: str, found: str | None = None) -> None:
        super().__init__(f"{key}: expected {expected}" + ("" if found is None else f", found {found}"))
        self.key, self.expected, self.found = key, expected, found


class RosterError(ValueError):
    """A roster file cannot be used. The text names the file, the key and what was expected there."""

    def __init__(self, file: str, key: str, expected: str, found: object) -> None:
        super().__init__(f"{file}: {key}: expected {expected}, found {str(found)[:80]!r}")
        self.file, self.key, self.expected, self.found = file, key, expected, found


class RosterSyntaxError(RosterError):
    """A roster file is not JSON at all."""

    def __init__(self, file: str, reason: Exception) -> None:
        ValueError.__init__(self, f"{file}: expected JSON: {reason}")
        self.file, self.key, self.expected, self.found = file, "", "JSON", reason


class RelayFileError(ConfigError):
    """A relay's file cannot be used. The text names the file and the problem."""

    def __init__(self, file: str, problem: str) -> None:
        super().__init__(f"{file}: {problem}")
        self.file, self.problem = file, problem


class UnknownKeyError(RelayFileError):
    """A relay's file has a key that is none. `table`: where it stands; "": at the top."""

    def __init__(self, file: str, key: str, known: Iterable[str], table: str = "") -> None:
        where = f"{table}: {key}" if table else key
        super().__init__(file, f"{where}: unknown; expected one of {', '.join(known)}")
        self.key = key


class InvalidValueError(RelayFileError):
    """A key of a relay's file has a value that it cannot have."""

    def __init__(self, file: str, key: str, expected: str, found: object) -> None:
        super().__init__(file, f"{key}: expected {expected}, found {found!r}")
        self.key, self.expected, self.found = key, expected, found


class EntryError(ValueError):
    """An entry of discovery's list cannot be used."""

    def __init__(self, key: str, expected: str) -> None:
        super().__init__(f"{key}: expected {expected}")
        self.key, self.expected = key, expected


class PipelinedRequestError(ValueError):
    """A request came before the one that is open was answered. The text is sent to the client."""

    def __init__(self) -> None:
        super().__init__("one call at a time")


class UnsupportedRequestError(ValueError):
    """A request is none that a relay answers. The text is sent to the client."""

    def __init__(self) -> None:
        super().__init__("expected a GET without a body or an upgrade")


class UnusableListError(ValueError):
    """A response of discovery cannot be used; what is cached stays as it is."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"response unusable, cached endpoints are kept, reason={reason!r}")
        self.reason = reason
