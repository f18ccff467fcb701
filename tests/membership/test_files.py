"""File sources: every way of writing a file, paths that are not regular files, and the saved version."""

from __future__ import annotations

import asyncio
import errno
import json
import os
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

import pytest

from flintlatch.membership import (
    Event,
    InvalidVersionOffered,
    Node,
    SourceFailed,
    Version,
    VersionOffered,
    files,
    write_document,
)
from tests.loopback import run


def file_content(number: int) -> bytes:
    rows = [{"uid": f"n{n}", "address": f"10.0.0.{n + 1}:{1000 + number}"} for n in range(1 + number % 7)]
    return json.dumps({"version": number, "count": len(rows), "nodes": rows}).encode()


class Watched:
    def __init__(self, path: Path) -> None:
        self.events: list[Event] = []
        self.event_received = asyncio.Event()
        self.source = files.FileSource("f", str(path), self._on_event)

    def _on_event(self, event: Event) -> None:
        self.events.append(event)
        self.event_received.set()

    async def until(self, matches: Callable[[Event], bool]) -> Event:
        """Waits for the first event that matches and drops it with all events before it."""
        while True:
            for index, event in enumerate(self.events):
                if matches(event):
                    del self.events[: index + 1]
                    return event
            self.event_received.clear()
            await self.event_received.wait()

    async def version(self, number: int) -> Version:
        event = await self.until(lambda e: isinstance(e, VersionOffered) and e.version.number == number)
        assert isinstance(event, VersionOffered)
        return event.version


@asynccontextmanager
async def watching(path: Path) -> AsyncIterator[Watched]:
    watched = Watched(path)
    try:
        yield watched
    finally:
        watched.source.close()


def write_by_rename(path: Path, data: bytes) -> None:
    temporary = path.with_name("fresh")
    temporary.write_bytes(data)
    temporary.rename(path)


def write_by_truncation(path: Path, data: bytes) -> None:
    with open(path, "wb", buffering=0) as file:
        for start in range(0, len(data), 40):
            file.write(data[start : start + 40])


def write_by_symlink_swap(path: Path, data: bytes) -> None:
    """Replaces a symbolic link to a file in a new folder, as a config-map mount does."""
    folder = path.with_name(f"data-{len(list(path.parent.iterdir()))}")
    folder.mkdir()
    (folder / "nodes.json").write_bytes(data)
    link = path.with_name("link")
    link.symlink_to(folder / "nodes.json")
    link.rename(path)


def write_after_deletion(path: Path, data: bytes) -> None:
    path.unlink(missing_ok=True)
    path.write_bytes(data)


@pytest.mark.parametrize(
    "write", [write_by_rename, write_by_truncation, write_by_symlink_swap, write_after_deletion]
)
def test_content_is_offered_after_every_way_of_writing(
    tmp_path: Path, write: Callable[[Path, bytes], None]
) -> None:
    async def test() -> None:
        path = tmp_path / "nodes.json"
        async with watching(path) as watched:
            await watched.until(lambda e: isinstance(e, SourceFailed))
            for number in range(1, 6):
                write(path, file_content(number))
                version = await watched.version(number)
                assert len(version.nodes) == 1 + number % 7

    run(test())


def test_rapid_rewrites_never_offer_partial_content(tmp_path: Path) -> None:
    seed = 7
    print("seed", seed)

    async def test() -> None:
        path, random = tmp_path / "nodes.json", Random(seed)
        async with watching(path) as watched:
            for number in range(1, 400):
                random.choice((write_by_rename, write_by_truncation, write_after_deletion))(
                    path, file_content(number)
                )
                if random.random() < 0.3:
                    path.write_bytes(file_content(number)[: random.randrange(len(file_content(number)))])
                await asyncio.sleep(random.choice((0, 0, 0.002)))
            write_by_rename(path, file_content(1000))
            seen: list[Version] = []
            while not seen or seen[-1].number != 1000:
                event = await watched.until(lambda e: isinstance(e, VersionOffered))
                assert isinstance(event, VersionOffered)
                seen.append(event.version)
            for version in seen:
                assert [n.port for n in version.nodes] == [1000 + version.number] * (1 + version.number % 7)
            assert [v.number for v in seen] == sorted(v.number for v in seen)

    run(test())


