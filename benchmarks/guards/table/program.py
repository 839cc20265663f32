"""The mutants of the start: what each guard holds, and the plays and tests that must find it gone."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("sighup", "a reload ends nothing", "serving._handle_reloads", "list-moves", "crash",
        tests="cli/reload::discovery_moves_at_once_while_requests_go_on"),
    row("early-signals", "a signal during the start is survived", "gateway_process.install_early_handlers",
        "early", "crash", quick=True, tests="cli/gateway_process::a_signal_during_the_start_ends_it_with_0 "
              "cli/reload::a_signal_while_the_file_is_first_read_is_kept"),
)  # fmt: skip
