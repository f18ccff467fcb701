"""Watched files by every way of writing, and what no file should be: only whole contents are offered."""

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
    write_document,
)
from flintlatch.membership import files as files_module
from flintlatch.membership import files as shell
from tests.loopback import run


def content(number: int) -> bytes:
    rows = [{"uid": f"n{n}", "address": f"10.0.0.{n + 1}:{1000 + number}"} for n in range(1 + number % 7)]
    return json.dumps({"version": number, "count": len(rows), "nodes": rows}).encode()


class Watched:
    def __init__(self, path: Path) -> None:
        self.events: list[Event] = []
        self.news = asyncio.Event()
        self.source = shell.FileSource("f", str(path), self._take)

    def _take(self, event: Event) -> None:
        self.events.append(event)
        self.news.set()

    async def until(self, good: Callable[[Event], bool]) -> Event:
        """The first event from here on that is good."""
        while True:
            for place, event in enumerate(self.events):
                if good(event):
                    del self.events[: place + 1]
                    return event
            self.news.clear()
            await self.news.wait()

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


def by_rename(path: Path, data: bytes) -> None:
    fresh = path.with_name("fresh")
    fresh.write_bytes(data)
    fresh.rename(path)


def by_truncating(path: Path, data: bytes) -> None:
    with open(path, "wb", buffering=0) as file:
        for place in range(0, len(data), 40):
            file.write(data[place : place + 40])


def by_link(path: Path, data: bytes) -> None:
    """As a config-map mount does: a link to a folder is swapped."""
    folder = path.with_name(f"data-{len(list(path.parent.iterdir()))}")
    folder.mkdir()
    (folder / "nodes.json").write_bytes(data)
    link = path.with_name("link")
    link.symlink_to(folder / "nodes.json")
    link.rename(path)


def by_deletion(path: Path, data: bytes) -> None:
    path.unlink(missing_ok=True)
    path.write_bytes(data)


@pytest.mark.parametrize("write", [by_rename, by_truncating, by_link, by_deletion])
def test_every_way_of_writing_is_seen(tmp_path: Path, write: Callable[[Path, bytes], None]) -> None:
    async def test() -> None:
        path = tmp_path / "nodes.json"
        async with watching(path) as watched:
            await watched.until(lambda e: isinstance(e, SourceFailed))
            for number in range(1, 6):
                write(path, content(number))
                version = await watched.version(number)
                assert len(version.nodes) == 1 + number % 7

    run(test())


def test_written_as_fast_as_can_be_only_whole_contents_are_offered(tmp_path: Path) -> None:
    seed = 7
    print("seed", seed)

    async def test() -> None:
        path, random = tmp_path / "nodes.json", Random(seed)
        async with watching(path) as watched:
            for number in range(1, 400):
                random.choice((by_rename, by_truncating, by_deletion))(path, content(number))
                if random.random() < 0.3:
                    path.write_bytes(content(number)[: random.randrange(len(content(number)))])
                await asyncio.sleep(random.choice((0, 0, 0.002)))
            by_rename(path, content(1000))
            seen: list[Version] = []
            while not seen or seen[-1].number != 1000:
                event = await watched.until(lambda e: isinstance(e, VersionOffered))
                assert isinstance(event, VersionOffered)
                seen.append(event.version)
            for version in seen:
                assert [n.port for n in version.nodes] == [1000 + version.number] * (1 + version.number % 7)
            assert [v.number for v in seen] == sorted(v.number for v in seen)

    run(test())


def sealed(number: int) -> bytes:
    """Of one length whatever the number, so that pieces of two fit into one another."""
    nodes = tuple(Node(f"n{n}", f"10.0.0.{n + 1}", 1000 + number) for n in range(5))
    return write_document(Version("f", number, nodes, 5.0))


@pytest.mark.parametrize("seed", range(3))
def test_two_writers_at_once_on_one_file_never_make_a_version_that_neither_wrote(
    tmp_path: Path, seed: int
) -> None:
    async def test() -> None:
        path, random = tmp_path / "nodes.jsonl", Random(seed)
        path.write_bytes(sealed(101)[:200] + sealed(100)[200:])

        async def write(first: int) -> None:
            for number in range(first, first + 60, 2):
                with open(path, "r+b" if random.random() < 0.7 else "wb", buffering=0) as file:
                    data = sealed(number)
                    for place in range(0, len(data), 97):
                        file.write(data[place : place + 97])
                        await asyncio.sleep(random.choice((0, 0, 0.001)))
                await asyncio.sleep(random.choice((0, 0.01, 0.06)))

        async with watching(path) as watched:
            await watched.until(lambda e: isinstance(e, InvalidVersionOffered))
            await asyncio.gather(write(100), write(101))
            by_rename(path, sealed(900))  # whatever mixture they left
            seen: list[Version] = []
            while not seen or seen[-1].number != 900:
                event = await watched.until(lambda e: isinstance(e, VersionOffered))
                assert isinstance(event, VersionOffered)
                seen.append(event.version)
            for version in seen:
                assert [n.port for n in version.nodes] == [1000 + version.number] * 5
            print("seed", seed, "read", watched.source.read_count, "whole", len(seen))

    run(test())


def test_no_permission_is_told_of_and_ends_when_it_is_given(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Raised where open(2) would: whoever runs the tests as root may read anything.
    def refuse(path: str) -> files_module.FileContent:
        raise PermissionError(13, "Permission denied", path)

    async def test() -> None:
        path = tmp_path / "nodes.json"
        path.write_bytes(content(2))
        allowed = files_module.read_regular_file
        monkeypatch.setattr(files_module, "read_regular_file", refuse)
        async with watching(path) as watched:
            event = await watched.until(lambda e: isinstance(e, SourceFailed))
            assert isinstance(event, SourceFailed) and "Permission denied" in event.reason
            monkeypatch.setattr(files_module, "read_regular_file", allowed)
            await watched.version(2)

    run(test())


@pytest.mark.parametrize("kind", ["folder", "fifo", "loop", "unreadable", "huge", "device"])
def test_what_is_no_file_is_told_of_and_holds_up_nobody(tmp_path: Path, kind: str) -> None:
    async def test() -> None:
        path = tmp_path / "nodes.json"
        if kind == "folder":
            path.mkdir()
        elif kind == "fifo":
            os.mkfifo(path)
        elif kind == "loop":
            path.symlink_to(path)
        elif kind == "unreadable":
            path.symlink_to("/proc/self/mem")  # opens, and no read of its start succeeds
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
            by_rename(path, content(3))
            await watched.version(3)

    run(test())


def test_the_last_good_version_is_kept_whole_or_not_at_all(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = str(tmp_path / "kept")
    first, second = (Version("f", n, (Node("a", "10.0.0.1", n),), 1.0) for n in (1, 2))
    assert shell.load_version(path) is None
    shell.save_version(path, first)
    assert shell.load_version(path) == first

    def full(fd: int) -> None:
        raise OSError(errno.ENOSPC, "full")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", full)
        with pytest.raises(OSError, match="full"):
            shell.save_version(path, second)
    assert shell.load_version(path) == first and os.listdir(tmp_path) == ["kept"]
    shell.save_version(path, second)
    assert shell.load_version(path) == second and Path(path).read_bytes() == write_document(second)
