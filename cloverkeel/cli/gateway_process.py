"""The gateway's process: signals, configuration, exit code.

Everything else is imported late: a signal during the start must find its handler, and the compiled modules must be
chosen before any of them is imported as a source.
"""

from __future__ import annotations

import os
import signal
import sys
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from cloverkeel.core.config import Config
    from cloverkeel.core.options import Options

EXIT_OK: Final = 0
EXIT_USAGE: Final = 2  # the configuration cannot be used
TERMINATION_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


def run() -> int:
    """Run the gateway until it is told to end; return the exit code."""
    early_reloads = install_early_handlers()
    from cloverkeel.core.config import ConfigError

    try:
        config, options = load_files()
    except ConfigError as error:
        print(f"cloverkeel: {error}", file=sys.stderr)
        return EXIT_USAGE
    from cloverkeel.compiled import loader

    build = loader.load("cloverkeel")  # before any of these modules is imported as a source
    from cloverkeel.cli.serving import run_until_terminated

    return run_until_terminated(config, options, build, early_reloads)


def install_early_handlers() -> list[int]:
    """Handle signals before the event loop runs; return the list that SIGHUPs until then are added to.

    A SIGHUP may come after the file has been read. SIGTERM and SIGINT end the process at once: nothing is held yet.
    """
    early_reloads: list[int] = []
    signal.signal(signal.SIGHUP, lambda signum, _: early_reloads.append(signum))
    for signum in TERMINATION_SIGNALS:
        signal.signal(signum, exit_early)
    return early_reloads


def exit_early(_signum: int, _frame: object) -> None:
    """End the process at once, with success."""
    os._exit(EXIT_OK)


def load_files() -> tuple[Config, Options]:
    """Read LB_CONFIG and CLOVERKEEL_OPTIONS; raise ConfigError where one cannot be used."""
    from cloverkeel.core import config, options

    return config.load(), options.load()
