"""Turns an object received over delivery into versions of a node list. No I/O, no clock.

Each item of the object is one row in JSON, in the form of the rows in membership's documents; a row without a
uid gets the item's name as its uid. The object's revision is the version number. For a delta, only the items
in it are parsed. As with a file or a catalogue, one invalid row rejects the version and each later one, until
the row is corrected or removed: a list without the row could lack a healthy node.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import orjson

from flintlatch.membership.check import MAX_NODES, MAX_REPORTED_FAULTS, Fault, abbreviate, check_rows
from flintlatch.membership.core import Event, InvalidVersionOffered, SourceFailed, VersionOffered
from flintlatch.membership.model import Node, Version

NO_OBJECT_REASON = "the origin has no such object"


class DeliveredNodeList:
    """The rows of one object. Each method returns the events for `Membership.step`."""

    def __init__(self, source: str) -> None:
        """`source`: the name of the source in `MembershipRules`."""
        self.source = source
        self.nodes: dict[str, Node] = {}  # by item name
        self.faults: dict[str, list[Fault]] = {}  # by name, of the items that are not valid rows

    def on_snapshot(self, now_ms: float, revision: int, items: Mapping[str, bytes]) -> list[Event]:
        """Replaces all items by those of the object at `revision`. `now_ms`: Unix time."""
        self.nodes, self.faults = {}, {}
        return self.on_delta(now_ms, revision, items, ())

    def on_delta(
        self, now_ms: float, revision: int, items: Mapping[str, bytes], removed: Iterable[str]
    ) -> list[Event]:
        """Applies the items set and removed since the previous revision."""
        for name in removed:
            self.nodes.pop(name, None)
            self.faults.pop(name, None)
        for name, value in items.items():
            self.nodes.pop(name, None)
            self.faults.pop(name, None)
            parsed = parse_item(name, value)
            if isinstance(parsed, Node):
                self.nodes[name] = parsed
            else:
                self.faults[name] = parsed
        faults = self._all_faults()
        if faults:
            return [InvalidVersionOffered(self.source, faults)]
        # Sorted, so that a revision gives the same version for any order of its items, also after a restart.
        nodes = tuple(self.nodes[name] for name in sorted(self.nodes))
        return [VersionOffered(Version(self.source, revision, nodes, now_ms))]

    def on_object_absent(self) -> list[Event]:
        """Handles that the object doesn't exist or was deleted. The last accepted version stays in effect."""
        self.nodes, self.faults = {}, {}
        return [SourceFailed(self.source, NO_OBJECT_REASON)]

    def _all_faults(self) -> tuple[Fault, ...]:
        """The faults of single items, and uids and addresses that several items have."""
        faults = [fault for name in sorted(self.faults) for fault in self.faults[name]]
        uids: dict[str, str] = {}
        endpoints: dict[tuple[str, str, int], str] = {}
        for name, node in self.nodes.items():
            if (first := uids.setdefault(node.uid, name)) != name:
                expected = f"each uid once; {item_path(first)} has it"
                faults.append(Fault(f"{item_path(name)}.uid", abbreviate(node.uid), expected))
            if (first := endpoints.setdefault((node.pool, node.host, node.port), name)) != name:
                expected = f"each address once in a pool; {item_path(first)} has it"
                faults.append(Fault(f"{item_path(name)}.address", abbreviate(node.address), expected))
        if (count := len(self.nodes) + len(self.faults)) > MAX_NODES:
            faults.append(Fault("item", f"{count} items", f"at most {MAX_NODES}"))
        if len(faults) > MAX_REPORTED_FAULTS:
            unreported = len(faults) - MAX_REPORTED_FAULTS
            faults = [*faults[:MAX_REPORTED_FAULTS], Fault("item", f"{unreported} more faults", "none")]
        return tuple(faults)


def item_path(name: str) -> str:
    return f"item[{abbreviate(name)}]"


def parse_item(name: str, value: bytes) -> Node | list[Fault]:
    """Returns the node of one item, or every fault of its row."""
    try:
        row = orjson.loads(value)
    except orjson.JSONDecodeError as error:
        return [Fault(item_path(name), abbreviate(value[:80]), f"JSON: {error}")]
    if isinstance(row, dict):
        row.setdefault("uid", name)
    nodes, faults = check_rows((row,))
    if faults:
        return [fault._replace(where=fault.where.replace("node[0]", item_path(name), 1)) for fault in faults]
    return nodes[0]
