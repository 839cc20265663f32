"""Command dispatch.

python -m cloverkeel            run the gateway; LB_CONFIG is the path of its configuration
python -m cloverkeel register   run beside a backend and maintain its ephemeral registry node
python -m cloverkeel duties ... show leases and move them between gateways; see `duties --help`
python -m cloverkeel peers ...  show gossip members and host observations; see `peers --help`
python -m cloverkeel relay FILE run the control plane's relay, which sends gateways their subsets of the endpoint list
python -m cloverkeel try ...    run real gateways against emulated services; see `try --help`

Commands are imported only when they run, so that the gateway installs its signal handlers before it reads anything.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from typing import Final

EXIT_USAGE: Final = 2  # unknown command, invalid configuration or missing dependency

Command = Callable[[Sequence[str]], int]


def main(arguments: Sequence[str]) -> int:
    """Run the command named by the first argument, or the gateway without arguments; return the exit code."""
    if not arguments:
        return _run_gateway()
    command = COMMAND_BY_NAME.get(arguments[0])
    if command is None:
        expected = "expected try, register, duties, peers or relay, or none for the gateway"
        print(f"cloverkeel: {arguments[0]}: unknown command; {expected}", file=sys.stderr)
        return EXIT_USAGE
    return command(arguments[1:])


def _run_gateway() -> int:
    from cloverkeel.cli.gateway_process import run

    return run()


def _run_emulator(arguments: Sequence[str]) -> int:
    # Imported only here: modules that serve traffic must not depend on the emulator.
    try:
        from standins.playing.command import main as run_emulator
    except ModuleNotFoundError as error:
        print(f"cloverkeel: try needs {error.name}: install the extra 'try', or use ./try.sh", file=sys.stderr)
        return EXIT_USAGE
    return run_emulator(arguments)


def _run_registration_agent(arguments: Sequence[str]) -> int:
    try:
        from cloverkeel.discovery.registration_agent import main as run_agent
    except ModuleNotFoundError as error:
        print(f"cloverkeel: register needs {error.name}: install the extra 'ephemeral'", file=sys.stderr)
        return EXIT_USAGE
    return run_agent(arguments)


def _run_lease_command(arguments: Sequence[str]) -> int:
    from cloverkeel.leases.commands import main as run_command

    return run_command(arguments)


def _run_gossip_command(arguments: Sequence[str]) -> int:
    from cloverkeel.gossip.commands import main as run_command

    return run_command(arguments)


def _run_relay(arguments: Sequence[str]) -> int:
    from cloverkeel.control_plane.command import main as run_relay

    return run_relay(arguments)


COMMAND_BY_NAME: Final[dict[str, Command]] = {
    "try": _run_emulator,
    "register": _run_registration_agent,
    "duties": _run_lease_command,
    "peers": _run_gossip_command,
    "relay": _run_relay,
}
