"""The origin's input: a watched JSON file of objects, committed as a whole or not at all.

    {"service/answers": {"s1": {"address": "10.0.0.1:9001"}, "s2": {...}}, "route/a": {...}}

Each object is a map of items, and each item is any JSON value; it is delivered as canonical JSON (without
whitespace, keys sorted). A file that is unreadable, incomplete or invalid is logged in one line, and the last
valid content stays in force. Content that removes more than half of the objects, or of all items, is held
until the file also has `"$confirm": true`. The key confirms the first content that comes with it, and has to
be removed before it can confirm another.

A small record file beside it keeps the last revision and the counts, for that check after a restart.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from flintlatch.delivery.model import (
    MAX_ITEM_BYTES,
    MAX_ITEM_NAME_BYTES,
    MAX_NAME_BYTES,
    ObjectChange,
    Rules,
)
from flintlatch.delivery.store import Store, diff_object

POLL_INTERVAL_S = 0.25
MTIME_SETTLE_NS = 50_000_000  # a file modified this recently may change again without a new mtime
MAX_FILE_BYTES = 256 * 1024 * 1024  # half of what a relay stages of one batch
MAX_RECORD_BYTES = 4096
CONFIRM_KEY = "$confirm"
WantedObjects = Mapping[str, Mapping[str, bytes]]
FileIdentity = tuple[int, int, int]  # mtime in ns, size, inode


class InvalidFile(Exception):
    """Content that cannot be used: what was found, and what was expected."""


def describe_type(value: object) -> str:
    return {dict: "a table", list: "a list", str: "text", type(None): "null"}.get(type(value), repr(value))


def canonical_json(value: object) -> bytes:
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def _parse_items(name: str, raw: object) -> dict[str, bytes]:
    if not isinstance(raw, dict):
        raise InvalidFile(f"{name!r}: found {describe_type(raw)}, expected a table of items")
    if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
        raise InvalidFile(
            f"{name[:40]!r}: a name of {len(name.encode())} bytes, expected 1 to {MAX_NAME_BYTES}"
        )
    items, size = {}, 0
    for item, value in raw.items():
        data = canonical_json(value)
        if not 0 < len(item.encode()) <= MAX_ITEM_NAME_BYTES:
            raise InvalidFile(f"{name!r}: an item's name of {len(item.encode())} bytes, expected 1 to 200")
        if len(data) > MAX_ITEM_BYTES:
            raise InvalidFile(
                f"{name!r}: item {item!r} of {len(data)} bytes, expected at most {MAX_ITEM_BYTES}"
            )
        size += len(item.encode()) + len(data)
        items[item] = data
    max_size = Rules().object_bytes
    if size > max_size:
        raise InvalidFile(f"{name!r}: {size} bytes, expected at most {max_size}")
    return items


def parse(data: bytes) -> tuple[dict[str, dict[str, bytes]], bool]:
    """The objects, and whether the file has the confirmation key. Raises InvalidFile."""
    try:
        raw: Any = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise InvalidFile(f"invalid or incomplete JSON: {error}") from None
    if not isinstance(raw, dict):
        raise InvalidFile(f"found {describe_type(raw)}, expected a table of objects")
    confirm = raw.pop(CONFIRM_KEY, False)
    if not isinstance(confirm, bool):
        raise InvalidFile(f"{CONFIRM_KEY}: found {describe_type(confirm)}, expected true")
    return {name: _parse_items(name, items) for name, items in raw.items()}, confirm


@dataclass(frozen=True, slots=True)
class CommitRecord:
    """The last commit of this process or of an earlier one; zeros if there was none."""

    revision: int = 0
    objects: int = 0
    items: int = 0


def file_identity(path: str) -> FileIdentity:
    """Raises OSError."""
    status = os.stat(path)
    return status.st_mtime_ns, status.st_size, status.st_ino


def read_bounded(path: str, max_bytes: int) -> bytes:
    """Raises OSError, and InvalidFile if the file is larger."""
    with open(path, "rb") as file:
        data = file.read(max_bytes + 1)
    if len(data) > max_bytes:
        raise InvalidFile(f"more than {max_bytes} bytes")
    return data


def read_record(path: str) -> CommitRecord:
    """Raises OSError and InvalidFile."""
    try:
        raw = orjson.loads(read_bounded(path, MAX_RECORD_BYTES))
        record = CommitRecord(raw["revision"], raw["objects"], raw["items"])
    except (orjson.JSONDecodeError, TypeError, KeyError):
        raise InvalidFile("not a record of a commit") from None
    if any(
        type(n) is not int or not 0 <= n < 1 << 62 for n in (record.revision, record.objects, record.items)
    ):
        raise InvalidFile("not a record of a commit")
    return record


class Source:
    """`on_log` gets lines for the log; the same line is not repeated in a row. `now_us` is the wall clock,
    from which revisions are derived so that they continue above those of earlier runs."""

    def __init__(
        self,
        path: str,
        state_path: str,
        store: Store,
        on_log: Callable[[str], None],
        now_us: Callable[[], int] = lambda: time.time_ns() // 1000,
    ) -> None:
        self.path, self.state_path, self.store = path, state_path, store
        self.on_log, self.now_us = on_log, now_us
        self.last_identity: FileIdentity | None = None  # of the content read last, if its mtime was settled
        self.last_logged = ""
        self.last_confirmed = False  # the last committed content had the confirmation key
        self.committed = False  # this process has committed
        self.record = CommitRecord()
        self.is_record_saved = True
        try:
            self.record = read_record(state_path)
        except FileNotFoundError:
            pass
        except (OSError, InvalidFile) as error:
            self._log(f"{state_path}: {error}; starting without this record")

    def _log(self, text: str) -> None:
        if text != self.last_logged:
            self.last_logged = text
            self.on_log(text)

    def load(self) -> tuple[WantedObjects, bool] | None:
        """Reads and parses the file if it has changed. Blocks, so it is meant for a worker thread."""
        try:
            identity = file_identity(self.path)
            if identity == self.last_identity:
                return None
            data = read_bounded(self.path, MAX_FILE_BYTES)
            settled = file_identity(self.path) == identity and time.time_ns() - identity[0] > MTIME_SETTLE_NS
            self.last_identity = identity if settled else None
            return parse(data)
        except OSError as error:
            self._log(f"{self.path}: {error.strerror or error}; keeping the last valid content")
        except InvalidFile as error:
            self._log(f"{self.path}: {error}; keeping the last valid content")
        return None

    def commit(self, wanted: WantedObjects, confirm: bool) -> tuple[str, ...] | None:
        """Returns the names that changed, or None if the content was held or nothing changed."""
        objects, items = len(wanted), sum(map(len, wanted.values()))
        loss = self._large_loss(wanted)
        if loss and not (confirm and not self.last_confirmed):
            self._log(f'{self.path}: takes away {loss}; held until it has "{CONFIRM_KEY}": true')
            return None
        self.last_confirmed, self.last_logged = confirm, ""
        store = self.store
        changes = []
        for name, wanted_items in wanted.items():
            change = diff_object(held := store.objects.get(name), wanted_items, name)
            if held is None or change.items or change.removed:
                changes.append(change)
        changes += [ObjectChange(name, deleted=True) for name in store.objects if name not in wanted]
        if self.committed and not changes:
            return None
        revision = max(store.revision + 2, self.record.revision + 2, self.now_us())
        # The content of the revisions that others hold from an earlier run is not known.
        if not self.committed:
            store.restamp(revision - 1)
        names = store.commit(changes, revision)
        self.committed = True
        self._save_record(CommitRecord(revision, objects, items))
        return tuple(names)

    def _large_loss(self, wanted: WantedObjects) -> str:
        """Describes what is removed if it is more than half, else returns an empty string."""
        held = self.store.objects
        if self.committed:
            objects, items = len(held), sum(len(stored.items) for stored in held.values())
            lost_objects = sum(name not in wanted for name in held)
            lost_items = sum(
                sum(i not in wanted.get(name, {}) for i in stored.items) for name, stored in held.items()
            )
        else:  # after a restart only the counts are known
            objects, items = self.record.objects, self.record.items
            lost_objects, lost_items = objects - len(wanted), items - sum(map(len, wanted.values()))
        if 2 * lost_objects > objects:
            return f"{lost_objects} of {objects} objects"
        return f"{lost_items} of {items} items" if 2 * lost_items > items else ""

    def _save_record(self, record: CommitRecord) -> None:
        self.record, self.is_record_saved = record, False
        self.retry_save()

    def retry_save(self) -> None:
        """Saves the record of the last commit if that has failed so far."""
        if self.is_record_saved:
            return
        record = self.record
        temporary_path = f"{self.state_path}.new"
        row = {"revision": record.revision, "objects": record.objects, "items": record.items}
        try:
            with open(temporary_path, "wb") as file:
                file.write(orjson.dumps(row) + b"\n")
            os.replace(temporary_path, self.state_path)
            self.is_record_saved = True
        except OSError as error:
            self._log(f"{self.state_path}: {error.strerror or error}; the record was not saved")
