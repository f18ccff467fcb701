"""Reading one table of a configuration file: every fault is noted with its place, none ends the reading."""

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
    """One fault. `found` is what stands there, in the file's own terms; empty if nothing does."""

    file: str
    key: str
    found: str
    expected: str

    def __str__(self) -> str:
        found = f"found {self.found}" if self.found else "missing"
        return f"{self.file}: {self.key}: {found}, expected {self.expected}"


class InvalidConfig(Exception):
    """A configuration with faults; `problems` holds all of them."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


def shown(value: object) -> str:
    """A value as a person would look for it in the file, cut where it is long."""
    if isinstance(value, bool):
        text = "true" if value else "false"
    elif isinstance(value, dict):
        text = "a table"
    else:
        text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


class Reader:
    """A table of the file. Each reading method returns a usable value in any case, so that reading goes on:
    where the file's is at fault the default (or a stand-in of the right type), after noting the problem.
    `done` notes the keys that nobody asked for."""

    def __init__(self, file: str, path: str, table: object, problems: list[Problem]) -> None:
        self.file, self.path, self.problems = file, path, problems
        self.table: dict[str, Any] = {}
        self.asked: set[str] = set()
        if isinstance(table, dict):
            self.table = table
        else:
            self.problem("", shown(table), "a table")

    def key(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path and name else self.path or name

    def problem(self, name: str, found: str, expected: str) -> None:
        self.problems.append(Problem(self.file, self.key(name), found, expected))

    def _read(
        self, name: str, default: Value | None, expected: str, instead: Value, good: Callable[[Any], bool]
    ) -> Value:
        self.asked.add(name)
        if name not in self.table:
            if default is None:
                self.problem(name, "", expected)
                return instead
            return default
        value = self.table[name]
        if good(value):
            return value  # type: ignore[no-any-return]
        self.problem(name, shown(value), expected)
        return instead if default is None else default

    def text(self, name: str, default: str | None = None, expected: str = "text that is not empty") -> str:
        return self._read(name, default, expected, "", lambda v: isinstance(v, str) and v != "")

    def name(self, name: str, default: str | None = None) -> str:
        expected = "a name of 1 to 63 letters, digits, '.', '_' or '-'"
        good = lambda v: isinstance(v, str) and NAME.fullmatch(v) is not None  # noqa: E731
        return self._read(name, default, expected, "", good)

    def flag(self, name: str, default: bool | None = None) -> bool:
        return self._read(name, default, "true or false", False, lambda v: isinstance(v, bool))

    def whole(self, name: str, low: int, high: int, default: int | None = None) -> int:
        good = lambda v: type(v) is int and low <= v <= high  # noqa: E731
        return self._read(name, default, f"a whole number from {low} to {high}", low, good)

    def number(self, name: str, low: float, high: float, default: float | None = None) -> float:
        """A number within both ends; a whole one will do."""
        good = lambda v: type(v) in (int, float) and isfinite(v) and low <= v <= high  # noqa: E731
        return float(self._read(name, default, f"a number from {low:g} to {high:g}", low, good))

    def choice(self, name: str, values: tuple[str, ...], default: str | None = None) -> str:
        expected = "one of " + ", ".join(f'"{value}"' for value in values)
        return self._read(name, default, expected, values[0], lambda v: isinstance(v, str) and v in values)

    def items(self, name: str, expected: str, least: int = 0) -> list[Any]:
        def good(value: Any) -> bool:
            return isinstance(value, list) and len(value) >= least

        default: list[Any] | None = None if least else []
        return self._read(name, default, expected, [], good)

    def sub(self, name: str) -> Reader:
        """The table under `name`; one that is missing counts as empty."""
        self.asked.add(name)
        return Reader(self.file, self.key(name), self.table.get(name, {}), self.problems)

    def subs(self, name: str, least: int = 0) -> list[Reader]:
        """The tables of an array, `[[name]]` in the file."""
        rows = self.items(
            name, f"[[{self.key(name)}]] tables" + (f", at least {least}" if least else ""), least
        )
        return [
            Reader(self.file, f"{self.key(name)}[{place}]", row, self.problems)
            for place, row in enumerate(rows)
        ]

    def done(self) -> None:
        known = ", ".join(sorted(self.asked))
        for name in self.table:
            if name not in self.asked:
                self.problem(name, shown(self.table[name]), f"no such key (known here: {known})")


def address(reader: Reader, name: str, value: object, default: str = "127.0.0.1:0") -> str:
    """`host:port` with an IP address and a port of 0 to 65535; RFC 3986 section 3.2 form for IPv6."""
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
    reader.problem(name, shown(value), expected)
    return default
