"""The gateway on its event loop: startup, serving, drain, shutdown.

Imported once the compiled modules have been chosen (cloverkeel/cli/gateway_process.py).
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Final

import uvloop
from cloverkeel.assembly import Program, assemble
from cloverkeel.balancing import BUILD
from cloverkeel.core import draining
from cloverkeel.core.config import Address, Config
from cloverkeel.core.gc_tuning import EndpointFreezer, freeze_startup_objects
from cloverkeel.core.log import log
from cloverkeel.core.options import Options
from cloverkeel.core.reload import ConfigReloader

# Imported at runtime only if an admin address is configured; most installations have none.
if TYPE_CHECKING:
    from cloverkeel.admin.endpoint import AdminEndpoint

EXIT_OK: Final = 0
EXIT_CANNOT_LISTEN: Final = 1
LISTEN_RETRY_TIMEOUT_S: Final = 3.0  # a restarted process is due within 6 s
LISTEN_RETRY_INTERVAL_S: Final = 0.1


class CannotListenError(Exception):
    """Failure to listen on an address."""

    def __init__(self, address: Address, reason: str | None) -> None:
        super().__init__(f"cannot listen on {address[0]}:{address[1]}: {reason}")


def run_until_terminated(config: Config, options: Options, build: str, early_reloads: Sequence[int]) -> int:
    """Run the gateway on a new event loop; return the exit code.

    `build`: which build of the modules outside `cloverkeel.balancing` runs. `early_reloads`: SIGHUPs received so far.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(serve(config, options, build, early_reloads))


async def serve(config: Config, options: Options, build: str, early_reloads: Sequence[int]) -> int:
    """Start, serve until SIGTERM or SIGINT, drain; return the exit code."""
    terminated = _handle_termination()
    program = assemble(config, options)
    request_reload = _handle_reloads(program, options)
    admin: AdminEndpoint | None = None
    try:
        if config.admin_listen is not None:
            admin = await _start_admin(config, config.admin_listen, program)
        await _start_server(config, program, terminated)
    except CannotListenError as error:
        log(str(error))
        return EXIT_CANNOT_LISTEN
    _log_build(build)
    if early_reloads:
        request_reload()
    freeze_startup_objects()
    program.gateway.endpoint_updates.on_applied = EndpointFreezer(
        asyncio.get_running_loop().call_soon
    ).on_entries_added
    await terminated.wait()
    await _shut_down(program, admin)
    return EXIT_OK


def _handle_termination() -> asyncio.Event:
    """Return an event that SIGTERM or SIGINT sets; a second signal changes nothing."""
    loop = asyncio.get_running_loop()
    terminated = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, terminated.set)
    return terminated


def _handle_reloads(program: Program, options: Options) -> Callable[[], None]:
    """Reload the configuration files at each SIGHUP; return the function that requests a reload."""
    loop = asyncio.get_running_loop()
    reloader = ConfigReloader(program.discovery, program.relay_client, options)
    loop.add_signal_handler(signal.SIGHUP, reloader.request_reload)
    return reloader.request_reload


async def _start_admin(config: Config, address: Address, program: Program) -> AdminEndpoint:
    from cloverkeel.admin.endpoint import AdminEndpoint
    from cloverkeel.discovery.ejection_filter import EjectionFilter

    assert isinstance(program.discovery, EjectionFilter)
    extensions = [driver.call for driver in program.peer_drivers]
    admin = AdminEndpoint(config, program.server, program.discovery, extensions)
    try:
        await admin.start(address)
    except OSError as error:
        raise CannotListenError(address, error.strerror) from None
    return admin


async def _start_server(config: Config, program: Program, terminated: asyncio.Event) -> None:
    """Listen for clients and start the program; retry for a while if the system cannot give a socket now."""
    loop = asyncio.get_running_loop()
    give_up_s = loop.time() + LISTEN_RETRY_TIMEOUT_S
    while not program.server.is_listening:
        try:
            await program.server.start()
        except OSError as error:
            if loop.time() >= give_up_s or terminated.is_set():
                raise CannotListenError(config.listen, error.strerror) from None
            await asyncio.sleep(LISTEN_RETRY_INTERVAL_S)
    try:
        program.start()
    except OSError as error:
        raise CannotListenError(config.listen, error.strerror) from None


def _log_build(build: str) -> None:
    """Log which build of `cloverkeel.balancing` runs; if it is compiled and the other modules are not, log why."""
    log(f"gateway: started, decisions={BUILD}")
    if BUILD == "compiled" != build:
        log(f"gateway: other modules are not compiled, build={build}")


async def _shut_down(program: Program, admin: AdminEndpoint | None) -> None:
    """Drain, deliver the responses that have begun, then close the admin address and the gateway."""
    program.begin_shutdown()
    schedule = admin.begin_shutdown() if admin is not None else None
    drained = asyncio.ensure_future(program.server.shut_down(schedule))
    if not await _is_done_within(drained, draining.MAX_DRAIN_S):
        log(f"shutdown: delivering responses, connections={program.server.client_count}")
        program.close_peers()
        if not await _is_done_within(drained, draining.MAX_DELIVERY_S):
            drained.cancel()
            log(f"shutdown: deadline exceeded, unanswered={len(program.gateway.requests.by_key)}")
    log(f"shutdown: complete, connections={program.pool.counts}")
    if admin is not None:
        admin.close()
    program.gateway.close()


async def _is_done_within(future: asyncio.Future[None], timeout_s: float) -> bool:
    """Wait until a future is done, for `timeout_s` at most; return whether it is. Raises what the future raises."""
    await asyncio.wait((future,), timeout=timeout_s)
    if future.done():
        future.result()
    return future.done()
