"""What a box's node should be, decided from what was seen. Pure: no I/O, times come with the events.

Invariants: no node for a box that does not answer; DRAINING stands for its whole time before a deletion; a session's
end is no new start of the box.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from cloverkeel.discovery.source_merge import Member, Status
from cloverkeel.discovery.node_codec import render


class Do(Enum):
    NOTHING = "nothing"
    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"
    END = "end"  # delete, and end


@dataclass(slots=True)
class Keeper:
    """What the node should be, from what was seen. Pure: times in seconds of one clock that moves forward."""

    member: Member
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
        status = Status.SERVING if self.draining_since is None else Status.DRAINING
        return render(replace(self.member, status=status))

    def next(self, now_s: float) -> Do:
        if self.draining_since is not None:
            if now_s - self.draining_since >= self.drain_s or not self.has_node:
                return Do.END
            return Do.UPDATE if self.written != self.data() else Do.NOTHING
        if not self.answered:
            return Do.DELETE if self.has_node else Do.NOTHING
        if not self.has_node:
            return Do.CREATE
        return Do.UPDATE if self.written != self.data() else Do.NOTHING

    def done(self, what: Do, data: bytes) -> None:
        """It was carried out."""
        self.has_node = what in (Do.CREATE, Do.UPDATE)
        self.written = data if self.has_node else b""
