"""The access log with a full or slow disk, a removed folder and rotation: `put` never blocks."""

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

TIMEOUT_S = 30.0
ATTEMPT = AttemptRecord("n1", "ok", 1.234, 5.678, True)
RECORD = Record(1e12, "r", "answer", "", "GET", "/a", 200, "answered", 7.0, 6.5, 0.0, 0, 2, (ATTEMPT,))


def wait_until(condition: Callable[[], bool]) -> None:
    end = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < end, "the condition did not become true in time"
        time.sleep(0.01)


def read_lines(path: Path) -> list[dict[str, Any]]:
    return [json.loads(line) for line in path.read_text().splitlines()]


def put_records(log: AccessLog, count: int, start: int = 0) -> float:
    """Writes `count` records and returns the longest duration of one `put` in seconds."""
    longest = 0.0
    for number in range(start, start + count):
        started = time.monotonic()
        log.put(RECORD._replace(id=str(number)))
        longest = max(longest, time.monotonic() - started)
    return longest


def test_record_is_a_line_with_the_documented_fields(tmp_path: Path) -> None:
    path = tmp_path / "a.jsonl"
    log = AccessLog(str(path), "review", 3)
    put_records(log, 1200)
    assert log.close(TIMEOUT_S)
    records = read_lines(path)
    assert [line["id"] for line in records] == [str(n) for n in range(1200)]
    assert (log.written, log.lost) == (1200, 0)
    page = (Path(__file__).parents[2] / "docs" / "operating" / "accesslog.md").read_text()
    for name in [*records[0], *records[0]["attempts"][0], "lost"]:
        assert f"| `{name}` |" in page, f"{name} is not documented"
    assert (records[0]["v"], records[0]["fleet"], records[0]["instance"]) == (VERSION, "review", 3)


def test_full_disk_loses_records_beyond_the_queue_and_reports_their_number(tmp_path: Path) -> None:
    path, real = tmp_path / "a.jsonl", tmp_path / "real"
    path.symlink_to("/dev/full")  # each write there ends with ENOSPC
    log = AccessLog(str(path), "f", 0, max_queued=20)
    put_records(log, 1)
    wait_until(lambda: bool(log.failure))
    assert log.failure == os.strerror(errno.ENOSPC)
    put_records(log, 49, 1)
    assert log.lost >= 30
    path.unlink()
    path.symlink_to(real)
    wait_until(lambda: real.exists() and bool(real.read_text()))
    assert log.close(TIMEOUT_S) and not log.failure
    records = read_lines(real)
    assert sum(line.get("lost", 0) for line in records) == log.lost
    assert [line["id"] for line in records if "id" in line] == [str(n) for n in range(50 - log.lost)]


def test_write_that_ends_within_a_line_spoils_only_this_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path, real_write, bytes_until_full = tmp_path / "a.jsonl", os.write, [700]

    def write(fd: int, data: bytes) -> int:
        """Raises ENOSPC once, after `bytes_until_full` bytes."""
        if bytes_until_full == [0]:
            bytes_until_full.clear()
            raise OSError(errno.ENOSPC, "full")
        if bytes_until_full:
            data = data[: bytes_until_full[0]]
            bytes_until_full[0] -= len(data)
        return real_write(fd, data)

    monkeypatch.setattr(os, "write", write)
    log = AccessLog(str(path), "f", 0)
    put_records(log, 10)
    wait_until(lambda: log.written == 10)
    assert log.close(TIMEOUT_S) and log.lost == 0
    records, incomplete = [], 0
    for line in path.read_bytes().splitlines():
        try:
            records.append(json.loads(line)["id"])
        except ValueError:
            incomplete += 1
    assert records == [str(n) for n in range(10)] and incomplete == 1


def test_removed_folder_only_delays_records(tmp_path: Path) -> None:
    folder = tmp_path / "logs"
    folder.mkdir()
    log = AccessLog(str(folder / "a.jsonl"), "f", 0)
    put_records(log, 3)
    wait_until(lambda: log.written == 3)
    shutil.rmtree(folder)
    put_records(log, 4, 3)
    wait_until(lambda: bool(log.failure))
    folder.mkdir()
    wait_until(lambda: log.written == 7)
    assert log.close(TIMEOUT_S) and not log.lost
    assert [line["id"] for line in read_lines(folder / "a.jsonl")] == ["3", "4", "5", "6"]


def test_close_counts_records_as_lost_if_the_file_can_not_be_written(tmp_path: Path) -> None:
    log = AccessLog(str(tmp_path / "none" / "a.jsonl"), "f", 0)
    put_records(log, 1700)
    assert log.close(TIMEOUT_S) and (log.written, log.lost) == (0, 1700)


def test_rotation_loses_no_record(tmp_path: Path) -> None:
    path = tmp_path / "a.jsonl"
    log = AccessLog(str(path), "f", 0)
    for turn in range(5):
        put_records(log, 100, 100 * turn)
        wait_until(lambda turn=turn: log.written == 100 * (turn + 1))  # type: ignore[misc]
        path.rename(tmp_path / f"a.{turn}")
    put_records(log, 1, 500)
    assert log.close(TIMEOUT_S)
    names = [str(line["id"]) for turn in range(5) for line in read_lines(tmp_path / f"a.{turn}")]
    assert names + [line["id"] for line in read_lines(path)] == [str(n) for n in range(501)] and not log.lost


def test_slow_disk_does_not_block_put(tmp_path: Path) -> None:
    path = tmp_path / "a.jsonl"
    os.mkfifo(path)  # opening it for writing blocks until a reader opens it
    log = AccessLog(str(path), "f", 0, max_queued=1000)
    assert put_records(log, 5000) < 1.0
    assert log.lost >= 3500  # more than the queue and the current batch hold
    assert not log.close(0.2)
    reader = os.open(path, os.O_RDONLY)
    got = b""
    while data := os.read(reader, 65536):
        got += data
    os.close(reader)
    records = [json.loads(line) for line in got.splitlines()]
    assert sum("id" in line for line in records) + log.lost == 5000
    assert sum(line.get("lost", 0) for line in records) == log.lost


@given(st.text(max_size=50), st.text(max_size=50), st.floats(0, 1e9), st.integers(0, 1 << 60))
def test_any_text_is_logged_in_one_line(text: str, path: str, total: float, count: int) -> None:
    name, shown = (
        text.encode("utf-8", "replace").decode(),
        logged_path(path.encode("utf-8", "replace"), PathDetail.FULL),
    )
    record = RECORD._replace(id=name, path=shown)
    line = orjson.dumps(as_fields(record._replace(total_ms=total, up_bytes=count), "f", 0))
    assert b"\n" not in line and json.loads(line)["up_bytes"] == count


def test_logged_path_by_setting() -> None:
    target = b"/a/b?token=secret"
    assert [logged_path(target, paths) for paths in PathDetail] == ["", "/a/b", "/a/b?token=secret"]
    assert len(logged_path(b"/" + b"a" * 9000, PathDetail.PATH)) == 2048
