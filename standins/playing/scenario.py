"""Scenario files: TOML, checked; a mistake names file, key and what was expected."""

from __future__ import annotations

import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).parent / "scenarios"
Check = Callable[[Any], bool]


class ScenarioError(ValueError):
    """The message names file, key and what was expected, in one line."""


def _number(low: float, high: float) -> tuple[str, Check]:
    def check(value: Any) -> bool:
        return isinstance(value, int | float) and not isinstance(value, bool) and low <= value <= high

    return f"a number from {low:g} to {high:g}", check


def _whole(low: int, high: int) -> tuple[str, Check]:
    def check(value: Any) -> bool:
        return isinstance(value, int) and not isinstance(value, bool) and low <= value <= high

    return f"a whole number from {low} to {high}", check


def _one_of(*words: str) -> tuple[str, Check]:
    return "one of " + ", ".join(repr(word) for word in words), lambda value: value in words


TEXT: tuple[str, Check] = ("a text", lambda value: isinstance(value, str) and bool(value))
YES: tuple[str, Check] = ("true or false", lambda value: isinstance(value, bool))
PARTIES: tuple[str, Check] = (
    "a list of names: boxes (s-0), gateways (n0), rooms, 'registry' or 'keeper'",
    lambda value: isinstance(value, list) and bool(value) and all(isinstance(v, str) for v in value),
)
SECONDS = _number(0.05, 600)
SHARE = _number(0.0, 1.0)
BOXES = _whole(1, 64)
USUAL_BOXES = 6

# What may go wrong: its keys and what each expects; those in NEEDED have no default.
ACTIONS: dict[str, dict[str, tuple[str, Check]]] = {
    "crash": {"boxes": BOXES, "for": SECONDS, "renamed": YES},
    "hang": {"boxes": BOXES, "for": SECONDS},
    "silent": {"boxes": BOXES, "for": SECONDS},
    "drain": {"boxes": BOXES, "for": SECONDS},
    "slow": {"boxes": BOXES, "for": SECONDS, "factor": _number(1, 50)},
    "errors": {"boxes": BOXES, "for": SECONDS, "share": SHARE},
    "spoil": {"boxes": BOXES, "for": SECONDS, "share": SHARE, "kind": TEXT},
    "late": {"boxes": BOXES, "for": SECONDS, "share": SHARE},
    "reset": {"boxes": BOXES, "for": SECONDS, "share": SHARE, "at_byte": _whole(0, 65536)},
    "shrink": {"boxes": BOXES, "for": SECONDS, "over": SECONDS},
    "join": {"boxes": BOXES},
    "take_address": {"for": SECONDS},
    "wave": {"share": SHARE, "over": SECONDS, "at_once": SHARE, "kill": YES},
    "pause": {"gateways": _whole(1, 400), "for": SECONDS, "drain": YES},
    "early": {"signal": _one_of("HUP", "TERM")},
    "registry_down": {"for": SECONDS, "how": _one_of("503", "reset", "silent")},
    "registry_garbled": {"for": SECONDS},
    "registry_back": {"by": _whole(1, 1000)},
    "registry_moves": {},
    "partition": {"one": PARTIES, "other": PARTIES, "for": SECONDS, "one_way": YES, "reset": YES},
    "slow_network": {
        "one": PARTIES, "other": PARTIES, "for": SECONDS, "delay_ms": _number(0, 2000),
        "jitter_ms": _number(0, 2000), "loss": SHARE,
    },
    "rude": {"for": SECONDS, "rate": _number(0.1, 500), "kind": TEXT},
    "surge": {"for": SECONDS, "factor": _number(0.1, 20)},
    # with ops = true alone
    "suspend": {"boxes": BOXES, "for": SECONDS},
    "empty": {"gateways": _whole(1, 400), "for": SECONDS},
    "upgrade": {"gateways": _whole(1, 400)},
    # with membership = "ephemeral" alone
    "expire": {"boxes": BOXES, "for": SECONDS},
    "expire_all": {},
    "keeper_leader": {"for": SECONDS},
    "keeper_down": {"for": SECONDS, "lost": _whole(0, 100)},
}  # fmt: skip
NEEDED = {
    "crash": ("for",),
    "hang": ("for",),
    "silent": ("for",),
    "drain": ("for",),
    "slow": ("for",),
    "errors": ("for",),
    "spoil": ("for",),
    "late": ("for",),
    "reset": ("for",),
    "shrink": ("boxes", "for"),
    "take_address": ("for",),
    "pause": ("for",),
    "registry_down": ("for",),
    "registry_garbled": ("for",),
    "partition": ("one", "other", "for"),
    "slow_network": ("one", "other", "for"),
    "rude": ("for",),
    "surge": ("for", "factor"),
    "suspend": ("for",),
    "empty": ("for",),
    "expire": ("for",),
    "keeper_leader": ("for",),
    "keeper_down": ("for",),
}
OF_THE_REGISTRY = ("registry_down", "registry_garbled", "registry_back", "registry_moves", "take_address")
OF_STAFF = ("suspend", "empty", "upgrade")
OF_THE_KEEPER = ("expire", "expire_all", "keeper_leader", "keeper_down")  # fmt: skip
FLEET: dict[str, tuple[str, Check]] = {
    "boxes": _whole(1, 64), "gateways": _whole(1, 64), "shelves": _whole(1, 16), "cores": _whole(1, 16),
    "load": _number(0.01, 8.0), "cold_share": _number(0.05, 1.0), "warm_s": _number(0.1, 60),
    "warm_told_s": _number(0.1, 60), "membership": _one_of("registry", "ephemeral"),
    "window_s": _number(0.05, 60), "idle_s": _number(0.2, 600), "second_copies": YES, "attempts": _whole(1, 20),
    "ops": YES, "duties": YES, "sharing": YES, "sockets": _whole(128, 65_536), "memory_mib": _whole(16, 4_096),
}  # fmt: skip
CLIENTS: dict[str, tuple[str, Check]] = {
    "keys": _whole(1, 100_000), "popular": SHARE, "hint": _number(0.05, 20),
}  # fmt: skip
TOP: dict[str, tuple[str, Check]] = {
    "about": TEXT,
    "seconds": _number(1, 600),
    "fleet": ("a table", lambda value: isinstance(value, dict)),
    "clients": ("a table", lambda value: isinstance(value, dict)),
    "trouble": ("a list of tables ([[trouble]])", lambda value: isinstance(value, list)),
}


