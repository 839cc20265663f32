"""What all peers of this process share: memory, and time of the event loop for their input."""

from __future__ import annotations

import asyncio

from cloverkeel.core.input_scheduler import InputScheduler
from cloverkeel.core.memory_account import MemoryAccount


class PeerResources:
    """The memory account and the input scheduler of a process. To be created on a running event loop."""

    def __init__(self, account: MemoryAccount) -> None:
        self.account = account
        self.input_scheduler = InputScheduler(asyncio.get_running_loop())
