"""Samples of what cloverkeel.admin answers to admin lines and leaves on disk for a later process."""

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
from cloverkeel.frontends.http1.server import Server
from cloverkeel.discovery.ejection_filter import BannedMembership
from cloverkeel.admin import commands as calls
from cloverkeel.admin.commands import LINE_LIMIT, OpsCall, Word, parse_line
from cloverkeel.admin.state_files import SharedFiles
from cloverkeel.admin.listener import Caller, OpsListener
from cloverkeel.admin.operations import Operations, folder_for
from cloverkeel.admin.state import State, parse, render
from tests.golden.store import Sample, SamplesByName
from tests.sockets import configuration

NOW_US: Final = 1_796_119_613_761_000
STATES: Final = {
    "empty": State(),
    "full": State(paused=True, out={"s-5be2a07c": NOW_US, "höst": 1}, back={"s-1": NOW_US + 1}, once=("s-1", "s-2")),
}
CALLS: Final = {
    "status": (b"STATUS\r\n", OpsCall(Word.STATUS)),
    "suspend": ("SUSPEND höst\n".encode(), OpsCall(Word.SUSPEND, "höst")),
    "restore": (b"RESTORE s-5be2a07c", OpsCall(Word.RESTORE, "s-5be2a07c")),
    "pause": (b"PAUSE", OpsCall(Word.PAUSE)),
    "resume": (b"RESUME", OpsCall(Word.RESUME)),
}
WORDS: Final[frozenset[str]] = frozenset(word.value.decode() for word in Word)
WORDS_OF_SAMPLES: Final[frozenset[str]] = frozenset(call.word.value.decode() for _, call in CALLS.values())
DIALOGUE: Final = (
    b"STATUS", b"SUSPEND s-0", b"SUSPEND s-9", b"STATUS", b"RESTORE s-0", b"RESTORE s-9", b"PAUSE", b"STATUS",
    b"RESUME", b"STATUS", b"DUTIES", b"PEERS", b"", b"status", b"STATUS now", b"SUSPEND", b"SUSPEND \xff",
    b"S" * (LINE_LIMIT + 1), b"PART twelve",
)  # fmt: skip


class _RecordingTransport(asyncio.Transport):
    """Keep what is written to a connection."""

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
    """Say in place of a server without a socket whether it accepts clients."""

    def __init__(self) -> None:
        self.value = False

    def __get__(self, instance: object, owner: type) -> bool:
        return self.value

    def __set__(self, instance: object, value: bool) -> None:
        self.value = value


@contextmanager
def _folder() -> Iterator[Path]:
    """Make a folder for temporary files, named by TMPDIR."""
    with tempfile.TemporaryDirectory() as name, mock.patch.dict("os.environ", {"TMPDIR": name}):
        yield Path(name)


def _dialogue(is_ending: bool) -> bytes:
    """Return each line and its answer, as a connection gives it."""

    async def run() -> bytes:
        raw = configuration("127.0.0.1:9") | {"ops": "127.0.0.1:0"}
        config = parse_config(raw)
        program = assemble(config)
        assert isinstance(program.discovery, BannedMembership)
        program.discovery.load_known(raw["known"])
        accepts_clients = _AcceptsClients()
        with mock.patch.object(Server, "accepts_clients", accepts_clients):
            operations = Operations(config, program.server, program.discovery, [_extra])
            operations.start()
            try:
                exchanged = [_exchange(operations, b"STATUS")]
                accepts_clients.value = True
                operations.ending = is_ending
                exchanged += [_exchange(operations, line) for line in DIALOGUE]
            finally:
                operations.close()
                program.server.close()
                program.close()
        return b"".join(exchanged)

    with _folder():
        return asyncio.run(run())


def _extra(line: bytes) -> tuple[bool, str] | None:
    """Answer as another package does, in words that are no line."""
    return (True, "one\nline\x00") if line == b"PART twelve" else None


def _exchange(operations: Operations, line: bytes) -> bytes:
    transport = _RecordingTransport()
    caller = Caller(OpsListener(operations.on_line))
    caller.connection_made(transport)
    caller.data_received(line + b"\n")
    caller.connection_lost(None)
    assert transport.is_closed
    return b"> %s\n< %s" % (line.replace(b"\xff", b"\\xff"), transport.written)


def _opened(use: Callable[[SharedFiles], bytes]) -> bytes:
    with tempfile.TemporaryDirectory() as name:
        files = SharedFiles(Path(name))
        with mock.patch("time.time_ns", return_value=NOW_US * 1_000), mock.patch("os.getpid", return_value=4_711):
            files.open()
        try:
            return use(files)
        finally:
            files.close()


def _written(state: State) -> bytes:
    """Return the state file as a change leaves it."""

    def use(files: SharedFiles) -> bytes:
        files.change(lambda _: state, State())
        return files.path.read_bytes()

    return _opened(use)


def _read_file(data: bytes) -> State | None:
    with tempfile.TemporaryDirectory() as name:
        files = SharedFiles(Path(name))
        files.path.write_bytes(data)
        return files.read()


def _file_names() -> bytes:
    """Return the names of the files at each stage of a process."""

    def use(files: SharedFiles) -> bytes:
        stages = [_names(files)]
        files.serves()
        files.change(lambda state: state, State())
        stages.append(_names(files))
        files.ends()
        stages.append(_names(files))
        return "\n".join(stages).encode()

    return _opened(use)


def _names(files: SharedFiles) -> str:
    return " ".join(sorted(path.name for path in files.folder.iterdir()))


def _folder_name(name: str) -> bytes:
    raw = configuration("127.0.0.1:9") | {"name": name, "listen": "127.0.0.1:8080"}
    with _folder() as temporary:
        return str(folder_for(parse_config(raw)).relative_to(temporary)).encode()


def _state_file(state: State) -> Sample:
    return Sample(lambda: _written(state), _read_file, state)


def _line(line: bytes, call: OpsCall) -> Sample:
    return Sample(lambda: line, parse_line, call)


def _changed_state() -> bytes:
    """Return the text of the state after calls for two hosts, one of them put back."""
    state = State().suspend(5, "a").suspend(6, "b").suspend(7, "a").restore(8, "a").restore(9, "c").with_paused(True)
    return render(state).encode()


SAMPLES_BY_KIND: Final[dict[str, SamplesByName]] = {
    "ops_state": {
        **{f"file_{name}": _state_file(state) for name, state in STATES.items()},
        "after_changes": Sample(
            _changed_state, lambda data: parse(data.decode()), State(paused=True, out={"b": 6}, back={"a": 8})
        ),
        "file_names": Sample(_file_names),
        "folder_name": Sample(lambda: _folder_name("n0")),
        "folder_name_of_odd_letters": Sample(lambda: _folder_name("tōkyō/1 x")),
    },
    "ops_lines": {name: _line(line, call) for name, (line, call) in CALLS.items()},
    "ops_answers": {
        "dialogue": Sample(lambda: _dialogue(is_ending=False)),
        "dialogue_of_one_that_ends": Sample(lambda: _dialogue(is_ending=True)),
        "yes": Sample(lambda: calls.answer(True, "fine")),
        "no_without_words": Sample(lambda: calls.answer(False, "")),
    },
}
