"""A batch on its way in: its parts wait here until the last has come and every object adds up."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field

from flintlatch.delivery.model import (
    ITEM_MOST,
    ITEM_NAME_MOST,
    NAME_MOST,
    Begin,
    End,
    Kind,
    ObjectChange,
    PartOf,
    Rules,
)
from flintlatch.delivery.store import Object, Store


class Torn(Exception):
    """The batch can't be taken: why, and the objects that need a snapshot."""

    def __init__(self, why: str, names: tuple[str, ...] = ()) -> None:
        super().__init__(why)
        self.why, self.names = why, names


@dataclass(slots=True)
class Gathered:
    kind: Kind
    items: dict[str, bytes]
    removed: list[str]
    version: int = 0
    count: int = 0
    checksum: int = 0
    size: int = 0


@dataclass(frozen=True, slots=True)
class Taken:
    """What to put into the store, and what that changes for who uses it."""

    objects: list[tuple[str, Object | None]]
    changes: tuple[ObjectChange, ...]


@dataclass(slots=True)
class Staging:
    begin: Begin
    rules: Rules
    gathered: dict[str, Gathered] = field(default_factory=dict)
    open_name: str = ""  # of an object of which a part is still to come
    parts: int = 0
    size: int = 0

    def add(self, part: PartOf, size: int) -> None:
        """Raises Torn."""
        name = part.name
        self.parts += 1
        self.size += size
        if self.size > self.rules.batch_bytes:
            raise Torn(f"a batch of over {self.rules.batch_bytes} bytes")
        if not 0 < len(name.encode()) <= NAME_MOST:
            raise Torn("an object's name out of bounds")
        if part.kind not in (Kind.SNAPSHOT, Kind.DELTA, Kind.GONE):
            raise Torn("a part of unknown kind", (name,))
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

    def drop_unknown(self, followed: Container[str]) -> int:
        """What nobody here named, or names no more; how many."""
        unknown = [name for name in self.gathered if name not in followed]
        for name in unknown:
            del self.gathered[name]
        return len(unknown)

    def end(self, end: End, store: Store) -> Taken:
        """Raises Torn. Nothing of the store is changed here."""
        if end.to != self.begin.to or end.parts != self.parts or self.open_name:
            raise Torn("a batch without all of its parts")
        objects: list[tuple[str, Object | None]] = []
        changes: list[ObjectChange] = []
        torn: dict[str, str] = {}
        for name, one in sorted(self.gathered.items(), key=lambda pair: pair[1].version):
            held = store.objects.get(name)
            if one.kind is Kind.GONE:
                objects.append((name, None))
                if held is not None:
                    changes.append(ObjectChange(name, removed=tuple(held.items), gone=True))
                continue
            try:
                made = self._made(held, one)
            except Torn as fault:
                torn[name] = fault.why
                continue
            objects.append((name, made))
            change = compare(held, one, name)
            if change.items or change.removed or held is None:
                changes.append(change)
        if torn:
            raise Torn(next(iter(torn.values())), tuple(torn))
        if self.begin.whole:
            for name, held in store.objects.items():
                if name not in self.gathered:
                    objects.append((name, None))
                    changes.append(ObjectChange(name, removed=tuple(held.items), gone=True))
        return Taken(objects, tuple(changes))

    def _made(self, held: Object | None, one: Gathered) -> Object:
        version = min(one.version, self.begin.to)
        if one.kind is Kind.SNAPSHOT:
            made = Object(version, version).changed(ObjectChange("", one.items), version)
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


def compare(held: Object | None, one: Gathered, name: str) -> ObjectChange:
    """What is new to who holds `held`."""
    before = held.items if held is not None else {}
    items = {k: v for k, v in one.items.items() if before.get(k) != v}
    if one.kind is Kind.SNAPSHOT:
        return ObjectChange(name, items, tuple(k for k in before if k not in one.items))
    return ObjectChange(name, items, tuple(k for k in one.removed if k in before and k not in one.items))
