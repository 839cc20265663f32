"""Read scenario files: TOML, whose keys and values are checked."""

from __future__ import annotations

import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

SCENARIOS_FOLDER = Path(__file__).parent / "scenarios"
Check = Callable[[Any], bool]


class ScenarioError(ValueError):
    """Raised for a scenario that cannot be used; the message names file, key and what was expected, in one line."""


def _number(min_value: float, max_value: float) -> tuple[str, Check]:
    def check(value: Any) -> bool:
        return isinstance(value, int | float) and not isinstance(value, bool) and min_value <= value <= max_value

    return f"a number from {min_value:g} to {max_value:g}", check


def _integer(min_value: int, max_value: int) -> tuple[str, Check]:
    def check(value: Any) -> bool:
        return isinstance(value, int) and not isinstance(value, bool) and min_value <= value <= max_value

    return f"a whole number from {min_value} to {max_value}", check


def _one_of(*words: str) -> tuple[str, Check]:
    return "one of " + ", ".join(repr(word) for word in words), lambda value: value in words


TEXT: tuple[str, Check] = ("a text", lambda value: isinstance(value, str) and bool(value))
BOOLEAN: tuple[str, Check] = ("true or false", lambda value: isinstance(value, bool))
PARTIES: tuple[str, Check] = (
    "a list of names: backends (s-0), gateways (n0), zones, 'registry' or 'keeper'",
    lambda value: isinstance(value, list) and bool(value) and all(isinstance(v, str) for v in value),
)
SECONDS = _number(0.05, 600)
SHARE = _number(0.0, 1.0)
BACKEND_COUNT = _integer(1, 64)
DEFAULT_BACKEND_COUNT = 6

