"""What a backend's node should be, decided from what was seen. Pure: no I/O, times come with the events.

Invariants: no node for a backend that is not healthy; DRAINING stands for its whole time before a deletion; a
session's end is no new start of the backend.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from cloverkeel.discovery.backend import Backend, BackendStatus
from cloverkeel.discovery.node_codec import encode_backend


class RegistrationAction(Enum):
    """What is to be done with the node."""

    NONE = "nothing"
    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"
    END = "end"  # delete, and end the program


@dataclass(slots=True)
class Registration:
    """Decide what the node should be. Times in seconds of one clock that moves forward."""

    backend: Backend
    max_failed_checks: int = 3  # in a row
    drain_s: float = 2.0  # from DRAINING to the deletion
    failed_checks: int = 0
    is_healthy: bool = False
    has_node: bool = False
    written_data: bytes = b""
    draining_since_s: float | None = None

    def on_health_check(self, now_ms: int, has_passed: bool) -> None:
        """Note a health check. A backend that was unhealthy and passes is a new process, begun at `now_ms`."""
        if not has_passed:
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
        """Note a new session: what the old one had created is deleted, or will be."""
        self.has_node = False
        self.written_data = b""

    def on_termination(self, now_s: float) -> None:
        """Begin to drain; a second call changes nothing."""
        if self.draining_since_s is None:
            self.draining_since_s = now_s

    def node_data(self) -> bytes:
        """Return what the node's data should be."""
        status = BackendStatus.SERVING if self.draining_since_s is None else BackendStatus.DRAINING
        return encode_backend(replace(self.backend, status=status))

    def next_action(self, now_s: float) -> RegistrationAction:
        """Return what is to be done now."""
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
        """Note that an action was carried out, and what was written."""
        self.has_node = action in (RegistrationAction.CREATE, RegistrationAction.UPDATE)
        self.written_data = data if self.has_node else b""
