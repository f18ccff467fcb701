"""A stand-in service manager: a notify socket, as sd_notify(3) describes its datagrams."""

from __future__ import annotations

import asyncio
import os
import socket


class NotifySocket:
    """Each datagram as a dictionary, in the order of coming."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self.sock.bind(path)
        self.sock.setblocking(False)
        self.messages: list[dict[str, str]] = []
        self.news = asyncio.Event()
        asyncio.get_running_loop().add_reader(self.sock.fileno(), self._read)

    def _read(self) -> None:
        while True:
            try:
                data = self.sock.recv(65536)
            except BlockingIOError:
                break
            pairs = [line.partition("=") for line in data.decode().split("\n") if line]
            self.messages.append({name: value for name, _, value in pairs})
        self.news.set()

    async def wait_for(self, name: str, value: str | None = None, start: int = 0) -> int:
        """The place after the first message from `start` on that has it, once it has come."""
        while True:
            for place in range(start, len(self.messages)):
                message = self.messages[place]
                if name in message and (value is None or message[name] == value):
                    return place + 1
            self.news.clear()
            await self.news.wait()

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self.sock.fileno())
        self.sock.close()
        os.unlink(self.path)
