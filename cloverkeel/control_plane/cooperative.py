"""Run incremental work in slices on the event loop, so that connections are served between them."""

from __future__ import annotations

import asyncio
from typing import Final

from cloverkeel.core.incremental import Incremental, Result

# Length of a slice of work before the loop runs other callbacks. Up to five kinds of work may each run a slice
# directly after one another.
SLICE_S: Final = 0.002


async def run_cooperatively(steps: Incremental[Result]) -> Result:
    """Run the steps in slices of SLICE_S, and return their result.

    The loop runs nothing else between the last step and the code after this call.
    """
    loop = asyncio.get_running_loop()
    slice_end_s = loop.time() + SLICE_S
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            result: Result = stop.value
            return result
        if loop.time() > slice_end_s:
            await asyncio.sleep(0)
            slice_end_s = loop.time() + SLICE_S