# By action: its keys, each with the expected value and a check. Keys in REQUIRED_KEYS have no default.
ACTIONS: dict[str, dict[str, tuple[str, Check]]] = {
    "crash": {"boxes": BACKEND_COUNT, "for": SECONDS, "renamed": BOOLEAN},
    "hang": {"boxes": BACKEND_COUNT, "for": SECONDS},
    "silent": {"boxes": BACKEND_COUNT, "for": SECONDS},
    "drain": {"boxes": BACKEND_COUNT, "for": SECONDS},
    "slow": {"boxes": BACKEND_COUNT, "for": SECONDS, "factor": _number(1, 50)},
    "errors": {"boxes": BACKEND_COUNT, "for": SECONDS, "share": SHARE},
    "spoil": {"boxes": BACKEND_COUNT, "for": SECONDS, "share": SHARE, "kind": TEXT},
    "late": {"boxes": BACKEND_COUNT, "for": SECONDS, "share": SHARE},
    "reset": {"boxes": BACKEND_COUNT, "for": SECONDS, "share": SHARE, "at_byte": _integer(0, 65536)},
    "shrink": {"boxes": BACKEND_COUNT, "for": SECONDS, "over": SECONDS},
    "join": {"boxes": BACKEND_COUNT},
    "take_address": {"for": SECONDS},
    "wave": {"share": SHARE, "over": SECONDS, "at_once": SHARE, "kill": BOOLEAN},
    "pause": {"gateways": _integer(1, 400), "for": SECONDS, "drain": BOOLEAN},
    "early": {"signal": _one_of("HUP", "TERM")},
    "registry_down": {"for": SECONDS, "how": _one_of("503", "reset", "silent")},
    "registry_garbled": {"for": SECONDS},
    "registry_back": {"by": _integer(1, 1000)},
    "registry_moves": {},
    "partition": {"one": PARTIES, "other": PARTIES, "for": SECONDS, "one_way": BOOLEAN, "reset": BOOLEAN},
    "slow_network": {
        "one": PARTIES, "other": PARTIES, "for": SECONDS, "delay_ms": _number(0, 2000),
        "jitter_ms": _number(0, 2000), "loss": SHARE,
    },
    "rude": {"for": SECONDS, "rate": _number(0.1, 500), "kind": TEXT},
    "surge": {"for": SECONDS, "factor": _number(0.1, 20)},
    # only with ops = true
    "suspend": {"boxes": BACKEND_COUNT, "for": SECONDS},
    "empty": {"gateways": _integer(1, 400), "for": SECONDS},
    "upgrade": {"gateways": _integer(1, 400)},
    # only with membership = "ephemeral"
    "expire": {"boxes": BACKEND_COUNT, "for": SECONDS},
    "expire_all": {},
    "keeper_leader": {"for": SECONDS},
    "keeper_down": {"for": SECONDS, "lost": _integer(0, 100)},
}  # fmt: skip
REQUIRED_KEYS = {
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
REGISTRY_ACTIONS = ("registry_down", "registry_garbled", "registry_back", "registry_moves", "take_address")
ADMIN_ACTIONS = ("suspend", "empty", "upgrade")
ENSEMBLE_ACTIONS = ("expire", "expire_all", "keeper_leader", "keeper_down")  # fmt: skip
FLEET_KEYS: dict[str, tuple[str, Check]] = {
    "boxes": _integer(1, 64), "gateways": _integer(1, 64), "shelves": _integer(1, 16), "cores": _integer(1, 16),
    "load": _number(0.01, 8.0), "cold_share": _number(0.05, 1.0), "warm_s": _number(0.1, 60),
    "warm_told_s": _number(0.1, 60), "membership": _one_of("registry", "ephemeral"),
    "window_s": _number(0.05, 60), "idle_s": _number(0.2, 600), "second_copies": BOOLEAN, "attempts": _integer(1, 20),
    "ops": BOOLEAN, "duties": BOOLEAN, "sharing": BOOLEAN, "sockets": _integer(128, 65_536),
    "memory_mib": _integer(16, 4_096),
}  # fmt: skip
CLIENT_KEYS: dict[str, tuple[str, Check]] = {
    "keys": _integer(1, 100_000), "popular": SHARE, "hint": _number(0.05, 20),
}  # fmt: skip
TOP_LEVEL_KEYS: dict[str, tuple[str, Check]] = {
    "about": TEXT,
    "seconds": _number(1, 600),
    "fleet": ("a table", lambda value: isinstance(value, dict)),
    "clients": ("a table", lambda value: isinstance(value, dict)),
    "trouble": ("a list of tables ([[trouble]])", lambda value: isinstance(value, list)),
}


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault that a scenario injects."""

    at_s: float  # from the start of the run, if it has the scenario's own length
    action: str  # key of ACTIONS
    arguments: dict[str, Any]  # by key of the file


@dataclass(slots=True, frozen=True)
class Scenario:
    """A scenario. Its fields have the names of the file's keys, but for `faults`."""

    name: str
    about: str
    seconds: float = 60.0
    boxes: int = DEFAULT_BACKEND_COUNT  # number of backends
    gateways: int = 3  # number of gateways
    shelves: int = 2  # number of idempotency stores, each shared by some of the backends
    cores: int = 2  # number of cores of a backend
    load: float = 0.5  # offered, as a share of the capacity of all backends after warm-up
    cold_share: float = 0.35  # capacity of a backend at its start, as a share of that after warm-up
    warm_s: float = 6.0  # duration of the warm-up
    warm_told_s: float = 0.0  # duration of the warm-up in the gateways' configuration; 0: the actual one
    window_s: float = 1.5  # backends that share an idempotency store drop repeats of a hold for this long
    idle_s: float = 60.0  # idle timeout of a backend's connections
    second_copies: bool = True  # a gateway may have two attempts of one request in flight
    attempts: int = 6  # maximum number of attempts of one request by one gateway
    ops: bool = False  # gateways have an admin address
    duties: bool = False  # gateways hold leased roles, and may send datagrams to each other
    sharing: bool = False  # gateways share what they know of backends by datagrams
    sockets: int = 512  # limit of a gateway's descriptors
    memory_mib: int = 192  # limit of a gateway's memory
    keys: int = 2000  # number of distinct keys that requests concern
    popular: float = 0.0  # share of the requests that concern one and the same key
    hint: float = 1.0  # cost that clients announce for a request, as a share of its actual work
    membership: str = "registry"
    faults: tuple[Fault, ...] = field(default=())


def _check_table(location: str, table: Mapping[str, Any], known: Mapping[str, tuple[str, Check]]) -> None:
    for key, value in table.items():
        if key not in known:
            raise ScenarioError(f"{location}: {key}: unknown; expected one of {', '.join(sorted(known))}")
        expected, check = known[key]
        if not check(value):
            raise ScenarioError(f"{location}: {key}: expected {expected}, found {value!r}")


def _parse_fault(location: str, raw: Any, seconds: float) -> Fault:
    if not isinstance(raw, dict):
        raise ScenarioError(f"{location}: expected a table, found {raw!r}")
    action = raw.get("do")
    if action not in ACTIONS:
        raise ScenarioError(f"{location}: do: expected one of {', '.join(sorted(ACTIONS))}, found {action!r}")
    known = ACTIONS[action] | {"at": _number(0, seconds), "do": TEXT}
    for key in ("at", *REQUIRED_KEYS.get(action, ())):
        if key not in raw:
            raise ScenarioError(f"{location} ({action}): {key}: missing; expected {known[key][0]}")
    _check_table(f"{location} ({action})", raw, known)
    return Fault(float(raw["at"]), action, {key: raw[key] for key in raw if key not in ("at", "do")})


def parse_scenario(text: str, name: str, location: str) -> Scenario:
    """Return the scenario of a file's text; ScenarioError if it is not valid. Errors begin with `location`."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{location}: not TOML: {error}") from None
    _check_table(location, raw, TOP_LEVEL_KEYS)
    if "about" not in raw:
        raise ScenarioError(f"{location}: about: missing; expected {TEXT[0]}")
    seconds = float(raw.get("seconds", 60.0))
    fleet = raw.get("fleet", {})
    _check_table(f"{location}: fleet", fleet, FLEET_KEYS)
    clients = raw.get("clients", {})
    _check_table(f"{location}: clients", clients, CLIENT_KEYS)
    faults = tuple(
        _parse_fault(f"{location}: trouble {number}", table, seconds)
        for number, table in enumerate(raw.get("trouble", []), 1)
    )
    backend_count = fleet.get("boxes", DEFAULT_BACKEND_COUNT)
    membership = fleet.get("membership", "registry")
    for number, fault in enumerate(faults, 1):
        if fault.action in (ENSEMBLE_ACTIONS if membership == "registry" else REGISTRY_ACTIONS):
            raise ScenarioError(
                f"{location}: trouble {number}: do: expected an action that works with membership = {membership!r},"
                f" found {fault.action!r}"
            )
        if fault.action in ADMIN_ACTIONS and not fleet.get("ops", False):
            raise ScenarioError(
                f"{location}: trouble {number} ({fault.action}): expected ops = true in [fleet],"
                " as for all admin commands"
            )
        if fault.arguments.get("boxes", 1) > backend_count and fault.action != "join":
            raise ScenarioError(
                f"{location}: trouble {number} ({fault.action}): boxes: expected at most the fleet's {backend_count},"
                f" found {fault.arguments['boxes']}"
            )
    return Scenario(name, raw["about"], seconds, faults=faults, **fleet, **clients)


def load_scenario(name: str) -> Scenario:
    """Return a scenario of this package by its name, or that of a file by its path."""
    path = SCENARIOS_FOLDER / f"{name}.toml"
    if "/" in name or name.endswith(".toml"):
        path = Path(name)
    elif not path.exists():
        raise ScenarioError(f"{name}: no such scenario; expected a file or one of {', '.join(scenario_names())}")
    try:
        return parse_scenario(
            path.read_text(), path.stem, str(path) if path.parent != SCENARIOS_FOLDER else path.name
        )
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ScenarioError(f"{path}: expected text in UTF-8") from None


def scenario_names() -> list[str]:
    """Return the names of the scenarios of this package, sorted."""
    return sorted(path.stem for path in SCENARIOS_FOLDER.glob("*.toml"))
