"""Nodes from watched files: the shell around the core. Files are looked at, not listened to.

A look compares what stat(2) tells (device, inode, size, times) with the last look's, so a rename over the
file, a swapped link (as config-map mounts do), truncate-and-write and a deletion are all seen, on every file
system. Reading happens off the loop, bounded, and never of what is no regular file.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import stat
from collections.abc import Callable
from typing import NamedTuple
from zlib import crc32

from flintlatch.membership.check import Fault
from flintlatch.membership.core import Event, Failed, Unread, VersionOffered
from flintlatch.membership.document import MOST_BYTES, InvalidDocument, read_document, write_document
from flintlatch.membership.formats import ENDINGS, Content, read_file_content
from flintlatch.membership.model import Node, Version
from flintlatch.net.clock import now_ms

MOST_FILES = 1000  # of a folder: one a pool
LOOK_S = 0.05  # s between looks: a stat each, some microseconds
AGAIN_S = 2.0  # s after which what could not be read is tried again though it looks the same


class Look(NamedTuple):
    device: int
    inode: int
    size: int
    mtime_ns: int
    ctime_ns: int


class Read(NamedTuple):
    data: bytes
    look: Look


def look_at(path: str) -> Look | None:
    """None if nothing is there. OSError if it can't be told."""
    try:
        found = os.stat(path)
    except FileNotFoundError:
        return None
    return Look(found.st_dev, found.st_ino, found.st_size, found.st_mtime_ns, found.st_ctime_ns)


def read_regular_file(path: str) -> Read:
    """All of a regular file. Raises OSError, or InvalidDocument for anything else and for too much."""
    fd = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)  # a FIFO must not hold us up
    found = os.fstat(fd)
    if not stat.S_ISREG(found.st_mode):
        os.close(fd)
        kind = "a folder" if stat.S_ISDIR(found.st_mode) else "no regular file"
        raise InvalidDocument([Fault("file", kind, "a regular file")])
    with open(fd, "rb") as file:
        if found.st_size > MOST_BYTES:
            raise InvalidDocument([Fault("file", f"{found.st_size} bytes", f"at most {MOST_BYTES}")])
        data = file.read(MOST_BYTES + 1)
        after = os.fstat(fd)
    look = Look(after.st_dev, after.st_ino, after.st_size, after.st_mtime_ns, after.st_ctime_ns)
    return Read(data, look)


class FileSource:
    """Tells the core's events of one file to `on_event`, on the loop, until closed."""

    def __init__(self, name: str, path: str, on_event: Callable[[Event], None]) -> None:
        self.name, self.path, self.on_event = name, path, on_event
        self.last: Look | None = None
        self.seen: Look | None = None  # of what could be opened, though it was not whole
        self.failure = ""
        self.reads = 0
        self.number = 0
        self.task = asyncio.get_running_loop().create_task(self._watch())

    def _look(self) -> Look | None:
        return look_at(self.path)

    def _content(self) -> tuple[Look, Content]:
        """Off the loop. Raises OSError or InvalidDocument."""
        found = read_regular_file(self.path)
        self.seen = found.look
        return found.look, read_file_content(self.path, found.data)

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        tried_s = 0.0
        while True:
            try:
                look = self._look()
                if look is None:
                    raise FileNotFoundError(2, "it is not there")
                if look != self.last or (self.failure and loop.time() > tried_s + AGAIN_S):
                    tried_s = loop.time()
                    await self._read()
            except OSError as error:
                self._fail(error.strerror or str(error))
            await asyncio.sleep(LOOK_S)

    async def _read(self) -> None:
        """What is whole is offered. What is not may be in the middle of being written: it is told of once for
        each content, and looked at again when it has changed."""
        loop = asyncio.get_running_loop()
        self.reads += 1
        self.seen = None
        try:
            look, content = await loop.run_in_executor(None, self._content)
            self.last = look
        except InvalidDocument as error:
            self.last = self.seen
            if self.last is None:
                with contextlib.suppress(OSError):
                    self.last = self._look()
            self.failure = str(error)
            self.on_event(Unread(self.name, tuple(error.faults)))
            return
        self.failure = ""
        # A file that tells no version of its own: each content is newer than the one before.
        self.number = max(self.number + 1, int(now_ms())) if content.number is None else content.number
        self.on_event(VersionOffered(Version(self.name, self.number, content.nodes, look.mtime_ns / 1e6)))

    def _fail(self, reason: str) -> None:
        self.last = None
        if reason != self.failure:
            self.failure = reason
            self.on_event(Failed(self.name, f"{self.path}: {reason}"))

    def close(self) -> None:
        self.task.cancel()


