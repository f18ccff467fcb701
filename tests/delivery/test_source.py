"""The origin's file: what is committed, what is held for confirmation, and the revisions after a restart."""

from __future__ import annotations

import json
import os
import time
from pathlib import Path
from typing import Any

import pytest

from flintlatch.delivery import source as module
from flintlatch.delivery.source import CONFIRM_KEY, InvalidFile, Source, parse, read_record
from flintlatch.delivery.store import Store


class Origin:
    """One run of the origin's source, with a wall clock that the test sets."""

    def __init__(self, folder: Path, now_us: int = 1000) -> None:
        self.path, self.store = folder / "objects.json", Store()
        self.log_lines: list[str] = []
        self.now_us = now_us
        self.source = Source(
            str(self.path), str(folder / "kept"), self.store, self.log_lines.append, lambda: self.now_us
        )

    def put(self, content: Any) -> None:
        fresh = self.path.with_suffix(".new")
        fresh.write_text(content if isinstance(content, str) else json.dumps(content))
        past = time.time() - 10 + len(self.log_lines) * 0.01
        os.utime(fresh, (past, past))
        fresh.rename(self.path)

    def poll(self) -> tuple[str, ...] | None:
        loaded = self.source.load()
        return None if loaded is None else self.source.commit(*loaded)

    def state(self) -> dict[str, dict[str, bytes]]:
        return {name: one.items for name, one in self.store.objects.items()}


def objects(count: int, items: int = 2) -> dict[str, Any]:
    return {f"o{n}": {f"i{k}": k for k in range(items)} for n in range(count)}


def test_a_change_is_committed_once_as_canonical_json(tmp_path: Path) -> None:
    origin = Origin(tmp_path)
    origin.put('{"b": {"y": {"z": [1, 2], "a": "é"}}, "a": {"x": 1}}')
    assert set(origin.poll() or ()) == {"a", "b"}
    assert origin.state() == {"a": {"x": b"1"}, "b": {"y": '{"a":"é","z":[1,2]}'.encode()}}
    assert origin.poll() is None and origin.store.revision == 1000
    origin.put('{"a": {"x": 1}, "b": {"y": {"a": "é", "z": [1, 2]}}}')  # only the order differs
    assert origin.poll() is None and origin.store.revision == 1000
    origin.put('{"a": {"x": 2}, "b": {"y": {"a": "é", "z": [1, 2]}}}')
    assert origin.poll() == ("a",)
    assert origin.store.revision > 1000 and origin.log_lines == []


@pytest.mark.parametrize(
    ("content", "words"),
    [
        ('{"o0": {"i0": 1}, "o1": {"i', "incomplete"),
        ("", "incomplete"),
        ("[]", "found a list, expected a table of objects"),
        ('{"o0": 3}', "'o0': found 3, expected a table of items"),
        ('{"": {"x": 1}}', "a name of 0 bytes"),
        (json.dumps({"n" * 201: {"x": 1}}), "a name of 201 bytes"),
        (json.dumps({"o0": {"i" * 201: 1}}), "'o0': an item's name of 201 bytes"),
        (json.dumps({"o0": {"x": "v" * 16 * 1024}}), "item 'x' of 16386 bytes, expected at most 16384"),
        (json.dumps({"o0": {f"{n}": "v" * 16_000 for n in range(70)}}), "expected at most 1048576"),
        (json.dumps({CONFIRM_KEY: 1, "o0": {"x": 1}}), "$confirm: found 1, expected true"),
    ],
)
def test_an_invalid_file_is_logged_once_and_the_last_valid_content_is_kept(
    tmp_path: Path, content: str, words: str
) -> None:
    origin = Origin(tmp_path)
    origin.put(objects(2))
    origin.poll()
    held, revision = origin.state(), origin.store.revision
    origin.put(content)
    assert [origin.poll() for _ in range(3)] == [None] * 3
    (line,) = origin.log_lines
    assert words in line and "keeping the last valid content" in line and "\n" not in line
    assert origin.state() == held and origin.store.revision == revision
    origin.put(objects(3))
    assert origin.poll() == ("o2",)


def test_a_missing_file_and_a_too_large_one_are_logged_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    origin = Origin(tmp_path)
    assert origin.poll() is None and origin.poll() is None
    assert len(origin.log_lines) == 1 and "No such file" in origin.log_lines[0]
    monkeypatch.setattr(module, "MAX_FILE_BYTES", 100)
    origin.put(objects(50))
    assert origin.poll() is None
    assert "more than 100 bytes" in origin.log_lines[1]


