"""Mutants of the start: each takes out one guard."""

from __future__ import annotations

from benchmarks.guards.patching import cut, entry


@entry("sighup")
def _() -> None:
    """SIGHUP ends the program."""
    import cloverkeel.__main__ as program

    cut(
        program, "run",
        ("loop.add_signal_handler(signal.SIGHUP, reloader.request_reload)",
         "signal.signal(signal.SIGHUP, signal.SIG_DFL)"),
    )  # fmt: skip


@entry("early-signals")
def _() -> None:
    """A signal during the start ends the program."""
    import cloverkeel.__main__ as program

    cut(
        program, "run",
        ("signal.signal(signal.SIGHUP, lambda signum, frame: early.append(signum))", "pass"),
        ("signal.signal(signum, _end_early)", "pass"),
    )  # fmt: skip
