"""Watches files and folders with lists of nodes, and saves and loads the last accepted version.

Files are polled: a poll compares device, inode, size and times from stat(2) with those of the previous poll.
This detects a rename over the file, a swapped symbolic link (as config-map mounts do), truncate-and-write and
a deletion, on every file system. Files are read outside the event loop, up to a size limit, and only if they
are regular files.
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
from flintlatch.membership.core import Event, InvalidVersionOffered, SourceFailed, VersionOffered
from flintlatch.membership.document import MAX_DOCUMENT_BYTES, InvalidDocument, read_document, write_document
from flintlatch.membership.formats import FILE_EXTENSIONS, Content, read_file_content
from flintlatch.membership.model import Node, Version
from flintlatch.net.clock import now_ms

MAX_FOLDER_FILES = 1000  # enough for one file per pool
POLL_INTERVAL_S = 0.05  # a poll is one stat(2) per file, which takes a few microseconds
RETRY_INTERVAL_S = 2.0  # after a failed read, the file is read again even if its stamp is unchanged


class FileStamp(NamedTuple):
    """Changes whenever the file is replaced or written."""

    device: int
    inode: int
    size: int
    mtime_ns: int
    ctime_ns: int


class FileContent(NamedTuple):
    data: bytes
    stamp: FileStamp


def file_stamp(path: str) -> FileStamp | None:
    """None if the file doesn't exist. Raises OSError if this can't be determined."""
    try:
        status = os.stat(path)
    except FileNotFoundError:
        return None
    return FileStamp(status.st_dev, status.st_ino, status.st_size, status.st_mtime_ns, status.st_ctime_ns)


def read_regular_file(path: str) -> FileContent:
    """Raises OSError, or InvalidDocument if the file is not a regular one or larger than the limit."""
    fd = os.open(
        path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC
    )  # O_NONBLOCK: a FIFO must not block the open
    status = os.fstat(fd)
    if not stat.S_ISREG(status.st_mode):
        os.close(fd)
        kind = "a folder" if stat.S_ISDIR(status.st_mode) else "no regular file"
        raise InvalidDocument([Fault("file", kind, "a regular file")])
    with open(fd, "rb") as file:
        if status.st_size > MAX_DOCUMENT_BYTES:
            raise InvalidDocument([Fault("file", f"{status.st_size} bytes", f"at most {MAX_DOCUMENT_BYTES}")])
        data = file.read(MAX_DOCUMENT_BYTES + 1)
        after = os.fstat(fd)
    stamp = FileStamp(after.st_dev, after.st_ino, after.st_size, after.st_mtime_ns, after.st_ctime_ns)
    return FileContent(data, stamp)


class FileSource:
    """Calls `on_event` on the event loop with the events of one file, until it is closed."""

    def __init__(self, name: str, path: str, on_event: Callable[[Event], None], last_number: int = 0) -> None:
        """`last_number`: of the version restored after a restart, for contents that state no number."""
        self.name, self.path, self.on_event = name, path, on_event
        self.last_stamp: FileStamp | None = None  # of the content that was handled last
        self.read_stamp: FileStamp | None = None  # of the content being read, set even if it is not valid
        self.failure = ""
        self.read_count = 0
        self.version_number = last_number
        self.task = asyncio.get_running_loop().create_task(self._watch())

    def _stamp(self) -> FileStamp | None:
        return file_stamp(self.path)

    def _read_content(self) -> tuple[FileStamp, Content]:
        """Runs in an executor. Raises OSError or InvalidDocument."""
        file = read_regular_file(self.path)
        self.read_stamp = file.stamp
        return file.stamp, read_file_content(self.path, file.data)

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        last_read_at = 0.0
        while True:
            try:
                stamp = self._stamp()
                if stamp is None:
                    raise FileNotFoundError(2, "it is not there")
                if stamp != self.last_stamp or (
                    self.failure and loop.time() > last_read_at + RETRY_INTERVAL_S
                ):
                    last_read_at = loop.time()
                    await self._read()
            except OSError as error:
                self._fail(error.strerror or str(error))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _read(self) -> None:
        """Offers the content if it is complete and valid.

        Content that is not may belong to a write in progress. It is reported once, and the file is read again
        after its stamp has changed.
        """
        loop = asyncio.get_running_loop()
        self.read_count += 1
        self.read_stamp = None
        try:
            stamp, content = await loop.run_in_executor(None, self._read_content)
            self.last_stamp = stamp
        except InvalidDocument as error:
            self.last_stamp = self.read_stamp
            if self.last_stamp is None:
                with contextlib.suppress(OSError):
                    self.last_stamp = self._stamp()
            self.failure = str(error)
            self.on_event(InvalidVersionOffered(self.name, tuple(error.faults)))
            return
        self.failure = ""
        # If the file states no version number, each content gets a higher one than the content before it.
        self.version_number = (
            max(self.version_number + 1, int(now_ms())) if content.number is None else content.number
        )
        self.on_event(
            VersionOffered(Version(self.name, self.version_number, content.nodes, stamp.mtime_ns / 1e6))
        )

    def _fail(self, reason: str) -> None:
        self.last_stamp = None
        if reason != self.failure:
            self.failure = reason
            self.on_event(SourceFailed(self.name, f"{self.path}: {reason}"))

    def close(self) -> None:
        self.task.cancel()


def folder_stamps(path: str) -> tuple[FileStamp, dict[str, FileStamp]] | None:
    """One stamp for all node files of a folder, and the stamp of each; None if the folder doesn't exist.

    Hidden files and files with another extension are ignored: editors and writers leave such files behind.
    """
    try:
        names = sorted(name for name in os.listdir(path) if is_node_file(name))
    except FileNotFoundError:
        return None
    stamps = {}
    for name in names:
        stamp = file_stamp(os.path.join(path, name))
        if stamp is not None:  # None: deleted since the folder was listed
            stamps[name] = stamp
    # The checksum stands in for the inode: it changes with the name or stamp of any file.
    checksum = crc32(repr(sorted(stamps.items())).encode())
    newest_mtime_ns = max((stamp.mtime_ns for stamp in stamps.values()), default=0)
    return FileStamp(
        0, checksum, sum(stamp.size for stamp in stamps.values()), newest_mtime_ns, len(stamps)
    ), stamps


def is_node_file(name: str) -> bool:
    return not name.startswith(".") and name.rpartition(".")[2].lower() in FILE_EXTENSIONS


class FolderSource(FileSource):
    """Watches all node files of a folder as one source.

    A node that names no pool is in the pool with the name of its file. All files together form one version:
    if one file is not valid, the whole version is rejected.
    """

    def _stamp(self) -> FileStamp | None:
        found = folder_stamps(self.path)
        return found[0] if found is not None else None

    def _read_content(self) -> tuple[FileStamp, Content]:
        found = folder_stamps(self.path)
        if found is None:
            raise FileNotFoundError(2, "it is not there")
        self.read_stamp, stamps = found
        if len(stamps) > MAX_FOLDER_FILES:
            raise InvalidDocument([Fault("folder", f"{len(stamps)} files", f"at most {MAX_FOLDER_FILES}")])
        if self.read_stamp.size > MAX_DOCUMENT_BYTES:
            raise InvalidDocument(
                [Fault("folder", f"{self.read_stamp.size} bytes", f"at most {MAX_DOCUMENT_BYTES}")]
            )
        faults: list[Fault] = []
        nodes: list[Node] = []
        uids: dict[str, str] = {}
        endpoints: dict[tuple[str, str], str] = {}
        for name in stamps:
            try:
                content = read_file_content(name, read_regular_file(os.path.join(self.path, name)).data)
            except InvalidDocument as error:
                faults += [fault._replace(where=f"{name}: {fault.where}") for fault in error.faults]
                continue
            for index, node in enumerate(content.nodes):
                if node.pool == "default":
                    node = node._replace(pool=name.rpartition(".")[0])
                node_path = f"{name}: node[{index}]"
                first_file = uids.setdefault(node.uid, name)
                if first_file != name:
                    faults.append(Fault(f"{node_path}.uid", repr(node.uid), f"none that {first_file} has"))
                first_file = endpoints.setdefault((node.pool, node.address), name)
                if first_file != name:
                    faults.append(
                        Fault(
                            f"{node_path}.address", node.address, f"none that {first_file} has in {node.pool}"
                        )
                    )
                nodes.append(node)
        if faults:
            raise InvalidDocument(faults)
        # If a file changed while the others were read, these contents may never have existed together.
        after = folder_stamps(self.path)
        if after is None or after[0] != self.read_stamp:
            raise InvalidDocument(
                [Fault("folder", "changed while it was read", "no change while its files are read")]
            )
        return self.read_stamp, Content(tuple(nodes), None)


def make_file_source(
    name: str, path: str, on_event: Callable[[Event], None], last_number: int = 0
) -> FileSource:
    """Returns a source for a folder if the name ends with a slash, otherwise for a file."""
    return (FolderSource if name.endswith("/") else FileSource)(name, path, on_event, last_number)


def save_version(path: str, version: Version) -> None:
    """Replaces the saved version atomically and durably (rename(2), fsync(2)). Raises OSError."""
    temporary = f"{path}.{os.getpid()}"
    try:
        fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        with open(fd, "wb") as file:
            file.write(write_document(version))
            file.flush()
            os.fsync(fd)
        os.rename(temporary, path)
        folder_fd = os.open(os.path.dirname(os.path.abspath(path)), os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(folder_fd)
        finally:
            os.close(folder_fd)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(temporary)
        raise


def load_version(path: str) -> Version | None:
    """Returns the version that `save_version` wrote last, or None. Raises OSError or InvalidDocument."""
    try:
        return read_document(read_regular_file(path).data)
    except FileNotFoundError:
        return None
