"""Hot restart: a new process of the same proxy receives the listening socket, the list of servers and the
recent ids of the process that serves. Until that has ended, both keep within the limits of one process."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import NamedTuple

import orjson

from flintlatch import handover
from flintlatch.net.backends import split_descriptors
from flintlatch.net.engine import Engine
from flintlatch.net.frontend import Frontend
from flintlatch.net.http1 import split_address
from flintlatch.net.listing import Listing, read_listing, write_listing
from flintlatch.net.log import log
from flintlatch.settings import Malformed, SocketSettings

LIST_FILE, IDS_FILE = "list", "recent-ids"  # names of what is handed over


class Predecessor(NamedTuple):
    """The process that served before, with what it handed over."""

    path: str  # of its offer
    listeners: list[socket.socket]
    list_of_servers: bytes  # as JSON in the form of the list service; empty: none
    recent_ids: int | None  # descriptor of the table of its recent ids

    def read_list(self, wire: SocketSettings) -> Listing | None:
        """Its list of servers, which counts as known to both processes."""
        if not self.list_of_servers:
            return None
        try:
            return read_listing(orjson.loads(self.list_of_servers), wire)
        except (orjson.JSONDecodeError, Malformed) as error:
            log.event("inherited_list_rejected", reason=str(error))
            return None


def offer_path_prefix(folder: str, listen: str) -> str:
    """Prefix of the paths at which processes that serve `listen` offer its socket."""
    return os.path.join(folder, f"flintlatch-{listen}")


def find_predecessor(folder: str, listen: str) -> Predecessor | None:
    """Finds the process that serves `listen` and receives its listening socket. None if there is no such
    process or no folder."""
    if not folder:
        return None
    host, port = split_address(listen)
    for path in handover.find_offers(offer_path_prefix(folder, listen)):
        listeners = handover.receive_listeners(path)
        if len(listeners) == 1 and listeners[0].getsockname()[:2] == (host, port):
            return Predecessor(path, listeners, receive_list(path), handover.receive_file(path, IDS_FILE))
        for sock in listeners:  # a socket of another address
            sock.close()
    return None


def receive_list(path: str) -> bytes:
    """The list of servers of the process at a path; empty if it has none, or none can be had."""
    descriptor = handover.receive_file(path, LIST_FILE)
    if descriptor is None:
        return b""
    try:
        return handover.read_file(descriptor)
    except OSError as error:
        log.event("inherited_list_rejected", reason=str(error))
        return b""


class HotRestart:
    """Connects this process with its predecessor and with its successor."""

    def __init__(self, engine: Engine, frontend: Frontend, max_descriptors: int) -> None:
        """`max_descriptors`: for all processes of this proxy together."""
        self.engine, self.frontend, self.max_descriptors = engine, frontend, max_descriptors
        self.predecessor_socket: socket.socket | None = None  # closed by the predecessor's end
        self.listener_offer: handover.Offer | None = None
        self.successor_serves = False  # another process accepts from the same socket
        self.loop = asyncio.get_running_loop()

    def share_recent_ids(self, predecessor: Predecessor) -> None:
        """From now on neither process accepts an id that the other one has accepted."""
        if predecessor.recent_ids is None:
            return
        try:
            self.engine.recent_ids.join(predecessor.recent_ids)
        except (OSError, ValueError) as error:
            log.event("inherited_ids_rejected", reason=str(error))

    def join(self, predecessor: Predecessor) -> None:
        """Tells the predecessor that this process serves, and watches for its end."""
        sock = handover.connect_as_successor(predecessor.path)
        if sock is None:
            return  # it has ended meanwhile, and its socket remains with this process
        sock.setblocking(False)
        self.predecessor_socket = sock
        self.loop.add_reader(sock.fileno(), self._on_predecessor_socket)
        log("serving beside a predecessor")
        self._apply_limits()

    def _on_predecessor_socket(self) -> None:
        if self.predecessor_socket is None:
            return
        try:
            if self.predecessor_socket.recv(64):
                return
        except BlockingIOError:
            return
        except OSError:
            pass
        log("the predecessor is gone")
        self._close_predecessor_socket()
        self._apply_limits()

    def _close_predecessor_socket(self) -> None:
        if self.predecessor_socket is not None:
            self.loop.remove_reader(self.predecessor_socket.fileno())
            self.predecessor_socket.close()
            self.predecessor_socket = None

    def offer_listeners(self, folder: str, listen: str) -> None:
        """Offers the listening socket to a successor, if there is a folder for the offer."""
        if not folder:
            return
        try:
            self.listener_offer = handover.Offer(
                offer_path_prefix(folder, listen),
                self.frontend.listeners,
                self._on_successor,
                self._on_successor_gone,
                {LIST_FILE: self._list_of_servers, IDS_FILE: self._recent_ids},
            )
        except OSError as error:
            log(f"no successor can take the listening socket: {error}")

    def _list_of_servers(self) -> int:
        if not self.engine.backends.backends:
            return handover.file_in_memory(b"")
        snapshot = write_listing(self.engine.list_snapshot(), self.engine.wire)
        return handover.file_in_memory(orjson.dumps(snapshot))

    def _recent_ids(self) -> int:
        return os.dup(self.engine.recent_ids.share())

    def _on_successor(self) -> None:
        log("a successor serves beside this process")
        self.successor_serves = True
        self._apply_limits()

    def _on_successor_gone(self) -> None:
        log("the successor is gone")
        self.successor_serves = False
        self._apply_limits()

    def _apply_limits(self) -> None:
        """Halves the limits of this process while another process serves the same address."""
        shared = self.successor_serves or self.predecessor_socket is not None
        to_backends, to_clients = split_descriptors(
            self.max_descriptors // 2 if shared else self.max_descriptors
        )
        self.engine.backends.max_connections = to_backends
        self.frontend.max_connections = min(to_clients, self.frontend.max_by_memory)

    def close(self) -> None:
        """Withdraws the offer. `successor_serves` keeps its value."""
        self._close_predecessor_socket()
        if self.listener_offer is not None:
            self.listener_offer.close()
            self.listener_offer = None
