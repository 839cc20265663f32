"""The gateway process: signals, configuration, exit code.

All other modules are imported late: a signal during startup must find its handler installed, and the compiled modules
must be chosen before any of them is imported from source.
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
EXIT_USAGE: Final = 2  # invalid configuration
TERMINATION_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


def run() -> int:
    """Run the gateway until it is terminated by a signal; return the exit code."""
    early_reloads = install_early_handlers()
    from cloverkeel.core.config import ConfigError

    try:
        config, options = load_files()
    except ConfigError as error:
        print(f"cloverkeel: {error}", file=sys.stderr)
        return EXIT_USAGE
    from cloverkeel.compiled import loader

    build = loader.load("cloverkeel")  # before any of these modules is imported from source
    from cloverkeel.cli.serving import run_until_terminated

    return run_until_terminated(config, options, build, early_reloads)


def install_early_handlers() -> list[int]:
    """Handle signals until the event loop handles them; return the list that records each SIGHUP until then.

    A SIGHUP that arrives after the configuration was read needs a reload later, so it is recorded. SIGTERM and SIGINT
    end the process immediately: there is no request to finish yet.
    """
    early_reloads: list[int] = []
    signal.signal(signal.SIGHUP, lambda signum, _: early_reloads.append(signum))
    for signum in TERMINATION_SIGNALS:
        signal.signal(signum, exit_early)
    return early_reloads


def exit_early(_signum: int, _frame: object) -> None:
    """End the process immediately with exit code 0."""
    os._exit(EXIT_OK)


def load_files() -> tuple[Config, Options]:
    """Read LB_CONFIG and CLOVERKEEL_OPTIONS; raise ConfigError if either is invalid."""
    from cloverkeel.core import config, options

    return config.load(), options.load()
