"""Mutants of startup and reload: what each guard ensures, and the scenario runs and tests that detect its removal."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("sighup", "a reload does not end the process", "serving._handle_reloads", "list-moves", "crash",
        tests="cli/reload::a_reload_switches_discovery_immediately_while_requests_continue"),
    row("early-signals", "a signal during startup is handled", "gateway_process.install_early_handlers",
        "early", "crash", quick=True, tests="cli/gateway_process::a_termination_signal_during_startup_exits_with_0 "
              "cli/reload::a_sighup_during_the_first_read_of_the_file_is_not_lost"),
)  # fmt: skip
