"""SIGHUP at a relay: the roster is read again while requests go on. One that cannot be used leaves all as it is."""

from __future__ import annotations

import asyncio

from cloverkeel.control_plane.config import load_roster
from cloverkeel.control_plane.http_server import RelayServer
from cloverkeel.core.config import ConfigError
from cloverkeel.core.log import log


class RosterReloader:
    """Reads the file once for each time that is requested, or once for several that come together."""

    def __init__(self, path: str, server: RelayServer) -> None:
        self.path, self.server = path, server
        self.is_requested = False
        self.reload_task: asyncio.Task[None] | None = None

    def request_reload(self) -> None:
        """Read the file again, now or once the reading that is going on has ended."""
        self.is_requested = True
        if self.reload_task is None:
            self.reload_task = asyncio.get_running_loop().create_task(self._reload())

    async def _reload(self) -> None:
        try:
            while self.is_requested:
                self.is_requested = False
                await self._reload_once()
        except ConfigError as error:
            log(f"roster: reload failed, the roster stays as it is, error={error}")
        finally:
            self.reload_task = None
            if self.is_requested:
                self.request_reload()

    async def _reload_once(self) -> None:
        # Off the loop: the disk may be slow, and the file long.
        roster = await asyncio.to_thread(load_roster, self.path)
        if roster.digest == self.server.cache.roster.digest:
            log(f"roster: unchanged, digest={roster.digest}")
            return
        await self.server.replace_roster(roster)
        log(f"roster: reloaded, digest={roster.digest} gateways={len(roster.placement_by_gateway)}")
