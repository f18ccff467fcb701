"""Objects as of one revision: commits are atomic, and changes since an older revision can be queried.

Objects are immutable: a change replaces the object, so one that is being sent keeps its content. Each item
carries the stamp of the commit in which it arrived here, and removed items are kept as tombstones up to a
limit. A stamp is never lower than the revision in which the origin made the change, so the items with a stamp
above R include every change since R.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from flintlatch.delivery.model import (
    ITEM_OVERHEAD_BYTES,
    MAX_ITEM_BYTES,
    MAX_ITEM_NAME_BYTES,
    MAX_NAME_BYTES,
    MAX_OBJECT_BYTES,
    Kind,
    ObjectChange,
    ObjectPart,
    item_digest,
)

MIN_TOMBSTONE_LIMIT = 64  # an object keeps this many tombstones, or as many as it has items
MAX_DELETED_OBJECTS = 65_536  # names of deleted objects kept for subscribers of all objects
CHECKSUM_MASK = (1 << 64) - 1


class OutOfOrder(Exception):
    """A commit whose revision is not above the store's."""


class OutOfBounds(Exception):
    """A commit with an object that exceeds a limit, so every subscriber would refuse it."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """`stamps` and `tombstones` map item names to revisions, in ascending order of revision. Removals before
    `floor` are not known."""

    version: int
    floor: int
    items: dict[str, bytes] = field(default_factory=dict)
    stamps: dict[str, int] = field(default_factory=dict)
    tombstones: dict[str, int] = field(default_factory=dict)
    checksum: int = 0
    size: int = 0  # bytes of all item names and values

    def with_change(self, change: ObjectChange, revision: int) -> StoredObject:
        items, stamps, tombstones = self.items.copy(), self.stamps.copy(), self.tombstones.copy()
        checksum, size, floor = self.checksum, self.size, self.floor
        for name in change.removed:
            value = items.pop(name, None)
            if value is not None:
                checksum -= item_digest(name, value)
                size -= len(name.encode()) + len(value)
            stamps.pop(name, None)
            tombstones.pop(name, None)
            tombstones[name] = revision
        for name, value in change.items.items():
            before = items.get(name)
            if before is not None:
                checksum -= item_digest(name, before)
                size -= len(name.encode()) + len(before)
            items[name] = value
            checksum += item_digest(name, value)
            size += len(name.encode()) + len(value)
            stamps.pop(name, None)
            stamps[name] = revision
            tombstones.pop(name, None)
        max_tombstones = max(MIN_TOMBSTONE_LIMIT, len(items))
        while len(tombstones) > max_tombstones:
            oldest = next(iter(tombstones))
            floor = max(floor, tombstones.pop(oldest))
        return StoredObject(revision, floor, items, stamps, tombstones, checksum & CHECKSUM_MASK, size)

    def restamped(self, revision: int) -> StoredObject:
        """A copy in which every item has this stamp. That is always safe: subscribers only receive more than
        they need."""
        stamps = dict.fromkeys(self.items, revision)
        return StoredObject(revision, revision, self.items, stamps, {}, self.checksum, self.size)

    def changes_since(self, revision: int) -> ObjectChange | None:
        """The changes after `revision`, or None if the removals since then are not all known."""
        if revision < self.floor:
            return None
        items: dict[str, bytes] = {}
        for name in reversed(self.stamps):
            if self.stamps[name] <= revision:
                break
            items[name] = self.items[name]
        removed = []
        for name in reversed(self.tombstones):
            if self.tombstones[name] <= revision:
                break
            removed.append(name)
        return ObjectChange("", items, tuple(removed))

    def to_parts(self, name: str, since: int | None, part_bytes: int) -> Iterator[ObjectPart]:
        """The object in parts, for a subscriber that holds it as of `since`, or (None) does not hold it."""
        change = None if since is None else self.changes_since(since)
        kind = Kind.SNAPSHOT if change is None else Kind.DELTA
        remaining = self.items if change is None else change.items
        removed = () if change is None else change.removed
        item_count, checksum = len(self.items), self.checksum
        part_items: dict[str, bytes] = {}
        part_removed: list[str] = []
        size = 0
        for item in removed:  # removals are split too: every part has to fit into one credit window
            item_size = len(item.encode()) + 5
            if part_removed and size + item_size > part_bytes:
                yield ObjectPart(
                    name, kind, self.version, {}, tuple(part_removed), item_count, checksum, True
                )
                size, part_removed = 0, []
            part_removed.append(item)
            size += item_size
        for item, value in remaining.items():
            item_size = len(item.encode()) + len(value) + ITEM_OVERHEAD_BYTES
            if (part_items or part_removed) and size + item_size > part_bytes:
                yield ObjectPart(
                    name, kind, self.version, part_items, tuple(part_removed), item_count, checksum, True
                )
                part_items, size, part_removed = {}, 0, []
            part_items[item] = value
            size += item_size
        yield ObjectPart(
            name, kind, self.version, part_items, tuple(part_removed), item_count, checksum, False
        )


def diff_object(held: StoredObject | None, items: Mapping[str, bytes], name: str) -> ObjectChange:
    """The change that turns `held` into an object with exactly these items."""
    if held is None:
        return ObjectChange(name, dict(items))
    changed = {k: v for k, v in items.items() if held.items.get(k) != v}
    return ObjectChange(name, changed, tuple(k for k in held.items if k not in items))


def check_bounds(change: ObjectChange, result: StoredObject | None) -> None:
    """Raises OutOfBounds if a name, an item or the resulting object exceeds its limit."""
    if not 0 < len(change.name.encode()) <= MAX_NAME_BYTES:
        raise OutOfBounds(
            f"object name has {len(change.name.encode())} bytes, expected 1 to {MAX_NAME_BYTES}"
        )
    for name, value in change.items.items():
        if not 0 < len(name.encode()) <= MAX_ITEM_NAME_BYTES:
            raise OutOfBounds(
                f"{change.name}: item name has {len(name.encode())} bytes, "
                f"expected 1 to {MAX_ITEM_NAME_BYTES}"
            )
        if len(value) > MAX_ITEM_BYTES:
            raise OutOfBounds(
                f"{change.name}: item {name} has {len(value)} bytes, expected at most {MAX_ITEM_BYTES}"
            )
    if result is not None and result.size > MAX_OBJECT_BYTES:
        raise OutOfBounds(f"{change.name} has {result.size} bytes, expected at most {MAX_OBJECT_BYTES}")


class Store:
    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, StoredObject] = {}  # in ascending order of version
        self.deleted: dict[str, int] = {}  # name to revision of deletion, in ascending order of revision
        self.deletion_floor = 0  # deletions before this revision may be forgotten
        self.latest_version = 0  # highest version of all objects

    def commit(self, changes: Iterable[ObjectChange], revision: int = 0) -> list[str]:
        """Applies all changes atomically, as `revision` or the next one, and returns the changed names.
        Raises OutOfOrder and OutOfBounds, in which case nothing is changed."""
        target = revision or self.revision + 1
        if target <= self.revision:
            raise OutOfOrder(f"commit of revision {target}, expected one above {self.revision}")
        new: dict[str, StoredObject | None] = {}
        for change in changes:
            held = new.get(change.name, self.objects.get(change.name))
            new[change.name] = (
                None if change.deleted else (held or StoredObject(target, target)).with_change(change, target)
            )
            check_bounds(change, new[change.name])
        return self.put(new.items(), target)

    def replace(self, wanted: Mapping[str, Mapping[str, bytes]]) -> list[str]:
        """Commits the difference to these objects, if there is any, and returns the changed names."""
        changes = []
        for name, items in wanted.items():
            change = diff_object(held := self.objects.get(name), items, name)
            if held is None or change.items or change.removed:
                changes.append(change)
        changes += [ObjectChange(name, deleted=True) for name in self.objects if name not in wanted]
        return self.commit(changes) if changes else []

    def put(self, new: Iterable[tuple[str, StoredObject | None]], revision: int) -> list[str]:
        """Replaces objects by new versions built from them, None for a deleted one."""
        names = []
        for name, stored in new:
            if stored is not None:
                if stored.version < self.latest_version:  # keeps `objects` in ascending order of version
                    stored = stored.restamped(self.latest_version)
                self.latest_version = stored.version
                self.objects.pop(name, None)
                self.objects[name] = stored
                self.deleted.pop(name, None)
            else:
                # Recorded even for an object never held here: a subscriber that holds it may come with it.
                self.objects.pop(name, None)
                self.deleted.pop(name, None)
                self.deleted[name] = revision
                if len(self.deleted) > MAX_DELETED_OBJECTS:
                    self.deletion_floor = max(self.deletion_floor, self.deleted.pop(next(iter(self.deleted))))
            names.append(name)
        self.revision = max(self.revision, revision)
        return names

    def forget(self, name: str) -> None:
        """Drops an object that is no longer followed, without recording a deletion."""
        self.objects.pop(name, None)
        self.deleted.pop(name, None)

    def restamp(self, revision: int) -> None:
        """Moves the whole store to a revision above one of unknown content that others hold, so that they
        receive everything again."""
        for name, stored in self.objects.items():
            self.objects[name] = stored.restamped(revision)
        self.deleted.clear()
        self.deletion_floor = self.revision = self.latest_version = revision

    def names_changed_since(self, revision: int) -> list[str]:
        """Names of the objects that were changed or deleted after `revision`."""
        names = []
        for name in reversed(self.objects):
            if self.objects[name].version <= revision:
                break
            names.append(name)
        for name in reversed(self.deleted):
            if self.deleted[name] <= revision:
                break
            names.append(name)
        return names

    def has_changed_since(self, name: str, revision: int) -> bool:
        """Whether a holder of the object as of `revision` lacks a change or its deletion."""
        stored = self.objects.get(name)
        if stored is not None:
            return stored.version > revision
        return self.deleted.get(name, self.deletion_floor) > revision