@dataclass(slots=True, frozen=True)
class Trouble:
    at: float  # seconds from the start, at the scenario's own length
    do: str
    keys: dict[str, Any]


@dataclass(slots=True, frozen=True)
class Scenario:
    name: str
    about: str
    seconds: float = 60.0
    boxes: int = USUAL_BOXES
    gateways: int = 3
    shelves: int = 2
    cores: int = 2
    load: float = 0.5  # share of what the boxes can do when warm
    cold_share: float = 0.35
    warm_s: float = 6.0
    warm_told_s: float = 0.0  # what gateways are told of it; 0: the truth
    window_s: float = 1.5  # in which the boxes of a shelf drop a hold's repeat
    idle_s: float = 60.0  # after which a box closes a connection that is not used
    second_copies: bool = True  # two attempts of one request may be out together
    attempts: int = 6  # of one request by one gateway, at most
    ops: bool = False  # gateways have a second address, for staff
    duties: bool = False  # gateways hold duties by lease, and may send one another datagrams
    sharing: bool = False  # gateways tell one another what they know of boxes, by datagrams
    sockets: int = 512  # descriptors of a gateway
    memory_mib: int = 192  # of a gateway
    keys: int = 2000  # distinct ones that requests are about
    popular: float = 0.0  # share of the requests that are about one of them
    hint: float = 1.0  # what clients tell of a request's work, as a share of it
    membership: str = "registry"
    troubles: tuple[Trouble, ...] = field(default=())


def _check(where: str, table: Mapping[str, Any], known: Mapping[str, tuple[str, Check]]) -> None:
    for key, value in table.items():
        if key not in known:
            raise ScenarioError(f"{where}: {key}: unknown; expected one of {', '.join(sorted(known))}")
        expected, check = known[key]
        if not check(value):
            raise ScenarioError(f"{where}: {key}: expected {expected}, found {value!r}")


def _trouble(where: str, raw: Any, seconds: float) -> Trouble:
    if not isinstance(raw, dict):
        raise ScenarioError(f"{where}: expected a table, found {raw!r}")
    do = raw.get("do")
    if do not in ACTIONS:
        raise ScenarioError(f"{where}: do: expected one of {', '.join(sorted(ACTIONS))}, found {do!r}")
    known = ACTIONS[do] | {"at": _number(0, seconds), "do": TEXT}
    for key in ("at", *NEEDED.get(do, ())):
        if key not in raw:
            raise ScenarioError(f"{where} ({do}): {key}: missing; expected {known[key][0]}")
    _check(f"{where} ({do})", raw, known)
    return Trouble(float(raw["at"]), do, {key: raw[key] for key in raw if key not in ("at", "do")})


def parse(text: str, name: str, where: str) -> Scenario:
    """ScenarioError names what is wrong, and nothing is started."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{where}: not TOML: {error}") from None
    _check(where, raw, TOP)
    if "about" not in raw:
        raise ScenarioError(f"{where}: about: missing; expected {TEXT[0]}")
    seconds = float(raw.get("seconds", 60.0))
    fleet = raw.get("fleet", {})
    _check(f"{where}: fleet", fleet, FLEET)
    clients = raw.get("clients", {})
    _check(f"{where}: clients", clients, CLIENTS)
    troubles = tuple(
        _trouble(f"{where}: trouble {n}", trouble, seconds) for n, trouble in enumerate(raw.get("trouble", []), 1)
    )
    boxes = fleet.get("boxes", USUAL_BOXES)
    membership = fleet.get("membership", "registry")
    for number, trouble in enumerate(troubles, 1):
        if trouble.do in (OF_THE_KEEPER if membership == "registry" else OF_THE_REGISTRY):
            raise ScenarioError(
                f"{where}: trouble {number}: do: expected one that goes with membership = {membership!r},"
                f" found {trouble.do!r}"
            )
        if trouble.do in OF_STAFF and not fleet.get("ops", False):
            raise ScenarioError(
                f"{where}: trouble {number} ({trouble.do}): expected ops = true in [fleet]: staff call there"
            )
        if trouble.keys.get("boxes", 1) > boxes and trouble.do != "join":
            raise ScenarioError(
                f"{where}: trouble {number} ({trouble.do}): boxes: expected at most the fleet's {boxes},"
                f" found {trouble.keys['boxes']}"
            )
    return Scenario(name, raw["about"], seconds, troubles=troubles, **fleet, **clients)


def load(name: str) -> Scenario:
    """A scenario by its name among ours, or by the path of a file."""
    path = FOLDER / f"{name}.toml"
    if "/" in name or name.endswith(".toml"):
        path = Path(name)
    elif not path.exists():
        raise ScenarioError(f"{name}: no such scenario; expected a file or one of {', '.join(names())}")
    try:
        return parse(path.read_text(), path.stem, str(path) if path.parent != FOLDER else path.name)
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ScenarioError(f"{path}: expected text in UTF-8") from None


def names() -> list[str]:
    return sorted(path.stem for path in FOLDER.glob("*.toml"))
