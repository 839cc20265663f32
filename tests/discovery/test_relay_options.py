"""The options of a gateway that uses relays."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from cloverkeel.core.config import ConfigError
from cloverkeel.core.options import RelayOptions, load, parse as parse_options

ROOT = Path(__file__).parents[2]


@pytest.mark.parametrize(
    "relays_table, message",
    [
        ({}, "relays: addresses: expected a list of 1 to 64 different host:port, found None"),
        ({"addresses": []}, "relays: addresses: expected a list of 1 to 64"),
        ({"addresses": ["h"]}, "relays: addresses: expected a list of 1 to 64"),
        ({"addresses": ["h:1", "h:1"]}, "relays: addresses: expected a list of 1 to 64 different"),
        ({"addresses": ["h:1"], "services": "s"}, "relays: services: expected a list of at most 256 different names"),
        ({"addresses": ["h:1"], "services": ["a,b"]}, "relays: services: expected a list of at most 256"),
        ({"addresses": ["h:1"], "services": ["é" * 65]}, "relays: services: expected a list of at most 256"),
        ({"addresses": ["h:1"], "services": [f"{n:0128}" for n in range(129)]}, "relays: services: expected"),
        ({"addresses": ["h:1"], "direct_per_s": 0}, "relays: direct_per_s: expected a whole number from 1 to 10000"),
        ({"addresses": ["h:1"], "x": 0}, "relays: x: unknown; expected one of addresses, services, direct_per_s"),
    ],
)
def test_errors_in_options_name_file_and_key(relays_table: dict[str, Any], message: str) -> None:
    with pytest.raises(ConfigError) as error:
        parse_options({"relays": relays_table}, "o.toml")
    assert str(error.value).startswith("o.toml: " + message)


def test_the_shipped_options_file_is_valid() -> None:
    relays = load({"CLOVERKEEL_OPTIONS": str(ROOT / "deploy" / "relays-gateway.toml")}).relays
    assert relays == RelayOptions(tuple(("127.0.0.1", port) for port in (7101, 7102, 7103)))


def test_relay_modules_are_not_imported_without_relays() -> None:
    code = "import sys, cloverkeel.assembly; print([m for m in sys.modules if '.relay' in m or 'urllib' in m])"
    result = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert result.stdout.strip() == "[]", result.stdout + result.stderr
