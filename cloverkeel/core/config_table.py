"""Validating reader for one table of a TOML file; errors name the file, the key and the expected value."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from cloverkeel.core.config import Address, ConfigError, parse_address


@dataclass(slots=True, frozen=True)
class ConfigTable:
    """The values of a table and its location. Each `read_` method raises ConfigError for an invalid value."""

    file: str
    values: dict[str, Any]
    name: str = ""  # "": the top level of the file

    @property
    def location(self) -> str:
        """Prefix of error messages."""
        return f"{self.file}: {self.name}" if self.name else self.file

    def error(self, key: str, expected: str, found: object) -> ConfigError:
        """Return the error for an invalid value; `found` appears in the message unchanged."""
        return self._error(key, f"expected {expected}, found {found}", expected)

    def _error(self, key: str, message: str, expected: str) -> ConfigError:
        full_key = f"{self.name}.{key}" if self.name else key
        return ConfigError(f"{self.location}: {key}: {message}", file=self.file, key=full_key, expected=expected)

    def check_keys(self, allowed: Sequence[str]) -> None:
        """Raise ConfigError for the first key that is not in `allowed`."""
        expected = f"one of {', '.join(allowed)}" if allowed else "no keys"
        for key in self.values:
            if key not in allowed:
                raise self._error(key, f"unknown; expected {expected}", expected)

    def read_table(self, key: str) -> ConfigTable:
        """Return the nested table under `key`, which must exist."""
        table = self.values[key]
        if not isinstance(table, dict):
            raise self.error(key, "a table", repr(table))
        return ConfigTable(self.file, table, key)

    def read_integer(self, key: str, default: int, minimum: int, maximum: int) -> int:
        """Return an integer from `minimum` to `maximum`."""
        value = self.values.get(key, default)
        if not isinstance(value, int) or isinstance(value, bool) or not minimum <= value <= maximum:
            raise self.error(key, f"a whole number from {minimum} to {maximum}", repr(value))
        return value

    def read_boolean(self, key: str, default: bool) -> bool:
        """Return a boolean."""
        value = self.values.get(key, default)
        if not isinstance(value, bool):
            raise self.error(key, "true or false", repr(value))
        return value

    def read_host_list(self, key: str) -> str:
        """Return a string of the form host:port,host:port, unchanged."""
        value = self.values.get(key)
        error = self.error(key, "host:port,host:port", repr(value))
        if not isinstance(value, str) or not value:
            raise error
        try:
            for host in value.split(","):
                parse_address(host, key)
        except ConfigError:
            raise error from None
        return value

    def read_address_list(self, key: str, maximum: int) -> tuple[Address, ...]:
        """Return 1 to `maximum` distinct addresses."""
        value = self.values.get(key)
        error = self.error(key, f"a list of 1 to {maximum} different host:port", repr(value))
        if not isinstance(value, list) or not 1 <= len(value) <= maximum:
            raise error
        try:
            addresses = tuple(parse_address(address, key) for address in value)
        except ConfigError:
            raise error from None
        if len(set(addresses)) != len(addresses):
            raise error
        return addresses

    def read_node_path(self, key: str, default: str) -> str:
        """Return the absolute path of a ZooKeeper node."""
        value = self.values.get(key, default)
        is_absolute = isinstance(value, str) and value.startswith("/")
        parts = value[1:].split("/") if is_absolute else [""]
        if any(part in ("", ".", "..") for part in parts):
            raise self.error(key, "a path such as /cloverkeel/boxes", repr(value))
        return str(value)
