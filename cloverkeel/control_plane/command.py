"""`python -m cloverkeel relay FILE` runs a relay; `relay show ADDRESS` prints the state of a running one."""

from __future__ import annotations

import json
import os
import signal
import sys
from collections.abc import Sequence
from types import FrameType
from typing import TYPE_CHECKING, Final

from cloverkeel.core.config import ConfigError, parse_address

if TYPE_CHECKING:
    from cloverkeel.control_plane.config import RelayConfig
    from cloverkeel.control_plane.fleet_roster import FleetRoster
    from cloverkeel.control_plane.http_server import RelayServer

USAGE: Final = """python -m cloverkeel relay FILE          run a control-plane relay; FILE is TOML (deploy/relay.toml)
python -m cloverkeel relay show ADDRESS  print the state of a running relay as JSON; ADDRESS is host:port"""
SHOW_TIMEOUT_S: Final = 2.0
MAX_SHOW_BYTES: Final = 1_000_000
OTHER_OPEN_FILES: Final = 32  # open files other than connections
SHUTDOWN_TIMEOUT_S: Final = 1.0  # for responses that are being sent at shutdown
SHUTDOWN_CHECK_INTERVAL_S: Final = 0.01
EXIT_OK, EXIT_FAILURE, EXIT_USAGE = 0, 1, 2


def main(arguments: Sequence[str]) -> int:
    """Run the command; returns its exit code, EXIT_USAGE for an error in the arguments or the file."""
    match list(arguments):
        case ["-h"] | ["--help"]:
            print(USAGE)
            return EXIT_OK
        case ["show", address]:
            return show(address)
        case [path] if path != "show" and not path.startswith("-"):
            return run(path)
    print(f"cloverkeel relay: expected FILE, or show ADDRESS\n{USAGE}", file=sys.stderr)
    return EXIT_USAGE


def show(address: str) -> int:
    """Print the state of the relay at `address` (host:port); returns the exit code."""
    import http.client

    try:
        host, port = parse_address(address, address)
    except ConfigError as error:
        print(f"cloverkeel relay: {error}", file=sys.stderr)
        return EXIT_USAGE
    try:
        connection = http.client.HTTPConnection(host, port, timeout=SHOW_TIMEOUT_S)
        connection.request("GET", "/relay/state")
        state = json.loads(connection.getresponse().read(MAX_SHOW_BYTES))
    except (OSError, ValueError, http.client.HTTPException) as error:
        print(f"cloverkeel relay: {address}: {error or type(error).__name__}", file=sys.stderr)
        return EXIT_FAILURE
    print(json.dumps(state, indent=2))
    return EXIT_OK


def _exit_early(_signum: int, _frame: FrameType | None) -> None:
    """Exit at once: handles a signal that arrives before the relay serves requests."""
    os._exit(EXIT_OK)


def run(path: str) -> int:
    """Run the relay configured by the file at `path` until SIGTERM or SIGINT; returns the exit code."""
    early_reloads: list[int] = []  # SIGHUPs received before the event loop runs
    signal.signal(signal.SIGHUP, lambda signum, _: early_reloads.append(signum))
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, _exit_early)
    from cloverkeel.control_plane.config import load, load_roster

    try:
        config = load(path)
        roster = load_roster(config.roster)
    except ConfigError as error:
        print(f"cloverkeel: {error}", file=sys.stderr)
        return EXIT_USAGE

    import asyncio

    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_serve(config, roster, early_reloads))


async def _serve(config: RelayConfig, roster: FleetRoster, early_reloads: Sequence[int]) -> int:
    """Serve until SIGTERM or SIGINT; returns the exit code."""
    import asyncio
    import gc

    from cloverkeel.control_plane.endpoint_cache import EndpointCache
    from cloverkeel.control_plane.http_server import RelayServer
    from cloverkeel.control_plane.reload import RosterReloader
    from cloverkeel.core.clock import now_us
    from cloverkeel.core.log import log

    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    # Indexes start at the current time, so that a later process of this relay starts above all indexes of this one.
    server = RelayServer(config, EndpointCache(roster, now_us()))
    reloader = RosterReloader(config.roster, server)
    loop.add_signal_handler(signal.SIGHUP, reloader.request_reload)
    try:
        await server.start()
    except OSError as error:
        log(f"relay: cannot listen, address={config.listen[0]}:{config.listen[1]} error={error.strerror}")
        return EXIT_FAILURE
    _check_open_files(config)
    gateways = len(roster.placement_by_gateway)
    log(f"relay: started, name={config.name} roster={roster.digest} gateways={gateways}")
    if early_reloads:
        reloader.request_reload()
    gc.collect()
    gc.freeze()
    gc.disable()  # from now on, RelayServer._scan collects garbage
    await stop.wait()
    await _shut_down(server)
    return EXIT_OK


def _check_open_files(config: RelayConfig) -> None:
    """Log a warning if the process's limit of open files is too low for `limits.connections`."""
    import resource

    from cloverkeel.core.log import log

    open_files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    connections = config.limits.max_connections
    if open_files < connections + OTHER_OPEN_FILES:
        needed = connections + OTHER_OPEN_FILES
        log(f"relay: limits.connections is above the limit of open files, needed={needed} allowed={open_files}")


async def _shut_down(server: RelayServer) -> None:
    """Stop serving; wait up to SHUTDOWN_TIMEOUT_S for responses that are being sent."""
    import asyncio

    server.close()
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + SHUTDOWN_TIMEOUT_S
    while server.connections and loop.time() < deadline_s:
        await asyncio.sleep(SHUTDOWN_CHECK_INTERVAL_S)
    server.abort_connections()