def test_a_file_modified_within_the_mtime_resolution_is_read_again(tmp_path: Path) -> None:
    """Size, inode and mtime are the same, so the file's identity alone does not reveal the change."""
    origin = Origin(tmp_path)
    origin.path.write_text('{"a": {"x": 1}}')
    assert origin.poll() == ("a",)
    identity = module.file_identity(str(origin.path))
    with origin.path.open("r+") as file:
        file.write('{"a": {"x": 2}}')
    os.utime(origin.path, ns=(identity[0], identity[0]))
    assert module.file_identity(str(origin.path)) == identity
    assert origin.poll() == ("a",)


@pytest.mark.parametrize(
    ("reduced", "loss"),
    [
        (objects(4), "6 of 10 objects"),
        ({name: {"i0": 0} for name in objects(10)}, "30 of 40 items"),
        ({}, "10 of 10 objects"),
    ],
)
def test_removing_more_than_half_is_held_until_confirmed_each_time(
    tmp_path: Path, reduced: dict[str, Any], loss: str
) -> None:
    origin = Origin(tmp_path)
    origin.put(objects(10, 4))
    origin.poll()
    held = origin.state()
    origin.put(reduced)
    assert origin.poll() is None and origin.poll() is None
    assert origin.state() == held
    (line,) = origin.log_lines
    assert f"takes away {loss}; held until" in line
    origin.put(reduced | {CONFIRM_KEY: True})
    assert origin.poll() is not None
    assert set(origin.state()) == set(reduced)
    origin.put(objects(10, 4) | {CONFIRM_KEY: True})  # the key was not removed, so it confirms nothing more
    origin.poll()
    origin.put(reduced | {CONFIRM_KEY: True})
    assert origin.poll() is None and len(origin.log_lines) == 2
    origin.put(objects(10, 4))
    origin.poll()
    origin.put(reduced | {CONFIRM_KEY: True})
    assert origin.poll() is not None


def test_removing_exactly_half_is_committed(tmp_path: Path) -> None:
    origin = Origin(tmp_path)
    origin.put(objects(10))
    origin.poll()
    origin.put(objects(5))
    assert origin.poll() is not None and len(origin.state()) == 5


def test_a_restarted_origin_continues_above_its_last_revision_even_if_the_clock_went_back(
    tmp_path: Path,
) -> None:
    before = Origin(tmp_path, now_us=5000)
    before.put(objects(4))
    before.poll()
    before.put(objects(5))
    before.poll()
    last = before.store.revision
    for now_us in (9000, 10):
        after = Origin(tmp_path, now_us)
        after.poll()
        store = after.store
        assert store.revision > last
        # A subscriber with a revision of an earlier run has to receive everything, including deletions.
        assert all(store.has_changed_since(name, last) for name in (*store.objects, "deleted meanwhile"))
        assert store.deletion_floor > last
        last = store.revision


def test_objects_removed_while_the_origin_was_down_are_held_too(tmp_path: Path) -> None:
    before = Origin(tmp_path)
    before.put(objects(10))
    before.poll()
    after = Origin(tmp_path, 2000)
    after.put(objects(3))
    assert after.poll() is None and "takes away 7 of 10 objects" in after.log_lines[0]
    assert not after.source.committed  # until then it serves no subscriber
    after.put(objects(3) | {CONFIRM_KEY: True})
    assert len(after.poll() or ()) == 3


def test_an_unusable_commit_record_is_logged_and_ignored(tmp_path: Path) -> None:
    for content in ("{", "[]", '{"revision": -1, "objects": 1, "items": 1}', '{"revision": 1}'):
        (tmp_path / "kept").write_text(content)
        origin = Origin(tmp_path)
        origin.put(objects(1))
        assert origin.poll() == ("o0",)
        assert "starting without" in origin.log_lines[0]
    (tmp_path / "kept").unlink()
    (tmp_path / "kept").mkdir()
    origin = Origin(tmp_path)
    assert origin.poll() is not None and "was not saved" in origin.log_lines[-1]
    (tmp_path / "kept").rmdir()
    origin.source.retry_save()
    assert read_record(str(tmp_path / "kept")) == origin.source.record


def test_parse_errors_name_what_was_found() -> None:
    with pytest.raises(InvalidFile, match="a list"):
        parse(b'{"a": []}')
