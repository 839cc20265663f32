"""Files are reloaded in another thread, once for several requests, and invalid ones are not applied."""

from __future__ import annotations

import threading


from cloverkeel.core.config import ConfigError
from cloverkeel.core.reload import FileReloader
from tests.sockets import on_loop, wait_until


class Recorder:
    """Simulates the files: counts reads, blocks them until `gate` is set, and records what was applied."""

    def __init__(self) -> None:
        self.gate = threading.Event()
        self.read_count = 0
        self.reader_threads: set[int] = set()
        self.is_invalid = False
        self.applied: list[int] = []
        self.errors: list[str] = []
        self.reloader = FileReloader(self.read, self.apply, lambda error: self.errors.append(str(error)))

    def read(self) -> int:
        self.read_count += 1
        self.reader_threads.add(threading.get_ident())
        read_number, is_invalid = self.read_count, self.is_invalid
        self.gate.wait()
        if is_invalid:
            raise ConfigError("cannot be used")
        return read_number

    async def apply(self, contents: int) -> None:
        self.applied.append(contents)


@on_loop
async def test_requests_during_a_reload_are_combined_into_one_more() -> None:
    recorder = Recorder()
    recorder.reloader.request_reload()
    await wait_until(lambda: recorder.read_count == 1)
    for _ in range(3):
        recorder.reloader.request_reload()
    recorder.gate.set()
    await wait_until(lambda: recorder.applied == [1, 2])
    assert recorder.read_count == 2


@on_loop
async def test_files_are_read_in_another_thread() -> None:
    recorder = Recorder()
    recorder.gate.set()
    recorder.reloader.request_reload()
    await wait_until(lambda: recorder.applied == [1])
    assert threading.get_ident() not in recorder.reader_threads


@on_loop
async def test_an_invalid_file_is_reported_and_not_applied() -> None:
    recorder = Recorder()
    recorder.gate.set()
    recorder.is_invalid = True
    recorder.reloader.request_reload()
    await wait_until(lambda: recorder.errors == ["cannot be used"])
    assert recorder.applied == []
    recorder.is_invalid = False
    recorder.reloader.request_reload()
    await wait_until(lambda: recorder.applied == [2])


@on_loop
async def test_a_request_during_a_failing_reload_is_carried_out() -> None:
    recorder = Recorder()
    recorder.is_invalid = True
    recorder.reloader.request_reload()
    await wait_until(lambda: recorder.read_count == 1)
    recorder.is_invalid = False
    recorder.reloader.request_reload()
    recorder.gate.set()
    await wait_until(lambda: recorder.applied == [2])
    assert recorder.errors == ["cannot be used"]
