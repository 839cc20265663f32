"""Mutants of the admin address: each takes out one guard."""

from __future__ import annotations

from typing import Any

from benchmarks.guards.patching import cut, entry, swap


@entry("ban-outlives")
def _() -> None:
    """A process begins without what the one before it has left."""
    from cloverkeel.admin.state_files import SharedFiles

    old = SharedFiles.open

    def open_(self: Any) -> Any:
        from cloverkeel.admin.state import State

        old(self)
        return State()

    swap(SharedFiles, "open", open_)


@entry("ban-heard")
def _() -> None:
    """What the other process is told is not heard."""
    from cloverkeel.admin.state_files import SharedFiles

    swap(SharedFiles, "changed", lambda self: None)


@entry("two-writers")
def _() -> None:
    """A change is made to what this process knows, whatever the other one wrote."""
    from cloverkeel.admin.state_files import SharedFiles

    cut(SharedFiles, "change", ("how(self.read() or otherwise)", "how(otherwise)"))


@entry("successor-ready")
def _() -> None:
    """A process with a successor tells the front that the gateway is not ready."""
    from cloverkeel.admin.operations import Operations

    swap(Operations, "way_out", lambda self: None)
