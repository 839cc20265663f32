"""Keep this process in step with other processes of the same gateway, such as its successor in an upgrade.

A change of the state is in force here, and kept for a successor, when `update_state` returns; another process finds
it within POLL_INTERVAL_S.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Final

from cloverkeel.admin.process_files import OtherProcesses, ProcessStage
from cloverkeel.admin.shared_folder import SharedFolder
from cloverkeel.admin.state import GatewayState
from cloverkeel.core.draining import DrainSchedule, handover_schedule, pause_schedule
from cloverkeel.core.log import log
from cloverkeel.discovery.ejection_filter import EjectionFilter
from cloverkeel.frontends.http1.server import Server

NEXT_TO_NO_SHARE: Final = 1_000_000  # processes to share budgets with
POLL_INTERVAL_S: Final = 0.05  # of what other processes have changed: a small part of any drain's grace


class ProcessCoordinator:
    """Own the gateway's state as this process knows it, and its shares of what the processes have together."""

    def __init__(self, folder: Path, server: Server, ejection_filter: EjectionFilter) -> None:
        self.folder = SharedFolder(folder)
        self.server = server
        self.ejection_filter = ejection_filter
        self.state = GatewayState()
        self.others = OtherProcesses()
        self.is_serving = False
        self.is_shutting_down = False
        self._budget_shares = 1  # that slow-start budgets are divided into
        self._poll_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Take over what the process before has left; to be called before the first endpoint list is read."""
        self._apply_state(self.folder.open())
        self._poll()

    def close(self) -> None:
        """Leave the processes of this gateway."""
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self.folder.close()

    def update_state(self, change: Callable[[GatewayState], GatewayState]) -> None:
        """Change the state for all processes of this gateway."""
        self._apply_state(self.folder.state_file.update(change, self.state))

    def announce_serving(self) -> None:
        """Show the other processes that this one accepts clients, once it does.

        Guards a process that is told to end at our first ACK to STATUS: it must find that it has a successor.
        """
        if not self.is_serving and self.server.accepts_clients:
            self.is_serving = True
            self.folder.process_files.announce(ProcessStage.SERVING)

    def begin_shutdown(self) -> DrainSchedule | None:
        """Leave the budgets to a successor; return the schedule of the drain where one serves."""
        self.is_shutting_down = True
        self.folder.process_files.announce(ProcessStage.DRAINING)
        others = self.folder.process_files.find_others()
        self._share_budgets(others)
        return handover_schedule(self.server.max_client_timeout_s) if others.has_successor else None

    def _apply_state(self, state: GatewayState) -> None:
        """Put the state as this or another process has left it in force."""
        self.ejection_filter.synchronize(state.ejected_at_us, state.reinstated_at_us)
        if state.is_paused != self.state.is_paused and not self.is_shutting_down:
            if state.is_paused:
                self.server.start_drain(pause_schedule())
            else:
                self.server.stop_drain()
        self.state = state

    def _poll(self) -> None:
        """Find out what the other processes have changed, and whether there are others."""
        self._poll_timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self._poll)
        state = self.folder.state_file.read_if_changed()
        if state is not None and state != self.state:
            self._apply_state(state)
        self.announce_serving()
        others = self.folder.process_files.find_others()
        if others.count != self.others.count:
            self._share_descriptors(1 + others.count)
        self._share_budgets(others)
        self.others = others

    def _share_descriptors(self, processes: int) -> None:
        log(f"admin: processes of this gateway changed, descriptors and budgets are shared, processes={processes}")
        self.server.set_process_count(processes)

    def _share_budgets(self, others: OtherProcesses) -> None:
        """Divide what the gateway may send to warming hosts among its processes that accept clients.

        One that was told to end, and has a successor, leaves its share to it; one that starts has none yet.
        """
        shares = 1 + others.serving_count
        if self.is_shutting_down and others.has_successor:
            shares = NEXT_TO_NO_SHARE
        if shares == self._budget_shares:
            return
        self._budget_shares = shares
        self.server.gateway.set_process_count(shares)
