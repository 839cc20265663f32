"""Samples of the answers and the stored files of cloverkeel.admin."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Final, cast
from unittest import mock

from cloverkeel.assembly import assemble
from cloverkeel.core.config import parse as parse_config
from cloverkeel.core.memory_account import MemoryAccount
from cloverkeel.frontends.http1.server import Server
from cloverkeel.discovery.ejection_filter import EjectionFilter
from cloverkeel.admin.command_handler import CommandHandler
from cloverkeel.admin.commands import (
    MAX_LINE_BYTES,
    AdminAnswer,
    AdminRequest,
    Command,
    encode_answer,
    parse_request,
)
from cloverkeel.admin.listener import AdminConnection, AdminListener
from cloverkeel.admin.process_coordinator import ProcessCoordinator
from cloverkeel.admin.process_files import ProcessStage
from cloverkeel.admin.shared_folder import SharedFolder, shared_folder_path
from cloverkeel.admin.state import GatewayState, decode_state, encode_state
from tests.golden.store import Sample, SamplesByName
from tests.sockets import configuration

NOW_US: Final = 1_796_119_613_761_000
STATES: Final = {
    "empty": GatewayState(),
    "full": GatewayState(
        is_paused=True,
        ejected_at_us={"s-5be2a07c": NOW_US, "höst": 1},
        reinstated_at_us={"s-1": NOW_US + 1},
        known_ids=("s-1", "s-2"),
    ),
}
REQUESTS: Final = {
    "status": (b"STATUS\r\n", AdminRequest(Command.STATUS)),
    "suspend": ("SUSPEND höst\n".encode(), AdminRequest(Command.EJECT, "höst")),
    "restore": (b"RESTORE s-5be2a07c", AdminRequest(Command.REINSTATE, "s-5be2a07c")),
    "pause": (b"PAUSE", AdminRequest(Command.PAUSE)),
    "resume": (b"RESUME", AdminRequest(Command.RESUME)),
}
WORDS: Final[frozenset[str]] = frozenset(command.word for command in Command)
WORDS_OF_SAMPLES: Final[frozenset[str]] = frozenset(request.command.word for _, request in REQUESTS.values())
DIALOGUE: Final = (
    b"STATUS", b"SUSPEND s-0", b"SUSPEND s-9", b"STATUS", b"RESTORE s-0", b"RESTORE s-9", b"PAUSE", b"STATUS",
    b"RESUME", b"STATUS", b"DUTIES", b"PEERS", b"", b"status", b"STATUS now", b"SUSPEND", b"SUSPEND \xff",
    b"S" * (MAX_LINE_BYTES + 1), b"PART twelve",
)  # fmt: skip


class _RecordingTransport(asyncio.Transport):
    """Transport that records the written bytes."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.is_closed = False

    def write(self, data: object) -> None:
        self.written += cast(bytes, data)

    def close(self) -> None:
        self.is_closed = True

    def is_closing(self) -> bool:
        return self.is_closed


class _AcceptsClients:
    """Replace `Server.accepts_clients` by a settable value, since the server has no socket here."""

    def __init__(self) -> None:
        self.value = False

    def __get__(self, instance: object, owner: type) -> bool:
        return self.value

    def __set__(self, instance: object, value: bool) -> None:
        self.value = value


@contextmanager
def _folder() -> Iterator[Path]:
    """Make a temporary folder and set TMPDIR to it."""
    with tempfile.TemporaryDirectory() as name, mock.patch.dict("os.environ", {"TMPDIR": name}):
        yield Path(name)


def _dialogue(is_shutting_down: bool) -> bytes:
    """Return each command line and its answer as sent on a connection."""

    async def run() -> bytes:
        raw = configuration("127.0.0.1:9") | {"ops": "127.0.0.1:0"}
        config = parse_config(raw)
        program = assemble(config)
        assert isinstance(program.discovery, EjectionFilter)
        program.discovery.load_known(raw["known"])
        accepts_clients = _AcceptsClients()
        with mock.patch.object(Server, "accepts_clients", accepts_clients):
            coordinator = ProcessCoordinator(shared_folder_path(config), program.server, program.discovery)
            handler = CommandHandler(coordinator, [_handle_extension])
            coordinator.start()
            try:
                exchanged = [_exchange(handler, b"STATUS")]
                accepts_clients.value = True
                coordinator.is_shutting_down = is_shutting_down
                exchanged += [_exchange(handler, line) for line in DIALOGUE]
            finally:
                coordinator.close()
                program.server.close()
                program.close()
        return b"".join(exchanged)

    with _folder():
        return asyncio.run(run())


