"""Tests of the options of ephemeral membership and of leased roles."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from cloverkeel.core.config import ConfigError
from cloverkeel.core.options import LeaseOptions, Options
from cloverkeel.core.options import load as load_options

ROOT = Path(__file__).parents[2]


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("x = 1", "o.toml: x: unknown; expected one of membership"),
        ("membership = 1", "o.toml: membership: expected a table, found 1"),
        ("[membership]", "o.toml: membership: hosts: expected host:port,host:port, found None"),
        ('[membership]\nhosts = "h"', "hosts: expected host:port,host:port, found 'h'"),
        ('[membership]\nhosts = "h:1"\nspeed = 3', "o.toml: membership: speed: unknown; expected one of precedence"),
        ('[membership]\nhosts = "h:1"\npath = "boxes"', "path: expected a path such as /cloverkeel/boxes"),
        ('[membership]\nhosts = "h:1"\npath = "/a//b"', "path: expected a path such as /cloverkeel/boxes"),
        ('[membership]\nhosts = "h:1"\nsession_ms = 5', "session_ms: expected a whole number from 200 to 60000"),
        ('[membership]\nhosts = "h:1"\nprecedence = ["registry"]', "precedence: expected a list of 'ephemeral'"),
        ('[membership]\nhosts = "h:1"\nstate = "/no/such/x"', "state: expected a file in a folder that exists"),
        ("[[", "o.toml: not TOML"),
        ("duties = 3", "o.toml: duties: expected a table, found 3"),
        ("[duties]\nvoters = 4", "duties: voters: expected 3, 5 or 7, found 4"),
        ("[duties]\nlease_ms = 5", "duties: lease_ms: expected a whole number from 200 to 60000, found 5"),
        ('[duties]\nwarden = "no"', "duties: warden: expected true or false, found 'no'"),
        ('[duties]\nstore = "moon"', "duties: store: expected 'peers' or 'ephemeral', found 'moon'"),
        ('[duties]\nstore = "ephemeral"', "duties: hosts: expected host:port,host:port, found None"),
        ("[duties]\nmoon = 1", "duties: moon: unknown; expected one of voters, lease_ms, warden, trier"),
    ],
)
def test_invalid_options_are_reported_with_file_and_key(tmp_path: Path, text: str, expected_error: str) -> None:
    file = tmp_path / "o.toml"
    file.write_text(text)
    with pytest.raises(ConfigError) as error:
        load_options({"CLOVERKEEL_OPTIONS": str(file)})
    assert expected_error in str(error.value)


def test_shipped_options_load_and_without_a_file_everything_is_off() -> None:
    membership_options = load_options({"CLOVERKEEL_OPTIONS": str(ROOT / "deploy" / "ephemeral.toml")})
    assert membership_options.zookeeper is not None and membership_options.zookeeper.precedence == (
        "ephemeral",
        "registry",
    )
    lease_options = load_options({"CLOVERKEEL_OPTIONS": str(ROOT / "deploy" / "duties.toml")})
    assert lease_options.leases == LeaseOptions() and lease_options.zookeeper is None
    assert load_options({}) == Options()


def test_modules_of_disabled_options_are_not_imported() -> None:
    code = (
        "import sys; from cloverkeel.core import options; from cloverkeel.assembly import assemble; options.load({});"
        "print([m for m in sys.modules if m.startswith(('kazoo', 'tomllib', 'standins', 'rich'))"
        " or m.startswith('cloverkeel.leases')"
        " or m in ('cloverkeel.discovery.merged_source', 'cloverkeel.discovery.zookeeper_source')])"
    )
    completed = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert completed.stdout.strip() == "[]", completed.stdout + completed.stderr
