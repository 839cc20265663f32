"""`python -m cloverkeel relay FILE`: start, signals, exit of a relay; `relay show ADDRESS`: what it says."""

from __future__ import annotations

import json
import os
import signal
import sys
from collections.abc import Sequence
from typing import Final

from cloverkeel.core.config import ConfigError, parse_address

USAGE: Final = """python -m cloverkeel relay FILE          run a control-plane relay; FILE is TOML (deploy/relay.toml)
python -m cloverkeel relay show ADDRESS  what a relay says of itself, as JSON; ADDRESS is host:port"""
SHOW_S: Final = 2.0  # for a relay to answer
SHOW_MOST: Final = 1_000_000  # bytes of it
FILES_BESIDE: Final = 32  # open files beside callers' connections
LAST_S: Final = 1.0  # for answers on their way at the end


def main(arguments: Sequence[str]) -> int:
    """Exit code; 2 for a mistake in the call or the file."""
    if len(arguments) == 1 and arguments[0] in ("-h", "--help"):
        print(USAGE)
        return 0
    if len(arguments) == 2 and arguments[0] == "show":
        return show(arguments[1])
    if len(arguments) != 1 or arguments[0].startswith("-") or arguments[0] == "show":
        print(f"cloverkeel relay: expected FILE, or show ADDRESS\n{USAGE}", file=sys.stderr)
        return 2
    return run(arguments[0])


def show(text: str) -> int:
    import http.client

    try:
        host, port = parse_address(text, text)
    except ConfigError as error:
        print(f"cloverkeel relay: {error}", file=sys.stderr)
        return 2
    try:
        to = http.client.HTTPConnection(host, port, timeout=SHOW_S)
        to.request("GET", "/relay/state")
        answer = to.getresponse()
        said = json.loads(answer.read(SHOW_MOST))
    except (OSError, ValueError, http.client.HTTPException) as error:
        print(f"cloverkeel relay: {text}: {error or type(error).__name__}", file=sys.stderr)
        return 1
    print(json.dumps(said, indent=2))
    return 0


def _end_early(signum: int, frame: object) -> None:
    """A signal before anything is held: there is nothing to finish."""
    os._exit(0)


def run(path: str) -> int:
    early: list[int] = []  # SIGHUP before the loop runs
    signal.signal(signal.SIGHUP, lambda signum, frame: early.append(signum))
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, _end_early)
    from cloverkeel.control_plane import config as ours

    try:
        config = ours.load(path)
        roster = ours.load_roster(config.roster)
    except ConfigError as error:
        print(f"cloverkeel: {error}", file=sys.stderr)
        return 2

    import asyncio
    import gc
    import resource

    import uvloop

    from cloverkeel.core.clock import now_us
    from cloverkeel.core.log import log
    from cloverkeel.control_plane.endpoint_cache import Feed
    from cloverkeel.control_plane.reload import Rereader
    from cloverkeel.control_plane.http_server import Server

    async def serve() -> int:
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop.set)
        # A later process of this relay begins beyond all that this one has named.
        server = Server(config, Feed(roster, now_us()))
        rereader = Rereader(config.roster, server)
        loop.add_signal_handler(signal.SIGHUP, rereader.ask)
        try:
            await server.start()
        except OSError as error:
            log(f"cannot listen on {config.listen[0]}:{config.listen[1]}: {error.strerror}")
            return 1
        files, most = resource.getrlimit(resource.RLIMIT_NOFILE)[0], config.limits.connections
        if files < most + FILES_BESIDE:
            log(f"limits.connections: {most} and {FILES_BESIDE} besides are more files than may be open, {files}")
        log(f"relay {config.name}: roster {roster.digest}, {len(roster.gateways)} gateways")
        if early:
            rereader.ask()
        gc.collect()
        gc.freeze()
        gc.disable()  # from here on at the server's sweeps
        await stop.wait()
        server.close()
        end_s = loop.time() + LAST_S
        while server.callers and loop.time() < end_s:
            await asyncio.sleep(0.01)
        server.close_all()
        return 0

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(serve())
