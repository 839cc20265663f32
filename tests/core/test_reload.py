"""Files are read again off the loop: once for requests that come together, and never half applied."""

from __future__ import annotations

import threading


from cloverkeel.core.config import ConfigError
from cloverkeel.core.reload import FileReloader
from tests.sockets import on_loop, until


class Recorder:
    """Files to read, with a gate that keeps a reading from its end, and what was applied of them."""

    def __init__(self) -> None:
        self.gate = threading.Event()
        self.readings = 0
        self.reader_threads: set[int] = set()
        self.is_broken = False
        self.applied: list[int] = []
        self.errors: list[str] = []
        self.reloader = FileReloader(self.read, self.apply, lambda error: self.errors.append(str(error)))

    def read(self) -> int:
        self.readings += 1
        self.reader_threads.add(threading.get_ident())
        reading, is_broken = self.readings, self.is_broken
        self.gate.wait()
        if is_broken:
            raise ConfigError("cannot be used")
        return reading

    async def apply(self, contents: int) -> None:
        self.applied.append(contents)


@on_loop
async def test_requests_during_a_reading_lead_to_one_more() -> None:
    recorder = Recorder()
    recorder.reloader.request_reload()
    await until(lambda: recorder.readings == 1)
    for _ in range(3):
        recorder.reloader.request_reload()
    recorder.gate.set()
    await until(lambda: recorder.applied == [1, 2])
    assert recorder.readings == 2


@on_loop
async def test_files_are_read_off_the_loop() -> None:
    recorder = Recorder()
    recorder.gate.set()
    recorder.reloader.request_reload()
    await until(lambda: recorder.applied == [1])
    assert threading.get_ident() not in recorder.reader_threads


@on_loop
async def test_a_file_that_cannot_be_used_is_reported_and_not_applied() -> None:
    recorder = Recorder()
    recorder.gate.set()
    recorder.is_broken = True
    recorder.reloader.request_reload()
    await until(lambda: recorder.errors == ["cannot be used"])
    assert recorder.applied == []
    recorder.is_broken = False
    recorder.reloader.request_reload()
    await until(lambda: recorder.applied == [2])


@on_loop
async def test_a_request_during_a_reading_that_fails_is_kept() -> None:
    recorder = Recorder()
    recorder.is_broken = True
    recorder.reloader.request_reload()
    await until(lambda: recorder.readings == 1)
    recorder.is_broken = False
    recorder.reloader.request_reload()
    recorder.gate.set()
    await until(lambda: recorder.applied == [2])
    assert recorder.errors == ["cannot be used"]
