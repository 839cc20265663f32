"""Decisions about a backend's node: its existence and its data. Pure: no I/O, events carry their time.

Invariants: an unhealthy backend has no node; on termination the node is DRAINING for `drain_s` before it is deleted;
a new session does not change the backend's start time.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from cloverkeel.discovery.backend import Backend, BackendStatus
from cloverkeel.discovery.node_codec import encode_backend


class RegistrationAction(Enum):
    """The next operation on the node."""

    NONE = "nothing"
    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"
    END = "end"  # delete the node and exit


@dataclass(slots=True)
class Registration:
    """Decide the next operation on the node. `_s`: seconds of a monotonic clock; `_ms`: Unix milliseconds."""

    backend: Backend
    max_failed_checks: int = 3  # consecutive failures after which the backend is unhealthy
    drain_s: float = 2.0  # from DRAINING to the deletion of the node
    failed_checks: int = 0
    is_healthy: bool = False
    has_node: bool = False
    written_data: bytes = b""  # last data written to the node; empty if there is none
    draining_since_s: float | None = None  # None while not draining

    def on_health_check(self, now_ms: int, check_passed: bool) -> None:
        """Record a health check. A backend that becomes healthy again counts as a new process started at `now_ms`."""
        if not check_passed:
            self.failed_checks += 1
            if self.failed_checks >= self.max_failed_checks:
                self.is_healthy = False
            return
        if not self.is_healthy:
            self.is_healthy = True
            if self.failed_checks >= self.max_failed_checks:
                self.backend = replace(self.backend, since_ms=now_ms)
        self.failed_checks = 0

    def on_new_session(self) -> None:
        """Record a new session: ZooKeeper deletes the node of the previous one, or has deleted it."""
        self.has_node = False
        self.written_data = b""

    def on_termination(self, now_s: float) -> None:
        """Start draining; further calls have no effect."""
        if self.draining_since_s is None:
            self.draining_since_s = now_s

    def node_data(self) -> bytes:
        """Return the data that the node should have."""
        status = BackendStatus.SERVING if self.draining_since_s is None else BackendStatus.DRAINING
        return encode_backend(replace(self.backend, status=status))

    def next_action(self, now_s: float) -> RegistrationAction:
        """Return the operation that is due now."""
        if self.draining_since_s is not None:
            is_drained = now_s - self.draining_since_s >= self.drain_s
            if is_drained or not self.has_node:
                return RegistrationAction.END
            return self._update_if_changed()
        if not self.is_healthy:
            return RegistrationAction.DELETE if self.has_node else RegistrationAction.NONE
        if not self.has_node:
            return RegistrationAction.CREATE
        return self._update_if_changed()

    def _update_if_changed(self) -> RegistrationAction:
        return RegistrationAction.UPDATE if self.written_data != self.node_data() else RegistrationAction.NONE

    def on_action_done(self, action: RegistrationAction, data: bytes) -> None:
        """Record that an operation succeeded, and the data that it wrote."""
        self.has_node = action in (RegistrationAction.CREATE, RegistrationAction.UPDATE)
        self.written_data = data if self.has_node else b""
