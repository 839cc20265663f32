"""What a box's node should be, decided from what was seen. Pure: no I/O, times come with the events.

Invariants: no node for a box that does not answer; DRAINING stands for its whole time before a deletion; a session's
end is no new start of the box.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from cloverkeel.discovery.source_merge import Backend, BackendStatus
from cloverkeel.discovery.node_codec import encode_backend


class RegistrationAction(Enum):
    NOTHING = "nothing"
    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"
    END = "end"  # delete, and end


@dataclass(slots=True)
class Registration:
    """What the node should be, from what was seen. Pure: times in seconds of one clock that moves forward."""

    member: Backend
    fails: int = 3  # checks in a row
    drain_s: float = 2.0  # from DRAINING to the deletion
    failed: int = 0
    answered: bool = False
    has_node: bool = False
    written: bytes = b""
    draining_since: float | None = None

    def on_check(self, now_ms: int, answers: bool) -> None:
        """A health call was answered with 200, or not. A box that was gone and answers is a new process."""
        if not answers:
            self.failed += 1
            if self.failed >= self.fails:
                self.answered = False
            return
        if not self.answered:
            self.answered = True
            if self.failed >= self.fails:
                self.member = replace(self.member, since_ms=now_ms)
        self.failed = 0

    def on_session(self) -> None:
        """A new session: what the old one had made is gone, or will be."""
        self.has_node, self.written = False, b""

    def on_term(self, now_s: float) -> None:
        if self.draining_since is None:
            self.draining_since = now_s

    def data(self) -> bytes:
        status = BackendStatus.SERVING if self.draining_since is None else BackendStatus.DRAINING
        return encode_backend(replace(self.member, status=status))

    def next(self, now_s: float) -> RegistrationAction:
        if self.draining_since is not None:
            if now_s - self.draining_since >= self.drain_s or not self.has_node:
                return RegistrationAction.END
            return RegistrationAction.UPDATE if self.written != self.data() else RegistrationAction.NOTHING
        if not self.answered:
            return RegistrationAction.DELETE if self.has_node else RegistrationAction.NOTHING
        if not self.has_node:
            return RegistrationAction.CREATE
        return RegistrationAction.UPDATE if self.written != self.data() else RegistrationAction.NOTHING

    def done(self, what: RegistrationAction, data: bytes) -> None:
        """It was carried out."""
        self.has_node = what in (RegistrationAction.CREATE, RegistrationAction.UPDATE)
        self.written = data if self.has_node else b""
