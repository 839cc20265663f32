"""Select the next request to discovery and its timeout. Pure: no clock and no sockets.

One call is in flight at a time, and the reply to an abandoned call is ignored, so each reply is relative to the
version that is held. Hence no list is delayed by another reply, and none is replaced by an older one. A snapshot of a
restarted registry is accepted at any version.

Invariants: a gateway applies a change at most MAX_NOTIFICATION_DELAY_S after discovery is able to send it.
- If a watch is silent, it is abandoned and the next call is answered within that time (SILENT_WATCH_DETECTION_S).
- The same holds for a connection that is silent before its first reply (SILENT_CONNECTION_DETECTION_S) and for one
  that is never established (UNREACHABLE_DETECTION_S).
- The first call on a connection is not a long poll: a call that may queue at the server never also waits for changes.
- After a failure, the timeout of the first reply is longer (FIRST_REPLY_TIMEOUT_AFTER_FAILURE_S) until a reply
  arrives. An overloaded registry rejects some callers and queues the others; a caller that repeatedly gives up just
  before its turn would never get a reply.
- A long reply that has arrived is parsed incrementally for at most MAX_INCREMENTAL_READ_S, then the rest without
  suspending. The times above do not include this.
Where the balancer starts the retry (lists are not pushed), its own delay is also at most MAX_RETRY_DELAY_S.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MAX_NOTIFICATION_DELAY_S: Final = 6.0
LONG_POLL_HOLD_S: Final = 1.0  # renewal is cheap for discovery and shows that the watch is alive
LONG_POLL_GRACE_S: Final = 1.0  # how long the reply may take after the hold
CONNECT_TIMEOUT_S: Final = 0.5
FIRST_REPLY_TIMEOUT_S: Final = 2.5  # on a new connection; discovery processes calls one after another
FIRST_REPLY_TIMEOUT_AFTER_FAILURE_S: Final = 3.2  # the last call was rejected, timed out or was interrupted
MAX_INCREMENTAL_READ_S: Final = 0.05  # half the time that the sums below leave of MAX_NOTIFICATION_DELAY_S
MAX_RETRY_DELAY_S: Final = 0.4  # from a failure to the next call
LONG_POLL_RENEWAL_S: Final = 0.2  # after a longer gap since the last reply, the next call is not a long poll
SILENT_WATCH_DETECTION_S: Final = (
    LONG_POLL_HOLD_S + LONG_POLL_GRACE_S + MAX_RETRY_DELAY_S + CONNECT_TIMEOUT_S + FIRST_REPLY_TIMEOUT_S
)
SILENT_CONNECTION_DETECTION_S: Final = (
    FIRST_REPLY_TIMEOUT_S + MAX_RETRY_DELAY_S + CONNECT_TIMEOUT_S + FIRST_REPLY_TIMEOUT_S
)
UNREACHABLE_DETECTION_S: Final = CONNECT_TIMEOUT_S + MAX_RETRY_DELAY_S + CONNECT_TIMEOUT_S + FIRST_REPLY_TIMEOUT_S
EMPTY_REPLY_PAUSE_S: Final = 0.05  # pause after a long poll that ended sooner than this without entries
INITIAL_RETRY_DELAY_S: Final = 0.05  # where lists are pushed: an agent's calls cost discovery nothing
MAX_BACKOFF_EXPONENT: Final = 8

INSTANCES_PATH: Final = b"/registry/instances"


@dataclass(slots=True, frozen=True)
class PollRequest:
    """One call: its request target and its timeout."""

    target: bytes
    timeout_s: float
    is_long_poll: bool = False  # discovery holds the reply until the list changes or the hold ends


def changes_since(version: int, hold_ms: int) -> bytes:
    """Return the target of a call for the changes since a version; the server waits up to `hold_ms` for one."""
    return INSTANCES_PATH + b"?from=%d&hold_ms=%d" % (version, hold_ms)


class PollSchedule:
    """The version held and the choice of the next request. Times are in seconds of a monotonic clock."""

    def __init__(self) -> None:
        self.version: int | None = None  # held version; None: the next call requests a snapshot
        self.failures = 0  # failed calls since the last reply
        self.replied_s: float | None = None  # time of the last reply on this connection; None before the first

    def reset(self) -> None:
        """Start with another server, whose versions are not comparable with the previous ones."""
        self.version = None
        self.failures = 0
        self.replied_s = None

    def require_snapshot(self) -> None:
        """Make the next call request the complete list."""
        self.version = None

    def on_connected(self) -> None:
        """Record a new connection, on which no reply has arrived."""
        self.replied_s = None

    def next_request(self, now_s: float) -> PollRequest:
        """Return the next request."""
        first_timeout_s = FIRST_REPLY_TIMEOUT_AFTER_FAILURE_S if self.failures else FIRST_REPLY_TIMEOUT_S
        if self.version is None:
            return PollRequest(INSTANCES_PATH, first_timeout_s)
        if self.replied_s is None or now_s - self.replied_s > LONG_POLL_RENEWAL_S:
            return PollRequest(changes_since(self.version, 0), first_timeout_s)
        target = changes_since(self.version, int(LONG_POLL_HOLD_S * 1000))
        return PollRequest(target, LONG_POLL_HOLD_S + LONG_POLL_GRACE_S, is_long_poll=True)

    def on_reply(self, now_s: float, version: int, is_snapshot: bool) -> bool:
        """Record a reply and return whether its list can be applied.

        A delta to a version below the one held comes from a restarted registry: the next call requests a snapshot.
        """
        self.failures = 0
        self.replied_s = now_s
        is_usable = is_snapshot or self.version is None or version >= self.version
        self.version = version if is_usable else None
        return is_usable

    def on_failure(self) -> None:
        """Record a failed call."""
        self.failures += 1

    def retry_delay_s(self, jitter: float) -> float:
        """Return the delay in seconds before the next call, where lists are pushed: exponential backoff.

        `jitter` is a random number from 0 to 1: callers that failed at the same time must not retry at the same time.
        """
        exponent = min(self.failures - 1, MAX_BACKOFF_EXPONENT)
        delay_s = min(INITIAL_RETRY_DELAY_S * float(2**exponent), MAX_RETRY_DELAY_S)
        return delay_s * (0.5 + 0.5 * jitter)
