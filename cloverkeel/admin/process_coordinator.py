"""Coordination of this process with other processes of the same gateway, such as its successor in an upgrade.

When `update_state` returns, a state change has taken effect in this process and is stored for a successor; other
running processes apply it within POLL_INTERVAL_S.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Final

from cloverkeel.admin.process_files import OtherProcesses, ProcessStage
from cloverkeel.admin.shared_folder import SharedFolder
from cloverkeel.admin.shared_ids import open_shared_ids
from cloverkeel.admin.state import GatewayState
from cloverkeel.core.draining import DrainSchedule, handover_schedule, pause_schedule
from cloverkeel.core.log import log
from cloverkeel.core.recent_ids import table_bytes
from cloverkeel.discovery.ejection_filter import EjectionFilter
from cloverkeel.frontends.http1.server import Server

NEGLIGIBLE_SHARE_DIVISOR: Final = 1_000_000  # leaves a process practically no slow-start budget
POLL_INTERVAL_S: Final = 0.05  # between reads of the shared folder; short compared with the grace period of any drain


class ProcessCoordinator:
    """This process's copy of the gateway's state, and its share of the descriptors and slow-start budgets."""

    def __init__(self, folder: Path, server: Server, ejection_filter: EjectionFilter) -> None:
        self.folder = SharedFolder(folder)
        self.server = server
        self.ejection_filter = ejection_filter
        self.state = GatewayState()
        self.others = OtherProcesses()
        self.is_serving = False
        self.is_shutting_down = False
        self._stored_restrictions_version = 0  # of the restrictions that are stored for a successor
        self._budget_divisor = 1  # slow-start budgets are divided by this number
        self._poll_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Take over the state of the previous process. Must be called before the first endpoint list is read."""
        self._apply_state(self.folder.open())
        self._inherit_restrictions(self.folder.process_files.find_others())
        self._share_ids()
        self._poll()

    def close(self) -> None:
        """Stop polling and unregister this process."""
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self.folder.close()

    def update_state(self, change: Callable[[GatewayState], GatewayState]) -> None:
        """Change the state for all processes of this gateway."""
        self._apply_state(self.folder.state_file.update(change, self.state))

    def announce_serving(self) -> None:
        """Announce to the other processes that this one accepts clients, as soon as it does.

        Also called before the first ACK to STATUS: an operator may terminate the old process right after that ACK,
        and the old process must then see that it has a successor.
        """
        if not self.is_serving and self.server.accepts_clients:
            self.is_serving = True
            self.folder.process_files.announce(ProcessStage.SERVING)

    def begin_shutdown(self) -> DrainSchedule | None:
        """Release the slow-start budgets to a successor; return the drain schedule if one serves, else None."""
        self.is_shutting_down = True
        self.folder.process_files.announce(ProcessStage.DRAINING)
        others = self.folder.process_files.find_others()
        self._share_budgets(others)
        return handover_schedule(self.server.max_client_timeout_s) if others.has_successor else None

    def _apply_state(self, state: GatewayState) -> None:
        """Apply a state that this or another process has stored."""
        self.ejection_filter.synchronize(state.ejected_at_us, state.reinstated_at_us)
        if state.is_paused != self.state.is_paused and not self.is_shutting_down:
            if state.is_paused:
                self.server.start_drain(pause_schedule())
            else:
                self.server.stop_drain()
        self.state = state

    def _poll(self) -> None:
        """Apply state changes of other processes and update the shares if the number of processes changed."""
        self._poll_timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self._poll)
        state = self.folder.state_file.read_if_changed()
        if state is not None and state != self.state:
            self._apply_state(state)
        self.announce_serving()
        others = self.folder.process_files.find_others()
        self._inherit_restrictions(others)
        self._store_restrictions()
        if others.count != self.others.count:
            self._share_descriptors(1 + others.count)
        self._share_budgets(others)
        self.others = others

    def _inherit_restrictions(self, others: OtherProcesses) -> None:
        """Adopt what discovery told a process that serves now, as long as it has told this one nothing.

        Without such a process nobody keeps the file up to date, and the list in the configuration is the better one.
        """
        if not self.ejection_filter.is_confirmed and others.serving_count:
            restriction_by_name = self.folder.restrictions_file.read_if_changed()
            if restriction_by_name is not None:
                self.ejection_filter.inherit(restriction_by_name)

    def _store_restrictions(self) -> None:
        """Store what discovery told this process, if that has changed."""
        restrictions = self.ejection_filter.restrictions
        is_stored = restrictions.version == self._stored_restrictions_version
        if is_stored or self.is_shutting_down or not self.ejection_filter.is_confirmed:
            return
        self._stored_restrictions_version = restrictions.version
        self.folder.restrictions_file.write(restrictions.by_name)

    def _share_ids(self) -> None:
        """Use one table of request ids with the other processes, so that an id runs at one of them only."""
        ids = open_shared_ids(self.folder.path, table_bytes(self.server.account.limit_bytes))
        if ids is not None:
            self.server.gateway.request_ids.table = ids

    def _share_descriptors(self, processes: int) -> None:
        log(f"admin: process count changed, dividing descriptors and budgets again, processes={processes}")
        self.server.set_process_count(processes)

    def _share_budgets(self, others: OtherProcesses) -> None:
        """Divide the slow-start budgets for warming hosts among the processes that accept clients.

        A draining process with a successor gives up its share; a starting process has no share yet.
        """
        divisor = 1 + others.serving_count
        if self.is_shutting_down and others.has_successor:
            divisor = NEGLIGIBLE_SHARE_DIVISOR
        if divisor == self._budget_divisor:
            return
        self._budget_divisor = divisor
        self.server.gateway.set_process_count(divisor)
