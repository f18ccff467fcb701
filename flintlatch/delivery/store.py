"""Objects at one revision: commits are taken whole, and what has changed since an older one is known.

Each object is replaced, never altered: who is being sent one keeps what it was. Each item has the stamp of
the commit with which it came here; what was taken away is kept as a tombstone within a bound. A stamp is
never below the revision in which the origin made the change, so "all with a stamp above R" holds all that
has changed since R.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from flintlatch.delivery.model import (
    ITEM_MOST,
    ITEM_NAME_MOST,
    ITEM_OVERHEAD_BYTES,
    MAX_NAME_BYTES,
    OBJECT_MOST,
    Kind,
    ObjectChange,
    ObjectPart,
    item_digest,
)

TOMBSTONES_LEAST = 64  # items taken away that an object remembers, or as many as it has items
GONE_MOST = 65_536  # objects that are no more, remembered for those who follow everything
MASK = (1 << 64) - 1


class OutOfOrder(Exception):
    """A commit that is not above the revision held."""


class OutOfBounds(Exception):
    """A commit with an object that every subscriber would refuse."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """`stamps` and `removed` are ordered by stamp. Nothing is known of changes before `floor`."""

    version: int
    floor: int
    items: dict[str, bytes] = field(default_factory=dict)
    stamps: dict[str, int] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)
    checksum: int = 0
    size: int = 0  # bytes of names and values

    def changed(self, change: ObjectChange, revision: int) -> StoredObject:
        items, stamps, removed = self.items.copy(), self.stamps.copy(), self.removed.copy()
        checksum, size, floor = self.checksum, self.size, self.floor
        for name in change.removed:
            value = items.pop(name, None)
            if value is not None:
                checksum -= item_digest(name, value)
                size -= len(name.encode()) + len(value)
            stamps.pop(name, None)
            removed.pop(name, None)
            removed[name] = revision
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
            removed.pop(name, None)
        most = max(TOMBSTONES_LEAST, len(items))
        while len(removed) > most:
            oldest = next(iter(removed))
            floor = max(floor, removed.pop(oldest))
        return StoredObject(revision, floor, items, stamps, removed, checksum & MASK, size)

    def stamped(self, revision: int) -> StoredObject:
        """As if all of it had come with that revision: safe wherever less is known."""
        stamps = dict.fromkeys(self.items, revision)
        return StoredObject(revision, revision, self.items, stamps, {}, self.checksum, self.size)

    def since(self, revision: int) -> ObjectChange | None:
        """What has changed after `revision`; None where that is not known any more."""
        if revision < self.floor:
            return None
        items: dict[str, bytes] = {}
        for name in reversed(self.stamps):
            if self.stamps[name] <= revision:
                break
            items[name] = self.items[name]
        removed = []
        for name in reversed(self.removed):
            if self.removed[name] <= revision:
                break
            removed.append(name)
        return ObjectChange("", items, tuple(removed))

    def parts(self, name: str, since: int | None, part_bytes: int) -> Iterator[ObjectPart]:
        """The object's parts for who holds it as of `since`, or for who holds nothing of it (None)."""
        change = None if since is None else self.since(since)
        kind = Kind.SNAPSHOT if change is None else Kind.DELTA
        left = self.items if change is None else change.items
        removed = () if change is None else change.removed
        count, checksum = len(self.items), self.checksum
        chunk: dict[str, bytes] = {}
        gone: list[str] = []
        size = 0
        for item in removed:  # a part must fit into the credit that can be had at once
            each = len(item.encode()) + 5
            if gone and size + each > part_bytes:
                yield ObjectPart(name, kind, self.version, {}, tuple(gone), count, checksum, True)
                size, gone = 0, []
            gone.append(item)
            size += each
        for item, value in left.items():
            each = len(item.encode()) + len(value) + ITEM_OVERHEAD_BYTES
            if (chunk or gone) and size + each > part_bytes:
                yield ObjectPart(name, kind, self.version, chunk, tuple(gone), count, checksum, True)
                chunk, size, gone = {}, 0, []
            chunk[item] = value
            size += each
        yield ObjectPart(name, kind, self.version, chunk, tuple(gone), count, checksum, False)


