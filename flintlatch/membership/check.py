"""Validates the rows of a node list and reports every fault with the value found and the value expected."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from ipaddress import ip_address
from math import isfinite
from typing import Any, NamedTuple

from flintlatch.membership.model import Node, NodeState

# Per source. The decision module keeps state for each node, and a longer list is a mistake or an attack.
MAX_NODES = 100_000
MAX_REPORTED_FAULTS = 50  # the rest are counted only: a million invalid rows have one common cause
MAX_WEIGHT = 1e6
MAX_NAME_CHARS = 128
ROW_KEYS = frozenset(("uid", "address", "pool", "zone", "kind", "cell", "weight", "state", "started_ms"))


class Fault(NamedTuple):
    """One value that is not valid."""

    where: str  # path of the value, for example "node[3].weight"
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.where}: found {self.found}, expected {self.expected}"


class _RowReader:
    """Reads the fields of one row. A field that is not valid adds a fault and reads as a default."""

    def __init__(self, index: int, row: Mapping[str, Any], faults: list[Fault]) -> None:
        self.path, self.row, self.faults = f"node[{index}]", row, faults

    def add_fault(self, key: str, expected: str) -> None:
        self.faults.append(Fault(f"{self.path}.{key}", abbreviate(self.row.get(key)), expected))

    def name(self, key: str, default: str | None = None) -> str:
        value = self.row.get(key, default)
        valid = isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARS and value.isprintable()
        if not valid:
            self.add_fault(key, f"a name of 1 to {MAX_NAME_CHARS} printable characters")
        return value if isinstance(value, str) else ""

    def number(self, key: str, minimum: float, maximum: float, default: float) -> float:
        value = self.row.get(key, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            self.add_fault(key, f"a number from {minimum:g} to {maximum:g}")
            return default
        if not isfinite(value) or not minimum <= value <= maximum:
            self.add_fault(key, f"a number from {minimum:g} to {maximum:g}")
            return default
        return float(value)

    def integer(self, key: str, maximum: int) -> int:
        value = self.row.get(key, 0)
        if type(value) is not int or not 0 <= value <= maximum:
            self.add_fault(key, f"a whole number from 0 to {maximum}")
            return 0
        return value

    def address(self) -> tuple[str, int]:
        """The IP address in its canonical form, and the port; ("", 0) if the address is not valid."""
        value = self.row.get("address")
        expected = 'an address with a port from 1 to 65535, such as "10.0.0.1:8080" or "[::1]:8080"'
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
        try:
            bare_host = host[1:-1] if host.startswith("[") and host.endswith("]") else host
            if (":" in bare_host) != host.startswith("["):
                raise ValueError
            if not (port.isascii() and port.isdecimal() and 1 <= int(port) <= 65535):
                raise ValueError
            return str(ip_address(bare_host)), int(port)
        except ValueError:
            self.add_fault("address", expected)
            return "", 0

    def state(self) -> NodeState:
        value = self.row.get("state", "active")
        try:
            return NodeState(value)
        except ValueError:
            self.add_fault("state", '"active" or "draining"')
            return NodeState.ACTIVE


def abbreviate(value: object) -> str:
    """The value as text of at most 60 characters, for a fault; "nothing" if it is missing."""
    text = "nothing" if value is None else repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def check_rows(rows: Iterable[Any], pool: str = "default") -> tuple[tuple[Node, ...], list[Fault]]:
    """Returns the nodes and all faults; if there is any fault, the nodes must not be used.

    `pool`: the pool of a row that names none.
    """
    faults: list[Fault] = []
    nodes: list[Node] = []
    uids: dict[str, int] = {}
    addresses: dict[tuple[str, str, int], int] = {}
    for index, row in enumerate(rows):
        if index >= MAX_NODES:
            faults.append(Fault("node", f"more than {MAX_NODES}", f"at most {MAX_NODES} nodes"))
            break
        if not isinstance(row, Mapping):
            faults.append(Fault(f"node[{index}]", abbreviate(row), "a table with uid and address"))
            continue
        reader = _RowReader(index, row, faults)
        for key in sorted(set(map(str, row)) - ROW_KEYS):
            faults.append(Fault(f"node[{index}].{key}", abbreviate(row.get(key)), "no such key"))
        host, port = reader.address()
        node = Node(
            reader.name("uid"),
            host,
            port,
            reader.name("pool", pool),
            reader.name("zone", "default"),
            reader.name("kind", "default"),
            reader.integer("cell", 1_000_000),
            reader.number("weight", 0.01, MAX_WEIGHT, 1.0),
            reader.state(),
            reader.number("started_ms", 0.0, 1e15, 0.0) or None,
        )
        if node.uid and (first := uids.setdefault(node.uid, index)) != index:
            faults.append(
                Fault(f"node[{index}].uid", abbreviate(node.uid), f"each uid once; node[{first}] has it")
            )
        endpoint = (node.pool, host, port)
        if port and (first := addresses.setdefault(endpoint, index)) != index:
            expected = f"each address once in a pool; node[{first}] has it"
            faults.append(Fault(f"node[{index}].address", abbreviate(node.address), expected))
        nodes.append(node)
    if len(faults) > MAX_REPORTED_FAULTS:
        unreported = len(faults) - MAX_REPORTED_FAULTS
        faults = [*faults[:MAX_REPORTED_FAULTS], Fault("node", f"{unreported} more faults", "none")]
    return tuple(nodes), faults
