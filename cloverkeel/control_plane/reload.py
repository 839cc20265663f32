"""SIGHUP at a relay: the roster is read again while calls go on. One that cannot be used leaves all as it is."""

from __future__ import annotations

import asyncio

from cloverkeel.core.config import ConfigError
from cloverkeel.core.log import log
from cloverkeel.control_plane.config import load_roster
from cloverkeel.control_plane.http_server import Server


class Rereader:
    """Reads the file once for each time that is asked, or once for several that come together."""

    def __init__(self, path: str, server: Server) -> None:
        self.path, self.server = path, server
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
                roster = await asyncio.to_thread(load_roster, self.path)
                if roster.digest == self.server.feed.roster.digest:
                    log(f"roster {roster.digest}: as before")
                    continue
                await self.server.set_roster(roster)
                log(f"roster {roster.digest}, {len(roster.gateways)} gateways")
        except ConfigError as error:
            log(f"the roster stays as it is: {error}")
        finally:
            self.reading = None
            if self.asked:
                self.ask()
