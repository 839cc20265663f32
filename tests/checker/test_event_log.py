"""Tests that a log file reads back as it was written, and that an invalid line is named."""

from __future__ import annotations

from pathlib import Path

import pytest

from standins.event_log import EventLog, EventLogError
from tests.checker.violation_cases import CASES


def test_an_event_log_reads_back_as_it_was_written_and_an_invalid_line_is_named(tmp_path: Path) -> None:
    event_log = EventLog([event for case in CASES for event in case.violating])
    event_log.dump(tmp_path / "ledger")
    loaded = EventLog.load(tmp_path / "ledger")
    assert list(map(repr, loaded.events)) == list(map(repr, event_log.events))
    (tmp_path / "ledger").write_text('{"kind": "Run"}\n')
    with pytest.raises(EventLogError, match="line 1"):
        EventLog.load(tmp_path / "ledger")
