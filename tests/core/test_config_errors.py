"""Errors of configuration and options name the file, the key and the expected value."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from cloverkeel.core import config, options
from cloverkeel.core.config import ConfigError


def load_config_error(path: Path) -> ConfigError:
    with pytest.raises(ConfigError) as caught:
        config.load({"LB_CONFIG": str(path)})
    return caught.value


def test_a_missing_configuration_is_reported_with_its_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    error = load_config_error(path)
    assert str(error) == f"{path}: No such file or directory"
    assert error.file == str(path)


def test_an_invalid_address_is_reported_with_file_key_and_format(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"listen": "127.0.0.1", "settings": {}}))
    error = load_config_error(path)
    assert str(error) == "listen is not an address of the form host:port"
    assert (error.file, error.key, error.expected) == (str(path), "listen", "host:port")


@pytest.mark.parametrize(
    ("raw", "text", "key", "expected"),
    [
        (
            {"moon": {}},
            "o.toml: moon: unknown; expected one of membership, duties, sharing, relays",
            "moon",
            "one of membership, duties, sharing, relays",
        ),
        ({"duties": 3}, "o.toml: duties: expected a table, found 3", "duties", "a table"),
        (
            {"duties": {"lease_ms": True}},
            "o.toml: duties: lease_ms: expected a whole number from 200 to 60000, found True",
            "duties.lease_ms",
            "a whole number from 200 to 60000",
        ),
        (
            {"duties": {"store": ["peers"]}},
            "o.toml: duties: store: expected 'peers' or 'ephemeral', found ['peers']",
            "duties.store",
            "'peers' or 'ephemeral'",
        ),
        (
            {"sharing": {"x": 1}},
            "o.toml: sharing: x: unknown; expected no keys",
            "sharing.x",
            "no keys",
        ),
    ],
)
def test_an_invalid_option_is_reported_with_file_key_and_expected_value(
    raw: dict[str, object], text: str, key: str, expected: str
) -> None:
    with pytest.raises(ConfigError) as caught:
        options.parse(raw, "o.toml")
    error = caught.value
    assert str(error) == text
    assert (error.file, error.key, error.expected) == ("o.toml", key, expected)
