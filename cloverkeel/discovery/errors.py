"""Errors that this package raises; all say what was expected and what was found instead."""

from __future__ import annotations

from typing import Final

MAX_ECHOED_BYTES: Final = 40  # of a header that cannot be used


class DiscoveryError(Exception):
    """Base of what goes wrong between this process and a source of endpoints."""


# Calls


class DiscoveryCallError(DiscoveryError):
    """A call to discovery, or to a relay, has failed; the message says how."""


class ConnectionEndedError(DiscoveryCallError):
    """A request cannot be sent: the connection has ended."""

    def __init__(self) -> None:
        super().__init__("the connection has ended")


class UnexpectedStatusError(DiscoveryCallError):
    """The answer's status is another than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"answered {status}")
        self.status = status


class UnsupportedCodingError(DiscoveryCallError):
    """The answer has a content coding that was not offered."""

    def __init__(self, coding: bytes) -> None:
        super().__init__(f"expected gzip or no coding, found {coding[:MAX_ECHOED_BYTES]!r}")
        self.coding = coding


class NotAListError(DiscoveryCallError):
    """The answer is JSON, but no list of instances."""

    def __init__(self) -> None:
        super().__init__("no list of hosts")


class NoUsableEntryError(DiscoveryCallError):
    """A snapshot has entries, and none of them can be used."""

    def __init__(self) -> None:
        super().__init__("a whole list without one entry that can be used")


class NoListYetError(DiscoveryError, ValueError):
    """A relay says that it has no list, or says nothing of it."""

    def __init__(self) -> None:
        super().__init__("it has no list yet")


# Content


class FieldError(DiscoveryError, ValueError):
    """A field cannot be used: the message names it, what was expected and, where that is of use, what was found."""

    def __init__(self, field: str, expected: str, found: str | None = None) -> None:
        super().__init__(f"{field}: expected {expected}" + ("" if found is None else f", found {found}"))
        self.field, self.expected, self.found = field, expected, found


class NodeDataError(FieldError):
    """The data of a backend's node cannot be used."""


class SnapshotFileError(DiscoveryError, ValueError):
    """The saved list cannot be used."""

    def __init__(self, path: str, expected: str) -> None:
        super().__init__(f"expected {expected}")
        self.path, self.expected = path, expected


class EndpointListError(DiscoveryError, ValueError):
    """What came is no list of instances."""

    def __init__(self) -> None:
        super().__init__("not a list of hosts")


class EndpointEntryError(DiscoveryError, ValueError):
    """A field of one entry of the list cannot be used."""

    def __init__(self, field: str, cause: str) -> None:
        super().__init__(cause)
        self.field = field


class PrecedenceError(DiscoveryError, ValueError):
    """The order of the sources makes no sense."""

    def __init__(self) -> None:
        super().__init__("precedence names sources other than the known list, each once")
