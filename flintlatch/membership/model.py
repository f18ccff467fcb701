"""Defines nodes, versions of the node list, and the changes from one list to the next."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class NodeState(Enum):
    ACTIVE = "active"
    DRAINING = "draining"  # gets no new requests; those in progress are completed


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
    started_ms: float | None = None  # Unix time of its latest start

    @property
    def address(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Version:
    """A complete list from one source.

    `number` grows with each version of the source. `made_ms`: Unix time at which the source made the version.
    """

    source: str
    number: int
    nodes: tuple[Node, ...]
    made_ms: float = 0.0

    def by_uid(self) -> dict[str, Node]:
        return {node.uid: node for node in self.nodes}


@dataclass(frozen=True, slots=True)
class Change:
    """The changes from one list to the next, in the order in which they are applied.

    Because of this order, a process that stops halfway has sent no new request to a node that leaves.
    """

    drained: tuple[Node, ...] = ()
    removed: tuple[Node, ...] = ()
    changed: tuple[Node, ...] = ()  # in weight, zone, address or start time, or active again
    added: tuple[Node, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.drained or self.removed or self.changed or self.added)


def node_changes(old: dict[str, Node], new: dict[str, Node]) -> Change:
    """The changes from the list `old` to the list `new`, both by uid."""
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
    removed = [node for uid, node in old.items() if uid not in new]
    return Change(tuple(drained), tuple(removed), tuple(changed), tuple(added))
