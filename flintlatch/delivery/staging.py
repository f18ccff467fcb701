"""Assembles an incoming batch: its objects are staged until the last one is complete and all are verified.

Each object is built as soon as its last part arrives, so the end of a large batch is not one long step.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from flintlatch.delivery.model import (
    MAX_ITEM_BYTES,
    MAX_ITEM_NAME_BYTES,
    MAX_NAME_BYTES,
    Begin,
    End,
    Kind,
    ObjectChange,
    ObjectPart,
    Rules,
)
from flintlatch.delivery.store import Store, StoredObject


class BatchError(Exception):
    """A batch that cannot be applied: the reason, and the objects that need a snapshot."""

    def __init__(self, reason: str, names: tuple[str, ...] = ()) -> None:
        super().__init__(reason)
        self.reason, self.names = reason, names


@dataclass(slots=True)
class StagedObject:
    """The parts of one object so far. Once the last has arrived, `result` is built from `base`, or `error`
    tells why that is not possible."""

    kind: Kind
    items: dict[str, bytes]
    removed: list[str]
    version: int = 0
    item_count: int = 0
    checksum: int = 0
    size: int = 0
    base: StoredObject | None = None
    result: StoredObject | None = None
    change: ObjectChange | None = None
    error: str = ""


@dataclass(frozen=True, slots=True)
class CompletedBatch:
    """The objects to put into the store, and the resulting changes for its users."""

    objects: list[tuple[str, StoredObject | None]]
    changes: tuple[ObjectChange, ...]


@dataclass(slots=True)
class Staging:
    begin: Begin
    rules: Rules
    store: Store
    staged: dict[str, StagedObject] = field(default_factory=dict)
    incomplete_name: str = ""  # the object of which more parts are expected
    part_count: int = 0
    size: int = 0

    def add(self, part: ObjectPart, size: int) -> None:
        """Raises BatchError if the part is invalid or exceeds a limit."""
        name = part.name
        self.part_count += 1
        self.size += size
        if self.size > self.rules.batch_bytes:
            raise BatchError(f"a batch of over {self.rules.batch_bytes} bytes")
        if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
            raise BatchError("an object's name out of bounds")
        if part.kind not in (Kind.SNAPSHOT, Kind.DELTA, Kind.DELETED):
            raise BatchError("a part of unknown kind", (name,))
        # A full batch deletes the objects that it does not name, so it consists of snapshots only.
        if self.begin.full and part.kind != Kind.SNAPSHOT:
            raise BatchError("a whole batch with less than whole objects")
        if (
            self.incomplete_name
            and name != self.incomplete_name
            or not self.incomplete_name
            and name in self.staged
        ):
            raise BatchError("parts out of order", (name,))
        if any(
            len(v) > MAX_ITEM_BYTES or not 0 < len(k.encode()) <= MAX_ITEM_NAME_BYTES
            for k, v in part.items.items()
        ):
            raise BatchError("an item over the size bound", (name,))
        staged = self.staged.get(name)
        if staged is None:
            staged = self.staged[name] = StagedObject(Kind(part.kind), {}, [])
        elif staged.kind != part.kind:
            raise BatchError("parts of two kinds", (name,))
        staged.items.update(part.items)
        staged.removed.extend(part.removed)
        staged.version, staged.item_count, staged.checksum = part.version, part.item_count, part.checksum
        staged.size += size
        # Stops an oversized object early. The encoded parts also have removed names and framing; `_apply`
        # checks the size of the resulting object itself.
        if staged.size > 2 * self.rules.object_bytes:
            raise BatchError("an object over the size bound", (name,))
        self.incomplete_name = name if part.has_more else ""
        if not part.has_more:
            self._build(name, staged)

    def drop_unfollowed(self, followed: Container[str]) -> int:
        """Drops the objects that were never followed or are no longer followed. Returns their number."""
        unfollowed = [name for name in self.staged if name not in followed]
        for name in unfollowed:
            del self.staged[name]
        return len(unfollowed)

    def drop_stale_deltas(self, names: Iterable[str]) -> None:
        """Drops deltas of objects that were unfollowed and followed again, because the stored object that
        they apply to was dropped."""
        for name in names:
            if name in self.staged and self.staged[name].kind is Kind.DELTA:
                del self.staged[name]

    def finish(self, end: End) -> CompletedBatch:
        """Verifies the batch and returns its effect; the store is not changed. Raises BatchError."""
        if (
            end.target_revision != self.begin.target_revision
            or end.parts != self.part_count
            or self.incomplete_name
        ):
            raise BatchError("a batch without all of its parts")
        objects: list[tuple[str, StoredObject | None]] = []
        changes: list[ObjectChange] = []
        errors: dict[str, str] = {}
        for name, staged in sorted(self.staged.items(), key=lambda pair: pair[1].version):
            # If the object was unfollowed and followed again since its result was built, the result has
            # another base than the stored object and is built again.
            if staged.base is not self.store.objects.get(name):
                self._build(name, staged)
            if staged.error:
                errors[name] = staged.error
                continue
            objects.append((name, staged.result))
            if staged.change is not None:
                changes.append(staged.change)
        if errors:
            raise BatchError(next(iter(errors.values())), tuple(errors))
        if self.begin.full:
            for name, held in self.store.objects.items():
                if name not in self.staged:
                    objects.append((name, None))
                    changes.append(ObjectChange(name, removed=tuple(held.items), deleted=True))
        return CompletedBatch(objects, tuple(changes))

    def _build(self, name: str, staged: StagedObject) -> None:
        base = staged.base = self.store.objects.get(name)
        staged.error, staged.result, staged.change = "", None, None
        if staged.kind is Kind.DELETED:
            if base is not None:
                staged.change = ObjectChange(name, removed=tuple(base.items), deleted=True)
            return
        try:
            staged.result = self._apply(base, staged)
        except BatchError as error:
            staged.error = error.reason
            return
        change = effective_change(base, staged, name)
        if change.items or change.removed or base is None:
            staged.change = change

    def _apply(self, base: StoredObject | None, staged: StagedObject) -> StoredObject:
        """The object after the staged change, verified. Raises BatchError."""
        # A version above the revision of the batch is lowered to it.
        version = min(staged.version, self.begin.target_revision)
        if staged.kind is Kind.SNAPSHOT:
            result = StoredObject(version, version).with_change(ObjectChange("", staged.items), version)
        elif base is None:
            raise BatchError("a delta of an unknown object")
        else:
            # Items with an unchanged value get the new version too: a subscriber of a revision between the
            # two versions may hold another value.
            change = ObjectChange("", staged.items, tuple(staged.removed))
            result = base.with_change(change, max(version, base.version))
        if len(result.items) != staged.item_count or result.checksum != staged.checksum:
            raise BatchError("an object that does not add up")
        if result.size > self.rules.object_bytes:
            raise BatchError("an object over the size bound")
        return result


def effective_change(base: StoredObject | None, staged: StagedObject, name: str) -> ObjectChange:
    """The part of the staged change that differs from `base`."""
    before = base.items if base is not None else {}
    items = {k: v for k, v in staged.items.items() if before.get(k) != v}
    if staged.kind is Kind.SNAPSHOT:
        return ObjectChange(name, items, tuple(k for k in before if k not in staged.items))
    return ObjectChange(
        name, items, tuple(k for k in staged.removed if k in before and k not in staged.items)
    )