def _handle_extension(line: bytes) -> tuple[bool, str] | None:
    """Handle a command of another package, with an answer text that does not fit on one line."""
    return (True, "one\nline\x00") if line == b"PART twelve" else None


def _exchange(handler: CommandHandler, line: bytes) -> bytes:
    transport = _RecordingTransport()
    connection = AdminConnection(AdminListener(handler.handle_line, MemoryAccount(64, 0)))
    connection.connection_made(transport)
    connection.data_received(line + b"\n")
    connection.connection_lost(None)
    assert transport.is_closed
    return b"> %s\n< %s" % (line.replace(b"\xff", b"\\xff"), transport.written)


def _with_open_folder(use: Callable[[SharedFolder], bytes]) -> bytes:
    with tempfile.TemporaryDirectory() as name:
        folder = SharedFolder(Path(name))
        with mock.patch("time.time_ns", return_value=NOW_US * 1_000), mock.patch("os.getpid", return_value=4_711):
            folder.open()
        try:
            return use(folder)
        finally:
            folder.close()


def _state_file_bytes(state: GatewayState) -> bytes:
    """Return the content of the state file after an update."""

    def use(folder: SharedFolder) -> bytes:
        folder.state_file.update(lambda _: state, GatewayState())
        return folder.state_file.path.read_bytes()

    return _with_open_folder(use)


def _read_state_file(data: bytes) -> GatewayState | None:
    with tempfile.TemporaryDirectory() as name:
        folder = SharedFolder(Path(name))
        folder.state_file.path.write_bytes(data)
        return folder.state_file.read()


def _file_names() -> bytes:
    """Return the names of the files at each stage of a process."""

    def use(folder: SharedFolder) -> bytes:
        stages = [_names(folder)]
        folder.process_files.announce(ProcessStage.SERVING)
        folder.state_file.update(lambda state: state, GatewayState())
        stages.append(_names(folder))
        folder.process_files.announce(ProcessStage.DRAINING)
        stages.append(_names(folder))
        return "\n".join(stages).encode()

    return _with_open_folder(use)


def _names(folder: SharedFolder) -> str:
    return " ".join(sorted(path.name for path in folder.path.iterdir()))


def _folder_name(name: str) -> bytes:
    raw = configuration("127.0.0.1:9") | {"name": name, "listen": "127.0.0.1:8080"}
    with _folder() as temporary:
        return str(shared_folder_path(parse_config(raw)).relative_to(temporary)).encode()


def _state_file(state: GatewayState) -> Sample:
    return Sample(lambda: _state_file_bytes(state), _read_state_file, state)


def _line(line: bytes, request: AdminRequest) -> Sample:
    return Sample(lambda: line, parse_request, request)


def _changed_state() -> bytes:
    """Return the text of the state after two hosts were ejected and one of them reinstated."""
    state = GatewayState().eject(5, "a").eject(6, "b").eject(7, "a").reinstate(8, "a").reinstate(9, "c")
    return encode_state(state.with_paused(True)).encode()


SAMPLES_BY_KIND: Final[dict[str, SamplesByName]] = {
    "ops_state": {
        **{f"file_{name}": _state_file(state) for name, state in STATES.items()},
        "after_changes": Sample(
            _changed_state,
            lambda data: decode_state(data.decode()),
            GatewayState(is_paused=True, ejected_at_us={"b": 6}, reinstated_at_us={"a": 8}),
        ),
        "file_names": Sample(_file_names),
        "folder_name": Sample(lambda: _folder_name("n0")),
        "folder_name_of_odd_letters": Sample(lambda: _folder_name("tōkyō/1 x")),
    },
    "ops_lines": {name: _line(line, request) for name, (line, request) in REQUESTS.items()},
    "ops_answers": {
        "dialogue": Sample(lambda: _dialogue(is_shutting_down=False)),
        "dialogue_of_one_that_ends": Sample(lambda: _dialogue(is_shutting_down=True)),
        "yes": Sample(lambda: encode_answer(AdminAnswer(True, "fine"))),
        "no_without_words": Sample(lambda: encode_answer(AdminAnswer(False, ""))),
    },
}
