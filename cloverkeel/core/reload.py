"""SIGHUP: configuration and options are read again while requests go on; discovery may move, relays be others."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Protocol

from cloverkeel.core.config import Address, Config, ConfigError, load
from cloverkeel.core.log import log
from cloverkeel.core.options import Options, Relays
from cloverkeel.core.options import load as load_options


class Movable(Protocol):
    """A source of hosts that can be asked at another address."""

    @property
    def address(self) -> Address: ...

    def move(self, address: Address) -> None: ...


class Relayed(Protocol):
    """A source of hosts that asks relays."""

    def use(self, options: Relays) -> None: ...


class Reloader:
    """Reads LB_CONFIG once for each time that is asked, or once for several that come together.

    Where hosts come by relays, CLOVERKEEL_OPTIONS too: both can be used, or all stays as it is.
    """

    def __init__(self, discovery: Movable, relayed: Relayed | None = None, options: Options | None = None) -> None:
        """`options`: those that are in use."""
        self.discovery, self.relayed = discovery, relayed
        self.options = options or Options()
        self.asked = False
        self.reading: asyncio.Task[None] | None = None

    def ask(self) -> None:
        self.asked = True
        if self.reading is None:
            self.reading = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        try:
            while self.asked:
                self.asked = False
                # Off the loop: the disk may be slow, and the file long.
                config = await asyncio.to_thread(load)
                options = await asyncio.to_thread(load_options) if self.relayed is not None else self.options
                self.take(config)
                self.take_options(options)
        except ConfigError as error:
            log(f"all stays as it is: {error}")
        finally:
            self.reading = None
            if self.asked:
                self.ask()

    def take(self, config: Config) -> None:
        """Apply what may change while the program runs: the address of discovery."""
        if config.discovery != self.discovery.address:
            log(f"discovery moves to {config.discovery[0]}:{config.discovery[1]}")
            self.discovery.move(config.discovery)

    def take_options(self, options: Options) -> None:
        """The same of the options: which relays are asked, and for which services."""
        if self.relayed is None or options == self.options:
            return
        if options.relays is None:
            log("the options name no relays any more; they are asked up to the next start")
            return
        if options.relays != self.options.relays:
            log(f"{len(options.relays.addresses)} relays are asked from now on")
            self.relayed.use(options.relays)
        self.options = replace(self.options, relays=options.relays)
