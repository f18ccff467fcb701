"""The listening sockets of a fleet: opened by the supervisor, inherited by workers, handed to a successor."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Sequence

from flintlatch.net.http1 import split_address
from flintlatch.net.listener import open_listener

BIND_RETRY_INTERVAL_S = 0.02  # while the address is in use
ListenerKey = tuple[str, int]  # a configured address, and its index among equal ones (several with port 0)


class ListenError(Exception):
    """An address can't be listened on; the text gives the address and the reason."""


def listener_keys(addresses: Sequence[str]) -> list[ListenerKey]:
    return [(address, list(addresses[:index]).count(address)) for index, address in enumerate(addresses)]


def bound_address(sock: socket.socket) -> str:
    host, port = sock.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class Listeners:
    def __init__(self) -> None:
        self.sockets: dict[ListenerKey, socket.socket] = {}

    def adopt(self, addresses: Sequence[str], given: list[socket.socket]) -> None:
        """Uses sockets that the service manager opened, each for the configured address that it is bound to.

        Raises ListenError for a socket that is bound to another address."""
        for sock in given:
            address = split_address(bound_address(sock))
            for key in listener_keys(addresses):
                if key not in self.sockets and split_address(key[0]) == address:
                    self.sockets[key] = sock
                    break
            else:
                raise ListenError(
                    f"LISTEN_FDS: {bound_address(sock)} is not among the addresses in fleet.listen"
                )

    def inherit(self, addresses: Sequence[str], given: list[socket.socket]) -> list[socket.socket]:
        """Uses the sockets that are bound to a configured address which has none yet, and closes the others.
        Returns those used."""
        inherited = []
        for sock in given:
            address = split_address(bound_address(sock))
            key = next(
                (
                    k
                    for k in listener_keys(addresses)
                    if k not in self.sockets and split_address(k[0]) == address
                ),
                None,
            )
            if key is None:
                sock.close()
            else:
                self.sockets[key] = sock
                inherited.append(sock)
        return inherited

    async def open(self, addresses: Sequence[str], wait_s: float = 0.0) -> list[ListenerKey]:
        """Opens the addresses that have no socket yet, and returns their keys.

        An address in use is retried for `wait_s`. Raises ListenError, after closing those it opened."""
        loop = asyncio.get_running_loop()
        opened: list[ListenerKey] = []
        deadline = loop.time() + wait_s
        for key in listener_keys(addresses):
            while key not in self.sockets:
                try:
                    self.sockets[key] = open_listener(key[0])
                    opened.append(key)
                except OSError as error:
                    if error.errno == errno.EADDRINUSE and loop.time() < deadline:
                        await asyncio.sleep(BIND_RETRY_INTERVAL_S)
                        continue
                    self.close(opened)
                    raise ListenError(f"listen {key[0]}: {error.strerror}") from None
        return opened

    def sockets_for(self, addresses: Sequence[str]) -> list[socket.socket]:
        return [self.sockets[key] for key in listener_keys(addresses)]

    def close(self, keys: Sequence[ListenerKey]) -> None:
        for key in keys:
            self.sockets.pop(key).close()

    def keep_only(self, *address_lists: Sequence[str]) -> None:
        """Closes the sockets whose address is in none of the given lists."""
        wanted = {key for addresses in address_lists for key in listener_keys(addresses)}
        self.close([key for key in self.sockets if key not in wanted])
