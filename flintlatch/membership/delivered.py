"""An object of delivery as a source of nodes: its items are rows, its revisions versions. No I/O, no clock.

An item is one JSON row, in the form that membership's documents use; one without a uid has the item's name as
such. Only the items that a change names are read anew. As in a file or a catalogue, one bad row rejects the
version, and each after it until it is mended or taken away: the list without it would lack a node that may be
well.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import orjson

from flintlatch.membership.check import MOST_FAULTS, MOST_NODES, Fault, check_rows, shown
from flintlatch.membership.core import Event, Failed, Unread, VersionOffered
from flintlatch.membership.model import Node, Version

NO_OBJECT = "the origin has no such object"


class DeliveredNodeList:
    """`source`: its name in the core. What comes goes in as events for that core."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.nodes: dict[str, Node] = {}  # by item
        self.faults: dict[str, list[Fault]] = {}  # of items that are no row

    def on_snapshot(self, now_ms: float, revision: int, items: Mapping[str, bytes]) -> list[Event]:
        """The object as it is at `revision`, whatever was known of it before. `now_ms`: Unix time."""
        self.nodes, self.faults = {}, {}
        return self.on_delta(now_ms, revision, items, ())

    def on_delta(
        self, now_ms: float, revision: int, items: Mapping[str, bytes], removed: Iterable[str]
    ) -> list[Event]:
        """Items put and taken away between the revision known and this one."""
        for name in removed:
            self.nodes.pop(name, None)
            self.faults.pop(name, None)
        for name, value in items.items():
            self.nodes.pop(name, None)
            self.faults.pop(name, None)
            read = read_item(name, value)
            if isinstance(read, Node):
                self.nodes[name] = read
            else:
                self.faults[name] = read
        faults = self._faults()
        if faults:
            return [Unread(self.source, faults)]
        # In one order wherever they come from: the same revision is the same version also after a restart.
        nodes = tuple(self.nodes[name] for name in sorted(self.nodes))
        return [VersionOffered(Version(self.source, revision, nodes, now_ms))]

    def on_object_absent(self) -> list[Event]:
        """There is no such object, or no more. What was taken of it stands."""
        self.nodes, self.faults = {}, {}
        return [Failed(self.source, NO_OBJECT)]

    def _faults(self) -> tuple[Fault, ...]:
        """All that is wrong with the items together."""
        faults = [fault for name in sorted(self.faults) for fault in self.faults[name]]
        uids: dict[str, str] = {}
        places: dict[tuple[str, str, int], str] = {}
        for name, node in self.nodes.items():
            if (first := uids.setdefault(node.uid, name)) != name:
                expected = f"each uid once; {where(first)} has it"
                faults.append(Fault(f"{where(name)}.uid", shown(node.uid), expected))
            if (first := places.setdefault((node.pool, node.host, node.port), name)) != name:
                expected = f"each address once in a pool; {where(first)} has it"
                faults.append(Fault(f"{where(name)}.address", shown(node.address), expected))
        if (count := len(self.nodes) + len(self.faults)) > MOST_NODES:
            faults.append(Fault("item", f"{count} of them", f"at most {MOST_NODES}"))
        if len(faults) > MOST_FAULTS:
            more = len(faults) - MOST_FAULTS
            faults = [*faults[:MOST_FAULTS], Fault("item", f"{more} faults more", "none")]
        return tuple(faults)


def where(name: str) -> str:
    return f"item[{shown(name)}]"


def read_item(name: str, value: bytes) -> Node | list[Fault]:
    """The node of one item, or every fault of it."""
    try:
        row = orjson.loads(value)
    except orjson.JSONDecodeError as error:
        return [Fault(where(name), shown(value[:80]), f"JSON: {error}")]
    if isinstance(row, dict):
        row.setdefault("uid", name)
    nodes, faults = check_rows((row,))
    if faults:
        return [fault._replace(where=fault.where.replace("node[0]", where(name), 1)) for fault in faults]
    return nodes[0]
