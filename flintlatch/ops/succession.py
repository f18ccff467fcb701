"""A new process of the same proxy beside the one that serves: it takes the listening socket over, and the
two keep together to the limits of one until the old one is gone."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import NamedTuple

from flintlatch import handover
from flintlatch.net.backends import split_descriptors
from flintlatch.net.engine import Engine, log
from flintlatch.net.frontend import Frontend
from flintlatch.net.http1 import split_address


class Predecessor(NamedTuple):
    path: str  # where it may be reached
    listeners: list[socket.socket]


def prefix(folder: str, listen: str) -> str:
    """Of the paths at which processes that serve `listen` meet."""
    return os.path.join(folder, f"flintlatch-{listen}")


def predecessor(folder: str, listen: str) -> Predecessor | None:
    """Whoever serves `listen` now and hands its socket on; None if there is nobody, or no folder."""
    if not folder:
        return None
    host, port = split_address(listen)
    for path in handover.find_offers(prefix(folder, listen)):
        socks = handover.receive_listeners(path)
        if len(socks) == 1 and socks[0].getsockname()[:2] == (host, port):
            return Predecessor(path, socks)
        for sock in socks:  # another's address: not ours to serve
            sock.close()
    return None


class Succession:
    """This process between the one before it and the one after it."""

    def __init__(self, engine: Engine, frontend: Frontend, sockets: int) -> None:
        """`sockets`: descriptors that all processes of this proxy may hold together."""
        self.engine, self.frontend, self.sockets = engine, frontend, sockets
        self.before: socket.socket | None = None  # ends with the predecessor
        self.offered: handover.Offer | None = None
        self.succeeded = False  # another process accepts from the same socket
        self.loop = asyncio.get_running_loop()

    def follow(self, before: Predecessor) -> None:
        """Tell the predecessor that this process serves, and hear of its end."""
        sock = handover.announce_serving(before.path)
        if sock is None:
            return  # it has ended between two words; its socket is ours
        sock.setblocking(False)
        self.before = sock
        self.loop.add_reader(sock.fileno(), self._before_ended)
        log("serving beside a predecessor")
        self._share()

    def _before_ended(self) -> None:
        if self.before is None:
            return
        try:
            if self.before.recv(64):
                return
        except BlockingIOError:
            return
        except OSError:
            pass
        log("the predecessor is gone")
        self._forget_before()
        self._share()

    def _forget_before(self) -> None:
        if self.before is not None:
            self.loop.remove_reader(self.before.fileno())
            self.before.close()
            self.before = None

    def offer(self, folder: str, listen: str) -> None:
        """Hold the listening socket out to a successor, if there is a folder for it."""
        if not folder:
            return
        try:
            self.offered = handover.Offer(
                prefix(folder, listen), self.frontend.listeners, self._taken, self._left
            )
        except OSError as error:
            log(f"no successor can take the listening socket: {error}")

    def _taken(self) -> None:
        log("a successor serves beside this process")
        self.succeeded = True
        self._share()

    def _left(self) -> None:
        log("the successor is gone")
        self.succeeded = False
        self._share()

    def _share(self) -> None:
        """Two processes hold together what one may."""
        both = self.succeeded or self.before is not None
        to_backends, to_clients = split_descriptors(self.sockets // 2 if both else self.sockets)
        self.engine.backends.max_connections, self.frontend.max_connections = to_backends, to_clients

    def close(self) -> None:
        """Offer nothing more; whether there was a successor stays known."""
        self._forget_before()
        if self.offered is not None:
            self.offered.close()
            self.offered = None
