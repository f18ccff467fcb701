"""The access log's disk full, its folder gone, rotated under it, slow: who writes records never waits."""

from __future__ import annotations

import errno
import json
import os
import shutil
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from flintlatch.accesslog import VERSION, AccessLog, AttemptRecord, PathDetail, Record, as_fields, logged_path

LIMIT_S = 30.0
ATTEMPT = AttemptRecord("n1", "ok", 1.234, 5.678, True)
RECORD = Record(1e12, "r", "answer", "", "GET", "/a", 200, "answered", 7.0, 6.5, 0.0, 0, 2, (ATTEMPT,))


def until(good: Callable[[], bool]) -> None:
    end = time.monotonic() + LIMIT_S
    while not good():
        assert time.monotonic() < end, "it never came to be so"
        time.sleep(0.01)


def lines(path: Path) -> list[dict[str, Any]]:
    return [json.loads(line) for line in path.read_text().splitlines()]


def put(log: AccessLog, count: int, start: int = 0) -> float:
    """The longest that one of them took, in seconds."""
    longest = 0.0
    for number in range(start, start + count):
        begun = time.monotonic()
        log.put(RECORD._replace(id=str(number)))
        longest = max(longest, time.monotonic() - begun)
    return longest


def test_each_record_is_a_line_with_the_documented_fields(tmp_path: Path) -> None:
    path = tmp_path / "a.jsonl"
    log = AccessLog(str(path), "review", 3)
    put(log, 1200)
    assert log.close(LIMIT_S)
    told = lines(path)
    assert [line["id"] for line in told] == [str(n) for n in range(1200)]
    assert (log.written, log.lost) == (1200, 0)
    page = (Path(__file__).parents[2] / "docs" / "operating" / "accesslog.md").read_text()
    for name in [*told[0], *told[0]["attempts"][0], "lost"]:
        assert f"| `{name}` |" in page, f"{name} is not documented"
    assert (told[0]["v"], told[0]["fleet"], told[0]["instance"]) == (VERSION, "review", 3)


def test_a_full_disk_loses_what_the_queue_can_not_hold_and_says_how_much(tmp_path: Path) -> None:
    path, real = tmp_path / "a.jsonl", tmp_path / "real"
    path.symlink_to("/dev/full")  # each write there ends with ENOSPC
    log = AccessLog(str(path), "f", 0, max_queued=20)
    put(log, 1)
    until(lambda: bool(log.failure))
    assert log.failure == os.strerror(errno.ENOSPC)
    put(log, 49, 1)
    assert log.lost >= 30
    path.unlink()
    path.symlink_to(real)
    until(lambda: real.exists() and bool(real.read_text()))
    assert log.close(LIMIT_S) and not log.failure
    told = lines(real)
    assert sum(line.get("lost", 0) for line in told) == log.lost
    assert [line["id"] for line in told if "id" in line] == [str(n) for n in range(50 - log.lost)]


def test_a_write_that_ends_within_a_line_spoils_that_one_alone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path, real_write, cut = tmp_path / "a.jsonl", os.write, [700]

    def write(fd: int, data: bytes) -> int:
        """The disk is full after so many bytes, once."""
        if cut == [0]:
            cut.clear()
            raise OSError(errno.ENOSPC, "full")
        if cut:
            data = data[: cut[0]]
            cut[0] -= len(data)
        return real_write(fd, data)

    monkeypatch.setattr(os, "write", write)
    log = AccessLog(str(path), "f", 0)
    put(log, 10)
    until(lambda: log.written == 10)
    assert log.close(LIMIT_S) and log.lost == 0
    told, spoilt = [], 0
    for line in path.read_bytes().splitlines():
        try:
            told.append(json.loads(line)["id"])
        except ValueError:
            spoilt += 1
    assert told == [str(n) for n in range(10)] and spoilt == 1


def test_a_folder_that_goes_is_no_end_of_it(tmp_path: Path) -> None:
    folder = tmp_path / "logs"
    folder.mkdir()
    log = AccessLog(str(folder / "a.jsonl"), "f", 0)
    put(log, 3)
    until(lambda: log.written == 3)
    shutil.rmtree(folder)
    put(log, 4, 3)
    until(lambda: bool(log.failure))
    folder.mkdir()
    until(lambda: log.written == 7)
    assert log.close(LIMIT_S) and not log.lost
    assert [line["id"] for line in lines(folder / "a.jsonl")] == ["3", "4", "5", "6"]


def test_stopped_while_it_can_not_write_it_ends_and_counts_all_as_lost(tmp_path: Path) -> None:
    log = AccessLog(str(tmp_path / "none" / "a.jsonl"), "f", 0)
    put(log, 1700)
    assert log.close(LIMIT_S) and (log.written, log.lost) == (0, 1700)


def test_rotated_under_it_nothing_is_lost(tmp_path: Path) -> None:
    path = tmp_path / "a.jsonl"
    log = AccessLog(str(path), "f", 0)
    for turn in range(5):
        put(log, 100, 100 * turn)
        until(lambda turn=turn: log.written == 100 * (turn + 1))  # type: ignore[misc]
        path.rename(tmp_path / f"a.{turn}")
    put(log, 1, 500)
    assert log.close(LIMIT_S)
    names = [str(line["id"]) for turn in range(5) for line in lines(tmp_path / f"a.{turn}")]
    assert names + [line["id"] for line in lines(path)] == [str(n) for n in range(501)] and not log.lost


def test_a_disk_that_takes_seconds_holds_up_nobody(tmp_path: Path) -> None:
    path = tmp_path / "a.jsonl"
    os.mkfifo(path)  # opening it to write waits until somebody reads
    log = AccessLog(str(path), "f", 0, max_queued=1000)
    assert put(log, 5000) < 1.0
    assert log.lost >= 3500  # beyond the queue and the batch in hand
    assert not log.close(0.2)
    reader = os.open(path, os.O_RDONLY)
    got = b""
    while data := os.read(reader, 65536):
        got += data
    os.close(reader)
    told = [json.loads(line) for line in got.splitlines()]
    assert sum("id" in line for line in told) + log.lost == 5000
    assert sum(line.get("lost", 0) for line in told) == log.lost


@given(st.text(max_size=50), st.text(max_size=50), st.floats(0, 1e9), st.integers(0, 1 << 60))
def test_any_text_makes_one_line(text: str, path: str, total: float, count: int) -> None:
    name, shown = (
        text.encode("utf-8", "replace").decode(),
        logged_path(path.encode("utf-8", "replace"), PathDetail.FULL),
    )
    record = RECORD._replace(id=name, path=shown)
    line = orjson.dumps(as_fields(record._replace(total_ms=total, up_bytes=count), "f", 0))
    assert b"\n" not in line and json.loads(line)["up_bytes"] == count


def test_a_path_is_told_as_far_as_the_settings_allow() -> None:
    target = b"/a/b?token=secret"
    assert [logged_path(target, paths) for paths in PathDetail] == ["", "/a/b", "/a/b?token=secret"]
    assert len(logged_path(b"/" + b"a" * 9000, PathDetail.PATH)) == 2048
