"""Emulates a slow disk: with this folder on PYTHONPATH, each change of a file or folder is delayed.

Python imports this module at its start, in the test process and in each Python program that it starts. SLOW_DISK_MS
is the delay in milliseconds (20 by default).
"""

from __future__ import annotations

import os
import time
from typing import Any

DELAY_S = float(os.environ.get("SLOW_DISK_MS", "20")) / 1e3
DELAYED_FUNCTIONS = ("fsync", "fdatasync", "replace", "rename", "unlink", "mkdir", "rmdir", "truncate")


def delay_calls(function: Any) -> Any:
    """Wraps a function so that it sleeps before each call."""

    def call_after_delay(*arguments: Any, **keywords: Any) -> Any:
        time.sleep(DELAY_S)
        return function(*arguments, **keywords)

    return call_after_delay


for _name in DELAYED_FUNCTIONS:
    setattr(os, _name, delay_calls(getattr(os, _name)))
