"""Reads one table of a TOML configuration file; records each problem with its key and continues after it."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from math import isfinite
from typing import Any, TypeVar

Value = TypeVar("Value")
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


@dataclass(frozen=True, slots=True)
class Problem:
    """A fault of a configuration file. `found` is the value in TOML notation; empty if the key is missing."""

    file: str
    key: str
    found: str
    expected: str

    def __str__(self) -> str:
        found = f"found {self.found}" if self.found else "missing"
        return f"{self.file}: {self.key}: {found}, expected {self.expected}"


class InvalidConfig(Exception):
    """The configuration has faults; `problems` holds all of them."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


def format_value(value: object) -> str:
    """Formats a value for a message close to its notation in the file; long ones are truncated."""
    if isinstance(value, bool):
        text = "true" if value else "false"
    elif isinstance(value, dict):
        text = "a table"
    else:
        text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


class Reader:
    """A table of the file. `table_path` is its dotted key, empty for the top level.

    Each reading method returns a value of the right type. If the file has none or an invalid one, it adds a
    problem and returns the default or, without a default, a fallback, so that later keys are checked too.
    A missing key with a default is no problem. `reject_unknown_keys` reports keys that no method has read.
    """

    def __init__(self, file: str, table_path: str, table: object, problems: list[Problem]) -> None:
        self.file, self.table_path, self.problems = file, table_path, problems
        self.table: dict[str, Any] = {}
        self.known_keys: set[str] = set()
        if isinstance(table, dict):
            self.table = table
        else:
            self.add_problem("", format_value(table), "a table")

    def full_key(self, key: str) -> str:
        return f"{self.table_path}.{key}" if self.table_path and key else self.table_path or key

    def add_problem(self, key: str, found: str, expected: str) -> None:
        self.problems.append(Problem(self.file, self.full_key(key), found, expected))

    def _read(
        self,
        key: str,
        default: Value | None,
        expected: str,
        fallback: Value,
        is_valid: Callable[[Any], bool],
    ) -> Value:
        self.known_keys.add(key)
        if key not in self.table:
            if default is None:
                self.add_problem(key, "", expected)
                return fallback
            return default
        value = self.table[key]
        if is_valid(value):
            return value  # type: ignore[no-any-return]
        self.add_problem(key, format_value(value), expected)
        return fallback if default is None else default

    def string(self, key: str, default: str | None = None, expected: str = "text that is not empty") -> str:
        return self._read(key, default, expected, "", lambda value: isinstance(value, str) and value != "")

    def name(self, key: str, default: str | None = None) -> str:
        expected = "a name of 1 to 63 letters, digits, '.', '_' or '-'"
        is_valid = lambda value: isinstance(value, str) and NAME.fullmatch(value) is not None  # noqa: E731
        return self._read(key, default, expected, "", is_valid)

    def boolean(self, key: str, default: bool | None = None) -> bool:
        return self._read(key, default, "true or false", False, lambda value: isinstance(value, bool))

    def integer(self, key: str, low: int, high: int, default: int | None = None) -> int:
        is_valid = lambda value: type(value) is int and low <= value <= high  # noqa: E731
        return self._read(key, default, f"a whole number from {low} to {high}", low, is_valid)

    def number(self, key: str, low: float, high: float, default: float | None = None) -> float:
        """Reads an integer or a finite float from `low` to `high`, both included."""
        is_valid = lambda value: type(value) in (int, float) and isfinite(value) and low <= value <= high  # noqa: E731
        return float(self._read(key, default, f"a number from {low:g} to {high:g}", low, is_valid))

    def choice(self, key: str, values: tuple[str, ...], default: str | None = None) -> str:
        expected = "one of " + ", ".join(f'"{value}"' for value in values)
        return self._read(
            key, default, expected, values[0], lambda found: isinstance(found, str) and found in values
        )

    def array(self, key: str, expected: str, min_items: int = 0) -> list[Any]:
        """Reads an array without a check of its items; optional if `min_items` is 0."""

        def is_valid(value: Any) -> bool:
            return isinstance(value, list) and len(value) >= min_items

        default: list[Any] | None = None if min_items else []
        return self._read(key, default, expected, [], is_valid)

    def subtable(self, key: str) -> Reader:
        """Returns a reader of the table under `key`; a missing table is read as an empty one."""
        self.known_keys.add(key)
        return Reader(self.file, self.full_key(key), self.table.get(key, {}), self.problems)

    def subtables(self, key: str, min_items: int = 0) -> list[Reader]:
        """Returns a reader for each table of the array of tables `[[key]]`."""
        rows = self.array(
            key,
            f"[[{self.full_key(key)}]] tables" + (f", at least {min_items}" if min_items else ""),
            min_items,
        )
        return [
            Reader(self.file, f"{self.full_key(key)}[{index}]", row, self.problems)
            for index, row in enumerate(rows)
        ]

    def reject_unknown_keys(self) -> None:
        known = ", ".join(sorted(self.known_keys))
        for key in self.table:
            if key not in self.known_keys:
                self.add_problem(key, format_value(self.table[key]), f"no such key (known here: {known})")


def check_address(reader: Reader, key: str, value: object, default: str = "127.0.0.1:0") -> str:
    """Returns `value` if it is `host:port` with an IP address and a port from 0 to 65535; otherwise adds a
    problem and returns `default`. IPv6 addresses are in brackets (RFC 3986 section 3.2)."""
    from ipaddress import ip_address

    expected = 'an address such as "127.0.0.1:8080" or "[::1]:8080"'
    if isinstance(value, str):
        host, colon, port = value.rpartition(":")
        bracketed = host.startswith("[") and host.endswith("]")
        try:
            ip = ip_address(host.strip("[]"))
            valid = colon and port.isascii() and port.isdigit() and int(port) < 65536
            if valid and bracketed == (ip.version == 6):
                return value
        except ValueError:
            pass
    reader.add_problem(key, format_value(value), expected)
    return default
