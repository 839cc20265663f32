"""The log of a run's events, in memory and as a file."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

from standins.event_log.errors import EventLogError
from standins.event_log.file_format import Event, decode_event, encode_event

EventT = TypeVar("EventT")
MAX_EVENTS = 5_000_000  # further events are only counted, which bounds the memory


@dataclass
class EventLog:
    """The events of one run, in the order in which they were recorded."""

    events: list[Event] = field(default_factory=list)
    dropped: int = 0  # number of events beyond MAX_EVENTS; the checker rejects an incomplete log

    def add(self, event: Event) -> None:
        """Record an event, or only count it if there are MAX_EVENTS already."""
        if len(self.events) >= MAX_EVENTS:
            self.dropped += 1
            return
        self.events.append(event)

    def events_of(self, event_type: type[EventT]) -> Iterator[EventT]:
        """Yield the events of one type, in the order in which they were recorded."""
        return (event for event in self.events if isinstance(event, event_type))

    def dump(self, path: Path) -> None:
        """Write one JSON object per line, so that the run can be checked again."""
        with path.open("w") as file:
            for event in self.events:
                file.write(json.dumps(encode_event(event)) + "\n")

    @classmethod
    def load(cls, path: Path) -> EventLog:
        """Read a log from a file.

        Raises EventLogError, which names the line that is not an event.
        """
        event_log = cls()
        for line_number, line in enumerate(path.read_text().splitlines(), 1):
            try:
                event_log.add(decode_event(json.loads(line)))
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                raise EventLogError(path, line_number, error) from None
        return event_log
