"""Reload a relay's roster on SIGHUP while it serves requests. An invalid roster changes nothing."""

from __future__ import annotations

from functools import partial

from cloverkeel.control_plane.config import load_roster
from cloverkeel.control_plane.fleet_roster import FleetRoster
from cloverkeel.control_plane.http_server import RelayServer
from cloverkeel.core.config import ConfigError
from cloverkeel.core.log import log
from cloverkeel.core.reload import FileReloader


class RosterReloader:
    """Reads the roster for each reload request and passes it to the server; requests that coincide are merged."""

    def __init__(self, path: str, server: RelayServer) -> None:
        self._server = server
        self._reloader = FileReloader(partial(load_roster, path), self._apply, self._on_error)

    @property
    def is_idle(self) -> bool:
        """Whether all requested reloads have finished."""
        return self._reloader.is_idle

    def request_reload(self) -> None:
        """Reload the file now, or after the reload that is running. Call it on the event loop's thread."""
        self._reloader.request_reload()

    async def _apply(self, roster: FleetRoster) -> None:
        if roster.digest == self._server.cache.roster.digest:
            log(f"roster: unchanged, digest={roster.digest}")
            return
        await self._server.replace_roster(roster)
        log(f"roster: reloaded, digest={roster.digest} gateways={len(roster.placement_by_gateway)}")

    def _on_error(self, error: ConfigError) -> None:
        log(f"roster: reload failed, the roster stays as it is, error={error}")
