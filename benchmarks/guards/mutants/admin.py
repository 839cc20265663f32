"""Mutants of the admin address: each takes out one guard."""

from __future__ import annotations

from typing import Any

from benchmarks.guards.patching import cut, entry, swap


@entry("ban-outlives")
def _() -> None:
    """A process begins without what the one before it has left."""
    from cloverkeel.admin.shared_folder import SharedFolder

    old = SharedFolder.open

    def open_(self: Any) -> Any:
        from cloverkeel.admin.state import GatewayState

        old(self)
        return GatewayState()

    swap(SharedFolder, "open", open_)


@entry("ban-heard")
def _() -> None:
    """A change that the other process was asked for is not applied."""
    from cloverkeel.admin.state_file import StateFile

    swap(StateFile, "read_if_changed", lambda self: None)


@entry("two-writers")
def _() -> None:
    """A change is made to what this process knows, whatever the other one wrote."""
    from cloverkeel.admin.state_file import StateFile

    cut(StateFile, "update", ("change(self.read() or fallback)", "change(fallback)"))


@entry("successor-ready")
def _() -> None:
    """A process with a successor reports that the gateway is not ready."""
    from cloverkeel.admin.process_coordinator import ProcessCoordinator

    swap(ProcessCoordinator, "begin_shutdown", lambda self: None)