def look_at_folder(path: str) -> tuple[Look, dict[str, Look]] | None:
    """One look for all files of a folder that may hold nodes, and each one's; None if there is no folder.
    Names with another ending, and hidden ones, are what editors and writers leave: not looked at."""
    try:
        names = sorted(name for name in os.listdir(path) if is_nodes_file(name))
    except FileNotFoundError:
        return None
    looks = {}
    for name in names:
        look = look_at(os.path.join(path, name))
        if look is not None:  # else gone in this moment
            looks[name] = look
    # Any change of any file, of its name too, is a change of the whole.
    told = crc32(repr(sorted(looks.items())).encode())
    newest = max((look.mtime_ns for look in looks.values()), default=0)
    return Look(0, told, sum(look.size for look in looks.values()), newest, len(looks)), looks


def is_nodes_file(name: str) -> bool:
    return not name.startswith(".") and name.rpartition(".")[2].lower() in ENDINGS


class FolderSource(FileSource):
    """All files of a folder together, each a pool that is named by the file where its nodes name none. One
    version of them all: with one file that is not whole, nothing of the folder is taken."""

    def _look(self) -> Look | None:
        found = look_at_folder(self.path)
        return found[0] if found is not None else None

    def _content(self) -> tuple[Look, Content]:
        found = look_at_folder(self.path)
        if found is None:
            raise FileNotFoundError(2, "it is not there")
        self.seen, looks = found
        if len(looks) > MOST_FILES:
            raise InvalidDocument([Fault("folder", f"{len(looks)} files", f"at most {MOST_FILES}")])
        if self.seen.size > MOST_BYTES:
            raise InvalidDocument([Fault("folder", f"{self.seen.size} bytes", f"at most {MOST_BYTES}")])
        faults: list[Fault] = []
        nodes: list[Node] = []
        uids: dict[str, str] = {}
        places: dict[tuple[str, str], str] = {}
        for name in looks:
            try:
                content = read_file_content(name, read_regular_file(os.path.join(self.path, name)).data)
            except InvalidDocument as error:
                faults += [fault._replace(where=f"{name}: {fault.where}") for fault in error.faults]
                continue
            for place, node in enumerate(content.nodes):
                if node.pool == "default":
                    node = node._replace(pool=name.rpartition(".")[0])
                at = f"{name}: node[{place}]"
                other = uids.setdefault(node.uid, name)
                if other != name:
                    faults.append(Fault(f"{at}.uid", repr(node.uid), f"none that {other} has"))
                other = places.setdefault((node.pool, node.address), name)
                if other != name:
                    faults.append(
                        Fault(f"{at}.address", node.address, f"none that {other} has in {node.pool}")
                    )
                nodes.append(node)
        if faults:
            raise InvalidDocument(faults)
        # A file that changed while others were read belongs to the next version.
        after = look_at_folder(self.path)
        if after is None or after[0] != self.seen:
            raise InvalidDocument(
                [Fault("folder", "changed while it was read", "files at rest, for a moment")]
            )
        return self.seen, Content(tuple(nodes), None)


def make_file_source(name: str, path: str, on_event: Callable[[Event], None]) -> FileSource:
    """A folder's source where the name ends with a slash, else a file's."""
    return (FolderSource if name.endswith("/") else FileSource)(name, path, on_event)


def save_version(path: str, version: Version) -> None:
    """Write the version in place of the one kept before: whole, or not at all (rename(2), fsync(2))."""
    fresh = f"{path}.{os.getpid()}"
    try:
        fd = os.open(fresh, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        with open(fd, "wb") as file:
            file.write(write_document(version))
            file.flush()
            os.fsync(fd)
        os.rename(fresh, path)
        folder = os.open(os.path.dirname(os.path.abspath(path)), os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(fresh)
        raise


def load_version(path: str) -> Version | None:
    """What `save_version` wrote last; None if there is nothing. Raises OSError or InvalidDocument."""
    try:
        return read_document(read_regular_file(path).data)
    except FileNotFoundError:
        return None
