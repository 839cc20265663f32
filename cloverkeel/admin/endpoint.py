"""The admin address of one gateway: listener, command handler and process coordinator."""

from __future__ import annotations

from collections.abc import Sequence

from cloverkeel.admin.command_handler import CommandHandler, ExtensionHandler
from cloverkeel.admin.listener import AdminListener
from cloverkeel.admin.process_coordinator import ProcessCoordinator
from cloverkeel.admin.shared_folder import shared_folder_path
from cloverkeel.core.config import Address, Config
from cloverkeel.core.draining import DrainSchedule
from cloverkeel.discovery.ejection_filter import EjectionFilter
from cloverkeel.frontends.http1.server import Server


class AdminEndpoint:
    """Composition of the admin address's parts. `extensions` handle commands of other packages."""

    def __init__(
        self,
        config: Config,
        server: Server,
        ejection_filter: EjectionFilter,
        extensions: Sequence[ExtensionHandler] = (),
    ) -> None:
        self._coordinator = ProcessCoordinator(shared_folder_path(config), server, ejection_filter)
        self._handler = CommandHandler(self._coordinator, extensions)
        self._listener = AdminListener(self._handler.handle_line, server.account)

    async def start(self, address: Address) -> None:
        """Take over the state of the previous process, then listen; raise OSError if listening fails."""
        self._coordinator.start()
        await self._listener.start(address)

    def begin_shutdown(self) -> DrainSchedule | None:
        """Announce the shutdown; return the drain schedule if a successor serves clients, else None."""
        return self._coordinator.begin_shutdown()

    def close(self) -> None:
        """Stop listening and unregister this process from the gateway's processes."""
        self._listener.close()
        self._coordinator.close()
