"""The mutants of the admin address: what each guard holds, and the plays and tests that must find it gone."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("ban-outlives", "a ban outlives the process", "SharedFiles.open",
        tests="operating::bans_and_a_pause_outlive_the_process_and_are_heard_by_both"),
    row("ban-heard", "a ban told to one process is heard by the other", "SharedFiles.changed",
        tests="operating::bans_and_a_pause_outlive_the_process_and_are_heard_by_both"),
    row("two-writers", "two processes lose no ban", "SharedFiles.change",
        tests="ops_files::two_writers_lose_nothing"),
    row("successor-ready", "an upgrade does not tell the front 'not ready'", "Operations.way_out",
        tests="operating::a_process_with_a_successor_tells_the_front_that_the_gateway_is_ready"),
)  # fmt: skip
