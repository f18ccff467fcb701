"""A batch on its way in: its objects wait here until the last has come and every one adds up.

Each object is made as its last part comes, so that a large batch's end is no long step.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from flintlatch.delivery.model import (
    ITEM_MOST,
    ITEM_NAME_MOST,
    MAX_NAME_BYTES,
    Begin,
    End,
    Kind,
    ObjectChange,
    ObjectPart,
    Rules,
)
from flintlatch.delivery.store import Store, StoredObject


class Torn(Exception):
    """The batch can't be taken: why, and the objects that need a snapshot."""

    def __init__(self, why: str, names: tuple[str, ...] = ()) -> None:
        super().__init__(why)
        self.why, self.names = why, names


@dataclass(slots=True)
class Gathered:
    """Of one object. `made` from `held` once its last part is here, or why that can't be."""

    kind: Kind
    items: dict[str, bytes]
    removed: list[str]
    version: int = 0
    count: int = 0
    checksum: int = 0
    size: int = 0
    held: StoredObject | None = None
    made: StoredObject | None = None
    change: ObjectChange | None = None
    torn: str = ""


@dataclass(frozen=True, slots=True)
class Taken:
    """What to put into the store, and what that changes for who uses it."""

    objects: list[tuple[str, StoredObject | None]]
    changes: tuple[ObjectChange, ...]


@dataclass(slots=True)
class Staging:
    begin: Begin
    rules: Rules
    store: Store
    gathered: dict[str, Gathered] = field(default_factory=dict)
    open_name: str = ""  # of an object of which a part is still to come
    parts: int = 0
    size: int = 0

    def add(self, part: ObjectPart, size: int) -> None:
        """Raises Torn."""
        name = part.name
        self.parts += 1
        self.size += size
        if self.size > self.rules.batch_bytes:
            raise Torn(f"a batch of over {self.rules.batch_bytes} bytes")
        if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
            raise Torn("an object's name out of bounds")
        if part.kind not in (Kind.SNAPSHOT, Kind.DELTA, Kind.GONE):
            raise Torn("a part of unknown kind", (name,))
        if self.begin.whole and part.kind != Kind.SNAPSHOT:  # then what it does not name is not gone
            raise Torn("a whole batch with less than whole objects")
        if self.open_name and name != self.open_name or not self.open_name and name in self.gathered:
            raise Torn("parts out of order", (name,))
        if any(
            len(v) > ITEM_MOST or not 0 < len(k.encode()) <= ITEM_NAME_MOST for k, v in part.items.items()
        ):
            raise Torn("an item over the size bound", (name,))
        one = self.gathered.get(name)
        if one is None:
            one = self.gathered[name] = Gathered(Kind(part.kind), {}, [])
        elif one.kind != part.kind:
            raise Torn("parts of two kinds", (name,))
        one.items.update(part.items)
        one.removed.extend(part.removed)
        one.version, one.count, one.checksum = part.version, part.count, part.checksum
        one.size += size
        if one.size > 2 * self.rules.object_bytes:
            raise Torn("an object over the size bound", (name,))
        self.open_name = name if part.more else ""
        if not part.more:
            self._make(name, one)

    def drop_unknown(self, followed: Container[str]) -> int:
        """What nobody here named, or names no more; how many."""
        unknown = [name for name in self.gathered if name not in followed]
        for name in unknown:
            del self.gathered[name]
        return len(unknown)

    def drop_left(self, names: Iterable[str]) -> None:
        """Deltas of objects that were not followed for a while, and of which nothing is held now."""
        for name in names:
            if name in self.gathered and self.gathered[name].kind is Kind.DELTA:
                del self.gathered[name]

    def end(self, end: End) -> Taken:
        """Raises Torn. Nothing of the store is changed here."""
        if end.to != self.begin.to or end.parts != self.parts or self.open_name:
            raise Torn("a batch without all of its parts")
        objects: list[tuple[str, StoredObject | None]] = []
        changes: list[ObjectChange] = []
        torn: dict[str, str] = {}
        for name, one in sorted(self.gathered.items(), key=lambda pair: pair[1].version):
            if one.held is not self.store.objects.get(name):  # left, and followed anew, since it was made
                self._make(name, one)
            if one.torn:
                torn[name] = one.torn
                continue
            objects.append((name, one.made))
            if one.change is not None:
                changes.append(one.change)
        if torn:
            raise Torn(next(iter(torn.values())), tuple(torn))
        if self.begin.whole:
            for name, held in self.store.objects.items():
                if name not in self.gathered:
                    objects.append((name, None))
                    changes.append(ObjectChange(name, removed=tuple(held.items), deleted=True))
        return Taken(objects, tuple(changes))

    def _make(self, name: str, one: Gathered) -> None:
        held = one.held = self.store.objects.get(name)
        one.torn, one.made, one.change = "", None, None
        if one.kind is Kind.GONE:
            if held is not None:
                one.change = ObjectChange(name, removed=tuple(held.items), deleted=True)
            return
        try:
            one.made = self._made(held, one)
        except Torn as fault:
            one.torn = fault.why
            return
        change = compare(held, one, name)
        if change.items or change.removed or held is None:
            one.change = change

    def _made(self, held: StoredObject | None, one: Gathered) -> StoredObject:
        version = min(one.version, self.begin.to)
        if one.kind is Kind.SNAPSHOT:
            made = StoredObject(version, version).changed(ObjectChange("", one.items), version)
        elif held is None:
            raise Torn("a delta of an unknown object")
        else:
            # Also what is as it was gets the stamp: meanwhile it may have been otherwise elsewhere.
            change = ObjectChange("", one.items, tuple(one.removed))
            made = held.changed(change, max(version, held.version))
        if len(made.items) != one.count or made.checksum != one.checksum:
            raise Torn("an object that does not add up")
        if made.size > self.rules.object_bytes:
            raise Torn("an object over the size bound")
        return made


def compare(held: StoredObject | None, one: Gathered, name: str) -> ObjectChange:
    """What is new to who holds `held`."""
    before = held.items if held is not None else {}
    items = {k: v for k, v in one.items.items() if before.get(k) != v}
    if one.kind is Kind.SNAPSHOT:
        return ObjectChange(name, items, tuple(k for k in before if k not in one.items))
    return ObjectChange(name, items, tuple(k for k in one.removed if k in before and k not in one.items))
