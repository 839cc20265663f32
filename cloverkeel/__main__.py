"""Start, signals, exit; the commands.

python -m cloverkeel            the gateway: LB_CONFIG names its configuration
python -m cloverkeel register   beside a box: keeps its ephemeral node
python -m cloverkeel duties ... who holds which duty; `duties --help` tells more
python -m cloverkeel peers ...  what the gateways know of one another and of hosts; `peers --help` tells more
python -m cloverkeel relay FILE the control plane's relay: tells gateways their subsets of the list
python -m cloverkeel try ...    real gateways among stand-ins; `try --help` tells more
"""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Sequence

GC_NEW = 5_000  # objects made and not freed between two looks for cycles: requests and connections leave none


def _end_early(signum: int, frame: object) -> None:
    """A signal before anything is held: there is nothing to finish."""
    os._exit(0)


def main(arguments: Sequence[str]) -> int:
    """Exit code. Without arguments this is the gateway."""
    if not arguments:
        return run()
    if arguments[0] == "try":
        return _try(arguments[1:])
    if arguments[0] == "register":
        return _register(arguments[1:])
    if arguments[0] == "duties":
        from cloverkeel.leases.commands import main as duties

        return duties(arguments[1:])
    if arguments[0] == "peers":
        from cloverkeel.gossip.commands import main as peers

        return peers(arguments[1:])
    if arguments[0] == "relay":
        from cloverkeel.control_plane.command import main as relay

        return relay(arguments[1:])
    said = "expected try, register, duties, peers or relay, or none for the gateway"
    print(f"cloverkeel: {arguments[0]}: unknown command; {said}", file=sys.stderr)
    return 2


def _try(arguments: Sequence[str]) -> int:
    # Imported here alone: what carries traffic knows nothing of stand-ins.
    try:
        from standins.playing.command import main as play
    except ModuleNotFoundError as error:
        print(f"cloverkeel: try needs {error.name}: install the extra 'try', or use ./try.sh", file=sys.stderr)
        return 2
    return play(arguments)


def _register(arguments: Sequence[str]) -> int:
    try:
        from cloverkeel.discovery.registration_agent import main as register
    except ModuleNotFoundError as error:
        print(f"cloverkeel: register needs {error.name}: install the extra 'ephemeral'", file=sys.stderr)
        return 2
    return register(arguments)


def run() -> int:
    early: list[int] = []  # SIGHUP before the loop runs: the file may have been read by then
    signal.signal(signal.SIGHUP, lambda signum, frame: early.append(signum))
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, _end_early)
    # Imported late: a signal during the start must find its handler.
    from cloverkeel.core import options as ours
    from cloverkeel.core.config import ConfigError, load

    try:
        config, options = load(), ours.load()
    except ConfigError as error:
        print(f"cloverkeel: {error}", file=sys.stderr)
        return 2

    import asyncio
    import gc

    import uvloop
    from cloverkeel.balancing import BUILD
    from cloverkeel.compiled import loader

    rooms = loader.load("cloverkeel")  # before any of its rooms is imported as a source

    from cloverkeel.assembly import assemble
    from cloverkeel.core.draining import LAST_S
    from cloverkeel.core.gc_tuning import Freezer
    from cloverkeel.core.log import log
    from cloverkeel.core.reload import Reloader

    async def serve() -> int:
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop.set)  # a second one changes nothing
        program = assemble(config, options)
        gateway, server = program.gateway, program.server
        reloader = Reloader(program.discovery, program.relayed, options)
        loop.add_signal_handler(signal.SIGHUP, reloader.ask)
        operations = listener = None
        address = config.ops or config.listen
        try:
            if config.ops is not None:
                # Imported here alone: most installations have no second address.
                from cloverkeel.discovery.ejection_filter import BannedMembership
                from cloverkeel.admin.listener import OpsListener
                from cloverkeel.admin.operations import Operations

                assert isinstance(program.discovery, BannedMembership)
                operations = Operations(config, server, program.discovery, [part.call for part in program.parts])
                operations.start()
                listener = OpsListener(operations.on_line)
                await listener.start(config.ops)
            address = config.listen
            await server.start()
            program.start()
        except OSError as error:
            log(f"cannot listen on {address[0]}:{address[1]}: {error.strerror}")
            return 1
        log(f"decisions are {BUILD}")
        if BUILD == "compiled" != rooms:
            log(f"the gateway's rooms are {rooms}")
        if early:
            reloader.ask()
        gc.collect()
        gc.freeze()  # what the start has made is never garbage
        gc.set_threshold(GC_NEW, 10, 10)
        gateway.endpoint_updates.on_applied = Freezer(loop.call_soon).took
        await stop.wait()
        program.leave()
        try:
            async with asyncio.timeout(LAST_S):
                await server.shut_down(operations.way_out() if operations is not None else None)
        except TimeoutError:
            log(f"ended with {len(gateway.requests.by_key)} requests unanswered")
        counts = program.pool.counts
        log(f"ends; connections to hosts: {counts}")
        if operations is not None and listener is not None:
            listener.close()
            operations.close()
        gateway.close()
        return 0

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(serve())


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
