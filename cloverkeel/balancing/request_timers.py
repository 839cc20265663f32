"""Timers of requests, and the fixed tokens of timers that belong to no request."""

from __future__ import annotations

from typing import Final

from cloverkeel.balancing.action_buffer import ActionBuffer
from cloverkeel.balancing.actions import SetTimer
from cloverkeel.balancing.attempts import Request

LIST_TOKEN: Final = 0  # next poll of the server list
EXPIRY_TOKEN: Final = 1  # next expiry scan


class RequestTimers:
    """Map the tokens of timers to their requests."""

    def __init__(self, buffer: ActionBuffer) -> None:
        self.buffer = buffer
        self.request_by_token: dict[int, Request] = {}
        self.next_token = EXPIRY_TOKEN + 1

    def start(self, due_us: int, request: Request) -> None:
        """Set a timer for a request."""
        self.request_by_token[self.next_token] = request
        self.buffer.actions.append(SetTimer(due_us, self.next_token))
        self.next_token += 1

    def pop(self, token: int) -> Request | None:
        """Remove and return the request of a timer that has fired; None if the token is unknown."""
        return self.request_by_token.pop(token, None)
