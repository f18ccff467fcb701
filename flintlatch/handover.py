"""Listening sockets from a process that serves to the one that comes after it.

Who serves offers them at a Unix socket of its own, `PREFIX+PID`, mode 0600. The next one takes them there
instead of binding, so that no connection that waits in the kernel's queue is dropped, and says when it
serves. It may keep that connection: each then sees the other's end by it. A line each way:

    listeners    ->  {"count": N}, with N descriptors beside it (SCM_RIGHTS, unix(7))
    serving      ->  {"ok": true}
"""

from __future__ import annotations

import asyncio
import contextlib
import glob
import os
import socket
from collections.abc import Callable

import orjson

MOST_LISTENERS = 64  # descriptors in one message; a fleet listens on a handful of addresses
ANSWER_S = 1.0  # s that the one asked may take to answer: it is busy, or hangs
MOST_LINE = 64  # bytes
MOST_CALLERS = 16  # at once; there is one successor, and whoever else may read the folder


class Offer:
    """The side of the one that serves."""

    def __init__(
        self,
        prefix: str,
        socks: list[socket.socket],
        taken: Callable[[], None],
        left: Callable[[], None] = lambda: None,
    ) -> None:
        """`taken` is called when a successor serves, `left` when the last such connection has ended. Raises
        OSError if there can be no such socket."""
        self.path, self.taken, self.left = f"{prefix}+{os.getpid()}", taken, left
        # Their own numbers: whoever drains closes its sockets, and the queue must outlive that.
        self.socks = [sock.dup() for sock in socks]
        self.loop = asyncio.get_running_loop()
        self.sock = socket.socket(socket.AF_UNIX)
        self.callers: dict[socket.socket, bool] = {}  # whether it has said that it serves
        old = os.umask(0o177)
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self.path)
            self.sock.bind(self.path)
            self.sock.listen(4)
        except OSError:
            self.sock.close()
            raise
        finally:
            os.umask(old)
        self.sock.setblocking(False)
        self.loop.add_reader(self.sock.fileno(), self._accept)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            caller, _ = self.sock.accept()
            if len(self.callers) >= MOST_CALLERS:
                caller.close()
                return
            caller.setblocking(False)
            self.callers[caller] = False
            self.loop.add_reader(caller.fileno(), self._asked, caller)

    def _asked(self, caller: socket.socket) -> None:
        try:
            line = caller.recv(MOST_LINE)
            if line == b"listeners\n":
                said = orjson.dumps({"count": len(self.socks)}) + b"\n"
                socket.send_fds(caller, [said], [sock.fileno() for sock in self.socks])
                return
            if line == b"serving\n":
                caller.send(b'{"ok":true}\n')
                self.callers[caller] = True
                self.taken()
                return
        except OSError:
            pass
        self._hang_up(caller)

    def _hang_up(self, caller: socket.socket) -> None:
        self.loop.remove_reader(caller.fileno())
        served = self.callers.pop(caller)
        caller.close()
        if served and not any(self.callers.values()):
            self.left()

    def close(self) -> None:
        self.left = lambda: None
        for caller in list(self.callers):
            self._hang_up(caller)
        self.loop.remove_reader(self.sock.fileno())
        self.sock.close()
        with contextlib.suppress(OSError):
            os.unlink(self.path)
        for sock in self.socks:
            sock.close()


def find_offers(prefix: str) -> list[str]:
    """Where those that offer under this prefix may be reached."""
    return sorted(glob.glob(glob.escape(prefix) + "+*"))


def receive_listeners(path: str) -> list[socket.socket]:
    """The listening sockets offered there; empty if nobody is there any more, whose path is removed."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(ANSWER_S)
        try:
            sock.connect(path)
            sock.send(b"listeners\n")
            _, fds, _, _ = socket.recv_fds(sock, MOST_LINE, MOST_LISTENERS)
        except (ConnectionRefusedError, FileNotFoundError):
            with contextlib.suppress(OSError):
                os.unlink(path)
            return []
        except OSError:
            return []
        return [socket.socket(fileno=fd) for fd in fds]


def announce_serving(path: str) -> socket.socket | None:
    """Say that this process serves what it took there. A connection that ends with the other process, or
    None if it has not heard."""
    sock = socket.socket(socket.AF_UNIX)
    sock.settimeout(ANSWER_S)
    try:
        sock.connect(path)
        sock.send(b"serving\n")
        if sock.recv(MOST_LINE):
            return sock
    except OSError:
        pass
    sock.close()
    return None


def notify_serving(path: str) -> bool:
    """The one there may drain now; whether it has heard."""
    sock = announce_serving(path)
    if sock is not None:
        sock.close()
    return sock is not None
