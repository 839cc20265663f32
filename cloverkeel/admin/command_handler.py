"""Execution of operators' commands.

A change takes effect, and is stored for a successor process, before its command is answered.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from cloverkeel.admin.commands import AdminAnswer, AdminRequest, Command, encode_answer, parse_request
from cloverkeel.admin.errors import CommandError
from cloverkeel.admin.process_coordinator import ProcessCoordinator
from cloverkeel.core.clock import now_us
from cloverkeel.core.log import log

# Handles the command lines of another package. Returns (True for ACK, text), or None if the line is not its command.
ExtensionHandler = Callable[[bytes], tuple[bool, str] | None]


class CommandHandler:
    """Executor of command lines. `extensions` get each line first, in this order, before the built-in commands."""

    def __init__(self, coordinator: ProcessCoordinator, extensions: Sequence[ExtensionHandler] = ()) -> None:
        self.coordinator = coordinator
        self.extensions = extensions

    def handle_line(self, line: bytes) -> bytes:
        """Execute the command in `line` and return the answer line."""
        for handle_extension in self.extensions:
            answer = handle_extension(line)
            if answer is not None:
                return encode_answer(AdminAnswer(*answer))
        try:
            request = parse_request(line)
        except CommandError as error:
            return encode_answer(AdminAnswer(False, str(error)))
        if request.command is not Command.STATUS:
            _log_request(request)
        return encode_answer(self.handle(request))

    def handle(self, request: AdminRequest) -> AdminAnswer:
        """Execute one command."""
        match request.command:
            case Command.STATUS:
                return self._report_status()
            case Command.EJECT:
                return self._eject(request.host_id)
            case Command.REINSTATE:
                return self._reinstate(request.host_id)
            case Command.PAUSE:
                return self._set_paused(True, "no new clients; those that are here are sent away within 4 s")
            case Command.RESUME:
                return self._set_paused(False, "taking clients")

    def _report_status(self) -> AdminAnswer:
        coordinator = self.coordinator
        hosts = len(coordinator.ejection_filter.ejections.listed)
        ejected = len(coordinator.state.ejected_at_us)
        connections = coordinator.server.client_count
        counts = f"{hosts} hosts, {ejected} out by hand, {connections} connections of clients"
        if coordinator.is_shutting_down:
            return AdminAnswer(False, f"ending; {counts}")
        if coordinator.state.is_paused:
            return AdminAnswer(False, f"paused; {counts}")
        if not coordinator.server.accepts_clients:
            return AdminAnswer(False, f"starting; {counts}")
        coordinator.announce_serving()
        return AdminAnswer(True, f"taking clients; {counts}")

    def _eject(self, host_id: str) -> AdminAnswer:
        ejections = self.coordinator.ejection_filter.ejections
        if not ejections.was_listed(host_id):
            return _answer_unknown_host(host_id)
        if not ejections.can_eject(host_id):
            return AdminAnswer(
                False, f"{len(ejections.ejected_us_by_name)} hosts are out by hand, and no more can be"
            )
        at_us = now_us()
        self.coordinator.update_state(lambda state: state.eject(at_us, host_id))
        return AdminAnswer(True, f"{host_id} is out: nothing new goes there")

    def _reinstate(self, host_id: str) -> AdminAnswer:
        if not self.coordinator.ejection_filter.ejections.was_listed(host_id):
            return _answer_unknown_host(host_id)
        at_us = now_us()
        self.coordinator.update_state(lambda state: state.reinstate(at_us, host_id))
        return AdminAnswer(True, f"{host_id} is back")

    def _set_paused(self, is_paused: bool, text: str) -> AdminAnswer:
        if self.coordinator.is_shutting_down:
            return AdminAnswer(False, "this process is ending")
        self.coordinator.update_state(lambda state: state.with_paused(is_paused))
        return AdminAnswer(True, text)


def _answer_unknown_host(host_id: str) -> AdminAnswer:
    return AdminAnswer(False, f"{host_id} was never listed")


def _log_request(request: AdminRequest) -> None:
    host = f" host={request.host_id}" if request.host_id else ""
    log(f"admin: command received, command={request.command.word}{host}")
