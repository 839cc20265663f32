"""The frontend's error.

Not compiled: a compiled exception class with its own constructor leaves memory behind for each object.
"""

from __future__ import annotations

from cloverkeel.core.messages import Header


class RequestError(ValueError):
    """A request that the gateway answers with this status; the message is the body of the response."""

    def __init__(self, status: int, reason: str, *headers: Header) -> None:
        super().__init__(reason)
        self.status = status
        self.headers = list(headers)
