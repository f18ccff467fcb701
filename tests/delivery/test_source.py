"""The origin's file: what of it is committed, what is held, and which revision a new life begins with."""

from __future__ import annotations

import json
import os
import time
from pathlib import Path
from typing import Any

import pytest

from flintlatch.delivery import source as module
from flintlatch.delivery.source import CONFIRM_KEY, InvalidFile, Source, parse
from flintlatch.delivery.store import Store


class Origin:
    """A life of it, whose wall clock the test sets."""

    def __init__(self, folder: Path, now_us: int = 1000) -> None:
        self.path, self.store = folder / "objects.json", Store()
        self.told: list[str] = []
        self.now_us = now_us
        self.source = Source(
            str(self.path), str(folder / "kept"), self.store, self.told.append, lambda: self.now_us
        )

    def put(self, content: Any) -> None:
        fresh = self.path.with_suffix(".new")
        fresh.write_text(content if isinstance(content, str) else json.dumps(content))
        past = time.time() - 10 + len(self.told) * 0.01
        os.utime(fresh, (past, past))
        fresh.rename(self.path)

    def look(self) -> tuple[str, ...] | None:
        found = self.source.load()
        return None if found is None else self.source.commit(*found)

    def holds(self) -> dict[str, dict[str, bytes]]:
        return {name: one.items for name, one in self.store.objects.items()}


def objects(count: int, items: int = 2) -> dict[str, Any]:
    return {f"o{n}": {f"i{k}": k for k in range(items)} for n in range(count)}


def test_a_change_is_committed_once_and_as_canonical_json(tmp_path: Path) -> None:
    origin = Origin(tmp_path)
    origin.put('{"b": {"y": {"z": [1, 2], "a": "é"}}, "a": {"x": 1}}')
    assert set(origin.look() or ()) == {"a", "b"}
    assert origin.holds() == {"a": {"x": b"1"}, "b": {"y": '{"a":"é","z":[1,2]}'.encode()}}
    assert origin.look() is None and origin.store.revision == 1000
    origin.put('{"a": {"x": 1}, "b": {"y": {"a": "é", "z": [1, 2]}}}')  # another order, nothing new
    assert origin.look() is None and origin.store.revision == 1000
    origin.put('{"a": {"x": 2}, "b": {"y": {"a": "é", "z": [1, 2]}}}')
    assert origin.look() == ("a",)
    assert origin.store.revision > 1000 and origin.told == []


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
def test_a_wrong_file_is_told_once_and_the_last_good_one_stands(
    tmp_path: Path, content: str, words: str
) -> None:
    origin = Origin(tmp_path)
    origin.put(objects(2))
    origin.look()
    held, revision = origin.holds(), origin.store.revision
    origin.put(content)
    assert [origin.look() for _ in range(3)] == [None] * 3
    (told,) = origin.told
    assert words in told and "keeping the last valid content" in told and "\n" not in told
    assert origin.holds() == held and origin.store.revision == revision
    origin.put(objects(3))
    assert origin.look() == ("o2",)


def test_a_missing_file_and_one_too_large_are_told_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    origin = Origin(tmp_path)
    assert origin.look() is None and origin.look() is None
    assert len(origin.told) == 1 and "No such file" in origin.told[0]
    monkeypatch.setattr(module, "MAX_FILE_BYTES", 100)
    origin.put(objects(50))
    assert origin.look() is None
    assert "more than 100 bytes" in origin.told[1]


def test_a_file_that_changes_as_it_is_read_is_read_again(tmp_path: Path) -> None:
    """Same size, same place on the disk and within one tick of its clock: identity alone can't tell."""
    origin = Origin(tmp_path)
    origin.path.write_text('{"a": {"x": 1}}')
    assert origin.look() == ("a",)
    identity = module.file_identity(str(origin.path))
    with origin.path.open("r+") as file:
        file.write('{"a": {"x": 2}}')
    os.utime(origin.path, ns=(identity[0], identity[0]))
    assert module.file_identity(str(origin.path)) == identity
    assert origin.look() == ("a",)


@pytest.mark.parametrize(
    ("less", "what"),
    [
        (objects(4), "6 of 10 objects"),
        ({name: {"i0": 0} for name in objects(10)}, "30 of 40 items"),
        ({}, "10 of 10 objects"),
    ],
)
def test_what_takes_away_over_half_is_held_until_it_is_confirmed_once(
    tmp_path: Path, less: dict[str, Any], what: str
) -> None:
    origin = Origin(tmp_path)
    origin.put(objects(10, 4))
    origin.look()
    held = origin.holds()
    origin.put(less)
    assert origin.look() is None and origin.look() is None
    assert origin.holds() == held
    (told,) = origin.told
    assert f"takes away {what}; held until" in told
    origin.put(less | {CONFIRM_KEY: True})
    assert origin.look() is not None
    assert set(origin.holds()) == set(less)
    origin.put(objects(10, 4) | {CONFIRM_KEY: True})  # the key left in the file confirms nothing more
    origin.look()
    origin.put(less | {CONFIRM_KEY: True})
    assert origin.look() is None and len(origin.told) == 2
    origin.put(objects(10, 4))
    origin.look()
    origin.put(less | {CONFIRM_KEY: True})
    assert origin.look() is not None


def test_just_half_is_taken(tmp_path: Path) -> None:
    origin = Origin(tmp_path)
    origin.put(objects(10))
    origin.look()
    origin.put(objects(5))
    assert origin.look() is not None and len(origin.holds()) == 5


def test_a_new_life_goes_on_above_the_one_before_also_where_the_clock_went_back(tmp_path: Path) -> None:
    before = Origin(tmp_path, now_us=5000)
    before.put(objects(4))
    before.look()
    before.put(objects(5))
    before.look()
    last = before.store.revision
    for now_us in (9000, 10):
        after = Origin(tmp_path, now_us)
        after.look()
        store = after.store
        assert store.revision > last
        # Whoever comes with a revision of a life before is to hear of all, also of what is gone.
        assert all(store.has_changed_since(name, last) for name in (*store.objects, "gone meanwhile"))
        assert store.deletion_floor > last
        last = store.revision


def test_a_file_emptied_while_the_origin_was_away_is_held_too(tmp_path: Path) -> None:
    before = Origin(tmp_path)
    before.put(objects(10))
    before.look()
    after = Origin(tmp_path, 2000)
    after.put(objects(3))
    assert after.look() is None and "takes away 7 of 10 objects" in after.told[0]
    assert not after.source.committed  # and it serves nobody meanwhile
    after.put(objects(3) | {CONFIRM_KEY: True})
    assert len(after.look() or ()) == 3


def test_what_was_kept_and_can_not_be_read_is_told_and_left(tmp_path: Path) -> None:
    for content in ("{", "[]", '{"revision": -1, "objects": 1, "items": 1}', '{"revision": 1}'):
        (tmp_path / "kept").write_text(content)
        origin = Origin(tmp_path)
        origin.put(objects(1))
        assert origin.look() == ("o0",)
        assert "starting without" in origin.told[0]
    (tmp_path / "kept").unlink()
    (tmp_path / "kept").mkdir()
    origin = Origin(tmp_path)
    assert origin.look() is not None and "was not saved" in origin.told[-1]


def test_parsing_says_what_it_found_in_a_line() -> None:
    with pytest.raises(InvalidFile, match="a list"):
        parse(b'{"a": []}')
