"""An ensemble on an event loop and a thread of its own, for clients that block."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from typing import Any

from standins.parties.zookeeper.ensemble import Ensemble

CALL_TIMEOUT_S = 20.0


class ThreadedEnsemble:
    """Starts an ensemble in a thread; `call` runs functions on its event loop."""

    def __init__(self, servers: int = 3, seed: int = 0, timeouts_ms: tuple[int, int] = (200, 40_000)) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, name="ensemble", daemon=True)
        self.thread.start()
        self.ensemble = self.call(lambda: Ensemble(servers, seed, timeouts_ms=timeouts_ms))
        self.call(self.ensemble.start)

    def call(self, function: Callable[[], Any]) -> Any:
        """Run a function or a coroutine function on the ensemble's loop and wait for its result."""

        async def call_function() -> Any:
            result = function()
            return await result if asyncio.iscoroutine(result) else result

        return asyncio.run_coroutine_threadsafe(call_function(), self.loop).result(CALL_TIMEOUT_S)

    def close(self) -> None:
        """Close the ensemble and end the thread."""
        self.call(self.ensemble.close)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(CALL_TIMEOUT_S)
        self.loop.close()