def document_of_fixed_length(number: int) -> bytes:
    """Documents of different versions have the same length, so that pieces of two can be mixed."""
    nodes = tuple(Node(f"n{n}", f"10.0.0.{n + 1}", 1000 + number) for n in range(5))
    return write_document(Version("f", number, nodes, 5.0))


@pytest.mark.parametrize("seed", range(3))
def test_two_concurrent_writers_never_produce_a_version_that_neither_wrote(tmp_path: Path, seed: int) -> None:
    async def test() -> None:
        path, random = tmp_path / "nodes.jsonl", Random(seed)
        path.write_bytes(document_of_fixed_length(101)[:200] + document_of_fixed_length(100)[200:])

        async def write(first: int) -> None:
            for number in range(first, first + 60, 2):
                with open(path, "r+b" if random.random() < 0.7 else "wb", buffering=0) as file:
                    data = document_of_fixed_length(number)
                    for start in range(0, len(data), 97):
                        file.write(data[start : start + 97])
                        await asyncio.sleep(random.choice((0, 0, 0.001)))
                await asyncio.sleep(random.choice((0, 0.01, 0.06)))

        async with watching(path) as watched:
            await watched.until(lambda e: isinstance(e, InvalidVersionOffered))
            await asyncio.gather(write(100), write(101))
            write_by_rename(path, document_of_fixed_length(900))  # the writers may have left a mixture
            seen: list[Version] = []
            while not seen or seen[-1].number != 900:
                event = await watched.until(lambda e: isinstance(e, VersionOffered))
                assert isinstance(event, VersionOffered)
                seen.append(event.version)
            for version in seen:
                assert [n.port for n in version.nodes] == [1000 + version.number] * 5
            print("seed", seed, "reads", watched.source.read_count, "versions", len(seen))

    run(test())


def test_missing_permission_is_reported_until_it_is_granted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The error is injected, because root may read any file.
    def refuse(path: str) -> files.FileContent:
        raise PermissionError(13, "Permission denied", path)

    async def test() -> None:
        path = tmp_path / "nodes.json"
        path.write_bytes(file_content(2))
        original = files.read_regular_file
        monkeypatch.setattr(files, "read_regular_file", refuse)
        async with watching(path) as watched:
            event = await watched.until(lambda e: isinstance(e, SourceFailed))
            assert isinstance(event, SourceFailed) and "Permission denied" in event.reason
            monkeypatch.setattr(files, "read_regular_file", original)
            await watched.version(2)

    run(test())


@pytest.mark.parametrize("kind", ["folder", "fifo", "loop", "unreadable", "huge", "device"])
def test_path_without_regular_file_is_reported_and_does_not_block(tmp_path: Path, kind: str) -> None:
    async def test() -> None:
        path = tmp_path / "nodes.json"
        if kind == "folder":
            path.mkdir()
        elif kind == "fifo":
            os.mkfifo(path)
        elif kind == "loop":
            path.symlink_to(path)
        elif kind == "unreadable":
            path.symlink_to("/proc/self/mem")  # can be opened, but a read at its start fails
        elif kind == "huge":
            with open(path, "wb") as file:
                file.truncate(200 << 20)
        else:
            path.symlink_to("/dev/zero")
        async with watching(path) as watched:
            event = await watched.until(lambda e: isinstance(e, (SourceFailed, InvalidVersionOffered)))
            if kind in ("folder", "fifo", "huge", "device"):
                assert isinstance(event, InvalidVersionOffered) and "expected" in str(event.faults[0])
            if kind == "folder":
                path.rmdir()
            write_by_rename(path, file_content(3))
            await watched.version(3)

    run(test())


def test_failed_save_leaves_the_version_saved_before(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = str(tmp_path / "kept")
    first, second = (Version("f", n, (Node("a", "10.0.0.1", n),), 1.0) for n in (1, 2))
    assert files.load_version(path) is None
    files.save_version(path, first)
    assert files.load_version(path) == first

    def fail_disk_full(fd: int) -> None:
        raise OSError(errno.ENOSPC, "full")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", fail_disk_full)
        with pytest.raises(OSError, match="full"):
            files.save_version(path, second)
    assert files.load_version(path) == first and os.listdir(tmp_path) == ["kept"]
    files.save_version(path, second)
    assert files.load_version(path) == second and Path(path).read_bytes() == write_document(second)
