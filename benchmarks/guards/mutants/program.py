"""Mutants of the startup and reload of the gateway process: each removes one guard."""

from __future__ import annotations

from benchmarks.guards.patching import mutant, patch_source


@mutant("sighup")
def _() -> None:
    """SIGHUP ends the process."""
    from cloverkeel.cli import serving

    patch_source(
        serving, "_handle_reloads",
        ("loop.add_signal_handler(signal.SIGHUP, reloader.request_reload)",
         "signal.signal(signal.SIGHUP, signal.SIG_DFL)"),
    )  # fmt: skip


@mutant("early-signals")
def _() -> None:
    """A signal during startup has its default effect and kills the process."""
    from cloverkeel.cli import gateway_process

    patch_source(
        gateway_process, "install_early_handlers",
        ("signal.signal(signal.SIGHUP, lambda signum, _: early_reloads.append(signum))", "pass"),
        ("signal.signal(signum, exit_early)", "pass"),
    )  # fmt: skip
