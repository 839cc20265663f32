"""What discovery is asked next, and how long its answer is waited for. Pure: no clock and no sockets.

One call is out at a time, and a call that was given up is never heard: an answer is always relative to the version
that is held. So no list is late by another's doing, and none goes back; a service that restarts is believed, at any
version.

Invariants, for a change that discovery has and can be asked for; it has to be known MAX_NOTIFICATION_DELAY_S later:
- a watch that falls silent is given up, and the next call answered, within that (SILENT_WATCH_DETECTION_S);
- so is a connection that falls silent before its first answer (SILENT_CONNECTION_DETECTION_S), or that is never
  established (UNREACHABLE_DETECTION_S);
- the first call on a connection is no long poll: a call that may have to queue is never one that also waits for news;
- after any failure the first answer is given longer (FIRST_REPLY_TIMEOUT_AFTER_FAILURE_S), up to an answer: a service
  with too many callers refuses some and has the others queue; to give up just before one's turn, again and again, is
  asking in vain;
- a long answer that has arrived is read incrementally for MAX_INCREMENTAL_READ_S at the most, and the rest in one
  piece: that is beside these times.
Where the balancer asks again (lists are not pushed), its own delay is within MAX_RETRY_DELAY_S too.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MAX_NOTIFICATION_DELAY_S: Final = 6.0
LONG_POLL_HOLD_S: Final = 1.0  # a watch that goes on costs discovery next to nothing, and shows that it lives
LONG_POLL_GRACE_S: Final = 1.0  # for the answer beyond that
CONNECT_TIMEOUT_S: Final = 0.5
FIRST_REPLY_TIMEOUT_S: Final = 2.5  # on a connection: discovery works through calls in turn
FIRST_REPLY_TIMEOUT_AFTER_FAILURE_S: Final = 3.2  # after a call that was refused, given up or broken off
MAX_INCREMENTAL_READ_S: Final = 0.05  # half of what the sums below leave of MAX_NOTIFICATION_DELAY_S
MAX_RETRY_DELAY_S: Final = 0.4  # between a failure and the next call
LONG_POLL_RENEWAL_S: Final = 0.2  # after its last answer a watch has ended, and the next call begins another
SILENT_WATCH_DETECTION_S: Final = (
    LONG_POLL_HOLD_S + LONG_POLL_GRACE_S + MAX_RETRY_DELAY_S + CONNECT_TIMEOUT_S + FIRST_REPLY_TIMEOUT_S
)
SILENT_CONNECTION_DETECTION_S: Final = (
    FIRST_REPLY_TIMEOUT_S + MAX_RETRY_DELAY_S + CONNECT_TIMEOUT_S + FIRST_REPLY_TIMEOUT_S
)
UNREACHABLE_DETECTION_S: Final = CONNECT_TIMEOUT_S + MAX_RETRY_DELAY_S + CONNECT_TIMEOUT_S + FIRST_REPLY_TIMEOUT_S
EMPTY_REPLY_PAUSE_S: Final = 0.05  # before the next call where a long poll was answered sooner, with nothing
INITIAL_RETRY_DELAY_S: Final = 0.05  # where lists are pushed: the calls of an agent cost discovery nothing
MAX_BACKOFF_EXPONENT: Final = 8

INSTANCES_PATH: Final = b"/registry/instances"


@dataclass(slots=True, frozen=True)
class PollRequest:
    """One call: its target, and when it is given up."""

    target: bytes
    timeout_s: float
    is_long_poll: bool = False  # discovery holds the answer until there is news, or the hold is over


def changes_since(version: int, hold_ms: int) -> bytes:
    """Return the target that asks for changes since a version, held for news for so long."""
    return INSTANCES_PATH + b"?from=%d&hold_ms=%d" % (version, hold_ms)


class PollSchedule:
    """Which version is held, and what is asked next. Times in seconds, of a clock that only moves forward."""

    def __init__(self) -> None:
        self.version: int | None = None  # of the list that is held; None: the next call asks for a snapshot
        self.failures = 0  # since the last reply
        self.replied_s: float | None = None  # the last reply on the present connection

    def reset(self) -> None:
        """Begin with another service: its versions need not compare with those of the last."""
        self.version = None
        self.failures = 0
        self.replied_s = None

    def require_snapshot(self) -> None:
        """Have the next call ask for the complete list."""
        self.version = None

    def on_connected(self) -> None:
        """Note a new connection: it has answered nothing yet."""
        self.replied_s = None

    def next_request(self, now_s: float) -> PollRequest:
        """Return what is asked next."""
        first_timeout_s = FIRST_REPLY_TIMEOUT_AFTER_FAILURE_S if self.failures else FIRST_REPLY_TIMEOUT_S
        if self.version is None:
            return PollRequest(INSTANCES_PATH, first_timeout_s)
        if self.replied_s is None or now_s - self.replied_s > LONG_POLL_RENEWAL_S:
            return PollRequest(changes_since(self.version, 0), first_timeout_s)
        target = changes_since(self.version, int(LONG_POLL_HOLD_S * 1000))
        return PollRequest(target, LONG_POLL_HOLD_S + LONG_POLL_GRACE_S, is_long_poll=True)

    def on_reply(self, now_s: float, version: int, is_snapshot: bool) -> bool:
        """Note a list, and return whether it can be used.

        Changes up to a version below the one held are of another life of the service: a snapshot is asked for.
        """
        self.failures = 0
        self.replied_s = now_s
        is_usable = is_snapshot or self.version is None or version >= self.version
        self.version = version if is_usable else None
        return is_usable

    def on_failure(self) -> None:
        """Note a call that failed."""
        self.failures += 1

    def retry_delay_s(self, jitter: float) -> float:
        """Return the delay until the next call, where lists are pushed: exponential backoff.

        `jitter` is random, 0 to 1: callers that failed together must not ask together.
        """
        exponent = min(self.failures - 1, MAX_BACKOFF_EXPONENT)
        delay_s = min(INITIAL_RETRY_DELAY_S * float(2**exponent), MAX_RETRY_DELAY_S)
        return delay_s * (0.5 + 0.5 * jitter)
