"""Replays recorded events through the decision module of whichever checkout is first on the import path.

Run as a script, so that it can load another checkout's module. Standard input has a line of JSON per recording.
Standard output has first a line that names the loaded build, then a line per recording with the results of its
events.

A value is encoded as the name of its class and the values of its fields in order, an enumeration member as its
position; so neither a renamed field nor a class that has moved to another module makes a difference. Renamed classes
are listed in FORMER_NAMES. The text of a log line is not a decision and is left out.

Exit code: 0 all recordings were replayed, 2 the checkout has no decision module of a known layout.
"""

from __future__ import annotations

import importlib
import json
import sys
from collections.abc import Iterator
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from types import ModuleType
from typing import Any

JsonValue = Any

FORMER_NAMES = {
    "PeerHealthReport": "Hearsay",
    "ProbesSuspended": "TrialsHeld",
    "RetryTokenGrant": "RetryRights",
    "SlowStartQuota": "ColdShare",
}  # name of a class in this checkout -> its name in older checkouts


class LayoutError(Exception):
    """The checkout has no decision module in any of the LAYOUTS, or lacks a class of a recording."""


@dataclass(frozen=True)
class Layout:
    """The modules of a checkout that contain the balancer and its data classes."""

    balancer_module: str
    balancer_class: str
    data_modules: tuple[str, ...]  # settings, events and actions


LAYOUTS = (
    Layout("caperdrift.balance", "Balancer", ("caperdrift.interface",)),
    Layout("cloverkeel.balancing.balancer", "Balancer", ("cloverkeel.balancing.interface",)),
    Layout(
        "cloverkeel.balancing.balancer",
        "Balancer",
        (
            "cloverkeel.balancing.settings",
            "cloverkeel.balancing.events",
            "cloverkeel.balancing.actions",
        ),
    ),
)


def encode(value: object) -> JsonValue:
    """Encode settings, an event or an action as JSON."""
    if isinstance(value, Enum):
        return {"enum": canonical_name(type(value)), "index": list(type(value)).index(value)}
    if is_dataclass(value):
        name = canonical_name(type(value))
        compared = [] if name == "Log" else [field.name for field in fields(value)]
        return {"class": name, "values": [encode(getattr(value, field_name)) for field_name in compared]}
    if isinstance(value, bytes):
        return {"bytes": value.hex()}
    if isinstance(value, list | tuple):
        return [encode(item) for item in value]
    return value


def encode_result(result: object) -> JsonValue:
    """Encode the result of an event as JSON: the actions, or the type of the exception that was raised."""
    if isinstance(result, Exception):
        return {"raised": canonical_name(type(result))}
    return encode(result)


def canonical_name(class_: type) -> str:
    """Return the name of a class that all checkouts have in common."""
    return FORMER_NAMES.get(class_.__name__, class_.__name__)


class DecisionModule:
    """The decision module of the checkout that is first on the import path."""

    def __init__(self) -> None:
        self.layout, balancer_module = find_layout()
        self.build = "plain" if str(balancer_module.__file__).endswith(".py") else "compiled"
        self.balancer_class = getattr(balancer_module, self.layout.balancer_class)
        self.class_by_name: dict[str, type] = {}
        for module_name in self.layout.data_modules:
            for value in vars(importlib.import_module(module_name)).values():
                if isinstance(value, type):
                    self.class_by_name[canonical_name(value)] = value

    def decode(self, value: JsonValue) -> Any:
        """Return the object of this checkout's classes for a value that `encode` returned."""
        if isinstance(value, list):
            return tuple(self.decode(item) for item in value)
        if not isinstance(value, dict):
            return value
        if "bytes" in value:
            return bytes.fromhex(value["bytes"])
        if "enum" in value:
            return list(self.find_class(value["enum"]))[value["index"]]  # type: ignore[call-overload]
        return self.find_class(value["class"])(*(self.decode(item) for item in value["values"]))

    def find_class(self, name: str) -> type:
        """Return the class with this canonical name."""
        try:
            return self.class_by_name[name]
        except KeyError:
            raise LayoutError(f"no class {name} in {', '.join(self.layout.data_modules)}") from None

    def replay(self, recording: JsonValue) -> Iterator[JsonValue]:
        """Replay a recording in a new balancer and yield the encoded result of each event."""
        balancer = self.balancer_class(self.decode(recording["settings"]), recording["seed"])
        for at_us, encoded_event in recording["events"]:
            event = self.decode(encoded_event)
            try:
                result: object = balancer.handle(at_us, event)
            except Exception as error:
                result = error
            yield encode_result(result)


def find_layout() -> tuple[Layout, ModuleType]:
    """Return the first layout whose modules exist, and its balancer module."""
    for layout in LAYOUTS:
        module_names = (layout.balancer_module, *layout.data_modules)
        try:
            balancer_module, *_ = [importlib.import_module(name) for name in module_names]
        except ModuleNotFoundError as error:
            if not any(name.startswith(error.name or "-") for name in module_names):
                raise
        else:
            return layout, balancer_module
    raise LayoutError(f"none of {', '.join(layout.balancer_module for layout in LAYOUTS)} is there")


def main() -> int:
    """Replay the recordings of standard input and return the exit code."""
    try:
        module = DecisionModule()
        print(json.dumps(module.build), flush=True)
        for line in sys.stdin:
            print(json.dumps(list(module.replay(json.loads(line)))), flush=True)
    except LayoutError as error:
        print(f"replay: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
