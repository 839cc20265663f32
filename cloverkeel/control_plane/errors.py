"""Exceptions of the control plane. Pure."""

from __future__ import annotations

from collections.abc import Iterable

from cloverkeel.core.config import ConfigError


class NotReadyError(Exception):
    """Discovery has not sent a snapshot yet, so no request can be answered."""


class RequestError(ValueError):
    """A poll request is malformed. The text, one line, names the key and the expected value."""

    def __init__(self, key: str, expected: str, found: str | None = None) -> None:
        super().__init__(f"{key}: expected {expected}" + ("" if found is None else f", found {found}"))
        self.key, self.expected, self.found = key, expected, found


class RosterError(ValueError):
    """A roster file is invalid. The text names the file, the key and the expected value."""

    def __init__(self, file: str, key: str, expected: str, found: object) -> None:
        super().__init__(f"{file}: {key}: expected {expected}, found {str(found)[:80]!r}")
        self.file, self.key, self.expected, self.found = file, key, expected, found


class RosterSyntaxError(RosterError):
    """A roster file is not valid JSON."""

    def __init__(self, file: str, reason: Exception) -> None:
        ValueError.__init__(self, f"{file}: expected JSON: {reason}")
        self.file, self.key, self.expected, self.found = file, "", "JSON", reason


class RelayFileError(ConfigError):
    """A relay's file is invalid. The text names the file and the problem."""

    def __init__(self, file: str, problem: str) -> None:
        super().__init__(f"{file}: {problem}")
        self.file, self.problem = file, problem


class UnknownKeyError(RelayFileError):
    """A relay's file has an unknown key. `table`: the table that contains it; "" for the top level."""

    def __init__(self, file: str, key: str, known: Iterable[str], table: str = "") -> None:
        where = f"{table}: {key}" if table else key
        super().__init__(file, f"{where}: unknown; expected one of {', '.join(known)}")
        self.key = key


class InvalidValueError(RelayFileError):
    """A key of a relay's file has an invalid value."""

    def __init__(self, file: str, key: str, expected: str, found: object) -> None:
        super().__init__(file, f"{key}: expected {expected}, found {found!r}")
        self.key, self.expected, self.found = key, expected, found


class EntryError(ValueError):
    """An entry of discovery's list is invalid."""

    def __init__(self, key: str, expected: str) -> None:
        super().__init__(f"{key}: expected {expected}")
        self.key, self.expected = key, expected


class PipelinedRequestError(ValueError):
    """A request was received while another was open on the connection. The text is sent to the client."""

    def __init__(self) -> None:
        super().__init__("one call at a time")


class UnsupportedRequestError(ValueError):
    """A request is not a plain GET. The text is sent to the client."""

    def __init__(self) -> None:
        super().__init__("expected a GET without a body or an upgrade")


class UnusableListError(ValueError):
    """A response of discovery is invalid; the cached list stays unchanged."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"response unusable, cached endpoints are kept, reason={reason!r}")
        self.reason = reason
