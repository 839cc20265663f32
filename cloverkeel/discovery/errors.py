"""Exceptions of this package; their messages state what was expected and what was found."""

from __future__ import annotations

from typing import Final

MAX_ECHOED_BYTES: Final = 40  # of an unsupported header value, in messages


class DiscoveryError(Exception):
    """Base class of errors between this process and an endpoint source."""


# Calls


class DiscoveryCallError(DiscoveryError):
    """A call to discovery or a relay failed; the message states the cause."""


class ConnectionEndedError(DiscoveryCallError):
    """A request cannot be sent because the connection is closed."""

    def __init__(self) -> None:
        super().__init__("the connection has ended")


class UnexpectedStatusError(DiscoveryCallError):
    """The status of the reply is not 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"answered {status}")
        self.status = status


class UnsupportedCodingError(DiscoveryCallError):
    """The reply has a content coding that was not offered."""

    def __init__(self, coding: bytes) -> None:
        super().__init__(f"expected gzip or no coding, found {coding[:MAX_ECHOED_BYTES]!r}")
        self.coding = coding


class ReplyMemoryError(DiscoveryCallError):
    """The memory account has no room for a reply."""

    def __init__(self, size: int) -> None:
        super().__init__(f"no memory for a reply that takes {size} bytes")
        self.size = size


class NotAListError(DiscoveryCallError):
    """The reply is JSON but not an endpoint list."""

    def __init__(self) -> None:
        super().__init__("reply is not an endpoint list")


class NoUsableEntryError(DiscoveryCallError):
    """A snapshot has entries, but none of them is valid."""

    def __init__(self) -> None:
        super().__init__("snapshot has no valid entry")


class NoListYetError(DiscoveryError, ValueError):
    """A relay's state shows no list, or not the list's age."""

    def __init__(self) -> None:
        super().__init__("relay has no list yet")


# Content


class FieldError(DiscoveryError, ValueError):
    """A field is invalid: the message names it, the expected value and, if given, the value found."""

    def __init__(self, field: str, expected: str, found: str | None = None) -> None:
        super().__init__(f"{field}: expected {expected}" + ("" if found is None else f", found {found}"))
        self.field, self.expected, self.found = field, expected, found


class NodeDataError(FieldError):
    """The data of a backend's node is invalid."""


class SnapshotFileError(DiscoveryError, ValueError):
    """The saved endpoint list is invalid."""

    def __init__(self, path: str, expected: str) -> None:
        super().__init__(f"expected {expected}")
        self.path, self.expected = path, expected


class EndpointListError(DiscoveryError, ValueError):
    """A decoded value is not an endpoint list."""

    def __init__(self) -> None:
        super().__init__("not a list of hosts")


class EndpointEntryError(DiscoveryError, ValueError):
    """A field of an entry of an endpoint list is invalid."""

    def __init__(self, field: str, cause: str) -> None:
        super().__init__(cause)
        self.field = field


class PrecedenceError(DiscoveryError, ValueError):
    """The order of precedence of the sources is invalid."""

    def __init__(self) -> None:
        super().__init__("expected a precedence of one or more sources, each once, without the known list")
