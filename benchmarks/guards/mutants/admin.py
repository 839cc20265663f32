"""Mutants of the admin address: each removes one guard."""

from __future__ import annotations

from typing import Any

from benchmarks.guards.patching import mutant, patch_attribute, patch_source


@mutant("ban-outlives")
def _() -> None:
    """A process starts without the state that its predecessor stored."""
    from cloverkeel.admin.shared_folder import SharedFolder

    original_open = SharedFolder.open

    def open_without_state(self: Any) -> Any:
        from cloverkeel.admin.state import GatewayState

        original_open(self)
        return GatewayState()

    patch_attribute(SharedFolder, "open", open_without_state)


@mutant("ban-heard")
def _() -> None:
    """A state change made by another process is not applied."""
    from cloverkeel.admin.state_file import StateFile

    patch_attribute(StateFile, "read_if_changed", lambda self: None)


@mutant("two-writers")
def _() -> None:
    """A change is applied to this process's copy of the state, ignoring what another process stored."""
    from cloverkeel.admin.state_file import StateFile

    patch_source(StateFile, "update", ("change(self.read() or fallback)", "change(fallback)"))


@mutant("successor-ready")
def _() -> None:
    """A draining process with a successor reports that the gateway is not ready."""
    from cloverkeel.admin.process_coordinator import ProcessCoordinator

    patch_attribute(ProcessCoordinator, "begin_shutdown", lambda self: None)


@mutant("shared-ids")
def _() -> None:
    """Each process of a gateway has its own table of ids."""
    from cloverkeel.admin.process_coordinator import ProcessCoordinator

    patch_attribute(ProcessCoordinator, "_share_ids", lambda self: None)


@mutant("told-hosts")
def _() -> None:
    """A process knows nothing of what discovery told the one that it replaces."""
    from cloverkeel.discovery.ejection_filter import EjectionFilter

    patch_attribute(EjectionFilter, "inherit", lambda self, restriction_by_name: None)
