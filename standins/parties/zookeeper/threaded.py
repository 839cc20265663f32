"""An ensemble on a loop and a thread of its own, for clients that block."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from typing import Any

from standins.parties.zookeeper.ensemble import Ensemble

CALL_S = 20.0


class Threaded:
    """`call` runs a function, or a coroutine function, on the ensemble's loop and waits for it."""

    def __init__(self, servers: int = 3, seed: int = 0, timeouts_ms: tuple[int, int] = (200, 40_000)) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, name="ensemble", daemon=True)
        self.thread.start()
        self.ensemble = self.call(lambda: Ensemble(servers, seed, timeouts_ms=timeouts_ms))
        self.call(self.ensemble.start)

    def call(self, what: Callable[[], Any]) -> Any:
        async def run() -> Any:
            found = what()
            return await found if asyncio.iscoroutine(found) else found

        return asyncio.run_coroutine_threadsafe(run(), self.loop).result(CALL_S)

    def close(self) -> None:
        self.call(self.ensemble.close)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(CALL_S)
        self.loop.close()
