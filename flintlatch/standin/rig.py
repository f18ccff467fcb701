"""Sets up a test rig: stand-in nodes, a registry, a ledger, and the configuration of a fleet."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

from flintlatch.api import Effect, RequestClass, Scope
from flintlatch.net.clock import now_ms
from flintlatch.standin.ledger import Ledger
from flintlatch.standin.node import Node, Shape
from flintlatch.standin.registry import Registry

Rows = dict[str, list[dict[str, Any]]]
DRAIN_GRACE_MS = 500.0  # from the registry's announcement of a drain to the last new request at the node
CLASSES = {
    "answer": RequestClass(300, 900, Effect.SAFE, worth=1),
    "purchase": RequestClass(800, 2400, Effect.KEYED, Scope.ALL, 10_000, worth=12),
    "grade": RequestClass(500, 1500, Effect.UNSAFE, worth=3),
    "exam": RequestClass(20_000, 30_000, Effect.UNSAFE, worth=3),  # stays open through any reload or drain
}
MIX = {"answer": 0.7, "purchase": 0.2, "grade": 0.1}


def toml(value: object) -> str:
    """Return a string, number, boolean or list of these as TOML."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return "[" + ", ".join(map(toml, value)) + "]"
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    return repr(value)


def configuration(registry: str, rows: Rows | None = None, /, **tables: dict[str, Any]) -> str:
    """Return the configuration of a fleet that listens on a free port.

    `tables`: by table name, the keys that are added or replaced. `rows`: by name, the arrays of tables.
    """
    content: dict[str, dict[str, Any]] = {
        "fleet": {"name": "rig", "instances": 4, "listen": ["127.0.0.1:0"], "control": "c.sock"},
        "limits": {"sockets": 512, "memory_mb": 512},
        "start": {"ready_s": 30.0},
        "drain": {"limit_s": 40.0, "idle_s": 0.5, "hurry_s": 1.0},
        "nodes": {"source": "registry", "registry": registry, "connect_timeout_ms": 1000},
    }
    for name, keys in tables.items():
        content[name] = content.get(name, {}) | keys
    lines = []
    for name, keys in content.items():
        lines += [f"[{name}]", *(f"{key} = {toml(value)}" for key, value in keys.items()), ""]
    for name, spec in CLASSES.items():
        lines += ["[[class]]", f'name = "{name}"', f"aim_ms = {spec.aim_ms}", f"worth = {spec.worth}"]
        lines += [f"deadline_ms = {spec.deadline_ms}", f'effect = "{spec.effect.value}"']
        if spec.effect is Effect.KEYED:
            lines += [f'scope = "{spec.scope.value}"', f"window_ms = {spec.window_ms}"]
    for name, table_rows in (rows or {}).items():
        for row in table_rows:
            lines += ["", f"[[{name}]]", *(f"{key} = {toml(value)}" for key, value in row.items())]
    return "\n".join(lines) + "\n"


class Rig:
    """Nodes that share their idempotency keys, a registry that lists them, and a common ledger."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.folder, self.seed = folder, seed
        self.ledger = Ledger(DRAIN_GRACE_MS)
        self.registry = Registry(self.ledger)
        self.nodes: list[Node] = []
        self.keys: dict[bytes, float] = {}
        self.config = folder / "fleet.toml"

    async def open(self, nodes: int, shape: Shape | None = None) -> Rig:
        await self.registry.open()
        for _ in range(nodes):
            await self.add(shape or Shape())
        return self

    @staticmethod
    def copy_shape(shape: Shape) -> Shape:
        """Return a copy of the shape, so that a fault set on one node leaves the others unchanged."""
        return replace(shape, faults=dict(shape.faults))

    async def add(self, shape: Shape) -> Node:
        """Start a node, and add it to the registry at once."""
        node = Node(f"s{len(self.nodes)}", self.copy_shape(shape), self.ledger, self.seed, self.keys)
        await node.open()
        self.nodes.append(node)
        self.registry.add(node, now_ms() if shape.cold_ms else 0.0)
        return node

    def write(self, **tables: dict[str, Any]) -> Path:
        """Write the complete configuration of the fleet, and replace the previous file atomically."""
        temporary = self.config.with_suffix(".new")
        temporary.write_text(configuration(self.registry.address, **tables))
        temporary.rename(self.config)
        return self.config

    def close(self) -> None:
        for node in self.nodes:
            node.crash()
        self.registry.close()
