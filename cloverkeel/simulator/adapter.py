"""Runs balancers on the bench's wire: batches from standard input, one reply each to standard output.

Every instance has a Balancer of its own; nothing is shared and nothing is decided here. A line that cannot be
read is named on standard error and skipped.
"""

from __future__ import annotations

import gc
import sys
from typing import TextIO

from cloverkeel.balancing.events import Event, ListKind, ListedServer, ServerList
from cloverkeel.balancing.balancer import Balancer
from cloverkeel.simulator.codec import (
    LIST_KINDS,
    PARSERS,
    Fields,
    WireError,
    format_action,
    parse_server,
    parse_settings,
    split_line,
)


class Host:
    def __init__(self, source: TextIO, sink: TextIO, errors: TextIO) -> None:
        self.source, self.sink, self.errors = source, sink, errors
        self.balancers: dict[str, Balancer] = {}
        self.tables: dict[str, tuple[ListedServer, ...]] = {}
        self.instance = ""
        self.spoken_for = ""
        self.now_us = 0
        self.line_number = 0
        self.reply: list[str] = []

    def run(self) -> None:
        for line in self.source:
            self.line_number += 1
            line = line.rstrip("\r\n")
            try:
                self.read_line(line)
            except KeyError as error:
                self.complain(line, f"field or value {error} is missing or unknown")
            except ValueError as error:
                self.complain(line, str(error))

    def complain(self, line: str, why: str) -> None:
        print(f"cloverkeel: line {self.line_number}: {why}: {line[:200]}", file=self.errors, flush=True)

    def read_line(self, line: str) -> None:
        if line == "go":
            self.finish_batch()
            return
        if not line:
            return
        name, fields = split_line(line)
        parser = PARSERS.get(name)
        if parser is not None:
            self.deliver(parser(fields))
        elif name == "begin_batch":
            self.reply, self.instance, self.spoken_for = [], "", ""
            self.now_us = int(fields["simTimeUs"])
        elif name == "instance":
            self.instance = ""  # a malformed name must not leave events to the one before
            self.instance = fields["i"]
        elif name == "inventory":
            self.read_inventory(fields)
        elif name == "registry":
            kind = LIST_KINDS[fields["how"]]
            servers = () if kind is ListKind.ERROR else self.tables[fields["table"]]
            self.deliver(ServerList(kind, servers))
        elif name == "launch":
            self.balancers.pop(self.instance, None)
            if not self.instance:
                raise WireError("launch outside any instance")
            settings = parse_settings(fields["bootInfo"])
            self.balancers[self.instance] = Balancer(settings, int(fields["prng"]))
        elif name == "destroy" and self.balancers.pop(self.instance, None) is None:
            raise WireError(f"unknown instance '{self.instance}'")
        # Events that a later wire adds are ignored, as unknown keys are.

    def read_inventory(self, fields: Fields) -> None:
        members: list[ListedServer] = []
        for _ in range(int(fields["members"])):
            entry = self.source.readline()
            self.line_number += 1
            entry = entry.rstrip("\r\n")
            try:
                name, entry_fields = split_line(entry)
                if name != "host":
                    raise WireError("not a list entry")
                members.append(parse_server(entry_fields))
            except KeyError as error:
                self.complain(entry, f"field or value {error} is missing or unknown")
            except ValueError as error:
                self.complain(entry, str(error))
        self.tables[fields["table"]] = tuple(members)

    def deliver(self, event: Event) -> None:
        balancer = self.balancers.get(self.instance)
        if balancer is None:
            raise WireError(f"unknown instance '{self.instance}'")
        actions = balancer.handle(self.now_us, event)
        if not actions:
            return
        if self.spoken_for != self.instance:
            self.spoken_for = self.instance
            self.reply.append(f"by i={self.instance}")
        self.reply.extend(map(format_action, actions))

    def finish_batch(self) -> None:
        self.reply.append("next\n")
        self.sink.write("\n".join(self.reply))
        self.sink.flush()
        self.reply = []


def main() -> int:
    gc.freeze()  # what the imports made is never garbage
    sys.stdin.reconfigure(encoding="utf-8", errors="replace", newline="\n")  # type: ignore[union-attr]
    Host(sys.stdin, sys.stdout, sys.stderr).run()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
