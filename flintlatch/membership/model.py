"""Nodes, versions of the list of them, and the change from one to the next."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class NodeState(Enum):
    ACTIVE = "active"
    DRAINING = "draining"  # nothing new to it; what it holds ends there


class Node(NamedTuple):
    uid: str
    host: str  # an IP address
    port: int
    pool: str = "default"
    zone: str = "default"
    kind: str = "default"
    cell: int = 0
    weight: float = 1.0
    state: NodeState = NodeState.ACTIVE
    started_ms: float | None = None  # Unix ms of its latest start

    @property
    def address(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Version:
    """One whole list. `number` grows within its source; `made_ms`: Unix time at which the source made it."""

    source: str
    number: int
    nodes: tuple[Node, ...]
    made_ms: float = 0.0

    def by_uid(self) -> dict[str, Node]:
        return {node.uid: node for node in self.nodes}


@dataclass(frozen=True, slots=True)
class Change:
    """From one list to the next, in the order in which it is to be applied: whoever stops halfway has sent
    nothing new to a node that leaves."""

    drained: tuple[Node, ...] = ()
    removed: tuple[Node, ...] = ()
    changed: tuple[Node, ...] = ()  # weight, zone, address, or a new start; active again
    added: tuple[Node, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.drained or self.removed or self.changed or self.added)


def difference(old: dict[str, Node], new: dict[str, Node]) -> Change:
    drained: list[Node] = []
    changed: list[Node] = []
    added: list[Node] = []
    for uid, node in new.items():
        before = old.get(uid)
        if before == node:
            continue
        if node.state is NodeState.DRAINING and (before is None or before.state is not NodeState.DRAINING):
            drained.append(node)
        else:
            (added if before is None else changed).append(node)
    gone = [node for uid, node in old.items() if uid not in new]
    return Change(tuple(drained), tuple(gone), tuple(changed), tuple(added))
