"""Hands the listening sockets of a serving process over to its successor.

The serving process offers them at its own Unix socket, `PREFIX+PID`, mode 0600. The successor receives them
there instead of binding, so that no connection in the kernel's queue is dropped, and announces when it
serves. If the successor keeps the connection of that announcement open, each process detects the end of the
other one. One line in each direction:

    listeners    ->  {"count": N}, with N descriptors as ancillary data (SCM_RIGHTS, unix(7))
    file NAME    ->  {"ok": true}, with the descriptor of a file that the process offers by this name
    serving      ->  {"ok": true}
"""

from __future__ import annotations

import asyncio
import contextlib
import glob
import os
import socket
from collections.abc import Callable, Mapping

import orjson

MAX_LISTENERS = 64  # descriptors in one message; a fleet listens at only a few addresses
RESPONSE_TIMEOUT_S = 1.0  # a process that does not respond within this time counts as busy or hung
MAX_LINE_BYTES = 64
MAX_CONNECTIONS = 16  # at once; one successor, and other processes with access to the folder


class Offer:
    """The offer of a serving process."""

    def __init__(
        self,
        prefix: str,
        listeners: list[socket.socket],
        on_successor: Callable[[], None],
        on_successor_gone: Callable[[], None] = lambda: None,
        files: Mapping[str, Callable[[], int]] | None = None,
    ) -> None:
        """`on_successor` is called when a successor serves, `on_successor_gone` when the last connection of a
        successor has ended. `files`: by name, what opens a file for a successor and returns a descriptor,
        which is closed once it is sent. Raises OSError if the Unix socket can't be created."""
        self.files = files or {}
        self.path, self.on_successor, self.on_successor_gone = (
            f"{prefix}+{os.getpid()}",
            on_successor,
            on_successor_gone,
        )
        # Duplicated, because a draining process closes its own descriptors, and the kernel's queue must
        # outlive that.
        self.listeners = [sock.dup() for sock in listeners]
        self.loop = asyncio.get_running_loop()
        self.sock = socket.socket(socket.AF_UNIX)
        self.connections: dict[socket.socket, bool] = {}  # to whether the peer has sent "serving"
        previous_umask = os.umask(0o177)
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self.path)
            self.sock.bind(self.path)
            self.sock.listen(4)
        except OSError:
            self.sock.close()
            raise
        finally:
            os.umask(previous_umask)
        self.sock.setblocking(False)
        self.loop.add_reader(self.sock.fileno(), self._accept)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            connection, _ = self.sock.accept()
            if len(self.connections) >= MAX_CONNECTIONS:
                connection.close()
                return
            connection.setblocking(False)
            self.connections[connection] = False
            self.loop.add_reader(connection.fileno(), self._on_request, connection)

    def _on_request(self, connection: socket.socket) -> None:
        try:
            line = connection.recv(MAX_LINE_BYTES)
            if line == b"listeners\n":
                response = orjson.dumps({"count": len(self.listeners)}) + b"\n"
                socket.send_fds(connection, [response], [sock.fileno() for sock in self.listeners])
                return
            name = line.removeprefix(b"file ").strip().decode("ascii", "replace")
            if line.startswith(b"file ") and name in self.files:
                self._send_file(connection, self.files[name])
                return
            if line == b"serving\n":
                connection.send(b'{"ok":true}\n')
                self.connections[connection] = True
                self.on_successor()
                return
        except OSError:
            pass
        self._disconnect(connection)

    @staticmethod
    def _send_file(connection: socket.socket, open_file: Callable[[], int]) -> None:
        descriptor = open_file()
        try:
            socket.send_fds(connection, [b'{"ok":true}\n'], [descriptor])
        finally:
            os.close(descriptor)

    def _disconnect(self, connection: socket.socket) -> None:
        self.loop.remove_reader(connection.fileno())
        was_successor = self.connections.pop(connection)
        connection.close()
        if was_successor and not any(self.connections.values()):
            self.on_successor_gone()

    def close(self) -> None:
        self.on_successor_gone = lambda: None
        for connection in list(self.connections):
            self._disconnect(connection)
        self.loop.remove_reader(self.sock.fileno())
        self.sock.close()
        with contextlib.suppress(OSError):
            os.unlink(self.path)
        for sock in self.listeners:
            sock.close()


def find_offers(prefix: str) -> list[str]:
    """The paths of all offers with this prefix."""
    return sorted(glob.glob(glob.escape(prefix) + "+*"))


def receive_listeners(path: str) -> list[socket.socket]:
    """Returns the listening sockets offered at a path; the "count" in the response is not checked. Empty if
    the process does not respond; if it is gone, the path is removed."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(RESPONSE_TIMEOUT_S)
        try:
            sock.connect(path)
            sock.send(b"listeners\n")
            _, fds, _, _ = socket.recv_fds(sock, MAX_LINE_BYTES, MAX_LISTENERS)
        except (ConnectionRefusedError, FileNotFoundError):
            with contextlib.suppress(OSError):
                os.unlink(path)
            return []
        except OSError:
            return []
        return [socket.socket(fileno=fd) for fd in fds]


def receive_file(path: str, name: str) -> int | None:
    """Returns the descriptor of a file that the process at a path offers; None if it offers none."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(RESPONSE_TIMEOUT_S)
        try:
            sock.connect(path)
            sock.send(f"file {name}\n".encode())
            _, descriptors, _, _ = socket.recv_fds(sock, MAX_LINE_BYTES, 1)
        except OSError:
            return None
    return descriptors[0] if descriptors else None


def file_in_memory(content: bytes) -> int:
    """The descriptor of a file that holds `content`, memfd_create(2). Raises OSError."""
    descriptor = os.memfd_create("handover")
    with open(descriptor, "wb", closefd=False) as file:
        file.write(content)
    return descriptor


def read_file(descriptor: int) -> bytes:
    """The content of a file, whose descriptor is closed. Raises OSError."""
    with open(descriptor, "rb") as file:
        file.seek(0)
        return file.read()


def connect_as_successor(path: str) -> socket.socket | None:
    """Announces to the process at a path that this one serves the received sockets. Returns the connection,
    which ends with the other process, or None if that process has not confirmed."""
    sock = socket.socket(socket.AF_UNIX)
    sock.settimeout(RESPONSE_TIMEOUT_S)
    try:
        sock.connect(path)
        sock.send(b"serving\n")
        if sock.recv(MAX_LINE_BYTES):
            return sock
    except OSError:
        pass
    sock.close()
    return None


def notify_serving(path: str) -> bool:
    """Announces that this process serves, so that the process at a path may drain, and closes the connection.
    Returns whether that process has confirmed."""
    sock = connect_as_successor(path)
    if sock is not None:
        sock.close()
    return sock is not None
