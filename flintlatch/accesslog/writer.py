"""Writes the records of the access log to a file.

A separate thread writes, so that a slow or failing disk doesn't delay requests. While the file can't be
written, records are queued. Records that don't fit into the queue are lost; they are counted, and a line with
their number is written as soon as possible. The file is reopened after a rotation, or after its folder was
removed and created again.
"""

from __future__ import annotations

import contextlib
import os
import threading
import time
from collections import deque
from typing import Any

import orjson

from flintlatch.accesslog.record import VERSION, Record, as_fields

MAX_QUEUED_RECORDS = 20_000  # about 10 MB; the records of some seconds of a busy instance
BATCH_RECORDS = 500  # per write, at most half a MiB, so that a rotation is noticed soon
WRITE_INTERVAL_S = 0.1
RETRY_DELAY_S = 1.0  # after a failure
FILE_MODE = 0o640  # not readable by all users, because the log may contain confidential data


class AccessLog:
    """The access log of one instance. `put` never blocks, so it may be called in the event loop. `lost`:
    number of records lost so far."""

    def __init__(self, path: str, fleet: str, instance: int, max_queued: int = MAX_QUEUED_RECORDS) -> None:
        self.path, self.fleet, self.instance, self.max_queued = path, fleet, instance, max_queued
        self.written = 0  # records
        # Lost records. Each counter is changed by one thread only: the first in `put`, the second by the
        # writer.
        self._overflow_count = self._dropped_count = 0
        self.failure = ""  # why the file can't be written; empty while it can
        self._queue: deque[Record] = deque()
        self._reported_lost = 0  # lost records that a line in the file reports
        self._fd = -1
        self._ends_within_line = False  # the last write was cut within a line
        self._retry_at = 0.0
        self._wake, self._stop = threading.Event(), threading.Event()
        self._thread = threading.Thread(target=self._run, name="access log", daemon=True)
        self._thread.start()

    @property
    def lost(self) -> int:
        return self._overflow_count + self._dropped_count

    def put(self, record: Record) -> None:
        if len(self._queue) >= self.max_queued:
            self._overflow_count += 1
            return
        self._queue.append(record)
        if len(self._queue) >= self.max_queued // 2:
            self._wake.set()

    def close(self, timeout_s: float = 1.0) -> bool:
        """Writes the queued records for at most `timeout_s` seconds; returns whether all were written."""
        self._stop.set()
        self._wake.set()
        self._thread.join(timeout_s)
        return not self._thread.is_alive() and not self._queue

    # Run by the writer thread

    def _run(self) -> None:
        while True:
            self._wake.wait(WRITE_INTERVAL_S)
            self._wake.clear()
            stopping = self._stop.is_set()
            while self._queue and (stopping or time.monotonic() >= self._retry_at):
                self._write_batch()
                if self.failure and stopping:
                    self._dropped_count += len(self._queue)
                    self._queue.clear()
            if self.lost > self._reported_lost and not self.failure:
                self._write([])
            if stopping:
                break
        self._close()

    def _write_batch(self) -> None:
        records = [self._queue.popleft() for _ in range(min(BATCH_RECORDS, len(self._queue)))]
        lines = [
            orjson.dumps(as_fields(record, self.fleet, self.instance), option=orjson.OPT_APPEND_NEWLINE)
            for record in records
        ]
        line_count = self._write(lines)
        self.written += line_count
        self._queue.extendleft(reversed(records[line_count:]))  # written by a later call

    def _write(self, lines: list[bytes]) -> int:
        """Writes the lines, after a line on lost records if there are any that no line reports. Returns the
        number of `lines` that were written completely."""
        lost = self.lost
        written_bytes, data, extra_lines = 0, b"", 0
        try:
            self._open()
            if lost > self._reported_lost:
                lines = [self._loss_line(lost - self._reported_lost), *lines]
                extra_lines = 1
            if self._ends_within_line:
                lines = [b"\n", *lines]  # ends the incomplete line, so that it spoils no other line
                extra_lines += 1
            data = b"".join(lines)
            while written_bytes < len(data):
                written_bytes += os.write(self._fd, data[written_bytes:])
        except OSError as error:
            self.failure = error.strerror or str(error)
            self._retry_at = time.monotonic() + RETRY_DELAY_S
            self._close()
        else:
            self.failure = ""
        complete_lines = data[:written_bytes].count(b"\n")
        if complete_lines >= extra_lines:
            self._reported_lost = lost
        if written_bytes:
            self._ends_within_line = data[written_bytes - 1 : written_bytes] != b"\n"
        return max(complete_lines - extra_lines, 0)

    def _loss_line(self, count: int) -> bytes:
        line: dict[str, Any] = {"v": VERSION, "t": round(time.time(), 4), "fleet": self.fleet}
        line |= {"instance": self.instance, "lost": count}
        return orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE)

    def _open(self) -> None:
        """Opens the file at the path, again if another file is there now."""
        if self._fd >= 0:
            opened = os.fstat(self._fd)
            try:
                at_path = os.stat(self.path)
            except FileNotFoundError:
                at_path = None
            if at_path is not None and (at_path.st_dev, at_path.st_ino) == (opened.st_dev, opened.st_ino):
                return
            self._close()
            self._ends_within_line = False
        self._fd = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)

    def _close(self) -> None:
        if self._fd >= 0:
            with contextlib.suppress(OSError):
                os.close(self._fd)
            self._fd = -1
