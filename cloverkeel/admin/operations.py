"""Carries out the calls of staff, and keeps this process in step with another one of the same gateway.

What a call changes is in force, and kept for a successor, when its answer is given.
"""

from __future__ import annotations

import asyncio
import os
import tempfile
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Final

from cloverkeel.core.clock import now_us
from cloverkeel.core.config import Config
from cloverkeel.core.draining import Timetable, paused, succeeded
from cloverkeel.core.log import log
from cloverkeel.frontends.http1.server import Server
from cloverkeel.discovery.ejection_filter import BannedMembership
from cloverkeel.admin.commands import CallError, OpsCall, Word, answer, parse_line
from cloverkeel.admin.state_files import Others, SharedFiles
from cloverkeel.admin.state import State

NO_PART: Final = 1_000_000  # processes to share with: a part that is next to nothing
LOOK_S: Final = 0.05  # between two looks at what another process has changed: a small part of any drain's grace


def folder_for(config: Config) -> Path:
    """One for each gateway: other gateways may have the same $TMPDIR."""
    named = "".join(c if c.isalnum() or c in "-_" else "_" for c in config.name)[:64]
    return Path(os.environ.get("TMPDIR") or tempfile.gettempdir()) / f"cloverkeel-{named}-{config.listen[1]}"


# A call of some other room: yes or no, and the words; None where the line is none of its calls.
Extra = Callable[[bytes], tuple[bool, str] | None]


class Operations:
    def __init__(
        self, config: Config, server: Server, membership: BannedMembership, extras: Sequence[Extra] = ()
    ) -> None:
        self.server, self.membership = server, membership
        self.extras = extras
        self.files = SharedFiles(folder_for(config))
        self.state = State()
        self.others = Others()
        self.serving = False
        self.ending = False
        self.parts = 1  # that budgets are shared out in
        self.looker: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Take over what the process before has left; before the first list is read."""
        self.take(self.files.open())
        self.look()

    def take(self, state: State) -> None:
        """The state as this or another process has left it."""
        self.membership.adopt(state.out, state.back)
        if state.paused != self.state.paused and not self.ending:
            self.server.start_drain(paused()) if state.paused else self.server.stop_drain()
        self.state = state

    def look(self) -> None:
        self.looker = asyncio.get_running_loop().call_later(LOOK_S, self.look)
        state = self.files.changed()
        if state is not None and state != self.state:
            self.take(state)
        self.note_serving()
        others = self.files.others()
        if others.count != self.others.count:
            log(f"{1 + others.count} processes of this gateway; descriptors and budgets are shared out among them")
            self.server.set_process_count(1 + others.count)
        self.share_budgets(others)
        self.others = others

    def share_budgets(self, others: Others) -> None:
        """What the gateway may send to cold hosts goes to those of its processes that take clients.

        One that was told to end, and has a successor, leaves its part to it; one that begins takes none yet.
        """
        parts = NO_PART if self.ending and others.successor else 1 + others.serving
        if parts != self.parts:
            self.parts = parts
            self.server.gateway.set_process_count(parts)

    def note_serving(self) -> None:
        """Guards a process that is told to end at our first yes: it must find that it has a successor."""
        if not self.serving and self.server.accepts_clients:
            self.serving = True
            self.files.serves()

    def way_out(self) -> Timetable | None:
        """SIGTERM: the timetable, where a successor serves."""
        self.ending = True
        self.files.ends()
        others = self.files.others()
        self.share_budgets(others)
        return succeeded(self.server.max_client_timeout_s) if others.successor else None

    def close(self) -> None:
        if self.looker is not None:
            self.looker.cancel()
        self.files.close()

    # Calls

    def on_line(self, line: bytes) -> bytes:
        for extra in self.extras:
            more = extra(line)
            if more is not None:
                return answer(*more)
        try:
            call = parse_line(line)
        except CallError as error:
            return answer(False, str(error))
        if call.word is not Word.STATUS:
            log(f"staff: {call.word.value.decode()} {call.id}".rstrip())
        return answer(*self.carry_out(call))

    def carry_out(self, call: OpsCall) -> tuple[bool, str]:
        match call.word:
            case Word.STATUS:
                return self.status()
            case Word.SUSPEND:
                return self.suspend(call.id)
            case Word.RESTORE:
                return self.restore(call.id)
            case Word.PAUSE:
                return self.pause()
            case Word.RESUME:
                return self.resume()

    def status(self) -> tuple[bool, str]:
        hosts = len(self.membership.bans.listed)
        words = f"{hosts} hosts, {len(self.state.out)} out by hand, {self.server.client_count} connections of clients"
        if self.ending:
            return False, "ending; " + words
        if self.state.paused:
            return False, "paused; " + words
        if not self.server.accepts_clients:
            return False, "starting; " + words
        self.note_serving()
        return True, "taking clients; " + words

    def suspend(self, name: str) -> tuple[bool, str]:
        bans = self.membership.bans
        if not bans.knows(name):
            return False, f"{name} was never listed"
        if not bans.has_room(name):
            return False, f"{len(bans.out)} hosts are out by hand, and no more can be"
        at_us = now_us()
        self.take(self.files.change(lambda state: state.suspend(at_us, name), self.state))
        return True, f"{name} is out: nothing new goes there"

    def restore(self, name: str) -> tuple[bool, str]:
        if not self.membership.bans.knows(name):
            return False, f"{name} was never listed"
        at_us = now_us()
        self.take(self.files.change(lambda state: state.restore(at_us, name), self.state))
        return True, f"{name} is back"

    def pause(self) -> tuple[bool, str]:
        if self.ending:
            return False, "this process is ending"
        self.take(self.files.change(lambda state: state.with_paused(True), self.state))
        return True, "no new clients; those that are here are sent away within 4 s"

    def resume(self) -> tuple[bool, str]:
        if self.ending:
            return False, "this process is ending"
        self.take(self.files.change(lambda state: state.with_paused(False), self.state))
        return True, "taking clients"