def difference(held: StoredObject | None, items: Mapping[str, bytes], name: str) -> ObjectChange:
    """What turns the one held into one that has just these items."""
    if held is None:
        return ObjectChange(name, dict(items))
    changed = {k: v for k, v in items.items() if held.items.get(k) != v}
    return ObjectChange(name, changed, tuple(k for k in held.items if k not in items))


def check(change: ObjectChange, made: StoredObject | None) -> None:
    """Raises OutOfBounds."""
    if not 0 < len(change.name.encode()) <= MAX_NAME_BYTES:
        raise OutOfBounds(f"an object's name of {len(change.name.encode())} bytes, at most {MAX_NAME_BYTES}")
    for name, value in change.items.items():
        if not 0 < len(name.encode()) <= ITEM_NAME_MOST:
            raise OutOfBounds(f"{change.name}: an item's name of {len(name.encode())} bytes")
        if len(value) > ITEM_MOST:
            raise OutOfBounds(f"{change.name}: {name} has {len(value)} bytes, at most {ITEM_MOST}")
    if made is not None and made.size > OBJECT_MOST:
        raise OutOfBounds(f"{change.name} has {made.size} bytes, at most {OBJECT_MOST}")


class Store:
    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, StoredObject] = {}  # ordered by version
        self.gone: dict[str, int] = {}  # ordered by stamp
        self.deletion_floor = 0  # of what was gone before nothing is known
        self.latest_version = 0  # the highest version of an object

    def commit(self, changes: Iterable[ObjectChange], revision: int = 0) -> list[str]:
        """All of it at once; the names that have changed. Without a revision it is the next one. Raises
        OutOfOrder and OutOfBounds, and then nothing is changed."""
        to = revision or self.revision + 1
        if to <= self.revision:
            raise OutOfOrder(f"a commit of revision {to} after {self.revision}")
        new: dict[str, StoredObject | None] = {}
        for change in changes:
            held = new.get(change.name, self.objects.get(change.name))
            new[change.name] = None if change.deleted else (held or StoredObject(to, to)).changed(change, to)
            check(change, new[change.name])
        return self.put(new.items(), to)

    def replace(self, wanted: Mapping[str, Mapping[str, bytes]]) -> list[str]:
        """As a commit of all that differs from these objects; no commit where nothing does."""
        changes = []
        for name, items in wanted.items():
            change = difference(held := self.objects.get(name), items, name)
            if held is None or change.items or change.removed:
                changes.append(change)
        changes += [ObjectChange(name, deleted=True) for name in self.objects if name not in wanted]
        return self.commit(changes) if changes else []

    def put(self, new: Iterable[tuple[str, StoredObject | None]], revision: int) -> list[str]:
        """Objects made from those held, None for one that is no more."""
        names = []
        for name, one in new:
            if one is not None:
                if one.version < self.latest_version:  # it would stand out of order
                    one = one.stamped(self.latest_version)
                self.latest_version = one.version
                self.objects.pop(name, None)
                self.objects[name] = one
                self.gone.pop(name, None)
            else:  # also where it was never held: others held it, and may ask here what became of it
                self.objects.pop(name, None)
                self.gone.pop(name, None)
                self.gone[name] = revision
                if len(self.gone) > GONE_MOST:
                    self.deletion_floor = max(self.deletion_floor, self.gone.pop(next(iter(self.gone))))
            names.append(name)
        self.revision = max(self.revision, revision)
        return names

    def forget(self, name: str) -> None:
        """One that is not followed any more: nothing is remembered of it."""
        self.objects.pop(name, None)
        self.gone.pop(name, None)

    def restamp(self, revision: int) -> None:
        """All of it at a revision above one that others hold of a time that we know nothing of."""
        for name, one in self.objects.items():
            self.objects[name] = one.stamped(revision)
        self.gone.clear()
        self.deletion_floor = self.revision = self.latest_version = revision

    def newer(self, revision: int) -> list[str]:
        """Objects that have changed, or are no more, after `revision`."""
        names = []
        for name in reversed(self.objects):
            if self.objects[name].version <= revision:
                break
            names.append(name)
        for name in reversed(self.gone):
            if self.gone[name] <= revision:
                break
            names.append(name)
        return names

    def changed_since(self, name: str, revision: int) -> bool:
        """Whether who holds what there was of it at `revision` lacks anything."""
        one = self.objects.get(name)
        if one is not None:
            return one.version > revision
        return self.gone.get(name, self.deletion_floor) > revision
