"""Mutants of the admin address: what each guard ensures, and the scenario runs and tests that detect its removal."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("ban-outlives", "an ejection outlives the process", "SharedFolder.open",
        tests="admin/operations::ejections_outlive_the_process_and_are_applied_by_both"),
    row("ban-heard", "an ejection requested from one process is applied by the other", "StateFile.read_if_changed",
        tests="admin/operations::ejections_outlive_the_process_and_are_applied_by_both"),
    row("told-hosts", "a successor keeps to what discovery told the process before it", "EjectionFilter.inherit",
        tests="admin/inherited_restrictions::"
              "a_host_that_drains_gets_nothing_from_a_successor_that_discovery_does_not_answer"),
    row("two-writers", "concurrent updates by two processes lose no ejection", "StateFile.update",
        tests="admin/shared_folder::two_writers_lose_no_changes"),
    row("successor-ready", "the gateway stays ready during an upgrade", "ProcessCoordinator.begin_shutdown",
        tests="admin/operations::a_process_with_a_successor_reports_the_gateway_ready"),
    row("shared-ids", "an id runs at one process of an upgrade only", "ProcessCoordinator._share_ids",
        tests="admin/operations::an_id_runs_once_at_both_processes_of_an_upgrade"),
)  # fmt: skip
