"""Run balancers over the simulator's line protocol: batches from standard input, a reply to each on standard output.

Every instance has its own Balancer; instances share no state, and this module makes no decisions. An invalid line is
reported on standard error and skipped.
"""

from __future__ import annotations

import gc
import sys
from typing import TextIO

from cloverkeel.balancing.events import Event, ListKind, ListedServer, ServerList
from cloverkeel.balancing.balancer import Balancer
from cloverkeel.simulator.codec import Fields, LIST_KINDS, PARSERS, format_action, parse_server, split_line
from cloverkeel.simulator.settings_codec import WireError, parse_settings


class SimulatorAdapter:
    """The balancers of one simulation, by instance name."""

    def __init__(self, source: TextIO, output: TextIO, errors: TextIO) -> None:
        self.source, self.output, self.errors = source, output, errors
        self.balancers: dict[str, Balancer] = {}
        self.servers_by_table: dict[str, tuple[ListedServer, ...]] = {}
        self.instance = ""
        self.reply_instance = ""
        self.now_us = 0
        self.line_number = 0
        self.reply: list[str] = []

    def run(self) -> None:
        """Process lines until the end of the input; an invalid line is reported and skipped."""
        for raw_line in self.source:
            self.line_number += 1
            line = raw_line.rstrip("\r\n")
            try:
                self.read_line(line)
            except KeyError as error:
                self.report_bad_line(line, f"field or value {error} is missing or unknown")
            except ValueError as error:
                self.report_bad_line(line, str(error))

    def report_bad_line(self, line: str, reason: str) -> None:
        """Report an invalid line on standard error."""
        print(f"cloverkeel: line {self.line_number}: {reason}: {line[:200]}", file=self.errors, flush=True)

    def read_line(self, line: str) -> None:
        """Process one line; unknown messages and keys are ignored, so that later protocol versions may add them."""
        if line == "go":
            self.finish_batch()
            return
        if not line:
            return
        name, fields = split_line(line)
        parser = PARSERS.get(name)
        if parser is not None:
            self.deliver(parser(fields))
        elif name == "inventory":
            self.read_inventory(fields)
        elif name == "registry":
            kind = LIST_KINDS[fields["how"]]
            servers = () if kind is ListKind.ERROR else self.servers_by_table[fields["table"]]
            self.deliver(ServerList(kind, servers))
        else:
            self.read_control(name, fields)

    def read_control(self, name: str, fields: Fields) -> None:
        """Process a message about batches or instances."""
        if name == "begin_batch":
            self.reply = []
            self.instance = ""
            self.reply_instance = ""
            self.now_us = int(fields["simTimeUs"])
        elif name == "instance":
            self.instance = ""  # after a malformed line, events must not go to the previous instance
            self.instance = fields["i"]
        elif name == "launch":
            self.launch(fields)
        elif name == "destroy" and self.balancers.pop(self.instance, None) is None:
            raise WireError(f"unknown instance '{self.instance}'")

    def launch(self, fields: Fields) -> None:
        """Start the balancer of the current instance, replacing an earlier one."""
        self.balancers.pop(self.instance, None)
        if not self.instance:
            raise WireError("launch outside any instance")
        settings = parse_settings(fields["bootInfo"])
        self.balancers[self.instance] = Balancer(settings, int(fields["prng"]))

    def read_inventory(self, fields: Fields) -> None:
        """Read a server list; its entries are the following lines."""
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
                self.report_bad_line(entry, f"field or value {error} is missing or unknown")
            except ValueError as error:
                self.report_bad_line(entry, str(error))
        self.servers_by_table[fields["table"]] = tuple(members)

    def deliver(self, event: Event) -> None:
        """Pass an event to the balancer of the current instance, and append the resulting actions to the reply."""
        balancer = self.balancers.get(self.instance)
        if balancer is None:
            raise WireError(f"unknown instance '{self.instance}'")
        actions = balancer.handle(self.now_us, event)
        if not actions:
            return
        if self.reply_instance != self.instance:
            self.reply_instance = self.instance
            self.reply.append(f"by i={self.instance}")
        self.reply.extend(map(format_action, actions))

    def finish_batch(self) -> None:
        """Write the reply to a batch."""
        self.reply.append("next\n")
        self.output.write("\n".join(self.reply))
        self.output.flush()
        self.reply = []


def main() -> int:
    """Run the adapter on standard input and output."""
    gc.freeze()  # objects created by imports live until exit: exclude them from collections
    sys.stdin.reconfigure(encoding="utf-8", errors="replace", newline="\n")  # type: ignore[union-attr]
    SimulatorAdapter(sys.stdin, sys.stdout, sys.stderr).run()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
